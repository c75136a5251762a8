package batch

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"merlinhall/carrier"
	"merlinhall/consensus"
	"merlinhall/link"
	"merlinhall/wire"
)

const (
	// orderInterval is how often a carrier gets orders although there is nothing to order,
	// so that it knows that its runs are still wanted.
	orderInterval = 250 * time.Millisecond
	// carrierSuspectAfter is the time without a report after which a carrier gets no new
	// runs; it reports at least each 250 ms.
	carrierSuspectAfter = 600 * time.Millisecond
	// carrierLostAfter is the time without a report after which a carrier's runs go on
	// elsewhere.
	carrierLostAfter = 900 * time.Millisecond
	// maxCheckGap is the time between two checks of the carriers above which this process
	// stood still itself. It is the leader's lease: with longer gaps it does not stay leader.
	maxCheckGap = consensus.DefaultLease
	// linkLostAfter is the time without any link to a carrier after which its runs go on
	// elsewhere: a link that was reset is replaced within a few round trips, one to a
	// process that has ended is not.
	linkLostAfter = 250 * time.Millisecond
	// otherZoneRuns is the number of additional runs that a carrier in the engine's
	// availability zone may have before one in another zone is preferred.
	otherZoneRuns = 8
	// adoptionWait is how long a new leader waits for the inventories of all carriers before
	// it plans.
	adoptionWait = 400 * time.Millisecond
	// shortAdoptionWait is how long it waits for the last few; it is many round trips.
	shortAdoptionWait = 100 * time.Millisecond
)

// carrierView is what the leader knows of a carrier.
type carrierView struct {
	process string
	zone    string
	local   bool // it is in the leader's own process
	link    carrier.Sender
	// synced is set once the carrier has sent an inventory over the link.
	synced     bool
	down       bool // the link has ended and there is no other one
	downAt     time.Time
	stopping   bool
	leaving    bool      // its host is to be emptied
	reportedAt time.Time // when the last report arrived
	echo       int64     // its clock in that report
	sequence   uint64    // of the last orders sent
	sentAt     time.Time
	runs       map[uint64]*run
	orders     carrier.Orders // not yet sent
	startBytes int            // size of the starts in orders
	weight     carrierWeight
}

// inOrder returns the runs in the order of their attempts.
func (c *carrierView) inOrder() []*run {
	return slices.SortedFunc(maps.Values(c.runs), func(a, b *run) int { return cmp.Compare(a.attempt, b.attempt) })
}

// usable reports whether the carrier may get new runs.
func (c *carrierView) usable(now time.Time) bool {
	return c.synced && !c.stopping && !c.leaving && now.Sub(c.reportedAt) <= carrierSuspectAfter
}

// chooseCarrier returns the carrier for a run on an engine in the given zone whose start has the
// given size: the one with the fewest runs for its weight, in the engine's zone if there is not much
// difference. The leader's own process decides for all others and is the last choice. It returns nil
// if none is usable, or if the links to those that are have no room for now.
func chooseCarrier(now time.Time, carriers []*carrierView, zone string, size int) *carrierView {
	var best *carrierView
	bestCost, full := 0.0, false
	for _, c := range carriers {
		if !c.usable(now) {
			continue
		}
		if !c.hasRoom(size) {
			full = full || !c.local
			continue
		}
		cost := c.load()
		if zone != "" && c.zone != zone {
			cost += otherZoneRuns
		}
		if best == nil || best.local && !c.local || best.local == c.local && cost < bestCost {
			best, bestCost = c, cost
		}
	}
	if full && best != nil && best.local {
		return nil // a link is full for milliseconds only
	}
	return best
}

// peerLink is a link to another control process.
type peerLink struct {
	carrier.Sender
	zone string
}

// carrierLinks holds the links to the other control processes. The Runner looks at it in
// each tick, so that no message about a link can be lost.
type carrierLinks struct {
	r  *Runner
	mu sync.Mutex
	// byProcess has the open links, the newest last. Two control processes may have two.
	byProcess map[string][]*link.Conn
}

// Up implements link.Events.
func (l *carrierLinks) Up(c *link.Conn) {
	if !slices.Contains(c.Peer().Roles, wire.RoleControl) {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.byProcess[c.Peer().Process] = append(l.byProcess[c.Peer().Process], c)
}

// Down implements link.Events.
func (l *carrierLinks) Down(c *link.Conn, _ error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	p := c.Peer().Process
	l.byProcess[p] = slices.DeleteFunc(l.byProcess[p], func(o *link.Conn) bool { return o == c })
	if len(l.byProcess[p]) == 0 {
		delete(l.byProcess, p)
	}
}

// Message implements link.Events for carrier.KindReport.
func (l *carrierLinks) Message(c *link.Conn, m wire.Message) {
	if report, ok := m.(*carrier.Report); ok {
		if err := l.r.Report(c, report); err != nil {
			c.Close(err) // the inventory on the next link contains what was lost
		}
	}
}

// newest returns the newest link to each process.
func (l *carrierLinks) newest() map[string]peerLink {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make(map[string]peerLink, len(l.byProcess))
	for p, list := range l.byProcess {
		c := list[len(list)-1]
		out[p] = peerLink{c, c.Peer().Zone}
	}
	return out
}

// Report takes the report of a carrier. Errors mean that it was not taken.
func (r *Runner) Report(from carrier.Sender, report *carrier.Report) error {
	return r.actor.Offer(reportMessage{from, report})
}

// Carriers returns the handler of the links to carriers and of their reports.
func (r *Runner) Carriers() link.Events { return r.links }

// reportMessage is a report of a carrier and the link over which it came.
type reportMessage struct {
	from   carrier.Sender
	report *carrier.Report
}

// localLink connects the Runner with the carrier of its own process.
type localLink struct{ r *Runner }

// Send implements carrier.Sender.
func (l *localLink) Send(m wire.Message) error {
	switch m := m.(type) {
	case *carrier.Orders:
		return l.r.o.Carrier.Handle(l, m)
	case *carrier.Report:
		return l.r.Report(l, m)
	}
	return nil
}

// QueuedBytes implements carrier.Sender.
func (l *localLink) QueuedBytes() int { return 0 }

// updateCarriers follows the links: a carrier with another link than before is asked for an
// inventory, and the runs of one that is silent go on elsewhere.
func (r *Runner) updateCarriers(now time.Time) {
	r.discountPause(now)
	newest, retired := r.newestLinks(), r.o.Retired()
	r.useLink(now, r.o.Process, r.o.Zone, r.local)
	for _, process := range slices.Sorted(maps.Keys(newest)) {
		r.useLink(now, process, newest[process].zone, newest[process].Sender)
	}
	r.carriers = slices.DeleteFunc(r.carriers, func(c *carrierView) bool {
		if !c.leaving && slices.Contains(retired, c.process) {
			r.releaseCarrier(c)
		}
		wasDown := c.down
		if c.down = !c.local && newest[c.process].Sender == nil; c.down {
			c.synced = false
			if !wasDown {
				c.downAt = now
			}
		}
		if now.Sub(c.reportedAt) <= carrierLostAfter && !(c.down && now.Sub(c.downAt) > linkLostAfter) {
			return false
		}
		if len(c.runs) > 0 {
			r.loseRuns(now, c)
		}
		c.synced = c.synced && c.local
		return c.down
	})
	r.updateWeights(now)
}

// discountPause takes the time for which this process stood still off the silence of the
// carriers: their reports of that time wait to be read.
func (r *Runner) discountPause(now time.Time) {
	gap := now.Sub(r.carriersCheckedAt)
	r.carriersCheckedAt = now
	if gap <= maxCheckGap {
		return
	}
	for _, c := range r.carriers {
		c.reportedAt = minTime(now, c.reportedAt.Add(gap))
		c.downAt = minTime(now, c.downAt.Add(gap))
	}
}

func minTime(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// releaseCarrier moves the runs off a carrier whose host is to be emptied.
func (r *Runner) releaseCarrier(c *carrierView) {
	c.leaving = true
	r.log.WithFields(logrus.Fields{"carrier": c.process, "runs": len(c.runs)}).Info("carrier's host is to be emptied; its runs go on elsewhere")
	for _, run := range c.inOrder() {
		if run.reading && run.task.run == run && run.cancelReason == "" {
			r.cancelRun(run.task, "the carrier's host is to be emptied")
		}
	}
}

// useLink makes a link that of a carrier and asks for an inventory over it.
func (r *Runner) useLink(now time.Time, process, zone string, l carrier.Sender) {
	i, known := slices.BinarySearchFunc(r.carriers, process, func(c *carrierView, name string) int { return cmp.Compare(c.process, name) })
	if !known {
		c := &carrierView{process: process, local: process == r.o.Process, runs: make(map[uint64]*run), reportedAt: now}
		r.carriers = slices.Insert(r.carriers, i, c)
	}
	c := r.carriers[i]
	if c.link == l {
		return
	}
	c.link, c.zone, c.synced, c.echo = l, zone, false, 0
	c.replaceOrders(carrier.Orders{Inventory: true})
	r.sendOrders(now, c)
}

// flushOrders sends the orders collected for each carrier.
func (r *Runner) flushOrders(now time.Time) {
	for _, c := range r.carriers {
		o := &c.orders
		if len(o.Starts) > 0 || len(o.Cancels) > 0 || len(o.Done) > 0 || now.Sub(c.sentAt) >= orderInterval {
			r.sendOrders(now, c)
		}
	}
}

// sendOrders sends the collected orders to a carrier. If that fails, it is asked for an
// inventory, which shows what it did not get.
func (r *Runner) sendOrders(now time.Time, c *carrierView) {
	if c.down {
		return
	}
	if !c.synced && !c.orders.Inventory {
		if now.Sub(c.sentAt) < orderInterval {
			return
		}
		c.replaceOrders(carrier.Orders{Inventory: true}) // the former request may be lost
	}
	c.sequence++
	orders := c.replaceOrders(carrier.Orders{})
	orders.Term, orders.Sequence = r.term, c.sequence
	// Without the lease another leader may have ended submissions since.
	if r.o.LeaseHeld(r.term) {
		orders.Echo = c.echo
	}
	c.sentAt = now
	if err := c.link.Send(&orders); err != nil {
		r.log.WithFields(logrus.Fields{"carrier": c.process, "starts": len(orders.Starts)}).Infof("orders could not be sent: %v", err)
		c.synced = false
	}
}

// handleReport takes the report of a carrier.
func (r *Runner) handleReport(now time.Time, m reportMessage) {
	i := slices.IndexFunc(r.carriers, func(c *carrierView) bool { return c.link == m.from })
	if i < 0 || m.report.Term != r.term {
		return // of another leader, or over a former link
	}
	c := r.carriers[i]
	if !c.synced && !m.report.Inventory {
		return
	}
	if c.synced {
		c.weight.noteReport(now, now.Sub(c.reportedAt))
	}
	c.reportedAt, c.echo = now, max(c.echo, m.report.Clock)
	if m.report.Stopping && !c.stopping {
		r.log.WithField("carrier", c.process).Info("carrier stops")
	}
	c.stopping = m.report.Stopping
	if m.report.Inventory {
		r.takeInventory(now, c, m.report)
	}
	for i := range m.report.Runs {
		r.handleProgress(now, c, &m.report.Runs[i])
	}
}

// takeInventory compares the runs that a carrier has with those that it should have. Runs
// that nobody else has are taken over; those that it never got are started again.
func (r *Runner) takeInventory(now time.Time, c *carrierView, m *carrier.Report) {
	c.synced = true
	has := make(map[uint64]bool, len(m.Runs))
	adopted := 0
	for i := range m.Runs {
		p := &m.Runs[i]
		has[p.Attempt] = true
		switch {
		case c.runs[p.Attempt] != nil:
		case r.adopt(now, c, p):
			adopted++
		case p.State == carrier.Reading:
			// The carrier was only silent. Its run went on elsewhere meanwhile, or its
			// submission ended.
			r.metrics.unneeded.Inc()
		}
	}
	if adopted > 0 {
		r.queue.prune()
	}
	for _, run := range c.inOrder() {
		switch {
		case has[run.attempt] && run.cancelReason != "":
			// The cancellation may have been lost with the former link.
			c.orders.Cancels = append(c.orders.Cancels, run.attempt)
		case !has[run.attempt] && run.sequence <= m.Seen:
			r.endRun(now, run, runEnd{outcome: carrier.Lost, reason: "the carrier does not have the run"})
		}
	}
	r.log.WithFields(logrus.Fields{
		"carrier": c.process, "zone": c.zone, "runs": len(m.Runs), "adopted": adopted, "since_ms": now.Sub(r.leadSince).Milliseconds(),
	}).Info("carrier has sent its inventory")
}

// adopt takes over a run that this leader did not start, if its task has none. It reports
// whether it did.
func (r *Runner) adopt(now time.Time, c *carrierView, p *carrier.Progress) bool {
	id := p.Identity
	if id == nil || id.Engine == "" {
		return false // a reward call without its text
	}
	j := r.job(id.Submission)
	if j == nil {
		return false
	}
	t := j.tasks[id.Item]
	if t == nil || t.state != taskPending || p.Events < t.text.length() {
		return false
	}
	if p.State == carrier.Ended && p.Outcome != carrier.Complete {
		return false
	}
	began := now.Add(-time.Duration(id.AgeMs) * time.Millisecond)
	t.run = &run{task: t, attempt: p.Attempt, carrier: c, engine: id.Engine, engineStartedMs: id.EngineStartedMs, began: began, placementReason: "adopted", reading: true, sequence: c.sequence}
	t.state, t.engine = taskRunning, id.Engine
	t.runs++
	if t.firstRunAt.IsZero() {
		t.firstRunAt = began
	}
	c.runs[p.Attempt] = t.run
	if e := r.engine(id.Engine); e != nil && e.startedMs == id.EngineStartedMs {
		e.running++
		t.run.engineZone = e.zone
	}
	if t.group.engine == "" {
		t.group.engine = id.Engine
	}
	return true
}

// loseRuns gives up the runs of a carrier that does not answer.
func (r *Runner) loseRuns(now time.Time, c *carrierView) {
	r.log.WithFields(logrus.Fields{
		"carrier": c.process, "runs": len(c.runs), "silent_ms": now.Sub(c.reportedAt).Milliseconds(),
	}).Warn("carrier is silent; its runs go on elsewhere")
	for _, run := range c.inOrder() {
		r.endRun(now, run, runEnd{outcome: carrier.Lost, reason: "the carrier is silent"})
	}
	c.synced = false
}

// adopting reports whether planning waits for the inventories of the carriers. As many as may
// be lost at the same time, such as the host of the former leader, are not waited for for
// long.
func (r *Runner) adopting(now time.Time) bool {
	if r.adopted {
		return false
	}
	missing := 0
	for _, c := range r.carriers {
		if !c.synced {
			missing++
		}
	}
	since := now.Sub(r.leadSince)
	r.adopted = missing == 0 || since >= adoptionWait || since >= shortAdoptionWait && missing <= max(1, r.o.HostFaults)
	if r.adopted {
		r.log.WithFields(logrus.Fields{"ms": since.Milliseconds(), "carriers": len(r.carriers), "missing": missing}).Info("planning begins")
	}
	return !r.adopted
}
