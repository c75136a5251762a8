package agent

import (
	"context"
	"slices"
	"sync"
)

// historySize is the number of weight versions that a versionTracker remembers.
const historySize = 8

// versionTracker decides which weight versions may be attributed to the tokens of
// an engine. It follows the weight swaps that the agent orders on that engine.
//
//	confirmed: the engine has confirmed the versions in history
//	pending: an order is in progress; tokens wait for its outcome
//	uncertain: the outcome is unknown; tokens wait until the engine's state has been
//	read, and then only tokens of the version read are attributed
type versionTracker struct {
	mu        sync.Mutex
	history   []uint64
	pending   bool // an order is in progress, or the state must be read
	uncertain bool
	changed   chan struct{}
	// requestState asks the agent to read the engine's state. It is called when a
	// token has a version that no order or state has confirmed.
	requestState func()
	attributeAll bool // accept every version; for tests
}

func newVersionTracker(unknown func()) *versionTracker {
	return &versionTracker{changed: make(chan struct{}), requestState: unknown}
}

func (w *versionTracker) update(f func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	f()
	close(w.changed)
	w.changed = make(chan struct{})
}

// swapStarted records that an order is being sent.
func (w *versionTracker) swapStarted() { w.update(func() { w.pending = true }) }

// swapUnknown records that the order was not answered.
func (w *versionTracker) swapUnknown() { w.update(func() { w.pending, w.uncertain = true, true }) }

// confirm records that the engine confirmed version, in its answer to an order or
// in its state. After an unknown outcome, earlier versions are no longer trusted.
func (w *versionTracker) confirm(version uint64) {
	w.update(func() {
		if w.uncertain {
			w.history = nil
		}
		w.pending, w.uncertain = false, false
		w.history = slices.DeleteFunc(w.history, func(v uint64) bool { return v == version })
		w.history = append(w.history, version)
		if len(w.history) > historySize {
			w.history = w.history[1:]
		}
	})
}

// swapAborted records that the order did not reach the engine.
func (w *versionTracker) swapAborted() { w.update(func() { w.pending = w.uncertain }) }

// notify makes waiting calls of attribute check again.
func (w *versionTracker) notify() { w.update(func() {}) }

// invalidate records that the state could not be read after a swap. No version is
// trusted any more, and waiting tokens are not attributed.
func (w *versionTracker) invalidate() {
	w.update(func() { w.history, w.pending, w.uncertain = nil, false, true })
}

// swapping reports whether a weight swap may be in progress.
func (w *versionTracker) swapping() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.pending
}

// attribute reports whether a token may be attributed to version. If any is set,
// previous is the version of the token before it in the same stream, and version
// must not be older in the history. attribute blocks while a swap may be in
// progress.
func (w *versionTracker) attribute(ctx context.Context, version uint64, previous uint64, any bool) bool {
	asked := false
	for {
		w.mu.Lock()
		at := slices.Index(w.history, version)
		ordered := !any || previous == version || slices.Index(w.history, previous) < at
		pending, doubt, changed := w.pending, w.uncertain, w.changed
		w.mu.Unlock()
		switch {
		case w.attributeAll:
			return true
		case !pending && !doubt && at >= 0:
			return ordered
		case !pending && (asked || doubt):
			return false
		case !pending:
			asked = true
			w.requestState()
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		}
	}
}

// isCurrent reports, without blocking, whether version is the latest confirmed
// version and no swap may be in progress.
func (w *versionTracker) isCurrent(version uint64) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return !w.pending && !w.uncertain && len(w.history) > 0 && w.history[len(w.history)-1] == version
}
