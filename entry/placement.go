package entry

import (
	"slices"
	"time"

	"merlinhall/admission"
	"merlinhall/routing"
)

func (d *dispatcher) onSubmit(now time.Time, f *flight) {
	if len(d.flights) == 0 {
		d.wake(now)
	}
	f.accepted = now
	f.waiting = now
	d.flights[f] = struct{}{}
	if d.stopped {
		d.finish(now, f, notRun("this entry has stopped", time.Second))
		return
	}
	f.service = d.services[f.name]
	if f.service == nil {
		d.finish(now, f, notRun("service is not in the configuration any more", time.Second))
		return
	}
	f.service.budget.Request(now)
	d.enqueue(now, f)
}

func (d *dispatcher) enqueue(now time.Time, f *flight) {
	s := f.service
	f.item = &admission.Item[*flight]{
		Value: f, Caller: f.caller, Priority: f.priority, Cost: f.cost, Deadline: f.request.deadline,
	}
	refusal, displaced := s.queue.Offer(now, f.item)
	if displaced != nil {
		d.refuse(now, displaced.Item.Value, displaced.Refusal)
	}
	if refusal != nil {
		f.item = nil
		d.refuse(now, f, *refusal)
		return
	}
	d.ready[s] = true
}

// refuse ends a request that was never sent.
func (d *dispatcher) refuse(now time.Time, f *flight, r admission.Refusal) {
	f.item = nil
	d.entry.metrics.refused(f.name, string(r.Reason))
	d.step(now, f, noTarget{why: string(r.Reason), retryAfter: r.RetryAfter})
}

// reroute takes a request from its target and lets it wait for another one.
func (d *dispatcher) reroute(now time.Time, f *flight, a route) {
	d.detach(f)
	f.avoid = a.avoid
	f.waiting = now
	f.tokensBefore = len(f.request.tokens)
	f.tries++
	s := f.service
	if !s.present {
		d.step(now, f, noTarget{why: "service was removed; " + a.why, retryAfter: time.Second})
		return
	}
	d.entry.metrics.retried(f.name)
	d.entry.log.WithField("request", f.callerID).WithField("target", a.avoid).WithField("reason", a.why).Debug("request moves")
	// A generation that has begun is not a retry: it goes on where it stopped.
	resumes := f.request.generation() && f.request.delivered > 0
	if !resumes && !transient(a.refused) && !s.budget.Retry(now) {
		d.step(now, f, noTarget{why: "retry budget is spent; " + a.why, retryAfter: time.Second})
		return
	}
	f.notBefore = now.Add(admission.Backoff(f.tries-1, d.rng))
	s.retries = append(s.retries, f)
}

// placeReady gives targets to waiting requests of the services where something
// changed.
func (d *dispatcher) placeReady(now time.Time) {
	for len(d.ready) > 0 {
		for s := range d.ready {
			delete(d.ready, s)
			d.placeRetries(now, s)
			d.placeQueued(now, s)
		}
	}
}

func (d *dispatcher) placeRetries(now time.Time, s *service) {
	waiting := s.retries
	s.retries = nil
	var kept []*flight
	for _, f := range waiting {
		if f.request.phase != phaseWaiting {
			continue // finished meanwhile
		}
		if now.Before(f.notBefore) || !d.place(now, f) {
			kept = append(kept, f)
		}
	}
	s.retries = append(kept, s.retries...)
}

func (d *dispatcher) placeQueued(now time.Time, s *service) {
	for {
		item := s.queue.Next()
		if item == nil {
			return
		}
		f := item.Value
		reason, ok := d.tryPlace(now, f)
		if ok {
			continue
		}
		if reason == routing.ReasonVersion {
			s.parked = append(s.parked, item)
			continue
		}
		s.queue.Return(item)
		return
	}
}

func (d *dispatcher) place(now time.Time, f *flight) bool {
	_, ok := d.tryPlace(now, f)
	return ok
}

func (d *dispatcher) tryPlace(now time.Time, f *flight) (routing.Reason, bool) {
	t, reason := f.service.choose(now, f, d.entry.options.Zone, d.rng)
	if t == nil {
		return reason, false
	}
	f.item = nil
	f.target = t
	f.assigned = now
	t.flights[f] = struct{}{}
	t.served++
	t.cache.Expect(now, f.prefixes)
	d.entry.metrics.chosen(f.name, string(reason))
	actions := f.request.step(now, assigned{target: t.key, boot: t.boot, configVersion: d.view.world.ConfigVersion})
	d.attempts[f.request.attempt] = f
	for _, a := range actions {
		d.perform(now, f, a)
	}
	return reason, true
}

// sweep refuses queued requests that are too late or have no target.
func (d *dispatcher) sweep(now time.Time, s *service) {
	for _, dropped := range s.queue.Sweep(now) {
		d.refuse(now, dropped.Item.Value, dropped.Refusal)
	}
	quiet := now.Sub(s.usable)
	for quiet > graceNone {
		item := s.queue.Next()
		if item == nil {
			break
		}
		d.refuse(now, item.Value, admission.Refusal{Reason: "no target is usable", RetryAfter: time.Second})
	}
	for _, f := range slices.Clone(s.retries) {
		limit := graceNone
		if f.request.delivered > 0 {
			limit = graceBroken
		}
		if quiet > limit && now.Sub(f.waiting) > limit {
			d.step(now, f, noTarget{why: "no target is usable", retryAfter: time.Second})
		}
	}
	// Without waiting requests nothing asks whether a target is usable.
	if s.queue.Len() == 0 && len(s.retries) == 0 {
		s.usable = now
	}
}

// unpark puts requests back that waited for a weight version.
func (d *dispatcher) unpark(now time.Time, s *service) {
	parked := s.parked
	s.parked = nil
	for _, item := range parked {
		if f := item.Value; f.request.phase == phaseWaiting && f.item == item {
			d.enqueue(now, f)
		}
	}
}
