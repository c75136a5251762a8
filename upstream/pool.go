package upstream

import (
	"cmp"
	"context"
	"errors"
	"hash/maphash"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"merlinhall/boottime"
	"merlinhall/memory"
	"merlinhall/wire"
)

const (
	// dialTimeout is well above a round trip between zones (3 ms) and below the 1 s
	// after which TCP retransmits a lost SYN.
	dialTimeout = 400 * time.Millisecond
	// idleFraction is the fraction of the target's idle timeout during which a connection
	// is reused. The rest covers the transit time of a request.
	idleFraction = 0.8
	// defaultIdleTimeout applies if the target announces no idle timeout.
	defaultIdleTimeout = 20 * time.Second
	// maxResponseBytes limits the body of a response that is read completely.
	maxResponseBytes = 32 << 20
	// defaultMemoryBytes bounds the bodies of all responses of a pool without a budget.
	defaultMemoryBytes = 64 << 20
	// keepAliveIdle, keepAliveInterval and keepAliveCount detect a dead idle connection
	// within 2 s. TCP sends no probes while data is unacknowledged. In that case the
	// request's deadline, a hedged request or the reader's own timeout ends the wait.
	keepAliveIdle     = 1 * time.Second
	keepAliveInterval = 500 * time.Millisecond
	keepAliveCount    = 2
	// maxConnRequests is the number of requests after which a connection is closed. It
	// bounds the ids that a connection remembers to half the size of its read buffer, and
	// costs a new connection for one in 256 requests at most.
	maxConnRequests = 256
)

// Request is an HTTP request to a target.
type Request struct {
	ID     string
	Method string
	URI    string // path and query, unchanged
	Host   string
	Header []wire.Header
	Body   []byte
	// Unnamed is set if the target's responses to the request never name it.
	Unnamed bool
	// Kind says what the request is for, and Repeat that another attempt of it was sent
	// before. They are for counts only.
	Kind   Kind
	Repeat bool
	// NewConn sends the request on a new connection, where no response to an earlier one
	// can arrive.
	NewConn bool
	// OnSent, if set, is called once all of the request has been written.
	OnSent func()
	// Lease, if set, holds the memory of the body of the response, and of those to other
	// attempts. If nil, the memory is counted only while the body is read.
	Lease *memory.Lease
	// MaxResponseBytes limits the body of the response; 0 stands for the default.
	MaxResponseBytes int64

	writeDeadline time.Time
}

// Kind is what a request to a target is for.
type Kind string

// Kinds of requests.
const (
	KindRequest Kind = "request" // of a caller
	KindStream  Kind = "stream"  // of a caller, answered with events
	KindReward  Kind = "reward"  // scores a text
	KindItem    Kind = "item"    // generates a text
	KindReport  Kind = "report"  // asks an engine for its state
	KindOrder   Kind = "order"   // has an engine load weights
)

// Exchange is a request and the head of its response.
type Exchange struct {
	To      Address
	Request *Request
	SentAt  time.Duration // when the request was sent, on the clock of package boottime
	Status  int
	Header  http.Header
}

// Address is the address and identity of a target. The identity prevents idle
// connections to a former target at the address from being used for its successor.
type Address struct {
	HostPort string
	ID       string
}

// Failure is the error of a request without a complete response.
type Failure struct {
	// NotSent is set if no byte of the request reached the target.
	NotSent bool
	Err     error
}

// Error implements error.
func (f *Failure) Error() string { return f.Err.Error() }

// Unwrap returns the cause.
func (f *Failure) Unwrap() error { return f.Err }

// Pool is a pool of HTTP/1.1 connections to targets. It is safe for concurrent use.
type Pool struct {
	// RequestID returns the id of the request that a response names, or "".
	RequestID func(header http.Header) string

	// Dial opens a connection to an address.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)

	// Memory is the budget for the bodies of responses.
	Memory *memory.Budget

	mu   sync.Mutex
	idle map[Address][]*conn
	seed maphash.Seed // of the hashes of ids

	// OnSend is called before each request is sent over a connection, and OnResponse with
	// the head of each response, before its body is read.
	OnSend     func(to Address, r *Request)
	OnResponse func(e Exchange)
	// Opened and Reused are called for each opened and reused connection.
	Opened, Reused func()
}

// NewPool returns an empty pool.
func NewPool(requestID func(header http.Header) string) *Pool {
	dialer := net.Dialer{
		Timeout: dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
		},
	}
	return &Pool{
		RequestID:  requestID,
		Dial:       dialer.DialContext,
		Memory:     memory.NewBudget(defaultMemoryBytes),
		idle:       make(map[Address][]*conn),
		seed:       maphash.MakeSeed(),
		OnSend:     func(Address, *Request) {},
		OnResponse: func(Exchange) {},
		Opened:     func() {},
		Reused:     func() {},
	}
}

// Origin says on which connection a response came and whether it names its request.
type Origin struct {
	Requests int  // sent on the connection so far, 1 on a new one
	Named    bool // the response has the id of its request
}

// Response is a response whose body has not been read. Close must be called.
type Response struct {
	*http.Response
	Origin
	request *Request
	pool    *Pool
	to      Address
	conn    *conn
	done    func(keep bool)
}

// Close returns the connection to the pool if complete is set, that is, if the body
// was read to its end, the response allows reuse, nothing follows it, such as a second copy,
// and the connection has not carried maxConnRequests. Otherwise it closes the connection,
// which cancels a request that is still running.
func (r *Response) Close(complete bool) {
	keep := complete && r.conn.recordIdle(r.Response, time.Now()) && r.conn.reader.Buffered() == 0
	keep = keep && len(r.conn.carried) < maxConnRequests
	r.done(keep)
	if keep {
		r.pool.put(r.to, r.conn)
	}
}

// ReadAll reads the complete body and closes the response. Errors are of type
// *Failure.
func (r *Response) ReadAll() ([]byte, error) {
	lease := r.request.Lease
	if lease == nil {
		lease = r.pool.Memory.Lease()
		defer lease.Close()
	}
	b, err := readBody(lease, r.Response, cmp.Or(r.request.MaxResponseBytes, maxResponseBytes))
	r.Close(err == nil)
	if err != nil {
		return nil, &Failure{Err: eris.Wrap(err, "upstream: read the response")}
	}
	return b, nil
}

// Open sends a request and returns the response once its header has arrived. Errors
// are of type *Failure. ctx limits the entire exchange, including the body.
func (p *Pool) Open(ctx context.Context, to Address, r *Request) (*Response, error) {
	if r.breaksLine() {
		return nil, &Failure{NotSent: true, Err: errLineBreak}
	}
	id := p.hash(r.ID)
	c, err := p.acquire(ctx, to, r, id)
	if err != nil {
		return nil, &Failure{NotSent: true, Err: err}
	}
	r.writeDeadline, _ = ctx.Deadline()
	p.OnSend(to, r)
	sentAt := boottime.Now()
	response, done, sent, err := c.exchange(ctx, r, id)
	if err != nil {
		return nil, &Failure{NotSent: !sent, Err: err}
	}
	got := p.RequestID(response.Header)
	if err := r.checkID(got, len(c.carried) > 1); err != nil {
		done(false)
		return nil, &Failure{Err: err}
	}
	p.OnResponse(Exchange{To: to, Request: r, SentAt: sentAt, Status: response.StatusCode, Header: response.Header})
	origin := Origin{Requests: len(c.carried), Named: got == r.ID}
	return &Response{Response: response, Origin: origin, request: r, pool: p, to: to, conn: c, done: done}, nil
}

// Reach is what a new connection shows of a target.
type Reach string

// Kinds of Reach.
const (
	Listening   Reach = "listening"
	Refusing    Reach = "refusing" // no process listens on the address
	Unreachable Reach = "unreachable"
)

// Check opens a connection to a target, which it keeps for later requests.
func (p *Pool) Check(ctx context.Context, to Address) Reach {
	nc, err := p.Dial(ctx, "tcp", to.HostPort)
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		return Refusing
	case err != nil:
		return Unreachable
	}
	p.Opened()
	c := newConn(nc)
	c.idleSince = time.Now()
	p.put(to, c)
	return Listening
}

// breaksLine reports whether a part of the request's head would begin another line of it, or
// another request. Submissions that former versions accepted are not checked for it.
func (r *Request) breaksLine() bool {
	bad := func(s string) bool { return strings.ContainsAny(s, "\r\n\x00") }
	return bad(r.Method) || bad(r.URI) || bad(r.Host) || slices.ContainsFunc(r.Header, func(h wire.Header) bool { return bad(h.Name) || bad(h.Value) })
}

var (
	errLineBreak    = eris.New("upstream: the head of the request has a line break in a field")
	errOtherRequest = eris.New("upstream: the response belongs to another request")
	errUnnamed      = eris.New("upstream: the response names no request, on a connection that was used before")
)

// checkID returns an error if a response that names the request got may belong to another
// request than r. A target may send a second response to an earlier request on the
// connection, also without an id. Where there was no earlier request, a response without an
// id is that of a target that could not read the request.
func (r *Request) checkID(got string, reused bool) error {
	switch {
	case got == r.ID:
		return nil
	case got != "":
		return errOtherRequest
	case reused && !r.Unnamed:
		return errUnnamed
	}
	return nil
}

// Do sends a request and reads the complete response. Errors are of type *Failure.
func (p *Pool) Do(ctx context.Context, to Address, r *Request) (*Response, []byte, error) {
	response, err := p.Open(ctx, to, r)
	if err != nil {
		return nil, nil, err
	}
	b, err := response.ReadAll()
	return response, b, err
}

// hash returns the hash of a request's id. If two ids have the same one, a request gets a new
// connection where it could have used another.
func (p *Pool) hash(id string) uint64 { return maphash.String(p.seed, id) }

// acquire returns an idle connection or a new one. A request never goes over a connection
// that has carried its id before: the target may send a second response to the earlier
// request at any later time, which could not be told from the response to the repetition. A
// request without an id always gets a new one.
func (p *Pool) acquire(ctx context.Context, to Address, r *Request, id uint64) (*conn, error) {
	if !r.NewConn && r.ID != "" {
		if c := p.pop(to, id, time.Now()); c != nil {
			p.Reused()
			return c, nil
		}
	}
	nc, err := p.Dial(ctx, "tcp", to.HostPort)
	if err != nil {
		return nil, eris.Wrap(err, "upstream: connect")
	}
	p.Opened()
	return newConn(nc), nil
}

func (c *conn) reusable(now time.Time) bool {
	if !c.idleUntil.IsZero() {
		return now.Before(c.idleUntil)
	}
	return now.Sub(c.idleSince) < defaultIdleTimeout
}

// pop removes and returns the least recently used idle connection that has not carried the
// id. The others stay for other requests. Requests come in bursts some seconds apart: taking
// connections in turn keeps all those of a burst in use, while preferring the latest one would
// let the others expire between bursts.
func (p *Pool) pop(to Address, id uint64, now time.Time) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := slices.DeleteFunc(p.idle[to], func(c *conn) bool {
		usable := !c.isClosed() && c.reusable(now)
		if !usable {
			c.close(errIdleClosed)
		}
		return !usable
	})
	p.idle[to] = list
	i := slices.IndexFunc(list, func(c *conn) bool { return !slices.Contains(c.carried, id) })
	if i < 0 {
		return nil
	}
	c := list[i]
	p.idle[to] = slices.Delete(list, i, i+1)
	return c
}

// HasIdleConn reports whether an open idle connection to the target is available. It
// checks only the one that was used last.
func (p *Pool) HasIdleConn(to Address) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[to]
	return len(list) > 0 && list[len(list)-1].reusable(time.Now()) && !list[len(list)-1].isClosed()
}

func (p *Pool) put(to Address, c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle[to] = append(p.idle[to], c)
}

// RetainIdle closes idle connections to targets that are not in the set, and
// connections that have expired.
func (p *Pool) RetainIdle(targets map[Address]bool, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for to, list := range p.idle {
		var rest []*conn
		for _, c := range list {
			if targets[to] && c.reusable(now) && !c.isClosed() {
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
