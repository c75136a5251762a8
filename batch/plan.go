package batch

import (
	"cmp"
	"slices"
	"time"

	"merlinhall/wire"
)

const (
	// shortTextDivisor divides the time in which a step is due. A text that is expected to
	// take less than the result on an engine holds up no step there, so it may go to any.
	shortTextDivisor = 4
	// slowFactor is the multiple of the least time per event above which an engine gets no
	// short texts either, while another one has a free slot.
	slowFactor = 2.0
	// samePace is the ratio up to which two engines count as equally fast.
	samePace = 1.1
)

// engine is the control leader's view of a model engine.
type engine struct {
	id        string
	address   string
	startedMs int64 // Unix ms of the start, 0 when unknown
	slots     int
	software  wire.Software
	zone      string
	// versions holds the weight version of each model.
	versions           map[string]uint64
	versionsReportedAt time.Time // when the engine itself last reported versions
	running            int
	// pausedUntil is when the engine may get new runs again after a refusal or a lost
	// connection.
	pausedUntil      time.Time
	connectFailures  int           // consecutive connections that the engine did not accept
	load             *load         // weight load that was ordered and has not ended
	reportPending    bool          // a report was requested and has not arrived
	eventTime        time.Duration // moving average of the time per event
	eventTimeSamples int           // number of samples in eventTime
	eventTimeAt      time.Time     // time of the last sample
	speed            float64       // relative to the median of the service, 0 if it is not used
	draining         bool
	limited          bool    // names a limit on the requests of all processes
	perSecond        float64 // with limited: the limit
	allowance        int     // with limited: requests that it may get now
	orderWaits       bool    // an order waits for its turn, so no run takes it
}

// pause keeps new runs off the engine for at least the given time.
func (e *engine) pause(now time.Time, d time.Duration) {
	if until := now.Add(d); until.After(e.pausedUntil) {
		e.pausedUntil = until
	}
}

// freeSlots returns the number of runs that may start on the engine now.
func (e *engine) freeSlots(now time.Time) int {
	if e.draining || now.Before(e.pausedUntil) {
		return 0
	}
	free := max(0, e.slots-e.running)
	switch {
	case !e.limited:
		return free
	case e.orderWaits:
		return 0
	}
	return min(free, e.allowance)
}

// unusedSlots returns the number of slots without a run. The fewer there are, the less a
// load of weights costs: runs continue during it, but new runs of the model cannot start.
func (e *engine) unusedSlots() int { return e.slots - e.running }

// servesRoute reports whether the route in force lets the task go to the engine's service.
func (e *engine) servesRoute(t *task) bool {
	return t.route != nil && t.route.Serves(e.software.Service)
}

// canServe reports whether the engine may go on with the text of the task now, or begin one.
func (e *engine) canServe(t *task) bool { return e.continues(&t.text) && e.canRun(t, &t.text) }

// canBegin reports whether the engine may begin a new text for the task now.
func (e *engine) canBegin(t *task) bool { return e.canRun(t, &text{}) }

// continues reports whether the engine's software can go on with a text.
func (e *engine) continues(t *text) bool {
	return t.length() == 0 || t.Software.Known() && t.Software == e.software
}

// mayContinue reports whether the engine can go on with the text of the task, now or later.
func (e *engine) mayContinue(t *task) bool {
	if e.draining || !e.continues(&t.text) || !e.servesRoute(t) {
		return false
	}
	single := t.job.sub.SingleVersion && len(t.text.Versions) > 0
	return !single || e.versions[t.job.sub.Model] == t.text.Versions[0]
}

// canRun reports whether the task may go to the engine, whose weight version is allowed for
// further events of a text of the task and is not being replaced.
func (e *engine) canRun(t *task, have *text) bool {
	if !e.servesRoute(t) || e.load != nil && e.load.model == t.job.sub.Model {
		return false
	}
	return e.weightsFit(t, have)
}

// weightsFit reports whether the task allows the engine's weight version for further events of a
// text.
func (e *engine) weightsFit(t *task, have *text) bool {
	version, ok := e.versions[t.job.sub.Model]
	if !ok || version < t.job.sub.MinVersion {
		return false
	}
	if t.job.sub.SingleVersion && len(have.Versions) > 0 {
		return slices.Contains(have.Versions, version)
	}
	return true
}

// placement assigns a task to the engine on which it starts.
type placement struct {
	task   *task
	engine *engine
	reason string // why this engine, for the log
	anew   bool   // the text so far is dropped
}

// plan selects the tasks to start now. pending must be in queue order and engines in a
// fixed order. The only state that it changes is the engine of each group and since when tasks
// wait.
func plan(now time.Time, pending []*task, engines []*engine, l *lengths) []placement {
	return planWith(now, pending, engines, l, nil)
}

// planWith is plan with the texts that run on each engine, by which long texts are placed apart.
// runs may be nil.
func planWith(now time.Time, pending []*task, engines []*engine, l *lengths, runs engineRuns) []placement {
	p := newPlanner(now, engines, l)
	p.runs = runs
	total := 0
	for _, e := range p.open {
		total += e.free
	}
	for _, t := range pending {
		if total == 0 {
			break
		}
		if !now.Before(t.retryAt) && p.place(t) {
			total--
		}
	}
	return p.out
}

// openEngine is an engine that had free slots when planning began.
type openEngine struct {
	*engine
	free int
	pace time.Duration // expected time per event
}

type planner struct {
	now     time.Time
	median  time.Duration // time per event of the engines
	open    []*openEngine
	lengths *lengths
	runs    engineRuns
	out     []placement
}

func newPlanner(now time.Time, engines []*engine, l *lengths) *planner {
	median := medianEventTime(engines)
	p := &planner{now: now, median: median, lengths: l}
	for _, e := range engines {
		if free := e.freeSlots(now); free > 0 {
			p.open = append(p.open, &openEngine{engine: e, free: free, pace: e.pace(now, median)})
		}
	}
	return p
}

func (p *planner) place(t *task) bool {
	anew := false
	e, reason := p.choose(t, p.able(t, (*engine).canServe))
	if e == nil && t.waitedEnough(p.now, p.median) {
		e, reason = p.choose(t, p.able(t, (*engine).canBegin))
		anew = true
	}
	if e == nil {
		return false
	}
	if t.group.engine == "" {
		t.group.engine = e.id
	}
	e.free--
	p.runs.add(e.id, t, p.lengths)
	p.out = append(p.out, placement{task: t, engine: e.engine, reason: reason, anew: anew})
	return true
}

// choose returns which of the engines the task starts on, and why, for the log. A step is as
// slow as its last text, so a long text goes to one of the fastest engines, and to the one
// with the largest share of free slots of these. A short text goes to the engine of its
// group, which has processed the prompt, or to the one with the largest share of free slots.
func (p *planner) choose(t *task, able []*openEngine) (*openEngine, string) {
	if len(able) == 0 {
		return nil, ""
	}
	if p.runs != nil {
		return p.chooseApart(t, able)
	}
	if short := p.endingSoon(t, able); len(short) > 0 {
		for _, e := range short {
			if e.id == t.group.engine {
				return e, "group"
			}
		}
		return freest(t, short), "least loaded"
	}
	return freest(t, within(able, samePace)), "fastest"
}

// able returns the engines with a free slot that can serve the task.
func (p *planner) able(t *task, can func(*engine, *task) bool) []*openEngine {
	var able []*openEngine
	for _, e := range p.open {
		if e.free > 0 && can(e.engine, t) {
			able = append(able, e)
		}
	}
	return able
}

// endingSoon returns the engines on which the task is expected to take less than a small
// part of the time in which its step is due.
func (p *planner) endingSoon(t *task, engines []*openEngine) []*openEngine {
	left := time.Duration(p.lengths.remainingEvents(t))
	return slices.DeleteFunc(within(engines, slowFactor), func(e *openEngine) bool {
		return left*e.pace >= t.job.sub.Due/shortTextDivisor
	})
}

// within returns the engines whose time per event is up to factor times the least one.
func within(engines []*openEngine, factor float64) []*openEngine {
	least := engines[0].pace
	for _, e := range engines {
		least = min(least, e.pace)
	}
	return slices.DeleteFunc(slices.Clone(engines), func(e *openEngine) bool {
		return float64(e.pace) > factor*float64(least)
	})
}

// freest returns the engine with the largest share of free slots.
func freest(t *task, engines []*openEngine) *openEngine {
	best := engines[0]
	for _, e := range engines[1:] {
		a, b := e.free*best.slots, best.free*e.slots
		// Prefer the newer version: only engines assigned to the model load its new versions.
		if a > b || a == b && e.versions[t.job.sub.Model] > best.versions[t.job.sub.Model] {
			best = e
		}
	}
	return best
}

// sortEngines sorts engines by id, the order that plan expects.
func sortEngines(engines []*engine) {
	slices.SortFunc(engines, func(a, b *engine) int { return cmp.Compare(a.id, b.id) })
}
