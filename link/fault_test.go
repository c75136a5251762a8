package link

import (
	"fmt"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/coder/websocket"
	"github.com/matryer/is"

	"merlinhall/netfault"
	"merlinhall/wire"
)

// cancelText returns an id that shows whether a byte of it was changed or lost.
func cancelText(i int) string { return fmt.Sprintf("%04d-%s-%04d", i, strings.Repeat("x", 200), i) }

// sendThroughFaults sends messages from a dialer to a server through a proxy until want
// messages have arrived, and returns the ids in the order of their arrival.
func sendThroughFaults(t *testing.T, plan netfault.Plan, want int) []string {
	t.Helper()
	server, client := newRecorder(), newRecorder()
	server.up, server.down = make(chan *Conn, 1024), make(chan error, 1024)
	client.up, client.down = make(chan *Conn, 1024), make(chan error, 1024)
	server.msg = make(chan wire.Message, 1024)
	srv := httptest.NewServer(Accept(wire.Hello{Process: "s"}, server))
	t.Cleanup(func() { srv.CloseClientConnections(); srv.Close() })
	proxy := netfault.StartProxy(t, strings.TrimPrefix(srv.URL, "http://"), plan)
	d := StartDialer(NewHTTPClient(nil), "ws", proxy.Address, wire.Hello{Process: "c"}, client)
	t.Cleanup(d.Stop)
	var ids []string
	limit := time.After(30 * time.Second)
	for i := 0; len(ids) < want; i++ {
		if c := d.Conn(); c != nil {
			_ = c.Send(&wire.Cancel{ID: cancelText(i % 10000)})
		}
		select {
		case m := <-server.msg:
			ids = append(ids, m.(*wire.Cancel).ID)
		case <-time.After(2 * time.Millisecond):
		case <-limit:
			t.Fatalf("%d of %d messages have arrived after the faults %v", len(ids), want, proxy.Strikes())
		}
	}
	return ids
}

// Guards against part of a message, a changed one or one message twice that is taken for
// what the peer sent, and against a link that does not come back.
func TestMessagesCutOnTheWay(t *testing.T) {
	for _, seed := range netfault.Seeds(t, "1-16") {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			plan := netfault.Plan{
				Seed: seed, Bytes: 3000, For: 100 * time.Microsecond,
				Kinds: []netfault.Kind{netfault.Cut, netfault.Reset, netfault.Trickle, netfault.Flip, netfault.Double, netfault.Delay},
			}
			seen := make(map[string]bool)
			for _, id := range sendThroughFaults(t, plan, 60) {
				var i int
				_, err := fmt.Sscanf(id, "%d-", &i)
				is.NoErr(err)
				is.Equal(id, cancelText(i)) // a message was changed
				is.True(!seen[id])          // a message came twice
				seen[id] = true
			}
		})
	}
}

// Guards against a link that a process of a version without checksums cannot use.
func TestPeerWithoutChecksums(t *testing.T) {
	is := is.New(t)
	server := newRecorder()
	srv := httptest.NewServer(Accept(wire.Hello{Process: "s"}, server))
	defer srv.Close()
	ws, _, err := websocket.Dial(t.Context(), srv.URL+Path, nil)
	is.NoErr(err)
	defer func() { _ = ws.CloseNow() }()
	for _, m := range []wire.Message{&wire.Hello{Process: "old"}, &wire.Cancel{ID: "1"}} {
		frame, err := wire.Encode(m)
		is.NoErr(err)
		is.NoErr(ws.Write(t.Context(), websocket.MessageBinary, frame))
	}
	is.Equal(receive(t, server.msg, "message").(*wire.Cancel).ID, "1")
	is.NoErr(receive(t, server.up, "connection").Send(&wire.Cancel{ID: "2"}))
	for range 2 { // the Hello and the message
		_, frame, err := ws.Read(t.Context())
		is.NoErr(err)
		m, err := wire.Decode(frame)
		is.NoErr(err)
		if c, ok := m.(*wire.Cancel); ok {
			is.Equal(c.ID, "2")
		}
	}
}

// Guards against a peer whose bytes keep a link open although no frame of it is ever whole:
// the limit counts frames, not bytes.
func TestLinkWithoutWholeFramesEnds(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	server, client := newRecorder(), newRecorder()
	srv := httptest.NewServer(Accept(wire.Hello{Process: "s"}, server))
	t.Cleanup(func() { srv.CloseClientConnections(); srv.Close() })
	const handshake = 2000 // more bytes than the handshake has
	proxy := netfault.StartProxy(t, strings.TrimPrefix(srv.URL, "http://"), netfault.Plan{
		Seed: 1, Kinds: []netfault.Kind{netfault.Trickle}, First: handshake, Bytes: 1, For: 50 * time.Millisecond, Answers: true,
	})
	_, err := Dial(t.Context(), NewHTTPClient(nil), "ws", proxy.Address, wire.Hello{Process: "c"}, client)
	is.NoErr(err)
	s := receive(t, server.up, "connection")
	is.NoErr(s.Send(&wire.Cancel{ID: strings.Repeat("x", 1<<20)})) // 14 hours at this rate
	is.Equal(receive(t, client.down, "end at the client"), ErrSilent)
	is.Equal(len(client.msg), 0)
}
