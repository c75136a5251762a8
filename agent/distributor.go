package agent

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"merlinhall/duty"
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
		served   uint64
		setAside uint64
		swapping bool
		down     bool
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
	actor     *duty.Duty
	report    func(any)
	transport http.RoundTripper
	peers     *peers

	cache          *weights.Cache
	transfer       *weights.Transfer
	currentFetch   fetchRequest
	reader         *storeReader
	pendingFetches []pendingFetch

	turn        *weights.Turn
	turnAction  gateAction
	swapStarted bool
	status      swapStatus
	tickAlarm   *duty.Alarm // of the next tick
}

// pendingFetch is a request from another agent that waits for bytes.
type pendingFetch struct {
	conn     *link.Conn
	request  *wire.WeightFetch
	since    time.Time
	notified time.Time // when the other agent was last told to keep waiting
}

func startDistributor(ctx context.Context, a *Agent) *distributor {
	c := &distributor{
		target:    a.opts.Local.Target,
		log:       a.log,
		ctx:       ctx,
		report:    func(m any) { go a.post(m) }, // does not block: the agent may be waiting for the distributor's mailbox
		transport: newTransport(),
		cache:     weights.NewCache(cachedVersions),
	}
	c.peers = &peers{
		ctx:    ctx,
		client: a.opts.LinkClient,
		scheme: a.opts.LinkScheme,
		local:  a.opts.Local,
		post:   c.post,
		links:  make(map[string]*peerLink),
	}
	c.actor = a.opts.System.Start("weights "+c.target, distributorMailboxSize, duty.HandlerFunc(c.receive))
	c.tickAlarm = c.actor.NewAlarm(tick{})
	return c
}

// post queues msg and blocks while the mailbox is full. It returns false once the
// distributor has stopped.
func (c *distributor) post(msg any) bool {
	for {
		err := c.actor.Offer(msg)
		if err == nil {
			return true
		}
		if err != duty.ErrFull {
			return false
		}
		time.Sleep(time.Millisecond)
	}
}

func (c *distributor) stop() {
	c.actor.Stop()
	c.peers.closeAll()
}

func (c *distributor) receive(msg any) {
	c.handle(msg)
	if c.needsTick() {
		at := time.Now()
		c.tickAlarm.Ring(at, at.Add(distributorTickPeriod))
	}
}

// needsTick reports whether something that depends only on time may happen: a
// stalled transfer, a step of a turn, the timeout of a pending fetch or of an
// unused link.
func (c *distributor) needsTick() bool {
	transfers := c.transfer != nil && !c.transfer.Over()
	return transfers || c.turn != nil || len(c.pendingFetches) > 0 || len(c.peers.links) > 0
}

func (c *distributor) handle(msg any) {
	switch m := msg.(type) {
	case tick:
		c.tickAlarm.Rang()
		c.tick()
	case fetchRequest:
		c.startFetch(m)
	case turnRequest:
		c.turn = weights.NewTurn(m.plan, c.target, now())
		c.turnAction = m.action
		c.stepTurn()
	case turnReleased:
		c.swapStarted = false
	case swapStatus:
		c.status = m
	case linkMessage:
		c.serve(m)
	case linkDown:
		c.dropLink(m.conn)
	case storePart:
		c.storePart(m)
	case peerUp:
		c.peers.up(m)
	case peerLost:
		c.peerLost(m)
	case peerMessage:
		c.peerMessage(m)
	}
}

func (c *distributor) tick() {
	if c.transfer != nil {
		c.applySteps(c.transfer.Tick(now()))
	}
	c.stepTurn()
	c.answerPending()
	c.notifyPending(time.Now())
	c.peers.closeIdle(time.Now())
}

// startFetch starts a transfer. A transfer in progress is for a superseded version
// and is dropped.
func (c *distributor) startFetch(m fetchRequest) {
	c.closeReader()
	c.turn = nil
	c.currentFetch = m
	c.transfer = weights.NewTransfer(c.cache.Open(m.action.pool, m.action.version), m.sources)
	c.transfer.MaxBytes = maxWeightBytes
	c.applySteps(c.transfer.Begin(now()))
}

func (c *distributor) closeReader() {
	if c.reader != nil {
		c.reader.cancel()
		c.reader = nil
	}
}

// applySteps performs the steps of the transfer. A source that cannot be reached
// counts as lost, which yields further steps.
func (c *distributor) applySteps(steps []weights.TransferStep) {
	for len(steps) > 0 {
		s := steps[0]
		steps = steps[1:]
		switch s.Op {
		case weights.TransferAsk:
			c.closeReader()
			m := &wire.WeightFetch{Pool: c.currentFetch.action.pool, Version: c.currentFetch.action.version, Offset: s.Offset, Length: s.Length}
			if !c.peers.send(s.Source.Agent, m) {
				steps = c.transfer.Lost(now(), s.Source)
			}
		case weights.TransferStore:
			c.closeReader()
			url := fmt.Sprintf("http://%s/weights/%s/%d", c.currentFetch.store, c.currentFetch.action.pool, c.currentFetch.action.version)
			c.reader = readStore(c.ctx, c.transport, url, s.Offset, c.post)
		default:
			c.closeReader()
			ok := s.Op != weights.TransferFailed
			c.log.WithField("version", c.currentFetch.action.version).WithField("present", ok).Debug("weight transfer ended")
			c.report(fetchEnded{c.currentFetch.action, ok})
		}
	}
	c.answerPending()
}

func (c *distributor) storePart(m storePart) {
	if m.reader != c.reader || c.transfer == nil {
		return
	}
	select {
	case <-m.reader.slots:
	default:
	}
	if m.err != nil {
		c.log.WithError(m.err).Warn("failed to read from the weight store")
		c.applySteps(c.transfer.Lost(now(), weights.Store))
		return
	}
	c.applySteps(c.transfer.Part(now(), weights.Store, m.offset, m.data, m.size, m.digest))
}

func (c *distributor) peerLost(m peerLost) {
	if !c.peers.lost(m) {
		return
	}
	if s, ok := c.sourceAt(m.address); ok {
		c.applySteps(c.transfer.Lost(now(), s))
	}
	if c.turn != nil {
		c.turn.UnreachableAddress(m.address)
		c.stepTurn()
	}
}

// sourceAt returns the source of the current transfer whose agent has the address.
func (c *distributor) sourceAt(address string) (weights.Source, bool) {
	if c.transfer == nil || c.transfer.Over() {
		return weights.Source{}, false
	}
	for _, s := range c.currentFetch.sources {
		if s.Agent == address {
			return s, true
		}
	}
	return weights.Source{}, false
}

func (c *distributor) peerMessage(p peerMessage) {
	switch m := p.m.(type) {
	case *wire.WeightPart:
		s, ok := c.sourceAt(p.address)
		if !ok || m.Pool != c.currentFetch.action.pool || m.Version != c.currentFetch.action.version {
			return
		}
		if m.None {
			c.applySteps(c.transfer.Lost(now(), s))
			return
		}
		c.applySteps(c.transfer.Part(now(), s, m.Offset, m.Data, m.Size, m.Digest))
	case *wire.SwapState:
		if c.turn != nil {
			c.turn.Answer(m)
			c.stepTurn()
		}
	}
}

// stepTurn advances the turn. The claim changes from claimed to started in one
// step, so that no other agent sees the replica as idle in between.
func (c *distributor) stepTurn() {
	if c.turn == nil {
		return
	}
	step := c.turn.Step(now())
	for _, m := range step.Ask {
		if !c.peers.send(m.Agent, step.Query) {
			c.turn.UnreachableAddress(m.Agent)
		}
	}
	if step.Go {
		c.swapStarted = true
		c.turn = nil
		c.report(turnGranted{c.turnAction})
	}
}

// claim returns the claim of this replica to swap weights. A swap that this process
// did not order counts too, since the agent may have restarted.
func (c *distributor) claim() wire.SwapClaim {
	switch {
	case c.swapStarted, c.status.swapping:
		return wire.SwapStarted
	case c.turn != nil:
		return c.turn.Claim()
	}
	return wire.SwapIdle
}
