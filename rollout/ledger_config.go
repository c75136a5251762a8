package rollout

import (
	"fmt"

	"merlinhall/config"
	"merlinhall/wire"
)

// UseConfig makes the ledger read the trainers' rules from the configuration. It
// implements control.ConfigUser.
func (l *Ledger) UseConfig(current func() *config.Config) {
	l.UseRules(func(trainer string) (TrainerRules, bool) {
		c := current()
		if c == nil {
			return TrainerRules{}, false
		}
		t := c.Trainer(trainer)
		if t == nil {
			return TrainerRules{}, false
		}
		return TrainerRules{Bound: t.StalenessBound, Pools: t.Pools}, true
	})
}

// RefuseWeights implements control.WeightsGate: an operator cannot publish weights to
// a pool that a trainer publishes to, because the staleness of the trainer's samples
// is counted in its own versions.
func (l *Ledger) RefuseWeights(p wire.PublishWeights) string {
	l.mu.RLock()
	defer l.mu.RUnlock()
	if pool := l.state.Pools[p.Pool]; pool != nil {
		return fmt.Sprintf("the weights of pool %q are published by trainer %q", p.Pool, pool.Trainer)
	}
	return ""
}

// WeightsPublished implements control.WeightsGate.
func (l *Ledger) WeightsPublished(uint64, uint64, wire.PublishWeights) {}
