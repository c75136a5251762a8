package control

import (
	"context"
	"testing"

	"github.com/matryer/is"

	"merlinhall/loopback"
)

// The platform's host list comes without end.
func TestHostListWithoutEnd(t *testing.T) {
	for name, c := range map[string]struct{ first, again string }{
		"field":                   {"HTTP/1.1 200 OK\r\nA: ", "b"},
		"informational responses": {"", "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n"},
		"string":                  {"HTTP/1.1 200 OK\r\n\r\n[{\"host\":\"", "a"},
		"array":                   {"HTTP/1.1 200 OK\r\n\r\n[", "{},"},
		"spaces":                  {"HTTP/1.1 200 OK\r\n\r\n", " "},
		"error":                   {"HTTP/1.1 500 Internal Server Error\r\n\r\n", "a"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			server := loopback.ServeEndless(t, c.first, c.again)
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			control := &Control{runCtx: ctx}
			control.options.HostsURL = "http://" + server.Address + "/hosts"
			allocated := loopback.Allocated(func() {
				_, err := control.fetchHostList(newHostListClient())
				is.True(err != nil)
			})
			end := server.Next(t)
			t.Logf("%d KB allocated, closed after %v", allocated>>10, end.Took)
			is.True(allocated < 96<<20) // a list of 4 MB, with what growing leaves behind
			is.True(end.Closed)
			is.True(end.Took < loopback.CloseTime)
		})
	}
}
