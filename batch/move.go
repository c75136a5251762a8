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
func planMoves(now time.Time, tasks []*task, engines []*engine, l *lengths) []move {
	m := mover{now: now, engines: make(map[string]*engine, len(engines)), free: make(map[string]int, len(engines))}
	for _, e := range engines {
		m.engines[e.id] = e
		if e.paceKnown(now) {
			m.free[e.id] = e.freeSlots(now)
		}
	}
	candidates := slices.DeleteFunc(slices.Clone(tasks), func(t *task) bool {
		e := m.engines[t.engine]
		return t.state != taskRunning || t.moves >= maxMoves || e == nil || !e.paceKnown(now)
	})
	slices.SortStableFunc(candidates, func(a, b *task) int { return cmp.Compare(l.remainingEvents(b), l.remainingEvents(a)) })
	var out []move
	for _, t := range candidates {
		if found, ok := m.find(t, l.remainingEvents(t)); ok {
			out = append(out, found)
		}
	}
	return out
}

type mover struct {
	now     time.Time
	engines map[string]*engine
	free    map[string]int // free slots of engines whose time per event is known
}

// find returns the move of a task to the fastest engine, whose slot it takes, if that pays.
func (m *mover) find(t *task, remaining int) (found move, ok bool) {
	from := m.engines[t.engine]
	to := m.fastest(t)
	if to == nil || float64(from.eventTime) < minMovePace*float64(to.eventTime) {
		return move{}, false
	}
	saving := time.Duration(remaining) * (from.eventTime - to.eventTime)
	if saving < minMoveSaving {
		return move{}, false
	}
	m.free[to.id]--
	return move{t, from, to, remaining, saving}, true
}

// fastest returns the fastest engine with a free slot for the task, or nil.
func (m *mover) fastest(t *task) *engine {
	var best *engine
	for id, free := range m.free {
		e := m.engines[id]
		if free > 0 && e.canServe(t) && (best == nil || e.eventTime < best.eventTime || e.eventTime == best.eventTime && e.id < best.id) {
			best = e
		}
	}
	return best
}
