package forward

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"merlinhall/directory"
	"merlinhall/netfault"
	"merlinhall/upstream"
	"merlinhall/wire"
)

// faultyTargets are three targets whose responses have faults at any byte. They count the
// runs of each request.
type faultyTargets struct {
	forwarder *Forwarder
	servers   []*netfault.Server

	mu   sync.Mutex
	runs map[string]int
}

const lastEvent = 12

// respond returns the response to a request: a stream if its id says so, and a refusal for
// each fifth id at one of the targets.
func (f *faultyTargets) respond(target int, r *http.Request) netfault.Answer {
	id := r.Header.Get("Id")
	n, _ := strconv.Atoi(id[strings.LastIndexByte(id, '-')+1:])
	after, _ := strconv.Atoi(r.Header.Get("After"))
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\n", id)
	body := strings.Repeat(id+" ", 20)
	switch {
	case n%5 == target:
		head = fmt.Sprintf("HTTP/1.1 503 X\r\nId: %s\r\nNot-Run: 1\r\n", id)
	case strings.HasPrefix(id, "stream"):
		head += "Content-Type: events\r\n"
		body = events(after+1, lastEvent)
		fallthrough
	default:
		f.mu.Lock()
		f.runs[id]++
		f.mu.Unlock()
	}
	text := fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(body), body)
	if n%2 == 0 {
		text = fmt.Sprintf("%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", head, len(body), body)
	}
	return netfault.Answer{Bytes: []byte(text), Key: fmt.Sprint(id, " ", after, " ", target)}
}

func startFaultyTargets(t *testing.T, seed uint64) *faultyTargets {
	f := &faultyTargets{runs: make(map[string]int)}
	var list []wire.TargetEntry
	for i := range 3 {
		s := netfault.StartServer(t, netfault.Plan{
			Seed: seed<<8 + uint64(i), For: 2 * time.Millisecond,
			Kinds: []netfault.Kind{
				netfault.None, netfault.None, netfault.Cut, netfault.Reset, netfault.Double,
				netfault.Trickle, netfault.Copy, netfault.LateCopy,
			},
		}, func(r *http.Request) netfault.Answer { return f.respond(i, r) })
		f.servers = append(f.servers, s)
		list = append(list, wire.TargetEntry{ID: fmt.Sprint("t", i), Service: "s", Address: s.Address, Zone: "z", Version: "v1"})
	}
	d := directory.New()
	d.Replace(time.Now(), list)
	pool := upstream.NewPool(func(h http.Header) string { return h.Get("Id") })
	f.forwarder = &Forwarder{Pool: pool, Directory: d, Protocol: testProtocol{}, Zone: "z"}
	return f
}

// check compares the result of a request with what the targets have run.
func (f *faultyTargets) check(t *testing.T, id string, repeatable bool, r Result, text string) {
	f.mu.Lock()
	runs := f.runs[id]
	f.mu.Unlock()
	want, stream := strings.Repeat(id+" ", 20), strings.HasPrefix(id, "stream")
	if stream {
		want = events(1, lastEvent)
	}
	switch {
	case runs > 1 && !repeatable:
		t.Errorf("%s ran %d times", id, runs)
	case r.Outcome == OutcomeNotRun && runs > 0 && !repeatable:
		t.Errorf("%s ran and was refused", id)
	case r.Outcome == OutcomeAnswered && r.Status == http.StatusOK && text != want:
		t.Errorf("%s was answered with %q", id, text)
	case stream && (!strings.HasPrefix(want, text) || len(text) != completeEventsLen([]byte(text))):
		t.Errorf("%s ended as %s with %q", id, r.Outcome, text)
	}
}

// Guards against a response or a stream that is cut, doubled or slow at any byte and passed
// on as a whole one or as that of another request, and against what follows from it: a
// request that runs twice, or is refused after it has run.
func TestRequestsWithFaultsAtAnyByte(t *testing.T) {
	for _, seed := range netfault.Seeds(t, "1-4") {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			f := startFaultyTargets(t, seed)
			var wg sync.WaitGroup
			var mu sync.Mutex
			outcomes := make(map[Outcome]int)
			for worker := range 6 {
				wg.Go(func() {
					for i := range 30 {
						repeatable := i%3 != 0
						id := fmt.Sprintf("call-%d-%d", worker, i)
						var c collector
						var result Result
						if i%2 == 0 {
							id = "stream-" + id
							result = f.forwarder.Stream(context.Background(), request(id, repeatable, time.Second, 2*time.Second), &c)
						} else {
							result = f.forwarder.Do(context.Background(), request(id, repeatable, time.Second, 2*time.Second))
							c.text = string(result.Body)
						}
						f.check(t, id, repeatable, result, c.text)
						mu.Lock()
						outcomes[result.Outcome]++
						mu.Unlock()
					}
				})
			}
			wg.Wait()
			is.True(outcomes[OutcomeAnswered] > 60)
			for _, s := range f.servers {
				is.Equal(len(s.Strikes()), 6) // a kind of fault did not occur
			}
		})
	}
}
