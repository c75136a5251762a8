package agent

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"merlinhall/upstream"
	"merlinhall/wire"
)

// errNoLength marks a response without length or chunked encoding as incomplete,
// because the end of the answer cannot be distinguished from a broken connection.
var errNoLength = eris.New("answer has neither length nor chunked encoding")

// serviceTarget is the target implementation for a plain HTTP service.
type serviceTarget struct {
	address     string
	transport   http.RoundTripper
	idleTimeout func() time.Duration
	onSilent    func()
}

// run implements target.
func (t *serviceTarget) run(ctx context.Context, r *wire.Run, s *sink) *wire.Chunk {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	req, err := http.NewRequestWithContext(ctx, r.Method, targetURL(t.address, r.Path), bytes.NewReader(r.Body))
	if err != nil {
		return &wire.Chunk{End: wire.EndNotRun, Detail: err.Error()}
	}
	req.Header = requestHeaders(r.Headers, r.ID)
	watch := watchIdle(t.idleTimeout(), cancel, func() bool { return false }, t.onSilent)
	defer watch.stop()
	a := &attempt{transport: t.transport}
	resp, err := a.do(req)
	if err != nil {
		return a.failure(ctx, err)
	}
	defer func() { _ = resp.Body.Close() }()
	watch.restart()
	return copyAnswer(ctx, resp, s, watch)
}

// copyAnswer forwards the response and returns its last chunk. If the length is
// unknown or above maxDataBytes, the status and headers are sent in a chunk of their
// own.
func copyAnswer(ctx context.Context, resp *http.Response, s *sink, watch *idleWatch) *wire.Chunk {
	c := &wire.Chunk{Status: resp.StatusCode, Headers: answerHeaders(resp.Header)}
	if resp.ContentLength < 0 || resp.ContentLength > maxDataBytes {
		if !s.put(ctx, c) {
			return broken(ctx, ctx.Err())
		}
		c = &wire.Chunk{}
	}
	buf := make([]byte, maxDataBytes)
	for {
		n, err := readChunk(resp.Body, buf, resp.ContentLength)
		watch.restart()
		c.Data = append([]byte(nil), buf[:n]...)
		if err != nil {
			return lastChunk(ctx, c, resp, err)
		}
		watch.pause()
		if !s.put(ctx, c) {
			return broken(ctx, ctx.Err())
		}
		watch.restart()
		c = &wire.Chunk{}
	}
}

// readChunk fills buf if the length of the response is known. Otherwise it returns
// the bytes that have arrived, so that a stream is not delayed. It returns the
// error of the body itself; io.ReadFull would report the same error for a complete
// response and a broken one.
func readChunk(body io.Reader, buf []byte, length int64) (int, error) {
	filled := 0
	for filled < len(buf) {
		n, err := body.Read(buf[filled:])
		filled += n
		if err != nil || length < 0 && n > 0 {
			return filled, err
		}
	}
	return filled, nil
}

func lastChunk(ctx context.Context, c *wire.Chunk, resp *http.Response, err error) *wire.Chunk {
	if err == io.EOF && !upstream.Framed(resp) {
		err = errNoLength
	}
	if err == io.EOF {
		c.End = wire.EndComplete
		return c
	}
	end := broken(ctx, err)
	c.End = end.End
	c.Detail = end.Detail
	return c
}

// probe implements target.
func (t *serviceTarget) probe(ctx context.Context) error {
	c, err := (&net.Dialer{Timeout: dialTimeout}).DialContext(ctx, "tcp", t.address)
	if err != nil {
		return err
	}
	return c.Close()
}
