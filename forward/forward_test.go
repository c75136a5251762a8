package forward

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"merlinhall/directory"
	"merlinhall/observe"
	"merlinhall/routes"
	"merlinhall/upstream"
	"merlinhall/wire"
)

type testProtocol struct{}

func (testProtocol) Outbound(target string, left time.Duration) []wire.Header {
	return []wire.Header{{Name: "Target", Value: target}, {Name: "Left", Value: left.String()}}
}

func (testProtocol) Verdict(status int, h http.Header) Verdict {
	switch {
	case h.Get("Panic") != "":
		panic("a header that no one thought of")
	case h.Get("Not-Run") != "":
		return NotRun
	case status == http.StatusMisdirectedRequest:
		return Misdirected
	case status >= 500:
		return FailedRun
	case h.Get("Garbled") != "":
		return Malformed
	}
	return Answered
}

// target is a test server. It responds to requests as set by its behaviour and counts
// runs by request id.
type target struct {
	entry wire.TargetEntry
	mu    sync.Mutex
	runs  map[string]int
	left  map[string]time.Duration
	how   behaviour
}

// behaviour is how a target responds. A run is counted before the response is written,
// because the test may check the count as soon as it has the response.
type behaviour struct {
	runs    bool
	respond func(w io.Writer, id string) // nil: the connection is reset
}

func answer(status int, header, body string) behaviour {
	return behaviour{
		runs: header != "Not-Run: 1\r\n" && status != http.StatusMisdirectedRequest,
		respond: func(w io.Writer, id string) {
			_, _ = fmt.Fprintf(w, "HTTP/1.1 %03d X\r\nId: %s\r\n%sContent-Length: %d\r\n\r\n%s", status, id, header, len(body), body)
		},
	}
}

func startTarget(t *testing.T, id string, how behaviour) *target {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	s := &target{
		entry: wire.TargetEntry{ID: id, Service: "s", Address: l.Addr().String(), Zone: "z", Version: "v1"},
		runs:  make(map[string]int), left: make(map[string]time.Duration), how: how,
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

func (s *target) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	reader := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		left, _ := time.ParseDuration(r.Header.Get("Left"))
		s.mu.Lock()
		s.left[r.Header.Get("Id")] = left
		s.mu.Unlock()
		if s.how.runs {
			s.mu.Lock()
			s.runs[r.Header.Get("Id")]++
			s.mu.Unlock()
		}
		if s.how.respond == nil {
			_ = c.(*net.TCPConn).SetLinger(0)
			return
		}
		s.how.respond(c, r.Header.Get("Id"))
	}
}

func (s *target) count(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[id]
}

func (s *target) timeLeft(id string) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.left[id]
}

func newForwarder(targets ...*target) *Forwarder {
	d := directory.New()
	var list []wire.TargetEntry
	for _, s := range targets {
		list = append(list, s.entry)
	}
	d.Replace(time.Now(), list)
	pool := upstream.NewPool(func(h http.Header) string { return h.Get("Id") })
	return &Forwarder{Pool: pool, Directory: d, Protocol: testProtocol{}, Zone: "z"}
}

func request(id string, repeatable bool, goal, limit time.Duration) *Request {
	return &Request{
		Request: upstream.Request{
			ID: id, Method: http.MethodPost, URI: "/x", Host: "h", Header: []wire.Header{{Name: "Id", Value: id}}, Body: []byte("b"),
		},
		Route: &routes.Route{
			Repeatable: repeatable, MaxAttempts: 3, Goal: goal, Timeout: limit, Shares: []routes.Share{{Service: "s", Weight: 1}},
		},
		Deadline: time.Now().Add(limit),
	}
}

var (
	ok        = answer(200, "", "fine")
	full      = answer(503, "Not-Run: 1\r\n", "")
	broken    = answer(500, "", "failed")
	elsewhere = answer(421, "", "")
	hang      = behaviour{runs: true, respond: func(io.Writer, string) { time.Sleep(3 * time.Second) }}
	reset     = behaviour{runs: true}
	garbled   = answer(200, "Garbled: 1\r\n", "other bytes")
)

func TestRefusedRequestGoesToAnotherTarget(t *testing.T) {
	is := is.New(t)
	a, b, c := startTarget(t, "a", full), startTarget(t, "b", elsewhere), startTarget(t, "c", ok)
	f := newForwarder(a, b, c)
	for i := range 8 {
		id := fmt.Sprint("r", i)
		result := f.Do(context.Background(), request(id, false, time.Second, time.Second))
		is.Equal(result.Outcome, OutcomeAnswered)
		is.Equal(string(result.Body), "fine")
		is.Equal(c.count(id), 1)
	}
}

func TestRefusalByAllTargetsIsReturnedImmediately(t *testing.T) {
	is := is.New(t)
	a, b := startTarget(t, "a", full), startTarget(t, "b", full)
	began := time.Now()
	result := newForwarder(a, b).Do(context.Background(), request("r", false, time.Second, 2*time.Second))
	is.Equal(result.Outcome, OutcomeNotRun)
	is.True(result.RetryAfter > 0)
	is.True(time.Since(began) < 500*time.Millisecond) // doesn't wait for the deadline
	is.Equal(a.count("r")+b.count("r"), 0)
}

func TestRequestThatMayHaveRunIsNotRepeatedNorRefused(t *testing.T) {
	is := is.New(t)
	a, b := startTarget(t, "a", reset), startTarget(t, "b", reset) // reset after the request was read
	result := newForwarder(a, b).Do(context.Background(), request("r", false, time.Second, time.Second))
	is.Equal(result.Outcome, OutcomeUnknown)
	is.Equal(result.Attempts, 1)
}

func TestRepeatableRequestIsRetriedAfterAReset(t *testing.T) {
	is := is.New(t)
	a, b := startTarget(t, "a", reset), startTarget(t, "b", ok)
	f := newForwarder(a, b)
	for i := range 6 {
		result := f.Do(context.Background(), request(fmt.Sprint("r", i), true, time.Second, time.Second))
		is.Equal(result.Outcome, OutcomeAnswered)
	}
}

// Guards against waiting for a target that stops responding while its connections
// stay open.
func TestUnresponsiveTargetIsHedged(t *testing.T) {
	is := is.New(t)
	a, b := startTarget(t, "a", hang), startTarget(t, "b", ok)
	f := newForwarder(a, b)
	for i := range 6 {
		began := time.Now()
		result := f.Do(context.Background(), request(fmt.Sprint("r", i), true, 200*time.Millisecond, 2*time.Second))
		is.Equal(result.Outcome, OutcomeAnswered)
		is.True(time.Since(began) < 400*time.Millisecond)
	}
}

func TestAttemptsAreBounded(t *testing.T) {
	is := is.New(t)
	var targets []*target
	for i := range 6 {
		targets = append(targets, startTarget(t, fmt.Sprint("t", i), broken))
	}
	result := newForwarder(targets...).Do(context.Background(), request("r", true, time.Second, time.Second))
	is.Equal(result.Outcome, OutcomeAnswered) // the target's failure response is forwarded
	is.Equal(result.Status, 500)
	is.Equal(string(result.Body), "failed")
	runs := 0
	for _, s := range targets {
		runs += s.count("r")
	}
	is.Equal(runs, 3)
	is.Equal(result.Failures, 3)
}

func TestTimeLeftShrinksWithEachAttempt(t *testing.T) {
	is := is.New(t)
	a, b := startTarget(t, "a", hang), startTarget(t, "b", hang)
	f := newForwarder(a, b)
	result := f.Do(context.Background(), request("r", true, 400*time.Millisecond, 600*time.Millisecond))
	is.Equal(result.Outcome, OutcomeUnknown)
	first, second := max(a.timeLeft("r"), b.timeLeft("r")), min(a.timeLeft("r"), b.timeLeft("r"))
	is.True(first <= 600*time.Millisecond)
	is.True(second <= first-150*time.Millisecond)
}

func TestRequestWithoutTargetsIsRefused(t *testing.T) {
	is := is.New(t)
	result := newForwarder().Do(context.Background(), request("r", true, time.Second, time.Second))
	is.Equal(result.Outcome, OutcomeNotRun)
}

func TestCallerThatLeavesCancelsTheRun(t *testing.T) {
	is := is.New(t)
	gone := make(chan struct{})
	a := startTarget(t, "a", behaviour{runs: true, respond: func(w io.Writer, _ string) {
		c := w.(net.Conn)
		_ = c.SetReadDeadline(time.Now().Add(2 * time.Second))
		if _, err := c.Read(make([]byte, 1)); err == io.EOF {
			close(gone)
		}
	}})
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(100*time.Millisecond, cancel)
	result := newForwarder(a).Do(ctx, request("r", false, time.Second, 3*time.Second))
	is.Equal(result.Reason, "the caller has left") // not counted as a failure of the target
	select {
	case <-gone:
	case <-time.After(time.Second):
		is.Fail() // the target still runs a cancelled request
	}
}

func TestOpenConnectionsAreUsedFirst(t *testing.T) {
	is := is.New(t)
	var targets []*target
	for i := range 8 {
		targets = append(targets, startTarget(t, fmt.Sprint("t", i), ok))
	}
	f := newForwarder(targets...)
	var opened atomic.Int32
	f.Pool.Opened = func() { opened.Add(1) }
	for i := range 40 {
		f.Do(context.Background(), request(fmt.Sprint("r", i), true, time.Second, time.Second))
	}
	is.True(opened.Load() <= 4) // sequential requests need few connections
}

func TestFailedAttemptsAreLogged(t *testing.T) {
	is := is.New(t)
	a, b := startTarget(t, "a", full), startTarget(t, "b", reset)
	f := newForwarder(a, b)
	var out bytes.Buffer
	log := logrus.New()
	log.SetOutput(&out)
	log.SetFormatter(&logrus.JSONFormatter{})
	f.Log = logrus.NewEntry(log)
	result := f.Do(context.Background(), request("r", true, time.Second, time.Second))
	is.Equal(result.Outcome, OutcomeUnknown) // one target reset the connection after reading the request
	outcomes, sent := make(map[string]string), 0
	for _, text := range strings.Split(strings.TrimSpace(out.String()), "\n") {
		var line map[string]any
		is.NoErr(json.Unmarshal([]byte(text), &line))
		is.Equal(line["request"], "r")
		is.True(line["left_ms"] != nil)
		if line["msg"] == "request is sent" {
			sent++
			continue
		}
		outcomes[line["target"].(string)] = line["outcome"].(string)
	}
	is.Equal(sent, 2)
	is.Equal(outcomes, map[string]string{"a": "not_run", "b": "broken"})
}

// Guards against forwarding a response that isn't valid in the protocol to the caller
// as a success.
func TestMalformedResponseIsNotForwarded(t *testing.T) {
	is := is.New(t)
	result := newForwarder(startTarget(t, "a", garbled)).Do(context.Background(), request("r", false, time.Second, time.Second))
	is.Equal(result.Outcome, OutcomeUnknown)
	is.Equal(result.Body, nil)
	f := newForwarder(startTarget(t, "a", garbled), startTarget(t, "b", ok))
	for i := range 6 {
		result := f.Do(context.Background(), request(fmt.Sprint("r", i), true, time.Second, time.Second))
		is.Equal(string(result.Body), "fine")
	}
}

// The caller of a background request learns between two attempts that it is not needed.
func TestUnwantedRequestIsNotRepeated(t *testing.T) {
	is := is.New(t)
	a, b := startTarget(t, "a", broken), startTarget(t, "b", broken)
	f := newForwarder(a, b)
	asked := 0
	r := request("r", true, time.Second, time.Second)
	r.Wanted = func() bool { asked++; return asked == 1 }
	result := f.Do(t.Context(), r)
	is.Equal(a.count("r")+b.count("r"), 1)
	is.Equal(result.Failures, 1)
	r.Wanted = func() bool { return false }
	r.ID = "s"
	is.Equal(f.Do(t.Context(), r).Outcome, OutcomeNotRun)
	is.Equal(a.count("s")+b.count("s"), 0)
}

// Guards against an unexpected error in one attempt that ends the process, or leaves its
// caller without an answer, or says "not run" of a request that ran.
func TestUnexpectedErrorEndsOneAttempt(t *testing.T) {
	is := is.New(t)
	unexpected := answer(200, "Panic: 1\r\n", "")
	f := newForwarder(startTarget(t, "a", unexpected))
	f.Guard = observe.New("fatal").Guard("forward")
	is.Equal(f.Do(t.Context(), request("r", false, time.Second, time.Second)).Outcome, OutcomeUnknown)
	f = newForwarder(startTarget(t, "a", unexpected), startTarget(t, "b", ok))
	for i := range 6 {
		result := f.Do(t.Context(), request(fmt.Sprint("r", i), true, time.Second, time.Second))
		is.Equal(string(result.Body), "fine")
	}
}

// failingList is a list of targets whose reads fail.
type failingList struct{ err error }

func (failingList) Calls() directory.ListCalls { return directory.ListCalls{} }

func (l failingList) List(context.Context) ([]wire.TargetEntry, error) { return nil, l.err }

// Guards against requests to a target that has been leaving for long: the view is too old,
// and this process cannot read the list because all read it too often.
func TestNothingIsSentByAnOldView(t *testing.T) {
	is := is.New(t)
	a := startTarget(t, "a", ok)
	f := newForwarder()
	f.Directory = directory.New()
	f.Directory.SetMaxAge(time.Second)
	f.Directory.Replace(time.Now().Add(-2*time.Second), []wire.TargetEntry{a.entry})
	log := logrus.New()
	log.SetOutput(io.Discard)
	read := func(err error) {
		_, got := directory.NewPoller(f.Directory, nil, failingList{err}, logrus.NewEntry(log)).Read(t.Context())
		is.True(errors.Is(got, err))
	}
	background := request("r0", true, time.Second, time.Second)
	background.Background = true
	is.Equal(f.Do(t.Context(), background).Outcome, OutcomeNotRun) // waits until the list is read
	read(directory.ErrOverRate)
	for _, repeatable := range []bool{false, true} {
		result := f.Do(t.Context(), request("r1", repeatable, time.Second, time.Second))
		is.Equal(result.Outcome, OutcomeNotRun)
		is.Equal(result.Reason, "the list of targets is too old")
		is.True(result.RetryAfter > 0)
	}
	is.Equal(f.Stream(t.Context(), request("r2", true, time.Second, time.Second), &collector{}).Outcome, OutcomeNotRun)
	is.Equal(a.count("r0")+a.count("r1")+a.count("r2"), 0)
	read(errors.New("no such host")) // nobody knows more than this view
	is.Equal(f.Do(t.Context(), request("r3", false, time.Second, time.Second)).Outcome, OutcomeAnswered)
	f.Directory.Replace(time.Now(), []wire.TargetEntry{a.entry})
	is.Equal(f.Do(t.Context(), request("r4", false, time.Second, time.Second)).Outcome, OutcomeAnswered)
}
