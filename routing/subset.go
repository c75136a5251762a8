package routing

import (
	"cmp"
	"slices"

	"merlinhall/config"
	"merlinhall/rendezvous"
)

// Subset returns the targets that the named entry keeps links to: at most size of them,
// in the order of targets. A link costs heartbeats and load reports at both ends, so an
// entry cannot keep one to each of thousands of targets.
//
// near reports whether the target's agent follows this entry; these targets come first.
// Each agent follows one entry, so every target belongs to the subset of at least one
// entry, unless an entry has more than size followers. The rest are chosen by rendezvous
// hash from the zones in turn, so that a subset spreads over the zones and changes little
// when a target is added or removed. Targets for which avoid is true are chosen only when
// no others are left.
func Subset(entry string, targets []config.Target, size int, near, avoid func(name string) bool) []config.Target {
	if len(targets) <= size {
		return targets
	}
	chosen := make(map[string]bool, size)
	for _, t := range targets {
		if len(chosen) < size && near(t.Name) && !avoid(t.Name) {
			chosen[t.Name] = true
		}
	}
	for _, t := range rankAcrossZones(entry, targets, avoid) {
		if len(chosen) >= size {
			break
		}
		chosen[t.Name] = true
	}
	out := make([]config.Target, 0, len(chosen))
	for _, t := range targets {
		if chosen[t.Name] {
			out = append(out, t)
		}
	}
	return out
}

// rankedTarget is a target with its sort keys for one entry.
type rankedTarget struct {
	config.Target
	avoid    bool
	zoneRank int // position within its zone
	hash     uint64
}

// rankAcrossZones orders targets by rendezvous hash within each zone and interleaves the
// zones. Targets to avoid come last.
func rankAcrossZones(entry string, targets []config.Target, avoid func(string) bool) []rankedTarget {
	all := make([]rankedTarget, 0, len(targets))
	for _, t := range targets {
		all = append(all, rankedTarget{Target: t, avoid: avoid(t.Name), hash: rendezvous.Score(entry, t.Name)})
	}
	slices.SortFunc(all, func(a, b rankedTarget) int {
		return cmp.Or(rendezvous.FalseFirst(a.avoid, b.avoid), cmp.Compare(a.hash, b.hash), cmp.Compare(a.Name, b.Name))
	})
	nextRank := make(map[string]int)
	for i := range all {
		all[i].zoneRank = nextRank[all[i].Zone]
		nextRank[all[i].Zone]++
	}
	slices.SortStableFunc(all, func(a, b rankedTarget) int {
		return cmp.Or(rendezvous.FalseFirst(a.avoid, b.avoid), cmp.Compare(a.zoneRank, b.zoneRank), cmp.Compare(a.hash, b.hash))
	})
	return all
}

// Quotas divides maxLinks among services with the given numbers of targets. When all
// targets fit, each service gets all of its own. Otherwise each gets a share in proportion
// to its targets, but at least minimum or all of its targets, whichever is less.
func Quotas(targets []int, maxLinks, minimum int) []int {
	total := 0
	for _, n := range targets {
		total += n
	}
	quotas := make([]int, len(targets))
	for i, n := range targets {
		quotas[i] = n
		if total > maxLinks {
			quotas[i] = min(n, max(minimum, maxLinks*n/total))
		}
	}
	return quotas
}
