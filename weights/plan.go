// Package weights plans how a new weight version reaches the replicas of a pool:
// from whom each agent fetches the bytes, and when each replica swaps. It is pure.
package weights

import (
	"cmp"
	"hash/fnv"
	"slices"
	"strconv"
)

const (
	// FanOut is the number of agents that fetch from the same agent. With 4, the
	// 65 agents of a zone's pool are at most 3 hops from the zone's seed.
	FanOut = 4
	// swapDivisor gives the share of replicas that swap at once: one in four.
	swapDivisor = 4
	// extraSources is the number of agents to turn to after the parent and before
	// the store.
	extraSources = 2
)

// Member is a replica of a pool and the agent beside it.
type Member struct {
	Target string
	Zone   string
	Agent  string // link address
}

// Source is where an agent fetches from: another agent, or the store when Agent
// is empty.
type Source struct {
	Target string
	Agent  string
}

// Store is the source that stands for the weight store.
var Store = Source{}

// Plan is the plan for one version of one pool. Every agent computes the same plan
// from the same configuration.
type Plan struct {
	Pool    string
	Version uint64
	members []Member // ordered by rank
	stable  []Member // in the order that is the same for every version
}

// NewPlan returns the plan. The order depends on the version, so that a replica
// that fails as seed, or holds up a lane, does not do so for every version.
func NewPlan(pool string, version uint64, members []Member) *Plan {
	p := &Plan{Pool: pool, Version: version, members: slices.Clone(members)}
	weight := make(map[string]uint64, len(members))
	for _, m := range members {
		weight[m.Target] = rank(pool, version, m.Target)
	}
	slices.SortFunc(p.members, func(a, b Member) int {
		return cmp.Or(cmp.Compare(weight[a.Target], weight[b.Target]), cmp.Compare(a.Target, b.Target))
	})
	p.stable = slices.Clone(members)
	slices.SortFunc(p.stable, func(a, b Member) int { return cmp.Compare(a.Target, b.Target) })
	return p
}

func rank(pool string, version uint64, target string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(pool + "/" + strconv.FormatUint(version, 10) + "/" + target))
	// FNV changes its high bits little for the last bytes; the multiplication
	// spreads them.
	x := h.Sum64()
	x ^= x >> 32
	return x * 0x9e3779b97f4a7c15
}

// zone returns the members of the zone of target in rank order, and the rank of
// target, or -1.
func (p *Plan) zone(target string) ([]Member, int) {
	at := slices.IndexFunc(p.members, func(m Member) bool { return m.Target == target })
	if at < 0 {
		return nil, -1
	}
	var mates []Member
	own := 0
	for i, m := range p.members {
		if m.Zone != p.members[at].Zone {
			continue
		}
		if i == at {
			own = len(mates)
		}
		mates = append(mates, m)
	}
	return mates, own
}

// Sources returns where target fetches from, in the order of preference. An agent
// fetches only from agents of lower rank, so that no two wait for each other.
func (p *Plan) Sources(target string) []Source {
	mates, own := p.zone(target)
	if own <= 0 {
		return []Source{Store} // the seed of its zone, or not a member
	}
	parent := (own - 1) / FanOut
	sources := []Source{{mates[parent].Target, mates[parent].Agent}}
	// The siblings before target hang on the same parent; those nearest in rank
	// have the fewest children yet.
	for i := own - 1; i >= 0 && len(sources) <= extraSources; i-- {
		if i != parent {
			sources = append(sources, Source{mates[i].Target, mates[i].Agent})
		}
	}
	return append(sources, Store)
}

// Lanes returns how many replicas may swap at once: a quarter of the pool, and one
// in pools of fewer than eight.
func (p *Plan) Lanes() int { return max(1, len(p.members)/swapDivisor) }

// Lane returns the replicas that share a lane with target in swap order, and the
// position of target, or -1. At most one replica of a lane swaps at a time. Which
// replicas share a lane does not depend on the version, so that swaps to a version
// that was superseded count as well.
func (p *Plan) Lane(target string) ([]Member, int) {
	at := slices.IndexFunc(p.stable, func(m Member) bool { return m.Target == target })
	if at < 0 {
		return nil, -1
	}
	lanes := p.Lanes()
	var lane []Member
	for _, m := range p.members {
		i := slices.IndexFunc(p.stable, func(s Member) bool { return s.Target == m.Target })
		if i%lanes == at%lanes {
			lane = append(lane, m)
		}
	}
	return lane, slices.IndexFunc(lane, func(m Member) bool { return m.Target == target })
}
