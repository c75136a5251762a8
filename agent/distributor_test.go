package agent

import (
	"testing"

	"github.com/matryer/is"

	"merlinhall/weights"
	"merlinhall/wire"
)

// A version is superseded while the others are asked whether this replica may swap. A late
// answer to that must not count for the next version: it may be older than another replica's
// claim, and both would swap at the same time.
func TestAnswerToAnEarlierSwapQueryIsIgnored(t *testing.T) {
	is := is.New(t)
	members := []weights.Member{{Target: "t0", Agent: "a0"}, {Target: "t1", Agent: "a1"}}
	lane, _ := weights.NewPlan("p", 2, members).Lane("t0") // its first replica waits for no other
	own, other, link := lane[0], lane[1], &peerLink{}
	d := &distributor{target: own.Target, peers: &peers{links: map[string]*peerLink{other.Agent: link}}}
	query := func(i int) *wire.SwapQuery { return link.queued[i].(*wire.SwapQuery) }
	answer := func(q *wire.SwapQuery) {
		d.handle(peerMessage{other.Agent, &wire.SwapState{Pool: "p", Target: other.Target, Round: q.Round}})
	}
	d.handle(turnRequest{plan: weights.NewPlan("p", 2, members)})
	d.handle(turnRequest{plan: weights.NewPlan("p", 3, members)})
	is.Equal(len(link.queued), 2)
	is.Equal(query(1).Version, uint64(3))
	answer(query(0))
	is.Equal(len(link.queued), 2)
	answer(query(1))
	is.Equal(len(link.queued), 3) // asks again, now with its claim
	answer(query(1))
	is.True(!d.swapStarted)
}
