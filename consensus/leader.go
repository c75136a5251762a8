package consensus

import (
	"fmt"
	"time"

	"github.com/rotisserie/eris"

	"merlinhall/duty"
)

// ErrOverloaded refuses a proposal because too many entries are uncommitted.
var ErrOverloaded = eris.New("consensus: too many uncommitted entries")

// ErrTooLarge refuses a command of more than MaxCommandBytes.
var ErrTooLarge = eris.New("consensus: command is too large")

// MaxCommandBytes bounds one command, so that an append that carries it fits
// into one frame.
const MaxCommandBytes = 4 << 20

// NotLeaderError refuses a request that only the leader serves.
type NotLeaderError struct {
	Leader string // name of the leader, empty when not known
}

// Error implements error.
func (e *NotLeaderError) Error() string {
	if e.Leader == "" {
		return "consensus: no leader is known"
	}
	return fmt.Sprintf("consensus: the leader is %q", e.Leader)
}

// leaderState is the part of a node that exists only while it leads.
type leaderState struct {
	termStart      uint64 // index of the first entry of the own term
	electedAt      time.Duration
	heartbeatAt    time.Duration
	repairAt       time.Duration
	peers          map[uint64]*progress
	announceCommit bool // send the commit index before the next heartbeat

	round        uint64        // newest read round
	queuedReads  []pendingRead // not yet in a round
	roundReads   []pendingRead // in a round, oldest first
	joinRequests map[uint64]string
	handingOver  bool // proposals are refused, see Handover
}

// progress is what the leader knows of one other member.
type progress struct {
	match       uint64 // last entry known to be synced there
	next        uint64
	probing     bool // the point where the logs match is not known
	probeSent   bool // a probe is on the way
	inflight    []uint64
	answered    bool
	echoedClock time.Duration // newest own clock value returned
	round       uint64        // newest read round returned
	transfer    *transfer
}

// becomeLeader starts the leadership of the current term with an own entry, whose
// commit also commits all entries of older terms.
func (n *Node) becomeLeader(kind EntryKind, data []byte) {
	n.role = RoleLeader
	n.setLeader(n.cfg.ID)
	n.lead = leaderState{electedAt: n.now, peers: make(map[uint64]*progress), joinRequests: make(map[uint64]string)}
	n.lead.repairAt = n.now + n.cfg.RepairPeriod
	n.syncPeers()
	n.lead.termStart = n.appendOwn(kind, data)
}

// setLeader records the leader of the current term. There is at most one.
func (n *Node) setLeader(id uint64) {
	duty.Invariant(n.termLeader == 0 || n.termLeader == id, "term %d has two leaders: %x and %x", n.term, n.termLeader, id)
	n.termLeader = id
	n.leader = id
}

// loseLeadership ends what only a leader can finish.
func (n *Node) loseLeadership() {
	n.out.Lost = true
	n.failReads()
	n.lead = leaderState{}
	n.resetElection()
}

// syncPeers adds progress for new members and drops that of removed ones.
func (n *Node) syncPeers() {
	peers := make(map[uint64]*progress, len(n.members))
	for _, m := range n.members {
		if m.ID == n.cfg.ID {
			continue
		}
		p := n.lead.peers[m.ID]
		if p == nil {
			p = &progress{next: n.log.last() + 1, probing: true}
		}
		peers[m.ID] = p
	}
	n.lead.peers = peers
}

// appendOwn appends an entry of the own term and returns its index.
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
		return &NotLeaderError{} // whoever comes next is not known
	}
	if n.log.last()-n.commit >= uint64(n.cfg.MaxUncommitted) {
		return ErrOverloaded
	}
	return nil
}

// leaseEnd is the time until which a quorum has promised not to elect another
// leader. The promise starts at the earliest when the leader sent the message
// that a follower answered.
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

// checkLease ends the leadership of a replica that has not heard a quorum within
// the lease. A new leader has one lease to reach its followers.
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

// eachPeer calls f in the order of the membership, so that a run with the same
// seed sends the same messages in the same order.
func (n *Node) eachPeer(f func(m Member, p *progress)) {
	for _, m := range n.members {
		if p := n.lead.peers[m.ID]; p != nil {
			f(m, p)
		}
	}
}

// flushLeader sends what has gathered since the last output: new entries, a new
// commit index, a new read round.
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

// replicateTo sends as many entries as the in-flight bound allows. With force it sends
// at least one message.
func (n *Node) replicateTo(m Member, p *progress, force bool) {
	if p.transfer == nil && p.next <= n.log.base.Index {
		p.transfer = newTransfer(n.log.snapshot)
	}
	if p.transfer != nil {
		n.sendChunk(m, p, force)
		return
	}
	if p.probing {
		// A probe carries no entries: until the follower answers, it may be sent
		// again and again to a process that takes nothing.
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
	duty.Invariant(ok, "entry %d before an append is not retained", p.next-1)
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

// handleReply handles the answers of followers to MsgAppend and MsgSnapshot.
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

// handleRejection moves next back to where the logs may match. A rejection of an
// entry that is known to match is an old message.
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
	duty.Invariant(m.Index <= n.log.last(), "replica %x matches %d, the log ends at %d", m.From, m.Index, n.log.last())
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

// advanceCommit commits what a quorum of the voters has synced. Only an entry of
// the own term is committed by counting; it commits all entries before it.
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
	duty.Invariant(ok, "quorum index %d is not in the log", index)
	if term != n.term && !n.cfg.faults.commitOldTerm {
		return
	}
	n.assertQuorum(index)
	n.setCommit(index)
	n.lead.announceCommit = true
	if !n.isMember(n.cfg.ID) && n.memberIndex <= n.commit {
		// The entry that removed this replica is committed.
		n.becomeFollower(n.term, 0)
		n.leader = 0
	}
}

// assertQuorum checks, apart from how the index was found, that a majority of
// the voters has synced it.
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
	duty.Invariant(holding > voters/2, "entry %d is committed with %d of %d voters", index, holding, voters)
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
