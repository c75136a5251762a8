package batch

import (
	"cmp"
	"slices"
	"time"
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
func plan(now time.Time, pending []*task, engines []*engine, l *lengths) []placement {
	free := make(map[string]int, len(engines))
	total := 0
	for _, e := range engines {
		free[e.id] = e.freeSlots(now)
		total += free[e.id]
	}
	if total == 0 {
		return nil
	}
	p := &planner{now: now, engines: engines, free: free, median: medianEventTime(engines), lengths: l}
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
	lengths *lengths
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

// choose returns the engine on which the task starts, and why, for the log. A step is as
// slow as its last text, so a long text goes to one of the fastest engines, and to the one
// with the largest share of free slots of these. A short text goes to the engine of its
// group, which has processed the prompt, or to the one with the largest share of free slots.
func (p *planner) choose(t *task) (*engine, string) {
	able := p.able(t)
	if len(able) == 0 {
		return nil, ""
	}
	if short := p.endingSoon(t, able); len(short) > 0 {
		if e := engineByID(short, t.group.engine); e != nil {
			return e, "group"
		}
		return p.freest(t, short), "least loaded"
	}
	return p.freest(t, p.within(able, samePace)), "fastest"
}

// able returns the engines that can serve the task and have a free slot.
func (p *planner) able(t *task) []*engine {
	var able []*engine
	for _, e := range p.engines {
		if p.free[e.id] > 0 && e.canServe(t) {
			able = append(able, e)
		}
	}
	return able
}

// endingSoon returns the engines on which the task is expected to take less than a small
// part of the time in which its step is due.
func (p *planner) endingSoon(t *task, engines []*engine) []*engine {
	left := time.Duration(p.lengths.remainingEvents(t))
	return slices.DeleteFunc(p.within(engines, slowFactor), func(e *engine) bool {
		return left*e.pace(p.now, p.median) >= t.job.sub.Due/shortTextDivisor
	})
}

// within returns the engines whose time per event is up to factor times the least one.
func (p *planner) within(engines []*engine, factor float64) []*engine {
	least := engines[0].pace(p.now, p.median)
	for _, e := range engines {
		least = min(least, e.pace(p.now, p.median))
	}
	return slices.DeleteFunc(slices.Clone(engines), func(e *engine) bool {
		return float64(e.pace(p.now, p.median)) > factor*float64(least)
	})
}

// freest returns the engine with the largest share of free slots.
func (p *planner) freest(t *task, engines []*engine) *engine {
	best := engines[0]
	for _, e := range engines[1:] {
		fa, fb := p.free[e.id]*best.slots, p.free[best.id]*e.slots
		// Prefer the newer version: only engines assigned to the model load its new versions.
		if fa > fb || fa == fb && e.versions[t.job.sub.Model] > best.versions[t.job.sub.Model] {
			best = e
		}
	}
	return best
}

func engineByID(engines []*engine, id string) *engine {
	for _, e := range engines {
		if e.id == id {
			return e
		}
	}
	return nil
}

// sortEngines sorts engines by id, the order that plan expects.
func sortEngines(engines []*engine) {
	slices.SortFunc(engines, func(a, b *engine) int { return cmp.Compare(a.id, b.id) })
}
