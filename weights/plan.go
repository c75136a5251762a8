// Package weights plans how a new weight version is distributed to the replicas of a
// pool: from which sources each agent fetches the bytes, and when each replica
// performs the weight swap. It does no I/O and reads no clock.
package weights

import (
	"cmp"
	"hash/fnv"
	"slices"
	"strconv"
)

const (
	// FanOut is the maximum number of agents with the same parent. With 4, the 65
	// agents of a pool in one zone (up to 85) are at most 3 hops from the zone's seed,
	// the agent whose only source is the store.
	FanOut = 4
	// swapShareDivisor limits concurrent swaps to a quarter of a pool, but at least one
	// replica.
	swapShareDivisor = 4
	// fallbackAgents is the number of agents that are tried after the parent and
	// before the store.
	fallbackAgents = 2
)

// Member is a replica of a pool and its agent.
type Member struct {
	Target string
	Zone   string
	Agent  string // link address
}

// Source is where an agent fetches weights from: another agent, or the weight store
// if Agent is empty.
type Source struct {
	Target string
	Agent  string
}

// Store is the Source of the weight store.
var Store = Source{}

// Plan is the distribution plan for one version in one pool. Every agent computes the
// same plan from the same configuration.
type Plan struct {
	Pool     string
	Version  uint64
	byRank   []Member // ordered by rank, which depends on the version
	byTarget []Member // ordered by target, the same for every version
}

// NewPlan returns the plan for a version. The ranks depend on the version, so that a
// replica that fails as a seed, or delays the replicas that swap after it, does not do so
// for every version.
func NewPlan(pool string, version uint64, members []Member) *Plan {
	p := &Plan{Pool: pool, Version: version, byRank: slices.Clone(members)}
	weight := make(map[string]uint64, len(members))
	for _, m := range members {
		weight[m.Target] = rankHash(pool, version, m.Target)
	}
	slices.SortFunc(p.byRank, func(a, b Member) int {
		return cmp.Or(cmp.Compare(weight[a.Target], weight[b.Target]), cmp.Compare(a.Target, b.Target))
	})
	p.byTarget = slices.Clone(members)
	slices.SortFunc(p.byTarget, func(a, b Member) int { return cmp.Compare(a.Target, b.Target) })
	return p
}

// rankHash returns the value by which members are ranked.
func rankHash(pool string, version uint64, target string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(pool + "/" + strconv.FormatUint(version, 10) + "/" + target))
	// The last bytes of the input hardly affect the high bits of FNV; the
	// multiplication spreads them.
	x := h.Sum64()
	x ^= x >> 32
	return x * 0x9e3779b97f4a7c15
}

// zoneMembers returns the members in the zone of target in rank order, and the rank of
// target among them, or -1 if target is not a member.
func (p *Plan) zoneMembers(target string) ([]Member, int) {
	at := slices.IndexFunc(p.byRank, func(m Member) bool { return m.Target == target })
	if at < 0 {
		return nil, -1
	}
	var peers []Member
	own := 0
	for i, m := range p.byRank {
		if m.Zone != p.byRank[at].Zone {
			continue
		}
		if i == at {
			own = len(peers)
		}
		peers = append(peers, m)
	}
	return peers, own
}

// Sources returns the sources of target in order of preference. An agent fetches only
// from agents of lower rank, so that no two wait for each other.
func (p *Plan) Sources(target string) []Source {
	peers, own := p.zoneMembers(target)
	if own <= 0 {
		return []Source{Store} // the seed of its zone, or not a member
	}
	parent := (own - 1) / FanOut
	sources := []Source{{peers[parent].Target, peers[parent].Agent}}
	// Fall back to the agents just before target in rank. Most of them have the same
	// parent as target. Among the agents of lower rank they have the fewest children.
	for i := own - 1; i >= 0 && len(sources) <= fallbackAgents; i-- {
		if i != parent {
			sources = append(sources, Source{peers[i].Target, peers[i].Agent})
		}
	}
	return append(sources, Store)
}

// Lanes returns the number of lanes, which is the number of replicas that may swap
// concurrently: a quarter of the pool, but at least one.
func (p *Plan) Lanes() int { return max(1, len(p.byRank)/swapShareDivisor) }

// Lane returns the replicas in the lane of target in swap order, and the position of
// target, or -1 if it is not a member. At most one replica of a lane swaps at a time.
// The assignment to lanes does not depend on the version, so that the limit also includes
// swaps to a superseded version that are still running.
func (p *Plan) Lane(target string) ([]Member, int) {
	at := slices.IndexFunc(p.byTarget, func(m Member) bool { return m.Target == target })
	if at < 0 {
		return nil, -1
	}
	lanes := p.Lanes()
	var lane []Member
	for _, m := range p.byRank {
		i := slices.IndexFunc(p.byTarget, func(s Member) bool { return s.Target == m.Target })
		if i%lanes == at%lanes {
			lane = append(lane, m)
		}
	}
	return lane, slices.IndexFunc(lane, func(m Member) bool { return m.Target == target })
}
