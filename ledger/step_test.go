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
