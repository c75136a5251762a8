// Package truetime estimates the true time of day. The clocks of hosts differ, may be
// stepped by seconds either way and back, and a suspended host wakes late, so no single one is
// trusted: the control leader takes the median over the clocks of all processes, and the
// others take the time from the leader. Between two samples a clock that runs on while the
// host is suspended carries the estimate.
package truetime

import (
	"slices"
	"sync"
	"time"
)

// Steady is a reading of a clock that is never stepped and runs on while the host is
// suspended.
type Steady = time.Duration

const (
	// sampleTime is how long a sample counts. Clocks drift apart by some 100 microseconds a
	// second at most.
	sampleTime = 20 * time.Second
	// minSources is the number of clocks from which a median is given away: with fewer, one
	// stepped clock could decide.
	minSources = 3
)

// Median is the leader's estimate. It is safe for concurrent use.
type Median struct {
	mu      sync.Mutex
	samples map[string]samples // by process
}

// samplesKept is the number of samples of a process of which the best counts. A message that
// is held up on its way makes a clock look slow, never fast.
const samplesKept = 4

// agreement is the difference up to which two samples of one clock are of the same setting.
const agreement = 20 * time.Millisecond

// samples are the last samples of a process.
type samples struct {
	offsets []time.Duration // time of day minus steady clock
	at      Steady          // of the last one
}

// NewMedian returns an estimate without samples.
func NewMedian() *Median { return &Median{samples: make(map[string]samples)} }

// dropStepped drops the samples from before a step of the clock: the last two agree with
// each other and not with them.
func (s *samples) dropStepped() {
	n := len(s.offsets)
	if n < 2 {
		return
	}
	last := s.offsets[n-1]
	if (last - s.offsets[n-2]).Abs() <= agreement {
		s.offsets = slices.DeleteFunc(s.offsets, func(o time.Duration) bool { return (o - last).Abs() > agreement })
	}
}

// Add takes the time of day of a process, which was sent at least delay before the reading now
// of this process's steady clock.
func (m *Median) Add(now Steady, process string, wall time.Time, delay time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.samples[process]
	s.offsets = append(s.offsets, time.Duration(wall.UnixNano())+delay-now)
	if len(s.offsets) > samplesKept {
		s.offsets = s.offsets[1:]
	}
	s.dropStepped()
	s.at = now
	m.samples[process] = s
}

// Now returns the estimate of the true time and the number of clocks that it is made of. It
// returns false if these are too few to be trusted.
func (m *Median) Now(now Steady) (t time.Time, sources int, ok bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	offsets := make([]time.Duration, 0, len(m.samples))
	for process, s := range m.samples {
		if now-s.at > sampleTime {
			delete(m.samples, process)
			continue
		}
		offsets = append(offsets, slices.Max(s.offsets))
	}
	if len(offsets) < minSources {
		return time.Time{}, len(offsets), false
	}
	slices.Sort(offsets)
	middle := len(offsets) / 2
	offset := offsets[middle]
	if len(offsets)%2 == 0 {
		offset = (offsets[middle-1] + offset) / 2
	}
	return time.Unix(0, int64(now+offset)), len(offsets), true
}

// Follower is the estimate of a process that takes the time from the leader. It is safe for
// concurrent use.
type Follower struct {
	mu     sync.Mutex
	known  bool
	offset time.Duration // true time minus steady clock
	error  time.Duration
	at     Steady
}

// drift is how much the error of a sample grows in a second. A sample with a large error
// never replaces one that is only old.
const drift = 200 * time.Microsecond

// Add takes the leader's estimate, which it gave between the readings sent and received of
// this process's steady clock. Of several samples the one with the least error counts.
func (f *Follower) Add(sent, received Steady, estimate time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	half := (received - sent) / 2
	grown := time.Duration((received - f.at).Seconds() * float64(drift))
	if f.known && f.error+grown < half {
		return
	}
	f.known, f.error, f.at = true, half, received
	f.offset = time.Duration(estimate.UnixNano()) - (sent + half)
}

// At returns the true time at a reading of this process's steady clock, and its error. It
// returns false before the first sample.
func (f *Follower) At(at Steady) (t time.Time, err time.Duration, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.known {
		return time.Time{}, 0, false
	}
	return time.Unix(0, int64(at+f.offset)), f.error, true
}
