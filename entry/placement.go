package entry

import (
	"slices"
	"time"

	"merlinhall/admission"
	"merlinhall/routing"
)

func (d *dispatcher) onSubmit(now time.Time, req *activeRequest) {
	if len(d.requests) == 0 {
		d.catchUpTicks(now)
	}
	req.acceptedAt = now
	req.waitingSince = now
	d.requests[req] = struct{}{}
	if d.stopped {
		d.finish(now, req, notRun("this entry has stopped", time.Second))
		return
	}
	req.service = d.services[req.name]
	if req.service == nil {
		d.finish(now, req, notRun("service is not in the configuration any more", time.Second))
		return
	}
	req.service.budget.RecordRequest(now)
	d.enqueue(now, req)
}

func (d *dispatcher) enqueue(now time.Time, req *activeRequest) {
	s := req.service
	req.item = &admission.Item[*activeRequest]{
		Value: req, Caller: req.caller, Priority: req.priority, Cost: req.cost, Deadline: req.state.deadline,
	}
	refusal, evicted := s.queue.Offer(now, req.item)
	if evicted != nil {
		d.refuse(now, evicted.Item.Value, evicted.Refusal)
	}
	if refusal != nil {
		req.item = nil
		d.refuse(now, req, *refusal)
		return
	}
	d.ready[s] = true
}

// refuse ends a request that was queued or offered and never sent to a target.
func (d *dispatcher) refuse(now time.Time, req *activeRequest, r admission.Refusal) {
	req.item = nil
	d.entry.metrics.refused(req.name, string(r.Reason))
	d.step(now, req, noTarget{detail: string(r.Reason), retryAfter: r.RetryAfter})
}

// reroute removes a request from its target and lets it wait for another one, if the
// retry budget allows it.
func (d *dispatcher) reroute(now time.Time, req *activeRequest, a reassign) {
	d.detach(req)
	req.avoid = a.avoid
	req.waitingSince = now
	req.tokensBefore = len(req.state.tokens)
	req.tries++
	s := req.service
	if !s.configured {
		d.step(now, req, noTarget{detail: "service was removed; " + a.detail, retryAfter: time.Second})
		return
	}
	d.entry.metrics.retried(req.name)
	d.entry.log.WithField("request", req.callerRequestID).WithField("target", a.avoid).WithField("reason", a.detail).Debug("moving the request to another target")
	// Resuming a generation that has tokens is not a retry: no token is generated again.
	resumes := req.state.generation() && req.state.delivered > 0
	if !resumes && !transient(a.refused) && !s.budget.AllowRetry(now) {
		d.step(now, req, noTarget{detail: "retry budget is spent; " + a.detail, retryAfter: time.Second})
		return
	}
	req.notBefore = now.Add(admission.Backoff(req.tries-1, d.rng))
	s.retries = append(s.retries, req)
}

// placeReady assigns targets to waiting requests of the services in d.ready.
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
	var kept []*activeRequest
	for _, req := range waiting {
		if req.state.phase != phaseWaiting {
			continue // the request has ended
		}
		if now.Before(req.notBefore) || !d.place(now, req) {
			kept = append(kept, req)
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
		req := item.Value
		reason, ok := d.tryPlace(now, req)
		if ok {
			continue
		}
		if reason == routing.ReasonVersion {
			s.queue.Park(item)
			continue
		}
		s.queue.Return(item)
		return
	}
}

func (d *dispatcher) place(now time.Time, req *activeRequest) bool {
	_, ok := d.tryPlace(now, req)
	return ok
}

// tryPlace assigns req to a target. If it returns false, the reason says why no target
// can take req now.
func (d *dispatcher) tryPlace(now time.Time, req *activeRequest) (routing.Reason, bool) {
	t, reason := req.service.choose(now, req, d.entry.options.Zone, d.rng)
	if t == nil {
		return reason, false
	}
	req.item = nil
	req.target = t
	req.assignedAt = now
	t.requests[req] = struct{}{}
	t.served++
	t.cache.Expect(now, req.prefixes)
	d.entry.metrics.chosen(req.name, string(reason))
	actions := req.state.step(now, assigned{target: t.key, boot: t.boot, configVersion: d.view.cluster.ConfigVersion})
	d.attempts[req.state.attempt] = req
	for _, a := range actions {
		d.perform(now, req, a)
	}
	return reason, true
}

// sweep refuses waiting requests that are expected to miss their deadline, and those
// for which no target has been usable for too long. Targets that are only at their
// limit, or whose weight version is too old, count as usable.
func (d *dispatcher) sweep(now time.Time, s *service) {
	for _, dropped := range s.queue.Sweep(now) {
		d.refuse(now, dropped.Item.Value, dropped.Refusal)
	}
	unusableFor := now.Sub(s.lastUsable)
	for unusableFor > noTargetTimeout {
		item := s.queue.Next()
		if item == nil {
			break
		}
		d.refuse(now, item.Value, admission.Refusal{Reason: "no target is usable", RetryAfter: time.Second})
	}
	for _, req := range slices.Clone(s.retries) {
		limit := noTargetTimeout
		if req.state.delivered > 0 {
			limit = noTargetTimeoutResumed
		}
		if unusableFor > limit && now.Sub(req.waitingSince) > limit {
			d.step(now, req, noTarget{detail: "no target is usable", retryAfter: time.Second})
		}
	}
	// Without waiting requests, choose is not called and so does not update lastUsable.
	if s.queue.Len() == 0 && len(s.retries) == 0 {
		s.lastUsable = now
	}
}

// unpark puts the requests that were parked for want of a weight version back into the
// order of service once a target may have that version, or no target is usable at all,
// which sweep then bounds.
func (d *dispatcher) unpark(now time.Time, s *service) {
	if s.queue.Parked() == 0 {
		return
	}
	newest, usable := s.newestVersion(now)
	s.queue.Unpark(func(req *activeRequest) bool { return !usable || newest >= req.minVersion })
}
