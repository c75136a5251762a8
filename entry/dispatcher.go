package entry

import (
	"hash/fnv"
	"math/rand/v2"
	"time"

	"merlinhall/actor"
	"merlinhall/link"
	"merlinhall/wire"
)

// Messages to the dispatcher, in addition to *clusterView.
type (
	tickMessage   struct{}
	stopMessage   struct{}
	submitMessage struct{ request *activeRequest }
	cancelMessage struct{ request *activeRequest }
	linkUpMessage struct {
		target *target
		conn   *link.Conn
	}
	linkDownMessage struct {
		target *target
		conn   *link.Conn
		reason error
	}
	agentMessage struct {
		target  *target
		conn    *link.Conn
		message wire.Message
	}
	// commitQuery asks whether the chunks of an attempt may be shown to the caller.
	commitQuery struct {
		request *activeRequest
		attempt int
	}
	consumedMessage struct {
		request *activeRequest
		chunks  uint64
	}
)

// dispatcher is the actor that owns all requests and targets of an entry.
type dispatcher struct {
	entry     *Entry
	rng       *rand.Rand
	view      *clusterView
	followers followersMessage
	targets   map[string]*target
	services  map[string]*service
	requests  map[*activeRequest]struct{}
	attempts  map[string]*activeRequest // by attempt id
	ready     map[*service]bool         // services to be considered by the next placement
	alarm     *actor.Alarm              // for the next tick
	lastTick  time.Time
	stopped   bool
}

func newDispatcher(e *Entry) *dispatcher {
	seed := e.options.Seed
	if seed == 0 {
		h := fnv.New64a()
		_, _ = h.Write([]byte(e.options.Boot))
		seed = h.Sum64()
	}
	return &dispatcher{
		entry:    e,
		rng:      rand.New(rand.NewPCG(seed, 1)),
		targets:  make(map[string]*target),
		services: make(map[string]*service),
		requests: make(map[*activeRequest]struct{}),
		attempts: make(map[string]*activeRequest),
		ready:    make(map[*service]bool),
	}
}

// Receive implements actor.Handler.
func (d *dispatcher) Receive(message any) {
	now := time.Now()
	switch m := message.(type) {
	case tickMessage:
		d.alarm.Clear()
		d.onTick(now)
	case *clusterView:
		d.onClusterState(now, m)
	case followersMessage:
		d.onFollowers(now, m)
	case submitMessage:
		d.onSubmit(now, m.request)
	case cancelMessage:
		d.step(now, m.request, callerGone{})
	case consumedMessage:
		d.step(now, m.request, consumed{m.chunks})
	case linkUpMessage:
		d.onLinkUp(now, m)
	case linkDownMessage:
		d.onLinkDown(now, m)
	case agentMessage:
		d.onAgentMessage(now, m)
	case stopMessage:
		d.onStop(now)
	case actor.Call[commitQuery, bool]:
		m.Reply(m.Query.request.state.commit(m.Query.attempt))
	case actor.Call[struct{}, any]:
		m.Reply(d.dump(now))
	}
	d.placeReady(now)
	d.alarm.ScheduleAt(now, d.nextTick(now))
}

// nextTick returns the time of the next tick. Without requests there are no deadlines
// to check, and ticking every tickPeriod would take more than half of the CPU time of
// an idle entry.
func (d *dispatcher) nextTick(now time.Time) time.Time {
	if len(d.requests) > 0 {
		return now.Add(tickPeriod)
	}
	return now.Add(idleTickPeriod)
}

// catchUpTicks runs a tick if the last one is older than tickPeriod, so that the
// first request after an idle period does not use stale state.
func (d *dispatcher) catchUpTicks(now time.Time) {
	if now.Sub(d.lastTick) >= tickPeriod {
		d.onTick(now)
	}
}

func (d *dispatcher) onTick(now time.Time) {
	d.lastTick = now
	for req := range d.requests {
		d.step(now, req, tick{})
	}
	for _, s := range d.services {
		s.setSlots(now)
		d.sweep(now, s)
		d.unpark(now, s)
		d.ready[s] = true
	}
	d.entry.metrics.gauges(d)
}

// step applies an input to the state machine of req and performs the resulting actions.
func (d *dispatcher) step(now time.Time, req *activeRequest, input any) {
	for _, a := range req.state.step(now, input) {
		d.perform(now, req, a)
	}
}

func (d *dispatcher) perform(now time.Time, req *activeRequest, a action) {
	switch a := a.(type) {
	case send:
		d.send(now, req, a)
	case cancelAttempt:
		d.cancelAttempt(a)
	case deliver:
		d.deliver(req, a)
	case targetFailed:
		d.recordFailure(now, a.target)
	case reassign:
		d.reroute(now, req, a)
	case finish:
		d.finish(now, req, a.result)
	}
}

func (d *dispatcher) send(now time.Time, req *activeRequest, a send) {
	t := d.targets[a.target]
	if t == nil || t.conn == nil {
		if a.first {
			d.step(now, req, runNotSent{})
		}
		return
	}
	err := t.conn.Send(a.message)
	if err == nil {
		return
	}
	if a.first {
		d.step(now, req, runNotSent{})
		return
	}
	// The request attaches again when a new link is up.
	t.conn.Close(err)
}

func (d *dispatcher) cancelAttempt(a cancelAttempt) {
	t := d.targets[a.target]
	if t == nil {
		return
	}
	if t.conn == nil || t.conn.Send(&wire.Cancel{ID: a.attempt}) != nil {
		if len(t.cancels) < maxCancels {
			t.cancels = append(t.cancels, a)
		}
	}
}

func (d *dispatcher) deliver(req *activeRequest, a deliver) {
	if a.chunk.Status != 0 {
		req.status = a.chunk.Status
	}
	select {
	case req.chunks <- attemptChunk{a.chunk, a.attempt}:
	default:
		actor.Invariant(false, "request %s has more than %d unconsumed chunks", req.state.id, creditWindow)
	}
}

func (d *dispatcher) recordFailure(now time.Time, key string) {
	if t := d.targets[key]; t != nil {
		t.service.health.Fail(now, key)
	}
}

// detach removes req from its target and forgets its current attempt.
func (d *dispatcher) detach(req *activeRequest) {
	delete(d.attempts, req.state.attempt)
	t := req.target
	if t == nil {
		return
	}
	req.target = nil
	delete(t.requests, req)
	d.ready[t.service] = true
	d.removeUnused(t)
}

func (d *dispatcher) finish(now time.Time, req *activeRequest, result Result) {
	if t := req.target; t != nil && result.Outcome == OutcomeDone {
		req.service.observe(now, t, req)
	}
	d.detach(req)
	if req.item != nil {
		req.service.queue.Remove(req.item)
	}
	delete(d.requests, req)
	req.result = result
	close(req.chunks)
	d.entry.requestEnded(req)
}

func (d *dispatcher) onAgentMessage(now time.Time, m agentMessage) {
	if !d.isInUse(m.target) {
		return
	}
	if t := m.target; t.conn == m.conn && !t.lastHeard.IsZero() {
		t.lastHeard = now
	}
	switch msg := m.message.(type) {
	case *wire.Chunk:
		d.stepAttempt(now, msg.ID, msg)
	case *wire.Refused:
		d.onRefused(now, m.target, msg)
	case *wire.Revoked:
		d.stepAttempt(now, msg.ID, msg)
	case *wire.Load:
		d.onLoad(now, m, msg)
	}
}

// isInUse reports whether t is one of the current targets. Link events of a removed
// target may still arrive, even after another target with the same key was added.
func (d *dispatcher) isInUse(t *target) bool { return d.targets[t.key] == t }

func (d *dispatcher) stepAttempt(now time.Time, id string, input any) {
	if req := d.attempts[id]; req != nil {
		d.step(now, req, input)
	}
}

// onRefused updates the state of the target before it passes the refusal to the
// request.
func (d *dispatcher) onRefused(now time.Time, t *target, m *wire.Refused) {
	switch m.Reason {
	case wire.RefusedLeaving:
		t.leavingRefusedAt = now
	case wire.RefusedNotReady, wire.RefusedStale:
		t.notReadyUntil = now.Add(notReadyPause)
	case wire.RefusedOverload, wire.RefusedTableFull:
		t.limiter.Overload(now)
	case wire.RefusedTargetDown:
		t.load.Down = true // until the next load report
	}
	d.stepAttempt(now, m.ID, m)
}

func (d *dispatcher) onLoad(now time.Time, m agentMessage, l *wire.Load) {
	t := m.target
	if t.conn != m.conn {
		return
	}
	wasDown := t.load.Down
	t.applyLoad(now, l)
	if wasDown && !l.Down {
		t.service.health.Recover(now, t.key)
	}
	if l.Leaving || l.Down {
		d.revokeUnstarted(now, t, "the target is leaving or down")
	}
	d.ready[t.service] = true
}

// revokeUnstarted sends Revoke for the requests on a departing target that have no
// answer yet. They move to another target if the agent confirms that they did not start.
func (d *dispatcher) revokeUnstarted(now time.Time, t *target, detail string) {
	for req := range t.requests {
		d.step(now, req, departing{detail})
	}
}

func (d *dispatcher) onStop(now time.Time) {
	d.stopped = true
	for req := range d.requests {
		d.step(now, req, entryStopped{})
	}
	for _, t := range d.targets {
		go t.dialer.Stop()
	}
	clear(d.targets)
}
