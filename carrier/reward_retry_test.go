package carrier

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"merlinhall/forward"
	"merlinhall/ledger"
)

// unavailableRewards answers each reward call at once with an error that is no failed run.
type unavailableRewards struct {
	Targets
	calls int
}

func (u *unavailableRewards) Score(context.Context, *ledger.Reward, func() bool) RewardEnd {
	u.calls++
	return RewardEnd{
		MaxFailures: 4, Reason: "Bad Gateway", Status: 502,
		Attempts: []forward.AttemptEnd{{Status: 502}, {Status: 502}, {Status: 502}, {Status: 502}},
	}
}

// Guards against a storm of reward calls: a reward service that answers 502 at once gets the
// calls of each waiting text again at a constant rate, as such a call is no longer given up.
// Items wait up to 1.6 s between runs that end unfinished; a constant 200 ms is 50 calls.
func TestRewardCallsWithoutAFailedRunAreRepeatedLessOften(t *testing.T) {
	is := is.New(t)
	c, clock := testCarrier()
	u := &unavailableRewards{}
	c.o.Targets, c.o.Go = u, func(work func()) { work() }
	c.UseMailbox(directMailbox{c})
	l := &testLink{}
	c.orders(l, Orders{Term: 1, Sequence: 1, Inventory: true, Echo: int64(*clock)})
	r := given(c, 7, &ledger.Reward{ID: "r"})
	c.Receive(readEnded{r, ReadEnd{Outcome: Complete, Reached: true}})
	for range int(10 * time.Second / TickInterval) {
		*clock += TickInterval
		c.decidedAt.Store(int64(*clock))
		c.tick(*clock)
	}
	t.Logf("%d calls", u.calls)
	is.Equal(r.state, Scoring)
	is.True(u.calls >= 5)
	is.True(u.calls <= 15) // in 10 s, of one text
}
