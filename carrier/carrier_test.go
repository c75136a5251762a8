package carrier

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/matryer/is"

	"merlinhall/directory"
	"merlinhall/ledger"
	"merlinhall/observe"
	"merlinhall/upstream"
	"merlinhall/wire"
)

// testLink records what a carrier sends to a leader.
type testLink struct{ reports []*Report }

// Send implements Sender.
func (l *testLink) Send(m wire.Message) error {
	l.reports = append(l.reports, m.(*Report))
	return nil
}

// QueuedBytes implements Sender.
func (l *testLink) QueuedBytes() int { return 0 }

func (l *testLink) last() *Report { return l.reports[len(l.reports)-1] }

// testCarrier returns a carrier with a clock that the test sets. Its runs reach no engine.
func testCarrier() (c *Carrier, clock *time.Duration) {
	clock = new(time.Duration)
	*clock = time.Hour
	observer := observe.New("panic")
	observer.Log.SetOutput(io.Discard)
	c = New(Options{
		Directory: directory.New(), CancelTime: 3 * time.Second,
		Clock: func() time.Duration { return *clock }, Observer: observer,
	})
	return c, clock
}

// given is an attempt that runs, as if its engine had answered.
func given(c *Carrier, attempt uint64, reward *ledger.Reward) *run {
	r := newRun(Start{Attempt: attempt, Submission: "s", Item: "i", Engine: "e", Reward: reward}, c.o.Clock)
	c.runs[attempt] = r
	return r
}

func (c *Carrier) orders(from Sender, o Orders) { c.handleOrders(c.o.Clock(), from, &o) }

// Orders that waited on a link or in a frozen process: the submission may have ended since.
func TestOldOrdersBeginNothing(t *testing.T) {
	is := is.New(t)
	c, clock := testCarrier()
	l := &testLink{}
	c.orders(l, Orders{Term: 1, Sequence: 1, Inventory: true})
	is.True(l.last().Inventory)
	echo := l.last().Clock
	*clock += 2 * time.Second
	c.orders(l, Orders{Term: 1, Sequence: 2, Echo: echo, Starts: []Start{{Attempt: 7, Item: "i", Engine: "e"}}})
	c.tick(*clock)
	is.Equal(len(l.last().Runs), 1)
	is.Equal(l.last().Runs[0].Outcome, NotStarted)
	is.Equal(l.last().Runs[0].Reason, "the order is too old")
	is.Equal(l.last().Seen, uint64(2))
}

// Guards against a run on an engine that has been leaving for longer than this carrier's
// list is old.
func TestNothingIsBegunByAnOldList(t *testing.T) {
	is := is.New(t)
	c, clock := testCarrier()
	c.o.Directory.SetMaxAge(time.Second)
	c.o.Directory.Replace(time.Now().Add(-2*time.Second), []wire.TargetEntry{{ID: "e", Service: "s", Address: "127.0.0.1:1"}})
	l := &testLink{}
	c.orders(l, Orders{Term: 1, Sequence: 1, Inventory: true})
	c.orders(l, Orders{Term: 1, Sequence: 2, Echo: l.last().Clock, Starts: []Start{{Attempt: 7, Item: "i", Engine: "e"}}})
	c.tick(*clock)
	is.Equal(l.last().Runs[0].Outcome, NotStarted)
	is.Equal(l.last().Runs[0].Reason, "the list of targets is too old")
}

// A former leader does not know yet that another one has been elected.
func TestFormerLeaderIsIgnored(t *testing.T) {
	is := is.New(t)
	c, _ := testCarrier()
	former, leader := &testLink{}, &testLink{}
	c.orders(former, Orders{Term: 1, Inventory: true})
	given(c, 7, nil)
	c.orders(leader, Orders{Term: 2, Inventory: true})
	is.Equal(len(leader.last().Runs), 1)
	is.Equal(*leader.last().Runs[0].Identity, Identity{Submission: "s", Item: "i", Engine: "e"})
	sent := len(former.reports)
	c.orders(former, Orders{Term: 1, Cancels: []uint64{7}})
	c.orders(former, Orders{Term: 1, Inventory: true})
	is.Equal(c.runs[7].why, "")
	is.Equal(len(former.reports), sent)
	c.orders(leader, Orders{Term: 2, Cancels: []uint64{7}})
	is.Equal(c.runs[7].why, "cancelled by the leader")
}

// A leader is lost after it has been handed a part of a text. The next one gets all of it.
func TestNextLeaderGetsTheWholeText(t *testing.T) {
	is := is.New(t)
	c, clock := testCarrier()
	first, next := &testLink{}, &testLink{}
	c.orders(first, Orders{Term: 1, Inventory: true, Echo: int64(*clock)})
	r := given(c, 7, nil)
	for range minHandInEvents {
		r.Add([]byte("x"), 4)
	}
	*clock += handInInterval
	c.tick(*clock)
	is.Equal(first.last().Runs[0].Text.Events, minHandInEvents)
	r.Add([]byte("y"), 5)
	c.orders(next, Orders{Term: 2, Inventory: true})
	*clock += handInInterval
	c.tick(*clock)
	p := next.last().Runs[0]
	is.Equal(p.From, 0)
	is.Equal(p.Text.Events, minHandInEvents+1)
	is.Equal(p.Text.Versions, []uint64{4, 5})
	is.Equal(p.Text.Lineage, uint64(7))
}

// A complete text is kept until the leader needs it no more, however often leaders change.
func TestEndedRunsAreKeptUntilDone(t *testing.T) {
	is := is.New(t)
	c, clock := testCarrier()
	l := &testLink{}
	c.orders(l, Orders{Term: 1, Inventory: true})
	r := given(c, 7, nil)
	r.Add([]byte("x"), 4)
	c.Receive(readEnded{r, ReadEnd{Outcome: Complete, Reached: true}})
	for term := range uint64(3) {
		next := &testLink{}
		c.orders(next, Orders{Term: term + 2, Inventory: true})
		is.Equal(next.last().Runs[0].Outcome, Complete)
		is.Equal(next.last().Runs[0].Text.Events, 1)
		l = next
	}
	c.orders(l, Orders{Term: 4, Done: []uint64{7}})
	is.Equal(len(c.runs), 0)
	given(c, 8, nil)
	*clock += orphanLimit + time.Second
	c.tick(*clock)
	is.Equal(len(c.runs), 0) // no leader has asked for it
}

// No reward is called for an item whose submission may have ended: the leader is silent.
func TestRewardWaitsForALeader(t *testing.T) {
	is := is.New(t)
	c, clock := testCarrier()
	l := &testLink{}
	c.orders(l, Orders{Term: 1, Inventory: true})
	c.orders(l, Orders{Term: 1, Echo: int64(*clock)})
	r := given(c, 7, &ledger.Reward{ID: "w"})
	r.finishReading(ReadEnd{Outcome: Complete, Reached: true})
	due := func() bool { return r.rewardDue(*clock) && c.rewardWanted() }
	is.True(due())
	*clock += c.o.CancelTime*2/3 + time.Millisecond
	is.True(!due())
	c.orders(l, Orders{Term: 1, Echo: int64(*clock)})
	is.True(due())
}

// A text that another attempt began goes on here: from the first new event on it is another
// text than any other attempt makes of it.
func TestContinuedTextNamesTheAttemptThatContinuesIt(t *testing.T) {
	is := is.New(t)
	c, clock := testCarrier()
	l := &testLink{}
	c.orders(l, Orders{Term: 1, Inventory: true, Echo: int64(*clock)})
	r := newRun(Start{Attempt: 9, Item: "i", Engine: "e", Text: Text{Parts: [][]byte{{1}}, Events: 18, Lineage: 7}}, c.o.Clock)
	c.runs[9] = r
	for range minHandInEvents {
		r.Add([]byte("x"), 4)
	}
	*clock += handInInterval
	c.tick(*clock)
	p := l.last().Runs[0]
	is.Equal(p.From, 18)
	is.Equal(p.Text.Lineage, uint64(9))
	is.Equal(p.Text.Continues, uint64(7))
}

// panickingTargets fails unexpectedly in each call.
type panickingTargets struct{ Targets }

func (panickingTargets) Generate(context.Context, upstream.Address, *upstream.Request, Generated, int, VersionRule) ReadEnd {
	panic("an event that no one thought of")
}

func (panickingTargets) Score(context.Context, *ledger.Reward, func() bool) RewardEnd {
	panic("a response that no one thought of")
}

type directMailbox struct{ c *Carrier }

func (m directMailbox) Offer(msg any) error { m.c.Receive(msg); return nil }

// Guards against an unexpected error in one run that ends the process, and with it the runs
// of all others, or leaves the item waiting for ever.
func TestUnexpectedErrorEndsOneRun(t *testing.T) {
	is := is.New(t)
	c, clock := testCarrier()
	c.o.Targets, c.o.Protocol, c.o.Go = panickingTargets{}, testHeaders{}, func(work func()) { work() }
	c.UseMailbox(directMailbox{c})
	l := &testLink{}
	c.orders(l, Orders{Term: 1, Inventory: true})
	c.orders(l, Orders{Term: 1, Echo: int64(*clock), Starts: []Start{{Attempt: 7, Item: "i", Engine: "e", Reward: &ledger.Reward{ID: "r"}}}})
	c.tick(*clock)
	is.Equal(l.last().Runs[0].Outcome, Broken) // its item goes on elsewhere
	r := given(c, 8, &ledger.Reward{ID: "r"})
	c.Receive(readEnded{r, ReadEnd{Outcome: Complete, Reached: true}})
	is.Equal(r.state, Scoring)
	is.True(!r.rewardPending) // is called again
}

type testHeaders struct{ Protocol }

func (testHeaders) ItemHeaders(string, string, uint64, int) []wire.Header { return nil }

// Guards against an item that is given up too early: the number of failed runs that its
// reward call may have is the most that its submission's route or the call's own allows, also
// if a later manifest allows less.
func TestRewardCallMayFailAsOftenAsEitherRouteAllows(t *testing.T) {
	for _, c := range []struct {
		name       string
		submission int
		calls      []RewardEnd
		given      bool
	}{
		{"submission's route allows more", 3, []RewardEnd{{Failures: 2, MaxFailures: 2}}, false},
		{"call's route allows more", 2, []RewardEnd{{Failures: 3, MaxFailures: 4}}, false},
		{"a later manifest allows less", 1, []RewardEnd{{Failures: 2, MaxFailures: 4}, {Failures: 1, MaxFailures: 1}}, false},
		{"no route to the reward service", 1, []RewardEnd{{}}, false},
		{"an end without a failure", 1, []RewardEnd{{MaxFailures: 1}}, false},
		{"as often as both allow", 3, []RewardEnd{{Failures: 2, MaxFailures: 4}, {Failures: 2, MaxFailures: 4}}, true},
		{"a leader of the former version", 0, []RewardEnd{{Failures: 2, MaxFailures: 2}}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			carrier, clock := testCarrier()
			r := newRun(Start{Attempt: 7, Item: "i", Engine: "e", Reward: &ledger.Reward{ID: "r"}, MaxFailures: c.submission}, carrier.o.Clock)
			r.state = Scoring
			for _, end := range c.calls {
				carrier.finishReward(*clock, r, end)
			}
			is.Equal(r.rewardFailed, c.given)
		})
	}
}

// Guards against a storm of reward calls: a service that rejects a call at once gets it again
// after growing waits, and an overloaded one, which refuses it, as soon as before.
func TestRejectedRewardCallsAreRepeatedLessOften(t *testing.T) {
	is := is.New(t)
	carrier, clock := testCarrier()
	r := newRun(Start{Attempt: 7, Item: "i", Engine: "e", Reward: &ledger.Reward{ID: "r"}}, carrier.o.Clock)
	r.state = Scoring
	var waits []time.Duration
	for range 6 {
		carrier.finishReward(*clock, r, RewardEnd{Status: 404, MaxFailures: 4})
		waits = append(waits, r.rewardAt-*clock)
		*clock = r.rewardAt
	}
	is.Equal(waits, []time.Duration{
		200 * time.Millisecond, 400 * time.Millisecond, 800 * time.Millisecond, 1600 * time.Millisecond, 1600 * time.Millisecond, 1600 * time.Millisecond,
	})
	is.True(!r.rewardFailed)
	carrier.finishReward(*clock, r, RewardEnd{MaxFailures: 4, Reason: "no target took the request"})
	is.Equal(r.rewardAt-*clock, 200*time.Millisecond)
}
