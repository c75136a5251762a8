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

// tasksToMove returns the running tasks that should be moved off their engine: another one
// has a free slot for them and is expected to end the text so much earlier that the move
// pays. The longest go first, as they hold up their step.
func tasksToMove(now time.Time, tasks []*task, engines []*engine, l *lengths) []*task {
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
	var out []*task
	for _, t := range candidates {
		if m.move(t, time.Duration(l.remainingEvents(t))) {
			out = append(out, t)
		}
	}
	return out
}

type mover struct {
	now     time.Time
	engines map[string]*engine
	free    map[string]int // free slots of engines whose time per event is known
}

// move takes a slot of the fastest engine for a task if the move pays.
func (m *mover) move(t *task, remaining time.Duration) bool {
	from := m.engines[t.engine]
	var to *engine
	for _, e := range m.engines {
		if m.free[e.id] > 0 && e.canServe(t) && (to == nil || e.eventTime < to.eventTime) {
			to = e
		}
	}
	if to == nil || float64(from.eventTime) < minMovePace*float64(to.eventTime) || remaining*(from.eventTime-to.eventTime) < minMoveSaving {
		return false
	}
	m.free[to.id]--
	return true
}
