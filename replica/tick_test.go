package replica

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"merlinhall/consensus"
)

// Guards against a replica that ticks at the longer period although a heartbeat, an
// election or the search for a leader may be due.
func TestOnlyFollowerOfActiveLeaderTicksSlowly(t *testing.T) {
	is := is.New(t)
	now := 10 * time.Second
	r := &Replica{idleTickPeriod: 300 * time.Millisecond}
	set := func(role consensus.Role, leader uint64) {
		r.status.Store(&Status{Status: consensus.Status{Role: role, LeaderID: leader, Term: 3}})
	}
	set(consensus.RoleFollower, 7)
	is.Equal(r.currentTickPeriod(now), tickPeriod) // nothing heard yet
	for _, m := range []consensus.Message{
		{Kind: consensus.MsgAppend, From: 8, Term: 3},       // another replica
		{Kind: consensus.MsgAppend, From: 7, Term: 2},       // a former term
		{Kind: consensus.MsgPreVoteReply, From: 7, Term: 3}, // not a leader's message
	} {
		r.recordLeaderMessage(now, &m)
		is.Equal(r.currentTickPeriod(now), tickPeriod)
	}
	r.recordLeaderMessage(now, &consensus.Message{Kind: consensus.MsgAppend, From: 7, Term: 3})
	is.Equal(r.currentTickPeriod(now), r.idleTickPeriod)
	is.Equal(r.currentTickPeriod(now+r.idleTickPeriod), tickPeriod) // the leader is silent
	for _, role := range []consensus.Role{consensus.RoleLeader, consensus.RoleCandidate, consensus.RoleFresh} {
		set(role, 7)
		is.Equal(r.currentTickPeriod(now), tickPeriod)
	}
	set(consensus.RoleFollower, 0)
	is.Equal(r.currentTickPeriod(now), tickPeriod)
}
