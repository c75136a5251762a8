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
	return n.cfg.Open || n.configured(name)
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
		if n.answers(m.ID) {
			wanted++
		}
	}
	return wanted < n.cfg.VotersWanted
}

// oddTarget returns the number of voters that the group should have when so many
// replicas could vote.
func (n *Node) oddTarget(able int) int {
	able = min(able, n.cfg.VotersWanted)
	return able - (able+1)%2
}

// wantsVoter reports whether a learner that has caught up is to be promoted.
func (n *Node) wantsVoter() bool {
	voters, able := 0, 0
	for _, m := range n.members {
		switch {
		case !m.Learner && !n.unwanted(m):
			voters++
			able++
		case m.Learner && n.mayJoin(m.Name) && n.caughtUp(m.ID):
			able++
		}
	}
	return voters < n.oddTarget(able)
}

// removeUnwanted removes one member of an open group that was excluded or has been
// silent for long, or one voter of an even number. The latter joins again as a
// learner. It reports whether it did.
func (n *Node) removeUnwanted() bool {
	if !n.cfg.Open {
		return false
	}
	for _, m := range n.members {
		if n.unwanted(m) && (m.Learner || len(n.voters()) > n.cfg.VotersLeast) && n.drop(m) {
			return true
		}
	}
	if voters := n.voters(); len(voters) > n.cfg.VotersLeast && len(voters)%2 == 0 && n.allAnswer() {
		for i := len(voters) - 1; i >= 0; i-- {
			if voters[i].ID != n.cfg.ID {
				return n.drop(voters[i])
			}
		}
	}
	return false
}

func (n *Node) drop(m Member) bool {
	before := n.memberIndex
	Change{Kind: Remove, Member: m}.internal(n)
	return n.memberIndex != before
}

// allAnswer reports whether all members answer. Otherwise the membership is about
// to change anyway.
func (n *Node) allAnswer() bool {
	for _, m := range n.members {
		if !n.answers(m.ID) {
			return false
		}
	}
	return true
}

func (n *Node) unwanted(m Member) bool {
	if slices.Contains(n.excluded, m.Name) {
		return true
	}
	p := n.lead.peers[m.ID]
	if p == nil || n.now < n.lead.since+n.cfg.SilentAfter {
		return false
	}
	return !p.heard || n.now-p.echo > n.cfg.SilentAfter
}

// admitAgain notes a replica that asks for votes although it is no member: it was
// removed while it was silent and does not know. Its log and its vote are its own,
// so it may come back under the same id.
func (n *Node) admitAgain(m *Message) {
	if n.cfg.Open && n.role == RoleLeader && n.mayJoin(m.Name) && !n.isMember(m.From) {
		n.lead.newcomer[m.From] = m.Name
	}
}
