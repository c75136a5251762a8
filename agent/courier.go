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
	courierMailbox = 1024
	// courierTick is the time between two ticks while the courier waits for
	// something.
	courierTick = 50 * time.Millisecond
	// cachedVersions is the number of weight versions kept for other agents: the
	// one that is being swapped in and the one before it.
	cachedVersions = 2
	// maxWeightBytes bounds one version, so that two of them and the rest of the
	// process stay within the 256 MB that a node spends on control. An engine loads
	// a larger version from the store by itself.
	maxWeightBytes = 32 << 20
	// fetchesWaiting bounds the questions of other agents that wait for bytes.
	fetchesWaiting = 256
	// fetchLimit is how long a question waits for a version that is not being
	// fetched here yet.
	fetchLimit = 2 * time.Second
)

// Messages of the courier.
type (
	// fetchAsked asks to make the bytes of a version present.
	fetchAsked struct {
		action  gateAction
		sources []weights.Source
		store   string // address
	}
	// turnAsked asks to find out when the replica may swap.
	turnAsked struct {
		action gateAction
		plan   *weights.Plan
	}
	// swapOver gives the turn up.
	swapOver struct{}
	// swapFacts is what others are told of this replica.
	swapFacts struct {
		served   uint64
		setAside uint64
		swapping bool
		down     bool
	}
)

// Answers of the courier to the agent.
type (
	fetchEnded struct {
		action gateAction
		ok     bool
	}
	turnGranted struct{ action gateAction }
)

// courier is the duty that moves weight bytes between agents and takes turns in
// swapping.
type courier struct {
	target    string
	log       *logrus.Entry
	ctx       context.Context
	duty      *duty.Duty
	report    func(any)
	transport http.RoundTripper
	peers     *peers

	cache    *weights.Cache
	transfer *weights.Transfer
	fetching fetchAsked
	reader   *storeReader
	waiting  []waitingFetch

	turn    *weights.Turn
	turning gateAction
	started bool
	facts   swapFacts
	alarm   *duty.Alarm // of the next tick
}

// waitingFetch is a question of another agent that waits for bytes.
type waitingFetch struct {
	conn  *link.Conn
	m     *wire.WeightFetch
	since time.Time
	told  time.Time // when the other was last told to wait
}

func startCourier(ctx context.Context, a *Agent) *courier {
	c := &courier{
		target:    a.o.Local.Target,
		log:       a.log,
		ctx:       ctx,
		report:    func(m any) { go a.post(m) }, // the agent may wait for the courier
		transport: newTransport(),
		cache:     weights.NewCache(cachedVersions),
	}
	c.peers = &peers{
		ctx:    ctx,
		client: a.o.LinkClient,
		scheme: a.o.LinkScheme,
		local:  a.o.Local,
		post:   c.post,
		links:  make(map[string]*peerLink),
	}
	c.duty = a.o.System.Start("weights "+c.target, courierMailbox, duty.HandlerFunc(c.receive))
	c.alarm = c.duty.NewAlarm(tick{})
	return c
}

// post queues msg, waiting while the mailbox is full.
func (c *courier) post(msg any) bool {
	for {
		err := c.duty.Offer(msg)
		if err == nil {
			return true
		}
		if err != duty.ErrFull {
			return false
		}
		time.Sleep(time.Millisecond)
	}
}

func (c *courier) stop() {
	c.duty.Stop()
	c.peers.closeAll()
}

func (c *courier) receive(msg any) {
	c.handle(msg)
	if c.waits() {
		at := time.Now()
		c.alarm.Ring(at, at.Add(courierTick))
	}
}

// waits reports whether time alone may change something: a transfer that stalls,
// a turn, a question of another agent or a link that nobody uses.
func (c *courier) waits() bool {
	transfers := c.transfer != nil && !c.transfer.Over()
	return transfers || c.turn != nil || len(c.waiting) > 0 || len(c.peers.links) > 0
}

func (c *courier) handle(msg any) {
	switch m := msg.(type) {
	case tick:
		c.alarm.Rang()
		c.tick()
	case fetchAsked:
		c.fetch(m)
	case turnAsked:
		c.turn = weights.NewTurn(m.plan, c.target, now())
		c.turning = m.action
		c.stepTurn()
	case swapOver:
		c.started = false
	case swapFacts:
		c.facts = m
	case linkMessage:
		c.serve(m)
	case linkDown:
		c.forget(m.conn)
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

func (c *courier) tick() {
	if c.transfer != nil {
		c.carry(c.transfer.Tick(now()))
	}
	c.stepTurn()
	c.answerWaiting()
	c.tellWaiting(time.Now())
	c.peers.closeIdle(time.Now())
}

// fetch starts a transfer. One under way belongs to a superseded version.
func (c *courier) fetch(m fetchAsked) {
	c.closeReader()
	c.turn = nil
	c.fetching = m
	c.transfer = weights.NewTransfer(c.cache.Open(m.action.pool, m.action.version), m.sources)
	c.transfer.MaxBytes = maxWeightBytes
	c.carry(c.transfer.Begin(now()))
}

func (c *courier) closeReader() {
	if c.reader != nil {
		c.reader.cancel()
		c.reader = nil
	}
}

// carry carries out the steps of the transfer. A source that cannot be asked is
// lost at once, which gives further steps.
func (c *courier) carry(steps []weights.TransferStep) {
	for len(steps) > 0 {
		s := steps[0]
		steps = steps[1:]
		switch s.Op {
		case weights.TransferAsk:
			c.closeReader()
			m := &wire.WeightFetch{Pool: c.fetching.action.pool, Version: c.fetching.action.version, Offset: s.Offset, Length: s.Length}
			if !c.peers.send(s.Source.Agent, m) {
				steps = c.transfer.Lost(now(), s.Source)
			}
		case weights.TransferStore:
			c.closeReader()
			url := fmt.Sprintf("http://%s/weights/%s/%d", c.fetching.store, c.fetching.action.pool, c.fetching.action.version)
			c.reader = readStore(c.ctx, c.transport, url, s.Offset, c.post)
		default:
			c.closeReader()
			ok := s.Op != weights.TransferFailed
			c.log.WithField("version", c.fetching.action.version).WithField("present", ok).Debug("weight transfer has ended")
			c.report(fetchEnded{c.fetching.action, ok})
		}
	}
	c.answerWaiting()
}

func (c *courier) storePart(m storePart) {
	if m.reader != c.reader || c.transfer == nil {
		return
	}
	select {
	case <-m.reader.room:
	default:
	}
	if m.err != nil {
		c.log.WithError(m.err).Warn("weight store failed")
		c.carry(c.transfer.Lost(now(), weights.Store))
		return
	}
	c.carry(c.transfer.Part(now(), weights.Store, m.offset, m.data, m.size, m.digest))
}

func (c *courier) peerLost(m peerLost) {
	if !c.peers.lost(m) {
		return
	}
	if s, ok := c.sourceAt(m.address); ok {
		c.carry(c.transfer.Lost(now(), s))
	}
	if c.turn != nil {
		c.turn.UnreachableAddress(m.address)
		c.stepTurn()
	}
}

// sourceAt returns the source of the transfer whose agent has the address.
func (c *courier) sourceAt(address string) (weights.Source, bool) {
	if c.transfer == nil || c.transfer.Over() {
		return weights.Source{}, false
	}
	for _, s := range c.fetching.sources {
		if s.Agent == address {
			return s, true
		}
	}
	return weights.Source{}, false
}

func (c *courier) peerMessage(p peerMessage) {
	switch m := p.m.(type) {
	case *wire.WeightPart:
		s, ok := c.sourceAt(p.address)
		if !ok || m.Pool != c.fetching.action.pool || m.Version != c.fetching.action.version {
			return
		}
		if m.None {
			c.carry(c.transfer.Lost(now(), s))
			return
		}
		c.carry(c.transfer.Part(now(), s, m.Offset, m.Data, m.Size, m.Digest))
	case *wire.SwapState:
		if c.turn != nil {
			c.turn.Answer(m)
			c.stepTurn()
		}
	}
}

// stepTurn goes on with the turn. The claim passes without a gap from claimed to
// started, so that no other agent sees the replica idle in between.
func (c *courier) stepTurn() {
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
		c.started = true
		c.turn = nil
		c.report(turnGranted{c.turning})
	}
}

// claim is how this replica stands to its own swap. An engine that swaps without
// an order of this process counts as well: the agent may have restarted.
func (c *courier) claim() wire.SwapClaim {
	switch {
	case c.started, c.facts.swapping:
		return wire.SwapStarted
	case c.turn != nil:
		return c.turn.Claim()
	}
	return wire.SwapIdle
}
