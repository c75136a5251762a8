package entry

import (
	"math"
	"math/rand/v2"
	"time"

	"merlinhall/admission"
	"merlinhall/config"
	"merlinhall/routing"
	"merlinhall/wire"
)

const (
	// noTargetTimeout is how long a request waits while no target is usable before it
	// is refused. It is long enough to redial a link.
	noTargetTimeout = time.Second
	// noTargetTimeoutResumed replaces noTargetTimeout for a request that moved
	// after part of its answer was delivered.
	noTargetTimeoutResumed = 10 * time.Second
	// promptBytesPerToken is used to estimate the length of a prompt in tokens.
	promptBytesPerToken = 4
)

// service is the state of a plain service or pool at this entry. It is used only by
// the dispatcher.
type service struct {
	name        string
	targets     []*target
	maxInFlight int // configured limit per target
	queue       *admission.Queue[*activeRequest]
	rate        *admission.Rate
	budget      *admission.RetryBudget
	health      *routing.Health
	retries     []*activeRequest // moved from a target; placed before the queue
	lastUsable  time.Time        // when a target was last usable (see sweep), or no request was waiting
	turn        uint64           // number of choices, for round robin
	scratch     []routing.Target
	configured  bool // in the current configuration
}

func newService(name string, now time.Time) *service {
	rate := &admission.Rate{}
	return &service{
		name:       name,
		rate:       rate,
		queue:      admission.NewQueue[*activeRequest](0, rate),
		budget:     admission.NewRetryBudget(0),
		health:     routing.NewHealth(0),
		lastUsable: now,
	}
}

// apply applies the configuration of a service or pool.
func (s *service) apply(limits config.Limits, maxInFlight, queue int, weights map[string]float64) {
	s.configured = true
	s.maxInFlight = maxInFlight
	s.queue.SetLimits(queue, weights)
	s.budget.SetShare(limits.RetryShare)
	keys := make([]string, 0, len(s.targets))
	for _, t := range s.targets {
		keys = append(keys, t.key)
		t.limiter.SetMaxLimit(maxInFlight)
	}
	s.health.SetTargets(keys, limits.MaxEjectedShare)
}

// choose selects a target for req. It returns nil if no target can take req now.
func (s *service) choose(now time.Time, req *activeRequest, zone string, rng *rand.Rand) (*target, routing.Reason) {
	s.scratch = s.scratch[:0]
	for _, t := range s.targets {
		t.cache.Advance(now)
		s.scratch = append(s.scratch, t.routingTarget(now, s.health, s.maxInFlight))
	}
	s.turn++
	c := routing.Choose(routing.Request{
		Zone:       zone,
		Prefixes:   req.prefixes,
		Tokens:     int(req.cost),
		MinVersion: req.minVersion,
		Avoid:      req.avoid,
		ZoneCost:   routing.DefaultZoneCost,
		Sequence:   s.turn,
	}, s.scratch, rng)
	if c.Reason != routing.ReasonNone {
		s.lastUsable = now
	}
	if c.Index < 0 {
		return nil, c.Reason
	}
	return s.targets[c.Index], c.Reason
}

// newestVersion returns the highest weight version of the usable targets, and whether
// there are any. A target that has not reported its version may have any.
func (s *service) newestVersion(now time.Time) (newest uint64, usable bool) {
	for _, t := range s.targets {
		r := t.routingTarget(now, s.health, s.maxInFlight)
		if !r.Usable() {
			continue
		}
		usable = true
		if r.Version == 0 {
			return math.MaxUint64, true
		}
		newest = max(newest, r.Version)
	}
	return newest, usable
}

// setSlots updates the number of requests that the service can run concurrently.
func (s *service) setSlots(now time.Time) {
	slots := 0
	for _, t := range s.targets {
		if t.conn != nil && !t.departing(now) && !t.load.Down {
			slots += min(t.limiter.Limit(), max(1, s.maxInFlight-int(t.otherRequests)))
		}
	}
	s.rate.SetSlots(max(1, slots))
}

// inFlight returns the number of requests assigned to targets of the service.
func (s *service) inFlight() int {
	n := 0
	for _, t := range s.targets {
		n += len(t.requests)
	}
	return n
}

// observe records the duration of the complete answer that t gave to req.
func (s *service) observe(now time.Time, t *target, req *activeRequest) {
	took := now.Sub(req.assignedAt)
	s.rate.Observe(req.cost, took)
	if req.state.callerWasSlow {
		return // the latency is that of a slow caller, not of the target
	}
	latency := took
	if n := len(req.state.tokens) - req.tokensBefore; req.state.generation() && n > 0 {
		latency = took / time.Duration(n)
	}
	t.limiter.Observe(latency, len(t.requests))
	if isGatewayError(req.status) {
		s.health.Fail(now, t.key)
		return
	}
	s.health.Succeed(now, t.key, latency)
}

// isGatewayError reports whether a status indicates a failure of the target itself.
func isGatewayError(status int) bool {
	return status == statusBadGateway || status == statusUnavailable || status == statusTimeout
}

// costOf returns the admission cost of a request: the estimated tokens of a
// generation, or 1 for a call.
func costOf(run *wire.Run) float64 {
	if g := run.Generation; g != nil {
		return float64(g.MaxTokens + len(g.Prompt)/promptBytesPerToken)
	}
	return 1
}
