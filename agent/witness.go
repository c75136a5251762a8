package agent

import (
	"context"
	"slices"
	"sync"
)

// historySize is the number of weight versions that the witness remembers.
const historySize = 8

// witness says which weight versions may be attributed to tokens. It knows the
// swaps that the agent ordered on the same engine.
//
//	settled: the versions in history were confirmed by the engine
//	swapping: an order is under way; tokens wait for its outcome
//	doubt: the outcome is unknown; tokens wait until the state is read back, and
//	then only tokens of that version are attributed
type witness struct {
	mu      sync.Mutex
	history []uint64
	pending bool // swapping or doubt
	doubt   bool
	changed chan struct{}
	// unknown is called with a version that the engine claims and no order or
	// state explains. It asks for the state to be read.
	unknown func()
	off     bool // attributes everything; for tests
}

func newWitness(unknown func()) *witness {
	return &witness{changed: make(chan struct{}), unknown: unknown}
}

func (w *witness) update(f func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	f()
	close(w.changed)
	w.changed = make(chan struct{})
}

// swapStarted notes that an order has been sent.
func (w *witness) swapStarted() { w.update(func() { w.pending = true }) }

// swapUnknown notes that no answer to the order came.
func (w *witness) swapUnknown() { w.update(func() { w.pending, w.doubt = true, true }) }

// settled notes that the engine confirmed version, in the answer to an order or
// in its state. After a doubt the versions before it are no longer trusted.
func (w *witness) settled(version uint64) {
	w.update(func() {
		if w.doubt {
			w.history = nil
		}
		w.pending, w.doubt = false, false
		w.history = slices.DeleteFunc(w.history, func(v uint64) bool { return v == version })
		w.history = append(w.history, version)
		if len(w.history) > historySize {
			w.history = w.history[1:]
		}
	})
}

// swapAborted notes that the order did not reach the engine.
func (w *witness) swapAborted() { w.update(func() { w.pending = w.doubt }) }

// wake makes waiting tokens look again.
func (w *witness) wake() { w.update(func() {}) }

// lost notes that the state could not be read back: every version before is in
// doubt, and waiting tokens are not attributed.
func (w *witness) lost() {
	w.update(func() { w.history, w.pending, w.doubt = nil, false, true })
}

// swapping reports whether a swap may be under way.
func (w *witness) swapping() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.pending
}

// attribute reports whether a token may be attributed to version, after the
// versions of the tokens before it in the same stream (previous, if any). It
// waits while a swap is under way.
func (w *witness) attribute(ctx context.Context, version uint64, previous uint64, any bool) bool {
	asked := false
	for {
		w.mu.Lock()
		at := slices.Index(w.history, version)
		ordered := !any || previous == version || slices.Index(w.history, previous) < at
		pending, doubt, changed := w.pending, w.doubt, w.changed
		w.mu.Unlock()
		switch {
		case w.off:
			return true
		case !pending && !doubt && at >= 0:
			return ordered
		case !pending && (asked || doubt):
			return false
		case !pending:
			asked = true
			w.unknown()
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		}
	}
}

// known reports, without waiting, whether version is settled.
func (w *witness) known(version uint64) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return !w.pending && !w.doubt && len(w.history) > 0 && w.history[len(w.history)-1] == version
}
