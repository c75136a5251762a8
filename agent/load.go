package agent

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"merlinhall/link"
	"merlinhall/wire"
)

const (
	// maxProbeFailures is the number of consecutive failed probes after which the
	// target is reported as down. One failure makes it suspect.
	maxProbeFailures = 2
	// maxCachedPrefixes is the maximum number of prefixes remembered from the
	// engine's cache.
	maxCachedPrefixes = 4096
)

// linkState is the state of one incoming link.
type linkState struct {
	conn *link.Conn
	// needsCacheReset is set when the peer's copy of the prefix cache is out of date,
	// so that the next report must carry the complete cache.
	needsCacheReset bool
}

// loadState is the last known load of the target.
type loadState struct {
	state           engineState
	suspect         bool
	probeFailures   int // consecutive failed probes
	polling         bool
	pollAgain       bool   // a read was requested while another was in progress
	cacheCursor     uint64 // sequence number of the last cache event that was read
	cachedPrefixes  map[uint64]struct{}
	addedPrefixes   []uint64
	evictedPrefixes []uint64
	cacheReset      bool
	reported        wire.Load
}

// stateRead is the result of reading the target's state.
type stateRead struct {
	action     gateAction
	orderEpoch uint64 // Agent.orderEpoch when the read began
	state      *engineState
	err        error
}

func (a *Agent) linkUp(c *link.Conn) {
	a.lastLinkID++
	a.links[a.lastLinkID] = &linkState{conn: c, needsCacheReset: true}
	a.linkIDs[c] = a.lastLinkID
	a.reportTo(a.links[a.lastLinkID], a.currentLoad())
}

func (a *Agent) linkDown(c *link.Conn) {
	id, ok := a.linkIDs[c]
	if !ok {
		return
	}
	delete(a.linkIDs, c)
	delete(a.links, id)
	a.applyEffects(a.table.LinkDown(now(), id))
}

func (a *Agent) currentLoad() wire.Load {
	return wire.Load{
		Target:   a.opts.Local.Target,
		Boot:     a.opts.Local.Boot,
		Running:  len(a.table.running),
		Queued:   a.load.state.Queued,
		Version:  a.load.state.Version,
		Leaving:  a.route.draining || a.route.departing || a.route.hasConfig && a.route.placement == nil,
		Down:     a.table.targetDown,
		Swapping: a.gate.swapping() || a.load.state.Swapping,
		Suspect:  a.load.suspect,
		FreeKV:   a.load.state.FreeKV,
	}
}

// reportLoad sends a load report to all entries.
func (a *Agent) reportLoad() {
	l := a.currentLoad()
	l.CachedPrefixes = a.load.addedPrefixes
	l.EvictedPrefixes = a.load.evictedPrefixes
	for _, p := range a.links {
		p.needsCacheReset = p.needsCacheReset || a.load.cacheReset
		a.reportTo(p, l)
	}
	a.load.addedPrefixes, a.load.evictedPrefixes, a.load.cacheReset = nil, nil, false
	l.CachedPrefixes, l.EvictedPrefixes = nil, nil
	a.load.reported = l
}

// reportTo sends a load report to one entry. If the entry's copy of the prefix
// cache is out of date, the report carries the complete cache.
func (a *Agent) reportTo(p *linkState, l wire.Load) {
	if !slices.Contains(p.conn.Peer().Roles, wire.RoleEntry) {
		return
	}
	if p.needsCacheReset {
		l.CacheReset = true
		l.EvictedPrefixes = nil
		l.CachedPrefixes = make([]uint64, 0, len(a.load.cachedPrefixes))
		for hash := range a.load.cachedPrefixes {
			l.CachedPrefixes = append(l.CachedPrefixes, hash)
		}
	}
	p.needsCacheReset = p.conn.Send(&l) != nil
}

// reportChange sends a load report at once if something changed that routing needs
// to know before the next regular report.
func (a *Agent) reportChange() {
	l, last := a.currentLoad(), a.load.reported
	if l.Leaving != last.Leaving || l.Down != last.Down || l.Swapping != last.Swapping ||
		l.Suspect != last.Suspect || l.Version != last.Version {
		a.reportLoad()
	}
}

// pollState reads the engine's state, or probes a plain service, on a new
// connection. The zero action stands for a read for the load report.
func (a *Agent) pollState(action gateAction) {
	if action.op == 0 && a.load.polling {
		a.load.pollAgain = true
		return
	}
	a.load.polling = a.load.polling || action.op == 0
	since, epoch := a.load.cacheCursor, a.orderEpoch
	go func() {
		ctx, cancel := context.WithTimeout(a.ctx, stateTimeout)
		defer cancel()
		r := stateRead{action: action, orderEpoch: epoch}
		failure := a.guard.Run(nil, func() {
			if a.engine != nil {
				r.state, r.err = a.engine.state(ctx, since)
			} else {
				r.err = a.target.probe(ctx)
			}
		})
		r.err = cmp.Or(failure, r.err)
		a.post(r)
	}()
}

func (a *Agent) handleStateRead(r stateRead) {
	if r.action.op == 0 {
		a.load.polling = false
		if a.load.pollAgain {
			a.load.pollAgain = false
			defer a.pollState(gateAction{})
		}
	}
	a.updateHealth(r.err)
	if r.state != nil {
		a.updateState(r)
		a.updateCache(r.state)
	}
	if a.engine != nil {
		a.updateVersion(r)
	}
	a.reportChange()
}

// updateState stores the state that was read. If an order started or ended since
// the read began, Version and Swapping are out of date and keep their old values.
func (a *Agent) updateState(r stateRead) {
	last := a.load.state
	a.load.state = *r.state
	if r.orderEpoch != a.orderEpoch {
		a.load.state.Version = last.Version
		a.load.state.Swapping = last.Swapping
	}
}

func (a *Agent) updateHealth(err error) {
	if err != nil {
		a.load.probeFailures++
		a.load.suspect = true
	} else {
		a.load.probeFailures = 0
		a.load.suspect = false
	}
	a.updateTargetDown(err)
}

// updateVersion passes the version that was read to the order gate and the version
// tracker, unless an order started or ended since the read began.
func (a *Agent) updateVersion(r stateRead) {
	stable := r.orderEpoch == a.orderEpoch && !a.gate.swapping()
	ok := r.err == nil && stable && !r.state.Swapping
	if r.action.op == gateState || ok {
		version := uint64(0)
		if r.state != nil {
			version = r.state.Version
		}
		a.gate.handleState(now(), r.action, version, ok)
	}
	switch {
	case ok:
		a.versions.confirm(r.state.Version)
	case r.err != nil && stable && a.versions.swapping():
		a.versions.invalidate()
	default:
		a.versions.notify()
	}
	a.updateTargetDown(nil)
	a.advanceGate()
}

// updateTargetDown recomputes whether the target is down: because of failed probes,
// or because maxSwapAttempts weight swaps have failed. probeErr is the error of the last
// probe, if that is why it is called.
func (a *Agent) updateTargetDown(probeErr error) {
	down := a.load.probeFailures >= maxProbeFailures || a.gate.attemptsExhausted
	if down != a.table.targetDown {
		log := a.log.WithFields(logrus.Fields{"down": down, "failed_probes": a.load.probeFailures, "failed_swaps": a.gate.swapFailures})
		if probeErr != nil {
			log = log.WithError(probeErr)
		}
		log.Warn("target health changed")
	}
	a.table.targetDown = down
}

func (a *Agent) updateCache(s *engineState) {
	a.load.cacheCursor = s.Next
	if s.Lost {
		a.load.cacheReset = true
		clear(a.load.cachedPrefixes)
		a.load.addedPrefixes, a.load.evictedPrefixes = nil, nil
	}
	for _, e := range s.Events {
		if e.Evicted {
			delete(a.load.cachedPrefixes, e.Hash)
			a.load.evictedPrefixes = append(a.load.evictedPrefixes, e.Hash)
			a.load.addedPrefixes = slices.DeleteFunc(a.load.addedPrefixes, func(h uint64) bool { return h == e.Hash })
			continue
		}
		if len(a.load.cachedPrefixes) >= maxCachedPrefixes {
			continue
		}
		a.load.cachedPrefixes[e.Hash] = struct{}{}
		a.load.addedPrefixes = append(a.load.addedPrefixes, e.Hash)
		a.load.evictedPrefixes = slices.DeleteFunc(a.load.evictedPrefixes, func(h uint64) bool { return h == e.Hash })
	}
}

// idleTimeoutOf returns the idle timeout configured for a placement, or the default.
func idleTimeoutOf(p *placement) time.Duration {
	switch {
	case p != nil && p.pool != nil && p.pool.IdleTimeout > 0:
		return p.pool.IdleTimeout
	case p != nil && p.service != nil && p.service.IdleTimeout > 0:
		return p.service.IdleTimeout
	}
	return defaultIdleTimeout
}
