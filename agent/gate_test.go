package agent

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"merlinhall/wire"
)

// simGate simulates the order gate of an engine that ignores fencing tokens, with
// restarts of the agent, outdated cluster states, and orders that fail or have an
// unknown outcome. It returns a description of the first order with a fencing token
// below an earlier one, or of a gate that never reached the last version, or "".
func simGate(seed uint64, noBarrier bool) string {
	rng := rand.New(rand.NewPCG(seed, 3))
	committed := uint64(1) // index of the newest cluster state; the state at index i orders version i
	seen := uint64(0)      // highest fencing token that the engine received
	served := uint64(0)
	now := int64(0)
	newGate := func() *orderGate { return &orderGate{noBarrier: noBarrier} }
	deliver := func(g *orderGate, index uint64) {
		g.setDesired(index, wire.WeightTarget{Pool: "p", Version: index, Fence: wire.Fence{Term: 1, Sequence: index}}, true)
	}
	g := newGate()
	act := func(reliable bool) string {
		a, ok := g.next(now)
		if !ok {
			return ""
		}
		good := reliable || rng.IntN(4) > 0
		switch a.op {
		case gateBarrier:
			g.handleBarrier(now, a, committed, good)
		case gateState:
			g.handleState(now, a, served, good)
		case gateFetch:
			g.handleFetch(now, a, good)
		case gateTurn:
			g.handleTurn(now, a, good)
		case gateOrder:
			result := orderDone
			if !reliable {
				result = orderResult(1 + rng.IntN(5))
			}
			if result == orderStale {
				result = orderFailed // this engine checks no fencing tokens
			}
			if result != orderNotSent {
				if a.fence.Sequence < seen {
					return fmt.Sprintf("engine received fencing token %d after %d", a.fence.Sequence, seen)
				}
				seen = a.fence.Sequence
			}
			if result == orderDone || result == orderUnknown && rng.IntN(2) == 0 {
				served = a.version
			}
			g.handleOrder(now, a, result)
		}
		return ""
	}
	for range 2000 {
		now += int64(rng.IntN(200))
		switch rng.IntN(12) {
		case 0:
			committed++
		case 1, 2:
			deliver(g, 1+rng.Uint64N(committed))
		case 3:
			if rng.IntN(10) == 0 {
				g = newGate()
			}
		default:
			if fault := act(false); fault != "" {
				return fault
			}
		}
	}
	committed++
	deliver(g, committed)
	for range 50 {
		now += 1000
		if fault := act(true); fault != "" {
			return fault
		}
	}
	if served != committed {
		return fmt.Sprintf("engine serves version %d, want %d", served, committed)
	}
	return ""
}

// Guards against an order from an outdated cluster state after one from a newer
// state, in particular after a restart of the agent, and against an order gate that
// stops making progress.
func TestOrdersFollowFencingTokens(t *testing.T) {
	for seed := range uint64(simScale(t, 200)) {
		if fault := simGate(seed, false); fault != "" {
			t.Fatalf("seed %d: %s", seed, fault)
		}
	}
}

// Checks that the simulation detects a missing barrier.
func TestSimulationDetectsMissingBarrier(t *testing.T) {
	for seed := range uint64(200) {
		if fault := simGate(seed, true); fault != "" {
			t.Log(fault)
			return
		}
	}
	t.Fatal("no fault found without the barrier")
}

func gateServing(served uint64) *orderGate {
	return &orderGate{confirmed: true, confirmedIndex: 1, served: served, servedKnown: true}
}

func want(version, term, sequence uint64) wire.WeightTarget {
	return wire.WeightTarget{Pool: "p", Version: version, Fence: wire.Fence{Term: term, Sequence: sequence}}
}

// advanceToOrder completes the actions before the order and returns the order.
func advanceToOrder(g *orderGate, now int64) (gateAction, bool) {
	for {
		a, ok := g.next(now)
		if !ok || a.op == gateOrder {
			return a, ok
		}
		switch a.op {
		case gateFetch:
			g.handleFetch(now, a, true)
		case gateTurn:
			g.handleTurn(now, a, true)
		case gateState:
			g.handleState(now, a, g.served, true)
		}
	}
}

// Guards against an order below the highest fencing token seen. With noFence set, the
// gate sends such an order.
func TestLowerFenceIsNotPassed(t *testing.T) {
	is := is.New(t)
	for _, off := range []bool{false, true} {
		g := gateServing(1)
		g.noFence = off
		g.setDesired(10, want(5, 2, 10), true)
		a, ok := advanceToOrder(g, 0)
		is.True(ok)
		g.handleOrder(0, a, orderDone)
		g.setDesired(11, want(4, 1, 99), true)
		_, ok = advanceToOrder(g, 0)
		is.Equal(ok, off)
	}
}

// Guards against a failed swap that is retried without limit or not at all, or that
// still blocks the target when a newer version is ordered.
func TestFailedSwapIsTriedThreeTimes(t *testing.T) {
	is := is.New(t)
	g := gateServing(1)
	g.setDesired(10, want(5, 1, 10), true)
	now := int64(0)
	for range maxSwapAttempts {
		is.True(!g.attemptsExhausted)
		a, ok := advanceToOrder(g, now)
		is.True(ok)
		g.handleOrder(now, a, orderFailed)
		now += 1000
	}
	_, ok := advanceToOrder(g, now)
	is.True(!ok)
	is.True(g.attemptsExhausted)
	is.True(!g.holdsTurn()) // other replicas may swap
	g.setDesired(11, want(6, 1, 11), true)
	a, ok := advanceToOrder(g, now)
	is.True(ok)
	is.Equal(a.version, uint64(6))
}

// Guards against agents that ask the store without backoff for a version that it
// does not have.
func TestFailedFetchesSlowDown(t *testing.T) {
	is := is.New(t)
	g := gateServing(1)
	g.setDesired(10, want(5, 1, 10), true)
	fetches := 0
	for now := int64(0); now < 60_000; now += 50 {
		if a, ok := g.next(now); ok {
			is.Equal(a.op, gateFetch)
			g.handleFetch(now, a, false)
			fetches++
		}
	}
	is.True(fetches <= 18) // 4 while the pause grows, then one every 4 s
	is.True(fetches >= 15)
}

// Guards against an order for a version that was superseded while its bytes were
// being fetched.
func TestSupersededVersionIsAbandoned(t *testing.T) {
	is := is.New(t)
	g := gateServing(1)
	g.setDesired(10, want(5, 1, 10), true)
	a, _ := g.next(0)
	is.Equal(a.op, gateFetch)
	g.setDesired(11, want(6, 1, 11), true)
	c, _ := g.next(0)
	is.Equal(c.version, uint64(6))
	g.handleFetch(0, a, true) // late result of the superseded action
	_, ok := g.next(0)
	is.True(!ok) // the other action is still in progress
	g.handleFetch(0, c, true)
	b, ok := advanceToOrder(g, 0)
	is.True(ok)
	is.Equal(b.version, uint64(6))
}

// Guards against tokens that are attributed to a version while the outcome of a swap
// is unknown.
func TestUnconfirmedVersionsAreNotAttributed(t *testing.T) {
	is := is.New(t)
	attribute := func(w *versionTracker, version uint64) <-chan bool {
		done := make(chan bool, 1)
		go func() { done <- w.attribute(context.Background(), version, 0, false) }()
		return done
	}
	get := func(c <-chan bool) bool {
		select {
		case ok := <-c:
			return ok
		case <-time.After(testWait):
			t.Fatal("attribution of the token did not return")
			return false
		}
	}
	for _, off := range []bool{false, true} {
		w := newVersionTracker(nil)
		w.requestState = func() { go w.notify() } // a read of the state that does not confirm a version
		w.attributeAll = off
		w.confirm(1)
		is.True(get(attribute(w, 1)))
		w.swapStarted()
		w.swapUnknown()
		first, second := attribute(w, 1), attribute(w, 2)
		w.confirm(2)
		is.Equal(get(first), off)
		is.True(get(second))

		w.swapStarted()
		w.swapUnknown()
		w.invalidate()
		is.Equal(get(attribute(w, 2)), off)
		w.confirm(2)
		is.True(get(attribute(w, 2)))
		is.True(get(attribute(w, 2)))
	}
	// After a successful swap tokens of both versions are attributed, but within a
	// stream none of the older version after one of the newer.
	w := newVersionTracker(func() {})
	w.confirm(1)
	w.swapStarted()
	w.confirm(2)
	is.True(get(attribute(w, 1)))
	is.True(w.attribute(context.Background(), 2, 1, true))
	is.True(!w.attribute(context.Background(), 1, 2, true))
}
