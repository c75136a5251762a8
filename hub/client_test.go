package hub

import (
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
		is.Equal(c.leader.Process(), step.want)
	}
}
