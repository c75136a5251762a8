package replica

import (
	"context"
	"errors"
	"fmt"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"merlinhall/actor"
	"merlinhall/link"
	"merlinhall/observe"
	"merlinhall/storage"
	"merlinhall/wire"
)

// recorder is a state machine that records the commands in the order of application.
type recorder struct {
	mu       sync.Mutex
	commands []string
}

func (r *recorder) Apply(index, _ uint64, command []byte) any {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.commands = append(r.commands, string(command))
	return len(r.commands)
}

func (r *recorder) Snapshot() ([]byte, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return wire.Marshal(r.commands)
}

func (r *recorder) Restore(b []byte) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.commands = nil
	return wire.Unmarshal(b, &r.commands)
}

func (r *recorder) list() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]string(nil), r.commands...)
}

// cluster runs replicas in one process that exchange messages by function calls.
type cluster struct {
	t             testing.TB
	mu            sync.Mutex
	names         []string
	dirs          map[string]string
	replicas      map[string]*Replica
	recorders     map[string]*recorder
	isolated      map[string]bool
	snapshotEvery uint64
	olds          map[string]bool         // replicas of an older program
	diskFails     map[string]*atomic.Bool // syncs of the replica's files fail while set
}

func newCluster(t testing.TB, names ...string) *cluster {
	return newClusterWithSnapshots(t, 64, names...)
}

// newClusterWithSnapshots starts a cluster that takes a snapshot every given number of
// entries.
func newClusterWithSnapshots(t testing.TB, every uint64, names ...string) *cluster {
	c := &cluster{
		t: t, names: names, dirs: map[string]string{}, replicas: map[string]*Replica{},
		recorders: map[string]*recorder{}, isolated: map[string]bool{}, snapshotEvery: every, diskFails: map[string]*atomic.Bool{},
	}
	for _, name := range names {
		c.dirs[name] = t.TempDir()
		c.diskFails[name] = &atomic.Bool{}
		c.start(name)
	}
	t.Cleanup(func() {
		for _, name := range names {
			c.stop(name)
		}
	})
	return c
}

// faultyDir is a directory in which syncs of files fail while diskFails is set.
type faultyDir struct {
	storage.Dir
	diskFails *atomic.Bool
}

type faultyFile struct {
	storage.File
	diskFails *atomic.Bool
}

func (d faultyDir) Create(name string) (storage.File, error) {
	f, err := d.Dir.Create(name)
	return faultyFile{f, d.diskFails}, err
}

func (f faultyFile) Sync() error {
	if f.diskFails.Load() {
		return syscall.EIO
	}
	return f.File.Sync()
}

func (c *cluster) start(name string) {
	var others []string
	for _, n := range c.names {
		if n != name {
			others = append(others, n)
		}
	}
	rec := &recorder{}
	var machine StateMachine = rec
	if c.olds[name] {
		machine = olderMachine{rec}
	}
	r, err := Start(Options{
		Name: name, Peers: others, DataDir: c.dirs[name], Machine: machine,
		Send:     func(peer string, m wire.Message) error { return c.deliver(name, peer, m) },
		FS:       faultyDir{storage.Dir(c.dirs[name]), c.diskFails[name]},
		Observer: observe.New("fatal"), System: actor.NewSystem(),
		SnapshotEvery: c.snapshotEvery, SnapshotKeep: c.snapshotEvery / 4,
	})
	if err != nil {
		c.t.Fatal(err)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.replicas[name], c.recorders[name] = r, rec
}

func (c *cluster) stop(name string) {
	c.mu.Lock()
	r := c.replicas[name]
	delete(c.replicas, name)
	c.mu.Unlock()
	if r != nil {
		r.Stop()
	}
}

func (c *cluster) deliver(from, to string, m wire.Message) error {
	c.mu.Lock()
	r := c.replicas[to]
	cut := c.isolated[from] || c.isolated[to]
	c.mu.Unlock()
	if r == nil || cut {
		return errNoConnection
	}
	r.Deliver(m.(*wire.Consensus))
	return nil
}

func (c *cluster) eventually(what string, f func() bool) {
	c.t.Helper()
	deadline := time.Now().Add(30 * time.Second)
	for !f() {
		if time.Now().After(deadline) {
			c.t.Fatalf("not reached: %s", what)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

func (c *cluster) leader() *Replica {
	var found *Replica
	c.eventually("a leader", func() bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		found = nil
		for name, r := range c.replicas {
			if r.Status().Ready && !c.isolated[name] {
				found = r
			}
		}
		return found != nil
	})
	return found
}

// propose retries until the command is committed, so a command may be committed twice.
func (c *cluster) propose(command string) {
	c.eventually("commit of "+command, func() bool {
		ctx, cancel := context.WithTimeout(c.t.Context(), 5*time.Second)
		defer cancel()
		_, _, err := c.leader().Propose(ctx, []byte(command))
		return err == nil
	})
}

// Guards against commands that are lost, reordered or applied differently on a
// follower, and against a replica that does not recover from its log and snapshot.
func TestCommitAndRestart(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := newCluster(t, "a", "b", "c")
	for i := range 200 {
		c.propose(fmt.Sprint(i))
	}
	for _, name := range c.names {
		c.stop(name)
	}
	for _, name := range c.names {
		c.start(name)
	}
	c.propose("last")
	want := c.recorders[c.leader().Status().Name].list()
	for _, name := range c.names {
		c.eventually("same commands on "+name, func() bool {
			return fmt.Sprint(c.recorders[name].list()) == fmt.Sprint(want)
		})
	}
	seen := map[string]bool{}
	for _, command := range want {
		seen[command] = true
	}
	is.Equal(len(seen), 201)
}

// Guards against a leader that answers a read, or reports a proposal as refused
// or done, while it cannot reach a quorum.
func TestIsolatedLeader(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := newCluster(t, "a", "b", "c")
	c.propose("first")
	old := c.leader()
	term, index, err := old.Confirm(t.Context())
	is.NoErr(err)
	is.True(term > 0 && index > 0)
	c.mu.Lock()
	c.isolated[old.Status().Name] = true
	c.mu.Unlock()
	_, _, err = old.Propose(t.Context(), []byte("isolated"))
	var notLeader *NotLeaderError
	is.True(errors.Is(err, ErrUnknownOutcome) || errors.As(err, &notLeader))
	_, _, err = old.Confirm(t.Context())
	is.True(err != nil)
	c.propose("second")
	is.True(c.leader() != old)
}

// Guards against a replica that has lost its disk and votes under its former id, or
// never becomes a voter again.
func TestLostDiskIsRepaired(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := newCluster(t, "a", "b", "c")
	for i := range 300 {
		c.propose(fmt.Sprint(i))
	}
	victim := "a"
	if c.leader().Status().Name == victim {
		victim = "b"
	}
	old := c.replicas[victim].Status().ID
	c.stop(victim)
	c.dirs[victim] = t.TempDir()
	c.start(victim)
	c.eventually("the repaired replica votes", func() bool {
		for _, m := range c.leader().Status().Members {
			if m.Name == victim && m.ID != old && !m.Learner {
				return true
			}
		}
		return false
	})
	s := c.leader().Status()
	is.Equal(len(s.Members), 3)
	is.True(c.replicas[victim].Status().ID != old)
	c.propose("after")
	c.eventually("the repaired replica has all commands", func() bool {
		list := c.recorders[victim].list()
		return len(list) > 0 && list[len(list)-1] == "after"
	})
}

// Guards against a replica that continues while its syncs fail or reports the proposal
// as refused, against a group that does not replace it as leader, and against a replica that
// stays stopped when its disk works again.
func TestFailedSyncStopsTheReplica(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := newCluster(t, "a", "b", "c")
	c.propose("first")
	old := c.leader()
	name := old.Status().Name
	c.diskFails[name].Store(true)
	_, _, err := old.Propose(t.Context(), []byte("lost"))
	is.Equal(err, ErrUnknownOutcome)
	_, _, err = old.Propose(t.Context(), []byte("refused"))
	is.Equal(err, ErrStopped)
	_, _, err = old.Confirm(t.Context())
	is.Equal(err, ErrStopped)
	c.eventually("not ready", func() bool { return old.ready() != nil && old.Status().Failed != "" })
	c.propose("second")
	is.True(c.leader() != old)
	is.True(old.Status().Failed != "") // for as long as the disk fails
	c.diskFails[name].Store(false)
	c.eventually("ready again", func() bool { return old.ready() == nil })
	c.propose("third")
	c.eventually("all entries applied", func() bool { return len(c.recorders[name].list()) >= 3 })
	c.stop(name)
	c.start(name)
	c.eventually("ready after a restart", func() bool { return c.replicas[name].ready() == nil })
}

// Guards against two replicas that use the same data directory.
func TestDataFolderIsLocked(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := newCluster(t, "a")
	c.propose("x")
	_, err := Start(Options{
		Name: "a", DataDir: c.dirs["a"], Machine: &recorder{},
		Observer: observe.New("error"), System: actor.NewSystem(),
	})
	is.True(err != nil)
}

// Guards against a forced recovery that loses committed entries, that runs while the
// replica is running or without a confirmed position, and against emptied replicas that
// do not join the new group.
func TestForceNewGroup(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := newCluster(t, "a", "b", "c")
	for i := range 100 {
		c.propose(fmt.Sprint(i))
	}
	term := c.leader().Status().Term
	log := observe.New("error").Logger("replica")
	_, err := ForceNewGroup(storage.Dir(c.dirs["b"]), "b", Position{}, log)
	is.True(errors.Is(err, storage.ErrLocked))
	for _, name := range c.names {
		c.stop(name)
	}
	_, err = Inspect(storage.Dir(filepath.Join(t.TempDir(), "mistyped")))
	is.True(errors.Is(err, os.ErrNotExist))
	_, err = ForceNewGroup(storage.Dir(t.TempDir()), "b", Position{}, log)
	is.True(errors.Is(err, ErrNoGroup))
	_, err = ForceNewGroup(storage.Dir(c.dirs["b"]), "b", Position{}, log)
	is.True(errors.Is(err, ErrNotConfirmed))
	survivor, best := "", Position{}
	for _, name := range c.names {
		info, err := Inspect(storage.Dir(c.dirs[name]))
		is.NoErr(err)
		if best.Less(info.Last) {
			survivor, best = name, info.Last
		}
	}
	info, err := ForceNewGroup(storage.Dir(c.dirs[survivor]), survivor, best, log)
	is.NoErr(err)
	is.Equal(len(info.Members), 1)
	is.True(info.State.Term > term)
	for _, name := range c.names {
		if name != survivor {
			c.dirs[name] = t.TempDir()
		}
		c.start(name)
	}
	c.propose("after")
	list := c.recorders[survivor].list()
	seen := map[string]bool{}
	for _, command := range list {
		seen[command] = true
	}
	is.Equal(len(seen), 101)
	c.eventually("three voters", func() bool {
		members := c.leader().Status().Members
		for _, m := range members {
			if m.Learner {
				return false
			}
		}
		return len(members) == 3
	})
}

// Guards against replicas that do not reach each other over network links, and against
// a leader that becomes ready without a call of OnStatus.
func TestOverLinks(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	names := []string{"a", "b", "c"}
	muxes, urls := map[string]*link.Mux{}, map[string]string{}
	hello := func(name string) wire.Hello {
		return wire.Hello{Process: name, Roles: []wire.Role{wire.RoleControl}}
	}
	var led sync.Map
	replicas := map[string]*Replica{}
	for i, name := range names {
		others := append(append([]string(nil), names[:i]...), names[i+1:]...)
		r, err := Start(Options{
			Name: name, Peers: others, DataDir: t.TempDir(), Machine: &recorder{},
			Observer: observe.New("error"), System: actor.NewSystem(),
			OnStatus: func(s Status) {
				if s.Ready {
					led.Store(s.Name, true)
				}
			},
		})
		is.NoErr(err)
		defer r.Stop()
		replicas[name], muxes[name] = r, &link.Mux{}
		muxes[name].Handle(r, wire.KindConsensus)
		srv := httptest.NewServer(link.Accept(hello(name), muxes[name]))
		defer srv.CloseClientConnections()
		urls[name] = strings.TrimPrefix(srv.URL, "http://")
	}
	for _, from := range names {
		for _, to := range names {
			if from != to {
				d := link.StartDialer(link.NewHTTPClient(nil), "ws", urls[to], hello(from), muxes[from])
				defer d.Stop()
			}
		}
	}
	c := &cluster{t: t, replicas: replicas, isolated: map[string]bool{}}
	c.propose("over links")
	_, ok := led.Load(c.leader().Status().Name)
	is.True(ok)
	is.NoErr(c.leader().ready())
}

// Guards against a planned stop of the leader that has to wait for an election: the
// leadership is handed over first. A handover on a follower returns at once.
func TestHandoverBeforeAStop(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, "a", "b", "c")
	for i := range 3 {
		old := c.leader()
		c.propose(fmt.Sprint("before ", i))
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		is.NoErr(old.Handover(ctx))
		cancel()
		c.eventually("another leader", func() bool {
			l := c.leader()
			return l != nil && l != old
		})
		c.propose(fmt.Sprint("after ", i))
	}
	follower := c.replicas["a"]
	if follower == c.leader() {
		follower = c.replicas["b"]
	}
	is.NoErr(follower.Handover(t.Context())) // nothing to hand over
}

// Guards against a snapshot that is still being written when the data directory has been
// released, and perhaps removed.
func TestStopWaitsForABackgroundSnapshot(t *testing.T) {
	is := is.New(t)
	r, err := Start(Options{
		Name: "a", DataDir: t.TempDir(), Machine: &recorder{}, Observer: observe.New("error"), System: actor.NewSystem(),
		Send: func(string, wire.Message) error { return nil },
	})
	is.NoErr(err)
	var written atomic.Bool
	r.runInBackground(func() any {
		for !errors.Is(r.actor.Offer(tickMessage{}), actor.ErrStopped) {
			time.Sleep(time.Millisecond)
		}
		time.Sleep(50 * time.Millisecond) // without the wait, Stop returns meanwhile
		written.Store(true)
		return nil
	})
	r.Stop()
	is.True(written.Load())
}

// Guards against a planned stop that waits for a replacement in a group that has none, or for
// ever without a leader.
func TestDepartureWithoutAReplacement(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, "a", "b", "c")
	c.propose("first")
	leader := c.leader()
	for _, r := range c.replicas {
		if r != leader {
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			is.Equal(r.Depart(ctx), ErrNoReplacement)
			cancel()
		}
	}
	c.stop("a")
	c.stop("b")
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	is.True(c.replicas["c"].Depart(ctx) != nil)
}
