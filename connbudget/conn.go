package connbudget

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"merlinhall/memory"
)

const (
	// writePiece is the most that a connection writes at once, so that a response that a client
	// takes slowly shows its progress.
	writePiece = 32 << 10
	// lingerTime is how long a refused connection is read on, so that the refusal is not lost
	// by a reset; maxLingering connections of a listener do so at a time.
	lingerTime   = 200 * time.Millisecond
	maxLingering = 16
	// refusalTime bounds the write of a refusal, which fits into the buffer of a socket.
	refusalTime = 10 * time.Millisecond
)

// cutOffError is the error of reads of a connection that has been cut off. To net/http it is a
// timeout, to which it writes no response; to handlers it says that there is no memory for the
// body, which they answer with status 503.
type cutOffError struct{}

func (cutOffError) Error() string     { return "connbudget: the connection gave way to others" }
func (cutOffError) Timeout() bool     { return true }
func (cutOffError) Temporary() bool   { return true }
func (cutOffError) Is(err error) bool { return err == memory.ErrExhausted }

// Conn is a connection of a client whose use of resources is counted.
type Conn struct {
	net.Conn
	part    *Part
	id      uint64
	address netip.Addr

	// These are protected by the account's mutex.
	state      State
	since      time.Time
	progress   time.Time
	held       int64 // counted in the part
	received   int64 // bytes of the header or body
	written    int64
	taken      int64 // bytes that the client has acknowledged
	cut        bool  // has been cut off
	retryAfter time.Duration
	closed     bool
}

// holder returns c as the policy sees it. The account is locked.
func (c *Conn) holder(now time.Time) Holder {
	if c.state == Response {
		if taken := c.written - c.unsent(); taken > c.taken {
			c.taken, c.progress = taken, now
		}
	}
	return Holder{ID: c.id, Address: c.address, State: c.state, Since: c.since, Progress: c.progress, Received: c.received}
}

// unsent returns the bytes that were written and that the client has not acknowledged.
func (c *Conn) unsent() int64 {
	s, ok := c.Conn.(syscall.Conn)
	if !ok {
		return 0
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return 0
	}
	queued := 0
	_ = raw.Control(func(fd uintptr) { queued, _ = unix.IoctlGetInt(int(fd), unix.TIOCOUTQ) })
	return int64(queued)
}

func (c *Conn) enter(s State, now time.Time) { c.state, c.since, c.progress = s, now, now }

// Admit takes a new connection into account. It returns nil if there is no place for it; the
// connection then gets status 503, or is closed without a byte of it having been read.
func (p *Part) Admit(raw net.Conn) net.Conn {
	now := time.Now()
	a := p.account
	a.mu.Lock()
	defer a.mu.Unlock()
	c := &Conn{Conn: raw, part: p, id: a.nextID, address: addressOf(raw.RemoteAddr().String())}
	a.nextID++
	c.enter(Idle, now)
	kind := fullConnections
	// Connections that are being closed have their descriptors for a moment longer.
	ok := len(p.conns)+p.closing < p.share.Connections+max(1, p.share.Connections/4)
	if ok && len(p.conns) >= p.share.Connections {
		ok = p.makeRoom(c, now)
	}
	if ok {
		kind = fullMemory
		ok = p.reserve(c, connBytes, now)
	}
	if !ok {
		p.note(kind, now)
		p.refuse(raw, a.retryAfter(now))
		return nil
	}
	p.conns[c.id] = c
	return c
}

// refuse ends a connection of which nothing was read.
func (p *Part) refuse(raw net.Conn, retryAfter time.Duration) {
	if p.lingering.Add(1) > maxLingering {
		p.lingering.Add(-1)
		_ = raw.Close()
		return
	}
	go func() {
		defer p.lingering.Add(-1)
		defer func() { _ = raw.Close() }()
		writeRefusal(raw, retryAfter)
		if w, ok := raw.(interface{ CloseWrite() error }); ok && w.CloseWrite() == nil {
			_ = raw.SetReadDeadline(time.Now().Add(lingerTime))
			_, _ = io.CopyN(io.Discard, raw, 64<<10) // only so that the refusal arrives
		}
	}()
}

func seconds(d time.Duration) string { return strconv.FormatFloat(d.Seconds(), 'f', 3, 64) }

const refusalText = "too many clients\n"

func writeRefusal(raw net.Conn, retryAfter time.Duration) {
	_ = raw.SetWriteDeadline(time.Now().Add(refusalTime))
	_, _ = fmt.Fprintf(raw, "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nRetry-After: %s\r\nContent-Type: text/plain; charset=utf-8\r\nContent-Length: %d\r\n\r\n%s",
		seconds(retryAfter), len(refusalText), refusalText)
}

// cutOff ends a connection that gives way. The account is locked.
func (c *Conn) cutOff(retryAfter time.Duration) {
	c.cut, c.retryAfter = true, retryAfter
	if c.state == Response {
		_ = c.Conn.Close()
		return
	}
	// Read answers a header that has begun, the handler a body. net/http closes an idle connection.
	_ = c.Conn.SetReadDeadline(time.Unix(1, 0))
}

// Read implements net.Conn.
func (c *Conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if c.noteRead(b[:n]) {
		return n, err
	}
	return 0, cutOffError{}
}

// noteRead counts what was read, and reports whether the connection may go on.
func (c *Conn) noteRead(b []byte) bool {
	now := time.Now()
	a := c.part.account
	a.mu.Lock()
	ok, refuse := !c.cut, c.cut && (c.state == Header || c.state == Idle && len(b) > 0)
	if ok && len(b) > 0 {
		switch c.state {
		case Idle, Header:
			if c.state == Idle {
				c.enter(Header, now)
				c.received = 0
			}
			c.progress = now
			c.received += int64(len(b))
			if cost := headerCost(len(b), bytes.Count(b, []byte{'\n'})); !c.part.reserve(c, cost, now) {
				ok, refuse = false, true
				c.part.endConn(c, fullMemory, now)
			}
		case Body:
			c.progress = now
		default: // net/http reads a byte ahead to notice that the client leaves
		}
	}
	retryAfter := c.retryAfter
	a.mu.Unlock()
	if refuse {
		writeRefusal(c.Conn, retryAfter)
	}
	return ok
}

func headerCost(bytes, fields int) int64 { return int64(headerCopies*bytes + fieldBytes*fields) }

// Write implements net.Conn. The connection waits for its client until the write ends, in whatever
// state: net/http writes the last part of a response when the handler has returned.
func (c *Conn) Write(b []byte) (int, error) {
	done := 0
	for {
		piece := b[done:min(len(b), done+writePiece)]
		state, since := c.beginWrite()
		n, err := c.Conn.Write(piece)
		done += n
		c.endWrite(n, state, since)
		if err != nil || done >= len(b) {
			return done, err
		}
	}
}

// beginWrite returns the state to which the connection returns after the write, and when that
// began.
func (c *Conn) beginWrite() (state State, since time.Time) {
	c.part.account.mu.Lock()
	defer c.part.account.mu.Unlock()
	state, since = c.state, c.since
	if state != Kept {
		c.enter(Response, time.Now())
	}
	return state, since
}

func (c *Conn) endWrite(n int, state State, since time.Time) {
	c.part.account.mu.Lock()
	defer c.part.account.mu.Unlock()
	c.written += int64(n)
	if c.state == Response {
		c.enter(state, time.Now())
		c.since = since
	}
}

// SetReadDeadline implements net.Conn. It does not lift the deadline of a connection that was
// cut off.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.part.account.mu.Lock()
	defer c.part.account.mu.Unlock()
	if c.cut {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// SetDeadline implements net.Conn.
func (c *Conn) SetDeadline(t time.Time) error {
	if err := c.SetReadDeadline(t); err != nil {
		return err
	}
	return c.SetWriteDeadline(t)
}

// CloseWrite closes the direction to the client, as net/http does before it closes a connection.
func (c *Conn) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return nil
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	p := c.part
	p.account.mu.Lock()
	if !c.closed {
		c.closed = true
		if c.cut {
			p.closing--
		}
		p.forget(c)
	}
	p.account.mu.Unlock()
	return c.Conn.Close()
}

type connKey struct{}

// Context is for http.Server.ConnContext, with which Handler finds the connection of a request.
func Context(ctx context.Context, c net.Conn) context.Context {
	if counted, ok := c.(*Conn); ok {
		return context.WithValue(ctx, connKey{}, counted)
	}
	return ctx
}

// Note is for http.Server.ConnState. A connection is idle once net/http has written the rest of a
// response and read the rest of a body, which are not counted as parts of a header. A connection
// that becomes a link keeps only its place.
func Note(c net.Conn, s http.ConnState) {
	counted, ok := c.(*Conn)
	if !ok || s != http.StateHijacked && s != http.StateIdle {
		return
	}
	counted.part.account.mu.Lock()
	defer counted.part.account.mu.Unlock()
	counted.release()
	if s == http.StateHijacked {
		counted.enter(Kept, time.Now())
	} else {
		counted.enter(Idle, time.Now())
	}
}

// release gives back what the connection holds for its request. The account is locked.
func (c *Conn) release() {
	if c.part.conns[c.id] == c {
		c.part.bytes -= c.held - connBytes
		c.held = connBytes
	}
}

// Handler returns a handler that counts the requests of connections that Admit returned.
func Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, ok := r.Context().Value(connKey{}).(*Conn)
		if !ok {
			next.ServeHTTP(w, r)
			return
		}
		if retryAfter, ok := c.begin(r); !ok {
			w.Header().Set("Connection", "close")
			w.Header().Set("Retry-After", seconds(retryAfter))
			http.Error(w, "too many clients", http.StatusServiceUnavailable)
			return
		}
		defer c.end()
		if r.Body != http.NoBody {
			r = r.WithContext(r.Context()) // net/http looks at the type of its own body
			r.Body = &body{ReadCloser: r.Body, conn: c}
		}
		next.ServeHTTP(w, r)
	})
}

// begin counts a header as decoded in place of the bytes that arrived, since a part of it may
// have been read ahead with the request before.
func (c *Conn) begin(r *http.Request) (retryAfter time.Duration, ok bool) {
	size, fields := len(r.RequestURI), 0
	for name, values := range r.Header {
		for _, v := range values {
			size += len(name) + len(v) + len(": \r\n")
			fields++
		}
	}
	now := time.Now()
	a := c.part.account
	a.mu.Lock()
	defer a.mu.Unlock()
	if !c.cut {
		c.release()
		c.enter(Working, now)
		c.received = 0
		if c.part.reserve(c, headerCost(size, fields), now) {
			return 0, true
		}
		c.part.note(fullMemory, now)
	}
	return a.retryAfter(now), false
}

func (c *Conn) end() {
	c.part.account.mu.Lock()
	defer c.part.account.mu.Unlock()
	if c.state != Kept {
		c.release()
		c.enter(Working, time.Now()) // until Note
	}
}

// body is the body of a request, whose progress is that of its connection.
type body struct {
	io.ReadCloser
	conn *Conn
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	b.note(0, nil)
	n, err := b.ReadCloser.Read(p)
	b.note(n, err)
	return n, err
}

func (b *body) note(n int, err error) {
	c := b.conn
	c.part.account.mu.Lock()
	defer c.part.account.mu.Unlock()
	if c.state == Working && err == nil {
		c.enter(Body, time.Now())
	}
	c.received += int64(n)
	if c.state == Body && err != nil {
		c.enter(Working, time.Now())
	}
}
