package agent

import (
	"net"
	"slices"

	"merlinhall/config"
	"merlinhall/wire"
)

// placement is the configuration of one target: its owner and its own settings.
type placement struct {
	target  config.Target
	owner   string // name of the service or pool
	pool    *config.Pool
	service *config.Service
}

// findPlacement returns the placement of the target, or nil if it is not configured.
func findPlacement(c *config.Config, target string) *placement {
	for i := range c.Pools {
		p := &c.Pools[i]
		for _, t := range p.Targets {
			if t.Name == target {
				return &placement{target: t, owner: p.Name, pool: p}
			}
		}
	}
	for i := range c.Services {
		s := &c.Services[i]
		for _, t := range s.Targets {
			if t.Name == target {
				return &placement{target: t, owner: s.Name, service: s}
			}
		}
	}
	return nil
}

// routeCheck decides whether a request that was routed under some configuration
// version may still run on this target. It does no I/O.
type routeCheck struct {
	target    string
	version   uint64
	placement *placement
	// targetChangedAt is the configuration version that last added, removed or
	// changed the target; 0 before the first cluster state.
	targetChangedAt uint64
	// callsChangedAt is the configuration version that last changed which calls are
	// idempotent.
	callsChangedAt uint64
	departing      bool
	draining       bool
	hasConfig      bool
}

// update applies a cluster state with its parsed configuration. If versions were
// skipped, or none was known before, the changes in between are unknown and every
// older version counts as outdated.
func (h *routeCheck) update(w *wire.World, c *config.Config) {
	next := findPlacement(c, h.target)
	if !h.hasConfig || w.ConfigVersion > h.version+1 {
		h.targetChangedAt = w.ConfigVersion
		h.callsChangedAt = w.ConfigVersion
	} else if w.ConfigVersion > h.version {
		if !samePlacement(h.placement, next) {
			h.targetChangedAt = w.ConfigVersion
		}
		if !sameCalls(h.placement, next) {
			h.callsChangedAt = w.ConfigVersion
		}
	}
	h.hasConfig = true
	h.version = w.ConfigVersion
	h.placement = next
	h.departing = isDeparting(w, h.target, next)
}

func samePlacement(a, b *placement) bool {
	if a == nil || b == nil {
		return a == b
	}
	return a.owner == b.owner && a.target == b.target && (a.pool == nil) == (b.pool == nil)
}

func sameCalls(a, b *placement) bool {
	if a == nil || b == nil || a.service == nil || b.service == nil {
		return true // samePlacement detects this change
	}
	return slices.Equal(a.service.Calls, b.service.Calls)
}

func isDeparting(w *wire.World, target string, p *placement) bool {
	if slices.ContainsFunc(w.Departures, func(d wire.Departure) bool { return d.Target == target }) {
		return true
	}
	if p == nil || len(w.LeavingHosts) == 0 {
		return false
	}
	host, _, err := net.SplitHostPort(p.target.Address)
	return err == nil && slices.Contains(w.LeavingHosts, host)
}

// check returns the reason why the request must not run, or "".
func (h *routeCheck) check(m *wire.Run) wire.RefusedReason {
	switch {
	case h.draining, h.departing:
		return wire.RefusedLeaving
	case !h.hasConfig:
		return wire.RefusedNotReady
	case h.placement == nil && m.ConfigVersion > h.version:
		return wire.RefusedNotReady
	case h.placement == nil:
		return wire.RefusedLeaving
	case m.ConfigVersion < h.targetChangedAt:
		return wire.RefusedStale
	case m.Service != h.placement.owner && m.ConfigVersion > h.version:
		return wire.RefusedNotReady
	case m.Service != h.placement.owner:
		return wire.RefusedStale
	case (m.Generation != nil) != (h.placement.pool != nil):
		return wire.RefusedStale
	case h.placement.service != nil && m.ConfigVersion < h.callsChangedAt && h.idempotencyChanged(m):
		return wire.RefusedStale
	}
	return ""
}

// idempotencyChanged reports whether the call's idempotency differs between the
// configuration that the entry used and the current one.
func (h *routeCheck) idempotencyChanged(m *wire.Run) bool {
	return h.placement.service.Idempotent(m.Method, m.Path) != m.Idempotent
}
