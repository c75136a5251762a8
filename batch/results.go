package batch

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"merlinhall/forward"
	"merlinhall/ledger"
	"merlinhall/routes"
	"merlinhall/upstream"
)

// score has a complete text scored. Without a reward call it records the result at once.
func (r *Runner) score(t *task) {
	t.state = taskScoring
	if t.item.Reward == nil {
		r.record(t, r.result(t, ""), "")
		return
	}
	leadCtx := r.ctx
	go func() { r.deliver(leadCtx, r.callReward(leadCtx, t)) }()
}

// result returns the result of a complete text. While a proposal of partial text is in
// progress, it is unknown how much of the text the ledger has, so the result contains all
// of it.
func (r *Runner) result(t *task, score string) ledger.Result {
	known := t.text
	known.inLedger = known.inLedger && !t.saving
	return known.result(t.item.ID, score)
}

// rewardTimeout bounds a reward call whose route allows more.
const rewardTimeout = 3 * time.Second

// callReward sends the reward call of a task and returns the outcome.
func (r *Runner) callReward(ctx context.Context, t *task) scoreEnd {
	reward := t.item.Reward
	end := scoreEnd{task: t}
	table := r.o.Manifests.Table()
	var route *routes.Route
	if table != nil {
		route = table.Find(reward.Host, reward.Path)
	}
	if route == nil {
		end.reason = "no route to the reward service"
		return end
	}
	result := r.o.Forwarder.Do(ctx, &forward.Request{
		Request: upstream.Request{
			ID: reward.ID, Method: http.MethodPost, URI: reward.Path, Host: reward.Host, Body: reward.Body,
			Header: r.o.Protocol.RewardHeaders(reward.ID),
		},
		Route:      route,
		Background: true,
		Deadline:   time.Now().Add(min(route.Timeout, rewardTimeout)),
	})
	end.failures, end.maxFailures, end.reason = result.Failures, max(1, route.MaxAttempts), result.Reason
	if result.Outcome == forward.OutcomeAnswered && result.Status >= 200 && result.Status < 300 {
		end.score = r.o.Protocol.Score(result.Header)
	} else if result.Outcome == forward.OutcomeAnswered {
		end.reason = http.StatusText(result.Status)
	}
	return end
}

func (r *Runner) handleScoreEnd(now time.Time, m scoreEnd) {
	t := m.task
	if r.job(t.job.sub.ID) != t.job || t.state != taskScoring {
		return
	}
	if m.score != "" {
		r.record(t, r.result(t, m.score), "")
		return
	}
	t.rewardFailures += m.failures
	r.log.WithFields(logrus.Fields{
		"submission": t.job.sub.ID, "item": t.item.ID, "failures": t.rewardFailures, "reason": m.reason,
	}).Info("reward call has no score")
	if m.maxFailures > 0 && t.rewardFailures >= m.maxFailures {
		r.record(t, ledger.Result{Item: t.item.ID, Failed: true}, "the reward call failed too often")
		return
	}
	t.retryAt = now.Add(rewardRetryDelay)
}

// rewardRetryDelay is the wait before a reward call that returned no score, or a failed
// proposal of a result, is repeated.
const rewardRetryDelay = 200 * time.Millisecond

// record proposes the result of a task to the ledger.
func (r *Runner) record(t *task, result ledger.Result, why string) {
	t.state = taskRecording
	t.result = &result
	if why != "" {
		r.log.WithFields(logrus.Fields{"submission": t.job.sub.ID, "item": t.item.ID}).Info("item is given up: " + why)
	}
	body, err := ledger.RecordCommand(t.job.sub.ID, result)
	if err != nil {
		r.log.WithField("item", t.item.ID).Errorf("cannot encode result: %v", err)
		return
	}
	leadCtx := r.ctx
	go func() {
		ctx, cancel := context.WithTimeout(leadCtx, proposeTimeout)
		defer cancel()
		err := r.o.Propose(ctx, body)
		r.deliver(leadCtx, recordEnd{t, err})
	}()
}

func (r *Runner) handleRecordEnd(now time.Time, m recordEnd) {
	t := m.task
	j := r.job(t.job.sub.ID)
	if j != t.job || t.state != taskRecording {
		return
	}
	if m.err != nil {
		if errors.Is(m.err, ledger.ErrTextMissing) {
			t.text.inLedger = false
			complete := t.text.result(t.item.ID, t.result.Score)
			t.result = &complete
		}
		r.log.WithFields(logrus.Fields{"submission": j.sub.ID, "item": t.item.ID}).Warnf("result was not recorded, proposing it again: %v", m.err)
		t.retryAt = now.Add(rewardRetryDelay)
		t.proposeAgain = true
		return
	}
	r.metrics.observeRecorded(t, now)
	r.logRecorded(t, now)
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

// logUnfinished logs the progress of an item without a result when its submission closes.
func (r *Runner) logUnfinished(t *task, now time.Time, why string) {
	fields := logrus.Fields{
		"submission": t.job.sub.ID, "item": t.item.ID, "group": t.group.name, "engine": t.engine, "state": t.state.String(),
		"events": t.text.length(), "runs": t.runs, "moves": t.moves, "size": t.size, "urgent": t.group.urgent,
		"reward_failures": t.rewardFailures, "age_ms": now.Sub(t.job.since).Milliseconds(),
	}
	if t.run != nil {
		fields["run_ms"] = now.Sub(t.run.began).Milliseconds()
		fields["run_events"] = t.run.count.Load()
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
		"versions": t.text.versions, "events": t.text.length(), "runs": t.runs, "moves": t.moves, "size": t.size, "urgent": t.group.urgent,
		"begun_ms": since(t.firstRunAt), "text_ms": since(t.textCompleteAt), "listed_ms": since(now),
	}).Info("item is listed")
}
