package upstream

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"merlinhall/loopback"
	"merlinhall/wire"
)

// serve starts a server that calls respond for each request. It returns its address and
// a channel with the accepted connections.
func serve(t *testing.T, respond func(w io.Writer, r *http.Request, n int) (keep bool)) (Address, chan net.Conn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	accepted := make(chan net.Conn, 64)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			accepted <- c
			go func() {
				defer func() { _ = c.Close() }()
				reader := bufio.NewReader(c)
				for n := 0; ; n++ {
					r, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					if _, err := io.Copy(io.Discard, r.Body); err != nil {
						return
					}
					if !respond(c, r, n) {
						return
					}
				}
			}()
		}
	}()
	return Address{HostPort: l.Addr().String(), ID: "t1"}, accepted
}

func write(w io.Writer, text string) bool {
	_, err := io.WriteString(w, text)
	return err == nil
}

func newTestPool() *Pool {
	return NewPool(func(h http.Header) string { return h.Get("Id") })
}

func post(id string) *Request {
	return &Request{
		ID: id, Method: http.MethodPost, URI: "/a?b", Host: "h", Header: []wire.Header{{Name: "Id", Value: id}}, Body: []byte("x"),
	}
}

func TestConnectionIsReusedAfterItsFirstDeadline(t *testing.T) {
	is := is.New(t)
	to, accepted := serve(t, func(w io.Writer, r *http.Request, _ int) bool {
		return write(w, "HTTP/1.1 200 OK\r\nId: "+r.Header.Get("Id")+"\r\nContent-Length: 2\r\n\r\nok")
	})
	p := newTestPool()
	short, cancel := context.WithTimeout(context.Background(), 80*time.Millisecond)
	_, body, err := p.Do(short, to, post("1"))
	cancel()
	is.NoErr(err)
	is.Equal(string(body), "ok")
	time.Sleep(100 * time.Millisecond)
	_, _, err = p.Do(context.Background(), to, post("2"))
	is.NoErr(err) // the first request's deadline must not apply to the second
	is.Equal(len(accepted), 1)
}

func TestResponseToAnotherRequestIsRejected(t *testing.T) {
	is := is.New(t)
	to, _ := serve(t, func(w io.Writer, _ *http.Request, _ int) bool {
		return write(w, "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 2\r\n\r\nok")
	})
	_, _, err := newTestPool().Do(context.Background(), to, post("1"))
	var failure *Failure
	is.True(errors.As(err, &failure))
	is.True(!failure.NotSent) // it may have run
}

func TestUnsolicitedBytesCloseTheConnection(t *testing.T) {
	is := is.New(t)
	to, accepted := serve(t, func(w io.Writer, _ *http.Request, n int) bool {
		text := "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
		if n == 0 {
			text += "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstray"
		}
		return write(w, text)
	})
	p := newTestPool()
	_, _, err := p.Do(context.Background(), to, post("1"))
	is.NoErr(err)
	time.Sleep(50 * time.Millisecond)
	_, body, err := p.Do(context.Background(), to, post("2"))
	is.NoErr(err)
	is.Equal(string(body), "ok")
	is.Equal(len(accepted), 2)
}

func TestShortResponseIsAFailure(t *testing.T) {
	for name, text := range map[string]string{
		"length":  "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok",
		"chunked": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nok",
		"nothing": "",
		"garbage": "\x00\x01\x02 no response\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			to, _ := serve(t, func(w io.Writer, _ *http.Request, _ int) bool {
				write(w, text)
				return false
			})
			_, _, err := newTestPool().Do(context.Background(), to, post("1"))
			var failure *Failure
			is.True(errors.As(err, &failure))
			is.True(!failure.NotSent)
		})
	}
}

func TestResponseWithoutLengthEndsWithTheConnection(t *testing.T) {
	is := is.New(t)
	to, accepted := serve(t, func(w io.Writer, _ *http.Request, _ int) bool {
		write(w, "HTTP/1.1 200 OK\r\n\r\nall of it")
		return false
	})
	p := newTestPool()
	for _, id := range []string{"1", "2"} {
		_, body, err := p.Do(context.Background(), to, post(id))
		is.NoErr(err)
		is.Equal(string(body), "all of it")
	}
	is.Equal(len(accepted), 2)
}

func TestRefusedConnectionIsNotSent(t *testing.T) {
	is := is.New(t)
	_, _, err := newTestPool().Do(context.Background(), Address{HostPort: loopback.Host(t) + ":1"}, post("1"))
	var failure *Failure
	is.True(errors.As(err, &failure))
	is.True(failure.NotSent)
}

func TestCancelClosesTheConnection(t *testing.T) {
	is := is.New(t)
	release := make(chan struct{})
	to, accepted := serve(t, func(_ io.Writer, _ *http.Request, _ int) bool {
		<-release
		return false
	})
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	_, _, err := newTestPool().Do(ctx, to, post("1"))
	is.True(err != nil)
	c := <-accepted
	is.NoErr(c.SetReadDeadline(time.Now().Add(time.Second)))
	_, err = c.Read(make([]byte, 1))
	is.Equal(err, io.EOF) // the target sees that the request was cancelled
	close(release)
}

func TestIdleTimeoutOfTheTargetIsRespected(t *testing.T) {
	is := is.New(t)
	to, accepted := serve(t, func(w io.Writer, r *http.Request, _ int) bool {
		return write(w, "HTTP/1.1 200 OK\r\nId: "+r.Header.Get("Id")+"\r\nKeep-Alive: timeout=0\r\nContent-Length: 0\r\n\r\n")
	})
	p := newTestPool()
	for _, id := range []string{"1", "2"} {
		_, _, err := p.Do(context.Background(), to, post(id))
		is.NoErr(err)
	}
	is.Equal(len(accepted), 2)
}

// Guards against losing the connections of a burst before the next one. If single
// requests between bursts always reused the same connection, the others would expire.
func TestConnectionsOfABurstTakeTurns(t *testing.T) {
	is := is.New(t)
	to, accepted := serve(t, func(w io.Writer, _ *http.Request, _ int) bool {
		time.Sleep(20 * time.Millisecond)
		return write(w, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
	})
	p := newTestPool()
	done := make(chan error, 4)
	for range 4 {
		go func() { _, _, err := p.Do(context.Background(), to, post("1")); done <- err }()
	}
	for range 4 {
		is.NoErr(<-done)
	}
	is.Equal(len(accepted), 4)
	used := make(map[*conn]bool)
	for range 4 {
		c := p.pop(to, p.hash("2"), time.Now())
		used[c] = true
		p.put(to, c)
	}
	is.Equal(len(used), 4)
}

// A target may answer a request twice. On the same connection the second response to the
// first attempt would be taken for the response to a repetition, which has the same id.
func TestRepeatedRequestUsesAnotherConnection(t *testing.T) {
	is := is.New(t)
	to, accepted := serve(t, func(w io.Writer, r *http.Request, _ int) bool {
		return write(w, "HTTP/1.1 500 Internal Server Error\r\nId: "+r.Header.Get("Id")+"\r\nContent-Length: 2\r\n\r\nno")
	})
	p := newTestPool()
	for range 2 {
		_, _, err := p.Do(context.Background(), to, post("1"))
		is.NoErr(err)
	}
	is.Equal(len(accepted), 2)
	_, _, err := p.Do(context.Background(), to, post("2"))
	is.NoErr(err)
	is.Equal(len(accepted), 2) // another request uses an open one
}

// A target answers a request a second time as the next one but one is due. If that is the
// same request again, the copy names it and would count as its second answer: a failure
// counts twice, and a success is of the former run.
func TestRequestNeverReturnsToAConnectionThatCarriedIt(t *testing.T) {
	for _, first := range []string{"500 Internal Server Error", "200 OK"} {
		t.Run(first, func(t *testing.T) {
			is := is.New(t)
			response := func(status, id, body string) string {
				return "HTTP/1.1 " + status + "\r\nId: " + id + "\r\nContent-Length: 4\r\n\r\n" + body
			}
			var requests atomic.Int32
			to, accepted := serve(t, func(w io.Writer, r *http.Request, n int) bool {
				id := r.Header.Get("Id")
				if requests.Add(1) == 1 {
					return write(w, response(first, id, "old."))
				}
				if n > 0 && id == "a" {
					write(w, response(first, id, "old.")) // the second copy
				}
				return write(w, response("200 OK", id, "new."))
			})
			p := newTestPool()
			_, _, err := p.Do(t.Context(), to, post("a"))
			is.NoErr(err)
			_, _, err = p.Do(t.Context(), to, post("b"))
			is.NoErr(err)
			again, body, err := p.Do(t.Context(), to, post("a"))
			is.NoErr(err)
			is.Equal(again.StatusCode, 200) // the answer of its own run
			is.Equal(string(body), "new.")
			is.Equal(len(accepted), 2)

			_, _, err = p.Do(t.Context(), to, post("c"))
			is.NoErr(err)
			_, _, err = p.Do(t.Context(), to, post("d"))
			is.NoErr(err)
			is.Equal(len(accepted), 2) // other requests still use both connections
		})
	}
}

// The ids of a connection are remembered as long as it lives, so its life must end: a
// connection that is never idle long enough to expire would use ever more memory.
func TestConnectionClosesAfterItsMostRequests(t *testing.T) {
	is := is.New(t)
	to, accepted := serve(t, func(w io.Writer, r *http.Request, _ int) bool {
		return write(w, "HTTP/1.1 200 OK\r\nId: "+r.Header.Get("Id")+"\r\nContent-Length: 0\r\n\r\n")
	})
	p := newTestPool()
	for i := range maxConnRequests {
		_, _, err := p.Do(t.Context(), to, post(strconv.Itoa(i)))
		is.NoErr(err)
	}
	is.Equal(len(accepted), 1)
	is.True(!p.HasIdleConn(to))
	_, _, err := p.Do(t.Context(), to, post("next"))
	is.NoErr(err)
	is.Equal(len(accepted), 2)
}

// A request without an id cannot be told from others by its response, so no connection with
// earlier requests may carry it.
func TestRequestWithoutIDUsesANewConnection(t *testing.T) {
	is := is.New(t)
	to, accepted := serve(t, func(w io.Writer, r *http.Request, n int) bool {
		if r.Header.Get("Id") == "" && n > 0 {
			write(w, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 4\r\n\r\ncopy")
		}
		return write(w, "HTTP/1.1 400 Bad Request\r\nContent-Length: 4\r\nId: "+r.Header.Get("Id")+"\r\n\r\nmine")
	})
	p := newTestPool()
	_, _, err := p.Do(t.Context(), to, post("a"))
	is.NoErr(err)
	response, _, err := p.Do(t.Context(), to, post(""))
	is.NoErr(err)
	is.Equal(response.StatusCode, 400)
	is.Equal(len(accepted), 2)
}

// A target sends a second copy of its response, whole or in part, with or without the
// request's id, in the same segment, a moment later, or as the next response is due. No
// request may get it, and the next request must not fail because of one that had arrived
// before it was sent.
func TestSecondCopyIsNoResponseToTheNextRequest(t *testing.T) {
	response := func(id, body string) string {
		if id != "" {
			id = "Id: " + id + "\r\n"
		}
		return "HTTP/1.1 200 OK\r\n" + id + "Content-Length: 4\r\n\r\n" + body
	}
	chunked := func(id, body string) string {
		return "HTTP/1.1 200 OK\r\nId: " + id + "\r\nTransfer-Encoding: chunked\r\n\r\n4\r\n" + body + "\r\n0\r\n\r\n"
	}
	for name, c := range map[string]struct {
		copy  string
		delay time.Duration
	}{
		"whole, at once":          {response("a", "mine"), 0},
		"whole, a moment later":   {response("a", "mine"), 5 * time.Millisecond},
		"part, at once":           {response("a", "mine")[:20], 0},
		"part, a moment later":    {response("a", "mine")[:20], 5 * time.Millisecond},
		"chunked, at once":        {chunked("a", "mine"), 0},
		"chunked, a moment later": {chunked("a", "mine"), 5 * time.Millisecond},
		"a single byte":           {"H", 0},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			to, _ := serve(t, func(w io.Writer, r *http.Request, n int) bool {
				id := r.Header.Get("Id")
				if n > 0 || id != "a" {
					return write(w, response(id, "next"))
				}
				if c.delay == 0 {
					return write(w, response("a", "mine")+c.copy)
				}
				ok := write(w, response("a", "mine"))
				time.Sleep(c.delay)
				return ok && write(w, c.copy)
			})
			for range 20 {
				p := newTestPool()
				_, body, err := p.Do(t.Context(), to, post("a"))
				is.NoErr(err)
				is.Equal(string(body), "mine")
				_, body, err = p.Do(t.Context(), to, post("b"))
				if c.delay == 0 {
					is.NoErr(err) // the copy had arrived before the request was sent
				}
				is.True(err != nil || string(body) == "next")
			}
		})
	}
}

// A target sends a second response to an earlier request where that to the next one is due,
// with or without an id. The next request must not get it: neither a success that is
// another's, nor a refusal or failure, which would say of a run that there was none.
func TestSecondResponseWhereTheNextIsDue(t *testing.T) {
	for _, status := range []string{"200 OK", "400 Bad Request", "421 Misdirected Request", "500 Internal Server Error", "503 Service Unavailable"} {
		for _, id := range []string{"", "Id: a\r\n"} {
			t.Run(status+" "+id, func(t *testing.T) {
				is := is.New(t)
				second := "HTTP/1.1 " + status + "\r\n" + id + "Not-Run: 1\r\nContent-Length: 4\r\n\r\nmine"
				to, accepted := serve(t, func(w io.Writer, r *http.Request, n int) bool {
					before := ""
					if n > 0 {
						before = second
					}
					return write(w, before+"HTTP/1.1 200 OK\r\nId: "+r.Header.Get("Id")+"\r\nContent-Length: 4\r\n\r\nnext")
				})
				p := newTestPool()
				_, _, err := p.Do(t.Context(), to, post("a"))
				is.NoErr(err)
				_, _, err = p.Do(t.Context(), to, post("b"))
				var failure *Failure
				is.True(errors.As(err, &failure)) // got the second response to a
				is.True(!failure.NotSent)         // it may have run
				is.Equal(len(accepted), 1)
				_, body, err := p.Do(t.Context(), to, post("c"))
				is.NoErr(err) // the connection is not used again
				is.Equal(string(body), "next")
			})
		}
	}
}

// A target that cannot read a request names none in its response. On a new connection that
// is the response to this request.
func TestUnnamedResponseOnANewConnection(t *testing.T) {
	is := is.New(t)
	to, _ := serve(t, func(w io.Writer, _ *http.Request, _ int) bool {
		return write(w, "HTTP/1.1 431 Request Header Fields Too Large\r\nContent-Length: 0\r\n\r\n")
	})
	p := newTestPool()
	response, _, err := p.Do(t.Context(), to, post("a"))
	is.NoErr(err)
	is.Equal(response.StatusCode, 431)
	own := post("b")
	own.Unnamed = true
	response, _, err = p.Do(t.Context(), to, own)
	is.NoErr(err) // to a call of our own, on the same connection
	is.Equal(response.StatusCode, 431)
}

// Guards against a request that a client hides in a field of its own, or a header of another
// account: nothing of such a request is sent.
func TestRequestWithALineBreakIsNotSent(t *testing.T) {
	for name, spoil := range map[string]func(*Request){
		"method": func(r *Request) { r.Method += "\r" },
		"path":   func(r *Request) { r.URI += " HTTP/1.1\r\nAccount: other\r\n\r\nGET /" },
		"host":   func(r *Request) { r.Host += "\nAccount: other" },
		"name":   func(r *Request) { r.Header = append(r.Header, wire.Header{Name: "A: b\r\nAccount", Value: "other"}) },
		"value":  func(r *Request) { r.Header = append(r.Header, wire.Header{Name: "A", Value: "b\r\nAccount: other"}) },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			to, accepted := serve(t, func(w io.Writer, _ *http.Request, _ int) bool {
				return write(w, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
			})
			r := post("1")
			spoil(r)
			_, _, err := newTestPool().Do(t.Context(), to, r)
			var failure *Failure
			is.True(errors.As(err, &failure))
			is.True(failure.NotSent)
			is.Equal(len(accepted), 0)
		})
	}
}
