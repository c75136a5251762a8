package entry

import (
	"time"

	"merlinhall/wire"
)

// moveRefused handles an agent that did not run the request and will not run it.
// This also holds for RefusedUnknownID: the agent records the id as revoked before it
// replies, so it refuses a Run that is still in transit on an old connection.
func (r *requestState) moveRefused(reason wire.RefusedReason, retryAfter time.Duration) []action {
	if transient(reason) {
		r.fruitless--
	}
	r.advisedRetryAfter = max(r.advisedRetryAfter, retryAfter)
	actions := r.move("agent refused: " + string(reason))
	for i, a := range actions {
		if m, ok := a.(reassign); ok {
			m.refused = reason
			actions[i] = m
		}
	}
	if reason == wire.RefusedTargetDown {
		actions = append(actions, targetFailed{r.target})
	}
	return actions
}

// transient reports whether a refusal is unrelated to the request and the load: the
// target is leaving, the configuration is changing, or the Run was lost with its link.
// Except after a lost Run, the target gets no new requests for a while. Such refusals do
// not count against the attempts or the retry budget. If they did, a single silent link,
// which loses the Runs of two seconds, would exhaust the retry budget of its service.
func transient(reason wire.RefusedReason) bool {
	switch reason {
	case wire.RefusedLeaving, wire.RefusedNotReady, wire.RefusedStale, wire.RefusedUnknownID:
		return true
	}
	return false
}

func (r *requestState) onCallerGone() []action {
	return append(r.cancelCurrent(), r.end(Result{Outcome: OutcomeUnknown, Status: statusCallerGone, Detail: "the caller left"})...)
}

// onEntryStopped ends a request that is left when the process ends. Without a target it
// certainly did not run.
func (r *requestState) onEntryStopped() []action {
	actions := r.cancelCurrent()
	if r.phase != phaseWaiting && !r.disabled.forgetMaybeRan {
		r.maybeRan = true
	}
	return append(actions, r.giveUp("this entry has stopped", time.Second)...)
}

// cancelCurrent cancels the current attempt, if there is one.
func (r *requestState) cancelCurrent() []action {
	if r.phase == phaseWaiting {
		return nil
	}
	return []action{cancelAttempt{r.target, r.attempt, r.boot}}
}

func (r *requestState) onDeadline() []action {
	actions := r.cancelCurrent()
	if r.phase != phaseWaiting && r.nextSequence == 0 {
		actions = append(actions, targetFailed{r.target})
	}
	return append(actions, r.expire()...)
}

func (r *requestState) checkLinkDown(down time.Duration) []action {
	if r.run.Idempotent && down >= idempotentLinkTimeout {
		return append(r.cancelCurrent(), r.attemptLost("no link to the agent")...)
	}
	if down >= linkLossTimeout {
		return append(r.cancelCurrent(), r.attemptLost("no link to the agent")...)
	}
	return nil
}

// move sends the request to another target. The current attempt certainly did
// not run.
func (r *requestState) move(detail string) []action {
	r.fruitless++
	if r.fruitless >= maxFruitlessAttempts {
		return r.giveUp(detail, time.Second)
	}
	r.phase = phaseWaiting
	return []action{reassign{avoid: r.target, detail: detail}}
}

// attemptLost handles an attempt that may have run and whose answer, or the rest of
// it, is lost.
func (r *requestState) attemptLost(detail string) []action {
	r.maybeRan = !r.disabled.forgetMaybeRan
	if r.generation() {
		if n := r.run.Generation.MaxTokens; n > 0 && len(r.tokens)+len(r.prefix) >= n {
			return r.end(Result{Outcome: OutcomeDone})
		}
		return r.move(detail)
	}
	if r.run.Idempotent && !r.committed {
		return r.move(detail)
	}
	return r.giveUp(detail, 0)
}

// giveUp ends the request without a complete answer. The outcome is OutcomeUnknown if
// the request may have run.
func (r *requestState) giveUp(detail string, retryAfter time.Duration) []action {
	if r.disabled.brokenIsComplete && r.partShown() {
		return r.end(Result{Outcome: OutcomeDone})
	}
	switch {
	case r.partShown():
		return r.end(Result{Outcome: OutcomeUnknown, Status: statusBadGateway, Broken: true, Detail: detail})
	case r.maybeRan:
		return r.end(Result{Outcome: OutcomeUnknown, Status: statusBadGateway, Detail: detail})
	}
	return r.end(Result{Outcome: OutcomeNotRun, Status: statusUnavailable, RetryAfter: max(retryAfter, r.advisedRetryAfter, time.Second), Detail: detail})
}

// expire ends the request because its deadline passed.
func (r *requestState) expire() []action {
	if r.phase == phaseWaiting {
		return r.giveUp("deadline passed while the request waited", time.Second)
	}
	return r.end(Result{
		Outcome: OutcomeUnknown,
		Status:  statusTimeout,
		Broken:  r.partShown(),
		Detail:  "deadline passed",
	})
}

func (r *requestState) end(result Result) []action {
	r.phase = phaseFinished
	r.completed = result.Outcome == OutcomeDone
	result.Target = r.target
	result.Attempts = r.attempts
	return []action{finish{result}}
}

func detailOr(detail, fallback string) string {
	if detail != "" {
		return detail
	}
	return fallback
}
