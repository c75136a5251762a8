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
//	uncertain: the outcome of an order is unknown; tokens wait until the engine's
//	state has been read, and then only tokens of the version read are attributed.
//	If the state cannot be read, pending is cleared and no token is attributed until
//	a version is confirmed.
type versionTracker struct {
	mu        sync.Mutex
	history   []uint64
	pending   bool // an order is in progress, or the state must be read
	uncertain bool
	changed   chan struct{}
	// requestState asks the agent to read the engine's state. It is called when a
	// token has a version that is not in history.
	requestState func()
	attributeAll bool // accept every version; for tests
}

func newVersionTracker(requestState func()) *versionTracker {
	return &versionTracker{changed: make(chan struct{}), requestState: requestState}
}

func (t *versionTracker) update(f func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	f()
	close(t.changed)
	t.changed = make(chan struct{})
}

// swapStarted records that an order is being sent.
func (t *versionTracker) swapStarted() { t.update(func() { t.pending = true }) }

// swapUnknown records that the order was not answered.
func (t *versionTracker) swapUnknown() { t.update(func() { t.pending, t.uncertain = true, true }) }

// confirm records that the engine confirmed version, in its answer to an order or
// in its state. After an unknown outcome, earlier versions are no longer trusted.
func (t *versionTracker) confirm(version uint64) {
	t.update(func() {
		if t.uncertain {
			t.history = nil
		}
		t.pending, t.uncertain = false, false
		t.history = slices.DeleteFunc(t.history, func(v uint64) bool { return v == version })
		t.history = append(t.history, version)
		if len(t.history) > historySize {
			t.history = t.history[1:]
		}
	})
}

// swapAborted records that the order did not reach the engine.
func (t *versionTracker) swapAborted() { t.update(func() { t.pending = t.uncertain }) }

// notify makes waiting calls of attribute check again.
func (t *versionTracker) notify() { t.update(func() {}) }

// invalidate records that the state could not be read after a swap. No version is
// trusted any more, and waiting tokens are not attributed.
func (t *versionTracker) invalidate() {
	t.update(func() { t.history, t.pending, t.uncertain = nil, false, true })
}

// swapping reports whether a weight swap may be in progress.
func (t *versionTracker) swapping() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.pending
}

// attribute reports whether a token may be attributed to version. any tells whether
// the same stream had a token before; previous is then the version of that token, and
// version must not be older in the history. attribute blocks while a swap may be in
// progress, and for one read of the engine's state if version is not in history.
func (t *versionTracker) attribute(ctx context.Context, version uint64, previous uint64, any bool) bool {
	asked := false
	for {
		t.mu.Lock()
		at := slices.Index(t.history, version)
		ordered := !any || previous == version || slices.Index(t.history, previous) < at
		pending, uncertain, changed := t.pending, t.uncertain, t.changed
		t.mu.Unlock()
		switch {
		case t.attributeAll:
			return true
		case !pending && !uncertain && at >= 0:
			return ordered
		case !pending && (asked || uncertain):
			return false
		case !pending:
			asked = true
			t.requestState()
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
func (t *versionTracker) isCurrent(version uint64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return !t.pending && !t.uncertain && len(t.history) > 0 && t.history[len(t.history)-1] == version
}
