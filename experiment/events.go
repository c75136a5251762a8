// Package experiment runs the decision code on a virtual clock.
package experiment

import (
	"container/heap"
	"slices"
	"time"
)

// epoch is the start of virtual time.
var epoch = time.Unix(1_700_000_000, 0)

// eventQueue is a queue of functions by virtual time. Events of the same time run in
// the order in which they were added.
type eventQueue struct {
	now   time.Time
	heap  eventHeap
	added int
}

type event struct {
	at       time.Time
	sequence int
	run      func()
}

func newEventQueue() *eventQueue { return &eventQueue{now: epoch} }

// after runs f at now plus d.
func (e *eventQueue) after(d time.Duration, f func()) {
	e.added++
	heap.Push(&e.heap, event{e.now.Add(d), e.added, f})
}

// run handles events until there is none left before end.
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
	return h[i].sequence < h[j].sequence
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

// percentile returns the value below which the share p of the values lies.
func percentile(values []time.Duration, p float64) time.Duration {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[int(p*float64(len(values)-1))]
}
