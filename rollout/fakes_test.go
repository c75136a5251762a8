package rollout

import (
	"context"
	"fmt"
	"io"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"merlinhall/duty"
	"merlinhall/link"
	"merlinhall/wire"
)

func quietLog() *logrus.Entry {
	l := logrus.New()
	l.SetOutput(io.Discard)
	return logrus.NewEntry(l)
}

// pipe is one direction of a link in memory: messages are encoded, decoded and
// delivered in order by a goroutine.
type pipe struct {
	frames chan []byte
	mu     sync.Mutex
	cut    bool
}

func newPipe(deliver func(wire.Message)) *pipe {
	p := &pipe{frames: make(chan []byte, 8192)}
	go func() {
		for frame := range p.frames {
			m, err := wire.Decode(frame)
			if err != nil {
				panic(err)
			}
			deliver(m)
		}
	}()
	return p
}

func (p *pipe) Send(m wire.Message) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cut {
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

// fakeLog is a replicated log in memory: every replica applies a command at once.
type fakeLog struct {
	mu      sync.Mutex
	index   uint64
	term    uint64
	ledgers map[string]*Ledger
	leader  string
	// lose makes a proposal commit without a result, as when the leader stops.
	lose func(Command) bool
}

type fakeReplica struct {
	log  *fakeLog
	name string
}

func (r fakeReplica) Propose(_ context.Context, _, _ string, body []byte) (any, error) {
	r.log.mu.Lock()
	defer r.log.mu.Unlock()
	if r.log.leader != r.name {
		return nil, fmt.Errorf("%s does not lead", r.name)
	}
	r.log.index++
	var result any
	for name, l := range r.log.ledgers {
		out := l.Apply(r.log.index, r.log.term, body)
		if name == r.name {
			result = out
		}
	}
	var c Command
	if r.log.lose != nil && wire.Unmarshal(body, &c) == nil && r.log.lose(c) {
		return nil, context.DeadlineExceeded
	}
	return result, nil
}

type handlers map[string]func(context.Context, []byte) ([]byte, error)

func (h handlers) HandleCall(method string, f func(context.Context, []byte) ([]byte, error)) {
	h[method] = f
}

// cluster is a set of control replicas with coordinators, joined by pipes.
type cluster struct {
	t        *testing.T
	log      *fakeLog
	names    []string
	coords   map[string]*Coordinator
	handlers map[string]handlers
	dirs     map[string]string
	systems  map[string]*duty.System
	pipes    map[[2]string]*pipe
	workers  map[string]*Worker
}

var testRules = func(name string) (Rules, bool) {
	return Rules{Bound: 2, Pools: []string{"lm"}}, name == "abay" || name == "chikushi"
}

func testPlanner() PlannerOptions {
	return PlannerOptions{
		MaxInFlight: 64,
		MaxPerEntry: 32,
		Policies:    AllPolicies(),
		Trainer: func(string) (TrainerPlan, bool) {
			return TrainerPlan{Share: 1, Scorer: "score", Deadline: time.Minute}, true
		},
	}
}

func newCluster(t *testing.T, names ...string) *cluster {
	c := &cluster{
		t:        t,
		log:      &fakeLog{term: 1, ledgers: map[string]*Ledger{}},
		names:    names,
		coords:   map[string]*Coordinator{},
		handlers: map[string]handlers{},
		dirs:     map[string]string{},
		systems:  map[string]*duty.System{},
		pipes:    map[[2]string]*pipe{},
		workers:  map[string]*Worker{},
	}
	for _, name := range names {
		c.dirs[name] = t.TempDir()
		c.startReplica(name, NewLedger())
	}
	for _, a := range names {
		for _, b := range names {
			if a != b {
				c.connect(a, b)
			}
		}
	}
	t.Cleanup(func() {
		for _, co := range c.coords {
			co.Stop()
		}
		for _, w := range c.workers {
			w.Stop()
		}
	})
	return c
}

func (c *cluster) startReplica(name string, l *Ledger) {
	l.UseRules(testRules)
	co, err := NewCoordinator(CoordinatorOptions{
		Name:     name,
		Boot:     "1",
		DataDir:  c.dirs[name],
		System:   duty.NewSystem(),
		Ledger:   l,
		Control:  fakeReplica{c.log, name},
		Replicas: func() []string { return c.names },
		Planner:  testPlanner(),
		Log:      quietLog(),
	})
	if err != nil {
		c.t.Fatal(err)
	}
	c.log.mu.Lock()
	c.log.ledgers[name] = l
	c.log.mu.Unlock()
	c.coords[name] = co
	c.handlers[name] = handlers{}
	co.Register(c.handlers[name])
}

// connect gives replica a a connection on which it sends to b.
func (c *cluster) connect(a, b string) {
	forward := newPipe(func(m wire.Message) {
		c.coords[b].offer(linkMessage{wire.Hello{Process: a, Roles: []wire.Role{wire.RoleControl}}, c.pipes[[2]string{b, a}], m})
	})
	c.pipes[[2]string{a, b}] = forward
	c.coords[a].offer(linkUp{wire.Hello{Process: b, Roles: []wire.Role{wire.RoleControl}}, forward})
}

func (c *cluster) addEntry(name string, r Runner) {
	w := NewWorker(WorkerOptions{System: duty.NewSystem(), Runner: r, Log: quietLog()})
	c.workers[name] = w
	for _, replica := range c.names {
		c.connectEntry(name, replica)
	}
}

func (c *cluster) connectEntry(name, replica string) {
	hello := wire.Hello{Process: name, Roles: []wire.Role{wire.RoleEntry}}
	back := newPipe(func(m wire.Message) { c.coords[replica].offer(linkMessage{hello, nil, m}) })
	there := newPipe(func(m wire.Message) { c.workers[name].message(back, m) })
	c.pipes[[2]string{replica, name}] = there
	c.coords[replica].offer(linkUp{hello, there})
}

func (c *cluster) lead(name string) {
	c.log.mu.Lock()
	former := c.log.leader
	c.log.leader = name
	c.log.term++
	term := c.log.term
	c.log.mu.Unlock()
	if former != "" {
		c.coords[former].Lead(false, term)
	}
	if name != "" {
		c.coords[name].Lead(true, term)
	}
}

// Call implements Caller.
func (c *cluster) Call(ctx context.Context, method string, body []byte) (*wire.Reply, error) {
	c.log.mu.Lock()
	leader := c.log.leader
	c.log.mu.Unlock()
	if leader == "" {
		return &wire.Reply{Outcome: wire.CallNoLeader}, nil
	}
	answer, err := c.handlers[leader][method](ctx, body)
	if err != nil {
		return &wire.Reply{Outcome: wire.CallUnknown, Error: err.Error()}, nil
	}
	return &wire.Reply{Outcome: wire.CallOK, Body: answer}, nil
}

// fakeRunner answers a generation with tokens of the version in force.
type fakeRunner struct {
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
	return []wire.Token{{Text: g.Job, Version: version}, {Text: ".", Version: version}}, 0, nil
}

func (r *fakeRunner) CallService(context.Context, string, string, string, []byte) ([]byte, error) {
	return []byte(`{"score":0.5}`), nil
}
