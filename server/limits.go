package server

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"

	"merlinhall/connbudget"
)

// Limits bound the size and duration of what a client sends. A field that is not
// positive stands for its value in DefaultLimits.
type Limits struct {
	HeaderBytes int           // maximum size of a request header; a larger one gets status 431
	HeaderTime  time.Duration // maximum time to receive a request header
	Idle        time.Duration // time after which an idle connection is closed
}

// DefaultLimits returns the limits that a server starts with.
func DefaultLimits() Limits {
	return Limits{HeaderBytes: DefaultMaxHeaderBytes, HeaderTime: defaultHeaderTimeout, Idle: defaultIdleTimeout}
}

func (l Limits) withDefaults() Limits {
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

// SetLimits changes the limits for new connections. Open connections keep the limits
// under which they were accepted.
func (s *Server) SetLimits(l Limits) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if l = l.withDefaults(); l == s.limits || s.closing {
		return
	}
	s.limits = l
	// The limits of a running http.Server cannot be changed without a data race, so
	// new connections go to a new server.
	if n := len(s.servers); n > 0 {
		s.servers[n-1].queue.stop()
	}
	s.servers = append(s.servers, s.newLimitedServer(l))
}

// acceptRetryDelay is the time until the next attempt after accepting a connection
// failed with a transient error, such as a lack of file descriptors or memory. These are
// freed when open connections are closed.
const acceptRetryDelay = 100 * time.Millisecond

func isTransientAcceptError(err error) bool {
	return errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) || errors.Is(err, syscall.ENOBUFS) ||
		errors.Is(err, syscall.ENOMEM) || errors.Is(err, syscall.ECONNABORTED)
}

// limitedServer is an http.Server that serves the connections accepted under the
// same limits.
type limitedServer struct {
	server *http.Server
	queue  *connQueue
}

func (s *Server) newLimitedServer(l Limits) *limitedServer {
	ls := &limitedServer{
		queue: &connQueue{conns: make(chan net.Conn), done: make(chan struct{}), addr: s.listener.Addr()},
		server: &http.Server{
			Handler:           s.handler,
			MaxHeaderBytes:    l.HeaderBytes,
			ReadHeaderTimeout: l.HeaderTime,
			IdleTimeout:       l.Idle,
			ConnContext:       connbudget.Context,
			ConnState:         connbudget.Note,
		},
	}
	allowManyHeaderFields(ls.server, l.HeaderBytes)
	go func() { _ = ls.server.Serve(ls.queue) }()
	return ls
}

// accept passes connections to the newest server until the listener is closed.
func (s *Server) accept() {
	defer close(s.accepted)
	for {
		c, err := s.listener.Accept()
		switch {
		case err == nil:
			s.dispatch(c)
		case isTransientAcceptError(err):
			time.Sleep(acceptRetryDelay)
		case errors.Is(err, os.ErrDeadlineExceeded): // Shutdown
			s.acceptBacklog()
			return
		default:
			return
		}
	}
}

// acceptBacklog accepts the connections that the kernel has accepted already, perhaps with a
// request: closing the listener would reset them. It ends once none has come for backlogTime.
func (s *Server) acceptBacklog() {
	for end := time.Now().Add(maxBacklogTime); time.Now().Before(end); {
		if s.tcp.SetDeadline(time.Now().Add(backlogTime)) != nil {
			return
		}
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.dispatch(c)
	}
}

func (s *Server) dispatch(c net.Conn) {
	if s.clients != nil {
		if c = s.clients.Admit(c); c == nil {
			return
		}
	}
	for {
		s.mu.Lock()
		newest := s.servers[len(s.servers)-1]
		closing := s.closing
		s.mu.Unlock()
		switch {
		case newest.queue.put(c):
			return
		case closing:
			_ = c.Close()
			return
		}
		// SetLimits has added a newer server in the meantime.
	}
}

// stopAll closes the listener, stops all servers by stop and returns the first error.
func (s *Server) stopAll(stop func(*http.Server) error) error {
	s.mu.Lock()
	s.closing = true
	servers := s.servers
	s.mu.Unlock()
	first := s.listener.Close()
	if errors.Is(first, net.ErrClosed) {
		first = nil // Close after Shutdown
	}
	for _, ls := range servers {
		if err := stop(ls.server); first == nil {
			first = err
		}
	}
	return first
}

const (
	// backlogTime is the time without a new connection after which a stopping server closes
	// its listener; maxBacklogTime is how long it goes on to accept at most.
	backlogTime    = 20 * time.Millisecond
	maxBacklogTime = 500 * time.Millisecond
	// lastRequestTime is how long a server whose listener is closed goes on to take requests
	// over open connections, several times the way from a client (3 ms). net/http drops
	// each request that it reads after Shutdown.
	lastRequestTime = 20 * time.Millisecond
)

// Shutdown stops accepting connections and waits until running requests have ended or
// ctx is done.
func (s *Server) Shutdown(ctx context.Context) error {
	if s.tcp.SetDeadline(time.Now()) == nil { // fails if it is closed
		<-s.accepted
		_ = s.listener.Close()
		time.Sleep(s.lastRequestTime)
	}
	return s.stopAll(func(h *http.Server) error { return h.Shutdown(ctx) })
}

// Close closes the listener and all its connections immediately.
func (s *Server) Close() error { return s.stopAll((*http.Server).Close) }

// connQueue is the net.Listener of a limitedServer. Its connections are added by put.
type connQueue struct {
	conns chan net.Conn
	done  chan struct{}
	addr  net.Addr
	once  sync.Once
}

// put hands c to the server and reports whether it was accepted; it is not after stop.
func (q *connQueue) put(c net.Conn) bool {
	select {
	case q.conns <- c:
		return true
	case <-q.done:
		return false
	}
}

func (q *connQueue) stop() { q.once.Do(func() { close(q.done) }) }

// Accept implements net.Listener.
func (q *connQueue) Accept() (net.Conn, error) {
	select {
	case c := <-q.conns:
		return c, nil
	case <-q.done:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (q *connQueue) Close() error {
	q.stop()
	return nil
}

// Addr implements net.Listener.
func (q *connQueue) Addr() net.Addr { return q.addr }
