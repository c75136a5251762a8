package replica

import (
	"cmp"
	"context"
	cryptorand "crypto/rand"
	"encoding/binary"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"
	"golang.org/x/sys/unix"

	"merlinhall/consensus"
	"merlinhall/duty"
	"merlinhall/link"
	"merlinhall/observe"
	"merlinhall/storage"
	"merlinhall/wire"
)

const (
	// tickPeriod is a fifth of a heartbeat.
	tickPeriod = 20 * time.Millisecond
	// restShare is the part of the shortest election timeout that lies between two
	// ticks of a follower that has just heard its leader. The second tick after the
	// last message comes before the timeout.
	restShare = 2
	// mailboxCapacity bounds waiting messages; the wire protocol survives the loss
	// of those beyond it.
	mailboxCapacity = 8192
)

// ErrBusy refuses a request because the replica's mailbox is full. The request
// certainly had no effect.
var ErrBusy = eris.New("replica: mailbox is full")

// Options configure a Replica.
type Options struct {
	Name    string
	Peers   []string // names of the other control replicas
	DataDir string
	Machine StateMachine
	// Send sends to the process of that name. When nil, the replica sends on the
	// newest connection that it was told of by Up.
	Send     func(peer string, m wire.Message) error
	Observer *observe.Observer
	System   *duty.System
	// OnStatus, when set, is called by the duty after the role, term, leader,
	// readiness or membership has changed. It must not block.
	OnStatus func(Status)

	// Config overrides timing and limits; its ID, Name, Peers and Rand are set by
	// Start.
	Config        consensus.Config
	FS            storage.FS // nil: the folder DataDir
	SnapshotEvery uint64     // entries; 0 means the default
	SnapshotKeep  uint64
	SnapshotBytes int // of commands; 0 means the default
}

// Replica is a running replica.
type Replica struct {
	options Options
	log     *logrus.Entry
	start   time.Duration // of the boot clock
	core    *Core
	duty    *duty.Duty
	peers   *peers
	metrics *metrics
	status  atomic.Pointer[Status]
	pace    *duty.Pace    // of ticks
	rest    time.Duration // period of ticks after a message of the leader
	heard   time.Duration // when the last such message was handled
	ticked  time.Duration // when the last tick was handled

	// flushing is set while a flush message is in the mailbox. It is used by the
	// duty's goroutine alone.
	flushing bool
	reported bool // the disk error has been logged
}

type (
	tickMessage  struct{}
	flushMessage struct{}
	// handoverMessage asks the replica to give its leadership up.
	handoverMessage struct{}
)

type proposeCall struct {
	command []byte
	done    ProposeDone
}

type readCall struct {
	byLease bool
	done    ReadDone
}

// finishMessage brings the result of work of the background.
type finishMessage struct{ result any }

type peersCall struct{ names, excluded []string }

type changeCall struct {
	kind   consensus.ChangeKind
	member consensus.Member
	done   ProposeDone
}

// Start opens the data folder and runs the replica as a duty. Errors wrap
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
	r.rest = cmp.Or(config.ElectionMin, consensus.DefaultElectionMin) / restShare
	core, err := OpenCore(CoreOptions{
		Consensus:     config,
		FS:            fs,
		NewID:         randomID,
		Machine:       o.Machine,
		Send:          r.send,
		SnapshotEvery: o.SnapshotEvery,
		SnapshotKeep:  o.SnapshotKeep,
		SnapshotBytes: o.SnapshotBytes,
		Background:    r.background,
	}, r.now())
	if err != nil {
		return nil, err
	}
	r.core = core
	r.metrics = newMetrics(o.Observer.Registry)
	core.store.OnSync = func(d time.Duration) { r.metrics.sync.Observe(d.Seconds()) }
	r.publish()
	o.Observer.Dump("replica", func() any { return r.Status() })
	o.Observer.Gate("replica", r.ready)
	r.log.Infof("started as id %x with group %x", core.Status().ID, core.Status().Group)
	r.duty = o.System.Start("replica", mailboxCapacity, r)
	r.pace = r.duty.NewPace(tickPeriod, tickMessage{})
	r.pace.Start()
	return r, nil
}

func randomID() uint64 {
	var b [8]byte
	// Read of crypto/rand never fails; it stops the program instead.
	_, _ = cryptorand.Read(b[:])
	return binary.LittleEndian.Uint64(b[:]) | 1
}

// now is the time that the log works with. It goes on while the host is suspended,
// so that a leader that wakes up knows that its lease is over.
func (r *Replica) now() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		duty.Invariant(false, "replica: the boot clock cannot be read: %v", err)
	}
	return time.Duration(t.Nano()) - r.start
}

// ready is the readiness condition: the replica follows or leads, and its disk
// works.
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

// Receive implements duty.Handler. Messages that arrive together are stepped
// together and share one sync: the flush message queues behind them.
func (r *Replica) Receive(msg any) {
	now := r.now()
	r.handle(now, msg)
	r.pace.Set(r.period(now))
}

// background runs work on another goroutine and brings its result to the duty.
func (r *Replica) background(work func() any) {
	go func() {
		began := time.Now()
		result := work()
		r.log.WithField("ms", time.Since(began).Milliseconds()).Info("snapshot is made")
		for r.duty.Offer(finishMessage{result}) == duty.ErrFull {
			time.Sleep(tickPeriod)
		}
	}()
}

// heldUpAfter is the time between two ticks from which a leader is logged as held
// up: half of its lease.
const heldUpAfter = consensus.DefaultLease / 2

// noteTick logs when the duty of a leader did not run for long: it then loses its
// lease though nothing else is wrong.
func (r *Replica) noteTick(now time.Duration) {
	late := now - r.ticked
	r.ticked = now
	if late > heldUpAfter && r.status.Load().Role == consensus.RoleLeader {
		r.log.WithFields(logrus.Fields{"ms": late.Milliseconds(), "waiting": r.duty.Queued()}).Warn("the leader's duty was held up")
	}
}

// period returns the time between ticks. What ticks bring about in a follower,
// elections and the search for a leader, is at least the shortest election timeout
// away when the leader has just been heard.
func (r *Replica) period(now time.Duration) time.Duration {
	s := r.status.Load()
	if s.Role == consensus.RoleFollower && s.LeaderID != 0 && now < r.heard+r.rest {
		return r.rest
	}
	return tickPeriod
}

// note takes the time of a message that keeps this follower from an election.
func (r *Replica) note(now time.Duration, m *consensus.Message) {
	s := r.status.Load()
	leads := m.Kind == consensus.MsgAppend || m.Kind == consensus.MsgSnapshot
	if leads && m.From == s.LeaderID && m.Term == s.Term {
		r.heard = now
	}
}

func (r *Replica) handle(now time.Duration, msg any) {
	switch m := msg.(type) {
	case tickMessage:
		r.noteTick(now)
		r.core.Tick(now)
	case *consensus.Message:
		r.core.Receive(now, m)
		r.note(now, m)
	case proposeCall:
		r.core.Propose(now, m.command, m.done)
	case readCall:
		r.core.Read(now, m.byLease, m.done)
	case changeCall:
		r.core.Change(now, m.kind, m.member, m.done)
	case finishMessage:
		r.core.Finish(now, m.result)
		r.flush()
		r.log.WithField("ms", (r.now() - now).Milliseconds()).Info("log begins after the snapshot")
	case peersCall:
		r.core.step(now, consensus.Peers{Names: m.names, Excluded: m.excluded})
	case handoverMessage:
		r.core.Handover(now)
	case flushMessage:
		r.flushing = false
		r.flush()
		return
	}
	if r.flushing {
		return
	}
	r.flushing = r.duty.Offer(flushMessage{}) == nil
	if !r.flushing {
		r.flush()
	}
}

func (r *Replica) flush() {
	r.core.Flush(r.now())
	r.publish()
	if err := r.core.Err(); err != nil && !r.reported {
		r.reported = true
		r.log.Errorf("stopped until restart: %v", err)
	}
}

func (r *Replica) publish() {
	next := r.core.Status()
	old := r.status.Swap(&next)
	r.metrics.observe(&next, r.core.store.Syncs())
	if old == nil {
		return
	}
	moved := old.Role != next.Role || old.Term != next.Term || old.LeaderID != next.LeaderID
	regrouped := old.MemberIndex != next.MemberIndex || len(old.Members) != len(next.Members)
	if old.LeaderID != next.LeaderID && next.LeaderID != 0 {
		r.metrics.leaders.Inc()
	}
	if moved {
		r.log.Infof("%s in term %d, leader %q", next.Role, next.Term, next.Leader)
	}
	if regrouped {
		r.log.Infof("members are %+v from entry %d on", next.Members, next.MemberIndex)
	}
	if r.options.OnStatus != nil && (moved || regrouped || old.Ready != next.Ready) {
		r.options.OnStatus(next)
	}
}

// Status returns the view after the last flush.
func (r *Replica) Status() Status { return *r.status.Load() }

type proposeAnswer struct {
	result any
	index  uint64
	err    error
}

// Propose commits a command and returns the result of its application. Errors:
// *NotLeaderError, ErrBusy, ErrStopped, consensus.ErrOverloaded and
// consensus.ErrTooLarge mean that the command has no effect; ErrUnknownOutcome
// means that it may have one, now or later.
func (r *Replica) Propose(ctx context.Context, command []byte) (result any, index uint64, err error) {
	return r.await(ctx, func(done ProposeDone) any { return proposeCall{command, done} })
}

func (r *Replica) await(ctx context.Context, message func(ProposeDone) any) (any, uint64, error) {
	answer := make(chan proposeAnswer, 1)
	done := func(result any, index uint64, err error) { answer <- proposeAnswer{result, index, err} }
	if err := r.offer(message(done)); err != nil {
		return nil, 0, err
	}
	select {
	case a := <-answer:
		return a.result, a.index, a.err
	case <-ctx.Done():
		return nil, 0, ErrUnknownOutcome
	case <-r.duty.Done():
	}
	select {
	case a := <-answer:
		return a.result, a.index, a.err
	default:
		return nil, 0, ErrUnknownOutcome
	}
}

func (r *Replica) offer(msg any) error {
	switch err := r.duty.Offer(msg); err {
	case nil:
		return nil
	case duty.ErrFull:
		return ErrBusy
	default:
		return ErrStopped
	}
}

type readAnswer struct {
	term, index uint64
	err         error
}

// Confirm returns the term of this leader and an index such that everything
// committed before the call is at or below it, confirmed by a quorum after the
// call. The local state machine has applied it.
func (r *Replica) Confirm(ctx context.Context) (term, index uint64, err error) {
	return r.read(ctx, false)
}

// ConfirmByLease is Confirm without a quorum round: it trusts the lease when it
// is held.
func (r *Replica) ConfirmByLease(ctx context.Context) (term, index uint64, err error) {
	return r.read(ctx, true)
}

func (r *Replica) read(ctx context.Context, byLease bool) (term, index uint64, err error) {
	answer := make(chan readAnswer, 1)
	done := func(term, index uint64, err error) { answer <- readAnswer{term, index, err} }
	if err := r.offer(readCall{byLease, done}); err != nil {
		return 0, 0, err
	}
	select {
	case a := <-answer:
		return a.term, a.index, a.err
	case <-ctx.Done():
		return 0, 0, ctx.Err()
	case <-r.duty.Done():
		return 0, 0, ErrStopped
	}
}

// AddLearner adds a replica that receives the log without a vote. Errors are
// those of Propose and consensus.ErrChangePending, ErrMemberExists, ErrNotReady.
func (r *Replica) AddLearner(ctx context.Context, id uint64, name string) error {
	return r.change(ctx, consensus.AddLearner, consensus.Member{ID: id, Name: name})
}

// Promote makes a learner a voter. It is refused until the learner has caught up
// and synced.
func (r *Replica) Promote(ctx context.Context, id uint64) error {
	return r.change(ctx, consensus.Promote, consensus.Member{ID: id})
}

// Remove removes a replica from the group.
func (r *Replica) Remove(ctx context.Context, id uint64) error {
	return r.change(ctx, consensus.Remove, consensus.Member{ID: id})
}

func (r *Replica) change(ctx context.Context, kind consensus.ChangeKind, m consensus.Member) error {
	_, _, err := r.await(ctx, func(done ProposeDone) any { return changeCall{kind, m, done} })
	return err
}

// SetPeers tells which replicas to ask for admission and which must not be members
// of an open group.
func (r *Replica) SetPeers(names, excluded []string) error {
	return r.offer(peersCall{names, excluded})
}

// Handover gives the leadership of this replica to another voter before its process
// stops. It returns when the replica does not lead, or with the error of ctx.
func (r *Replica) Handover(ctx context.Context) error {
	if err := r.offer(handoverMessage{}); err != nil {
		return err
	}
	ticker := time.NewTicker(handoverPoll)
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

// handoverPoll is the time between two looks whether a handover is over, about a
// round trip between zones.
const handoverPoll = 5 * time.Millisecond

// Stop ends the duty. Proposals without an outcome end as unknown.
func (r *Replica) Stop() {
	r.duty.Stop()
	r.core.Close()
}

// send is called by the duty for each message. A message that cannot be sent is
// lost, which the protocol survives.
func (r *Replica) send(m *consensus.Message) {
	body, err := m.Encode()
	if err != nil {
		r.log.Errorf("message to %s cannot be encoded: %v", m.ToName, err)
		return
	}
	frame := &wire.Consensus{Body: body}
	if r.options.Send != nil {
		err = r.options.Send(m.ToName, frame)
	} else {
		err = r.peers.send(m.ToName, frame)
	}
	if err != nil {
		r.metrics.lost.Inc()
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

// Deliver takes a message of another replica.
func (r *Replica) Deliver(frame *wire.Consensus) {
	m, err := consensus.DecodeMessage(frame.Body)
	if err != nil {
		r.log.Warnf("message is dropped: %v", err)
		return
	}
	if err := r.duty.Offer(m); err != nil {
		r.metrics.lost.Inc()
	}
}
