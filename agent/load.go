package agent

import (
	"context"
	"slices"
	"time"

	"merlinhall/link"
	"merlinhall/wire"
)

const (
	// downAfter is the number of failed probes in a row after which the target is
	// reported down. One failure makes it suspect.
	downAfter = 2
	// cachedLimit bounds the prefixes of the engine's cache that are remembered.
	cachedLimit = 4096
)

// peer is a link of the agent.
type peer struct {
	conn *link.Conn
	// reset is set when the peer's view of the prefix cache is out of step.
	reset bool
}

// loadState is what the agent knows of its target's load.
type loadState struct {
	state    engineState
	suspect  bool
	failures int // failed probes in a row
	polling  bool
	again    bool // a read was asked for while another was under way
	since    uint64
	cached   map[uint64]struct{}
	added    []uint64
	evicted  []uint64
	reset    bool
	reported wire.Load
}

// stateRead is the result of a read of the target's state.
type stateRead struct {
	action gateAction
	orders uint64
	state  *engineState
	err    error
}

func (a *Agent) linkUp(c *link.Conn) {
	a.lastLink++
	a.links[a.lastLink] = &peer{conn: c, reset: true}
	a.ids[c] = a.lastLink
	a.reportTo(a.links[a.lastLink], a.currentLoad())
}

func (a *Agent) linkDown(c *link.Conn) {
	id, ok := a.ids[c]
	if !ok {
		return
	}
	delete(a.ids, c)
	delete(a.links, id)
	a.carry(a.table.LinkDown(now(), id))
}

func (a *Agent) currentLoad() wire.Load {
	return wire.Load{
		Target:   a.o.Local.Target,
		Boot:     a.o.Local.Boot,
		Running:  len(a.table.running),
		Queued:   a.load.state.Queued,
		Version:  a.load.state.Version,
		Leaving:  a.hop.draining || a.hop.departing || a.hop.seen && a.hop.place == nil,
		Down:     a.table.down,
		Swapping: a.gate.swapping() || a.load.state.Swapping,
		Suspect:  a.load.suspect,
		FreeKV:   a.load.state.FreeKV,
	}
}

// reportLoad sends a report to all entries.
func (a *Agent) reportLoad() {
	l := a.currentLoad()
	l.CachedPrefixes = a.load.added
	l.EvictedPrefixes = a.load.evicted
	for _, p := range a.links {
		p.reset = p.reset || a.load.reset
		a.reportTo(p, l)
	}
	a.load.added, a.load.evicted, a.load.reset = nil, nil, false
	l.CachedPrefixes, l.EvictedPrefixes = nil, nil
	a.load.reported = l
}

// reportTo sends a report to one entry; after a gap it holds the whole cache.
func (a *Agent) reportTo(p *peer, l wire.Load) {
	if !slices.Contains(p.conn.Peer().Roles, wire.RoleEntry) {
		return
	}
	if p.reset {
		l.CacheReset = true
		l.EvictedPrefixes = nil
		l.CachedPrefixes = make([]uint64, 0, len(a.load.cached))
		for hash := range a.load.cached {
			l.CachedPrefixes = append(l.CachedPrefixes, hash)
		}
	}
	p.reset = p.conn.Send(&l) != nil
}

// reportChange sends a report when something changed that routing must not wait
// for.
func (a *Agent) reportChange() {
	l, last := a.currentLoad(), a.load.reported
	if l.Leaving != last.Leaving || l.Down != last.Down || l.Swapping != last.Swapping ||
		l.Suspect != last.Suspect || l.Version != last.Version {
		a.reportLoad()
	}
}

// pollState reads the target's state, or probes a plain service, on a new
// connection. A zero action is a read for the load report.
func (a *Agent) pollState(action gateAction) {
	if action.op == 0 && a.load.polling {
		a.load.again = true
		return
	}
	a.load.polling = a.load.polling || action.op == 0
	since, orders := a.load.since, a.orders
	go func() {
		ctx, cancel := context.WithTimeout(a.ctx, stateLimit)
		defer cancel()
		r := stateRead{action: action, orders: orders}
		if a.engine != nil {
			r.state, r.err = a.engine.state(ctx, since)
		} else {
			r.err = a.target.probe(ctx)
		}
		a.post(r)
	}()
}

func (a *Agent) stateRead(r stateRead) {
	if r.action.op == 0 {
		a.load.polling = false
		if a.load.again {
			a.load.again = false
			defer a.pollState(gateAction{})
		}
	}
	a.noteHealth(r.err)
	if r.state != nil {
		a.noteState(r)
		a.noteCache(r.state)
	}
	if a.engine != nil {
		a.noteVersion(r)
	}
	a.reportChange()
}

// noteState takes up the state. The version and the swap of a read that began
// before an order started or ended are out of date.
func (a *Agent) noteState(r stateRead) {
	last := a.load.state
	a.load.state = *r.state
	if r.orders != a.orders {
		a.load.state.Version = last.Version
		a.load.state.Swapping = last.Swapping
	}
}

func (a *Agent) noteHealth(err error) {
	if err != nil {
		a.load.failures++
		a.load.suspect = true
	} else {
		a.load.failures = 0
		a.load.suspect = false
	}
	down := a.load.failures >= downAfter || a.gate.setAside
	if down != a.table.down {
		a.log.WithError(err).WithField("down", down).Warn("target health changed")
	}
	a.table.down = down
}

// noteVersion passes the version read to the gate and the witness, unless an
// order started or ended since the read began.
func (a *Agent) noteVersion(r stateRead) {
	stable := r.orders == a.orders && !a.gate.swapping()
	ok := r.err == nil && stable && !r.state.Swapping
	if r.action.op == gateState || ok {
		version := uint64(0)
		if r.state != nil {
			version = r.state.Version
		}
		a.gate.stateRead(now(), r.action, version, ok)
	}
	switch {
	case ok:
		a.witness.settled(r.state.Version)
	case r.err != nil && stable && a.witness.swapping():
		a.witness.lost()
	default:
		a.witness.wake()
	}
	a.noteHealthOfGate()
	a.advanceGate()
}

// noteHealthOfGate sets the target aside, or takes it back, as the gate says.
func (a *Agent) noteHealthOfGate() {
	a.table.down = a.load.failures >= downAfter || a.gate.setAside
}

func (a *Agent) noteCache(s *engineState) {
	a.load.since = s.Next
	if s.Lost {
		a.load.reset = true
		clear(a.load.cached)
		a.load.added, a.load.evicted = nil, nil
	}
	for _, e := range s.Events {
		if e.Evicted {
			delete(a.load.cached, e.Hash)
			a.load.evicted = append(a.load.evicted, e.Hash)
			a.load.added = slices.DeleteFunc(a.load.added, func(h uint64) bool { return h == e.Hash })
			continue
		}
		if len(a.load.cached) >= cachedLimit {
			continue
		}
		a.load.cached[e.Hash] = struct{}{}
		a.load.added = append(a.load.added, e.Hash)
		a.load.evicted = slices.DeleteFunc(a.load.evicted, func(h uint64) bool { return h == e.Hash })
	}
}

// idleBound returns the idle bound of a place.
func idleBound(p *place) time.Duration {
	switch {
	case p != nil && p.pool != nil && p.pool.IdleTimeout > 0:
		return p.pool.IdleTimeout
	case p != nil && p.service != nil && p.service.IdleTimeout > 0:
		return p.service.IdleTimeout
	}
	return defaultIdle
}
