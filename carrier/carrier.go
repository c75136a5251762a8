// Package carrier performs the runs of items for the control leader. Every control process
// is a carrier: it reads the texts that engines generate, keeps them, has them scored and
// hands them in. It begins nothing by itself, and it goes on when the leader changes: a new
// leader asks each carrier what it has and takes that over.
package carrier

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"merlinhall/actor"
	"merlinhall/boottime"
	"merlinhall/directory"
	"merlinhall/forward"
	"merlinhall/link"
	"merlinhall/observe"
	"merlinhall/upstream"
	"merlinhall/wire"
)

const (
	// mailboxCapacity bounds queued messages; a run has one at a time.
	mailboxCapacity = 4096
	// TickInterval is how often ended runs are reported.
	TickInterval = 50 * time.Millisecond
	// reportInterval is how often the leader gets a report without news.
	reportInterval = 250 * time.Millisecond
	// handInInterval is how often the text of a run that goes on is handed in, from
	// minHandInEvents new events on. What was not handed in is generated again if the
	// carrier is lost; most texts are complete with fewer events.
	handInInterval  = 400 * time.Millisecond
	minHandInEvents = 8
	// rewardRetryDelay is the wait before a reward call that returned no score is repeated.
	rewardRetryDelay = 200 * time.Millisecond
	// maxRewardDoublings bounds the wait to 1.6 s. It doubles after each error response that is
	// no failed run: such a call is repeated until its item is no longer wanted.
	maxRewardDoublings = 3
	// maxReportBytes is the size of the texts that a report and what waits before it in the link
	// have, from which further texts go into later reports.
	maxReportBytes = 1 << 20
	// orphanLimit is how long runs go on without a leader, and how long their texts are kept.
	orphanLimit = 20 * time.Second
	// defaultCancelTime is used when the settings have no bound.
	defaultCancelTime = 3 * time.Second
)

// Sender sends messages to a leader. *link.Conn implements it.
type Sender interface {
	Send(m wire.Message) error
	// QueuedBytes returns the size of the messages that wait to be sent.
	QueuedBytes() int
}

// Options configures a Carrier.
type Options struct {
	Targets   Targets
	Directory *directory.Directory
	Protocol  Protocol
	// CancelTime is the time after the end of a submission from which none of its requests
	// may reach a target. 0 stands for the default.
	CancelTime time.Duration
	Clock      func() time.Duration // nil stands for boottime.Now
	Go         func(work func())    // starts a goroutine; nil stands for the go statement
	System     *actor.System
	Observer   *observe.Observer
}

// Carrier is the actor.
type Carrier struct {
	o       Options
	log     *logrus.Entry
	guard   *observe.Guard // of runs and reward calls
	actor   actor.Mailbox
	metrics *metrics
	ctx     context.Context
	stop    context.CancelFunc

	leader     Sender // nil until a leader has asked for an inventory
	term       uint64
	seen       uint64       // Sequence of the last orders
	decidedAt  atomic.Int64 // clock time; the leader's decisions are at least as new as this
	reportedAt time.Duration
	runs       map[uint64]*run
	stopping   bool
	drained    []chan struct{} // closed once no run reads
}

type (
	// Tick makes the carrier report what is due.
	Tick          struct{}
	ordersMessage struct {
		from   Sender
		orders *Orders
	}
	downMessage  struct{ from Sender }
	drainMessage struct{ done chan struct{} }
	readEnded    struct {
		run *run
		end ReadEnd
	}
	rewardEnded struct {
		run *run
		end RewardEnd
	}
)

// StartCarrier starts the actor.
func StartCarrier(o Options) *Carrier {
	c := New(o)
	a := o.System.Start("carrier", mailboxCapacity, c)
	c.UseMailbox(a)
	a.NewTicker(TickInterval, Tick{}).Start()
	return c
}

// New returns a carrier that does nothing until its mailbox is set and its messages are
// passed to Receive, a Tick each TickInterval.
func New(o Options) *Carrier {
	if o.Clock == nil {
		o.Clock = boottime.Now
	}
	if o.Go == nil {
		o.Go = func(work func()) { go work() }
	}
	if o.CancelTime == 0 {
		o.CancelTime = defaultCancelTime
	}
	ctx, cancel := context.WithCancel(context.Background())
	return &Carrier{
		o: o, log: o.Observer.Logger("carrier"), guard: o.Observer.Guard("carrier"), metrics: newMetrics(o.Observer.Registry), ctx: ctx, stop: cancel, runs: make(map[uint64]*run),
	}
}

// UseMailbox sets the mailbox from which messages are passed to Receive.
func (c *Carrier) UseMailbox(m actor.Mailbox) { c.actor = m }

// Stop ends all runs.
func (c *Carrier) Stop() { c.stop() }

// Up implements link.Events.
func (c *Carrier) Up(*link.Conn) {}

// Message implements link.Events for KindOrders.
func (c *Carrier) Message(from *link.Conn, m wire.Message) {
	if orders, ok := m.(*Orders); ok {
		if err := c.Handle(from, orders); err != nil {
			// The leader asks for an inventory on the next link and so learns what was lost.
			from.Close(err)
		}
	}
}

// Down implements link.Events.
func (c *Carrier) Down(from *link.Conn, _ error) { c.Lost(from) }

// Lost notes that a link to a leader has ended.
func (c *Carrier) Lost(from Sender) { c.deliver(downMessage{from}) }

// Handle takes orders from a leader. Errors mean that they were not taken.
func (c *Carrier) Handle(from Sender, orders *Orders) error {
	return c.actor.Offer(ordersMessage{from, orders})
}

// deliver sends a message that must not be lost, and retries until the carrier stops.
func (c *Carrier) deliver(msg any) {
	for c.actor.Offer(msg) == actor.ErrFull {
		select {
		case <-time.After(TickInterval):
		case <-c.ctx.Done():
			return
		}
	}
}

// Drain refuses new runs, ends those that read, so that their texts go on elsewhere, and
// returns when the leader has been sent them or ctx ends.
func (c *Carrier) Drain(ctx context.Context) {
	m := drainMessage{make(chan struct{})}
	c.deliver(m)
	select {
	case <-m.done:
	case <-ctx.Done():
	}
}

// Receive implements actor.Handler.
func (c *Carrier) Receive(msg any) {
	now := c.o.Clock()
	switch m := msg.(type) {
	case ordersMessage:
		c.handleOrders(now, m.from, m.orders)
	case downMessage:
		if c.leader == m.from {
			c.leader = nil
		}
	case readEnded:
		c.metrics.runs.WithLabelValues(string(m.end.Outcome)).Inc()
		c.recordError(m.run, m.end)
		m.run.finishReading(m.end)
		c.startReward(now, m.run)
	case rewardEnded:
		c.finishReward(now, m.run, m.end)
	case drainMessage:
		c.stopping = true
		c.drained = append(c.drained, m.done)
		for _, r := range c.inOrder() {
			r.abort("the carrier stops")
		}
	case Tick:
		c.tick(now)
	}
}

// handleOrders carries out what a leader wants, unless a newer leader is known.
func (c *Carrier) handleOrders(now time.Duration, from Sender, m *Orders) {
	if m.Term < c.term {
		c.log.WithFields(logrus.Fields{"term": m.Term, "newest_term": c.term}).Info("orders of a former leader are ignored")
		return
	}
	if m.Inventory {
		c.follow(from, m.Term)
	}
	if from != c.leader || m.Term != c.term {
		return // the leader asks for an inventory first
	}
	c.seen = m.Sequence
	if m.Echo > 0 {
		c.decidedAt.Store(max(c.decidedAt.Load(), m.Echo))
	}
	for _, attempt := range m.Cancels {
		if r := c.runs[attempt]; r != nil {
			r.abort("cancelled by the leader")
		}
	}
	for _, attempt := range m.Done {
		if r := c.runs[attempt]; r != nil && r.state == Ended {
			delete(c.runs, attempt)
		}
	}
	for i := range m.Starts {
		c.begin(now, &m.Starts[i])
	}
	if m.Inventory {
		c.report(now, true)
	}
}

// follow takes orders from a leader that asks for an inventory. It is not known which of the
// texts it has.
func (c *Carrier) follow(from Sender, term uint64) {
	if from != c.leader || term != c.term {
		c.log.WithFields(logrus.Fields{"term": term, "before": c.term, "runs": len(c.runs)}).Info("takes orders from a leader")
	}
	c.leader, c.term = from, term
	for _, r := range c.runs {
		r.forgetHanded()
	}
}

// refusal returns why an attempt is not begun, or "". The order may have waited on the way
// or in a queue, and the submission may have ended or the engine begun to leave since.
func (c *Carrier) refusal(now time.Duration, s *Start) string {
	switch {
	case c.stopping:
		return "the carrier stops"
	case c.decisionAge(now) > c.o.CancelTime/2:
		return "the order is too old"
	case !c.o.Directory.Usable(time.Now(), true):
		return "the list of targets is too old"
	case c.engineLeaves(s):
		return "the engine is leaving"
	}
	return ""
}

// decisionAge returns the greatest age of the leader's decisions that this process knows.
func (c *Carrier) decisionAge(now time.Duration) time.Duration {
	return now - time.Duration(c.decidedAt.Load())
}

// rewardWanted reports whether a reward call may be sent now. A third of the time is left
// for the request to reach its target.
func (c *Carrier) rewardWanted() bool {
	return c.decisionAge(c.o.Clock()) <= c.o.CancelTime*2/3
}

// engineLeaves reports whether the engine of an attempt is leaving. An engine that has
// started again is another one; this carrier's view is older then.
func (c *Carrier) engineLeaves(s *Start) bool {
	t := c.o.Directory.View().Target(s.Engine)
	return t != nil && t.Draining && t.StartedMs == s.EngineStartedMs
}

// begin starts an attempt.
func (c *Carrier) begin(now time.Duration, s *Start) {
	if c.runs[s.Attempt] != nil {
		return
	}
	r := newRun(*s, c.o.Clock)
	c.runs[s.Attempt] = r
	if why := c.refusal(now, s); why != "" {
		r.state, r.why, r.end = Ended, why, ReadEnd{Outcome: NotStarted}
		c.log.WithFields(logrus.Fields{
			"submission": s.Submission, "item": s.Item, "attempt": s.Attempt, "engine": s.Engine, "order_age_ms": c.decisionAge(now).Milliseconds(),
		}).Info("attempt is refused: " + why)
		return
	}
	ctx, cancel := context.WithCancel(c.ctx)
	r.cancel = cancel
	if s.Engine == "" {
		r.finishReading(ReadEnd{Outcome: Complete, Reached: true})
		c.startReward(now, r)
		return
	}
	to := upstream.Address{HostPort: s.Address, ID: s.Engine}
	request, rule := r.request(c.o.Protocol), s.versions()
	c.o.Go(func() {
		var end ReadEnd
		fields := logrus.Fields{"submission": r.start.Submission, "item": r.start.Item, "attempt": r.start.Attempt}
		if err := c.guard.Run(fields, func() { end = c.o.Targets.Generate(ctx, to, request, r, s.Text.Events+1, rule) }); err != nil {
			end = ReadEnd{Outcome: Broken, Reached: true, Err: err}
		}
		cancel()
		c.deliver(readEnded{r, end})
	})
}

// recordError logs and counts an error response of an engine.
func (c *Carrier) recordError(r *run, end ReadEnd) {
	if end.Error.Status == 0 {
		return
	}
	c.metrics.countErrors("engine", []forward.AttemptEnd{end.Error})
	c.log.WithFields(logrus.Fields{
		"submission": r.start.Submission, "item": r.start.Item, "attempt": r.start.Attempt, "term": c.term, "outcome": end.Outcome, "response": end.Error.String(),
	}).Info("engine answered with an error")
}

func (c *Carrier) startReward(now time.Duration, r *run) {
	if !r.rewardDue(now) || !c.rewardWanted() {
		return
	}
	r.rewardPending = true
	ctx, cancel := context.WithCancel(c.ctx)
	r.cancel = cancel
	c.o.Go(func() {
		var end RewardEnd
		fields := logrus.Fields{"submission": r.start.Submission, "item": r.start.Item, "reward": r.start.Reward.ID}
		if err := c.guard.Run(fields, func() { end = c.o.Targets.Score(ctx, r.start.Reward, c.rewardWanted) }); err != nil {
			end = RewardEnd{Reason: err.Error()}
		}
		cancel()
		c.deliver(rewardEnded{r, end})
	})
}

func (c *Carrier) finishReward(now time.Duration, r *run, end RewardEnd) {
	r.finishReward(now, end)
	fields := logrus.Fields{
		"submission": r.start.Submission, "item": r.start.Item, "attempt": r.start.Attempt, "reward": r.start.Reward.ID, "target": end.Target,
		"status": end.Status, "term": c.term, "score": end.Score, "failures": r.rewardFailures,
	}
	if end.Score != "" {
		c.log.WithFields(fields).Debug("reward call has a score")
		return
	}
	c.metrics.countErrors("reward", end.Attempts)
	fields["reason"], fields["attempts"] = end.Reason, describe(end.Attempts)
	fields["max_failures"], fields["manifest"] = r.maxRewardFailures, end.Manifest
	c.log.WithFields(fields).Info("reward call has no score")
}

// describe returns the ends of attempts as one text for the log.
func describe(ends []forward.AttemptEnd) string {
	list := make([]string, 0, len(ends))
	for _, e := range ends {
		list = append(list, e.String())
	}
	return strings.Join(list, "; ")
}

func (c *Carrier) tick(now time.Duration) {
	reading, news := 0, false
	for _, r := range c.inOrder() {
		c.startReward(now, r)
		if r.state == Reading {
			reading++
			if r.checkLength() {
				r.abort("the text is too long")
			}
		}
		news = news || r.changed(now)
	}
	if news || now-c.reportedAt >= reportInterval {
		c.report(now, false)
	}
	if len(c.drained) > 0 && reading == 0 && !c.hasUnhanded() {
		for _, done := range c.drained {
			close(done)
		}
		c.drained = nil
	}
	if c.decisionAge(now) > orphanLimit && len(c.runs) > 0 {
		c.dropOrphans()
	}
}

// hasUnhanded reports whether a leader is there that does not have all of the texts that have ended.
func (c *Carrier) hasUnhanded() bool {
	for _, r := range c.runs {
		if c.leader != nil && r.state != Reading && !r.handedAll() {
			return true
		}
	}
	return false
}

// dropOrphans ends all runs: no leader has wanted them for a long time.
func (c *Carrier) dropOrphans() {
	c.log.WithField("runs", len(c.runs)).Warn("runs are dropped: no leader has asked for them")
	for _, r := range c.inOrder() {
		r.abort("no leader")
	}
	clear(c.runs)
}

// inOrder returns the runs in the order of their attempts, so that equal inputs have equal
// outcomes.
func (c *Carrier) inOrder() []*run {
	return slices.SortedFunc(maps.Values(c.runs), func(a, b *run) int { return cmp.Compare(a.start.Attempt, b.start.Attempt) })
}

// A report and what waits before it have up to maxReportBytes of texts and a further part of one,
// which is the text of a start or a chunk. Together with the other fields of the runs they fit into
// a frame, and so into the queue of a link.
const _ = uint(wire.MaxFrameBytes - maxReportBytes - max(MaxTextBytes, maxChunkBytes+maxEventBytes) - 4<<20)

// report sends the leader a report of the runs that changed, of all that go on if it is
// due, or of all with their identity. Texts for which it has no room follow in the next ones.
func (c *Carrier) report(now time.Duration, inventory bool) {
	if c.leader == nil {
		return
	}
	due := inventory || now-c.reportedAt >= reportInterval
	m := &Report{Term: c.term, Clock: int64(now), Seen: c.seen, Inventory: inventory, Stopping: c.stopping}
	room := maxReportBytes - c.leader.QueuedBytes()
	for _, r := range c.inOrder() {
		if inventory || r.changed(now) || due && r.state == Reading {
			p := r.progress(now, inventory, &room)
			p.EngineLeaves = c.engineLeaves(&r.start)
			m.Runs = append(m.Runs, p)
		}
	}
	if due {
		c.reportedAt = now
	}
	if err := c.leader.Send(m); err != nil {
		c.log.Infof("a report could not be sent: %v", err)
		c.unfollow(err)
	}
}

// unfollow gives up the link to the leader after a failed report, so that the leader asks
// for an inventory on the next one.
func (c *Carrier) unfollow(reason error) {
	if conn, ok := c.leader.(*link.Conn); ok {
		conn.Close(reason)
	}
	c.leader = nil
}
