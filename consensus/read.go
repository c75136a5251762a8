package consensus

// pendingRead is a read that waits until a quorum confirms the leadership.
type pendingRead struct {
	key   uint64
	index uint64
	round uint64
}

func (in Read) step(n *Node) {
	if n.role != RoleLeader {
		n.out.Reads = append(n.out.Reads, ReadResult{Key: in.Key, Err: &NotLeaderError{Leader: n.leaderName()}})
		return
	}
	if in.ByLease && n.leaseHeld() && n.commit >= n.lead.termStart {
		n.out.Reads = append(n.out.Reads, ReadResult{Key: in.Key, Term: n.term, Index: n.commit})
		return
	}
	n.lead.queuedReads = append(n.lead.queuedReads, pendingRead{key: in.Key})
}

// startReadRound moves queued reads into a new round and reports whether there is a
// round to announce. Until an entry of its own term is committed, the leader's commit
// index may be behind that of its predecessor, so reads stay queued.
func (n *Node) startReadRound() bool {
	if len(n.lead.queuedReads) == 0 || n.commit < n.lead.termStart {
		return false
	}
	if !n.cfg.faults.reuseRound || n.lead.round == 0 {
		n.lead.round++
	}
	for _, r := range n.lead.queuedReads {
		r.index = n.commit
		r.round = n.lead.round
		n.lead.roundReads = append(n.lead.roundReads, r)
	}
	n.lead.queuedReads = nil
	n.answerConfirmedReads()
	return len(n.lead.roundReads) > 0
}

// answerConfirmedReads answers the reads whose round a quorum has echoed.
func (n *Node) answerConfirmedReads() {
	if len(n.lead.roundReads) == 0 {
		return
	}
	confirmed := quorumValue(n.voters(), func(id uint64) uint64 {
		if id == n.cfg.ID || n.cfg.faults.unconfirmedRead {
			return n.lead.round
		}
		if p := n.lead.peers[id]; p != nil {
			return p.round
		}
		return 0
	})
	for len(n.lead.roundReads) > 0 && n.lead.roundReads[0].round <= confirmed {
		r := n.lead.roundReads[0]
		n.lead.roundReads = n.lead.roundReads[1:]
		n.out.Reads = append(n.out.Reads, ReadResult{Key: r.key, Term: n.term, Index: r.index})
	}
}

// failReads refuses all pending reads. Reads have no effect, so callers may retry
// them.
func (n *Node) failReads() {
	for _, r := range append(n.lead.roundReads, n.lead.queuedReads...) {
		n.out.Reads = append(n.out.Reads, ReadResult{Key: r.key, Err: &NotLeaderError{}})
	}
	n.lead.roundReads = nil
	n.lead.queuedReads = nil
}
