package propagate

import (
	"cmp"
	"hash/fnv"
	"slices"
)

// Candidate is a process that may become the parent.
type Candidate struct {
	Name    string
	Zone    string
	Address string // link address, used when the follower dials itself
	Control bool   // a control replica
}

// Rank orders the candidates for the process self in zone: entries before control
// replicas, its own zone before others, then by rendezvous hash, so that the loss
// of one parent spreads its children over all others.
func Rank(self, zone string, candidates []Candidate) []Candidate {
	ranked := slices.Clone(candidates)
	slices.SortFunc(ranked, func(a, b Candidate) int {
		return cmp.Or(
			compareBool(a.Control, b.Control),
			compareBool(a.Zone != zone, b.Zone != zone),
			cmp.Compare(score(self, b.Name), score(self, a.Name)),
			cmp.Compare(a.Name, b.Name),
		)
	})
	return ranked
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

// score mixes the hash once more, because names that differ in their last digit
// differ only in the low bits of FNV.
func score(child, parent string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(child))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(parent))
	x := h.Sum64()
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	return x
}
