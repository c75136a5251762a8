package agent

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"merlinhall/actor"
	"merlinhall/config"
	"merlinhall/link"
	"merlinhall/observe"
	"merlinhall/ratelimit"
	"merlinhall/wire"
)

const (
	mailboxSize = 8192
	// tickPeriod is the time between two checks of deadlines, stalled streams and
	// the order gate while any of them is pending. At other times the checks run with
	// each load report.
	tickPeriod = 50 * time.Millisecond
	// loadPeriod is the interval of load reports and of reads of the target's state.
	loadPeriod = time.Second
	// defaultOrderTimeout is how long the agent waits for the outcome of an order.
	// The outcome of a weight swap that takes longer is unknown. The timeout is below
	// the 17 s within which new weights must reach all replicas.
	defaultOrderTimeout = 15 * time.Second
	// barrierTimeout limits one barrier request.
	barrierTimeout = 5 * time.Second
	// mailboxWaitTimeout is how long a link waits for room in the mailbox. It must
	// be below link.SilenceLimit.
	mailboxWaitTimeout = time.Second
	// defaultMaxRunning is the default limit of concurrent requests.
	defaultMaxRunning = 512
)

// Kinds of target.
const (
	KindEngine  = "engine"
	KindService = "service"
)

// MessageKinds are the message kinds that a link.Mux must pass to an Agent.
var MessageKinds = []wire.Kind{
	wire.KindRun, wire.KindAttach, wire.KindCredit, wire.KindCancel, wire.KindRevoke,
	wire.KindWeightFetch, wire.KindSwapQuery,
}

// errMailboxFull is the reason for closing a link whose messages the agent could
// not accept in time.
var errMailboxFull = eris.New("agent: mailbox is full")

// Options are the options of Start.
type Options struct {
	// Local identifies the process. Local.Target names the target, and Local.Boot is
	// the boot id in every answer.
	Local   wire.Hello
	Kind    string // KindEngine or KindService
	Address string // address of the target
	System  *actor.System
	// Observer may be nil.
	Observer *observe.Observer
	// Barrier obtains the current term and log index from the control leader. It is
	// required for engines.
	Barrier func(ctx context.Context) (term, index uint64, err error)
	// MaxRunning is the maximum number of concurrent requests; 0 means 512.
	MaxRunning int
	// LinkClient and LinkScheme are used to dial other agents for weights. The
	// default is a connection without TLS.
	LinkClient *http.Client
	LinkScheme string
	// OrderTimeout is how long to wait for the outcome of an order; 0 means 15 s.
	OrderTimeout time.Duration

	wrapTarget func(target) target // for tests
}

// Agent runs requests and orders on one target. It implements link.Events for
// MessageKinds.
type Agent struct {
	opts        Options
	log         *logrus.Entry
	actor       *actor.Actor
	ctx         context.Context
	cancel      context.CancelFunc
	target      target
	engine      *engineTarget // nil for a plain service
	versions    *versionTracker
	distributor *distributor // nil for a plain service

	// The fields below are accessed only by the actor.
	route        *routeCheck
	table        *table
	guard        *observe.Guard // of calls to the target
	gate         *orderGate
	runs         map[string]*activeRun
	links        map[LinkID]*linkState
	linkIDs      map[*link.Conn]LinkID
	lastLinkID   LinkID
	load         loadState
	limits       *ratelimit.Book // of the one target
	clusterState *wire.ClusterState
	parsedConfig *config.Config
	hasTurn      bool       // the distributor has granted a swap turn that was not released yet
	sentStatus   swapStatus // the swap status last sent to the distributor
	orderEpoch   uint64     // incremented when an order starts and when it ends
	drainWaiters []chan<- struct{}
	tickAlarm    *actor.Alarm // scheduled when needsTick returns true

	idleTimeout sharedDuration
}

// activeRun is a request that is running on the target.
type activeRun struct {
	cancel context.CancelFunc
	sink   *sink
}

// sharedDuration is a duration that the actor sets and the goroutines of target
// calls read.
type sharedDuration struct {
	mu sync.Mutex
	d  time.Duration
}

func (b *sharedDuration) get() time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.d
}

func (b *sharedDuration) set(d time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.d = d
}

// Messages of the agent's actor.
type (
	linkUp      struct{ conn *link.Conn }
	linkDown    struct{ conn *link.Conn }
	linkMessage struct {
		conn *link.Conn
		m    wire.Message
	}
	chunkProduced struct {
		id    string
		chunk *wire.Chunk
	}
	stateReceived struct{ state *wire.ClusterState }
	drainRequest  struct{ done chan<- struct{} }
	tick          struct{}
	loadTick      struct{}
	// targetSilent reports that a target connection reached its idle timeout.
	targetSilent struct{}
	// pollRequest asks for a read of the target's state.
	pollRequest struct{}
)

// Start starts the agent of one target.
func Start(o Options) (*Agent, error) {
	if o.Kind != KindEngine && o.Kind != KindService {
		return nil, eris.Errorf("agent: unknown target kind %q; must be %q or %q", o.Kind, KindEngine, KindService)
	}
	if o.Kind == KindEngine && o.Barrier == nil {
		return nil, eris.New("agent: Options.Barrier is required for an engine")
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
	if o.OrderTimeout == 0 {
		o.OrderTimeout = defaultOrderTimeout
	}
	a := newAgent(o)
	a.actor = o.System.Start("agent "+o.Local.Target, mailboxSize, actor.HandlerFunc(a.receive))
	a.tickAlarm = a.actor.NewAlarm(tick{})
	if a.engine != nil {
		a.distributor = startDistributor(a.ctx, a)
	}
	a.observe()
	a.actor.Every(loadPeriod, loadTick{})
	a.post(loadTick{})
	return a, nil
}

func newAgent(o Options) *Agent {
	if o.Observer == nil {
		o.Observer = observe.New("error")
	}
	a := &Agent{
		opts:    o,
		guard:   o.Observer.Guard("agent"),
		log:     o.Observer.Logger("agent").WithField("target", o.Local.Target),
		route:   &routeCheck{target: o.Local.Target},
		gate:    &orderGate{},
		runs:    make(map[string]*activeRun),
		links:   make(map[LinkID]*linkState),
		linkIDs: make(map[*link.Conn]LinkID),
		limits:  ratelimit.NewBook(),
		load:    loadState{cachedPrefixes: make(map[uint64]struct{})},
	}
	a.ctx, a.cancel = context.WithCancel(context.Background())
	a.table = newTable(o.Local.Boot, TableSize, o.MaxRunning, a.route)
	a.versions = newVersionTracker(func() { a.post(pollRequest{}) })
	a.idleTimeout.set(defaultIdleTimeout)
	a.target = a.newTarget(&limitTransport{RoundTripper: newTransport(), target: o.Local.Target, post: a.post})
	if o.wrapTarget != nil {
		a.target = o.wrapTarget(a.target)
	}
	return a
}

func (a *Agent) newTarget(transport http.RoundTripper) target {
	onSilent := func() { a.post(targetSilent{}) }
	if a.opts.Kind == KindService {
		return &serviceTarget{address: a.opts.Address, transport: transport, idleTimeout: a.idleTimeout.get, onSilent: onSilent}
	}
	a.engine = &engineTarget{address: a.opts.Address, transport: transport, idleTimeout: a.idleTimeout.get, versions: a.versions, onSilent: onSilent}
	return a.engine
}

// post queues msg and blocks while the mailbox is full. It returns false once the
// agent has stopped.
func (a *Agent) post(msg any) bool {
	for {
		err := a.actor.Offer(msg)
		if err == nil {
			return true
		}
		if err != actor.ErrFull {
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
	if a.distributor != nil {
		a.distributor.post(linkDown{c})
	}
}

// Message implements link.Events. It closes a link whose messages the agent cannot
// accept in time; the peer repeats them on a new link.
func (a *Agent) Message(c *link.Conn, m wire.Message) {
	to := a.actor
	switch m.Kind() {
	case wire.KindWeightFetch, wire.KindSwapQuery:
		if a.distributor == nil {
			return
		}
		to = a.distributor.actor
	}
	until := time.Now().Add(mailboxWaitTimeout)
	for to.Offer(linkMessage{c, m}) == actor.ErrFull {
		if time.Now().After(until) {
			c.Close(errMailboxFull)
			return
		}
		time.Sleep(time.Millisecond)
	}
}

// OnClusterState passes a new cluster state to the agent.
func (a *Agent) OnClusterState(w *wire.ClusterState) { a.post(stateReceived{w}) }

// Drain makes the agent refuse new requests. It returns nil when the running
// requests have ended and their answers have been confirmed, or an error when ctx
// ends first.
func (a *Agent) Drain(ctx context.Context) error {
	done := make(chan struct{})
	if !a.post(drainRequest{done}) {
		return actor.ErrStopped
	}
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return eris.Wrap(ctx.Err(), "agent: drain")
	}
}

// Stop stops the agent immediately and cancels running target calls.
func (a *Agent) Stop() {
	a.cancel()
	a.actor.Stop()
	if a.distributor != nil {
		a.distributor.stop()
	}
}

func (a *Agent) receive(msg any) {
	since := now()
	a.handle(msg)
	if a.needsTick(since) {
		at := time.Now()
		a.tickAlarm.ScheduleAt(at, at.Add(tickPeriod))
	}
}

// needsTick reports whether something that depends only on time may happen before
// the next load report: a deadline, a stalled stream, the end of a drain or of a
// pause of the order gate. since is the time at which handling of the last message
// began. A pause that ended while the message was handled also counts, because
// advanceGate may have run before its end.
func (a *Agent) needsTick(since int64) bool {
	return len(a.table.running) > 0 || len(a.table.stalled) > 0 || len(a.drainWaiters) > 0 || a.gate.pausedUntil > since
}

func (a *Agent) handle(msg any) {
	switch m := msg.(type) {
	case chunkProduced:
		a.handleChunk(m)
	case limitNamed:
		a.handleLimit(m)
	case linkMessage:
		a.handleEntryMessage(m.conn, m.m)
	case tick:
		a.tickAlarm.Clear()
		a.tick()
	case loadTick:
		a.tick()
		a.reportLoad()
		a.pollState(gateAction{})
	case linkUp:
		a.linkUp(m.conn)
	case linkDown:
		a.linkDown(m.conn)
	case stateReceived:
		a.applyClusterState(m.state)
	case drainRequest:
		a.beginDrain(m.done)
	case targetSilent:
		a.load.suspect = true
		a.reportLoad()
		a.pollState(gateAction{})
	case pollRequest:
		a.pollState(gateAction{})
	default:
		a.handleResult(msg)
	}
}

// now returns the time in Unix milliseconds, the unit of table and orderGate.
func now() int64 { return time.Now().UnixMilli() }

func (a *Agent) tick() {
	a.applyEffects(a.table.Tick(now()))
	a.advanceGate()
	a.checkDrained()
}

func (a *Agent) handleChunk(m chunkProduced) {
	if m.chunk.End != "" {
		if r := a.runs[m.id]; r != nil {
			r.cancel()
		}
	}
	a.applyEffects(a.table.AddChunk(now(), m.id, m.chunk))
	if m.chunk.End == "" {
		return
	}
	a.log.WithField("id", m.id).WithField("end", m.chunk.End).Debug("request ended")
	delete(a.runs, m.id)
	a.checkDrained()
	if m.chunk.End == wire.EndNotRun {
		a.pollState(gateAction{}) // the target may be unreachable
	}
}

// handleEntryMessage passes a message from an entry to the table.
func (a *Agent) handleEntryMessage(c *link.Conn, msg wire.Message) {
	id, ok := a.linkIDs[c]
	if !ok {
		return // the link has been closed
	}
	switch m := msg.(type) {
	case *wire.Run:
		a.applyEffects(a.table.Run(now(), id, m))
	case *wire.Attach:
		a.applyEffects(a.table.Attach(now(), id, m))
	case *wire.Credit:
		a.applyEffects(a.table.Credit(now(), m))
	case *wire.Cancel:
		a.applyEffects(a.table.Cancel(now(), m.ID))
	case *wire.Revoke:
		a.applyEffects(a.table.Revoke(now(), id, m.ID))
	}
}

// applyEffects performs the effects of a step of the table.
func (a *Agent) applyEffects(effects []effect) {
	for _, o := range effects {
		switch o.op {
		case opSend:
			a.send(o.link, o.message)
		case opStart:
			a.startRun(o.run)
		case opStop:
			if r := a.runs[o.id]; r != nil {
				r.cancel()
			}
		case opRelease:
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
	if isChunk && !a.table.shouldSend(c) {
		return
	}
	err := p.conn.Send(m)
	if err == nil {
		return
	}
	if isChunk {
		a.table.SendFailed(c)
		return
	}
	// A message other than a chunk is not sent again; the entry repeats the message
	// that it answers.
	a.log.WithError(err).WithField("peer", p.conn.Peer().Process).Debug("failed to send answer")
}

func (a *Agent) startRun(r *wire.Run) {
	a.log.WithField("id", r.ID).WithField("service", r.Service).Debug("request started")
	ctx, cancel := context.WithCancel(a.ctx)
	s := newSink(r.ID, a.post)
	a.runs[r.ID] = &activeRun{cancel: cancel, sink: s}
	go func() {
		var last *wire.Chunk
		if err := a.guard.Run(logrus.Fields{"id": r.ID}, func() { last = a.target.run(ctx, r, s) }); err != nil {
			last = broken(ctx, err)
		}
		a.post(chunkProduced{id: r.ID, chunk: last})
	}()
}

func (a *Agent) beginDrain(done chan<- struct{}) {
	a.route.draining = true
	a.drainWaiters = append(a.drainWaiters, done)
	a.reportLoad()
	a.checkDrained()
}

func (a *Agent) checkDrained() {
	if len(a.drainWaiters) == 0 || !a.table.Idle() {
		return
	}
	for _, done := range a.drainWaiters {
		close(done)
	}
	a.drainWaiters = nil
}
