package admission

import "time"

// rateGain is the weight of one answer in the moving means after the first 1/rateGain
// answers, which are weighted equally.
const rateGain = 0.05

// Rate estimates the throughput of a service. By Little's law a service that runs n
// requests concurrently finishes n/(mean duration) of them per second. Unlike a
// count of answers, this estimate also holds while the service is not fully used.
type Rate struct {
	slots        int     // requests that may run concurrently
	meanCost     float64 // mean cost of an answer
	meanDuration float64 // mean duration in seconds
	samples      int
}

// minRateSamples is the number of answers required before the estimate is used.
const minRateSamples = 10

// SetSlots sets how many requests may run concurrently.
func (r *Rate) SetSlots(n int) { r.slots = n }

// Observe records the cost and duration of an answer.
func (r *Rate) Observe(cost float64, took time.Duration) {
	r.samples++
	gain := max(rateGain, 1/float64(r.samples))
	r.meanCost += gain * (cost - r.meanCost)
	r.meanDuration += gain * (took.Seconds() - r.meanDuration)
}

// PerSecond returns the cost that the service can serve per second when all slots are in
// use, or 0 before minRateSamples answers.
func (r *Rate) PerSecond() float64 {
	if r.samples < minRateSamples || r.meanDuration <= 0 {
		return 0
	}
	return float64(r.slots) * r.meanCost / r.meanDuration
}

// drainTime estimates how long the service takes to serve a backlog of the given
// cost. It returns 0 while the rate is not known.
func (r *Rate) drainTime(cost float64) time.Duration {
	perSecond := r.PerSecond()
	if perSecond <= 0 {
		return 0
	}
	return time.Duration(cost / perSecond * float64(time.Second))
}

// estimateRunTime estimates how long one request of the given cost runs. It returns
// 0 while the rate is not known.
func (r *Rate) estimateRunTime(cost float64) time.Duration {
	if r.samples < minRateSamples || r.meanCost <= 0 {
		return 0
	}
	return time.Duration(r.meanDuration * cost / r.meanCost * float64(time.Second))
}
