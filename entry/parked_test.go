package entry

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"merlinhall/admission"
	"merlinhall/link"
	"merlinhall/routing"
	"merlinhall/wire"
)

// parkedService returns a service with one target that serves weight version 1.
func parkedService(t *testing.T, now time.Time, limit int) (*dispatcher, *service, *target) {
	t.Helper()
	d := newIdleDispatcher(t)
	s := newService("s", now)
	s.configured = true
	s.queue.SetLimits(limit, map[string]float64{"a": 1, "b": 1})
	d.services["s"] = s
	served := &target{key: "t", service: s, conn: &link.Conn{}, boot: "b", requests: make(map[*activeRequest]struct{}), limiter: admission.NewLimiter(1), cache: routing.NewCache()}
	served.load = wire.Load{Version: 1}
	s.targets = []*target{served}
	return d, s, served
}

func waitingRequest(s *service, caller string, version uint64, deadline time.Time) *activeRequest {
	req := newActiveRequest("s", newRequestState(caller, wire.Run{Caller: caller}, deadline, time.Second))
	req.service, req.minVersion = s, version
	return req
}

// Guards against a caller that pays for requests that only wait for a weight version, and
// whose other requests are then served after those of everybody else.
func TestWaitingForAVersionIsNotCharged(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_700_000_000, 0)
	d, s, _ := parkedService(t, now, 100)
	d.enqueue(now, waitingRequest(s, "a", 2, now.Add(time.Minute)))
	for range 50 {
		now = now.Add(tickPeriod)
		d.onTick(now)
		d.placeQueued(now, s)
	}
	d.enqueue(now, waitingRequest(s, "a", 1, now.Add(time.Minute)))
	d.enqueue(now, waitingRequest(s, "b", 1, now.Add(time.Minute)))
	is.Equal(s.queue.Next().Caller, "a")
}

// Guards against refusing a request because the queue has filled up since it was accepted.
func TestWaitingForAVersionKeepsThePlace(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_700_000_000, 0)
	d, s, _ := parkedService(t, now, 1)
	first, second := waitingRequest(s, "a", 2, now.Add(time.Minute)), waitingRequest(s, "a", 2, now.Add(time.Minute))
	d.enqueue(now, first)
	d.placeQueued(now, s)
	d.entry.running.Add(1)
	d.enqueue(now, second)
	is.Equal(second.state.phase, phaseFinished) // the queue is full
	for range 10 {
		now = now.Add(tickPeriod)
		d.onTick(now)
		d.placeQueued(now, s)
	}
	is.Equal(first.state.phase, phaseWaiting)
}

// Guards against a request that stays parked when it could run, when no target is left, or
// when its deadline cannot be met any more.
func TestParkedRequestsReturn(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	for name, c := range map[string]struct {
		change func(served *target)
		queued int
	}{
		"nothing has changed":     {func(*target) {}, 0},
		"the version is served":   {func(served *target) { served.load.Version = 2 }, 1},
		"a target reports none":   {func(served *target) { served.load.Version = 0 }, 1},
		"no target is usable now": {func(served *target) { served.load.Down = true }, 1},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			d, s, served := parkedService(t, now, 100)
			d.enqueue(now, waitingRequest(s, "a", 2, now.Add(time.Minute)))
			d.placeQueued(now, s)
			is.Equal(s.queue.Parked(), 1)
			c.change(served)
			d.onTick(now.Add(tickPeriod))
			is.Equal(s.queue.Len(), c.queued)
		})
	}
	t.Run("the deadline is missed", func(t *testing.T) {
		is := is.New(t)
		d, s, _ := parkedService(t, now, 100)
		for range 64 {
			s.rate.Observe(1, 10*time.Second)
		}
		req := waitingRequest(s, "a", 2, now.Add(12*time.Second))
		d.enqueue(now, req)
		d.placeQueued(now, s)
		is.Equal(s.queue.Parked(), 1)
		d.entry.running.Add(1)
		d.onTick(now.Add(5 * time.Second))
		is.Equal(req.state.phase, phaseFinished)
		is.Equal(s.queue.Parked(), 0)
	})
}
