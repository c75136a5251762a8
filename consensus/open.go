package consensus

import "slices"

// Peers tells a node of an open group which replicas to ask for admission, and
// which it must not admit or keep.
type Peers struct {
	Names    []string
	Excluded []string
}

func (in Peers) step(n *Node) {
	n.excluded = in.Excluded
	if n.group == 0 && !n.cfg.Joiner {
		return // the founding replicas are fixed
	}
	var others []string
	for _, name := range in.Names {
		if name != n.cfg.Name {
			others = append(others, name)
		}
	}
	n.cfg.Peers = others
}

// mayJoin reports whether a replica of that name may be a member.
func (n *Node) mayJoin(name string) bool {
	if slices.Contains(n.excluded, name) {
		return false
	}
	return n.cfg.Open || n.isConfigured(name)
}

// hasRoom reports whether a newcomer is wanted. One that replaces a member of the
// same name always is.
func (n *Node) hasRoom(name string) bool {
	if !n.cfg.Open {
		return true
	}
	wanted := 0
	for _, m := range n.members {
		if m.Name == name {
			return true
		}
		if n.responds(m.ID) {
			wanted++
		}
	}
	return wanted < n.cfg.VotersWanted
}

// oddVoterCount returns the number of voters that the group should have when so many
// replicas could vote.
func (n *Node) oddVoterCount(able int) int {
	able = min(able, n.cfg.VotersWanted)
	return able - (able+1)%2
}

// needsVoter reports whether a learner that has caught up is to be promoted.
func (n *Node) needsVoter() bool {
	voters, able := 0, 0
	for _, m := range n.members {
		switch {
		case !m.Learner && !n.shouldRemove(m):
			voters++
			able++
		case m.Learner && n.mayJoin(m.Name) && n.caughtUp(m.ID):
			able++
		}
	}
	return voters < n.oddVoterCount(able)
}

// removeExcess removes one member of an open group that was excluded or has been
// silent for long, or one voter of an even number. The latter joins again as a
// learner. It reports whether it did.
func (n *Node) removeExcess() bool {
	if !n.cfg.Open {
		return false
	}
	for _, m := range n.members {
		if n.shouldRemove(m) && (m.Learner || len(n.voters()) > n.cfg.VotersLeast) && n.removeMember(m) {
			return true
		}
	}
	if voters := n.voters(); len(voters) > n.cfg.VotersLeast && len(voters)%2 == 0 && n.allRespond() {
		for i := len(voters) - 1; i >= 0; i-- {
			if voters[i].ID != n.cfg.ID {
				return n.removeMember(voters[i])
			}
		}
	}
	return false
}

func (n *Node) removeMember(m Member) bool {
	before := n.memberIndex
	Change{Kind: Remove, Member: m}.applyInternal(n)
	return n.memberIndex != before
}

// allRespond reports whether all members answer. Otherwise the membership is about
// to change anyway.
func (n *Node) allRespond() bool {
	for _, m := range n.members {
		if !n.responds(m.ID) {
			return false
		}
	}
	return true
}

func (n *Node) shouldRemove(m Member) bool {
	if slices.Contains(n.excluded, m.Name) {
		return true
	}
	p := n.lead.peers[m.ID]
	if p == nil || n.now < n.lead.electedAt+n.cfg.MemberTimeout {
		return false
	}
	return !p.answered || n.now-p.echoedClock > n.cfg.MemberTimeout
}

// recordRejoinRequest notes a replica that asks for votes although it is no member: it was
// removed while it was silent and does not know. Its log and its vote are its own,
// so it may come back under the same id.
func (n *Node) recordRejoinRequest(m *Message) {
	if n.cfg.Open && n.role == RoleLeader && n.mayJoin(m.Name) && !n.isMember(m.From) {
		n.lead.joinRequests[m.From] = m.Name
	}
}
