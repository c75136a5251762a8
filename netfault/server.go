package netfault

import (
	"bufio"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"merlinhall/loopback"
)

// Kinds of faults of a server's answers, besides those of all connections.
const (
	// Copy sends the answer once more, whole or up to the fault's byte, right after it.
	Copy Kind = "copy"
	// LateCopy does so where the next answer on the connection is due.
	LateCopy Kind = "late copy"
)

// Answer is the bytes of an HTTP response.
type Answer struct {
	Bytes []byte
	// Key and the number of answers with it so far fix the fault.
	Key string
}

// Server answers HTTP/1.1 requests. Each answer has one fault, at a byte of the answer.
type Server struct {
	// Address is where the server listens.
	Address string

	plan   Plan
	answer func(r *http.Request) Answer

	mu      sync.Mutex
	count   map[string]uint64
	strikes map[Kind]int
	conns   map[net.Conn]bool
	ended   bool
}

// StartServer starts a server that ends with the test. answer may be called by several
// goroutines at a time; the body of its request has been read.
func StartServer(t testing.TB, plan Plan, answer func(r *http.Request) Answer) *Server {
	t.Helper()
	l := loopback.Listen(t)
	s := &Server{
		Address: l.Addr().String(), plan: plan, answer: answer,
		count: make(map[string]uint64), strikes: make(map[Kind]int), conns: make(map[net.Conn]bool),
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go s.serve(c)
		}
	}()
	t.Cleanup(func() {
		_ = l.Close()
		s.mu.Lock()
		defer s.mu.Unlock()
		s.ended = true
		for c := range s.conns {
			_ = c.Close()
		}
		if t.Failed() {
			t.Logf("faults of seed %d at %s: %v", plan.Seed, s.Address, s.strikes)
		}
	})
	return s
}

// Strikes returns how many faults of each kind have occurred.
func (s *Server) Strikes() map[Kind]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[Kind]int)
	for kind, n := range s.strikes {
		out[kind] = n
	}
	return out
}

func (s *Server) struck(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.strikes[f.Kind]++
}

// add notes an open connection. It returns false after the end of the test.
func (s *Server) add(c net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns[c] = true
	return !s.ended
}

func (s *Server) serve(c net.Conn) {
	done := make(chan struct{})
	defer func() {
		close(done)
		_ = c.Close()
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.conns, c)
	}()
	if !s.add(c) {
		return
	}
	reader := bufio.NewReader(c)
	var late []byte
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		a := s.answer(r)
		if _, err := c.Write(late); err != nil {
			return
		}
		f := s.fault(a)
		again := f.Kind == Copy || f.Kind == LateCopy
		w := &writer{conn: c, fault: f, done: done, end: func(reset bool) { closeConn(c, reset) }, struck: s.struck}
		if again {
			w.fault = Fault{Kind: None}
			s.struck(f)
		}
		if w.fault.Kind == Stall {
			w.strikeStalled(a.Bytes, reader)
			return
		}
		if !w.write(a.Bytes) {
			return
		}
		late = nil
		switch f.Kind {
		case Copy:
			_, _ = c.Write(a.Bytes[:f.At])
		case LateCopy:
			late = a.Bytes[:f.At]
		}
	}
}

// strikeStalled sends the bytes up to the fault and then nothing until the client closes the
// connection.
func (w *writer) strikeStalled(b []byte, client io.Reader) {
	w.struck(w.fault)
	if w.send(b[:w.fault.At]) {
		_, _ = io.Copy(io.Discard, client)
	}
}

// fault returns the fault of an answer.
func (s *Server) fault(a Answer) Fault {
	s.mu.Lock()
	s.count[a.Key]++
	n := s.count[a.Key]
	s.mu.Unlock()
	h := fnv.New64a()
	_, _ = io.WriteString(h, a.Key)
	rng := rand.New(rand.NewPCG(s.plan.Seed, h.Sum64()+n))
	f := Fault{Kind: s.plan.Kinds[rng.IntN(len(s.plan.Kinds))], At: rng.Int64N(int64(len(a.Bytes))), For: s.plan.For}
	if f.Kind == Delay && f.For > 0 {
		f.For = time.Duration(rng.Int64N(int64(f.For)))
	}
	if (f.Kind == Copy || f.Kind == LateCopy) && rng.IntN(2) == 0 {
		f.At = int64(len(a.Bytes)) // a whole one
	}
	return f
}
