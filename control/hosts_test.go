package control

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"merlinhall/config"
	"merlinhall/propagate"
	"merlinhall/wire"
)

// eventually polls until a condition holds. The 30 s limit only ends a test that would
// otherwise hang.
func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(30 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if ok() {
			return
		}
	}
	t.Fatalf("never: %s", what)
}

func mustParse(t *testing.T, text []byte) *config.Config {
	t.Helper()
	c, err := config.Parse("config", text)
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// Guards against wrong departures when the host list lags or is invalid: a leaving
// host is added once, returns only after several polls, and keeps its state while it is
// missing from the list.
func TestHostPlan(t *testing.T) {
	is := is.New(t)
	c := mustParse(t, smallConfig(2, "one"))
	planner := &departurePlanner{liveReadings: make(map[string]int)}
	leaving := []HostState{{Host: "127.0.1.1", State: "leaving"}, {Host: "127.0.1.2", State: "live"}, {Host: "no address", State: "leaving"}}
	first := planner.plan(leaving, departureState{}, c)
	is.Equal(first.Leaving, []leavingHost{{Host: "127.0.1.1", Targets: []string{"t0"}}})
	state := departureState{Hosts: first.Leaving}
	again := planner.plan(leaving, state, c)
	is.True(again.empty())
	for _, list := range [][]HostState{nil, {}, leaving[1:2], {{Host: "127.0.1.1", State: "dead"}}} {
		change := planner.plan(list, state, c)
		is.True(change.empty())
	}
	live := []HostState{{Host: "127.0.1.1", State: "live"}}
	for range minLiveReadings - 1 {
		change := planner.plan(live, state, c)
		is.True(change.empty())
	}
	is.Equal(planner.plan(live, state, c).Returned, []string{"127.0.1.1"})
}

// Guards against departures that outlive their targets: a leaving host without targets
// that is no longer listed, and a drained target that is no longer configured.
func TestHostPlanRemovesUnneededDepartures(t *testing.T) {
	is := is.New(t)
	planner := &departurePlanner{liveReadings: make(map[string]int)}
	state := departureState{
		Drained: map[string]wire.Fence{"t1": {}, "gone": {}},
		Hosts:   []leavingHost{{Host: "127.0.1.1", Targets: []string{"t0"}}, {Host: "127.0.9.9"}},
	}
	live := []HostState{{Host: "127.0.1.2", State: "live"}}
	change := planner.plan(live, state, mustParse(t, smallConfig(2, "one")))
	is.Equal(change, departuresCommand{Undrain: []string{"gone"}, Returned: []string{"127.0.9.9"}})
	elsewhere := bytes.ReplaceAll(smallConfig(1, "moved"), []byte("127.0.1.1:"), []byte("127.0.1.7:"))
	moved := planner.plan(nil, state, mustParse(t, elsewhere))
	is.Equal(moved.Leaving, []leavingHost{{Host: "127.0.1.1"}})
}

// Guards against a leaving host that is missing from the cluster state, and against a
// second change when a leaving host is then listed as dead.
func TestHostListReachesClusterState(t *testing.T) {
	is := is.New(t)
	var mu sync.Mutex
	list := []HostState{{Host: "127.0.1.1", State: "live"}}
	reads := 0
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		mu.Lock()
		defer mu.Unlock()
		reads++
		_ = json.NewEncoder(w).Encode(list)
	}))
	defer server.Close()
	set := func(state string) {
		mu.Lock()
		defer mu.Unlock()
		list[0].State, reads = state, 0
	}
	hostsURL = server.URL
	defer func() { hostsURL = "" }()
	c := newFakeCluster(t, "c1", "c2")
	machine := c.replicas["c2"].machine
	doAdmin(t, c.replicas["c2"].control, "POST", configURI(0, "r1", "abay"), string(smallConfig(2, "one")))
	set("leaving")
	eventually(t, "the target departs", func() bool { return len(machine.ClusterState().Departures) == 1 })
	is.Equal(machine.ClusterState().Departures[0].Target, "t0")
	is.Equal(machine.ClusterState().LeavingHosts, []string{"127.0.1.1"})
	index := machine.ClusterState().Index
	set("dead")
	eventually(t, "the list is read again", func() bool { mu.Lock(); defer mu.Unlock(); return reads > 2 })
	is.Equal(machine.ClusterState().Index, index)
	set("live")
	eventually(t, "the target is back", func() bool { return len(machine.ClusterState().Departures) == 0 })
}

// child is an in-memory subscriber that reports three processes.
type child struct{ replies chan *wire.Reply }

func (c *child) Receive(peer propagate.Peer, m wire.Message) {
	if r, ok := m.(*wire.Reply); ok {
		c.replies <- r
	}
	if w, ok := m.(*wire.ClusterState); ok {
		_ = peer.Send(&wire.VersionReport{Index: w.Index, Counts: []wire.VersionCount{{Version: w.ConfigVersion, Count: 3}}})
	}
}

func (c *child) Lost(propagate.Peer) {}

// Guards against a leader that does not count the subscribers of followers, and
// against counts that remain after a subscriber has disconnected.
func TestInForceCountsSubscribersOfAllReplicas(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := newFakeCluster(t, "c1", "c2", "c3")
	doAdmin(t, c.replicas["c1"].control, "POST", configURI(0, "r1", "abay"), string(smallConfig(1, "one")))
	var links []*memoryPeer
	for i, name := range []string{"c1", "c2", "c3"} {
		link := connect(t, &child{}, fmt.Sprint("e", i), c.replicas[name].control, name)
		is.NoErr(link.Send(&wire.Subscribe{}))
		links = append(links, link)
	}
	holding := func(want float64) func() bool {
		return func() bool {
			_, out := doAdmin(t, c.replicas["c3"].control, "GET", "/v1/inforce?version=1", "")
			return out["holding"] == want && out["subscribers"] == want
		}
	}
	eventually(t, "nine processes hold version 1", holding(9))
	links[1].Close(nil)
	c.replicas["c2"].control.Lost(links[1].other)
	eventually(t, "six processes hold version 1", holding(6))
	code, out := doAdmin(t, c.replicas["c1"].control, "GET", "/v1/inforce?version=2", "")
	is.Equal(code, http.StatusOK)
	is.Equal(out["holding"], 0.0)
}

// Guards against calls that run on a follower, are forwarded more than once, or lose
// the outcome of their handler.
func TestCalls(t *testing.T) {
	is := is.New(t)
	c := newFakeCluster(t, "c1", "c2")
	for name, replica := range c.replicas {
		replica.control.HandleCall("who", func(_ context.Context, body []byte) ([]byte, error) {
			return append([]byte(name), body...), nil
		})
	}
	follower := c.replicas["c2"].control
	reply := follower.Call(t.Context(), &wire.Call{ID: "7", Method: "who", Body: []byte("!")})
	is.Equal(reply, &wire.Reply{ID: "7", Outcome: wire.CallOK, Body: []byte("c1!")})
	is.Equal(follower.Call(t.Context(), &wire.Call{Method: "none"}).Outcome, wire.CallRejected)
	is.Equal(follower.Call(t.Context(), &wire.Call{Method: "who", Hops: 1}).Outcome, wire.CallNoLeader)
	doAdmin(t, follower, "POST", configURI(0, "r1", "abay"), string(smallConfig(1, "one")))
	reply = follower.Call(t.Context(), &wire.Call{Method: "barrier"})
	var barrier wire.BarrierReply
	is.NoErr(wire.Unmarshal(reply.Body, &barrier))
	is.Equal(barrier, wire.BarrierReply{Term: 1, Index: 1})
	body, err := wire.Marshal(&wire.PublishWeights{RequestID: "w", Pool: "policy-lm", Version: 3})
	is.NoErr(err)
	is.Equal(follower.Call(t.Context(), &wire.Call{Method: "weights.publish", Body: body}).Outcome, wire.CallOK)
	is.Equal(c.replicas["c2"].machine.ClusterState().Weights[0].Version, uint64(3))
}

// Guards against leader or term changes that are not reported to OnLeader callbacks.
func TestOnLeader(t *testing.T) {
	is := is.New(t)
	c := newFakeCluster(t, "c1", "c2")
	type change struct {
		leading bool
		term    uint64
	}
	changes := make(chan change, 8)
	c.replicas["c2"].control.OnLeader(func(leading bool, term uint64) { changes <- change{leading, term} })
	c.elect("c2")
	is.Equal(<-changes, change{true, 2})
	c.elect("c2")
	is.Equal(<-changes, change{true, 3})
	c.elect("c1")
	is.Equal((<-changes).leading, false)
}

// Guards against an entry or agent that changes the configuration without the operator
// token, by sending an "admin" call directly.
func TestOnlyReplicasForwardAdminRequests(t *testing.T) {
	is := is.New(t)
	c := newFakeCluster(t, "c1", "c2")
	entry := &child{replies: make(chan *wire.Reply, 1)}
	body, err := wire.Marshal(&adminRequest{Method: "POST", URI: configURI(0, "r1", "entry"), Body: smallConfig(1, "one")})
	is.NoErr(err)
	for _, name := range []string{"c1", "c2"} {
		link := connect(t, entry, "e1", c.replicas[name].control, name)
		is.NoErr(link.Send(&wire.Call{ID: "1", Method: adminMethod, Body: body}))
		is.Equal((<-entry.replies).Outcome, wire.CallRejected)
	}
	is.Equal(c.replicas["c1"].machine.ClusterState(), nil)
}
