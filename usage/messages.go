// Package usage counts the requests that targets begin for each client account. A Meter in
// each entry counts, the Collector of the control leader adds up the windows, has each fixed
// in the replicated log, and then reports it.
package usage

import "time"

// Report is what a process tells the control leader: the counts of all windows that are not
// fixed, so that a report may be lost or repeated, and its time of day.
type Report struct {
	Process string `cbor:"1,keyasint"`
	Boot    string `cbor:"2,keyasint"`
	// TimeOfDay is the sender's clock in ns since 1970 when it was sent, and Delay half
	// of the shortest round trip to the leader in ns.
	TimeOfDay int64 `cbor:"3,keyasint"`
	Delay     int64 `cbor:"4,keyasint,omitempty"`
	// Settled is the newest window of which nothing can change any more at the sender.
	Settled int64          `cbor:"5,keyasint,omitempty"`
	Windows []WindowCounts `cbor:"6,keyasint,omitempty"`
	// Counts is set by processes that count requests. Others only tell the time.
	Counts bool `cbor:"7,keyasint,omitempty"`
	// Sequence is the number of the report within the run. Reports may overtake each other.
	Sequence uint64 `cbor:"8,keyasint,omitempty"`
}

// WindowCounts are the requests of one window by account.
type WindowCounts struct {
	Window int64          `cbor:"1,keyasint"`
	Counts map[string]int `cbor:"2,keyasint"`
}

// Reply is the leader's answer.
type Reply struct {
	// Time is the leader's estimate of the true time in ns since 1970, or 0 if it has none.
	Time int64 `cbor:"1,keyasint,omitempty"`
	// Fixed is the newest window that is fixed, or 0.
	Fixed int64 `cbor:"2,keyasint,omitempty"`
}

// windowOf returns the number of the window of the given length that contains t.
func windowOf(t time.Time, length time.Duration) int64 { return t.UnixNano() / int64(length) }

// windowEnd returns the time at which a window ends.
func windowEnd(window int64, length time.Duration) time.Time {
	return time.Unix(0, (window+1)*int64(length))
}
