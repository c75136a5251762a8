package ledger

import (
	"sync"

	"github.com/rotisserie/eris"

	"merlinhall/wire"
)

// Holder is the slice of the process that last began to give orders to engines.
type Holder struct {
	mu      sync.Mutex
	process string
	boot    string
}

// NewHolder returns a slice without a holder.
func NewHolder() *Holder { return &Holder{} }

type holderCommand struct {
	Process string `cbor:"1,keyasint"`
	Boot    string `cbor:"2,keyasint"` // differs between two runs of the process
}

// HolderCommand returns the command that names a holder.
func HolderCommand(process, boot string) ([]byte, error) {
	return wire.Marshal(&holderCommand{Process: process, Boot: boot})
}

// Last returns the process that last began to give orders and its boot, or "".
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
