// Package upstream sends HTTP/1.1 requests to targets over pooled connections. For a
// failed request it reports whether any of it may have reached the target.
package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"merlinhall/memory"
)

const (
	// writeBufferBytes fits the header of a request and most bodies, so that a request
	// takes a single write.
	writeBufferBytes = 4 << 10
	readBufferBytes  = 4 << 10
	// maxHeadBytes limits what is read for the head of a response, with the informational
	// responses before it: http.ReadResponse limits neither a line nor the head. It is the
	// size of a request header that our own servers accept by default.
	maxHeadBytes = 64 << 10
	// maxInformational limits the number of informational responses before a response.
	maxInformational = 16
)

var (
	errIdleClosed  = eris.New("upstream: the idle connection was closed")
	errUnsolicited = eris.New("upstream: the target sent bytes that answer no request")

	errHeadTooLong   = eris.Errorf("upstream: the head of the response is longer than %d bytes", maxHeadBytes)
	errInformational = eris.Errorf("upstream: the target sent more than %d informational responses", maxInformational)
)

// headReader is the reader below the buffer of a connection. While the head of a response
// is read, it fails after left bytes.
type headReader struct {
	r       io.Reader
	limited bool
	left    int
}

// Read implements io.Reader.
func (h *headReader) Read(p []byte) (int, error) {
	if !h.limited {
		return h.r.Read(p)
	}
	if h.left <= 0 {
		return 0, errHeadTooLong
	}
	n, err := h.r.Read(p[:min(len(p), h.left)])
	h.left -= n
	return n, err
}

// conn is one connection. Its readLoop goroutine owns the reader except while the caller
// reads a response body, so that a close by the target or unsolicited bytes on an idle
// connection are detected immediately.
type conn struct {
	net         net.Conn
	head        *headReader // below reader
	reader      *bufio.Reader
	pending     chan pendingRequest // the request whose response is read next
	closed      chan struct{}
	once        sync.Once
	closeReason error
	carried     []uint64 // hashes of the ids of all requests sent on it
	// idleUntil is the time after which an idle connection is not reused, or zero if
	// the target announces no idle timeout.
	idleUntil time.Time
	idleSince time.Time
}

type pendingRequest struct {
	request *http.Request
	header  chan headerResult
	// finished receives whether the connection can be kept once the caller is done
	// with the response body.
	finished chan bool
}

type headerResult struct {
	response *http.Response
	err      error
}

func newConn(c net.Conn) *conn {
	head := &headReader{r: c}
	uc := &conn{
		net:     c,
		head:    head,
		reader:  bufio.NewReaderSize(head, readBufferBytes),
		pending: make(chan pendingRequest, 1),
		closed:  make(chan struct{}),
	}
	go uc.readLoop()
	return uc
}

func (c *conn) close(reason error) {
	c.once.Do(func() {
		c.closeReason = reason
		close(c.closed)
		_ = c.net.Close()
	})
}

func (c *conn) isClosed() bool {
	select {
	case <-c.closed:
		return true
	default:
		return false
	}
}

func (c *conn) readLoop() {
	for {
		_, err := c.reader.Peek(1)
		var w pendingRequest
		select {
		case w = <-c.pending:
		default:
			if err != nil {
				c.close(errIdleClosed)
			} else {
				c.close(errUnsolicited)
			}
			return
		}
		if err != nil {
			c.close(err)
			w.header <- headerResult{err: err}
			return
		}
		response, err := c.readResponse(w.request)
		if err != nil {
			c.close(err)
		}
		w.header <- headerResult{response, err}
		if err != nil {
			return
		}
		select {
		case keep := <-w.finished:
			if !keep {
				return
			}
		case <-c.closed:
			return
		}
	}
}

// readResponse reads the head of a response and skips informational ones.
func (c *conn) readResponse(request *http.Request) (*http.Response, error) {
	c.head.limited, c.head.left = true, maxHeadBytes
	defer func() { c.head.limited = false }()
	for range maxInformational + 1 {
		response, err := http.ReadResponse(c.reader, request)
		if err != nil {
			return nil, shortened(err)
		}
		if isInformational(response.StatusCode) {
			continue
		}
		return response, CheckStatus(response.StatusCode)
	}
	return nil, errInformational
}

// maxErrorBytes limits the text of an error that goes into logs and to the client.
// http.ReadResponse quotes the whole line that it cannot parse.
const maxErrorBytes = 256

func shortened(err error) error {
	if text := err.Error(); len(text) > maxErrorBytes {
		return eris.Errorf("upstream: %s ...", text[:maxErrorBytes])
	}
	return err
}

// exchange sends the request and waits for the header of the response. done must be
// called when the body is no longer needed. sent reports whether a byte of the request
// may have reached the target. id is the hash of the request's id.
func (c *conn) exchange(ctx context.Context, r *Request, id uint64) (response *http.Response, done func(keep bool), sent bool, err error) {
	w := pendingRequest{
		request:  &http.Request{Method: r.Method},
		header:   make(chan headerResult, 1),
		finished: make(chan bool, 1),
	}
	if c.isClosed() {
		return nil, nil, false, errIdleClosed
	}
	stop := context.AfterFunc(ctx, func() { c.close(ctx.Err()) })
	c.carried = append(c.carried, id)
	c.pending <- w
	if err := c.write(r); err != nil {
		stop()
		c.close(err)
		// The reader may have closed the connection for a reason of its own.
		return nil, nil, true, c.contextError(ctx, c.closeReason)
	}
	if r.OnSent != nil {
		r.OnSent()
	}
	select {
	case h := <-w.header:
		if h.err != nil {
			stop()
			return nil, nil, true, c.contextError(ctx, h.err)
		}
		done := func(keep bool) {
			// If the context ended while the body was read, the connection is closed.
			if !stop() {
				keep = false
			}
			w.finished <- keep
			if !keep {
				c.close(errIdleClosed)
			}
		}
		return h.response, done, true, nil
	case <-c.closed:
		stop()
		return nil, nil, true, c.contextError(ctx, c.closeReason)
	}
}

func (c *conn) contextError(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return ctx.Err()
	}
	return err
}

func (c *conn) write(r *Request) error {
	// A zero time clears the deadline of an earlier request.
	if err := c.net.SetWriteDeadline(r.writeDeadline); err != nil {
		return err
	}
	var b strings.Builder
	b.Grow(writeBufferBytes)
	b.WriteString(r.Method + " " + r.URI + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	for _, f := range r.Header {
		b.WriteString(f.Name + ": " + f.Value + "\r\n")
	}
	if len(r.Body) > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut || r.Method == http.MethodPatch {
		b.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	buffers := net.Buffers{[]byte(b.String()), r.Body}
	if len(r.Body)+b.Len() <= writeBufferBytes {
		buffers = net.Buffers{append([]byte(b.String()), r.Body...)}
	}
	_, err := buffers.WriteTo(c.net)
	return err
}

// recordIdle reads the idle timeout from the Keep-Alive header of the response and
// reports whether the connection can be reused.
func (c *conn) recordIdle(response *http.Response, now time.Time) bool {
	c.idleSince = now
	c.idleUntil = time.Time{}
	for _, part := range strings.Split(response.Header.Get("Keep-Alive"), ",") {
		value, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if !ok {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil {
			c.idleUntil = now.Add(time.Duration(float64(seconds) * idleFraction * float64(time.Second)))
		}
	}
	return !response.Close && Framed(response)
}

// Framed reports whether a response says itself where it ends. One without a length ends with
// its connection, also if the target crashed.
func Framed(response *http.Response) bool {
	return response.ContentLength >= 0 || len(response.TransferEncoding) > 0
}

// readBody reads the body of a response, which may have up to limit bytes, into memory of
// the lease.
func readBody(lease *memory.Lease, response *http.Response, limit int64) ([]byte, error) {
	if n := response.ContentLength; n > limit {
		return nil, eris.Errorf("upstream: the response has %d bytes, the limit is %d", n, limit)
	}
	b, err := lease.ReadAll(io.LimitReader(response.Body, limit+1), response.ContentLength)
	if err != nil {
		return nil, err
	}
	if int64(len(b)) > limit {
		return nil, eris.Errorf("upstream: the response is longer than %d bytes", limit)
	}
	return b, nil
}
