package forward

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"merlinhall/wire"
)

// copyingTarget answers each run with its id and a number of its own. Where a response is
// due on a used connection, it often sends a second copy of one of the earlier ones first.
type copyingTarget struct {
	entry wire.TargetEntry
	runs  *atomic.Int64
	mu    sync.Mutex
	rng   *rand.Rand
	fails map[string]int // runs that ended with a failure, by id
}

func startCopyingTarget(t *testing.T, id string, runs *atomic.Int64, seed uint64) *copyingTarget {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	s := &copyingTarget{
		entry: wire.TargetEntry{ID: id, Service: "s", Address: l.Addr().String(), Zone: "z", Version: "v1"},
		runs:  runs, rng: rand.New(rand.NewPCG(seed, 1)), fails: make(map[string]int),
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go s.serve(c)
		}
	}()
	return s
}

func (s *copyingTarget) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	reader := bufio.NewReader(c)
	var earlier []string
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		response, copied, wait := s.respond(r, earlier)
		time.Sleep(wait)
		if _, err := io.WriteString(c, copied+response); err != nil {
			return
		}
		earlier = append(earlier, response)
	}
}

// respond returns the response of a run, a copy to send before it, and the time it takes.
func (s *copyingTarget) respond(r *http.Request, earlier []string) (response, copied string, wait time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	id, run := r.Header.Get("Id"), s.runs.Add(1)
	body := fmt.Sprintf("%s %d", id, run)
	status, kind := 200, ""
	switch {
	case s.rng.IntN(3) == 0:
		status = 500
		s.fails[id]++
	case r.URL.Path == "/stream":
		kind = "Content-Type: events\r\n"
		after, _ := strconv.Atoi(r.Header.Get("After"))
		body = ""
		for n := after + 1; n <= 3; n++ {
			body += fmt.Sprintf("id: %d\ndata: %s %d\n\n", n, id, run)
		}
	}
	response = fmt.Sprintf("HTTP/1.1 %d X\r\nId: %s\r\n%sContent-Length: %d\r\n\r\n%s", status, id, kind, len(body), body)
	if len(earlier) > 0 && s.rng.IntN(2) == 0 {
		copied = earlier[s.rng.IntN(len(earlier))]
	}
	if s.rng.IntN(4) == 0 {
		wait = 50 * time.Millisecond // longer than the delay of a second attempt
	}
	return response, copied, wait
}

// answerCheck collects what callers got and reports answers that are not those of a run of
// their own, or that came twice.
type answerCheck struct {
	t        *testing.T
	mu       sync.Mutex
	got      map[int]bool   // runs whose answer a caller has
	failures map[string]int // counted by callers, by id
	answers  int
}

// answer checks an answer that consists of the id of a request and the number of a run.
func (c *answerCheck) answer(id, text string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answers++
	of, number, _ := strings.Cut(text, " ")
	run, err := strconv.Atoi(number)
	switch {
	case of != id || err != nil:
		c.t.Errorf("%s got %q", id, text)
	case c.got[run]:
		c.t.Errorf("%s got the answer of run %d twice", id, run)
	}
	c.got[run] = true
}

// events checks a stream of three events, which one or more runs of the request may have sent.
func (c *answerCheck) events(id, text string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answers++
	parts := strings.Split(strings.TrimSuffix(text, "\n\n"), "\n\n")
	if len(parts) != 3 {
		c.t.Errorf("%s got %q", id, text)
	}
	runs := make(map[int]bool)
	for i, p := range parts {
		var number, run int
		var of string
		if _, err := fmt.Sscanf(p, "id: %d\ndata: %s %d", &number, &of, &run); err != nil || number != i+1 || of != id || c.got[run] {
			c.t.Errorf("%s got %q as event %d", id, p, i+1)
		}
		runs[run] = true
	}
	for run := range runs {
		c.got[run] = true
	}
}

func (c *answerCheck) failed(id string, n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.failures[id] += n
}

// Guards against a second copy that reaches a caller, or counts as another failed run, for
// requests, hedged ones and streams, and for ids that are used again, as those of items and
// reward calls are.
func TestSecondCopiesReachNoCaller(t *testing.T) {
	const workers, rounds, idsPerWorker = 6, 60, 3
	var runs atomic.Int64
	var targets []*copyingTarget
	f := newForwarder()
	var list []wire.TargetEntry
	for i := range 2 {
		targets = append(targets, startCopyingTarget(t, fmt.Sprint("t", i), &runs, uint64(i)))
		list = append(list, targets[i].entry)
	}
	f.Directory.Replace(time.Now(), list)
	check := &answerCheck{t: t, got: make(map[int]bool), failures: make(map[string]int)}
	var wg sync.WaitGroup
	for w := range workers {
		wg.Go(func() {
			for i := range rounds {
				id := fmt.Sprintf("w%d-%d", w, i%idsPerWorker)
				r := request(id, i%5 != 0, 60*time.Millisecond, 2*time.Second)
				if i%2 == 1 {
					r.URI = "/stream"
					sink := &collector{}
					result := f.Stream(context.Background(), r, sink)
					if result.Outcome == OutcomeAnswered && sink.status == 200 {
						check.events(id, sink.text)
					}
					check.failed(id, result.Failures)
					continue
				}
				result := f.Do(context.Background(), r)
				if result.Outcome == OutcomeAnswered && result.Status == 200 {
					check.answer(id, string(result.Body))
				}
				check.failed(id, result.Failures)
			}
		})
	}
	wg.Wait()
	fails := make(map[string]int)
	for _, s := range targets {
		s.mu.Lock()
		for id, n := range s.fails {
			fails[id] += n
		}
		s.mu.Unlock()
	}
	for id, n := range check.failures {
		if n > fails[id] {
			t.Errorf("%s: %d failures were counted, %d runs have failed", id, n, fails[id])
		}
	}
	t.Logf("%d answers, %d runs", check.answers, runs.Load())
	if check.answers < workers*rounds/10 {
		t.Errorf("only %d of %d requests have an answer, too few for a check", check.answers, workers*rounds)
	}
}
