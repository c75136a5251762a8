package batch

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"merlinhall/carrier"
	"merlinhall/consensus"
	"merlinhall/ledger"
)

const (
	// saveInterval is how often the partial texts of running items are saved in the
	// ledger. Carriers keep them meanwhile; a save is for the loss of a carrier and the
	// leader, or of all processes, at the same time.
	saveInterval = 500 * time.Millisecond
	// minSaveEvents is the number of new events from which a text is saved.
	minSaveEvents = 8
	// maxProposals bounds the additions that wait for the log at the same time. What comes
	// meanwhile goes into the next ones.
	maxProposals = 2
	// maxAdditionItems and maxAdditionBytes bound one proposal.
	maxAdditionItems = 256
	maxAdditionBytes = 512 << 10
	// proposeRetryDelay is the wait after a proposal that failed.
	proposeRetryDelay = 200 * time.Millisecond
)

// A command has room for what it is filled with and for one more text.
const _ = uint(consensus.MaxCommandBytes - maxAdditionBytes - carrier.MaxTextBytes - 512<<10)

// additions collects results and partial texts for the ledger, so that one entry of the log
// has those of many runs.
type additions struct {
	results  []*task // with a result that is not proposed
	saves    []*task // with a text that is to be saved
	inFlight int     // number of proposals
	retryAt  time.Time
}

// addEnd is a proposal of additions that has ended.
type addEnd struct {
	term    uint64 // of the leadership that proposed
	results []*task
	saves   []*task
	parts   []ledger.Progress // of saves
	err     error
}

// scoreWhole has a complete text from an earlier submission or leader scored.
func (r *Runner) scoreWhole(t *task) { t.state, t.whole = taskScoring, true }

// record has the result of a task proposed to the ledger.
func (r *Runner) record(t *task, result ledger.Result) {
	t.state, t.result = taskRecording, &result
	r.additions.results = append(r.additions.results, t)
}

// giveUp records a task as failed.
func (r *Runner) giveUp(now time.Time, t *task, why string) {
	fields := logrus.Fields{
		"submission": t.job.sub.ID, "item": t.item.ID, "engine_failures": t.failures, "max_engine_failures": t.maxFailures(),
		"age_ms": now.Sub(t.job.since).Milliseconds(), "ttl_ms": t.job.sub.ItemTTL.Milliseconds(), "term": r.term,
	}
	if t.run != nil {
		fields["attempt"], fields["carrier"] = t.run.attempt, t.run.carrier.process
	}
	r.log.WithFields(fields).Info("item is given up: " + why)
	r.record(t, ledger.Result{Item: t.item.ID, Failed: true})
}

// saveDueTexts saves, once per saveInterval, the texts of running items that have at least
// minSaveEvents unsaved events. The result of an item then contains only the events after
// the saved ones.
func (r *Runner) saveDueTexts(now time.Time, running []*task) {
	if now.Sub(r.savedAt) < saveInterval {
		return
	}
	r.saveGrownTexts(now, running, minSaveEvents)
}

// saveGrownTexts saves the texts of the tasks that have at least the given number of
// unsaved events and no save in progress.
func (r *Runner) saveGrownTexts(now time.Time, running []*task, least int) {
	r.savedAt = now
	for _, t := range running {
		if !t.saving && t.text.unsavedEvents() >= least {
			t.saving = true
			r.additions.saves = append(r.additions.saves, t)
		}
	}
}

// propose proposes what has been collected.
func (r *Runner) propose(now time.Time) {
	a := &r.additions
	if len(a.results)+len(a.saves) == 0 || a.inFlight >= maxProposals || now.Before(a.retryAt) {
		return
	}
	end, list := r.nextAdditions()
	if len(list) == 0 {
		return
	}
	a.inFlight++
	body, err := ledger.AddCommand(list)
	if err != nil {
		r.log.Errorf("cannot encode additions to the ledger: %v", err)
		end.err = err
		r.handleAddEnd(now, end)
		return
	}
	leadCtx := r.ctx
	r.o.Go(func() {
		ctx, cancel := context.WithTimeout(leadCtx, proposeTimeout)
		defer cancel()
		end.err = r.o.Propose(ctx, body)
		r.deliver(leadCtx, end)
	})
}

// nextAdditions takes the next results and saves, results first, up to the bounds of one
// proposal.
func (r *Runner) nextAdditions() (addEnd, []ledger.Addition) {
	a, end := &r.additions, addEnd{term: r.term}
	var list []ledger.Addition
	bySubmission := make(map[string]int)
	size, items := 0, 0
	addition := func(t *task) *ledger.Addition {
		i, ok := bySubmission[t.job.sub.ID]
		if !ok {
			i = len(list)
			bySubmission[t.job.sub.ID] = i
			list = append(list, ledger.Addition{Submission: t.job.sub.ID})
		}
		return &list[i]
	}
	full := func() bool { return items >= maxAdditionItems || size >= maxAdditionBytes }
	for len(a.results) > 0 && !full() {
		t := a.results[0]
		a.results = a.results[1:]
		if t.job.closed {
			continue
		}
		result := *t.result
		if !result.Failed && t.saving {
			// It is not known yet how much of the text the ledger has.
			whole := t.text
			whole.forgetSaved()
			result = whole.result(t.item.ID, result.Score)
		}
		add := addition(t)
		add.Results = append(add.Results, result)
		end.results = append(end.results, t)
		size, items = size+t.text.Size(), items+1
	}
	for len(a.saves) > 0 && !full() {
		t := a.saves[0]
		a.saves = a.saves[1:]
		if t.job.closed || t.state == taskRecording {
			t.saving = false
			continue
		}
		part := t.text.progress(t.item.ID)
		add := addition(t)
		add.Progress = append(add.Progress, part)
		end.saves, end.parts = append(end.saves, t), append(end.parts, part)
		size, items = size+t.text.Size(), items+1
	}
	return end, list
}

// handleAddEnd takes the end of a proposal. After one that failed it is unknown what the
// ledger has, so the texts are proposed again as a whole.
func (r *Runner) handleAddEnd(now time.Time, m addEnd) {
	if !r.leading || m.term != r.term {
		return // the next leadership reads from the ledger what has become of it
	}
	r.additions.inFlight--
	var missing *ledger.MissingTextError
	failed := m.err != nil && !errors.As(m.err, &missing)
	for i, t := range m.saves {
		t.saving = false
		if failed {
			t.text.forgetSaved()
			continue
		}
		t.text.markSaved(&m.parts[i])
	}
	again := 0
	for _, t := range m.results {
		if t.job.closed || t.state != taskRecording {
			continue
		}
		if failed || missing != nil && slices.Contains(missing.Items, t.item.ID) {
			again++
			t.text.forgetSaved()
			if !t.result.Failed {
				result := t.text.result(t.item.ID, t.result.Score)
				t.result = &result
			}
			r.additions.results = append(r.additions.results, t)
			continue
		}
		r.finishTask(now, t)
	}
	if m.err != nil {
		r.log.WithFields(logrus.Fields{"results": again, "saves": len(m.saves)}).Warnf("additions to the ledger failed, proposing them again: %v", m.err)
	}
	if failed {
		r.additions.retryAt = now.Add(proposeRetryDelay)
	}
	r.finishFlush()
}

// finishTask takes a task whose result is recorded off its job.
func (r *Runner) finishTask(now time.Time, t *task) {
	j := t.job
	r.metrics.observeRecorded(t, now)
	r.logRecorded(t, now)
	if t.run != nil {
		r.detach(t.run)
	}
	if j.markRecorded(t) {
		took := now.Sub(j.since)
		r.metrics.steps.Observe(took.Seconds())
		r.log.WithFields(logrus.Fields{
			"submission": j.sub.ID, "step": j.sub.Step, "groups": j.completeGroups, "ms": took.Milliseconds(), "late_ms": now.Sub(j.due).Milliseconds(),
		}).Info("submission has the complete groups that its trainer waits for")
	}
	if len(j.tasks) == 0 {
		r.closeJob(j.sub.ID, "all results are recorded")
	}
}

// flushMessage requests that all partial texts are saved. done is closed when no proposal is
// in progress any more.
type flushMessage struct{ done chan struct{} }

// FlushTexts saves the partial texts of all running items before the leadership ends. If a
// save of a text is already in progress, later events of that text are not saved. It returns
// when all proposals have ended, successfully or not, or when ctx ends.
func (r *Runner) FlushTexts(ctx context.Context) {
	m := flushMessage{make(chan struct{})}
	if err := r.actor.Offer(m); err != nil {
		r.log.Infof("cannot save partial texts before the leadership ends: %v", err)
		return
	}
	select {
	case <-m.done:
	case <-ctx.Done():
	}
}

func (r *Runner) handleFlush(now time.Time, m flushMessage) {
	if r.leading {
		r.saveGrownTexts(now, r.running(), 1)
		r.propose(now)
	}
	r.flushWaiters = append(r.flushWaiters, m.done)
	r.finishFlush()
}

// finishFlush closes the channels of all flushes once no proposal is in progress.
func (r *Runner) finishFlush() {
	if r.additions.inFlight > 0 {
		return
	}
	for _, done := range r.flushWaiters {
		close(done)
	}
	r.flushWaiters = nil
}

// logUnfinished logs the progress of an item without a result when its submission closes.
func (r *Runner) logUnfinished(t *task, now time.Time, why string) {
	fields := logrus.Fields{
		"submission": t.job.sub.ID, "item": t.item.ID, "group": t.group.name, "engine": t.engine, "state": t.state.String(),
		"events": t.text.length(), "runs": t.runs, "moves": t.moves, "size": t.size, "urgent": t.group.urgent,
		"age_ms": now.Sub(t.job.since).Milliseconds(),
	}
	if t.run != nil {
		fields["run_ms"] = now.Sub(t.run.began).Milliseconds()
		fields["run_events"] = t.run.events
		fields["idle_ms"] = t.run.idle(now).Milliseconds()
	}
	r.log.WithFields(fields).Info("item is left: " + why)
}

func (r *Runner) logRecorded(t *task, now time.Time) {
	since := func(at time.Time) int64 {
		if at.IsZero() {
			return -1
		}
		return at.Sub(t.job.since).Milliseconds()
	}
	r.log.WithFields(logrus.Fields{
		"submission": t.job.sub.ID, "item": t.item.ID, "group": t.group.name, "engine": t.engine, "failed": t.result.Failed,
		"versions": t.text.Versions, "events": t.text.length(), "runs": t.runs, "moves": t.moves, "size": t.size, "urgent": t.group.urgent,
		"begun_ms": since(t.firstRunAt), "text_ms": since(t.textCompleteAt), "listed_ms": since(now),
	}).Info("item is listed")
}
