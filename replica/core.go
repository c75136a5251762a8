// Package replica runs the replicated log of one control process. It persists the
// output of package consensus, sends its messages, applies committed entries to the
// state machine and completes proposals and reads.
package replica

import (
	"errors"
	"io"
	"time"

	"github.com/rotisserie/eris"

	"merlinhall/consensus"
	"merlinhall/storage"
)

// NotLeaderError is returned for a request that only the leader serves. The request
// had no effect.
type NotLeaderError = consensus.NotLeaderError

// Status is a snapshot of a replica's state.
type Status struct {
	consensus.Status
	Applied uint64 `json:"applied"`
	// Failed is the error that stopped the replica, usually a disk error.
	Failed string `json:"failed,omitempty"`
}

var (
	// ErrUnknownOutcome is returned for a proposal that may or may not be committed.
	ErrUnknownOutcome = eris.New("replica: the outcome of the proposal is unknown")
	// ErrStopped is returned for a request to a stopped replica. A proposal that
	// fails with it had no effect.
	ErrStopped = eris.New("replica: stopped")
	// ErrNoReplacement is returned if no learner can take the place of a replica.
	ErrNoReplacement = eris.New("replica: no learner can take its place")
	// ErrNotUnderstood is wrapped by the result of a command, or the error of a snapshot,
	// that a newer program wrote and this one cannot apply. Nothing of it was applied.
	ErrNotUnderstood = eris.New("replica: written by a newer program")
)

// StateMachine is the state that committed entries are applied to. Its methods are
// never called concurrently.
type StateMachine interface {
	// Apply must be deterministic. It is called once for each committed command in
	// log order, and after a restart again for those after the newest snapshot. After a
	// result that wraps ErrNotUnderstood the replica stops.
	Apply(index, term uint64, command []byte) (result any)
	Snapshot() ([]byte, error)
	Restore(snapshot []byte) error
}

// Freezer is implemented by a StateMachine whose state can be encoded while further
// commands are applied. Freeze captures the current state without blocking; the function that it
// returns writes that state in the format that Restore reads.
type Freezer interface {
	Freeze() func(w io.Writer) error
}

// CoreOptions configure a Core.
type CoreOptions struct {
	Consensus consensus.Config // ID is read from the data directory
	FS        storage.FS
	NewID     func() uint64 // generates the random id of an empty directory
	Machine   StateMachine
	Send      func(m *consensus.Message)
	// SnapshotEvery is the number of applied entries between two snapshots.
	// SnapshotKeep is the number of entries before a snapshot that are retained for
	// slow followers.
	SnapshotEvery uint64
	SnapshotKeep  uint64
	// SnapshotBytes is the size of applied commands that triggers a snapshot before
	// SnapshotEvery is reached. An eighth of it is retained for slow followers.
	SnapshotBytes int
	// OnSync, if set, is called with the duration of each sync of the log.
	OnSync func(time.Duration)
	// Background, when set, runs work on another goroutine and passes its result to
	// Core.Finish. Snapshots of a Freezer are then encoded and written there, because
	// that takes longer than the leader lease.
	Background func(work func() any)
}

// Defaults of CoreOptions. A snapshot every 4,096 entries bounds the log that is
// replayed after a restart. A follower that misses fewer than 1,024 entries needs no
// snapshot. Retained entries are held in memory, so large commands such as
// configurations trigger a snapshot earlier, and fewer of them are retained.
const (
	defaultSnapshotEvery = 4096
	defaultSnapshotKeep  = 1024
	defaultSnapshotBytes = 32 << 20
	// keepBytesDivisor divides SnapshotBytes into the size of commands that is
	// retained for slow followers.
	keepBytesDivisor = 8
)

// After a disk error the data directory is opened again, first after minReopenPause. Each
// failed attempt reads the whole log, so the pause doubles up to maxReopenPause.
const (
	minReopenPause = 100 * time.Millisecond
	maxReopenPause = time.Second
)

// ProposeDone receives the outcome of a proposal.
type ProposeDone func(result any, index uint64, err error)

// ReadDone receives the outcome of a linearizable read.
type ReadDone func(term, index uint64, err error)

type proposal struct {
	term uint64
	done ProposeDone
}

// Core is the synchronous part of a replica. It is not safe for concurrent use: the
// replica's actor drives it in a process, and a simulation drives it in tests.
type Core struct {
	options            CoreOptions
	node               *consensus.Node
	store              *storage.Store
	peers              *consensus.SetPeers // as last set, nil before
	applied            uint64              // last entry that the state machine contains
	delivered          uint64              // last committed entry from the node; below applied for a while after a reopening
	snapshotIndex      uint64
	bytesSinceSnapshot int // size of the commands applied since the snapshot
	nextKey            uint64
	awaitingAccept     map[uint64]ProposeDone // by key: neither appended to the log nor refused yet
	awaitingApply      map[uint64]proposal    // by index: appended to the log, not applied yet
	reads              map[uint64]ReadDone
	failed             error
	final              bool          // the replica stays stopped
	reopenAt           time.Duration // next attempt to open the data directory, 0 if none is planned
	reopenPause        time.Duration
	snapshotRunning    bool // a background snapshot is in progress
}

// backgroundSnapshot is the result of a snapshot taken in the background.
type backgroundSnapshot struct {
	snapshot consensus.Snapshot
	err      error
}

// OpenCore opens the data directory and restores the state machine from the newest
// snapshot.
func OpenCore(o CoreOptions, now time.Duration) (*Core, error) {
	if o.SnapshotEvery == 0 {
		o.SnapshotEvery = defaultSnapshotEvery
		o.SnapshotKeep = defaultSnapshotKeep
	}
	if o.SnapshotBytes == 0 {
		o.SnapshotBytes = defaultSnapshotBytes
	}
	c := &Core{
		options:        o,
		awaitingAccept: make(map[uint64]ProposeDone),
		awaitingApply:  make(map[uint64]proposal),
		reads:          make(map[uint64]ReadDone),
	}
	if err := c.open(now); err != nil {
		return nil, err
	}
	return c, nil
}

// open opens the data directory and starts a node from it. The state machine keeps its
// state if that is newer than the snapshot.
func (c *Core) open(now time.Duration) error {
	store, recovered, err := storage.Open(c.options.FS, c.options.NewID)
	if err != nil {
		return err
	}
	if c.store != nil && store.ID() != c.store.ID() {
		store.Close()
		return eris.Wrapf(errReplaced, "id %x instead of %x", store.ID(), c.store.ID())
	}
	if recovered.Snapshot.Index > c.applied {
		if err := c.options.Machine.Restore(recovered.Snapshot.Data); err != nil {
			store.Close()
			return eris.Wrap(errNotRestored, err.Error())
		}
		c.applied = recovered.Snapshot.Index
	}
	store.OnSync = c.options.OnSync
	c.options.Consensus.ID = store.ID()
	c.node, c.store = consensus.New(c.options.Consensus, recovered, now), store
	c.snapshotIndex, c.delivered = recovered.Snapshot.Index, recovered.Snapshot.Index
	c.bytesSinceSnapshot = 0
	return nil
}

// Errors after which the data directory is not opened again.
var (
	errReplaced    = eris.New("replica: the data directory has been replaced")
	errNotRestored = eris.New("replica: restore the state machine from the snapshot")
)

// reopen opens the data directory again after a disk error, once the disk works. The
// replica continues as after a restart of its process: what was saved is in the log, and
// a write that failed may be.
func (c *Core) reopen(now time.Duration) {
	if c.final || c.snapshotRunning {
		return
	}
	if c.reopenAt == 0 {
		c.reopenPause = minReopenPause
		c.reopenAt = now + c.reopenPause
	}
	if now < c.reopenAt {
		return
	}
	c.store.Close()
	err := c.open(now)
	switch {
	case err == nil:
		c.failed, c.reopenAt = nil, 0
		if c.peers != nil {
			c.step(now, *c.peers)
		}
	case errors.Is(err, storage.ErrCorrupt), errors.Is(err, errReplaced), errors.Is(err, errNotRestored):
		c.failed, c.final = err, true
	default:
		c.reopenPause = min(2*c.reopenPause, maxReopenPause)
		c.reopenAt = now + c.reopenPause
	}
}

// Status returns the current status.
func (c *Core) Status() Status {
	s := Status{Status: c.node.Status(), Applied: c.applied}
	if c.failed != nil {
		s.Failed = c.failed.Error()
		s.Role = consensus.RoleFollower
		s.Ready = false
	}
	return s
}

// Err returns the error that stopped the replica, usually a disk error, or nil if it runs.
func (c *Core) Err() error { return c.failed }

// Durable returns what is persisted in the data directory.
func (c *Core) Durable() consensus.Durable { return c.store.Durable() }

// Tick lets the consensus state act on the time that has passed. After a disk error it
// tries to open the data directory again.
func (c *Core) Tick(now time.Duration) {
	if c.failed != nil {
		c.reopen(now)
	}
	c.step(now, consensus.Tick{})
}

// SetPeers sets the replicas to ask for admission and those that must not be members.
func (c *Core) SetPeers(now time.Duration, peers consensus.SetPeers) {
	c.peers = &peers
	c.step(now, peers)
}

// Receive handles a message from another replica.
func (c *Core) Receive(now time.Duration, m *consensus.Message) {
	c.step(now, consensus.Receive{Message: m})
}

// Propose asks for a command to be committed. done is called exactly once, at the
// latest when the leader loses its leadership.
func (c *Core) Propose(now time.Duration, command []byte, done ProposeDone) {
	c.request(done, func(key uint64) {
		c.step(now, consensus.Propose{Key: key, Data: command})
	})
}

// Change proposes a membership change.
func (c *Core) Change(now time.Duration, kind consensus.ChangeKind, m consensus.Member, done ProposeDone) {
	c.request(done, func(key uint64) {
		c.step(now, consensus.Change{Key: key, Kind: kind, Member: m})
	})
}

// Handover starts a transfer of the leadership to another voter. The leader refuses
// proposals from then on.
func (c *Core) Handover(now time.Duration) { c.step(now, consensus.Handover{}) }

// Depart asks the leader to have a learner take the place of this replica.
func (c *Core) Depart(now time.Duration) { c.step(now, consensus.Depart{}) }

func (c *Core) request(done ProposeDone, step func(key uint64)) {
	if c.failed != nil {
		done(nil, 0, ErrStopped)
		return
	}
	c.nextKey++
	c.awaitingAccept[c.nextKey] = done
	step(c.nextKey)
}

// Read asks for a confirmed read index. When done is called without an error, the
// state machine has applied all entries up to that index.
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

// Flush processes the output of all steps since the last Flush: it persists, sends,
// applies and answers. It does nothing while the replica is stopped by an error.
func (c *Core) Flush(now time.Duration) {
	for c.failed == nil {
		out, ok := c.node.Take()
		if !ok {
			return
		}
		c.processOutput(&out)
		c.maybeSnapshot(now)
	}
}

func (c *Core) processOutput(out *consensus.Output) {
	c.recordProposals(out)
	// A snapshot that cannot be restored must not replace the data on disk.
	if out.Install != nil {
		c.installSnapshot(out.Install)
	}
	if c.failed != nil {
		return
	}
	if out.Durable() {
		if err := c.store.Save(out); err != nil {
			c.failDisk(err)
			return
		}
	}
	c.node.Persisted()
	c.sendAll(out.Messages)
	c.applyAll(out.Committed)
	if out.LostLeadership {
		c.failProposals(ErrUnknownOutcome)
	}
	c.completeReads(out.Reads)
}

func (c *Core) recordProposals(out *consensus.Output) {
	for _, a := range out.Accepted {
		if done := c.awaitingAccept[a.Key]; done != nil {
			delete(c.awaitingAccept, a.Key)
			c.awaitingApply[a.Index] = proposal{a.Term, done}
		}
	}
	for _, r := range out.Refused {
		if done := c.awaitingAccept[r.Key]; done != nil {
			delete(c.awaitingAccept, r.Key)
			done(nil, 0, r.Err)
		}
	}
}

func (c *Core) sendAll(messages []consensus.Message) {
	durable := c.store.Durable()
	for i := range messages {
		m := &messages[i]
		consensus.CheckSend(m, durable)
		if m.ReadBytes > 0 && !c.attachSnapshotChunk(m) {
			continue
		}
		c.options.Send(m)
	}
}

// attachSnapshotChunk reads m.ReadBytes bytes at m.Offset of the newest snapshot into m. It
// returns false when m must not be sent: either a newer snapshot has replaced the one
// that m belongs to, and the transfer restarts, or the disk failed.
func (c *Core) attachSnapshotChunk(m *consensus.Message) bool {
	if c.store.SnapshotIndex() != m.Index {
		return false
	}
	data, err := c.store.ReadState(m.Offset, m.ReadBytes)
	if err != nil {
		c.failDisk(eris.Wrap(err, "replica: read the snapshot"))
		return false
	}
	m.Data = data
	return true
}

func (c *Core) applyAll(entries []consensus.Entry) {
	for i := range entries {
		e := &entries[i]
		c.delivered = e.Index
		c.bytesSinceSnapshot += len(e.Data)
		if e.Index <= c.applied {
			continue // applied before the data directory was opened again
		}
		var result any
		if e.Kind == consensus.EntryCommand {
			result = c.options.Machine.Apply(e.Index, e.Term, e.Data)
		}
		if err, ok := result.(error); ok && errors.Is(err, ErrNotUnderstood) {
			c.fail(eris.Wrapf(err, "replica: apply entry %d", e.Index))
			return
		}
		c.applied = e.Index
		c.completeProposal(e, result)
	}
}

func (c *Core) completeProposal(e *consensus.Entry, result any) {
	p, ok := c.awaitingApply[e.Index]
	if !ok {
		return
	}
	delete(c.awaitingApply, e.Index)
	if p.term != e.Term {
		p.done(nil, 0, ErrUnknownOutcome)
		return
	}
	p.done(result, e.Index, nil)
}

func (c *Core) completeReads(results []consensus.ReadResult) {
	for _, r := range results {
		done := c.reads[r.Key]
		delete(c.reads, r.Key)
		if done != nil {
			done(r.Term, r.Index, r.Err)
		}
	}
}

func (c *Core) installSnapshot(s *consensus.Snapshot) {
	if s.Index > c.applied {
		if err := c.options.Machine.Restore(s.Data); err != nil {
			c.fail(eris.Wrap(err, "replica: restore the leader's snapshot"))
			return
		}
		c.applied = s.Index
	}
	c.snapshotIndex, c.delivered = s.Index, s.Index
	c.bytesSinceSnapshot = 0
}

func (c *Core) maybeSnapshot(now time.Duration) {
	due := c.applied >= c.snapshotIndex+c.options.SnapshotEvery || c.bytesSinceSnapshot >= c.snapshotThreshold()
	if c.failed != nil || !due || c.applied == c.snapshotIndex || c.delivered < c.applied {
		return
	}
	if f, ok := c.options.Machine.(Freezer); ok && c.options.Background != nil {
		c.snapshotInBackground(f)
		return
	}
	data, err := c.options.Machine.Snapshot()
	if err != nil {
		c.fail(eris.Wrap(err, "replica: take a snapshot"))
		return
	}
	c.snapshotIndex = c.applied
	c.bytesSinceSnapshot = 0
	c.compact(now, consensus.Compact{Index: c.applied, Data: data})
}

// snapshotThreshold returns the size of applied commands that triggers a snapshot. It
// lies between a half and all of SnapshotBytes, depending on the replica's id, so that
// replicas do not all take snapshots at the same time.
func (c *Core) snapshotThreshold() int {
	const steps = 64
	step := int(c.options.Consensus.ID % steps)
	return c.options.SnapshotBytes/2 + c.options.SnapshotBytes*step/(2*steps)
}

func (c *Core) compact(now time.Duration, in consensus.Compact) {
	in.Keep, in.KeepBytes = c.options.SnapshotKeep, c.options.SnapshotBytes/keepBytesDivisor
	c.step(now, in)
}

// snapshotInBackground starts a snapshot through CoreOptions.Background, unless one is
// in progress.
func (c *Core) snapshotInBackground(f Freezer) {
	if c.snapshotRunning {
		return
	}
	c.snapshotRunning = true
	s := c.node.SnapshotAt(c.applied)
	encode := f.Freeze()
	c.snapshotIndex = c.applied
	c.bytesSinceSnapshot = 0
	c.options.Background(func() any {
		var err error
		s.Size, err = c.store.WriteSnapshot(&s, encode)
		return backgroundSnapshot{s, err}
	})
}

// Finish handles the result of work that Background ran.
func (c *Core) Finish(now time.Duration, result any) {
	s, ok := result.(backgroundSnapshot)
	if !ok {
		return
	}
	c.snapshotRunning = false
	if c.failed != nil {
		return
	}
	if s.err != nil && c.node.Status().Snapshot >= s.snapshot.Index {
		return // replaced, along with its file, by a snapshot from the leader
	}
	if s.err != nil {
		c.failDisk(eris.Wrap(s.err, "replica: take a snapshot"))
		return
	}
	c.compact(now, consensus.Compact{Index: s.snapshot.Index, Size: s.snapshot.Size})
}

// fail stops the replica until the process restarts.
func (c *Core) fail(err error) {
	c.final = true
	c.stop(err)
}

// failDisk stops the replica until its data directory can be opened again. What a failed
// write has left on the disk is not known before.
func (c *Core) failDisk(err error) {
	c.stop(err)
}

// stop ends all requests. Entries that were written but not synced may survive on disk, so
// the outcome of their proposals is unknown.
func (c *Core) stop(err error) {
	c.failed = err
	c.failProposals(ErrUnknownOutcome)
	for key, done := range c.awaitingAccept {
		delete(c.awaitingAccept, key)
		done(nil, 0, ErrStopped)
	}
	for key, done := range c.reads {
		delete(c.reads, key)
		done(0, 0, ErrStopped)
	}
}

// failProposals completes all proposals in the log that are not applied with err.
func (c *Core) failProposals(err error) {
	for index, p := range c.awaitingApply {
		delete(c.awaitingApply, index)
		p.done(nil, 0, err)
	}
}

// Close fails all outstanding requests and releases the data directory.
func (c *Core) Close() {
	if c.failed == nil {
		c.stop(ErrStopped)
	}
	c.final = true
	c.store.Close()
}
