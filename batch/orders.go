package batch

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"merlinhall/ledger"
	"merlinhall/upstream"
)

// orderRequests is the number of requests that an order takes: a report and the order.
const orderRequests = 2

// reportEnd is the outcome of a report request.
type reportEnd struct {
	engine      *engine
	requestedAt time.Time
	report      Report
	err         error
}

// orderEnd is the outcome of a load order.
type orderEnd struct {
	engine *engine
	load   *load
	answer LoadAnswer
	orders uint64
}

// requestReport requests the state of an engine unless a request is in progress.
func (r *Runner) requestReport(now time.Time, e *engine) {
	if e.reportPending {
		return
	}
	e.reportPending = true
	to := upstream.Address{HostPort: e.address, ID: e.id}
	leadCtx := r.ctx
	r.o.Go(func() {
		ctx, cancel := context.WithTimeout(leadCtx, engineCallTimeout)
		defer cancel()
		var report Report
		var err error
		if failure := r.guard.Run(logrus.Fields{"engine": to.ID}, func() { report, err = r.o.Protocol.Report(ctx, to) }); failure != nil {
			err = failure
		}
		r.deliver(leadCtx, reportEnd{e, now, report, err})
	})
}

// scheduleLoads polls the engines that are loading, abandons loads that have timed out, and
// sends the orders that are due.
func (r *Runner) scheduleLoads(now time.Time) {
	for _, e := range r.engines {
		e.orderWaits = false // unless an order is planned again
		if e.load == nil {
			continue
		}
		if now.Sub(e.load.orderedAt) > e.load.timeout() {
			r.log.WithFields(logrus.Fields{"engine": e.id, "model": e.load.model, "version": e.load.version}).Warn("load timed out; ordering it again")
			e.load = nil
			e.pause(now, pauseBroken)
			continue
		}
		if e.load.accepted && !now.Before(e.load.pollAt) && r.limits().Take(e.id, 1) {
			e.load.pollAt = now.Add(loadPollInterval)
			r.requestReport(now, e)
		}
	}
	newest := r.o.Versions.Newest()
	if len(newest) == 0 {
		return
	}
	if token, ok := r.o.Duty.Held(now); !ok || token != r.term {
		return
	}
	if now.Sub(r.assignedAt) >= tickInterval {
		r.assignedAt = now
		r.assign(r.divide(now, newest))
		r.swapLimited(now)
	}
	for _, l := range planLoads(now, r.engines, r.assignedModels, newest) {
		if l.engine.orderWaits = !r.limits().Take(l.engine.id, orderRequests); !l.engine.orderWaits {
			r.sendLoadOrder(now, l)
		}
	}
}

// assign puts an assignment of models to engines into force and logs what it changes.
func (r *Runner) assign(models map[string]string) {
	for _, e := range r.engines {
		if m := models[e.id]; m != r.assignedModels[e.id] {
			r.log.WithFields(logrus.Fields{
				"engine": e.id, "model": m, "before": r.assignedModels[e.id], "version": e.versions[m],
				"event_us": e.eventTime.Microseconds(), "demand_tokens": int(r.demand[m].tokens), "open_items": r.demand[m].mostEngines(), "longest_tokens": int(r.demand[m].longest),
			}).Info("engine is assigned to a model")
		}
	}
	r.assignedModels = models
}

// swapLimited has models exchange engines if the runs of one wait for engines at their limits.
func (r *Runner) swapLimited(now time.Time) {
	if now.Sub(r.swappedAt) < swapInterval || !slices.ContainsFunc(r.engines, func(e *engine) bool { return e.limited }) {
		return
	}
	pending := make(map[string]int)
	for _, t := range r.queue.tasks {
		pending[t.job.sub.Model]++
	}
	if next := swapLimited(r.engines, r.assignedModels, pending, r.demand); !maps.Equal(next, r.assignedModels) {
		r.swappedAt = now
		r.log.WithField("pending", pending).Info("models exchange engines: the runs of one wait for engines at their limits")
		r.assign(next)
	}
}

// updateDemand adds a submission to the demand of its model.
func (r *Runner) updateDemand(sub *ledger.Submission) {
	sizes := make([]int, 0, len(sub.Items))
	for i := range sub.Items {
		sizes = append(sizes, sizeOf(sub.Items[i]))
	}
	d := r.demand[sub.Model]
	open := 0
	for _, j := range r.jobs {
		if j.sub.Model == sub.Model {
			open += len(j.tasks)
		}
	}
	d.observe(sizes, open)
	r.observeRoutes(&d, sub)
	r.demand[sub.Model] = d
}

// runsSingleVersion reports whether the engine runs texts of the model that must have a
// single weight version.
func (r *Runner) runsSingleVersion(e *engine, model string) bool {
	return slices.ContainsFunc(r.running(), func(t *task) bool {
		return t.engine == e.id && t.job.sub.Model == model && t.job.sub.SingleVersion
	})
}

// sendLoadOrder orders an engine to load a version. It first asks how many orders the
// engine has accepted and includes the number, so that a late duplicate of the order has
// no effect.
func (r *Runner) sendLoadOrder(now time.Time, l loadPlan) {
	e := l.engine
	e.load = &load{model: l.model, version: l.version, orderedAt: now}
	to := upstream.Address{HostPort: e.address, ID: e.id}
	// Texts with a single version must be complete before the engine loads another one.
	e.load.drainsRuns = r.runsSingleVersion(e, l.model)
	o := LoadOrder{Model: l.model, Version: l.version, Holder: r.o.Name, Fence: r.term, KeepRuns: !e.load.drainsRuns}
	current, ctx := e.load, r.ctx
	r.o.Go(func() {
		answer, orders := LoadUnknown, uint64(0)
		_ = r.guard.Run(logrus.Fields{"engine": to.ID, "model": o.Model, "version": o.Version}, func() { answer, orders = r.orderLoad(ctx, to, o) }) // is logged there
		r.deliver(ctx, orderEnd{e, current, answer, orders})
	})
}

// orderLoad sends an order with the number of orders that the engine has accepted, which it
// returns. It confirms just before that this process still leads in the term of the order:
// the host may have been suspended while the report was awaited, and a newer leader may have
// sent orders since.
func (r *Runner) orderLoad(ctx context.Context, to upstream.Address, o LoadOrder) (answer LoadAnswer, orders uint64) {
	reportCtx, cancel := context.WithTimeout(ctx, engineCallTimeout)
	defer cancel()
	report, err := r.o.Protocol.Report(reportCtx, to)
	if err != nil || report.Busy {
		return LoadBusy, 0
	}
	o.Orders = report.Orders
	orderCtx, cancelOrder := context.WithTimeout(ctx, engineCallTimeout)
	defer cancelOrder()
	answer = r.orderOnce(orderCtx, to, o)
	if answer != LoadUnconfirmed {
		return answer, report.Orders
	}
	// The engine accepts one of the two orders at most, as both have the same number of
	// accepted orders.
	o.Confirm = true
	answer = r.orderOnce(orderCtx, to, o)
	if answer == LoadBusy || answer == LoadNotSent {
		answer = LoadUnknown // it may have accepted the first one
	}
	return answer, report.Orders
}

// orderOnce sends an order if this process still leads in its term.
func (r *Runner) orderOnce(ctx context.Context, to upstream.Address, o LoadOrder) LoadAnswer {
	if term, err := r.o.Leads(ctx); err != nil || term != o.Fence {
		return LoadNotSent
	}
	return r.o.Protocol.Load(ctx, to, o)
}

func (r *Runner) handleOrderEnd(now time.Time, m orderEnd) {
	e := m.engine
	r.metrics.orders.WithLabelValues(string(m.answer)).Inc()
	r.log.WithFields(logrus.Fields{
		"engine": e.id, "model": m.load.model, "version": m.load.version, "fence": r.term,
		"orders": m.orders, "outcome": m.answer,
	}).Info("load ordered")
	if e.load != m.load {
		return
	}
	switch m.answer {
	case LoadAccepted, LoadUnknown:
		e.load.accepted, e.load.answeredAt, e.load.ordersBefore = true, now, m.orders
		e.load.pollAt = now.Add(expectedLoadTime + reportMaxAge)
	case LoadUpToDate:
		e.versions[m.load.model] = m.load.version
		e.versionsReportedAt = now
		e.load = nil
	case LoadSuperseded:
		r.o.Duty.Superseded(r.term)
		e.load = nil
	default:
		e.load = nil
		e.pause(now, pauseBroken)
	}
}

func (r *Runner) handleReportEnd(now time.Time, m reportEnd) {
	e := m.engine
	e.reportPending = false
	if m.err != nil {
		r.log.WithField("engine", e.id).Infof("cannot get engine report: %v", m.err)
		return
	}
	if m.report.Busy {
		return
	}
	for model, version := range m.report.Versions {
		e.versions[model] = version
	}
	e.versionsReportedAt = now
	r.finishLoad(now, e)
	if e.load != nil && e.load.missed(m.requestedAt, m.report.Orders) {
		r.log.WithFields(logrus.Fields{"engine": e.id, "model": e.load.model, "version": e.load.version, "orders": m.report.Orders}).Warn("engine has not accepted the order; ordering it again")
		e.load = nil
	}
}

// versionSeen reports a weight version that an engine named during a run.
type versionSeen struct {
	engine          *engine
	engineStartedMs int64
	model           string
	version         uint64
}

// handleVersionSeen updates the version of an engine from a run. The first event after a
// load carries it, while a report is some hundred milliseconds old.
func (r *Runner) handleVersionSeen(now time.Time, m versionSeen) {
	e := m.engine
	if e.startedMs != m.engineStartedMs || m.version <= e.versions[m.model] {
		return
	}
	e.versions[m.model] = m.version
	e.versionsReportedAt = now
	r.finishLoad(now, e)
}

// finishLoad clears the accepted load of an engine that has the version. If the engine does
// not finish its runs first, the load is also cleared, as ended without the version, more
// than 2*expectedLoadTime after the order.
func (r *Runner) finishLoad(now time.Time, e *engine) {
	if e.load == nil || !e.load.accepted {
		return
	}
	loaded := e.versions[e.load.model] >= e.load.version
	if !loaded && e.load.drainsRuns {
		return // the engine reports that it is busy until its runs have ended
	}
	if !loaded && now.Sub(e.load.orderedAt) <= 2*expectedLoadTime {
		return
	}
	r.log.WithFields(logrus.Fields{
		"engine": e.id, "model": e.load.model, "version": e.load.version, "held": loaded, "ms": now.Sub(e.load.orderedAt).Milliseconds(),
	}).Info("load has ended")
	e.load = nil
}
