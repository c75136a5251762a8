package consensus

// pendingRead waits for a quorum to confirm the leadership after it was asked.
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
	if in.ByLease && n.leaseHeld() && n.commit >= n.lead.start {
		n.out.Reads = append(n.out.Reads, ReadResult{Key: in.Key, Term: n.term, Index: n.commit})
		return
	}
	n.lead.waiting = append(n.lead.waiting, pendingRead{key: in.Key})
}

// startRound puts waiting reads into a new round and reports whether there is a
// new round to announce. Before an entry of the own term is committed the commit
// index may be behind that of the previous leader, so reads wait.
func (n *Node) startRound() bool {
	if len(n.lead.waiting) == 0 || n.commit < n.lead.start {
		return false
	}
	if !n.cfg.faults.reuseRound || n.lead.round == 0 {
		n.lead.round++
	}
	for _, r := range n.lead.waiting {
		r.index = n.commit
		r.round = n.lead.round
		n.lead.reads = append(n.lead.reads, r)
	}
	n.lead.waiting = nil
	n.serveReads()
	return len(n.lead.reads) > 0
}

// serveReads answers the reads whose round a quorum has returned.
func (n *Node) serveReads() {
	if len(n.lead.reads) == 0 {
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
	for len(n.lead.reads) > 0 && n.lead.reads[0].round <= confirmed {
		r := n.lead.reads[0]
		n.lead.reads = n.lead.reads[1:]
		n.out.Reads = append(n.out.Reads, ReadResult{Key: r.key, Term: n.term, Index: r.index})
	}
}

// failReads refuses all reads. A read has no effect, so it may be asked again.
func (n *Node) failReads() {
	for _, r := range append(n.lead.reads, n.lead.waiting...) {
		n.out.Reads = append(n.out.Reads, ReadResult{Key: r.key, Err: &NotLeaderError{}})
	}
	n.lead.reads = nil
	n.lead.waiting = nil
}
