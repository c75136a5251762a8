package propagate

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"merlinhall/config"
	"merlinhall/link"
	"merlinhall/observe"
	"merlinhall/wire"
)

// waitLimit ends a test that would otherwise hang.
const waitLimit = 30 * time.Second

func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(waitLimit); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if ok() {
			return
		}
	}
	t.Fatalf("not reached: %s", what)
}

// testProcess is a parent that accepts links.
type testProcess struct {
	name   string
	parent *Parent
	server *httptest.Server
}

func newTestProcess(t *testing.T, name string, o ParentOptions) *testProcess {
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

// dialFollower starts a follower that dials the candidates.
func dialFollower(t *testing.T, name string, o FollowOptions, candidates ...Candidate) *Follower {
	o.Local, o.Candidates = wire.Hello{Process: name}, candidates
	o.Dial, o.Client, o.Scheme = true, link.NewHTTPClient(nil), "ws"
	f := Follow(o)
	t.Cleanup(f.Stop)
	return f
}

func testState(index, version uint64, text string) *wire.ClusterState {
	return &wire.ClusterState{
		Index: index, Term: 1, ConfigVersion: version,
		ConfigText: []byte(text), ConfigDigest: config.Digest([]byte(text)),
	}
}

// upstream is a fake control leader.
type upstream func(ctx context.Context, call *wire.Call) *wire.Reply

func (u upstream) Forward(ctx context.Context, call *wire.Call) *wire.Reply { return u(ctx, call) }

func answer(_ context.Context, call *wire.Call) *wire.Reply {
	if call.Method == "barrier" {
		body, _ := wire.Marshal(&wire.BarrierReply{Term: 3, Index: 9})
		return &wire.Reply{Outcome: wire.CallOK, Body: body}
	}
	return &wire.Reply{Outcome: wire.CallRejected, Error: "no method " + call.Method}
}

// stuck blocks until the call times out.
func stuck(ctx context.Context, _ *wire.Call) *wire.Reply {
	<-ctx.Done()
	return &wire.Reply{Outcome: wire.CallUnknown}
}

// Guards against a tree of real links that does not deliver cluster states downwards,
// or calls and counts upwards.
func TestTreeOverLinks(t *testing.T) {
	is := is.New(t)
	control := newTestProcess(t, "c1", ParentOptions{Upstream: upstream(answer)})
	entry := newTestProcess(t, "e1", ParentOptions{})
	entryFollower := dialFollower(t, "e1", FollowOptions{Downstream: entry.parent}, control.candidate(true))
	got := make(chan uint64, 64)
	o := FollowOptions{OnClusterState: func(w *wire.ClusterState) { got <- w.Index }}
	agent := dialFollower(t, "a1", o, control.candidate(true), entry.candidate(false))
	control.parent.Publish(testState(5, 1, "a = 1\n"))
	is.Equal(<-got, uint64(5))
	control.parent.Publish(testState(9, 2, "a = 1\nb = 2\n"))
	is.Equal(<-got, uint64(9))
	is.Equal(string(agent.ClusterState().ConfigText), "a = 1\nb = 2\n")
	is.True(agent.ClusterState().Index == entryFollower.ClusterState().Index)
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

// relay starts a TCP proxy to address. While silent is set, it drops the bytes sent
// from address to the child, also on existing connections.
func relay(t *testing.T, address string, silent *atomic.Bool) string {
	t.Helper()
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
			go func() { _, _ = io.Copy(out, in); _ = out.Close() }()
			go func() { drop(in, out, silent); _ = in.Close() }()
		}
	}()
	return l.Addr().String()
}

func drop(dst io.Writer, src io.Reader, silent *atomic.Bool) {
	buf := make([]byte, 4096)
	for {
		n, err := src.Read(buf)
		if err != nil {
			return
		}
		if !silent.Load() {
			_, _ = dst.Write(buf[:n])
		}
	}
}

// Guards against a child that stays with a parent whose messages no longer arrive,
// loses its cluster state during the failover, or leaves a call without a reply.
func TestOneWaySilenceOverLinks(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	entry := newTestProcess(t, "e1", ParentOptions{Upstream: upstream(stuck)})
	control := newTestProcess(t, "c1", ParentOptions{})
	var silent atomic.Bool
	first := entry.candidate(false)
	first.Address = relay(t, first.Address, &silent)
	agent := dialFollower(t, "a1", FollowOptions{Observer: observe.New("error")}, first, control.candidate(true))
	entry.parent.Publish(testState(5, 2, "a = 2\n"))
	control.parent.Publish(testState(3, 1, "a = 1\n"))
	eventually(t, "the first parent delivers", func() bool { return agent.State().Index == 5 })
	replies := make(chan *wire.Reply, 1)
	go func() {
		ctx, cancel := context.WithTimeout(t.Context(), 10*waitLimit)
		defer cancel()
		reply, _ := agent.Call(ctx, "any", nil)
		replies <- reply
	}()
	silent.Store(true)
	eventually(t, "the child moves", func() bool { return agent.State().Parent == "c1" })
	select {
	case reply := <-replies:
		is.Equal(reply.Outcome, wire.CallUnknown)
	case <-time.After(waitLimit):
		t.Fatal("the call is not answered")
	}
	is.Equal(agent.ClusterState().Index, uint64(5))
	control.parent.Publish(testState(6, 3, "a = 3\n"))
	eventually(t, "the second parent delivers", func() bool { return agent.ClusterState().Index == 6 })
	eventually(t, "the first parent forgets the child", func() bool { return entry.parent.Children() == 0 })
}

// Guards against children that stay with an entry whose control replica has lost the
// leader, and so miss later changes.
func TestChildrenLeaveAnEntryThatIsCutOff(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	var cutOff atomic.Bool
	lost := newTestProcess(t, "c1", ParentOptions{Fresh: func() bool { return !cutOff.Load() }})
	alive := newTestProcess(t, "c2", ParentOptions{})
	entry := newTestProcess(t, "e1", ParentOptions{})
	upper := dialFollower(t, "e1", FollowOptions{Downstream: entry.parent}, lost.candidate(true))
	agent := dialFollower(t, "a1", FollowOptions{}, entry.candidate(false), alive.candidate(true))
	first := testState(1, 1, "a = 1\n")
	lost.parent.Publish(first)
	alive.parent.Publish(first)
	eventually(t, "the agent follows the entry", func() bool { return agent.State().Parent == "e1" && agent.State().Index == 1 })
	eventually(t, "the entry is fresh", upper.Fresh)
	cutOff.Store(true)
	alive.parent.Publish(testState(2, 2, "a = 2\n"))
	eventually(t, "the agent has the change", func() bool { return agent.State().Index == 2 })
	is.Equal(agent.State().Parent, "c2")
	is.Equal(upper.State().Index, uint64(1))
}

// Guards against a version that is counted as in force before OnClusterState has
// returned for it.
func TestHeldVersionIsNotInForceYet(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	control := newTestProcess(t, "c1", ParentOptions{})
	release, entered := make(chan struct{}), make(chan struct{}, 1)
	o := FollowOptions{OnClusterState: func(*wire.ClusterState) { entered <- struct{}{}; <-release }}
	agent := dialFollower(t, "a1", o, control.candidate(true))
	control.parent.Publish(testState(5, 1, "a = 1\n"))
	<-entered
	eventually(t, "a digest arrives", agent.Fresh)
	is.Equal(len(control.parent.Counts()), 0)
	close(release)
	eventually(t, "the version is in force", func() bool { return fmt.Sprint(control.parent.Counts()) == "[{1 1}]" })
}
