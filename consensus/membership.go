package consensus

import (
	"github.com/rotisserie/eris"
)

// ChangeKind is the type of a membership change.
type ChangeKind string

// Types of membership changes. Each one affects a single replica.
const (
	AddLearner ChangeKind = "add_learner"
	Promote    ChangeKind = "promote"
	Remove     ChangeKind = "remove"
)

// Errors that refuse a membership change.
var (
	ErrChangePending = eris.New("consensus: another membership change is not committed yet")
	ErrNotCaughtUp   = eris.New("consensus: the learner has not caught up and synced")
	ErrMemberExists  = eris.New("consensus: the replica is already a member")
	ErrNoSuchMember  = eris.New("consensus: the replica is not a member")
	ErrNotLearner    = eris.New("consensus: the replica is not a learner")
	ErrQuorumAtRisk  = eris.New("consensus: the remaining replicas that answer would be no quorum")
	ErrNotReady      = eris.New("consensus: the leader has not committed an entry of its term yet")
)

func (in Change) step(n *Node) {
	next, err := n.planChange(in)
	if err != nil {
		n.out.Refused = append(n.out.Refused, Refused{in.Key, err})
		return
	}
	index := n.setMembers(next)
	n.out.Accepted = append(n.out.Accepted, Accepted{in.Key, index, n.term})
}

// planChange returns the membership that results from the change.
func (n *Node) planChange(in Change) ([]Member, error) {
	if err := n.checkChange(); err != nil {
		return nil, err
	}
	current, exists := n.member(in.Member.ID)
	switch in.Kind {
	case AddLearner:
		if exists {
			return nil, ErrMemberExists
		}
		added := Member{ID: in.Member.ID, Name: in.Member.Name, Learner: true}
		return append(append([]Member(nil), n.members...), added), nil
	case Promote:
		return n.planPromote(current, exists)
	case Remove:
		if !exists {
			return nil, ErrNoSuchMember
		}
		return n.checkQuorum(withoutMember(n.members, current.ID))
	}
	return nil, eris.Errorf("consensus: unknown membership change %q", in.Kind)
}

// checkChange refuses a change while another one is uncommitted, and before the
// leader has committed an entry of its own term, because until then it may not know
// the newest committed membership.
func (n *Node) checkChange() error {
	if err := n.checkProposal(); err != nil {
		return err
	}
	if n.commit < n.lead.termStart && !n.cfg.faults.changeBeforeCommit {
		return ErrNotReady
	}
	if n.memberIndex > n.commit {
		return ErrChangePending
	}
	return nil
}

func (n *Node) planPromote(m Member, exists bool) ([]Member, error) {
	if !exists {
		return nil, ErrNoSuchMember
	}
	if !m.Learner {
		return nil, ErrNotLearner
	}
	if !n.caughtUp(m.ID) {
		return nil, ErrNotCaughtUp
	}
	next := append([]Member(nil), n.members...)
	for i := range next {
		if next[i].ID == m.ID {
			next[i].Learner = false
		}
	}
	return n.checkQuorum(next)
}

// caughtUp reports whether a replica has synced all committed entries and answered
// within the lease.
func (n *Node) caughtUp(id uint64) bool {
	p := n.lead.peers[id]
	return p != nil && p.match >= n.commit && n.responds(id)
}

func (n *Node) responds(id uint64) bool {
	if id == n.cfg.ID {
		return true
	}
	p := n.lead.peers[id]
	return p != nil && p.answered && n.now < p.echoedClock+n.cfg.Lease
}

// checkQuorum refuses a membership whose responding voters are not a majority.
func (n *Node) checkQuorum(next []Member) ([]Member, error) {
	voters, answering := 0, 0
	for _, m := range next {
		if m.Learner {
			continue
		}
		voters++
		if n.responds(m.ID) {
			answering++
		}
	}
	if answering <= voters/2 {
		return nil, ErrQuorumAtRisk
	}
	return next, nil
}

func withoutMember(members []Member, id uint64) []Member {
	var rest []Member
	for _, m := range members {
		if m.ID != id {
			rest = append(rest, m)
		}
	}
	return rest
}

// repair takes the next step to replace a replica that restarted with an empty disk,
// and so with a new id: it is added as a learner, then its former id is removed, then
// it is promoted. The former id is removed before the promotion, so that a replica
// that cannot answer never increases the quorum size.
func (n *Node) repair() {
	if n.cfg.DisableRepair || n.checkChange() != nil {
		return
	}
	for _, m := range n.members {
		if n.mayPromote(m) && n.repairLearner(m) {
			return
		}
	}
	if n.removeExcess() {
		return
	}
	ids := sortedIDs(n.lead.joinRequests)
	if len(ids) > 0 {
		n.addRequestedLearner(ids[0])
	}
}

// addRequestedLearner adds a replica that asked to join as a learner. If this fails,
// the replica will ask again.
func (n *Node) addRequestedLearner(id uint64) {
	name := n.lead.joinRequests[id]
	delete(n.lead.joinRequests, id)
	if n.isMember(id) || n.nameResponds(name, id) {
		return
	}
	if !n.hasRoom(name) {
		return
	}
	n.removeFormerLearner(name)
	Change{Kind: AddLearner, Member: Member{ID: id, Name: name}}.applyInternal(n)
}

// nameResponds reports whether a member other than id has that name and responds. In
// that case two processes were given the same name by mistake, and the member that is
// already running stays.
func (n *Node) nameResponds(name string, id uint64) bool {
	for _, m := range n.members {
		if m.Name == name && m.ID != id && n.responds(m.ID) {
			return true
		}
	}
	return false
}

// repairLearner removes the former id of a learner that has caught up, or promotes
// the learner if there is no former id. It reports whether it tried a change.
func (n *Node) repairLearner(learner Member) bool {
	if n.nameResponds(learner.Name, learner.ID) {
		return false
	}
	for _, m := range n.members {
		if m.Name == learner.Name && m.ID != learner.ID {
			Change{Kind: Remove, Member: m}.applyInternal(n)
			return true
		}
	}
	if n.cfg.OpenMembership && !n.needsVoter() {
		return false
	}
	Change{Kind: Promote, Member: learner}.applyInternal(n)
	return true
}

// removeFormerLearner removes a learner whose process returned with another id, so
// that stale learners do not accumulate over repeated repairs.
func (n *Node) removeFormerLearner(name string) {
	for _, m := range n.members {
		if m.Name == name && m.Learner {
			Change{Kind: Remove, Member: m}.applyInternal(n)
			return
		}
	}
}

// applyInternal carries out a change that the leader decided on itself, and ignores a
// refusal.
func (in Change) applyInternal(n *Node) {
	if next, err := n.planChange(in); err == nil {
		n.setMembers(next)
	}
}

// setMembers appends a membership entry, which takes effect at once, and returns its
// index.
func (n *Node) setMembers(next []Member) uint64 {
	index := n.appendOwn(EntryMembers, encodeMembers(next))
	n.members, n.memberIndex = next, index
	n.syncPeers()
	return index
}

func (n *Node) isConfigured(name string) bool {
	for _, p := range n.cfg.Peers {
		if p == name {
			return true
		}
	}
	return false
}
