package control

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/rotisserie/eris"

	"merlinhall/actor"
	"merlinhall/wire"
)

// maxPools is the maximum number of pools with weights.
const maxPools = 4096

// weightsSlice holds the weight version of each pool. A version never decreases.
type weightsSlice struct {
	pools   map[string]wire.WeightTarget
	gates   func() []WeightsGate
	changed bool
}

func newWeightsSlice(gates func() []WeightsGate) *weightsSlice {
	return &weightsSlice{pools: make(map[string]wire.WeightTarget), gates: gates}
}

// Name implements Slice.
func (s *weightsSlice) Name() string { return "weights" }

// Apply implements Slice. The result is a *wire.PublishedWeights.
func (s *weightsSlice) Apply(index, term uint64, body []byte) any {
	var p wire.PublishWeights
	if err := wire.Unmarshal(body, &p); err != nil {
		return eris.Wrapf(ErrBadCommand, "%v", err)
	}
	current := s.pools[p.Pool]
	if why := s.refusal(&p, current); why != "" {
		return &wire.PublishedWeights{Pool: p.Pool, Version: current.Version, Fence: current.Fence, Refused: why}
	}
	if p.Version > current.Version {
		actor.Invariant(p.Version > current.Version, "weight version of pool %s decreases from %d to %d", p.Pool, current.Version, p.Version)
		current = wire.WeightTarget{
			Pool:    p.Pool,
			Version: p.Version,
			Fence:   wire.Fence{Term: term, Sequence: index},
			Trainer: p.Trainer,
		}
		s.pools[p.Pool] = current
		s.changed = true
		for _, g := range s.gates() {
			g.WeightsPublished(index, term, p)
		}
	}
	return &wire.PublishedWeights{Pool: p.Pool, Version: current.Version, Fence: current.Fence}
}

// refusal returns the reason to refuse a publication, or "". Publishing the pool's
// current version again is accepted.
func (s *weightsSlice) refusal(p *wire.PublishWeights, current wire.WeightTarget) string {
	switch {
	case p.Pool == "" || p.Version == 0:
		return "a pool and a version above 0 are needed"
	case p.Version < current.Version:
		return fmt.Sprintf("version %d is older than version %d of pool %q", p.Version, current.Version, p.Pool)
	case p.Version == current.Version:
		return ""
	case current.Pool == "" && len(s.pools) >= maxPools:
		return fmt.Sprintf("%d pools have weights already", maxPools)
	}
	for _, g := range s.gates() {
		if why := g.RefuseWeights(*p); why != "" {
			return why
		}
	}
	return ""
}

func (s *weightsSlice) takeChanged() bool {
	changed := s.changed
	s.changed = false
	return changed
}

func (s *weightsSlice) addTo(state *wire.ClusterState) { state.Weights = s.list() }

func (s *weightsSlice) list() []wire.WeightTarget {
	list := make([]wire.WeightTarget, 0, len(s.pools))
	for _, t := range s.pools {
		list = append(list, t)
	}
	slices.SortFunc(list, byPool)
	return list
}

func byPool(a, b wire.WeightTarget) int { return cmp.Compare(a.Pool, b.Pool) }

// Snapshot implements Slice.
func (s *weightsSlice) Snapshot() ([]byte, error) { return wire.Marshal(s.list()) }

// Restore implements Slice.
func (s *weightsSlice) Restore(b []byte) error {
	var list []wire.WeightTarget
	if err := wire.Unmarshal(b, &list); err != nil {
		return err
	}
	s.pools = make(map[string]wire.WeightTarget, len(list))
	for _, t := range list {
		s.pools[t.Pool] = t
	}
	return nil
}

// DecodeResult implements ResultDecoder.
func (s *weightsSlice) DecodeResult(b []byte) (any, error) {
	p := new(wire.PublishedWeights)
	return p, wire.Unmarshal(b, p)
}
