package batch

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"merlinhall/locality"
)

const (
	// carrierPlaces is the number of runs of a carrier up to which its zone has free capacity: all
	// 392 slots of the engines of the tight deployment on its 12 control hosts, 33 each.
	carrierPlaces = 33
	// zonePlanTime and zonePlanRuns are the time and the change of the number of runs after which
	// the shares of the zones are computed again.
	zonePlanTime = 100 * time.Millisecond
	zonePlanRuns = 8
	// eventInterval is the time between two events of a run, each of which a carrier handles.
	eventInterval = 50 * time.Millisecond
	// carrierWorth is the wait that a text is worth: less than the least objective of requests.
	carrierWorth = 50 * time.Millisecond
)

// zonePlan is the last decision on the zones of the carriers.
type zonePlan struct {
	at    time.Time
	runs  int
	zones []string // of usable carriers
	rows  map[string]locality.Row
	// logged are the shares that leave as they were last logged, and loggedAt is when.
	logged   map[string]float64
	loggedAt time.Time
}

// carrierFor returns the carrier for a run on an engine in the given zone, or for one without an
// engine, whose start has the given size, or nil if none is usable or has room for it.
func (r *Runner) carrierFor(now time.Time, zone string, size int) *carrierView {
	if r.o.Locality == nil || zone == "" {
		return chooseCarrier(now, r.carriers, zone, size)
	}
	in := r.carrierZone(now, zone)
	nearest := slices.DeleteFunc(slices.Clone(r.carriers), func(c *carrierView) bool { return c.zone != in || c.local })
	if c := chooseCarrier(now, nearest, "", size); c != nil {
		return c
	}
	return chooseCarrier(now, r.carriers, zone, size)
}

// carrierZone returns the zone of the carrier for the next run on an engine in the given zone: the
// one that is furthest below its share of the runs on that zone's engines.
func (r *Runner) carrierZone(now time.Time, zone string) string {
	counts, total, runs := r.runsByZone(now, zone)
	r.planZones(now, runs)
	row := r.zonePlan.rows[zone]
	best, bestGap := zone, (1-row.Leave)*float64(total+1)-float64(counts[zone])
	if !slices.Contains(r.zonePlan.zones, zone) {
		bestGap = -1e9
	}
	for _, s := range row.To {
		if gap := row.Leave*s.Part*float64(total+1) - float64(counts[s.Zone]); gap > bestGap && row.Leave > 0 {
			best, bestGap = s.Zone, gap
		}
	}
	return best
}

// runsByZone returns the runs on engines of a zone by the zone of their usable carrier, their
// number, and that of all runs.
func (r *Runner) runsByZone(now time.Time, zone string) (counts map[string]int, total, all int) {
	counts = make(map[string]int)
	for _, c := range r.carriers {
		all += len(c.runs)
		if !c.usable(now) {
			continue
		}
		for _, run := range c.runs {
			if run.engineZone == zone {
				counts[c.zone]++
				total++
			}
		}
	}
	return counts, total, all
}

// planZones computes the shares of the zones anew if they are not recent.
func (r *Runner) planZones(now time.Time, runs int) {
	p := &r.zonePlan
	if p.rows != nil && now.Sub(p.at) < zonePlanTime && max(runs-p.runs, p.runs-runs) < zonePlanRuns {
		return
	}
	places, arrivals := make(map[string]float64), make(map[string]float64)
	for _, c := range r.carriers {
		if c.usable(now) && !c.local {
			places[c.zone] += carrierPlaces
		}
		for _, run := range c.runs {
			if run.engineZone != "" {
				arrivals[run.engineZone] += 1 / eventInterval.Seconds()
			}
		}
	}
	p.at, p.runs, p.zones = now, runs, slices.Sorted(maps.Keys(places))
	for _, e := range r.engines {
		arrivals[e.zone] += 0 // zones without runs have a row too
	}
	for zone := range places {
		arrivals[zone] += 0
	}
	var zones []locality.Zone
	for _, name := range slices.Sorted(maps.Keys(arrivals)) {
		zones = append(zones, locality.Zone{Name: name, Places: places[name], Arrivals: arrivals[name], RunTime: eventInterval})
	}
	costs := *r.o.Locality
	costs.Worth = carrierWorth
	before := p.rows
	p.rows = make(map[string]locality.Row)
	for _, row := range locality.Decide(zones, costs) {
		if former, ok := before[row.From]; ok && places[row.From] > 0 {
			row = locality.Settle(former, row, zonePlanTime)
		}
		p.rows[row.From] = row
	}
	r.logZones(now, zones)
}

const (
	// zoneLogChange is the change of a share that is logged, and zoneLogInterval the least time
	// between two such looks.
	zoneLogChange   = 0.1
	zoneLogInterval = time.Second
)

// logZones logs the shares that have changed with the inputs of the decision.
func (r *Runner) logZones(now time.Time, zones []locality.Zone) {
	p := &r.zonePlan
	if now.Sub(p.loggedAt) < zoneLogInterval {
		return
	}
	changed := make(map[string]float64)
	for zone, row := range p.rows {
		if math.Abs(row.Leave-p.logged[zone]) >= zoneLogChange {
			changed[zone] = row.Leave
		}
	}
	if len(changed) == 0 {
		return
	}
	logged := maps.Clone(p.logged)
	if logged == nil {
		logged = make(map[string]float64)
	}
	maps.Copy(logged, changed)
	r.log.WithFields(logrus.Fields{"leave": changed, "before": p.logged, "inputs": zones, "runs": p.runs}).Info("share of runs read from other zones has changed")
	p.logged, p.loggedAt = logged, now
}
