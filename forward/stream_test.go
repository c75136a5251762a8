package forward

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"merlinhall/wire"
)

func (testProtocol) Events(h http.Header) bool { return h.Get("Content-Type") == "events" }

func (testProtocol) Resume(h []wire.Header, last string) []wire.Header {
	return append(append([]wire.Header(nil), h...), wire.Header{Name: "After", Value: last})
}

// collector is a Sink that records the stream.
type collector struct {
	status int
	header http.Header
	text   string
	times  []time.Time // time of each Events call
	limit  int         // Events calls after which the caller disconnects, 0 for never
}

func (c *collector) Begin(status int, h http.Header) { c.status, c.header = status, h }

func (c *collector) Events(text []byte) error {
	c.text += string(text)
	c.times = append(c.times, time.Now())
	if len(c.times) == c.limit {
		return errors.New("closed")
	}
	return nil
}

func event(n int) string { return fmt.Sprintf("id: %d\ndata: part %d\n\n", n, n) }

func events(from, to int) string {
	var b strings.Builder
	for n := from; n <= to; n++ {
		b.WriteString(event(n))
	}
	return b.String()
}

// streamTarget starts a target that sends the events after the one named in the
// request, up to breakAt, and then calls then. It counts the requests.
func streamTarget(t *testing.T, id string, breakAt int, pause time.Duration, then func(w http.ResponseWriter, r *http.Request)) (*target, *atomic.Int32) {
	t.Helper()
	var runs atomic.Int32
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		runs.Add(1)
		w.Header().Set("Content-Type", "events")
		w.Header().Set("Receipt", id)
		w.Header().Set("Id", r.Header.Get("Id"))
		after, _ := strconv.Atoi(r.Header.Get("After"))
		for n := after + 1; n <= breakAt; n++ {
			_, _ = w.Write([]byte(event(n)))
			_ = http.NewResponseController(w).Flush()
			time.Sleep(pause)
		}
		then(w, r)
	}))
	t.Cleanup(s.Close)
	return &target{entry: wire.TargetEntry{ID: id, Service: "s", Address: s.Listener.Addr().String(), Zone: "z", Version: "v1"}}, &runs
}

func complete(http.ResponseWriter, *http.Request) {}

func breakWithin(w http.ResponseWriter, _ *http.Request) {
	_, _ = w.Write([]byte("id: 99\ndata: ha"))
	_ = http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}

func silent(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }

func TestEventsAreDeliveredAsTheyArrive(t *testing.T) {
	is := is.New(t)
	const pause = 100 * time.Millisecond
	a, _ := streamTarget(t, "a", 4, pause, complete)
	var c collector
	result := newForwarder(a).Stream(context.Background(), request("r", false, time.Second, 5*time.Second), &c)
	is.Equal(result.Outcome, OutcomeAnswered)
	is.Equal(c.status, 200)
	is.Equal(c.text, events(1, 4))
	is.True(c.times[len(c.times)-1].Sub(c.times[0]) >= 2*pause)
}

// Guards against lost, doubled or partial events when a target breaks off within an
// event or stops sending.
func TestStreamResumesAfterTheLastCompleteEvent(t *testing.T) {
	for name, then := range map[string]func(http.ResponseWriter, *http.Request){"broken": breakWithin, "silent": silent} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			a, runsA := streamTarget(t, "a", 3, 0, then)
			b, runsB := streamTarget(t, "b", 6, 0, complete)
			f := newForwarder(a, b)
			f.state("b").suspectUntil = time.Now().Add(time.Minute) // so that a is tried first
			var c collector
			result := f.Stream(context.Background(), request("r", true, time.Second, 5*time.Second), &c)
			is.Equal(result.Outcome, OutcomeAnswered)
			is.Equal(c.text, events(1, 6))
			is.Equal(c.header.Get("Receipt"), "a") // the header is that of the first target
			is.Equal(runsA.Load()+runsB.Load(), int32(2))
		})
	}
}

func TestNonRepeatableStreamIsCut(t *testing.T) {
	is := is.New(t)
	a, runsA := streamTarget(t, "a", 3, 0, breakWithin)
	b, runsB := streamTarget(t, "b", 3, 0, breakWithin)
	var c collector
	result := newForwarder(a, b).Stream(context.Background(), request("r", false, time.Second, 5*time.Second), &c)
	is.Equal(result.Outcome, OutcomeCut)
	is.Equal(c.text, events(1, 3)) // nothing of the incomplete event
	is.Equal(runsA.Load()+runsB.Load(), int32(1))
}

func TestIdleTimeoutDoesNotEndANonRepeatableStream(t *testing.T) {
	is := is.New(t)
	a, _ := streamTarget(t, "a", 1, 0, func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(streamIdleTimeout + 300*time.Millisecond)
		_, _ = w.Write([]byte(event(2)))
	})
	var c collector
	result := newForwarder(a).Stream(context.Background(), request("r", false, time.Second, 5*time.Second), &c)
	is.Equal(result.Outcome, OutcomeAnswered)
	is.Equal(c.text, events(1, 2))
}

func TestCallerThatLeavesAStreamCancelsTheRun(t *testing.T) {
	is := is.New(t)
	gone := make(chan struct{})
	a, runs := streamTarget(t, "a", 1, 0, func(_ http.ResponseWriter, r *http.Request) {
		<-r.Context().Done()
		close(gone)
	})
	c := collector{limit: 1}
	result := newForwarder(a).Stream(context.Background(), request("r", true, time.Second, 5*time.Second), &c)
	is.Equal(result.Outcome, OutcomeCut)
	select {
	case <-gone:
	case <-time.After(time.Second):
		is.Fail() // the target still runs a cancelled request
	}
	is.Equal(runs.Load(), int32(1))
}

// Guards against a wrong outcome when a target refuses, fails or breaks off before its
// stream begins: the result must be that of a plain request.
func TestStreamThatDoesNotBeginEndsLikeARequest(t *testing.T) {
	is := is.New(t)
	var c collector
	result := newForwarder(startTarget(t, "a", full)).Stream(context.Background(), request("r", false, time.Second, time.Second), &c)
	is.Equal(result.Outcome, OutcomeNotRun)
	is.Equal(c.status, 0)
	result = newForwarder(startTarget(t, "a", broken)).Stream(context.Background(), request("r", false, time.Second, time.Second), &c)
	is.Equal(result.Outcome, OutcomeAnswered)
	is.Equal(result.Status, 500)
	is.Equal(c.status, 0)
	result = newForwarder(startTarget(t, "a", reset)).Stream(context.Background(), request("r", false, time.Second, time.Second), &c)
	is.Equal(result.Outcome, OutcomeUnknown)
	is.Equal(result.Attempts, 1)
}

func TestCompleteEvents(t *testing.T) {
	for name, c := range map[string]struct {
		text, id string
		length   int
	}{
		"none":           {"id: 1\ndata: a\n", "", 0},
		"one":            {"id: 1\ndata: a\n\nid: 2", "1", 15},
		"crlf":           {"id: 1\r\ndata: a\r\n\r\nid", "1", 18},
		"two":            {"id: 1\n\nid: 2\n\n", "2", 14},
		"last has no id": {"id: 7\n\ndata: a\n\n", "7", 16},
		"no space":       {"id:3\n\n", "3", 6},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			length := completeEventsLen([]byte(c.text))
			is.Equal(length, c.length)
			last := ""
			for id := range eventIDs([]byte(c.text)[:length]) {
				last = id
			}
			is.Equal(last, c.id)
		})
	}
}

// A target that sends bytes now and then without completing an event is stalled, whether the
// bytes are parts of an event or comments of another kind. The stream goes on elsewhere.
func TestStalledStreamWithBytesGoesOnElsewhere(t *testing.T) {
	is := is.New(t)
	stalled, runs := streamTarget(t, "a", 2, 0, func(w http.ResponseWriter, r *http.Request) {
		for range 100 {
			_, _ = w.Write([]byte("x"))
			_ = http.NewResponseController(w).Flush()
			select {
			case <-time.After(100 * time.Millisecond):
			case <-r.Context().Done():
				return
			}
		}
	})
	sound, _ := streamTarget(t, "b", 6, 0, complete)
	f := newForwarder(stalled, sound)
	f.state("b").suspectUntil = time.Now().Add(time.Minute) // the other one is tried first
	began := time.Now()
	out := &collector{}
	result := f.Stream(t.Context(), request("r", true, 100*time.Millisecond, 8*time.Second), out)
	is.Equal(result.Outcome, OutcomeAnswered)
	is.Equal(out.text, events(1, 6))
	is.Equal(runs.Load(), int32(1))
	is.True(time.Since(began) < 3*time.Second)
}

// A sound stream has an event each one and a half seconds, at every target. It ends whole.
func TestSlowSoundStreamEndsWhole(t *testing.T) {
	is := is.New(t)
	a, _ := streamTarget(t, "a", 4, 1500*time.Millisecond, complete)
	b, _ := streamTarget(t, "b", 4, 1500*time.Millisecond, complete)
	c, _ := streamTarget(t, "c", 4, 1500*time.Millisecond, complete)
	out := &collector{}
	result := newForwarder(a, b, c).Stream(t.Context(), request("r", true, 100*time.Millisecond, 20*time.Second), out)
	is.Equal(result.Outcome, OutcomeAnswered)
	is.Equal(out.text, events(1, 4))
}

// A stream without a length ends with its connection. One that ends within an event is not
// whole.
func TestStreamThatEndsWithinAnEventIsNotWhole(t *testing.T) {
	is := is.New(t)
	broken := startTarget(t, "a", behaviour{runs: true, respond: func(w io.Writer, _ string) {
		_, _ = io.WriteString(w, "HTTP/1.1 200 OK\r\nContent-Type: events\r\nConnection: close\r\n\r\n"+event(1)+"id: 2\nda")
		_ = w.(net.Conn).Close()
	}})
	out := &collector{}
	result := newForwarder(broken).Stream(t.Context(), request("r", false, time.Second, 2*time.Second), out)
	is.Equal(result.Outcome, OutcomeCut)
	is.Equal(out.text, event(1))
}
