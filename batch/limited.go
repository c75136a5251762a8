package batch

import "maps"

const (
	// swapInterval is the least time between two exchanges of engines: one costs two loads and
	// shows its effect after them.
	swapInterval = 2 * expectedLoadTime
	// swapBacklog is the backlog of a model in seconds, at the pace at which its engines take
	// runs, from which it gets an engine without a limit.
	swapBacklog = 1.0
	// swapRatio is how many times as long the backlog must be as that of the model that gives
	// the engine.
	swapRatio = 2.0
	// runsPerSlot is a low estimate of the runs a second that a slot of an engine without a limit
	// takes.
	runsPerSlot = 1.0
)

// capacity is what the engines of a model take.
type capacity struct {
	perSecond float64 // runs
	unlimited int     // engines without a limit
}

// backlog returns the time in seconds that the engines take to begin the pending runs.
func (c capacity) backlog(pending int) float64 {
	if pending == 0 {
		return 0
	}
	return float64(pending) / c.perSecond // infinite without engines
}

func capacities(engines []*engine, assigned map[string]string) map[string]capacity {
	out := make(map[string]capacity)
	for _, e := range engines {
		m, ok := assigned[e.id]
		if !ok || e.draining {
			continue
		}
		c := out[m]
		if e.limited {
			c.perSecond += e.perSecond
		} else {
			c.perSecond += runsPerSlot * float64(e.slots)
			c.unlimited++
		}
		out[m] = c
	}
	return out
}

// swapLimited exchanges an engine of a model whose runs wait for engines that are at their
// limits for an engine without a limit of the model with the least backlog. Shares of engines
// are by tokens, and a limit counts requests: short texts need many. It returns the assignment
// unchanged if no exchange helps.
func swapLimited(engines []*engine, assigned map[string]string, pending map[string]int, demand map[string]modelDemand) map[string]string {
	all := capacities(engines, assigned)
	needy, giver := "", ""
	for _, m := range sortedModels(all) {
		backlog := all[m].backlog(pending[m])
		if all[m].unlimited == 0 && backlog > swapBacklog && (needy == "" || backlog > all[needy].backlog(pending[needy])) {
			needy = m
		}
	}
	if needy == "" {
		return assigned
	}
	for _, m := range sortedModels(all) {
		backlog := all[m].backlog(pending[m])
		if all[m].unlimited == 0 || backlog*swapRatio > all[needy].backlog(pending[needy]) {
			continue
		}
		if giver == "" || backlog < all[giver].backlog(pending[giver]) {
			giver = m
		}
	}
	take, give := leastLimit(engines, assigned, needy), unlimitedOf(engines, assigned, giver)
	if take == nil || give == nil || !hasModel(give, needy) || !hasModel(take, giver) {
		return assigned
	}
	if !demand[needy].servedBy(give.software.Service) || !demand[giver].servedBy(take.software.Service) {
		return assigned
	}
	out := maps.Clone(assigned)
	out[take.id], out[give.id] = giver, needy
	return out
}

// leastLimit returns the engine of a model with the lowest limit, or nil.
func leastLimit(engines []*engine, assigned map[string]string, model string) *engine {
	var least *engine
	for _, e := range engines {
		if assigned[e.id] == model && e.limited && e.load == nil && (least == nil || e.perSecond < least.perSecond) {
			least = e
		}
	}
	return least
}

// unlimitedOf returns the engine of a model without a limit and with the fewest runs, or nil.
func unlimitedOf(engines []*engine, assigned map[string]string, model string) *engine {
	var best *engine
	for _, e := range engines {
		if model != "" && assigned[e.id] == model && !e.limited && !e.draining && e.load == nil && (best == nil || e.running < best.running) {
			best = e
		}
	}
	return best
}
