package admission

import (
	"math"
	"time"
)

const (
	// limiterTolerance is how far the recent latency may rise above the long mean
	// before the limit falls.
	limiterTolerance = 1.5
	// shortGain and longGain are the weights of one answer in the two means.
	shortGain = 0.1
	longGain  = 0.005
	// limiterWindow is the least number of answers between two changes, so that
	// one slow answer does not count several times.
	limiterWindow = 10
	// limiterStep is the weight of the new limit against the old one.
	limiterStep = 0.2
	// overloadFactor is applied to the limit when a target refuses for overload.
	overloadFactor = 0.7
	// overloadPause is the time between two such reductions, so that the refusals
	// of one burst count once.
	overloadPause = 500 * time.Millisecond
)

// Limiter adapts the number of requests that one entry has on one target, up to
// the configured number, with which it starts. It compares the recent latency to
// the long mean (the gradient method): the limit rises while latency is steady and
// falls when it grows.
type Limiter struct {
	limit   float64
	most    float64
	short   float64
	long    float64
	samples int
	window  int // answers since the last change
	reduced time.Time
}

// NewLimiter returns a limiter that never exceeds most.
func NewLimiter(most int) *Limiter {
	return &Limiter{limit: float64(most), most: float64(most)}
}

// SetMost changes the largest limit. A limit that was not reduced follows.
func (l *Limiter) SetMost(most int) {
	if l.limit >= l.most {
		l.limit = float64(most)
	}
	l.most = float64(most)
	l.limit = min(l.limit, l.most)
}

// Limit returns the current limit, at least 1.
func (l *Limiter) Limit() int { return max(1, int(l.limit)) }

// Observe notes an answer with its latency and the requests in flight at the time.
// The latency of a generation is its time per token.
func (l *Limiter) Observe(latency time.Duration, inFlight int) {
	if latency <= 0 {
		return
	}
	l.samples++
	l.window++
	l.short += max(shortGain, 1/float64(l.samples)) * (latency.Seconds() - l.short)
	l.long += max(longGain, 1/float64(l.samples)) * (latency.Seconds() - l.long)
	// A long mean from a bad time must not make everything look good.
	if l.long > 2*l.short {
		l.long *= 0.95
	}
	if l.window >= max(limiterWindow, int(l.limit)) {
		l.window = 0
		l.adjust(inFlight)
	}
}

func (l *Limiter) adjust(inFlight int) {
	gradient := min(1, max(0.5, limiterTolerance*l.long/l.short))
	if gradient < 1 {
		l.limit = max(1, l.limit*(1-limiterStep*(1-gradient)))
		return
	}
	// An unused limit does not rise: nothing is known about it.
	if 2*inFlight >= int(l.limit) {
		l.limit = min(l.most, l.limit+max(1, limiterStep*math.Sqrt(l.limit)))
	}
}

// Overload notes a refusal for overload.
func (l *Limiter) Overload(now time.Time) {
	if now.Sub(l.reduced) < overloadPause {
		return
	}
	l.reduced = now
	l.limit = max(1, l.limit*overloadFactor)
}
