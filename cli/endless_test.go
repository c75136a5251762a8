package cli

import (
	"testing"

	"github.com/matryer/is"

	"merlinhall/loopback"
)

// A control replica, or what answers at its address, sends without end: the command must end
// with a short message.
func TestResponsesWithoutEnd(t *testing.T) {
	for name, c := range map[string]struct{ first, again string }{
		"status line":             {"HTTP/1.1 200 ", "OK "},
		"field":                   {"HTTP/1.1 200 OK\r\nA: ", "b"},
		"fields":                  {"HTTP/1.1 200 OK\r\n", "A: b\r\n"},
		"informational responses": {"", "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n"},
		"body":                    {"HTTP/1.1 200 OK\r\n\r\n", "a"},
		"one chunk":               {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nfffffffffff\r\n", "a"},
		"error":                   {"HTTP/1.1 500 Internal Server Error\r\n\r\n", "a"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			server := loopback.ServeEndless(t, c.first, c.again)
			var code int
			var out, errOut string
			allocated := loopback.Allocated(func() { code, out, errOut = run(t, "--control", server.Address, "status") })
			end := server.Next(t)
			t.Logf("%d: %.150s; %d KB allocated, closed after %v", code, errOut, allocated>>10, end.Took)
			is.True(code != 0)
			is.True(len(out)+len(errOut) < 4<<10)
			is.True(allocated < 128<<20)
			is.True(end.Closed)
			is.True(end.Took < loopback.CloseTime)
		})
	}
}
