package consensus

// Handover asks the leader to transfer its leadership to a voter that has its complete
// log, without waiting for an election timeout. The leader refuses proposals from then
// on, so this is for a process that is about to stop. It has no effect on replicas
// that are not the leader.
type Handover struct{}

func (Handover) step(n *Node) {
	if n.role == RoleLeader && len(n.voters()) > 1 {
		n.lead.handingOver = true
		n.tryHandover()
	}
}

// tryHandover gives up the leadership once all entries are committed and another voter
// has them. The lease ends here, before the message about it is sent.
func (n *Node) tryHandover() {
	if n.role != RoleLeader || !n.lead.handingOver || n.commit < n.log.last() {
		return
	}
	voter := n.successor()
	if voter == nil {
		return
	}
	term := n.term
	if !n.cfg.faults.leadAfterHandover {
		n.becomeFollower(term, 0)
		n.leader = 0
	}
	n.send(*voter, Message{Kind: MsgHandover, Term: term})
}

// successor returns the voter that has the complete log and answered the most recent
// message, if possible one whose process is not about to stop, or nil.
func (n *Node) successor() *Member {
	var best *Member
	voters := n.voters()
	for i := range voters {
		p := n.lead.peers[voters[i].ID]
		if p == nil || !p.answered || p.match < n.log.last() {
			continue
		}
		if best == nil || n.departs(best.ID) && !n.departs(voters[i].ID) ||
			n.departs(best.ID) == n.departs(voters[i].ID) && p.echoedClock > n.lead.peers[best.ID].echoedClock {
			best = &voters[i]
		}
	}
	return best
}

// handleHandover starts an election at once. No pre-vote is needed, because the leader
// of the term has given up its leadership.
func (n *Node) handleHandover(m *Message) {
	if m.Term == n.term && n.role != RoleLeader && n.isVoter(n.cfg.ID) {
		n.campaign(true)
	}
}

// releasedBy reports whether the vote request m releases n from its promise to the
// current leader. This is so only if the term of n is directly before that of m: the
// leader of that term has released its lease, whereas the leader of a term in between,
// unknown to n, may still hold one.
func (n *Node) releasedBy(m *Message) bool {
	return m.Released && n.role != RoleLeader && m.Term == n.term+1
}
