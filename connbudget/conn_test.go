package connbudget

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"
)

// admitted is a listener whose connections are counted.
type admitted struct {
	net.Listener
	part *Part
}

func (a admitted) Accept() (net.Conn, error) {
	for {
		c, err := a.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if counted := a.part.Admit(c); counted != nil {
			return counted, nil
		}
	}
}

func serve(t *testing.T, share Share, l Limits) (*Part, string) {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	account := New(l, prometheus.NewRegistry(), logrus.NewEntry(log))
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	part := account.Part("test", share)
	server := &http.Server{ConnContext: Context, ConnState: Note, MaxHeaderBytes: 16384, Handler: Handler(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(w, r.Body)
	}))}
	t.Cleanup(func() {
		_ = server.Close()
		account.Close()
	})
	go func() { _ = server.Serve(admitted{listener, part}) }()
	return part, listener.Addr().String()
}

// eventuallyEmpty waits until nothing is counted.
func eventuallyEmpty(t *testing.T, part *Part) {
	t.Helper()
	for until := time.Now().Add(20 * time.Second); ; time.Sleep(10 * time.Millisecond) {
		part.account.mu.Lock()
		conns, held, closing := len(part.conns), part.bytes, part.closing
		part.account.mu.Unlock()
		if conns == 0 && held == 0 && closing == 0 {
			return
		}
		if time.Now().After(until) {
			t.Fatalf("%d connections, %d bytes, %d closing", conns, held, closing)
		}
	}
}

// Guards against connections, headers and places that stay counted after their clients have gone,
// so that a process refuses everybody in the end.
func TestNothingStaysCounted(t *testing.T) {
	part, address := serve(t, Share{Connections: 20, Bytes: 2 << 20}, Limits{StallTime: 5 * time.Millisecond, Grace: time.Second, BodyRate: 1000})
	fields := strings.Repeat("field: value\r\n", 400)
	requests := []string{
		"", "GET / HTTP/1.1\r\nHost:", "GET / HTTP/1.1\r\nHost: h\r\n" + fields, "GET / HTTP/1.1\r\nHost: h\r\n" + fields + "\r\n",
		"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 9000\r\n\r\nbody", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbodyGET / HTTP/1.1\r\nHost: h\r\n\r\nGET",
		"not HTTP\r\n\r\n", "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n",
		fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", 8<<20, strings.Repeat("x", 8<<20)), // echoed, and not read
	}
	var clients sync.WaitGroup
	for i := range 30 * len(requests) {
		clients.Go(func() {
			c, err := net.Dial("tcp", address)
			if err != nil {
				return
			}
			_ = c.SetDeadline(time.Now().Add(100 * time.Millisecond))
			_, _ = io.WriteString(c, requests[i%len(requests)])
			_, _ = http.ReadResponse(bufio.NewReader(c), nil) // may be cut off
			_ = c.Close()
		})
	}
	clients.Wait()
	eventuallyEmpty(t, part)
}

// Guards against a header that is decoded before it was counted: one with more fields than fit
// must be refused while it arrives, and without being run.
func TestFieldsAreCountedAsTheyArrive(t *testing.T) {
	is := is.New(t)
	part, address := serve(t, Share{Connections: 4, Bytes: connBytes + headerCost(4000, 250)}, DefaultLimits())
	for fields, want := range map[int]int{200: http.StatusOK, 400: http.StatusServiceUnavailable} {
		c, err := net.Dial("tcp", address)
		is.NoErr(err)
		is.NoErr(c.SetDeadline(time.Now().Add(20 * time.Second)))
		_, err = io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n"+strings.Repeat("a: b\r\n", fields)+"\r\n")
		is.NoErr(err)
		response, err := http.ReadResponse(bufio.NewReader(c), nil)
		is.NoErr(err)
		is.Equal(response.StatusCode, want)
		is.Equal(response.Header.Get("Retry-After") != "", want == http.StatusServiceUnavailable)
		is.NoErr(c.Close())
		eventuallyEmpty(t, part)
	}
}

// Guards against a body that the handler does not read, and that is counted as the header of the
// next request: the refusal would arrive in place of the response of a request that has run.
func TestUnreadBodiesAreNotHeaders(t *testing.T) {
	is := is.New(t)
	log := logrus.New()
	log.SetOutput(io.Discard)
	account := New(DefaultLimits(), prometheus.NewRegistry(), logrus.NewEntry(log))
	defer account.Close()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	part := account.Part("test", Share{Connections: 4, Bytes: connBytes + headerCost(8<<10, 100)})
	server := &http.Server{ConnContext: Context, ConnState: Note, Handler: Handler(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))}
	defer func() { _ = server.Close() }()
	go func() { _ = server.Serve(admitted{listener, part}) }()
	c, err := net.Dial("tcp", listener.Addr().String())
	is.NoErr(err)
	defer func() { _ = c.Close() }()
	is.NoErr(c.SetDeadline(time.Now().Add(20 * time.Second)))
	body := strings.Repeat("\n", 100<<10)
	reader := bufio.NewReader(c)
	for range 3 {
		_, err = fmt.Fprintf(c, "DELETE / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", len(body))
		is.NoErr(err)
		time.Sleep(10 * time.Millisecond) // the body comes after the header
		_, err = io.WriteString(c, body)
		is.NoErr(err)
		response, err := http.ReadResponse(reader, nil)
		is.NoErr(err)
		is.Equal(response.StatusCode, http.StatusOK)
	}
}
