package control

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/rotisserie/eris"

	"merlinhall/propagate"
	"merlinhall/wire"
)

// fakeCluster is an in-memory log that all replicas of a test apply.
type fakeCluster struct {
	mu       sync.Mutex
	entries  [][]byte
	terms    []uint64
	term     uint64
	leader   string // empty while there is no leader
	replicas map[string]*fakeReplica
	// loseResponse makes the next proposal commit but return an unknown outcome;
	// loseEntry drops the next proposal and returns an unknown outcome.
	loseResponse bool
	loseEntry    bool
	onCommit     func()
}

// fakeReplica is one replica; it implements Log.
type fakeReplica struct {
	cluster *fakeCluster
	name    string
	machine *StateMachine
	applied int
	control *Control
	links   map[string]*memoryPeer
	paused  bool // does not apply entries
}

func newFakeCluster(t *testing.T, names ...string) *fakeCluster {
	t.Helper()
	c := &fakeCluster{term: 1, leader: names[0], replicas: make(map[string]*fakeReplica)}
	for _, name := range names {
		c.replicas[name] = &fakeReplica{cluster: c, name: name, machine: NewStateMachine(), links: make(map[string]*memoryPeer)}
	}
	for _, name := range names {
		c.replicas[name].start(t, names)
	}
	for _, from := range names {
		for _, to := range names {
			if from != to {
				peer := connect(t, c.replicas[from].control, from, c.replicas[to].control, to)
				c.mu.Lock()
				c.replicas[from].links[to] = peer
				c.mu.Unlock()
			}
		}
	}
	return c
}

func (n *fakeReplica) start(t *testing.T, names []string) {
	n.control = New(Options{
		Name:        n.name,
		Log:         n,
		Machine:     n.machine,
		HostsURL:    hostsURL,
		HostsPeriod: 30 * time.Millisecond,
		Peers:       names,
		Peer: func(name string) (propagate.Peer, bool) {
			n.cluster.mu.Lock()
			defer n.cluster.mu.Unlock()
			p := n.links[name]
			return p, p != nil
		},
		CallTimeout: 2 * time.Second,
	})
	t.Cleanup(n.control.Stop)
}

// elect makes name the leader in a new term. An empty name means no leader.
func (c *fakeCluster) elect(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.term++
	c.leader = name
}

func (n *fakeReplica) Propose(_ context.Context, command []byte) (any, uint64, error) {
	c := n.cluster
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leader != n.name {
		return nil, 0, eris.Wrap(ErrNotLeader, "fake")
	}
	if c.loseEntry {
		c.loseEntry = false
		return nil, 0, eris.Wrap(ErrUnknownOutcome, "fake")
	}
	c.entries = append(c.entries, command)
	c.terms = append(c.terms, c.term)
	var result any
	for _, replica := range c.replicas {
		r := replica.catchUp()
		if replica == n {
			result = r
		}
	}
	if c.loseResponse {
		c.loseResponse = false
		if c.onCommit != nil {
			c.onCommit()
		}
		return nil, 0, eris.Wrap(ErrUnknownOutcome, "fake")
	}
	return result, uint64(len(c.entries)), nil
}

// catchUp applies the entries that the replica has not applied yet and returns the last
// result.
func (n *fakeReplica) catchUp() (last any) {
	for !n.paused && n.applied < len(n.cluster.entries) {
		i := n.applied
		n.applied++
		last = n.machine.Apply(uint64(i+1), n.cluster.terms[i], n.cluster.entries[i])
	}
	return last
}

func (n *fakeReplica) Confirm(context.Context) (uint64, uint64, error) {
	c := n.cluster
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leader != n.name {
		return 0, 0, eris.Wrap(ErrNotLeader, "fake")
	}
	return c.term, uint64(len(c.entries)), nil
}

func (n *fakeReplica) Status() Status {
	c := n.cluster
	c.mu.Lock()
	defer c.mu.Unlock()
	return Status{ID: n.name, Term: c.term, Leader: c.leader, Leading: c.leader == n.name,
		Commit: uint64(len(c.entries)), Applied: uint64(n.applied)}
}

// memoryPeer is one end of an in-memory connection.
type memoryPeer struct {
	hello  wire.Hello // of the other end
	frames chan []byte
	other  *memoryPeer
	once   *sync.Once // shared by both ends
	closed chan struct{}
}

type receiver interface {
	Receive(peer propagate.Peer, m wire.Message)
	Lost(peer propagate.Peer)
}

// connect returns a's end of a connection between a and b.
func connect(t *testing.T, a receiver, nameA string, b receiver, nameB string) *memoryPeer {
	t.Helper()
	closed, once := make(chan struct{}), new(sync.Once)
	endA := &memoryPeer{hello: wire.Hello{Process: nameB}, frames: make(chan []byte, 1024), closed: closed, once: once}
	endB := &memoryPeer{hello: wire.Hello{Process: nameA}, frames: make(chan []byte, 1024), closed: closed, once: once}
	endA.other, endB.other = endB, endA
	go endA.pump(func(m wire.Message) { b.Receive(endB, m) })
	go endB.pump(func(m wire.Message) { a.Receive(endA, m) })
	t.Cleanup(func() { endA.Close(nil) })
	return endA
}

// pump delivers the frames sent on this end until the connection is closed.
func (p *memoryPeer) pump(deliver func(wire.Message)) {
	for {
		select {
		case frame := <-p.frames:
			m, err := wire.Decode(frame)
			if err == nil {
				deliver(m)
			}
		case <-p.closed:
			return
		}
	}
}

func (p *memoryPeer) Peer() wire.Hello { return p.hello }

func (p *memoryPeer) Send(m wire.Message) error {
	frame, err := wire.Encode(m)
	if err != nil {
		return err
	}
	return p.SendFrame(frame)
}

func (p *memoryPeer) SendFrame(frame []byte) error {
	select {
	case p.frames <- frame:
		return nil
	default:
		return eris.New("full")
	}
}

func (p *memoryPeer) Close(error) { p.once.Do(func() { close(p.closed) }) }

// smallConfig returns a configuration text with one pool of n targets.
func smallConfig(n int, note string) []byte {
	text := "# " + note + "\n[[zone]]\nname = \"bole\"\nregion = \"addis\"\n\n" +
		"[[pool]]\nname = \"policy-lm\"\n"
	for i := range n {
		text += fmt.Sprintf("\n[[pool.target]]\nname = \"t%d\"\nzone = \"bole\"\nagent = \"127.0.1.%d:7000\"\naddress = \"127.0.1.%d:8000\"\n", i, i+1, i+1)
	}
	return []byte(text)
}

// hostsURL is the host list URL of clusters created while it is set.
var hostsURL string
