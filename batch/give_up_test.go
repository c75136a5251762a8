package batch

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"

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

// Guards against an item that is listed as failed too early while processes are replaced: a
// carrier of the production version reports any error status but 422 as a failed run, and
// only the reason says which one it was.
func TestErrorThatAFormerCarrierCallsAFailedRunIsNotCounted(t *testing.T) {
	is := is.New(t)
	j := testJob("k", start, 1, []int{600})
	j.sub.MaxAttempts = 1
	r := quietRunner()
	r.metrics = newMetrics(prometheus.NewRegistry())
	r.jobs = []*job{j}
	task := j.tasks["k-0-0"]
	c := &carrierView{process: "p", runs: make(map[uint64]*run)}
	run := r.newRun(start, task, c)
	task.state, run.reading = taskRunning, true
	r.handleProgress(start, c, &carrier.Progress{Attempt: run.attempt, State: carrier.Ended, Outcome: carrier.Failed, Reached: true, Reason: "status 504"})
	is.Equal(task.failures, 0)
	is.Equal(task.state, taskPending)
}

// Guards against the same for reward calls: a carrier of the production version gives up after
// answers of 504 too, and nothing in its report tells.
func TestRewardCallThatAFormerCarrierGivesUpIsMadeAgain(t *testing.T) {
	is := is.New(t)
	r := quietRunner()
	j := testJob("k", start, 1, []int{600})
	r.jobs = []*job{j}
	task := j.tasks["k-0-0"]
	task.item.Reward = &ledger.Reward{ID: "r"}
	c := &carrierView{process: "p", runs: make(map[uint64]*run)}
	ended := carrier.Progress{State: carrier.Ended, Outcome: carrier.Complete, RewardFailed: true}
	r.scoreWhole(task)
	ended.Attempt = r.newRun(start, task, c).attempt
	r.handleProgress(start, c, &ended)
	is.Equal(task.state, taskScoring)
	is.Equal(task.run, nil) // the next tick has it scored

	ended.Attempt, ended.Failures = r.newRun(start, task, c).attempt, 4
	r.handleProgress(start, c, &ended)
	is.Equal(task.state, taskRecording)
	is.True(task.result.Failed)
}

// Guards against an engine in trouble that gets runs again too early: an error response of
// another run ends the longer pause of an engine that sends no events.
func TestErrorResponseEndsNoLongerPause(t *testing.T) {
	is := is.New(t)
	e := testEngine("a", 4, 4)
	e.pausedUntil = start.Add(pauseSilent)
	quietRunner(e).updateEngine(start, e, &run{}, runEnd{outcome: carrier.Unfinished, reached: true})
	is.True(!e.pausedUntil.Before(start.Add(pauseSilent)))
}

// Guards against a leader that counts an error response which does not say that the run has
// failed, or that has such an item sent again at once, for hundreds of items.
func TestErrorThatIsNoFailedRunIsNotCountedByTheLeader(t *testing.T) {
	is := is.New(t)
	e := testEngine("a", 4, 4)
	j := testJob("k", start, 1, []int{600})
	j.sub.MaxAttempts = 1
	r := quietRunner(e)
	r.metrics = newMetrics(prometheus.NewRegistry())
	r.jobs = []*job{j}
	task := j.tasks["k-0-0"]
	c := &carrierView{process: "p", runs: make(map[uint64]*run)}
	now, wait := start, 50*time.Millisecond
	for range 8 {
		run := r.newRun(now, task, c)
		run.engine, run.reading, task.state, task.engine = "a", true, taskRunning, "a"
		r.handleProgress(now, c, &carrier.Progress{Attempt: run.attempt, State: carrier.Ended, Outcome: carrier.Unfinished, Reached: true})
		is.Equal(task.state, taskPending)
		is.Equal(task.failures, 0)
		is.Equal(task.retryAt.Sub(now), wait)
		is.True(e.pausedUntil.After(now))
		now, wait = task.retryAt, min(2*wait, 1600*time.Millisecond)
	}
}

// Guards against a reward call that is given up too early: the carrier must know how often the
// submission's route lets it fail.
func TestStartNamesTheFailuresThatAreAllowed(t *testing.T) {
	is := is.New(t)
	j := testJob("k", start, 1, []int{600})
	j.sub.MaxAttempts = 3
	r := quietRunner()
	r.adopted, r.jobs = true, []*job{j}
	c := &carrierView{process: "p", link: discardLink{}, synced: true, reportedAt: start, runs: make(map[uint64]*run)}
	r.carriers = []*carrierView{c}
	task := j.tasks["k-0-0"]
	task.item.Reward = &ledger.Reward{ID: "r"}
	r.scoreWhole(task)
	r.tickTask(start, task)
	is.Equal(len(c.orders.Starts), 1)
	is.Equal(c.orders.Starts[0].MaxFailures, 3)
}
