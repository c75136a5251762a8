// Package experiment simulates routing, admission and rollout planning on a virtual
// clock. The simulations run the production code of these decisions over models of
// engines, entries and trainers.
package experiment

import (
	"container/heap"
	"slices"
	"time"
)

// epoch is the start of virtual time.
var epoch = time.Unix(1_700_000_000, 0)

// eventQueue is the event loop of a discrete-event simulation. Events with the same
// time run in the order in which they were added.
type eventQueue struct {
	now   time.Time
	heap  eventHeap
	added int
}

type event struct {
	at     time.Time
	serial int
	run    func()
}

func newEventQueue() *eventQueue { return &eventQueue{now: epoch} }

// after schedules f at now plus d.
func (e *eventQueue) after(d time.Duration, f func()) {
	e.added++
	heap.Push(&e.heap, event{e.now.Add(d), e.added, f})
}

// run handles the events up to and including end.
func (e *eventQueue) run(end time.Time) {
	for len(e.heap) > 0 && !e.heap[0].at.After(end) {
		next := heap.Pop(&e.heap).(event)
		e.now = next.at
		next.run()
	}
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }

func (h eventHeap) Less(i, j int) bool {
	if !h[i].at.Equal(h[j].at) {
		return h[i].at.Before(h[j].at)
	}
	return h[i].serial < h[j].serial
}

func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }

// Pop implements heap.Interface.
func (h *eventHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
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
