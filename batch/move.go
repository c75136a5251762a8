package batch

import (
	"cmp"
	"slices"
	"time"
)

const (
	// maxMoves bounds the moves of one item, so that engines whose speed changes do not
	// pass it back and forth.
	maxMoves = 3
	// minMovePace is the least ratio of the times per event of two engines between which a
	// text moves. Samples of equal engines differ by less.
	minMovePace = 1.2
	// minMoveSaving is the least time that a move must save: it costs a new connection and
	// processing the prompt and the text so far.
	minMoveSaving = 500 * time.Millisecond
)

// move takes a running task off its engine, because another one is expected to end the text
// earlier by saving.
type move struct {
	task      *task
	from, to  *engine
	remaining int // expected events
	saving    time.Duration
}

// planMoves returns the moves that pay, to engines with a free slot for the task. The
// longest texts go first, as they hold up their step.
func planMoves(now time.Time, tasks []*task, engines []*engine, l *lengths) []*move {
	m := mover{}
	known := make(map[string]*engine, len(engines))
	for _, e := range engines {
		if !e.paceKnown(now) {
			continue
		}
		known[e.id] = e
		if free := e.freeSlots(now); free > 0 {
			m.targets = append(m.targets, &openEngine{engine: e, free: free, pace: e.eventTime})
		}
	}
	slices.SortStableFunc(m.targets, func(a, b *openEngine) int { return cmp.Compare(a.pace, b.pace) })
	var candidates []*move
	for _, t := range tasks {
		e := known[t.engine]
		if t.state == taskRunning && !t.cancelled() && t.moves < maxMoves && e != nil && m.maySave(e) {
			candidates = append(candidates, &move{task: t, from: e, remaining: l.remainingEvents(t)})
		}
	}
	slices.SortStableFunc(candidates, func(a, b *move) int { return cmp.Compare(b.remaining, a.remaining) })
	return slices.DeleteFunc(candidates, func(c *move) bool { return !m.find(c) })
}

type mover struct {
	targets []*openEngine // the fastest first
}

// maySave reports whether a text could move away from an engine.
func (m *mover) maySave(from *engine) bool {
	return len(m.targets) > 0 && float64(from.eventTime) >= minMovePace*float64(m.targets[0].pace)
}

// find takes a slot of the fastest engine for the task of c and reports whether the move
// there pays.
func (m *mover) find(c *move) bool {
	at := slices.IndexFunc(m.targets, func(e *openEngine) bool {
		return e.free > 0 && e.software == c.from.software && e.canServe(c.task)
	})
	if at < 0 {
		return false
	}
	target := m.targets[at]
	c.to = target.engine
	c.saving = time.Duration(c.remaining) * (c.from.eventTime - target.pace)
	if float64(c.from.eventTime) < minMovePace*float64(target.pace) || c.saving < minMoveSaving {
		return false
	}
	target.free--
	return true
}
