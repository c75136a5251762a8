package agent

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"merlinhall/wire"
)

// errNoLength is why an answer without length is not taken as complete: its end
// cannot be told from a broken connection.
var errNoLength = eris.New("answer has neither length nor chunked encoding")

// serviceTarget is a plain service.
type serviceTarget struct {
	address   string
	transport http.RoundTripper
	idle      func() time.Duration
	silent    func()
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
	watch := watchIdle(t.idle(), cancel, func() bool { return false }, t.silent)
	defer watch.stop()
	a := &attempt{transport: t.transport}
	resp, err := a.do(req)
	if err != nil {
		return a.failure(ctx, err)
	}
	defer func() { _ = resp.Body.Close() }()
	watch.heard()
	return copyAnswer(ctx, resp, s, watch)
}

// copyAnswer passes the body on and returns the last chunk. A short answer fits
// into one chunk.
func copyAnswer(ctx context.Context, resp *http.Response, s *sink, watch *idleWatch) *wire.Chunk {
	c := &wire.Chunk{Status: resp.StatusCode, Headers: answerHeaders(resp.Header)}
	if resp.ContentLength < 0 || resp.ContentLength > dataChunk {
		if !s.put(ctx, c) {
			return broken(ctx, ctx.Err())
		}
		c = &wire.Chunk{}
	}
	buf := make([]byte, dataChunk)
	for {
		n, err := readPiece(resp.Body, buf, resp.ContentLength)
		watch.heard()
		c.Data = append([]byte(nil), buf[:n]...)
		if err != nil {
			return lastChunk(ctx, c, resp, err)
		}
		watch.pause()
		if !s.put(ctx, c) {
			return broken(ctx, ctx.Err())
		}
		watch.heard()
		c = &wire.Chunk{}
	}
}

// readPiece fills buf when the length of the answer is known; otherwise it
// returns what has arrived, so that a stream is not held up. The error is that of
// the body itself: io.ReadFull would report a whole answer and a broken one alike.
func readPiece(body io.Reader, buf []byte, length int64) (int, error) {
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
	if err == io.EOF && resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
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
	c, err := (&net.Dialer{Timeout: dialLimit}).DialContext(ctx, "tcp", t.address)
	if err != nil {
		return err
	}
	return c.Close()
}
