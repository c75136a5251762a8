package admission

import (
	"math"
	"time"
)

const (
	// limiterTolerance is the ratio of short-term to long-term mean latency above
	// which the limit falls.
	limiterTolerance = 1.5
	// shortGain and longGain are the weights of one sample in the two moving means.
	shortGain = 0.1
	longGain  = 0.005
	// minLimiterWindow is the minimum number of samples between two adjustments by
	// latency, so that one slow answer does not lower the limit several times.
	minLimiterWindow = 10
	// limiterSmoothing is, in a decrease, the weight of the new limit when it is
	// averaged with the old one and, in an increase, the factor of the square root of
	// the limit that is added.
	limiterSmoothing = 0.2
	// overloadFactor is multiplied into the limit when a target refuses a request
	// because of overload.
	overloadFactor = 0.7
	// overloadPause is the minimum time between two such reductions, so that a
	// burst of refusals counts once.
	overloadPause = 500 * time.Millisecond
)

// Limiter is an adaptive concurrency limit for the requests that one entry has in
// flight on one target. It starts at the configured maximum. It compares two mean
// latencies: the limit falls while the short-term mean exceeds limiterTolerance times
// the long-term mean, and otherwise rises while at least half of it is in use.
type Limiter struct {
	limit         float64
	maxLimit      float64
	shortMean     float64
	longMean      float64
	samples       int
	sinceAdjust   int // samples since the last call of adjust
	lastReduction time.Time
}

// NewLimiter returns a limiter that starts at maxLimit and never exceeds it.
func NewLimiter(maxLimit int) *Limiter {
	return &Limiter{limit: float64(maxLimit), maxLimit: float64(maxLimit)}
}

// SetMaxLimit changes the maximum. A limit that is at the old maximum moves to the
// new one.
func (l *Limiter) SetMaxLimit(maxLimit int) {
	if l.limit >= l.maxLimit {
		l.limit = float64(maxLimit)
	}
	l.maxLimit = float64(maxLimit)
	l.limit = min(l.limit, l.maxLimit)
}

// Limit returns the current limit, at least 1.
func (l *Limiter) Limit() int { return max(1, int(l.limit)) }

// Observe records the latency of an answer and the number of requests in flight at
// that time. The latency of a generation is its time per token.
func (l *Limiter) Observe(latency time.Duration, inFlight int) {
	if latency <= 0 {
		return
	}
	l.samples++
	l.sinceAdjust++
	l.shortMean += max(shortGain, 1/float64(l.samples)) * (latency.Seconds() - l.shortMean)
	l.longMean += max(longGain, 1/float64(l.samples)) * (latency.Seconds() - l.longMean)
	// Lower a long-term mean that remains from a slow period; while it is too high,
	// the limit would not fall.
	if l.longMean > 2*l.shortMean {
		l.longMean *= 0.95
	}
	if l.sinceAdjust >= max(minLimiterWindow, int(l.limit)) {
		l.sinceAdjust = 0
		l.adjust(inFlight)
	}
}

// adjust lowers the limit if limiterTolerance times the long-term mean is below the
// short-term mean, and otherwise raises it.
func (l *Limiter) adjust(inFlight int) {
	ratio := min(1, max(0.5, limiterTolerance*l.longMean/l.shortMean))
	if ratio < 1 {
		l.limit = max(1, l.limit*(1-limiterSmoothing*(1-ratio)))
		return
	}
	// Raise the limit only if at least half of it is in use; an unused limit
	// gives no evidence that the target could take more.
	if 2*inFlight >= int(l.limit) {
		l.limit = min(l.maxLimit, l.limit+max(1, limiterSmoothing*math.Sqrt(l.limit)))
	}
}

// Overload lowers the limit after a refusal because of overload.
func (l *Limiter) Overload(now time.Time) {
	if now.Sub(l.lastReduction) < overloadPause {
		return
	}
	l.lastReduction = now
	l.limit = max(1, l.limit*overloadFactor)
}
