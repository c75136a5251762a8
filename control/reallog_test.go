package control

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rotisserie/eris"

	"merlinhall/actor"
	"merlinhall/observe"
	"merlinhall/propagate"
	"merlinhall/replica"
	"merlinhall/wire"
)

// realLog adapts a replica.Replica to Log.
type realLog struct{ r *replica.Replica }

func (l realLog) Propose(ctx context.Context, command []byte) (any, uint64, error) {
	result, index, err := l.r.Propose(ctx, command)
	return result, index, realError(err)
}

func (l realLog) Confirm(ctx context.Context) (uint64, uint64, error) {
	term, index, err := l.r.Confirm(ctx)
	return term, index, realError(err)
}

func (l realLog) Status() Status {
	s := l.r.Status()
	return Status{Term: s.Term, Leader: s.Leader, Leading: s.Leader == s.Name && s.Ready, Applied: s.Applied}
}

func realError(err error) error {
	var notLeader *replica.NotLeaderError
	switch {
	case err == nil:
		return nil
	case eris.As(err, &notLeader):
		return eris.Wrap(ErrNotLeader, err.Error())
	}
	return eris.Wrap(ErrUnknownOutcome, err.Error())
}

// realCluster is a set of control replicas on the real replicated log. The replica
// named by partitioned, if any, is partitioned from all others.
type realCluster struct {
	mu          sync.Mutex
	replicas    map[string]*replica.Replica
	controls    map[string]*Control
	links       map[string]*memoryPeer // key: "from to"
	partitioned string
}

func newRealCluster(t *testing.T, names ...string) *realCluster {
	t.Helper()
	c := &realCluster{replicas: map[string]*replica.Replica{}, controls: map[string]*Control{}, links: map[string]*memoryPeer{}}
	for _, name := range names {
		machine := NewStateMachine()
		others := slices.DeleteFunc(slices.Clone(names), func(other string) bool { return other == name })
		r, err := replica.Start(replica.Options{
			Name: name, Peers: others, DataDir: t.TempDir(), Machine: machine, SnapshotEvery: 8, SnapshotKeep: 2,
			Observer: observe.New("error"), System: actor.NewSystem(),
			Send: func(to string, m wire.Message) error { return c.send(name, to, m) },
		})
		if err != nil {
			t.Fatal(err)
		}
		control := New(Options{Name: name, Log: realLog{r}, Machine: machine, Peers: others, CallTimeout: 3 * time.Second,
			Peer: func(to string) (propagate.Peer, bool) { return c.link(name, to) }})
		t.Cleanup(r.Stop)
		t.Cleanup(control.Stop)
		c.mu.Lock()
		c.replicas[name], c.controls[name] = r, control
		c.mu.Unlock()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, from := range names {
		for _, to := range names {
			c.links[from+" "+to] = connect(t, c.controls[from], from, c.controls[to], to)
		}
	}
	return c
}

func (c *realCluster) send(from, to string, m wire.Message) error {
	c.mu.Lock()
	r := c.replicas[to]
	lost := c.partitioned == from || c.partitioned == to || r == nil
	c.mu.Unlock()
	if !lost {
		r.Deliver(m.(*wire.Consensus))
	}
	return nil
}

func (c *realCluster) link(from, to string) (propagate.Peer, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.links[from+" "+to]
	return p, p != nil && c.partitioned != from && c.partitioned != to
}

func (c *realCluster) isolate(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.partitioned = name
}

// leader returns the name of a leader that is not partitioned, or "".
func (c *realCluster) leader() (found string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for name, r := range c.replicas {
		if s := r.Status(); s.Ready && s.Leader == name && name != c.partitioned {
			found = name
		}
	}
	return found
}

// operator edits the configuration until want changes are accepted and returns their
// versions by request id.
func operator(t *testing.T, c *realCluster, name, via string, want int) map[string]uint64 {
	accepted := make(map[string]uint64)
	for try := 0; len(accepted) < want; try++ {
		if try > 500 {
			t.Errorf("operator %s: %d of %d changes in %d tries", name, len(accepted), want, try)
			return accepted
		}
		code, out := doAdminOrNext(t, c, via, "GET", "/v1/config", "")
		base := 0.0
		if code == http.StatusOK {
			base = out["version"].(float64)
		} else if code != http.StatusNotFound {
			continue
		}
		id := fmt.Sprintf("%s-%d", name, try)
		text := string(smallConfig(1, id))
		code, out = doAdminOrNext(t, c, via, "POST", configURI(int(base), id, name), text)
		for code == http.StatusGatewayTimeout || code == http.StatusServiceUnavailable {
			code, out = doAdminOrNext(t, c, via, "GET", "/v1/requests/"+id, "")
		}
		if code == http.StatusOK {
			accepted[id] = uint64(out["version"].(float64))
		}
	}
	return accepted
}

// doAdminOrNext sends a request to a replica and, if that one knows no leader, to the
// next replica.
func doAdminOrNext(t *testing.T, c *realCluster, via, method, uri, body string) (int, map[string]any) {
	code, out := doAdmin(t, c.controls[via], method, uri, body)
	if code == http.StatusServiceUnavailable {
		next := map[string]string{"c1": "c2", "c2": "c3", "c3": "c1"}[via]
		return doAdmin(t, c.controls[next], method, uri, body)
	}
	return code, out
}

// Guards against accepted changes that are lost or applied twice when leaders are
// partitioned while several operators edit. Every accepted request must be exactly one
// version of the history.
func TestOperatorsAndLeaderLossOnTheRealLog(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := newRealCluster(t, "c1", "c2", "c3")
	results := make([]map[string]uint64, 3)
	var wg sync.WaitGroup
	for i := range results {
		wg.Add(1)
		go func() {
			defer wg.Done()
			results[i] = operator(t, c, fmt.Sprintf("op%d", i), fmt.Sprintf("c%d", i+1), 6)
		}()
	}
	done := make(chan struct{})
	go func() { wg.Wait(); close(done) }()
	for range 2 {
		eventually(t, "a leader", func() bool { return c.leader() != "" })
		old := c.leader()
		c.isolate(old)
		eventually(t, "another leader", func() bool { return c.leader() != "" })
		c.isolate("")
	}
	<-done
	versions := make(map[uint64]string)
	for _, accepted := range results {
		for id, version := range accepted {
			is.Equal(versions[version], "") // no two requests have the same version
			versions[version] = id
		}
	}
	eventually(t, "a leader", func() bool { return c.leader() != "" })
	state := c.controls[c.leader()].options.Machine.configState()
	for _, r := range state.Records {
		is.Equal(versions[r.Revision.Version], r.Revision.RequestID)
	}
	is.Equal(state.Records[len(state.Records)-1].Revision.Version, uint64(18))
	for name, control := range c.controls {
		eventually(t, "the same cluster state on "+name, func() bool {
			w := control.options.Machine.ClusterState()
			return w != nil && w.ConfigVersion == 18
		})
	}
}
