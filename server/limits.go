package server

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// Limits bound what a client may send and how long it may take. A field that is 0
// has the value of DefaultLimits.
type Limits struct {
	HeaderBytes int           // of a request; a longer header gets 431
	HeaderTime  time.Duration // in which a client sends its header
	Idle        time.Duration // after which an unused connection is closed
}

// DefaultLimits returns the limits of a server that was given none.
func DefaultLimits() Limits {
	return Limits{HeaderBytes: MaxHeaderBytes, HeaderTime: readHeaderLimit, Idle: idleLimit}
}

func (l Limits) filled() Limits {
	d := DefaultLimits()
	if l.HeaderBytes <= 0 {
		l.HeaderBytes = d.HeaderBytes
	}
	if l.HeaderTime <= 0 {
		l.HeaderTime = d.HeaderTime
	}
	if l.Idle <= 0 {
		l.Idle = d.Idle
	}
	return l
}

// SetLimits puts other limits in force for connections that are accepted from now
// on. Open connections keep those that they were accepted with.
func (s *Server) SetLimits(l Limits) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if l = l.filled(); l == s.limits || s.closing {
		return
	}
	s.limits = l
	// net/http reads the limits of a server while it serves, so they cannot be
	// changed in place.
	if n := len(s.stages); n > 0 {
		s.stages[n-1].queue.stop()
	}
	s.stages = append(s.stages, s.newStage(l))
}

// acceptPause is the wait after a connection could not be accepted for want of
// descriptors or memory, which ends with some of the open ones.
const acceptPause = 100 * time.Millisecond

func isShortage(err error) bool {
	return errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) || errors.Is(err, syscall.ENOBUFS) ||
		errors.Is(err, syscall.ENOMEM) || errors.Is(err, syscall.ECONNABORTED)
}

// stage serves the connections that were accepted under the same limits.
type stage struct {
	http  *http.Server
	queue *queue
}

func (s *Server) newStage(l Limits) *stage {
	st := &stage{
		queue: &queue{conns: make(chan net.Conn), done: make(chan struct{}), addr: s.listener.Addr()},
		http: &http.Server{
			Handler:           s.handler,
			MaxHeaderBytes:    l.HeaderBytes,
			ReadHeaderTimeout: l.HeaderTime,
			IdleTimeout:       l.Idle,
		},
	}
	go func() { _ = st.http.Serve(st.queue) }()
	return st
}

// accept hands connections to the newest stage until the listener is closed.
func (s *Server) accept() {
	for {
		c, err := s.listener.Accept()
		switch {
		case err == nil:
			s.hand(c)
		case isShortage(err):
			time.Sleep(acceptPause)
		default:
			return
		}
	}
}

func (s *Server) hand(c net.Conn) {
	for {
		s.mu.Lock()
		newest := s.stages[len(s.stages)-1]
		closing := s.closing
		s.mu.Unlock()
		switch {
		case newest.queue.put(c):
			return
		case closing:
			_ = c.Close()
			return
		}
		// The limits changed meanwhile.
	}
}

// each ends all stages, and returns the first error.
func (s *Server) each(end func(*http.Server) error) error {
	s.mu.Lock()
	s.closing = true
	stages := s.stages
	s.mu.Unlock()
	first := s.listener.Close()
	if errors.Is(first, net.ErrClosed) {
		first = nil // Close after Shutdown
	}
	for _, st := range stages {
		if err := end(st.http); first == nil {
			first = err
		}
	}
	return first
}

// Shutdown accepts no more connections and waits for running requests until ctx
// ends.
func (s *Server) Shutdown(ctx context.Context) error {
	return s.each(func(h *http.Server) error { return h.Shutdown(ctx) })
}

// Close ends the listener and all its connections at once.
func (s *Server) Close() error { return s.each((*http.Server).Close) }

// queue is the listener of one stage: connections are put into it.
type queue struct {
	conns chan net.Conn
	done  chan struct{}
	addr  net.Addr
	once  sync.Once
}

// put reports whether the stage took c.
func (q *queue) put(c net.Conn) bool {
	select {
	case q.conns <- c:
		return true
	case <-q.done:
		return false
	}
}

func (q *queue) stop() { q.once.Do(func() { close(q.done) }) }

// Accept implements net.Listener.
func (q *queue) Accept() (net.Conn, error) {
	select {
	case c := <-q.conns:
		return c, nil
	case <-q.done:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (q *queue) Close() error {
	q.stop()
	return nil
}

// Addr implements net.Listener.
func (q *queue) Addr() net.Addr { return q.addr }
