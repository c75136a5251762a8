package batch

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"

	"merlinhall/ledger"
	"merlinhall/targetcapacity"
	"merlinhall/wire"
)

// speedRunner returns a leader with n engines of a service that have three models.
func speedRunner(n int) *Runner {
	r := quietRunner()
	r.o.MeasuredCapacity, r.metrics = true, newMetrics(prometheus.NewRegistry())
	for i := range n {
		e := modelEngine(fmt.Sprintf("e%02d", i), map[string]uint64{"x": 1, "y": 1, "z": 1})
		e.startedMs, e.software = 1, wire.Software{Service: "s", Version: "v"}
		r.engines = append(r.engines, e)
	}
	r.demand, r.assignedModels = make(map[string]modelDemand), make(map[string]string)
	return r
}

// events adds 150 ms of events of all engines, whose time per event is 48 ms divided by their speed.
func (r *Runner) events(at time.Time, speedOf func(i int) float64) {
	for i, e := range r.engines {
		r.speeds.measured.Service("s").Add(targetcapacity.Sample{
			Target: e.id, Start: 1, Load: 2, At: at, Took: time.Duration(48e6 / speedOf(i)),
		})
	}
	r.speeds.update(at, r.engines)
}

// needs returns the greatest need of a model, by the true speeds of the engines.
func needs(r *Runner, speedOf func(i int) float64) float64 {
	total, have := 0.0, make(map[string]float64)
	for i, e := range r.engines {
		total += speedOf(i)
		have[r.assignedModels[e.id]] += speedOf(i)
	}
	worst := 0.0
	for m, n := range engineQuotas(r.demand, len(r.engines)) {
		worst = max(worst, total*float64(n)/float64(len(r.engines))/have[m])
	}
	return worst
}

// Guards against decisions that differ from those without measurements while the speeds of the
// engines differ by less than 1.5.
func TestDivisionOfEqualEnginesIsThatByNumber(t *testing.T) {
	for seed := range uint64(300) {
		is := is.New(t)
		rnd := rand.New(rand.NewPCG(seed, 1))
		r := speedRunner(1 + rnd.IntN(60))
		var speeds []float64
		for range r.engines {
			speeds = append(speeds, 0.85+0.3*rnd.Float64())
		}
		now := start
		for range 40 {
			now = now.Add(150 * time.Millisecond)
			r.events(now, func(i int) float64 { return speeds[i] })
			if rnd.IntN(4) == 0 {
				r.demand[string(rune('x'+rnd.IntN(3)))] = modelDemand{tokens: rnd.Float64() * 1000, longest: rnd.Float64() * 900, open: float64(rnd.IntN(80))}
				e := r.engines[rnd.IntN(len(r.engines))]
				e.versions[string(rune('x'+rnd.IntN(3)))]++
				e.draining = rnd.IntN(8) == 0
				e.observeEventTime(now, time.Duration(30+rnd.IntN(40))*time.Millisecond)
			}
			newest := map[string]uint64{"x": uint64(rnd.IntN(6)), "y": 2}
			want := assignModels(now, r.engines, r.demand, newest, r.assignedModels)
			is.Equal(r.divide(now, newest), want)
			r.assignedModels = want
		}
	}
}

// Guards against a model that gets as many engines as another with the same demand though its own
// are slow, and against engines that change their model with each pause. The former division by
// number leaves a need above 1.4 here; the load is that of the uneven deployment.
func TestModelWithSlowEnginesGetsMore(t *testing.T) {
	for seed := range uint64(5) {
		is := is.New(t)
		rnd := rand.New(rand.NewPCG(seed, 2))
		r := speedRunner(48)
		newest := map[string]uint64{"x": 1, "y": 1, "z": 1}
		for _, m := range sortedModels(newest) {
			r.demand[m] = modelDemand{tokens: 1000, longest: 900, open: 200}
		}
		for i, e := range r.engines { // the slowest with the first model
			r.assignedModels[e.id] = string(rune('x' + i/16))
		}
		speedOf := func(i int) float64 { return []float64{0.6, 1, 1.6}[i/16] }
		before := needs(r, speedOf)
		is.True(before > 1.4)
		now, changed, late := start, 0, 0
		for tick := range 400 { // a minute
			now = now.Add(150 * time.Millisecond)
			// 15% of the engines are 2.5 times slower for up to 300 ms.
			paused := rand.New(rand.NewPCG(seed, uint64(now.UnixNano()/int64(600*time.Millisecond))))
			r.events(now, func(i int) float64 {
				if paused.Float64() < 0.15 && tick%4 < 1+i%2 {
					return speedOf(i) / 2.5
				}
				return speedOf(i) * (0.95 + 0.1*rnd.Float64())
			})
			next := r.divide(now, newest)
			for id, m := range next {
				if m != r.assignedModels[id] {
					is.True(now.Sub(start) >= speedSettleTime) // a new leader has no measurements
					changed++
					if now.Sub(start) > 40*time.Second {
						late++
					}
				}
			}
			r.assignedModels = next
		}
		t.Logf("seed %d: greatest need %.2f before, %.2f after, %d changes, %d of them after 40 s", seed, before, needs(r, speedOf), changed, late)
		is.True(needs(r, speedOf) < 1.12)
		is.True(changed <= 12)
		is.True(late <= 1)
	}
}

// Guards against long texts on slow engines: a step is as slow as its longest text.
func TestModelWithLongTextsGetsFastEngines(t *testing.T) {
	is := is.New(t)
	r := speedRunner(24)
	newest := map[string]uint64{"x": 1, "y": 1}
	r.demand["x"] = modelDemand{tokens: 1000, longest: 9000, open: 200}
	r.demand["y"] = modelDemand{tokens: 1000, longest: 3000, open: 200}
	speedOf := func(i int) float64 { return []float64{0.6, 1, 1.6}[i/8] }
	for i, e := range r.engines {
		r.assignedModels[e.id] = []string{"x", "y"}[i/12]
	}
	now := start
	for range 400 {
		now = now.Add(150 * time.Millisecond)
		r.events(now, speedOf)
		r.assignedModels = r.divide(now, newest)
	}
	fast := 0
	for i, e := range r.engines {
		if r.assignedModels[e.id] == "x" && speedOf(i) > 1.5 {
			fast++
		}
	}
	is.True(fast >= 3)
	is.True(needs(r, speedOf) < 1.15)
}

// Guards against models that are left without an engine when engines or models come and go, and
// against more engines than a model can use, while speeds are in use.
func TestDivisionBySpeedFollowsEnginesAndModels(t *testing.T) {
	for seed := range uint64(200) {
		is := is.New(t)
		rnd := rand.New(rand.NewPCG(seed, 3))
		all := speedRunner(3 + rnd.IntN(40)).engines
		before := make(map[string]string)
		for range 12 {
			demand := make(map[string]modelDemand)
			for i := range 1 + rnd.IntN(3) {
				demand[string(rune('x'+i))] = modelDemand{tokens: 1 + rnd.Float64()*1000, longest: rnd.Float64() * 9000, open: float64(1 + rnd.IntN(60))}
			}
			var engines []*engine
			for _, e := range all {
				e.speed, e.limited = []float64{0.6, 1, 1.6, 0.25}[rnd.IntN(4)], rnd.IntN(40) == 0
				if rnd.IntN(6) > 0 {
					engines = append(engines, e)
				}
			}
			if len(engines) < len(demand) {
				continue
			}
			d := newDivision(engines, demand, nil, before)
			d.divide(rnd.IntN(2) == 0)
			quota, assigned := 0, 0
			for m, want := range demand {
				is.True(d.count[m] >= 1)
				is.True(d.count[m] <= max(want.mostEngines(), d.quota[m]))
				quota += d.quota[m]
				assigned += d.count[m]
			}
			is.Equal(len(d.assigned), assigned)
			is.True(assigned >= min(quota, len(engines)))
			before = d.assigned
		}
	}
}

// Guards against samples that miss a slower engine: one that has become 2.5 times slower must be
// known to the leader within a second of events, and a restarted one not at all.
func TestSlowerEngineIsKnownFromItsRuns(t *testing.T) {
	is := is.New(t)
	r := speedRunner(8)
	var running []*task
	next := make([]time.Duration, len(r.engines))
	for _, e := range r.engines {
		t := &task{job: &job{sub: &ledger.Submission{}}, group: &group{}, state: taskRunning, engine: e.id}
		t.run = &run{task: t, engine: e.id, engineStartedMs: 1, began: start, reading: true}
		running = append(running, t)
	}
	const slower = 6 * time.Second
	known := time.Duration(0)
	for at := time.Duration(0); at < 8*time.Second; at += tickInterval {
		for i, t := range running {
			for next[i] <= at {
				t.run.events++
				t.run.lastEventAt = start.Add(next[i])
				per := 48 * time.Millisecond
				if i == 0 && at >= slower {
					per = 120 * time.Millisecond
				}
				next[i] += per
			}
		}
		r.measureSpeeds(start.Add(at), running)
		speed := r.speeds.measured.Service("s").Rank(start.Add(at)).Targets["e00"].Speed
		if at < slower {
			is.True(speed == 0 || math.Abs(speed-1) < 0.15)
		} else if known == 0 && speed < 0.5 {
			known = at - slower
		}
	}
	t.Logf("known after %v", known)
	is.True(known > 0 && known <= time.Second)
	is.Equal(len(r.Speeds().(*speedsDump).Engines), 1)
	r.resetSpeeds()
	is.Equal(r.Speeds(), (*speedsDump)(nil))
}
