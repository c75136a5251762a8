package batch

import (
	"context"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"merlinhall/ledger"
	"merlinhall/upstream"
)

type reportEnd struct {
	engine *engine
	report Report
	err    error
}

type orderEnd struct {
	engine *engine
	load   *load
	answer LoadAnswer
	orders uint64
}

// ask asks an engine for its state.
func (r *Runner) ask(now time.Time, e *engine) {
	if e.asking {
		return
	}
	e.asking = true
	to := upstream.Address{HostPort: e.address, ID: e.id}
	lead := r.ctx
	go func() {
		ctx, cancel := context.WithTimeout(lead, exchangeLimit)
		defer cancel()
		report, err := r.o.Protocol.Report(ctx, to)
		r.deliver(lead, reportEnd{e, report, err})
	}()
}

// scheduleLoads gives the orders that are due and follows those under way.
func (r *Runner) scheduleLoads(now time.Time) {
	for _, e := range r.engines {
		if e.load == nil {
			continue
		}
		if now.Sub(e.load.since) > e.load.limit() {
			r.log.WithFields(logrus.Fields{"engine": e.id, "model": e.load.model, "version": e.load.version}).Warn("load takes too long and is ordered again")
			e.load = nil
			e.pausedUntil = now.Add(pauseBroken)
			continue
		}
		if e.load.taken && !now.Before(e.load.askAt) {
			e.load.askAt = now.Add(loadPoll)
			r.ask(now, e)
		}
	}
	named := r.o.Versions.Named()
	if len(named) == 0 || !r.mayOrder(now) {
		return
	}
	r.homes = homes(r.engines, r.demandOf(named), named, r.homes)
	for _, l := range planLoads(now, r.engines, r.homes, named) {
		r.order(now, l)
	}
}

// demandOf returns the work that a step of each model with versions brings.
func (r *Runner) demandOf(named map[string]uint64) map[string]float64 {
	demand := make(map[string]float64, len(named))
	for model := range named {
		demand[model] = max(1, r.demand[model])
	}
	return demand
}

// noteDemand takes the size of a submission into the demand of its model.
func (r *Runner) noteDemand(sub *ledger.Submission) {
	size := 0
	for i := range sub.Items {
		size += sizeOf(sub.Items[i])
	}
	if size == 0 {
		return
	}
	before := r.demand[sub.Model]
	if before == 0 {
		before = float64(size)
	}
	r.demand[sub.Model] = before + demandGain*(float64(size)-before)
}

// demandGain is the weight of one submission in the demand of its model. Homes
// move seldom: each move costs a load.
const demandGain = 0.2

// runsSingle reports whether the engine runs texts of the model that must have one
// version only.
func (r *Runner) runsSingle(e *engine, model string) bool {
	return slices.ContainsFunc(r.running(), func(t *task) bool {
		return t.engine == e.id && t.job.sub.Model == model && t.job.sub.SingleVersion
	})
}

// order gives an engine the order to load a version. The number of orders that
// the engine has accepted is asked first and goes with the order, so that a copy
// of it that arrives late has no effect.
func (r *Runner) order(now time.Time, l loadPlan) {
	e := l.engine
	e.load = &load{model: l.model, version: l.version, since: now}
	to := upstream.Address{HostPort: e.address, ID: e.id}
	// Texts of one version only must be complete before the engine takes another.
	e.load.waits = r.runsSingle(e, l.model)
	o := LoadOrder{Model: l.model, Version: l.version, Holder: r.o.Name, Fence: r.term, KeepRuns: !e.load.waits}
	current, ctx := e.load, r.ctx
	go func() {
		reportCtx, cancel := context.WithTimeout(ctx, exchangeLimit)
		report, err := r.o.Protocol.Report(reportCtx, to)
		cancel()
		if err != nil || report.Busy {
			r.deliver(ctx, orderEnd{e, current, LoadBusy, 0})
			return
		}
		o.Orders = report.Orders
		orderCtx, cancel := context.WithTimeout(ctx, exchangeLimit)
		answer := r.o.Protocol.Load(orderCtx, to, o)
		cancel()
		r.deliver(ctx, orderEnd{e, current, answer, report.Orders})
	}()
}

func (r *Runner) endOrder(now time.Time, m orderEnd) {
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
		e.load.taken = true
		e.load.askAt = now.Add(loadExpected + reportAge)
	case LoadHolds:
		e.versions[m.load.model] = m.load.version
		e.checked = now
		e.load = nil
	case LoadSuperseded:
		r.superseded = true
		e.load = nil
	default:
		e.load = nil
		e.pausedUntil = now.Add(pauseBroken)
	}
}

func (r *Runner) endReport(now time.Time, m reportEnd) {
	e := m.engine
	e.asking = false
	if m.err != nil {
		r.log.WithField("engine", e.id).Infof("engine gives no report: %v", m.err)
		return
	}
	if m.report.Busy {
		return
	}
	for model, version := range m.report.Versions {
		e.versions[model] = version
	}
	e.checked = now
	r.endLoad(now, e)
}

// versionSeen is the weight version that a run shows of its engine.
type versionSeen struct {
	engine  *engine
	born    int64
	model   string
	version uint64
}

// seeVersion takes a version from a run: it comes with the first event after a
// load, while a report is some hundred milliseconds old.
func (r *Runner) seeVersion(now time.Time, m versionSeen) {
	e := m.engine
	if e.born != m.born || m.version <= e.versions[m.model] {
		return
	}
	e.versions[m.model] = m.version
	e.checked = now
	r.endLoad(now, e)
}

// endLoad ends the load of an engine that holds its version, or that is no longer
// at work on it.
func (r *Runner) endLoad(now time.Time, e *engine) {
	if e.load == nil || !e.load.taken {
		return
	}
	held := e.versions[e.load.model] >= e.load.version
	if !held && e.load.waits {
		return // the engine reports that it is busy until its runs have ended
	}
	if !held && now.Sub(e.load.since) <= 2*loadExpected {
		return
	}
	r.log.WithFields(logrus.Fields{
		"engine": e.id, "model": e.load.model, "version": e.load.version, "held": held, "ms": now.Sub(e.load.since).Milliseconds(),
	}).Info("load has ended")
	e.load = nil
}
