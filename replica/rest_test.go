package replica

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"merlinhall/consensus"
)

// Guards against a replica that goes without ticks although a heartbeat, an
// election or the search for a leader may be due.
func TestOnlyFollowerOfHeardLeaderRests(t *testing.T) {
	is := is.New(t)
	now := 10 * time.Second
	r := &Replica{rest: 300 * time.Millisecond}
	set := func(role consensus.Role, leader uint64) {
		r.status.Store(&Status{Status: consensus.Status{Role: role, LeaderID: leader, Term: 3}})
	}
	set(consensus.RoleFollower, 7)
	is.Equal(r.period(now), tickPeriod) // nothing heard yet
	for _, m := range []consensus.Message{
		{Kind: consensus.MsgAppend, From: 8, Term: 3},       // another replica
		{Kind: consensus.MsgAppend, From: 7, Term: 2},       // an ended term
		{Kind: consensus.MsgPreVoteReply, From: 7, Term: 3}, // not as a leader
	} {
		r.note(now, &m)
		is.Equal(r.period(now), tickPeriod)
	}
	r.note(now, &consensus.Message{Kind: consensus.MsgAppend, From: 7, Term: 3})
	is.Equal(r.period(now), r.rest)
	is.Equal(r.period(now+r.rest), tickPeriod) // the leader is silent
	for _, role := range []consensus.Role{consensus.RoleLeader, consensus.RoleCandidate, consensus.RoleFresh} {
		set(role, 7)
		is.Equal(r.period(now), tickPeriod)
	}
	set(consensus.RoleFollower, 0)
	is.Equal(r.period(now), tickPeriod)
}
