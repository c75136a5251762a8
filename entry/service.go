package entry

import (
	"math/rand/v2"
	"time"

	"merlinhall/admission"
	"merlinhall/config"
	"merlinhall/routing"
	"merlinhall/wire"
)

const (
	// graceNone is how long a request waits when no target is usable, before it is
	// refused. It covers the redial of a link.
	graceNone = time.Second
	// graceBroken is the same for a generation whose caller already has a part.
	graceBroken = 10 * time.Second
	// promptBytesPerToken estimates the length of a prompt in tokens.
	promptBytesPerToken = 4
)

// service is a plain service or a pool at this entry. Only the dispatcher uses it.
type service struct {
	name    string
	targets []*target
	most    int // MaxInFlight
	queue   *admission.Queue[*flight]
	rate    *admission.Rate
	budget  *admission.Budget
	health  *routing.Health
	retries []*flight // waiting for another target, before the queue
	parked  []*admission.Item[*flight]
	usable  time.Time // when a target was last usable
	turn    uint64
	scratch []routing.Target
	present bool // in the current configuration
}

func newService(name string, now time.Time) *service {
	rate := &admission.Rate{}
	return &service{
		name:   name,
		rate:   rate,
		queue:  admission.NewQueue[*flight](0, rate),
		budget: admission.NewBudget(0),
		health: routing.NewHealth(0),
		usable: now,
	}
}

// apply takes the settings of a service or pool.
func (s *service) apply(limits config.Limits, most, queue int, weights map[string]float64) {
	s.present = true
	s.most = most
	s.queue.SetLimits(queue, weights)
	s.budget.SetShare(limits.RetryShare)
	keys := make([]string, 0, len(s.targets))
	for _, t := range s.targets {
		keys = append(keys, t.key)
		t.limiter.SetMost(most)
	}
	s.health.SetTargets(keys, limits.MaxEjectedShare)
}

// choose picks a target for f.
func (s *service) choose(now time.Time, f *flight, zone string, rng *rand.Rand) (*target, routing.Reason) {
	s.scratch = s.scratch[:0]
	for _, t := range s.targets {
		t.cache.Advance(now)
		s.scratch = append(s.scratch, t.route(now, s.health, s.most))
	}
	s.turn++
	c := routing.Choose(routing.Request{
		Zone:       zone,
		Prefixes:   f.prefixes,
		Tokens:     int(f.cost),
		MinVersion: f.minVersion,
		Avoid:      f.avoid,
		ZoneCost:   routing.DefaultZoneCost,
		Turn:       s.turn,
	}, s.scratch, rng)
	if c.Reason != routing.ReasonNone {
		s.usable = now
	}
	if c.Index < 0 {
		return nil, c.Reason
	}
	return s.targets[c.Index], c.Reason
}

// setSlots tells the rate how many requests can run at once.
func (s *service) setSlots(now time.Time) {
	slots := 0
	for _, t := range s.targets {
		if t.conn != nil && !t.departing(now) && !t.load.Down {
			slots += min(t.limiter.Limit(), max(1, s.most-int(t.others)))
		}
	}
	s.rate.SetSlots(max(1, slots))
}

// inFlight returns the requests on targets of the service.
func (s *service) inFlight() int {
	n := 0
	for _, t := range s.targets {
		n += len(t.flights)
	}
	return n
}

// observe notes the complete answer of f by t.
func (s *service) observe(now time.Time, t *target, f *flight) {
	took := now.Sub(f.assigned)
	s.rate.Observe(f.cost, took)
	if f.request.held {
		return // the caller was slow, which says nothing of the target
	}
	latency := took
	if n := len(f.request.tokens) - f.tokensBefore; f.request.generation() && n > 0 {
		latency = took / time.Duration(n)
	}
	t.limiter.Observe(latency, len(t.flights))
	if badGateway(f.status) {
		s.health.Fail(now, t.key)
		return
	}
	s.health.Succeed(now, t.key, latency)
}

// badGateway reports whether a status says that the target itself is in trouble.
func badGateway(status int) bool {
	return status == statusBadGateway || status == statusUnavailable || status == statusTimeout
}

// costOf returns the share of the service that a request takes: tokens for a
// generation, 1 for a call.
func costOf(run *wire.Run) float64 {
	if g := run.Generation; g != nil {
		return float64(g.MaxTokens + len(g.Prompt)/promptBytesPerToken)
	}
	return 1
}
