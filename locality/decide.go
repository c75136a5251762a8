// Package locality decides which share of the requests of each zone leaves it, and to which
// zones they go. The decision is pure: time, inputs and former shares are parameters. The
// control leader computes the shares from the reports of all processes; a process that hears
// nothing of them decides alone. See docs/design/locality.md.
package locality

import (
	"math"
	"time"
)

// Zone is the part of one zone in a service.
type Zone struct {
	Name string
	// Places is the number of requests that its usable targets run at the same time.
	Places float64
	// Arrivals is the number of requests a second that arise in the zone.
	Arrivals float64
	// RunTime is how long a request holds a place there, 0 if that is not known.
	RunTime time.Duration
	// Age is the age of the oldest report that counts.
	Age time.Duration
}

// Costs are the costs of leaving a zone.
type Costs struct {
	RoundTrip time.Duration // between zones, in addition to that within one
	ByteCost  float64       // of a byte between zones, in units of byteTime
	Bytes     float64       // of a request and its response
	// Worth is the longest wait that the request is worth.
	Worth time.Duration
}

const (
	// DefaultRoundTrip is the round trip between zones of the deployments in
	// docs/design/demands.md.
	DefaultRoundTrip = time.Millisecond
	// DefaultByteCost is the cost of a byte between zones in units of byteTime.
	DefaultByteCost = 1.0
	// byteTime is the wait that costs as much as one unit of byte cost: the time that a byte
	// takes at 100 Mbit/s, the link of an entry host.
	byteTime = 80 * time.Nanosecond
	// pooling is the power of a zone's places that act as the servers of one queue. Processes do
	// not know the others' requests, which costs the more the larger the zone is: with 1, the
	// waits of three zones of 120 places differed by 3.5 ms, with 0.5 for all sizes small zones
	// send away what they could run.
	pooling = 0.75
	// minPart is the least part of a zone's traffic that leaves it. A smaller one costs more
	// in new connections than it saves in waiting.
	minPart = 0.005
	// searchSteps halve an interval far below the accuracy of the inputs.
	searchSteps = 24
)

// crossing returns the wait that costs as much as leaving the zone.
func (c Costs) crossing() time.Duration {
	return c.RoundTrip + time.Duration(c.ByteCost*c.Bytes*float64(byteTime))
}

// Share is a part of the requests that leave a zone.
type Share struct {
	Zone string  `cbor:"1,keyasint" json:"zone"`
	Part float64 `cbor:"2,keyasint" json:"part"`
}

// Row says what becomes of the requests that arise in one zone.
type Row struct {
	From string
	// Leave is the share of the requests that leaves the zone, and Most the share up to which
	// the other zones have free capacity.
	Leave float64
	Most  float64
	// To divides what leaves among the other zones, by their free capacity. It is set also if
	// nothing leaves, for requests that targets of their own zone have refused.
	To []Share
	// Over is set if the service gets more than all its targets can run. Which of them is full
	// changes faster than shares do, so each request goes to the best target of any zone.
	Over bool
}

// Decide returns a row for each zone. Requests leave a zone as far as they would wait longer
// there than in other zones and on the way. The shares balance the zones: a request is sent to a
// zone up to the same wait everywhere, so that all processes together do not overfill a zone
// that is empty now.
func Decide(zones []Zone, c Costs) []Row {
	p := newProblem(zones, c)
	level, balanced := p.level()
	excess, free := make([]float64, len(zones)), make([]float64, len(zones))
	for i := range zones {
		if balanced {
			excess[i] = max(0, zones[i].Arrivals-p.capacity(i, level+p.crossing))
			free[i] = max(0, p.capacity(i, level)-zones[i].Arrivals)
		} else {
			excess[i] = max(0, zones[i].Arrivals-p.evenUse*p.rates[i])
			free[i] = max(0, p.evenUse*p.rates[i]-zones[i].Arrivals)
		}
	}
	return p.rows(excess, free, !balanced)
}

// problem is one decision.
type problem struct {
	zones    []Zone
	rates    []float64 // requests a second that the zone can run
	runTimes []float64 // in seconds
	crossing float64   // in seconds
	worth    float64   // in seconds
	evenUse  float64   // utilization if all zones had the same
	total    float64   // arrivals
	known    bool      // some run time is known
}

func newProblem(zones []Zone, c Costs) *problem {
	p := &problem{zones: zones, rates: make([]float64, len(zones)), runTimes: make([]float64, len(zones)), crossing: c.crossing().Seconds(), worth: c.Worth.Seconds()}
	sum, weight := 0.0, 0.0
	for _, z := range zones {
		if z.RunTime > 0 {
			sum += z.RunTime.Seconds() * z.Places
			weight += z.Places
		}
	}
	p.known = sum > 0
	capacity := 0.0
	for i, z := range zones {
		p.total += z.Arrivals
		p.runTimes[i] = z.RunTime.Seconds()
		if z.RunTime == 0 && p.known {
			p.runTimes[i] = sum / weight
		}
		if z.Places > 0 && p.runTimes[i] > 0 {
			p.rates[i] = z.Places / p.runTimes[i]
		} else {
			p.rates[i] = z.Places // only used to divide what arises in zones without targets
		}
		capacity += p.rates[i]
	}
	if capacity > 0 {
		p.evenUse = p.total / capacity
	}
	return p
}

// capacity returns the requests a second up to which requests of zone i wait at most the given
// time on average.
func (p *problem) capacity(i int, wait float64) float64 {
	if p.rates[i] == 0 {
		return 0
	}
	if !p.known {
		return math.Inf(1)
	}
	servers := serversOf(p.zones[i].Places)
	low, high := 0.0, 1.0
	for range searchSteps {
		if u := (low + high) / 2; waitAt(u, servers, p.runTimes[i]) <= wait {
			low = u
		} else {
			high = u
		}
	}
	return low * p.rates[i]
}

// serversOf returns the number of servers of a queue that is like the places of a zone.
func serversOf(places float64) float64 { return max(1, math.Pow(places, pooling)) }

// waitAt approximates the mean wait at a utilization below 1, as in a queue with several
// servers (Sakasegawa 1977).
func waitAt(u, servers, runTime float64) float64 {
	if u <= 0 {
		return 0
	}
	return runTime * math.Pow(u, math.Sqrt(2*(servers+1))-1) / (servers * (1 - u))
}

// level returns the least wait in the zones that receive requests at which they take all that
// leaves the others. It returns false if there is none up to the wait that a request is worth.
func (p *problem) level() (wait float64, balanced bool) {
	fits := func(w float64) bool {
		excess, free := 0.0, 0.0
		for i, z := range p.zones {
			excess += max(0, z.Arrivals-p.capacity(i, w+p.crossing))
			free += max(0, p.capacity(i, w)-z.Arrivals)
		}
		return excess <= free
	}
	if fits(0) {
		return 0, true
	}
	if !fits(p.worth) {
		return 0, false
	}
	low, high := 0.0, p.worth
	for range searchSteps {
		if w := (low + high) / 2; fits(w) {
			high = w
		} else {
			low = w
		}
	}
	return high, true
}

// rows returns the rows for what leaves each zone and what each can take.
func (p *problem) rows(excess, free []float64, over bool) []Row {
	spare := 0.0 // that the other zones could take without making their own requests wait
	for i, z := range p.zones {
		spare += max(0, min(p.capacity(i, p.crossing), p.rates[i])-z.Arrivals) - excess[i]
	}
	out := make([]Row, len(p.zones))
	for i, z := range p.zones {
		r := Row{From: z.Name, Over: over}
		// A request that is not worth the way leaves only if its zone has no target.
		if z.Arrivals > 0 && (p.worth >= p.crossing || z.Places == 0) {
			r.Leave = min(1, excess[i]/z.Arrivals)
		}
		if z.Places == 0 {
			r.Leave = 1
		}
		if r.Leave < minPart {
			r.Leave = 0
		}
		r.Most = r.Leave
		if p.total > 0 {
			r.Most = min(1, r.Leave+max(0, spare)/p.total)
		}
		r.To = p.destinations(i, free)
		out[i] = r
	}
	return out
}

// destinations divides what leaves zone i in proportion to free, or to what the zones could
// take up to the cost of leaving, or to what they can run.
func (p *problem) destinations(i int, free []float64) (to []Share) {
	below, all := make([]float64, len(free)), make([]float64, len(free))
	for j, z := range p.zones {
		below[j] = max(0, min(p.capacity(j, p.crossing), p.rates[j])-z.Arrivals)
		all[j] = p.rates[j]
	}
	for _, parts := range [][]float64{free, below, all} {
		total := 0.0
		for j, f := range parts {
			if j != i && !math.IsInf(f, 1) {
				total += f
			}
		}
		if total <= 0 {
			continue
		}
		for j, f := range parts {
			if j != i && !math.IsInf(f, 1) && f/total >= minPart {
				to = append(to, Share{p.zones[j].Name, f / total})
			}
		}
		return to
	}
	return nil
}

// fallTime is the time in which a share falls to a third. A report is up to one interval old,
// and the traffic of a second varies: with an immediate fall, shares near the limit would come
// and go with each report, and so would the connections to the other zones.
const fallTime = 2 * time.Second

// Settle returns the row that follows before after the time since: the share that leaves rises
// at once and falls slowly, as far as the other zones have free capacity.
func Settle(before, next Row, since time.Duration) Row {
	if next.Leave >= before.Leave {
		return next
	}
	slow := before.Leave * math.Exp(-since.Seconds()/fallTime.Seconds())
	next.Leave = max(next.Leave, min(slow, next.Most))
	if next.Leave < minPart {
		next.Leave = 0
	}
	return next
}
