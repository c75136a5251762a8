package consensus

import (
	"slices"
	"time"
)

// SetPeers sets the replicas that a node with open membership asks to be added, and
// the ones that must not be members.
type SetPeers struct {
	Names    []string
	Excluded []string
}

func (in SetPeers) step(n *Node) {
	n.excluded = in.Excluded
	if n.group == 0 && !n.cfg.JoinOnly {
		return // the replicas that bootstrap the group are fixed
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
	return n.cfg.OpenMembership || n.isConfigured(name)
}

// hasRoom reports whether a replica of that name may be added: with open membership, if
// it replaces a member of the same name or fewer than MaxVoters members respond that are
// or may become lasting voters. Learners that do not catch up leave their room to others,
// but each of them costs the leader messages, so their number is bounded, too.
func (n *Node) hasRoom(name string) bool {
	if !n.cfg.OpenMembership {
		return true
	}
	responding, stalled := 0, 0
	for _, m := range n.members {
		if m.Name == name {
			return true
		}
		switch {
		case !n.responds(m.ID) || slices.Contains(n.excluded, m.Name):
		case n.stalled(m):
			stalled++
		default:
			responding++
		}
	}
	return responding < n.cfg.MaxVoters && stalled < n.cfg.MaxVoters
}

// stalled reports whether a learner that responds lacks committed entries and has
// acknowledged nothing new for ReplaceAfter.
func (n *Node) stalled(m Member) bool {
	p := n.lead.peers[m.ID]
	return m.Learner && p != nil && p.match < n.commit && n.now > p.progressAt+n.cfg.ReplaceAfter
}

// oddVoterCount returns the number of voters that the group should have if able
// replicas could vote: the largest odd number up to able and MaxVoters.
func (n *Node) oddVoterCount(able int) int {
	able = min(able, n.cfg.MaxVoters)
	return able - (able+1)%2
}

// needsVoter reports whether a learner that has caught up should be promoted: to reach the
// number of voters that the group should have, or to take the place of one that departs.
func (n *Node) needsVoter() bool {
	if _, ok := n.departingVoter(); ok && len(n.voters())%2 != 0 {
		return true
	}
	voters, able := 0, 0
	for _, m := range n.members {
		switch {
		case !m.Learner && !n.shouldRemove(m):
			voters++
			able++
		case n.mayPromote(m):
			able++
		}
	}
	return voters < n.oddVoterCount(able)
}

// mayPromote reports whether a member is a learner that can become a voter now.
func (n *Node) mayPromote(m Member) bool {
	return m.Learner && n.mayJoin(m.Name) && !n.departs(m.ID) && n.caughtUp(m.ID)
}

// removeExcess removes at most one member: one that is excluded or has not answered
// for MemberTimeout, or a voter if their number is even. That is the one that departs, or if all
// respond one that joins again as a learner. It reports whether a member was removed.
func (n *Node) removeExcess() bool {
	if !n.cfg.OpenMembership {
		return false
	}
	for _, m := range n.members {
		if n.shouldRemove(m) && (m.Learner || len(n.voters()) > n.cfg.MinVoters) && n.removeMember(m) {
			return true
		}
	}
	voters := n.voters()
	if len(voters)%2 != 0 {
		return false
	}
	if m, ok := n.departingVoter(); ok {
		return n.removeMember(m)
	}
	if len(voters) > n.cfg.MinVoters && n.allRespond() {
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

// allRespond reports whether all members respond. If one does not, the membership is
// about to change anyway.
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
	return n.silentFor(m, n.cfg.MemberTimeout)
}

// silentFor reports whether a member has not answered this leader for d.
func (n *Node) silentFor(m Member, d time.Duration) bool {
	p := n.lead.peers[m.ID]
	if p == nil || n.now < p.since+d {
		return false
	}
	return !p.answered || n.now-p.echoedClock > d
}

// recordRejoinRequest records the sender of a pre-vote that is not a member: it was
// removed while it was unreachable and does not know. It still has its log and vote,
// so it may rejoin with the same id.
func (n *Node) recordRejoinRequest(m *Message) {
	if n.cfg.OpenMembership && n.role == RoleLeader && n.mayJoin(m.Name) && !n.departs(m.From) && !n.isMember(m.From) {
		n.lead.joinRequests[m.From] = m.Name
	}
}
