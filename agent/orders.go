package agent

import (
	"context"

	"github.com/sirupsen/logrus"

	"merlinhall/actor"
	"merlinhall/config"
	"merlinhall/weights"
	"merlinhall/wire"
)

// Results of actions of the order gate.
type (
	barrierDone struct {
		action gateAction
		index  uint64
		err    error
	}
	orderEnded struct {
		action gateAction
		result orderResult
	}
)

// applyClusterState applies a cluster state. It ignores one that is older than the
// current one or whose configuration cannot be parsed.
func (a *Agent) applyClusterState(w *wire.ClusterState) {
	if a.clusterState != nil && w.Index < a.clusterState.Index {
		return
	}
	conf, err := a.parseConfig(w)
	if err != nil {
		a.log.WithError(err).WithField("version", w.ConfigVersion).Error("failed to parse the configuration; keeping the previous cluster state")
		return
	}
	a.clusterState = w
	a.parsedConfig = conf
	a.route.update(w, conf)
	a.idleTimeout.set(idleTimeoutOf(a.route.placement))
	if a.engine != nil {
		desired, hasDesired := desiredWeights(w, a.route.placement)
		a.gate.setDesired(w.Index, desired, hasDesired)
		a.updateTargetDown(nil)
	}
	a.reportChange()
	a.advanceGate()
}

// parseConfig returns the parsed configuration of w. It does not parse an unchanged
// configuration again.
func (a *Agent) parseConfig(w *wire.ClusterState) (*config.Config, error) {
	if a.clusterState != nil && a.clusterState.ConfigDigest != "" && a.clusterState.ConfigDigest == w.ConfigDigest {
		return a.parsedConfig, nil
	}
	return config.Load(w.ConfigText)
}

// desiredWeights returns the weights that the pool of the placement must serve, if
// any.
func desiredWeights(w *wire.ClusterState, p *placement) (wire.WeightTarget, bool) {
	if p == nil || p.pool == nil {
		return wire.WeightTarget{}, false
	}
	for _, t := range w.Weights {
		if t.Pool == p.owner {
			return t, true
		}
	}
	return wire.WeightTarget{}, false
}

// advanceGate starts the next action of the order gate. A draining agent starts
// none, since it may stop before a weight swap has ended.
func (a *Agent) advanceGate() {
	if a.engine == nil {
		return
	}
	if a.route.draining {
		a.updateDistributor()
		return
	}
	action, ok := a.gate.next(now())
	a.updateDistributor()
	if !ok {
		return
	}
	switch action.op {
	case gateBarrier:
		a.requestBarrier(action)
	case gateState:
		a.pollState(action)
	case gateFetch:
		a.requestFetch(action)
	case gateTurn:
		a.requestTurn(action)
	case gateOrder:
		a.sendOrder(action)
	}
}

func (a *Agent) requestBarrier(action gateAction) {
	go func() {
		ctx, cancel := context.WithTimeout(a.ctx, barrierTimeout)
		defer cancel()
		_, index, err := a.opts.Barrier(ctx)
		a.post(barrierDone{action, index, err})
	}()
}

// requestFetch asks the distributor for the bytes of a version. In a pool without
// a weight store the engine obtains them by itself.
func (a *Agent) requestFetch(action gateAction) {
	p := a.route.placement
	if p == nil || p.pool == nil || p.pool.WeightStore == "" {
		a.gate.handleFetch(now(), action, true)
		a.advanceGate()
		return
	}
	a.distributor.post(fetchRequest{
		action:  action,
		sources: a.distributionPlan(action).Sources(a.opts.Local.Target),
		store:   p.pool.WeightStore,
	})
}

func (a *Agent) requestTurn(action gateAction) {
	a.distributor.post(turnRequest{action: action, plan: a.distributionPlan(action)})
}

// distributionPlan returns the plan for distributing a version to the configured
// replicas of the pool.
func (a *Agent) distributionPlan(action gateAction) *weights.Plan {
	var members []weights.Member
	if p := a.route.placement; p != nil && p.pool != nil {
		for _, t := range p.pool.Targets {
			members = append(members, weights.Member{Target: t.Name, Zone: t.Zone, Agent: t.Agent})
		}
	}
	return weights.NewPlan(action.pool, action.version, members)
}

// handleTurnGranted passes the turn to the order gate. advanceGate releases it if
// the version has been superseded.
func (a *Agent) handleTurnGranted(m turnGranted) {
	a.hasTurn = true
	a.gate.handleTurn(now(), m.action, true)
	a.advanceGate()
}

// updateDistributor gives the distributor the swap status that other agents may
// ask for, and releases the turn once it is no longer needed.
func (a *Agent) updateDistributor() {
	status := swapStatus{
		served:   a.gate.served,
		swapping: a.gate.swapping() || a.load.state.Swapping,
		down:     a.table.targetDown,
	}
	if a.gate.attemptsExhausted {
		status.failedVersion = a.gate.desired.Version
	}
	if status != a.sentStatus {
		a.sentStatus = status
		a.distributor.post(status)
	}
	if a.hasTurn && !a.gate.holdsTurn() {
		a.hasTurn = false
		a.distributor.post(turnReleased{})
	}
}

// sendOrder sends an order to the engine.
func (a *Agent) sendOrder(action gateAction) {
	a.orderEpoch++
	a.versions.swapStarted()
	a.log.WithField("version", action.version).Info("ordering the engine to load weights")
	a.reportChange()
	go func() {
		ctx, cancel := context.WithTimeout(a.ctx, a.opts.OrderTimeout)
		defer cancel()
		result := orderUnknown
		_ = a.guard.Run(logrus.Fields{"version": action.version}, func() { result = a.engine.load(ctx, action.version, action.fence) }) // is logged there
		a.post(orderEnded{action, result})
	}()
}

func (a *Agent) handleOrderEnded(m orderEnded) {
	a.orderEpoch++
	switch m.result {
	case orderDone:
		a.versions.confirm(m.action.version)
		a.load.state.Version = m.action.version
		a.load.state.Swapping = false
	case orderNotSent:
		a.versions.swapAborted()
	case orderUnknown:
		a.versions.swapUnknown()
	}
	a.gate.handleOrder(now(), m.action, m.result)
	if m.result != orderDone {
		a.pollState(gateAction{}) // tokens wait until the served version is known
		a.log.WithField("version", m.action.version).WithField("result", m.result.String()).Warn("weight swap did not succeed")
	}
	a.updateTargetDown(nil)
	a.reportChange()
	a.advanceGate()
}

// handleResult handles the results of operations that the agent started, and
// requests for a view of its state.
func (a *Agent) handleResult(msg any) {
	switch m := msg.(type) {
	case stateRead:
		a.handleStateRead(m)
	case barrierDone:
		if m.err != nil {
			a.log.WithError(m.err).Debug("barrier failed")
		}
		a.gate.handleBarrier(now(), m.action, m.index, m.err == nil)
		a.advanceGate()
	case orderEnded:
		a.handleOrderEnded(m)
	case fetchEnded:
		a.gate.handleFetch(now(), m.action, m.ok)
		a.advanceGate()
	case turnGranted:
		a.handleTurnGranted(m)
	case actor.Call[viewRequest, view]:
		m.Reply(a.view())
	}
}

// String returns the name of the result for log lines.
func (r orderResult) String() string {
	return [...]string{"none", "done", "failed", "stale", "not sent", "unknown"}[r]
}
