package batch

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"

	"merlinhall/carrier"
	"merlinhall/locality"
	"merlinhall/wire"
)

func testCarrier(process, zone string, runs int) *carrierView {
	c := &carrierView{process: process, zone: zone, link: discardLink{}, synced: true, reportedAt: start, runs: make(map[uint64]*run)}
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
	is.Equal(chooseCarrier(start, carriers, "z", 0), near)
	near.runs = testCarrier("", "", otherZoneRuns+1).runs
	is.Equal(chooseCarrier(start, carriers, "z", 0), far)
	is.Equal(chooseCarrier(start, carriers, "", 0), far)
}

// Guards against carriers of another zone that read engines whose zone has free carriers, against
// a zone whose few carriers get all its runs, and against runs that wait for a zone without any.
func TestCarriersOfTheEnginesZoneReadUntilTheyAreFull(t *testing.T) {
	is := is.New(t)
	r := quietRunner(testEngine("e", 4, 4))
	r.o.Locality = &locality.Costs{RoundTrip: time.Millisecond}
	near, far, alsoFar := testCarrier("near", "z", 0), testCarrier("far", "y", 0), testCarrier("other", "y", 0)
	r.carriers = []*carrierView{far, near, alsoFar}
	begin := func(now time.Time, runs int) {
		for range runs {
			c := r.carrierFor(now, "z", 0)
			c.runs[uint64(len(c.runs))] = &run{engineZone: "z"}
		}
	}
	begin(start, 20)
	is.Equal(len(near.runs), 20)
	begin(start, 60)
	is.True(len(near.runs) > 20 && len(near.runs) <= carrierPlaces)
	is.True(len(far.runs) > 10 && len(alsoFar.runs) > 10)
	near.stopping = true
	is.True(r.carrierFor(start.Add(time.Second/5), "z", 0) != near)
	far.stopping, alsoFar.stopping = true, true
	is.Equal(r.carrierFor(start.Add(time.Second/5), "z", 0), nil)
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
	is.Equal(chooseCarrier(start, carriers, "z", 0), other)
	other.synced = false
	is.Equal(chooseCarrier(start, carriers, "z", 0), local)
	local.synced = false
	is.Equal(chooseCarrier(start, carriers, "z", 0), nil)
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

// sentOrders records the orders that a leader sends to a carrier.
type sentOrders struct{ list []carrier.Orders }

// Send implements carrier.Sender.
func (s *sentOrders) Send(m wire.Message) error {
	s.list = append(s.list, *m.(*carrier.Orders))
	return nil
}

// QueuedBytes implements carrier.Sender.
func (s *sentOrders) QueuedBytes() int { return 0 }

// A former leader that does not know it yet, or was suspended: the next one may have ended
// submissions since, so its orders must not make carriers believe that items are wanted.
func TestOrdersAreNotFreshWithoutTheLease(t *testing.T) {
	is := is.New(t)
	r := quietRunner()
	held := true
	r.term, r.o.LeaseHeld = 3, func(term uint64) bool { return held && term == 3 }
	link := &sentOrders{}
	c := &carrierView{process: "a", synced: true, link: link, echo: 70}
	r.sendOrders(start, c)
	held = false
	r.sendOrders(start, c)
	is.Equal(link.list[0].Echo, int64(70))
	is.Equal(link.list[1].Echo, int64(0))
}

// A submission ends while the link to a carrier is lost, and the cancellation with it. The
// carrier would complete the text and have it scored seconds after the end.
func TestCancellationIsRepeatedOnTheNextLink(t *testing.T) {
	is := is.New(t)
	r := quietRunner()
	r.metrics = newMetrics(prometheus.NewRegistry())
	c := &carrierView{process: "a", runs: map[uint64]*run{7: {attempt: 7, cancelReason: "ended by the client"}, 8: {attempt: 8}}}
	r.takeInventory(start, c, &carrier.Report{Inventory: true, Runs: []carrier.Progress{{Attempt: 7}, {Attempt: 8}}})
	is.Equal(c.orders.Cancels, []uint64{7})
}

// The end of a failed run is reported again, in the inventory over the next link, or it comes
// late, over a former link or of a former term. Each of them would bring the item nearer to
// being given up.
func TestFailureOfARunCountsOnceHoweverOftenItIsReported(t *testing.T) {
	is := is.New(t)
	r := quietRunner(testEngine("e", 4, 4))
	r.metrics = newMetrics(prometheus.NewRegistry())
	r.term = 3
	j := testJob("k", start, 1, []int{600})
	j.sub.MaxAttempts = 5
	r.jobs = []*job{j}
	task := j.tasks["k-0-0"]
	link, former := &sentOrders{}, &sentOrders{}
	c := testCarrier("c", "z", 0)
	c.link = link
	r.carriers = []*carrierView{c}
	begin := func(attempt uint64) {
		task.run = &run{task: task, attempt: attempt, carrier: c, engine: "e", reading: true}
		task.state, task.engine = taskRunning, "e"
		c.runs[attempt] = task.run
	}
	report := func(from carrier.Sender, term, attempt uint64, inventory bool) {
		p := carrier.Progress{
			Attempt: attempt, State: carrier.Ended, Outcome: carrier.Failed, Failures: 1, Reached: true,
			Identity: &carrier.Identity{Submission: "k", Item: "k-0-0", Engine: "e"},
		}
		r.handleReport(start, reportMessage{from, &carrier.Report{Term: term, Inventory: inventory, Runs: []carrier.Progress{p}}})
	}
	begin(7)
	report(former, 3, 7, false)
	report(link, 2, 7, false)
	is.Equal(task.failures, 0)
	report(link, 3, 7, false)
	is.Equal(task.failures, 1)
	report(link, 3, 7, false)
	report(link, 3, 7, true)
	is.Equal(task.failures, 1)
	begin(8)
	report(link, 3, 7, false) // while the next run is in progress
	report(link, 3, 7, true)
	is.Equal(task.failures, 1)
	begin(8) // the inventory without it showed that the carrier had lost it
	report(link, 3, 8, false)
	is.Equal(task.failures, 2)
}

// Two attempts go on after the same event, and the ledger gets the part of the one that was
// given up: with equal numbers of events it must not pass for the part of the other.
func TestTextsOfTwoAttemptsAreNotJoined(t *testing.T) {
	is := is.New(t)
	base := text{Text: carrier.Text{Parts: [][]byte{{1}}, Events: 18, Versions: []uint64{4}, Lineage: 1}, savedParts: 1, savedEvents: 18}
	other, ours := base, base
	part := func(lineage uint64) *carrier.Text {
		return &carrier.Text{Parts: [][]byte{{byte(lineage)}}, Events: 19, Versions: []uint64{4}, Lineage: lineage, Continues: 1}
	}
	is.True(other.take(part(2), 18))
	is.True(ours.take(part(3), 18))
	late, saved := other.progress("i"), ours.progress("i")
	is.Equal(late.EventsBefore, 0) // the ledger replaces the text as a whole
	is.True(late.Lineage != saved.Lineage)
	is.True(!ours.take(part(2), 37)) // goes on after another event 37
}

// Guards against a leader that stood still and takes that time for silence of all carriers:
// it would give up every run, although the reports wait to be read.
func TestOwnPauseIsNotSilenceOfTheCarriers(t *testing.T) {
	is := is.New(t)
	a, b := testCarrier("a", "z", 1), testCarrier("b", "z", 1)
	r := &Runner{carriers: []*carrierView{a, b}, carriersCheckedAt: start}
	silence := func(at time.Duration) time.Duration {
		r.discountPause(start.Add(at))
		return start.Add(at).Sub(a.reportedAt)
	}
	is.Equal(silence(100*time.Millisecond), 100*time.Millisecond)
	b.reportedAt = start.Add(150 * time.Millisecond)
	is.Equal(silence(6200*time.Millisecond), 100*time.Millisecond) // a pause of 6.1 s
	is.Equal(b.reportedAt, start.Add(6200*time.Millisecond))       // not later than now
	for at := 6300 * time.Millisecond; at <= 7100*time.Millisecond; at += 100 * time.Millisecond {
		silence(at)
	}
	is.True(start.Add(7101*time.Millisecond).Sub(a.reportedAt) > carrierLostAfter) // silent in fact
}
