package admission

import "time"

// rateGain is the weight of one answer in the measured means.
const rateGain = 0.05

// Rate measures how fast a service works. By Little's law a service that runs n
// requests at once finishes n/(mean duration) of them per second; unlike counting
// answers, this also holds while the service is not fully used.
type Rate struct {
	slots    int
	cost     float64 // mean cost of an answer
	duration float64 // mean duration in seconds
	samples  int
}

// rateSamples is the number of answers before the rate is used.
const rateSamples = 10

// SetSlots sets how many requests may run at once.
func (r *Rate) SetSlots(n int) { r.slots = n }

// Observe notes an answer.
func (r *Rate) Observe(cost float64, took time.Duration) {
	r.samples++
	gain := max(rateGain, 1/float64(r.samples))
	r.cost += gain * (cost - r.cost)
	r.duration += gain * (took.Seconds() - r.duration)
}

// PerSecond returns the cost served per second, 0 while it is not known.
func (r *Rate) PerSecond() float64 {
	if r.samples < rateSamples || r.duration <= 0 {
		return 0
	}
	return float64(r.slots) * r.cost / r.duration
}

// time returns how long the service takes for a backlog.
func (r *Rate) time(cost float64) time.Duration {
	perSecond := r.PerSecond()
	if perSecond <= 0 {
		return 0
	}
	return time.Duration(cost / perSecond * float64(time.Second))
}

// runTime estimates the run of one request from its cost.
func (r *Rate) runTime(cost float64) time.Duration {
	if r.samples < rateSamples || r.cost <= 0 {
		return 0
	}
	return time.Duration(r.duration * cost / r.cost * float64(time.Second))
}
