package agent

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"merlinhall/loopback"
	"merlinhall/wire"
)

// repeated is a reader of the same text without end.
type repeated struct {
	text string
	read int
}

func (r *repeated) Read(p []byte) (int, error) {
	n := 0
	for n+len(r.text) <= len(p) {
		n += copy(p[n:], r.text)
	}
	r.read += n
	return n, nil
}

// An engine sends lines without an event, or a line without end.
func TestEventLinesWithoutEnd(t *testing.T) {
	for name, text := range map[string]string{"comments": ": a\n", "blank lines": "\n", "other fields": "id: 1\n", "line": "data: a", "line without field": "x"} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			body := repeated{text: text}
			_, err := readEvent(bufio.NewReaderSize(io.LimitReader(&body, 64<<20), maxEventBytes))
			is.True(err != nil)
			is.True(err != errTruncated) // the limit ended it
			is.True(body.read <= 3*maxEventBytes)
		})
	}
}

// A target or a store sends without end where its state, the response to an order, to a
// request or weights are expected.
func TestResponsesWithoutEnd(t *testing.T) {
	for name, c := range map[string]struct{ first, again string }{
		"status line":             {"HTTP/1.1 200 ", "OK "},
		"field":                   {"HTTP/1.1 200 OK\r\nA: ", "b"},
		"fields":                  {"HTTP/1.1 200 OK\r\n", "A: b\r\n"},
		"informational responses": {"", "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n"},
		"body":                    {"HTTP/1.1 200 OK\r\n\r\n", "a"},
		"array":                   {"HTTP/1.1 200 OK\r\n\r\n[", "1,"},
		"string":                  {"HTTP/1.1 200 OK\r\n\r\n{\"model\":\"", "a"},
		"error":                   {"HTTP/1.1 500 Internal Server Error\r\n\r\n", "a"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			server := loopback.ServeEndless(t, c.first, c.again)
			engine := &engineTarget{address: server.Address, transport: newTransport()}
			ctx, cancel := context.WithTimeout(t.Context(), 3*loopback.Deadline)
			defer cancel()
			allocated := loopback.Allocated(func() {
				_, err := engine.state(ctx, 0)
				is.True(err != nil)
				engine.load(ctx, 1, wire.Fence{})
				var failure error
				reader := &storeReader{slots: make(chan struct{}, storeReadAhead), post: func(any) bool { return true }}
				failure = reader.read(ctx, newTransport(), "http://"+server.Address+"/weights", 0)
				is.True(failure != nil)
			})
			is.NoErr(ctx.Err())
			t.Logf("%d KB allocated", allocated>>10)
			is.True(allocated < 40<<20) // a state has 8 MB at most
			for range 3 {
				end := server.Next(t)
				is.True(end.Closed)
				is.True(end.Took < loopback.CloseTime)
			}
		})
	}
}

// The answer of a service may be of any length: the agent passes it on in chunks, and reads
// no more than its window while they are not confirmed.
func TestServiceAnswerWithoutEndIsReadByTheWindow(t *testing.T) {
	is := is.New(t)
	server := loopback.ServeEndless(t, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nfffffffffff\r\n", "a")
	idle := func() time.Duration { return time.Minute }
	service := &serviceTarget{address: server.Address, transport: newTransport(), idleTimeout: idle, onSilent: func() {}}
	chunks := 0
	s := newSink("r", func(m any) bool { chunks++; return true })
	ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
	defer cancel()
	allocated := loopback.Allocated(func() {
		last := service.run(ctx, &wire.Run{ID: "r", Method: http.MethodGet, Path: "/"}, s)
		is.True(last.End != wire.EndComplete)
	})
	is.True(chunks <= Window)
	is.True(allocated < 2<<20)
	is.True(server.Next(t).Closed)
}

// Guards against a limit that a sound stream exceeds.
func TestManyEventsAreRead(t *testing.T) {
	is := is.New(t)
	in := bufio.NewReaderSize(strings.NewReader(strings.Repeat(": c\n\ndata: x\n\n", 50_000)), maxEventBytes)
	for range 50_000 {
		data, err := readEvent(in)
		is.NoErr(err)
		is.Equal(string(data), "x")
	}
}
