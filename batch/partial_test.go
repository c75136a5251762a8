package batch

import (
	"io"
	"testing"
	"time"

	"github.com/matryer/is"

	"merlinhall/carrier"
	"merlinhall/directory"
	"merlinhall/ledger"
	"merlinhall/observe"
)

// Guards against texts that nobody asks for any more and that stay until the next
// submission ends, which may be never.
func TestOldPartialTextsAreDroppedWithoutNewOnes(t *testing.T) {
	is := is.New(t)
	observer := observe.New("panic")
	observer.Log.SetOutput(io.Discard)
	r := newRunner(Options{
		Name: "a", Process: "a", Submissions: ledger.NewSubmissions(), Versions: ledger.NewVersions(), Manifests: ledger.NewManifests(nil),
		Directory: directory.New(), Duty: noDuty{}, Retired: func() []string { return nil }, LeaseHeld: func(uint64) bool { return true },
		Go: func(func()) {}, After: func(time.Duration, func()) {}, KeepResults: time.Hour, Observer: observer,
	})
	r.newestLinks = func() map[string]peerLink { return nil }
	r.local = discardLink{}
	r.actor = &fullMailbox{r: r}
	r.Lead(true, 1)
	r.partial.put(start, "i", text{Text: carrier.Text{Parts: [][]byte{{1}}, Events: 1}}, false)
	r.tick(start.Add(partialTTL))
	is.True(r.partial.has("i"))
	r.tick(start.Add(partialTTL + expiryInterval))
	is.True(!r.partial.has("i"))
	is.Equal(r.partial.size, 0)
}
