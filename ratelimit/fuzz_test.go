package ratelimit

import (
	"math"
	"testing"
	"time"

	"merlinhall/wire"
)

// FuzzParse checks that no header of a target yields a limit by which nothing could be paced.
func FuzzParse(f *testing.F) {
	for _, seed := range []string{"2.5", "0", "", "-1", "NaN", "Inf", "1e3", "0x1", ".", "1.2.3", "99999999999999999999", " 7 "} {
		f.Add(seed, "3")
	}
	f.Fuzz(func(t *testing.T, a, b string) {
		perSecond, word := Parse([]string{a, b})
		if word != Limited && perSecond != 0 {
			t.Fatalf("%q, %q: %v without a limit", a, b, perSecond)
		}
		if math.IsNaN(perSecond) || perSecond < 0 || perSecond > maxPerSecond {
			t.Fatalf("%q, %q: %v a second", a, b, perSecond)
		}
		p := NewPace(0, 0, perSecond)
		p.Take(p.Delay(0), 1)
		if p.Delay(0) < 0 || p.Delay(0) > 2*probeInterval {
			t.Fatalf("%q, %q: the second turn comes after %v", a, b, p.Delay(0))
		}
	})
}

// FuzzAsk checks that no question of another process ends the leader, or leaves a want without
// an answer, or a limit in its book that could not be kept.
func FuzzAsk(f *testing.F) {
	seed, err := wire.Marshal(&Ask{
		Process: "p", Limits: []wire.TargetLimit{{Target: "t0", Limited: true, PerSecond: 2, SentAge: time.Second, Age: time.Millisecond}},
		Wants: []Want{{Service: simService, Except: []string{"t1"}, Patience: time.Second, Priority: 2, Only: true}},
	})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(seed)
	f.Fuzz(func(t *testing.T, body []byte) {
		var in Ask
		if wire.Unmarshal(body, &in) != nil {
			return
		}
		s := newSimulation(1, 0, 3, 1, false)
		s.now = time.Hour
		s.lead(1, nil)
		s.now += time.Second
		out, _ := s.leader.Handle(s.term, &in)
		if len(out.Answers) != min(len(in.Wants), maxWaiting) {
			t.Fatalf("%d answers to %d wants", len(out.Answers), len(in.Wants))
		}
		for _, a := range out.Answers {
			if a.Delay < 0 || a.Delay > bookingTime || a.RetryAfter < 0 || a.RetryAfter > maxRetryAfter+probeInterval || a.AskAgain < 0 {
				t.Fatalf("answer %+v", a)
			}
		}
		for _, r := range s.leader.book.Readings() {
			if math.IsNaN(r.PerSecond) || r.PerSecond < 0 || r.PerSecond > maxPerSecond {
				t.Fatalf("reading %+v", r)
			}
		}
	})
}
