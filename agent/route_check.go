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
	departing      bool // the cluster state says that the target or its host is leaving
	draining       bool // Agent.Drain was called
	hasConfig      bool
}

// update applies a cluster state with its parsed configuration. If versions were
// skipped, or none was known before, the changes in between are unknown and every
// older version counts as outdated.
func (r *routeCheck) update(w *wire.ClusterState, c *config.Config) {
	next := findPlacement(c, r.target)
	if !r.hasConfig || w.ConfigVersion > r.version+1 {
		r.targetChangedAt = w.ConfigVersion
		r.callsChangedAt = w.ConfigVersion
	} else if w.ConfigVersion > r.version {
		if !samePlacement(r.placement, next) {
			r.targetChangedAt = w.ConfigVersion
		}
		if !sameCalls(r.placement, next) {
			r.callsChangedAt = w.ConfigVersion
		}
	}
	r.hasConfig = true
	r.version = w.ConfigVersion
	r.placement = next
	r.departing = isDeparting(w, r.target, next)
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

func isDeparting(w *wire.ClusterState, target string, p *placement) bool {
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
func (r *routeCheck) check(m *wire.Run) wire.RefusedReason {
	switch {
	case r.draining, r.departing:
		return wire.RefusedLeaving
	case !r.hasConfig:
		return wire.RefusedNotReady
	case r.placement == nil && m.ConfigVersion > r.version:
		return wire.RefusedNotReady
	case r.placement == nil:
		return wire.RefusedLeaving
	case m.ConfigVersion < r.targetChangedAt:
		return wire.RefusedStale
	case m.Service != r.placement.owner && m.ConfigVersion > r.version:
		return wire.RefusedNotReady
	case m.Service != r.placement.owner:
		return wire.RefusedStale
	case (m.Generation != nil) != (r.placement.pool != nil):
		return wire.RefusedStale
	case r.placement.service != nil && m.ConfigVersion < r.callsChangedAt && r.idempotencyChanged(m):
		return wire.RefusedStale
	}
	return ""
}

// idempotencyChanged reports whether the call's idempotency differs between the
// configuration that the entry used and the current one.
func (r *routeCheck) idempotencyChanged(m *wire.Run) bool {
	return r.placement.service.Idempotent(m.Method, m.Path) != m.Idempotent
}
