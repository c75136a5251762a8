package agent

import (
	"time"

	"merlinhall/wire"
)

const (
	// orderAttempts is how often a swap is tried before the target is set aside.
	orderAttempts = 3
	// orderPause separates two attempts of anything the gate asks for.
	orderPause = 500 * time.Millisecond
	// maxFetchPause bounds the pause after a failed fetch, which doubles from
	// orderPause. Without it every agent of a pool asks the store twice a second for
	// a version that the store does not have yet.
	maxFetchPause = 4 * time.Second
)

// gateOp is what the gate asks the agent to do.
type gateOp uint8

const (
	gateBarrier gateOp = iota + 1 // confirm the term and index with control
	gateState                     // read the target's state
	gateFetch                     // make the bytes of version present
	gateTurn                      // find out whether it is this replica's turn to swap
	gateOrder                     // pass the order to the target
)

// gateAction is one request of the gate. Each is answered by one call.
type gateAction struct {
	op      gateOp
	pool    string
	version uint64
	fence   wire.Fence
}

// gate is the order gate: a pure state machine that derives the orders to one
// engine from the world. It passes no order before a barrier has succeeded and its
// world has reached the confirmed index, and none below the highest fence seen.
type gate struct {
	target string

	confirmed bool
	index     uint64 // confirmed log index
	world     uint64 // index of the world held
	highest   wire.Fence
	want      wire.WeightTarget
	wanted    bool

	served      uint64
	servedKnown bool
	present     uint64 // version whose bytes are present
	turn        uint64 // version for which it is this replica's turn
	failures    int
	fetchFails  int // failed fetches of the wanted version in a row
	setAside    bool
	stale       bool // the target knows a higher fence than want.Fence

	// busy is the action under way, if any; late answers to others are ignored.
	busy    gateAction
	resting int64 // no action before this time, ms

	noBarrier, noFence bool // switches for tests
}

// takeWorld takes up what the world orders this target to serve.
func (g *gate) takeWorld(index uint64, want wire.WeightTarget, wanted bool) {
	if index < g.world {
		return
	}
	g.world = index
	if wanted && g.wanted && want.Pool == g.want.Pool && want.Version == g.want.Version && want.Fence == g.want.Fence {
		return
	}
	g.want = want
	g.wanted = wanted
	g.failures = 0
	g.fetchFails = 0
	g.setAside = false
	g.stale = false
	g.resting = 0
	if g.busy.op == gateFetch || g.busy.op == gateTurn {
		g.busy = gateAction{} // superseded
	}
}

// next returns the next action, if one is due.
func (g *gate) next(now int64) (gateAction, bool) {
	if g.busy.op != 0 || now < g.resting {
		return gateAction{}, false
	}
	a := gateAction{pool: g.want.Pool, version: g.want.Version, fence: g.want.Fence}
	switch {
	case !g.servedKnown:
		a.op = gateState
	case !g.confirmed && !g.noBarrier:
		a.op = gateBarrier
	case g.world < g.index && !g.noBarrier, !g.wanted, g.setAside, g.stale:
		return gateAction{}, false
	case g.want.Fence.Less(g.highest) && !g.noFence:
		return gateAction{}, false
	case g.served == g.want.Version:
		return gateAction{}, false
	case g.present != g.want.Version:
		a.op = gateFetch
	case g.turn != g.want.Version:
		a.op = gateTurn
	default:
		a.op = gateOrder
		g.highest = g.want.Fence
	}
	g.busy = a
	return a, true
}

// current reports whether an answer belongs to the action under way.
func (g *gate) current(a gateAction) bool {
	if g.busy != a {
		return false
	}
	g.busy = gateAction{}
	return true
}

func (g *gate) rest(now int64) { g.resting = now + orderPause.Milliseconds() }

// barrierDone answers gateBarrier.
func (g *gate) barrierDone(now int64, a gateAction, index uint64, ok bool) {
	if !g.current(a) {
		return
	}
	if !ok {
		g.rest(now)
		return
	}
	g.confirmed = true
	g.index = index
}

// stateRead takes up the version that the target reports, in answer to gateState
// or from any other read. Reads that began before an order ended are not passed.
func (g *gate) stateRead(now int64, a gateAction, version uint64, ok bool) {
	if a.op == gateState && !g.current(a) {
		return
	}
	if !ok {
		g.rest(now)
		return
	}
	g.served = version
	g.servedKnown = true
	if g.wanted && version == g.want.Version {
		g.failures = 0
		g.setAside = false
	}
}

// fetched answers gateFetch.
func (g *gate) fetched(now int64, a gateAction, ok bool) {
	if !g.current(a) {
		return
	}
	if !ok {
		g.resting = now + min(orderPause<<g.fetchFails, maxFetchPause).Milliseconds()
		g.fetchFails = min(g.fetchFails+1, 8)
		return
	}
	g.fetchFails = 0
	g.present = a.version
}

// turned answers gateTurn.
func (g *gate) turned(now int64, a gateAction, ok bool) {
	if !g.current(a) {
		return
	}
	if !ok {
		g.rest(now)
		return
	}
	g.turn = a.version
}

// ordered answers gateOrder.
func (g *gate) ordered(now int64, a gateAction, result orderResult) {
	if !g.current(a) {
		return
	}
	switch result {
	case orderDone:
		g.served = a.version
		g.servedKnown = true
	case orderNotSent:
		g.turn = 0 // others may go first while the target is down
		g.rest(now)
	case orderStale:
		g.servedKnown = false
		g.stale = a.fence == g.want.Fence
	default:
		g.servedKnown = false
		g.failed(now, a)
	}
}

// failed counts a failed or unknown swap of the version still wanted.
func (g *gate) failed(now int64, a gateAction) {
	if a.fence != g.want.Fence {
		return
	}
	g.failures++
	g.setAside = g.failures >= orderAttempts
	g.rest(now)
}

// holdsTurn reports whether the replica swaps or will do so without asking again.
func (g *gate) holdsTurn() bool {
	if g.swapping() {
		return true
	}
	settled := g.servedKnown && g.served == g.want.Version
	return g.wanted && g.turn == g.want.Version && !settled && !g.setAside && !g.stale
}

// swapping reports whether an order is under way.
func (g *gate) swapping() bool { return g.busy.op == gateOrder }
