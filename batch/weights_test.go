package batch

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"merlinhall/carrier"
	"merlinhall/wire"
)

// formerCarrier is chooseCarrier as it was without weights.
func formerCarrier(now time.Time, carriers []*carrierView, zone string) *carrierView {
	var best *carrierView
	bestCost := 0
	for _, c := range carriers {
		if !c.usable(now) {
			continue
		}
		cost := len(c.runs)
		if zone != "" && c.zone != zone {
			cost += otherZoneRuns
		}
		if best == nil || best.local && !c.local || best.local == c.local && cost < bestCost {
			best, bestCost = c, cost
		}
	}
	return best
}

// Guards against equal hosts that get other runs than without weights: with equal shares, with none,
// and while reports are a little or equally late.
func TestEqualCarriersGetTheRunsOfBefore(t *testing.T) {
	for seed := range uint64(300) {
		is := is.New(t)
		rnd := rand.New(rand.NewPCG(seed, 5))
		now := start.Add(time.Hour)
		all := time.Duration(rnd.IntN(200)) * time.Millisecond // the leader reads reports late
		var carriers []*carrierView
		for i := range 1 + rnd.IntN(12) {
			c := testCarrier(fmt.Sprint("c", i), string(rune('a'+rnd.IntN(4))), rnd.IntN(30))
			c.local, c.synced, c.weight.share = i == 0, rnd.IntN(9) > 0, 0.48*float64(seed%2)
			c.reportedAt = now.Add(-all - time.Duration(rnd.IntN(250))*time.Millisecond)
			c.weight.noteReport(now, 250*time.Millisecond+time.Duration(rnd.IntN(100))*time.Millisecond)
			carriers = append(carriers, c)
		}
		weighCarriers(now, carriers)
		for _, zone := range []string{"", "a", "d"} {
			is.Equal(chooseCarrier(now, carriers, zone), formerCarrier(now, carriers, zone))
		}
	}
}

// chosen gives carriers n runs and returns how many each got.
func chosen(now time.Time, carriers []*carrierView, n int) []int {
	for i := range n {
		chooseCarrier(now, carriers, "").runs[uint64(i)] = &run{}
	}
	var out []int
	for _, c := range carriers {
		out = append(out, len(c.runs))
	}
	return out
}

// peerSender is a link to a process that states its share of a core.
type peerSender struct{ hello wire.Hello }

// Send implements carrier.Sender.
func (peerSender) Send(wire.Message) error { return nil }

func (p peerSender) Peer() wire.Hello { return p.hello }

// Guards against a weak host that gets as many runs as a strong one, and against a host of a version
// that states no share and gets none or all. The former choice gives each 75.
func TestRunsFollowTheShareOfACore(t *testing.T) {
	is := is.New(t)
	r := speedRunner(0)
	for i, share := range []float64{0.12, 0.48, 0, 0.96} {
		c := testCarrier(fmt.Sprint("c", i), "z", 0)
		c.link = carrier.Sender(peerSender{wire.Hello{CPUShare: share}})
		r.carriers = append(r.carriers, c)
	}
	r.updateWeights(start)
	got := chosen(start, r.carriers, 300)
	for i, want := range []float64{0.25, 1, 1, 2} {
		is.True(math.Abs(float64(got[i])-300*want/4.25) <= 2)
	}
	r.o.MeasuredCapacity = false
	r.carriers[0].weight = carrierWeight{}
	r.updateWeights(start)
	is.Equal(r.carriers[0].load(), float64(len(r.carriers[0].runs)))
}

// Guards against a carrier whose reports come late and that gets as many new runs as the others, and
// against one that gets few long after it is on time again.
func TestLateCarrierGetsFewerRuns(t *testing.T) {
	is := is.New(t)
	carriers := func() (list []*carrierView) {
		for i := range 4 {
			list = append(list, testCarrier(fmt.Sprint("c", i), "z", 0))
		}
		return list
	}
	late := carriers()
	late[2].weight.noteReport(start, expectedReportGap+500*time.Millisecond)
	weighCarriers(start, late)
	got := chosen(start, late, 100)
	is.True(got[2] > 0 && got[2] <= got[0]/2)

	silent := carriers()
	now := start.Add(expectedReportGap + 200*time.Millisecond)
	for _, i := range []int{0, 1, 3} {
		silent[i].reportedAt = now
	}
	weighCarriers(now, silent)
	is.True(silent[2].weight.weight < 0.7 && silent[0].weight.weight == 1)

	later := start.Add(3 * lateMemory)
	for _, c := range late {
		c.reportedAt = later
	}
	weighCarriers(later, late)
	is.Equal(late[2].weight.weight, 1.0)
}

// Guards against a Hello that a version without the field cannot read, or that it could not send.
func TestShareInTheHello(t *testing.T) {
	is := is.New(t)
	former := struct {
		Process string `cbor:"1,keyasint"`
	}{"p"}
	body, err := wire.Marshal(former)
	is.NoErr(err)
	var hello wire.Hello
	is.NoErr(wire.Unmarshal(body, &hello))
	is.Equal(hello.CPUShare, 0.0)
	body, err = wire.Marshal(wire.Hello{Process: "p", CPUShare: 0.48})
	is.NoErr(err)
	former.Process = ""
	is.NoErr(wire.Unmarshal(body, &former))
	is.Equal(former.Process, "p")
	is.NoErr(wire.Unmarshal(body, &hello))
	is.Equal(hello.CPUShare, 0.48)
}
