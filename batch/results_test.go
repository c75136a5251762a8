package batch

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/matryer/is"

	"merlinhall/actor"
	"merlinhall/directory"
	"merlinhall/ledger"
	"merlinhall/observe"
)

// Guards against the end of a proposal of a former leadership that counts as one of this
// one, whose flush then ends with a proposal still in progress, and against a flush that
// waits for a proposal of a leadership that has ended.
func TestEndOfAProposalBelongsToItsLeadership(t *testing.T) {
	is := is.New(t)
	observer := observe.New("panic")
	observer.Log.SetOutput(io.Discard)
	var proposals []func()
	r := newRunner(Options{
		Name: "a", Process: "a", Submissions: ledger.NewSubmissions(), Versions: ledger.NewVersions(), Manifests: ledger.NewManifests(nil),
		Directory: directory.New(), Duty: noDuty{}, Retired: func() []string { return nil }, LeaseHeld: func(uint64) bool { return true },
		Go: func(work func()) { proposals = append(proposals, work) }, After: func(time.Duration, func()) {},
		Propose: func(context.Context, []byte) error { return actor.ErrFull }, KeepResults: time.Hour, Observer: observer,
	})
	r.newestLinks = func() map[string]peerLink { return nil }
	r.local = discardLink{}
	r.actor = &fullMailbox{r: r}
	propose := func() {
		j := &job{sub: &ledger.Submission{ID: "s"}}
		r.record(&task{job: j, group: &group{}}, ledger.Result{Item: "i", Failed: true})
		r.propose(start)
	}
	ended := func(done chan struct{}) bool {
		select {
		case <-done:
			return true
		default:
			return false
		}
	}
	r.Lead(true, 1)
	propose()
	first := make(chan struct{})
	r.Receive(flushMessage{first})
	is.True(!ended(first))
	r.Lead(false, 2)
	is.True(ended(first))

	r.Lead(true, 3)
	propose()
	is.Equal(len(proposals), 2)
	second := make(chan struct{})
	r.Receive(flushMessage{second})
	proposals[0]() // of the former leadership
	is.True(!ended(second))
	is.Equal(r.additions.inFlight, 1)
	proposals[1]()
	is.True(ended(second))
}
