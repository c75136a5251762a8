package consensus

import (
	"sort"
	"time"

	"merlinhall/actor"
)

// Input is an event that Node.Step processes.
type Input interface{ step(n *Node) }

// Tick advances time. The driver sends one at least every quarter of the heartbeat
// period. For a follower in contact with its leader, every half of the minimum election
// timeout is enough, because the follower has no other timers.
type Tick struct{}

// Receive delivers a message from another replica.
type Receive struct{ Message *Message }

// Propose asks the leader to append a command. The result is in Output.Accepted or
// Output.Refused with the same key.
type Propose struct {
	Key  uint64
	Data []byte
}

// Read asks the leader for a confirmed read index. The result is in Output.Reads
// with the same key.
type Read struct {
	Key uint64
	// ByLease accepts the leader's lease as confirmation instead of a quorum round.
	// This is safe only if clock rates differ by less than a quarter.
	ByLease bool
}

// Change asks the leader for a membership change. Its result is reported like that
// of Propose.
type Change struct {
	Key    uint64
	Kind   ChangeKind
	Member Member // ID, and Name for AddLearner
}

// Compact reports a snapshot of the state machine at Index and compacts the log. Up
// to Keep entries and KeepBytes bytes before Index are retained for slow followers.
type Compact struct {
	Index     uint64
	Data      []byte // nil if the driver has already written the state
	Size      uint64 // size of the state in bytes, if Data is nil
	Keep      uint64
	KeepBytes int
}

// Accepted reports the position at which a proposal was appended. The proposal is
// committed once the entry with that index and term is in Output.Committed.
type Accepted struct{ Key, Index, Term uint64 }

// Refused reports that a proposal was not appended and never will be.
type Refused struct {
	Key uint64
	Err error
}

// ReadResult answers Read. If Err is nil, Index covers every entry that was
// committed when the read was requested, and the replica was still the leader of
// Term after the request.
type ReadResult struct {
	Key, Term, Index uint64
	Err              error
}

// Output is the work that the driver must carry out, in the order of the fields: it
// persists the fields up to Append, calls Persisted, and then sends messages,
// applies entries and reports results.
type Output struct {
	Group     uint64     // set when the replica has joined a group
	State     *HardState // set when it changed
	Install   *Snapshot  // replaces the log and the state of the state machine
	Compacted *Compaction
	Append    []Entry // replaces the log starting at Append[0].Index

	Messages  []Message
	Accepted  []Accepted
	Refused   []Refused
	Committed []Entry
	Reads     []ReadResult
	// LostLeadership is set when the replica stopped being the leader: the outcome of
	// accepted proposals that are not in Committed is unknown.
	LostLeadership bool
}

// Compaction is a new snapshot and the log that is retained with it.
type Compaction struct {
	Snapshot Snapshot
	Base     Base
	Entries  []Entry // all retained entries
}

// Durable reports whether o contains anything to persist.
func (o *Output) Durable() bool {
	return o.Group != 0 || o.State != nil || o.Install != nil || o.Compacted != nil || len(o.Append) > 0
}

func (o *Output) empty() bool {
	return !o.Durable() && len(o.Messages) == 0 && len(o.Accepted) == 0 && len(o.Refused) == 0 &&
		len(o.Committed) == 0 && len(o.Reads) == 0 && !o.LostLeadership
}

// Node is the state machine of one replica.
type Node struct {
	cfg   Config
	now   time.Duration
	group uint64

	role       Role
	term       uint64
	vote       uint64
	leader     uint64 // 0 when not known
	termLeader uint64 // the only leader of the term, 0 until one is seen; leader may be reset

	log            memoryLog
	commit         uint64
	deliveredIndex uint64 // last entry passed to the driver for application
	members        []Member
	excluded       []string // names that must not be members, with open membership
	memberIndex    uint64

	lastContact time.Duration // last contact with a leader, initially the start time
	electionAt  time.Duration
	votes       map[uint64]bool
	preVoting   bool

	departing bool // see Depart
	departure Departure

	lead       leaderState
	fresh      freshState
	discoverAt time.Duration // next time to send MsgDiscover to the peers
	incoming   *incomingSnapshot

	savedState  HardState // last state passed to the driver
	savedIndex  uint64    // last entry passed to the driver for persistence
	syncedIndex uint64    // last entry known to be durable
	outputTaken bool      // the driver is persisting an Output
	takenIndex  uint64    // last entry when the driver took the Output
	out         Output
}

// New returns the node of a replica that was recovered at time now. The node grants
// no vote for ElectionMin, as after contact with a leader, because the replica may
// have acknowledged a lease before it restarted.
func New(cfg Config, r Recovered, now time.Duration) *Node {
	cfg.setDefaults()
	n := &Node{
		cfg:            cfg,
		now:            now,
		group:          r.Group,
		role:           RoleFollower,
		term:           r.State.Term,
		vote:           r.State.Vote,
		log:            memoryLog{base: r.Base, entries: r.Entries, snapshot: r.Snapshot.withoutData()},
		commit:         r.Snapshot.Index,
		deliveredIndex: r.Snapshot.Index,
		lastContact:    now,
		savedState:     r.State,
	}
	if cfg.faults.voteAtStart {
		n.lastContact -= cfg.ElectionMin
	}
	n.savedIndex = n.log.last()
	n.syncedIndex = n.log.last()
	n.members, n.memberIndex = n.log.membersAt(n.log.last())
	n.resetElection()
	if n.group == 0 {
		n.role = RoleFresh
		n.fresh = newFreshState()
	}
	return n
}

// Step processes one input. now is monotonic and must not decrease. Step must not be
// called between Take and Persisted.
func (n *Node) Step(now time.Duration, in Input) {
	actor.Invariant(!n.outputTaken, "Step called while an output is being persisted")
	actor.Invariant(now >= n.now, "monotonic clock went back from %v to %v", n.now, now)
	n.now = now
	n.checkLease()
	in.step(n)
}

// Take returns the pending output, and whether it contains anything. If it does, the
// driver must call Persisted before the next Step or Take.
func (n *Node) Take() (Output, bool) {
	actor.Invariant(!n.outputTaken, "Take called twice without Persisted")
	n.flushLeader()
	n.collectDurable()
	n.collectCommitted()
	out := n.out
	n.out = Output{}
	if out.empty() {
		return out, false
	}
	n.outputTaken = true
	n.takenIndex = n.log.last()
	return out, true
}

// Persisted reports that the last Output has been persisted and synced.
func (n *Node) Persisted() {
	actor.Invariant(n.outputTaken, "Persisted called without an output")
	n.outputTaken = false
	n.syncedIndex = n.takenIndex
	if n.role == RoleLeader {
		n.advanceCommit()
	}
}

func (n *Node) collectDurable() {
	state := HardState{Term: n.term, Vote: n.vote}
	if n.cfg.faults.forgetVote {
		state.Vote = 0
	}
	if state != n.savedState {
		n.out.State = &state
		n.savedState = state
	}
	n.out.Append = n.log.slice(n.savedIndex+1, n.log.last())
	n.savedIndex = n.log.last()
}

func (n *Node) collectCommitted() {
	if n.deliveredIndex < n.commit {
		n.out.Committed = append(n.out.Committed, n.log.slice(n.deliveredIndex+1, n.commit)...)
		n.deliveredIndex = n.commit
	}
}

func (Tick) step(n *Node) {
	switch n.role {
	case RoleFresh:
		n.tickFresh()
	case RoleLeader:
		n.tickLeader()
	default:
		n.tickFollower()
	}
}

func (in Receive) step(n *Node) { n.receive(in.Message) }

func (in Propose) step(n *Node) {
	err := n.checkProposal()
	if err == nil && len(in.Data) > MaxCommandBytes {
		err = ErrTooLarge
	}
	if err != nil {
		n.out.Refused = append(n.out.Refused, Refused{in.Key, err})
		return
	}
	index := n.appendOwn(EntryCommand, in.Data)
	n.out.Accepted = append(n.out.Accepted, Accepted{in.Key, index, n.term})
}

func (in Compact) step(n *Node) {
	actor.Invariant(in.Index <= n.deliveredIndex, "snapshot at entry %d, but entries are applied only up to %d", in.Index, n.deliveredIndex)
	if in.Index <= n.log.snapshot.Index {
		return
	}
	term, ok := n.log.term(in.Index)
	actor.Invariant(ok, "snapshot at entry %d, which is not in the log", in.Index)
	members, _ := n.log.membersAt(in.Index)
	full := Snapshot{Index: in.Index, Term: term, Members: members, Data: in.Data, Size: in.Size}
	n.log.snapshot = full.withoutData()
	n.log.compact(n.log.compactionIndex(in.Index, in.Keep, in.KeepBytes))
	n.out.Compacted = &Compaction{
		Snapshot: full,
		Base:     n.log.base,
		Entries:  n.log.slice(n.log.base.Index+1, n.log.last()),
	}
}

// receive handles messages that are addressed to this replica and belong to its
// group. A replica without a group joins the group of the first message addressed to
// its id: ids are random, so only a group that has the replica as a member knows it.
func (n *Node) receive(m *Message) {
	switch m.Kind {
	case MsgDiscover:
		n.handleDiscover(m)
		return
	case MsgDiscoverReply:
		n.handleDiscoverReply(m)
		return
	}
	if m.To != n.cfg.ID || m.Group == 0 || m.From == n.cfg.ID {
		return
	}
	if n.group == 0 {
		n.joinGroup(m.Group)
	}
	if m.Group == n.group {
		n.handle(m)
	}
}

func (n *Node) handle(m *Message) {
	switch m.Kind {
	case MsgPreVote:
		n.handlePreVote(m)
	case MsgPreVoteReply:
		n.handlePreVoteReply(m)
	case MsgVote:
		n.handleVote(m)
	case MsgVoteReply:
		n.handleVoteReply(m)
	case MsgAppend:
		n.handleAppend(m)
	case MsgSnapshot:
		n.handleSnapshot(m)
	case MsgAppendReply, MsgSnapshotReply:
		n.handleReply(m)
	case MsgHandover:
		n.handleHandover(m)
	case MsgDepart:
		n.handleDepart(m)
	case MsgDepartReply:
		n.handleDepartReply(m)
	case MsgStale:
		if m.Term > n.term {
			n.becomeFollower(m.Term, 0)
		}
	}
}

// becomeFollower makes the replica a follower in term, which is the current or a
// newer one. leader is 0 if it is not known.
func (n *Node) becomeFollower(term, leader uint64) {
	actor.Invariant(term >= n.term, "term went back from %d to %d", n.term, term)
	if n.role == RoleLeader {
		n.loseLeadership()
	}
	if term > n.term {
		n.term = term
		n.vote = 0
		n.leader = 0
		n.termLeader = 0
	}
	n.role = RoleFollower
	n.preVoting = false
	if leader != 0 {
		n.setLeader(leader)
	}
}

// setCommit advances the commit index.
func (n *Node) setCommit(index uint64) {
	actor.Invariant(index >= n.commit, "commit index went back from %d to %d", n.commit, index)
	actor.Invariant(index <= n.log.last(), "commit index %d is beyond the last entry %d", index, n.log.last())
	n.commit = index
}

// send queues m to a member.
func (n *Node) send(to Member, m Message) {
	m.Group = n.group
	m.From = n.cfg.ID
	m.Name = n.cfg.Name
	m.To = to.ID
	m.ToName = to.Name
	n.out.Messages = append(n.out.Messages, m)
}

// reply queues an answer to m with the current term and the clock and read round of
// m.
func (n *Node) reply(m *Message, answer Message) {
	answer.Term = n.term
	answer.Sent = m.Sent
	answer.Round = m.Round
	to, ok := n.member(m.From)
	if !ok {
		to = Member{ID: m.From, Name: m.Name}
	}
	n.send(to, answer)
}

func (n *Node) member(id uint64) (Member, bool) {
	for _, m := range n.members {
		if m.ID == id {
			return m, true
		}
	}
	return Member{}, false
}

func (n *Node) isVoter(id uint64) bool {
	m, ok := n.member(id)
	return ok && !m.Learner
}

func (n *Node) voters() []Member {
	var voters []Member
	for _, m := range n.members {
		if !m.Learner {
			voters = append(voters, m)
		}
	}
	return voters
}

// quorumValue returns the largest value that a majority of the voters has reached.
func quorumValue[T uint64 | time.Duration](voters []Member, value func(id uint64) T) T {
	if len(voters) == 0 {
		var zero T
		return zero
	}
	values := make([]T, 0, len(voters))
	for _, v := range voters {
		values = append(values, value(v.ID))
	}
	sort.Slice(values, func(i, j int) bool { return values[i] > values[j] })
	return values[len(values)/2]
}

// Status describes the current state of a node.
type Status struct {
	ID       uint64   `json:"id"`
	Group    uint64   `json:"group"`
	Name     string   `json:"name"`
	Role     Role     `json:"role"`
	Term     uint64   `json:"term"`
	Leader   string   `json:"leader"` // name, empty if not known
	LeaderID uint64   `json:"leader_id"`
	Commit   uint64   `json:"commit"`
	Last     uint64   `json:"last"`
	Snapshot uint64   `json:"snapshot"`
	Members  []Member `json:"members"`
	// MemberIndex is the index of the entry that set Members. That entry may not be
	// committed yet.
	MemberIndex uint64 `json:"member_index"`
	// Ready is set if this replica is the leader, has committed an entry of its own
	// term and holds its lease.
	Ready bool `json:"ready"`
	// LeaseEnd is the end of the leader's lease on the clock of the inputs, or 0.
	LeaseEnd time.Duration `json:"-"`
	// Departure is the outcome of Depart.
	Departure Departure `json:"departure,omitempty"`
	// Silent names the members that have not answered this leader within the lease.
	Silent []string `json:"silent,omitempty"`
}

// Status returns the current state.
func (n *Node) Status() Status {
	var leaseEnd time.Duration
	if n.role == RoleLeader {
		leaseEnd = n.leaseEnd()
	}
	return Status{
		LeaseEnd: leaseEnd,

		Silent:    n.silent(),
		Departure: n.departure,

		ID:       n.cfg.ID,
		Group:    n.group,
		Name:     n.cfg.Name,
		Role:     n.role,
		Term:     n.term,
		Leader:   n.leaderName(),
		LeaderID: n.leader,
		Commit:   n.commit,
		Last:     n.log.last(),
		Snapshot: n.log.snapshot.Index,
		Members:  append([]Member(nil), n.members...),

		MemberIndex: n.memberIndex,

		Ready: n.role == RoleLeader && n.commit >= n.lead.termStart && n.leaseHeld(),
	}
}

// SnapshotAt returns the metadata of a snapshot at an applied index.
func (n *Node) SnapshotAt(index uint64) Snapshot {
	term, ok := n.log.term(index)
	actor.Invariant(ok && index <= n.deliveredIndex, "snapshot at entry %d, but entries are applied only up to %d", index, n.deliveredIndex)
	members, _ := n.log.membersAt(index)
	return Snapshot{Index: index, Term: term, Members: members}
}

func (n *Node) silent() []string {
	if n.role != RoleLeader {
		return nil
	}
	var names []string
	for _, m := range n.members {
		if !n.responds(m.ID) {
			names = append(names, m.Name)
		}
	}
	return names
}

func (n *Node) leaderName() string {
	if n.leader == 0 {
		return ""
	}
	m, _ := n.member(n.leader)
	return m.Name
}
