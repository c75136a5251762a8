package agent

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"merlinhall/upstream"
	"merlinhall/wire"
)

const (
	// dialTimeout limits one connection attempt to the target.
	dialTimeout = 2 * time.Second
	// maxResponseHeaderBytes limits the header of a response of the target or the store.
	maxResponseHeaderBytes = 64 << 10
	// maxDataBytes is the maximum size of the data in a chunk, in bytes. With Window
	// chunks a stream buffers at most 256 KiB.
	maxDataBytes = 4 << 10
	// maxChunkTokens is the maximum number of tokens in a chunk.
	maxChunkTokens = 64
	// defaultIdleTimeout is the idle timeout of a target connection if the
	// configuration sets none.
	defaultIdleTimeout = 30 * time.Second
	// HeaderRunID is the header that carries the request id to the target.
	HeaderRunID = "Merlinhall-Run-Id"
)

// errIdleTimeout is the cancellation cause of a target call that hit its idle
// timeout.
var errIdleTimeout = eris.New("target connection is silent")

// target runs requests on the engine or service that the agent is responsible for.
type target interface {
	// run executes r and returns the last chunk of the answer. It passes the chunks
	// before that to s.
	run(ctx context.Context, r *wire.Run, s *sink) *wire.Chunk
	// probe checks on a new connection that the target is reachable.
	probe(ctx context.Context) error
}

// sink passes the chunks of one request to the agent. It blocks while Window chunks
// are unconfirmed, so that no more is read from the target.
type sink struct {
	id     string
	window chan struct{}
	post   func(any) bool
}

func newSink(id string, post func(any) bool) *sink {
	return &sink{id: id, window: make(chan struct{}, Window), post: post}
}

// put passes a chunk to the agent. It returns false if ctx ends first or the agent
// has stopped.
func (s *sink) put(ctx context.Context, c *wire.Chunk) bool {
	select {
	case s.window <- struct{}{}:
		return s.post(chunkProduced{id: s.id, chunk: c})
	case <-ctx.Done():
		return false
	}
}

// release makes room for n chunks.
func (s *sink) release(n int) {
	for range n {
		select {
		case <-s.window:
		default:
			return
		}
	}
}

// trackedConn records whether anything may have been written to a connection.
type trackedConn struct {
	net.Conn
	written atomic.Bool
}

// Write sets written before it writes, so that nothing can have been sent on a
// connection whose written is unset.
func (c *trackedConn) Write(b []byte) (int, error) {
	c.written.Store(true)
	return c.Conn.Write(b)
}

// newTransport returns a transport that uses a new connection for each request.
// net/http retries a request by itself only on a reused connection, so this
// transport never retries.
func newTransport() *http.Transport {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &http.Transport{
		DisableKeepAlives:  true,
		DisableCompression: true,
		// The default of net/http is 10 MB.
		MaxResponseHeaderBytes: maxResponseHeaderBytes,
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			c, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &trackedConn{Conn: c}, nil
		},
	}
}

// attempt is one HTTP exchange with the target.
type attempt struct {
	transport http.RoundTripper
	conn      atomic.Pointer[trackedConn]
}

// do sends the request once and follows no redirects. A response whose status is none of HTTP is an
// error like a broken connection.
func (a *attempt) do(r *http.Request) (*http.Response, error) {
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if c, ok := info.Conn.(*trackedConn); ok {
			a.conn.Store(c)
		}
	}}
	r.GetBody = nil
	resp, err := a.transport.RoundTrip(r.WithContext(httptrace.WithClientTrace(r.Context(), trace)))
	if err != nil {
		return nil, err
	}
	if err := upstream.CheckStatus(resp.StatusCode); err != nil {
		_ = resp.Body.Close()
		return nil, err
	}
	return resp, nil
}

// notSent reports whether the target cannot have received any of the request.
func (a *attempt) notSent() bool {
	c := a.conn.Load()
	return c == nil || !c.written.Load()
}

// failure returns the last chunk of an exchange that failed before its response
// began.
func (a *attempt) failure(ctx context.Context, err error) *wire.Chunk {
	c := &wire.Chunk{Detail: cause(ctx, err).Error()}
	switch {
	case a.notSent():
		c.End = wire.EndNotRun
	case cancelled(ctx):
		c.End = wire.EndCancelled
	default:
		c.End = wire.EndUnknown
	}
	return c
}

// broken returns the last chunk of a response that failed after it had begun.
func broken(ctx context.Context, err error) *wire.Chunk {
	end := wire.EndBroken
	if cancelled(ctx) {
		end = wire.EndCancelled
	}
	return &wire.Chunk{End: end, Detail: cause(ctx, err).Error()}
}

// cancelled reports whether the call was cancelled for another reason than its idle
// timeout.
func cancelled(ctx context.Context) bool {
	return ctx.Err() != nil && context.Cause(ctx) == context.Canceled
}

func cause(ctx context.Context, err error) error {
	if c := context.Cause(ctx); c != nil {
		return c
	}
	return err
}

// connectionHeaders are the header fields that apply to one connection and are not
// forwarded.
var connectionHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
	"Proxy-Connection": true, "Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
	"Content-Length": true, "Expect": true,
}

func requestHeaders(fields []wire.Header, id string) http.Header {
	h := make(http.Header, len(fields)+1)
	for _, f := range fields {
		if name := http.CanonicalHeaderKey(f.Name); !connectionHeaders[name] {
			h.Add(name, f.Value)
		}
	}
	h.Set(HeaderRunID, id)
	return h
}

func answerHeaders(h http.Header) []wire.Header {
	fields := make([]wire.Header, 0, len(h))
	for name, values := range h {
		if connectionHeaders[name] {
			continue
		}
		for _, v := range values {
			fields = append(fields, wire.Header{Name: name, Value: v})
		}
	}
	return fields
}

// targetURL joins the address with a path, which may include a query.
func targetURL(address, path string) string {
	if !strings.HasPrefix(path, "/") {
		path = "/" + path
	}
	return "http://" + address + path
}
