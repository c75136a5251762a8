// Package admission implements admission control: fair queueing of requests by
// caller, early refusal of requests that cannot meet their deadline, adaptive
// concurrency limits and retry budgets. It reads no clock; callers pass the time.
package admission

import (
	"container/heap"
	"hash/fnv"
	"slices"
	"strconv"
	"time"
)

const (
	// unnamedCallerBuckets is the number of flows shared by all callers that the
	// configuration does not name. It bounds what a caller gains by inventing names.
	unnamedCallerBuckets = 32
	// waitSafetyFactor scales the estimated time to completion. A request refused too
	// early can be retried; one that runs past its deadline is wasted work.
	waitSafetyFactor = 1.1
	// minRetryAfter and maxRetryAfter bound Refusal.RetryAfter.
	minRetryAfter = time.Second
	maxRetryAfter = 30 * time.Second
	// minCostFactor times the mean request cost of a flow is the minimum cost assumed
	// when checking the deadline of a request that has to wait. If only the request's
	// own cost counted, then under steady overload the wait would grow until only
	// requests cheaper than the mean could meet their deadline, and expensive ones
	// would never be admitted.
	minCostFactor = 1.5
	// meanCostGain is the weight of one request in the moving mean cost of a flow.
	meanCostGain = 0.05
	// sweepPeriod is the minimum time between two checks of all deadlines.
	sweepPeriod = 100 * time.Millisecond
)

// Reason is the reason for a refusal.
type Reason string

// Reasons for a refusal.
const (
	ReasonFull     Reason = "queue is full"
	ReasonDeadline Reason = "deadline cannot be met"
)

// Refusal is returned for a request that was not run and will not be run.
type Refusal struct {
	Reason     Reason
	RetryAfter time.Duration
}

// Item is a waiting request.
type Item[T any] struct {
	Value    T
	Caller   string
	Priority int8    // order among the requests of one flow, higher first
	Cost     float64 // in the units of Rate: tokens for generations, 1 for calls
	Deadline time.Time

	sequence         uint64
	index            int
	flow             *flow[T] // nil while the item is not in order of service
	parked           bool
	savedFinish      float64 // finishTag of the flow before Next, for Return
	savedVirtualTime float64 // virtualTime of the queue before Next, for Return
}

// Dropped is an item that was refused after it had been queued.
type Dropped[T any] struct {
	Item    *Item[T]
	Refusal Refusal
}

// Queue holds the waiting requests of one service. It divides the service among flows
// by cost, in proportion to their weights, using start-time fair queueing. A flow is
// one caller or a bucket of unnamed callers. Requests of one flow are ordered by
// priority, then by arrival.
type Queue[T any] struct {
	limit       int
	weights     map[string]float64
	rate        *Rate
	flows       map[string]*flow[T]
	virtualTime float64 // start tag of the last item served
	lastSweep   time.Time
	length      int
	queuedCost  float64
	parked      []*Item[T]
	sequence    uint64
	fifo        bool // see SetFIFO
	equalCosts  bool // see SetEqualCosts
}

// flow holds the waiting requests of one caller, or of one bucket of callers that
// the configuration does not name.
type flow[T any] struct {
	name       string
	weight     float64
	finishTag  float64 // finish tag of the last item served
	items      itemHeap[T]
	queuedCost float64
	// meanCost is the moving mean cost of all requests offered, including refused ones.
	meanCost float64
}

// NewQueue returns a queue of up to limit requests. Waiting times are estimated
// from rate.
func NewQueue[T any](limit int, rate *Rate) *Queue[T] {
	return &Queue[T]{limit: limit, rate: rate, flows: make(map[string]*flow[T])}
}

// SetLimits changes the limit and the weights of named callers. Items already queued
// stay, even if there are more of them than the new limit.
func (q *Queue[T]) SetLimits(limit int, weights map[string]float64) {
	q.limit = limit
	q.weights = weights
	for _, f := range q.flows {
		f.weight = q.weightOf(f.name)
	}
}

// SetFIFO makes the queue serve in order of arrival, except that priorities still
// apply within a flow. One caller can then starve the others. Tests and experiments
// use it as a baseline.
func (q *Queue[T]) SetFIFO() { q.fifo = true }

// SetEqualCosts says that all requests have the same cost, so that none must be assumed to cost
// more than it says when its deadline is checked.
func (q *Queue[T]) SetEqualCosts() { q.equalCosts = true }

// Len returns the number of waiting requests without the parked ones.
func (q *Queue[T]) Len() int { return q.length }

// Parked returns the number of parked requests.
func (q *Queue[T]) Parked() int { return len(q.parked) }

// Lengths returns the number of waiting requests by flow name.
func (q *Queue[T]) Lengths() map[string]int {
	out := make(map[string]int, len(q.flows))
	for name, f := range q.flows {
		out[name] = len(f.items)
	}
	return out
}

// Offer adds an item or refuses it. A full queue evicts the last item of the flow
// with the most queued cost per weight, if that is more than the flow of item would
// then have. A FIFO queue evicts nothing.
func (q *Queue[T]) Offer(now time.Time, item *Item[T]) (refusal *Refusal, evicted *Dropped[T]) {
	f := q.flow(item.Caller)
	f.observeCost(item.Cost)
	if wait := q.estimateWait(f); q.missesDeadline(now, wait, f, item) {
		return &Refusal{ReasonDeadline, retryAfter(wait)}, nil
	}
	if q.length+len(q.parked) >= q.limit {
		evicted = q.evict(f, item)
		if evicted == nil {
			return &Refusal{ReasonFull, retryAfter(q.rate.drainTime(q.queuedCost))}, nil
		}
	}
	q.sequence++
	item.sequence = q.sequence
	q.push(f, item)
	return nil, evicted
}

// Next removes and returns the item to serve next, or nil if the queue is empty.
func (q *Queue[T]) Next() *Item[T] {
	f := q.nextFlow()
	if f == nil {
		return nil
	}
	item := f.items[0]
	item.savedFinish, item.savedVirtualTime = f.finishTag, q.virtualTime
	start := max(q.virtualTime, f.finishTag)
	f.finishTag = start + max(item.Cost, 1)/f.weight
	q.virtualTime = start
	q.remove(item)
	return item
}

// Return puts back the item returned by the last call of Next, for example when
// no target has capacity. The item keeps its position and its caller is not charged.
func (q *Queue[T]) Return(item *Item[T]) {
	f := q.flow(item.Caller)
	f.finishTag, q.virtualTime = item.savedFinish, item.savedVirtualTime
	q.push(f, item)
}

// Park takes the item returned by the last call of Next out of the order of service until
// Unpark, for example while no target has what it needs. Its caller is not charged, it
// counts towards the limit of the queue, and Sweep still checks its deadline.
func (q *Queue[T]) Park(item *Item[T]) {
	f := q.flow(item.Caller)
	f.finishTag, q.virtualTime = item.savedFinish, item.savedVirtualTime
	item.parked = true
	q.parked = append(q.parked, item)
}

// Unpark puts the parked items for which ready returns true back into the order of
// service, at the positions that they had.
func (q *Queue[T]) Unpark(ready func(value T) bool) {
	q.parked = slices.DeleteFunc(q.parked, func(item *Item[T]) bool {
		if !ready(item.Value) {
			return false
		}
		item.parked = false
		q.push(q.flow(item.Caller), item)
		return true
	})
}

func (q *Queue[T]) removeParked(item *Item[T]) {
	item.parked = false
	q.parked = slices.DeleteFunc(q.parked, func(p *Item[T]) bool { return p == item })
}

func (q *Queue[T]) push(f *flow[T], item *Item[T]) {
	item.flow = f
	heap.Push(&f.items, item)
	f.queuedCost += item.Cost
	q.queuedCost += item.Cost
	q.length++
}

// Remove takes an item out of the queue. It returns false if the item is neither queued
// nor parked.
func (q *Queue[T]) Remove(item *Item[T]) bool {
	if item.parked {
		q.removeParked(item)
		return true
	}
	if item.flow == nil {
		return false
	}
	q.remove(item)
	return true
}

// Sweep removes each item that is expected to miss its deadline, given the items
// ahead of it in the same flow, and deletes idle flows. It does nothing within
// sweepPeriod of the last sweep.
func (q *Queue[T]) Sweep(now time.Time) []Dropped[T] {
	if now.Sub(q.lastSweep) < sweepPeriod {
		return nil
	}
	q.lastSweep = now
	var out []Dropped[T]
	for _, name := range q.flowNames() {
		out = q.sweepFlow(now, q.flows[name], out)
	}
	for _, item := range slices.Clone(q.parked) {
		if q.missesDeadline(now, 0, q.flow(item.Caller), item) {
			q.removeParked(item)
			out = append(out, Dropped[T]{item, Refusal{ReasonDeadline, minRetryAfter}})
		}
	}
	q.removeIdleFlows()
	return out
}

func (q *Queue[T]) sweepFlow(now time.Time, f *flow[T], out []Dropped[T]) []Dropped[T] {
	items := slices.Clone(f.items)
	slices.SortFunc(items, func(a, b *Item[T]) int {
		if a.servedBefore(b) {
			return -1
		}
		return 1
	})
	ahead := 0.0
	for _, item := range items {
		wait := q.flowDrainTime(f, ahead)
		if !q.missesDeadline(now, wait, f, item) {
			ahead += item.Cost
			continue
		}
		q.remove(item)
		out = append(out, Dropped[T]{item, Refusal{ReasonDeadline, retryAfter(wait)}})
	}
	return out
}

func (q *Queue[T]) flowNames() []string {
	names := make([]string, 0, len(q.flows))
	for name := range q.flows {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// missesDeadline reports whether an item of f that waits for wait before it starts
// is expected to miss its deadline.
func (q *Queue[T]) missesDeadline(now time.Time, wait time.Duration, f *flow[T], item *Item[T]) bool {
	if item.Deadline.IsZero() {
		return false
	}
	cost := item.Cost
	if wait > 0 && !q.equalCosts {
		cost = max(cost, minCostFactor*f.meanCost)
	}
	need := time.Duration(waitSafetyFactor * float64(wait+q.rate.estimateRunTime(cost)))
	return now.Add(need).After(item.Deadline)
}

// estimateWait estimates how long a new item of f waits. It excludes the cost of the
// item itself; otherwise only small items would be admitted under overload.
func (q *Queue[T]) estimateWait(f *flow[T]) time.Duration {
	if q.length == 0 {
		return 0
	}
	if q.fifo {
		return q.rate.drainTime(q.queuedCost)
	}
	return q.flowDrainTime(f, f.queuedCost)
}

// flowDrainTime estimates how long f takes to serve a backlog of the given cost at
// its share of the rate.
func (q *Queue[T]) flowDrainTime(f *flow[T], cost float64) time.Duration {
	weights := f.weight
	for _, other := range q.flows {
		if other != f && len(other.items) > 0 {
			weights += other.weight
		}
	}
	return q.rate.drainTime(cost * weights / f.weight)
}

func (f *flow[T]) observeCost(cost float64) {
	if f.meanCost == 0 {
		f.meanCost = cost
	}
	f.meanCost += meanCostGain * (cost - f.meanCost)
}

// evict removes the last item of the flow with the most queued cost per weight, if
// that is more than f would have after adding item. Otherwise it returns nil.
func (q *Queue[T]) evict(f *flow[T], item *Item[T]) *Dropped[T] {
	if q.fifo {
		return nil
	}
	var heaviest *flow[T]
	for _, other := range q.flows {
		if len(other.items) == 0 {
			continue
		}
		if heaviest == nil || other.heavier(heaviest) {
			heaviest = other
		}
	}
	if heaviest == nil || heaviest == f || heaviest.queuedCost/heaviest.weight <= (f.queuedCost+item.Cost)/f.weight {
		return nil
	}
	last := heaviest.items.last()
	q.remove(last)
	return &Dropped[T]{last, Refusal{ReasonFull, retryAfter(q.rate.drainTime(q.queuedCost))}}
}

// heavier reports whether f has more queued cost per weight than g. Names break ties,
// so that the result does not depend on map iteration order.
func (f *flow[T]) heavier(g *flow[T]) bool {
	a, b := f.queuedCost/f.weight, g.queuedCost/g.weight
	return a > b || (a == b && f.name < g.name)
}

func (q *Queue[T]) nextFlow() *flow[T] {
	var best *flow[T]
	for _, f := range q.flows {
		if len(f.items) > 0 && (best == nil || q.servedBefore(f, best)) {
			best = f
		}
	}
	return best
}

func (q *Queue[T]) servedBefore(f, g *flow[T]) bool {
	a, b := max(q.virtualTime, f.finishTag), max(q.virtualTime, g.finishTag)
	if q.fifo || a == b {
		return f.items[0].sequence < g.items[0].sequence
	}
	return a < b
}

func (q *Queue[T]) remove(item *Item[T]) {
	f := item.flow
	heap.Remove(&f.items, item.index)
	item.flow = nil
	f.queuedCost -= item.Cost
	q.queuedCost -= item.Cost
	q.length--
}

// removeIdleFlows deletes empty flows whose finish tag is not later than the virtual
// time. Deleting one with a later finish tag would forget cost that has been served but
// not yet counted against it.
func (q *Queue[T]) removeIdleFlows() {
	for name, f := range q.flows {
		if len(f.items) == 0 && f.finishTag <= q.virtualTime {
			delete(q.flows, name)
		}
	}
}

func (q *Queue[T]) flow(caller string) *flow[T] {
	name := caller
	if _, named := q.weights[caller]; !named {
		name = bucketName(caller)
	}
	f := q.flows[name]
	if f == nil {
		f = &flow[T]{name: name, weight: q.weightOf(name)}
		q.flows[name] = f
	}
	return f
}

func (q *Queue[T]) weightOf(name string) float64 {
	if w := q.weights[name]; w > 0 {
		return w
	}
	return 1
}

// bucketName returns the flow name of a caller that the configuration does not name.
func bucketName(caller string) string {
	h := fnv.New32a()
	_, _ = h.Write([]byte(caller))
	return "other/" + strconv.Itoa(int(h.Sum32()%unnamedCallerBuckets))
}

func retryAfter(wait time.Duration) time.Duration {
	return min(max(wait, minRetryAfter), maxRetryAfter)
}

// itemHeap is a heap of the items of one flow, in serving order.
type itemHeap[T any] []*Item[T]

func (h itemHeap[T]) Len() int { return len(h) }

func (h itemHeap[T]) Less(i, j int) bool { return h[i].servedBefore(h[j]) }

func (i *Item[T]) servedBefore(j *Item[T]) bool {
	if i.Priority != j.Priority {
		return i.Priority > j.Priority
	}
	return i.sequence < j.sequence
}

func (h itemHeap[T]) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push implements heap.Interface.
func (h *itemHeap[T]) Push(x any) {
	item := x.(*Item[T])
	item.index = len(*h)
	*h = append(*h, item)
}

// Pop implements heap.Interface.
func (h *itemHeap[T]) Pop() any {
	old := *h
	item := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return item
}

// last returns the item that would be served last.
func (h itemHeap[T]) last() *Item[T] {
	worst := 0
	for i := range h {
		if h.Less(worst, i) {
			worst = i
		}
	}
	return h[worst]
}
