package ratelimit

import (
	"maps"
	"time"
)

// Use is what a request to a target is for.
type Use struct {
	Kind   string // of upstream.Request
	Repeat bool   // another attempt of the request was sent before
}

// String implements fmt.Stringer.
func (u Use) String() string {
	if u.Repeat {
		return u.Kind + " again"
	}
	return u.Kind
}

// tallyTime is the time over which a Tally counts, in slices of tallySlice.
const (
	tallyTime  = 4 * time.Second
	tallySlice = 500 * time.Millisecond
)

// Tally counts the requests that a process sends to one target in the last 4 s, by use.
type Tally struct {
	slices [tallyTime / tallySlice]slice
}

// slice is the counts of a slice of time.
type slice struct {
	number int64
	counts map[Use]int // nil before the first request
}

// Add counts a request.
func (t *Tally) Add(now time.Duration, u Use) {
	number := int64(now / tallySlice)
	s := &t.slices[number%int64(len(t.slices))]
	if s.number != number || s.counts == nil {
		s.number, s.counts = number, make(map[Use]int)
	}
	s.counts[u]++
}

// Counts returns the number of requests by use.
func (t *Tally) Counts(now time.Duration) map[Use]int {
	out := make(map[Use]int)
	oldest := int64(now/tallySlice) - int64(len(t.slices)) + 1
	for i := range t.slices {
		if s := &t.slices[i]; s.number >= oldest {
			for u, n := range s.counts {
				out[u] += n
			}
		}
	}
	return out
}

// Total returns the number of requests.
func (t *Tally) Total(now time.Duration) int {
	total := 0
	for n := range maps.Values(t.Counts(now)) {
		total += n
	}
	return total
}
