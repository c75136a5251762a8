// Package upstream sends HTTP/1.1 requests to targets over pooled connections
// and says of each whether it certainly did not run.
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
	// writeBuffer holds the header of a request and most bodies, so that a request
	// is one write.
	writeBuffer = 4 << 10
	readBuffer  = 4 << 10
)

var (
	errIdleClosed  = eris.New("upstream: the target closed an idle connection")
	errUnsolicited = eris.New("upstream: the target sent bytes that answer no request")
)

// conn is one connection. A reading goroutine owns the reader between requests,
// so that a close or stray bytes of the target are seen at once.
type conn struct {
	net     net.Conn
	reader  *bufio.Reader
	waiting chan waiter // the request whose response comes next
	closed  chan struct{}
	once    sync.Once
	reason  error
	reused  bool
	// idleUntil is the time from which the target may close the connection;
	// zero when it did not say.
	idleUntil time.Time
	idleSince time.Time
}

type waiter struct {
	request *http.Request
	answer  chan head
	// finished is closed when the body has been read to its end.
	finished chan bool
}

type head struct {
	response *http.Response
	err      error
}

func newConn(c net.Conn) *conn {
	uc := &conn{
		net:     c,
		reader:  bufio.NewReaderSize(c, readBuffer),
		waiting: make(chan waiter, 1),
		closed:  make(chan struct{}),
	}
	go uc.readLoop()
	return uc
}

func (c *conn) close(reason error) {
	c.once.Do(func() {
		c.reason = reason
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
		var w waiter
		select {
		case w = <-c.waiting:
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
			w.answer <- head{err: err}
			return
		}
		response, err := readResponse(c.reader, w.request)
		w.answer <- head{response, err}
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

// exchange sends the request and waits for the header of its response. sent
// reports whether a byte may have reached the target.
func (c *conn) exchange(ctx context.Context, r *Request) (response *http.Response, done func(keep bool), sent bool, err error) {
	w := waiter{
		request:  &http.Request{Method: r.Method},
		answer:   make(chan head, 1),
		finished: make(chan bool, 1),
	}
	if c.isClosed() {
		return nil, nil, false, errIdleClosed
	}
	stop := context.AfterFunc(ctx, func() { c.close(ctx.Err()) })
	c.waiting <- w
	if err := c.write(r); err != nil {
		stop()
		c.close(err)
		return nil, nil, true, err
	}
	select {
	case h := <-w.answer:
		if h.err != nil {
			stop()
			return nil, nil, true, c.cause(ctx, h.err)
		}
		done := func(keep bool) {
			// A context that ended while the body was read has closed the connection.
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
		return nil, nil, true, c.cause(ctx, c.reason)
	}
}

func (c *conn) cause(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return ctx.Err()
	}
	return err
}

func (c *conn) write(r *Request) error {
	// The zero time removes the deadline of an earlier request.
	if err := c.net.SetWriteDeadline(r.writeDeadline); err != nil {
		return err
	}
	var b strings.Builder
	b.Grow(writeBuffer)
	b.WriteString(r.Method + " " + r.URI + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	for _, f := range r.Header {
		b.WriteString(f.Name + ": " + f.Value + "\r\n")
	}
	if len(r.Body) > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut || r.Method == http.MethodPatch {
		b.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	buffers := net.Buffers{[]byte(b.String()), r.Body}
	if len(r.Body)+b.Len() <= writeBuffer {
		buffers = net.Buffers{append([]byte(b.String()), r.Body...)}
	}
	_, err := buffers.WriteTo(c.net)
	return err
}

// noteIdle takes the time for which the target keeps an idle connection from the
// header of its response. It reports whether the connection may be used again.
func (c *conn) noteIdle(response *http.Response, now time.Time) bool {
	c.idleSince = now
	c.idleUntil = time.Time{}
	for _, part := range strings.Split(response.Header.Get("Keep-Alive"), ",") {
		value, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if !ok {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil {
			c.idleUntil = now.Add(time.Duration(float64(seconds) * idleShare * float64(time.Second)))
		}
	}
	framed := response.ContentLength >= 0 || len(response.TransferEncoding) > 0
	return !response.Close && framed
}

// body reads a response to its end, up to limit bytes.
func body(response *http.Response, limit int64) ([]byte, error) {
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
