package entry

import (
	"time"

	"merlinhall/wire"
)

// moveRefused handles an agent that did not run the request and never will. This
// holds for RefusedUnknownID as well: the agent forbids the id before it answers,
// so a Run that is still under way on an old connection is refused.
func (r *request) moveRefused(reason wire.RefusedReason, retryAfter time.Duration) []action {
	if transient(reason) {
		r.fruitless--
	}
	r.advised = max(r.advised, retryAfter)
	actions := r.move("agent refused: " + string(reason))
	for i, a := range actions {
		if m, ok := a.(route); ok {
			m.refused = reason
			actions[i] = m
		}
	}
	if reason == wire.RefusedTargetDown {
		actions = append(actions, blame{r.target})
	}
	return actions
}

// transient reports whether a refusal says nothing of the request or the load: a
// change of configuration is under way, or the Run was lost with its link. The
// target gets no new work for a while, so such refusals do not count against the
// attempts or the retry budget. A silent link loses the Runs of two seconds; with
// them counted, one such link spent the budget of its service.
func transient(reason wire.RefusedReason) bool {
	switch reason {
	case wire.RefusedLeaving, wire.RefusedNotReady, wire.RefusedStale, wire.RefusedUnknownID:
		return true
	}
	return false
}

func (r *request) onCallerGone() []action {
	return append(r.drop(), r.end(Result{Outcome: OutcomeUnknown, Status: statusCallerGone, Detail: "the caller left"})...)
}

// drop cancels the current attempt.
func (r *request) drop() []action {
	if r.phase == phaseWaiting {
		return nil
	}
	return []action{abandon{r.target, r.attempt, r.boot}}
}

func (r *request) onDeadline() []action {
	actions := r.drop()
	if r.phase != phaseWaiting && r.next == 0 {
		actions = append(actions, blame{r.target})
	}
	return append(actions, r.expire()...)
}

func (r *request) whileDown(quiet time.Duration) []action {
	if r.run.Idempotent && quiet >= reattachLimit {
		return append(r.drop(), r.lost("no link to the agent")...)
	}
	if quiet >= goneLimit {
		return append(r.drop(), r.lost("no link to the agent")...)
	}
	return nil
}

// move sends the request to another target. The current attempt certainly did
// not run.
func (r *request) move(why string) []action {
	r.fruitless++
	if r.fruitless >= maxAttempts {
		return r.giveUp(why, time.Second)
	}
	r.phase = phaseWaiting
	return []action{route{avoid: r.target, why: why}}
}

// lost handles an attempt that may have run and whose answer cannot be had.
func (r *request) lost(why string) []action {
	r.maybeRan = !r.rules.forgetMaybeRan
	if r.generation() {
		if n := r.run.Generation.MaxTokens; n > 0 && len(r.tokens)+len(r.prefix) >= n {
			return r.end(Result{Outcome: OutcomeDone})
		}
		return r.move(why)
	}
	if r.run.Idempotent && !r.committed {
		return r.move(why)
	}
	return r.giveUp(why, 0)
}

// giveUp ends the request without a complete answer.
func (r *request) giveUp(why string, retryAfter time.Duration) []action {
	if r.rules.brokenIsComplete && r.shown() {
		return r.end(Result{Outcome: OutcomeDone})
	}
	switch {
	case r.shown():
		return r.end(Result{Outcome: OutcomeUnknown, Status: statusBadGateway, Broken: true, Detail: why})
	case r.maybeRan:
		return r.end(Result{Outcome: OutcomeUnknown, Status: statusBadGateway, Detail: why})
	}
	return r.end(Result{Outcome: OutcomeNotRun, Status: statusUnavailable, RetryAfter: max(retryAfter, r.advised, time.Second), Detail: why})
}

// expire ends the request because its deadline passed.
func (r *request) expire() []action {
	if r.phase == phaseWaiting {
		return r.giveUp("deadline passed while the request waited", time.Second)
	}
	return r.end(Result{
		Outcome: OutcomeUnknown,
		Status:  statusTimeout,
		Broken:  r.shown(),
		Detail:  "deadline passed",
	})
}

func (r *request) end(result Result) []action {
	r.phase = phaseFinished
	r.done = result.Outcome == OutcomeDone
	result.Target = r.target
	result.Attempts = r.attempts
	return []action{finish{result}}
}

func reason(detail, fallback string) string {
	if detail != "" {
		return detail
	}
	return fallback
}
