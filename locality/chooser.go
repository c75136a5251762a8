package locality

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Source says where the shares in force come from.
type Source string

// Sources of shares.
const (
	FromLeader Source = "leader" // an answer that has not expired
	FromSelf   Source = "alone"  // what the process itself sees
)

// usedTime is the time without a request after which a process does not report a service.
const usedTime = 5 * time.Second

// Chooser chooses zones for the requests of one process. It is not safe for concurrent use.
type Chooser struct {
	Process  string
	Zone     string
	Places   PlacesFunc
	Costs    Costs // without Bytes and Worth
	services map[string]*service
	term     uint64
	version  uint64
}

// service is the state of one service in a process.
type service struct {
	Counts
	picker    Picker
	row       Row
	source    Source
	learned   bool          // the leader has sent shares
	learnedAt time.Duration // when
	tickedAt  time.Duration // when the process last decided alone
	usedAt    time.Duration // of the last request
	inputs    []ZoneInput   // of the last answer
}

func (c *Chooser) service(name string) *service {
	if c.services == nil {
		c.services = make(map[string]*service)
	}
	s := c.services[name]
	if s == nil {
		s = c.newService()
		c.services[name] = s
	}
	return s
}

func (c *Chooser) newService() *service { return &service{source: FromSelf, row: Row{From: c.Zone}} }

// Arrived counts a request that arises in the process and is worth waiting for the given time.
func (c *Chooser) Arrived(now time.Duration, service string, worth time.Duration) {
	s := c.service(service)
	s.usedAt = now
	s.Arrived(now, worth)
}

// Sent counts an attempt to a target of the zone.
func (c *Chooser) Sent(now time.Duration, service, zone string) { c.service(service).Sent(now, zone) }

// Ended counts the end of an attempt.
func (c *Chooser) Ended(now time.Duration, service, zone string, took time.Duration, end End, bytes int) {
	c.service(service).Ended(now, zone, took, end, bytes)
}

// Pick returns the zone of the next attempt, or "" if any will do. zones are those with a target
// to which the request may be sent, and refused is set if targets have refused it.
func (c *Chooser) Pick(now time.Duration, service string, zones []string, refused bool) string {
	s := c.service(service)
	s.row, s.source, s.tickedAt = c.inForce(now, service, s)
	return s.picker.Pick(c.request(now, s, s.row, zones, refused))
}

// Preview returns the zone that Pick would return and the shares that it would use.
func (c *Chooser) Preview(now time.Duration, service string, zones []string, refused bool) (string, Row, Source) {
	s := c.services[service]
	if s == nil {
		s = c.newService()
	}
	row, source, _ := c.inForce(now, service, s)
	return s.picker.Preview(c.request(now, s, row, zones, refused)), row, source
}

func (c *Chooser) request(now time.Duration, s *service, row Row, zones []string, refused bool) *Request {
	costs := c.costs(s)
	options := make([]Option, len(zones))
	for i, name := range zones {
		options[i].Zone = name
		if z := s.zones[name]; z != nil {
			options[i].Time = z.mean
		}
	}
	return &Request{Row: row, Process: c.Process, Rate: s.Rate(now), Options: options, Refused: refused, Crossing: costs.crossing(), Least: s.zone(c.Zone).least}
}

// costs returns the costs for the requests of a service.
func (c *Chooser) costs(s *service) Costs {
	out := c.Costs
	out.Bytes, out.Worth = s.bytes, max(leastWorth, s.worth)
	return out
}

// inForce returns the shares in force, where they come from, and when the process last decided
// alone.
func (c *Chooser) inForce(now time.Duration, name string, s *service) (Row, Source, time.Duration) {
	switch {
	case s.learned && now-s.learnedAt <= ShareTime:
		return s.row, FromLeader, s.tickedAt
	case now-s.tickedAt < AloneInterval && s.source == FromSelf:
		return s.row, FromSelf, s.tickedAt
	}
	own, others := s.Seen(now, c.Zone)
	row := Alone(s.row, own, others, c.costs(s))
	row.From, row.To, row.Over = c.Zone, c.byPlaces(name), false
	return row, FromSelf, now
}

// byPlaces divides what leaves the zone by the places of the other zones.
func (c *Chooser) byPlaces(service string) []Share {
	places, total := c.Places(service), 0.0
	for zone, n := range places {
		if zone != c.Zone {
			total += n
		}
	}
	var out []Share
	for _, zone := range slices.Sorted(maps.Keys(places)) {
		if zone != c.Zone && places[zone] > 0 {
			out = append(out, Share{zone, places[zone] / total})
		}
	}
	return out
}

// Report returns what the leader is to be told, or nil if the process has had no requests of
// late.
func (c *Chooser) Report(now time.Duration) *Report {
	out := &Report{Process: c.Process, Zone: c.Zone}
	for _, name := range slices.Sorted(maps.Keys(c.services)) {
		if s := c.services[name]; s.Rate(now) > 0 && now-s.usedAt <= usedTime {
			out.Services = append(out.Services, s.Report(now, name))
		}
	}
	slices.SortStableFunc(out.Services, func(a, b ServiceReport) int { return cmp.Compare(b.Arrivals, a.Arrivals) })
	out.Services = out.Services[:min(len(out.Services), maxServices)]
	if len(out.Services) == 0 {
		return nil
	}
	return out
}

// Learn takes an answer of the leader.
func (c *Chooser) Learn(now time.Duration, a *Answers) {
	if a.Learning || a.Term < c.term || a.Term == c.term && a.Version < c.version {
		return // the last shares stay in force
	}
	c.term, c.version = a.Term, a.Version
	for _, in := range a.Services[:min(len(a.Services), maxServices)] {
		s := c.service(in.Service)
		s.row = Row{From: c.Zone, Leave: min(1, max(0, in.Leave)), To: in.To, Over: in.Over}
		s.learned, s.learnedAt, s.inputs, s.source = true, now, in.Inputs, FromLeader
	}
}
