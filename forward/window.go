package forward

import (
	"context"
	"slices"
	"time"
)

const (
	// firstWindow is the window before the first response.
	firstWindow = 8.0
	// minWindow is the least window by response times, and minRefusedWindow by refusals: hundreds
	// of processes may have background requests for one target. Below 1 a process pauses between
	// two of them.
	minWindow        = 1.0
	minRefusedWindow = 1.0 / 32
	maxWindow        = 64.0
	// queueFactor is the multiple of the least mean response time above which a target counts
	// as having a queue.
	queueFactor = 1.6
	// windowIncrease is the part of the window by which it grows at most for each response from
	// a target without a queue.
	windowIncrease = 0.25
	// windowDecrease multiplies the window for each response from a queue, and
	// refusalDecrease for each refusal.
	windowDecrease  = 0.9
	refusalDecrease = 0.5
	// leastMeanGain is how fast the least mean response time follows a higher one at the least
	// window: the target has become slower.
	leastMeanGain = 0.005
	// maxPause bounds the pause between two background requests.
	maxPause = 2 * time.Second
	// roomCheck is how often a waiting background request looks for room itself.
	roomCheck = 100 * time.Millisecond
)

// window limits the background requests of this process on a target. All processes together
// can keep a target busy without a queue, in which the requests of callers would wait too: each
// narrows its window while responses take longer than they did at best.
type window struct {
	outstanding int
	pauseUntil  time.Time     // no request before it
	size        float64       // 0 stands for firstWindow
	mean        time.Duration // moving mean of the response times
	least       time.Duration // the least mean
}

func (w *window) hasRoom(now time.Time) bool {
	size := w.size
	if size == 0 {
		size = firstWindow
	}
	return float64(w.outstanding) < size && !now.Before(w.pauseUntil)
}

// ended notes that a request has ended. Below 1 the window is the part of the time in which
// the process has a request on the target.
func (w *window) ended(now time.Time) {
	w.outstanding--
	if w.size > 0 && w.size < 1 {
		w.pauseUntil = now.Add(min(maxPause, time.Duration(float64(w.mean)*(1/w.size-1))))
	}
}

// answered notes a response.
func (w *window) answered(took time.Duration) {
	if w.size == 0 {
		w.size, w.mean, w.least = firstWindow, took, took
	}
	w.mean += time.Duration(latencyGain * float64(took-w.mean))
	w.least = min(w.least, w.mean)
	if float64(w.mean) > queueFactor*float64(w.least) {
		if w.size > minWindow {
			w.size = max(minWindow, w.size*windowDecrease)
		} else {
			w.least += time.Duration(leastMeanGain * float64(w.mean-w.least))
		}
		return
	}
	w.size = min(maxWindow, w.size+min(1/w.size, windowIncrease*w.size))
}

// refused notes that the target had no room.
func (w *window) refused() {
	if w.size == 0 {
		w.size = firstWindow
	}
	w.size = max(minRefusedWindow, w.size*refusalDecrease)
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
func (f *Forwarder) freeRoom(now time.Time, s *targetState) {
	s.background.ended(now)
	if len(f.awaitingRoom) > 0 {
		close(f.awaitingRoom[0])
		f.awaitingRoom = f.awaitingRoom[1:]
	}
}
