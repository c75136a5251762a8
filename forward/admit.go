package forward

import (
	"context"

	"merlinhall/demand"
)

// admit waits for a place for a request. It returns the result of the request if it is refused, in
// which case no target has seen it. A request without a target is left to be rejected for that.
func (f *Forwarder) admit(ctx context.Context, r *Request) (*demand.Place, *Result) {
	service := r.Route.Choose(r.ID)
	if f.Admission == nil || len(f.Directory.View().Ready(service)) == 0 {
		return nil, nil
	}
	place, refused := f.Admission.Admit(ctx, demand.Request{
		ID: r.ID, Service: service, Account: r.Account, Background: r.Background, Goal: r.Route.Goal, Deadline: r.Deadline,
	})
	if refused == nil {
		return place, nil
	}
	if refused.Reason == demand.ReasonLeft {
		return nil, &Result{Outcome: OutcomeNotRun, Reason: contextReason(ctx), RetryAfter: retryAfterNoTarget}
	}
	return nil, &Result{Outcome: OutcomeNotRun, Reason: string(refused.Reason), RetryAfter: refused.RetryAfter}
}

// notePlace tells the place of the request how an attempt ended.
func (u *requestState) notePlace(a *attempt) {
	if a.err != nil && a.err.NotSent || a.err == nil && a.verdict == Misdirected {
		u.replaceable++
	}
	if a.err == nil && (a.verdict == Answered || a.verdict == NotRun) {
		u.place.AttemptEnded(a.target.ID, a.end.Took, a.verdict == NotRun)
	}
}

// allowAttempt reports whether the request may be sent now, as far as the budget for retries of
// its service allows it. unused must be called if it is not. An attempt that has reached no target
// of the service, as when targets are lost, is replaced without the budget: that adds no load, and
// services with few requests have too few retries for it.
func (u *requestState) allowAttempt() (allowed bool, unused func()) {
	switch {
	case u.possibleRuns+u.refused == 0:
		return true, func() {}
	case u.replaceable > 0:
		u.replaceable--
		return true, func() {}
	}
	return u.place.AllowRetry(), u.place.ReturnRetry
}
