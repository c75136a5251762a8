package hub

import (
	"context"
	"testing"

	"github.com/matryer/is"

	"merlinhall/wire"
)

func group(leader string, term uint64) *wire.MembershipUpdate {
	return &wire.MembershipUpdate{Leader: leader, Term: term}
}

func (c *Client) lead(u *wire.MembershipUpdate) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.setLeader(u.Leader, u.Term)
}

// Guards against a control process that was cut off and names a former leader.
func TestLeaderOfAnEarlierTermIsIgnored(t *testing.T) {
	is := is.New(t)
	c := NewClient(ClientOptions{})
	for _, step := range []struct {
		update *wire.MembershipUpdate
		want   string
	}{
		{group("a", 3), "a"},
		{group("", 4), "a"},
		{group("b", 5), "b"},
		{group("a", 3), "b"},
		{group("c", 6), "c"},
	} {
		c.lead(step.update)
		is.Equal(c.leader, step.want)
	}
}

// The leader freezes while trainers wait for results there. Their calls must go to the next
// leader as soon as it is known.
func TestCallsLeaveAFormerLeader(t *testing.T) {
	is := is.New(t)
	c := NewClient(ClientOptions{})
	c.lead(group("a", 1))
	toLeader, stop := c.untilLeaderChanges(context.Background(), "a")
	defer stop()
	toNext, stopNext := c.untilLeaderChanges(context.Background(), "b")
	defer stopNext()
	c.lead(group("a", 2)) // led again
	is.NoErr(toLeader.Err())
	c.lead(group("b", 3))
	<-toLeader.Done()
	is.NoErr(toNext.Err()) // the call is already with the new leader
}
