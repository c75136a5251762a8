package batch

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// loadShare is the largest share of the engines that load weights at the same time.
	// More of them slow each other down, as they share the source of the weights.
	loadShare = 0.2
	// minConcurrentLoads is the number of concurrent loads that is always allowed.
	minConcurrentLoads = 2
	// expectedLoadTime is the duration of a load that shares its source with no other.
	expectedLoadTime = 900 * time.Millisecond
	// reportMaxAge is how old the state in an engine's report may be. If no run shows that
	// a load has finished, the engine is polled this long after expectedLoadTime.
	reportMaxAge = 200 * time.Millisecond
	// loadPollInterval is the time between two polls after that.
	loadPollInterval = 100 * time.Millisecond
	// loadTimeout is how long a load may take before the order is sent again.
	loadTimeout = 6 * time.Second
	// drainTimeout is added to loadTimeout for an engine that finishes its runs first: the
	// time of a long text and a margin.
	drainTimeout = 14 * time.Second
)

// load is an order to load a weight version, in progress on an engine.
type load struct {
	model      string
	version    uint64
	orderedAt  time.Time
	pollAt     time.Time
	accepted   bool // the engine has accepted the order
	drainsRuns bool // the engine finishes its runs before it loads
}

// timeout returns the time after which the load is abandoned.
func (l *load) timeout() time.Duration {
	if l.drainsRuns {
		return loadTimeout + drainTimeout
	}
	return loadTimeout
}

// loadPlan is an order to send.
type loadPlan struct {
	engine  *engine
	model   string
	version uint64
}

// modelsPerEngine is how many models an engine keeps up to date. With one, a step that
// arrives while another step of its model is open waits although other engines are idle. A
// load stops the runs of its own model only.
const modelsPerEngine = 1

// assignModels assigns engines to models in proportion to their demand, so that only some
// of the engines load each version. The result lists the models that each engine keeps up
// to date, most important first. An engine keeps its models from before as far as the
// proportions allow; other engines get the model for which they are the fewest versions
// behind.
func assignModels(engines []*engine, demand map[string]float64, newest map[string]uint64, before map[string][]string) map[string][]string {
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
		assignRound(engines, models, engineQuotas(models, demand, total, len(engines)), newest, before, out, round)
	}
	return out
}

// assignRound assigns one model to each engine: the one with index round in its list.
func assignRound(engines []*engine, models []string, quota map[string]int, newest map[string]uint64, before, out map[string][]string, round int) {
	var candidates []assignmentCandidate
	for _, e := range engines {
		had := before[e.id]
		if len(had) > round && quota[had[round]] > 0 && hasModel(e, had[round]) && !slices.Contains(out[e.id], had[round]) {
			out[e.id] = append(out[e.id], had[round])
			quota[had[round]]--
			continue
		}
		for _, m := range models {
			if hasModel(e, m) && !slices.Contains(out[e.id], m) {
				candidates = append(candidates, assignmentCandidate{e.id, m, newest[m] - min(newest[m], e.versions[m])})
			}
		}
	}
	slices.SortStableFunc(candidates, func(a, b assignmentCandidate) int { return cmp.Compare(a.lag, b.lag) })
	for _, c := range candidates {
		if len(out[c.engine]) == round && quota[c.model] > 0 {
			out[c.engine] = append(out[c.engine], c.model)
			quota[c.model]--
		}
	}
}

// assignmentCandidate is a possible assignment of a model to an engine, which is lag
// versions behind.
type assignmentCandidate struct {
	engine, model string
	lag           uint64
}

func hasModel(e *engine, model string) bool {
	_, ok := e.versions[model]
	return ok
}

// engineQuotas distributes n engines over the models by demand, at least one to each
// model.
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
	// Engines left over by rounding go to the models with the most demand per engine.
	byDemand := slices.Clone(models)
	slices.SortStableFunc(byDemand, func(a, b string) int {
		return cmp.Compare(demand[b]/float64(quota[b]), demand[a]/float64(quota[a]))
	})
	for i := 0; left > 0; i, left = i+1, left-1 {
		quota[byDemand[i%len(byDemand)]]++
	}
	return quota
}

// planLoads selects the orders to send now; only a few loads run at the same time. A step
// may use the version before the one announced with it. The model with the smallest share
// of its engines at that version or a newer one comes first, and of its engines the one
// that is the most versions behind. Engines that are loading the model count as being at
// that version.
func planLoads(now time.Time, engines []*engine, assigned map[string][]string, newest map[string]uint64) []loadPlan {
	allowed := max(minConcurrentLoads, int(math.Round(loadShare*float64(len(engines)))))
	all, usable := make(map[string]float64), make(map[string]float64)
	var behind []loadPlan
	for _, e := range engines {
		for _, m := range assigned[e.id] {
			all[m]++
			if e.versions[m]+1 >= newest[m] || e.load != nil && e.load.model == m {
				usable[m]++
			}
		}
		if e.load != nil {
			allowed--
			continue
		}
		if l, ok := nextLoad(now, e, assigned[e.id], newest); ok {
			behind = append(behind, l)
		}
	}
	var out []loadPlan
	for len(out) < allowed && len(behind) > 0 {
		best := 0
		for i := range behind {
			if behind[i].before(behind[best], all, usable) {
				best = i
			}
		}
		l := behind[best]
		out = append(out, l)
		behind = slices.Delete(behind, best, best+1)
		if l.lag() > 1 {
			usable[l.model]++
		}
	}
	return out
}

// before reports whether l is more urgent than o. A load that only brings the newest
// version to an engine that can already serve the next step comes after all others.
func (l loadPlan) before(o loadPlan, all, usable map[string]float64) bool {
	if needed, other := l.lag() > 1, o.lag() > 1; needed != other {
		return needed
	}
	if a, b := usable[l.model]/all[l.model], usable[o.model]/all[o.model]; a != b {
		return a < b
	}
	if a, b := l.lag(), o.lag(); a != b {
		return a > b
	}
	return l.engine.unusedSlots() < o.engine.unusedSlots()
}

// nextLoad returns the most urgent load of an engine, if it needs one.
func nextLoad(now time.Time, e *engine, models []string, newest map[string]uint64) (best loadPlan, ok bool) {
	if e.draining || now.Before(e.pausedUntil) {
		return loadPlan{}, false
	}
	for rank, m := range models {
		version, known := e.versions[m]
		if !known || newest[m] <= version || rank > 0 && newest[m]-version < 2 {
			continue
		}
		l := loadPlan{e, m, newest[m]}
		if !ok || l.lag() > best.lag() {
			best, ok = l, true
		}
	}
	return best, ok
}

func (l loadPlan) lag() uint64 { return l.version - l.engine.versions[l.model] }
