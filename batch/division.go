package batch

import (
	"math"
	"slices"
)

const (
	// minImprovement is the factor by which a change must reduce the time of the model that has
	// the least for its work. Sums of six speeds are off by up to 6%, and a change stops the
	// runs of an engine for 0.9 s.
	minImprovement = 1.1
	// urgentImprovement is the factor from which a change does not wait for
	// speedChangeInterval: models came or went, or their demand has changed.
	urgentImprovement = 1.25
	// fastShareDivisor divides the engines of a model: as many should be fast, as its long texts
	// need. Most texts of a step are short.
	fastShareDivisor = 4
	// fasterBy is the least ratio of the speeds of two engines that are exchanged for the sake of
	// long texts. Equal engines are rarely estimated to differ by as much.
	fasterBy = 1.3
)

// division divides the engines of a service among models by their speeds. The shares are those of
// engineQuotas, as capacity instead of as a number of engines.
type division struct {
	engines  []*engine // the fastest first
	demand   map[string]modelDemand
	newest   map[string]uint64
	models   []string       // sorted
	quota    map[string]int // engines that the models would have if all were equal
	assigned map[string]string
	want     map[string]float64 // capacity that the models should have
	have     map[string]float64 // capacity of the assigned engines
	count    map[string]int     // of the assigned engines
	changes  []speedChange
}

// speedChange is a change because of speeds.
type speedChange struct {
	Engine string  `json:"engine"`
	From   string  `json:"from"`
	To     string  `json:"to"`
	Speed  float64 `json:"speed"`
	Reason string  `json:"reason"`
}

// capacity is what an engine adds to a model: nothing if it accepts no runs any more.
func (e *engine) capacity() float64 {
	if e.draining {
		return 0
	}
	return e.relativeSpeed()
}

func newDivision(engines []*engine, demand map[string]modelDemand, newest map[string]uint64, before map[string]string) *division {
	d := &division{
		engines: bySpeed(engines), demand: demand, newest: newest, models: sortedModels(demand),
		assigned: make(map[string]string, len(engines)), want: make(map[string]float64), have: make(map[string]float64), count: make(map[string]int),
	}
	if len(demand) == 0 {
		return d
	}
	d.quota = engineQuotas(demand, len(engines))
	total := 0.0
	for _, e := range d.engines {
		total += e.capacity()
	}
	for m, n := range d.quota {
		d.want[m] = total * float64(n) / float64(len(engines))
	}
	for _, e := range d.engines {
		if m := before[e.id]; d.quota[m] > 0 && hasModel(e, m) && d.accepts(m) {
			d.put(e, m)
		}
	}
	return d
}

// accepts reports whether the model can use another engine.
func (d *division) accepts(m string) bool {
	most := d.demand[m].mostEngines()
	return most == 0 || d.count[m] < max(most, d.quota[m])
}

// put assigns an engine to a model, or to none if m is "".
func (d *division) put(e *engine, m string) {
	if old, ok := d.assigned[e.id]; ok {
		d.have[old] -= e.capacity()
		d.count[old]--
		delete(d.assigned, e.id)
	}
	if m != "" {
		d.assigned[e.id] = m
		d.have[m] += e.capacity()
		d.count[m]++
	}
}

// need returns the time that a model needs for its work, relative to that if all capacity were
// divided exactly.
func (d *division) need(m string) float64 { return ratio(d.want[m], d.have[m]) }

func ratio(want, have float64) float64 {
	if have < 1e-9 {
		return math.Inf(1)
	}
	return want / have
}

// divide completes the division. mayImprove permits one change that only improves it.
func (d *division) divide(mayImprove bool) {
	d.fill()
	for _, m := range d.models {
		if d.count[m] == 0 {
			d.takeFor(m)
		}
	}
	if len(d.models) < 2 || slices.ContainsFunc(d.engines, func(e *engine) bool { return e.limited }) {
		return // swapLimited exchanges engines then
	}
	for range d.engines {
		c, gain := d.bestMove()
		if gain < urgentImprovement && (!mayImprove || gain < minImprovement) {
			break
		}
		mayImprove = false
		d.change(c.engine, c.to, "capacity")
	}
	if mayImprove {
		d.exchange()
	}
}

func (d *division) change(e *engine, to, reason string) {
	d.changes = append(d.changes, speedChange{e.id, d.assigned[e.id], to, e.relativeSpeed(), reason})
	d.put(e, to)
}

// fill assigns the engines without a model, the fastest first. Of the models that lack capacity,
// an engine gets the one for which it is the fewest versions behind, then that with the longest
// texts, then that with the greatest need.
func (d *division) fill() {
	a := assignment{demand: d.demand, models: d.models, quota: d.quota, newest: d.newest}
	spare := 0
	for _, n := range d.quota {
		spare += n
	}
	spare = min(len(d.engines), spare) - len(d.assigned)
	for _, e := range d.engines {
		if _, ok := d.assigned[e.id]; ok || spare <= 0 {
			continue
		}
		best, lacking := "", false
		for _, m := range d.models {
			if !hasModel(e, m) || !d.accepts(m) {
				continue
			}
			lacks := d.need(m) > 1
			if best == "" || lacks && !lacking || lacks == lacking && d.preferred(&a, e, m, best) {
				best, lacking = m, lacks
			}
		}
		if best != "" {
			d.put(e, best)
			spare--
		}
	}
}

func (d *division) preferred(a *assignment, e *engine, m, other string) bool {
	if x, y := a.lag(e, m), a.lag(e, other); x != y {
		return x < y
	}
	if d.longer(m, other) || d.longer(other, m) {
		return d.longer(m, other)
	}
	return d.need(m) > d.need(other)
}

// longer reports whether the longest texts of a model have a greater claim to fast engines.
func (d *division) longer(m, other string) bool {
	return d.demand[m].longest > sameLength*d.demand[other].longest
}

// takeFor gives a model without an engine the slowest one of the model with the least need.
func (d *division) takeFor(m string) {
	var best *engine
	for _, e := range slices.Backward(d.engines) {
		from := d.assigned[e.id]
		if e.draining || from == "" || d.count[from] < 2 || !hasModel(e, m) {
			continue
		}
		if best == nil || d.need(from) < d.need(d.assigned[best.id]) {
			best = e
		}
	}
	if best != nil {
		d.put(best, m)
	}
}

// movable reports whether an engine may be taken from its model.
func (d *division) movable(e *engine) bool {
	from := d.assigned[e.id]
	return from != "" && d.count[from] > 1 && !e.draining && e.load == nil
}

type engineMove struct {
	engine *engine
	to     string
}

// bestMove returns the move of an engine to the model with the greatest need that reduces the
// greater of the two needs most, and the factor by which it does.
func (d *division) bestMove() (best engineMove, gain float64) {
	to := d.models[0]
	for _, m := range d.models {
		if d.need(m) > d.need(to) {
			to = m
		}
	}
	if !d.accepts(to) {
		return best, 0
	}
	for _, e := range d.engines {
		from := d.assigned[e.id]
		if from == to || !d.movable(e) || !hasModel(e, to) {
			continue
		}
		v := e.capacity()
		if g := d.need(to) / max(ratio(d.want[to], d.have[to]+v), ratio(d.want[from], d.have[from]-v)); g > gain {
			best, gain = engineMove{e, to}, g
		}
	}
	return best, gain
}

// exchange gives a model with much longer texts than another one a faster engine of that model, if
// too few of its own are as fast. The other one may not become the model with the greatest need by
// that.
func (d *division) exchange() {
	of := make(map[string][]*engine)
	worst := 1.0
	for _, m := range d.models {
		worst = max(worst, d.need(m))
	}
	for _, e := range d.engines {
		if m := d.assigned[e.id]; m != "" {
			of[m] = append(of[m], e)
		}
	}
	for _, long := range d.models {
		for _, short := range d.models {
			if !d.longer(long, short) || len(of[long]) == 0 || len(of[short]) == 0 {
				continue
			}
			slow, fast := of[long][(len(of[long])-1)/fastShareDivisor], of[short][0]
			if fast.relativeSpeed() < fasterBy*slow.relativeSpeed() || fast.draining || slow.draining || fast.load != nil || slow.load != nil {
				continue
			}
			if !hasModel(fast, long) || !hasModel(slow, short) || ratio(d.want[short], d.have[short]-fast.capacity()+slow.capacity()) > minImprovement*worst {
				continue
			}
			d.change(fast, long, "long texts")
			d.change(slow, short, "long texts")
			return
		}
	}
}
