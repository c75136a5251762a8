package agent

import (
	"context"

	"merlinhall/config"
	"merlinhall/duty"
	"merlinhall/weights"
	"merlinhall/wire"
)

// Answers to actions of the gate.
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

// takeWorld takes up a world. One whose configuration does not parse, or that is
// older than the one held, changes nothing.
func (a *Agent) takeWorld(w *wire.World) {
	if a.world != nil && w.Index < a.world.Index {
		return
	}
	conf, err := a.parse(w)
	if err != nil {
		a.log.WithError(err).WithField("version", w.ConfigVersion).Error("configuration does not parse")
		return
	}
	a.world = w
	a.conf = conf
	a.hop.world(w, conf)
	a.idle.set(idleBound(a.hop.place))
	if a.engine != nil {
		want, wanted := weightsFor(w, a.hop.place)
		a.gate.takeWorld(w.Index, want, wanted)
		a.noteHealthOfGate()
	}
	a.reportChange()
	a.advanceGate()
}

// parse returns the parsed configuration of w; an unchanged text is not parsed
// again.
func (a *Agent) parse(w *wire.World) (*config.Config, error) {
	if a.world != nil && a.world.ConfigDigest != "" && a.world.ConfigDigest == w.ConfigDigest {
		return a.conf, nil
	}
	return config.Load(w.ConfigText)
}

// weightsFor returns what the pool of the place must serve.
func weightsFor(w *wire.World, p *place) (wire.WeightTarget, bool) {
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

// advanceGate carries out the actions that are due at the order gate. An agent that
// drains starts no swap that it may not see end.
func (a *Agent) advanceGate() {
	if a.engine == nil {
		return
	}
	if a.hop.draining {
		a.tellCourier()
		return
	}
	action, ok := a.gate.next(now())
	a.tellCourier()
	if !ok {
		return
	}
	switch action.op {
	case gateBarrier:
		a.askBarrier(action)
	case gateState:
		a.pollState(action)
	case gateFetch:
		a.fetch(action)
	case gateTurn:
		a.askTurn(action)
	case gateOrder:
		a.passOrder(action)
	}
}

func (a *Agent) askBarrier(action gateAction) {
	go func() {
		ctx, cancel := context.WithTimeout(a.ctx, barrierLimit)
		defer cancel()
		_, index, err := a.o.Barrier(ctx)
		a.post(barrierDone{action, index, err})
	}()
}

// fetch makes the bytes of a version present. Without a store the engine gets
// them in a way of its own.
func (a *Agent) fetch(action gateAction) {
	p := a.hop.place
	if p == nil || p.pool == nil || p.pool.WeightStore == "" {
		a.gate.fetched(now(), action, true)
		a.advanceGate()
		return
	}
	a.courier.post(fetchAsked{
		action:  action,
		sources: a.plan(action).Sources(a.o.Local.Target),
		store:   p.pool.WeightStore,
	})
}

func (a *Agent) askTurn(action gateAction) {
	a.courier.post(turnAsked{action: action, plan: a.plan(action)})
}

// plan returns the plan of a version for the configured replicas of the pool.
func (a *Agent) plan(action gateAction) *weights.Plan {
	var members []weights.Member
	if p := a.hop.place; p != nil && p.pool != nil {
		for _, t := range p.pool.Targets {
			members = append(members, weights.Member{Target: t.Name, Zone: t.Zone, Agent: t.Agent})
		}
	}
	return weights.NewPlan(action.pool, action.version, members)
}

// turnGranted passes the turn to the gate, or gives it back when the version has
// been superseded.
func (a *Agent) turnGranted(m turnGranted) {
	a.holding = true
	a.gate.turned(now(), m.action, true)
	a.advanceGate()
}

// tellCourier tells the courier what others may ask of this replica, and gives the
// turn back once it is not needed.
func (a *Agent) tellCourier() {
	facts := swapFacts{
		served:   a.gate.served,
		swapping: a.gate.swapping() || a.load.state.Swapping,
		down:     a.table.down,
	}
	if a.gate.setAside {
		facts.setAside = a.gate.want.Version
	}
	if facts != a.told {
		a.told = facts
		a.courier.post(facts)
	}
	if a.holding && !a.gate.holdsTurn() {
		a.holding = false
		a.courier.post(swapOver{})
	}
}

// passOrder sends the order to the engine.
func (a *Agent) passOrder(action gateAction) {
	a.orders++
	a.witness.swapStarted()
	a.log.WithField("version", action.version).Info("engine is ordered to load weights")
	a.reportChange()
	go func() {
		ctx, cancel := context.WithTimeout(a.ctx, a.o.OrderLimit)
		defer cancel()
		a.post(orderEnded{action, a.engine.load(ctx, action.version, action.fence)})
	}()
}

func (a *Agent) orderEnded(m orderEnded) {
	a.orders++
	switch m.result {
	case orderDone:
		a.witness.settled(m.action.version)
		a.load.state.Version = m.action.version
		a.load.state.Swapping = false
	case orderNotSent:
		a.witness.swapAborted()
	case orderUnknown:
		a.witness.swapUnknown()
	}
	a.gate.ordered(now(), m.action, m.result)
	if m.result != orderDone {
		a.pollState(gateAction{}) // tokens wait for what the engine serves
		a.log.WithField("version", m.action.version).WithField("result", m.result.String()).Warn("weights were not loaded")
	}
	a.noteHealthOfGate()
	a.reportChange()
	a.advanceGate()
}

// receiveAnswer handles the answers to what the agent asked for.
func (a *Agent) receiveAnswer(msg any) {
	switch m := msg.(type) {
	case stateRead:
		a.stateRead(m)
	case barrierDone:
		if m.err != nil {
			a.log.WithError(m.err).Debug("barrier failed")
		}
		a.gate.barrierDone(now(), m.action, m.index, m.err == nil)
		a.advanceGate()
	case orderEnded:
		a.orderEnded(m)
	case fetchEnded:
		a.gate.fetched(now(), m.action, m.ok)
		a.advanceGate()
	case turnGranted:
		a.turnGranted(m)
	case duty.Call[viewAsked, view]:
		m.Reply(a.view())
	}
}

// String returns the name of the result in logs.
func (r orderResult) String() string {
	return [...]string{"none", "done", "failed", "stale", "not sent", "unknown"}[r]
}
