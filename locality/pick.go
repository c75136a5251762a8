package locality

import (
	"math"
	"time"

	"merlinhall/rendezvous"
)

// splitRate is the number of requests a second that leave a process from which on it sends them
// to several zones. With fewer it uses one: a connection that is used less than once a second
// has often been closed.
const splitRate = 10.0

// Option is a zone with a target to which a request may be sent: one that is ready, of the
// software that the request wants, not tried, not suspect and without a limit.
type Option struct {
	Zone string
	// Time is the mean response time of the zone, as the process itself has seen it, 0 if it has
	// not.
	Time time.Duration
}

// Picker picks the zones of the requests of one process to one service. It spreads them evenly
// by the shares, without chance: with few requests chance alone would fill a zone.
type Picker struct {
	picked int
}

// Request is what the choice of a zone for one request depends on.
type Request struct {
	Row
	Process string
	Rate    float64 // requests a second of the process to the service
	Options []Option
	// Refused is set if targets have refused the request.
	Refused bool
	// Crossing is the wait that costs as much as leaving the zone.
	Crossing time.Duration
	// Least is the response time of the process's own zone without a queue, 0 if not known.
	Least time.Duration
}

// Preview returns the zone that Pick would return.
func (p *Picker) Preview(r *Request) string { return r.correct(p.byShares(r)) }

// Pick returns the zone of the next request, or "" if any will do.
func (p *Picker) Pick(r *Request) string {
	zone := p.Preview(r)
	p.picked++
	return zone
}

// byShares returns the zone of the next request by the shares.
func (p *Picker) byShares(r *Request) string {
	weights, total := weightsOf(r.Row, r.Rate, r.Process, r.Options), 0.0
	for _, w := range weights {
		total += w
	}
	// Multiples of the golden ratio are spread evenly, however many there are.
	_, at := math.Modf(position(r.Process, "phase") + math.Phi*float64(p.picked))
	at *= total
	last := ""
	for i, o := range r.Options {
		if weights[i] <= 0 {
			continue
		}
		last = o.Zone
		if at -= weights[i]; at < 0 {
			break
		}
	}
	return last
}

// noticeable is the part of the response time without a queue below which a longer one counts as
// the variation of the response times. With 0.25, 3% of the requests left zones that were half
// used, with 0.35 0.6% (docs/design/locality.md).
const noticeable = 0.5

// minNoticeable is the least such difference: that of the scheduling of busy processes.
const minNoticeable = 5 * time.Millisecond

// variation returns the difference from the response time without a queue that shows none.
func variation(least time.Duration) time.Duration {
	return max(minNoticeable, time.Duration(noticeable*float64(least)))
}

// correct returns the zone to which a request goes that the shares give to the given zone, or ""
// if it goes to the best target of any zone. Shares are up to two seconds old; a process sees
// earlier that responses have become slow. The zones do not matter if the response time shows queues
// there, if a target has refused the request, or if there are too few targets anyway.
func (r *Request) correct(zone string) string {
	if r.Refused || r.Over {
		return ""
	}
	for _, o := range r.Options {
		if o.Zone == zone && r.Least > 0 && o.Time > r.Least+variation(r.Least)+r.Crossing {
			return ""
		}
	}
	return zone
}

// weightsOf returns the weight of each option. At least one is above 0.
func weightsOf(r Row, rate float64, process string, options []Option) []float64 {
	out := make([]float64, len(options))
	leave, own := r.Leave, -1
	for i, o := range options {
		if o.Zone == r.From {
			own = i
		}
	}
	if own < 0 {
		leave = 1
	}
	to := r.To
	if rate*leave < splitRate {
		to = narrow(to, process, options)
	}
	sum := 0.0
	for i, o := range options {
		for _, s := range to {
			if s.Zone == o.Zone && i != own {
				out[i] = leave * s.Part
				sum += out[i]
			}
		}
	}
	switch {
	case own >= 0 && (sum == 0 || leave < 1):
		// What would go to zones without a usable target stays.
		out[own] = 1 - sum
	case sum == 0:
		for i := range out {
			out[i] = 1
		}
	}
	return out
}

// position returns a number from 0 to 1 that depends on the two texts only.
func position(process, of string) float64 {
	return float64(rendezvous.Score(process, of)>>40) / (1 << 24)
}

// narrow returns one of the destinations that are options. Over many processes they are chosen
// in proportion to their parts.
func narrow(to []Share, process string, options []Option) []Share {
	total := 0.0
	var usable []Share
	for _, s := range to {
		for _, o := range options {
			if o.Zone == s.Zone {
				usable = append(usable, s)
				total += s.Part
			}
		}
	}
	at := position(process, "zone") * total
	for _, s := range usable {
		if at -= s.Part; at < 0 {
			return []Share{{s.Zone, 1}}
		}
	}
	return usable
}

// Seen is what a process itself sees of the targets of some zones.
type Seen struct {
	Time    time.Duration // mean response time, 0 if nothing was sent
	Least   time.Duration // the least mean of late: the time without a queue
	Refused float64       // share of the attempts that were refused or failed
}

// wait returns the wait of requests that Seen shows.
func (s Seen) wait(c Costs) time.Duration {
	if s.Refused > maxRefused {
		return max(c.Worth, s.Time-s.Least)
	}
	return max(0, s.Time-s.Least)
}

const (
	// AloneInterval is how often a process without shares from the leader decides.
	AloneInterval = 500 * time.Millisecond
	// aloneStep is the part of its requests by which a process alone raises the share that
	// leaves in one interval. Others decide the same at the same time, and it sees the effect
	// of that one interval later.
	aloneStep = 0.1
	// maxRefused is the share of refusals above which a zone counts as full.
	maxRefused = 0.1
)

// Alone returns the row of a process that hears nothing from others, after an interval: it
// sends more to other zones while its requests wait longer in its own one than they would
// there and on the way.
func Alone(before Row, own, others Seen, c Costs) Row {
	wait := own.wait(c)
	limit := others.wait(c) + c.crossing() + variation(own.Least)
	if c.Worth >= c.crossing() && own.Time > 0 && wait > limit {
		before.Leave = min(1, before.Leave+aloneStep)
		return before
	}
	next := before
	next.Leave, next.Most = 0, 1
	return Settle(before, next, AloneInterval)
}
