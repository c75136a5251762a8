package locality

import (
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// minInterval is the time between two reports of a process in a small deployment.
	minInterval = 500 * time.Millisecond
	// reportCost is the time between two reports of all processes together: 200 a second, each
	// well below 50 microseconds, are 1% of a core of the leader.
	reportCost = 5 * time.Millisecond
	// ShareTime is how long shares stay in force without newer ones, and reports count.
	ShareTime = 5 * time.Second
	// learnTime is how long a new leader hears reports before it gives out shares.
	learnTime = time.Second
	// decideInterval is the least time between two computations of the shares of a service, of
	// which each takes the reports of all processes.
	decideInterval = 250 * time.Millisecond
	// minAnswered is the number of responses a second from which the run time of a zone is
	// computed.
	minAnswered = 2.0
	// leastWorth is the wait that requests of unknown worth are worth.
	leastWorth = 50 * time.Millisecond
)

// PlacesFunc returns the places of the ready targets of a service by zone.
type PlacesFunc func(service string) map[string]float64

// Leader computes the shares from the reports of all processes. It is not safe for concurrent
// use.
type Leader struct {
	Places   PlacesFunc
	Costs    Costs // without Bytes and Worth
	term     uint64
	since    time.Duration
	reports  map[string]heard // by process
	services map[string]*decided
	version  uint64
	// expiredAt is when old reports were last looked for.
	expiredAt time.Duration
}

// heard is a report and when it arrived.
type heard struct {
	Report
	at time.Duration
}

// decided is the last decision on a service.
type decided struct {
	at    time.Duration
	zones []Zone
	rows  []Row
}

// Lead begins a term, or ends the leadership with term 0.
func (l *Leader) Lead(now time.Duration, term uint64) {
	if term != l.term {
		*l = Leader{Places: l.Places, Costs: l.Costs, term: term, since: now}
	}
}

// Handle takes a report and returns the shares for the zone of its process.
func (l *Leader) Handle(now time.Duration, in *Report) *Answers {
	if l.reports == nil {
		l.reports, l.services = make(map[string]heard), make(map[string]*decided)
	}
	in.Services = in.Services[:min(len(in.Services), maxServices)]
	for i := range in.Services {
		in.Services[i].Zones = in.Services[i].Zones[:min(len(in.Services[i].Zones), maxZones)]
	}
	l.reports[in.Process] = heard{*in, now}
	if now-l.expiredAt >= decideInterval {
		l.expiredAt = now
		maps.DeleteFunc(l.reports, func(_ string, r heard) bool { return now-r.at > ShareTime })
	}
	out := &Answers{Term: l.term, Interval: max(minInterval, time.Duration(len(l.reports))*reportCost)}
	if now-l.since < learnTime {
		out.Learning = true
		return out
	}
	for _, s := range in.Services {
		d := l.decide(now, s.Service, out.Interval)
		a := ServiceAnswer{Service: s.Service}
		for i, z := range d.zones {
			if z.Name == in.Zone {
				a.Leave, a.To, a.Over = d.rows[i].Leave, d.rows[i].To, d.rows[i].Over
			}
			a.Inputs = append(a.Inputs, ZoneInput{z.Name, z.Places, z.Arrivals, z.RunTime, z.Age})
		}
		out.Services = append(out.Services, a)
	}
	out.Version = l.version
	return out
}

// decide returns the decision on a service, which it computes if it is older than half of the
// interval of reports.
func (l *Leader) decide(now time.Duration, service string, interval time.Duration) *decided {
	before := l.services[service]
	if before != nil && now-before.at < max(decideInterval, interval/2) {
		return before
	}
	zones, costs := l.inputs(now, service)
	d := &decided{at: now, zones: zones, rows: Decide(zones, costs)}
	changed := before == nil
	for i, r := range d.rows {
		if before != nil {
			if j := slices.IndexFunc(before.rows, func(o Row) bool { return o.From == r.From }); j >= 0 {
				d.rows[i] = Settle(before.rows[j], r, now-before.at)
				changed = changed || math.Abs(d.rows[i].Leave-before.rows[j].Leave) >= minPart
			}
		}
	}
	if changed {
		l.version++
	}
	l.services[service] = d
	return d
}

// zoneSum adds up the reports on one zone.
type zoneSum struct {
	arrivals, outstanding, answered, refused float64
	age                                      time.Duration
}

// inputs returns the inputs of the decision on a service.
func (l *Leader) inputs(now time.Duration, service string) ([]Zone, Costs) {
	places := l.Places(service)
	sums := make(map[string]*zoneSum)
	sum := func(zone string) *zoneSum {
		if sums[zone] == nil {
			sums[zone] = &zoneSum{}
		}
		return sums[zone]
	}
	for zone := range places {
		sum(zone)
	}
	costs := l.Costs
	bytes, total, worth := 0.0, 0.0, 0.0
	for _, process := range slices.Sorted(maps.Keys(l.reports)) { // sums do not depend on the order of the map
		r := l.reports[process]
		for _, s := range r.Services {
			if s.Service != service {
				continue
			}
			own := sum(r.Zone)
			own.arrivals += s.Arrivals
			own.age = max(own.age, now-r.at)
			bytes += s.Bytes * s.Arrivals
			worth += float64(s.Worth) * s.Arrivals
			total += s.Arrivals
			for _, z := range s.Zones {
				to := sum(z.Zone)
				to.outstanding += z.Outstanding
				to.answered += z.Answered
				to.refused += z.Refused
			}
		}
	}
	costs.Worth = leastWorth
	if total > 0 {
		costs.Bytes = bytes / total
		costs.Worth = max(leastWorth, time.Duration(worth/total*float64(time.Millisecond)))
	}
	var zones []Zone
	for name, s := range sums {
		z := Zone{Name: name, Places: places[name], Arrivals: s.arrivals, Age: s.age}
		// The utilization law: the mean number of places in use is the rate times the run time. A
		// zone that refuses much runs no more than what it answers.
		used, full := min(s.outstanding, z.Places), s.refused > maxRefused*(s.answered+s.refused) && s.refused >= minAnswered
		switch {
		case full && s.answered < minAnswered:
			z.Places = 0
		case full:
			used = z.Places
		}
		if s.answered >= minAnswered {
			z.RunTime = time.Duration(used / s.answered * float64(time.Second))
		}
		zones = append(zones, z)
	}
	slices.SortFunc(zones, func(a, b Zone) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	return zones, costs
}
