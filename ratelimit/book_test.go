package ratelimit

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func at(ms int) time.Duration { return time.Duration(ms) * time.Millisecond }

// Guards against a late response that brings back a limit which the target has changed or
// ended since.
func TestLateResponsesBringNoLimitBack(t *testing.T) {
	limit := func(perSecond float64, sent, got int) Reading {
		return Reading{Target: "t", Limited: true, PerSecond: perSecond, SentAt: at(sent), At: at(got)}
	}
	none := func(sent, got int) Reading { return Reading{Target: "t", SentAt: at(sent), At: at(got)} }
	for _, c := range []struct {
		name     string
		readings []Reading
		limited  bool
		want     float64
	}{
		{"no limit", []Reading{none(0, 10)}, false, 0},
		{"falls", []Reading{limit(5, 0, 10), limit(2, 10, 20)}, true, 2},
		{"rises", []Reading{limit(2, 0, 10), limit(5, 10, 20)}, true, 5},
		{"ends", []Reading{limit(2, 0, 10), none(10, 20)}, false, 0},
		{"older, late", []Reading{limit(2, 20, 30), limit(5, 0, 20)}, true, 2},
		{"older limit after its end", []Reading{limit(2, 0, 10), none(20, 30), limit(2, 5, 20)}, false, 0},
		{"order not certain: the lower one", []Reading{limit(2, 0, 10), limit(5, 5, 20)}, true, 2},
		{"order not certain: the limit", []Reading{limit(2, 0, 10), none(5, 20)}, true, 2},
		{"order not certain, then it is", []Reading{limit(2, 0, 10), none(5, 20), none(12, 30)}, false, 0},
		{"order not certain: the limit, seen last", []Reading{limit(9, 0, 1), none(1, 10), limit(2, 5, 20)}, true, 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			b := NewBook()
			for _, r := range c.readings {
				b.Note(r.At, r)
			}
			got, _, limited := b.Limit("t")
			is.Equal(limited, c.limited)
			is.Equal(got, c.want)
		})
	}
}

// Guards against the limit of a former run of a target that holds for the next one.
func TestLimitEndsWithTheRunOfTheTarget(t *testing.T) {
	is := is.New(t)
	b := NewBook()
	b.Note(at(0), Reading{Target: "t", StartedMs: 5, Limited: true, PerSecond: 1, SentAt: at(0), At: at(10)})
	b.Note(at(20), Reading{Target: "t", StartedMs: 6, SentAt: at(0), At: at(20)})
	_, _, limited := b.Limit("t")
	is.True(!limited)
	b.Note(at(30), Reading{Target: "t", StartedMs: 5, Limited: true, PerSecond: 1, SentAt: at(25), At: at(30)})
	_, _, limited = b.Limit("t")
	is.True(!limited) // said by the former run
}

func TestTallyCountsTheLastFourSeconds(t *testing.T) {
	is := is.New(t)
	var tally Tally
	item, again := Use{Kind: "item"}, Use{Kind: "reward", Repeat: true}
	for ms := 0; ms < 10_000; ms += 100 {
		tally.Add(at(ms), item)
	}
	tally.Add(at(9_950), again)
	is.Equal(tally.Counts(at(9_999)), map[Use]int{item: 40, again: 1})
	is.Equal(tally.Total(at(12_400)), 16) // from 8.5 s on
	is.Equal(tally.Total(at(30_000)), 0)
}
