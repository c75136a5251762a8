package ledger

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// Guards against replicas that count complete groups differently: after repeated and unknown
// results and a restored snapshot. Also against a step that is due later because its trainer
// submitted it again under another id, and a page that is said to have room when it has none.
func TestStandingOfAStep(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		l, other := newTestLog(t), NewSubmissions()
		due := time.Now().Add(8 * time.Second)
		for _, id := range []string{"first", "s"} {
			sub := &Submission{ID: id, Model: "m", Step: 7, WantedGroups: 24, Due: 8 * time.Second}
			for i := range 27 * 8 {
				sub.Items = append(sub.Items, Item{ID: fmt.Sprint(id, i), Group: fmt.Sprint(i / 8)})
			}
			is.NoErr(l.apply(AcceptCommand(sub)))
			time.Sleep(3 * time.Second)
		}
		want, recorded, inGroup := 0, make(map[int]bool), make(map[int]int)
		rng := rand.New(rand.NewPCG(1, 2))
		for len(recorded) < 27*8-1 {
			at := rng.IntN(27*8 - 1)
			if !recorded[at] {
				recorded[at] = true
				if inGroup[at/8]++; inGroup[at/8] == 8 {
					want++
				}
			}
			is.NoErr(l.apply(RecordCommand("s", Result{Item: fmt.Sprint("s", at), Failed: at%7 == 0}, Result{Item: "unknown"})))
			st, changed, _ := l.slice.Standing("s", 0, 1)
			is.Equal(st, Standing{Wanted: 24, Complete: want, Due: due, Next: 1, Results: 1, Full: len(recorded) > 1})
			is.True(changed != nil)
		}
		snapshot, err := l.slice.Snapshot()
		is.NoErr(err)
		is.NoErr(other.Restore(snapshot))
		st, _, _ := other.Standing("s", 27*8-1, 1)
		is.Equal(st, Standing{Wanted: 24, Complete: 26, Next: 27*8 - 1}) // due at an unknown time
	})
}

// Guards against a step that counts as complete while groups of an earlier step are missing: its
// trainer waits for them, whichever others are complete. The count must survive a snapshot.
func TestGroupsOfAnEarlierStepAreAwaited(t *testing.T) {
	is := is.New(t)
	l := newTestLog(t)
	groups := func(step, first, last int) *Submission {
		sub := &Submission{ID: fmt.Sprint("s", step), Model: "m", Step: step, WantedGroups: 4}
		for g := first; g <= last; g++ {
			for i := range 2 {
				sub.Items = append(sub.Items, Item{ID: fmt.Sprint(g, "/", i), Group: fmt.Sprint(g)})
			}
		}
		return sub
	}
	is.NoErr(l.apply(AcceptCommand(groups(0, 0, 4))))
	is.NoErr(l.apply(EndCommand("s0")))
	is.NoErr(l.apply(AcceptCommand(groups(1, 3, 7)))) // 3 and 4 again
	is.NoErr(l.apply(AcceptCommand(groups(2, 3, 7)))) // more than the trainer waits for
	for g := 4; g <= 7; g++ {
		for i := range 2 {
			is.NoErr(l.apply(RecordCommand("s1", Result{Item: fmt.Sprint(g, "/", i), Failed: true})))
		}
	}
	other := NewSubmissions()
	snapshot, err := l.slice.Snapshot()
	is.NoErr(err)
	is.NoErr(other.Restore(snapshot))
	for _, slice := range []*Submissions{l.slice, other} {
		st, _, _ := slice.Standing("s1", 0, 1<<20)
		is.Equal(st.Complete, 4)
		is.Equal(st.Awaited, 1)
		st, _, _ = slice.Standing("s2", 0, 1<<20)
		is.Equal(st.Awaited, 0)
		is.Equal(slice.Open()[0].Again, map[string]bool{"3": true, "4": true})
	}
}
