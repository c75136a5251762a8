package ledger

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"
)

// Guards against a count of what submissions hold that drifts from the state, so that a leader
// accepts more than it has room for, or nothing at all.
func TestHeldBytesFollowTheState(t *testing.T) {
	is := is.New(t)
	rng := rand.New(rand.NewPCG(76, 1))
	l := newTestLog(t)
	texts := func() [][]byte { return [][]byte{make([]byte, rng.IntN(300)), make([]byte, rng.IntN(300))} }
	for n := range 3000 {
		id := fmt.Sprint("s", rng.IntN(8))
		item := fmt.Sprintf("s%d-%d", rng.IntN(8), rng.IntN(5)) // also of other submissions
		switch rng.IntN(8) {
		case 0, 1:
			sub := submission(id, 1+rng.IntN(5))
			sub.Account = fmt.Sprint("account", n%3)
			sub.Items[0].Reward = &Reward{Body: make([]byte, rng.IntN(100))}
			is.NoErr(l.apply(AcceptCommand(sub)))
		case 2, 3:
			_ = l.apply(ProgressCommand(id, []Progress{{Item: item, EventsBefore: rng.IntN(2), Events: 1, Parts: texts()}}))
		case 4, 5:
			_ = l.apply(RecordCommand(id, Result{Item: item, Parts: texts(), PartialEvents: rng.IntN(2), Score: "1", Failed: rng.IntN(4) == 0}))
		case 6:
			is.NoErr(l.apply(EndCommand(id)))
		case 7:
			is.NoErr(l.apply(ForgetCommand([]string{id})))
		}
		snapshot, err := l.slice.Snapshot()
		is.NoErr(err)
		restored := NewSubmissions()
		is.NoErr(restored.Restore(snapshot))
		for i := range 3 {
			account := fmt.Sprint("account", i)
			if got, want := l.slice.Held(account), restored.Held(account); got != want {
				t.Fatalf("after command %d: %+v of %s are held, %+v after a restart", n, got, account, want)
			}
		}
	}
	for n := range 8 {
		is.NoErr(l.apply(ForgetCommand([]string{fmt.Sprint("s", n)})))
	}
	is.Equal(l.slice.Held(""), Held{})
	is.Equal(len(l.slice.heldByAccount), 0)
}

// Guards against a count that is far from the memory that items take: the smallest items take the
// most for their size.
func TestHeldBytesBoundTheSizeOfEncodedItems(t *testing.T) {
	is := is.New(t)
	sub := &Submission{ID: "s"}
	for range 1000 {
		sub.Items = append(sub.Items, Item{})
	}
	is.True(sub.HeldBytes() >= 1000*openItemHeldBytes)
	sub.Items = []Item{{Body: bytes.Repeat([]byte("b"), 1<<20)}}
	command, err := AcceptCommand(sub)
	is.NoErr(err)
	is.True(sub.HeldBytes() >= len(command))
}
