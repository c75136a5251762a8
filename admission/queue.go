// Package admission decides which requests wait, in which order they are served
// and which are refused at once. It is pure: it reads no clock.
package admission

import (
	"container/heap"
	"hash/fnv"
	"slices"
	"strconv"
	"time"
)

const (
	// otherCallers is the number of shares for callers that the configuration
	// does not name. A caller that invents names gets no more than these.
	otherCallers = 32
	// safety is multiplied into the estimate of a wait. A request that is refused
	// too early can be retried; one that runs past its deadline is lost work.
	safety = 1.1
	// minRetry and maxRetry bound the advised retry time.
	minRetry = time.Second
	maxRetry = 30 * time.Second
	// longFactor times the mean cost of a caller's requests is the least cost for
	// which the deadline of a waiting request is judged. With its own cost alone,
	// in steady overload, the wait settles where only requests shorter than the
	// mean meet their deadline, and longer ones are never admitted.
	longFactor = 1.5
	// meanGain is the weight of one request in the mean cost of a caller.
	meanGain = 0.05
	// sweepPeriod is the time between two looks at all deadlines.
	sweepPeriod = 100 * time.Millisecond
)

// Reason is why a request was refused.
type Reason string

// Reasons of a refusal.
const (
	ReasonFull     Reason = "queue is full"
	ReasonDeadline Reason = "deadline cannot be met"
)

// Refusal says that a request did not and will not run.
type Refusal struct {
	Reason     Reason
	RetryAfter time.Duration
}

// Item is a waiting request.
type Item[T any] struct {
	Value    T
	Caller   string
	Priority int8 // order among the requests of one caller, higher first
	Cost     float64
	Deadline time.Time

	sequence uint64
	index    int
	flow     *flow[T]
	finish   float64 // of the flow, before Next
	virtual  float64 // of the queue, before Next
}

// Dropped is an item that was refused after it had waited.
type Dropped[T any] struct {
	Item    *Item[T]
	Refusal Refusal
}

// Queue holds the waiting requests of one service. Callers share the service by
// cost (tokens) in proportion to their weights, by start-time fair queueing;
// within one caller the order is priority, then arrival.
type Queue[T any] struct {
	limit    int
	weights  map[string]float64
	rate     *Rate
	flows    map[string]*flow[T]
	virtual  float64 // start tag of the item served last
	swept    time.Time
	length   int
	cost     float64
	sequence uint64
	fifo     bool // serve in order of arrival; for comparison
}

// flow is the waiting requests of one caller.
type flow[T any] struct {
	name   string
	weight float64
	finish float64 // finish tag of the item served last
	items  itemHeap[T]
	cost   float64
	// meanCost is the mean cost of the requests offered.
	meanCost float64
}

// NewQueue returns a queue of up to limit requests. rate estimates the service.
func NewQueue[T any](limit int, rate *Rate) *Queue[T] {
	return &Queue[T]{limit: limit, rate: rate, flows: make(map[string]*flow[T])}
}

// SetLimits changes the limit and the weights of named callers. Items that wait
// stay.
func (q *Queue[T]) SetLimits(limit int, weights map[string]float64) {
	q.limit = limit
	q.weights = weights
	for _, f := range q.flows {
		f.weight = q.weightOf(f.name)
	}
}

// SetFIFO makes the queue serve in order of arrival, which lets one caller starve
// the others. It exists for comparison.
func (q *Queue[T]) SetFIFO() { q.fifo = true }

// Len returns the number of waiting requests.
func (q *Queue[T]) Len() int { return q.length }

// Lengths returns the number of waiting requests by caller.
func (q *Queue[T]) Lengths() map[string]int {
	out := make(map[string]int, len(q.flows))
	for name, f := range q.flows {
		out[name] = len(f.items)
	}
	return out
}

// Offer adds an item or refuses it. A full queue gives up the newest item of the
// caller that is furthest above its share when that is not the caller of item.
func (q *Queue[T]) Offer(now time.Time, item *Item[T]) (refusal *Refusal, displaced *Dropped[T]) {
	f := q.flow(item.Caller)
	f.note(item.Cost)
	if wait := q.wait(f); q.late(now, wait, f, item) {
		return &Refusal{ReasonDeadline, retry(wait)}, nil
	}
	if q.length >= q.limit {
		displaced = q.displace(f, item)
		if displaced == nil {
			return &Refusal{ReasonFull, retry(q.rate.time(q.cost))}, nil
		}
	}
	q.sequence++
	item.sequence = q.sequence
	q.push(f, item)
	return nil, displaced
}

// Next removes and returns the item to serve next, or nil.
func (q *Queue[T]) Next() *Item[T] {
	f := q.first()
	if f == nil {
		return nil
	}
	item := f.items[0]
	item.finish, item.virtual = f.finish, q.virtual
	start := max(q.virtual, f.finish)
	f.finish = start + max(item.Cost, 1)/f.weight
	q.virtual = start
	q.remove(item)
	return item
}

// Return puts back the item that the last call of Next returned, which found no
// target. It keeps its place and its caller is not charged.
func (q *Queue[T]) Return(item *Item[T]) {
	f := q.flow(item.Caller)
	f.finish, q.virtual = item.finish, item.virtual
	q.push(f, item)
}

func (q *Queue[T]) push(f *flow[T], item *Item[T]) {
	item.flow = f
	heap.Push(&f.items, item)
	f.cost += item.Cost
	q.cost += item.Cost
	q.length++
}

// Remove takes an item out of the queue, if it still waits.
func (q *Queue[T]) Remove(item *Item[T]) bool {
	if item.flow == nil {
		return false
	}
	q.remove(item)
	return true
}

// Sweep removes the items whose deadline can no longer be met, given the items of
// the same caller before them.
func (q *Queue[T]) Sweep(now time.Time) []Dropped[T] {
	if now.Sub(q.swept) < sweepPeriod {
		return nil
	}
	q.swept = now
	var out []Dropped[T]
	for _, name := range q.names() {
		out = q.sweepFlow(now, q.flows[name], out)
	}
	q.forgetIdle()
	return out
}

func (q *Queue[T]) sweepFlow(now time.Time, f *flow[T], out []Dropped[T]) []Dropped[T] {
	items := slices.Clone(f.items)
	slices.SortFunc(items, func(a, b *Item[T]) int {
		if a.before(b) {
			return -1
		}
		return 1
	})
	ahead := 0.0
	for _, item := range items {
		wait := q.timeFor(f, ahead)
		if !q.late(now, wait, f, item) {
			ahead += item.Cost
			continue
		}
		q.remove(item)
		out = append(out, Dropped[T]{item, Refusal{ReasonDeadline, retry(wait)}})
	}
	return out
}

func (q *Queue[T]) names() []string {
	names := make([]string, 0, len(q.flows))
	for name := range q.flows {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// late reports whether an item of f that starts after wait misses its deadline.
func (q *Queue[T]) late(now time.Time, wait time.Duration, f *flow[T], item *Item[T]) bool {
	if item.Deadline.IsZero() {
		return false
	}
	cost := item.Cost
	if wait > 0 {
		cost = max(cost, longFactor*f.meanCost)
	}
	need := time.Duration(safety * float64(wait+q.rate.runTime(cost)))
	return now.Add(need).After(item.Deadline)
}

// wait estimates how long a new item of f waits. The cost of the item itself does
// not count: with it, only small items fit into the room that opens in overload.
func (q *Queue[T]) wait(f *flow[T]) time.Duration {
	if q.length == 0 {
		return 0
	}
	if q.fifo {
		return q.rate.time(q.cost)
	}
	return q.timeFor(f, f.cost)
}

// timeFor estimates how long f takes for a backlog at its share of the rate.
func (q *Queue[T]) timeFor(f *flow[T], cost float64) time.Duration {
	weights := f.weight
	for _, other := range q.flows {
		if other != f && len(other.items) > 0 {
			weights += other.weight
		}
	}
	return q.rate.time(cost * weights / f.weight)
}

func (f *flow[T]) note(cost float64) {
	if f.meanCost == 0 {
		f.meanCost = cost
	}
	f.meanCost += meanGain * (cost - f.meanCost)
}

// displace makes room for an item of f by giving up an item of the caller with
// the most waiting cost per weight, if that is more than f would then have.
func (q *Queue[T]) displace(f *flow[T], item *Item[T]) *Dropped[T] {
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
	if heaviest == nil || heaviest == f || heaviest.cost/heaviest.weight <= (f.cost+item.Cost)/f.weight {
		return nil
	}
	last := heaviest.items.last()
	q.remove(last)
	return &Dropped[T]{last, Refusal{ReasonFull, retry(q.rate.time(q.cost))}}
}

// heavier orders flows by waiting cost per weight; the name breaks ties so that
// the choice does not depend on the order of a map.
func (f *flow[T]) heavier(g *flow[T]) bool {
	a, b := f.cost/f.weight, g.cost/g.weight
	return a > b || (a == b && f.name < g.name)
}

func (q *Queue[T]) first() *flow[T] {
	var best *flow[T]
	for _, f := range q.flows {
		if len(f.items) > 0 && (best == nil || q.before(f, best)) {
			best = f
		}
	}
	return best
}

func (q *Queue[T]) before(f, g *flow[T]) bool {
	a, b := max(q.virtual, f.finish), max(q.virtual, g.finish)
	if q.fifo || a == b {
		return f.items[0].sequence < g.items[0].sequence
	}
	return a < b
}

func (q *Queue[T]) remove(item *Item[T]) {
	f := item.flow
	heap.Remove(&f.items, item.index)
	item.flow = nil
	f.cost -= item.Cost
	q.cost -= item.Cost
	q.length--
}

// forgetIdle drops callers without items whose credit is spent.
func (q *Queue[T]) forgetIdle() {
	for name, f := range q.flows {
		if len(f.items) == 0 && f.finish <= q.virtual {
			delete(q.flows, name)
		}
	}
}

func (q *Queue[T]) flow(caller string) *flow[T] {
	name := caller
	if _, named := q.weights[caller]; !named {
		name = bucket(caller)
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

// bucket is the share of a caller that the configuration does not name.
func bucket(caller string) string {
	h := fnv.New32a()
	_, _ = h.Write([]byte(caller))
	return "other/" + strconv.Itoa(int(h.Sum32()%otherCallers))
}

func retry(wait time.Duration) time.Duration {
	return min(max(wait, minRetry), maxRetry)
}

// itemHeap orders the items of one caller.
type itemHeap[T any] []*Item[T]

func (h itemHeap[T]) Len() int { return len(h) }

func (h itemHeap[T]) Less(i, j int) bool { return h[i].before(h[j]) }

func (i *Item[T]) before(j *Item[T]) bool {
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
