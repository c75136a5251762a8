package batch

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"merlinhall/wire"
)

func testCarriers(n int) (list []*carrierView) {
	for i := range n {
		list = append(list, testCarrier(fmt.Sprint("c", i), "z", 0))
	}
	return list
}

// Guards against equal hosts that get other runs than without weights: with equal shares, with none,
// and while reports are a little or equally late.
func TestEqualCarriersGetTheRunsOfBefore(t *testing.T) {
	for seed := range uint64(300) {
		is := is.New(t)
		rnd := rand.New(rand.NewPCG(seed, 5))
		now := start.Add(time.Hour)
		all := time.Duration(rnd.IntN(200)) * time.Millisecond // the leader reads reports late
		carriers := testCarriers(1 + rnd.IntN(12))
		for i, c := range carriers {
			c.local, c.synced, c.zone, c.weight.share = i == 0, rnd.IntN(9) > 0, string(rune('a'+rnd.IntN(4))), 0.48*float64(seed%2)
			c.runs = testCarrier("", "", rnd.IntN(30)).runs
			c.reportedAt = now.Add(-all - time.Duration(rnd.IntN(250))*time.Millisecond)
			c.weight.noteReport(now, 250*time.Millisecond+time.Duration(rnd.IntN(100))*time.Millisecond)
		}
		weighCarriers(now, carriers)
		for _, c := range carriers {
			is.Equal(c.load(), float64(len(c.runs))) // as chooseCarrier compared them before
		}
	}
}

// peerSender is a link to a process that states its share of a core.
type peerSender struct{ hello wire.Hello }

// Send implements carrier.Sender.
func (peerSender) Send(wire.Message) error { return nil }

// QueuedBytes implements carrier.Sender.
func (peerSender) QueuedBytes() int { return 0 }

func (p peerSender) Peer() wire.Hello { return p.hello }

// Guards against a weak host that gets as many runs as a strong one, and against a host of a version
// that states no share and gets none or all. The former choice gives each 75.
func TestRunsFollowTheShareOfACore(t *testing.T) {
	is := is.New(t)
	r := speedRunner(0)
	r.carriers = testCarriers(4)
	for i, share := range []float64{0.12, 0.48, 0, 0.96} {
		body, err := wire.Marshal(wire.Hello{CPUShare: share})
		is.NoErr(err)
		var hello wire.Hello
		is.NoErr(wire.Unmarshal(body, &hello))
		r.carriers[i].link = peerSender{hello}
	}
	r.updateWeights(start)
	for i := range 300 {
		chooseCarrier(start, r.carriers, "", 0).runs[uint64(i)] = &run{}
	}
	for i, want := range []float64{0.25, 1, 1, 2} {
		is.True(math.Abs(float64(len(r.carriers[i].runs))-300*want/4.25) <= 2)
	}
	off := speedRunner(0)
	off.o.MeasuredCapacity, off.carriers = false, testCarriers(1)
	off.carriers[0].link = peerSender{wire.Hello{CPUShare: 9}}
	off.updateWeights(start)
	is.Equal(off.carriers[0].weight, carrierWeight{})
}

// Guards against a carrier whose reports come late and that gets as many new runs as the others, and
// against one that gets few long after it is on time again.
func TestLateCarrierGetsFewerRuns(t *testing.T) {
	is := is.New(t)
	late, silent := testCarriers(4), testCarriers(4)
	late[2].weight.noteReport(start, expectedReportGap+500*time.Millisecond)
	weighCarriers(start, late)
	for i := range 100 {
		chooseCarrier(start, late, "", 0).runs[uint64(i)] = &run{}
	}
	is.True(len(late[2].runs) > 0 && len(late[2].runs) <= len(late[0].runs)/2)
	now, later := start.Add(expectedReportGap+200*time.Millisecond), start.Add(3*lateMemory)
	for i := range 4 {
		late[i].reportedAt = later
		if i != 2 {
			silent[i].reportedAt = now
		}
	}
	weighCarriers(now, silent)
	is.True(silent[2].weight.weight < 0.7 && silent[0].weight.weight == 1)
	weighCarriers(later, late)
	is.Equal(late[2].weight.weight, 1.0)
}
