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
// its turn at a target with a limit. If its turn comes later, it goes elsewhere or is rejected
// at once.
const maxWaitFraction = 0.5

// choose returns the target of the next attempt, or nil, and counts an outstanding request on
// it. A target with a limit is chosen only with a grant. A background request waits while it
// would only make a queue longer.
func (u *requestState) choose(ctx context.Context, beside bool) *wire.TargetEntry {
	w := u.wanted()
	until := time.Now().Add(time.Until(u.r.Deadline) / 2)
	for {
		c := u.f.choose(time.Now(), w, !beside, u.r.Background)
		if c.needsGrant {
			if granted := u.acquire(ctx, w, c.alternative); granted != nil || ctx.Err() != nil {
				return granted
			}
			c = u.f.choose(time.Now(), w, false, u.r.Background)
			c.queues = true
		}
		if c.target != nil || !c.queues || !u.r.Background || beside || !u.f.awaitRoom(ctx, until) {
			return c.target
		}
	}
}

// wanted says which targets a request may be sent to.
type wanted struct {
	service  string
	software wire.Software // the only one, unless it is unknown
	tried    map[string]bool
	refused  bool // targets have refused or failed it
}

// wanted returns the targets that are left for the request.
func (u *requestState) wanted() wanted {
	w := wanted{service: u.r.Route.Choose(u.r.ID), software: u.software, tried: u.tried, refused: len(u.tried) > 0 && u.inFlight == 0}
	if u.software.Known() {
		w.service = u.software.Service
	}
	return w
}

// allows reports whether the request may be sent to a target of the service.
func (w wanted) allows(t *wire.TargetEntry) bool {
	return !w.tried[t.ID] && (!w.software.Known() || w.software == t.Software())
}

// excluded returns the ids of the ready targets to which the request may not be sent, and of
// those that were tried.
func (w wanted) excluded(v *directory.View) []string {
	out := slices.Collect(maps.Keys(w.tried))
	if w.software.Known() {
		for _, t := range v.Ready(w.service) {
			if !w.allows(t) && !w.tried[t.ID] {
				out = append(out, t.ID)
			}
		}
	}
	slices.Sort(out)
	return out
}

// acquire returns a target with a limit that may get the request now, and counts an outstanding
// request on it, or nil. Background requests get no turn ahead of time: they would take those
// of callers.
func (u *requestState) acquire(ctx context.Context, targets wanted, alternative bool) *wire.TargetEntry {
	w := ratelimit.Want{Service: targets.service, Except: targets.excluded(u.f.Directory.View()), Priority: u.priority(), Only: !alternative && u.refused == 0}
	if !u.r.Background {
		w.Patience = time.Duration(float64(u.r.Route.Goal) * maxWaitFraction)
	}
	g := u.f.Limits.Acquire(ctx, w)
	if g.Target == "" {
		u.denied = g
		return nil
	}
	t := u.f.Directory.View().Target(g.Target)
	if t == nil || t.Draining || !targets.allows(t) {
		u.denied = ratelimit.Grant{RetryAfter: retryAfterRefused} // the leader's list differs
		return nil
	}
	u.f.mu.Lock()
	defer u.f.mu.Unlock()
	u.f.count(t, u.r.Background)
	return t
}

// priority returns the priority of a request. Callers wait for theirs; background requests of
// the same route give way to them.
func (u *requestState) priority() int {
	if u.r.Background {
		return u.r.Route.Priority + 1
	}
	return u.r.Route.Priority
}

// choice is the target with the lowest cost for a request.
type choice struct {
	target      *wire.TargetEntry // nil if all have been tried
	needsGrant  bool              // the target has a limit; otherwise an outstanding request was counted on it
	alternative bool              // there is a target without a limit
	queues      bool              // a target was left out, as a background request would wait there
}

// choose returns the ready target with the lowest cost that is wanted. Suspect targets come
// last. Those with a limit are left out unless limited is set.
func (f *Forwarder) choose(now time.Time, w wanted, limited, background bool) (c choice) {
	limits := f.Limits.Targets()
	f.mu.Lock()
	defer f.mu.Unlock()
	c = f.cheapest(now, w, f.zone(now, w, limits, background), limits, limited, background, rand.Float64)
	if c.target != nil && !c.needsGrant {
		f.count(c.target, background)
	}
	return c
}

// cheapest is choose without the count, for a request that goes to the given zone, unless it is
// "". The caller holds f.mu.
func (f *Forwarder) cheapest(now time.Time, w wanted, zone string, limits map[string]bool, limited, background bool, random func() float64) (c choice) {
	var bestCost float64
	for _, t := range f.Directory.View().Ready(w.service) {
		if !w.allows(t) || limits[t.ID] && !limited {
			continue
		}
		cost := f.cost(now, t, random)
		if limits[t.ID] {
			cost *= limitedFactor
		} else {
			c.alternative = true
			if background && !f.state(t.ID).background.hasRoom(now) {
				c.queues = true
				continue
			}
		}
		if f.outside(now, zone, w, t, limits, background) {
			continue
		}
		if c.target == nil || cost < bestCost {
			c.target, bestCost = t, cost
		}
	}
	c.needsGrant = c.target != nil && limits[c.target.ID]
	return c
}

// count counts an outstanding request on a target. The caller holds f.mu.
func (f *Forwarder) count(t *wire.TargetEntry, background bool) {
	f.Locality.Sent(t)
	s := f.state(t.ID)
	s.outstanding++
	if background {
		s.background.outstanding++
	}
}

// suspectCost is added to the cost of suspect targets. It exceeds the cost of any other
// target.
const suspectCost = 1e6

// cost estimates the time of a request on t from this process's outstanding requests
// and the recent latency. random returns numbers from 0 to 1, which spread the load of processes that have
// no or equal observations.
func (f *Forwarder) cost(now time.Time, t *wire.TargetEntry, random func() float64) float64 {
	s := f.state(t.ID)
	cost := waitingCost(s.outstanding, s.latency, f.speedOf(now, t), random(), random())
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
