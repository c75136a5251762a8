package batch

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"merlinhall/ledger"
	"merlinhall/routes"
	"merlinhall/upstream"
)

// begin starts a run of a task on the engine chosen for it.
func (r *Runner) begin(now time.Time, p placement) {
	t, e := p.task, p.engine
	table := r.o.Manifests.Table()
	if table == nil || !r.o.Directory.View().Accepts(e.id) {
		return // the view of the targets may be newer than the last message about it
	}
	route := table.Find(t.job.sub.Host, t.item.Path)
	if route == nil || !slices.ContainsFunc(route.Shares, func(s routes.Share) bool { return s.Service == r.serviceOf(e) }) {
		t.retryAt = now.Add(failedRetryDelay)
		return
	}
	ctx, cancel := context.WithCancel(r.ctx)
	lastEvent := t.text.length()
	version := e.versions[t.job.sub.Model]
	run := &run{task: t, engine: e.id, engineStartedMs: e.startedMs, began: now, cancel: cancel, version: version, placementReason: p.reason}
	leadCtx, model := r.ctx, t.job.sub.Model
	run.onVersionChange = func(v uint64) { r.deliver(leadCtx, versionSeen{e, run.engineStartedMs, model, v}) }
	t.state, t.engine, t.run = taskRunning, e.id, run
	t.runs++
	if t.firstRunAt.IsZero() {
		t.firstRunAt = now
	}
	e.running++
	request := &upstream.Request{
		ID:     t.item.ID,
		Method: http.MethodPost,
		URI:    t.item.Path,
		Host:   t.job.sub.Host,
		Header: slices.Concat(t.item.Headers, r.o.Protocol.ItemHeaders(t.item.ID, e.id, version, lastEvent)),
		Body:   t.item.Body,
	}
	to := upstream.Address{HostPort: e.address, ID: e.id}
	rule := t.versionRule()
	go func() {
		end := generate(ctx, r.o.Pool, r.o.Protocol, to, request, run, lastEvent+1, rule)
		cancel()
		r.deliver(leadCtx, end)
	}()
}

// handleRunEnd adds the events of a run that has ended to the text and decides how the
// task continues.
func (r *Runner) handleRunEnd(now time.Time, m runEnd) {
	t := m.run.task
	e := r.engine(m.run.engine)
	if t.run != m.run {
		return // not the task's current run
	}
	t.run = nil
	if e != nil && e.startedMs == m.run.engineStartedMs {
		e.running--
		r.updateEngine(now, e, m)
	}
	if m.run.count.Load() > 0 {
		t.runTime += now.Sub(m.run.began)
	}
	t.text.add(m.run.take())
	if r.job(t.job.sub.ID) != t.job {
		r.partial.put(now, t.item.ID, t.text, m.outcome == runComplete)
		return
	}
	r.metrics.runs.WithLabelValues(string(m.outcome)).Inc()
	r.logRun(now, m)
	if m.outcome != runComplete {
		t.group.unassign(m.run.engine)
	}
	switch m.outcome {
	case runComplete:
		t.textCompleteAt = now
		r.queue.observeTokenTime(t.size, t.runTime)
		r.queue.lengths.observe(t.size, t.text.length())
		r.score(t)
	case runImpossible:
		r.record(t, ledger.Result{Item: t.item.ID, Failed: true}, "the engine rejected it and a retry cannot succeed")
	case runFailed:
		t.failures++
		if t.failures >= max(1, t.job.sub.MaxAttempts) {
			r.record(t, ledger.Result{Item: t.item.ID, Failed: true}, "the engine failed too often")
			return
		}
		t.state, t.retryAt = taskPending, now.Add(failedRetryDelay)
		r.queue.add(t)
	default:
		t.state = taskPending
		r.queue.add(t)
	}
}

func (r *Runner) logRun(now time.Time, m runEnd) {
	t := m.run.task
	entry := r.log.WithFields(logrus.Fields{
		"submission": t.job.sub.ID, "item": t.item.ID, "engine": m.run.engine, "outcome": m.outcome,
		"chosen": m.run.placementReason, "events": t.text.length(), "version": m.latestVersion, "ms": now.Sub(m.run.began).Milliseconds(),
	})
	if m.outcome == runComplete {
		entry.Debug("run ended")
		return
	}
	entry.WithFields(logrus.Fields{"why": m.run.cancelReason, "error": errorText(m.err)}).Info("run ended early")
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// updateEngine updates the state of an engine from the outcome of a run.
func (r *Runner) updateEngine(now time.Time, e *engine, m runEnd) {
	if m.reached {
		e.connectFailures = 0
	}
	if model := m.run.task.job.sub.Model; m.latestVersion != 0 && (e.load == nil || e.load.model != model) {
		e.versions[m.run.task.job.sub.Model] = m.latestVersion
		e.versionsReportedAt = now
	}
	switch m.outcome {
	case runNotRun:
		if !m.reached {
			e.connectFailures++
			e.pausedUntil = now.Add(min(pauseUnreached<<min(e.connectFailures-1, 8), maxPauseUnreached))
			return
		}
		e.pausedUntil = now.Add(pauseRefused)
	case runMisdirected, runVersionNotAllowed:
		e.pausedUntil = now.Add(pauseBroken)
		r.requestReport(now, e)
	case runBroken:
		if m.run.cancelReason == "" {
			e.pausedUntil = now.Add(pauseBroken)
		}
	}
}

// sampleEventTimes samples the time per event of the runs on each engine. Runs without a
// first event at the previous sample are left out: they may wait for a load.
func (r *Runner) sampleEventTimes(now time.Time, running []*task) {
	if now.Sub(r.eventTimesAt) < eventTimeInterval {
		return
	}
	passed := now.Sub(r.eventTimesAt)
	r.eventTimesAt = now
	for _, t := range running {
		n := t.run.count.Load()
		before := t.run.sampledCount
		t.run.sampledCount = n
		e := r.engine(t.engine)
		if before == 0 || e == nil || e.load != nil {
			continue
		}
		e.observeEventTime(now, passed/time.Duration(max(1, n-before)))
	}
}

// silenceLimitOf returns how long the task's run may be without an event. It is longer
// while the engine loads weights and for silenceLimit after its versions were last
// reported, so that a run stopped by a load has time to continue.
func (r *Runner) silenceLimitOf(t *task) time.Duration {
	e := r.engine(t.engine)
	if e != nil && (e.load != nil || time.Since(e.versionsReportedAt) < silenceLimit) {
		return silenceLimitInLoad
	}
	return silenceLimit
}

func (r *Runner) cancelRun(t *task, why string) {
	t.run.cancelReason = why
	t.run.cancel()
}
