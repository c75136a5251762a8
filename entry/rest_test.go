package entry

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"merlinhall/duty"
	"merlinhall/observe"
)

// restingDispatcher returns the dispatcher of a stopped entry, to be stepped by
// hand.
func restingDispatcher(t *testing.T) *dispatcher {
	t.Helper()
	system := duty.NewSystem()
	e, err := Start(Options{Name: "e", Boot: "b", Observer: observe.New("error"), System: system})
	if err != nil {
		t.Fatal(err)
	}
	e.Stop()
	d := newDispatcher(e)
	d.alarm = e.duty.NewAlarm(tickMessage{})
	return d
}

// Guards against deadlines that are checked only each restPeriod while there is a
// request, and against an idle entry that ticks as often as a busy one.
func TestTicksFollowRequests(t *testing.T) {
	is := is.New(t)
	d := restingDispatcher(t)
	now := time.Now()
	is.Equal(d.nextTick(now), now.Add(restPeriod))
	f := &flight{}
	d.flights[f] = struct{}{}
	is.Equal(d.nextTick(now), now.Add(tickPeriod))
	delete(d.flights, f)
	is.Equal(d.nextTick(now), now.Add(restPeriod))
}

// Guards against a first request after a rest that is judged by old state: the
// time of the last usable target would cut its grace short.
func TestRequestAfterRestMeetsFreshState(t *testing.T) {
	is := is.New(t)
	d := restingDispatcher(t)
	start := time.Now()
	s := newService("s", start)
	s.present = true
	d.services["s"] = s
	now := start.Add(restPeriod)
	f := newFlight("s", &request{id: "r", deadline: now.Add(time.Minute)})
	d.onSubmit(now, f)
	is.Equal(d.ticked, now)
	is.Equal(s.usable, now)
}
