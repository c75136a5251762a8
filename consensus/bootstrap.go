package consensus

import (
	"sort"
	"time"

	"merlinhall/actor"
)

// freshState is the state of a node that is kept only until it joins a group.
type freshState struct {
	peers map[string]uint64 // name to id of the other replicas without a group
}

// learnerRejoinDelay is the time without contact with a leader after which a replica
// asks to be added again. It is longer than an election takes.
const learnerRejoinDelay = 3 * time.Second

func newFreshState() freshState { return freshState{peers: make(map[string]uint64)} }

// tickFresh asks the configured peers for their ids. If this replica may bootstrap the
// group, it does so once it knows all of them. A leader responds by adding the replica as
// a learner; replicas without a group answer with MsgDiscoverReply.
func (n *Node) tickFresh() {
	if n.mayBootstrap() && len(n.fresh.peers) == len(n.cfg.Peers) {
		n.bootstrapGroup()
		return
	}
	n.discoverPeers()
}

func (n *Node) discoverPeers() {
	if n.now < n.discoverAt {
		return
	}
	n.discoverAt = n.now + n.cfg.DiscoveryPeriod
	for _, name := range n.cfg.Peers {
		n.send(Member{Name: name}, Message{Kind: MsgDiscover})
	}
}

// requestReadmission asks to be added again if this replica is not a voter and has no
// contact with a leader. A learner may have been removed while its process ran with
// another data directory that asked to join. A replica that knows of its own removal asks
// only with open membership, because otherwise an operator may have removed it on purpose.
// With it a voter asks, too: it may have been removed unknowingly, by a leader that was no voter
// before and so gets none of its vote requests.
func (n *Node) requestReadmission() {
	if n.isVoter(n.cfg.ID) && !n.cfg.OpenMembership || n.now-n.lastContact < learnerRejoinDelay {
		return
	}
	if len(n.members) > 0 && !n.isMember(n.cfg.ID) && !n.cfg.OpenMembership {
		return
	}
	n.discoverPeers()
}

// mayBootstrap reports whether this replica creates the group, which is the task of
// the first configured replica by name.
func (n *Node) mayBootstrap() bool {
	if n.cfg.JoinOnly {
		return false
	}
	for _, name := range n.cfg.Peers {
		if name < n.cfg.Name {
			return false
		}
	}
	return true
}

// bootstrapGroup creates the group. Each configured replica has told this one, addressed
// by the random id of its data directory, that it belongs to no group. So there is no
// group with committed entries that one of them would lose.
func (n *Node) bootstrapGroup() {
	members := []Member{{ID: n.cfg.ID, Name: n.cfg.Name}}
	for name, id := range n.fresh.peers {
		members = append(members, Member{ID: id, Name: name})
	}
	sort.Slice(members, func(i, j int) bool { return members[i].Name < members[j].Name })
	n.joinGroup(n.cfg.Rand.Uint64() | 1)
	n.term = 1
	n.vote = n.cfg.ID
	n.members, n.memberIndex = members, 1
	n.becomeLeader(EntryMembers, encodeMembers(members))
}

// joinGroup makes the replica a follower in a group.
func (n *Node) joinGroup(group uint64) {
	actor.Invariant(n.group == 0, "replica of group %x cannot join group %x", n.group, group)
	n.group = group
	n.out.Group = group
	n.role = RoleFollower
	n.fresh = freshState{}
	n.resetElection()
}

func (n *Node) handleDiscover(m *Message) {
	if m.From == n.cfg.ID || (m.Group != 0 && m.Group != n.group) {
		return
	}
	switch n.role {
	case RoleFresh:
		n.send(Member{ID: m.From, Name: m.Name}, Message{Kind: MsgDiscoverReply})
	case RoleLeader:
		if n.mayJoin(m.Name) && !n.isMember(m.From) {
			n.lead.joinRequests[m.From] = m.Name
		}
	}
}

func (n *Node) handleDiscoverReply(m *Message) {
	if n.role == RoleFresh && m.To == n.cfg.ID && n.isConfigured(m.Name) {
		n.fresh.peers[m.Name] = m.From
	}
}

func sortedIDs(m map[uint64]string) []uint64 {
	ids := make([]uint64, 0, len(m))
	for id := range m {
		ids = append(ids, id)
	}
	sort.Slice(ids, func(i, j int) bool { return ids[i] < ids[j] })
	return ids
}
