package routing

import (
	"cmp"
	"slices"

	"merlinhall/config"
	"merlinhall/rendezvous"
)

// Subset returns the targets that the entry of that name keeps links to, at most
// size of them, in the order of targets. A link costs both ends heartbeats and
// load reports, so that an entry cannot keep one to each of thousands of targets.
//
// Targets for which near is true come first: each agent follows one entry, so
// that every target belongs to the subset of at least one. The rest are chosen by
// rendezvous hash, one zone after the other, so that a subset spreads over the
// zones and changes little when a target comes or goes. Targets for which avoid is
// true are taken only when no others are left.
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
	for _, t := range byZones(entry, targets, avoid) {
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

// ranked is a target with its place in the order of one entry.
type ranked struct {
	config.Target
	avoid bool
	round int // place within its zone
	hash  uint64
}

// byZones orders targets by rendezvous hash within each zone and takes the zones
// in turn.
func byZones(entry string, targets []config.Target, avoid func(string) bool) []ranked {
	all := make([]ranked, 0, len(targets))
	for _, t := range targets {
		all = append(all, ranked{Target: t, avoid: avoid(t.Name), hash: rendezvous.Score(entry, t.Name)})
	}
	slices.SortFunc(all, func(a, b ranked) int {
		return cmp.Or(rendezvous.FalseFirst(a.avoid, b.avoid), cmp.Compare(a.hash, b.hash), cmp.Compare(a.Name, b.Name))
	})
	rounds := make(map[string]int)
	for i := range all {
		all[i].round = rounds[all[i].Zone]
		rounds[all[i].Zone]++
	}
	slices.SortStableFunc(all, func(a, b ranked) int {
		return cmp.Or(rendezvous.FalseFirst(a.avoid, b.avoid), cmp.Compare(a.round, b.round), cmp.Compare(a.hash, b.hash))
	})
	return all
}

// Quotas divides maxLinks over services with the given numbers of targets. Each
// service gets all its targets when they fit, and else a part in proportion, but
// at least minimum.
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
