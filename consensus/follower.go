package consensus

import "merlinhall/actor"

// followLeader accepts the sender of m as the leader of its term. If that term has
// ended, it answers m with MsgStale and returns false. The leader must not take the
// clock and read round in this answer for a confirmation: it may have restarted with
// another clock and be the leader of a newer term by then.
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

// skipCompacted drops the entries of an append message that the local log has already
// compacted.
func (n *Node) skipCompacted(m *Message) (prev, prevTerm uint64, entries []Entry) {
	base := n.log.base
	if m.Index >= base.Index {
		return m.Index, m.LogTerm, m.Entries
	}
	skip := min(base.Index-m.Index, uint64(len(m.Entries)))
	return base.Index, base.Term, m.Entries[skip:]
}

// appendReplicated adds an entry from the leader to the log and removes conflicting
// entries.
func (n *Node) appendReplicated(e Entry) {
	if term, ok := n.log.term(e.Index); ok {
		if term == e.Term {
			return
		}
		actor.Invariant(e.Index > n.commit, "committed entry %d would be overwritten", e.Index)
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

// conflictHint returns the index of the last entry that may match the leader's log,
// given that the entry at prev does not: the one before the first entry of the
// conflicting term.
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
