package entry

import (
	"hash/fnv"
	"math/rand/v2"
	"time"

	"merlinhall/duty"
	"merlinhall/link"
	"merlinhall/wire"
)

// Messages of the dispatcher, besides *view.
type (
	tickMessage   struct{}
	stopMessage   struct{}
	submitMessage struct{ flight *flight }
	leaveMessage  struct{ flight *flight }
	upMessage     struct {
		target *target
		conn   *link.Conn
	}
	downMessage struct {
		target *target
		conn   *link.Conn
		reason error
	}
	peerMessage struct {
		target  *target
		conn    *link.Conn
		message wire.Message
	}
	// commitQuery asks whether the caller may see the pieces of an attempt.
	commitQuery struct {
		flight  *flight
		attempt int
	}
	consumedMessage struct {
		flight *flight
		chunks uint64
	}
)

// dispatcher is the duty that owns all requests and targets of an entry.
type dispatcher struct {
	entry    *Entry
	rng      *rand.Rand
	view     *view
	near     nearMessage
	targets  map[string]*target
	services map[string]*service
	flights  map[*flight]struct{}
	attempts map[string]*flight // by attempt id
	ready    map[*service]bool  // services with room since the last placement
	alarm    *duty.Alarm        // of the next tick
	ticked   time.Time
	stopped  bool
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
		flights:  make(map[*flight]struct{}),
		attempts: make(map[string]*flight),
		ready:    make(map[*service]bool),
	}
}

// Receive implements duty.Handler.
func (d *dispatcher) Receive(message any) {
	now := time.Now()
	switch m := message.(type) {
	case tickMessage:
		d.alarm.Rang()
		d.onTick(now)
	case *view:
		d.onWorld(now, m)
	case nearMessage:
		d.onNear(now, m)
	case submitMessage:
		d.onSubmit(now, m.flight)
	case leaveMessage:
		d.step(now, m.flight, callerGone{})
	case consumedMessage:
		d.step(now, m.flight, consumed{m.chunks})
	case upMessage:
		d.onUp(now, m)
	case downMessage:
		d.onDown(now, m)
	case peerMessage:
		d.onPeer(now, m)
	case stopMessage:
		d.onStop(now)
	case duty.Call[commitQuery, bool]:
		m.Reply(m.Query.flight.request.commit(m.Query.attempt))
	case duty.Call[struct{}, any]:
		m.Reply(d.dump(now))
	}
	d.placeReady(now)
	d.alarm.Ring(now, d.nextTick(now))
}

// nextTick returns the time of the next tick. Without a request nothing has a
// deadline: ticks of tickPeriod took more than half of the processor time of an idle
// entry.
func (d *dispatcher) nextTick(now time.Time) time.Time {
	if len(d.flights) > 0 {
		return now.Add(tickPeriod)
	}
	return now.Add(restPeriod)
}

// wake makes up for the ticks that were left out while there was no request, so
// that a request never meets state older than tickPeriod.
func (d *dispatcher) wake(now time.Time) {
	if now.Sub(d.ticked) >= tickPeriod {
		d.onTick(now)
	}
}

func (d *dispatcher) onTick(now time.Time) {
	d.ticked = now
	for f := range d.flights {
		d.step(now, f, tick{})
	}
	for _, s := range d.services {
		s.setSlots(now)
		d.sweep(now, s)
		d.unpark(now, s)
		d.ready[s] = true
	}
	d.entry.metrics.gauges(d)
}

// step runs one input through the state machine of f and carries out the actions.
func (d *dispatcher) step(now time.Time, f *flight, input any) {
	for _, a := range f.request.step(now, input) {
		d.perform(now, f, a)
	}
}

func (d *dispatcher) perform(now time.Time, f *flight, a action) {
	switch a := a.(type) {
	case send:
		d.send(now, f, a)
	case abandon:
		d.abandon(a)
	case deliver:
		d.deliver(f, a)
	case blame:
		d.blame(now, a.target)
	case route:
		d.reroute(now, f, a)
	case finish:
		d.finish(now, f, a.result)
	}
}

func (d *dispatcher) send(now time.Time, f *flight, a send) {
	t := d.targets[a.target]
	if t == nil || t.conn == nil {
		if a.first {
			d.step(now, f, runNotSent{})
		}
		return
	}
	err := t.conn.Send(a.message)
	if err == nil {
		return
	}
	if a.first {
		d.step(now, f, runNotSent{})
		return
	}
	// The request attaches again over the next link.
	t.conn.Close(err)
}

func (d *dispatcher) abandon(a abandon) {
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

func (d *dispatcher) deliver(f *flight, a deliver) {
	if a.chunk.Status != 0 {
		f.status = a.chunk.Status
	}
	select {
	case f.chunks <- piece{a.chunk, a.attempt}:
	default:
		duty.Invariant(false, "request %s has more than %d chunks waiting", f.request.id, creditWindow)
	}
}

func (d *dispatcher) blame(now time.Time, key string) {
	if t := d.targets[key]; t != nil {
		t.service.health.Fail(now, key)
	}
}

// detach ends the current attempt of f.
func (d *dispatcher) detach(f *flight) {
	delete(d.attempts, f.request.attempt)
	t := f.target
	if t == nil {
		return
	}
	f.target = nil
	delete(t.flights, f)
	d.ready[t.service] = true
	d.dropIdle(t)
}

func (d *dispatcher) finish(now time.Time, f *flight, result Result) {
	if t := f.target; t != nil && result.Outcome == OutcomeDone {
		f.service.observe(now, t, f)
	}
	d.detach(f)
	if f.item != nil {
		f.service.queue.Remove(f.item)
	}
	delete(d.flights, f)
	f.result = result
	close(f.chunks)
	d.entry.ended(f)
}

func (d *dispatcher) onPeer(now time.Time, m peerMessage) {
	if !d.holds(m.target) {
		return
	}
	if t := m.target; t.conn == m.conn && !t.heard.IsZero() {
		t.heard = now
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

// holds reports whether t is in use. Events of the links of a target that was
// dropped may still arrive, also when a target of the same key was added since.
func (d *dispatcher) holds(t *target) bool { return d.targets[t.key] == t }

func (d *dispatcher) stepAttempt(now time.Time, id string, input any) {
	if f := d.attempts[id]; f != nil {
		d.step(now, f, input)
	}
}

// onRefused takes what a refusal says of the target before the request moves.
func (d *dispatcher) onRefused(now time.Time, t *target, m *wire.Refused) {
	switch m.Reason {
	case wire.RefusedLeaving:
		t.leavingSign = now
	case wire.RefusedNotReady, wire.RefusedStale:
		t.notReady = now.Add(notReadyFor)
	case wire.RefusedOverload, wire.RefusedTableFull:
		t.limiter.Overload(now)
	case wire.RefusedTargetDown:
		t.load.Down = true // until the next report
	}
	d.stepAttempt(now, m.ID, m)
}

func (d *dispatcher) onLoad(now time.Time, m peerMessage, l *wire.Load) {
	t := m.target
	if t.conn != m.conn {
		return
	}
	wasDown := t.load.Down
	t.report(now, l)
	if wasDown && !l.Down {
		t.service.health.Recover(now, t.key)
	}
	if l.Leaving || l.Down {
		d.depart(now, t, "the target is leaving or down")
	}
	d.ready[t.service] = true
}

// depart asks back the requests that a departing target has not started.
func (d *dispatcher) depart(now time.Time, t *target, why string) {
	for f := range t.flights {
		d.step(now, f, departing{why})
	}
}

func (d *dispatcher) onStop(now time.Time) {
	d.stopped = true
	for f := range d.flights {
		d.step(now, f, callerGone{})
	}
	for _, t := range d.targets {
		go t.dialer.Stop()
	}
	clear(d.targets)
}
