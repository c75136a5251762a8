package control

import (
	"slices"

	"merlinhall/config"
	"merlinhall/wire"
)

// ConfigUser is a slice that decides by the configuration. Current returns the
// configuration that is in force at the command being applied, the same on every
// replica, and nil before the first one; it may be called from any goroutine.
type ConfigUser interface {
	UseConfig(current func() *config.Config)
}

// WeightsSource is a slice that sets the weight versions of pools. A pool has one
// owner: a source refuses operators' publications for its pools as a WeightsGate.
type WeightsSource interface {
	Weights() []wire.WeightTarget
}

// connectParts gives slices what they take from others.
func (m *Machine) connectParts() {
	for _, s := range m.order {
		if u, ok := s.(ConfigUser); ok {
			u.UseConfig(m.parsed.Load)
		}
	}
}

// parseConfig keeps the parsed form of the current configuration. A text was
// checked before it was accepted, so a text that does not parse is one of a newer
// version of the program; the older one stays in use.
func (m *Machine) parseConfig() {
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

// takeSourced reports whether a source changed the weights of a pool.
func (m *Machine) takeSourced() bool {
	var sourced []wire.WeightTarget
	for _, s := range m.order {
		if source, ok := s.(WeightsSource); ok {
			sourced = append(sourced, source.Weights()...)
		}
	}
	if slices.Equal(sourced, m.sourced) {
		return false
	}
	m.sourced = sourced
	return true
}

// addSourced puts the weights of sources into the world. The higher version wins
// when operators published to the pool before its trainer did: a version never
// goes back.
func (m *Machine) addSourced(w *wire.World) {
	for _, t := range m.sourced {
		older := func(o wire.WeightTarget) bool { return o.Pool == t.Pool && o.Version <= t.Version }
		w.Weights = slices.DeleteFunc(w.Weights, older)
		if !slices.ContainsFunc(w.Weights, func(o wire.WeightTarget) bool { return o.Pool == t.Pool }) {
			w.Weights = append(w.Weights, t)
		}
	}
	slices.SortFunc(w.Weights, byPool)
}

// Config returns the parsed current configuration, or nil before the first one.
func (m *Machine) Config() *config.Config { return m.parsed.Load() }
