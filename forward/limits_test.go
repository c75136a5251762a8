package forward

import (
	"context"
	"fmt"
	"io"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"merlinhall/ratelimit"
)

// limit has the forwarder know a limit of targets. grants answers each wish for a grant.
func limit(t *testing.T, f *Forwarder, grants func(ratelimit.Want) ratelimit.Answer, targets ...string) {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	k := ratelimit.NewKeeper(ratelimit.KeeperOptions{
		Process: "p", Directory: f.Directory, Log: logrus.NewEntry(log),
	})
	k.Follow(func(_ context.Context, in *ratelimit.Ask, out *ratelimit.Answers) error {
		for _, w := range in.Wants {
			out.Answers = append(out.Answers, grants(w))
		}
		return nil
	})
	for _, id := range targets {
		k.Note(ratelimit.Reading{Target: id, Limited: true, PerSecond: 1, At: time.Second})
	}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go k.Run(ctx)
	f.Limits = k
}

func deny(ratelimit.Want) ratelimit.Answer {
	return ratelimit.Answer{RetryAfter: 700 * time.Millisecond, AskAgain: time.Second}
}

// Guards against a request that waits until its deadline although it is known that no target
// takes it.
func TestRequestIsRejectedAtOnceIfAllTargetsAreAtTheirLimits(t *testing.T) {
	is := is.New(t)
	a, b := startTarget(t, "a", ok), startTarget(t, "b", ok)
	f := newForwarder(a, b)
	limit(t, f, deny, "a", "b")
	began := time.Now()
	for i := range 5 {
		id := fmt.Sprint("r", i)
		result := f.Do(context.Background(), request(id, true, time.Second, 2*time.Second))
		is.Equal(result.Outcome, OutcomeNotRun)
		is.True(result.RetryAfter >= 600*time.Millisecond)
		is.Equal(a.count(id)+b.count(id), 0)
	}
	is.True(time.Since(began) < 500*time.Millisecond)
}

// Guards against requests, retries and second attempts that go to a target with a limit
// without a grant, while another one takes them.
func TestTargetsWithoutALimitTakeWhatIsDenied(t *testing.T) {
	for _, c := range []struct {
		name string
		free behaviour
		want Outcome
	}{
		{"first attempt", ok, OutcomeAnswered},
		{"retry", reset, OutcomeUnknown},
		{"second attempt", hang, OutcomeUnknown},
		{"after a refusal", full, OutcomeNotRun},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			limited, free := startTarget(t, "limited", ok), startTarget(t, "free", c.free)
			f := newForwarder(limited, free)
			limit(t, f, deny, "limited")
			for i := range 4 {
				id := fmt.Sprint("r", i)
				result := f.Do(context.Background(), request(id, true, 60*time.Millisecond, 300*time.Millisecond))
				is.Equal(result.Outcome, c.want)
				is.Equal(limited.count(id), 0)
			}
		})
	}
}

func TestGrantedRequestGoesToTheTargetOfItsGrant(t *testing.T) {
	is := is.New(t)
	a, b := startTarget(t, "a", ok), startTarget(t, "b", ok)
	f := newForwarder(a, b)
	var wanted atomic.Int32
	limit(t, f, func(w ratelimit.Want) ratelimit.Answer {
		wanted.Add(1)
		is.True(w.Only)
		return ratelimit.Answer{Target: "b"}
	}, "a", "b")
	result := f.Do(context.Background(), request("r", false, time.Second, time.Second))
	is.Equal(result.Outcome, OutcomeAnswered)
	is.Equal(result.Target, "b")
	is.Equal(wanted.Load(), int32(1))
}

// Guards against a grant that is used after its time, when other requests have got the turns:
// the process stood still since.
func TestLateGrantIsNotUsed(t *testing.T) {
	is := is.New(t)
	a := startTarget(t, "a", ok)
	f := newForwarder(a)
	limit(t, f, func(ratelimit.Want) ratelimit.Answer {
		time.Sleep(400 * time.Millisecond) // the answer is late
		return ratelimit.Answer{Target: "a"}
	}, "a")
	result := f.Do(context.Background(), request("r", false, time.Second, time.Second))
	is.Equal(result.Outcome, OutcomeNotRun)
	is.Equal(a.count("r"), 0)
}

// Guards against background requests that fill the queue of the only target without a limit, in
// which the requests of callers wait: 40 texts end at once.
func TestBackgroundRequestsLeaveRoomForCallers(t *testing.T) {
	is := is.New(t)
	var running, most atomic.Int32
	slow := behaviour{runs: true, respond: func(w io.Writer, id string) {
		n := running.Add(1)
		for m := most.Load(); n > m && !most.CompareAndSwap(m, n); m = most.Load() {
		}
		time.Sleep(10 * time.Millisecond * time.Duration(max(1, n/4))) // four at a time
		running.Add(-1)
		answer(200, "", "fine").respond(w, id)
	}}
	f := newForwarder(startTarget(t, "a", slow))
	done := make(chan Result)
	const texts = 40
	for i := range texts {
		go func() {
			r := request(fmt.Sprint("b", i), true, time.Second, 5*time.Second)
			r.Background = true
			done <- f.Do(context.Background(), r)
		}()
	}
	for range texts {
		is.Equal((<-done).Outcome, OutcomeAnswered)
	}
	is.True(most.Load() <= 3*int32(firstWindow))
}

func TestWindowFollowsTheResponseTimes(t *testing.T) {
	is := is.New(t)
	var w window
	for range 200 {
		w.answered(50 * time.Millisecond)
	}
	is.True(w.size > 20) // no queue
	for range 80 {
		w.answered(200 * time.Millisecond)
	}
	is.Equal(w.size, minWindow)
	w.ended(time.Now())
	is.True(w.hasRoom(time.Now()))
	for range 10 {
		w.refused()
	}
	w.ended(time.Now())
	is.True(!w.hasRoom(time.Now())) // one of hundreds of processes: it leaves pauses
	is.True(w.hasRoom(time.Now().Add(maxPause)))
	for range 200 {
		w.answered(50 * time.Millisecond)
	}
	is.True(w.size > 10)
	w.refused()
	is.True(w.size < 20)
	for range 3000 { // the target has become slower for good
		w.answered(200 * time.Millisecond)
	}
	is.True(w.size > minWindow)
}
