package entry

import (
	"net"
	"time"

	"merlinhall/config"
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
		key  string
		conn *link.Conn
	}
	downMessage struct {
		key    string
		conn   *link.Conn
		reason error
	}
	peerMessage struct {
		key     string
		conn    *link.Conn
		message wire.Message
	}
	consumedMessage struct {
		flight *flight
		chunks uint64
	}
)

// dispatcher is the duty that owns all requests and targets of an entry.
type dispatcher struct {
	entry    *Entry
	view     *view
	targets  map[string]*target
	services map[string][]*target
	flights  map[*flight]struct{}
	attempts map[string]*flight // by attempt id
	waiting  map[*flight]struct{}
	stopped  bool
}

func newDispatcher(e *Entry) *dispatcher {
	return &dispatcher{
		entry:    e,
		targets:  make(map[string]*target),
		services: make(map[string][]*target),
		flights:  make(map[*flight]struct{}),
		attempts: make(map[string]*flight),
		waiting:  make(map[*flight]struct{}),
	}
}

// Receive implements duty.Handler.
func (d *dispatcher) Receive(message any) {
	now := time.Now()
	switch m := message.(type) {
	case tickMessage:
		d.onTick(now)
	case *view:
		d.onWorld(now, m)
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
	}
}

func (d *dispatcher) onTick(now time.Time) {
	for f := range d.flights {
		d.step(now, f, tick{})
	}
	for f := range d.waiting {
		d.place(now, f)
	}
}

func (d *dispatcher) onSubmit(now time.Time, f *flight) {
	f.accepted = now
	d.flights[f] = struct{}{}
	if d.stopped {
		d.finish(f, notRun("this entry has stopped", time.Second))
		return
	}
	d.waiting[f] = struct{}{}
	d.place(now, f)
}

// place gives a waiting flight a target.
func (d *dispatcher) place(now time.Time, f *flight) {
	if now.Before(f.notBefore) {
		return
	}
	t := d.choose(f)
	if t == nil {
		return
	}
	delete(d.waiting, f)
	f.target = t
	t.flights[f] = struct{}{}
	d.step(now, f, assigned{target: t.key, boot: t.boot, configVersion: d.view.world.ConfigVersion})
}

func (d *dispatcher) choose(f *flight) *target {
	var best *target
	for _, t := range d.services[f.service] {
		if !t.usable() {
			continue
		}
		if best == nil || better(t, best, f.avoid) {
			best = t
		}
	}
	return best
}

func better(a, b *target, avoid string) bool {
	if (a.key == avoid) != (b.key == avoid) {
		return b.key == avoid
	}
	return len(a.flights) < len(b.flights)
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
		d.deliver(f, a.chunk)
	case route:
		d.reroute(now, f, a)
	case finish:
		d.finish(f, a.result)
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
	if a.first {
		d.attempts[f.request.attempt] = f
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

func (d *dispatcher) deliver(f *flight, c *wire.Chunk) {
	select {
	case f.chunks <- c:
	default:
		duty.Invariant(false, "request %s has more than %d chunks waiting", f.request.id, creditWindow)
	}
}

func (d *dispatcher) reroute(now time.Time, f *flight, a route) {
	d.detach(f)
	f.avoid = a.avoid
	f.notBefore = now.Add(10 * time.Millisecond)
	d.waiting[f] = struct{}{}
}

// detach ends the current attempt of f.
func (d *dispatcher) detach(f *flight) {
	delete(d.attempts, f.request.attempt)
	if f.target == nil {
		return
	}
	t := f.target
	f.target = nil
	delete(t.flights, f)
	d.dropIdle(t)
}

func (d *dispatcher) finish(f *flight, result Result) {
	d.detach(f)
	delete(d.waiting, f)
	delete(d.flights, f)
	f.result = result
	close(f.chunks)
	d.entry.ended()
}

func (d *dispatcher) onUp(now time.Time, m upMessage) {
	t := d.targets[m.key]
	if t == nil {
		return
	}
	if t.conn != nil {
		d.linkLost(now, t)
	}
	t.conn = m.conn
	d.entry.links.Add(1)
	t.boot = m.conn.Peer().Boot
	t.load.Down = false
	d.sendCancels(t)
	for f := range t.flights {
		d.step(now, f, linkUp{boot: t.boot})
	}
	for f := range d.waiting {
		d.place(now, f)
	}
}

func (d *dispatcher) sendCancels(t *target) {
	for _, a := range t.cancels {
		if a.boot == t.boot {
			_ = t.conn.Send(&wire.Cancel{ID: a.attempt})
		}
	}
	t.cancels = nil
}

func (d *dispatcher) onDown(now time.Time, m downMessage) {
	t := d.targets[m.key]
	if t == nil || t.conn != m.conn {
		return
	}
	d.entry.log.WithField("target", t.config.Name).WithError(m.reason).Warn("link lost")
	d.linkLost(now, t)
}

func (d *dispatcher) linkLost(now time.Time, t *target) {
	t.conn = nil
	d.entry.links.Add(-1)
	for f := range t.flights {
		d.step(now, f, linkDown{})
	}
}

func (d *dispatcher) onPeer(now time.Time, m peerMessage) {
	switch msg := m.message.(type) {
	case *wire.Chunk:
		d.stepAttempt(now, msg.ID, msg)
	case *wire.Refused:
		d.stepAttempt(now, msg.ID, msg)
	case *wire.Revoked:
		d.stepAttempt(now, msg.ID, msg)
	case *wire.Load:
		d.onLoad(now, m, msg)
	}
}

func (d *dispatcher) stepAttempt(now time.Time, id string, input any) {
	if f := d.attempts[id]; f != nil {
		d.step(now, f, input)
	}
}

func (d *dispatcher) onLoad(now time.Time, m peerMessage, l *wire.Load) {
	t := d.targets[m.key]
	if t == nil || t.conn != m.conn {
		return
	}
	t.load = *l
	if l.Leaving || l.Down {
		d.depart(now, t, "the target is leaving or down")
	}
}

func (d *dispatcher) depart(now time.Time, t *target, why string) {
	for f := range t.flights {
		d.step(now, f, departing{why})
	}
}

func (d *dispatcher) onWorld(now time.Time, v *view) {
	if d.view != nil && v.world.Index < d.view.world.Index {
		return
	}
	d.view = v
	leaving := departures(v.world)
	for _, t := range d.targets {
		t.removed = true
	}
	clear(d.services)
	for i := range v.config.Services {
		s := &v.config.Services[i]
		d.services[s.Name] = d.adopt(s.Targets, leaving)
	}
	for i := range v.config.Pools {
		p := &v.config.Pools[i]
		d.services[p.Name] = d.adopt(p.Targets, leaving)
	}
	for _, t := range d.targets {
		if t.removed || t.leaving {
			d.depart(now, t, "the target is removed or leaving")
		}
		d.dropIdle(t)
	}
	for f := range d.waiting {
		d.place(now, f)
	}
}

func (d *dispatcher) adopt(list []config.Target, leaving map[string]bool) []*target {
	out := make([]*target, 0, len(list))
	for _, c := range list {
		t := d.targets[targetKey(c)]
		if t == nil {
			t = d.dial(c)
		}
		t.config = c
		t.removed = false
		t.leaving = leaving[c.Name] || leaving[host(c.Agent)] || leaving[host(c.Address)]
		out = append(out, t)
	}
	return out
}

func (d *dispatcher) dial(c config.Target) *target {
	t := &target{key: targetKey(c), config: c, flights: make(map[*flight]struct{})}
	d.targets[t.key] = t
	o := d.entry.options
	t.dialer = link.Keep(o.Client, o.Scheme, c.Agent, o.Hello, &targetEvents{d.entry, t.key})
	return t
}

// dropIdle closes the link of a removed target that has no request left.
func (d *dispatcher) dropIdle(t *target) {
	if !t.removed || len(t.flights) > 0 || d.targets[t.key] != t {
		return
	}
	delete(d.targets, t.key)
	if t.conn != nil {
		d.entry.links.Add(-1)
	}
	// Stop waits for nothing, but the events of the closing link come back to
	// this duty.
	go t.dialer.Stop()
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

// departures returns the names and hosts that the world reports as leaving.
func departures(w *wire.World) map[string]bool {
	leaving := make(map[string]bool, len(w.Departures)+len(w.LeavingHosts))
	for _, d := range w.Departures {
		leaving[d.Target] = true
	}
	for _, h := range w.LeavingHosts {
		leaving[h] = true
	}
	return leaving
}

func host(address string) string {
	h, _, err := net.SplitHostPort(address)
	if err != nil {
		return address
	}
	return h
}
