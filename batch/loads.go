package batch

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// loadShare is the part of the engines that load weights at one time: more of
	// them slow each other down, as they share the source of the weights.
	loadShare = 0.2
	// minConcurrentLoads is the least number of loads at one time.
	minConcurrentLoads = 2
	// expectedLoadTime is the time of a load that shares its source with none.
	expectedLoadTime = 900 * time.Millisecond
	// reportMaxAge is how old an engine's report may be. A load that no run shows to
	// have ended is asked for after this time beyond loadExpected.
	reportMaxAge = 200 * time.Millisecond
	// loadPollInterval is the time between two questions after that.
	loadPollInterval = 100 * time.Millisecond
	// loadTimeout ends the wait for a load; the order is then given again.
	loadTimeout = 6 * time.Second
	// drainTimeout is added for an engine that ends its runs first: the time of a long
	// text and a margin.
	drainTimeout = 14 * time.Second
)

// load is an order to take a weight version.
type load struct {
	model      string
	version    uint64
	orderedAt  time.Time
	pollAt     time.Time
	accepted   bool // the engine has accepted the order
	drainsRuns bool // until the engine's runs have ended
}

// timeout returns the time after which the load is given up.
func (l *load) timeout() time.Duration {
	if l.drainsRuns {
		return loadTimeout + drainTimeout
	}
	return loadTimeout
}

// loadPlan is an order to give.
type loadPlan struct {
	engine  *engine
	model   string
	version uint64
}

// modelsPerEngine is how many models an engine keeps fresh. With one, a step that
// comes while another of its model is open waits although other engines are idle;
// a load holds up the runs of its own model only.
const modelsPerEngine = 1

// assignModels assigns engines to models in proportion to their demand, so that each
// version is loaded by a part of the engines only. Each engine gets the models
// that it is to keep fresh, the most important one first. An engine keeps its
// models as far as the proportions allow; others get the model whose named version
// they are least behind.
func assignModels(engines []*engine, demand map[string]float64, named map[string]uint64, before map[string][]string) map[string][]string {
	models := make([]string, 0, len(demand))
	total := 0.0
	for m, d := range demand {
		models = append(models, m)
		total += d
	}
	slices.Sort(models)
	out := make(map[string][]string, len(engines))
	if len(models) == 0 || len(engines) == 0 {
		return out
	}
	for round := range min(modelsPerEngine, len(models)) {
		assignRound(engines, models, engineQuotas(models, demand, total, len(engines)), named, before, out, round)
	}
	return out
}

// assignRound gives each engine its model of one round.
func assignRound(engines []*engine, models []string, quota map[string]int, named map[string]uint64, before, out map[string][]string, round int) {
	var open []assignmentCandidate
	for _, e := range engines {
		had := before[e.id]
		if len(had) > round && quota[had[round]] > 0 && hasModel(e, had[round]) && !slices.Contains(out[e.id], had[round]) {
			out[e.id] = append(out[e.id], had[round])
			quota[had[round]]--
			continue
		}
		for _, m := range models {
			if hasModel(e, m) && !slices.Contains(out[e.id], m) {
				open = append(open, assignmentCandidate{e.id, m, named[m] - min(named[m], e.versions[m])})
			}
		}
	}
	slices.SortStableFunc(open, func(a, b assignmentCandidate) int { return cmp.Compare(a.lag, b.lag) })
	for _, c := range open {
		if len(out[c.engine]) == round && quota[c.model] > 0 {
			out[c.engine] = append(out[c.engine], c.model)
			quota[c.model]--
		}
	}
}

// assignmentCandidate is an engine that could be a model's own, lag versions behind.
type assignmentCandidate struct {
	engine, model string
	lag           uint64
}

func hasModel(e *engine, model string) bool {
	_, ok := e.versions[model]
	return ok
}

// engineQuotas shares n engines out by demand, at least one to each model.
func engineQuotas(models []string, demand map[string]float64, total float64, n int) map[string]int {
	quota := make(map[string]int, len(models))
	left := n
	for _, m := range models {
		share := 1.0 / float64(len(models))
		if total > 0 {
			share = demand[m] / total
		}
		quota[m] = max(1, int(share*float64(n)))
		left -= quota[m]
	}
	// What rounding left over goes to the models with the largest remainder.
	byRest := slices.Clone(models)
	slices.SortStableFunc(byRest, func(a, b string) int {
		return cmp.Compare(demand[b]/float64(quota[b]), demand[a]/float64(quota[a]))
	})
	for i := 0; left > 0; i, left = i+1, left-1 {
		quota[byRest[i%len(byRest)]]++
	}
	return quota
}

// planLoads chooses the orders to give now, a few at a time. A step may use the
// version before the one that is named with it. The model with the smallest part
// of its engines at that version or a newer one comes first; of its engines, the
// one farthest behind.
func planLoads(now time.Time, engines []*engine, home map[string][]string, named map[string]uint64) []loadPlan {
	most := max(minConcurrentLoads, int(math.Round(loadShare*float64(len(engines)))))
	all, fresh := make(map[string]float64), make(map[string]float64)
	var behind []loadPlan
	for _, e := range engines {
		for _, m := range home[e.id] {
			all[m]++
			if e.versions[m]+1 >= named[m] || e.load != nil && e.load.model == m {
				fresh[m]++
			}
		}
		if e.load != nil {
			most--
			continue
		}
		if l, ok := nextLoad(now, e, home[e.id], named); ok {
			behind = append(behind, l)
		}
	}
	var out []loadPlan
	for len(out) < most && len(behind) > 0 {
		best := 0
		for i := range behind {
			if behind[i].before(behind[best], all, fresh) {
				best = i
			}
		}
		l := behind[best]
		out = append(out, l)
		behind = slices.Delete(behind, best, best+1)
		if l.lag() > 1 {
			fresh[l.model]++
		}
	}
	return out
}

// before reports whether l is more urgent than o. A load that only brings the
// newest version to an engine that can serve the next step comes after all others.
func (l loadPlan) before(o loadPlan, all, fresh map[string]float64) bool {
	if needed, other := l.lag() > 1, o.lag() > 1; needed != other {
		return needed
	}
	if a, b := fresh[l.model]/all[l.model], fresh[o.model]/all[o.model]; a != b {
		return a < b
	}
	if a, b := l.lag(), o.lag(); a != b {
		return a > b
	}
	return l.engine.unusedSlots() < o.engine.unusedSlots()
}

// nextLoad returns the load that an engine needs most, if it needs one.
func nextLoad(now time.Time, e *engine, models []string, named map[string]uint64) (best loadPlan, ok bool) {
	if e.draining || now.Before(e.pausedUntil) {
		return loadPlan{}, false
	}
	for rank, m := range models {
		version, known := e.versions[m]
		if !known || named[m] <= version || rank > 0 && named[m]-version < 2 {
			continue
		}
		l := loadPlan{e, m, named[m]}
		if !ok || l.lag() > best.lag() {
			best, ok = l, true
		}
	}
	return best, ok
}

func (l loadPlan) lag() uint64 { return l.version - l.engine.versions[l.model] }
