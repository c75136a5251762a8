package ratelimit

import (
	"time"

	"merlinhall/wire"
)

// Ask is what a process asks the control leader.
type Ask struct {
	Process string `cbor:"1,keyasint"`
	// Limits are those that have changed at the process.
	Limits []wire.TargetLimit `cbor:"2,keyasint,omitempty"`
	Wants  []Want             `cbor:"3,keyasint,omitempty"`
}

// Want is the wish to send one request to a target of a service that has a limit.
type Want struct {
	Service string   `cbor:"1,keyasint"`
	Except  []string `cbor:"2,keyasint,omitempty"` // targets that the request was sent to before
	// Patience is how long the request may wait for its turn.
	Patience time.Duration `cbor:"3,keyasint,omitempty"`
	Priority int           `cbor:"4,keyasint,omitempty"` // 0 is the most urgent
	// Only is set if the request can go to no other target, so that it comes back if it is
	// denied.
	Only bool `cbor:"5,keyasint,omitempty"`
}

// Answers are the leader's answers to the wants of an Ask, in their order.
type Answers struct {
	Answers []Answer `cbor:"1,keyasint,omitempty"`
	// Term is that of the leader. A leader of another term may not know the limits that this
	// process has told.
	Term uint64 `cbor:"2,keyasint,omitempty"`
}

// Answer grants a request or denies it.
type Answer struct {
	Target string `cbor:"1,keyasint,omitempty"` // empty if the request is denied
	// Delay is the time until the request may be sent.
	Delay time.Duration `cbor:"2,keyasint,omitempty"`
	// RetryAfter is when there is room for a denied request, behind those denied before, and
	// AskAgain when the process may ask again for the service and priority.
	RetryAfter time.Duration `cbor:"3,keyasint,omitempty"`
	AskAgain   time.Duration `cbor:"4,keyasint,omitempty"`
}

// message returns a reading for another process. Its times are ages, as clocks differ.
func (r Reading) message(now time.Duration) wire.TargetLimit {
	return wire.TargetLimit{
		Target: r.Target, StartedMs: r.StartedMs, Limited: r.Limited, PerSecond: r.PerSecond,
		SentAge: max(0, now-r.SentAt), Age: max(0, now-r.At),
	}
}

// readingOf returns the reading of a message that has arrived now, or false if it is none.
func readingOf(now time.Duration, m wire.TargetLimit) (Reading, bool) {
	valid := m.PerSecond >= 0 && m.PerSecond <= maxPerSecond && m.Age >= 0 && m.SentAge >= m.Age && m.Target != ""
	return Reading{
		Target: m.Target, StartedMs: m.StartedMs, Limited: m.Limited, PerSecond: m.PerSecond,
		SentAt: now - m.SentAge, At: now - m.Age,
	}, valid
}
