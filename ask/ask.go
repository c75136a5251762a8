// Package ask sends batches of questions to the control leader.
package ask

import (
	"context"
	"time"
)

const (
	// pause is how long a leader that did not answer is not asked again. It doubles with each
	// failure in a row, up to maxPause.
	pause    = 100 * time.Millisecond
	maxPause = 500 * time.Millisecond
)

// Loop asks the leader one question at a time: what comes up meanwhile goes into the next one.
// After a failure it pauses.
type Loop struct {
	// Timeout bounds one question.
	Timeout time.Duration
	// Once asks all that is due. It returns nil if nothing is.
	Once func(ctx context.Context) error
	// Paused is called when a pause begins and when it has ended. Between the two nobody
	// should wait for an answer.
	Paused func(paused bool)
	wake   chan struct{}
}

// NewLoop returns a loop with the settings of l.
func NewLoop(l Loop) *Loop {
	l.wake = make(chan struct{}, 1)
	return &l
}

// Wake has the leader asked for what is due.
func (l *Loop) Wake() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// Run asks until ctx ends.
func (l *Loop) Run(ctx context.Context) {
	wait := pause
	for {
		select {
		case <-l.wake:
		case <-ctx.Done():
			return
		}
		if l.once(ctx) == nil {
			wait = pause
			continue
		}
		l.Paused(true)
		select {
		case <-time.After(wait):
		case <-ctx.Done():
			return
		}
		l.Paused(false)
		l.Wake()
		wait = min(2*wait, maxPause)
	}
}

func (l *Loop) once(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, l.Timeout)
	defer cancel()
	return l.Once(ctx)
}
