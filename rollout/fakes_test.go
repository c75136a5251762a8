package rollout

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"merlinhall/actor"
	"merlinhall/link"
	"merlinhall/wire"
)

func quietLog() *logrus.Entry {
	l := logrus.New()
	l.SetOutput(io.Discard)
	return logrus.NewEntry(l)
}

// process is one run of a process. After a crash its messages are dropped.
type process struct {
	hello wire.Hello
	dead  atomic.Bool
}

// pipe is one direction of a link in memory: messages are encoded, decoded and
// delivered in order by a goroutine.
type pipe struct {
	from, to *process
	frames   chan []byte
	deliver  func(wire.Message)
}

func newPipe(from, to *process) *pipe {
	return &pipe{from: from, to: to, frames: make(chan []byte, 8192)}
}

func (p *pipe) run() {
	go func() {
		for frame := range p.frames {
			m, err := wire.Decode(frame)
			if err != nil {
				panic(err)
			}
			if !p.cut() {
				p.deliver(m)
			}
		}
	}()
}

func (p *pipe) cut() bool { return p.from.dead.Load() || p.to.dead.Load() }

func (p *pipe) Send(m wire.Message) error {
	if p.cut() {
		return link.ErrClosed
	}
	frame, err := wire.Encode(m)
	if err != nil {
		return err
	}
	select {
	case p.frames <- frame:
		return nil
	default:
		return link.ErrSendFull
	}
}

type handlers map[string]func(context.Context, []byte) ([]byte, error)

func (h handlers) HandleCall(method string, f func(context.Context, []byte) ([]byte, error)) {
	h[method] = f
}

// replica is one run of a control replica. It implements Control over the log of
// its cluster.
type replica struct {
	process
	c        *cluster
	coord    *Coordinator
	ledger   *Ledger
	handlers handlers
}

// entryProcess is one run of an entry.
type entryProcess struct {
	process
	worker *Worker
	runner Runner
}

// cluster is a set of control replicas and entries in one process, connected
// by pipes. Each committed command is applied by all live replicas at once.
type cluster struct {
	t     *testing.T
	names []string
	dirs  map[string]string

	mu       sync.Mutex
	replicas map[string]*replica
	entries  map[string]*entryProcess
	pipes    map[[2]*process]*pipe
	started  []interface{ Stop() }
	work     sync.WaitGroup
	crashAt  func(point, process string) bool // reports whether the process crashes there
	// connect, when set, connects two replicas in place of pipes.
	connect func(a, b *replica)

	logMu    sync.Mutex
	index    uint64
	term     uint64
	leader   string
	onCommit func(*CommitGroup)
}

var testRules = func(name string) (TrainerRules, bool) {
	return TrainerRules{Bound: 2, Pools: []string{"lm"}}, name == "abay" || name == "chikushi"
}

func testPlanner() PlannerOptions {
	return PlannerOptions{
		MaxInFlight: 64,
		MaxPerEntry: 32,
		Policies:    AllPolicies(),
		Trainer: func(string) (TrainerJobSettings, bool) {
			return TrainerJobSettings{Share: 1, Scorer: "score", Deadline: time.Minute}, true
		},
	}
}

func newCluster(t *testing.T, names ...string) *cluster {
	return newClusterWith(t, nil, names...)
}

// newClusterWith is newCluster with a function that connects two replicas.
func newClusterWith(t *testing.T, connect func(a, b *replica), names ...string) *cluster {
	c := &cluster{
		connect:  connect,
		t:        t,
		names:    names,
		dirs:     map[string]string{},
		replicas: map[string]*replica{},
		entries:  map[string]*entryProcess{},
		pipes:    map[[2]*process]*pipe{},
		crashAt:  func(string, string) bool { return false },
		term:     1,
	}
	for _, name := range names {
		c.dirs[name] = t.TempDir()
		c.startReplica(name)
	}
	t.Cleanup(func() {
		c.work.Wait()
		c.mu.Lock()
		defer c.mu.Unlock()
		for _, s := range c.started {
			s.Stop()
		}
	})
	return c
}

// startReplica starts a replica from a snapshot of the others' ledger.
func (c *cluster) startReplica(name string) {
	r := &replica{c: c, ledger: NewLedger(), handlers: handlers{}}
	r.hello = wire.Hello{Process: name, Roles: []wire.Role{wire.RoleControl}}
	r.ledger.UseRules(testRules)
	co, err := NewCoordinator(CoordinatorOptions{
		Name:     name,
		Boot:     fmt.Sprint(time.Now().UnixNano()),
		DataDir:  c.dirs[name],
		System:   actor.NewSystem(),
		Ledger:   r.ledger,
		Control:  r,
		Replicas: func() []string { return c.names },
		Planner:  testPlanner(),
		Log:      quietLog(),
	})
	if err != nil {
		panic(err)
	}
	r.coord = co
	co.Register(r.handlers)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.logMu.Lock()
	for _, other := range c.replicas {
		if snapshot, err := other.ledger.Snapshot(); err == nil && other.ledger.Revision() == c.index {
			if err := r.ledger.Restore(snapshot); err != nil {
				panic(err)
			}
			break
		}
	}
	c.replicas[name] = r
	c.logMu.Unlock()
	c.started = append(c.started, co)
	for _, other := range c.replicas {
		switch {
		case other == r:
		case c.connect != nil:
			c.connect(r, other)
		default:
			c.join(&r.process, &other.process, r.coord, other.coord)
		}
	}
	for _, e := range c.entries {
		c.joinEntry(r, e)
	}
}

// join connects two replicas in both directions.
func (c *cluster) join(a, b *process, ca, cb *Coordinator) {
	ab, ba := newPipe(a, b), newPipe(b, a)
	ab.deliver = func(m wire.Message) { c.deliverControl(m, a, b, cb, ba) }
	ba.deliver = func(m wire.Message) { c.deliverControl(m, b, a, ca, ab) }
	c.pipes[[2]*process{a, b}], c.pipes[[2]*process{b, a}] = ab, ba
	ab.run()
	ba.run()
	ca.enqueue(linkUp{b.hello, ab})
	cb.enqueue(linkUp{a.hello, ba})
}

func (c *cluster) deliverControl(m wire.Message, from, to *process, at *Coordinator, back sender) {
	points := map[wire.Kind]string{wire.KindPutBody: "body", wire.KindBodyStored: "stored", wire.KindSampleDone: "result"}
	if point := points[m.Kind()]; point != "" && c.crashAt(point, to.hello.Process) {
		return
	}
	at.enqueue(linkMessage{from.hello, back, m})
}

func (c *cluster) joinEntry(r *replica, e *entryProcess) {
	toEntry, toReplica := newPipe(&r.process, &e.process), newPipe(&e.process, &r.process)
	toEntry.deliver = func(m wire.Message) { e.worker.enqueueMessage(toReplica, m) }
	toReplica.deliver = func(m wire.Message) { c.deliverControl(m, &e.process, &r.process, r.coord, toEntry) }
	c.pipes[[2]*process{&r.process, &e.process}] = toEntry
	toEntry.run()
	toReplica.run()
	r.coord.enqueue(linkUp{e.hello, toEntry})
}

func (c *cluster) addEntry(name string, r Runner) {
	e := &entryProcess{runner: r}
	e.hello = wire.Hello{Process: name, Roles: []wire.Role{wire.RoleEntry}}
	e.worker = NewWorker(WorkerOptions{System: actor.NewSystem(), Runner: r, Log: quietLog()})
	c.mu.Lock()
	defer c.mu.Unlock()
	c.entries[name] = e
	c.started = append(c.started, e.worker)
	for _, r := range c.replicas {
		c.joinEntry(r, e)
	}
}

// crash ends the run of a process; the others see its links time out.
func (c *cluster) crash(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var crashed *process
	if r := c.replicas[name]; r != nil {
		crashed = &r.process
	} else {
		crashed = &c.entries[name].process
	}
	crashed.dead.Store(true)
	for _, r := range c.replicas {
		if p := c.pipes[[2]*process{&r.process, crashed}]; p != nil && !r.dead.Load() {
			r.coord.enqueue(linkDown{crashed.hello, p, true})
		}
	}
}

// restart starts a crashed process again.
func (c *cluster) restart(name string) {
	c.mu.Lock()
	e := c.entries[name]
	c.mu.Unlock()
	if e != nil {
		c.addEntry(name, e.runner)
		return
	}
	c.startReplica(name)
}

// lead makes a replica the leader. The former one is notified only if notify is set.
func (c *cluster) lead(name string, notify bool) {
	c.mu.Lock()
	c.logMu.Lock()
	former := c.replicas[c.leader]
	c.leader = name
	c.term++
	term := c.term
	c.logMu.Unlock()
	next := c.replicas[name]
	c.mu.Unlock()
	if former != nil && notify {
		former.coord.Lead(false, term)
	}
	next.coord.Lead(true, term)
}

// Propose implements Control.
func (r *replica) Propose(_ context.Context, _, _ string, body []byte) (any, error) {
	point := commandPoint(body)
	if r.c.crashAt("before "+point, r.hello.Process) {
		return nil, link.ErrClosed
	}
	result, err := r.commit(body)
	if err != nil {
		return nil, err
	}
	if r.c.crashAt("after "+point, r.hello.Process) {
		return nil, context.DeadlineExceeded
	}
	return result, nil
}

func (r *replica) commit(body []byte) (any, error) {
	c := r.c
	c.mu.Lock()
	defer c.mu.Unlock()
	c.logMu.Lock()
	defer c.logMu.Unlock()
	if c.leader != r.hello.Process || r.dead.Load() {
		return nil, fmt.Errorf("%s does not lead", r.hello.Process)
	}
	c.index++
	var command Command
	if err := wire.Unmarshal(body, &command); err == nil && command.CommitGroup != nil && c.onCommit != nil {
		c.onCommit(command.CommitGroup)
	}
	var result any
	for _, other := range c.replicas {
		if other.dead.Load() {
			continue
		}
		o := other.ledger.Apply(c.index, c.term, body)
		if other == r {
			result = o
		}
	}
	return result, nil
}

func commandPoint(body []byte) string {
	var c Command
	if wire.Unmarshal(body, &c) != nil {
		return "invalid"
	}
	switch {
	case c.OpenStep != nil:
		return "open"
	case c.CommitGroup != nil:
		return "commit"
	case c.Draw != nil:
		return "draw"
	case c.Ack != nil:
		return "ack"
	case c.Publish != nil:
		return "publish"
	}
	return "lose"
}

// Call implements Caller.
func (c *cluster) Call(ctx context.Context, method string, body []byte) (*wire.Reply, error) {
	c.mu.Lock()
	c.logMu.Lock()
	r := c.replicas[c.leader]
	c.logMu.Unlock()
	c.mu.Unlock()
	if r == nil || r.dead.Load() {
		return &wire.Reply{Outcome: wire.CallNoLeader}, nil
	}
	answer, err := r.handlers[method](ctx, body)
	if err == nil && r.dead.Load() {
		err = link.ErrClosed
	}
	if err != nil {
		return &wire.Reply{Outcome: wire.CallUnknown, Error: err.Error()}, nil
	}
	return &wire.Reply{Outcome: wire.CallOK, Body: answer}, nil
}

func (c *cluster) poolVersion() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, r := range c.replicas {
		if r.dead.Load() {
			continue
		}
		for _, w := range r.ledger.Weights() {
			if w.Pool == "lm" {
				return w.Version
			}
		}
	}
	return 1
}

// fakeRunner generates two tokens of the current version.
type fakeRunner struct {
	text    string // of the second token; "." if empty
	mu      sync.Mutex
	version func() uint64
	calls   map[string]int // generations by job
	fail    func(g *wire.Generate) error
	hold    chan struct{} // generations wait until it is closed
}

func (r *fakeRunner) Generate(ctx context.Context, g *wire.Generate) ([]wire.Token, int, error) {
	r.mu.Lock()
	if r.calls == nil {
		r.calls = map[string]int{}
	}
	r.calls[g.Job]++
	fail, hold := r.fail, r.hold
	r.mu.Unlock()
	if hold != nil {
		select {
		case <-hold:
		case <-ctx.Done():
			return nil, 0, ctx.Err()
		}
	}
	if fail != nil {
		if err := fail(g); err != nil {
			return nil, 3, err
		}
	}
	version := uint64(1)
	if r.version != nil {
		version = r.version()
	}
	return []wire.Token{{Text: g.Job, Version: version}, {Text: cmp.Or(r.text, "."), Version: version}}, 0, nil
}

func (r *fakeRunner) CallService(context.Context, string, string, string, []byte) ([]byte, error) {
	return []byte(`{"score":0.5}`), nil
}
