package routing

import (
	"math"
	"slices"
	"time"
)

const (
	// ejectAfter is the number of failures in a row that ejects a target.
	ejectAfter = 5
	// ejectBase is the time of a first ejection; it doubles up to ejectMax.
	ejectBase = 5 * time.Second
	ejectMax  = time.Minute
	// slowFactor is how far above the median latency a target is an outlier.
	slowFactor = 3
	// slowSamples is the number of answers before latency is judged.
	slowSamples = 20
	// latencyGain is the weight of one answer in the mean latency.
	latencyGain = 0.1
	// RampTime is the time in which a target returns to its full share.
	RampTime = 10 * time.Second
	// rampStart is the share at the start of the ramp.
	rampStart = 0.1
	// forgiveAfter is the time without an ejection after which the next one is
	// short again.
	forgiveAfter = 5 * time.Minute
)

// health is the record of one target.
type health struct {
	failures  int
	samples   int
	latency   float64 // exponentially weighted mean in seconds
	until     time.Time
	ejections int
	recovered time.Time
	suspect   bool
}

// Health detects outliers among the targets of one service.
type Health struct {
	maxShare float64
	targets  map[string]*health
}

// NewHealth returns a detector that ejects at most maxShare of the targets.
func NewHealth(maxShare float64) *Health {
	return &Health{maxShare: maxShare, targets: make(map[string]*health)}
}

// SetTargets sets the targets of the service and the share that may be ejected.
func (h *Health) SetTargets(keys []string, maxShare float64) {
	h.maxShare = maxShare
	for k := range h.targets {
		if !slices.Contains(keys, k) {
			delete(h.targets, k)
		}
	}
	for _, k := range keys {
		if h.targets[k] == nil {
			h.targets[k] = &health{}
		}
	}
}

// Succeed notes an answer. latency is 0 when it says nothing of the target.
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

// Fail notes a failure of the target.
func (h *Health) Fail(now time.Time, key string) {
	t := h.targets[key]
	if t == nil {
		return
	}
	t.failures++
	if t.failures >= ejectAfter {
		h.eject(now, t)
	}
}

// Recover starts the ramp of a target that came back.
func (h *Health) Recover(now time.Time, key string) {
	if t := h.targets[key]; t != nil {
		t.recovered = now
		t.failures = 0
	}
}

// Ejected reports whether the target is ejected at now.
func (h *Health) Ejected(now time.Time, key string) bool {
	t := h.targets[key]
	return t != nil && now.Before(t.until)
}

// Suspect reports whether the target is an outlier that the bound on the ejected
// share keeps in use.
func (h *Health) Suspect(key string) bool {
	t := h.targets[key]
	return t != nil && t.suspect
}

// Weight returns the share of its normal load that the target may have.
func (h *Health) Weight(now time.Time, key string) float64 {
	t := h.targets[key]
	if t == nil || t.recovered.IsZero() {
		return 1
	}
	passed := now.Sub(t.recovered)
	if passed >= RampTime {
		return 1
	}
	return rampStart + (1-rampStart)*max(0, float64(passed)/float64(RampTime))
}

// EjectedShare returns the ejected and all targets.
func (h *Health) EjectedShare(now time.Time) (ejected, all int) {
	for _, t := range h.targets {
		if now.Before(t.until) {
			ejected++
		}
	}
	return ejected, len(h.targets)
}

// eject takes t out of use unless too many targets already are; then t is only
// suspect. A failure that all targets share must not empty the service.
func (h *Health) eject(now time.Time, t *health) {
	if now.Before(t.until) {
		return
	}
	ejected, all := h.EjectedShare(now)
	if float64(ejected+1) > h.maxShare*float64(all) {
		t.suspect = true
		return
	}
	if now.Sub(t.until) > forgiveAfter {
		t.ejections = 0
	}
	period := ejectBase << min(t.ejections, 8)
	t.ejections++
	t.until = now.Add(min(period, ejectMax))
	t.recovered = t.until
	t.failures = 0
	t.samples = 0
	t.latency = 0
	t.suspect = false
}

func (t *health) slow(median float64) bool {
	return t.samples >= slowSamples && median > 0 && t.latency > slowFactor*median
}

// median returns the median of the mean latencies of targets with enough samples.
func (h *Health) median() float64 {
	var all []float64
	for _, t := range h.targets {
		if t.samples >= slowSamples {
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
