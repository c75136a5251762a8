// Package gateway serves the callers and trainers of a hosted deployment: it finds
// the route of a request, has it forwarded or handed to the control leader, and
// ends it with an answer, a refusal that holds, or an unknown outcome.
package gateway

import (
	"context"
	"errors"
	"hash/fnv"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"merlinhall/forward"
	"merlinhall/hub"
	"merlinhall/ledger"
	"merlinhall/observe"
	"merlinhall/routes"
	"merlinhall/upstream"
)

const (
	// controlLimit bounds the wait for the control leader, above the time of an
	// election and below that after which clients ask elsewhere.
	controlLimit = 2500 * time.Millisecond
	// retryNoRoutes is when a caller may come back to a process that has not
	// heard of any route yet.
	retryNoRoutes = 300 * time.Millisecond
	// retryNoControl is when a caller may come back after control was not reached:
	// the time of an election.
	retryNoControl = 700 * time.Millisecond
	// PageLimit bounds the texts of one page of results.
	PageLimit = 900 << 10
)

// Outcome says how a request of a client ended.
type Outcome string

// Outcomes beside those of package forward.
const (
	Answered Outcome = "answered"
	Accepted Outcome = "accepted"
	NotRun   Outcome = "not_run" // certainly without effect, now or later
	Unknown  Outcome = "unknown"
	NoRoute  Outcome = "no_route"
	NotFound Outcome = "not_found"
	NotValid Outcome = "not_valid"
	Cut      Outcome = "cut"       // a stream that began and is not complete
	TooLarge Outcome = "too_large" // a body above the limit
	TooSlow  Outcome = "too_slow"  // a body that did not come within the route's timeout
)

// Result is the end of a request.
type Result struct {
	Outcome    Outcome
	Target     *forward.Result // with Answered by a target
	Page       ledger.Page     // of results
	Body       []byte          // of an item
	RetryAfter time.Duration   // with NotRun
	Reason     string
}

// Gateway serves requests. Its methods may be called from any goroutine.
type Gateway struct {
	client    *hub.Client
	forwarder *forward.Forwarder
	log       *logrus.Entry
	requests  *prometheus.CounterVec
	seconds   *prometheus.HistogramVec
}

// New returns a gateway.
func New(client *hub.Client, forwarder *forward.Forwarder, observer *observe.Observer) *Gateway {
	g := &Gateway{
		client: client, forwarder: forwarder, log: observer.Logger("gateway"),
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

// Route returns the route of a request. The result is set when there is none.
func (g *Gateway) Route(id, host, path string) (*routes.Route, *Result) {
	table := g.client.Table()
	if table == nil {
		result := Result{Outcome: NotRun, Reason: "no manifest is known yet", RetryAfter: retryNoRoutes}
		g.note("route", id, time.Now(), result, logrus.Fields{"authority": host, "path": path})
		return nil, &result
	}
	if r := table.Find(host, path); r != nil {
		return r, nil
	}
	result := Result{Outcome: NoRoute, Reason: "no route"}
	g.note("route", id, time.Now(), result, logrus.Fields{"authority": host, "path": path, "version": table.Manifest().Version})
	return nil, &result
}

// Limits returns what clients may send, and false before the first manifest.
func (g *Gateway) Limits() (routes.Limits, bool) {
	if table := g.client.Table(); table != nil {
		return table.Manifest().Limits, true
	}
	return routes.Limits{}, false
}

// Unreadable ends a request whose body could not be read.
func (g *Gateway) Unreadable(id string, outcome Outcome, err error) *Result {
	result := Result{Outcome: outcome, Reason: "body: " + err.Error()}
	g.note("read", id, time.Now(), result, nil)
	return &result
}

// Forward carries a request to a target of its route. received is when its header
// came; wait is how long the client waits from then on, 0 when it did not say.
func (g *Gateway) Forward(ctx context.Context, route *routes.Route, request upstream.Request, received time.Time, wait time.Duration) Result {
	r := outbound(route, request, received, wait)
	return g.forwarded(r, received, g.forwarder.Do(ctx, r))
}

// Stream is Forward for a route whose answers are events, which sink takes as they
// come. What sink took is then not part of the result.
func (g *Gateway) Stream(ctx context.Context, route *routes.Route, request upstream.Request, received time.Time, wait time.Duration, sink forward.Sink) Result {
	r := outbound(route, request, received, wait)
	return g.forwarded(r, received, g.forwarder.Stream(ctx, r, sink))
}

func outbound(route *routes.Route, request upstream.Request, received time.Time, wait time.Duration) *forward.Request {
	limit := route.Timeout
	if wait > 0 {
		limit = min(limit, wait)
	}
	return &forward.Request{Request: request, Route: route, Deadline: received.Add(limit)}
}

// forwarded notes the end of a request that went to targets.
func (g *Gateway) forwarded(r *forward.Request, received time.Time, end forward.Result) Result {
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
	g.note("forward", r.ID, received, result, logrus.Fields{
		"route": r.Route.Name, "version": g.version(), "targets_age_ms": g.forwarder.Directory.Age(time.Now()).Milliseconds(),
		"target": end.Target, "attempts": end.Attempts, "status": end.Status, "limit_ms": r.Deadline.Sub(received).Milliseconds(),
	})
	return result
}

// version returns the version of the manifest in force.
func (g *Gateway) version() uint64 {
	if table := g.client.Table(); table != nil {
		return table.Manifest().Version
	}
	return 0
}

// Submit hands a submission to the control leader.
func (g *Gateway) Submit(ctx context.Context, sub *ledger.Submission) Result {
	began := time.Now()
	ctx, cancel := context.WithTimeout(ctx, controlLimit)
	defer cancel()
	result := g.controlResult(g.client.Accept(ctx, sub), Accepted)
	g.note("submit", sub.ID, began, result, logrus.Fields{"items": len(sub.Items), "step": sub.Step})
	return result
}

// Page reads results of a submission from position after on.
func (g *Gateway) Page(ctx context.Context, id string, after int, wait time.Duration) Result {
	began := time.Now()
	ctx, cancel := context.WithTimeout(ctx, wait+controlLimit)
	defer cancel()
	page, found, err := g.client.Page(ctx, id, after, wait, PageLimit)
	result := g.foundResult(err, found)
	result.Page = page
	g.note("page", id, began, result, logrus.Fields{"after": after, "results": len(page.Results)})
	return result
}

// Item reads the body of an item without a result.
func (g *Gateway) Item(ctx context.Context, id, item string) Result {
	began := time.Now()
	ctx, cancel := context.WithTimeout(ctx, controlLimit)
	defer cancel()
	body, found, err := g.client.Body(ctx, id, item)
	result := g.foundResult(err, found)
	result.Body = body
	g.note("item", id, began, result, logrus.Fields{"item": item})
	return result
}

// End ends a submission.
func (g *Gateway) End(ctx context.Context, id string) Result {
	began := time.Now()
	ctx, cancel := context.WithTimeout(ctx, controlLimit)
	defer cancel()
	found, err := g.client.End(ctx, id)
	result := g.foundResult(err, found)
	g.note("end", id, began, result, nil)
	return result
}

func (g *Gateway) foundResult(err error, found bool) Result {
	if err == nil && !found {
		return Result{Outcome: NotFound}
	}
	return g.controlResult(err, Answered)
}

func (g *Gateway) controlResult(err error, success Outcome) Result {
	switch {
	case err == nil:
		return Result{Outcome: success}
	case errors.Is(err, hub.ErrNotDone):
		return Result{Outcome: NotRun, Reason: err.Error(), RetryAfter: retryNoControl}
	}
	return Result{Outcome: Unknown, Reason: err.Error()}
}

// note counts a request and logs it unless it went as it should.
func (g *Gateway) note(kind, id string, began time.Time, r Result, fields logrus.Fields) {
	took := time.Since(began)
	g.requests.WithLabelValues(kind, string(r.Outcome)).Inc()
	g.seconds.WithLabelValues(kind).Observe(took.Seconds())
	entry := g.log.WithFields(fields).WithFields(logrus.Fields{
		"request": id, "outcome": r.Outcome, "ms": took.Milliseconds(),
	})
	switch {
	case r.Outcome != Answered && r.Outcome != Accepted:
		entry.WithFields(logrus.Fields{"reason": r.Reason, "retry_after_ms": r.RetryAfter.Milliseconds()}).Info(kind + " ended without success")
	case kind == "submit", kind == "end", kind == "forward" && took > slowAnswer, sampled(id):
		entry.Info(kind + " ended")
	}
}

const (
	// slowAnswer is the time from which successes are logged as well.
	slowAnswer = 150 * time.Millisecond
	// sampleOf is how many quick successes one logged one stands for.
	sampleOf = 16
)

// sampled chooses a part of the requests by their ids, so that all processes choose
// the same ones.
func sampled(id string) bool {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id))
	return h.Sum32()%sampleOf == 0
}
