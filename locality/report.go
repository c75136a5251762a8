package locality

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// meterTime is the time over which rates and means are taken. It is above the interval of
	// reports, and a wave of load shows within a second.
	meterTime = time.Second
	// maxServices and maxZones bound a report.
	maxServices = 8
	maxZones    = 10
)

// Report is what one process tells the control leader. All values are rates and means, so the
// next report replaces one that is lost.
type Report struct {
	Process  string          `cbor:"1,keyasint"`
	Zone     string          `cbor:"2,keyasint"`
	Services []ServiceReport `cbor:"3,keyasint,omitempty"` // those with the most requests
}

// ServiceReport is the part of one service in a report.
type ServiceReport struct {
	Service  string       `cbor:"1,keyasint"`
	Arrivals float64      `cbor:"2,keyasint"`           // requests a second
	Bytes    float64      `cbor:"3,keyasint,omitempty"` // of a request and its response
	Worth    uint32       `cbor:"4,keyasint,omitempty"` // in ms, the longest wait that a request is worth
	Zones    []ZoneReport `cbor:"5,keyasint,omitempty"` // by the zone of the targets
}

// ZoneReport is what a process sees of the targets of one zone.
type ZoneReport struct {
	Zone        string  `cbor:"1,keyasint"`
	Outstanding float64 `cbor:"2,keyasint"`           // mean number of requests of the process there
	Answered    float64 `cbor:"3,keyasint"`           // requests a second
	Refused     float64 `cbor:"4,keyasint,omitempty"` // attempts a second that were refused or failed
}

// Answers are the shares for the zone of a process.
type Answers struct {
	Term    uint64 `cbor:"1,keyasint"`
	Version uint64 `cbor:"2,keyasint"` // rises within the term as shares change
	// Learning is set while a new leader has not heard of all processes; it has no shares.
	Learning bool `cbor:"3,keyasint,omitempty"`
	// Interval is the time until the next report.
	Interval time.Duration   `cbor:"4,keyasint"`
	Services []ServiceAnswer `cbor:"5,keyasint,omitempty"`
}

// ServiceAnswer has the shares of one service and the inputs from which they were computed.
type ServiceAnswer struct {
	Service string      `cbor:"1,keyasint"`
	Leave   float64     `cbor:"2,keyasint,omitempty"`
	To      []Share     `cbor:"3,keyasint,omitempty"`
	Inputs  []ZoneInput `cbor:"4,keyasint,omitempty"`
	Over    bool        `cbor:"5,keyasint,omitempty"`
}

// ZoneInput is Zone in messages.
type ZoneInput struct {
	Zone     string        `cbor:"1,keyasint" json:"zone"`
	Places   float64       `cbor:"2,keyasint" json:"places"`
	Arrivals float64       `cbor:"3,keyasint" json:"arrivals"`
	RunTime  time.Duration `cbor:"4,keyasint" json:"run_time"`
	Age      time.Duration `cbor:"5,keyasint" json:"age"`
}

// meter is a rate a second of events, or a mean, over meterTime.
type meter struct {
	value float64
	at    time.Duration
}

func (m *meter) decay(now time.Duration) float64 {
	factor := 1.0
	if now > m.at {
		factor = math.Exp(-(now - m.at).Seconds() / meterTime.Seconds())
		m.at = now
	}
	m.value *= factor
	return factor
}

// add counts events.
func (m *meter) add(now time.Duration, n float64) {
	m.decay(now)
	m.value += n / meterTime.Seconds()
}

// hold adds the time since the last call, in which the value was v, to a mean.
func (m *meter) hold(now time.Duration, v float64) { m.value += v * (1 - m.decay(now)) }

func (m *meter) rate(now time.Duration) float64 {
	m.decay(now)
	return m.value
}

// zoneCounts are the requests of a process to the targets of one zone.
type zoneCounts struct {
	outstanding int
	held        meter // outstanding
	answered    meter
	refused     meter
	mean, least time.Duration // of response times
}

// End is how an attempt ended.
type End int

// Ends of attempts.
const (
	Answered End = iota
	Refused      // refused or failed
	GivenUp      // another attempt answered, or the caller left
)

// leastGain is how fast the least response time follows higher ones, for each response: the
// requests or the targets have changed.
const leastGain = 0.002

// meanGain is the weight of a response in the mean. With 0.1, waves of 4 s make requests wait 4.7 ms
// instead of 3.8, and with 0.3, 0.4% of the requests leave half-used zones.
const meanGain = 0.2

func (z *zoneCounts) note(now, took time.Duration, end End) {
	z.held.hold(now, float64(z.outstanding))
	z.outstanding--
	switch end {
	case Refused:
		z.refused.add(now, 1)
		return
	case GivenUp:
		return
	}
	z.answered.add(now, 1)
	if z.mean == 0 {
		z.mean, z.least = took, took
	}
	z.mean += time.Duration(meanGain * float64(took-z.mean))
	if z.least = min(z.least, z.mean); z.mean > z.least {
		z.least += time.Duration(leastGain * float64(z.mean-z.least))
	}
}

// seen adds up what the process sees of some zones.
func seen(now time.Duration, zones []*zoneCounts) Seen {
	var s Seen
	answered, refused := 0.0, 0.0
	for _, z := range zones {
		a := z.answered.rate(now)
		answered += a
		refused += z.refused.rate(now)
		s.Time += time.Duration(a * float64(z.mean))
		s.Least += time.Duration(a * float64(z.least))
	}
	if total := answered + refused; total > 0 {
		s.Refused = refused / total
	}
	if answered <= 0 {
		return Seen{Refused: s.Refused}
	}
	s.Time, s.Least = time.Duration(float64(s.Time)/answered), time.Duration(float64(s.Least)/answered)
	return s
}

// Counts are the requests of a process to one service.
type Counts struct {
	arrivals meter
	bytes    float64 // moving mean
	worth    time.Duration
	zones    map[string]*zoneCounts
}

func (c *Counts) zone(name string) *zoneCounts {
	if c.zones == nil {
		c.zones = make(map[string]*zoneCounts)
	}
	z := c.zones[name]
	if z == nil {
		z = &zoneCounts{}
		c.zones[name] = z
	}
	return z
}

// Arrived counts a request that arises in the process.
func (c *Counts) Arrived(now, worth time.Duration) {
	c.arrivals.add(now, 1)
	c.worth = worth
}

// Sent counts an attempt to a target of the zone.
func (c *Counts) Sent(now time.Duration, zone string) {
	z := c.zone(zone)
	z.held.hold(now, float64(z.outstanding))
	z.outstanding++
}

// Ended counts the end of an attempt.
func (c *Counts) Ended(now time.Duration, zone string, took time.Duration, end End, bytes int) {
	c.zone(zone).note(now, took, end)
	if end == Answered {
		c.bytes += meanGain * (float64(bytes) - c.bytes)
	}
}

// Rate returns the requests a second that arise in the process.
func (c *Counts) Rate(now time.Duration) float64 { return c.arrivals.rate(now) }

// Report returns the part of the service in a report.
func (c *Counts) Report(now time.Duration, service string) ServiceReport {
	out := ServiceReport{Service: service, Arrivals: c.arrivals.rate(now), Bytes: c.bytes, Worth: uint32(c.worth.Milliseconds())}
	for _, name := range slices.Sorted(maps.Keys(c.zones)) {
		z := c.zones[name]
		z.held.hold(now, float64(z.outstanding))
		out.Zones = append(out.Zones, ZoneReport{Zone: name, Outstanding: z.held.rate(now), Answered: z.answered.rate(now), Refused: z.refused.rate(now)})
	}
	slices.SortStableFunc(out.Zones, func(a, b ZoneReport) int { return cmp.Compare(b.Outstanding, a.Outstanding) })
	out.Zones = out.Zones[:min(len(out.Zones), maxZones)]
	return out
}

// Seen returns what the process sees of its own zone and of the others.
func (c *Counts) Seen(now time.Duration, zone string) (own, others Seen) {
	var rest []*zoneCounts
	for name, z := range c.zones {
		if name != zone {
			rest = append(rest, z)
		}
	}
	return seen(now, []*zoneCounts{c.zone(zone)}), seen(now, rest)
}
