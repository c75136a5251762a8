// Package consensus implements a replicated log in the manner of Raft as a
// deterministic state machine. Each step takes the current time and one input; the
// package uses no clock, network, disk or global random source. Results are
// collected in an Output, which the driver (package replica) persists, sends and
// applies, in that order.
package consensus

import (
	"math/rand/v2"
	"time"

	"merlinhall/wire"
)

// EntryKind is the type of a log entry.
type EntryKind uint8

// Kinds of log entries.
const (
	EntryNoOp    EntryKind = 1 // appended by each new leader
	EntryCommand EntryKind = 2 // applied to the state machine
	EntryMembers EntryKind = 3 // the complete membership, CBOR of []Member
)

// Entry is one log entry. Indexes start at 1 and are contiguous.
type Entry struct {
	Index uint64    `cbor:"1,keyasint"`
	Term  uint64    `cbor:"2,keyasint"`
	Kind  EntryKind `cbor:"3,keyasint"`
	Data  []byte    `cbor:"4,keyasint,omitempty"`
}

// Member is one replica of the group. A learner receives the log, but does not
// count in any quorum.
type Member struct {
	ID      uint64 `cbor:"1,keyasint" json:"id"`
	Name    string `cbor:"2,keyasint" json:"name"` // process name, to which messages are addressed
	Learner bool   `cbor:"3,keyasint,omitempty" json:"learner,omitempty"`
}

// HardState is the term and vote, which must be durable before any message that
// depends on them is sent.
type HardState struct {
	Term uint64 `cbor:"1,keyasint"`
	Vote uint64 `cbor:"2,keyasint"` // replica id, 0 for none
}

// Snapshot is the state of the state machine after applying the entry at Index. The
// state is stored on disk; Data holds it only until it is written, or while it is
// passed to the state machine.
type Snapshot struct {
	Index   uint64   `cbor:"1,keyasint"`
	Term    uint64   `cbor:"2,keyasint"`
	Members []Member `cbor:"3,keyasint"`
	Data    []byte   `cbor:"4,keyasint,omitempty"`
	Size    uint64   `cbor:"5,keyasint,omitempty"` // size of the state in bytes
}

// withoutData returns the snapshot metadata, which is all that a Node keeps.
func (s Snapshot) withoutData() Snapshot {
	if s.Data != nil {
		s.Size, s.Data = uint64(len(s.Data)), nil
	}
	return s
}

// Recovered is the state that a replica reads from its data directory. Group is 0
// if the directory belongs to no group yet.
type Recovered struct {
	Group    uint64
	State    HardState
	Base     Base
	Entries  []Entry // contiguous, starting at Base.Index+1
	Snapshot Snapshot
}

// Base is the log position just before the first retained entry. Its index is at
// most that of the snapshot.
type Base struct {
	Index   uint64   `cbor:"1,keyasint"`
	Term    uint64   `cbor:"2,keyasint"`
	Members []Member `cbor:"3,keyasint"`
}

// MessageKind is the type of a Message.
type MessageKind uint8

// Kinds of messages.
const (
	MsgPreVote       MessageKind = 1
	MsgPreVoteReply  MessageKind = 2
	MsgVote          MessageKind = 3
	MsgVoteReply     MessageKind = 4
	MsgAppend        MessageKind = 5 // a heartbeat when it carries no entries
	MsgAppendReply   MessageKind = 6
	MsgSnapshot      MessageKind = 7
	MsgSnapshotReply MessageKind = 8
	// MsgDiscover is sent to all configured peers by a replica that looks for a group
	// or asks to be added to one.
	MsgDiscover MessageKind = 9
	// MsgDiscoverReply answers MsgDiscover from another replica without a group.
	MsgDiscoverReply MessageKind = 10
	// MsgStale tells a leader of an older term about the newer term.
	MsgStale MessageKind = 11
	// MsgHandover tells a voter that the leader of the term has released its lease
	// and that the voter has its complete log.
	MsgHandover MessageKind = 12
	// MsgDepart tells the leader that the sender's process is about to stop, and
	// MsgDepartReply that it has been replaced, or with Reject that it cannot be.
	MsgDepart      MessageKind = 13
	MsgDepartReply MessageKind = 14
)

// Message is a message between two replicas. Which fields are set depends on Kind.
type Message struct {
	Kind  MessageKind `cbor:"1,keyasint"`
	Group uint64      `cbor:"2,keyasint,omitempty"`
	From  uint64      `cbor:"3,keyasint"`
	To    uint64      `cbor:"4,keyasint,omitempty"` // 0 in MsgDiscover
	Term  uint64      `cbor:"5,keyasint,omitempty"`
	// Index and LogTerm identify the entry before Entries (MsgAppend), the sender's
	// last entry (vote requests) or the snapshot. In replies, Index is the last entry
	// known to match.
	Index   uint64  `cbor:"6,keyasint,omitempty"`
	LogTerm uint64  `cbor:"7,keyasint,omitempty"`
	Commit  uint64  `cbor:"8,keyasint,omitempty"`
	Entries []Entry `cbor:"9,keyasint,omitempty"`
	Reject  bool    `cbor:"10,keyasint,omitempty"`
	Hint    uint64  `cbor:"11,keyasint,omitempty"` // in a rejection: last entry that may match
	// Sent is the leader's clock at the time of sending; a reply echoes it.
	Sent time.Duration `cbor:"12,keyasint,omitempty"`
	// Round is the leader's newest read round; a reply echoes it.
	Round   uint64   `cbor:"13,keyasint,omitempty"`
	Members []Member `cbor:"14,keyasint,omitempty"`
	// Offset is the position of Data in the snapshot, or in a reply the next position
	// that the follower expects.
	Offset uint64 `cbor:"15,keyasint,omitempty"`
	Total  uint64 `cbor:"16,keyasint,omitempty"` // size of the snapshot in bytes
	Data   []byte `cbor:"17,keyasint,omitempty"`
	Name   string `cbor:"18,keyasint,omitempty"` // sender's process name
	// Released is set in a vote request that follows a MsgHandover of the previous
	// term.
	Released bool `cbor:"19,keyasint,omitempty"`

	// ReadBytes is the number of bytes of the snapshot's state, starting at Offset,
	// that the driver reads into Data before sending.
	ReadBytes uint64 `cbor:"-"`
	// ToName is the name of the receiving process.
	ToName string `cbor:"-"`
}

// Encode returns the CBOR form of m.
func (m *Message) Encode() ([]byte, error) { return wire.Marshal(m) }

// DecodeMessage decodes the CBOR form of a message. Errors wrap wire.ErrMalformed.
func DecodeMessage(b []byte) (*Message, error) {
	m := new(Message)
	if err := wire.Unmarshal(b, m); err != nil {
		return nil, err
	}
	return m, nil
}

// Role is the role of a replica in its term.
type Role string

// Roles of a replica.
const (
	RoleFresh     Role = "fresh" // belongs to no group yet
	RoleFollower  Role = "follower"
	RoleCandidate Role = "candidate"
	RoleLeader    Role = "leader"
)

// Config holds the parameters of a Node. Zero values select the defaults.
type Config struct {
	ID    uint64 // random, created with the data directory
	Name  string
	Peers []string   // names of the other configured replicas
	Rand  *rand.Rand // source of election timeouts and of the group id

	Heartbeat   time.Duration
	ElectionMin time.Duration
	ElectionMax time.Duration
	// Lease must be shorter than ElectionMin by more than the relative clock drift
	// during the lease.
	Lease          time.Duration
	MaxInflight    int // unacknowledged append messages per follower
	MaxBatchBytes  int // bytes of entries in one append message
	MaxUncommitted int // entries; further proposals are refused
	SnapshotChunk  int // bytes
	DisableRepair  bool
	// OpenMembership lets replicas that are not configured as peers join the group.
	// The group then has an odd number of voters, up to MaxVoters, so that a
	// partition into two parts leaves a majority on one side; a replica that would
	// make the number even stays a learner. A voter that has not answered for
	// MemberTimeout is removed as long as MinVoters remain. A learner that has caught up takes
	// the place of one that has not answered for ReplaceAfter, or whose process is about to stop,
	// at any number of voters. ReplaceAfter must be longer than Lease and leave most of the time
	// after which a replacement of a lost host may be lost too.
	OpenMembership bool
	MaxVoters      int
	MinVoters      int
	MemberTimeout  time.Duration
	ReplaceAfter   time.Duration
	// JoinOnly prevents the replica from bootstrapping a new group.
	JoinOnly        bool
	RepairPeriod    time.Duration
	DiscoveryPeriod time.Duration

	faults faults
}

// faults are injected by tests to show that the checks detect them.
type faults struct {
	countLearners      bool // count learners in the commit quorum
	commitOldTerm      bool // commit entries of older terms by counting replicas
	skipPreVote        bool // campaign without a pre-vote
	forgetVote         bool // do not persist the vote
	unconfirmedRead    bool // answer reads without a quorum round
	ignoreLease        bool // remain leader without a quorum
	voteInLease        bool // vote despite recent contact with a leader
	voteAtStart        bool // vote right after a restart
	echoEndedTerm      bool // echo clock and read round of an ended term
	reuseRound         bool // never start a second read round
	changeBeforeCommit bool // change members before an entry of the leader's term is committed
	leadAfterHandover  bool // remain leader after a handover
}

// Defaults of Config. The lease is three quarters of the minimum election timeout,
// so clock rates may differ by a quarter. MaxBatchBytes keeps an append message well
// below wire.MaxFrameBytes.
const (
	DefaultHeartbeat      = 100 * time.Millisecond
	DefaultElectionMin    = 600 * time.Millisecond
	DefaultElectionMax    = 1200 * time.Millisecond
	DefaultLease          = 450 * time.Millisecond
	defaultMaxInflight    = 8
	defaultMaxBatchBytes  = 1 << 20
	defaultMaxUncommitted = 8192
	defaultSnapshotChunk  = 1 << 20
	defaultRepairPeriod   = 500 * time.Millisecond
	defaultDiscovery      = 200 * time.Millisecond
	// Voter bounds of a group with open membership. They tolerate the loss of one
	// voter, even while another one is being replaced.
	defaultMaxVoters = 5
	defaultMinVoters = 3
	// defaultMemberTimeout is longer than a restart with recovery takes.
	defaultMemberTimeout = 10 * time.Second
	defaultReplaceAfter  = time.Second
)

func (c *Config) setDefaults() {
	setDefault(&c.Heartbeat, DefaultHeartbeat)
	setDefault(&c.ElectionMin, DefaultElectionMin)
	setDefault(&c.ElectionMax, DefaultElectionMax)
	setDefault(&c.Lease, DefaultLease)
	setDefault(&c.MaxInflight, defaultMaxInflight)
	setDefault(&c.MaxBatchBytes, defaultMaxBatchBytes)
	setDefault(&c.MaxUncommitted, defaultMaxUncommitted)
	setDefault(&c.SnapshotChunk, defaultSnapshotChunk)
	setDefault(&c.RepairPeriod, defaultRepairPeriod)
	setDefault(&c.DiscoveryPeriod, defaultDiscovery)
	setDefault(&c.MaxVoters, defaultMaxVoters)
	setDefault(&c.MinVoters, defaultMinVoters)
	setDefault(&c.MemberTimeout, defaultMemberTimeout)
	setDefault(&c.ReplaceAfter, defaultReplaceAfter)
}

func setDefault[T comparable](p *T, value T) {
	var zero T
	if *p == zero {
		*p = value
	}
}
