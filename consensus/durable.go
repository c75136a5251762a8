package consensus

import "merlinhall/actor"

// Durable describes the state that the storage has synced.
type Durable struct {
	Group uint64
	State HardState
	Last  uint64 // index of the last entry
}

// CheckSend stops the process if m depends on state that is not synced. The driver
// calls it before sending each message. For a message of an older term, the entries
// and the vote need no check: the newer term is synced, so the effect is as if the
// message had been sent just before its term ended.
func CheckSend(m *Message, d Durable) {
	switch m.Kind {
	case MsgDiscover, MsgDiscoverReply, MsgPreVote, MsgPreVoteReply:
		return
	}
	actor.Invariant(d.State.Term >= m.Term, "message of term %d is sent, but only term %d is synced", m.Term, d.State.Term)
	actor.Invariant(d.Group == m.Group, "message of group %x is sent, but group %x is synced", m.Group, d.Group)
	if d.State.Term > m.Term || m.Reject {
		return
	}
	switch m.Kind {
	case MsgVoteReply:
		actor.Invariant(d.State.Vote == m.To, "vote for %x in term %d is sent, but a vote for %x is synced", m.To, m.Term, d.State.Vote)
	case MsgVote:
		actor.Invariant(d.State.Vote == m.From, "candidate requests votes in term %d, but its synced vote is for %x", m.Term, d.State.Vote)
	case MsgAppendReply:
		actor.Invariant(m.Index <= d.Last, "entry %d is acknowledged, but only entries up to %d are synced", m.Index, d.Last)
	}
}
