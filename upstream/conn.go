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
)

const (
	// writeBufferBytes fits the header of a request and most bodies, so that a request
	// takes a single write.
	writeBufferBytes = 4 << 10
	readBufferBytes  = 4 << 10
)

var (
	errIdleClosed  = eris.New("upstream: the idle connection was closed")
	errUnsolicited = eris.New("upstream: the target sent bytes that answer no request")
)

// conn is one connection. Its readLoop goroutine owns the reader except while the caller
// reads a response body, so that a close by the target or unsolicited bytes on an idle
// connection are detected immediately.
type conn struct {
	net         net.Conn
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
	uc := &conn{
		net:     c,
		reader:  bufio.NewReaderSize(c, readBufferBytes),
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
		response, err := readResponse(c.reader, w.request)
		w.header <- headerResult{response, err}
		if err != nil {
			c.close(err)
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

// readResponse skips informational responses.
func readResponse(r *bufio.Reader, request *http.Request) (*http.Response, error) {
	for {
		response, err := http.ReadResponse(r, request)
		if err != nil || response.StatusCode >= 200 {
			return response, err
		}
	}
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
		return nil, nil, true, err
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

// readBody reads the body of a response, which may have up to limit bytes.
func readBody(response *http.Response, limit int64) ([]byte, error) {
	if n := response.ContentLength; n > limit {
		return nil, eris.Errorf("upstream: the response has %d bytes, the limit is %d", n, limit)
	}
	b, err := io.ReadAll(io.LimitReader(response.Body, limit+1))
	if err != nil {
		return nil, err
	}
	if int64(len(b)) > limit {
		return nil, eris.Errorf("upstream: the response is longer than %d bytes", limit)
	}
	return b, nil
}
