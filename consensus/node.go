package consensus

import (
	"sort"
	"time"

	"merlinhall/duty"
)

// Input is what a Node is stepped by.
type Input interface{ step(n *Node) }

// Tick lets time pass. The driver sends one at least each quarter of a heartbeat
// period, or each half of the least election timeout to a follower that hears its
// leader: nothing else of a follower waits for time.
type Tick struct{}

// Receive delivers a message of another replica.
type Receive struct{ Message *Message }

// Propose asks the leader to append a command. The answer is in Output.Accepted
// or Output.Refused under the same key.
type Propose struct {
	Key  uint64
	Data []byte
}

// Read asks the leader for a confirmed read index. The answer is in
// Output.Reads under the same key.
type Read struct {
	Key uint64
	// ByLease accepts the lease as confirmation instead of a quorum round. It
	// relies on clocks that differ in rate by less than a quarter.
	ByLease bool
}

// Change asks the leader for a membership change. It is answered like Propose.
type Change struct {
	Key    uint64
	Kind   ChangeKind
	Member Member // ID, and for AddLearner Name
}

// Compact hands over a snapshot of the state machine after Index. The log keeps
// up to Keep entries and KeepBytes bytes before it for slow followers.
type Compact struct {
	Index     uint64
	Data      []byte // nil when the driver has written the state
	Size      uint64 // of the state then, bytes
	Keep      uint64
	KeepBytes int
}

// Accepted tells at which position a proposal was appended. Whether it commits
// is known when the entry with that index and term is applied.
type Accepted struct{ Key, Index, Term uint64 }

// Refused tells that a proposal was not appended and never will be.
type Refused struct {
	Key uint64
	Err error
}

// ReadResult answers Read. With Err nil, all entries up to Index were committed
// when the read was asked for, and the replica was the leader of Term after that.
type ReadResult struct {
	Key, Term, Index uint64
	Err              error
}

// Output is what the driver must carry out, in the order of the fields: first
// everything up to Append is made durable, then Persisted is called, then
// messages are sent, entries applied and outcomes reported.
type Output struct {
	Group     uint64     // set when the replica has joined a group
	State     *HardState // set when it changed
	Install   *Snapshot  // replaces log and state machine
	Compacted *Compaction
	Append    []Entry // replaces the log from Append[0].Index on

	Messages  []Message
	Accepted  []Accepted
	Refused   []Refused
	Committed []Entry
	Reads     []ReadResult
	// Lost is set when leadership was lost: the outcome of accepted proposals
	// that are not in Committed is unknown.
	Lost bool
}

// Compaction is a new snapshot and the new begin of the log.
type Compaction struct {
	Snapshot Snapshot
	Base     Base
	Entries  []Entry // all retained entries
}

// Durable reports whether o contains something to persist.
func (o *Output) Durable() bool {
	return o.Group != 0 || o.State != nil || o.Install != nil || o.Compacted != nil || len(o.Append) > 0
}

func (o *Output) empty() bool {
	return !o.Durable() && len(o.Messages) == 0 && len(o.Accepted) == 0 && len(o.Refused) == 0 &&
		len(o.Committed) == 0 && len(o.Reads) == 0 && !o.Lost
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
	termLeader uint64 // the one leader of the term, 0 when none was seen

	log            memoryLog
	commit         uint64
	deliveredIndex uint64 // last entry given to the driver for application
	members        []Member
	excluded       []string // names that must not be members, of an open group
	memberIndex    uint64

	lastContact time.Duration // last contact with a leader, or start
	electionAt  time.Duration
	votes       map[uint64]bool
	preVoting   bool

	lead       leaderState
	fresh      freshState
	discoverAt time.Duration // next time to ask the peers to be added
	incoming   *incomingSnapshot

	savedState  HardState // last state given to the driver
	savedIndex  uint64    // last entry given to the driver for persistence
	syncedIndex uint64    // last entry known durable
	outputTaken bool      // an Output is with the driver
	takenIndex  uint64
	out         Output
}

// New returns the node of a replica that was recovered at time now. As if a
// leader had just been heard, it grants no vote for ElectionMin: it may have
// promised a lease before it restarted.
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

// Step handles one input at monotonic time now, which must not go back. It must
// not be called between Take and Persisted.
func (n *Node) Step(now time.Duration, in Input) {
	duty.Invariant(!n.outputTaken, "step while an output is being persisted")
	duty.Invariant(now >= n.now, "monotonic clock went back from %v to %v", n.now, now)
	n.now = now
	n.checkLease()
	in.step(n)
}

// Take returns what the driver must carry out, and whether there is anything.
func (n *Node) Take() (Output, bool) {
	duty.Invariant(!n.outputTaken, "output taken twice")
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

// Persisted tells that the durable part of the last Output has been synced.
func (n *Node) Persisted() {
	duty.Invariant(n.outputTaken, "persisted without output")
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
	duty.Invariant(in.Index <= n.deliveredIndex, "snapshot at %d, applied only %d", in.Index, n.deliveredIndex)
	if in.Index <= n.log.snapshot.Index {
		return
	}
	term, ok := n.log.term(in.Index)
	duty.Invariant(ok, "snapshot at %d, which is not in the log", in.Index)
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

// receive passes on messages of the own group to the own id. A replica without a
// group joins the group of the first message to its id: ids are random, so only
// a group that has it as a member can know the id.
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
	case MsgStale:
		if m.Term > n.term {
			n.becomeFollower(m.Term, 0)
		}
	}
}

// becomeFollower enters term, or stays in it, with the given leader (0 when it
// is not known).
func (n *Node) becomeFollower(term, leader uint64) {
	duty.Invariant(term >= n.term, "term went back from %d to %d", n.term, term)
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

// setCommit moves the commit index forward.
func (n *Node) setCommit(index uint64) {
	duty.Invariant(index >= n.commit, "commit index went back from %d to %d", n.commit, index)
	duty.Invariant(index <= n.log.last(), "commit index %d is beyond the log's end %d", index, n.log.last())
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

// reply queues an answer to m in the current term.
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

// quorumValue returns the largest value that a majority of the voters reaches.
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

// Status is a view of a node.
type Status struct {
	ID       uint64   `json:"id"`
	Group    uint64   `json:"group"`
	Name     string   `json:"name"`
	Role     Role     `json:"role"`
	Term     uint64   `json:"term"`
	Leader   string   `json:"leader"` // name, empty when not known
	LeaderID uint64   `json:"leader_id"`
	Commit   uint64   `json:"commit"`
	Last     uint64   `json:"last"`
	Snapshot uint64   `json:"snapshot"`
	Members  []Member `json:"members"`
	// MemberIndex is the entry that set Members. It may not be committed yet.
	MemberIndex uint64 `json:"member_index"`
	// Ready is set on a leader that has committed an entry of its own term and
	// holds its lease.
	Ready bool `json:"ready"`
	// Silent names the members that have not answered this leader lately.
	Silent []string `json:"silent,omitempty"`
}

// Status returns the current view.
func (n *Node) Status() Status {
	return Status{
		Silent: n.silent(),

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

// SnapshotAt returns a snapshot without data at an applied index.
func (n *Node) SnapshotAt(index uint64) Snapshot {
	term, ok := n.log.term(index)
	duty.Invariant(ok && index <= n.deliveredIndex, "snapshot at %d, applied only %d", index, n.deliveredIndex)
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
