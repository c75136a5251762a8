package batch

import (
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/matryer/is"

	"merlinhall/actor"
	"merlinhall/directory"
	"merlinhall/ledger"
	"merlinhall/observe"
	"merlinhall/wire"
)

// fullMailbox drops all but ticks while it is full.
type fullMailbox struct {
	r    *Runner
	full bool
}

func (m *fullMailbox) Offer(msg any) error {
	if _, tick := msg.(tickMessage); m.full && !tick {
		return actor.ErrFull
	}
	m.r.Receive(msg)
	return nil
}

// testRunner returns a runner without a mailbox that starts no goroutines.
func testRunner(submissions *ledger.Submissions) *Runner {
	observer := observe.New("panic")
	observer.Log.SetOutput(io.Discard)
	r := newRunner(Options{
		Name: "a", Process: "a", Submissions: submissions, Versions: ledger.NewVersions(), Manifests: ledger.NewManifests(nil),
		Directory: directory.New(), Duty: noDuty{}, Retired: func() []string { return nil }, LeaseHeld: func(uint64) bool { return true },
		Go: func(func()) {}, After: func(time.Duration, func()) {}, KeepResults: time.Hour, Observer: observer,
	})
	r.newestLinks = func() map[string]peerLink { return nil }
	r.local = discardLink{}
	return r
}

// Guards against a burst that fills the mailbox and leaves a leader that never begins, one
// that never stops, or submissions that nobody works on or that run on after their end.
func TestDroppedMessagesAreMadeUpFor(t *testing.T) {
	is := is.New(t)
	submissions := ledger.NewSubmissions()
	r := testRunner(submissions)
	box := &fullMailbox{r: r}
	r.actor = box
	r.follow()
	index := uint64(0)
	apply := func(body []byte, err error) {
		t.Helper()
		is.NoErr(err)
		index++
		submissions.Apply(index, 1, body)
	}
	accept := func(id string) {
		t.Helper()
		apply(ledger.AcceptCommand(&ledger.Submission{ID: id, Host: "h", Items: []ledger.Item{{ID: id + "-1", Group: "g"}}}))
	}
	works := func(want ...string) {
		t.Helper()
		is.NoErr(box.Offer(tickMessage{}))
		var ids []string
		for _, j := range r.jobs {
			ids = append(ids, j.sub.ID)
		}
		is.Equal(fmt.Sprint(ids), fmt.Sprint(want))
	}
	accept("before")
	box.full = true
	r.Lead(true, 1)
	is.True(!r.leading)
	works("before")
	is.True(r.leading)

	accept("second")
	apply(ledger.EndCommand("before"))
	works("second")

	r.Lead(false, 1)
	accept("third")
	r.Lead(true, 3)
	works("second", "third")
	is.Equal(r.term, uint64(3))

	r.Lead(false, 3)
	is.NoErr(box.Offer(tickMessage{}))
	is.True(!r.leading)
	box.full = false
	r.Lead(true, 4)
	is.NoErr(box.Offer(tickMessage{}))
	is.Equal(r.term, uint64(4))
}

// discardLink drops all orders.
type discardLink struct{}

func (discardLink) Send(wire.Message) error { return nil }

// QueuedBytes implements carrier.Sender.
func (discardLink) QueuedBytes() int { return 0 }
