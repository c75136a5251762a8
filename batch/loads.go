package batch

import (
	"cmp"
	"slices"
	"time"
)

const (
	// loadShare is the part of the engines that load weights at one time: loads
	// slow each other down, and engines that load begin no new runs.
	loadShare = 0.18
	// loadLeast is the least number of loads at one time.
	loadLeast = 2
	// loadExpected is when an engine is first asked whether a load has ended; it
	// is the time of a load that shares its source with none.
	loadExpected = 900 * time.Millisecond
	// loadPoll is the time between two questions after that.
	loadPoll = 300 * time.Millisecond
	// loadLimit ends the wait for a load; the order is then given again.
	loadLimit = 6 * time.Second
)

// load is an order to take a weight version.
type load struct {
	model   string
	version uint64
	since   time.Time
	askAt   time.Time
	taken   bool // the engine has accepted the order
}

// loadPlan is an order to give.
type loadPlan struct {
	engine  *engine
	model   string
	version uint64
}

// homes assigns engines to models in proportion to their demand, so that each
// version is loaded by a part of the engines only. An engine keeps its model as
// far as the proportions allow; others get the model whose named version they are
// least behind.
func homes(engines []*engine, demand map[string]float64, named map[string]uint64, before map[string]string) map[string]string {
	models := make([]string, 0, len(demand))
	total := 0.0
	for m, d := range demand {
		models = append(models, m)
		total += d
	}
	slices.Sort(models)
	out := make(map[string]string, len(engines))
	if len(models) == 0 || len(engines) == 0 {
		return out
	}
	quota := quotas(models, demand, total, len(engines))
	var open []homeChoice
	for _, e := range engines {
		if m := before[e.id]; m != "" && quota[m] > 0 && has(e, m) {
			out[e.id] = m
			quota[m]--
			continue
		}
		for _, m := range models {
			if has(e, m) {
				open = append(open, homeChoice{e.id, m, named[m] - min(named[m], e.versions[m])})
			}
		}
	}
	slices.SortStableFunc(open, func(a, b homeChoice) int { return cmp.Compare(a.lag, b.lag) })
	for _, c := range open {
		if _, taken := out[c.engine]; !taken && quota[c.model] > 0 {
			out[c.engine] = c.model
			quota[c.model]--
		}
	}
	return out
}

// homeChoice is an engine that could be a model's own, lag versions behind.
type homeChoice struct {
	engine, model string
	lag           uint64
}

func has(e *engine, model string) bool {
	_, ok := e.versions[model]
	return ok
}

// quotas shares n engines out by demand, at least one to each model.
func quotas(models []string, demand map[string]float64, total float64, n int) map[string]int {
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

// planLoads chooses the orders to give now: the engines that are farthest behind
// the named version of their model, a few at a time.
func planLoads(now time.Time, engines []*engine, home map[string]string, named map[string]uint64) []loadPlan {
	most := max(loadLeast, int(loadShare*float64(len(engines))))
	var behind []loadPlan
	for _, e := range engines {
		if e.load != nil {
			most--
			continue
		}
		model := home[e.id]
		version, ok := e.versions[model]
		if model == "" || !ok || e.draining || now.Before(e.pausedUntil) || named[model] <= version {
			continue
		}
		behind = append(behind, loadPlan{e, model, named[model]})
	}
	slices.SortStableFunc(behind, func(a, b loadPlan) int {
		return cmp.Compare(b.lag(), a.lag())
	})
	if len(behind) > max(0, most) {
		behind = behind[:max(0, most)]
	}
	return behind
}

func (l loadPlan) lag() uint64 { return l.version - l.engine.versions[l.model] }
