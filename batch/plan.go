package batch

import (
	"cmp"
	"slices"
	"time"
)

const (
	// slowFactor is the multiple of the median time per event above which an engine is
	// avoided.
	slowFactor = 2.0
	// moveFactor is the multiple of the median time per event above which running items
	// are moved to another engine.
	moveFactor = 2.5
	// maxMoves bounds the moves of one item, so that engines whose speed changes do not
	// pass it back and forth.
	maxMoves = 3
	// eventTimeInterval is the time between two samples of the time per event of each run.
	// An engine generates several events of each run in it.
	eventTimeInterval = 400 * time.Millisecond
	// minMoveSaving is the least time that a move must save, because a move costs a new
	// connection. It is short compared with the few seconds in which a step is due.
	minMoveSaving = 500 * time.Millisecond
	// minEventTimeSamples is the number of samples needed before an engine is compared
	// with the others.
	minEventTimeSamples = 3
	// eventTimeMaxAge is how long the time per event of an engine is valid after its last
	// sample. An avoided engine yields no samples; after this time it gets work again and
	// is reassessed after minEventTimeSamples new samples.
	eventTimeMaxAge = 3 * time.Second
	// eventTimeWeight is the weight of one sample in an engine's moving average.
	eventTimeWeight = 0.2
)

// engine is the control leader's view of a model engine.
type engine struct {
	id        string
	address   string
	startedMs int64 // Unix ms of the start, 0 when unknown
	slots     int
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
	draining         bool
}

// observeEventTime adds a sample of the time per event of a run.
func (e *engine) observeEventTime(now time.Time, d time.Duration) {
	if now.Sub(e.eventTimeAt) > eventTimeMaxAge {
		e.eventTimeSamples, e.eventTime = 0, 0
	}
	e.eventTimeAt = now
	e.eventTimeSamples++
	if e.eventTime == 0 {
		e.eventTime = d
		return
	}
	e.eventTime += time.Duration(eventTimeWeight * float64(d-e.eventTime))
}

// freeSlots returns the number of runs that may start on the engine now.
func (e *engine) freeSlots(now time.Time) int {
	if e.draining || now.Before(e.pausedUntil) {
		return 0
	}
	return max(0, e.slots-e.running)
}

// unusedSlots returns the number of slots without a run. The fewer there are, the less a
// load of weights costs: runs continue during it, but new runs of the model cannot start.
func (e *engine) unusedSlots() int { return e.slots - e.running }

// canServe reports whether the engine may generate for the task now: its weight version is
// allowed and is not being replaced.
func (e *engine) canServe(t *task) bool {
	if e.load != nil && e.load.model == t.job.sub.Model {
		return false
	}
	return e.weightsFit(t)
}

// weightsFit reports whether the task allows the engine's weight version.
func (e *engine) weightsFit(t *task) bool {
	version, ok := e.versions[t.job.sub.Model]
	if !ok || version < t.job.sub.MinVersion {
		return false
	}
	if t.job.sub.SingleVersion && len(t.text.versions) > 0 {
		return slices.Contains(t.text.versions, version)
	}
	return true
}

// placement assigns a task to the engine on which it starts.
type placement struct {
	task   *task
	engine *engine
	reason string // why this engine, for the log
}

// plan selects the tasks to start now. pending must be in queue order and engines in a
// fixed order. The only state that it changes is the engine of each group.
func plan(now time.Time, pending []*task, engines []*engine) []placement {
	free := make(map[string]int, len(engines))
	total := 0
	for _, e := range engines {
		free[e.id] = e.freeSlots(now)
		total += free[e.id]
	}
	if total == 0 {
		return nil
	}
	p := &planner{now: now, engines: engines, free: free, median: medianEventTime(engines)}
	for _, t := range pending {
		if !now.Before(t.retryAt) && p.place(t) {
			if total--; total == 0 {
				break
			}
		}
	}
	return p.out
}

type planner struct {
	now     time.Time
	engines []*engine
	free    map[string]int
	median  time.Duration
	out     []placement
}

func (p *planner) place(t *task) bool {
	e, reason := p.choose(t)
	if e == nil {
		return false
	}
	if t.group.engine == "" {
		t.group.engine = e.id
	}
	p.free[e.id]--
	p.out = append(p.out, placement{t, e, reason})
	return true
}

// choose returns the engine on which the task starts, and why, for the log. It prefers the
// engine of the task's group if that can serve the task, is not slow and has a free slot,
// and otherwise takes the best one: processing a prompt again costs an engine about a
// millisecond, which is not worth waiting for.
func (p *planner) choose(t *task) (*engine, string) {
	groupEngine := p.byID(t.group.engine)
	if groupEngine != nil && groupEngine.canServe(t) && !p.slow(groupEngine, slowFactor) {
		if p.free[groupEngine.id] > 0 {
			return groupEngine, "group"
		}
		return p.best(t), "group's engine is full"
	}
	e := p.best(t)
	if e != nil {
		t.group.engine = e.id
	}
	return e, "least loaded"
}

// best returns the engine with the largest share of free slots of those that can serve the
// task. Slow engines come last; they are still better than waiting.
func (p *planner) best(t *task) *engine {
	var best *engine
	for _, e := range p.engines {
		if p.free[e.id] <= 0 || !e.canServe(t) {
			continue
		}
		if best == nil || p.preferred(e, best, t) {
			best = e
		}
	}
	return best
}

func (p *planner) preferred(a, b *engine, t *task) bool {
	if sa, sb := p.slow(a, slowFactor), p.slow(b, slowFactor); sa != sb {
		return sb
	}
	if fa, fb := p.free[a.id]*b.slots, p.free[b.id]*a.slots; fa != fb {
		return fa > fb
	}
	// Prefer the newer version: only engines assigned to the model load its new versions.
	return a.versions[t.job.sub.Model] > b.versions[t.job.sub.Model]
}

func (p *planner) slow(e *engine, factor float64) bool { return e.slow(p.now, p.median, factor) }

func (p *planner) byID(id string) *engine {
	for _, e := range p.engines {
		if e.id == id {
			return e
		}
	}
	return nil
}

// slow reports whether the time per event of the engine is known and exceeds factor times
// the median.
func (e *engine) slow(now time.Time, median time.Duration, factor float64) bool {
	return median > 0 && e.eventTimeSamples >= minEventTimeSamples && now.Sub(e.eventTimeAt) <= eventTimeMaxAge && float64(e.eventTime) > factor*float64(median)
}

// medianEventTime returns the median time per event of the engines, or 0 while too few are
// known.
func medianEventTime(engines []*engine) time.Duration {
	var all []time.Duration
	for _, e := range engines {
		if e.eventTimeSamples >= minEventTimeSamples && !e.draining {
			all = append(all, e.eventTime)
		}
	}
	if len(all) < 3 {
		return 0
	}
	slices.Sort(all)
	return all[(len(all)-1)/2]
}

// tasksToMove returns the running tasks that should be moved off their engine: it is much
// slower than the others, one of the others has a free slot for the task, and the remaining
// text is worth a new connection and processing the prompt again. perToken is the expected
// time per token; see queue.tokenTime.
func tasksToMove(now time.Time, tasks []*task, engines []*engine, perToken time.Duration) []*task {
	median := medianEventTime(engines)
	free := make(map[string]int, len(engines))
	for _, e := range engines {
		if !e.slow(now, median, slowFactor) {
			free[e.id] = e.freeSlots(now)
		}
	}
	var out []*task
	for _, t := range tasks {
		i := slices.IndexFunc(engines, func(e *engine) bool { return e.id == t.engine })
		if i < 0 || t.state != taskRunning || t.moves >= maxMoves || !engines[i].slow(now, median, moveFactor) {
			continue
		}
		slower := float64(engines[i].eventTime)/float64(median) - 1
		if time.Duration(float64(t.remainingTime(perToken, median))*slower) < minMoveSaving {
			continue
		}
		to := slices.IndexFunc(engines, func(e *engine) bool { return free[e.id] > 0 && e.canServe(t) })
		if to < 0 {
			continue
		}
		free[engines[to].id]--
		out = append(out, t)
	}
	return out
}

// remainingTime estimates how long the rest of the text takes on an engine with the given
// time per event. The result is at least half of the time that the current text took,
// because estimates of the length may be too low.
func (t *task) remainingTime(perToken, eventTime time.Duration) time.Duration {
	events := t.text.length()
	if t.run != nil {
		events += t.run.buffered()
	}
	passed := time.Duration(events) * eventTime
	return max(time.Duration(t.size)*perToken-passed, passed/2)
}

// sortEngines sorts engines by id, the order that plan expects.
func sortEngines(engines []*engine) {
	slices.SortFunc(engines, func(a, b *engine) int { return cmp.Compare(a.id, b.id) })
}
