package agent

import (
	"context"
	"sync"
	"time"
)

// idleWatch cancels a target call after its idle timeout, unless the silence is
// expected, and reports the target as suspect so that the agent probes it on a new
// connection. The silent call is cancelled even if that probe succeeds.
type idleWatch struct {
	timeout time.Duration
	cancel  context.CancelCauseFunc
	// silenceExpected reports whether the target may be silent, as during a swap.
	silenceExpected func() bool
	onSilent        func()

	mu       sync.Mutex
	timer    *time.Timer
	stopped  bool
	activity uint64 // counts restarts and pauses, so that expired notices one during its check
}

func watchIdle(timeout time.Duration, cancel context.CancelCauseFunc, silenceExpected func() bool, onSilent func()) *idleWatch {
	w := &idleWatch{timeout: timeout, cancel: cancel, silenceExpected: silenceExpected, onSilent: onSilent}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(timeout, w.expired)
	return w
}

// restart restarts the timeout after data was received.
func (w *idleWatch) restart() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.activity++
	if !w.stopped {
		w.timer.Reset(w.timeout)
	}
}

// pause suspends the timeout while the agent itself is not reading.
func (w *idleWatch) pause() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.activity++
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
	activity := w.activity
	w.mu.Unlock()
	expected := w.silenceExpected()
	w.mu.Lock()
	late := w.stopped || w.activity != activity
	w.mu.Unlock()
	switch {
	case late:
	case expected:
		w.restart()
	default:
		w.cancel(errIdleTimeout)
		w.onSilent()
	}
}
