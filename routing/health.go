package routing

import (
	"math"
	"slices"
	"time"
)

const (
	// ejectAfterFailures is the number of consecutive failures that ejects a target.
	ejectAfterFailures = 5
	// baseEjectionTime is the duration of the first ejection. Each further one doubles it,
	// up to maxEjectionTime.
	baseEjectionTime = 5 * time.Second
	maxEjectionTime  = time.Minute
	// slowFactor is the multiple of the median latency above which a target is an
	// outlier.
	slowFactor = 3
	// minLatencySamples is the number of latency samples needed to judge a target.
	minLatencySamples = 20
	// latencyGain is the weight of one sample in the moving average of the latency.
	latencyGain = 0.1
	// RampTime is the time in which a recovered target ramps up to its full share.
	RampTime = 10 * time.Second
	// initialRampShare is the share of a target at the start of the ramp.
	initialRampShare = 0.1
	// ejectionResetTime is the time since the end of the last ejection after which
	// the next one starts at baseEjectionTime again.
	ejectionResetTime = 5 * time.Minute
)

// targetHealth is the health record of one target.
type targetHealth struct {
	failures      int // consecutive
	samples       int
	latency       float64 // exponentially weighted mean in seconds
	ejectedUntil  time.Time
	ejections     int
	rampStartedAt time.Time
	suspect       bool
}

// Health is the outlier detector for the targets of one service.
type Health struct {
	maxShare float64
	targets  map[string]*targetHealth
}

// NewHealth returns an outlier detector that ejects at most the share maxShare of the
// targets.
func NewHealth(maxShare float64) *Health {
	return &Health{maxShare: maxShare, targets: make(map[string]*targetHealth)}
}

// SetTargets replaces the targets of the service and the share that may be ejected.
func (h *Health) SetTargets(keys []string, maxShare float64) {
	h.maxShare = maxShare
	for k := range h.targets {
		if !slices.Contains(keys, k) {
			delete(h.targets, k)
		}
	}
	for _, k := range keys {
		if h.targets[k] == nil {
			h.targets[k] = &targetHealth{}
		}
	}
}

// Succeed records a response. latency is 0 when it must not count as a sample.
func (h *Health) Succeed(now time.Time, key string, latency time.Duration) {
	t := h.targets[key]
	if t == nil {
		return
	}
	t.failures = 0
	if !t.slow(h.median()) {
		t.suspect = false
	}
	if latency <= 0 {
		return
	}
	t.samples++
	gain := max(latencyGain, 1/float64(t.samples))
	t.latency += gain * (latency.Seconds() - t.latency)
	if t.slow(h.median()) {
		h.eject(now, t)
	}
}

// Fail records a failure of the target.
func (h *Health) Fail(now time.Time, key string) {
	t := h.targets[key]
	if t == nil {
		return
	}
	t.failures++
	if t.failures >= ejectAfterFailures {
		h.eject(now, t)
	}
}

// Recover starts the ramp-up of a target that is available again.
func (h *Health) Recover(now time.Time, key string) {
	if t := h.targets[key]; t != nil {
		t.rampStartedAt = now
		t.failures = 0
	}
}

// Ejected reports whether the target is ejected at now.
func (h *Health) Ejected(now time.Time, key string) bool {
	t := h.targets[key]
	return t != nil && now.Before(t.ejectedUntil)
}

// Suspect reports whether the target is an outlier that stays in use because too many
// targets are ejected.
func (h *Health) Suspect(key string) bool {
	t := h.targets[key]
	return t != nil && t.suspect
}

// Weight returns the share of its normal load that the target may take.
func (h *Health) Weight(now time.Time, key string) float64 {
	t := h.targets[key]
	if t == nil || t.rampStartedAt.IsZero() {
		return 1
	}
	passed := now.Sub(t.rampStartedAt)
	if passed >= RampTime {
		return 1
	}
	return initialRampShare + (1-initialRampShare)*max(0, float64(passed)/float64(RampTime))
}

// EjectedCount returns the number of ejected targets and of all targets.
func (h *Health) EjectedCount(now time.Time) (ejected, all int) {
	for _, t := range h.targets {
		if now.Before(t.ejectedUntil) {
			ejected++
		}
	}
	return ejected, len(h.targets)
}

// eject takes t out of use. When that would exceed the allowed share, it marks t as
// suspect instead: a failure common to all targets must not leave the service without
// targets.
func (h *Health) eject(now time.Time, t *targetHealth) {
	if now.Before(t.ejectedUntil) {
		return
	}
	ejected, all := h.EjectedCount(now)
	if float64(ejected+1) > h.maxShare*float64(all) {
		t.suspect = true
		return
	}
	if now.Sub(t.ejectedUntil) > ejectionResetTime {
		t.ejections = 0
	}
	period := baseEjectionTime << min(t.ejections, 8)
	t.ejections++
	t.ejectedUntil = now.Add(min(period, maxEjectionTime))
	t.rampStartedAt = t.ejectedUntil
	t.failures = 0
	t.samples = 0
	t.latency = 0
	t.suspect = false
}

// slow reports whether the mean latency of t is an outlier.
func (t *targetHealth) slow(median float64) bool {
	return t.samples >= minLatencySamples && median > 0 && t.latency > slowFactor*median
}

// median returns the median of the mean latencies of the targets with enough samples, or
// 0 when there are fewer than three.
func (h *Health) median() float64 {
	var all []float64
	for _, t := range h.targets {
		if t.samples >= minLatencySamples {
			all = append(all, t.latency)
		}
	}
	if len(all) < 3 {
		return 0
	}
	slices.Sort(all)
	m := all[len(all)/2]
	if math.IsNaN(m) {
		return 0
	}
	return m
}
