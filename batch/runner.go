package batch

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"merlinhall/directory"
	"merlinhall/duty"
	"merlinhall/forward"
	"merlinhall/ledger"
	"merlinhall/observe"
	"merlinhall/routes"
	"merlinhall/upstream"
	"merlinhall/wire"
)

const (
	// mailboxCapacity bounds waiting messages: a few for each item that runs.
	mailboxCapacity = 16384
	// tickPeriod is how often silent runs, loads and late items are looked for.
	tickPeriod = 50 * time.Millisecond
	// silenceLimit is the time without an event after which a run is taken from
	// its engine; events come each 40 to 250 ms.
	silenceLimit = 900 * time.Millisecond
	// silenceInLoad is the same while the engine takes new weights, which stops
	// its runs.
	silenceInLoad = 4 * time.Second
	// pauseRefused keeps new runs from an engine that refused one.
	pauseRefused = 100 * time.Millisecond
	// pauseUnreached keeps new runs from an engine that takes no connections. It
	// doubles with each further failure up to pauseMost, so that a crashed engine
	// costs few attempts and one that is back is used within seconds.
	pauseUnreached = 250 * time.Millisecond
	pauseMost      = 2 * time.Second
	// pauseBroken keeps new runs from an engine that broke one off.
	pauseBroken = 500 * time.Millisecond
	// pauseSilent keeps new runs from an engine that went silent.
	pauseSilent = 2 * time.Second
	// retryFailed is the wait before an item that failed runs again.
	retryFailed = 50 * time.Millisecond
	// proposeLimit bounds the wait for a result to be listed.
	proposeLimit = 3 * time.Second
	// keepMargin is added to the time for which results must stay readable.
	keepMargin = 15 * time.Second
	// expiryPeriod is how often expired submissions are looked for.
	expiryPeriod = 5 * time.Second
	// exchangeLimit bounds a report or an order of an engine.
	exchangeLimit = time.Second
)

// Options configures a Runner.
type Options struct {
	Name        string // of this host, as holder of orders
	Process     string // name of this process
	Boot        string // differs between two runs of it
	Submissions *ledger.Submissions
	Versions    *ledger.Versions
	Manifests   *ledger.Manifests
	Directory   *directory.Directory
	Pool        *upstream.Pool
	Forwarder   *forward.Forwarder
	Protocol    Protocol
	// Propose commits a command of the submissions slice.
	Propose func(ctx context.Context, body []byte) error
	Holder  *ledger.Holder
	// ProposeHolder commits a command of the holder slice.
	ProposeHolder func(ctx context.Context, body []byte) error
	// Gone reports whether that run of a control process does not answer this
	// leader or has ended.
	Gone func(process, boot string) bool
	// OrderHold is how long a new leader waits before its first order, so that
	// the orders of two leaders do not interleave. FencesChecked tells that the
	// engines refuse the orders of a superseded one.
	OrderHold     time.Duration
	FencesChecked bool
	// Keep is how long results stay readable after the submission.
	Keep     time.Duration
	System   *duty.System
	Observer *observe.Observer
}

// Runner is the duty that runs the items of open submissions while this process
// leads.
type Runner struct {
	o       Options
	log     *logrus.Entry
	duty    *duty.Duty
	metrics *metrics

	leading   bool
	term      uint64
	leadSince time.Time
	// superseded is set when an engine has seen a higher fence than this term's.
	superseded bool
	holding    holding
	holds      bool            // this process may give orders
	naming     bool            // it is being named as their holder
	ctx        context.Context // of the leadership
	stop       context.CancelFunc

	jobs    []*job // oldest first
	queue   queue
	partial *partials
	engines []*engine
	homes   map[string][]string // models of each engine, see homes
	// demand is the mean size of a submission by model, in tokens.
	demand map[string]float64
	expiry time.Time
	paced  time.Time // when the pace of the engines was last looked at
	saved  time.Time // when texts were last given to the ledger
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
	scoreEnd      struct {
		task     *task
		score    string
		failures int
		most     int // failures after which the item has failed
		reason   string
	}
	listEnd struct {
		task *task
		err  error
	}
)

// Start runs the duty. It does nothing until Lead tells that this process leads.
func Start(o Options) *Runner {
	r := &Runner{o: o, log: o.Observer.Logger("batch"), homes: make(map[string][]string), metrics: newMetrics(o.Observer.Registry)}
	r.holding = holding{hold: o.OrderHold, fencesChecked: o.FencesChecked, self: o.Process}
	r.duty = o.System.Start("batch", mailboxCapacity, r)
	o.Submissions.OnChange(func(c ledger.SubmissionChange) { r.offer(changeMessage{c}) })
	o.Versions.OnChange(func() { r.offer(wakeMessage{}) })
	o.Directory.OnChange(func(v *directory.View) { r.offer(viewMessage{v}) })
	r.duty.NewPace(tickPeriod, tickMessage{}).Start()
	return r
}

// Lead tells whether this process leads.
func (r *Runner) Lead(leading bool, term uint64) { r.offer(leadMessage{leading, term}) }

// offer hands a message to the duty. A full mailbox loses only hints: the state
// is read again at each tick.
func (r *Runner) offer(msg any) {
	if err := r.duty.Offer(msg); err != nil {
		r.metrics.lost.Inc()
	}
}

// deliver hands over a message that must not be lost while ctx lasts.
func (r *Runner) deliver(ctx context.Context, msg any) {
	for r.duty.Offer(msg) == duty.ErrFull {
		select {
		case <-time.After(tickPeriod):
		case <-ctx.Done():
			return
		}
	}
}

// Receive implements duty.Handler.
func (r *Runner) Receive(msg any) {
	now := time.Now()
	switch m := msg.(type) {
	case leadMessage:
		r.lead(now, m)
	case changeMessage:
		r.change(m.change)
	case viewMessage:
		r.takeView(now, m.view)
	case runEnd:
		r.endRun(now, m)
	case scoreEnd:
		r.endScore(now, m)
	case listEnd:
		r.endList(now, m)
	case holderEnd:
		r.endHolder(m)
	case saveEnd:
		r.endSave(m)
	case reportEnd:
		r.endReport(now, m)
	case orderEnd:
		r.endOrder(now, m)
	case tickMessage:
		r.tick(now)
	}
	if r.leading {
		r.schedule(now)
	}
}

func (r *Runner) lead(now time.Time, m leadMessage) {
	if r.leading {
		r.stop()
		r.jobs, r.queue = nil, queue{perToken: r.queue.perToken}
		for _, e := range r.engines {
			e.running, e.load = 0, nil
		}
	}
	r.leading, r.term = m.leading, m.term
	if !m.leading {
		r.log.WithField("term", m.term).Info("stopped leading")
		return
	}
	r.ctx, r.stop = context.WithCancel(context.Background())
	r.leadSince, r.superseded, r.holds, r.naming = now, false, false, false
	r.engines, r.homes, r.partial = nil, make(map[string][]string), newPartials()
	r.demand = make(map[string]float64)
	r.takeView(now, r.o.Directory.View())
	for _, open := range r.o.Submissions.Open() {
		r.addJob(open)
	}
	r.log.WithFields(logrus.Fields{"term": m.term, "open": len(r.jobs), "engines": len(r.engines)}).Info("leads")
}

func (r *Runner) addJob(open ledger.Open) {
	j := newJob(open, func(item string) bool {
		_, ok := r.o.Submissions.Finished(item)
		return ok || r.partial.has(item)
	})
	r.jobs = append(r.jobs, j)
	r.noteDemand(open.Submission)
	now := time.Now()
	for _, t := range j.tasks {
		t.since = now
		if earlier, ok := r.o.Submissions.Finished(t.item.ID); ok && r.reusable(t, earlier) {
			t.text = text{parts: earlier.Parts, versions: earlier.Versions}
			r.score(t)
			continue
		}
		r.resume(t)
		if t.state == taskPending {
			r.queue.add(t)
		}
	}
}

// resume goes on with what is held of the item's text, from this submission under
// an earlier leader or from one that has ended.
func (r *Runner) resume(t *task) {
	p := r.partial.take(t.item.ID, t.job.sub)
	if p == nil {
		kept, ok := r.o.Submissions.Partial(t.item.ID)
		if !ok {
			return
		}
		p = &partialText{text: fromPartial(kept)}
		if !p.text.fits(t.job.sub) {
			return
		}
	}
	t.text = p.text
	r.log.WithFields(logrus.Fields{
		"submission": t.job.sub.ID, "item": t.item.ID, "events": t.text.length(), "versions": t.text.versions, "complete": p.complete,
	}).Info("item goes on with an earlier text")
	if p.complete {
		r.score(t)
	}
}

// reusable reports whether the text of an earlier submission fits the task.
func (r *Runner) reusable(t *task, earlier ledger.Result) bool {
	text := text{versions: earlier.Versions}
	return text.fits(t.job.sub)
}

func (r *Runner) change(c ledger.SubmissionChange) {
	if !r.leading {
		return
	}
	switch {
	case c.Accepted != nil:
		for _, open := range r.o.Submissions.Open() {
			if open.Submission.ID == c.Accepted.ID && r.job(c.Accepted.ID) == nil {
				r.addJob(open)
				r.log.WithFields(logrus.Fields{
					"submission": c.Accepted.ID, "items": len(open.Left), "step": c.Accepted.Step,
					"model": c.Accepted.Model, "min_version": c.Accepted.MinVersion,
				}).Info("submission begins")
			}
		}
	case c.Ended != "":
		r.endJob(c.Ended, "ended by the client")
	}
}

func (r *Runner) job(id string) *job {
	for _, j := range r.jobs {
		if j.sub.ID == id {
			return j
		}
	}
	return nil
}

func (r *Runner) endJob(id, why string) {
	j := r.job(id)
	if j == nil {
		return
	}
	now := time.Now()
	for _, t := range j.tasks {
		r.logLeft(t, now, why)
		if t.run != nil {
			t.run.why = why
			t.run.cancel()
			continue
		}
		r.partial.keep(now, t.item.ID, t.text, t.state == taskScoring)
	}
	j.closed = true
	r.queue.clean()
	r.jobs = slices.DeleteFunc(r.jobs, func(k *job) bool { return k == j })
	r.log.WithFields(logrus.Fields{"submission": id, "left": len(j.tasks)}).Info("submission is closed: " + why)
}

// takeView brings the engines in line with the list of targets.
func (r *Runner) takeView(now time.Time, v *directory.View) {
	known := make(map[string]*engine, len(r.engines))
	for _, e := range r.engines {
		known[e.id] = e
	}
	r.engines = r.engines[:0:0]
	for i := range v.Targets {
		t := &v.Targets[i]
		if len(t.Models) == 0 {
			continue
		}
		e := known[t.ID]
		if e == nil || t.Born != 0 && e.born != 0 && e.born != t.Born || e.address != t.Address {
			e = &engine{id: t.ID, zone: t.Zone, address: t.Address, born: t.Born, versions: make(map[string]uint64)}
		}
		e.draining = t.Draining
		e.slots = r.slotsOf(t)
		r.listed(now, e, t)
		r.engines = append(r.engines, e)
		known[t.ID] = e
	}
	sortEngines(r.engines)
	r.dropRuns(known)
}

// listLag is how long the list may still show a version that the engine has left.
const listLag = 4 * time.Second

// listed takes the versions of the list where the engine itself was not asked
// recently.
func (r *Runner) listed(now time.Time, e *engine, t *wire.TargetEntry) {
	if now.Sub(e.checked) < listLag || e.load != nil {
		return
	}
	for _, m := range t.Models {
		e.versions[m.Model] = m.Version
	}
}

// defaultSlots is used for an engine whose slots neither the list nor the manifest
// tells.
const defaultSlots = 8

func (r *Runner) slotsOf(t *wire.TargetEntry) int {
	if t.Slots > 0 {
		return t.Slots
	}
	if table := r.o.Manifests.Table(); table != nil {
		if s := table.Service(t.Service); s != nil && s.Slots > 0 {
			return s.Slots
		}
	}
	return defaultSlots
}

// dropRuns cancels the runs on engines that are gone or have started again.
func (r *Runner) dropRuns(now map[string]*engine) {
	current := make(map[string]*engine, len(r.engines))
	for _, e := range r.engines {
		current[e.id] = e
	}
	for _, j := range r.jobs {
		for _, t := range j.tasks {
			if t.run == nil {
				continue
			}
			if e := current[t.run.engine]; e == nil || e.born != t.run.born {
				t.run.why = "the engine is gone"
				t.run.cancel()
			}
		}
	}
}

func (r *Runner) engine(id string) *engine {
	for _, e := range r.engines {
		if e.id == id {
			return e
		}
	}
	return nil
}

// schedule begins what can begin now.
func (r *Runner) schedule(now time.Time) {
	placements := plan(now, r.queue.tasks, r.engines)
	for _, p := range placements {
		r.begin(now, p)
	}
	if len(placements) > 0 {
		r.queue.clean()
	}
	r.scheduleLoads(now)
}

func (r *Runner) begin(now time.Time, p placement) {
	t, e := p.task, p.engine
	table := r.o.Manifests.Table()
	if table == nil {
		return
	}
	route := table.Find(t.job.sub.Host, t.item.Path)
	if route == nil || !slices.ContainsFunc(route.Shares, func(s routes.Share) bool { return s.Service == r.serviceOf(e) }) {
		t.tryAt = now.Add(retryFailed)
		return
	}
	ctx, cancel := context.WithCancel(r.ctx)
	lastEvent := t.text.length()
	version := e.versions[t.job.sub.Model]
	run := &run{task: t, engine: e.id, born: e.born, began: now, cancel: cancel, version: version}
	t.state, t.engine, t.run = taskRunning, e.id, run
	t.runs++
	if t.begun.IsZero() {
		t.begun = now
	}
	e.running++
	request := &upstream.Request{
		ID:     t.item.ID,
		Method: http.MethodPost,
		URI:    t.item.Path,
		Host:   t.job.sub.Host,
		Header: slices.Concat(t.item.Headers, r.o.Protocol.ItemHeaders(t.item.ID, e.id, version, lastEvent)),
		Body:   t.item.Body,
	}
	to := upstream.Address{HostPort: e.address, ID: e.id}
	least, lead := t.job.sub.MinVersion, r.ctx
	go func() {
		end := generate(ctx, r.o.Pool, r.o.Protocol, to, request, run, lastEvent+1, least)
		cancel()
		r.deliver(lead, end)
	}()
}

func (r *Runner) serviceOf(e *engine) string {
	if t := r.o.Directory.View().Target(e.id); t != nil {
		return t.Service
	}
	return ""
}

// endRun takes the end of a run.
func (r *Runner) endRun(now time.Time, m runEnd) {
	t := m.run.task
	e := r.engine(m.run.engine)
	if t.run != m.run {
		return // of a former leadership
	}
	t.run = nil
	if e != nil && e.born == m.run.born {
		e.running--
		r.judge(now, e, m)
	}
	if m.run.count.Load() > 0 {
		t.ran += now.Sub(m.run.began)
	}
	t.text.add(m.run.take())
	if r.job(t.job.sub.ID) != t.job {
		r.partial.keep(now, t.item.ID, t.text, m.outcome == runComplete)
		return
	}
	r.metrics.runs.WithLabelValues(string(m.outcome)).Inc()
	r.logRun(now, m)
	if m.outcome != runComplete {
		t.group.leave(m.run.engine)
	}
	switch m.outcome {
	case runComplete:
		t.texted = now
		r.queue.measure(t.size, t.ran)
		r.score(t)
	case runImpossible:
		r.list(t, ledger.Result{Item: t.item.ID, Failed: true}, "the engine will never do it")
	case runFailed:
		t.failures++
		if t.failures >= max(1, t.job.sub.MaxAttempts) {
			r.list(t, ledger.Result{Item: t.item.ID, Failed: true}, "the engine failed it too often")
			return
		}
		t.state, t.tryAt = taskPending, now.Add(retryFailed)
		r.queue.add(t)
	default:
		t.state = taskPending
		r.queue.add(t)
	}
}

func (r *Runner) logRun(now time.Time, m runEnd) {
	t := m.run.task
	entry := r.log.WithFields(logrus.Fields{
		"submission": t.job.sub.ID, "item": t.item.ID, "engine": m.run.engine, "outcome": m.outcome,
		"events": t.text.length(), "version": m.current, "ms": now.Sub(m.run.began).Milliseconds(),
	})
	if m.outcome == runComplete {
		entry.Debug("run ended")
		return
	}
	entry.WithFields(logrus.Fields{"why": m.run.why, "error": errorText(m.err)}).Info("run ended early")
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// judge takes what the end of a run shows of its engine.
func (r *Runner) judge(now time.Time, e *engine, m runEnd) {
	if m.reached {
		e.unreached = 0
	}
	if model := m.run.task.job.sub.Model; m.current != 0 && (e.load == nil || e.load.model != model) {
		e.versions[m.run.task.job.sub.Model] = m.current
		e.checked = now
	}
	switch m.outcome {
	case runNotRun:
		if !m.reached {
			e.unreached++
			e.pausedUntil = now.Add(min(pauseUnreached<<min(e.unreached-1, 8), pauseMost))
			return
		}
		e.pausedUntil = now.Add(pauseRefused)
	case runWrongPlace, runOldWeights:
		e.pausedUntil = now.Add(pauseBroken)
		r.ask(now, e)
	case runBroken:
		if m.run.why == "" {
			e.pausedUntil = now.Add(pauseBroken)
		}
	}
}

// pace takes the time per event of the runs on each engine since the last look.
// Runs whose first event has not come say nothing: they may wait for a load.
func (r *Runner) pace(now time.Time, running []*task) {
	if now.Sub(r.paced) < pacePeriod {
		return
	}
	passed := now.Sub(r.paced)
	r.paced = now
	for _, t := range running {
		n := t.run.count.Load()
		before := t.run.seen
		t.run.seen = n
		e := r.engine(t.engine)
		if before == 0 || e == nil || e.load != nil {
			continue
		}
		e.observe(passed / time.Duration(max(1, n-before)))
	}
}

// score has a complete text scored, or lists it when there is nothing to call.
func (r *Runner) score(t *task) {
	t.state = taskScoring
	if t.item.Reward == nil {
		r.list(t, r.result(t, ""), "")
		return
	}
	lead := r.ctx
	go func() { r.deliver(lead, r.callReward(lead, t)) }()
}

// result returns the result of a complete text. While a part of it is on its way
// to the ledger it is not known how much that holds.
func (r *Runner) result(t *task, score string) ledger.Result {
	known := t.text
	known.held = known.held && !t.saving
	return known.result(t.item.ID, score)
}

// rewardLimit bounds a reward call whose route allows more.
const rewardLimit = 3 * time.Second

func (r *Runner) callReward(ctx context.Context, t *task) scoreEnd {
	reward := t.item.Reward
	end := scoreEnd{task: t}
	table := r.o.Manifests.Table()
	var route *routes.Route
	if table != nil {
		route = table.Find(reward.Host, reward.Path)
	}
	if route == nil {
		end.reason = "no route to the reward service"
		return end
	}
	result := r.o.Forwarder.Do(ctx, &forward.Request{
		Request: upstream.Request{
			ID: reward.ID, Method: http.MethodPost, URI: reward.Path, Host: reward.Host, Body: reward.Body,
			Header: r.o.Protocol.RewardHeaders(reward.ID),
		},
		Route:    route,
		Patient:  true,
		Deadline: time.Now().Add(min(route.Timeout, rewardLimit)),
	})
	end.failures, end.most, end.reason = result.Failures, max(1, route.MaxAttempts), result.Reason
	if result.Outcome == forward.OutcomeAnswered && result.Status >= 200 && result.Status < 300 {
		end.score = r.o.Protocol.Score(result.Header)
	} else if result.Outcome == forward.OutcomeAnswered {
		end.reason = http.StatusText(result.Status)
	}
	return end
}

func (r *Runner) endScore(now time.Time, m scoreEnd) {
	t := m.task
	if r.job(t.job.sub.ID) != t.job || t.state != taskScoring {
		return
	}
	if m.score != "" {
		r.list(t, r.result(t, m.score), "")
		return
	}
	t.rewardFailures += m.failures
	r.log.WithFields(logrus.Fields{
		"submission": t.job.sub.ID, "item": t.item.ID, "failures": t.rewardFailures, "reason": m.reason,
	}).Info("reward call has no score")
	if m.most > 0 && t.rewardFailures >= m.most {
		r.list(t, ledger.Result{Item: t.item.ID, Failed: true}, "the reward call failed too often")
		return
	}
	t.tryAt = now.Add(retryReward)
}

// retryReward is the wait before a reward call without a score is sent again.
const retryReward = 200 * time.Millisecond

// list proposes the result of a task.
func (r *Runner) list(t *task, result ledger.Result, why string) {
	t.state = taskListing
	t.result = &result
	if why != "" {
		r.log.WithFields(logrus.Fields{"submission": t.job.sub.ID, "item": t.item.ID}).Info("item is given up: " + why)
	}
	body, err := ledger.ListCommand(t.job.sub.ID, result)
	if err != nil {
		r.log.WithField("item", t.item.ID).Errorf("result cannot be encoded: %v", err)
		return
	}
	lead := r.ctx
	go func() {
		ctx, cancel := context.WithTimeout(lead, proposeLimit)
		defer cancel()
		err := r.o.Propose(ctx, body)
		r.deliver(lead, listEnd{t, err})
	}()
}

func (r *Runner) endList(now time.Time, m listEnd) {
	t := m.task
	j := r.job(t.job.sub.ID)
	if j != t.job || t.state != taskListing {
		return
	}
	if m.err != nil {
		if errors.Is(m.err, ledger.ErrNotHeld) {
			t.text.held = false
			whole := t.text.result(t.item.ID, t.result.Score)
			t.result = &whole
		}
		r.log.WithFields(logrus.Fields{"submission": j.sub.ID, "item": t.item.ID}).Warnf("result is proposed again: %v", m.err)
		t.tryAt = now.Add(retryReward)
		t.unlisted = true
		return
	}
	r.metrics.listed(t, now)
	r.logListed(t, now)
	delete(j.tasks, t.item.ID)
	if len(j.tasks) == 0 {
		r.endJob(j.sub.ID, "all results are listed")
	}
}

// logLeft tells how far an item without a result was when its submission closed.
func (r *Runner) logLeft(t *task, now time.Time, why string) {
	fields := logrus.Fields{
		"submission": t.job.sub.ID, "item": t.item.ID, "group": t.group.name, "engine": t.engine, "state": t.state.String(),
		"events": t.text.length(), "runs": t.runs, "moves": t.moves, "size": t.size, "urgent": t.group.urgent,
		"reward_failures": t.rewardFailures, "age_ms": now.Sub(t.job.since).Milliseconds(),
	}
	if t.run != nil {
		fields["run_ms"] = now.Sub(t.run.began).Milliseconds()
		fields["run_events"] = t.run.count.Load()
		fields["idle_ms"] = t.run.idle(now).Milliseconds()
	}
	r.log.WithFields(fields).Info("item is left: " + why)
}

func (r *Runner) logListed(t *task, now time.Time) {
	since := func(at time.Time) int64 {
		if at.IsZero() {
			return -1
		}
		return at.Sub(t.job.since).Milliseconds()
	}
	r.log.WithFields(logrus.Fields{
		"submission": t.job.sub.ID, "item": t.item.ID, "group": t.group.name, "engine": t.engine, "failed": t.result.Failed,
		"versions": t.text.versions, "events": t.text.length(), "runs": t.runs, "moves": t.moves, "size": t.size, "urgent": t.group.urgent,
		"begun_ms": since(t.begun), "text_ms": since(t.texted), "listed_ms": since(now),
	}).Info("item is listed")
}

// tick looks for what no message tells.
func (r *Runner) tick(now time.Time) {
	if !r.leading {
		return
	}
	var running []*task
	for _, j := range r.jobs {
		for _, t := range j.tasks {
			r.tickTask(now, t)
			if t.state == taskRunning {
				running = append(running, t)
			}
		}
	}
	r.pace(now, running)
	r.saveTexts(now, running)
	for _, t := range moves(now, running, r.engines) {
		t.moves++
		r.cancelRun(t, "the engine is slow")
		t.group.leave(t.engine)
	}
	r.expire(now)
}

func (r *Runner) tickTask(now time.Time, t *task) {
	switch t.state {
	case taskRunning:
		if limit := r.silence(t); t.run != nil && t.run.why == "" && t.run.idle(now) > limit {
			if e := r.engine(t.engine); e != nil {
				e.pausedUntil = now.Add(pauseSilent)
			}
			r.cancelRun(t, "the engine is silent")
			t.group.leave(t.engine)
		}
	case taskScoring:
		if !t.tryAt.IsZero() && !now.Before(t.tryAt) {
			t.tryAt = time.Time{}
			r.score(t)
		}
	case taskListing:
		if t.unlisted && !now.Before(t.tryAt) {
			t.unlisted = false
			r.list(t, *t.result, "")
		}
	case taskPending:
		if !t.job.giveUp.IsZero() && now.After(t.job.giveUp) {
			r.list(t, ledger.Result{Item: t.item.ID, Failed: true}, "its time is over")
		}
	}
}

func (r *Runner) silence(t *task) time.Duration {
	e := r.engine(t.engine)
	if e != nil && (e.load != nil || time.Since(e.checked) < silenceLimit) {
		return silenceInLoad
	}
	return silenceLimit
}

func (r *Runner) cancelRun(t *task, why string) {
	t.run.why = why
	t.run.cancel()
}

func (r *Runner) expire(now time.Time) {
	if now.Before(r.expiry) {
		return
	}
	r.expiry = now.Add(expiryPeriod)
	ids := r.o.Submissions.Expired(now, r.o.Keep+keepMargin)
	if len(ids) == 0 {
		return
	}
	body, err := ledger.ForgetCommand(ids)
	if err != nil {
		r.log.Errorf("expired submissions cannot be encoded: %v", err)
		return
	}
	lead := r.ctx
	go func() {
		ctx, cancel := context.WithTimeout(lead, proposeLimit)
		defer cancel()
		if err := r.o.Propose(ctx, body); err != nil {
			r.log.Warnf("expired submissions are kept for now: %v", err)
		}
	}()
}
