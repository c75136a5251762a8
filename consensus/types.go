// Package consensus is the project's replicated log as a pure state machine. It
// is stepped by (now, input) and reads no clock, socket, disk or global random
// source. Outcomes are collected in an Output, which the driver (package
// replica) persists, sends and applies, in that order.
package consensus

import (
	"math/rand/v2"
	"time"

	"merlinhall/wire"
)

// EntryKind says how an entry is interpreted.
type EntryKind uint8

// Kinds of log entries.
const (
	EntryNoOp    EntryKind = 1 // appended by each new leader
	EntryCommand EntryKind = 2 // applied to the state machine
	EntryMembers EntryKind = 3 // the complete membership, CBOR of []Member
)

// Entry is one log entry. Indexes start at 1 and have no gap.
type Entry struct {
	Index uint64    `cbor:"1,keyasint"`
	Term  uint64    `cbor:"2,keyasint"`
	Kind  EntryKind `cbor:"3,keyasint"`
	Data  []byte    `cbor:"4,keyasint,omitempty"`
}

// Member is one replica of the group. A learner receives the log, but has no
// part in any quorum.
type Member struct {
	ID      uint64 `cbor:"1,keyasint" json:"id"`
	Name    string `cbor:"2,keyasint" json:"name"` // process name, the address of messages
	Learner bool   `cbor:"3,keyasint,omitempty" json:"learner,omitempty"`
}

// HardState must be durable before any message that depends on it is sent.
type HardState struct {
	Term uint64 `cbor:"1,keyasint"`
	Vote uint64 `cbor:"2,keyasint"` // replica id, 0 for none
}

// Snapshot is the state machine's state after Index. The state itself is on the
// disk; Data holds it only on the way there or to the state machine.
type Snapshot struct {
	Index   uint64   `cbor:"1,keyasint"`
	Term    uint64   `cbor:"2,keyasint"`
	Members []Member `cbor:"3,keyasint"`
	Data    []byte   `cbor:"4,keyasint,omitempty"`
	Size    uint64   `cbor:"5,keyasint,omitempty"` // of the state, bytes
}

// withoutData returns what a Node keeps of a snapshot.
func (s Snapshot) withoutData() Snapshot {
	if s.Data != nil {
		s.Size, s.Data = uint64(len(s.Data)), nil
	}
	return s
}

// Recovered is what a replica finds in its data folder. Group is 0 in a folder
// that belongs to no group yet.
type Recovered struct {
	Group    uint64
	State    HardState
	Base     Base
	Entries  []Entry // contiguous from Base.Index+1
	Snapshot Snapshot
}

// Base is the position before the first retained log entry. Its index is at
// most the index of the snapshot.
type Base struct {
	Index   uint64   `cbor:"1,keyasint"`
	Term    uint64   `cbor:"2,keyasint"`
	Members []Member `cbor:"3,keyasint"`
}

// MessageKind says what a Message asks or answers.
type MessageKind uint8

// Kinds of messages.
const (
	MsgPreVote       MessageKind = 1
	MsgPreVoteReply  MessageKind = 2
	MsgVote          MessageKind = 3
	MsgVoteReply     MessageKind = 4
	MsgAppend        MessageKind = 5 // with no entries: heartbeat
	MsgAppendReply   MessageKind = 6
	MsgSnapshot      MessageKind = 7
	MsgSnapshotReply MessageKind = 8
	// MsgDiscover is sent by a replica without a group to all configured peers.
	MsgDiscover MessageKind = 9
	// MsgDiscoverReply answers MsgWho from another replica without a group.
	MsgDiscoverReply MessageKind = 10
	// MsgStale answers a leader whose term is over with the newer term.
	MsgStale MessageKind = 11
	// MsgHandover tells a voter that the leader of the term has given up its lease
	// and that the voter has its whole log.
	MsgHandover MessageKind = 12
)

// Message is a message between two replicas. The use of a field depends on Kind.
type Message struct {
	Kind  MessageKind `cbor:"1,keyasint"`
	Group uint64      `cbor:"2,keyasint,omitempty"`
	From  uint64      `cbor:"3,keyasint"`
	To    uint64      `cbor:"4,keyasint,omitempty"` // 0 in MsgWho
	Term  uint64      `cbor:"5,keyasint,omitempty"`
	// Index and LogTerm are the entry before Entries (MsgAppend), the last entry
	// (votes), the snapshot's position, or the last entry known to match.
	Index   uint64  `cbor:"6,keyasint,omitempty"`
	LogTerm uint64  `cbor:"7,keyasint,omitempty"`
	Commit  uint64  `cbor:"8,keyasint,omitempty"`
	Entries []Entry `cbor:"9,keyasint,omitempty"`
	Reject  bool    `cbor:"10,keyasint,omitempty"`
	Hint    uint64  `cbor:"11,keyasint,omitempty"` // where the log may match, in a rejection
	// Sent is the leader's clock; a reply returns it unchanged.
	Sent time.Duration `cbor:"12,keyasint,omitempty"`
	// Round is the leader's newest read round; a reply returns it unchanged.
	Round   uint64   `cbor:"13,keyasint,omitempty"`
	Members []Member `cbor:"14,keyasint,omitempty"`
	// Offset is the position of Data in the snapshot, or the next one expected.
	Offset uint64 `cbor:"15,keyasint,omitempty"`
	Total  uint64 `cbor:"16,keyasint,omitempty"` // size of the snapshot in bytes
	Data   []byte `cbor:"17,keyasint,omitempty"`
	Name   string `cbor:"18,keyasint,omitempty"` // sender's process name
	// Released is set in a vote that follows a MsgHandover of the term before.
	Released bool `cbor:"19,keyasint,omitempty"`

	// Read is how many bytes of the snapshot's state the driver puts into Data, from
	// Offset on.
	Read uint64 `cbor:"-"`
	// ToName is the process that the driver sends the message to.
	ToName string `cbor:"-"`
}

// Encode returns the CBOR form of m.
func (m *Message) Encode() ([]byte, error) { return wire.Marshal(m) }

// DecodeMessage reverses Encode. Errors wrap wire.ErrMalformed.
func DecodeMessage(b []byte) (*Message, error) {
	m := new(Message)
	if err := wire.Unmarshal(b, m); err != nil {
		return nil, err
	}
	return m, nil
}

// Role is the part that a replica plays in its term.
type Role string

// Roles of a replica.
const (
	RoleFresh     Role = "fresh" // belongs to no group yet
	RoleFollower  Role = "follower"
	RoleCandidate Role = "candidate"
	RoleLeader    Role = "leader"
)

// Config holds the parameters of a Node. Zero values mean the defaults.
type Config struct {
	ID    uint64 // random, created with the data folder
	Name  string
	Peers []string   // names of the other configured replicas
	Rand  *rand.Rand // source of election timeouts and of the group id

	Heartbeat   time.Duration
	ElectionMin time.Duration
	ElectionMax time.Duration
	// Lease must be shorter than ElectionMin by more than the clocks drift apart
	// within it.
	Lease          time.Duration
	MaxInflight    int // append messages on the way to one follower
	MaxBatchBytes  int // bytes of entries in one append message
	MaxUncommitted int // entries; more are refused
	SnapshotChunk  int // bytes
	DisableRepair  bool
	// Open lets replicas that are not configured as peers join the group. It has
	// an odd number of voters, up to VotersWanted, so that a cut into two leaves
	// a majority on one side; the replica that would make it even is a learner. A
	// voter that has been silent for SilentAfter is removed while VotersLeast
	// remain.
	Open          bool
	VotersWanted  int
	VotersLeast   int
	MemberTimeout time.Duration
	// Joiner never founds a group.
	Joiner          bool
	RepairPeriod    time.Duration
	DiscoveryPeriod time.Duration

	faults faults
}

// faults are planted by tests to show that the checks catch them.
type faults struct {
	countLearners      bool // count learners in the commit quorum
	commitOldTerm      bool // commit entries of older terms by counting replicas
	skipPreVote        bool // campaign without asking first
	forgetVote         bool // do not persist the vote
	unconfirmedRead    bool // answer reads without a quorum round
	ignoreLease        bool // act on as leader without a quorum
	voteInLease        bool // vote although a leader was heard
	voteAtStart        bool // vote right after a restart
	echoEndedTerm      bool // return clock and round of an ended term
	reuseRound         bool // never begin a second read round
	changeBeforeCommit bool // change members before an own entry is committed
	leadAfterHandover  bool // act on as leader after a handover
}

// Defaults of Config. The lease is three quarters of the shortest election
// timeout, so clocks may differ in rate by a quarter. MaxBatchBytes keeps an
// append well under wire.MaxFrameBytes.
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
	// Of an open group that bears the loss of one voter, also while another is
	// being replaced.
	defaultMaxVoters = 5
	defaultMinVoters = 3
	// defaultMemberTimeout is above the time of a restart with recovery.
	defaultMemberTimeout = 10 * time.Second
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
	setDefault(&c.VotersWanted, defaultMaxVoters)
	setDefault(&c.VotersLeast, defaultMinVoters)
	setDefault(&c.MemberTimeout, defaultMemberTimeout)
}

func setDefault[T comparable](p *T, value T) {
	var zero T
	if *p == zero {
		*p = value
	}
}
