package forward

import (
	"context"
	"slices"
	"time"
)

const (
	// firstWindow is the window before the first response.
	firstWindow = 8.0
	// minWindow lets each process have one background request on each target.
	minWindow = 1.0
	maxWindow = 64.0
	// queueFactor is the multiple of the least mean response time above which a target counts
	// as having a queue.
	queueFactor = 1.6
	// windowDecrease multiplies the window for each response from a queue, and
	// refusalDecrease for each refusal.
	windowDecrease  = 0.9
	refusalDecrease = 0.5
	// leastMeanGain is how fast the least mean response time follows a higher one at the least
	// window: the target has become slower.
	leastMeanGain = 0.005
	// roomCheck is how often a waiting background request looks for room itself.
	roomCheck = 100 * time.Millisecond
)

// window limits the background requests of this process on a target. All processes together
// can keep a target busy without a queue, in which the requests of callers would wait too: each
// narrows its window while responses take longer than they did at best.
type window struct {
	outstanding int
	size        float64       // 0 stands for firstWindow
	mean        time.Duration // moving mean of the response times
	least       time.Duration // the least mean
}

func (w *window) hasRoom() bool {
	size := w.size
	if size == 0 {
		size = firstWindow
	}
	return float64(w.outstanding) < size
}

// answered notes a response.
func (w *window) answered(took time.Duration) {
	if w.size == 0 {
		w.size, w.mean, w.least = firstWindow, took, took
	}
	w.mean += time.Duration(latencyGain * float64(took-w.mean))
	w.least = min(w.least, w.mean)
	if float64(w.mean) > queueFactor*float64(w.least) {
		if w.size = w.size * windowDecrease; w.size < minWindow {
			w.size = minWindow
			w.least += time.Duration(leastMeanGain * float64(w.mean-w.least))
		}
		return
	}
	w.size = min(maxWindow, w.size+1/w.size)
}

// refused notes that the target had no room.
func (w *window) refused() {
	if w.size == 0 {
		w.size = firstWindow
	}
	w.size = max(minWindow, w.size*refusalDecrease)
}

// awaitRoom waits until a background request of this process has ended, so that another one may
// have room. It returns false if that is not worth while any more: at the time until, or when
// ctx has ended.
func (f *Forwarder) awaitRoom(ctx context.Context, until time.Time) bool {
	room := make(chan struct{})
	f.mu.Lock()
	f.awaitingRoom = append(f.awaitingRoom, room)
	f.mu.Unlock()
	timer := time.NewTimer(min(roomCheck, time.Until(until)))
	defer timer.Stop()
	select {
	case <-room:
	case <-timer.C:
		f.mu.Lock()
		defer f.mu.Unlock()
		f.awaitingRoom = slices.DeleteFunc(f.awaitingRoom, func(c chan struct{}) bool { return c == room })
	case <-ctx.Done():
	}
	return ctx.Err() == nil && time.Now().Before(until)
}

// freeRoom ends a background request on a target and wakes the one that has waited longest. The
// caller holds f.mu.
func (f *Forwarder) freeRoom(s *targetState) {
	s.background.outstanding--
	if len(f.awaitingRoom) > 0 {
		close(f.awaitingRoom[0])
		f.awaitingRoom = f.awaitingRoom[1:]
	}
}
