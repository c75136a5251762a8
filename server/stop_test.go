package server

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against connections that were open before a planned stop, with their requests
// sent, and are reset because the process had not accepted them yet.
func TestShutdownServesTheBacklog(t *testing.T) {
	is := is.New(t)
	const clients = 60
	for range 5 {
		s, err := Start("127.0.0.1:0", ok, nil)
		is.NoErr(err)
		s.mu.Lock() // no connection is accepted meanwhile
		var conns []net.Conn
		for range clients {
			c := connect(t, s)
			_, err := c.Write([]byte(getRequest))
			is.NoErr(err)
			conns = append(conns, c)
		}
		done := make(chan error, 1)
		go func() { done <- s.Shutdown(t.Context()) }()
		time.Sleep(time.Millisecond) // so that Shutdown, too, waits
		s.mu.Unlock()
		for _, c := range conns {
			is.NoErr(c.SetReadDeadline(time.Now().Add(10 * time.Second)))
			response, err := http.ReadResponse(bufio.NewReader(c), nil)
			is.NoErr(err) // reset
			is.Equal(response.StatusCode, http.StatusOK)
			is.NoErr(c.Close())
		}
		is.NoErr(<-done)
	}
}

// waitUntilClosed waits until the server accepts no connections.
func waitUntilClosed(t *testing.T, s *Server) {
	t.Helper()
	for range 10_000 {
		c, err := net.Dial("tcp", s.Addr())
		if err != nil {
			return
		}
		_ = c.Close()
		time.Sleep(time.Millisecond)
	}
	t.Fatal("the listener stays open")
}

// Guards against a request that is dropped because it arrives, over a new connection or a
// kept one, just after the listener was closed.
func TestRequestsUnderWayAtTheStopAreServed(t *testing.T) {
	is := is.New(t)
	s, err := Start("127.0.0.1:0", ok, nil)
	is.NoErr(err)
	s.lastRequestTime = 2 * time.Second
	opened, kept := connect(t, s), connect(t, s)
	is.Equal(requestStatus(t, kept, getRequest), http.StatusOK)
	done := make(chan error, 1)
	go func() { done <- s.Shutdown(t.Context()) }()
	waitUntilClosed(t, s)
	is.Equal(requestStatus(t, opened, getRequest), http.StatusOK)
	is.Equal(requestStatus(t, kept, getRequest), http.StatusOK)
	is.NoErr(<-done)
}

// Guards against a planned stop that cuts a request of which half of the body has arrived.
func TestShutdownWaitsForTheRestOfABody(t *testing.T) {
	is := is.New(t)
	began := make(chan struct{}, 1)
	s, err := Start("127.0.0.1:0", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		began <- struct{}{}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			w.WriteHeader(http.StatusBadRequest)
		}
		_, _ = w.Write(body)
	}), nil)
	is.NoErr(err)
	c := connect(t, s)
	_, err = c.Write([]byte("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\nhalf "))
	is.NoErr(err)
	<-began
	done := make(chan error, 1)
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	go func() { done <- s.Shutdown(ctx) }()
	waitUntilClosed(t, s)
	_, err = c.Write([]byte("whole"))
	is.NoErr(err)
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	is.NoErr(err)
	body, err := io.ReadAll(response.Body)
	is.NoErr(err)
	is.Equal(string(body), "half whole")
	is.True(!errors.Is(<-done, context.DeadlineExceeded))
}

// lateConn is a connection whose second request is read just as the server closes it.
type lateConn struct {
	net.Conn
	sent    bool // the first request
	reads   int  // after it
	aborted chan struct{}
	idle    chan struct{} // closed once the server waits for the second request
	wait    sync.Once
	closed  chan struct{}
	once    sync.Once
}

func (c *lateConn) Read(b []byte) (int, error) {
	if !c.sent {
		c.sent = true
		return copy(b, getRequest), nil
	}
	if c.reads++; c.reads > 1 {
		c.wait.Do(func() { close(c.idle) })
	}
	select {
	case <-c.aborted: // the server ends its read during the first request
		return 0, os.ErrDeadlineExceeded
	case <-c.closed:
		return copy(b, getRequest), nil
	}
}

func (c *lateConn) SetReadDeadline(at time.Time) error {
	if !at.IsZero() && at.Before(time.Now()) {
		c.aborted <- struct{}{}
	}
	return nil
}

func (c *lateConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

// Guards against a request that runs although the planned stop has closed its kept
// connection meanwhile: nobody gets the answer, and the client may send it again elsewhere.
func TestRequestOnAConnectionClosedByTheStopDoesNotRun(t *testing.T) {
	is := is.New(t)
	var runs atomic.Int32
	handler := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { runs.Add(1) })
	local, remote := net.Pipe()
	go func() { _, _ = io.Copy(io.Discard, remote) }()
	ended := make(chan struct{})
	s, err := Start("127.0.0.1:0", handler, nil)
	is.NoErr(err)
	late := &lateConn{Conn: local, aborted: make(chan struct{}, 1), idle: make(chan struct{}), closed: make(chan struct{})}
	s.dispatch(late)
	<-late.idle
	go func() {
		defer close(ended)
		_ = s.Shutdown(t.Context())
	}()
	<-late.closed
	<-ended
	time.Sleep(20 * time.Millisecond) // a request that ran would have by now
	is.Equal(runs.Load(), int32(1))
}
