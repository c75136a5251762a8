package consensus

// Handover asks a leader to give its leadership to a voter that has its whole log,
// without the wait of an election. It refuses proposals from then on, so it is for
// a process that stops. Nothing happens on other replicas.
type Handover struct{}

func (Handover) step(n *Node) {
	if n.role == RoleLeader && len(n.voters()) > 1 {
		n.lead.handingOver = true
		n.tryHandover()
	}
}

// tryHandover gives the leadership up once everything is committed and some other
// voter has it. The lease ends here, before any message says so.
func (n *Node) tryHandover() {
	if n.role != RoleLeader || !n.lead.handingOver || n.commit < n.log.last() {
		return
	}
	heir := n.successor()
	if heir == nil {
		return
	}
	term := n.term
	if !n.cfg.faults.leadAfterHandover {
		n.becomeFollower(term, 0)
		n.leader = 0
	}
	n.send(*heir, Message{Kind: MsgHandover, Term: term})
}

// successor returns the voter that has the whole log and was heard from last, or nil.
func (n *Node) successor() *Member {
	var best *Member
	voters := n.voters()
	for i := range voters {
		p := n.lead.peers[voters[i].ID]
		if p == nil || !p.answered || p.match < n.log.last() {
			continue
		}
		if best == nil || p.echoedClock > n.lead.peers[best.ID].echoedClock {
			best = &voters[i]
		}
	}
	return best
}

// handleHandover begins an election at once. No pre-vote is needed: the leader of
// the term has ended it.
func (n *Node) handleHandover(m *Message) {
	if m.Term == n.term && n.role != RoleLeader && n.isVoter(n.cfg.ID) {
		n.campaign(true)
	}
}

// releasedBy reports whether a vote frees n of its promise to the leader that it
// heard. The promise must be to the leader of the own term: that one has given up
// its lease, while a leader of a term that n does not know of may hold one.
func (n *Node) releasedBy(m *Message) bool {
	return m.Released && n.role != RoleLeader && m.Term == n.term+1
}
