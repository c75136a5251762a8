package batch

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"merlinhall/routes"
)

const (
	// sameLength is the ratio of the longest texts of two models up to which they have the
	// same claim to fast engines.
	sameLength = 1.5
	// demandWeight is the weight of one submission in the moving averages of its model. It
	// is low because each engine assigned to another model costs a load.
	demandWeight = 0.2
)

// modelDemand is what the steps of a model ask for, as moving averages.
type modelDemand struct {
	tokens  float64 // size of a step, estimated output in tokens
	longest float64 // estimated output of the largest item of a step, in tokens
	// open is the number of items of the model that are open at the same time: the peak, which
	// sinks like a moving average. 0 means unknown.
	open float64
	// routes has the routes of the model's items by name, as of the manifest in force.
	routes map[string]modelRoute
}

// modelRoute is a route by which items of a model go.
type modelRoute struct {
	host, path string        // of an item
	route      *routes.Route // nil if the manifest in force has none
}

// servedBy reports whether a route leads items of the model to the service. All services may
// serve a model without a route.
func (d modelDemand) servedBy(service string) bool {
	routed := false
	for _, m := range d.routes {
		if m.route == nil {
			continue
		}
		if m.route.Serves(service) {
			return true
		}
		routed = true
	}
	return !routed
}

// observe adds a submission whose items have the given estimated sizes, with which the given
// number of items of the model are open.
func (d *modelDemand) observe(sizes []int, open int) {
	if float64(open) > d.open {
		d.open = float64(open)
	}
	d.open += demandWeight * (float64(open) - d.open)
	tokens, longest := 0, 0
	for _, s := range sizes {
		tokens += s
		longest = max(longest, s)
	}
	if tokens == 0 {
		return
	}
	if d.tokens == 0 {
		d.tokens, d.longest = float64(tokens), float64(longest)
	}
	d.tokens += demandWeight * (float64(tokens) - d.tokens)
	d.longest += demandWeight * (float64(longest) - d.longest)
}

// withNamed returns the demand of all models that have steps or a named version, which is
// loaded also before the first step: by one engine while other models have steps.
func withNamed(demand map[string]modelDemand, newest map[string]uint64) map[string]modelDemand {
	out := make(map[string]modelDemand, len(demand)+len(newest))
	maps.Copy(out, demand)
	for m := range newest {
		if _, ok := out[m]; !ok {
			out[m] = modelDemand{tokens: 1, open: float64(min(1, len(demand)))}
		}
	}
	return out
}

// assignModels assigns each engine the model that it keeps up to date, so that only some
// of the engines load each version. The engines of each service are divided among the models
// that it serves.
func assignModels(now time.Time, engines []*engine, demand map[string]modelDemand, newest map[string]uint64, before map[string]string) map[string]string {
	return assignEach(engines, demand, newest, func(_ string, list []*engine, served map[string]modelDemand) map[string]string {
		return assignWithin(now, list, served, newest, before)
	})
}

// assignEach assigns the engines of each service by a function that gets them and the demand that
// they may serve.
func assignEach(engines []*engine, demand map[string]modelDemand, newest map[string]uint64, within func(service string, engines []*engine, demand map[string]modelDemand) map[string]string) map[string]string {
	out := make(map[string]string, len(engines))
	demand = withNamed(demand, newest)
	byService := make(map[string][]*engine)
	for _, e := range engines {
		byService[e.software.Service] = append(byService[e.software.Service], e)
	}
	for service, list := range byService {
		served := maps.Clone(demand)
		maps.DeleteFunc(served, func(_ string, d modelDemand) bool { return !d.servedBy(service) })
		maps.Copy(out, within(service, list, served))
	}
	return out
}

// assignWithin is assignModels for engines that may all serve the models of demand. An engine
// keeps its model from before as far as the quotas allow. Others get the model for which they
// are the fewest versions behind, and the fastest of them those with the longest texts.
func assignWithin(now time.Time, engines []*engine, demand map[string]modelDemand, newest map[string]uint64, before map[string]string) map[string]string {
	out := make(map[string]string, len(engines))
	if len(demand) == 0 {
		return out
	}
	a := assignment{demand: demand, models: sortedModels(demand), quota: engineQuotas(demand, len(engines)), newest: newest}
	median := medianEventTime(engines)
	byPace := slices.Clone(engines)
	slices.SortStableFunc(byPace, func(x, y *engine) int { return cmp.Compare(x.pace(now, median), y.pace(now, median)) })
	var rest []*engine
	for _, e := range byPace {
		if m := before[e.id]; a.quota[m] > 0 && hasModel(e, m) {
			out[e.id] = m
			a.quota[m]--
		} else {
			rest = append(rest, e)
		}
	}
	left := 0
	for _, n := range a.quota {
		left += n
	}
	for _, e := range rest {
		if left == 0 {
			break
		}
		if m := a.choose(e); m != "" {
			left--
			out[e.id] = m
			a.quota[m]--
		}
	}
	return out
}

type assignment struct {
	demand map[string]modelDemand
	models []string       // of demand, sorted
	quota  map[string]int // engines that each model still gets
	newest map[string]uint64
}

// choose returns the model for an engine, or "" if it has none with a quota left.
func (a *assignment) choose(e *engine) string {
	best := ""
	for _, m := range a.models {
		if a.quota[m] > 0 && hasModel(e, m) && (best == "" || a.preferred(e, m, best)) {
			best = m
		}
	}
	return best
}

func (a *assignment) preferred(e *engine, m, other string) bool {
	if x, y := a.lag(e, m), a.lag(e, other); x != y {
		return x < y
	}
	if x, y := a.demand[m].longest, a.demand[other].longest; max(x, y) > sameLength*min(x, y) {
		return x > y
	}
	return a.quota[m] > a.quota[other]
}

func (a *assignment) lag(e *engine, m string) uint64 {
	return a.newest[m] - min(a.newest[m], e.versions[m])
}

func hasModel(e *engine, model string) bool {
	_, ok := e.versions[model]
	return ok
}

func sortedModels[T any](byModel map[string]T) []string { return slices.Sorted(maps.Keys(byModel)) }

// engineQuotas distributes n engines over the models by demand, at least one to each. A model
// gets no more engines than it has items open at the same time, as more could run none: with
// hundreds of idle engines each further one would only load every version. The others get
// what it leaves, and if none of them needs it, some engines have no model.
func engineQuotas(demand map[string]modelDemand, n int) map[string]int {
	quota := sharesByDemand(demand, n)
	others := make(map[string]modelDemand) // that could use more engines
	given, spare := 0, 0                   // engines of the others, and what they may get besides
	for m, d := range demand {
		if most := d.mostEngines(); most > 0 && quota[m] >= most {
			spare += quota[m] - most
			quota[m] = most
			continue
		}
		others[m] = d
		given += quota[m]
	}
	if spare > 0 && len(others) > 0 {
		maps.Copy(quota, engineQuotas(others, given+spare))
	}
	return quota
}

// mostEngines returns the number of engines that can run items of the model at the same time,
// or 0 if that is unknown.
func (d modelDemand) mostEngines() int { return int(math.Ceil(d.open)) }

// sharesByDemand distributes n engines over the models in proportion to their tokens, at least
// one to each.
func sharesByDemand(demand map[string]modelDemand, n int) map[string]int {
	models := sortedModels(demand)
	total := 0.0
	for _, m := range models {
		total += demand[m].tokens
	}
	share := make(map[string]float64, len(models)) // engines, not rounded
	quota := make(map[string]int, len(models))
	left := n
	for _, m := range models {
		share[m] = float64(n) / float64(len(models))
		if total > 0 {
			share[m] = float64(n) * demand[m].tokens / total
		}
		quota[m] = max(1, int(share[m]))
		left -= quota[m]
	}
	// Engines left over by rounding go to the models that miss the largest part of one.
	slices.SortStableFunc(models, func(x, y string) int {
		return cmp.Compare(share[y]-float64(quota[y]), share[x]-float64(quota[x]))
	})
	for i := 0; left > 0; i, left = i+1, left-1 {
		quota[models[i%len(models)]]++
	}
	return quota
}
