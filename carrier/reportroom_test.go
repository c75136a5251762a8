package carrier

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"

	"merlinhall/ledger"
	"merlinhall/link"
	"merlinhall/wire"
)

// boundedLink is a link to a leader with the bounds of link.Conn, which is drained between two
// reports.
type boundedLink struct {
	testLink
	queued, failed int
}

// Send implements Sender.
func (l *boundedLink) Send(m wire.Message) error {
	frame, err := wire.Encode(m)
	if err == nil && l.queued > 0 && l.queued+len(frame) > wire.MaxFrameBytes {
		err = link.ErrSendFull
	}
	if err != nil {
		l.failed++
		return err
	}
	l.queued += len(frame)
	return l.testLink.Send(m)
}

// QueuedBytes implements Sender.
func (l *boundedLink) QueuedBytes() int { return l.queued }

// noise returns n bytes that can't be compressed.
func noise(n int) []byte {
	b := make([]byte, n)
	random := rand.New(rand.NewPCG(1, uint64(n)))
	for i := range b {
		b[i] = byte(random.IntN(256))
	}
	return b
}

// handedIn puts together what the reports of a link say of each attempt.
func handedIn(t *testing.T, l *boundedLink) (texts map[uint64]Text, states map[uint64]State) {
	t.Helper()
	texts, states = make(map[uint64]Text), make(map[uint64]State)
	for _, report := range l.reports {
		for _, p := range report.Runs {
			states[p.Attempt] = p.State
			if p.State != Ended && p.Outcome != "" {
				t.Errorf("attempt %d is %s with outcome %s", p.Attempt, p.State, p.Outcome)
			}
			if p.Text == nil {
				continue
			}
			whole := texts[p.Attempt]
			if p.From != whole.Events || p.From > 0 && p.Text.Lineage != whole.Lineage && p.Text.Continues != whole.Lineage {
				t.Fatalf("attempt %d: text from %d on after %d events", p.Attempt, p.From, whole.Events)
			}
			whole.Parts, whole.Events = append(whole.Parts, p.Text.Parts...), whole.Events+p.Text.Events
			whole.Versions, whole.Lineage = p.Text.Versions, p.Text.Lineage
			texts[p.Attempt] = whole
		}
	}
	return texts, states
}

// Guards against texts that never reach a new leader: the inventory with all of them was too large
// to be sent, the link was closed, and the inventory on the next link was the same.
func TestInventoryOfAnySizeReachesTheLeader(t *testing.T) {
	for _, c := range []struct{ runs, events, bytes int }{{40, 5, 100 << 10}, {30, 2, 1<<20 - 1}, {1, 4, 600 << 10}, {200, 20, 200}} {
		t.Run(fmt.Sprintf("%d runs of %d events of %d bytes", c.runs, c.events, c.bytes), func(t *testing.T) {
			is := is.New(t)
			carrier, clock := testCarrier()
			event := noise(c.bytes)
			for i := range c.runs {
				r := newRun(Start{Attempt: uint64(i + 7), Submission: "s", Item: fmt.Sprint(i), Engine: "e"}, carrier.o.Clock)
				carrier.runs[r.start.Attempt] = r
				for n := range c.events {
					r.Add(event, uint64(4+n*2/c.events))
				}
				r.finishReading(ReadEnd{Outcome: Complete, Reached: true})
			}
			l := &boundedLink{}
			carrier.orders(l, Orders{Term: 2, Sequence: 1, Inventory: true, Echo: int64(*clock)})
			is.Equal(len(l.reports), 1)
			is.Equal(len(l.last().Runs), c.runs) // each with its identity, or it would pass for lost
			for _, p := range l.last().Runs {
				is.True(p.Identity != nil)
			}
			for range 100 {
				l.queued = 0
				*clock += TickInterval
				carrier.tick(*clock)
			}
			is.Equal(l.failed, 0)
			is.True(carrier.leader != nil)
			texts, states := handedIn(t, l)
			is.Equal(len(carrier.runs), c.runs)
			for attempt := range carrier.runs {
				is.Equal(states[attempt], Ended)
				is.Equal(texts[attempt].Events, c.events)
				is.Equal(texts[attempt].Versions, []uint64{4, 5})
				size := 0
				for _, part := range texts[attempt].Parts {
					b, err := ledger.Unpack(part)
					is.NoErr(err)
					size += len(b)
				}
				is.True(size >= c.events*c.bytes)
			}
		})
	}
}

// Guards against a part of a text that names weight versions of later parts only, or a lineage
// that its last event does not have.
func TestPartOfATextNamesItsOwnVersions(t *testing.T) {
	is := is.New(t)
	c, clock := testCarrier()
	r := newRun(Start{Attempt: 9, Item: "i", Engine: "e", Text: Text{Parts: [][]byte{noise(maxReportBytes)}, Events: 18, Versions: []uint64{3}, Lineage: 7}}, c.o.Clock)
	c.runs[9] = r
	r.Add(noise(maxChunkBytes/2), 4)
	r.Add(noise(maxChunkBytes/2), 4)
	r.Add(noise(maxChunkBytes/4), 5)
	r.finishReading(ReadEnd{Outcome: Complete, Reached: true})
	l := &boundedLink{}
	c.orders(l, Orders{Term: 2, Sequence: 1, Inventory: true, Echo: int64(*clock)})
	first := l.last().Runs[0]
	is.Equal(first.State, Reading)
	is.Equal(first.IdleMs, 0) // the leader must not take the engine for silent
	is.Equal(first.Text.Versions, []uint64{3})
	is.Equal(first.Text.Lineage, uint64(7))
	for range 3 {
		l.queued = 0
		*clock += TickInterval
		c.tick(*clock)
	}
	texts, states := handedIn(t, l)
	is.Equal(states[9], Ended)
	is.Equal(texts[9].Versions, []uint64{3, 4, 5})
	is.Equal(texts[9].Lineage, uint64(9))
	is.Equal(texts[9].Events, 21)
}
