package agent

import (
	"context"
	"sync"
	"time"
)

// idleWatch ends a target call that has been silent for its bound. Before that it
// probes the target on a new connection and reports it as suspect; the silent
// connection is given up even when the probe succeeds.
type idleWatch struct {
	bound  time.Duration
	cancel context.CancelCauseFunc
	// waiting reports whether the silence is expected, as during a swap.
	waiting func() bool
	silent  func()

	mu      sync.Mutex
	timer   *time.Timer
	stopped bool
	beats   uint64 // counts what was heard, so that an expiry can tell that it is late
}

func watchIdle(bound time.Duration, cancel context.CancelCauseFunc, waiting func() bool, silent func()) *idleWatch {
	w := &idleWatch{bound: bound, cancel: cancel, waiting: waiting, silent: silent}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(bound, w.expired)
	return w
}

// heard starts the bound anew.
func (w *idleWatch) heard() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.beats++
	if !w.stopped {
		w.timer.Reset(w.bound)
	}
}

// pause suspends the watch while the agent itself does not read.
func (w *idleWatch) pause() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.beats++
	w.timer.Stop()
}

func (w *idleWatch) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	w.timer.Stop()
}

func (w *idleWatch) expired() {
	w.mu.Lock()
	beats := w.beats
	w.mu.Unlock()
	waiting := w.waiting()
	w.mu.Lock()
	late := w.stopped || w.beats != beats
	w.mu.Unlock()
	switch {
	case late:
	case waiting:
		w.heard()
	default:
		w.cancel(errIdle)
		w.silent()
	}
}
