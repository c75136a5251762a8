package batch

import (
	"math"
	"slices"
	"time"
)

const (
	// loadShare is the largest share of the engines with a model that load weights at the
	// same time. More of them slow each other down, as they share the source of the weights.
	loadShare = 0.2
	// minConcurrentLoads is the number of concurrent loads that is always allowed.
	minConcurrentLoads = 2
	// expectedLoadTime is the duration of a load that shares its source with no other.
	expectedLoadTime = 900 * time.Millisecond
	// reportMaxAge is how old the state in an engine's report may be. If no run shows that
	// a load has finished, the engine is polled this long after expectedLoadTime.
	reportMaxAge = 200 * time.Millisecond
	// loadPollInterval is the time between two polls after that.
	loadPollInterval = 100 * time.Millisecond
	// loadTimeout is how long a load may take before the order is sent again.
	loadTimeout = 6 * time.Second
	// drainTimeout is added to loadTimeout for an engine that finishes its runs first: the
	// time of a long text and a margin.
	drainTimeout = 14 * time.Second
)

// load is an order to load a weight version, in progress on an engine.
type load struct {
	model      string
	version    uint64
	orderedAt  time.Time
	pollAt     time.Time
	drainsRuns bool // the engine finishes its runs before it loads
	accepted   bool // the order was answered as accepted, or its outcome is unknown
	answeredAt time.Time
	// ordersBefore is the number of orders that the engine had accepted before this one.
	ordersBefore uint64
}

// missed reports whether an engine that is not busy has not accepted the order by its report.
// The order may still arrive, and is refused then if it was sent again.
func (l *load) missed(requestedAt time.Time, orders uint64) bool {
	return l.accepted && requestedAt.Sub(l.answeredAt) >= reportMaxAge && orders <= l.ordersBefore
}

// timeout returns the time after which the load is abandoned.
func (l *load) timeout() time.Duration {
	if l.drainsRuns {
		return loadTimeout + drainTimeout
	}
	return loadTimeout
}

// loadPlan is an order to send.
type loadPlan struct {
	engine  *engine
	model   string
	version uint64
}

// planLoads selects the orders to send now; only a few loads run at the same time. A step
// may use the version before the one announced with it. The model with the smallest share
// of its engines at that version or a newer one comes first, and of its engines the one
// that is the most versions behind. Engines that are loading the model count as being at
// that version.
func planLoads(now time.Time, engines []*engine, assigned map[string]string, newest map[string]uint64) []loadPlan {
	allowed := max(minConcurrentLoads, int(math.Round(loadShare*float64(len(assigned)))))
	all, usable := make(map[string]float64), make(map[string]float64)
	var behind []loadPlan
	for _, e := range engines {
		m := assigned[e.id]
		all[m]++
		if e.versions[m]+1 >= newest[m] || e.load != nil && e.load.model == m {
			usable[m]++
		}
		if e.load != nil {
			allowed--
			continue
		}
		if l, ok := nextLoad(now, e, assigned[e.id], newest); ok {
			behind = append(behind, l)
		}
	}
	var out []loadPlan
	for len(out) < allowed && len(behind) > 0 {
		best := 0
		for i := range behind {
			if behind[i].before(behind[best], all, usable) {
				best = i
			}
		}
		l := behind[best]
		out = append(out, l)
		behind = slices.Delete(behind, best, best+1)
		if l.lag() > 1 {
			usable[l.model]++
		}
	}
	return out
}

// before reports whether l is more urgent than o. A load that only brings the newest
// version to an engine that can already serve the next step comes after all others.
func (l loadPlan) before(o loadPlan, all, usable map[string]float64) bool {
	if needed, other := l.lag() > 1, o.lag() > 1; needed != other {
		return needed
	}
	if a, b := usable[l.model]/all[l.model], usable[o.model]/all[o.model]; a != b {
		return a < b
	}
	if a, b := l.lag(), o.lag(); a != b {
		return a > b
	}
	return l.engine.unusedSlots() < o.engine.unusedSlots()
}

// nextLoad returns the load that an engine needs for its model, if any.
func nextLoad(now time.Time, e *engine, model string, newest map[string]uint64) (loadPlan, bool) {
	version, known := e.versions[model]
	if e.draining || now.Before(e.pausedUntil) || !known || newest[model] <= version {
		return loadPlan{}, false
	}
	return loadPlan{e, model, newest[model]}, true
}

func (l loadPlan) lag() uint64 { return l.version - l.engine.versions[l.model] }
