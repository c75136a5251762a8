package upstream

import (
	"context"
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"merlinhall/loopback"
	"merlinhall/memory"
)

// A target sends a head without end: http.ReadResponse takes memory for all of it until
// the deadline of the request.
func TestHeadWithoutEnd(t *testing.T) {
	for name, c := range map[string]struct{ first, again string }{
		"status line":                     {"HTTP/1.1 200 ", "OK "},
		"no response":                     {"\x00", "\x01\x02"},
		"field name":                      {"HTTP/1.1 200 OK\r\nA", "bc"},
		"field value":                     {"HTTP/1.1 200 OK\r\nA: ", "b"},
		"continued field":                 {"HTTP/1.1 200 OK\r\nA: b\r\n", " c\r\n"},
		"fields":                          {"HTTP/1.1 200 OK\r\n", "A: b\r\n"},
		"informational responses":         {"", "HTTP/1.1 100 Continue\r\n\r\n"},
		"informational responses, fields": {"", "HTTP/1.1 103 Early Hints\r\nLink: a\r\nLink: b\r\n\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			server := loopback.ServeEndless(t, c.first, c.again)
			ctx, cancel := context.WithTimeout(t.Context(), loopback.Deadline)
			defer cancel()
			var err error
			allocated := loopback.Allocated(func() {
				_, _, err = newTestPool().Do(ctx, Address{HostPort: server.Address, ID: "t"}, post("1"))
			})
			end := server.Next(t)
			t.Logf("%v; %d KB allocated; closed after %v, %d KB sent", err, allocated>>10, end.Took, end.Sent>>10)
			var failure *Failure
			is.True(errors.As(err, &failure))
			is.True(!failure.NotSent) // it may have run
			is.NoErr(ctx.Err())       // the limit ended it, not the deadline
			is.True(len(err.Error()) < 512)
			is.True(allocated < 4<<20) // bytes
			is.True(end.Closed)
			is.True(end.Took < loopback.CloseTime)
		})
	}
}

// Guards against limits that a sound response exceeds.
func TestHeadBelowTheLimit(t *testing.T) {
	is := is.New(t)
	server := loopback.ServeEndless(t, "HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 200 OK\r\nA: "+strings.Repeat("a", 40<<10)+"\r\nContent-Length: 2\r\n\r\nok", "x")
	_, body, err := newTestPool().Do(t.Context(), Address{HostPort: server.Address, ID: "t"}, post("1"))
	is.NoErr(err)
	is.Equal(string(body), "ok")
	end := server.Next(t)
	is.True(end.Closed) // what follows the response is not read
	is.True(end.Took < loopback.CloseTime)
}

// A target sends without end while the request is still being written.
func TestHeadWithoutEndBeforeTheRequestIsRead(t *testing.T) {
	is := is.New(t)
	server := loopback.ServeEndless(t, "HTTP/1.1 200 OK\r\nA: ", "b")
	ctx, cancel := context.WithTimeout(t.Context(), loopback.Deadline)
	defer cancel()
	large := post("1")
	large.Body = make([]byte, 16<<20)
	_, _, err := newTestPool().Do(ctx, Address{HostPort: server.Address, ID: "t"}, large)
	is.True(errors.Is(err, errHeadTooLong))
	is.NoErr(ctx.Err())
	end := server.Next(t)
	is.True(end.Closed)
	is.True(end.Took < loopback.CloseTime)
}

// A target sends a body without end. Each of the requests in flight would take 32 MB.
func TestBodyWithoutEnd(t *testing.T) {
	const (
		requests = 8
		budget   = 8 << 20
	)
	for name, c := range map[string]struct{ first, again string }{
		"without length":    {"HTTP/1.1 200 OK\r\n\r\n", "body "},
		"length":            {"HTTP/1.1 200 OK\r\nContent-Length: 33000000\r\n\r\n", "body "},
		"length over limit": {"HTTP/1.1 200 OK\r\nContent-Length: 9000000000000\r\n\r\n", "body "},
		"chunks":            {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "1000\r\n" + strings.Repeat("b", 0x1000) + "\r\n"},
		"one chunk":         {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nfffffffffff\r\n", "body "},
		"chunk size line":   {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "0"},
		"chunk extension":   {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;a=", "b"},
		"trailer line":      {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nA: ", "b"},
		"trailer fields":    {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n", "A: b\r\n"},
		"error":             {"HTTP/1.1 500 Internal Server Error\r\n\r\n", "body "},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			server := loopback.ServeEndless(t, c.first, c.again)
			ctx, cancel := context.WithTimeout(t.Context(), loopback.Deadline)
			defer cancel()
			p := newTestPool()
			p.Memory = memory.NewBudget(budget)
			errs := make(chan error, requests)
			allocated := loopback.Allocated(func() {
				for range requests {
					go func() {
						_, _, err := p.Do(ctx, Address{HostPort: server.Address, ID: "t"}, post("1"))
						errs <- err
					}()
				}
				for range requests {
					err := <-errs
					var failure *Failure
					is.True(errors.As(err, &failure))
					is.True(!failure.NotSent) // it may have run
					t.Log(err)
				}
			})
			is.NoErr(ctx.Err()) // a limit ended them, not the deadline
			is.Equal(p.Memory.Used(), int64(0))
			var took time.Duration
			for range requests {
				end := server.Next(t)
				is.True(end.Closed)
				took = max(took, end.Took)
			}
			t.Logf("%d requests: %d KB allocated, closed after %v", requests, allocated>>10, took)
			is.True(allocated < 8*budget) // including the copies made as buffers grow
			is.True(took < loopback.CloseTime)
		})
	}
}

// Chunks of a byte are slow to read and sound: the deadline or the limit ends them.
func TestChunksOfAByteWithoutEnd(t *testing.T) {
	is := is.New(t)
	server := loopback.ServeEndless(t, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\nb\r\n")
	ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
	defer cancel()
	p := newTestPool()
	p.Memory = memory.NewBudget(4 << 20)
	allocated := loopback.Allocated(func() {
		_, _, err := p.Do(ctx, Address{HostPort: server.Address, ID: "t"}, post("1"))
		is.True(err != nil)
	})
	end := server.Next(t)
	t.Logf("%d KB allocated, closed after %v", allocated>>10, end.Took)
	is.Equal(p.Memory.Used(), int64(0))
	is.True(allocated < 16<<20)
	is.True(end.Closed)
	is.True(end.Took < loopback.CloseTime)
}
