package agent

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"merlinhall/config"
	"merlinhall/duty"
	"merlinhall/link"
	"merlinhall/observe"
	"merlinhall/wire"
)

const (
	mailbox = 8192
	// tickPeriod drives deadlines, stalled streams and the order gate while there
	// are any. Otherwise the load reports alone wake the agent.
	tickPeriod = 50 * time.Millisecond
	// loadPeriod is the time between two load reports and between two reads of
	// the target's state.
	loadPeriod = time.Second
	// orderLimit bounds the wait for the outcome of an order. New weights have
	// 17 s to reach all replicas; a swap that takes longer counts as unknown.
	orderLimit = 15 * time.Second
	// barrierLimit bounds one barrier.
	barrierLimit = 5 * time.Second
	// eventLimit bounds how long a link waits for room in the mailbox. It is
	// below link.SilenceLimit.
	eventLimit = time.Second
	// defaultMaxRunning bounds the requests that run at once.
	defaultMaxRunning = 512
)

// Kinds of target.
const (
	KindEngine  = "engine"
	KindService = "service"
)

// Kinds are the message kinds that a link.Mux passes to an Agent.
var Kinds = []wire.Kind{
	wire.KindRun, wire.KindAttach, wire.KindCredit, wire.KindCancel, wire.KindRevoke,
	wire.KindWeightFetch, wire.KindSwapQuery,
}

// errOverloaded is the reason of a link closed because the agent could not take
// its messages.
var errOverloaded = eris.New("agent: mailbox is full")

// Options are the options of Start.
type Options struct {
	// Local identifies the process; Local.Target is the target and Local.Boot the
	// boot id that is in every answer.
	Local   wire.Hello
	Kind    string // KindEngine or KindService
	Address string // address of the target
	System  *duty.System
	// Observer may be nil.
	Observer *observe.Observer
	// Barrier confirms the term and log index with the control leader. It is
	// required for engines.
	Barrier func(ctx context.Context) (term, index uint64, err error)
	// MaxRunning bounds the requests that run at once; 0 means 512.
	MaxRunning int
	// LinkClient and LinkScheme dial other agents for weights; by default without
	// TLS.
	LinkClient *http.Client
	LinkScheme string
	// OrderLimit bounds the wait for the outcome of an order; 0 means 15 s.
	OrderLimit time.Duration
}

// Agent runs beside one target. It implements link.Events for the request kinds.
type Agent struct {
	o       Options
	log     *logrus.Entry
	duty    *duty.Duty
	ctx     context.Context
	cancel  context.CancelFunc
	target  target
	engine  *engineTarget // nil for a plain service
	witness *witness
	courier *courier // nil for a plain service

	// The fields below belong to the duty.
	hop      *lastHop
	table    *table
	gate     *gate
	runs     map[string]*activeRun
	links    map[LinkID]*peer
	ids      map[*link.Conn]LinkID
	lastLink LinkID
	load     loadState
	world    *wire.World
	conf     *config.Config
	holding  bool // the courier has granted a turn that was not given back
	told     swapFacts
	orders   uint64 // counts starts and ends of orders
	drains   []chan<- struct{}
	alarm    *duty.Alarm // of the next tick

	idle durationBox
}

// activeRun is a request that runs on the target.
type activeRun struct {
	cancel context.CancelFunc
	sink   *sink
}

// durationBox is a duration shared with the runs.
type durationBox struct {
	mu sync.Mutex
	d  time.Duration
}

func (b *durationBox) get() time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.d
}

func (b *durationBox) set(d time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.d = d
}

// Messages of the duty.
type (
	linkUp      struct{ conn *link.Conn }
	linkDown    struct{ conn *link.Conn }
	linkMessage struct {
		conn *link.Conn
		m    wire.Message
	}
	produced struct {
		id    string
		chunk *wire.Chunk
	}
	worldTaken struct{ world *wire.World }
	drainAsked struct{ done chan<- struct{} }
	tick       struct{}
	loadTick   struct{}
	// silence reports a silent target connection.
	silence struct{}
	// readState asks for a read of the target's state.
	readState struct{}
)

// Start starts the agent of one target.
func Start(o Options) (*Agent, error) {
	if o.Kind != KindEngine && o.Kind != KindService {
		return nil, eris.Errorf("agent: target kind %q is neither %q nor %q", o.Kind, KindEngine, KindService)
	}
	if o.Kind == KindEngine && o.Barrier == nil {
		return nil, eris.New("agent: an engine needs a barrier")
	}
	if o.MaxRunning == 0 {
		o.MaxRunning = defaultMaxRunning
	}
	if o.LinkClient == nil {
		o.LinkClient = link.NewHTTPClient(nil)
	}
	if o.LinkScheme == "" {
		o.LinkScheme = "ws"
	}
	if o.OrderLimit == 0 {
		o.OrderLimit = orderLimit
	}
	a := build(o)
	a.duty = o.System.Start("agent "+o.Local.Target, mailbox, duty.HandlerFunc(a.receive))
	a.alarm = a.duty.NewAlarm(tick{})
	if a.engine != nil {
		a.courier = startCourier(a.ctx, a)
	}
	a.observe()
	a.duty.Every(loadPeriod, loadTick{})
	a.post(loadTick{})
	return a, nil
}

func build(o Options) *Agent {
	if o.Observer == nil {
		o.Observer = observe.New("error")
	}
	a := &Agent{
		o:     o,
		log:   o.Observer.Logger("agent").WithField("target", o.Local.Target),
		hop:   &lastHop{target: o.Local.Target},
		gate:  &gate{target: o.Local.Target},
		runs:  make(map[string]*activeRun),
		links: make(map[LinkID]*peer),
		ids:   make(map[*link.Conn]LinkID),
		load:  loadState{cached: make(map[uint64]struct{})},
	}
	a.ctx, a.cancel = context.WithCancel(context.Background())
	a.table = newTable(o.Local.Boot, TableSize, o.MaxRunning, a.hop)
	a.witness = newWitness(func() { a.post(readState{}) })
	a.idle.set(defaultIdle)
	a.target = a.newTarget(newTransport())
	return a
}

func (a *Agent) newTarget(transport http.RoundTripper) target {
	silent := func() { a.post(silence{}) }
	if a.o.Kind == KindService {
		return &serviceTarget{address: a.o.Address, transport: transport, idle: a.idle.get, silent: silent}
	}
	a.engine = &engineTarget{address: a.o.Address, transport: transport, idle: a.idle.get, witness: a.witness, silent: silent}
	return a.engine
}

// post queues msg, waiting while the mailbox is full. It returns false after the
// agent has stopped.
func (a *Agent) post(msg any) bool {
	for {
		err := a.duty.Offer(msg)
		if err == nil {
			return true
		}
		if err != duty.ErrFull {
			return false
		}
		time.Sleep(time.Millisecond)
	}
}

// Up implements link.Events.
func (a *Agent) Up(c *link.Conn) { a.post(linkUp{c}) }

// Down implements link.Events.
func (a *Agent) Down(c *link.Conn, _ error) {
	a.post(linkDown{c})
	if a.courier != nil {
		a.courier.post(linkDown{c})
	}
}

// Message implements link.Events. A link whose messages the agent cannot take in
// time is closed: the peer asks again on another one.
func (a *Agent) Message(c *link.Conn, m wire.Message) {
	to := a.duty
	switch m.Kind() {
	case wire.KindWeightFetch, wire.KindSwapQuery:
		if a.courier == nil {
			return
		}
		to = a.courier.duty
	}
	until := time.Now().Add(eventLimit)
	for to.Offer(linkMessage{c, m}) == duty.ErrFull {
		if time.Now().After(until) {
			c.Close(errOverloaded)
			return
		}
		time.Sleep(time.Millisecond)
	}
}

// OnWorld takes up a world.
func (a *Agent) OnWorld(w *wire.World) { a.post(worldTaken{w}) }

// Drain refuses new work as not run from now on and returns when the work that
// runs has ended and its answers have been confirmed, or with the error of ctx.
func (a *Agent) Drain(ctx context.Context) error {
	done := make(chan struct{})
	if !a.post(drainAsked{done}) {
		return duty.ErrStopped
	}
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return eris.Wrap(ctx.Err(), "agent: drain")
	}
}

// Stop ends the agent at once. Running target calls are cancelled.
func (a *Agent) Stop() {
	a.cancel()
	a.duty.Stop()
	if a.courier != nil {
		a.courier.stop()
	}
}

func (a *Agent) receive(msg any) {
	since := now()
	a.handle(msg)
	if a.waits(since) {
		at := time.Now()
		a.alarm.Ring(at, at.Add(tickPeriod))
	}
}

// waits reports whether time alone may change something before the next load
// report: a deadline, a stalled stream, the end of a drain or of a pause of the
// gate. A pause that ended after since, the time before the last message was
// handled, may not have been noticed.
func (a *Agent) waits(since int64) bool {
	return len(a.table.running) > 0 || len(a.table.stalled) > 0 || len(a.drains) > 0 || a.gate.resting > since
}

func (a *Agent) handle(msg any) {
	switch m := msg.(type) {
	case produced:
		a.produced(m)
	case linkMessage:
		a.request(m.conn, m.m)
	case tick:
		a.alarm.Rang()
		a.tick()
	case loadTick:
		a.tick()
		a.reportLoad()
		a.pollState(gateAction{})
	case linkUp:
		a.linkUp(m.conn)
	case linkDown:
		a.linkDown(m.conn)
	case worldTaken:
		a.takeWorld(m.world)
	case drainAsked:
		a.drain(m.done)
	case silence:
		a.load.suspect = true
		a.reportLoad()
		a.pollState(gateAction{})
	case readState:
		a.pollState(gateAction{})
	default:
		a.receiveAnswer(msg)
	}
}

func now() int64 { return time.Now().UnixMilli() }

func (a *Agent) tick() {
	a.carry(a.table.Tick(now()))
	a.advanceGate()
	a.checkDrained()
}

func (a *Agent) produced(m produced) {
	if m.chunk.End != "" {
		if r := a.runs[m.id]; r != nil {
			r.cancel()
		}
	}
	a.carry(a.table.Produced(now(), m.id, m.chunk))
	if m.chunk.End == "" {
		return
	}
	a.log.WithField("id", m.id).WithField("end", m.chunk.End).Debug("request ends")
	delete(a.runs, m.id)
	a.checkDrained()
	if m.chunk.End == wire.EndNotRun {
		a.pollState(gateAction{}) // the target may be down
	}
}

// request steps the table with a message of an entry.
func (a *Agent) request(c *link.Conn, msg wire.Message) {
	id, ok := a.ids[c]
	if !ok {
		return // the link has ended
	}
	switch m := msg.(type) {
	case *wire.Run:
		a.carry(a.table.Run(now(), id, m))
	case *wire.Attach:
		a.carry(a.table.Attach(now(), id, m))
	case *wire.Credit:
		a.carry(a.table.Credit(now(), m))
	case *wire.Cancel:
		a.carry(a.table.Cancel(now(), m.ID))
	case *wire.Revoke:
		a.carry(a.table.Revoke(now(), id, m.ID))
	}
}

// carry carries out the outcomes of a step of the table.
func (a *Agent) carry(outcomes []outcome) {
	for _, o := range outcomes {
		switch o.op {
		case opSend:
			a.send(o.link, o.message)
		case opStart:
			a.start(o.run)
		case opStop:
			if r := a.runs[o.id]; r != nil {
				r.cancel()
			}
		case opRoom:
			if r := a.runs[o.id]; r != nil {
				r.sink.release(o.n)
			}
		}
	}
}

func (a *Agent) send(id LinkID, m wire.Message) {
	p := a.links[id]
	if p == nil {
		return
	}
	c, isChunk := m.(*wire.Chunk)
	if isChunk && !a.table.due(c) {
		return
	}
	err := p.conn.Send(m)
	if err == nil {
		return
	}
	if isChunk {
		a.table.Unsent(c)
		return
	}
	// An answer that is not part of a stream is lost; the entry asks again.
	a.log.WithError(err).WithField("peer", p.conn.Peer().Process).Debug("answer was not sent")
}

func (a *Agent) start(r *wire.Run) {
	a.log.WithField("id", r.ID).WithField("service", r.Service).Debug("request starts")
	ctx, cancel := context.WithCancel(a.ctx)
	s := newSink(r.ID, a.post)
	a.runs[r.ID] = &activeRun{cancel: cancel, sink: s}
	go func() {
		last := a.target.run(ctx, r, s)
		a.post(produced{id: r.ID, chunk: last})
	}()
}

func (a *Agent) drain(done chan<- struct{}) {
	a.hop.draining = true
	a.drains = append(a.drains, done)
	a.reportLoad()
	a.checkDrained()
}

func (a *Agent) checkDrained() {
	if len(a.drains) == 0 || !a.table.Idle() {
		return
	}
	for _, done := range a.drains {
		close(done)
	}
	a.drains = nil
}
