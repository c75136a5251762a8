package entry

import (
	"fmt"
	"net/http"
	"time"
)

// Outcome says whether a request ran, as far as that is certain. Callers see it in
// the header or trailer field Merlinhall-Outcome.
type Outcome string

// Outcomes of a request.
const (
	// OutcomeDone means that the request ran and its answer is complete.
	OutcomeDone Outcome = "done"
	// OutcomeNotRun means that the request certainly did not run.
	OutcomeNotRun Outcome = "not-run"
	// OutcomeUnknown means that the request may have run.
	OutcomeUnknown Outcome = "unknown"
)

const (
	statusBadGateway  = http.StatusBadGateway
	statusUnavailable = http.StatusServiceUnavailable
	statusTimeout     = http.StatusGatewayTimeout
	// statusCallerGone marks requests whose caller disconnected, in metrics and
	// logs. It is never sent.
	statusCallerGone = 499
)

// Result describes how a request ended.
type Result struct {
	Outcome Outcome
	// Status is the HTTP status to report if there is no complete answer.
	Status     int
	RetryAfter time.Duration
	// Broken is set if part of the answer was shown to the caller and the rest is lost.
	Broken   bool
	Detail   string
	Target   string
	Attempts int
}

// OutcomeError is returned for a request that ended without a complete answer.
type OutcomeError struct {
	Result
}

// Error implements error.
func (e *OutcomeError) Error() string {
	return fmt.Sprintf("request is %s: %s", e.Outcome, e.Detail)
}
