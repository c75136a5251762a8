package forward

import (
	"context"
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"merlinhall/demand"
)

func admitting(f *Forwarder) *demand.Keeper {
	log := logrus.New()
	log.SetOutput(io.Discard)
	f.Admission = demand.NewKeeper(demand.Options{Process: "p", Log: logrus.NewEntry(log)})
	return f.Admission
}

// Guards against a refused request that has run, and against places that are not given back, so
// that requests are refused while targets are idle.
func TestRefusedRequestHasNotRunAndPlacesAreReturned(t *testing.T) {
	is := is.New(t)
	a := startTarget(t, "a", ok)
	f := newForwarder(a)
	k := admitting(f)
	held, refused := k.Admit(context.Background(), demand.Request{Service: "s", Deadline: time.Now().Add(time.Minute)})
	is.True(refused == nil)
	held.AttemptEnded("a", time.Millisecond, false)
	for range 3 {
		held.AttemptEnded("a", time.Millisecond, true)
	}
	result := f.Do(context.Background(), request("r", false, 20*time.Millisecond, time.Second))
	is.Equal(result.Outcome, OutcomeNotRun)
	is.True(result.RetryAfter > 0)
	is.Equal(a.count("r"), 0)
	held.End(true)
	for i := range 5 {
		is.Equal(f.Do(context.Background(), request(fmt.Sprint("s", i), false, time.Second, time.Second)).Outcome, OutcomeAnswered)
	}
}

// Guards against retries and second attempts without bound while all targets fail: with two
// targets that reset connections, each request would be sent twice.
func TestRetriesStayWithinTheBudget(t *testing.T) {
	is := is.New(t)
	a, b := startTarget(t, "a", reset), startTarget(t, "b", reset)
	f := newForwarder(a, b)
	admitting(f)
	runs := 0
	for i := range 40 {
		id := fmt.Sprint("r", i)
		f.Do(context.Background(), request(id, true, time.Second, time.Second))
		runs += a.count(id) + b.count(id)
	}
	is.True(runs <= 40+40/5+10)
	is.True(runs > 40)
}

// Guards against requests that fail because their first attempt went to a target that is gone,
// after the retries of the service were used up.
func TestAttemptWithoutATargetIsReplacedBeyondTheBudget(t *testing.T) {
	is := is.New(t)
	f := newForwarder(startTarget(t, "a", elsewhere), startTarget(t, "b", elsewhere), startTarget(t, "c", ok))
	place, _ := admitting(f).Admit(context.Background(), demand.Request{Service: "s", Deadline: time.Now().Add(time.Minute)})
	for place.AllowRetry() {
		continue
	}
	for i := range 8 {
		is.Equal(f.Do(context.Background(), request(fmt.Sprint("r", i), false, time.Second, time.Second)).Outcome, OutcomeAnswered)
	}
}
