package rollout

import (
	"context"
	"path/filepath"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"merlinhall/actor"
	"merlinhall/link"
	"merlinhall/observe"
	"merlinhall/wire"
)

const (
	// coordinatorMailbox is the capacity of the coordinator's mailbox.
	coordinatorMailbox = 16384
	// coordinatorTick is the tick period while the planner has work or bodies are being
	// replicated. Otherwise the tick period is repairPeriod.
	coordinatorTick = 100 * time.Millisecond
	// proposeTimeout bounds the wait for one proposal.
	proposeTimeout = 5 * time.Second
	// bodyDir is the directory of bodies below the data directory.
	bodyDir = "bodies"
)

// Control is the part of the control replica that the coordinator uses.
type Control interface {
	// Propose commits a command of a slice and returns its result.
	Propose(ctx context.Context, slice, requestID string, body []byte) (result any, err error)
}

// CoordinatorOptions configure a Coordinator.
type CoordinatorOptions struct {
	Name    string // of this control replica
	Boot    string // boot id of the process
	DataDir string
	System  *actor.System
	Ledger  *Ledger
	Control Control
	// Replicas returns the names of the voting control replicas, this one
	// included. A body is stored when a majority of them has synced it.
	Replicas func() []string
	Planner  PlannerOptions
	Log      *logrus.Entry
	// Observer exports the state dump and the metrics; nil exports nothing.
	Observer *observe.Observer
}

// Coordinator is the actor of a control replica that supplies trainers with samples.
// On every replica it stores bodies and repairs missing ones; on the leader it also
// plans jobs, commits complete groups and serves trainers. It implements link.Events
// for CoordinatorKinds.
type Coordinator struct {
	options   CoordinatorOptions
	store     *Store
	actor     *actor.Actor
	planner   *Planner
	changes   *broadcast
	links     links
	bodies    bodies
	tickTimer *actor.Alarm // schedules the next tick

	viewRevision   uint64 // ledger revision of the last view
	leading        bool
	term           uint64
	stop           context.CancelFunc // cancels the proposals of the current leadership
	ctx            context.Context
	proposalSerial uint64 // last serial number of a request id
	mu             sync.Mutex
	storeWork      sync.WaitGroup           // goroutines that use the store
	drawWaits      map[string]time.Duration // time waited in draws on this replica, by trainer

	// Overridden in tests. skipMajority commits a group after its first copy.
	skipMajority bool
	lossAfter    time.Duration
}

// Messages of the coordinator's mailbox.
type (
	linkUp struct {
		peer wire.Hello
		conn sender
	}
	linkDown struct {
		peer   wire.Hello
		conn   sender
		silent bool
	}
	linkMessage struct {
		peer wire.Hello
		conn sender
		m    wire.Message
	}
	leaderUpdate struct {
		leading bool
		term    uint64
	}
	ledgerChanged struct{}
	clockTick     struct{}
	putDone       struct {
		key wire.BodyKey
		err error
	}
	commitDone struct {
		key     wire.BodyKey
		outcome Outcome
		err     error
	}
	inspect struct{ f func() }
)

// NewCoordinator opens the body store and starts the coordinator.
func NewCoordinator(o CoordinatorOptions) (*Coordinator, error) {
	if o.Planner.MaxInFlight < 1 || o.Planner.MaxPerEntry < 1 {
		return nil, eris.Errorf("rollout: invalid job limits: %d in total and %d per entry; both must be positive", o.Planner.MaxInFlight, o.Planner.MaxPerEntry)
	}
	store, err := OpenStore(filepath.Join(o.DataDir, bodyDir))
	if err != nil {
		return nil, err
	}
	c := &Coordinator{options: o, store: store, planner: NewPlanner(o.Planner), changes: newBroadcast(), lossAfter: lossAfter, drawWaits: map[string]time.Duration{}}
	c.links.init()
	c.bodies.init()
	c.ctx, c.stop = context.WithCancel(context.Background())
	c.actor = o.System.Start("rollout coordinator", coordinatorMailbox, actor.HandlerFunc(c.receive))
	c.tickTimer = c.actor.NewAlarm(clockTick{})
	o.Ledger.OnChange(func() {
		c.changes.notify()
		_ = c.actor.Offer(ledgerChanged{})
	})
	c.enqueue(clockTick{})
	c.observe(o.Observer)
	return c, nil
}

// Up implements link.Events.
func (c *Coordinator) Up(conn *link.Conn) { c.enqueue(linkUp{conn.Peer(), conn}) }

// Message implements link.Events.
func (c *Coordinator) Message(conn *link.Conn, m wire.Message) {
	c.enqueue(linkMessage{conn.Peer(), conn, m})
}

// Down implements link.Events.
func (c *Coordinator) Down(conn *link.Conn, reason error) {
	c.enqueue(linkDown{conn.Peer(), conn, eris.Is(reason, link.ErrSilent)})
}

// Lead tells the coordinator whether its replica is the leader. It is the callback
// for Control.OnLeader.
func (c *Coordinator) Lead(leading bool, term uint64) { c.enqueue(leaderUpdate{leading, term}) }

// Stop stops the coordinator and waits for running operations on the body store.
func (c *Coordinator) Stop() {
	c.mu.Lock()
	c.stop()
	c.mu.Unlock()
	c.actor.Stop()
	c.storeWork.Wait()
}

// enqueue queues a message that must not be lost. It blocks while the mailbox is
// full, which delays only the link that the message came from.
func (c *Coordinator) enqueue(msg any) {
	for c.actor.Offer(msg) == actor.ErrFull {
		time.Sleep(time.Millisecond)
	}
}

func (c *Coordinator) receive(msg any) {
	now := time.Now()
	c.handle(now, msg)
	if len(c.bodies.replications) > 0 || c.planner.hasWork() {
		c.tickTimer.ScheduleAt(now, now.Add(coordinatorTick))
		return
	}
	c.tickTimer.ScheduleAt(now, now.Add(repairPeriod))
}

func (c *Coordinator) handle(now time.Time, msg any) {
	switch m := msg.(type) {
	case linkUp:
		c.linkUp(now, m)
	case linkDown:
		c.linkDown(now, m)
	case linkMessage:
		c.message(now, m)
	case leaderUpdate:
		c.setLeadership(now, m)
	case ledgerChanged:
		c.ledgerChanged(now)
	case clockTick:
		c.tickTimer.Clear()
		c.tick(now)
	case putDone:
		c.putDone(m)
	case bodySend:
		delete(c.bodies.sending, m)
	case commitDone:
		c.commitDone(now, m)
	case inspect:
		m.f()
	}
}

func (c *Coordinator) tick(now time.Time) {
	// A notification of a ledger change is dropped when the mailbox is full.
	if c.options.Ledger.Revision() != c.viewRevision {
		c.ledgerChanged(now)
	}
	c.runPlanner(now, Tick{})
	c.tickBodies(now)
}

func (c *Coordinator) linkUp(now time.Time, m linkUp) {
	c.links.add(m.peer.Process, m.conn)
	if hasRole(m.peer, wire.RoleEntry) {
		c.runPlanner(now, EntryUp{Entry: m.peer.Process})
	}
}

func (c *Coordinator) linkDown(now time.Time, m linkDown) {
	last := c.links.remove(m.peer.Process, m.conn)
	if last && hasRole(m.peer, wire.RoleEntry) {
		c.runPlanner(now, EntryDown{Entry: m.peer.Process, Silent: m.silent})
	}
}

func hasRole(h wire.Hello, role wire.Role) bool {
	for _, r := range h.Roles {
		if r == role {
			return true
		}
	}
	return false
}

func (c *Coordinator) message(now time.Time, m linkMessage) {
	switch msg := m.m.(type) {
	case *wire.SampleDone:
		c.runPlanner(now, JobDone{Entry: m.peer.Process, Result: msg})
	case *wire.JobList:
		c.runPlanner(now, EntryJobs{Entry: m.peer.Process, Jobs: msg.Jobs})
	default:
		c.bodyMessage(now, m)
	}
}

func (c *Coordinator) setLeadership(now time.Time, m leaderUpdate) {
	c.mu.Lock()
	c.stop()
	c.ctx, c.stop = context.WithCancel(context.Background())
	c.leading, c.term = m.leading, m.term
	c.mu.Unlock()
	c.bodies.replications = map[wire.BodyKey]*replication{}
	c.changes.notify()
	c.runPlanner(now, LeadershipChanged{Leading: m.leading})
	if m.leading {
		c.ledgerChanged(now)
	}
}

func (c *Coordinator) isLeading() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.leading
}

// ledgerChanged passes the current view of the ledger to the planner and deletes
// unused bodies.
func (c *Coordinator) ledgerChanged(now time.Time) {
	view := c.options.Ledger.View()
	c.viewRevision = view.Revision
	c.runPlanner(now, ViewChanged{View: view})
	c.deleteUnusedBodies()
}

// runPlanner passes an event to the planner and executes the resulting actions.
func (c *Coordinator) runPlanner(now time.Time, event any) {
	queue := c.planner.Step(now, event)
	for len(queue) > 0 {
		action := queue[0]
		queue = queue[1:]
		switch a := action.(type) {
		case Send:
			if err := c.links.send(a.Entry, a.Message); err != nil && a.Job != "" {
				queue = append(queue, c.planner.Step(now, SendFailed{Entry: a.Entry, Job: a.Job})...)
			}
		case StoreGroup:
			c.replicateGroup(now, a)
		}
	}
}

// propose commits a command in a new goroutine and passes the outcome to then. A
// change of leadership cancels the proposal.
func (c *Coordinator) propose(command Command, then func(Outcome, error)) {
	c.mu.Lock()
	ctx := c.ctx
	c.mu.Unlock()
	go func() {
		outcome, err := c.proposeWait(ctx, command)
		then(outcome, err)
	}()
}

func (c *Coordinator) proposeWait(ctx context.Context, command Command) (Outcome, error) {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	result, err := c.options.Control.Propose(ctx, SliceName, c.requestID(), command.Encode())
	if err != nil {
		return Outcome{}, err
	}
	return decodeOutcome(result)
}

// requestID returns a new request id. The ledger recognizes resends by the ids
// inside its commands, so each proposal gets a new id.
func (c *Coordinator) requestID() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.proposalSerial++
	return SliceName + "/" + c.options.Name + "/" + c.options.Boot + "/" + uintText(c.proposalSerial)
}

func (c *Coordinator) commitDone(now time.Time, m commitDone) {
	delete(c.bodies.replications, m.key)
	if m.err == nil && m.outcome.Code == CodeOK {
		return
	}
	if m.err != nil {
		c.options.Log.Warnf("commit of group %d of step %d of trainer %s failed: %v", m.key.Group, m.key.Step, m.key.Trainer, m.err)
	}
	c.runPlanner(now, StoreGroupFailed{Trainer: m.key.Trainer, Step: m.key.Step, Group: m.key.Group, Round: m.key.Round})
}

// links holds the connections to each process, the newest last.
type links struct {
	conns map[string][]sender
}

func (l *links) init() { l.conns = map[string][]sender{} }

func (l *links) add(process string, conn sender) {
	l.conns[process] = append(l.conns[process], conn)
}

// remove removes a connection and reports whether it was the last one.
func (l *links) remove(process string, conn sender) bool {
	kept := l.conns[process][:0]
	for _, c := range l.conns[process] {
		if c != conn {
			kept = append(kept, c)
		}
	}
	l.conns[process] = kept
	if len(kept) == 0 {
		delete(l.conns, process)
		return true
	}
	return false
}

// send uses the newest connection of the process.
func (l *links) send(process string, m wire.Message) error {
	conn := l.newest(process)
	if conn == nil {
		return link.ErrClosed
	}
	return conn.Send(m)
}

// newest returns the newest connection to a process, or nil.
func (l *links) newest(process string) sender {
	conns := l.conns[process]
	if len(conns) == 0 {
		return nil
	}
	return conns[len(conns)-1]
}

func (l *links) connected(process string) bool { return len(l.conns[process]) > 0 }

// broadcast wakes all waiters at once.
type broadcast struct {
	mu sync.Mutex
	c  chan struct{}
}

func newBroadcast() *broadcast { return &broadcast{c: make(chan struct{})} }

// wait returns a channel that the next notify closes.
func (b *broadcast) wait() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.c
}

func (b *broadcast) notify() {
	b.mu.Lock()
	defer b.mu.Unlock()
	close(b.c)
	b.c = make(chan struct{})
}

// CoordinatorKinds are the kinds of messages that a Coordinator handles.
var CoordinatorKinds = []wire.Kind{
	wire.KindSampleDone, wire.KindJobList,
	wire.KindPutBody, wire.KindBodyStored, wire.KindFetchBody, wire.KindBodyPart,
}
