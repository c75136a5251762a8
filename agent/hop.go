package agent

import (
	"net"
	"slices"

	"merlinhall/config"
	"merlinhall/wire"
)

// place is what the configuration says of one target.
type place struct {
	target  config.Target
	owner   string // service or pool
	pool    *config.Pool
	service *config.Service
}

// findPlace returns the place of the target, or nil when it is not configured.
func findPlace(c *config.Config, target string) *place {
	for i := range c.Pools {
		p := &c.Pools[i]
		for _, t := range p.Targets {
			if t.Name == target {
				return &place{target: t, owner: p.Name, pool: p}
			}
		}
	}
	for i := range c.Services {
		s := &c.Services[i]
		for _, t := range s.Targets {
			if t.Name == target {
				return &place{target: t, owner: s.Name, service: s}
			}
		}
	}
	return nil
}

// lastHop decides whether a request routed by some configuration version may
// still run on this target. It is pure.
type lastHop struct {
	target  string
	version uint64
	place   *place
	// changed is the version at which the target was last removed, added or
	// changed, or 0 before the first world.
	changed uint64
	// callsChanged is the version at which the idempotency of calls last changed.
	callsChanged uint64
	departing    bool
	draining     bool
	seen         bool
}

// world takes up a world with its parsed configuration. When versions were
// skipped, or none was known before, what happened between is unknown and every
// older version counts as changed.
func (h *lastHop) world(w *wire.World, c *config.Config) {
	next := findPlace(c, h.target)
	if !h.seen || w.ConfigVersion > h.version+1 {
		h.changed = w.ConfigVersion
		h.callsChanged = w.ConfigVersion
	} else if w.ConfigVersion > h.version {
		if !samePlace(h.place, next) {
			h.changed = w.ConfigVersion
		}
		if !sameCalls(h.place, next) {
			h.callsChanged = w.ConfigVersion
		}
	}
	h.seen = true
	h.version = w.ConfigVersion
	h.place = next
	h.departing = departs(w, h.target, next)
}

func samePlace(a, b *place) bool {
	if a == nil || b == nil {
		return a == b
	}
	return a.owner == b.owner && a.target == b.target && (a.pool == nil) == (b.pool == nil)
}

func sameCalls(a, b *place) bool {
	if a == nil || b == nil || a.service == nil || b.service == nil {
		return true // a change of place is noted as such
	}
	return slices.Equal(a.service.Calls, b.service.Calls)
}

func departs(w *wire.World, target string, p *place) bool {
	if slices.ContainsFunc(w.Departures, func(d wire.Departure) bool { return d.Target == target }) {
		return true
	}
	if p == nil || len(w.LeavingHosts) == 0 {
		return false
	}
	host, _, err := net.SplitHostPort(p.target.Address)
	return err == nil && slices.Contains(w.LeavingHosts, host)
}

// check returns why the request must not run, or "".
func (h *lastHop) check(m *wire.Run) wire.RefusedReason {
	switch {
	case h.draining, h.departing:
		return wire.RefusedLeaving
	case !h.seen:
		return wire.RefusedNotReady
	case h.place == nil && m.ConfigVersion > h.version:
		return wire.RefusedNotReady
	case h.place == nil:
		return wire.RefusedLeaving
	case m.ConfigVersion < h.changed:
		return wire.RefusedStale
	case m.Service != h.place.owner && m.ConfigVersion > h.version:
		return wire.RefusedNotReady
	case m.Service != h.place.owner:
		return wire.RefusedStale
	case (m.Generation != nil) != (h.place.pool != nil):
		return wire.RefusedStale
	case h.place.service != nil && m.ConfigVersion < h.callsChanged && h.idempotencyChanged(m):
		return wire.RefusedStale
	}
	return ""
}

// idempotencyChanged compares the idempotency by which the entry routed the call
// to the current one.
func (h *lastHop) idempotencyChanged(m *wire.Run) bool {
	return h.place.service.Idempotent(m.Method, m.Path) != m.Idempotent
}
