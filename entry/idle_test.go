package entry

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"merlinhall/actor"
	"merlinhall/observe"
)

// newIdleDispatcher returns a dispatcher of a stopped entry, whose methods tests call
// directly.
func newIdleDispatcher(t *testing.T) *dispatcher {
	t.Helper()
	system := actor.NewSystem()
	e, err := Start(Options{Name: "e", Boot: "b", Observer: observe.New("error"), System: system})
	if err != nil {
		t.Fatal(err)
	}
	e.Stop()
	d := newDispatcher(e)
	d.alarm = e.actor.NewAlarm(tickMessage{})
	return d
}

// Guards against checking deadlines only every idleTickPeriod while there are requests,
// and against an idle entry ticking as often as a busy one.
func TestTicksFollowRequests(t *testing.T) {
	is := is.New(t)
	d := newIdleDispatcher(t)
	now := time.Now()
	is.Equal(d.nextTick(now), now.Add(idleTickPeriod))
	req := &activeRequest{}
	d.requests[req] = struct{}{}
	is.Equal(d.nextTick(now), now.Add(tickPeriod))
	delete(d.requests, req)
	is.Equal(d.nextTick(now), now.Add(idleTickPeriod))
}

// Guards against stale state for the first request after an idle period: an old
// lastUsable would shorten noTargetTimeout for it.
func TestFirstRequestAfterIdleUsesFreshState(t *testing.T) {
	is := is.New(t)
	d := newIdleDispatcher(t)
	start := time.Now()
	s := newService("s", start)
	s.configured = true
	d.services["s"] = s
	now := start.Add(idleTickPeriod)
	req := newActiveRequest("s", &requestState{id: "r", deadline: now.Add(time.Minute)})
	d.onSubmit(now, req)
	is.Equal(d.lastTick, now)
	is.Equal(s.lastUsable, now)
}
