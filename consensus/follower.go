package consensus

import "merlinhall/duty"

// followLeader accepts the sender of m as the leader of its term. It returns
// false, and answers, when the term is over. That answer must not return the
// clock and round of m: the sender may lead again, after a restart with another
// clock, and would take them for a confirmation of its present term.
func (n *Node) followLeader(m *Message) bool {
	if m.Term < n.term {
		kind := MsgStale
		if n.cfg.faults.echoEndedTerm {
			kind = MsgAppendReply
		}
		n.reply(m, Message{Kind: kind, Reject: true, Index: m.Index})
		return false
	}
	n.becomeFollower(m.Term, m.From)
	n.lastContact = n.now
	n.resetElection()
	return true
}

func (n *Node) handleAppend(m *Message) {
	if !n.followLeader(m) {
		return
	}
	prev, prevTerm, entries := n.skipCompacted(m)
	term, ok := n.log.term(prev)
	if !ok || term != prevTerm {
		n.reply(m, Message{Kind: MsgAppendReply, Reject: true, Index: m.Index, Hint: n.conflictHint(prev)})
		return
	}
	for i := range entries {
		n.appendReplicated(entries[i])
	}
	last := prev + uint64(len(entries))
	n.setCommit(max(n.commit, min(m.Commit, last)))
	n.reply(m, Message{Kind: MsgAppendReply, Index: last})
}

// skipCompacted drops the part of an append that the own snapshot covers.
func (n *Node) skipCompacted(m *Message) (prev, prevTerm uint64, entries []Entry) {
	base := n.log.base
	if m.Index >= base.Index {
		return m.Index, m.LogTerm, m.Entries
	}
	skip := min(base.Index-m.Index, uint64(len(m.Entries)))
	return base.Index, base.Term, m.Entries[skip:]
}

// appendReplicated puts an entry of the leader into the log.
func (n *Node) appendReplicated(e Entry) {
	if term, ok := n.log.term(e.Index); ok {
		if term == e.Term {
			return
		}
		duty.Invariant(e.Index > n.commit, "committed entry %d would change", e.Index)
		n.truncate(e.Index)
	}
	n.log.append(e)
	if e.Kind == EntryMembers {
		n.members, n.memberIndex = decodeMembers(e.Data), e.Index
	}
}

func (n *Node) truncate(index uint64) {
	n.log.truncate(index)
	n.savedIndex = min(n.savedIndex, index-1)
	n.syncedIndex = min(n.syncedIndex, index-1)
	if n.memberIndex >= index {
		n.members, n.memberIndex = n.log.membersAt(index - 1)
	}
}

// conflictHint returns the last entry that may match the leader's log, given that the
// entry at prev does not: one before the conflicting term begins.
func (n *Node) conflictHint(prev uint64) uint64 {
	if prev > n.log.last() {
		return n.log.last()
	}
	conflict, _ := n.log.term(prev)
	i := prev
	for i > n.commit {
		term, ok := n.log.term(i)
		if !ok || term != conflict {
			break
		}
		i--
	}
	return i
}
