package batch

import (
	"slices"
	"time"
)

const (
	// maxArrivals bounds the arrivals of steps that are kept of a trainer: 8 minutes of steps
	// every 4 s.
	maxArrivals = 128
	// minStepInterval is the least time between two steps that counts as an interval. Steps
	// that a process learns of closer together come from the log that it applies after its
	// start, or were sent at once by a trainer that begins.
	minStepInterval = 250 * time.Millisecond
	// intervalTolerance is the difference up to which intervals count as equal. Steps arrive up
	// to 50 ms later than they were sent.
	intervalTolerance = 100 * time.Millisecond
	// minEqualIntervals is the number of equal intervals from which the interval of a trainer
	// is known. A single one may be of any length while the trainer is late.
	minEqualIntervals = 2
	// minLag is the lag below which a trainer counts as on time. It is above the differences
	// between arrivals and below the time that a step can make up.
	minLag = 250 * time.Millisecond
	// pauseSteps is the number of intervals by which a trainer of steps without a due time is
	// late before its schedule begins anew.
	pauseSteps = 4
)

// stepArrival is the arrival of the first submission of a step.
type stepArrival struct {
	step int
	at   time.Time
}

// trainerSteps is the schedule of a trainer as its steps show it. A trainer requests each step
// one interval after the one before, or later if it waits for earlier steps.
type trainerSteps struct {
	arrivals []stepArrival // of increasing steps
	interval time.Duration // 0 until it is known
	lag      time.Duration
}

// observe adds a step that must be complete within due. The schedule begins anew after a pause
// of two due times, which no order of the steps could make up, and with a step from before the
// known ones: the trainer has started again. Another step that is not the next one changes
// nothing: it was submitted again.
func (t *trainerSteps) observe(step int, at time.Time, due time.Duration) {
	pause := 2 * due
	if pause <= 0 {
		pause = pauseSteps * t.interval
	}
	if n := len(t.arrivals); n > 0 {
		last := t.arrivals[n-1]
		at = maxTime(at, last.at)
		if step <= last.step {
			if step >= t.arrivals[0].step && at.Sub(last.at) <= pause {
				return
			}
			t.arrivals = nil
		}
	}
	t.arrivals = append(t.arrivals, stepArrival{step, at})
	if len(t.arrivals) > maxArrivals {
		t.arrivals = slices.Delete(t.arrivals, 0, 1)
	}
	if d, ok := usualInterval(t.arrivals); ok {
		t.interval = d
	}
	t.lag = lagOf(t.arrivals, t.interval)
	if t.lag > pause {
		t.arrivals, t.lag = []stepArrival{{step, at}}, 0
	}
	if t.lag < minLag {
		t.lag = 0
	}
}

func maxTime(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// usualInterval returns the interval by which most steps were on time. Of several by which about
// as many were, it is the shortest: the trainer has become slower since. The shortest interval of
// all would be that of a trainer that makes up lost time, or follows a late first step.
func usualInterval(arrivals []stepArrival) (time.Duration, bool) {
	type candidate struct {
		interval time.Duration
		onTime   int
	}
	var candidates []candidate
	var best candidate
	for _, d := range equalIntervals(arrivals) {
		c := candidate{d, onTimeBy(arrivals, d)}
		candidates = append(candidates, c)
		if c.onTime > best.onTime {
			best = c
		}
	}
	for _, c := range candidates {
		if 2*c.onTime >= best.onTime && c.interval < best.interval-intervalTolerance {
			return c.interval, true
		}
	}
	return best.interval, best.onTime > 0
}

// equalIntervals returns the means of intervals per step that are equal, in increasing order.
func equalIntervals(arrivals []stepArrival) []time.Duration {
	var all, out []time.Duration
	for i := 1; i < len(arrivals); i++ {
		a, b := arrivals[i-1], arrivals[i]
		if d := b.at.Sub(a.at) / time.Duration(b.step-a.step); d >= minStepInterval {
			all = append(all, d)
		}
	}
	slices.Sort(all)
	for i, first := range all {
		n, sum := 0, time.Duration(0)
		for i+n < len(all) && all[i+n]-first <= intervalTolerance {
			sum += all[i+n]
			n++
		}
		if n >= minEqualIntervals {
			out = append(out, sum/time.Duration(n))
		}
	}
	return out
}

// onTimeBy returns the number of steps that were on time by the schedule of the given interval on
// which the earliest of them were.
func onTimeBy(arrivals []stepArrival, interval time.Duration) int {
	late := make([]time.Duration, len(arrivals))
	for i, a := range arrivals {
		late[i] = a.at.Sub(arrivals[0].at) - time.Duration(a.step-arrivals[0].step)*interval
	}
	least, n := slices.Min(late), 0
	for _, l := range late {
		if l-least <= intervalTolerance {
			n++
		}
	}
	return n
}

// lagOf returns how much later the last step has arrived than by the schedule of the given
// interval on which the earliest of the steps were.
func lagOf(arrivals []stepArrival, interval time.Duration) time.Duration {
	if interval == 0 {
		return 0
	}
	last := arrivals[len(arrivals)-1]
	var lag time.Duration
	for _, a := range arrivals {
		lag = max(lag, last.at.Sub(a.at)-time.Duration(last.step-a.step)*interval)
	}
	return lag
}

// lagTracker has the lag of each trainer, by its model.
type lagTracker map[string]*trainerSteps

// observe adds a step of a model and returns its trainer.
func (l lagTracker) observe(model string, step int, at time.Time, due time.Duration) *trainerSteps {
	t := l[model]
	if t == nil {
		t = &trainerSteps{}
		l[model] = t
	}
	t.observe(step, at, due)
	return t
}

// of returns the lag of the trainer of a model.
func (l lagTracker) of(model string) time.Duration {
	if t := l[model]; t != nil {
		return t.lag
	}
	return 0
}
