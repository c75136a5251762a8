package forward

import (
	"context"
	"errors"
	"fmt"
	"time"

	"merlinhall/directory"
	"merlinhall/quarantine"
	"merlinhall/upstream"
)

// heldReason says why a request is held back.
func (u *requestState) heldReason() string {
	return fmt.Sprintf("%d targets in a row have ended under this request", u.held.Strikes)
}

// permitted reports whether the request may be sent as far as targets have ended under its
// like. It may wait for the outcome of another one.
func (u *requestState) permitted(ctx context.Context, beside bool) bool {
	q := u.f.Quarantine
	if u.r.Background {
		return true
	}
	if beside {
		_, suspect := q.Suspect(&u.r.Request, u.r.Account)
		return !suspect
	}
	left := time.Until(u.r.Deadline)
	d := q.Acquire(ctx, &u.r.Request, u.r.Account, left, min(u.r.Route.Goal, left/2))
	u.held, u.permit = d, d.Permit
	return d.Send
}

// takePermit returns the permit for the next attempt, which has it alone.
func (u *requestState) takePermit() *quarantine.Permit {
	p := u.permit
	u.permit = nil
	return p
}

// brokeOff reports whether the connection ended before the response did. It did not where this
// process gave the response up.
func (a *attempt) brokeOff() bool {
	return a.err != nil && !a.err.NotSent && a.verdict != Malformed && !a.gaveUp()
}

// gaveUp reports whether this process ended the response.
func (a *attempt) gaveUp() bool {
	for _, reason := range []error{errCallerLeft, errStreamIdle, errNotReplaced, errWrongEvent} {
		if errors.Is(a.err, reason) {
			return true
		}
	}
	return false
}

// checkTimeout bounds the new connection to a target whose response broke off. It is well
// above a round trip between zones.
const checkTimeout = 100 * time.Millisecond

// checkTarget finds out whether a target whose response to a caller's request broke off has
// ended or only the connection.
func (f *Forwarder) checkTarget(ctx context.Context, r *Request, a *attempt) {
	if r.Background || ctx.Err() != nil || !a.brokeOff() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()
	a.reach = f.Pool.Check(ctx, directory.Address(a.target))
	if f.broken != nil {
		f.broken.WithLabelValues(string(a.reach)).Inc()
	}
}

// reportRun tells the quarantine what became of an attempt of a caller's request.
func (f *Forwarder) reportRun(ctx context.Context, r *Request, a *attempt, took time.Duration) {
	if f.Quarantine == nil || r.Background {
		return
	}
	outcome := quarantine.NoOutcome
	switch {
	case a.err == nil && a.verdict == Answered && a.origin.Named:
		outcome = quarantine.Answered
	case a.err == nil, a.err.NotSent:
		outcome = quarantine.NoEvidence
	case a.reach == upstream.Refusing:
		outcome = quarantine.TargetEnded
	case a.reach == upstream.Listening:
		outcome = quarantine.ConnectionEnded
	case a.permit == nil && (a.verdict == Malformed || ctx.Err() == context.Canceled):
		return // the target goes on, or nobody waited for it
	}
	f.Quarantine.Ended(quarantine.Run{
		Request: &r.Request, Account: r.Account, Route: r.Route.Name, Target: a.target, Took: took, Permit: a.permit,
	}, outcome)
}
