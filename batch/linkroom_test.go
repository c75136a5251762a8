package batch

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"

	"merlinhall/carrier"
	"merlinhall/ledger"
	"merlinhall/link"
	"merlinhall/routes"
	"merlinhall/wire"
)

// boundedLink is a link to a carrier with the bounds of link.Conn. The carrier begins what it is
// sent once the link is drained.
type boundedLink struct {
	queue  [][]byte
	queued int
	begun  map[uint64]carrier.Start
	asked  bool // for an inventory
	failed int  // sends that were refused
	seen   uint64
}

// Send implements carrier.Sender.
func (l *boundedLink) Send(m wire.Message) error {
	frame, err := wire.Encode(m)
	if err == nil && l.queued > 0 && l.queued+len(frame) > wire.MaxFrameBytes {
		err = link.ErrSendFull
	}
	if err != nil {
		l.failed++
		return err
	}
	l.queue, l.queued = append(l.queue, frame), l.queued+len(frame)
	return nil
}

// QueuedBytes implements carrier.Sender.
func (l *boundedLink) QueuedBytes() int { return l.queued }

// drain passes on what waits and returns the inventory that the carrier answers with, or nil.
func (l *boundedLink) drain(t *testing.T) *carrier.Report {
	t.Helper()
	for _, frame := range l.queue {
		m, err := wire.Decode(frame)
		if err != nil {
			t.Fatal(err)
		}
		o := m.(*carrier.Orders)
		l.asked, l.seen = l.asked || o.Inventory, o.Sequence
		for _, s := range o.Starts {
			l.begun[s.Attempt] = s
		}
	}
	l.queue, l.queued = nil, 0
	if !l.asked {
		return nil
	}
	l.asked = false
	report := &carrier.Report{Inventory: true, Seen: l.seen}
	for attempt, s := range l.begun {
		report.Runs = append(report.Runs, carrier.Progress{Attempt: attempt, Identity: &carrier.Identity{Submission: s.Submission, Item: s.Item, Engine: s.Engine}})
	}
	return report
}

// roomRunner is a leader with an engine of many slots, the given number of carriers in other
// processes, and one submission.
func roomRunner(t *testing.T, carriers int, items []ledger.Item) (*Runner, []*boundedLink) {
	t.Helper()
	r := testRunner(ledger.NewSubmissions())
	r.metrics = newMetrics(prometheus.NewRegistry())
	r.o.Directory.Replace(start, []wire.TargetEntry{{
		ID: "e", Service: "s", Version: "v1", Address: "e:1", StartedMs: 1, Slots: 4000, Models: []wire.ModelVersion{{Model: "m", Version: 1}},
	}})
	r.leading, r.adopted, r.partial, r.demand = true, true, newPartials(), make(map[string]modelDemand)
	r.updateEngines(start, r.o.Directory.View())
	sendRoute(t, r, 1, routes.Share{Service: "s", Weight: 1})
	var links []*boundedLink
	for i := range carriers + 1 {
		c := testCarrier(fmt.Sprint("c", i), "z", 0)
		l := &boundedLink{begun: make(map[uint64]carrier.Start)}
		c.link, c.local = l, i == carriers
		r.carriers, links = append(r.carriers, c), append(links, l)
	}
	sub := &ledger.Submission{ID: "s", Host: "h", Model: "m", Items: items}
	body, err := ledger.AcceptCommand(sub)
	if err != nil {
		t.Fatal(err)
	}
	r.o.Submissions.Apply(1, 1, body)
	r.addJob(ledger.Open{Submission: sub, Since: start, Remaining: sub.Items})
	return r, links
}

// playRounds has the leader plan and send, and the links deliver, once per round.
func playRounds(t *testing.T, r *Runner, links []*boundedLink, rounds int) {
	t.Helper()
	for round := range rounds {
		now := start.Add(time.Duration(round) * scheduleInterval)
		r.o.Directory.Replace(now, r.o.Directory.View().Targets)
		r.startPending(now)
		r.flushOrders(now)
		for i, l := range links {
			r.carriers[i].reportedAt = now
			if report := l.drain(t); report != nil {
				r.handleReport(now, reportMessage{l, report})
			}
		}
	}
}

func itemsOf(n, bytes int) []ledger.Item {
	var items []ledger.Item
	for i := range n {
		items = append(items, ledger.Item{ID: fmt.Sprint("i", i), Group: fmt.Sprint("g", i/4), Path: "/b/1", Body: make([]byte, bytes), Tokens: 10})
	}
	return items
}

// Guards against items that never run again: the starts for a carrier were one message, which
// was too large to be sent and was planned again the same, as after a restart of all control
// processes beside open steps.
func TestStartsOfAnySumOfSizesReachTheirCarriers(t *testing.T) {
	for _, c := range []struct{ items, bytes int }{{144, 140 << 10}, {20, 900 << 10}, {6, 3 << 20}, {2000, 600}} {
		t.Run(fmt.Sprint(c.items, " items of ", c.bytes), func(t *testing.T) {
			is := is.New(t)
			r, links := roomRunner(t, 2, itemsOf(c.items, c.bytes))
			playRounds(t, r, links, 40)
			ran := make(map[string]int)
			for _, l := range links {
				is.Equal(l.failed, 0)
				for _, s := range l.begun {
					ran[s.Item]++
				}
			}
			is.Equal(len(ran), c.items)
			for _, times := range ran {
				is.Equal(times, 1)
			}
			is.Equal(len(links[2].begun), 0) // the leader's own process is not used instead
		})
	}
}

// Guards against a link whose other messages find no room or come late behind the starts.
func TestStartsLeaveRoomInTheLink(t *testing.T) {
	is := is.New(t)
	r, links := roomRunner(t, 1, itemsOf(200, 140<<10))
	for round := range 5 { // nothing is read at the other end
		now := start.Add(time.Duration(round) * scheduleInterval)
		r.startPending(now)
		r.flushOrders(now)
	}
	is.True(len(links[0].queue) > 0)
	is.True(links[0].queued <= wire.MaxFrameBytes/2)
	is.Equal(links[0].failed, 0)
}

// Guards against a text that makes the start of its item too large for any message.
func TestTextThatIsTooLongToBeSentBeginsAnew(t *testing.T) {
	is := is.New(t)
	r, links := roomRunner(t, 1, itemsOf(2, 3<<20))
	long := r.jobs[0].order[0]
	long.text = text{Text: carrier.Text{Parts: slices.Repeat([][]byte{make([]byte, 1<<20)}, 7), Events: 7, Software: wire.Software{Service: "s", Version: "v1"}}}
	playRounds(t, r, links, 10)
	is.Equal(links[0].failed, 0)
	is.Equal(len(links[0].begun), 2)
	is.Equal(long.text.length(), 0)
}
