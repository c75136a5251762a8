package agent

import (
	"testing"

	"github.com/matryer/is"

	"merlinhall/wire"
)

// Guards against a deadline, a stalled stream, a drain or a pause of the order gate
// that is handled only at the next load report, and against ticks of an idle agent.
func TestAgentTicksWhileItWaits(t *testing.T) {
	is := is.New(t)
	a := &Agent{table: newTable("b", 8, 8, &routeCheck{}), gate: &orderGate{}}
	is.True(!a.needsTick(1000))
	a.table.running["r"] = &record{}
	is.True(a.needsTick(1000))
	delete(a.table.running, "r")
	a.table.stalled["r"] = &record{}
	is.True(a.needsTick(1000))
	delete(a.table.stalled, "r")
	a.drainWaiters = append(a.drainWaiters, nil)
	is.True(a.needsTick(1000))
	a.drainWaiters = nil
	a.gate.pausedUntil = 1001
	is.True(a.needsTick(1000))
	is.True(!a.needsTick(1001))
}

// Guards against a pending fetch of another agent, or an unused link, that is never
// checked again.
func TestDistributorTicksWhileItWaits(t *testing.T) {
	is := is.New(t)
	d := &distributor{peers: &peers{links: map[string]*peerLink{}}}
	is.True(!d.needsTick())
	d.pendingFetches = []pendingFetch{{request: &wire.WeightFetch{}}}
	is.True(d.needsTick())
	d.pendingFetches = nil
	d.peers.links["a"] = &peerLink{}
	is.True(d.needsTick())
}
