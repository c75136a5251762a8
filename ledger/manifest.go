package ledger

import (
	"maps"
	"sync"
	"sync/atomic"

	"github.com/rotisserie/eris"

	"merlinhall/routes"
	"merlinhall/wire"
)

// Manifests is the slice of the routing manifest. The highest version is in effect.
type Manifests struct {
	current   atomic.Pointer[routes.Table]
	interpret func(text []byte) (*routes.Manifest, error)
	mu        sync.Mutex
	onChange  func(*routes.Manifest)
}

// NewManifests returns a slice without a manifest. interpret decodes the text of one; it may
// be nil. A manifest that another version of this program has put into the log is decoded
// again, because that version may not know all of the text.
func NewManifests(interpret func(text []byte) (*routes.Manifest, error)) *Manifests {
	return &Manifests{interpret: interpret}
}

// OnChange sets f to be called with each new manifest, from the goroutine that applies it,
// and calls it at once if there is a manifest. f must not block.
func (m *Manifests) OnChange(f func(*routes.Manifest)) {
	m.mu.Lock()
	m.onChange = f
	m.mu.Unlock()
	if t := m.Table(); t != nil {
		f(t.Manifest())
	}
}

// Table returns the routes in effect, or nil before the first manifest.
func (m *Manifests) Table() *routes.Table { return m.current.Load() }

// Name implements control.Slice.
func (m *Manifests) Name() string { return "manifests" }

// Apply implements control.Slice. A manifest is ignored unless its version is above the
// current one.
func (m *Manifests) Apply(_, _ uint64, body []byte) any {
	next := new(routes.Manifest)
	if err := wire.Unmarshal(body, next); err != nil {
		return eris.Wrap(err, "ledger: manifest")
	}
	if t := m.Table(); t == nil || next.Version > t.Manifest().Version {
		m.set(next)
	}
	return nil
}

// set puts a manifest into force.
func (m *Manifests) set(next *routes.Manifest) {
	if m.interpret != nil && len(next.Raw) > 0 {
		if again, err := m.interpret(next.Raw); err == nil && again.Version == next.Version {
			next = again
		}
	}
	m.current.Store(routes.NewTable(next))
	m.mu.Lock()
	f := m.onChange
	m.mu.Unlock()
	if f != nil {
		f(next)
	}
}

// Snapshot implements control.Slice.
func (m *Manifests) Snapshot() ([]byte, error) {
	if t := m.Table(); t != nil {
		return wire.Marshal(t.Manifest())
	}
	return nil, nil
}

// Restore implements control.Slice.
func (m *Manifests) Restore(snapshot []byte) error {
	if len(snapshot) == 0 {
		return nil
	}
	next := new(routes.Manifest)
	if err := wire.Unmarshal(snapshot, next); err != nil {
		return err
	}
	m.set(next)
	return nil
}

// Versions is the slice of the newest weight version of each model.
type Versions struct {
	mu       sync.Mutex
	newest   map[string]uint64
	onChange func()
}

// NewVersions returns an empty slice.
func NewVersions() *Versions { return &Versions{newest: make(map[string]uint64)} }

// OnChange sets f to be called after each new version, from the goroutine that applies it.
func (v *Versions) OnChange(f func()) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.onChange = f
}

// Newest returns the newest announced version of each model.
func (v *Versions) Newest() map[string]uint64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	return maps.Clone(v.newest)
}

// Name implements control.Slice.
func (v *Versions) Name() string { return "versions" }

// Apply implements control.Slice.
func (v *Versions) Apply(_, _ uint64, body []byte) any {
	var in wire.ModelVersion
	if err := wire.Unmarshal(body, &in); err != nil {
		return eris.Wrap(err, "ledger: version")
	}
	v.mu.Lock()
	f := v.onChange
	newer := in.Version > v.newest[in.Model]
	if newer {
		v.newest[in.Model] = in.Version
	}
	v.mu.Unlock()
	if newer && f != nil {
		f()
	}
	return nil
}

// Snapshot implements control.Slice.
func (v *Versions) Snapshot() ([]byte, error) { return wire.Marshal(v.Newest()) }

// Restore implements control.Slice.
func (v *Versions) Restore(snapshot []byte) error {
	newest := make(map[string]uint64)
	if err := wire.Unmarshal(snapshot, &newest); err != nil {
		return err
	}
	v.mu.Lock()
	v.newest = newest
	f := v.onChange
	v.mu.Unlock()
	if f != nil {
		f()
	}
	return nil
}
