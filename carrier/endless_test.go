package carrier

import (
	"bufio"
	"context"
	"net/http"
	"strconv"
	"strings"
	"testing"

	"github.com/matryer/is"

	"merlinhall/forward"
	"merlinhall/loopback"
	"merlinhall/memory"
	"merlinhall/upstream"
)

// engineProtocol reads responses that say nothing of a version.
type engineProtocol struct{ versionField }

func (engineProtocol) Version(http.Header) uint64 { return 0 }

func (engineProtocol) Verdict(status int, _ http.Header) forward.Verdict {
	if status >= 500 {
		return forward.FailedRun
	}
	return forward.Answered
}

// generateFrom generates a text on a server that sends without end, for at most loopback.Deadline. The
// deadline stands for the leader, which gives up an engine without events.
func generateFrom(t *testing.T, first, again string, budget int64) (end ReadEnd, text *recordedText, allocated int64, server loopback.EndlessEnd, expired bool) {
	t.Helper()
	s := loopback.ServeEndless(t, first, again)
	ctx, cancel := context.WithTimeout(t.Context(), loopback.Deadline)
	defer cancel()
	pool := upstream.NewPool(func(h http.Header) string { return h.Get("Id") })
	pool.Memory = memory.NewBudget(budget)
	text = &recordedText{}
	allocated = loopback.Allocated(func() {
		end = generate(ctx, pool, engineProtocol{}, upstream.Address{HostPort: s.Address, ID: "e"}, &upstream.Request{ID: "i", Method: "POST", URI: "/", Host: "h"}, text, 1, VersionRule{})
	})
	expired = ctx.Err() != nil
	server = s.Next(t)
	t.Logf("%s: %.80v; %d KB allocated, %d KB sent, closed after %v", end.Outcome, end.Err, allocated>>10, server.Sent>>10, server.Took)
	is.New(t).Equal(pool.Memory.Used(), int64(0))
	return end, text, allocated, server, expired
}

// An engine sends bytes that never complete an event: a reader that waits for its end takes
// memory for all of them.
func TestEventWithoutEnd(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"
	for name, c := range map[string]struct{ first, again string }{
		"line":                     {head + "data: ", "a"},
		"data lines":               {head + "id: 1\n", "data: a\n"},
		"lines of data, no blank":  {head + "id: 1\n", "data: " + strings.Repeat("a", 1000) + "\n"},
		"comments":                 {head, ": a\n"},
		"events without data":      {head, "id: 1\n\n"},
		"blank lines":              {head, "\n"},
		"after an event":           {head + "id: 1\ndata: a\n\n", "x\n"},
		"event number":             {head + "id: ", "9"},
		"event number, whole line": {head, "id: " + strings.Repeat("9", 512<<10) + "\n"},
		"weight version":           {head, "version: " + strings.Repeat("9", 512<<10) + "\n"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			end, text, allocated, server, expired := generateFrom(t, c.first, c.again, 64<<20)
			is.Equal(end.Outcome, Broken)
			is.True(end.Reached)                // it may have run
			is.True(len(end.Err.Error()) < 512) // goes to the leader and into logs
			is.True(!expired)
			is.True(len(text.events) <= 1)
			is.True(allocated < 16<<20)
			is.True(server.Closed)
			is.True(server.Took < loopback.CloseTime)
		})
	}
}

// Events that are below the limit of one must not use up the memory together.
func TestEventsShareTheMemory(t *testing.T) {
	is := is.New(t)
	end, _, allocated, server, _ := generateFrom(t, "HTTP/1.1 200 OK\r\n\r\ndata: ", "a", 256<<10)
	is.Equal(end.Outcome, Broken)
	is.Equal(end.Err, memory.ErrExhausted)
	is.True(allocated < 2<<20)
	is.True(server.Closed)
}

// A sound text may be of any length.
func TestLongTextIsRead(t *testing.T) {
	is := is.New(t)
	var text strings.Builder
	const events = 3000
	for n := range events {
		text.WriteString("id: ")
		text.WriteString(strconv.Itoa(n + 1))
		text.WriteString("\ndata: " + strings.Repeat("a", 500) + "\ndata: b\n: c\n\n")
	}
	r := &recordedText{}
	reader := textReader{p: versionField{}, next: 1, out: r}
	is.NoErr(reader.read(strings.NewReader(text.String()))) // 1.5 MB
	is.Equal(len(r.events), events)
	is.Equal(r.events[events-1], strings.Repeat("a", 500)+"\nb")
}

// The body of an error without end, and one that does not arrive, hold neither the
// connection nor the slot.
func TestErrorBodyWithoutEnd(t *testing.T) {
	for name, head := range map[string]string{
		"without length": "HTTP/1.1 500 Internal Server Error\r\n\r\n",
		"length":         "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 9000000000000\r\n\r\n",
		"one chunk":      "HTTP/1.1 500 Internal Server Error\r\nTransfer-Encoding: chunked\r\n\r\nfffffffffff\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			end, _, allocated, server, expired := generateFrom(t, head, "body", 64<<20)
			is.Equal(end.Outcome, Unfinished) // not whole, so it counts for nothing
			is.Equal(end.Error.Status, http.StatusInternalServerError)
			is.True(!expired)
			is.True(allocated < 2<<20)
			is.True(server.Closed)
			is.True(server.Took < loopback.CloseTime)
		})
	}
	t.Run("silent", func(t *testing.T) {
		is := is.New(t)
		l := loopback.Listen(t)
		defer func() { _ = l.Close() }()
		go func() {
			c, err := l.Accept()
			if err != nil {
				return
			}
			defer func() { _ = c.Close() }()
			if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
				return
			}
			_, _ = c.Write([]byte("HTTP/1.1 500 Internal Server Error\r\nContent-Length: 10\r\n\r\npart"))
			<-t.Context().Done()
		}()
		ctx, cancel := context.WithTimeout(t.Context(), loopback.Deadline)
		defer cancel()
		pool := upstream.NewPool(func(h http.Header) string { return h.Get("Id") })
		end := generate(ctx, pool, engineProtocol{}, upstream.Address{HostPort: l.Addr().String(), ID: "e"}, &upstream.Request{ID: "i", Method: "POST", URI: "/", Host: "h"}, &recordedText{}, 1, VersionRule{})
		is.Equal(end.Outcome, Unfinished) // not whole, so it counts for nothing
		is.NoErr(ctx.Err())
		is.True(end.Error.Took < loopback.CloseTime)
	})
}
