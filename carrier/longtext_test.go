package carrier

import (
	"bytes"
	"fmt"
	"testing"

	"github.com/matryer/is"

	"merlinhall/consensus"
	"merlinhall/ledger"
)

// Guards against a text that no command of the log has room for: its result was proposed again and
// again, and with it those of the items that are in the same command, which were never listed.
func TestTextIsNoLongerThanACommandHasRoomFor(t *testing.T) {
	for name, event := range map[string][]byte{"noise": noise(200 << 10), "one letter": bytes.Repeat([]byte("x"), 1<<20-1)} {
		for _, complete := range []bool{false, true} {
			t.Run(fmt.Sprint(name, ", complete: ", complete), func(t *testing.T) {
				is := is.New(t)
				c, clock := testCarrier()
				l := &boundedLink{}
				c.orders(l, Orders{Term: 1, Sequence: 1, Inventory: true, Echo: int64(*clock)})
				r := given(c, 7, nil)
				ended := false
				r.cancel = func() { ended = true }
				for i := 0; i < 300 && !ended; i++ {
					r.Add(event, 4)
					if !complete && i%5 == 4 {
						l.queued = 0
						*clock += TickInterval
						c.tick(*clock)
					}
				}
				is.Equal(ended, !complete) // the engine goes on for nobody
				outcome := Broken
				if complete {
					outcome = Complete
				}
				c.Receive(readEnded{r, ReadEnd{Outcome: outcome, Reached: true}})
				for range 10 {
					l.queued = 0
					*clock += TickInterval
					c.tick(*clock)
				}
				texts, states := handedIn(t, l)
				is.Equal(states[7], Ended)
				last := l.last().Runs
				is.True(len(last) == 0 || last[0].Outcome == Unfinished)
				is.Equal(r.end.Outcome, Unfinished) // the item runs again, after growing waits
				is.True(texts[7].Events > 0)
				body, err := ledger.AddCommand([]ledger.Addition{{Submission: "s", Results: []ledger.Result{{Item: "i", Parts: texts[7].Parts}}}})
				is.NoErr(err)
				is.True(len(body) < consensus.MaxCommandBytes*3/4)
				size := 0
				for _, part := range texts[7].Parts {
					b, err := ledger.Unpack(part)
					is.NoErr(err)
					size += len(b)
				}
				is.True(size <= 34<<20)
			})
		}
	}
}

// Guards against a text with a gap: an event arrives while the chunk before it is found too long.
func TestNothingFollowsAChunkThatHadNoRoom(t *testing.T) {
	is := is.New(t)
	c, _ := testCarrier()
	r := given(c, 7, nil)
	for range 4 {
		r.Add(noise(maxChunkBytes), 4)
	}
	r.pack()
	events := r.text.Events
	is.True(events < 4)
	r.mu.Lock()
	r.fresh = [][]byte{[]byte("small")}
	r.mu.Unlock()
	r.finishReading(ReadEnd{Outcome: Complete, Reached: true})
	is.Equal(r.text.Events, events)
	is.Equal(r.end.Outcome, Unfinished)
}
