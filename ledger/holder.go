package ledger

import (
	"sync"

	"github.com/rotisserie/eris"

	"merlinhall/wire"
)

// Holder is the slice that names the order holder: the process that last began to send
// orders to engines.
type Holder struct {
	mu      sync.Mutex
	process string
	boot    string
}

// NewHolder returns a slice without an order holder.
func NewHolder() *Holder { return &Holder{} }

type holderCommand struct {
	Process string `cbor:"1,keyasint"`
	Boot    string `cbor:"2,keyasint"` // boot id of the process
}

// HolderCommand returns the command that makes a process the order holder.
func HolderCommand(process, boot string) ([]byte, error) {
	return wire.Marshal(&holderCommand{Process: process, Boot: boot})
}

// Last returns the name and boot id of the last order holder, or empty strings.
func (h *Holder) Last() (process, boot string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.process, h.boot
}

// Name implements control.Slice.
func (h *Holder) Name() string { return "holder" }

// Apply implements control.Slice.
func (h *Holder) Apply(_, _ uint64, body []byte) any {
	var c holderCommand
	if err := wire.Unmarshal(body, &c); err != nil {
		return eris.Wrap(err, "ledger: holder")
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.process, h.boot = c.Process, c.Boot
	return nil
}

// Snapshot implements control.Slice.
func (h *Holder) Snapshot() ([]byte, error) {
	process, boot := h.Last()
	return HolderCommand(process, boot)
}

// Restore implements control.Slice.
func (h *Holder) Restore(snapshot []byte) error {
	var c holderCommand
	if err := wire.Unmarshal(snapshot, &c); err != nil {
		return err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.process, h.boot = c.Process, c.Boot
	return nil
}
