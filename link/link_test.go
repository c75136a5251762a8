package link

import (
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/coder/websocket"
	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"merlinhall/wire"
)

type recorder struct {
	up   chan *Conn
	msg  chan wire.Message
	down chan error
}

func newRecorder() *recorder {
	return &recorder{up: make(chan *Conn, 16), msg: make(chan wire.Message, 64), down: make(chan error, 16)}
}

func (r *recorder) Up(c *Conn)                      { r.up <- c }
func (r *recorder) Message(_ *Conn, m wire.Message) { r.msg <- m }
func (r *recorder) Down(_ *Conn, reason error)      { r.down <- reason }

func receive[T any](t *testing.T, c <-chan T, what string) T {
	t.Helper()
	select {
	case v := <-c:
		return v
	case <-time.After(20 * time.Second):
		t.Fatalf("no %s", what)
		panic("unreachable")
	}
}

// Guards against a link to a newer process that ends with the first message of a kind that
// this one does not know.
func TestMessageOfAnUnknownKindIsIgnored(t *testing.T) {
	is := is.New(t)
	server, client := newRecorder(), newRecorder()
	srv := httptest.NewServer(Accept(wire.Hello{Process: "s"}, server))
	defer srv.Close()
	c, err := Dial(t.Context(), NewHTTPClient(nil), "ws", strings.TrimPrefix(srv.URL, "http://"), wire.Hello{Process: "c"}, client)
	is.NoErr(err)
	receive(t, server.up, "connection")
	is.NoErr(c.SendFrame([]byte{3, 0xa0}))   // retired
	is.NoErr(c.SendFrame([]byte{255, 0xa0})) // not assigned
	is.NoErr(c.Send(&wire.Cancel{ID: "1"}))
	is.Equal(receive(t, server.msg, "message").(*wire.Cancel).ID, "1")
	is.NoErr(c.SendFrame([]byte{1, 0xff})) // malformed
	is.True(errors.Is(receive(t, server.down, "end of the connection"), wire.ErrMalformed))
}

// Guards against a link that loses messages or the identity of its peer.
func TestMessagesBothWays(t *testing.T) {
	is := is.New(t)
	server, client := newRecorder(), newRecorder()
	srv := httptest.NewServer(Accept(wire.Hello{Process: "s"}, server))
	defer srv.Close()
	c, err := Dial(t.Context(), NewHTTPClient(nil), "ws", strings.TrimPrefix(srv.URL, "http://"), wire.Hello{Process: "c"}, client)
	is.NoErr(err)
	s := receive(t, server.up, "connection")
	is.Equal(s.Peer().Process, "c")
	is.Equal(c.Peer().Process, "s")
	is.NoErr(c.Send(&wire.Cancel{ID: "1"}))
	is.NoErr(s.Send(&wire.Cancel{ID: "2"}))
	is.Equal(receive(t, server.msg, "message").(*wire.Cancel).ID, "1")
	is.Equal(receive(t, client.msg, "message").(*wire.Cancel).ID, "2")
	c.Close(ErrClosed)
	receive(t, server.down, "end")
	receive(t, client.down, "end")
	is.Equal(c.Send(&wire.Ping{}), ErrClosed)
}

// Guards against links of a process that has stopped: they stayed open as long as the program
// ran, and their peers believed that they were told all that is new.
func TestClosedAcceptorEndsItsLinks(t *testing.T) {
	is := is.New(t)
	server, client := newRecorder(), newRecorder()
	a := Accept(wire.Hello{Process: "s"}, server)
	srv := httptest.NewServer(a)
	defer srv.Close()
	address := strings.TrimPrefix(srv.URL, "http://")
	_, err := Dial(t.Context(), NewHTTPClient(nil), "ws", address, wire.Hello{Process: "c"}, client)
	is.NoErr(err)
	receive(t, server.up, "connection")
	a.Close()
	receive(t, client.down, "end at the client")
	receive(t, server.down, "end at the server")
	late := newRecorder()
	if _, err := Dial(t.Context(), NewHTTPClient(nil), "ws", address, wire.Hello{Process: "c"}, late); err == nil {
		receive(t, late.down, "end of a later link")
	}
	held := func() int {
		a.mu.Lock()
		defer a.mu.Unlock()
		return len(a.open)
	}
	for until := time.Now().Add(5 * time.Second); held() > 0 && time.Now().Before(until); {
		time.Sleep(time.Millisecond) // a link is forgotten after its Down
	}
	is.Equal(held(), 0)
}

// Guards against a connection that the network drops without an error: no bytes
// arrive any more. The link must be closed for silence and the dialer must replace it.
func TestSilentConnectionIsReplaced(t *testing.T) {
	is := is.New(t)
	server, client := newRecorder(), newRecorder()
	srv := httptest.NewServer(Accept(wire.Hello{Process: "s"}, server))
	defer srv.Close()
	var silent atomic.Bool
	relay := newRelay(t, strings.TrimPrefix(srv.URL, "http://"), &silent)
	d := StartDialer(NewHTTPClient(nil), "ws", relay, wire.Hello{Process: "c"}, client)
	defer d.Stop()
	receive(t, client.up, "first connection")
	receive(t, server.up, "first connection at the server")
	silent.Store(true)
	// Either end may detect the silence first; closing it gives the other end an error.
	reasons := []error{receive(t, client.down, "end at the client"), receive(t, server.down, "end at the server")}
	is.True(reasons[0] == ErrSilent || reasons[1] == ErrSilent)
	silent.Store(false)
	receive(t, client.up, "second connection")
}

// Guards against a link that stays open after a frame that is not a message.
func TestMalformedFrameClosesLink(t *testing.T) {
	is := is.New(t)
	server := newRecorder()
	srv := httptest.NewServer(Accept(wire.Hello{Process: "s"}, server))
	defer srv.Close()
	ws, _, err := websocket.Dial(t.Context(), srv.URL+Path, nil)
	is.NoErr(err)
	hello, err := wire.Encode(&wire.Hello{Process: "bad"})
	is.NoErr(err)
	is.NoErr(ws.Write(t.Context(), websocket.MessageBinary, hello))
	receive(t, server.up, "connection")
	is.NoErr(ws.Write(t.Context(), websocket.MessageBinary, []byte{byte(wire.KindPing), 0xff, 1}))
	reason := receive(t, server.down, "end")
	is.True(strings.Contains(reason.Error(), "malformed"))
}

// newRelay forwards bytes to address. While silent is set it drops them, and a
// connection whose bytes were dropped stays silent afterwards.
func newRelay(t *testing.T, address string, silent *atomic.Bool) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			in, err := l.Accept()
			if err != nil {
				return
			}
			out, err := net.Dial("tcp", address)
			if err != nil {
				_ = in.Close()
				continue
			}
			var dead atomic.Bool
			go pump(in, out, silent, &dead)
			go pump(out, in, silent, &dead)
		}
	}()
	return l.Addr().String()
}

func pump(dst io.WriteCloser, src io.Reader, silent, dead *atomic.Bool) {
	buf := make([]byte, 4096)
	for {
		n, err := src.Read(buf)
		if err != nil {
			_ = dst.Close()
			return
		}
		if silent.Load() {
			dead.Store(true)
		}
		if !dead.Load() {
			_, _ = dst.Write(buf[:n])
		}
	}
}

var _ http.Handler = Accept(wire.Hello{}, nil)

// Guards against unbounded memory use for a peer that does not read.
func TestSendQueueIsBoundedInBytes(t *testing.T) {
	is := is.New(t)
	c := &Conn{send: make(chan []byte, sendQueueFrames), closed: make(chan struct{})}
	frame := make([]byte, 1<<20)
	for range sendQueueBytes / len(frame) {
		is.NoErr(c.SendFrame(frame))
	}
	is.Equal(c.SendFrame(frame), ErrSendFull)
}

type panickingEvents struct{ *recorder }

func (e panickingEvents) Message(_ *Conn, m wire.Message) {
	if m.(*wire.Cancel).ID == "bad" {
		panic("a message that no one thought of")
	}
	e.msg <- m
}

type recoverer struct{}

func (recoverer) Run(_ logrus.Fields, work func()) (err error) {
	defer func() {
		if r := recover(); r != nil {
			err = errors.New("unexpected")
		}
	}()
	work()
	return nil
}

// Guards against one message that ends the process, or leaves a link of which the other
// handlers do not learn that it has ended.
func TestUnexpectedErrorEndsOneLink(t *testing.T) {
	is := is.New(t)
	server, client := newRecorder(), newRecorder()
	srv := httptest.NewServer(Accept(wire.Hello{Process: "s"}, Guarded(panickingEvents{server}, recoverer{})))
	defer srv.Close()
	d := StartDialer(NewHTTPClient(nil), "ws", strings.TrimPrefix(srv.URL, "http://"), wire.Hello{Process: "c"}, client)
	defer d.Stop()
	c := receive(t, client.up, "link")
	is.NoErr(c.Send(&wire.Cancel{ID: "bad"}))
	is.True(strings.Contains(receive(t, server.down, "end").Error(), "unexpected"))
	c = receive(t, client.up, "another link")
	is.NoErr(c.Send(&wire.Cancel{ID: "good"}))
	is.Equal(receive(t, server.msg, "message").(*wire.Cancel).ID, "good")
}
