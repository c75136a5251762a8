// Package replica runs the replicated log of one control process: it persists
// what consensus decides, sends its messages, applies committed entries to the
// state machine and answers proposals.
package replica

import (
	"io"
	"time"

	"github.com/rotisserie/eris"

	"merlinhall/consensus"
	"merlinhall/storage"
)

// NotLeaderError refuses a request that only the leader serves. The request
// certainly had no effect.
type NotLeaderError = consensus.NotLeaderError

// Status is a view of a replica.
type Status struct {
	consensus.Status
	Applied uint64 `json:"applied"`
	// Failed is set when the replica has stopped because of its disk.
	Failed string `json:"failed,omitempty"`
}

var (
	// ErrUnknownOutcome ends a proposal that may or may not be committed.
	ErrUnknownOutcome = eris.New("replica: the outcome of the proposal is unknown")
	// ErrStopped refuses a request to a replica that has stopped. A refused
	// proposal certainly had no effect.
	ErrStopped = eris.New("replica: stopped")
)

// StateMachine is what the log drives. Its methods are never called
// concurrently.
type StateMachine interface {
	// Apply must be deterministic. It is called once for each committed command in
	// log order, and again after a restart for those beyond the newest snapshot.
	Apply(index, term uint64, command []byte) (result any)
	Snapshot() ([]byte, error)
	Restore(snapshot []byte) error
}

// Freezer is a StateMachine whose state can be encoded while further commands are
// applied: Freeze returns at once, and the function that it returns writes the
// state as it was then, in the form that Restore takes.
type Freezer interface {
	Freeze() func(w io.Writer) error
}

// CoreOptions configure a Core.
type CoreOptions struct {
	Consensus consensus.Config // ID is taken from the data folder
	FS        storage.FS
	NewID     func() uint64 // makes the random id of an empty folder
	Machine   StateMachine
	Send      func(m *consensus.Message)
	// SnapshotEvery is the number of applied entries between two snapshots;
	// SnapshotKeep is how many entries before a snapshot stay for slow followers.
	SnapshotEvery uint64
	SnapshotKeep  uint64
	// SnapshotBytes of applied commands bring a snapshot earlier; an eighth of them
	// stays for slow followers.
	SnapshotBytes int
	// Background, when set, runs work on another goroutine and hands its result to
	// Core.Finish. Snapshots of a Freezer are then encoded and written there: that
	// takes longer than a lease.
	Background func(work func() any)
}

// Defaults of CoreOptions. A snapshot each 4,096 entries bounds the log that is
// read after a restart; a follower that misses fewer than 1,024 entries needs no
// snapshot. Retained entries are in memory, so large commands, such as
// configurations, bring a snapshot earlier and are kept for followers in smaller
// number.
const (
	defaultSnapshotEvery = 4096
	defaultSnapshotKeep  = 1024
	defaultSnapshotBytes = 32 << 20
	// keepShare is the part of the snapshot bytes that stays for slow followers.
	keepShare = 8
)

// ProposeDone receives the outcome of a proposal.
type ProposeDone func(result any, index uint64, err error)

// ReadDone receives the outcome of a confirmed read.
type ReadDone func(term, index uint64, err error)

type proposal struct {
	term uint64
	done ProposeDone
}

// Core is the synchronous part of a replica. It is used by one goroutine, by the
// duty in a process and by the simulation in tests.
type Core struct {
	options   CoreOptions
	node      *consensus.Node
	store     *storage.Store
	applied   uint64
	snapshot  uint64
	unsaved   int // bytes of commands applied since the snapshot
	nextKey   uint64
	accepting map[uint64]ProposeDone // by key, not yet accepted or refused
	proposals map[uint64]proposal    // by index, not yet applied
	reads     map[uint64]ReadDone
	failed    error
	freezing  bool // a snapshot is being made in the background
}

// frozenSnapshot is a snapshot that was made in the background.
type frozenSnapshot struct {
	snapshot consensus.Snapshot
	err      error
}

// OpenCore opens the data folder and restores the state machine from the newest
// snapshot.
func OpenCore(o CoreOptions, now time.Duration) (*Core, error) {
	if o.SnapshotEvery == 0 {
		o.SnapshotEvery = defaultSnapshotEvery
		o.SnapshotKeep = defaultSnapshotKeep
	}
	if o.SnapshotBytes == 0 {
		o.SnapshotBytes = defaultSnapshotBytes
	}
	store, recovered, err := storage.Open(o.FS, o.NewID)
	if err != nil {
		return nil, err
	}
	if recovered.Snapshot.Index > 0 {
		if err := o.Machine.Restore(recovered.Snapshot.Data); err != nil {
			store.Close()
			return nil, eris.Wrap(err, "replica: restore the snapshot")
		}
	}
	o.Consensus.ID = store.ID()
	return &Core{
		options:   o,
		node:      consensus.New(o.Consensus, recovered, now),
		store:     store,
		applied:   recovered.Snapshot.Index,
		snapshot:  recovered.Snapshot.Index,
		accepting: make(map[uint64]ProposeDone),
		proposals: make(map[uint64]proposal),
		reads:     make(map[uint64]ReadDone),
	}, nil
}

// Status returns the current view.
func (c *Core) Status() Status {
	s := Status{Status: c.node.Status(), Applied: c.applied}
	if c.failed != nil {
		s.Failed = c.failed.Error()
		s.Role = consensus.RoleFollower
		s.Ready = false
	}
	return s
}

// Err returns the disk error that stopped the replica, or nil.
func (c *Core) Err() error { return c.failed }

// Durable returns what the data folder holds.
func (c *Core) Durable() consensus.Durable { return c.store.Durable() }

// Tick lets time pass.
func (c *Core) Tick(now time.Duration) { c.step(now, consensus.Tick{}) }

// Receive handles a message of another replica.
func (c *Core) Receive(now time.Duration, m *consensus.Message) {
	c.step(now, consensus.Receive{Message: m})
}

// Propose asks for a command to be committed. done is called once, at the latest
// when leadership is lost.
func (c *Core) Propose(now time.Duration, command []byte, done ProposeDone) {
	c.request(done, func(key uint64) {
		c.step(now, consensus.Propose{Key: key, Data: command})
	})
}

// Change asks for a membership change.
func (c *Core) Change(now time.Duration, kind consensus.ChangeKind, m consensus.Member, done ProposeDone) {
	c.request(done, func(key uint64) {
		c.step(now, consensus.Change{Key: key, Kind: kind, Member: m})
	})
}

// Handover asks a leader to give its leadership to another voter. It refuses
// proposals from then on.
func (c *Core) Handover(now time.Duration) { c.step(now, consensus.Handover{}) }

func (c *Core) request(done ProposeDone, step func(key uint64)) {
	if c.failed != nil {
		done(nil, 0, ErrStopped)
		return
	}
	c.nextKey++
	c.accepting[c.nextKey] = done
	step(c.nextKey)
}

// Read asks for a confirmed read index. When done is called without error, the
// state machine has applied all entries up to the index.
func (c *Core) Read(now time.Duration, byLease bool, done ReadDone) {
	if c.failed != nil {
		done(0, 0, ErrStopped)
		return
	}
	c.nextKey++
	c.reads[c.nextKey] = done
	c.step(now, consensus.Read{Key: c.nextKey, ByLease: byLease})
}

func (c *Core) step(now time.Duration, in consensus.Input) {
	if c.failed == nil {
		c.node.Step(now, in)
	}
}

// Flush carries out what the steps since the last Flush decided. After a disk
// error the replica does nothing any more.
func (c *Core) Flush(now time.Duration) {
	for c.failed == nil {
		out, ok := c.node.Take()
		if !ok {
			return
		}
		c.carryOut(&out)
		c.maybeSnapshot(now)
	}
}

func (c *Core) carryOut(out *consensus.Output) {
	c.register(out)
	if out.Durable() {
		if err := c.store.Save(out); err != nil {
			c.fail(err)
			return
		}
	}
	c.node.Persisted()
	if out.Install != nil {
		c.install(out.Install)
	}
	c.sendAll(out.Messages)
	c.applyAll(out.Committed)
	if out.Lost {
		c.endProposals(ErrUnknownOutcome)
	}
	c.answerReads(out.Reads)
}

func (c *Core) register(out *consensus.Output) {
	for _, a := range out.Accepted {
		if done := c.accepting[a.Key]; done != nil {
			delete(c.accepting, a.Key)
			c.proposals[a.Index] = proposal{a.Term, done}
		}
	}
	for _, r := range out.Refused {
		if done := c.accepting[r.Key]; done != nil {
			delete(c.accepting, r.Key)
			done(nil, 0, r.Err)
		}
	}
}

func (c *Core) sendAll(messages []consensus.Message) {
	durable := c.store.Durable()
	for i := range messages {
		m := &messages[i]
		consensus.CheckSend(m, durable)
		if m.Read > 0 && !c.readState(m) {
			continue
		}
		c.options.Send(m)
	}
}

// readState puts its part of the newest snapshot into a message. It reports false
// when the message must not be sent: a newer snapshot has taken the place of the
// one that it is about, and its transfer begins again, or the disk failed.
func (c *Core) readState(m *consensus.Message) bool {
	if c.store.Snapshot() != m.Index {
		return false
	}
	data, err := c.store.ReadState(m.Offset, m.Read)
	if err != nil {
		c.fail(eris.Wrap(err, "replica: read the snapshot"))
		return false
	}
	m.Data = data
	return true
}

func (c *Core) applyAll(entries []consensus.Entry) {
	for i := range entries {
		e := &entries[i]
		var result any
		if e.Kind == consensus.EntryCommand {
			result = c.options.Machine.Apply(e.Index, e.Term, e.Data)
		}
		c.applied = e.Index
		c.unsaved += len(e.Data)
		c.answer(e, result)
	}
}

func (c *Core) answer(e *consensus.Entry, result any) {
	p, ok := c.proposals[e.Index]
	if !ok {
		return
	}
	delete(c.proposals, e.Index)
	if p.term != e.Term {
		p.done(nil, 0, ErrUnknownOutcome)
		return
	}
	p.done(result, e.Index, nil)
}

func (c *Core) answerReads(results []consensus.ReadResult) {
	for _, r := range results {
		done := c.reads[r.Key]
		delete(c.reads, r.Key)
		if done != nil {
			done(r.Term, r.Index, r.Err)
		}
	}
}

func (c *Core) install(s *consensus.Snapshot) {
	if err := c.options.Machine.Restore(s.Data); err != nil {
		c.fail(eris.Wrap(err, "replica: restore the leader's snapshot"))
		return
	}
	c.applied = s.Index
	c.snapshot = s.Index
	c.unsaved = 0
}

func (c *Core) maybeSnapshot(now time.Duration) {
	due := c.applied >= c.snapshot+c.options.SnapshotEvery || c.unsaved >= c.snapshotBytes()
	if c.failed != nil || !due || c.applied == c.snapshot {
		return
	}
	if f, ok := c.options.Machine.(Freezer); ok && c.options.Background != nil {
		c.freeze(f)
		return
	}
	data, err := c.options.Machine.Snapshot()
	if err != nil {
		c.fail(eris.Wrap(err, "replica: take a snapshot"))
		return
	}
	c.snapshot = c.applied
	c.unsaved = 0
	c.compact(now, consensus.Compact{Index: c.applied, Data: data})
}

// snapshotBytes differs between replicas by up to a half, so that they do not all
// make their snapshots at the same moment.
func (c *Core) snapshotBytes() int {
	const steps = 64
	step := int(c.options.Consensus.ID % steps)
	return c.options.SnapshotBytes/2 + c.options.SnapshotBytes*step/(2*steps)
}

func (c *Core) compact(now time.Duration, in consensus.Compact) {
	in.Keep, in.KeepBytes = c.options.SnapshotKeep, c.options.SnapshotBytes/keepShare
	c.step(now, in)
}

// freeze begins a snapshot in the background.
func (c *Core) freeze(f Freezer) {
	if c.freezing {
		return
	}
	c.freezing = true
	s := c.node.SnapshotAt(c.applied)
	encode := f.Freeze()
	c.snapshot = c.applied
	c.unsaved = 0
	c.options.Background(func() any {
		var err error
		s.Size, err = c.store.WriteSnapshot(&s, encode)
		return frozenSnapshot{s, err}
	})
}

// Finish takes the result of work that Background ran.
func (c *Core) Finish(now time.Duration, result any) {
	s, ok := result.(frozenSnapshot)
	if !ok || c.failed != nil {
		return
	}
	c.freezing = false
	if s.err != nil && c.node.Status().Snapshot >= s.snapshot.Index {
		return // the leader's snapshot took its place, and its file
	}
	if s.err != nil {
		c.fail(eris.Wrap(s.err, "replica: take a snapshot"))
		return
	}
	c.compact(now, consensus.Compact{Index: s.snapshot.Index, Size: s.snapshot.Size})
}

// fail stops the replica for good. Entries that were handed to the disk may
// survive there, so their outcome is unknown.
func (c *Core) fail(err error) {
	c.failed = err
	c.endProposals(ErrUnknownOutcome)
	for key, done := range c.accepting {
		delete(c.accepting, key)
		done(nil, 0, ErrStopped)
	}
	for key, done := range c.reads {
		delete(c.reads, key)
		done(0, 0, ErrStopped)
	}
}

// endProposals ends all accepted proposals that are not applied.
func (c *Core) endProposals(err error) {
	for index, p := range c.proposals {
		delete(c.proposals, index)
		p.done(nil, 0, err)
	}
}

// Close ends all requests and releases the data folder.
func (c *Core) Close() {
	if c.failed == nil {
		c.fail(ErrStopped)
	}
	c.store.Close()
}
