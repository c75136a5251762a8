package batch

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"merlinhall/actor"
	"merlinhall/carrier"
	"merlinhall/directory"
	"merlinhall/ledger"
	"merlinhall/link"
	"merlinhall/locality"
	"merlinhall/observe"
	"merlinhall/routes"
)

const (
	// mailboxCapacity bounds queued messages; a carrier sends up to 20 reports a second.
	mailboxCapacity = 16384
	// tickInterval is how often runs without events, loads and overdue items are checked.
	tickInterval = 50 * time.Millisecond
	// silenceLimit is the time without an event after which a run is cancelled to run on
	// another engine. Events arrive every 40 to 250 ms.
	silenceLimit = 900 * time.Millisecond
	// silenceLimitInLoad is the limit while the engine loads weights, which stops its
	// runs.
	silenceLimitInLoad = 4 * time.Second
	// pauseRefused is how long an engine that refused a run gets no new ones.
	pauseRefused = 100 * time.Millisecond
	// pauseUnreached is how long an engine that accepts no connections gets no new runs.
	// It doubles with each further failure up to maxPauseUnreached, so that a crashed
	// engine costs few attempts and a restarted one is used within seconds.
	pauseUnreached    = 250 * time.Millisecond
	maxPauseUnreached = 2 * time.Second
	// pauseBroken is how long an engine that interrupted a run gets no new ones.
	pauseBroken = 500 * time.Millisecond
	// pauseSilent is how long an engine whose run had no events for too long gets no new
	// ones.
	pauseSilent = 2 * time.Second
	// failedRetryDelay is the wait before a failed item runs again.
	failedRetryDelay = 50 * time.Millisecond
	// maxRetryDoublings bounds the wait of an item whose runs end with errors that are no
	// failed runs to 1.6 s. Such an item is not given up before its time to live.
	maxRetryDoublings = 5
	// proposeTimeout bounds the wait for a proposal to the ledger.
	proposeTimeout = 3 * time.Second
	// retentionMargin is added to the time for which results must stay readable.
	retentionMargin = 15 * time.Second
	// expiryInterval is how often expired submissions and partial texts are removed.
	expiryInterval = 5 * time.Second
	// engineCallTimeout bounds a report of an engine or an order to it.
	engineCallTimeout = time.Second
)

// Options configures a Runner.
type Options struct {
	Name        string // of this host, named in orders as order holder
	Process     string // name of this process
	Submissions *ledger.Submissions
	Versions    *ledger.Versions
	Manifests   *ledger.Manifests
	Directory   *directory.Directory
	Protocol    Protocol
	Zone        string           // of this process
	Carrier     *carrier.Carrier // of this process
	// Go starts a goroutine and After calls a function later. They are set in simulations.
	Go    func(work func())
	After func(d time.Duration, f func())
	// Propose commits a command of the submissions slice.
	Propose func(ctx context.Context, body []byte) error
	// Duty says whether this process may send orders to engines.
	Duty Duty
	// Leads returns the term in which this process leads, confirmed by the leader's lease,
	// which has not ended when Leads returns. Errors mean that it may not lead.
	Leads func(ctx context.Context) (term uint64, err error)
	// LeaseHeld reports whether this process leads in the given term and its lease has not
	// ended, so that no other process can have become leader.
	LeaseHeld func(term uint64) bool
	// Limits are the limits that engines name on the requests of all processes; nil if there
	// are none.
	Limits Limits
	// Locality, if set, has the zones of carriers chosen by the use of each zone, with these costs.
	Locality *locality.Costs
	// Retired returns the control processes whose hosts are to be emptied.
	Retired func() []string
	// HostFaults is the number of hosts that may be lost at the same time.
	HostFaults int
	// MeasuredCapacity has engines divided and used by their measured speed, and carriers by
	// their share of a core.
	MeasuredCapacity bool
	// CPUShare is the share of a core that this process may use, 0 if it is not known.
	CPUShare float64
	// KeepResults is how long results stay readable after the submission.
	KeepResults time.Duration
	// StepOrder has the steps of trainers that are behind their schedule run first, and long
	// texts run where few others slow them down.
	StepOrder bool
	System    *actor.System
	Observer  *observe.Observer
}

// Limits gives this process grants for targets with a limit; *ratelimit.Keeper implements it.
type Limits interface {
	// Allowance returns the limit of a target in requests a second and how many it may get now,
	// or false if it has no limit.
	Allowance(target string) (perSecond float64, n int, limited bool)
	// Take grants n requests to a target if the first may be sent now.
	Take(target string, n int) bool
}

// limits returns the limits of engines.
func (r *Runner) limits() Limits {
	if r.o.Limits == nil {
		return noLimits{}
	}
	return r.o.Limits
}

// noLimits is Limits without limits.
type noLimits struct{}

// Allowance implements Limits.
func (noLimits) Allowance(string) (perSecond float64, n int, limited bool) { return 0, 0, false }

// Take implements Limits.
func (noLimits) Take(string, int) bool { return true }

// Duty is the claim to act alone; *duty.Claim implements it.
type Duty interface {
	// Held returns the fencing token with which this process may act.
	Held(now time.Time) (token uint64, ok bool)
	// Superseded notes that a receiver has seen a higher token.
	Superseded(token uint64)
}

// Runner is the actor that has the items of open submissions run while this process leads.
type Runner struct {
	o       Options
	log     *logrus.Entry
	guard   *observe.Guard // of calls to engines
	actor   actor.Mailbox
	metrics *metrics

	// lead is the last word of Lead, and missed is set when the mailbox was full for a
	// message about it, the submissions or the directory. The next tick looks at all of them.
	lead   atomic.Pointer[leadMessage]
	missed atomic.Bool

	leading   bool
	term      uint64
	leadSince time.Time
	ctx       context.Context // cancelled when the leadership ends
	stop      context.CancelFunc

	links *carrierLinks
	// newestLinks returns the newest link to each control process.
	newestLinks func() map[string]peerLink
	local       carrier.Sender // link to the carrier of this process
	carriers    []*carrierView // by process
	// carriersCheckedAt is when the carriers were last checked for silence.
	carriersCheckedAt time.Time
	adopted           bool   // the runs that carriers had when this process became leader are known
	attempts          uint64 // number of attempts started in this term

	scheduledAt      time.Time // when tasks were last planned
	scheduleDeferred bool      // another planning has been asked for
	additions        additions

	jobs           []*job        // oldest first
	routes         *routes.Table // by which the routes of the tasks were found
	queue          queue
	lags           lagTracker // used with StepOrder only
	orderLoggedAt  time.Time
	partial        *partials
	engines        []*engine
	assignedModels map[string]string // model of each engine, see assignModels
	assignedAt     time.Time         // when engines were last assigned
	swappedAt      time.Time         // when two models last exchanged engines
	demand         map[string]modelDemand
	speeds         engineSpeeds
	speedsShown    atomic.Pointer[speedsDump]
	weightsShown   map[string]bool // carriers in the metric of weights
	speedsShownAt  time.Time
	divisionLogs   observe.LineLimit
	nextExpiry     time.Time
	eventTimesAt   time.Time // when the time per event was last sampled
	zonePlan       zonePlan
	savedAt        time.Time // when partial texts were last proposed to the ledger
	// flushWaiters are closed when no proposal is in progress.
	flushWaiters []chan struct{}
}

type (
	leadMessage struct {
		leading bool
		term    uint64
	}
	changeMessage struct{ change ledger.SubmissionChange }
	viewMessage   struct{ view *directory.View }
	tickMessage   struct{}
	wakeMessage   struct{}
)

// Start starts the actor. It does nothing until Lead reports that this process leads.
func Start(o Options) *Runner {
	r := newRunner(o)
	a := o.System.Start("batch", mailboxCapacity, r)
	r.actor = a
	r.follow()
	a.NewTicker(tickInterval, tickMessage{}).Start()
	return r
}

func newRunner(o Options) *Runner {
	if o.Go == nil {
		o.Go = func(work func()) { go work() }
	}
	if o.After == nil {
		o.After = func(d time.Duration, f func()) { time.AfterFunc(d, f) }
	}
	r := &Runner{o: o, log: o.Observer.Logger("batch"), guard: o.Observer.Guard("batch"), assignedModels: make(map[string]string), metrics: newMetrics(o.Observer.Registry)}
	r.links = &carrierLinks{r: r, byProcess: make(map[string][]*link.Conn)}
	r.newestLinks = r.links.newest
	r.local = &localLink{r}
	return r
}

// follow has the actor told of each change of what it depends on.
func (r *Runner) follow() {
	r.o.Submissions.OnChange(func(c ledger.SubmissionChange) { r.announce(changeMessage{c}) })
	r.o.Versions.OnChange(func() { r.offer(wakeMessage{}) })
	r.o.Directory.OnChange(func(v *directory.View) { r.announce(viewMessage{v}) })
}

// Lead tells the actor whether this process leads, and in which term.
func (r *Runner) Lead(leading bool, term uint64) {
	m := leadMessage{leading, term}
	r.lead.Store(&m)
	r.announce(m)
}

// offer sends a message to the actor and reports whether it was taken. If the mailbox is
// full, the message is dropped and counted.
func (r *Runner) offer(msg any) bool {
	if err := r.actor.Offer(msg); err != nil {
		r.metrics.lost.Inc()
		return false
	}
	return true
}

// announce is offer for a message whose content the actor can look up later.
func (r *Runner) announce(msg any) {
	if !r.offer(msg) {
		r.missed.Store(true)
	}
}

// catchUp looks up what the messages said that were dropped.
func (r *Runner) catchUp(now time.Time) {
	r.log.Warn("messages were dropped by a full mailbox; all submissions are looked at")
	if lead := r.lead.Load(); lead != nil && (lead.leading != r.leading || lead.term != r.term) {
		r.handleLead(now, *lead)
	}
	if !r.leading {
		return
	}
	r.updateEngines(now, r.o.Directory.View())
	open := make(map[string]bool)
	for _, o := range r.o.Submissions.Open() {
		open[o.Submission.ID] = true
		r.startJob(o)
	}
	for _, j := range slices.Clone(r.jobs) {
		if !open[j.sub.ID] {
			r.closeJob(j.sub.ID, "it has ended or all results are recorded")
		}
	}
}

// deliver sends a message that must not be lost, and retries until ctx ends.
func (r *Runner) deliver(ctx context.Context, msg any) {
	for r.actor.Offer(msg) == actor.ErrFull {
		select {
		case <-time.After(tickInterval):
		case <-ctx.Done():
			return
		}
	}
}

// Receive implements actor.Handler.
func (r *Runner) Receive(msg any) {
	now := time.Now()
	switch m := msg.(type) {
	case leadMessage:
		r.handleLead(now, m)
	case changeMessage:
		r.handleChange(m.change)
	case viewMessage:
		r.updateEngines(now, m.view)
	case reportMessage:
		if r.leading {
			r.handleReport(now, m)
		}
	case addEnd:
		r.handleAddEnd(now, m)
	case flushMessage:
		r.handleFlush(now, m)
	case reportEnd:
		r.handleReportEnd(now, m)
	case orderEnd:
		r.handleOrderEnd(now, m)
	case explainMessage:
		explanation, err := r.explainItem(now, m.submission, m.item)
		m.answer <- explainAnswer{explanation, err}
		return // it must not change anything, so nothing is scheduled
	case tickMessage:
		r.tick(now)
	}
	if r.leading {
		r.schedule(now)
		r.propose(now)
		r.flushOrders(now)
	}
}

func (r *Runner) handleLead(now time.Time, m leadMessage) {
	if r.leading {
		r.stop()
		r.jobs, r.queue = nil, queue{perToken: r.queue.perToken, perText: r.queue.perText, lengths: r.queue.lengths}
		r.additions = additions{}
		r.finishFlush()
	}
	r.leading, r.term = m.leading, m.term
	r.resetSpeeds()
	r.metrics.lag.Reset()
	if !m.leading {
		r.log.WithField("term", m.term).Info("stopped leading")
		return
	}
	r.ctx, r.stop = context.WithCancel(context.Background())
	r.attempts, r.adopted, r.carriers = 0, false, nil
	r.leadSince = now
	r.carriersCheckedAt = now
	r.assignedAt = time.Time{}
	r.engines, r.assignedModels, r.partial = nil, make(map[string]string), newPartials()
	r.demand = make(map[string]modelDemand)
	r.learnLags()
	r.updateEngines(now, r.o.Directory.View())
	r.updateRoutes()
	for _, open := range r.o.Submissions.Open() {
		r.addJob(open)
	}
	r.updateCarriers(now)
	r.log.WithFields(logrus.Fields{"term": m.term, "open": len(r.jobs), "engines": len(r.engines), "carriers": len(r.carriers)}).Info("leads")
}

func (r *Runner) addJob(open ledger.Open) {
	if !r.o.StepOrder {
		open.Again = nil
	}
	j := newJob(open, func(item string) bool {
		_, ok := r.o.Submissions.Finished(item)
		return ok || r.partial.has(item)
	})
	r.jobs = append(r.jobs, j)
	r.updateDemand(open.Submission)
	for _, t := range j.order {
		t.route = r.findRoute(t.job.sub.Host, t.item.Path)
		if earlier, ok := r.o.Submissions.Finished(t.item.ID); ok && r.reusable(t, earlier) {
			t.text = text{Text: carrier.Text{Parts: earlier.Parts, Versions: earlier.Versions}}
			r.scoreWhole(t)
			continue
		}
		r.resumeText(t)
		if t.state == taskPending {
			r.queue.add(t)
		}
	}
}

// resumeText continues an item with the text that is already known of it: from this
// submission under an earlier leader, or from a submission that has ended.
func (r *Runner) resumeText(t *task) {
	p := r.partial.take(t.item.ID, t.job.sub)
	if p == nil {
		kept, ok := r.o.Submissions.Partial(t.item.ID)
		if !ok {
			return
		}
		p = &partialText{text: textFromPartial(kept)}
		if !p.text.fits(t.job.sub) {
			return
		}
	}
	t.text = p.text
	r.log.WithFields(logrus.Fields{
		"submission": t.job.sub.ID, "item": t.item.ID, "events": t.text.length(), "versions": t.text.Versions, "complete": p.complete,
	}).Info("item goes on with an earlier text")
	if p.complete {
		r.scoreWhole(t)
	}
}

// reusable reports whether the task allows the text of an earlier submission.
func (r *Runner) reusable(t *task, earlier ledger.Result) bool {
	text := text{Text: carrier.Text{Versions: earlier.Versions}}
	return text.fits(t.job.sub)
}

func (r *Runner) handleChange(c ledger.SubmissionChange) {
	if !r.leading {
		return
	}
	switch {
	case c.Accepted != nil:
		for _, open := range r.o.Submissions.Open() {
			if open.Submission.ID == c.Accepted.ID {
				r.startJob(open)
			}
		}
	case c.Ended != "":
		r.closeJob(c.Ended, "ended by the client")
	}
}

// startJob begins with a submission unless that was done before.
func (r *Runner) startJob(open ledger.Open) {
	sub := open.Submission
	if r.job(sub.ID) != nil {
		return
	}
	r.addJob(open)
	r.observeStep(open)
	r.log.WithFields(logrus.Fields{
		"submission": sub.ID, "items": len(open.Remaining), "step": sub.Step, "model": sub.Model, "min_version": sub.MinVersion,
	}).Info("submission started")
}

func (r *Runner) job(id string) *job {
	for _, j := range r.jobs {
		if j.sub.ID == id {
			return j
		}
	}
	return nil
}

func (r *Runner) closeJob(id, why string) {
	j := r.job(id)
	if j == nil {
		return
	}
	now := time.Now()
	for _, t := range j.order {
		r.logUnfinished(t, now, why)
		if t.run != nil && t.run.reading {
			r.cancelRun(t, why)
			continue
		}
		r.partial.put(now, t.item.ID, t.text, t.whole)
		if t.run != nil {
			r.cancelRun(t, why)
			r.detach(t.run)
		}
	}
	j.closed = true
	r.queue.prune()
	r.jobs = slices.DeleteFunc(r.jobs, func(k *job) bool { return k == j })
	r.log.WithFields(logrus.Fields{"submission": id, "left": len(j.tasks)}).Info("submission is closed: " + why)
}

// scheduleInterval is the least time between two plans. Reports come in bursts, and a plan
// looks at all engines with free slots.
const scheduleInterval = 10 * time.Millisecond

// schedule starts the tasks and sends the orders that are possible now.
func (r *Runner) schedule(now time.Time) {
	if r.scheduleDeferred && now.Before(r.scheduledAt.Add(scheduleInterval)) {
		return
	}
	if wait := scheduleInterval - now.Sub(r.scheduledAt); wait > 0 {
		r.planAgain(wait)
		return
	}
	r.scheduledAt, r.scheduleDeferred = now, false
	if r.adopting(now) {
		return
	}
	r.updateAllowances()
	r.startPending(now)
	r.scheduleLoads(now)
}

// planAgain has the tasks planned again after a time.
func (r *Runner) planAgain(after time.Duration) {
	r.scheduleDeferred = true
	r.o.After(after, func() { r.offer(wakeMessage{}) })
}

// startPending starts the tasks that can be started now. By a list that is too old an engine
// would be used that has been leaving for long.
func (r *Runner) startPending(now time.Time) {
	if !r.o.Directory.Usable(now, true) {
		return
	}
	r.updateRoutes()
	placements := r.planPending(now)
	held := false
	for _, p := range placements {
		held = r.begin(now, p) || held
	}
	if held {
		r.planAgain(scheduleInterval)
	}
	if len(placements) > 0 {
		r.queue.prune()
	}
}

// tick checks everything that depends on the time and not on a message.
func (r *Runner) tick(now time.Time) {
	if r.missed.Swap(false) {
		r.catchUp(now)
	}
	if !r.leading {
		return
	}
	r.updateRoutes()
	r.updateCarriers(now)
	count := make(map[taskState]int)
	for _, j := range r.jobs {
		for _, t := range j.order {
			r.tickTask(now, t)
			count[t.state]++
		}
	}
	r.metrics.setOpenItems(count)
	running := r.running()
	r.sampleEventTimes(now, running)
	r.measureSpeeds(now, running)
	r.saveDueTexts(now, running)
	for _, m := range planMoves(now, running, r.engines, &r.queue.lengths) {
		r.move(m)
	}
	r.expire(now)
}

// move cancels a run that another engine is expected to end earlier. The task goes on from
// the queue, after the last event of its text.
func (r *Runner) move(m *move) {
	m.task.moves++
	r.log.WithFields(logrus.Fields{
		"submission": m.task.job.sub.ID, "item": m.task.item.ID, "engine": m.from.id, "event_us": m.from.eventTime.Microseconds(),
		"faster": m.to.id, "faster_event_us": m.to.eventTime.Microseconds(), "events_left": m.remaining, "saves_ms": m.saving.Milliseconds(),
	}).Info("item moves to a faster engine")
	r.cancelRun(m.task, "another engine is faster")
	m.task.group.unassign(m.from.id)
}

// running returns the tasks that run on engines.
func (r *Runner) running() []*task {
	var out []*task
	for _, j := range r.jobs {
		for _, t := range j.order {
			if t.state == taskRunning {
				out = append(out, t)
			}
		}
	}
	return out
}

func (r *Runner) tickTask(now time.Time, t *task) {
	switch t.state {
	case taskRunning:
		if limit := r.silenceLimitOf(now, t); t.run != nil && !t.cancelled() && t.run.idle(now) > limit {
			if e := r.engine(t.engine); e != nil {
				e.pause(now, pauseSilent)
			}
			r.cancelRun(t, "the engine sends no events")
			t.group.unassign(t.engine)
		}
	case taskScoring:
		switch {
		case t.run == nil && t.item.Reward == nil:
			r.record(t, t.text.result(t.item.ID, ""))
		case t.job.expired(now):
			r.giveUp(now, t, "the item TTL has expired before its reward call had a score")
		case t.run == nil:
			r.startScoring(now, t)
		}
	case taskPending:
		r.dropUnservableText(t)
		if t.job.expired(now) {
			r.giveUp(now, t, "the item TTL has expired")
		}
	}
}

// dropUnservableText drops a text that no engine can go on with: none of the services of its
// route has its software any more, or the single weight version that it must have. The item
// starts again from its prompt. Without a route it waits for one.
func (r *Runner) dropUnservableText(t *task) {
	if t.route == nil || t.text.length() == 0 || len(r.engines) == 0 || slices.ContainsFunc(r.engines, func(e *engine) bool { return e.mayContinue(t) }) {
		return
	}
	r.dropText(t, "no engine has its software and weight version any more")
}

// dropText drops the text of a task, which begins anew.
func (r *Runner) dropText(t *task, why string) {
	r.log.WithFields(logrus.Fields{
		"submission": t.job.sub.ID, "item": t.item.ID, "events": t.text.length(), "versions": t.text.Versions, "software": t.text.Software.String(),
	}).Info("dropping partial text: " + why)
	r.metrics.droppedEvents.Add(float64(t.text.length()))
	t.beginAnew()
}

func (r *Runner) expire(now time.Time) {
	if now.Before(r.nextExpiry) {
		return
	}
	r.nextExpiry = now.Add(expiryInterval)
	r.partial.expire(now)
	ids := r.o.Submissions.Expired(now, r.o.KeepResults+retentionMargin)
	if len(ids) == 0 {
		return
	}
	body, err := ledger.ForgetCommand(ids)
	if err != nil {
		r.log.Errorf("cannot encode expired submissions: %v", err)
		return
	}
	leadCtx := r.ctx
	r.o.Go(func() {
		ctx, cancel := context.WithTimeout(leadCtx, proposeTimeout)
		defer cancel()
		if err := r.o.Propose(ctx, body); err != nil {
			r.log.Warnf("cannot remove expired submissions yet: %v", err)
		}
	})
}
