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
)

// speedRunner returns a leader with n engines of a service that have three models.
func speedRunner(n int) *Runner {
	r := quietRunner()
	r.o.MeasuredCapacity, r.metrics = true, newMetrics(prometheus.NewRegistry())
	for i := range n {
		e := modelEngine(fmt.Sprintf("e%02d", i), map[string]uint64{"x": 1, "y": 1, "z": 1})
		e.startedMs, e.software = 1, testSoftware
		r.engines = append(r.engines, e)
	}
	r.demand, r.assignedModels = make(map[string]modelDemand), make(map[string]string)
	return r
}

// playEvents adds 150 ms of events of all engines, whose time per event is 48 ms divided by their
// speed.
func (r *Runner) playEvents(at time.Time, speedOf func(i int) float64) {
	for i, e := range r.engines {
		r.speeds.measured.Service("s").Add(targetcapacity.Sample{Target: e.id, Start: 1, Load: 2, At: at, Took: time.Duration(48e6 / speedOf(i))})
	}
	r.speeds.update(at, r.engines)
}

// Guards against decisions that differ from those without measurements while the speeds of the
// engines differ by less than 1.5.
func TestDivisionOfEqualEnginesIsThatByNumber(t *testing.T) {
	for seed := range uint64(200) {
		is := is.New(t)
		rnd := rand.New(rand.NewPCG(seed, 1))
		r := speedRunner(1 + rnd.IntN(60))
		now := start
		for range 40 {
			now = now.Add(150 * time.Millisecond)
			r.playEvents(now, func(i int) float64 { return 0.85 + 0.3*float64(i)/60 })
			if rnd.IntN(4) == 0 {
				m, e := string(rune('x'+rnd.IntN(3))), r.engines[rnd.IntN(len(r.engines))]
				r.demand[m] = modelDemand{tokens: rnd.Float64() * 1000, longest: rnd.Float64() * 900, open: float64(rnd.IntN(80))}
				e.versions[m]++
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
// are slow, against long texts on slow engines, against engines that change their model with each
// pause, and against a new leader that uses speeds before it has measured for 3 s. By number, the
// greatest need of a model stays 1.78 and 1.45 here. The load is that of the uneven deployment.
func TestDivisionBySpeed(t *testing.T) {
	speedOf := func(i, n int) float64 { return []float64{0.6, 1, 1.6}[i*3/n] }
	for seed := range uint64(4) {
		is := is.New(t)
		rnd := rand.New(rand.NewPCG(seed, 2))
		n, models, longest := 48, []string{"x", "y", "z"}, 900.0
		if seed%2 == 1 {
			n, models, longest = 24, models[:2], 9000 // of the first model, which has the slow half
		}
		r, newest := speedRunner(n), make(map[string]uint64)
		for i, m := range models {
			r.demand[m], newest[m] = modelDemand{tokens: 1000, longest: []float64{longest, 900, 900}[i], open: 200}, 1
		}
		for i, e := range r.engines {
			r.assignedModels[e.id] = models[i*len(models)/n]
		}
		// need returns the greatest need of a model by true speeds, and the fast engines of the first.
		need := func() (worst float64, fast int) {
			have, total := make(map[string]float64), 0.0
			for i, e := range r.engines {
				have[r.assignedModels[e.id]] += speedOf(i, n)
				total += speedOf(i, n)
				if r.assignedModels[e.id] == models[0] && speedOf(i, n) > 1.5 {
					fast++
				}
			}
			for _, m := range models {
				worst = max(worst, total/float64(len(models))/have[m])
			}
			return worst, fast
		}
		before, _ := need()
		changed, late := 0, 0
		for tick := range 400 { // a minute
			now := start.Add(time.Duration(tick) * 150 * time.Millisecond)
			paused := rand.New(rand.NewPCG(seed, uint64(now.UnixNano()/int64(600*time.Millisecond))))
			r.playEvents(now, func(i int) float64 {
				if paused.Float64() < 0.15 && tick%4 < 1+i%2 {
					return speedOf(i, n) / 2.5
				}
				return speedOf(i, n) * (0.95 + 0.1*rnd.Float64())
			})
			next := r.divide(now, newest)
			for id, m := range next {
				if m == r.assignedModels[id] {
					continue
				}
				is.True(now.Sub(start) >= 3*time.Second)
				if changed++; now.Sub(start) > 40*time.Second {
					late++
				}
			}
			r.assignedModels = next
		}
		after, fast := need()
		t.Logf("seed %d, %d models: greatest need %.2f -> %.2f, %d changes, %d of them after 40 s, %d fast engines of the first model", seed, len(models), before, after, changed, late, fast)
		is.True(before > 1.3 && after < 1.15 && changed <= 12 && late <= 1)
		is.True(len(models) == 3 || fast >= 3)
	}
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
			quota := 0
			for m, want := range demand {
				is.True(d.count[m] >= 1 && d.count[m] <= max(want.mostEngines(), d.quota[m]))
				quota += d.quota[m]
			}
			is.True(len(d.assigned) >= min(quota, len(engines)))
			before = d.assigned
		}
	}
}

// Guards against samples that miss a slower engine: one that has become 2.5 times slower must be
// known to the leader within a second of events. A new leader knows nothing.
func TestSlowerEngineIsKnownFromItsRuns(t *testing.T) {
	is := is.New(t)
	longest := time.Duration(0)
	for phase := range 10 {
		r, slower := speedRunner(8), 6*time.Second+time.Duration(phase)*37*time.Millisecond
		var running []*task
		for _, e := range r.engines {
			t := &task{job: &job{sub: &ledger.Submission{}}, group: &group{}, state: taskRunning, engine: e.id}
			t.run = &run{task: t, engine: e.id, engineStartedMs: 1, began: start, reading: true}
			running = append(running, t)
		}
		next, known := make([]time.Duration, len(running)), time.Duration(0)
		for at := time.Duration(0); at < 8*time.Second; at += tickInterval {
			for i, t := range running {
				for ; next[i] <= at; next[i] += 48 * time.Millisecond {
					t.run.events++
					t.run.lastEventAt = start.Add(next[i])
					if i == 0 && next[i] >= slower {
						next[i] += 72 * time.Millisecond
					}
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
		is.True(known > 0)
		longest = max(longest, known)
		is.Equal(len(r.Speeds().(*speedsDump).Engines), 1)
		r.resetSpeeds()
		is.Equal(r.Speeds(), (*speedsDump)(nil))
	}
	t.Logf("known after %v at the latest", longest)
	is.True(longest <= time.Second)
}
