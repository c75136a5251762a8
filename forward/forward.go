// Package forward carries one request to a target of its service: it chooses the
// target, tries another one where the request may be repeated, and ends with an
// answer or with whether the request may have run.
package forward

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"merlinhall/directory"
	"merlinhall/routes"
	"merlinhall/upstream"
	"merlinhall/wire"
)

const (
	// hedgeShare is the part of the objective after which an unanswered request
	// that may be repeated is also sent to a second target.
	hedgeShare = 0.5
	// hedgeLeast bounds the hedge delay from below: a round trip and some work.
	hedgeLeast = 30 * time.Millisecond
	// notRunTries bounds the targets that are asked after others refused to run
	// the request; a refusal costs one round trip.
	notRunTries = 4
	// doubtTime is how long a target that failed is chosen only after others.
	doubtTime = 3 * time.Second
	// minLeft is the least time worth sending a request with.
	minLeft = 5 * time.Millisecond
	// retryAfterFull is when a caller may come back after all targets were full:
	// a typical queueing time of a plain service.
	retryAfterFull = 250 * time.Millisecond
	// retryAfterNone is when a caller may come back if no target is known.
	retryAfterNone = 500 * time.Millisecond
)

// Verdict is what a response says about the run of its request.
type Verdict int

// Verdicts.
const (
	Answered   Verdict = iota // the target's final answer
	FailedRun                 // the request ran and failed
	NotRun                    // the target refused to run it
	WrongPlace                // another target has the address; not run
	Garbled                   // no answer of the protocol; the request may have run
)

func (v Verdict) String() string {
	return [...]string{"answered", "failed", "not_run", "wrong_place", "garbled"}[v]
}

// Protocol is the form of requests and responses of a platform.
type Protocol interface {
	// Outbound returns the headers that name the target and the time left.
	Outbound(targetID string, left time.Duration) []wire.Header
	Verdict(status int, h http.Header) Verdict
	// Events reports whether the body of a response is a stream of events.
	Events(h http.Header) bool
	// Resume returns the headers of a request that go on after the event of an id.
	Resume(h []wire.Header, lastEvent string) []wire.Header
}

// Request is a request with its route.
type Request struct {
	upstream.Request
	Route    *routes.Route
	Deadline time.Time
	// Patient requests have nobody waiting for them: a second target is asked
	// only after the whole objective.
	Patient bool
}

// Outcome says how a request ended.
type Outcome string

// Outcomes.
const (
	OutcomeAnswered Outcome = "answered"
	OutcomeNotRun   Outcome = "not_run" // certainly not run, now or later
	OutcomeUnknown  Outcome = "unknown" // may have run
)

// Result is the end of a request.
type Result struct {
	Outcome    Outcome
	Status     int // of the target's answer
	Header     http.Header
	Body       []byte
	Target     string
	Reason     string
	RetryAfter time.Duration // with OutcomeNotRun
	Attempts   int
	// Failures counts the runs that a target answered with a failure.
	Failures int
}

// Forwarder carries requests. Its methods may be called from any goroutine.
type Forwarder struct {
	Pool      *upstream.Pool
	Directory *directory.Directory
	Protocol  Protocol
	Zone      string
	Log       *logrus.Entry

	lines lineBudget

	mu       sync.Mutex
	states   map[string]*targetState
	attempts *prometheus.HistogramVec
}

// Metrics returns the collector of the attempts; it is registered once.
func (f *Forwarder) Metrics() prometheus.Collector {
	f.attempts = prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Name: "merlinhall_forward_attempt_seconds", Help: "Sendings of requests to targets, by outcome.",
		Buckets: prometheus.ExponentialBuckets(0.005, 2, 12),
	}, []string{"outcome"})
	return f.attempts
}

// note counts an attempt, and logs one that did not bring the answer.
func (f *Forwarder) note(ctx context.Context, r *Request, a *attempt, left, took time.Duration) {
	outcome, reason := a.verdict.String(), ""
	if a.err != nil {
		outcome, reason = "broken", a.err.Error()
		switch {
		case ctx.Err() == context.Canceled:
			outcome = "cancelled" // another attempt answered, or the client left
		case a.err.NotSent:
			outcome = "not_sent"
		}
	}
	if f.attempts != nil {
		f.attempts.WithLabelValues(outcome).Observe(took.Seconds())
	}
	if f.Log == nil || a.err == nil && a.verdict == Answered {
		return
	}
	f.Log.WithFields(logrus.Fields{
		"request": r.ID, "target": a.target.ID, "outcome": outcome, "reason": reason, "status": a.result.Status,
		"left_ms": left.Milliseconds(), "ms": took.Milliseconds(),
	}).Info("attempt ended")
}

// sentLines is how many requests a second leave a line when they are sent. Above
// that, only those that fail leave lines.
const sentLines = 50

// lineBudget bounds the lines of one second.
type lineBudget struct {
	mu     sync.Mutex
	second int64
	used   int
}

// take reports whether another line may be written.
func (b *lineBudget) take(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if s := now.Unix(); s != b.second {
		b.second, b.used = s, 0
	}
	b.used++
	return b.used <= sentLines
}

// targetState is what this process has seen of a target.
type targetState struct {
	outstanding int
	doubtUntil  time.Time
	latency     time.Duration // of recent answers, weighted mean
}

// latencyGain is the weight of one answer in the mean latency.
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

// Forget drops what is known of targets that are not in v.
func (f *Forwarder) Forget(v *directory.View) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for id, s := range f.states {
		if v.Target(id) == nil && s.outstanding == 0 {
			delete(f.states, id)
		}
	}
}

// attempt is one sending of a request.
type attempt struct {
	target  *wire.TargetEntry
	verdict Verdict
	result  Result
	err     *upstream.Failure
}

var errGarbled = eris.New("forward: the response is no answer of the protocol")

// take notes a response that was read whole.
func (a *attempt) take(verdict Verdict, response *http.Response, body []byte) {
	a.verdict = verdict
	a.result = Result{
		Outcome: OutcomeAnswered, Status: response.StatusCode, Header: response.Header, Body: body, Target: a.target.ID,
	}
	if verdict == Garbled {
		a.err = &upstream.Failure{Err: errGarbled}
	}
}

// run is the state of one request.
type run struct {
	f       *Forwarder
	r       *Request
	tried   map[string]bool
	done    chan *attempt
	open    int
	runs    int // sendings that may have run
	refused int
	cancels []context.CancelFunc
	last    *attempt // the newest one that ran and failed with an answer
	failed  int
}

// Do carries r to its end.
func (f *Forwarder) Do(ctx context.Context, r *Request) Result {
	ctx, cancel := context.WithDeadline(ctx, r.Deadline)
	defer cancel()
	u := &run{f: f, r: r, tried: make(map[string]bool), done: make(chan *attempt, 2*notRunTries+r.Route.MaxAttempts+1)}
	result := u.loop(ctx)
	for _, c := range u.cancels {
		c()
	}
	result.Attempts = u.runs + u.refused
	result.Failures = u.failed
	return result
}

func (u *run) maxRuns() int {
	if !u.r.Route.Repeatable {
		return 1
	}
	return max(1, u.r.Route.MaxAttempts)
}

func (u *run) loop(ctx context.Context) Result {
	if !u.start(ctx) {
		return u.refuse("no target is known", retryAfterNone)
	}
	hedge := time.NewTimer(u.hedgeDelay())
	defer hedge.Stop()
	for {
		select {
		case a := <-u.done:
			u.open--
			if end, ok := u.finish(a); ok {
				return end
			}
			if u.open > 0 {
				continue
			}
			if !u.start(ctx) {
				return u.giveUp()
			}
			hedge.Reset(u.hedgeDelay())
		case <-hedge.C:
			if u.r.Route.Repeatable && u.start(ctx) {
				hedge.Reset(u.hedgeDelay())
			}
		case <-ctx.Done():
			return Result{Outcome: OutcomeUnknown, Reason: endOf(ctx)}
		}
	}
}

// endOf says why a request that is still open ends.
func endOf(ctx context.Context) string {
	if ctx.Err() == context.Canceled {
		return "the caller has left"
	}
	return "no answer in time"
}

func (u *run) hedgeDelay() time.Duration {
	if u.r.Patient {
		return max(hedgeLeast, u.r.Route.Goal)
	}
	return max(hedgeLeast, time.Duration(float64(u.r.Route.Goal)*hedgeShare))
}

// finish takes the end of an attempt and returns the end of the request, if it is
// one.
func (u *run) finish(a *attempt) (Result, bool) {
	switch {
	case a.err != nil && a.err.NotSent, a.err == nil && (a.verdict == NotRun || a.verdict == WrongPlace):
		u.runs--
		u.refused++
		return Result{}, false
	case a.err != nil:
		if !u.r.Route.Repeatable {
			return Result{Outcome: OutcomeUnknown, Reason: a.err.Error(), Target: a.target.ID}, true
		}
		return Result{}, false
	case a.verdict == FailedRun:
		u.failed++
		u.last = a
		return a.result, !u.r.Route.Repeatable
	}
	return a.result, true
}

// giveUp ends a request for which nothing is under way and no target is left.
func (u *run) giveUp() Result {
	switch {
	case u.last != nil:
		return u.last.result
	case u.runs > 0:
		return Result{Outcome: OutcomeUnknown, Reason: "all attempts ended without an answer"}
	}
	return u.refuse("no target took the request", retryAfterFull)
}

func (u *run) refuse(reason string, after time.Duration) Result {
	return Result{Outcome: OutcomeNotRun, Reason: reason, RetryAfter: after}
}

// next chooses one more target and counts the sending to it. It returns nil when
// no target, time or attempt is left.
func (u *run) next() (*wire.TargetEntry, time.Duration) {
	left := time.Until(u.r.Deadline)
	if u.runs >= u.maxRuns() || u.refused >= notRunTries || left < minLeft {
		return nil, 0
	}
	t := u.f.choose(time.Now(), u.r.Route.Choose(u.r.ID), u.tried)
	if t != nil {
		u.tried[t.ID] = true
		u.runs++
		u.noteSent(t, left)
	}
	return t, left
}

// noteSent logs where a request goes, so that one whose process is lost before its
// end leaves a line. Requests that nobody waits for have lines of their own.
func (u *run) noteSent(t *wire.TargetEntry, left time.Duration) {
	if u.f.Log == nil || u.r.Patient || !u.f.lines.take(time.Now()) {
		return
	}
	u.f.Log.WithFields(logrus.Fields{
		"request": u.r.ID, "target": t.ID, "attempt": u.runs + u.refused, "left_ms": left.Milliseconds(),
		"targets_age_ms": u.f.Directory.Age(time.Now()).Milliseconds(),
	}).Info("request is sent")
}

// start sends the request to one more target, if one is left.
func (u *run) start(ctx context.Context) bool {
	t, left := u.next()
	if t == nil {
		return false
	}
	u.open++
	ctx, cancel := context.WithCancel(ctx)
	u.cancels = append(u.cancels, cancel)
	go u.f.send(ctx, u.r, t, left, u.done)
	return true
}

func (f *Forwarder) send(ctx context.Context, r *Request, t *wire.TargetEntry, left time.Duration, done chan<- *attempt) {
	began := time.Now()
	a := &attempt{target: t}
	response, body, err := f.Pool.Do(ctx, directory.Address(t), f.outbound(r, r.Header, t, left))
	if err == nil {
		a.take(f.Protocol.Verdict(response.StatusCode, response.Header), response, body)
	}
	f.end(ctx, r, a, err, left, time.Since(began))
	done <- a
}

// outbound returns the request as t gets it.
func (f *Forwarder) outbound(r *Request, header []wire.Header, t *wire.TargetEntry, left time.Duration) *upstream.Request {
	out := r.Request
	out.Header = append(append([]wire.Header(nil), header...), f.Protocol.Outbound(t.ID, left)...)
	return &out
}

// end notes how an attempt ended; err is set when it brought no response.
func (f *Forwarder) end(ctx context.Context, r *Request, a *attempt, err error, left, took time.Duration) {
	if err != nil {
		a.err = &upstream.Failure{Err: err}
		errors.As(err, &a.err)
	}
	f.release(ctx, a.target.ID, a, took)
	f.note(ctx, r, a, left, took)
}

// release notes what an attempt showed of its target.
func (f *Forwarder) release(ctx context.Context, id string, a *attempt, took time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.state(id)
	s.outstanding--
	switch {
	case a.err != nil && ctx.Err() == context.Canceled:
		// Another attempt answered first: at least as slow as the time that passed.
		s.latency += time.Duration(latencyGain * float64(max(took, s.latency)-s.latency))
	case a.err != nil, a.verdict != Answered:
		s.doubtUntil = time.Now().Add(doubtTime)
	case s.latency == 0:
		s.latency = took
	default:
		s.latency += time.Duration(latencyGain * float64(took-s.latency))
	}
}
