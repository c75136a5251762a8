package batch

import (
	"time"

	"github.com/sirupsen/logrus"

	"merlinhall/carrier"
)

// run is the leader's view of an attempt to generate the text of an item, or, without an
// engine, to have it scored.
type run struct {
	task            *task
	attempt         uint64
	carrier         *carrierView
	sequence        uint64 // of the orders with which it was started
	engine          string
	engineZone      string
	engineStartedMs int64
	began           time.Time
	reading         bool   // the engine generates, and so has a slot less
	placementReason string // why it runs on this engine
	cancelReason    string // set when the leader cancels the run
	events          int    // of the whole text, as last reported
	lastEventAt     time.Time
	version         uint64 // that the engine named last
	// The values of events and lastEventAt at the last call of sampleEventTimes.
	sampledEvents int
	sampledAt     time.Time
	// The same values at the last sample for the speed of the engine.
	speedEvents int
	speedAt     time.Time
}

// idle returns the time since the run's last event, or since its start.
func (r *run) idle(now time.Time) time.Duration {
	if r.lastEventAt.After(r.began) {
		return now.Sub(r.lastEventAt)
	}
	return now.Sub(r.began)
}

// runEnd is the end of an attempt.
type runEnd struct {
	outcome carrier.Outcome
	reached bool // the engine answered the request
	reason  string
}

// begin starts a run of a task on the engine chosen for it, if that is allowed and a
// carrier can take it. Otherwise the task stays pending; held is set if it waits for room in the
// links to carriers.
func (r *Runner) begin(now time.Time, p placement) (held bool) {
	t, e := p.task, p.engine
	target := r.o.Directory.View().Target(e.id)
	if !r.o.Directory.View().Accepts(e.id) || r.o.Submissions.Closed(t.job.sub.ID) {
		return false // both may be newer than the last message about them
	}
	if t.text.Size() > carrier.MaxTextBytes {
		r.dropText(t, "it is too long to be sent to a carrier")
	}
	size := startSize(t, true)
	c := r.carrierFor(now, target.Zone, size)
	if c == nil {
		return r.heldByLinks(now)
	}
	if !r.limits().Take(e.id, 1) {
		return false // the limit has changed since the plan began
	}
	if p.anew {
		r.dropText(t, "no engine of its software has a free slot")
	}
	t.waitsSince = time.Time{}
	run := r.newRun(now, t, c)
	run.engine, run.engineStartedMs, run.placementReason, run.reading = e.id, e.startedMs, p.reason, true
	run.engineZone = target.Zone
	r.metrics.zones.WithLabelValues(target.Zone, c.zone).Inc()
	run.version = e.versions[t.job.sub.Model]
	t.state, t.engine = taskRunning, e.id
	t.runs++
	if t.firstRunAt.IsZero() {
		t.firstRunAt = now
	}
	e.running++
	c.addStart(carrier.Start{
		Attempt: run.attempt, Submission: t.job.sub.ID, Item: t.item.ID, Engine: e.id, Address: e.address, EngineStartedMs: e.startedMs,
		Path: t.item.Path, Host: t.job.sub.Host, Headers: t.item.Headers, Body: t.item.Body, Version: run.version,
		OldestVersion: t.job.sub.MinVersion, SingleVersion: t.job.sub.SingleVersion, Text: t.text.Text, Reward: t.item.Reward, MaxFailures: t.maxFailures(),
		Software: target.Software(),
	}, size)
	return false
}

// newRun registers an attempt of a task with a carrier. Attempts of later leaders have
// higher numbers.
func (r *Runner) newRun(now time.Time, t *task, c *carrierView) *run {
	r.attempts++
	run := &run{task: t, attempt: r.term<<attemptBits | r.attempts, carrier: c, began: now, events: t.text.length(), sequence: c.sequence + 1}
	t.run = run
	c.runs[run.attempt] = run
	return run
}

// attemptBits is the number of bits of an attempt's number that count within a term.
const attemptBits = 32

// startScoring has a complete text scored whose run has ended without a score.
func (r *Runner) startScoring(now time.Time, t *task) {
	size := startSize(t, false)
	c := r.carrierFor(now, "", size)
	if c == nil || r.adopting(now) {
		return // the next tick tries again
	}
	run := r.newRun(now, t, c)
	c.addStart(carrier.Start{
		Attempt: run.attempt, Submission: t.job.sub.ID, Item: t.item.ID, Reward: t.item.Reward, MaxFailures: t.maxFailures(),
	}, size)
}

// formerFailedRun is the reason with which carriers of eca7a40 and before report a failed run;
// they call other errors failed too, with their status in its place.
const formerFailedRun = "status 500"

// handleProgress takes what a carrier reports of an attempt.
func (r *Runner) handleProgress(now time.Time, c *carrierView, p *carrier.Progress) {
	run := c.runs[p.Attempt]
	if run == nil {
		// Its task goes on elsewhere, or is no longer wanted.
		if p.State == carrier.Ended {
			c.orders.Done = append(c.orders.Done, p.Attempt)
		} else {
			c.orders.Cancels = append(c.orders.Cancels, p.Attempt)
		}
		return
	}
	if p.EngineLeaves {
		r.noteLeaving(now, run)
	}
	t := run.task
	if p.Events > run.events {
		run.lastEventAt = now.Add(-time.Duration(p.IdleMs) * time.Millisecond)
	}
	run.events = p.Events
	if p.Text != nil && run.engine != "" && !t.text.take(p.Text, p.From) {
		r.log.WithFields(logrus.Fields{
			"submission": t.job.sub.ID, "item": t.item.ID, "carrier": c.process, "from": p.From, "events": t.text.length(),
		}).Warn("a text does not continue the one before; the carrier is asked for all of it")
		c.synced = false
		return
	}
	r.seeVersion(now, run, p.Version)
	switch p.State {
	case carrier.Scoring:
		r.finishText(now, run)
	case carrier.Ended:
		if p.Outcome == carrier.Complete {
			r.finishText(now, run)
			r.finishScore(now, run, p)
			return
		}
		end := runEnd{p.Outcome, p.Reached, p.Reason}
		if end.outcome == carrier.Failed && p.Failures == 0 && p.Reason != formerFailedRun {
			end.outcome = carrier.Unfinished
		}
		r.endRun(now, run, end)
	}
}

// noteLeaving takes a carrier's word that an engine is leaving. The list may show it later,
// and only the carriers whose runs were there know it.
func (r *Runner) noteLeaving(now time.Time, run *run) {
	e := r.engine(run.engine)
	if e == nil || e.draining || e.startedMs != run.engineStartedMs {
		return
	}
	e.draining = true
	r.o.Directory.MarkLeaving(now, e.id)
	r.log.WithFields(logrus.Fields{"engine": e.id, "carrier": run.carrier.process, "attempt": run.attempt}).Info("a carrier says that an engine is leaving")
}

// seeVersion takes the weight version that an engine named last in a run.
func (r *Runner) seeVersion(now time.Time, run *run, version uint64) {
	if version == 0 || version == run.version && run.events == 0 {
		return
	}
	e := r.engine(run.engine)
	if e == nil || e.startedMs != run.engineStartedMs {
		return
	}
	e.connectFailures = 0
	if version != run.version {
		run.version = version
		r.handleVersionSeen(now, versionSeen{e, run.engineStartedMs, run.task.job.sub.Model, version})
	}
}

// finishText notes that the text of a run is complete. Its reward call goes on.
func (r *Runner) finishText(now time.Time, run *run) {
	t := run.task
	if !run.reading {
		return
	}
	r.leaveEngine(now, run, runEnd{outcome: carrier.Complete, reached: true})
	t.whole, t.textCompleteAt = true, now
	r.queue.observeTokenTime(t.size, t.runTime)
	r.queue.lengths.observe(t.size, t.text.length())
	if t.state == taskRunning {
		t.state = taskScoring
	}
}

// leaveEngine takes a run off its engine.
func (r *Runner) leaveEngine(now time.Time, run *run, end runEnd) {
	if !run.reading {
		return
	}
	run.reading = false
	if e := r.engine(run.engine); e != nil && e.startedMs == run.engineStartedMs {
		e.running--
		r.updateEngine(now, e, run, end)
	}
	t := run.task
	if run.events > 0 {
		t.runTime += now.Sub(run.began)
	}
	if end.outcome != carrier.Complete {
		t.group.unassign(run.engine)
	}
	r.metrics.runs.WithLabelValues(string(end.outcome)).Inc()
	r.logRun(now, run, end)
}

// detach removes an attempt that needs nothing more from its carrier.
func (r *Runner) detach(run *run) {
	if run.carrier.runs[run.attempt] == run {
		delete(run.carrier.runs, run.attempt)
		run.carrier.orders.Done = append(run.carrier.orders.Done, run.attempt)
	}
	if run.task.run == run {
		run.task.run = nil
	}
}

// finishScore takes the end of a run with a complete text.
func (r *Runner) finishScore(now time.Time, run *run, p *carrier.Progress) {
	t := run.task
	if t.job.closed {
		r.partial.put(now, t.item.ID, t.text, true)
		r.detach(run)
		return
	}
	if t.state != taskScoring {
		return // its result is being recorded; the carrier keeps the text until it is
	}
	switch {
	case p.RewardFailed && p.Failures > 0:
		r.giveUp(now, t, "the reward call failed too often")
	case p.Score != "" || t.item.Reward == nil:
		r.log.WithFields(logrus.Fields{
			"submission": t.job.sub.ID, "item": t.item.ID, "attempt": run.attempt, "carrier": run.carrier.process, "term": r.term, "score": p.Score,
		}).Debug("text is scored")
		r.record(t, t.text.result(t.item.ID, p.Score))
	default:
		r.detach(run) // the next tick has it scored by another carrier
	}
}

// endRun takes the end of an attempt without a complete text or score and decides how its
// task goes on.
func (r *Runner) endRun(now time.Time, run *run, end runEnd) {
	t := run.task
	reading := run.reading
	r.leaveEngine(now, run, end)
	r.detach(run)
	if t.job.closed {
		r.partial.put(now, t.item.ID, t.text, t.whole)
		return
	}
	if !reading || t.state != taskRunning {
		return // a complete text is scored by another carrier
	}
	if end.outcome != carrier.Unfinished {
		t.unfinished = 0
	}
	switch end.outcome {
	case carrier.Impossible:
		r.giveUp(now, t, "the engine rejected it and a retry cannot succeed")
		return
	case carrier.Failed:
		t.failures++
		if t.failures >= t.maxFailures() {
			r.giveUp(now, t, "the engine failed too often")
			return
		}
		t.retryAt = now.Add(failedRetryDelay)
	case carrier.Unfinished:
		t.retryAt = now.Add(failedRetryDelay << min(t.unfinished, maxRetryDoublings))
		t.unfinished++
	case carrier.NotStarted:
		t.retryAt = now.Add(failedRetryDelay) // the reason may last
	}
	t.state = taskPending
	r.queue.add(t)
}

func (r *Runner) logRun(now time.Time, run *run, end runEnd) {
	t := run.task
	entry := r.log.WithFields(logrus.Fields{
		"submission": t.job.sub.ID, "item": t.item.ID, "attempt": run.attempt, "carrier": run.carrier.process, "engine": run.engine, "outcome": end.outcome,
		"chosen": run.placementReason, "events": run.events, "version": run.version, "ms": now.Sub(run.began).Milliseconds(),
	})
	if end.outcome == carrier.Complete {
		entry.Debug("run ended")
		return
	}
	entry.WithFields(logrus.Fields{
		"why": run.cancelReason, "error": end.reason, "failures_before": t.failures, "max_failures": t.maxFailures(),
	}).Info("run ended early")
}

// updateEngine updates the state of an engine from the outcome of a run.
func (r *Runner) updateEngine(now time.Time, e *engine, run *run, end runEnd) {
	if end.reached {
		e.connectFailures = 0
	}
	switch end.outcome {
	case carrier.NotRun:
		if !end.reached {
			e.connectFailures++
			e.pause(now, min(pauseUnreached<<min(e.connectFailures-1, 8), maxPauseUnreached))
			return
		}
		e.pause(now, pauseRefused)
	case carrier.Unfinished:
		e.pause(now, pauseRefused)
	case carrier.Misdirected, carrier.VersionNotAllowed:
		e.pause(now, pauseBroken)
		r.requestReport(now, e)
	case carrier.Broken:
		if run.cancelReason == "" {
			e.pause(now, pauseBroken)
		}
	}
}

// sampleEventTimes samples the time per event of the runs on each engine. Runs without a
// first event at the previous sample are left out: they may wait for a load.
func (r *Runner) sampleEventTimes(now time.Time, running []*task) {
	if now.Sub(r.eventTimesAt) < eventTimeInterval {
		return
	}
	r.eventTimesAt = now
	for _, t := range running {
		if t.run == nil {
			continue
		}
		events, at := t.run.sampledEvents, t.run.sampledAt
		t.run.sampledEvents, t.run.sampledAt = t.run.events, t.run.lastEventAt
		e := r.engine(t.engine)
		if at.IsZero() || e == nil || e.load != nil {
			continue
		}
		if n := t.run.events - events; n > 0 {
			e.observeEventTime(now, t.run.lastEventAt.Sub(at)/time.Duration(n))
		} else if idle := t.run.idle(now); idle > eventTimeInterval {
			e.observeEventTime(now, idle)
		}
	}
}

// silenceLimitOf returns how long the task's run may be without an event. It is longer
// while the engine loads weights and for silenceLimit after its versions were last
// reported, so that a run stopped by a load has time to continue.
func (r *Runner) silenceLimitOf(now time.Time, t *task) time.Duration {
	e := r.engine(t.engine)
	if e != nil && (e.load != nil || now.Sub(e.versionsReportedAt) < silenceLimit) {
		return silenceLimitInLoad
	}
	return silenceLimit
}

// cancelRun has the run of a task ended. The task goes on when its carrier says that it has.
func (r *Runner) cancelRun(t *task, why string) {
	t.run.cancelReason = why
	t.run.carrier.orders.Cancels = append(t.run.carrier.orders.Cancels, t.run.attempt)
}
