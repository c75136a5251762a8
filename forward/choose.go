package forward

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"merlinhall/directory"
	"merlinhall/ratelimit"
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

// limitedFactor multiplies the cost of targets that have named a limit: they are in need, and
// a grant takes a round trip to the control leader.
const limitedFactor = 2.0

// maxWaitFraction is the fraction of the response-time objective for which a request waits for
// its turn at a target with a limit. One that would wait longer is rejected at once.
const maxWaitFraction = 0.25

// choose returns the target of the next attempt, or nil, and counts an outstanding request on
// it. A target with a limit is chosen only with a grant.
func (u *requestState) choose(ctx context.Context, beside bool) *wire.TargetEntry {
	service := u.r.Route.Choose(u.r.ID)
	t, needsGrant, alternative := u.f.choose(time.Now(), service, u.tried, !beside)
	if !needsGrant {
		return t
	}
	if granted := u.acquire(ctx, service, alternative); granted != nil {
		return granted
	}
	if ctx.Err() != nil {
		return nil
	}
	t, _, _ = u.f.choose(time.Now(), service, u.tried, false)
	return t
}

// acquire returns a target with a limit that may get the request now, and counts an outstanding
// request on it, or nil. With an alternative the request does not wait for its turn.
func (u *requestState) acquire(ctx context.Context, service string, alternative bool) *wire.TargetEntry {
	w := ratelimit.Want{Service: service, Except: slices.Sorted(maps.Keys(u.tried)), Priority: u.r.Route.Priority, Only: !alternative && u.refused == 0}
	switch {
	case alternative:
	case u.r.Background:
		w.Patience = time.Until(u.r.Deadline) / 2
	default:
		w.Patience = time.Duration(float64(u.r.Route.Goal) * maxWaitFraction)
	}
	g := u.f.Limits.Acquire(ctx, w)
	if g.Target == "" {
		u.denied = g
		return nil
	}
	t := u.f.Directory.View().Target(g.Target)
	if t == nil || t.Draining || u.tried[t.ID] {
		u.denied = ratelimit.Grant{RetryAfter: retryAfterRefused} // the leader's list differs
		return nil
	}
	u.f.mu.Lock()
	defer u.f.mu.Unlock()
	u.f.state(t.ID).outstanding++
	return t
}

// choose returns the ready target of the service with the lowest cost, or nil when all have
// been tried. Suspect targets come last. Those with a limit are left out unless limited is set.
// If the target has one, it needs a grant, and alternative says whether another one has none;
// otherwise an outstanding request is counted on it.
func (f *Forwarder) choose(now time.Time, service string, tried map[string]bool, limited bool) (best *wire.TargetEntry, needsGrant, alternative bool) {
	limits := f.Limits.Targets()
	f.mu.Lock()
	defer f.mu.Unlock()
	var bestCost float64
	for _, t := range f.Directory.View().Ready(service) {
		if tried[t.ID] || limits[t.ID] && !limited {
			continue
		}
		cost := f.cost(now, t)
		if limits[t.ID] {
			cost *= limitedFactor
		} else {
			alternative = true
		}
		if best == nil || cost < bestCost {
			best, bestCost = t, cost
		}
	}
	if best == nil || limits[best.ID] {
		return best, best != nil, alternative
	}
	f.state(best.ID).outstanding++
	return best, false, alternative
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
