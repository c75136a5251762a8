package batch

import (
	"maps"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"merlinhall/targetcapacity"
)

const (
	// speedInterval is the least time between two samples of each run for the speed of its engine:
	// three ticks, less what they come early. It is below eventTimeInterval so that an engine that
	// has become slower is known within 1 s.
	speedInterval = 3*tickInterval - 10*time.Millisecond
	// speedSettleTime is how long the engines of a service must have differed before their speeds
	// are used. A new leader, which has no samples, waits for that as well.
	speedSettleTime = 3 * time.Second
	// speedKeepTime is how long engines that no longer differ are divided by capacity, with all
	// speeds 1, so that a spread that moves about the limit does not cost loads each time.
	speedKeepTime = 10 * time.Second
	// speedChangeInterval is the least time between two changes of a division that only improve
	// it. Each costs loads of expectedLoadTime, and shows its effect after them.
	speedChangeInterval = 2 * time.Second
)

// engineSpeeds measures the speeds of the engines and says when they are used.
type engineSpeeds struct {
	measured  targetcapacity.Services
	sampledAt time.Time
	services  map[string]*speedUse
}

// speedUse says whether the engines of a service are divided by their speeds.
type speedUse struct {
	since     time.Time // when their spread reached the limit; zero while it is below
	lastAbove time.Time // when it was last at the limit or above, while in use
	inUse     bool
	changedAt time.Time // last change that only improved the division
}

// sample adds the times per event of the runs since the last call for them. Runs without a first
// event then are left out, and engines that load weights.
func (s *engineSpeeds) sample(now time.Time, running []*task, engines map[string]*engine) {
	for _, t := range running {
		if t.run == nil || t.cancelled() {
			continue
		}
		events, at := t.run.speedEvents, t.run.speedAt
		t.run.speedEvents, t.run.speedAt = t.run.events, t.run.lastEventAt
		e := engines[t.engine]
		if at.IsZero() || e == nil || e.load != nil || e.startedMs != t.run.engineStartedMs {
			continue
		}
		m := targetcapacity.Sample{Target: e.id, Start: e.startedMs, Load: e.running, At: now}
		if n := t.run.events - events; n > 0 {
			m.Took = t.run.lastEventAt.Sub(at) / time.Duration(n)
		} else if idle := t.run.idle(now); idle > eventTimeInterval {
			m.Took = idle // within less, the next event may be there and not yet reported
		}
		s.measured.Service(e.software.Service).Add(m)
	}
}

// update decides for each service whether speeds are used, and sets those of the engines.
func (s *engineSpeeds) update(now time.Time, engines []*engine) {
	if s.services == nil {
		s.services = make(map[string]*speedUse)
	}
	list := make(map[string]*targetcapacity.Ranking)
	for _, e := range engines {
		service := e.software.Service
		if list[service] == nil {
			list[service] = s.measured.Service(service).Rank(now)
			if s.services[service] == nil {
				s.services[service] = &speedUse{}
			}
			s.services[service].update(now, list[service].InForce())
		}
		e.speed = 0
		if s.services[service].inUse && list[service].InForce() {
			e.speed = list[service].SpeedOf(e.id)
		}
	}
	maps.DeleteFunc(s.services, func(service string, _ *speedUse) bool { return list[service] == nil })
}

func (u *speedUse) update(now time.Time, above bool) {
	switch {
	case !above:
		u.since = time.Time{}
		u.inUse = u.inUse && now.Sub(u.lastAbove) <= speedKeepTime
		return
	case u.since.IsZero():
		u.since = now
	}
	if u.inUse = u.inUse || now.Sub(u.since) >= speedSettleTime; u.inUse {
		u.lastAbove = now
	}
}

// relativeSpeed returns the engine's speed, or 1 if speeds are not used.
func (e *engine) relativeSpeed() float64 {
	if e.speed == 0 {
		return 1
	}
	return e.speed
}

// divide assigns the engines to models: by their speeds where these are used.
func (r *Runner) divide(now time.Time, newest map[string]uint64) map[string]string {
	if !r.o.MeasuredCapacity {
		return assignModels(now, r.engines, r.demand, newest, r.assignedModels)
	}
	return assignEach(r.engines, r.demand, newest, func(service string, engines []*engine, demand map[string]modelDemand) map[string]string {
		use := r.speeds.services[service]
		if use == nil || !use.inUse {
			return assignWithin(now, engines, demand, newest, r.assignedModels)
		}
		d := newDivision(engines, demand, newest, r.assignedModels)
		d.divide(now.Sub(use.changedAt) >= speedChangeInterval)
		if len(d.changes) > 0 {
			use.changedAt = now
			r.metrics.divisions.Add(float64(len(d.changes)))
			r.logDivision(now, service, d)
		}
		return d.assigned
	})
}

// maxLoggedChanges bounds the changes and models that a log line names.
const maxLoggedChanges = 8

// logDivision logs what was changed because of speeds, and by which inputs.
func (r *Runner) logDivision(now time.Time, service string, d *division) {
	if !r.divisionLogs.Allow(now) {
		return
	}
	type input struct {
		Quota   int     `json:"quota"`
		Engines int     `json:"engines"`
		Want    float64 `json:"want"`
		Have    float64 `json:"have"`
	}
	models := make(map[string]input)
	for _, m := range d.models[:min(len(d.models), maxLoggedChanges)] {
		models[m] = input{d.quota[m], d.count[m], d.want[m], d.have[m]}
	}
	r.log.WithFields(logrus.Fields{
		"service": service, "spread": r.speeds.measured.Service(service).Rank(now).Spread, "engines": len(d.engines), "models": models,
		"changes": d.changes[:min(len(d.changes), maxLoggedChanges)], "changes_n": len(d.changes),
	}).Info("division of the engines changes because of their speeds")
}

// measureSpeeds samples the runs and updates the speeds.
func (r *Runner) measureSpeeds(now time.Time, running []*task) {
	if !r.o.MeasuredCapacity || now.Sub(r.speeds.sampledAt) < speedInterval {
		return
	}
	r.speeds.sampledAt = now
	engines := make(map[string]*engine, len(r.engines))
	for _, e := range r.engines {
		engines[e.id] = e
	}
	r.speeds.sample(now, running, engines)
	r.speeds.update(now, r.engines)
	if now.Sub(r.speedsShownAt) < speedShowInterval {
		return
	}
	r.speedsShownAt = now
	r.speeds.measured.Retain(func(service, id string) bool {
		e := engines[id]
		return e != nil && e.software.Service == service
	})
	shown := &speedsDump{r.speeds.measured.Dump(now), r.carrierRows(now)}
	r.speedsShown.Store(shown)
	r.showWeights()
	for _, s := range shown.Engines {
		r.metrics.spread.WithLabelValues(s.Service).Set(s.Spread)
	}
}

// speedShowInterval is how often the dump and the metrics of speeds are renewed.
const speedShowInterval = time.Second

// speedsDump is what the dump shows of measured capacity.
type speedsDump struct {
	Engines  []targetcapacity.State `json:"engines"`
	Carriers []carrierRow           `json:"carriers"`
}

// Speeds returns the speeds of the engines and the weights of the carriers for the dump. It is nil
// unless this process leads.
func (r *Runner) Speeds() any { return r.speedsShown.Load() }

// resetSpeeds forgets all measurements when a leadership begins or ends.
func (r *Runner) resetSpeeds() {
	r.speeds, r.speedsShownAt = engineSpeeds{}, time.Time{}
	r.speedsShown.Store(nil)
	r.metrics.spread.Reset()
	r.metrics.weights.Reset()
}

// bySpeed returns engines with the fastest first. Equal ones keep their order.
func bySpeed(engines []*engine) []*engine {
	out := slices.Clone(engines)
	slices.SortStableFunc(out, func(a, b *engine) int {
		switch x, y := a.relativeSpeed(), b.relativeSpeed(); {
		case x > y:
			return -1
		case x < y:
			return 1
		}
		return 0
	})
	return out
}
