package entry

import (
	"fmt"
	"net/http"
	"time"
)

// Outcome is what is certain about a request; callers see it in the header
// Merlinhall-Outcome.
type Outcome string

// Outcomes of a request.
const (
	// OutcomeDone: the request ran and its answer is complete.
	OutcomeDone Outcome = "done"
	// OutcomeNotRun: the request certainly did not run.
	OutcomeNotRun Outcome = "not-run"
	// OutcomeUnknown: the request may have run.
	OutcomeUnknown Outcome = "unknown"
)

const (
	statusBadGateway  = http.StatusBadGateway
	statusUnavailable = http.StatusServiceUnavailable
	statusTimeout     = http.StatusGatewayTimeout
	// statusCallerGone is never sent; it marks requests whose caller left in
	// metrics and logs.
	statusCallerGone = 499
)

// Result is how a request ended.
type Result struct {
	Outcome Outcome
	// Status is the HTTP status of a request without an answer of its target.
	Status     int
	RetryAfter time.Duration
	// Broken is set when a part of the answer was passed on and the rest is lost.
	Broken   bool
	Detail   string
	Target   string
	Attempts int
}

// OutcomeError is the error of a request that has no complete answer.
type OutcomeError struct {
	Result
}

// Error implements error.
func (e *OutcomeError) Error() string {
	return fmt.Sprintf("request is %s: %s", e.Outcome, e.Detail)
}
