// Package demand admits the requests of one process to the services of a hosted deployment, and
// tells the control leader of the demand while it exceeds what the targets take. The decisions are
// those of package admission; this package has the clock, the waiting requests and the messages.
package demand

import (
	"context"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"merlinhall/admission"
	"merlinhall/observe"
)

const (
	// tick is the interval at which limits are adapted and reports are due.
	tick = 500 * time.Millisecond
	// askTimeout bounds a report to the leader. It is above a few round trips and below tick.
	askTimeout = 400 * time.Millisecond
	// maxServices bounds the services in a report, and perService is the least time between two
	// reports for each of them. A service with 16 accounts takes up to 760 bytes with the answer,
	// and a process may spend 4 KB a second.
	maxServices = 4
	perService  = 250 * time.Millisecond
	// maxTracked bounds the services of which a process limits the requests. Services come from
	// the manifest, and old ones stay until the process ends.
	maxTracked = 1024
)

// ReasonLeft is the reason of a request whose caller left while it waited.
const ReasonLeft admission.Reason = "the caller has left"

// Options configures a Keeper.
type Options struct {
	Process  string               // name of this process
	Run      string               // names this run of the process
	Registry *prometheus.Registry // nil registers no metrics
	Log      *logrus.Entry
	Clock    func() time.Time // nil stands for time.Now
}

// askFunc sends a report to the control leader.
type askFunc func(ctx context.Context, in *admission.Demand, out *admission.Shares) error

// Keeper admits the requests of one process. In the leader's process it also answers reports. It
// is safe for concurrent use; nil admits all requests at once.
type Keeper struct {
	o        Options
	lines    observe.LineLimit
	requests *prometheus.CounterVec
	waits    *prometheus.HistogramVec
	retries  *prometheus.CounterVec
	reports  *prometheus.CounterVec
	places   *prometheus.GaugeVec
	waiting  *prometheus.GaugeVec

	mu       sync.Mutex
	services map[string]*service
	ask      askFunc // nil before Follow

	// The loop of Run alone uses these.
	nextReport time.Time
	reported   bool // the last report named a service
	processes  int  // of the last answer

	leadMu    sync.Mutex
	term      uint64 // in which this process leads, 0 if it does not
	allocator *admission.Allocator
	loggedAt  time.Time
}

// service is the state of one service.
type service struct {
	name    string
	mu      sync.Mutex
	c       *admission.Controller[chan *admission.Refusal]
	limited bool // as last logged
}

// NewKeeper returns a keeper without limits.
func NewKeeper(o Options) *Keeper {
	if o.Clock == nil {
		o.Clock = time.Now
	}
	k := &Keeper{
		o: o, services: make(map[string]*service), allocator: admission.NewAllocator(),
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "merlinhall_admission_requests_total", Help: "Requests that arrived at this process, by service, class and decision: run at once, run after a wait, refused or left while waiting.",
		}, []string{"service", "class", "decision"}),
		waits: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "merlinhall_admission_wait_seconds", Help: "Time that requests waited for a place, by class.",
			Buckets: prometheus.ExponentialBuckets(0.001, 2, 12),
		}, []string{"class"}),
		retries: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "merlinhall_admission_retries_total", Help: "Retries and hedges that were wanted, by service and whether the budget allowed them.",
		}, []string{"service", "allowed"}),
		reports: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "merlinhall_admission_reports_total", Help: "Reports of demand to the control leader, by whether it answered.",
		}, []string{"answered"}),
		places: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "merlinhall_admission_places", Help: "Requests that this process may have in flight, by service, 0 without a limit.",
		}, []string{"service"}),
		waiting: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "merlinhall_admission_waiting", Help: "Requests that wait for a place, by service.",
		}, []string{"service"}),
	}
	if o.Registry != nil {
		o.Registry.MustRegister(k.requests, k.waits, k.retries, k.reports, k.places, k.waiting)
	}
	return k
}

// Follow sets how the leader is asked.
func (k *Keeper) Follow(ask askFunc) {
	if k == nil {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.ask = ask
}

// Request is a request that arrives.
type Request struct {
	ID         string
	Service    string
	Account    string // client account, empty if there is none
	Background bool
	Goal       time.Duration // response-time objective, 0 if there is none
	Deadline   time.Time
}

// ticket returns the ticket of a request that arrives now. A caller's request waits as long as it
// can be answered within its objective, a background request for half of its time.
func (r *Request) ticket(now time.Time) *admission.Ticket[chan *admission.Refusal] {
	t := &admission.Ticket[chan *admission.Refusal]{
		Value: make(chan *admission.Refusal, 1), Account: r.Account, Class: admission.Caller, Goal: r.Goal, Until: r.Deadline,
	}
	switch latest := now.Add(r.Goal); {
	case r.Background:
		t.Class, t.Goal, t.Until = admission.Background, 0, now.Add(r.Deadline.Sub(now)/2)
	case r.Goal > 0 && latest.Before(r.Deadline):
		t.Until = latest
	}
	return t
}

// service returns the state of a service, or nil if there are too many.
func (k *Keeper) service(name string) *service {
	k.mu.Lock()
	defer k.mu.Unlock()
	s := k.services[name]
	if s == nil && len(k.services) < maxTracked {
		s = &service{name: name, c: admission.NewController[chan *admission.Refusal]()}
		k.services[name] = s
	}
	return s
}

// step runs and refuses the waiting requests that are due. The caller holds s.mu.
func (s *service) step(now time.Time) {
	started, refused := s.c.Step(now)
	for _, t := range started {
		t.Value <- nil
	}
	for _, r := range refused {
		r.Ticket.Value <- &r.Refusal
	}
}

// Admit waits until a request may be sent. It returns the place of the request, which must be
// given back with End, or the reason why it is refused.
func (k *Keeper) Admit(ctx context.Context, r Request) (*Place, *admission.Refusal) {
	if k == nil {
		return nil, nil
	}
	s := k.service(r.Service)
	if s == nil {
		return nil, nil
	}
	now := k.o.Clock()
	t := r.ticket(now)
	p := &Place{k: k, s: s, t: t}
	s.mu.Lock()
	verdict, refusal := s.c.Arrive(now, t)
	s.step(now)
	lastTurn := s.c.LastTurn(t)
	s.mu.Unlock()
	switch verdict {
	case admission.Run:
		k.count(&r, "run")
		return p, nil
	case admission.Refused:
		return nil, k.refused(s, &r, &refusal)
	}
	refused := p.await(ctx, lastTurn.Sub(now))
	k.waits.WithLabelValues(class(r.Background)).Observe(k.o.Clock().Sub(now).Seconds())
	if refused != nil {
		return nil, k.refused(s, &r, refused)
	}
	k.count(&r, "waited")
	return p, nil
}

func class(background bool) string {
	if background {
		return "background"
	}
	return "caller"
}

func (k *Keeper) count(r *Request, decision string) {
	k.requests.WithLabelValues(r.Service, class(r.Background), decision).Inc()
}

// refused counts and logs a request that is refused.
func (k *Keeper) refused(s *service, r *Request, refusal *admission.Refusal) *admission.Refusal {
	if refusal.Reason == ReasonLeft {
		k.count(r, "left")
		return refusal
	}
	k.count(r, "refused")
	now := k.o.Clock()
	if !k.lines.Allow(now) {
		return refusal
	}
	s.mu.Lock()
	state := s.c.State(now)
	s.mu.Unlock()
	k.o.Log.WithFields(logrus.Fields{
		"request": r.ID, "service": r.Service, "account": r.Account, "class": class(r.Background), "reason": refusal.Reason,
		"retry_after_ms": refusal.RetryAfter.Milliseconds(), "places": state.Limit, "running": state.Running, "waiting": state.Waiting,
		"response_ms": state.ResponseMs, "requests": state.Requests, "refused": state.Refused, "answered": state.Answered, "share": state.Share,
	}).Info("request is refused before it is sent")
	return refusal
}

// Dump returns the state of all services.
func (k *Keeper) Dump() any {
	out := make(map[string]admission.State)
	for _, s := range k.all() {
		s.mu.Lock()
		out[s.name] = s.c.State(k.o.Clock())
		s.mu.Unlock()
	}
	return out
}

// Place is the place of a request that was admitted. Its methods do nothing on nil, and nil allows
// retries.
type Place struct {
	k *Keeper
	s *service
	t *admission.Ticket[chan *admission.Refusal]
}

// await waits for the turn of a request that may wait for the given time.
func (p *Place) await(ctx context.Context, patience time.Duration) *admission.Refusal {
	timer := time.NewTimer(patience)
	defer timer.Stop()
	select {
	case refused := <-p.t.Value:
		return refused
	case <-ctx.Done():
		p.End(false)
		return &admission.Refusal{Reason: ReasonLeft}
	case <-timer.C:
		p.do(func(now time.Time) { p.s.c.Expire(now, p.t) })
		return <-p.t.Value // each ticket that waited is run or refused once
	}
}

// do calls f, and runs and refuses what is due then.
func (p *Place) do(f func(now time.Time)) {
	p.s.mu.Lock()
	defer p.s.mu.Unlock()
	now := p.k.o.Clock()
	f(now)
	p.s.step(now)
}

// End gives the place back. answered is set if a target has answered the request.
func (p *Place) End(answered bool) {
	if p != nil {
		p.do(func(now time.Time) { p.s.c.End(now, p.t, answered) })
	}
}

// AttemptEnded notes that a target has answered the request after the given time, or refused it.
func (p *Place) AttemptEnded(target string, took time.Duration, refused bool) {
	if p != nil {
		p.do(func(now time.Time) { p.s.c.AttemptEnded(now, p.t, target, took, refused) })
	}
}

// AllowRetry reports whether the request may be sent once more, and counts that.
func (p *Place) AllowRetry() (allowed bool) {
	if p == nil {
		return true
	}
	p.do(func(now time.Time) { allowed = p.s.c.AllowRetry(now) })
	word := "no"
	if allowed {
		word = "yes"
	}
	p.k.retries.WithLabelValues(p.s.name, word).Inc()
	return allowed
}

// ReturnRetry takes back a retry that was allowed and not made.
func (p *Place) ReturnRetry() {
	if p != nil {
		p.do(p.s.c.ReturnRetry)
	}
}

// RetryAfter returns when the request may come back if it was refused.
func (p *Place) RetryAfter() (after time.Duration) {
	p.do(func(now time.Time) { after = p.s.c.RetryAfter(now, p.t.Class) })
	return after
}
