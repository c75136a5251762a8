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

	"merlinhall/wire"
)

const (
	// dialLimit bounds one connection attempt to the target.
	dialLimit = 2 * time.Second
	// dataChunk is the largest piece of a plain answer in one chunk, in bytes. With
	// Window chunks a stream buffers at most 256 KiB.
	dataChunk = 4 << 10
	// tokensPerChunk bounds the tokens in one chunk.
	tokensPerChunk = 64
	// defaultIdle is the idle bound of a target connection when the configuration
	// gives none.
	defaultIdle = 30 * time.Second
	// HeaderRunID carries the id of a run to the target.
	HeaderRunID = "Merlinhall-Run-Id"
)

// errIdle is the cause of a target call that ended for silence.
var errIdle = eris.New("target connection is silent")

// target runs requests on the system beside the agent.
type target interface {
	// run carries out r and returns the last chunk of the answer. It passes the
	// chunks before to s.
	run(ctx context.Context, r *wire.Run, s *sink) *wire.Chunk
	// probe checks on a new connection that the target answers.
	probe(ctx context.Context) error
}

// sink takes the chunks of one run. It blocks while Window chunks are
// unconfirmed, which stops the reading from the target.
type sink struct {
	id   string
	room chan struct{}
	post func(any) bool
}

func newSink(id string, post func(any) bool) *sink {
	return &sink{id: id, room: make(chan struct{}, Window), post: post}
}

// put passes a chunk on. It returns false when ctx ended first.
func (s *sink) put(ctx context.Context, c *wire.Chunk) bool {
	select {
	case s.room <- struct{}{}:
		return s.post(produced{id: s.id, chunk: c})
	case <-ctx.Done():
		return false
	}
}

// release makes room for n chunks.
func (s *sink) release(n int) {
	for range n {
		select {
		case <-s.room:
		default:
			return
		}
	}
}

// countedConn notes whether anything may have been written to a connection.
type countedConn struct {
	net.Conn
	touched atomic.Bool
}

// Write notes the attempt before it is made, so that an untouched connection has
// certainly carried nothing.
func (c *countedConn) Write(b []byte) (int, error) {
	c.touched.Store(true)
	return c.Conn.Write(b)
}

// newTransport returns a transport whose connections are used for one request
// each. net/http repeats a request by itself only on a reused connection, so that
// it repeats none here.
func newTransport() *http.Transport {
	dialer := &net.Dialer{Timeout: dialLimit}
	return &http.Transport{
		DisableKeepAlives:  true,
		DisableCompression: true,
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			c, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &countedConn{Conn: c}, nil
		},
	}
}

// attempt is one HTTP exchange with the target.
type attempt struct {
	transport http.RoundTripper
	conn      atomic.Pointer[countedConn]
}

// do sends the request once. It follows no redirect.
func (a *attempt) do(r *http.Request) (*http.Response, error) {
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if c, ok := info.Conn.(*countedConn); ok {
			a.conn.Store(c)
		}
	}}
	r.GetBody = nil
	return a.transport.RoundTrip(r.WithContext(httptrace.WithClientTrace(r.Context(), trace)))
}

// notRun reports whether the target certainly received nothing of the request.
func (a *attempt) notRun() bool {
	c := a.conn.Load()
	return c == nil || !c.touched.Load()
}

// failure is the last chunk of an exchange that failed before its answer began.
func (a *attempt) failure(ctx context.Context, err error) *wire.Chunk {
	c := &wire.Chunk{Detail: cause(ctx, err).Error()}
	switch {
	case a.notRun():
		c.End = wire.EndNotRun
	case cancelled(ctx):
		c.End = wire.EndCancelled
	default:
		c.End = wire.EndUnknown
	}
	return c
}

// broken is the last chunk of an answer that had begun and failed.
func broken(ctx context.Context, err error) *wire.Chunk {
	end := wire.EndBroken
	if cancelled(ctx) {
		end = wire.EndCancelled
	}
	return &wire.Chunk{End: end, Detail: cause(ctx, err).Error()}
}

// cancelled reports whether the agent ended the call on request, not for silence.
func cancelled(ctx context.Context) bool {
	return ctx.Err() != nil && context.Cause(ctx) == context.Canceled
}

func cause(ctx context.Context, err error) error {
	if c := context.Cause(ctx); c != nil {
		return c
	}
	return err
}

// hopHeaders are the header fields that hold for one connection only.
var hopHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
	"Proxy-Connection": true, "Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
	"Content-Length": true, "Expect": true,
}

func requestHeaders(fields []wire.Header, id string) http.Header {
	h := make(http.Header, len(fields)+1)
	for _, f := range fields {
		if name := http.CanonicalHeaderKey(f.Name); !hopHeaders[name] {
			h.Add(name, f.Value)
		}
	}
	h.Set(HeaderRunID, id)
	return h
}

func answerHeaders(h http.Header) []wire.Header {
	fields := make([]wire.Header, 0, len(h))
	for name, values := range h {
		if hopHeaders[name] {
			continue
		}
		for _, v := range values {
			fields = append(fields, wire.Header{Name: name, Value: v})
		}
	}
	return fields
}

// targetURL joins the address with a path that may carry a query.
func targetURL(address, path string) string {
	if !strings.HasPrefix(path, "/") {
		path = "/" + path
	}
	return "http://" + address + path
}
