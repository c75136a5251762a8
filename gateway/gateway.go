// Package gateway serves the callers and trainers of a hosted deployment. It finds the
// route of a request, forwards it to a target or to the control leader, and returns a
// response, a definite refusal, or an unknown outcome.
package gateway

import (
	"context"
	"errors"
	"hash/fnv"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"merlinhall/accounts"
	"merlinhall/forward"
	"merlinhall/hub"
	"merlinhall/ledger"
	"merlinhall/observe"
	"merlinhall/routes"
	"merlinhall/upstream"
	"merlinhall/usage"
)

const (
	// controlTimeout limits the wait for the control leader. It is longer than an
	// election and shorter than the time after which clients try another process.
	controlTimeout = 2500 * time.Millisecond
	// uploadRate is the rate, in bytes per second, by which the wait is longer for a submission.
	uploadRate = 8 << 20
	// retryAfterNoManifest is the Retry-After value while this process has no manifest.
	retryAfterNoManifest = 300 * time.Millisecond
	// retryAfterNoControl is the Retry-After value when the control leader was not
	// reached: the duration of an election.
	retryAfterNoControl = 700 * time.Millisecond
	// retryAfterStop is the Retry-After value of a process that stops.
	retryAfterStop = 50 * time.Millisecond
	// retryAfterNoMemory is the Retry-After value when the bodies of other requests use
	// up the memory for bodies: most of them end within this time.
	retryAfterNoMemory = 500 * time.Millisecond
	// MaxPageBytes limits the size of the texts on one page of results.
	MaxPageBytes = 900 << 10
)

// Outcome is the final state of a client request.
type Outcome string

// Outcomes of client requests. They extend those of package forward.
const (
	Answered Outcome = "answered"
	Accepted Outcome = "accepted"
	NotRun   Outcome = "not_run" // had no effect and never will
	Unknown  Outcome = "unknown"
	NoRoute  Outcome = "no_route"
	NotFound Outcome = "not_found"
	NotValid Outcome = "not_valid"
	Cut      Outcome = "cut"       // a stream started and broke off
	TooLarge Outcome = "too_large" // the body exceeds the limit, or what can be accepted
	TooSlow  Outcome = "too_slow"  // the body did not arrive within the route's timeout
	NoAccess Outcome = "no_access" // the key is missing or no client account has it
)

// Result is the result of a client request.
type Result struct {
	Outcome    Outcome
	Target     *forward.Result // set if a target answered
	Page       ledger.Page     // page of results of a submission
	Body       []byte          // body of an item
	RetryAfter time.Duration   // set with NotRun
	Reason     string
}

// Gateway serves client requests. It is safe for concurrent use.
type Gateway struct {
	client    *hub.Client
	forwarder *forward.Forwarder
	meter     *usage.Meter // nil if usage is not counted
	log       *logrus.Entry
	unknown   accounts.UnknownKeys
	refusals  observe.LineLimit // of the log lines for requests without access
	requests  *prometheus.CounterVec
	seconds   *prometheus.HistogramVec
}

// New returns a gateway and registers its metrics with observer. meter counts the requests of
// client accounts; it may be nil.
func New(client *hub.Client, forwarder *forward.Forwarder, meter *usage.Meter, observer *observe.Observer) *Gateway {
	g := &Gateway{
		client: client, forwarder: forwarder, meter: meter, log: observer.Logger("gateway"),
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "merlinhall_gateway_requests_total", Help: "Requests of clients, by kind and outcome.",
		}, []string{"kind", "outcome"}),
		seconds: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "merlinhall_gateway_request_seconds", Help: "Time from the receipt of a request to its end.",
			Buckets: prometheus.ExponentialBuckets(0.005, 2, 12),
		}, []string{"kind"}),
	}
	observer.Registry.MustRegister(g.requests, g.seconds)
	return g
}

// Limits returns the limits on client requests, and false before the first manifest.
func (g *Gateway) Limits() (routes.Limits, bool) {
	if table := g.client.Table(); table != nil {
		return table.Manifest().Limits, true
	}
	return routes.Limits{}, false
}

// RejectBody records and returns the result of a request whose body could not be read.
func (g *Gateway) RejectBody(id string, outcome Outcome, err error) *Result {
	result := Result{Outcome: outcome, Reason: "body: " + err.Error()}
	if outcome == NotRun {
		result.RetryAfter = retryAfterNoMemory
	}
	g.record("read", id, time.Now(), result, nil)
	return &result
}

// RejectLate records and returns the result of a request that came too late in a planned stop of
// this process. Other processes can run it at once.
func (g *Gateway) RejectLate(id string) Result {
	result := Result{Outcome: NotRun, Reason: "this process stops before the time limit of the request", RetryAfter: retryAfterStop}
	g.record("late", id, time.Now(), result, nil)
	return result
}

// Deadline returns the end of the time limit of a request whose header was received at the given
// time and whose client waits for the given time from then on, or 0 if that is not known.
func Deadline(route *routes.Route, received time.Time, wait time.Duration) time.Time {
	limit := route.Timeout
	if wait > 0 {
		limit = min(limit, wait)
	}
	return received.Add(limit)
}

// Forward sends a request to a target of its route. received is the time at which its
// header arrived. wait is how long the client waits from then on, or 0 if it is not
// known.
func (g *Gateway) Forward(ctx context.Context, a Admission, request upstream.Request, received time.Time, wait time.Duration) Result {
	request.Kind = upstream.KindRequest
	r := newForwardRequest(a, request, received, wait)
	defer g.count(a, r)()
	return g.recordForward(r, received, g.forwarder.Do(ctx, r))
}

// Stream is like Forward for a route whose responses are event streams. It delivers
// events to sink as they arrive; the result doesn't contain them. takeUp is set if the client
// goes on with a stream that broke off.
func (g *Gateway) Stream(ctx context.Context, a Admission, request upstream.Request, received time.Time, wait time.Duration, takeUp *forward.TakeUp, sink forward.Sink) Result {
	request.Kind = upstream.KindStream
	r := newForwardRequest(a, request, received, wait)
	r.TakeUp = takeUp
	defer g.count(a, r)()
	return g.recordForward(r, received, g.forwarder.Stream(ctx, r, sink))
}

// count has a request counted for its account. The returned function must be called when it
// has ended.
func (g *Gateway) count(a Admission, r *forward.Request) (done func()) {
	if g.meter == nil || a.Account == nil {
		return func() {}
	}
	counted := g.meter.Begin(a.Account.Name)
	r.OnSent = counted.Sent
	return counted.Done
}

func newForwardRequest(a Admission, request upstream.Request, received time.Time, wait time.Duration) *forward.Request {
	r := &forward.Request{Request: request, Route: a.Route, Deadline: Deadline(a.Route, received, wait)}
	if a.Account != nil {
		r.Account = a.Account.Name
	}
	return r
}

// recordForward records a request that was sent to targets and returns its result.
func (g *Gateway) recordForward(r *forward.Request, received time.Time, end forward.Result) Result {
	result := Result{Reason: end.Reason, RetryAfter: end.RetryAfter}
	switch end.Outcome {
	case forward.OutcomeAnswered:
		result.Outcome, result.Target = Answered, &end
	case forward.OutcomeNotRun:
		result.Outcome = NotRun
	case forward.OutcomeCut:
		result.Outcome = Cut
	default:
		result.Outcome = Unknown
	}
	g.record("forward", r.ID, received, result, logrus.Fields{
		"route": r.Route.Name, "version": g.version(), "targets_age_ms": g.forwarder.Directory.Age(time.Now()).Milliseconds(),
		"target": end.Target, "attempts": end.Attempts, "status": end.Status, "limit_ms": r.Deadline.Sub(received).Milliseconds(),
	})
	return result
}

// version returns the version of the manifest in force, or 0 if there is none.
func (g *Gateway) version() uint64 {
	if table := g.client.Table(); table != nil {
		return table.Manifest().Version
	}
	return 0
}

// Submit sends a submission to the control leader.
func (g *Gateway) Submit(ctx context.Context, sub *ledger.Submission) Result {
	began := time.Now()
	size := sub.Size()
	ctx, cancel := context.WithTimeout(ctx, controlTimeout+time.Duration(size)*time.Second/uploadRate)
	defer cancel()
	result := g.controlResult(g.client.Accept(ctx, sub), Accepted)
	g.record("submit", sub.ID, began, result, logrus.Fields{"items": len(sub.Items), "step": sub.Step, "bytes": size})
	return result
}

// Page reads the results of a submission from position after on. If there are none
// yet, it waits up to wait for one.
func (g *Gateway) Page(ctx context.Context, caller hub.Caller, id string, after int, wait time.Duration) Result {
	began := time.Now()
	ctx, cancel := context.WithTimeout(ctx, wait+controlTimeout)
	defer cancel()
	page, found, err := g.client.Page(ctx, caller, id, after, wait, MaxPageBytes)
	result := g.foundResult(err, found)
	result.Page = page
	g.record("page", id, began, result, logrus.Fields{"after": after, "results": len(page.Results)})
	return result
}

// Item reads the body of an item that has no result yet.
func (g *Gateway) Item(ctx context.Context, caller hub.Caller, id, item string) Result {
	began := time.Now()
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	body, found, err := g.client.Body(ctx, caller, id, item)
	result := g.foundResult(err, found)
	result.Body = body
	g.record("item", id, began, result, logrus.Fields{"item": item})
	return result
}

// End ends a submission.
func (g *Gateway) End(ctx context.Context, caller hub.Caller, id string) Result {
	began := time.Now()
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	found, err := g.client.End(ctx, caller, id)
	result := g.foundResult(err, found)
	g.record("end", id, began, result, nil)
	return result
}

func (g *Gateway) foundResult(err error, found bool) Result {
	if err == nil && !found {
		return Result{Outcome: NotFound}
	}
	return g.controlResult(err, Answered)
}

func (g *Gateway) controlResult(err error, success Outcome) Result {
	var full *hub.FullError
	switch {
	case err == nil:
		return Result{Outcome: success}
	case errors.Is(err, hub.ErrTooLarge):
		return Result{Outcome: TooLarge, Reason: err.Error()}
	case errors.As(err, &full):
		return Result{Outcome: NotRun, Reason: full.Reason, RetryAfter: full.RetryAfter}
	case errors.Is(err, hub.ErrNotDone):
		return Result{Outcome: NotRun, Reason: err.Error(), RetryAfter: retryAfterNoControl}
	}
	return Result{Outcome: Unknown, Reason: err.Error()}
}

// record records a request in the metrics. It logs requests without success,
// submissions and their ends, slow forwarded requests and a sample of the others.
func (g *Gateway) record(kind, id string, began time.Time, r Result, fields logrus.Fields) {
	took := time.Since(began)
	g.requests.WithLabelValues(kind, string(r.Outcome)).Inc()
	g.seconds.WithLabelValues(kind).Observe(took.Seconds())
	entry := g.log.WithFields(fields).WithFields(logrus.Fields{
		"request": id, "outcome": r.Outcome, "ms": took.Milliseconds(),
	})
	switch {
	case r.Outcome == NoAccess && !g.refusals.Allow(time.Now()):
	case r.Outcome != Answered && r.Outcome != Accepted:
		entry.WithFields(logrus.Fields{"reason": r.Reason, "retry_after_ms": r.RetryAfter.Milliseconds()}).Info(kind + " ended without success")
	case kind == "submit", kind == "end", kind == "forward" && took > slowThreshold, sampled(id):
		entry.Info(kind + " ended")
	}
}

const (
	// slowThreshold is the duration above which successful forwarded requests are
	// logged.
	slowThreshold = 150 * time.Millisecond
	// logSampleInterval is the sampling interval: one in logSampleInterval of the
	// other successful requests is logged.
	logSampleInterval = 16
)

// sampled reports whether the request is in the log sample. The sample depends only
// on the id, so that all processes log the same requests.
func sampled(id string) bool {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id))
	return h.Sum32()%logSampleInterval == 0
}
