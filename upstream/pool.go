package upstream

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"merlinhall/wire"
)

const (
	// dialTimeout is well above a round trip between zones (3 ms) and below the
	// second after which a lost opening packet is sent again.
	dialTimeout = 400 * time.Millisecond
	// idleShare is the part of the target's idle time for which a connection is
	// used again; the rest covers the time that a request is under way.
	idleShare = 0.8
	// idleLimit is used when the target states no idle time.
	idleLimit = 20 * time.Second
	// maxBody bounds a response that is read whole.
	maxBody = 32 << 20
	// keepAliveIdle, keepAliveInterval and keepAliveCount find an idle connection that
	// went silent within 2 s. Probes wait while bytes are unacknowledged: then the
	// request's deadline, a second target or its reader's own limit ends the wait.
	keepAliveIdle     = 1 * time.Second
	keepAliveInterval = 500 * time.Millisecond
	keepAliveCount    = 2
)

// Request is one request to a target.
type Request struct {
	ID     string
	Method string
	URI    string // path and query, unchanged
	Host   string
	Header []wire.Header
	Body   []byte

	writeDeadline time.Time
}

// Address is a target's address and identity. Connections are not shared between
// two targets that have the same address one after the other.
type Address struct {
	HostPort string
	ID       string
}

// Failure says why there is no response.
type Failure struct {
	// NotSent is set when no byte of the request reached the target.
	NotSent bool
	Err     error
}

// Error implements error.
func (f *Failure) Error() string { return f.Err.Error() }

// Unwrap returns the cause.
func (f *Failure) Unwrap() error { return f.Err }

// Pool keeps connections to targets.
type Pool struct {
	// SameRequest reports whether a response belongs to the request of that id;
	// a late response to another request may come first.
	SameRequest func(id string, header http.Header) bool

	dialer net.Dialer
	mu     sync.Mutex
	idle   map[Address][]*conn

	// Opened and Reused count connections, for metrics.
	Opened, Reused func()
}

// NewPool returns an empty pool.
func NewPool(sameRequest func(id string, header http.Header) bool) *Pool {
	return &Pool{
		SameRequest: sameRequest,
		idle:        make(map[Address][]*conn),
		Opened:      func() {},
		Reused:      func() {},
		dialer: net.Dialer{
			Timeout: dialTimeout,
			KeepAliveConfig: net.KeepAliveConfig{
				Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
			},
		},
	}
}

// Response is a response whose body has not been read. Close must be called.
type Response struct {
	*http.Response
	pool *Pool
	to   Address
	conn *conn
	done func(keep bool)
}

// Close gives the connection back when whole is set: the body was read to its
// end. Otherwise it closes the connection, which cancels the request.
func (r *Response) Close(whole bool) {
	keep := whole && r.conn.noteIdle(r.Response, time.Now())
	r.done(keep)
	if keep {
		r.pool.put(r.to, r.conn)
	}
}

// ReadAll reads the body to its end and closes the response. The error is a
// *Failure.
func (r *Response) ReadAll() ([]byte, error) {
	b, err := body(r.Response, maxBody)
	r.Close(err == nil)
	if err != nil {
		return nil, &Failure{Err: eris.Wrap(err, "upstream: read the response")}
	}
	return b, nil
}

// Open sends a request and returns when the header of the response has come. The
// error is a *Failure. ctx bounds the whole exchange, the body included.
func (p *Pool) Open(ctx context.Context, to Address, r *Request) (*Response, error) {
	c, err := p.take(ctx, to)
	if err != nil {
		return nil, &Failure{NotSent: true, Err: err}
	}
	r.writeDeadline, _ = ctx.Deadline()
	response, done, sent, err := c.exchange(ctx, r)
	if err != nil {
		return nil, &Failure{NotSent: !sent, Err: err}
	}
	if !p.SameRequest(r.ID, response.Header) {
		done(false)
		return nil, &Failure{Err: eris.New("upstream: the response belongs to another request")}
	}
	return &Response{Response: response, pool: p, to: to, conn: c, done: done}, nil
}

// Do is Open for a response that is read whole.
func (p *Pool) Do(ctx context.Context, to Address, r *Request) (*http.Response, []byte, error) {
	response, err := p.Open(ctx, to, r)
	if err != nil {
		return nil, nil, err
	}
	b, err := response.ReadAll()
	return response.Response, b, err
}

func (p *Pool) take(ctx context.Context, to Address) (*conn, error) {
	now := time.Now()
	for {
		c := p.pop(to)
		if c == nil {
			break
		}
		if !c.isClosed() && c.fresh(now) {
			c.reused = true
			p.Reused()
			return c, nil
		}
		c.close(errIdleClosed)
	}
	nc, err := p.dialer.DialContext(ctx, "tcp", to.HostPort)
	if err != nil {
		return nil, eris.Wrap(err, "upstream: connect")
	}
	p.Opened()
	return newConn(nc), nil
}

func (c *conn) fresh(now time.Time) bool {
	if !c.idleUntil.IsZero() {
		return now.Before(c.idleUntil)
	}
	return now.Sub(c.idleSince) < idleLimit
}

// pop takes the connection that has been idle for longest. Work comes in bursts
// some seconds apart: in turn, all connections of a burst stay in use, while those
// used last would leave the others to expire before the next one.
func (p *Pool) pop(to Address) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[to]
	if len(list) == 0 {
		return nil
	}
	p.idle[to] = list[1:]
	return list[0]
}

// Warm reports whether a connection to the target is open and idle.
func (p *Pool) Warm(to Address) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[to]
	return len(list) > 0 && list[len(list)-1].fresh(time.Now()) && !list[len(list)-1].isClosed()
}

func (p *Pool) put(to Address, c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle[to] = append(p.idle[to], c)
}

// Keep closes idle connections to targets that are not in the set, and those that
// have expired.
func (p *Pool) Keep(targets map[Address]bool, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for to, list := range p.idle {
		var rest []*conn
		for _, c := range list {
			if targets[to] && c.fresh(now) && !c.isClosed() {
				rest = append(rest, c)
			} else {
				c.close(errIdleClosed)
			}
		}
		if len(rest) == 0 {
			delete(p.idle, to)
		} else {
			p.idle[to] = rest
		}
	}
}
