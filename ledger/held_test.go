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

// Guards against bodies that are kept until a complete submission is forgotten, so that its room
// stays taken though nothing can ask for them, and against a snapshot in progress that loses them.
func TestCompleteSubmissionKeepsNoBodies(t *testing.T) {
	is := is.New(t)
	l := newTestLog(t)
	sub := submission("s", 2)
	for i := range sub.Items {
		sub.Items[i].Body = make([]byte, 100_000)
	}
	is.NoErr(l.apply(AcceptCommand(sub)))
	is.NoErr(l.apply(RecordCommand("s", Result{Item: "s-0"})))
	is.True(l.slice.Held("").Total > 200_000) // one of them can still run
	encode := l.slice.Freeze()
	is.NoErr(l.apply(RecordCommand("s", Result{Item: "s-1"})))
	is.True(l.slice.Held("").Total < 10_000)
	size := 0
	is.NoErr(encode(func(b []byte) error {
		size += len(b)
		return nil
	}))
	is.True(size > 200_000)
	page, _, _ := l.slice.Page("s", 0, 1<<20)
	is.Equal(page.Total, 2)
	is.Equal(len(page.Results), 2)
}

// Guards against a trainer that is refused for the texts of its results, which count for all accounts
// together only.
func TestTextsOfResultsAreNotHeldByTheAccount(t *testing.T) {
	is := is.New(t)
	l := newTestLog(t)
	sub := submission("s", 2)
	sub.Account = "a"
	is.NoErr(l.apply(AcceptCommand(sub)))
	is.NoErr(l.apply(RecordCommand("s", Result{Item: "s-0", Parts: [][]byte{make([]byte, 100_000)}})))
	is.NoErr(l.apply(ProgressCommand("s", []Progress{{Item: "s-1", Events: 1, Parts: [][]byte{make([]byte, 100_000)}}})))
	is.True(l.slice.Held("a").Account < 10_000)
	is.True(l.slice.Held("a").Total > 200_000)
}
