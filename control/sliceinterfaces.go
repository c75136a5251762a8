package control

import (
	"slices"

	"merlinhall/config"
	"merlinhall/wire"
)

// ConfigUser is a slice whose commands depend on the configuration. The function
// current returns the configuration in force at the command being applied, which is
// the same on every replica, or nil before the first one. It may be called from any
// goroutine.
type ConfigUser interface {
	UseConfig(current func() *config.Config)
}

// WeightsSource is a slice that sets the weight versions of its pools. A pool has a
// single owner: as a WeightsGate, the source refuses operators' publications for its
// pools.
type WeightsSource interface {
	Weights() []wire.WeightTarget
}

// connectConfigUsers gives access to the configuration to the slices that need it.
func (m *StateMachine) connectConfigUsers() {
	for _, s := range m.order {
		if u, ok := s.(ConfigUser); ok {
			u.UseConfig(m.parsed.Load)
		}
	}
}

// parseConfig updates the parsed configuration if the version has changed. Texts are
// checked before they are accepted, so a text that fails to parse was accepted by a
// newer build; the previous configuration then stays in use.
func (m *StateMachine) parseConfig() {
	r := m.config.current()
	if r.Version == m.parsedVersion {
		return
	}
	m.parsedVersion = r.Version
	text, ok := m.config.state.text(r.Version)
	if !ok {
		return
	}
	if c, err := config.Load(text); err == nil {
		m.parsed.Store(c)
	}
}

// refreshSourceWeights reads the weights of all sources and reports whether they have
// changed.
func (m *StateMachine) refreshSourceWeights() bool {
	var sourced []wire.WeightTarget
	for _, s := range m.order {
		if source, ok := s.(WeightsSource); ok {
			sourced = append(sourced, source.Weights()...)
		}
	}
	if slices.Equal(sourced, m.sourceWeights) {
		return false
	}
	m.sourceWeights = sourced
	return true
}

// addSourceWeights adds the weights of sources to the cluster state. If an operator
// published to the pool before its trainer did, the higher version wins, because a
// version must never decrease.
func (m *StateMachine) addSourceWeights(state *wire.ClusterState) {
	for _, t := range m.sourceWeights {
		older := func(o wire.WeightTarget) bool { return o.Pool == t.Pool && o.Version <= t.Version }
		state.Weights = slices.DeleteFunc(state.Weights, older)
		if !slices.ContainsFunc(state.Weights, func(o wire.WeightTarget) bool { return o.Pool == t.Pool }) {
			state.Weights = append(state.Weights, t)
		}
	}
	slices.SortFunc(state.Weights, byPool)
}

// Config returns the parsed current configuration, or nil if there is none yet.
func (m *StateMachine) Config() *config.Config { return m.parsed.Load() }
