package rollout

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"merlinhall/actor"
	"merlinhall/wire"
)

// inbox is a sender that queues the messages for the test.
type inbox chan wire.Message

func (b inbox) Send(m wire.Message) error {
	b <- m
	return nil
}

func (b inbox) next(t *testing.T) wire.Message {
	t.Helper()
	select {
	case m := <-b:
		return m
	case <-time.After(20 * time.Second):
		t.Fatal("no message")
		return nil
	}
}

func testJob(index int) *wire.Generate {
	sample := wire.SampleID{Trainer: "abay", Step: 1, Group: 0, Index: index}
	return &wire.Generate{Job: jobID(sample, 0, 1), Sample: sample, Pool: "lm", Scorer: "score", MinVersion: 2, Deadline: time.Now().Add(time.Minute).UnixMilli()}
}

func testWorker(t *testing.T, r Runner) *Worker {
	w := NewWorker(WorkerOptions{System: actor.NewSystem(), Runner: r, Log: quietLog()})
	t.Cleanup(w.Stop)
	return w
}

func (r *fakeRunner) count(job string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.calls[job]
}

// Guards against a job that runs twice because a leader, or two leaders, send it
// twice; both must get the result.
func TestSameJobRunsOnce(t *testing.T) {
	for _, skip := range []bool{false, true} {
		is := is.New(t)
		hold := make(chan struct{})
		r := &fakeRunner{version: func() uint64 { return 2 }, hold: hold}
		w := testWorker(t, r)
		w.skipDeduplication = skip
		first, second := make(inbox, 8), make(inbox, 8)
		job := testJob(0)
		w.enqueueMessage(first, job)
		w.enqueueMessage(second, job)
		w.enqueueMessage(second, &wire.JobsQuery{})
		is.Equal(second.next(t).(*wire.JobList).Jobs, []wire.EntryJob{{Job: job.Job, Sample: job.Sample}})
		close(hold)
		if skip {
			second.next(t)
			second.next(t)
			is.Equal(r.count(job.Job), 2) // without the rule it runs twice
			continue
		}
		for _, b := range []inbox{first, second} {
			done := b.next(t).(*wire.SampleDone)
			is.Equal(done.Error, "")
			is.Equal(done.Versions, []wire.VersionRange{{From: 0, To: 2, Version: 2}})
			is.Equal(done.Score, 0.5)
		}
		w.enqueueMessage(first, job) // the result of a finished job is resent
		is.Equal(first.next(t).(*wire.SampleDone).Job, job.Job)
		is.Equal(r.count(job.Job), 1)
		w.enqueueMessage(first, &wire.Abandon{Job: job.Job})
		w.enqueueMessage(first, &wire.JobsQuery{})
		is.Equal(len(first.next(t).(*wire.JobList).Jobs), 0)
	}
}

// Guards against tokens of unknown or too old versions in a sample.
func TestUnattributedTokensFail(t *testing.T) {
	for _, version := range []uint64{0, 1} {
		for _, skip := range []bool{false, true} {
			is := is.New(t)
			w := testWorker(t, &fakeRunner{version: func() uint64 { return version }})
			w.skipVersionCheck = skip
			b := make(inbox, 8)
			w.enqueueMessage(b, testJob(0))
			done := b.next(t).(*wire.SampleDone)
			is.Equal(done.Error == "", skip)
			is.Equal(len(done.Tokens) > 0, skip)
			is.Equal(done.Wasted == 2, !skip)
		}
	}
}

// Guards against an abandoned job that goes on or whose tokens are not counted as
// wasted.
func TestAbandonStopsJob(t *testing.T) {
	is := is.New(t)
	r := &fakeRunner{hold: make(chan struct{})}
	w := testWorker(t, r)
	b := make(inbox, 8)
	w.enqueueMessage(b, testJob(0))
	w.enqueueMessage(b, &wire.Abandon{Job: testJob(0).Job})
	is.True(b.next(t).(*wire.SampleDone).Error != "")
}

type failingScorer struct {
	fakeRunner
	left int
}

func (r *failingScorer) CallService(context.Context, string, string, string, []byte) ([]byte, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.left--; r.left >= 0 {
		return nil, errors.New("scorer is down")
	}
	return []byte(`{"score":1}`), nil
}

// Guards against a sample that is generated again because scoring failed.
func TestScoreIsRepeated(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	r := &failingScorer{fakeRunner: fakeRunner{version: func() uint64 { return 2 }}, left: 2}
	w := testWorker(t, r)
	b := make(inbox, 8)
	w.enqueueMessage(b, testJob(0))
	done := b.next(t).(*wire.SampleDone)
	is.Equal(done.Error, "")
	is.Equal(done.Score, 1.0)
	is.Equal(r.count(testJob(0).Job), 1)
}
