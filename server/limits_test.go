package server

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

const getRequest = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"

// requestStatus sends a request over c and returns the status of the response.
func requestStatus(t *testing.T, c net.Conn, request string) int {
	t.Helper()
	is := is.New(t)
	_, err := c.Write([]byte(request))
	is.NoErr(err)
	is.NoErr(c.SetReadDeadline(time.Now().Add(5 * time.Second)))
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	is.NoErr(err)
	return response.StatusCode
}

func connect(t *testing.T, s *Server) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", s.Addr())
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = c.Close() })
	return c
}

// closedWithin reports whether the server closes c within limit.
func closedWithin(c net.Conn, limit time.Duration) bool {
	_ = c.SetReadDeadline(time.Now().Add(limit))
	_, err := io.Copy(io.Discard, c)
	return !errors.Is(err, os.ErrDeadlineExceeded)
}

// Guards against SetLimits having no effect on new connections, and against a change
// of the limits of open ones.
func TestNewConnectionsHaveTheNewLimits(t *testing.T) {
	is := is.New(t)
	s, err := Start("127.0.0.1:0", ok, nil)
	is.NoErr(err)
	defer s.Close()
	before := connect(t, s)
	is.Equal(requestStatus(t, before, getRequest), 200)

	s.SetLimits(Limits{HeaderBytes: 1024, HeaderTime: 100 * time.Millisecond, Idle: 200 * time.Millisecond})
	// net/http accepts headers of up to 4 KB above the limit.
	large := "GET / HTTP/1.1\r\nHost: h\r\nX-Large: " + strings.Repeat("x", 8<<10) + "\r\n\r\n"
	is.Equal(requestStatus(t, connect(t, s), large), http.StatusRequestHeaderFieldsTooLarge)
	slow := connect(t, s)
	_, err = slow.Write([]byte(getRequest[:10]))
	is.NoErr(err)
	is.True(closedWithin(slow, 2*time.Second))
	idle := connect(t, s)
	is.Equal(requestStatus(t, idle, getRequest), 200)
	time.Sleep(100 * time.Millisecond) // half of the idle time
	is.Equal(requestStatus(t, idle, getRequest), 200)
	is.True(closedWithin(idle, 2*time.Second))
	is.Equal(requestStatus(t, before, getRequest), 200) // keeps its longer idle timeout
}

// Guards against a shutdown that does not wait for requests on connections accepted
// under earlier limits.
func TestShutdownWaitsForAllConnections(t *testing.T) {
	is := is.New(t)
	entered, release := make(chan struct{}), make(chan struct{})
	s, err := Start("127.0.0.1:0", http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		close(entered)
		<-release
	}), nil)
	is.NoErr(err)
	defer s.Close()
	status := make(chan int, 1)
	old := connect(t, s)
	go func() { status <- requestStatus(t, old, getRequest) }()
	<-entered
	s.SetLimits(Limits{Idle: time.Second})
	ended := make(chan error, 1)
	go func() { ended <- s.Shutdown(context.Background()) }()
	select {
	case <-ended:
		t.Fatal("the server ended while a request was running")
	case <-time.After(100 * time.Millisecond):
	}
	close(release)
	is.Equal(<-status, 200)
	is.NoErr(<-ended)
}

// Guards against connections that are lost while the limits change repeatedly.
func TestLimitsChangeWhileClientsConnect(t *testing.T) {
	is := is.New(t)
	s, err := Start("127.0.0.1:0", ok, nil)
	is.NoErr(err)
	defer s.Close()
	go func() {
		for i := range 50 {
			s.SetLimits(Limits{Idle: time.Minute + time.Duration(i)})
		}
	}()
	for range 50 {
		is.Equal(requestStatus(t, connect(t, s), getRequest), 200)
	}
}
