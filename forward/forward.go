// Package forward sends a request to a target of its service. It selects the target,
// retries and hedges on other targets where the route allows it, and returns the
// response or whether the request may have run.
package forward

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"merlinhall/demand"
	"merlinhall/directory"
	"merlinhall/locality"
	"merlinhall/observe"
	"merlinhall/quarantine"
	"merlinhall/ratelimit"
	"merlinhall/routes"
	"merlinhall/streams"
	"merlinhall/upstream"
	"merlinhall/wire"
)

const (
	// hedgeFraction is the fraction of the response-time objective after which an
	// unanswered repeatable request is also sent to a second target.
	hedgeFraction = 0.5
	// minHedgeDelay is the minimum hedge delay. It covers a round trip and some
	// processing time.
	minHedgeDelay = 30 * time.Millisecond
	// maxRefusals limits the attempts per request that are refused or cannot be sent. A
	// refusal costs a round trip.
	maxRefusals = 4
	// suspectDuration is how long a target that failed or refused a request is selected
	// only if no other target is available.
	suspectDuration = 3 * time.Second
	// minTimeLeft is the minimum remaining time with which a request is sent.
	minTimeLeft = 5 * time.Millisecond
	// retryAfterRefused is the Retry-After value when no target accepted the request. It
	// is a typical queueing time of a plain HTTP service.
	retryAfterRefused = 250 * time.Millisecond
	// retryAfterNoTarget is the Retry-After value when no target is known.
	retryAfterNoTarget = 500 * time.Millisecond
)

// Verdict classifies a response by what it says about the execution of its request.
type Verdict int

// Verdicts.
const (
	Answered    Verdict = iota // final response of the target
	FailedRun                  // the request ran and failed
	Unfinished                 // an error that does not say so, such as a time limit; the request may have run
	NotRun                     // the target refused to run the request
	Misdirected                // another target now has the address; the request did not run
	Malformed                  // not a valid response of the protocol; the request may have run
)

func (v Verdict) String() string {
	return [...]string{"answered", "failed", "unfinished", "not_run", "wrong_place", "garbled"}[v]
}

// Protocol defines the platform-specific headers of requests and responses.
type Protocol interface {
	// Outbound returns the headers that name the target and the remaining time.
	Outbound(targetID string, left time.Duration) []wire.Header
	Verdict(status int, h http.Header) Verdict
	// Events reports whether the body of a response is an event stream.
	Events(h http.Header) bool
	// Resume returns the request headers that resume a stream after the event with
	// the id lastEvent.
	Resume(h []wire.Header, lastEvent string) []wire.Header
}

// Request is a request with its route and deadline.
type Request struct {
	upstream.Request
	Route    *routes.Route
	Deadline time.Time
	Account  string // client account of the caller, empty if it has none
	// TakeUp is set if the request goes on with a stream that broke off.
	TakeUp *TakeUp
	// Background requests have no waiting caller. They are hedged only after the full
	// response-time objective.
	Background bool
	// Wanted, if set, is asked before each attempt whether the request may still be sent.
	Wanted func() bool
	// OnSent, if set, is called each time that the request has been sent to a target. The
	// function that it returns is called if that target has refused to run it.
	OnSent func() (refused func())
}

// Outcome is the final state of a request.
type Outcome string

// Outcomes.
const (
	OutcomeAnswered Outcome = "answered"
	OutcomeNotRun   Outcome = "not_run" // did not run and never will
	OutcomeUnknown  Outcome = "unknown" // may have run
)

// Result is the result of a request.
type Result struct {
	Outcome    Outcome
	Status     int // status code of the target's response
	Header     http.Header
	Body       []byte
	Target     string
	Reason     string
	RetryAfter time.Duration // set with OutcomeNotRun
	Attempts   int
	// Failures counts the runs of which targets said that they have failed.
	Failures int
	// Ends are the ends of the attempts that ended before the request did.
	Ends []AttemptEnd
}

// AttemptEnd says how one attempt ended.
type AttemptEnd struct {
	Target  string
	Outcome string // a Verdict, or "broken", "cancelled" or "not_sent" without a response
	Status  int    // status code of the response, 0 without one
	Reason  string // set without a response
	Took    time.Duration
	Origin  upstream.Origin
	Counted bool // as a failed run
	// Reach is what a new connection showed of a target whose response broke off.
	Reach upstream.Reach
	// Beside counts the other requests of this process that were under way at the target.
	Beside int
}

// String implements fmt.Stringer.
func (e AttemptEnd) String() string {
	out := fmt.Sprintf("%s: %s after %d ms", e.Target, e.Outcome, e.Took.Milliseconds())
	if e.Status == 0 {
		return out + " (" + e.Reason + ")"
	}
	out = fmt.Sprintf("%s, status %d, request %d of the connection", out, e.Status, e.Origin.Requests)
	if !e.Origin.Named {
		out += ", without id"
	}
	if e.Counted {
		out += ", counted"
	}
	return out
}

// Forwarder forwards requests to targets. It is safe for concurrent use.
type Forwarder struct {
	Pool      *upstream.Pool
	Directory *directory.Directory
	Protocol  Protocol
	Limits    *ratelimit.Keeper // nil if targets have no limits
	// Quarantine holds back requests of callers under which targets end; nil holds back none.
	Quarantine *quarantine.Keeper
	// Admission queues and refuses requests that exceed what targets take; nil admits all.
	Admission *demand.Keeper
	// Streams knows which software began streams that callers take up; nil knows none.
	Streams *streams.Keeper
	// Locality chooses the zones of targets; nil chooses none.
	Locality *locality.Keeper
	// ListLag is how much later than a target joins the list of targets may show it.
	ListLag time.Duration
	Zone    string
	Log     *logrus.Entry
	Guard   *observe.Guard // of attempts
	// MeasuredCapacity has targets chosen by their measured speed where they differ.
	MeasuredCapacity bool

	sentLogs    observe.LineLimit // of the lines for sent requests; failed attempts are always logged
	resumedLogs observe.LineLimit // of the lines for streams that go on

	mu     sync.Mutex
	states map[string]*targetState
	speeds speeds
	// awaitingRoom are the background requests that wait for room, in the order of time.
	awaitingRoom []chan struct{}
	attempts     *prometheus.HistogramVec
	broken       *prometheus.CounterVec // responses that broke off, by reach
	resumed      *prometheus.CounterVec // streams that went on, by how and by software
}

// Metrics creates and returns the collectors for attempts. It must be called at most
// once, before the first request.
func (f *Forwarder) Metrics() []prometheus.Collector {
	f.broken = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "merlinhall_responses_broken_off_total", Help: "Attempts of callers' requests whose response broke off, by what a new connection then showed of the target.",
	}, []string{"reach"})
	f.attempts = prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Name: "merlinhall_forward_attempt_seconds", Help: "Sendings of requests to targets, by outcome.",
		Buckets: prometheus.ExponentialBuckets(0.005, 2, 12),
	}, []string{"outcome"})
	f.resumed = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "merlinhall_streams_resumed_total", Help: "Streams sent to a further target, within one answer or taken up by their caller, by whether its software is that which began them.",
	}, []string{"within", "software"})
	f.speeds.spread = newSpreadMetric()
	return []prometheus.Collector{f.attempts, f.broken, f.resumed, f.speeds.spread}
}

// recordAttempt records an attempt in the metrics and logs it unless it returned the
// final response.
func (f *Forwarder) recordAttempt(ctx context.Context, r *Request, a *attempt, left, took time.Duration) {
	a.end = AttemptEnd{
		Target: a.target.ID, Outcome: a.verdict.String(), Status: a.result.Status, Took: took, Origin: a.origin,
		Counted: a.failedRun(), Reach: a.reach, Beside: a.beside,
	}
	if a.err != nil {
		a.end.Outcome, a.end.Reason = "broken", a.err.Error()
		switch {
		case ctx.Err() == context.Canceled:
			a.end.Outcome = "cancelled" // another attempt answered, or the client disconnected
		case a.err.NotSent:
			a.end.Outcome = "not_sent"
		}
	}
	if f.attempts != nil {
		f.attempts.WithLabelValues(a.end.Outcome).Observe(took.Seconds())
	}
	if f.Log == nil || a.err == nil && a.verdict == Answered {
		return
	}
	fields := logrus.Fields{
		"request": r.ID, "target": a.target.ID, "outcome": a.end.Outcome, "reason": a.end.Reason, "status": a.end.Status,
		"left_ms": left.Milliseconds(), "ms": took.Milliseconds(), "conn_requests": a.origin.Requests, "named": a.origin.Named,
	}
	if a.reach != "" {
		fields["reach"], fields["beside"], fields["key"] = a.reach, a.beside, quarantine.KeyOf(&r.Request, r.Account).String()
	}
	f.Log.WithFields(fields).Info("attempt ended")
}

// targetState holds this process's own observations of a target.
type targetState struct {
	outstanding  int
	suspectUntil time.Time
	latency      time.Duration // exponentially weighted mean of recent responses
	background   window        // of background requests
}

// latencyGain is the weight of a new response in the mean latency.
const latencyGain = 0.2

func (f *Forwarder) state(id string) *targetState {
	if f.states == nil {
		f.states = make(map[string]*targetState)
	}
	s := f.states[id]
	if s == nil {
		s = &targetState{}
		f.states[id] = s
	}
	return s
}

// RetainTargets drops the state of idle targets that are not in v.
func (f *Forwarder) RetainTargets(v *directory.View) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for id, s := range f.states {
		if v.Target(id) == nil && s.outstanding == 0 {
			delete(f.states, id)
		}
	}
	f.retainSpeeds(v)
}

// attempt is one transmission of a request to a target.
type attempt struct {
	target  *wire.TargetEntry
	repeat  bool // another attempt of the request was made before
	verdict Verdict
	origin  upstream.Origin // of the response
	result  Result
	err     *upstream.Failure
	end     AttemptEnd
	reach   upstream.Reach // of the target if the response broke off
	beside  int            // other requests of this process at the target as it ended
	permit  *quarantine.Permit
	load    int // outstanding requests of this process on the target when it began
	// headerAfter is the time after which the header of a response to Stream arrived.
	headerAfter time.Duration
}

// failedRun reports whether the target said that this request has run and failed. A response
// without the request's id may be that to another one.
func (a *attempt) failedRun() bool {
	return a.err == nil && a.verdict == FailedRun && a.origin.Named
}

var errMalformed = eris.New("forward: the response is no answer of the protocol")

// setResponse stores a response whose body was read completely.
func (a *attempt) setResponse(verdict Verdict, response *upstream.Response, body []byte) {
	a.verdict, a.origin = verdict, response.Origin
	a.result = Result{
		Outcome: OutcomeAnswered, Status: response.StatusCode, Header: response.Header, Body: body, Target: a.target.ID,
	}
	if verdict == Malformed {
		a.err = &upstream.Failure{Err: errMalformed}
	}
}

// requestState is the state of one request across its attempts.
type requestState struct {
	f            *Forwarder
	r            *Request
	tried        map[string]bool
	software     wire.Software // that alone may get the request, unless it is unknown
	finished     chan *attempt
	inFlight     int
	possibleRuns int // attempts that may have run
	refused      int
	cancels      []context.CancelFunc
	lastFailure  *attempt        // the latest attempt that ended with an error of the target
	denied       ratelimit.Grant // the last denial; RetryAfter is 0 if there was none
	held         quarantine.Decision
	permit       *quarantine.Permit // for the next attempt; nil unless the request is suspect
	failures     int
	ends         []AttemptEnd
	place        *demand.Place // nil if the request needs none
	replaceable  int           // attempts that have reached no target and were not replaced
}

// Do forwards r and returns its result, at the deadline of r at the latest.
func (f *Forwarder) Do(ctx context.Context, r *Request) (result Result) {
	ctx, cancel := context.WithDeadline(ctx, r.Deadline)
	defer cancel()
	place, refused := f.admit(ctx, r)
	if refused != nil {
		return *refused
	}
	defer func() { place.End(result.Outcome == OutcomeAnswered) }()
	u := &requestState{f: f, r: r, tried: make(map[string]bool), finished: make(chan *attempt, 2*maxRefusals+r.Route.MaxAttempts+1), place: place}
	u.arrived()
	result = u.loop(ctx)
	for _, c := range u.cancels {
		c()
	}
	result.Attempts = u.possibleRuns + u.refused
	result.Failures, result.Ends = u.failures, u.ends
	return result
}

func (u *requestState) maxRuns() int {
	if !u.r.Route.Repeatable {
		return 1
	}
	return max(1, u.r.Route.MaxAttempts)
}

func (u *requestState) loop(ctx context.Context) Result {
	if !u.startAttempt(ctx, false) {
		return u.noTarget(ctx)
	}
	hedge := time.NewTimer(u.hedgeDelay())
	defer hedge.Stop()
	for {
		select {
		case a := <-u.finished:
			u.inFlight--
			if end, ok := u.handleAttempt(a); ok {
				return end
			}
			if u.inFlight > 0 {
				continue
			}
			if !u.startAttempt(ctx, false) {
				return u.giveUp()
			}
			hedge.Reset(u.hedgeDelay())
		case <-hedge.C:
			if u.r.Route.Repeatable && u.startAttempt(ctx, true) {
				hedge.Reset(u.hedgeDelay())
			}
		case <-ctx.Done():
			return Result{Outcome: OutcomeUnknown, Reason: contextReason(ctx)}
		}
	}
}

// contextReason returns why the context of an unanswered request ended.
func contextReason(ctx context.Context) string {
	if ctx.Err() == context.Canceled {
		return "the caller has left"
	}
	return "no answer in time"
}

func (u *requestState) hedgeDelay() time.Duration {
	if u.r.Background {
		return max(minHedgeDelay, u.r.Route.Goal)
	}
	return max(minHedgeDelay, time.Duration(float64(u.r.Route.Goal)*hedgeFraction))
}

// handleAttempt evaluates a finished attempt. It returns the result of the request and
// true when no further attempt is needed.
func (u *requestState) handleAttempt(a *attempt) (Result, bool) {
	u.ends = append(u.ends, a.end)
	u.notePlace(a)
	switch {
	case a.err != nil && a.err.NotSent, a.err == nil && (a.verdict == NotRun || a.verdict == Misdirected):
		u.possibleRuns--
		u.refused++
		return Result{}, false
	case a.err != nil:
		if !u.r.Route.Repeatable {
			return Result{Outcome: OutcomeUnknown, Reason: a.err.Error(), Target: a.target.ID}, true
		}
		return Result{}, false
	case a.verdict == FailedRun, a.verdict == Unfinished:
		if a.failedRun() {
			u.failures++
		}
		u.lastFailure = a
		return a.result, !u.r.Route.Repeatable
	}
	return a.result, true
}

// giveUp returns the result of a request that has no attempt in flight and no target
// left to try.
func (u *requestState) giveUp() Result {
	switch {
	case u.lastFailure != nil:
		return u.lastFailure.result
	case u.possibleRuns > 0 && u.held.Strikes > 0:
		return Result{Outcome: OutcomeUnknown, Reason: u.heldReason()}
	case u.possibleRuns > 0:
		return Result{Outcome: OutcomeUnknown, Reason: "all attempts ended without an answer"}
	case u.held.RetryAfter > 0:
		return u.notRun(u.heldReason(), u.held.RetryAfter)
	}
	if u.place != nil {
		return u.notRun("no target took the request", u.place.RetryAfter())
	}
	return u.notRun("no target took the request", retryAfterRefused)
}

func (u *requestState) notRun(reason string, after time.Duration) Result {
	return Result{Outcome: OutcomeNotRun, Reason: reason, RetryAfter: after}
}

// noTarget returns the result of a request that no target was chosen for.
func (u *requestState) noTarget(ctx context.Context) Result {
	switch {
	case ctx.Err() != nil:
		return u.notRun(contextReason(ctx), retryAfterNoTarget)
	case u.held.RetryAfter > 0:
		return u.notRun(u.heldReason(), u.held.RetryAfter)
	case !u.viewUsable():
		return u.notRun("the list of targets is too old", retryAfterNoTarget)
	case u.software.Known() && len(u.f.Directory.View().Ready(u.software.Service)) > 0 && u.denied.RetryAfter == 0:
		return u.notRun(reasonNoSoftware, retryAfterNoTarget)
	case u.r.Background && u.denied.RetryAfter == 0 && len(u.f.Directory.View().Ready(u.r.Route.Choose(u.r.ID))) > 0:
		return u.notRun("a background request would wait in the queues of all targets", retryAfterRefused)
	case u.denied.RetryAfter > 0:
		return u.notRun("all targets are at the limits that they named", u.denied.RetryAfter)
	}
	return u.notRun("no target is known", retryAfterNoTarget)
}

func (u *requestState) viewUsable() bool {
	return u.f.Directory.Usable(time.Now(), u.r.Background)
}

// nextTarget selects a target that has not been tried and counts an attempt on it. It
// returns nil when no target, time or attempt is left. A second attempt beside another one
// goes to targets without a limit only.
func (u *requestState) nextTarget(ctx context.Context, beside bool) (*wire.TargetEntry, time.Duration) {
	left := time.Until(u.r.Deadline)
	if u.r.Wanted != nil && !u.r.Wanted() {
		return nil, 0
	}
	if !u.viewUsable() {
		return nil, 0
	}
	if u.possibleRuns >= u.maxRuns() || u.refused >= maxRefusals || left < minTimeLeft {
		return nil, 0
	}
	allowed, unused := u.allowAttempt()
	if !allowed {
		return nil, 0
	}
	if !u.permitted(ctx, beside) {
		unused()
		return nil, 0
	}
	t := u.choose(ctx, beside)
	left = time.Until(u.r.Deadline)
	if t == nil {
		unused()
		u.f.Quarantine.Release(u.takePermit())
		return nil, left
	}
	u.tried[t.ID] = true
	u.possibleRuns++
	u.logSent(t, left)
	return t, left
}

// logSent logs the target of an attempt when it is sent, so that the log shows a
// request even if this process crashes before the request ends. Background requests
// are not logged here: their caller logs them.
func (u *requestState) logSent(t *wire.TargetEntry, left time.Duration) {
	if u.f.Log == nil || u.r.Background || !u.f.sentLogs.Allow(time.Now()) {
		return
	}
	u.f.Log.WithFields(logrus.Fields{
		"request": u.r.ID, "target": t.ID, "attempt": u.possibleRuns + u.refused, "left_ms": left.Milliseconds(),
		"targets_age_ms": u.f.Directory.Age(time.Now()).Milliseconds(), "software": t.Software().String(),
	}).Info("request is sent")
}

// startAttempt sends the request to another target and reports whether one was left. beside is
// set if an earlier attempt has not ended.
func (u *requestState) startAttempt(ctx context.Context, beside bool) bool {
	t, left := u.nextTarget(ctx, beside)
	if t == nil {
		return false
	}
	u.inFlight++
	ctx, cancel := context.WithCancel(ctx)
	u.cancels = append(u.cancels, cancel)
	go u.f.send(ctx, u.r, u.newAttempt(t), left, u.finished)
	return true
}

// newAttempt returns an attempt on t, which has been counted.
func (u *requestState) newAttempt(t *wire.TargetEntry) *attempt {
	return &attempt{target: t, repeat: u.possibleRuns+u.refused > 1, permit: u.takePermit(), load: u.f.loadOf(t.ID)}
}

func (f *Forwarder) send(ctx context.Context, r *Request, a *attempt, left time.Duration, done chan<- *attempt) {
	began := time.Now()
	t := a.target
	out := f.outbound(r, r.Header, a, left)
	refused := observeSending(r, out)
	var err error
	failure := f.Guard.Run(logrus.Fields{"request": r.ID, "target": t.ID}, func() {
		var response *upstream.Response
		var body []byte
		if response, body, err = f.Pool.Do(ctx, directory.Address(t), out); err == nil {
			a.setResponse(f.Protocol.Verdict(response.StatusCode, response.Header), response, body)
		}
	})
	if failure != nil {
		err = failure // the request may have run
	}
	refused(a)
	took := time.Since(began)
	f.finishAttempt(ctx, r, a, err, left, took)
	f.measureSpeed(ctx, r, a, took)
	done <- a
}

// observeSending has r.OnSent called when out is sent. The returned function must be called
// with the finished attempt.
func observeSending(r *Request, out *upstream.Request) (finish func(*attempt)) {
	var refused func()
	if r.OnSent != nil {
		out.OnSent = func() { refused = r.OnSent() }
	}
	return func(a *attempt) {
		if refused != nil && a.err == nil && (a.verdict == NotRun || a.verdict == Misdirected) {
			refused()
		}
	}
}

// outbound returns the request as it is sent in an attempt.
func (f *Forwarder) outbound(r *Request, header []wire.Header, a *attempt, left time.Duration) *upstream.Request {
	out := r.Request
	out.Repeat = a.repeat
	out.Header = append(append([]wire.Header(nil), header...), f.Protocol.Outbound(a.target.ID, left)...)
	return &out
}

// finishAttempt records the result of an attempt. err is set if there was no complete
// response.
func (f *Forwarder) finishAttempt(ctx context.Context, r *Request, a *attempt, err error, left, took time.Duration) {
	if err != nil {
		a.err = &upstream.Failure{Err: err}
		errors.As(err, &a.err)
	}
	f.updateTarget(ctx, a.target.ID, a, took, r.Background)
	f.noteZone(ctx, r, a, took)
	ended := time.Now()
	f.checkTarget(ctx, r, a)
	f.reportRun(ctx, r, a, took+time.Since(ended))
	f.recordAttempt(ctx, r, a, left, took)
}

// updateTarget updates the state of a target after an attempt on it.
func (f *Forwarder) updateTarget(ctx context.Context, id string, a *attempt, took time.Duration, background bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.state(id)
	s.outstanding--
	a.beside = s.outstanding
	if background {
		switch {
		case a.err == nil && a.verdict == Answered:
			s.background.answered(took)
		case a.err == nil && a.verdict == NotRun:
			s.background.refused()
		}
		f.freeRoom(time.Now(), s)
	}
	switch {
	case a.err != nil && ctx.Err() == context.Canceled:
		// Another attempt answered first, or the caller left: the latency is at least
		// the elapsed time.
		s.latency += time.Duration(latencyGain * float64(max(took, s.latency)-s.latency))
	case a.err != nil && errors.Is(a.err, errNotReplaced):
	case a.err != nil, a.verdict != Answered:
		s.suspectUntil = time.Now().Add(suspectDuration)
	case s.latency == 0:
		s.latency = took
	default:
		s.latency += time.Duration(latencyGain * float64(took-s.latency))
	}
}
