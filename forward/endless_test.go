package forward

import (
	"context"
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"merlinhall/loopback"
	"merlinhall/memory"
	"merlinhall/wire"
)

// endlessTarget starts a target that sends without end.
func endlessTarget(t *testing.T, id, first, again string) (*target, *loopback.Endless) {
	t.Helper()
	s := loopback.ServeEndless(t, first, again)
	return &target{entry: wire.TargetEntry{ID: id, Service: "s", Address: s.Address, Zone: "z", Version: "v1"}}, s
}

// A target sends bytes of a stream that never complete an event. The request ends with what
// is certain, and where the route allows it the stream goes on at another target.
func TestStreamWithoutEvents(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nId: r\r\nContent-Type: events\r\n\r\n"
	for name, c := range map[string]struct{ first, again string }{
		"line":        {head + "data: ", "a"},
		"lines":       {head, "data: a\n"},
		"comments":    {head, ": a\n\n"},
		"blank lines": {head, "\n"},
		"one chunk":   {strings.Replace(head, "\r\n\r\n", "\r\nTransfer-Encoding: chunked\r\n\r\nfffffffffff\r\n", 1), "a"},
	} {
		for _, repeatable := range []bool{false, true} {
			t.Run(name, func(t *testing.T) {
				is := is.New(t)
				a, server := endlessTarget(t, "a", c.first, c.again)
				b, _ := streamTarget(t, "b", 6, 0, complete)
				f := newForwarder(a, b)
				f.Pool.Memory = memory.NewBudget(8 << 20)
				f.state("b").suspectUntil = time.Now().Add(time.Minute) // so that a is tried first
				var sink discarder
				began := time.Now()
				var result Result
				allocated := loopback.Allocated(func() {
					result = f.Stream(context.Background(), request("r", repeatable, time.Second, loopback.Deadline), &sink)
				})
				end := server.Next(t)
				t.Logf("%s (%s): %d KB allocated, %d KB delivered, closed after %v", result.Outcome, result.Reason, allocated>>10, sink.bytes>>10, end.Took)
				is.True(end.Closed)
				is.True(end.Took < loopback.CloseTime)
				is.True(time.Since(began) < loopback.CloseTime) // not the deadline
				is.True(allocated < 16<<20)
				is.True(sink.bytes < 2<<20)
				is.Equal(f.Pool.Memory.Used(), int64(0))
				if repeatable {
					is.Equal(result.Outcome, OutcomeAnswered)
					is.True(strings.HasSuffix(sink.last, event(6)))
				} else {
					is.Equal(result.Outcome, OutcomeCut)
				}
			})
		}
	}
}

// discarder is a Sink that keeps only the last events.
type discarder struct {
	collector
	bytes      int
	last       string
	leaveAfter int // bytes after which the caller leaves, 0 for never
}

func (d *discarder) Events(text []byte) error {
	d.bytes += len(text)
	d.last = string(text)
	if d.leaveAfter > 0 && d.bytes >= d.leaveAfter {
		return errors.New("closed")
	}
	return nil
}

// A sound stream may be of any length, and an event may arrive in parts.
func TestLongStreamIsDelivered(t *testing.T) {
	is := is.New(t)
	body := events(1, 100_000) // 2.5 MB
	a, _ := endlessTarget(t, "a", "HTTP/1.1 200 OK\r\nId: r\r\nContent-Type: events\r\nTransfer-Encoding: chunked\r\n\r\nfffffffffff\r\n"+body, event(7))
	sink := discarder{leaveAfter: len(body)}
	result := newForwarder(a).Stream(context.Background(), request("r", false, time.Second, loopback.Deadline), &sink)
	is.Equal(result.Reason, errCallerLeft.Error())
	is.True(sink.bytes >= len(body))
}

// Events that are below the limit of one must not use up the memory together.
func TestEventsOfStreamsShareTheMemory(t *testing.T) {
	is := is.New(t)
	a, server := endlessTarget(t, "a", "HTTP/1.1 200 OK\r\nId: r\r\nContent-Type: events\r\n\r\ndata: ", "a")
	f := newForwarder(a)
	f.Pool.Memory = memory.NewBudget(256 << 10)
	result := f.Stream(context.Background(), request("r", false, time.Second, loopback.Deadline), &discarder{})
	is.Equal(result.Outcome, OutcomeCut)
	is.Equal(result.Reason, memory.ErrExhausted.Error())
	is.True(server.Next(t).Closed)
	is.Equal(f.Pool.Memory.Used(), int64(0))
}

// A target sends a plain answer without end: no answer is made of it, and it may have run.
func TestPlainAnswerWithoutEnd(t *testing.T) {
	for name, head := range map[string]string{
		"head":   "HTTP/1.1 200 OK\r\nId: r\r\nA: ",
		"body":   "HTTP/1.1 200 OK\r\nId: r\r\n\r\n",
		"error":  "HTTP/1.1 500 Internal Server Error\r\nId: r\r\n\r\n",
		"refuse": "HTTP/1.1 503 Service Unavailable\r\nId: r\r\nNot-Run: 1\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			a, server := endlessTarget(t, "a", head, "a")
			f := newForwarder(a)
			f.Pool.Memory = memory.NewBudget(8 << 20)
			result := f.Do(context.Background(), request("r", false, time.Second, loopback.Deadline))
			is.Equal(result.Outcome, OutcomeUnknown)
			is.True(len(result.Body) == 0)
			end := server.Next(t)
			t.Logf("%s: closed after %v", result.Reason, end.Took)
			is.True(end.Closed)
			is.True(end.Took < loopback.CloseTime)
			is.Equal(f.Pool.Memory.Used(), int64(0))
		})
	}
}
