package hub

import (
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"merlinhall/directory"

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
