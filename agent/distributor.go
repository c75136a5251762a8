package agent

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"merlinhall/actor"
	"merlinhall/link"
	"merlinhall/weights"
	"merlinhall/wire"
)

const (
	distributorMailboxSize = 1024
	// distributorTickPeriod is the time between two ticks while the distributor
	// waits for something.
	distributorTickPeriod = 50 * time.Millisecond
	// cachedVersions is the number of weight versions kept for other agents: the one
	// being swapped in and its predecessor.
	cachedVersions = 2
	// maxWeightBytes is the maximum size of a version. It keeps cachedVersions of
	// them and the rest of the process within the 256 MB that a host may spend on
	// the control plane. An engine loads a larger version from the store by itself.
	maxWeightBytes = 32 << 20
	// maxPendingFetches is the maximum number of requests from other agents that
	// wait for bytes.
	maxPendingFetches = 256
	// fetchWaitTimeout is how long a request waits for a version that this agent is
	// not fetching yet.
	fetchWaitTimeout = 2 * time.Second
)

// Messages from the agent to the distributor.
type (
	// fetchRequest asks for the bytes of a version.
	fetchRequest struct {
		action  gateAction
		sources []weights.Source
		store   string // address
	}
	// turnRequest asks for this replica's turn to swap weights.
	turnRequest struct {
		action gateAction
		plan   *weights.Plan
	}
	// turnReleased gives the turn back.
	turnReleased struct{}
	// swapStatus is the status of this replica that is reported to other agents.
	swapStatus struct {
		served        uint64
		failedVersion uint64
		swapping      bool
		down          bool
	}
)

// Messages from the distributor to the agent.
type (
	fetchEnded struct {
		action gateAction
		ok     bool
	}
	turnGranted struct{ action gateAction }
)

// distributor is the actor that transfers weight bytes between agents and
// coordinates with them which replica may swap weights.
type distributor struct {
	target    string
	log       *logrus.Entry
	ctx       context.Context
	actor     *actor.Actor
	report    func(any)
	transport http.RoundTripper
	peers     *peers

	cache          *weights.Cache
	transfer       *weights.Transfer
	currentFetch   fetchRequest
	reader         *storeReader
	pendingFetches []pendingFetch

	turn        *weights.SwapLock
	turnAction  gateAction
	lastRound   uint64 // of the last query to others about a swap
	swapStarted bool   // a turn was granted and has not been released
	status      swapStatus
	tickAlarm   *actor.Alarm // of the next tick
}

// pendingFetch is a request from another agent that waits for bytes.
type pendingFetch struct {
	conn     *link.Conn
	request  *wire.WeightFetch
	since    time.Time
	notified time.Time // when the other agent was last told to keep waiting
}

func startDistributor(ctx context.Context, a *Agent) *distributor {
	d := &distributor{
		target:    a.opts.Local.Target,
		log:       a.log,
		ctx:       ctx,
		report:    func(m any) { go a.post(m) }, // must not block: the agent may be waiting for the distributor
		transport: newTransport(),
		cache:     weights.NewCache(cachedVersions),
	}
	d.peers = &peers{
		ctx:    ctx,
		client: a.opts.LinkClient,
		scheme: a.opts.LinkScheme,
		local:  a.opts.Local,
		post:   d.post,
		links:  make(map[string]*peerLink),
	}
	d.actor = a.opts.System.Start("weights "+d.target, distributorMailboxSize, actor.HandlerFunc(d.receive))
	d.tickAlarm = d.actor.NewAlarm(tick{})
	return d
}

// post queues msg and blocks while the mailbox is full. It returns false once the
// distributor has stopped.
func (d *distributor) post(msg any) bool {
	for {
		err := d.actor.Offer(msg)
		if err == nil {
			return true
		}
		if err != actor.ErrFull {
			return false
		}
		time.Sleep(time.Millisecond)
	}
}

func (d *distributor) stop() {
	d.actor.Stop()
	d.peers.closeAll()
}

func (d *distributor) receive(msg any) {
	d.handle(msg)
	if d.needsTick() {
		at := time.Now()
		d.tickAlarm.ScheduleAt(at, at.Add(distributorTickPeriod))
	}
}

// needsTick reports whether something that depends only on time may happen: a
// stalled transfer, a step of the swap lock, the timeout of a pending fetch or of an
// unused link.
func (d *distributor) needsTick() bool {
	transfers := d.transfer != nil && !d.transfer.Over()
	return transfers || d.turn != nil || len(d.pendingFetches) > 0 || len(d.peers.links) > 0
}

func (d *distributor) handle(msg any) {
	switch m := msg.(type) {
	case tick:
		d.tickAlarm.Clear()
		d.tick()
	case fetchRequest:
		d.startFetch(m)
	case turnRequest:
		d.turn = weights.NewSwapLock(m.plan, d.target, now(), d.lastRound)
		d.turnAction = m.action
		d.stepTurn()
	case turnReleased:
		d.swapStarted = false
	case swapStatus:
		d.status = m
	case linkMessage:
		d.serve(m)
	case linkDown:
		d.dropLink(m.conn)
	case storePart:
		d.storePart(m)
	case peerUp:
		d.peers.up(m)
	case peerLost:
		d.peerLost(m)
	case peerMessage:
		d.peerMessage(m)
	}
}

func (d *distributor) tick() {
	if d.transfer != nil {
		d.applySteps(d.transfer.Tick(now()))
	}
	d.stepTurn()
	d.answerPending()
	d.notifyPending(time.Now())
	d.peers.closeIdle(time.Now())
}

// startFetch starts a transfer. A transfer in progress is for a superseded version
// and is dropped.
func (d *distributor) startFetch(m fetchRequest) {
	d.closeReader()
	d.turn = nil
	d.currentFetch = m
	d.transfer = weights.NewTransfer(d.cache.Open(m.action.pool, m.action.version), m.sources)
	d.transfer.MaxBytes = maxWeightBytes
	d.applySteps(d.transfer.Begin(now()))
}

func (d *distributor) closeReader() {
	if d.reader != nil {
		d.reader.cancel()
		d.reader = nil
	}
}

// applySteps performs the steps of the transfer. A source that cannot be reached
// counts as lost, which yields further steps.
func (d *distributor) applySteps(steps []weights.TransferStep) {
	for len(steps) > 0 {
		s := steps[0]
		steps = steps[1:]
		switch s.Op {
		case weights.TransferAsk:
			d.closeReader()
			m := &wire.WeightFetch{Pool: d.currentFetch.action.pool, Version: d.currentFetch.action.version, Offset: s.Offset, Length: s.Length}
			if !d.peers.send(s.Source.Agent, m) {
				steps = d.transfer.Lost(now(), s.Source)
			}
		case weights.TransferStore:
			d.closeReader()
			url := fmt.Sprintf("http://%s/weights/%s/%d", d.currentFetch.store, d.currentFetch.action.pool, d.currentFetch.action.version)
			d.reader = readStore(d.ctx, d.transport, url, s.Offset, d.post)
		default:
			d.closeReader()
			d.log.WithField("version", d.currentFetch.action.version).WithField("outcome", s.Op.String()).Debug("weight transfer ended")
			// The engine loads a version that is too large from the store by itself.
			d.report(fetchEnded{d.currentFetch.action, s.Op != weights.TransferFailed})
		}
	}
	d.answerPending()
}

func (d *distributor) storePart(m storePart) {
	if m.reader != d.reader || d.transfer == nil {
		return
	}
	select {
	case <-m.reader.slots:
	default:
	}
	if m.err != nil {
		d.log.WithError(m.err).Warn("failed to read from the weight store")
		d.applySteps(d.transfer.Lost(now(), weights.Store))
		return
	}
	d.applySteps(d.transfer.Part(now(), weights.Store, m.offset, m.data, m.size, m.digest))
}

func (d *distributor) peerLost(m peerLost) {
	if !d.peers.lost(m) {
		return
	}
	if s, ok := d.sourceAt(m.address); ok {
		d.applySteps(d.transfer.Lost(now(), s))
	}
	if d.turn != nil {
		d.turn.MarkUnreachable(m.address)
		d.stepTurn()
	}
}

// sourceAt returns the source of the current transfer whose agent has the address.
func (d *distributor) sourceAt(address string) (weights.Source, bool) {
	if d.transfer == nil || d.transfer.Over() {
		return weights.Source{}, false
	}
	for _, s := range d.currentFetch.sources {
		if s.Agent == address {
			return s, true
		}
	}
	return weights.Source{}, false
}

func (d *distributor) peerMessage(p peerMessage) {
	switch m := p.m.(type) {
	case *wire.WeightPart:
		s, ok := d.sourceAt(p.address)
		if !ok || m.Pool != d.currentFetch.action.pool || m.Version != d.currentFetch.action.version {
			return
		}
		if m.Unavailable {
			d.applySteps(d.transfer.Lost(now(), s))
			return
		}
		d.applySteps(d.transfer.Part(now(), s, m.Offset, m.Data, m.Size, m.Digest))
	case *wire.SwapState:
		if d.turn != nil {
			d.turn.Answer(m)
			d.stepTurn()
		}
	}
}

// stepTurn advances the swap lock. The claim changes from claimed to started in one
// step, so that no other agent sees the replica as idle in between.
func (d *distributor) stepTurn() {
	if d.turn == nil {
		return
	}
	step := d.turn.Step(now())
	if step.Query != nil {
		d.lastRound = step.Query.Round
	}
	for _, m := range step.Ask {
		if !d.peers.send(m.Agent, step.Query) {
			d.turn.MarkUnreachable(m.Agent)
		}
	}
	if step.Go {
		d.swapStarted = true
		d.turn = nil
		d.report(turnGranted{d.turnAction})
	}
}

// claim returns the claim of this replica to swap weights. A swap that this process
// did not order counts too, since the agent may have restarted.
func (d *distributor) claim() wire.SwapClaim {
	switch {
	case d.swapStarted, d.status.swapping:
		return wire.SwapStarted
	case d.turn != nil:
		return d.turn.Claim()
	}
	return wire.SwapIdle
}
