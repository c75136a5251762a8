package propagate

import (
	"cmp"
	"slices"

	"merlinhall/rendezvous"
)

// Candidate is a process that may become the parent of a follower.
type Candidate struct {
	Name    string
	Zone    string
	Address string // link address, used if the follower dials
	Control bool   // a control replica
}

// Rank returns the candidates in the order of preference of process self in zone:
// entries before control replicas, then its own zone before others, then by
// rendezvous hash, so that the children of a lost parent spread over the others.
func Rank(self, zone string, candidates []Candidate) []Candidate {
	ranked := slices.Clone(candidates)
	slices.SortFunc(ranked, func(a, b Candidate) int {
		return cmp.Or(
			rendezvous.FalseFirst(a.Control, b.Control),
			rendezvous.FalseFirst(a.Zone != zone, b.Zone != zone),
			cmp.Compare(rendezvous.Score(self, b.Name), rendezvous.Score(self, a.Name)),
			cmp.Compare(a.Name, b.Name),
		)
	})
	return ranked
}
