package ledger

import (
	"maps"
	"sync"

	"github.com/rotisserie/eris"

	"merlinhall/wire"
)

// Hosts is the slice of the control hosts that an operator wants to retire.
type Hosts struct {
	mu      sync.Mutex
	retired map[string]bool
}

// NewHosts returns an empty slice.
func NewHosts() *Hosts { return &Hosts{retired: make(map[string]bool)} }

type retireCommand struct {
	Host string `cbor:"1,keyasint"`
}

// RetireCommand returns the command that marks a host for retirement.
func RetireCommand(host string) ([]byte, error) { return wire.Marshal(&retireCommand{Host: host}) }

// Retired reports whether a host is marked for retirement.
func (h *Hosts) Retired(host string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.retired[host]
}

// List returns the hosts that are marked for retirement.
func (h *Hosts) List() map[string]bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return maps.Clone(h.retired)
}

// Name implements control.Slice.
func (h *Hosts) Name() string { return "hosts" }

// Apply implements control.Slice.
func (h *Hosts) Apply(_, _ uint64, body []byte) any {
	var c retireCommand
	if err := wire.Unmarshal(body, &c); err != nil {
		return eris.Wrap(err, "ledger: hosts")
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.retired[c.Host] = true
	return nil
}

// Snapshot implements control.Slice.
func (h *Hosts) Snapshot() ([]byte, error) { return wire.Marshal(h.List()) }

// Restore implements control.Slice.
func (h *Hosts) Restore(snapshot []byte) error {
	retired := make(map[string]bool)
	if err := wire.Unmarshal(snapshot, &retired); err != nil {
		return err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.retired = retired
	return nil
}
