package agent

import (
	"time"

	"merlinhall/wire"
)

const (
	// maxSwapAttempts is the number of failed attempts at a weight swap after which
	// the target counts as down and gets no order until the desired weights change.
	maxSwapAttempts = 3
	// retryPause is the pause before a failed action is retried.
	retryPause = 500 * time.Millisecond
	// maxFetchPause is the limit of the pause after failed fetches, which starts at
	// retryPause and doubles. Without this backoff every agent of a pool would ask
	// the store twice a second for a version that the store does not have yet.
	maxFetchPause = 4 * time.Second
)

// gateOp is the kind of a gateAction.
type gateOp uint8

const (
	gateBarrier gateOp = iota + 1 // confirm the term and log index with the control leader
	gateState                     // read the target's state
	gateFetch                     // fetch the bytes of version
	gateTurn                      // wait for this replica's turn to swap
	gateOrder                     // send the order to the target
)

// gateAction is an operation that the gate asks the agent to perform. The agent
// reports its result with one call of the matching handle method.
type gateAction struct {
	op      gateOp
	pool    string
	version uint64
	fence   wire.Fence
}

// orderGate derives the orders to one engine from the cluster state. It is a pure
// state machine without I/O or clock. It lets no order pass before a barrier has
// succeeded and the cluster state has reached the confirmed log index, and none
// with a fencing token below the highest one seen.
type orderGate struct {
	confirmed      bool
	confirmedIndex uint64 // log index confirmed by the barrier
	stateIndex     uint64 // log index of the current cluster state
	highestFence   wire.Fence
	desired        wire.WeightTarget
	hasDesired     bool

	served            uint64 // version that the engine serves, if servedKnown
	servedKnown       bool
	fetchedVersion    uint64 // version whose bytes have been fetched
	turnVersion       uint64 // version for which this replica has the swap turn
	swapFailures      int    // failed or unanswered orders for the desired version
	fetchFailures     int    // consecutive failed fetches of the desired version
	attemptsExhausted bool   // swapFailures has reached maxSwapAttempts
	stale             bool   // the target has seen a higher fencing token than desired.Fence

	// pending is the action in progress, if any. Late results of other actions are
	// ignored.
	pending     gateAction
	pausedUntil int64 // ms; no action is due before this time

	noBarrier, noFence bool // disable rules in tests
}

// setDesired sets the version that the cluster state at log index wants this target
// to serve, if any.
func (g *orderGate) setDesired(index uint64, desired wire.WeightTarget, hasDesired bool) {
	if index < g.stateIndex {
		return
	}
	g.stateIndex = index
	if hasDesired && g.hasDesired && desired.Pool == g.desired.Pool && desired.Version == g.desired.Version && desired.Fence == g.desired.Fence {
		return
	}
	g.desired = desired
	g.hasDesired = hasDesired
	g.swapFailures = 0
	g.fetchFailures = 0
	g.attemptsExhausted = false
	g.stale = false
	g.pausedUntil = 0
	if g.pending.op == gateFetch || g.pending.op == gateTurn {
		g.pending = gateAction{} // the version has been superseded
	}
}

// next returns the next action if one is due.
func (g *orderGate) next(now int64) (gateAction, bool) {
	if g.pending.op != 0 || now < g.pausedUntil {
		return gateAction{}, false
	}
	a := gateAction{pool: g.desired.Pool, version: g.desired.Version, fence: g.desired.Fence}
	switch {
	case !g.servedKnown:
		a.op = gateState
	case !g.confirmed && !g.noBarrier:
		a.op = gateBarrier
	case g.stateIndex < g.confirmedIndex && !g.noBarrier, !g.hasDesired, g.attemptsExhausted, g.stale:
		return gateAction{}, false
	case g.desired.Fence.Less(g.highestFence) && !g.noFence:
		return gateAction{}, false
	case g.served == g.desired.Version:
		return gateAction{}, false
	case g.fetchedVersion != g.desired.Version:
		a.op = gateFetch
	case g.turnVersion != g.desired.Version:
		a.op = gateTurn
	default:
		a.op = gateOrder
		g.highestFence = g.desired.Fence
	}
	g.pending = a
	return a, true
}

// finishAction clears the pending action and returns true if it equals a.
func (g *orderGate) finishAction(a gateAction) bool {
	if g.pending != a {
		return false
	}
	g.pending = gateAction{}
	return true
}

func (g *orderGate) pause(now int64) { g.pausedUntil = now + retryPause.Milliseconds() }

// handleBarrier handles the result of gateBarrier.
func (g *orderGate) handleBarrier(now int64, a gateAction, index uint64, ok bool) {
	if !g.finishAction(a) {
		return
	}
	if !ok {
		g.pause(now)
		return
	}
	g.confirmed = true
	g.confirmedIndex = index
}

// handleState handles the version that the target reports, as the result of
// gateState or of another read. The caller must not pass other reads that began
// before an order ended.
func (g *orderGate) handleState(now int64, a gateAction, version uint64, ok bool) {
	if a.op == gateState && !g.finishAction(a) {
		return
	}
	if !ok {
		g.pause(now)
		return
	}
	g.served = version
	g.servedKnown = true
	if g.hasDesired && version == g.desired.Version {
		g.swapFailures = 0
		g.attemptsExhausted = false
	}
}

// handleFetch handles the result of gateFetch.
func (g *orderGate) handleFetch(now int64, a gateAction, ok bool) {
	if !g.finishAction(a) {
		return
	}
	if !ok {
		g.pausedUntil = now + min(retryPause<<g.fetchFailures, maxFetchPause).Milliseconds()
		g.fetchFailures = min(g.fetchFailures+1, 8)
		return
	}
	g.fetchFailures = 0
	g.fetchedVersion = a.version
}

// handleTurn handles the result of gateTurn.
func (g *orderGate) handleTurn(now int64, a gateAction, ok bool) {
	if !g.finishAction(a) {
		return
	}
	if !ok {
		g.pause(now)
		return
	}
	g.turnVersion = a.version
}

// handleOrder handles the result of gateOrder.
func (g *orderGate) handleOrder(now int64, a gateAction, result orderResult) {
	if !g.finishAction(a) {
		return
	}
	switch result {
	case orderDone:
		g.served = a.version
		g.servedKnown = true
	case orderNotSent:
		g.turnVersion = 0 // let other replicas swap first while the target is down
		g.pause(now)
	case orderStale:
		g.servedKnown = false
		g.stale = a.fence == g.desired.Fence
	default:
		g.servedKnown = false
		g.countSwapFailure(now, a)
	}
}

// countSwapFailure counts a weight swap that failed or has an unknown outcome, if
// its order is still the desired one.
func (g *orderGate) countSwapFailure(now int64, a gateAction) {
	if a.fence != g.desired.Fence {
		return
	}
	g.swapFailures++
	g.attemptsExhausted = g.swapFailures >= maxSwapAttempts
	g.pause(now)
}

// holdsTurn reports whether the replica is swapping weights or will do so without
// asking for another turn.
func (g *orderGate) holdsTurn() bool {
	if g.swapping() {
		return true
	}
	settled := g.servedKnown && g.served == g.desired.Version
	return g.hasDesired && g.turnVersion == g.desired.Version && !settled && !g.attemptsExhausted && !g.stale
}

// swapping reports whether an order is in progress.
func (g *orderGate) swapping() bool { return g.pending.op == gateOrder }
