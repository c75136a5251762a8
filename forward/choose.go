package forward

import (
	"math/rand/v2"
	"time"

	"merlinhall/directory"
	"merlinhall/wire"
)

// localBonus is how much longer an answer of the own zone may take before a
// target of another zone is preferred: bytes between zones are costly.
const localBonus = 1.25

// coldFactor is how much longer an answer may take over an open connection before
// a new one is opened: that takes a round trip and a moment of a target's slot, and
// a target bounds its connections. A process with few requests thus uses few
// targets.
const coldFactor = 2.5

// choose returns the target with the least expected time and counts the request
// to it, or returns nil when all have been tried. Targets in doubt come last.
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

// doubtCost puts a target in doubt behind every other one.
const doubtCost = 1e6

// cost is the expected time of a request, by what this process has under way
// there and how long recent answers took. The random part spreads the requests of
// processes that know equally little.
func (f *Forwarder) cost(now time.Time, t *wire.TargetEntry) float64 {
	s := f.state(t.ID)
	cost := (float64(s.outstanding) + 0.5 + rand.Float64()) * (s.latency.Seconds() + typicalWork.Seconds())
	if t.Zone != f.Zone {
		cost *= localBonus
	}
	if !f.Pool.Warm(directory.Address(t)) {
		cost *= coldFactor
	}
	if now.Before(s.doubtUntil) {
		cost += doubtCost
	}
	return cost
}

// typicalWork stands for the part of a request's time that is not known yet.
const typicalWork = 20 * time.Millisecond
