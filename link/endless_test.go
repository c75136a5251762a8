package link

import (
	"bufio"
	"bytes"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"merlinhall/loopback"
	"merlinhall/wire"
)

// A dial reaches a process in trouble that sends without end.
func TestDialToBytesWithoutEnd(t *testing.T) {
	for name, c := range map[string]struct{ first, again string }{
		"status line":             {"HTTP/1.1 101 ", "a"},
		"field":                   {"HTTP/1.1 101 Switching Protocols\r\nA: ", "b"},
		"fields":                  {"HTTP/1.1 101 Switching Protocols\r\n", "A: b\r\n"},
		"informational responses": {"", "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n"},
		"body":                    {"HTTP/1.1 200 OK\r\n\r\n", "a"},
		"no WebSocket":            {"HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: websocket\r\n\r\n", "a"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			server := loopback.ServeEndless(t, c.first, c.again)
			var err error
			allocated := loopback.Allocated(func() {
				_, err = Dial(t.Context(), NewHTTPClient(nil), "ws", server.Address, wire.Hello{Process: "c"}, newRecorder())
			})
			end := server.Next(t)
			t.Logf("%.120v; %d KB allocated, closed after %v", err, allocated>>10, end.Took)
			is.True(err != nil)
			is.True(allocated < 4<<20)
			is.True(end.Closed)
			is.True(end.Took < loopback.CloseTime)
		})
	}
}

// upgrade opens a WebSocket without a client that would observe its protocol.
func upgrade(t *testing.T, address string) net.Conn {
	t.Helper()
	is := is.New(t)
	c, err := net.Dial("tcp", address)
	is.NoErr(err)
	t.Cleanup(func() { _ = c.Close() })
	is.NoErr(c.SetDeadline(time.Now().Add(loopback.Deadline)))
	_, err = c.Write([]byte("GET " + Path + " HTTP/1.1\r\nHost: h\r\nConnection: Upgrade\r\nUpgrade: websocket\r\nSec-WebSocket-Version: 13\r\nSec-WebSocket-Key: AAAAAAAAAAAAAAAAAAAAAA==\r\n\r\n"))
	is.NoErr(err)
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	is.NoErr(err)
	is.Equal(response.StatusCode, http.StatusSwitchingProtocols)
	return c
}

// A peer sends without end before or after its hello: in a message, in fragments of one, or
// in control frames.
func TestFramesWithoutEnd(t *testing.T) {
	const mask = "\x00\x00\x00\x00"
	frame, err := wire.Encode(&wire.Hello{Process: "c"})
	is.New(t).NoErr(err)
	hello := "\x82" + string([]byte{0x80 | byte(len(frame))}) + mask + string(frame)
	kilobyte := string(bytes.Repeat([]byte{1}, 1<<10))
	message := "\x82\xff\x00\x00\x7f\xff\xff\xff\xff\xff" + mask
	// Each of these frames is small and forgotten; the time of the handshake or the silence
	// of the peer ends them.
	const garbage = 512 << 20
	for name, c := range map[string]struct {
		first, again string
		allocated    int64
		took         time.Duration
	}{
		"message before the hello":         {message, kilobyte, 1 << 20, loopback.CloseTime},
		"fragments before the hello":       {"\x02\x80" + mask, "\x00\xfe\x04\x00" + mask + kilobyte, 1 << 20, loopback.CloseTime},
		"empty fragments before the hello": {"\x02\x80" + mask, "\x00\x80" + mask, garbage, loopback.CloseTime},
		"message":                          {hello + message, kilobyte, 64 << 20, loopback.CloseTime},
		"fragments":                        {hello + "\x02\x80" + mask, "\x00\xfe\x04\x00" + mask + kilobyte, 64 << 20, loopback.CloseTime},
		"empty fragments":                  {hello + "\x02\x80" + mask, "\x00\x80" + mask, garbage, loopback.CloseTime},
		"pings":                            {hello, "\x89\x80" + mask, garbage, loopback.CloseTime},
		"unmasked":                         {hello, "\x82\x01a", 1 << 20, loopback.CloseTime},
		"control frame":                    {hello + "\x89\xff\x00\x00\x7f\xff\xff\xff\xff\xff" + mask, kilobyte, 1 << 20, loopback.CloseTime},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			srv := httptest.NewServer(Accept(wire.Hello{Process: "s"}, newRecorder()))
			defer srv.Close()
			conn := upgrade(t, strings.TrimPrefix(srv.URL, "http://"))
			block := []byte(strings.Repeat(c.again, 1+(16<<10)/len(c.again)))
			began, sent := time.Now(), 0
			allocated := loopback.Allocated(func() {
				for next := []byte(c.first); ; next = block {
					n, err := conn.Write(next)
					sent += n
					if err != nil {
						return
					}
				}
			})
			took := time.Since(began)
			t.Logf("%d KB sent, %d KB allocated, closed after %v", sent>>10, allocated>>10, took)
			is.True(allocated < c.allocated)
			is.True(took < c.took)
		})
	}
}
