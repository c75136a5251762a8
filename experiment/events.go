// Package experiment simulates routing, admission and rollout planning on a virtual
// clock. The simulations run the production code of these decisions over models of
// engines, entries and trainers.
package experiment

import (
	"slices"
	"time"

	"merlinhall/eventqueue"
)

// epoch is the start of virtual time.
var epoch = time.Unix(1_700_000_000, 0)

// eventQueue is the event loop of a discrete-event simulation. Events with the same
// time run in the order in which they were added.
type eventQueue struct {
	now    time.Time
	events eventqueue.Queue
}

func newEventQueue() *eventQueue { return &eventQueue{now: epoch} }

// after schedules f at now plus d.
func (e *eventQueue) after(d time.Duration, f func()) {
	e.events.Add(e.now.Add(d).Sub(epoch), 0, f)
}

// run handles the events up to and including end.
func (e *eventQueue) run(end time.Time) {
	for {
		at, run, ok := e.events.Next(end.Sub(epoch))
		if !ok {
			return
		}
		e.now = epoch.Add(at)
		run()
	}
}

// percentile returns the p-quantile of the values, with p in [0, 1]. It sorts them in
// place.
func percentile(values []time.Duration, p float64) time.Duration {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[int(p*float64(len(values)-1))]
}
