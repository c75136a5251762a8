package admission

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

var t0 = time.Unix(1_700_000_000, 0)

func at(d time.Duration) time.Time { return t0.Add(d) }

func rateWithSamples(slots int, cost float64, took time.Duration) *Rate {
	r := &Rate{}
	r.SetSlots(slots)
	for range minRateSamples {
		r.Observe(cost, took)
	}
	return r
}

// Guards against a caller with large requests taking the share of others. Callers
// are served by cost, whatever the request size; in FIFO order they are not.
func TestSharesAreByCostAndWeight(t *testing.T) {
	is := is.New(t)
	serve := func(fifo bool) map[string]float64 {
		q := NewQueue[string](10000, &Rate{})
		q.SetLimits(10000, map[string]float64{"app": 1, "trainer": 3})
		if fifo {
			q.SetFIFO()
		}
		for range 2000 {
			q.Offer(t0, &Item[string]{Caller: "trainer", Cost: 400})
			q.Offer(t0, &Item[string]{Caller: "app", Cost: 10})
		}
		served := make(map[string]float64)
		for total := 0.0; total < 20000; {
			item := q.Next()
			served[item.Caller] += item.Cost
			total += item.Cost
		}
		return served
	}
	fair := serve(false)
	is.True(fair["app"] > 4500 && fair["app"] < 5500)
	is.True(serve(true)["app"] < 1000)
}

// Guards against a caller that accumulates credit while idle and then starves the
// others.
func TestIdleCallerSavesNoCredit(t *testing.T) {
	is := is.New(t)
	q := NewQueue[string](1000, &Rate{})
	q.SetLimits(1000, map[string]float64{"a": 1, "b": 1})
	for range 200 {
		q.Offer(t0, &Item[string]{Caller: "a", Cost: 1})
	}
	for range 100 {
		q.Next()
	}
	for range 100 {
		q.Offer(t0, &Item[string]{Caller: "b", Cost: 1})
	}
	got := map[string]int{}
	for range 100 {
		got[q.Next().Caller]++
	}
	is.True(got["a"] >= 49 && got["b"] >= 49)
}

// Guards against priorities that have no effect, or that affect other callers.
func TestPriorityOrdersWithinACaller(t *testing.T) {
	is := is.New(t)
	q := NewQueue[string](10, &Rate{})
	q.SetLimits(10, map[string]float64{"a": 1, "b": 1})
	q.Offer(t0, &Item[string]{Value: "a low", Caller: "a", Cost: 1})
	q.Offer(t0, &Item[string]{Value: "a high", Caller: "a", Cost: 1, Priority: 5})
	q.Offer(t0, &Item[string]{Value: "b", Caller: "b", Cost: 1, Priority: -5})
	var got []string
	for item := q.Next(); item != nil; item = q.Next() {
		got = append(got, item.Value)
	}
	is.Equal(got[1:], []string{"b", "a low"})
	is.Equal(got[0], "a high")
}

// Guards against charging a caller for requests that found no target and were
// returned to the queue.
func TestReturnedItemIsNotCharged(t *testing.T) {
	is := is.New(t)
	q := NewQueue[string](10, &Rate{})
	q.SetLimits(10, map[string]float64{"a": 1, "b": 1})
	q.Offer(t0, &Item[string]{Value: "a1", Caller: "a", Cost: 100})
	q.Offer(t0, &Item[string]{Value: "a2", Caller: "a", Cost: 100})
	for range 5 {
		q.Return(q.Next())
	}
	q.Offer(t0, &Item[string]{Value: "b1", Caller: "b", Cost: 150})
	q.Offer(t0, &Item[string]{Value: "b2", Caller: "b", Cost: 150})
	var got []string
	for item := q.Next(); item != nil; item = q.Next() {
		got = append(got, item.Value)
	}
	is.Equal(got, []string{"a1", "b1", "a2", "b2"})
}

// Guards against one caller filling the queue and locking out all others.
func TestFullQueueEvictsFromHeaviestCaller(t *testing.T) {
	is := is.New(t)
	q := NewQueue[string](10, &Rate{})
	q.SetLimits(10, map[string]float64{"trainer": 1, "app": 1})
	for i := range 10 {
		q.Offer(t0, &Item[string]{Value: fmt.Sprint(i), Caller: "trainer", Cost: 100})
	}
	refusal, evicted := q.Offer(t0, &Item[string]{Caller: "app", Cost: 10})
	is.True(refusal == nil)
	is.Equal(evicted.Item.Value, "9")
	is.Equal(q.Len(), 10)
	refusal, evicted = q.Offer(t0, &Item[string]{Caller: "trainer", Cost: 100})
	is.Equal(refusal.Reason, ReasonFull)
	is.True(refusal.RetryAfter >= time.Second)
	is.True(evicted == nil)
}

// Guards against queueing a request whose deadline cannot be met, or keeping it.
func TestDeadlineThatCannotBeMetIsRefusedAtOnce(t *testing.T) {
	is := is.New(t)
	q := NewQueue[string](1000, rateWithSamples(1, 10, time.Second))
	refusal, _ := q.Offer(t0, &Item[string]{Cost: 10, Deadline: at(500 * time.Millisecond)})
	is.Equal(refusal.Reason, ReasonDeadline)
	for range 8 {
		refusal, _ = q.Offer(t0, &Item[string]{Cost: 10, Deadline: at(20 * time.Second)})
		is.True(refusal == nil)
	}
	refusal, _ = q.Offer(t0, &Item[string]{Cost: 10, Deadline: at(5 * time.Second)})
	is.Equal(refusal.Reason, ReasonDeadline)
	is.Equal(refusal.RetryAfter, 8*time.Second)
	is.Equal(len(q.Sweep(at(time.Second))), 0)
	// Nothing is served for 15 s, so the items at the end of the queue miss their
	// deadline.
	dropped := q.Sweep(at(15 * time.Second))
	is.True(len(dropped) >= 4 && len(dropped) < 8)
	is.Equal(q.Len(), 8-len(dropped))
}

// Guards against counters that drift from the queue's content under a seeded random
// sequence of operations.
func TestQueueCountersMatchContent(t *testing.T) {
	is := is.New(t)
	rng := rand.New(rand.NewPCG(3, 3))
	q := NewQueue[int](50, rateWithSamples(4, 5, 100*time.Millisecond))
	held := make(map[*Item[int]]bool)
	drop := func(d *Dropped[int]) {
		is.True(held[d.Item])
		delete(held, d.Item)
	}
	for step := range 20000 {
		now := at(time.Duration(step) * time.Millisecond)
		switch rng.IntN(5) {
		case 0, 1:
			item := &Item[int]{Caller: fmt.Sprint(rng.IntN(5)), Cost: float64(rng.IntN(10)), Deadline: now.Add(time.Duration(rng.IntN(3000)) * time.Millisecond)}
			refusal, evicted := q.Offer(now, item)
			if evicted != nil {
				drop(evicted)
			}
			held[item] = refusal == nil
			if refusal != nil {
				delete(held, item)
			}
		case 2:
			if item := q.Next(); item != nil {
				is.True(held[item])
				if rng.IntN(2) == 0 {
					q.Return(item)
				} else {
					delete(held, item)
				}
			}
		case 3:
			for _, d := range q.Sweep(now) {
				drop(&d)
			}
		case 4:
			for item := range held {
				is.True(q.Remove(item))
				is.True(!q.Remove(item))
				delete(held, item)
				break
			}
		}
		is.Equal(q.Len(), len(held))
		is.True(q.Len() <= 51) // Return may exceed the limit by the item it puts back
	}
}

// Guards against retries multiplying the load when a zone fails.
func TestRetryBudget(t *testing.T) {
	is := is.New(t)
	b := NewRetryBudget(0.1)
	for i := range 1000 {
		b.RecordRequest(at(time.Duration(i) * time.Millisecond))
	}
	granted := 0
	for range 1000 {
		if b.AllowRetry(at(time.Second)) {
			granted++
		}
	}
	is.Equal(granted, 100+baseRetries)
	is.True(b.AllowRetry(at(time.Minute)))
}

// Guards against requests that failed together being retried together.
func TestBackoffIsJitteredAndBounded(t *testing.T) {
	is := is.New(t)
	rng := rand.New(rand.NewPCG(1, 1))
	seen := make(map[time.Duration]bool)
	for n := range 20 {
		for range 50 {
			d := Backoff(n, rng)
			full := min(backoffBase<<min(n, 10), backoffMax)
			is.True(d >= full/2 && d <= full)
			seen[d] = true
		}
	}
	is.True(len(seen) > 900)
}

// Guards against a limit that exceeds the configured one, does not fall when
// latency grows, or never recovers.
func TestLimiter(t *testing.T) {
	is := is.New(t)
	l := NewLimiter(20)
	for range 1000 {
		l.Observe(10*time.Millisecond, l.Limit())
		is.True(l.Limit() <= 20)
	}
	is.Equal(l.Limit(), 20)
	for range 100 {
		l.Observe(100*time.Millisecond, l.Limit())
	}
	is.True(l.Limit() < 17)
	low := l.Limit()
	l.Overload(t0)
	is.True(l.Limit() < low)
	low = l.Limit()
	l.Overload(at(time.Millisecond))
	is.Equal(l.Limit(), low)
	for range 2000 {
		l.Observe(10*time.Millisecond, l.Limit())
	}
	is.Equal(l.Limit(), 20)
}

// Guards against an estimate that falls when load is low: a service that is idle
// half of the time must not appear half as fast.
func TestRateDoesNotDependOnUtilization(t *testing.T) {
	is := is.New(t)
	r := rateWithSamples(10, 50, 500*time.Millisecond)
	is.Equal(r.PerSecond(), 1000.0)
	is.Equal(r.drainTime(2000), 2*time.Second)
}
