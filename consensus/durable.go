package consensus

import "merlinhall/duty"

// Durable is the storage's own account of what it has synced.
type Durable struct {
	Group uint64
	State HardState
	Last  uint64 // index of the last entry
}

// CheckSend stops the process when m acknowledges something that is not synced.
// The driver calls it for each message before it is sent. A message of a term
// that has ended since needs no check: the newer term is synced, so the sender
// acts as if the message had been sent just before the term ended.
func CheckSend(m *Message, d Durable) {
	switch m.Kind {
	case MsgDiscover, MsgDiscoverReply, MsgPreVote, MsgPreVoteReply:
		return
	}
	duty.Invariant(d.State.Term >= m.Term, "term %d is sent, synced is %d", m.Term, d.State.Term)
	duty.Invariant(d.Group == m.Group, "group %x is sent, synced is %x", m.Group, d.Group)
	if d.State.Term > m.Term || m.Reject {
		return
	}
	switch m.Kind {
	case MsgVoteReply:
		duty.Invariant(d.State.Vote == m.To, "vote for %x in term %d is sent, synced is %x", m.To, m.Term, d.State.Vote)
	case MsgVote:
		duty.Invariant(d.State.Vote == m.From, "own vote in term %d is used, synced is %x", m.Term, d.State.Vote)
	case MsgAppendReply:
		duty.Invariant(m.Index <= d.Last, "entry %d is acknowledged, synced are entries up to %d", m.Index, d.Last)
	}
}
