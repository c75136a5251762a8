package loopback

import (
	"bytes"
	"io"
	"net"
	"runtime"
	"strings"
	"testing"
	"time"
)

const (
	// maxEndlessBytes and maxEndlessTime end a connection that the client does not close,
	// so that a test of a reader without a limit fails instead of running out of memory.
	maxEndlessBytes = 128 << 20
	maxEndlessTime  = 15 * time.Second
	// endlessWriteBytes is the size of one write.
	endlessWriteBytes = 32 << 10
	// endlessSendBuffer keeps the bytes that are on their way when the client closes the
	// connection few.
	endlessSendBuffer = 64 << 10
)

const (
	// Deadline is for requests to an Endless: a reader with a limit ends them before.
	Deadline = 12 * time.Second
	// CloseTime is the time within which a reader with a limit closes the connection to an
	// Endless, also on a busy machine with the race detector. The bytes sent show a reader
	// without a limit whatever the speed of the machine.
	CloseTime = 10 * time.Second
)

// Endless is a server that sends bytes without end to each client.
type Endless struct {
	Address string
	ends    chan EndlessEnd
}

// EndlessEnd is the end of one connection to an Endless.
type EndlessEnd struct {
	Sent   int64 // bytes, of which some may not have been read
	Took   time.Duration
	Closed bool // by the client, before one of the limits of the server was reached
}

// ServeEndless starts a server that waits for the head of a request, sends first, and then
// repeats again until the client closes the connection.
func ServeEndless(t testing.TB, first, again string) *Endless {
	t.Helper()
	l := Listen(t)
	t.Cleanup(func() { _ = l.Close() })
	e := &Endless{Address: l.Addr().String(), ends: make(chan EndlessEnd, 1024)}
	block := []byte(strings.Repeat(again, 1+endlessWriteBytes/len(again)))
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() { e.ends <- pour(c, []byte(first), block) }()
		}
	}()
	return e
}

func pour(c net.Conn, first, block []byte) (end EndlessEnd) {
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(maxEndlessTime))
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetWriteBuffer(endlessSendBuffer)
	}
	head, buf := []byte(nil), make([]byte, 4<<10)
	for !bytes.Contains(head, []byte("\r\n\r\n")) {
		n, err := c.Read(buf)
		if err != nil {
			return end
		}
		head = append(head, buf[:n]...)
	}
	began := time.Now()
	for next := first; end.Sent < maxEndlessBytes; next = block {
		n, err := c.Write(next)
		end.Sent += int64(n)
		if err != nil {
			end.Took = time.Since(began)
			end.Closed = end.Took < maxEndlessTime
			return end
		}
	}
	end.Took = time.Since(began)
	// The rest of the request is read, so that it cannot be taken for a close.
	_, _ = io.Copy(io.Discard, io.LimitReader(c, maxEndlessBytes))
	return end
}

// Next returns the end of the next connection that has ended.
func (e *Endless) Next(t testing.TB) EndlessEnd {
	t.Helper()
	select {
	case end := <-e.ends:
		return end
	case <-time.After(2 * maxEndlessTime):
		t.Fatal("the connection did not end")
		return EndlessEnd{}
	}
}

// Allocated returns the bytes that the whole process allocates on the heap while f runs.
func Allocated(f func()) int64 {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	f()
	runtime.ReadMemStats(&after)
	return int64(after.TotalAlloc - before.TotalAlloc)
}
