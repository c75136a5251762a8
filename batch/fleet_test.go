package batch

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"merlinhall/carrier"
)

func testCarrier(process, zone string, runs int) *carrierView {
	c := &carrierView{process: process, zone: zone, synced: true, reportedAt: start, runs: make(map[uint64]*run)}
	for i := range runs {
		c.runs[uint64(i)] = &run{}
	}
	return c
}

// Traffic between zones is dear, and a carrier that gets too much reads late.
func TestRunsGoToTheLeastLoadedCarrierNearTheEngine(t *testing.T) {
	is := is.New(t)
	near, far := testCarrier("near", "z", 3), testCarrier("far", "y", 0)
	carriers := []*carrierView{far, near}
	is.Equal(chooseCarrier(start, carriers, "z"), near)
	near.runs = testCarrier("", "", otherZoneRuns+1).runs
	is.Equal(chooseCarrier(start, carriers, "z"), far)
	is.Equal(chooseCarrier(start, carriers, ""), far)
}

// The leader's own process decides for all others. Carriers that are silent, that stop or
// whose host is to be emptied get nothing.
func TestUnusableCarriersGetNoRuns(t *testing.T) {
	is := is.New(t)
	local, silent, stopping, leaving, other := testCarrier("l", "z", 0), testCarrier("a", "z", 0), testCarrier("b", "z", 0), testCarrier("c", "z", 0), testCarrier("d", "y", 40)
	local.local = true
	silent.reportedAt = start.Add(-carrierSuspectAfter - time.Millisecond)
	stopping.stopping, leaving.leaving = true, true
	carriers := []*carrierView{local, silent, stopping, leaving, other}
	is.Equal(chooseCarrier(start, carriers, "z"), other)
	other.synced = false
	is.Equal(chooseCarrier(start, carriers, "z"), local)
	local.synced = false
	is.Equal(chooseCarrier(start, carriers, "z"), nil)
}

// A carrier's parts of a text come in order; a part of another text does not fit.
func TestTextTakesOnlyWhatContinuesIt(t *testing.T) {
	is := is.New(t)
	part := func(events int, lineage uint64) *carrier.Text {
		return &carrier.Text{Parts: [][]byte{{1}}, Events: events, Versions: []uint64{4}, Lineage: lineage}
	}
	var text text
	is.True(text.take(part(10, 1), 0))
	is.True(text.take(part(5, 1), 10))
	is.True(!text.take(part(5, 1), 10))
	is.True(!text.take(part(5, 2), 15))
	is.Equal(text.length(), 15)
	saved := text.progress("i")
	is.True(text.take(part(1, 1), 15))
	text.markSaved(&saved)
	is.Equal(text.unsavedEvents(), 1)
	is.True(text.take(part(15, 2), 0)) // begun again elsewhere
	text.markSaved(&saved)
	is.Equal(text.unsavedEvents(), 15)
}
