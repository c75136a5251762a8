package hub

import (
	"maps"
	"slices"
	"testing"

	"github.com/matryer/is"

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
