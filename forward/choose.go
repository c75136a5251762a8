package forward

import (
	"math/rand/v2"
	"time"

	"merlinhall/directory"
	"merlinhall/wire"
)

// crossZoneFactor multiplies the cost of targets in other zones, because traffic between
// zones is expensive.
const crossZoneFactor = 1.25

// newConnFactor multiplies the cost of targets without an idle connection. A new
// connection takes a round trip and briefly occupies a slot of the target, and
// targets limit their connections. A process with few requests therefore uses few
// targets.
const newConnFactor = 2.5

// choose returns the ready target of the service with the lowest cost and counts an
// outstanding request on it. It returns nil when all ready targets have been tried.
// Suspect targets come last.
func (f *Forwarder) choose(now time.Time, service string, tried map[string]bool) *wire.TargetEntry {
	f.mu.Lock()
	defer f.mu.Unlock()
	var best *wire.TargetEntry
	var bestCost float64
	for _, t := range f.Directory.View().Ready(service) {
		if tried[t.ID] {
			continue
		}
		cost := f.cost(now, t)
		if best == nil || cost < bestCost {
			best, bestCost = t, cost
		}
	}
	if best != nil {
		f.state(best.ID).outstanding++
	}
	return best
}

// suspectCost is added to the cost of suspect targets. It exceeds the cost of any other
// target.
const suspectCost = 1e6

// cost estimates the time of a request on t from this process's outstanding requests
// and the recent latency. The random term spreads the load of processes that have
// no or equal observations.
func (f *Forwarder) cost(now time.Time, t *wire.TargetEntry) float64 {
	s := f.state(t.ID)
	cost := (float64(s.outstanding) + 0.5 + rand.Float64()) * (s.latency.Seconds() + unmeasuredTime.Seconds())
	if t.Zone != f.Zone {
		cost *= crossZoneFactor
	}
	if !f.Pool.HasIdleConn(directory.Address(t)) {
		cost *= newConnFactor
	}
	if now.Before(s.suspectUntil) {
		cost += suspectCost
	}
	return cost
}

// unmeasuredTime stands for the unmeasured part of a request's time. With it,
// outstanding requests raise the cost even before the first response.
const unmeasuredTime = 20 * time.Millisecond
