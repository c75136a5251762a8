package consensus

import "slices"

// Depart tells the leader that this replica's process is about to stop, so that a learner takes
// its place before. The driver repeats it until Status.Departure is set. From the first one on
// the replica starts no elections and does not ask to be added again. It has no effect on the
// leader itself, which hands over its leadership first.
type Depart struct{}

// Departure is what has become of the request to be replaced.
type Departure string

// Outcomes of Depart.
const (
	// DepartureOpen means that the leader has not answered, or that the learner is being promoted.
	DepartureOpen Departure = ""
	// DepartureDone means that the replica is no voter any more: its loss takes no vote away.
	DepartureDone Departure = "done"
	// DepartureRefused means that no learner can take its place.
	DepartureRefused Departure = "refused"
)

func (Depart) step(n *Node) {
	n.departing = true
	if leader, ok := n.member(n.leader); ok && n.role == RoleFollower {
		n.send(leader, Message{Kind: MsgDepart, Term: n.term})
	}
}

// handleDepart has the sender replaced, and answers once that is committed or if it is not
// possible. The sender asks again until then.
func (n *Node) handleDepart(m *Message) {
	if n.role != RoleLeader || n.lead.handingOver {
		return
	}
	n.lead.departing[m.From] = n.now
	delete(n.lead.joinRequests, m.From)
	switch {
	case n.memberIndex > n.commit:
	case !n.isVoter(m.From):
		n.reply(m, Message{Kind: MsgDepartReply})
	case n.cfg.OpenMembership && n.hasReplacement():
		n.lead.repairAt = n.now
	default:
		n.reply(m, Message{Kind: MsgDepartReply, Reject: true})
	}
}

// hasReplacement reports whether a voter that departs can be removed without a loss of votes: a
// learner has taken its place, or can as soon as it has caught up. Under load it is behind most
// of the time, and a new leader has not heard of it yet.
func (n *Node) hasReplacement() bool {
	return len(n.voters())%2 == 0 || slices.ContainsFunc(n.members, func(m Member) bool {
		return m.Learner && n.mayJoin(m.Name) && !n.departs(m.ID) && !n.silentFor(m, n.cfg.Lease)
	})
}

func (n *Node) handleDepartReply(m *Message) {
	switch {
	case !n.departing || m.Term < n.term:
	case m.Reject:
		n.departure = DepartureRefused
	default:
		n.departure = DepartureDone
	}
}

// departs reports whether a member has said within ReplaceAfter that its process is about to
// stop. After that its silence shows it.
func (n *Node) departs(id uint64) bool {
	at, ok := n.lead.departing[id]
	return ok && n.now < at+n.cfg.ReplaceAfter
}

// departingVoter returns a voter that a learner should replace: one whose process is about to
// stop, or that has not answered for ReplaceAfter. The learner is promoted first and the voter is
// removed then: while both count, the group commits again as soon as a voter that only stood
// still is back, whichever other one is lost with its disk meanwhile. A removal that comes first
// is obeyed by the leader at once, but the voter knows nothing of it, and neither of them would
// vote for the other one again.
func (n *Node) departingVoter() (Member, bool) {
	for _, departs := range []func(m Member) bool{
		func(m Member) bool { return n.departs(m.ID) },
		func(m Member) bool { return n.silentFor(m, n.cfg.ReplaceAfter) },
	} {
		for _, m := range n.voters() {
			if departs(m) {
				return m, true
			}
		}
	}
	return Member{}, false
}
