package connbudget

import (
	"cmp"
	"net/netip"
	"slices"
	"time"
)

// State is what a connection does.
type State uint8

// States of a connection.
const (
	Idle     State = iota // between requests, or before the first byte of one
	Header                // a header has begun to arrive
	Body                  // the handler waits for more of a body
	Working               // the request is at work, and what there is of a response was written
	Response              // a write waits until the client has taken more of the response
	Kept                  // has become a link, which has limits of its own
)

// Limits bound the progress of connections. A field that is 0 stands for its default.
type Limits struct {
	// StallTime is the time without progress after which a connection may give way to another
	// one if the budget is used up.
	StallTime time.Duration
	// Grace is how long a body may take, and a response may stand still, whatever its rate.
	Grace time.Duration
	// BodyRate is the number of bytes a second that a body must have on average after Grace.
	BodyRate int64
}

// DefaultLimits returns the limits that hold without settings. A client with 5 kB/s has five
// times the rate.
func DefaultLimits() Limits {
	return Limits{StallTime: time.Second, Grace: 20 * time.Second, BodyRate: 1000}
}

func (l Limits) withDefaults() Limits {
	d := DefaultLimits()
	return Limits{StallTime: cmp.Or(l.StallTime, d.StallTime), Grace: cmp.Or(l.Grace, d.Grace), BodyRate: cmp.Or(l.BodyRate, d.BodyRate)}
}

// Holder is a connection as the policy sees it.
type Holder struct {
	ID       uint64
	Address  netip.Addr
	State    State
	Since    time.Time // the state began
	Progress time.Time // last byte from the client, or taken by it
	Received int64     // bytes of the header or body so far
}

// lastProgress returns when a connection made progress last. Bytes that trickle into a header or
// body count only for the time that they would take at BodyRate.
func lastProgress(h Holder, l Limits) time.Time {
	if h.State != Header && h.State != Body {
		return h.Progress
	}
	paid := h.Since.Add(time.Duration(float64(h.Received) / float64(l.BodyRate) * float64(time.Second)))
	if paid.Before(h.Progress) {
		return paid
	}
	return h.Progress
}

// Overdue reports whether a connection is too slow to be kept, whatever else there is. The time
// of headers and of idle connections is limited by net/http.
func Overdue(h Holder, l Limits, now time.Time) bool {
	switch h.State {
	case Body:
		late := now.Sub(h.Since) - l.Grace
		return late > 0 && float64(h.Received) < late.Seconds()*float64(l.BodyRate)
	case Response:
		return now.Sub(h.Progress) > l.Grace
	default:
		return false
	}
}

// Victim returns which connection gives way to a new one from the given address, and whether
// there is one: the one that has made no progress for the longest time, at least for StallTime.
// If one address has more than half of all connections, only its connections give way, and to
// another address after a quarter of that time. Behind a balancer all may have the same address;
// then progress alone decides.
func Victim(holders []Holder, from netip.Addr, l Limits, now time.Time) (uint64, bool) {
	crowd, ok := majority(holders)
	if !ok {
		return longestStalled(holders, l, l.StallTime, now)
	}
	own := slices.DeleteFunc(slices.Clone(holders), func(h Holder) bool { return h.Address != crowd })
	if crowd != from {
		return longestStalled(own, l, l.StallTime/4, now)
	}
	return longestStalled(own, l, l.StallTime, now)
}

// BodyVictim returns which connection gives up the memory of its body or response, if any.
func BodyVictim(holders []Holder, l Limits, now time.Time) (uint64, bool) {
	var bodies []Holder
	for _, h := range holders {
		if h.State == Body || h.State == Response {
			bodies = append(bodies, h)
		}
	}
	return longestStalled(bodies, l, l.StallTime, now)
}

// longestStalled returns the connection that has waited for its client for the longest time, at
// least for wait. A request at work and a link do not wait for a client.
func longestStalled(holders []Holder, l Limits, wait time.Duration, now time.Time) (id uint64, ok bool) {
	var since time.Time
	for _, h := range holders {
		if h.State == Working || h.State == Kept {
			continue
		}
		if at := lastProgress(h, l); now.Sub(at) >= wait && (!ok || at.Before(since)) {
			id, since, ok = h.ID, at, true
		}
	}
	return id, ok
}

// majority returns the address that has more than half of the connections, if there is one.
func majority(holders []Holder) (netip.Addr, bool) {
	counts := make(map[netip.Addr]int)
	for _, h := range holders {
		if counts[h.Address]++; 2*counts[h.Address] > len(holders) {
			return h.Address, true
		}
	}
	return netip.Addr{}, false
}
