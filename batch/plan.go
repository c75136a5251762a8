package batch

import (
	"cmp"
	"slices"
	"time"
)

const (
	// slowFactor is how far above the median time per event an engine is avoided.
	slowFactor = 2.0
	// moveFactor is how far above it running items are moved elsewhere.
	moveFactor = 2.5
	// maxMoves bounds the moves of one item, so that engines whose pace changes
	// do not pass it back and forth.
	maxMoves = 3
	// eventTimeInterval is the time between two looks at the pace of the runs, in which
	// an engine makes some events of each.
	eventTimeInterval = 400 * time.Millisecond
	// minMoveSaving is the time that a move must save: a step is due some seconds after
	// it was submitted, and a move costs a connection.
	minMoveSaving = 500 * time.Millisecond
	// minEventTimeSamples is the number of looks at a run before an engine's pace is
	// judged.
	minEventTimeSamples = 3
	// eventTimeMaxAge is how long an engine's pace is believed after the last look at a run
	// there. An engine that is avoided shows no pace; it gets work again after this
	// time and is judged anew within a second.
	eventTimeMaxAge = 3 * time.Second
	// eventTimeWeight is the weight of one look at a run in the pace of an engine.
	eventTimeWeight = 0.2
)

// engine is what the leader knows of a model engine.
type engine struct {
	id        string
	address   string
	startedMs int64
	slots     int
	// versions holds the weight version of each model.
	versions          map[string]uint64
	versionsCheckedAt time.Time // when versions was last learnt from the engine itself
	running           int
	// pausedUntil keeps new runs away after a refusal or a lost connection.
	pausedUntil      time.Time
	connectFailures  int   // connections in a row that it did not take
	load             *load // order under way
	reportPending    bool  // a report is under way
	eventTime        time.Duration
	eventTimeSamples int       // looks behind pace
	eventTimeAt      time.Time // of the last one
	draining         bool
}

// observeEventTime takes the time per event of a run.
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

// freeSlots returns the runs that the engine can begin now.
func (e *engine) freeSlots(now time.Time) int {
	if e.draining || now.Before(e.pausedUntil) {
		return 0
	}
	return max(0, e.slots-e.running)
}

// unusedSlots returns how many runs the engine lacks to be full. Loading costs one that has
// none nothing: its runs go on, and it could begin no others.
func (e *engine) unusedSlots() int { return e.slots - e.running }

// canServe reports whether the engine may generate for the task now: its weights fit
// and are not being replaced.
func (e *engine) canServe(t *task) bool {
	if e.load != nil && e.load.model == t.job.sub.Model {
		return false
	}
	return e.weightsFit(t)
}

// weightsFit reports whether the engine's weights fit the task.
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

// placement says on which engine a task begins.
type placement struct {
	task   *task
	engine *engine
	reason string // of the choice, for the log
}

// plan chooses the tasks to begin now. pending is in the order of a queue, engines
// are in a fixed order. It changes nothing but the engine of groups.
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
	p := &planner{now: now, engines: engines, free: free, medianEventTime: medianEventTime(engines)}
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
	now             time.Time
	engines         []*engine
	free            map[string]int
	medianEventTime time.Duration
	out             []placement
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

// choose returns the engine of the task's group while that has room, else the best
// one: reading a prompt again takes an engine a millisecond, which is worth no wait.
func (p *planner) choose(t *task) (*engine, string) {
	home := p.byID(t.group.engine)
	if home != nil && home.canServe(t) && !p.slow(home, slowFactor) {
		if p.free[home.id] > 0 {
			return home, "group"
		}
		return p.best(t), "group's engine is full"
	}
	e := p.best(t)
	if e != nil {
		t.group.engine = e.id
	}
	return e, "least loaded"
}

// best returns the engine with the most room. Engines at a slow pace come last;
// they are still better than waiting.
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
	// The engine whose version of the model is newer is the model's own.
	return a.versions[t.job.sub.Model] > b.versions[t.job.sub.Model]
}

func (p *planner) slow(e *engine, factor float64) bool {
	return e.slow(p.now, p.medianEventTime, factor)
}

func (p *planner) byID(id string) *engine {
	for _, e := range p.engines {
		if e.id == id {
			return e
		}
	}
	return nil
}

// slow reports whether the engine's pace is known and that much above the median.
func (e *engine) slow(now time.Time, median time.Duration, factor float64) bool {
	return median > 0 && e.eventTimeSamples >= minEventTimeSamples && now.Sub(e.eventTimeAt) <= eventTimeMaxAge && float64(e.eventTime) > factor*float64(median)
}

// medianEventTime returns the median time per event, or 0 before it is known.
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

// tasksToMove returns the running tasks that are better taken off their engine: it is
// much slower than the others, one of those has room for the task, and what is left
// of the text is worth a new connection and another reading of the prompt.
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

// remainingTime estimates how long the rest of a text takes at the pace of a sound engine.
// A text that is longer than it was estimated is expected to go on for half of
// what it has.
func (t *task) remainingTime(perToken, pace time.Duration) time.Duration {
	made := t.text.length()
	if t.run != nil {
		made += t.run.buffered()
	}
	passed := time.Duration(made) * pace
	return max(time.Duration(t.size)*perToken-passed, passed/2)
}

// sortEngines puts engines into the order that plan expects.
func sortEngines(engines []*engine) {
	slices.SortFunc(engines, func(a, b *engine) int { return cmp.Compare(a.id, b.id) })
}
