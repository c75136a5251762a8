package ratelimit

import (
	"math"
	"time"
)

const (
	// burstTime is how far ahead of its even pace a target may get requests, and catchUpTime
	// how far behind it may be and catch up: a limit is named for a second. One request can
	// always be caught up.
	burstTime   = 100 * time.Millisecond
	catchUpTime = time.Second
	// A limit may have fallen since the target last answered. So the first slowTurns turns of a
	// new leader, and those after a pause of quietTime, are at least slowInterval apart: a
	// response takes about as long to reach the leader.
	slowTurns    = 3
	slowInterval = 100 * time.Millisecond
	quietTime    = 4 * time.Second
	// probeInterval bounds the time between two grants for a target whose limit is near zero:
	// only a response shows that the limit has ended.
	probeInterval = 4 * time.Second
)

// Pace is the progress of the requests to one target with a limit: their turns come evenly, but
// for what the target did not get in the last second. It reads no clock. All times are those of
// one clock.
type Pace struct {
	perSecond float64
	next      time.Duration // turn of the next request at an even pace
	slow      int           // number of turns that are at least slowInterval apart
	takenAt   time.Duration // when the last turn was taken
}

// NewPace returns the pace of a limit in requests a second. The first turn comes at the time
// from or after one interval, whichever is later.
func NewPace(now, from time.Duration, perSecond float64) *Pace {
	return &Pace{perSecond: perSecond, next: max(from, now+interval(perSecond)), slow: slowTurns, takenAt: now}
}

// SetLimit changes the limit. The next turn comes after one interval at the latest, but not
// before the time from.
func (p *Pace) SetLimit(now, from time.Duration, perSecond float64) {
	p.perSecond, p.next = perSecond, max(from, min(p.next, now+interval(perSecond)))
}

// interval returns the time between two turns.
func interval(perSecond float64) time.Duration {
	return time.Duration(math.Min(float64(time.Second)/perSecond, float64(probeInterval)))
}

// Delay returns the time until a request may be sent.
func (p *Pace) Delay(now time.Duration) time.Duration { return max(0, p.next-burstTime-now) }

// Take uses the turns of n requests.
func (p *Pace) Take(now time.Duration, n int) {
	if now-p.takenAt > quietTime {
		p.slow = slowTurns
	}
	p.takenAt = now
	p.next = p.from(now)
	for range n {
		step := interval(p.perSecond)
		if p.slow > 0 {
			p.slow--
			step = max(step, burstTime+slowInterval)
		}
		p.next += step
	}
}

// from returns the next turn, of those that can still be used.
func (p *Pace) from(now time.Duration) time.Duration {
	if p.slow > 0 {
		return max(p.next, now)
	}
	return max(p.next, now-max(catchUpTime, interval(p.perSecond)))
}

// allowance returns how many requests may be sent now.
func (p *Pace) allowance(now time.Duration) int {
	switch {
	case p.Delay(now) > 0:
		return 0
	case p.slow > 0 || now-p.takenAt > quietTime:
		return 1
	}
	return 1 + int((now+burstTime-p.from(now))/interval(p.perSecond))
}
