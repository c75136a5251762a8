package propagate

import (
	"context"
	"fmt"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"merlinhall/config"
	"merlinhall/link"
	"merlinhall/wire"
)

// waitLimit only ends a test that would hang.
const waitLimit = 30 * time.Second

func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(waitLimit); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if ok() {
			return
		}
	}
	t.Fatalf("never: %s", what)
}

// testProcess accepts links for a parent.
type testProcess struct {
	name   string
	parent *Parent
	server *httptest.Server
}

func newProcess(t *testing.T, name string, o ParentOptions) *testProcess {
	t.Helper()
	p := &testProcess{name: name, parent: NewParent(o)}
	mux := new(link.Mux)
	mux.Handle(p.parent, ParentKinds...)
	p.server = httptest.NewServer(link.Accept(wire.Hello{Process: name}, mux))
	t.Cleanup(func() { p.server.CloseClientConnections(); p.server.Close(); p.parent.Stop() })
	return p
}

func (p *testProcess) candidate(control bool) Candidate {
	return Candidate{Name: p.name, Address: strings.TrimPrefix(p.server.URL, "http://"), Control: control}
}

func testWorld(index, version uint64, text string) *wire.World {
	return &wire.World{
		Index: index, Term: 1, ConfigVersion: version,
		ConfigText: []byte(text), ConfigDigest: config.Digest([]byte(text)),
	}
}

// echo answers calls in place of the control leader.
type echo struct{}

func (echo) Forward(_ context.Context, call *wire.Call) *wire.Reply {
	if call.Method == "barrier" {
		body, _ := wire.Marshal(&wire.BarrierReply{Term: 3, Index: 9})
		return &wire.Reply{Outcome: wire.CallOK, Body: body}
	}
	return &wire.Reply{Outcome: wire.CallRejected, Error: "no method " + call.Method}
}

// Guards against a tree of real links that does not deliver worlds down, calls up
// and counts up.
func TestTreeOverLinks(t *testing.T) {
	is := is.New(t)
	control := newProcess(t, "c1", ParentOptions{Upstream: echo{}})
	entry := newProcess(t, "e1", ParentOptions{})
	entryFollower := Follow(FollowOptions{
		Local:      wire.Hello{Process: "e1"},
		Candidates: []Candidate{control.candidate(true)},
		Feeds:      entry.parent,
		Dial:       true, Client: link.NewHTTPClient(nil), Scheme: "ws",
	})
	t.Cleanup(entryFollower.Stop)
	got := make(chan uint64, 64)
	agent := Follow(FollowOptions{
		Local:      wire.Hello{Process: "a1"},
		Candidates: []Candidate{control.candidate(true), entry.candidate(false)},
		OnWorld:    func(w *wire.World) { got <- w.Index },
		Dial:       true, Client: link.NewHTTPClient(nil), Scheme: "ws",
	})
	t.Cleanup(agent.Stop)
	control.parent.Publish(testWorld(5, 1, "a = 1\n"))
	is.Equal(<-got, uint64(5))
	control.parent.Publish(testWorld(9, 2, "a = 1\nb = 2\n"))
	is.Equal(<-got, uint64(9))
	is.Equal(string(agent.World().ConfigText), "a = 1\nb = 2\n")
	is.True(agent.World().Index == entryFollower.World().Index)
	eventually(t, "both processes are counted", func() bool {
		return fmt.Sprint(control.parent.Counts()) == "[{2 2}]"
	})
	term, index, err := agent.Barrier(t.Context())
	is.NoErr(err)
	is.Equal(term, uint64(3))
	is.Equal(index, uint64(9))
	reply, err := agent.Call(t.Context(), "other", nil)
	is.NoErr(err)
	is.Equal(reply.Outcome, wire.CallRejected)
}
