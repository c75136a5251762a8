package server

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"merlinhall/connbudget"
	"merlinhall/memory"
)

const patience = 20 * time.Second

// startCounted starts a server for a number of connections. Its handler reads a body, and
// answers GET /wait once wait is closed and GET /large with 64 MB.
func startCounted(t *testing.T, connections int, l connbudget.Limits, wait chan struct{}) *Server {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	account := connbudget.New(l, prometheus.NewRegistry(), logrus.NewEntry(log))
	t.Cleanup(account.Close)
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, err := ReadBody(w, r, 1<<20, time.Minute)
		switch {
		case errors.Is(err, memory.ErrExhausted):
			w.WriteHeader(http.StatusServiceUnavailable)
		case r.URL.Path == "/wait":
			<-wait
		case r.URL.Path == "/large":
			for range 64 {
				if _, err := w.Write(make([]byte, 1<<20)); err != nil {
					return
				}
			}
		}
	})
	s, err := StartCounted("127.0.0.1:0", LimitUnreadBodies(handler), account.Part("test", connbudget.Share{Connections: connections, Bytes: 8 << 20}), Limits{Idle: time.Minute, HeaderTime: time.Minute})
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = s.Close() })
	return s
}

func send(t *testing.T, s *Server, text string) net.Conn {
	t.Helper()
	c := connect(t, s)
	_, err := c.Write([]byte(text))
	is.New(t).NoErr(err)
	is.New(t).NoErr(c.SetReadDeadline(time.Now().Add(patience)))
	return c
}

// eventuallyServed sends requests over new connections until one is served.
func eventuallyServed(t *testing.T, s *Server) {
	t.Helper()
	for until := time.Now().Add(patience); time.Now().Before(until); time.Sleep(10 * time.Millisecond) {
		c, err := net.Dial("tcp", s.Addr())
		if err != nil {
			continue
		}
		_ = c.SetDeadline(time.Now().Add(patience))
		_, _ = io.WriteString(c, strings.Replace(getRequest, "\r\n\r\n", "\r\nConnection: close\r\n\r\n", 1))
		response, err := http.ReadResponse(bufio.NewReader(c), nil)
		_ = c.Close()
		if err == nil && response.StatusCode == http.StatusOK {
			return
		}
	}
	t.Fatal("no request was served")
}

// Guards against a request at work that is ended for a new connection, and against a refusal
// without Retry-After.
func TestRequestsAtWorkDoNotGiveWay(t *testing.T) {
	is := is.New(t)
	wait := make(chan struct{})
	s := startCounted(t, 1, connbudget.Limits{StallTime: time.Millisecond, Grace: time.Minute}, wait)
	at := send(t, s, "GET /wait HTTP/1.1\r\nHost: h\r\n\r\n")
	refused := 0
	for until := time.Now().Add(patience); refused < 3 && time.Now().Before(until); {
		c, err := net.Dial("tcp", s.Addr())
		is.NoErr(err)
		is.NoErr(c.SetReadDeadline(time.Now().Add(patience)))
		response, err := http.ReadResponse(bufio.NewReader(c), nil)
		_ = c.Close()
		if err != nil {
			continue // closed, and nothing was read
		}
		is.Equal(response.StatusCode, http.StatusServiceUnavailable)
		is.True(response.Header.Get("Retry-After") != "")
		refused++
	}
	is.Equal(refused, 3)
	close(wait)
	response, err := http.ReadResponse(bufio.NewReader(at), nil)
	is.NoErr(err)
	is.Equal(response.StatusCode, http.StatusOK)
}

// Guards against clients that stop midway and keep the places of all others, and against ones
// that are cut off with no response although a part of their request was read.
func TestStoppedClientsGiveWay(t *testing.T) {
	for name, c := range map[string]struct {
		text string
		want int // status, 0 for a close
	}{
		"nothing":     {"", 0},
		"header":      {"GET / HTTP/1.1\r\nHost:", http.StatusServiceUnavailable},
		"body":        {"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\nbody", http.StatusServiceUnavailable},
		"chunks":      {"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n", http.StatusServiceUnavailable},
		"many fields": {"GET / HTTP/1.1\r\nHost: h\r\n" + strings.Repeat("a:\r\n", 400), http.StatusServiceUnavailable},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := startCounted(t, 2, connbudget.Limits{StallTime: 100 * time.Millisecond, Grace: time.Minute}, nil)
			stopped := []net.Conn{send(t, s, c.text), send(t, s, c.text)}
			ends := make(chan int, 2)
			for _, conn := range stopped {
				go func() {
					response, err := http.ReadResponse(bufio.NewReader(conn), nil)
					if err != nil {
						ends <- 0
						return
					}
					ends <- response.StatusCode
				}()
			}
			eventuallyServed(t, s) // in the place of one of them
			is.Equal(<-ends, c.want)
		})
	}
}

// Guards against clients that trickle a body or do not read a response, and are kept without end
// although nobody else needs the place.
func TestClientsWithoutProgressAreCutOff(t *testing.T) {
	is := is.New(t)
	s := startCounted(t, 8, connbudget.Limits{StallTime: time.Second, Grace: 300 * time.Millisecond, BodyRate: 1000}, nil)
	body := send(t, s, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 100000\r\n\r\n")
	go func() {
		for {
			if _, err := body.Write([]byte("x")); err != nil {
				return
			}
			time.Sleep(20 * time.Millisecond)
		}
	}()
	response, err := http.ReadResponse(bufio.NewReader(body), nil)
	is.NoErr(err)
	is.Equal(response.StatusCode, http.StatusServiceUnavailable)
	unread := send(t, s, "GET /large HTTP/1.1\r\nHost: h\r\n\r\n")
	for until := time.Now().Add(patience); ; time.Sleep(20 * time.Millisecond) {
		is.True(time.Now().Before(until)) // is still open
		if _, err := unread.Write([]byte("x")); err != nil {
			break
		}
	}
}

// Guards against clients that pipeline requests with small responses, do not read these, and keep
// a connection that waits for them after the handler has returned.
func TestPipelinedResponsesAreTaken(t *testing.T) {
	is := is.New(t)
	s := startCounted(t, 8, connbudget.Limits{StallTime: time.Second, Grace: 300 * time.Millisecond, BodyRate: 1000}, nil)
	c := connect(t, s)
	is.NoErr(c.SetWriteDeadline(time.Now().Add(2 * patience)))
	requests := []byte(strings.Repeat(getRequest, 1000))
	for {
		if _, err := c.Write(requests); err != nil {
			is.True(!errors.Is(err, os.ErrDeadlineExceeded)) // the server has not closed it
			return
		}
	}
}

// Guards against honest clients whose connection is slow and that are taken for stopped ones: a
// body and a response in pieces, with pauses below the grace.
func TestSlowClientsAreServed(t *testing.T) {
	is := is.New(t)
	s := startCounted(t, 8, connbudget.Limits{StallTime: time.Second, Grace: 10 * time.Second, BodyRate: 1000}, nil)
	c := send(t, s, fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", 20*250))
	for range 20 { // 5 kB a second
		_, err := c.Write(make([]byte, 250))
		is.NoErr(err)
		time.Sleep(50 * time.Millisecond)
	}
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	is.NoErr(err)
	is.Equal(response.StatusCode, http.StatusOK)
	large := send(t, s, "GET /large HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
	response, err = http.ReadResponse(bufio.NewReader(large), nil)
	is.NoErr(err)
	total := 0
	for buffer := make([]byte, 4<<20); ; time.Sleep(20 * time.Millisecond) {
		n, err := response.Body.Read(buffer)
		total += n
		if err == io.EOF {
			break
		}
		is.NoErr(err)
	}
	is.Equal(total, 64<<20)
}
