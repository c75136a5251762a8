package ledger

import (
	"slices"
	"sync"

	"github.com/rotisserie/eris"

	"merlinhall/wire"
)

// keptWindows is the number of reported usage windows that are kept for operators.
const keptWindows = 64

// maxWindows bounds the windows that are kept while nothing takes the reports. The oldest
// ones are dropped.
const maxWindows = 4096

// ErrWindowFixed is the result of a command that fixes a window again.
var ErrWindowFixed = eris.New("ledger: the usage of the window is fixed already")

// AccountUsage is the number of requests of one client account.
type AccountUsage struct {
	Account string `cbor:"1,keyasint"`
	Count   int    `cbor:"2,keyasint"`
}

// UsageWindow is the usage of all accounts in one window of time. Accounts without requests
// are left out.
type UsageWindow struct {
	Window int64          `cbor:"1,keyasint"` // number of the window since the start of 1970
	Counts []AccountUsage `cbor:"2,keyasint,omitempty"`
	// Reported is set once the platform has acknowledged the window.
	Reported bool `cbor:"3,keyasint,omitempty"`
}

// usageCommand is the body of a command. Exactly one operation is set.
type usageCommand struct {
	Fix      *UsageWindow `cbor:"1,keyasint,omitempty"`
	Reported int64        `cbor:"2,keyasint,omitempty"`
}

// FixUsageCommand returns the command that fixes the usage of a window for good.
func FixUsageCommand(w UsageWindow) ([]byte, error) { return wire.Marshal(&usageCommand{Fix: &w}) }

// UsageReportedCommand returns the command that notes that a window is reported.
func UsageReportedCommand(window int64) ([]byte, error) {
	return wire.Marshal(&usageCommand{Reported: window})
}

// Usage is the slice of usage by window. What is fixed never changes: whoever leads reports
// exactly that.
type Usage struct {
	mu    sync.Mutex
	state usageState
}

type usageState struct {
	Next    int64         `cbor:"1,keyasint,omitempty"` // windows before it are fixed or skipped
	Windows []UsageWindow `cbor:"2,keyasint,omitempty"` // oldest first
}

// NewUsage returns a slice without windows.
func NewUsage() *Usage { return &Usage{} }

// Next returns the first window that is not fixed, or 0 if none ever was.
func (u *Usage) Next() int64 {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.state.Next
}

// Unreported returns the oldest window that is fixed and not reported.
func (u *Usage) Unreported() (UsageWindow, bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, w := range u.state.Windows {
		if !w.Reported {
			return w, true
		}
	}
	return UsageWindow{}, false
}

// Windows returns the windows that are kept, oldest first.
func (u *Usage) Windows() []UsageWindow {
	u.mu.Lock()
	defer u.mu.Unlock()
	return slices.Clone(u.state.Windows)
}

// Name implements control.Slice.
func (u *Usage) Name() string { return "usage" }

// Unused implements control.LaterSlice.
func (u *Usage) Unused() bool { return u.Next() == 0 }

// Level implements control.LaterSlice.
func (u *Usage) Level() uint32 { return wire.LevelUsage }

// Apply implements control.Slice.
func (u *Usage) Apply(_, _ uint64, body []byte) any {
	var c usageCommand
	if err := wire.Unmarshal(body, &c); err != nil {
		return eris.Wrap(err, "ledger: usage")
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	if c.Fix == nil {
		u.markReported(c.Reported)
		return nil
	}
	if c.Fix.Window < u.state.Next {
		return eris.Wrapf(ErrWindowFixed, "%d", c.Fix.Window)
	}
	u.state.Next = c.Fix.Window + 1
	u.state.Windows = append(u.state.Windows, *c.Fix)
	if extra := len(u.state.Windows) - maxWindows; extra > 0 {
		u.state.Windows = slices.Clone(u.state.Windows[extra:])
	}
	return nil
}

// markReported notes that a window is reported and drops the oldest reported ones.
func (u *Usage) markReported(window int64) {
	windows := slices.Clone(u.state.Windows)
	for i := range windows {
		if windows[i].Window == window {
			windows[i].Reported = true
		}
	}
	for len(windows) > keptWindows && windows[0].Reported {
		windows = windows[1:]
	}
	u.state.Windows = windows
}

// Snapshot implements control.Slice.
func (u *Usage) Snapshot() ([]byte, error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	return wire.Marshal(&u.state)
}

// Restore implements control.Slice.
func (u *Usage) Restore(snapshot []byte) error {
	var state usageState
	if err := wire.Unmarshal(snapshot, &state); err != nil {
		return err
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.state = state
	return nil
}
