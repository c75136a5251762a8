package hub

import (
	"context"
	"fmt"
	"io"
	"maps"
	"net/http"
	"net/http/httptest"
	"runtime"
	"slices"
	"testing"
	"time"

	"github.com/coder/websocket"
	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"merlinhall/directory"
	"merlinhall/link"

	"merlinhall/wire"
)

// The platform exchanges the seeds for hosts that are not members. A process outside the
// group must keep its links to the members, over which it works for the leader.
func TestProcessOutsideTheGroupKeepsItsLinksWhenTheSeedsChange(t *testing.T) {
	is := is.New(t)
	h := &Hub{opts: Options{Address: "self", Seeds: []string{"a", "b", "c"}}}
	stopped := make(map[string]bool)
	h.links = newLinkSet(func(address string) func() { return func() { stopped[address] = true } })
	h.reported = wire.MembershipUpdate{Leader: "a", Members: []string{"a", "b", "d"}, Term: 4}
	h.dial(h.reported.Members)
	h.SetSeeds([]string{"x", "y", "self"})
	is.Equal(slices.Sorted(maps.Keys(h.links.stops)), []string{"a", "b", "d", "x", "y"})
	is.Equal(stopped, map[string]bool{"c": true})
	is.Equal(h.groupCopy().Members, []string{"a", "b", "d"}) // others learn them from it
	is.Equal(h.Leader(), "a")
}

// Guards against control processes that never read the list, and against several that read
// it at the same time: each of hundreds would use up the rate that all share.
func TestMembersReadTheListInTurn(t *testing.T) {
	is := is.New(t)
	members := []string{"d", "b", "a", "c"}
	ages := make(map[time.Duration]bool)
	for _, self := range []string{"b", "c", "d"} {
		r := readerOf(self, members, "a", true)
		is.True(r.Relays)
		ages[r.MaxAge] = true
	}
	is.Equal(len(ages), 3)
	is.True(ages[relayViewAge])
	is.Equal(members[0], "d") // the argument is not changed
	is.Equal(readerOf("c", members, "", true), directory.Reader{MaxAge: relayViewAge + 2*relayStagger, Relays: true})
	is.Equal(readerOf("c", members, "a", false), directory.Reader{MaxAge: relayViewAge, Relays: true})
	is.Equal(readerOf("x", members, "a", true), directory.Reader{MaxAge: linkedViewAge})
	is.Equal(readerOf("x", nil, "", false), directory.Reader{MaxAge: unlinkedViewAge})
}

// noEvents ignores the events of links.
type noEvents struct{}

func (noEvents) Up(*link.Conn)                    {}
func (noEvents) Message(*link.Conn, wire.Message) {}
func (noEvents) Down(*link.Conn, error)           {}

// linkToSilentPeer returns a link to a peer that reads nothing after the handshake.
func linkToSilentPeer(t *testing.T, done <-chan struct{}) *link.Conn {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ws, err := websocket.Accept(w, r, nil)
		if err != nil {
			return
		}
		defer func() { _ = ws.CloseNow() }()
		if hello, err := wire.Encode(&wire.Hello{Process: "peer"}); err == nil && ws.Write(r.Context(), websocket.MessageBinary, hello) == nil {
			_, _, _ = ws.Read(r.Context())
		}
		<-done
	}))
	t.Cleanup(server.Close)
	c, err := link.Dial(t.Context(), link.NewHTTPClient(nil), "ws", server.Listener.Addr().String(), wire.Hello{Process: "self"}, noEvents{})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close(context.Canceled) })
	return c
}

// Guards against a list of thousands of targets that is encoded once for each of hundreds of
// links: that takes a leader's processor for a second and tens of MB for each change.
func TestUpdateIsEncodedOnceForAllLinks(t *testing.T) {
	is := is.New(t)
	log := logrus.New()
	log.SetOutput(io.Discard)
	h := &Hub{opts: Options{Log: logrus.NewEntry(log)}, entryLinks: make(map[*link.Conn]bool)}
	done := make(chan struct{})
	defer close(done)
	const links = 20
	for range links {
		h.entryLinks[linkToSilentPeer(t, done)] = true
	}
	update := &wire.TargetUpdate{Changed: true}
	for i := range 3000 {
		update.Targets = append(update.Targets, wire.TargetEntry{ID: fmt.Sprint("i-", i), Service: "s", Address: "10.0.0.1:1", Zone: "z"})
	}
	allocated := func(f func()) uint64 {
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		f()
		runtime.ReadMemStats(&after)
		return after.TotalAlloc - before.TotalAlloc
	}
	encode := func() { _, _ = wire.Encode(update) }
	encode() // fills the encoder's buffers
	once := allocated(encode)
	all := allocated(func() { h.broadcast(update) })
	is.True(all < links/2*once)
}

// Guards against a list of thousands of targets that is sent to hundreds of entries whenever
// an engine loads a version: entries do not use the versions.
func TestEntriesGetNoListForALoadedVersion(t *testing.T) {
	is := is.New(t)
	list := func(version uint64, draining bool) []wire.TargetEntry {
		return []wire.TargetEntry{{ID: "a", Service: "s", Draining: draining, Models: []wire.ModelVersion{{Model: "m", Version: version}}}}
	}
	h := &Hub{opts: Options{Directory: directory.New()}}
	h.publishTargets(list(1, false))
	control, entries := h.targets, h.entryTargets
	is.Equal(entries.targets[0].Models, nil)
	is.Equal(len(control.targets[0].Models), 1)
	h.publishTargets(list(2, false))
	is.Equal(h.targets.sequence, control.sequence+1)
	is.Equal(h.entryTargets.sequence, entries.sequence)
	h.publishTargets(list(2, true))
	is.Equal(h.entryTargets.sequence, entries.sequence+1)
	is.True(h.entryTargets.targets[0].Draining)
}
