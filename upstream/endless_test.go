package upstream

import (
	"context"
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"merlinhall/loopback"
)

const (
	// testDeadline is the deadline of a request to a target that sends without end. A
	// reader with a limit ends the request long before.
	testDeadline = 2 * time.Second
	// testCloseTime is the time in which such a connection must be closed, on a busy
	// machine and with the race detector.
	testCloseTime = time.Second
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
			ctx, cancel := context.WithTimeout(t.Context(), testDeadline)
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
			is.True(end.Took < testCloseTime)
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
	is.True(end.Took < testCloseTime)
}

// A target sends without end while the request is still being written.
func TestHeadWithoutEndBeforeTheRequestIsRead(t *testing.T) {
	is := is.New(t)
	server := loopback.ServeEndless(t, "HTTP/1.1 200 OK\r\nA: ", "b")
	ctx, cancel := context.WithTimeout(t.Context(), testDeadline)
	defer cancel()
	large := post("1")
	large.Body = make([]byte, 16<<20)
	_, _, err := newTestPool().Do(ctx, Address{HostPort: server.Address, ID: "t"}, large)
	is.True(errors.Is(err, errHeadTooLong))
	is.NoErr(ctx.Err())
	end := server.Next(t)
	is.True(end.Closed)
	is.True(end.Took < testCloseTime)
}
