// Package eventqueue orders the events of simulations on a virtual clock.
package eventqueue

import (
	"container/heap"
	"time"
)

// Queue holds the events of a simulation that have not run. The zero value is empty.
type Queue struct {
	events events
	added  uint64
}

type event struct {
	at    time.Duration
	draw  uint64
	added uint64
	run   func()
}

// Add adds an event at a time of the virtual clock. Events of the same time run in the order
// of draw, which a simulation may take from its seed, and with equal ones in the order in
// which they were added.
func (q *Queue) Add(at time.Duration, draw uint64, run func()) {
	q.added++
	heap.Push(&q.events, event{at, draw, q.added, run})
}

// Next removes the first event and returns its time and what it runs. It returns false if
// none is due by end.
func (q *Queue) Next(end time.Duration) (at time.Duration, run func(), ok bool) {
	if len(q.events) == 0 || q.events[0].at > end {
		return 0, nil, false
	}
	e := heap.Pop(&q.events).(event)
	return e.at, e.run, true
}

type events []event

// Len implements heap.Interface.
func (e events) Len() int { return len(e) }

// Swap implements heap.Interface.
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Less implements heap.Interface.
func (e events) Less(i, j int) bool {
	switch {
	case e[i].at != e[j].at:
		return e[i].at < e[j].at
	case e[i].draw != e[j].draw:
		return e[i].draw < e[j].draw
	}
	return e[i].added < e[j].added
}

// Push implements heap.Interface.
func (e *events) Push(x any) { *e = append(*e, x.(event)) }

// Pop implements heap.Interface.
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}
