package replica

import (
	"cmp"
	"context"
	cryptorand "crypto/rand"
	"encoding/binary"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"merlinhall/actor"
	"merlinhall/boottime"
	"merlinhall/consensus"
	"merlinhall/link"
	"merlinhall/observe"
	"merlinhall/storage"
	"merlinhall/wire"
)

const (
	// tickPeriod is a fifth of the default heartbeat interval.
	tickPeriod = 20 * time.Millisecond
	// idleTickDivisor divides the shortest election timeout into the tick period of a
	// follower that has just heard from its leader. With 2, the second tick after the
	// leader's last message comes before the timeout.
	idleTickDivisor = 2
	// mailboxCapacity bounds the queued messages. Beyond it, messages of other replicas
	// are dropped, which the consensus protocol tolerates, and requests fail with ErrBusy.
	mailboxCapacity = 8192
)

// ErrBusy is returned for a request that finds the replica's mailbox full. The request
// had no effect.
var ErrBusy = eris.New("replica: mailbox is full")

// Options configure a Replica.
type Options struct {
	Name    string
	Peers   []string // names of the other control replicas
	DataDir string
	Machine StateMachine
	// Send sends a message to the named process. When nil, the replica sends on the
	// newest connection that Up reported.
	Send     func(peer string, m wire.Message) error
	Observer *observe.Observer
	System   *actor.System
	// OnStatus, when set, is called by the replica's actor after a change of role,
	// term, leader, readiness or membership. It must not block.
	OnStatus func(Status)

	// Config overrides timing and limits; its ID, Name, Peers and Rand are set by
	// Start.
	Config        consensus.Config
	FS            storage.FS // the directory DataDir when nil
	SnapshotEvery uint64     // entries; 0 means the default
	SnapshotKeep  uint64
	SnapshotBytes int // size of commands; 0 means the default
}

// Replica is a running replica.
type Replica struct {
	options        Options
	log            *logrus.Entry
	start          time.Duration // reading of CLOCK_BOOTTIME
	core           *Core
	actor          *actor.Actor
	peers          *peers
	metrics        *metrics
	status         atomic.Pointer[Status]
	ticker         *actor.Ticker // sends tickMessage
	idleTickPeriod time.Duration // tick period after a message from the leader
	leaderHeardAt  time.Duration // when the last message from the leader was handled
	lastTickAt     time.Duration // when the last tick was handled
	lateTick       time.Duration // time between two ticks that a leader logs

	// flushQueued is set while a flushMessage is in the mailbox. Only the actor's
	// goroutine uses it.
	flushQueued bool
	failure     error // that stopped the replica, as last logged
	background  sync.WaitGroup
}

type (
	tickMessage  struct{}
	flushMessage struct{}
	// handoverMessage asks the replica to transfer its leadership.
	handoverMessage struct{}
	// departMessage asks the leader to replace the replica.
	departMessage struct{}
)

type proposeCall struct {
	command []byte
	done    ProposeDone
}

type readCall struct {
	byLease bool
	done    ReadDone
}

// backgroundDone carries the result of work that ran in the background.
type backgroundDone struct{ result any }

type peersCall struct{ names, excluded []string }

type changeCall struct {
	kind   consensus.ChangeKind
	member consensus.Member
	done   ProposeDone
}

// Start opens the data directory and runs the replica as an actor. Errors wrap
// storage.ErrLocked or storage.ErrCorrupt.
func Start(o Options) (*Replica, error) {
	r := &Replica{options: o, log: o.Observer.Logger("replica"), peers: newPeers()}
	r.start = r.now()
	fs := o.FS
	if fs == nil {
		fs = storage.Dir(o.DataDir)
	}
	config := o.Config
	config.Name = o.Name
	config.Peers = o.Peers
	config.Rand = rand.New(rand.NewPCG(randomID(), randomID()))
	r.idleTickPeriod = cmp.Or(config.ElectionMin, consensus.DefaultElectionMin) / idleTickDivisor
	r.lateTick = cmp.Or(config.Lease, consensus.DefaultLease) / lateTickDivisor
	core, err := OpenCore(CoreOptions{
		Consensus:     config,
		OnSync:        func(d time.Duration) { r.metrics.syncSeconds.Observe(d.Seconds()) },
		FS:            fs,
		NewID:         randomID,
		Machine:       o.Machine,
		Send:          r.send,
		SnapshotEvery: o.SnapshotEvery,
		SnapshotKeep:  o.SnapshotKeep,
		SnapshotBytes: o.SnapshotBytes,
		Background:    r.runInBackground,
	}, r.now())
	if err != nil {
		return nil, err
	}
	r.core = core
	r.metrics = newMetrics(o.Observer.Registry)
	r.publishStatus()
	o.Observer.AddDump("replica", func() any { return r.Status() })
	o.Observer.AddReadyCheck("replica", r.ready)
	r.log.Infof("started with id %x in group %x", core.Status().ID, core.Status().Group)
	r.actor = o.System.Start("replica", mailboxCapacity, r)
	r.ticker = r.actor.NewTicker(tickPeriod, tickMessage{})
	r.ticker.Start()
	return r, nil
}

// randomID returns a random id. It is odd, because 0 means that there is no id.
func randomID() uint64 {
	var b [8]byte
	// Read of crypto/rand never returns an error; it crashes the program instead.
	_, _ = cryptorand.Read(b[:])
	return binary.LittleEndian.Uint64(b[:]) | 1
}

// now returns the time since the replica started. The clock keeps running while the
// host is suspended, so that a resumed leader sees that its lease has expired.
func (r *Replica) now() time.Duration {
	return boottime.Now() - r.start
}

// ready is the readiness check: it returns nil when the leader is known and the
// replica has not failed.
func (r *Replica) ready() error {
	s := r.Status()
	switch {
	case s.Failed != "":
		return eris.New(s.Failed)
	case s.LeaderID == 0:
		return eris.New("no leader is known")
	}
	return nil
}

// Receive implements actor.Handler. Messages that are queued together share one sync,
// because the flushMessage is queued behind them.
func (r *Replica) Receive(msg any) {
	now := r.now()
	r.handle(now, msg)
	r.ticker.SetPeriod(r.currentTickPeriod(now))
}

// runInBackground runs work on another goroutine and sends its result to the actor.
func (r *Replica) runInBackground(work func() any) {
	r.background.Go(func() {
		began := time.Now()
		result := work()
		r.log.WithField("ms", time.Since(began).Milliseconds()).Info("background snapshot has finished")
		for r.actor.Offer(backgroundDone{result}) == actor.ErrFull {
			time.Sleep(tickPeriod)
		}
	})
}

// lateTickDivisor divides the lease into the time between two ticks above which a leader
// logs a warning.
const lateTickDivisor = 2

// logLateTick logs a warning when the actor of a leader has not handled a tick for long. A
// leader with a delayed actor loses its lease even when nothing else is wrong.
func (r *Replica) logLateTick(now time.Duration) {
	late := now - r.lastTickAt
	r.lastTickAt = now
	if late > r.lateTick && r.status.Load().Role == consensus.RoleLeader {
		r.log.WithFields(logrus.Fields{"ms": late.Milliseconds(), "waiting": r.actor.Queued()}).Warn("ticks of the leader were delayed")
	}
}

// currentTickPeriod returns the time between two ticks. A follower that has just heard
// from its leader needs fewer: ticks only start its elections and its search for a
// leader, and neither is due before the shortest election timeout.
func (r *Replica) currentTickPeriod(now time.Duration) time.Duration {
	s := r.status.Load()
	if s.Role == consensus.RoleFollower && s.LeaderID != 0 && now < r.leaderHeardAt+r.idleTickPeriod {
		return r.idleTickPeriod
	}
	return tickPeriod
}

// recordLeaderMessage sets leaderHeardAt if m is an append or snapshot message from the
// leader of the current term. Such a message resets the follower's election timeout.
func (r *Replica) recordLeaderMessage(now time.Duration, m *consensus.Message) {
	s := r.status.Load()
	leads := m.Kind == consensus.MsgAppend || m.Kind == consensus.MsgSnapshot
	if leads && m.From == s.LeaderID && m.Term == s.Term {
		r.leaderHeardAt = now
	}
}

func (r *Replica) handle(now time.Duration, msg any) {
	switch m := msg.(type) {
	case tickMessage:
		r.logLateTick(now)
		r.core.Tick(now)
	case *consensus.Message:
		r.core.Receive(now, m)
		r.recordLeaderMessage(now, m)
	case proposeCall:
		r.core.Propose(now, m.command, m.done)
	case readCall:
		r.core.Read(now, m.byLease, m.done)
	case changeCall:
		r.core.Change(now, m.kind, m.member, m.done)
	case backgroundDone:
		r.core.Finish(now, m.result)
		r.flush()
		r.log.WithField("ms", (r.now() - now).Milliseconds()).Info("result of the background snapshot has been processed")
	case peersCall:
		r.core.SetPeers(now, consensus.SetPeers{Names: m.names, Excluded: m.excluded})
	case handoverMessage:
		r.core.Handover(now)
	case departMessage:
		r.core.Depart(now)
	case flushMessage:
		r.flushQueued = false
		r.flush()
		return
	}
	if r.flushQueued {
		return
	}
	r.flushQueued = r.actor.Offer(flushMessage{}) == nil
	if !r.flushQueued {
		r.flush()
	}
}

func (r *Replica) flush() {
	r.core.Flush(r.now())
	r.publishStatus()
	r.logFailure()
}

// logFailure logs that an error has stopped the replica, and that it runs again.
func (r *Replica) logFailure() {
	switch err := r.core.Err(); {
	case err == nil && r.failure != nil:
		r.log.WithField("applied", r.core.Status().Applied).Warnf("runs again after: %v", r.failure)
		r.failure = nil
	case err != nil && (r.failure == nil || r.failure.Error() != err.Error()):
		r.log.Errorf("stopped: %v", err)
		r.failure = err
	}
}

func (r *Replica) publishStatus() {
	next := r.core.Status()
	old := r.status.Swap(&next)
	r.metrics.observe(&next, r.core.store.Syncs())
	if old == nil {
		return
	}
	leadershipChanged := old.Role != next.Role || old.Term != next.Term || old.LeaderID != next.LeaderID
	membersChanged := old.MemberIndex != next.MemberIndex || len(old.Members) != len(next.Members)
	if old.LeaderID != next.LeaderID && next.LeaderID != 0 {
		r.metrics.leaderChanges.Inc()
	}
	if leadershipChanged {
		r.log.Infof("%s in term %d, leader %q", next.Role, next.Term, next.Leader)
	}
	if membersChanged {
		r.log.Infof("membership is %+v since entry %d", next.Members, next.MemberIndex)
	}
	if r.options.OnStatus != nil && (leadershipChanged || membersChanged || old.Ready != next.Ready) {
		r.options.OnStatus(next)
	}
}

// Status returns the status as of the last flush.
func (r *Replica) Status() Status { return *r.status.Load() }

type proposeResult struct {
	result any
	index  uint64
	err    error
}

// LeaseHeld reports whether this replica leads in the given term and its lease, as of the
// last flush, has not ended. While it holds, no other replica can be leader.
func (r *Replica) LeaseHeld(term uint64) bool {
	s := r.Status()
	return s.Ready && s.Term == term && r.now() < s.LeaseEnd
}

// Propose commits a command and returns the result of applying it. The errors
// *NotLeaderError, ErrBusy, ErrStopped, consensus.ErrOverloaded and
// consensus.ErrTooLarge mean that the command has no effect. ErrUnknownOutcome means
// that it may have been committed or may still be.
func (r *Replica) Propose(ctx context.Context, command []byte) (result any, index uint64, err error) {
	return r.awaitOutcome(ctx, func(done ProposeDone) any { return proposeCall{command, done} })
}

func (r *Replica) awaitOutcome(ctx context.Context, message func(ProposeDone) any) (any, uint64, error) {
	answer := make(chan proposeResult, 1)
	done := func(result any, index uint64, err error) { answer <- proposeResult{result, index, err} }
	if err := r.offer(message(done)); err != nil {
		return nil, 0, err
	}
	select {
	case a := <-answer:
		return a.result, a.index, a.err
	case <-ctx.Done():
		return nil, 0, ErrUnknownOutcome
	case <-r.actor.Done():
	}
	select {
	case a := <-answer:
		return a.result, a.index, a.err
	default:
		return nil, 0, ErrUnknownOutcome
	}
}

func (r *Replica) offer(msg any) error {
	switch err := r.actor.Offer(msg); err {
	case nil:
		return nil
	case actor.ErrFull:
		return ErrBusy
	default:
		return ErrStopped
	}
}

type readResult struct {
	term, index uint64
	err         error
}

// Confirm returns the term of this leader and a read index: everything committed before
// the call is at or below it. A quorum confirms the leadership after the call, and the
// local state machine has applied all entries up to the index.
func (r *Replica) Confirm(ctx context.Context) (term, index uint64, err error) {
	return r.read(ctx, false)
}

// ConfirmByLease is like Confirm, but relies on the leader lease instead of a quorum
// round while the lease is held.
func (r *Replica) ConfirmByLease(ctx context.Context) (term, index uint64, err error) {
	return r.read(ctx, true)
}

// Leads returns the term in which this replica leads, for an act that only the leader may
// carry out. The lease has not ended when Leads returns: between its confirmation and the
// answer lie a sync of the disk and what was committed meanwhile, and the host may have been
// suspended.
func (r *Replica) Leads(ctx context.Context) (term uint64, err error) {
	term, _, err = r.ConfirmByLease(ctx)
	if err == nil && !r.LeaseHeld(term) {
		return 0, &NotLeaderError{}
	}
	return term, err
}

func (r *Replica) read(ctx context.Context, byLease bool) (term, index uint64, err error) {
	answer := make(chan readResult, 1)
	done := func(term, index uint64, err error) { answer <- readResult{term, index, err} }
	if err := r.offer(readCall{byLease, done}); err != nil {
		return 0, 0, err
	}
	select {
	case a := <-answer:
		return a.term, a.index, a.err
	case <-ctx.Done():
		return 0, 0, ctx.Err()
	case <-r.actor.Done():
		return 0, 0, ErrStopped
	}
}

// AddLearner adds a replica that receives the log but has no vote. Errors are those of
// Propose and consensus.ErrChangePending, ErrMemberExists and ErrNotReady.
func (r *Replica) AddLearner(ctx context.Context, id uint64, name string) error {
	return r.change(ctx, consensus.AddLearner, consensus.Member{ID: id, Name: name})
}

// Promote makes a learner a voter. It is refused until the learner has caught up with
// the log and synced it.
func (r *Replica) Promote(ctx context.Context, id uint64) error {
	return r.change(ctx, consensus.Promote, consensus.Member{ID: id})
}

// Remove removes a replica from the group.
func (r *Replica) Remove(ctx context.Context, id uint64) error {
	return r.change(ctx, consensus.Remove, consensus.Member{ID: id})
}

func (r *Replica) change(ctx context.Context, kind consensus.ChangeKind, m consensus.Member) error {
	_, _, err := r.awaitOutcome(ctx, func(done ProposeDone) any { return changeCall{kind, m, done} })
	return err
}

// SetPeers sets the replicas to ask for admission and those that must not be members
// of a group with open membership.
func (r *Replica) SetPeers(names, excluded []string) error {
	return r.offer(peersCall{names, excluded})
}

// Handover transfers the leadership to another voter, for a planned stop of the process.
// It returns nil once the replica does not lead, or the error of ctx.
func (r *Replica) Handover(ctx context.Context) error {
	if err := r.offer(handoverMessage{}); err != nil {
		return err
	}
	ticker := time.NewTicker(handoverPollPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			if r.Status().Role != consensus.RoleLeader {
				return nil
			}
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// Depart has a learner take the place of this replica, for a planned stop of its process. After
// nil the loss of the process takes no vote away from the group. ErrNoReplacement means that no
// learner can take its place; other errors are that of ctx and ErrStopped.
func (r *Replica) Depart(ctx context.Context) error {
	ticker := time.NewTicker(departPeriod)
	defer ticker.Stop()
	for {
		var msg any = departMessage{}
		if r.Status().Role == consensus.RoleLeader {
			msg = handoverMessage{} // another replica that stops has handed over to this one
		}
		if err := r.offer(msg); err != nil {
			return err
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
		switch r.Status().Departure {
		case consensus.DepartureDone:
			return nil
		case consensus.DepartureRefused:
			return ErrNoReplacement
		}
	}
}

// departPeriod is the time between two messages that ask to be replaced. The leader needs about
// two commits for it.
const departPeriod = 20 * time.Millisecond

// handoverPollPeriod is the time between two checks whether a handover has finished,
// about one round trip between zones.
const handoverPollPeriod = 5 * time.Millisecond

// Stop stops the actor and releases the data directory. Outstanding proposals in the
// log end with ErrUnknownOutcome.
func (r *Replica) Stop() {
	r.actor.Stop()
	r.background.Wait()
	r.core.Close()
}

// send sends a message to a peer. A message that cannot be sent is dropped, which the
// consensus protocol tolerates.
func (r *Replica) send(m *consensus.Message) {
	body, err := m.Encode()
	if err != nil {
		r.log.Errorf("failed to encode a message to %s: %v", m.ToName, err)
		return
	}
	frame := &wire.Consensus{Body: body}
	if r.options.Send != nil {
		err = r.options.Send(m.ToName, frame)
	} else {
		err = r.peers.send(m.ToName, frame)
	}
	if err != nil {
		r.metrics.lostMessages.Inc()
	}
}

// Up implements link.Events.
func (r *Replica) Up(c *link.Conn) { r.peers.add(c) }

// Down implements link.Events.
func (r *Replica) Down(c *link.Conn, _ error) { r.peers.remove(c) }

// Message implements link.Events for wire.KindConsensus.
func (r *Replica) Message(_ *link.Conn, m wire.Message) {
	frame, ok := m.(*wire.Consensus)
	if !ok {
		return
	}
	r.Deliver(frame)
}

// Deliver queues a message from another replica for the actor.
func (r *Replica) Deliver(frame *wire.Consensus) {
	m, err := consensus.DecodeMessage(frame.Body)
	if err != nil {
		r.log.Warnf("dropped a message that cannot be decoded: %v", err)
		return
	}
	if err := r.actor.Offer(m); err != nil {
		r.metrics.lostMessages.Inc()
	}
}
