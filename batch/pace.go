package batch

import (
	"slices"
	"time"
)

const (
	// eventTimeInterval is the time between two samples of the time per event of each run.
	// An engine generates several events of each run in it.
	eventTimeInterval = 400 * time.Millisecond
	// minEventTimeSamples is the number of samples needed before an engine is compared
	// with the others.
	minEventTimeSamples = 3
	// eventTimeMaxAge is how long the time per event of an engine is valid after its last
	// sample. After this time an engine that got no work is assessed anew.
	eventTimeMaxAge = 3 * time.Second
	// eventTimeWeight is the weight of one sample in an engine's moving average.
	eventTimeWeight = 0.2
	// unknownPaceFactor is the multiple of the median time per event that is expected of an
	// engine without a valid one, so that long texts go to engines known to be fast.
	unknownPaceFactor = 1.15
)

// observeEventTime adds a sample of the time per event of a run.
func (e *engine) observeEventTime(now time.Time, d time.Duration) {
	if now.Sub(e.eventTimeAt) > eventTimeMaxAge {
		e.eventTimeSamples, e.eventTime = 0, 0
	}
	e.eventTimeAt = now
	e.eventTimeSamples++
	if e.eventTime == 0 {
		e.eventTime = d
		return
	}
	e.eventTime += time.Duration(eventTimeWeight * float64(d-e.eventTime))
}

// paceKnown reports whether the time per event of the engine is known and recent.
func (e *engine) paceKnown(now time.Time) bool {
	return e.eventTimeSamples >= minEventTimeSamples && now.Sub(e.eventTimeAt) <= eventTimeMaxAge
}

// pace returns the expected time per event on the engine. median is that of all engines.
func (e *engine) pace(now time.Time, median time.Duration) time.Duration {
	switch {
	case e.paceKnown(now):
		return e.eventTime
	case e.speed > 0:
		return time.Duration(float64(median) / e.speed)
	}
	return time.Duration(unknownPaceFactor * float64(median))
}

// medianEventTime returns the median time per event of the engines, or 0 while too few are
// known.
func medianEventTime(engines []*engine) time.Duration {
	var all []time.Duration
	for _, e := range engines {
		if e.eventTimeSamples >= minEventTimeSamples && !e.draining {
			all = append(all, e.eventTime)
		}
	}
	if len(all) < 3 {
		return 0
	}
	slices.Sort(all)
	return all[(len(all)-1)/2]
}

const (
	// defaultTokensPerEvent is the estimated size of a text divided by its events, until a
	// text has completed.
	defaultTokensPerEvent = 60
	// lengthMemory is the number of texts over which lengths average.
	lengthMemory = 200
)

// lengths relates the estimated sizes of texts to their events. It keeps sums, because the
// mean of the ratios would follow the estimates that are far too small.
type lengths struct {
	tokens, events float64
}

// observe adds a complete text.
func (l *lengths) observe(size, events int) {
	keep := 1 - 1.0/lengthMemory
	l.tokens = l.tokens*keep + float64(size)
	l.events = l.events*keep + float64(events)
}

// eventsOf returns the expected number of events of a text of the given estimated size.
func (l *lengths) eventsOf(size int) int {
	if l.tokens == 0 || l.events == 0 {
		return size / defaultTokensPerEvent
	}
	return int(float64(size) * l.events / l.tokens)
}

// remainingEvents returns the expected number of events that the text of a task still
// lacks. It is at least half of those it has, because estimates may be far too low: a text
// that has outlived its estimate is expected to go on for long.
func (l *lengths) remainingEvents(t *task) int {
	has := t.text.length()
	if t.run != nil {
		has = max(has, t.run.events)
	}
	return max(l.eventsOf(t.size)-has, has/2, 1)
}
