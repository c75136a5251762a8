package agent

import (
	"testing"

	"github.com/matryer/is"

	"merlinhall/wire"
)

// Guards against a deadline, a stalled stream, a drain or a pause of the gate that
// waits for the next load report, and against an idle agent that ticks.
func TestAgentTicksWhileItWaits(t *testing.T) {
	is := is.New(t)
	a := &Agent{table: newTable("b", 8, 8, &lastHop{}), gate: &gate{}}
	is.True(!a.waits(1000))
	a.table.running["r"] = &record{}
	is.True(a.waits(1000))
	delete(a.table.running, "r")
	a.table.stalled["r"] = &record{}
	is.True(a.waits(1000))
	delete(a.table.stalled, "r")
	a.drains = append(a.drains, nil)
	is.True(a.waits(1000))
	a.drains = nil
	a.gate.resting = 1001
	is.True(a.waits(1000))
	is.True(!a.waits(1001))
}

// Guards against a question of another agent, or an unused link, that nothing
// looks at again.
func TestCourierTicksWhileItWaits(t *testing.T) {
	is := is.New(t)
	c := &courier{peers: &peers{links: map[string]*peerLink{}}}
	is.True(!c.waits())
	c.waiting = []waitingFetch{{m: &wire.WeightFetch{}}}
	is.True(c.waits())
	c.waiting = nil
	c.peers.links["a"] = &peerLink{}
	is.True(c.waits())
}
