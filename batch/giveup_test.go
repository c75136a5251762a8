package batch

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"merlinhall/carrier"
	"merlinhall/ledger"
)

// Guards against a trainer that waits for an item until it closes its submission: an item
// whose text is whole but whose reward call gets no score is given up at its time to live,
// as one that no engine takes, and not before.
func TestItemWithoutAScoreIsGivenUpAtItsTimeToLive(t *testing.T) {
	is := is.New(t)
	r := testRunner(ledger.NewSubmissions())
	const ttl = 40 * time.Second
	sub := &ledger.Submission{ID: "s", Host: "h", MaxAttempts: 3, ItemTTL: ttl}
	j := newJob(ledger.Open{Submission: sub, Since: start, Remaining: []ledger.Item{{ID: "i", Group: "g", Reward: &ledger.Reward{ID: "w"}}}}, func(string) bool { return false })
	item := j.tasks["i"]
	c := testCarrier("a", "z", 0)
	item.state, item.run = taskScoring, &run{task: item, attempt: 7, carrier: c}
	c.runs[7] = item.run

	r.tickTask(start.Add(ttl), item)
	is.Equal(item.state, taskScoring)
	r.tickTask(start.Add(ttl+time.Millisecond), item)
	is.Equal(item.state, taskRecording)
	is.True(item.result.Failed)

	r.finishScore(start.Add(ttl+time.Second), item.run, &carrier.Progress{Attempt: 7, State: carrier.Ended, Outcome: carrier.Complete, Score: "late"})
	is.True(item.result.Failed) // its result is on its way to the ledger
}
