package consensus

import (
	"fmt"
	"time"

	"github.com/rotisserie/eris"

	"merlinhall/actor"
)

// ErrOverloaded is returned for a proposal while too many entries are uncommitted.
var ErrOverloaded = eris.New("consensus: too many uncommitted entries")

// ErrTooLarge is returned for a command larger than MaxCommandBytes.
var ErrTooLarge = eris.New("consensus: command is too large")

// MaxCommandBytes is the maximum size of a command. It ensures that an append
// message with one command fits into one frame.
const MaxCommandBytes = 4 << 20

// NotLeaderError is returned by a replica that is not the leader for a request that
// only the leader can serve.
type NotLeaderError struct {
	Leader string // name of the leader, empty if not known
}

// Error implements error.
func (e *NotLeaderError) Error() string {
	if e.Leader == "" {
		return "consensus: no leader is known"
	}
	return fmt.Sprintf("consensus: the leader is %q", e.Leader)
}

// leaderState is the state of a node that is kept only while it is the leader.
type leaderState struct {
	termStart      uint64        // index of the first entry of the own term
	electedAt      time.Duration // start of the leadership
	heartbeatAt    time.Duration
	repairAt       time.Duration
	peers          map[uint64]*progress
	announceCommit bool // send the commit index before the next heartbeat

	round        uint64                   // newest read round
	queuedReads  []pendingRead            // not yet in a round
	roundReads   []pendingRead            // in a round, oldest first
	joinRequests map[uint64]string        // ids and names of replicas that ask to join
	handingOver  bool                     // proposals are refused, see Handover
	departing    map[uint64]time.Duration // when a member last said that its process is about to stop
}

// progress is the leader's view of another member's log.
type progress struct {
	match       uint64 // last entry known to be synced there
	next        uint64
	probing     bool          // the last matching entry is not known
	probeSent   bool          // a probe was sent since the last heartbeat or rejection
	inflight    []uint64      // last index of each unacknowledged append message
	since       time.Duration // when it became a member, or this replica its leader
	answered    bool          // has answered this leader at least once
	echoedClock time.Duration // newest value of the leader's clock echoed by the member
	round       uint64        // newest read round echoed by the member
	transfer    *transfer     // snapshot transfer in progress, or nil
	// progressAt is when it last had all committed entries or acknowledged more of the log.
	progressAt time.Duration
}

// becomeLeader makes the replica the leader of the current term. It appends an entry
// of that term, whose commit also commits all entries of older terms.
func (n *Node) becomeLeader(kind EntryKind, data []byte) {
	n.role = RoleLeader
	n.setLeader(n.cfg.ID)
	n.lead = leaderState{electedAt: n.now, peers: make(map[uint64]*progress), joinRequests: make(map[uint64]string), departing: make(map[uint64]time.Duration)}
	n.lead.repairAt = n.now + n.cfg.RepairPeriod
	n.syncPeers()
	n.lead.termStart = n.appendOwn(kind, data)
}

// setLeader records the leader of the current term, of which there is at most one.
func (n *Node) setLeader(id uint64) {
	actor.Invariant(n.termLeader == 0 || n.termLeader == id, "term %d has two leaders: %x and %x", n.term, n.termLeader, id)
	n.termLeader = id
	n.leader = id
}

// loseLeadership fails pending reads and discards the leader state.
func (n *Node) loseLeadership() {
	n.out.LostLeadership = true
	n.failReads()
	n.lead = leaderState{}
	n.resetElection()
}

// syncPeers adds progress for new members and removes that of former ones.
func (n *Node) syncPeers() {
	peers := make(map[uint64]*progress, len(n.members))
	for _, m := range n.members {
		if m.ID == n.cfg.ID {
			continue
		}
		p := n.lead.peers[m.ID]
		if p == nil {
			p = &progress{next: n.log.last() + 1, probing: true, since: n.now, progressAt: n.now}
		}
		peers[m.ID] = p
	}
	n.lead.peers = peers
}

// appendOwn appends an entry of the current term as leader and returns its index.
func (n *Node) appendOwn(kind EntryKind, data []byte) uint64 {
	e := Entry{Index: n.log.last() + 1, Term: n.term, Kind: kind, Data: data}
	n.log.append(e)
	return e.Index
}

func (n *Node) checkProposal() error {
	if n.role != RoleLeader {
		return &NotLeaderError{Leader: n.leaderName()}
	}
	if n.lead.handingOver {
		return &NotLeaderError{} // the next leader is not known yet
	}
	if n.log.last()-n.commit >= uint64(n.cfg.MaxUncommitted) {
		return ErrOverloaded
	}
	return nil
}

// leaseEnd returns the time until which a quorum has promised not to elect another
// leader. A follower's promise is counted from the time at which the leader sent the
// message that the follower answered, since it cannot have started earlier.
func (n *Node) leaseEnd() time.Duration {
	return n.cfg.Lease + quorumValue(n.voters(), func(id uint64) time.Duration {
		if id == n.cfg.ID {
			return n.now
		}
		if p := n.lead.peers[id]; p != nil && p.answered {
			return p.echoedClock
		}
		return -n.cfg.Lease
	})
}

func (n *Node) leaseHeld() bool {
	return n.role == RoleLeader && (n.now < n.leaseEnd() || n.cfg.faults.ignoreLease)
}

// checkLease ends the leadership if a quorum has not answered within the lease. A
// new leader has the duration of one lease to reach its followers.
func (n *Node) checkLease() {
	if n.role != RoleLeader || n.cfg.faults.ignoreLease {
		return
	}
	if n.now < max(n.leaseEnd(), n.lead.electedAt+n.cfg.Lease) {
		return
	}
	n.becomeFollower(n.term, 0)
	n.leader = 0
}

func (n *Node) tickLeader() {
	if n.now >= n.lead.heartbeatAt {
		n.heartbeat()
	}
	if n.now >= n.lead.repairAt {
		n.lead.repairAt = n.now + n.cfg.RepairPeriod
		n.repair()
	}
}

func (n *Node) heartbeat() {
	n.lead.heartbeatAt = n.now + n.cfg.Heartbeat
	n.lead.announceCommit = false
	n.eachPeer(func(m Member, p *progress) {
		p.probeSent = false
		n.replicateTo(m, p, true)
	})
}

// eachPeer calls f for each other member in membership order, so that simulations
// with the same seed send the same messages in the same order.
func (n *Node) eachPeer(f func(m Member, p *progress)) {
	for _, m := range n.members {
		if p := n.lead.peers[m.ID]; p != nil {
			f(m, p)
		}
	}
}

// flushLeader sends new entries, a new commit index and a new read round that have
// accumulated since the last output.
func (n *Node) flushLeader() {
	if n.role != RoleLeader {
		return
	}
	n.answerConfirmedReads()
	if n.startReadRound() || n.lead.announceCommit {
		n.heartbeat()
		return
	}
	n.eachPeer(func(m Member, p *progress) { n.replicateTo(m, p, false) })
}

// replicateTo sends m as many entries as the in-flight limit allows, or the next part
// of a snapshot. With force it sends at least one message.
func (n *Node) replicateTo(m Member, p *progress, force bool) {
	if p.transfer == nil && p.next <= n.log.base.Index {
		p.transfer = newTransfer(n.log.snapshot)
	}
	if p.transfer != nil {
		n.sendChunk(m, p, force)
		return
	}
	if p.probing {
		// Probes carry no entries, because they may be resent many times to a follower
		// that does not respond.
		if force || !p.probeSent && p.next <= n.log.last() {
			n.sendAppend(m, p, nil)
		}
		return
	}
	sent := false
	for p.next <= n.log.last() && len(p.inflight) < n.cfg.MaxInflight {
		n.sendAppend(m, p, n.log.batch(p.next, n.cfg.MaxBatchBytes))
		sent = true
	}
	if force && !sent {
		n.sendAppend(m, p, nil)
	}
}

func (n *Node) sendAppend(m Member, p *progress, entries []Entry) {
	term, ok := n.log.term(p.next - 1)
	actor.Invariant(ok, "entry %d, which precedes an append, is not retained", p.next-1)
	n.send(m, Message{
		Kind:    MsgAppend,
		Term:    n.term,
		Index:   p.next - 1,
		LogTerm: term,
		Commit:  n.commit,
		Entries: entries,
		Sent:    n.now,
		Round:   n.lead.round,
	})
	if p.probing {
		p.probeSent = true
		return
	}
	if len(entries) > 0 {
		p.next += uint64(len(entries))
		p.inflight = append(p.inflight, p.next-1)
	}
}

// handleReply handles replies to MsgAppend and MsgSnapshot.
func (n *Node) handleReply(m *Message) {
	if m.Term > n.term {
		n.becomeFollower(m.Term, 0)
		return
	}
	if n.role != RoleLeader || m.Term < n.term {
		return
	}
	p := n.lead.peers[m.From]
	if p == nil {
		return
	}
	p.answered = true
	p.echoedClock = max(p.echoedClock, m.Sent)
	p.round = max(p.round, m.Round)
	switch {
	case m.Kind == MsgSnapshotReply:
		n.handleChunkReply(m, p)
	case m.Reject:
		n.handleRejection(m, p)
	default:
		n.handleMatch(m, p)
	}
	n.tryHandover()
}

// handleRejection moves next back to a position where the logs may match. A
// rejection at an entry that is known to match is outdated and ignored.
func (n *Node) handleRejection(m *Message, p *progress) {
	if m.Index <= p.match {
		return
	}
	p.next = max(p.match+1, min(m.Hint+1, m.Index))
	p.probing = true
	p.probeSent = false
	p.inflight = nil
}

func (n *Node) handleMatch(m *Message, p *progress) {
	actor.Invariant(m.Index <= n.log.last(), "replica %x acknowledges entry %d, but the log ends at %d", m.From, m.Index, n.log.last())
	if m.Index > p.match || m.Index >= n.commit {
		p.progressAt = n.now
	}
	p.match = max(p.match, m.Index)
	if p.transfer != nil && p.match >= p.transfer.snapshot.Index {
		p.transfer = nil
		p.next = p.match + 1
	}
	if p.probing {
		p.probing = false
		p.next = p.match + 1
	}
	p.next = max(p.next, p.match+1)
	for len(p.inflight) > 0 && p.inflight[0] <= p.match {
		p.inflight = p.inflight[1:]
	}
	n.advanceCommit()
}

// advanceCommit commits the entries that a quorum of the voters has synced. Only
// entries of the current term are committed by counting replicas; this also commits
// all entries before them.
func (n *Node) advanceCommit() {
	voters := n.voters()
	if n.cfg.faults.countLearners {
		voters = n.members
	}
	index := quorumValue(voters, n.matchOf)
	if index <= n.commit {
		return
	}
	term, ok := n.log.term(index)
	actor.Invariant(ok, "quorum index %d is not in the retained log", index)
	if term != n.term && !n.cfg.faults.commitOldTerm {
		return
	}
	n.assertQuorum(index)
	if n.commit < n.memberIndex && n.memberIndex <= index {
		n.lead.repairAt = n.now // a repair may take several changes
	}
	n.setCommit(index)
	n.lead.announceCommit = true
	if !n.isMember(n.cfg.ID) && n.memberIndex <= n.commit {
		// The entry that removes this replica is committed.
		n.becomeFollower(n.term, 0)
		n.leader = 0
	}
}

// assertQuorum checks independently of quorumValue that a majority of the voters has
// synced the entry at index.
func (n *Node) assertQuorum(index uint64) {
	voters, holding := 0, 0
	for _, m := range n.members {
		if m.Learner {
			continue
		}
		voters++
		if n.matchOf(m.ID) >= index {
			holding++
		}
	}
	actor.Invariant(holding > voters/2, "entry %d would be committed with %d of %d voters", index, holding, voters)
}

func (n *Node) matchOf(id uint64) uint64 {
	if id == n.cfg.ID {
		return n.syncedIndex
	}
	if p := n.lead.peers[id]; p != nil {
		return p.match
	}
	return 0
}

func (n *Node) isMember(id uint64) bool {
	_, ok := n.member(id)
	return ok
}
