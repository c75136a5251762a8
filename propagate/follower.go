package propagate

import (
	"context"
	"hash/fnv"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"merlinhall/duty"
	"merlinhall/link"
	"merlinhall/observe"
	"merlinhall/wire"
)

const (
	// minCheckPeriod is the shortest time between two checks of the follower, and
	// between two reports of changes in its subtree.
	minCheckPeriod = 250 * time.Millisecond
	// dialTimeout bounds an attempt to connect to a parent. A second one follows
	// within the bound of 5 s on a change.
	dialTimeout = 1 * time.Second
	// maxDialJitter spreads the attempts of processes that lost the same parent.
	maxDialJitter = 50 * time.Millisecond
	// followerMailbox holds the messages of one parent and the local callers.
	followerMailbox = 1024
)

// FollowOptions configures a Follower.
type FollowOptions struct {
	System     *duty.System // optional
	Local      wire.Hello
	Candidates []Candidate
	// Dial makes the follower connect to one candidate at a time. Without it
	// the owner connects to all candidates and passes the link events on.
	Dial   bool
	Client *http.Client // of link.Dial
	Scheme string       // "ws" or "wss"
	// Events receives the events of dialled connections, and must pass them on
	// to the follower; nil means that the follower alone receives them.
	Events link.Events
	// Feeds is the parent that sends the worlds on to this process's children.
	Feeds *Parent
	// Observer receives logs, metrics and the state dump; optional.
	Observer *observe.Observer
	// OnWorld is called serially with increasing Index. When it is slow, worlds
	// in between are left out.
	OnWorld func(*wire.World)
}

// FollowerKinds are the kinds of messages that a Follower handles.
var FollowerKinds = []wire.Kind{wire.KindWorld, wire.KindWorldDelta, wire.KindPacked, wire.KindDigest, wire.KindReply}

// Follower holds the newest world that any parent sent. It implements
// link.Events for FollowerKinds.
type Follower struct {
	o          FollowOptions
	actor      *duty.Duty
	subscriber *subscriber
	peers      map[string]Peer
	calls      *Calls
	parent     currentParent
	events     link.Events

	cancelDial    context.CancelFunc
	dialed        string // candidate that is being dialled or is connected
	clusterState  atomic.Pointer[wire.World]
	inForce       atomic.Pointer[wire.World]
	freshAt       atomic.Int64 // Unix nanoseconds of the last fresh digest
	wakeDelivery  chan struct{}
	stop          context.CancelFunc
	done          context.Context
	timer         *time.Timer
	reportPending atomic.Bool // a followChanged message is on its way
	state         atomic.Pointer[FollowerState]
}

// FollowerState is what a follower shows of itself.
type FollowerState struct {
	Parent        string `json:"parent"` // empty while none is connected
	Index         uint64 `json:"index"`
	ConfigVersion uint64 `json:"config_version"`
	// Refused counts messages that could not be applied or went back.
	Refused int  `json:"refused"`
	Fresh   bool `json:"fresh"`
}

type (
	followStart      struct{}
	followTicked     struct{}
	subtreeReportDue struct{}
	peerUp           struct{ peer Peer }
	dialFailed       struct{ name string }
)

// Follow starts a follower.
func Follow(o FollowOptions) *Follower {
	if o.System == nil {
		o.System = duty.NewSystem()
	}
	done, stop := context.WithCancel(context.Background())
	f := &Follower{
		o:            o,
		peers:        make(map[string]Peer),
		calls:        NewCalls(),
		wakeDelivery: make(chan struct{}, 1),
		done:         done,
		stop:         stop,
	}
	f.events = o.Events
	if f.events == nil {
		f.events = f
	}
	f.timer = time.AfterFunc(time.Hour, func() { _ = f.offerBlocking(followTicked{}) })
	ranked := Rank(o.Local.Process, o.Local.Zone, o.Candidates)
	f.subscriber = newSubscriber(ranked, !o.Dial, f.subtreeVersions, failbackJitterOf(o.Local.Process))
	f.actor = o.System.Start("propagate-follower", followerMailbox, duty.HandlerFunc(f.receive))
	if o.Feeds != nil {
		o.Feeds.setSource(f)
	}
	f.state.Store(&FollowerState{})
	f.observe(o.Observer)
	go f.deliverLoop()
	_ = f.actor.Offer(followStart{})
	return f
}

// failbackJitterOf spreads the returns of children to their first choice over 30 s.
func failbackJitterOf(process string) time.Duration {
	h := fnv.New32a()
	_, _ = h.Write([]byte(process))
	return time.Duration(h.Sum32()%30000) * time.Millisecond
}

// World returns the newest world, or nil before the first one.
func (f *Follower) World() *wire.World { return f.clusterState.Load() }

// Fresh reports whether a parent with contact to the control leader has been
// heard within freshLimit.
func (f *Follower) Fresh() bool {
	return time.Since(time.Unix(0, f.freshAt.Load())) <= freshTimeout
}

// Stop ends the follower and the connection it dialled.
func (f *Follower) Stop() {
	f.stop()
	f.actor.Stop()
	f.timer.Stop()
	if f.cancelDial != nil {
		f.cancelDial()
	}
	for _, p := range f.peers {
		if f.o.Dial {
			p.Close(link.ErrClosed)
		}
	}
	f.calls.Stop()
}

// Up implements link.Events.
func (f *Follower) Up(c *link.Conn) { f.Joined(c) }

// Message implements link.Events.
func (f *Follower) Message(c *link.Conn, m wire.Message) { f.Receive(c, m) }

// Down implements link.Events.
func (f *Follower) Down(c *link.Conn, _ error) { f.Lost(c) }

// Joined notes a connection to a candidate. Connections to other processes are
// ignored.
func (f *Follower) Joined(peer Peer) {
	if f.subscriber.candidateRank(peer.Peer().Process) < 0 {
		return
	}
	if f.offerBlocking(peerUp{peer: peer}) == duty.ErrStopped && f.o.Dial {
		peer.Close(link.ErrClosed)
	}
}

// Receive handles a message of a candidate.
func (f *Follower) Receive(peer Peer, m wire.Message) {
	if reply, ok := m.(*wire.Reply); ok {
		f.calls.Answer(reply)
		return
	}
	if f.actor.Offer(peerMessage{peer: peer, message: m}) == duty.ErrFull {
		peer.Close(errMailboxFull)
	}
}

// Lost notes the end of a connection.
func (f *Follower) Lost(peer Peer) {
	f.calls.Lost(peer)
	if f.subscriber.candidateRank(peer.Peer().Process) >= 0 {
		_ = f.offerBlocking(peerDown{peer: peer})
	}
}

// offerBlocking waits for room: a lost change of a connection would leave the follower
// with a wrong view of it.
func (f *Follower) offerBlocking(msg any) error {
	for {
		err := f.actor.Offer(msg)
		if err != duty.ErrFull {
			return err
		}
		time.Sleep(minCheckPeriod / 10)
	}
}

func (f *Follower) receive(msg any) {
	now := time.Now()
	switch m := msg.(type) {
	case followStart:
		f.perform(f.subscriber.start(now))
	case followTicked:
		f.perform(f.subscriber.tick(now))
	case subtreeReportDue:
		f.reportPending.Store(false)
		f.subscriber.reportDue = true
		f.perform(f.subscriber.tick(now))
	case peerUp:
		f.joined(now, m.peer)
	case peerDown:
		f.lost(now, m.peer)
	case dialFailed:
		if f.dialed == m.name && f.peers[m.name] == nil {
			f.perform(f.subscriber.disconnected(now, m.name))
		}
	case peerMessage:
		name := m.peer.Peer().Process
		if f.peers[name] == m.peer {
			f.perform(f.subscriber.handleMessage(now, name, m.message))
		}
	}
}

func (f *Follower) joined(now time.Time, peer Peer) {
	name := peer.Peer().Process
	if f.o.Dial && f.dialed != name {
		peer.Close(link.ErrClosed)
		return
	}
	if old := f.peers[name]; old != nil && f.o.Dial {
		old.Close(link.ErrClosed)
	}
	f.peers[name] = peer
	f.perform(f.subscriber.connected(now, name))
}

func (f *Follower) lost(now time.Time, peer Peer) {
	name := peer.Peer().Process
	if f.peers[name] != peer {
		return
	}
	delete(f.peers, name)
	f.perform(f.subscriber.disconnected(now, name))
}

// perform carries out a step of the seeker.
func (f *Follower) perform(s actions) {
	if s.clusterState != nil {
		f.publish(s.clusterState)
	}
	if s.connectTo != nil {
		f.startDial(*s.connectTo, s.connectDelay)
	}
	for _, a := range s.send {
		f.sendTo(a)
	}
	f.freshAt.Store(f.subscriber.freshAt.UnixNano())
	f.parent.set(f.peers[f.subscriber.parentName()])
	f.updateState()
	f.resetTimer(time.Now())
}

// updateState keeps the state for other goroutines and logs its changes.
func (f *Follower) updateState() {
	old := f.state.Load()
	now := FollowerState{Index: f.subscriber.heldIndex(), Refused: f.subscriber.refused}
	if f.subscriber.clusterState != nil {
		now.ConfigVersion = f.subscriber.clusterState.ConfigVersion
	}
	if name := f.subscriber.parentName(); f.peers[name] != nil {
		now.Parent = name
	}
	if now == *old {
		return
	}
	f.state.Store(&now)
	if f.o.Observer == nil {
		return
	}
	log := f.o.Observer.Logger("propagate")
	if now.Parent != old.Parent {
		log.Infof("parent is %q, was %q", now.Parent, old.Parent)
	}
	if now.Refused != old.Refused {
		log.Warnf("message of parent %q cannot be used", now.Parent)
	}
}

// State returns what the follower shows of itself.
func (f *Follower) State() FollowerState {
	s := *f.state.Load()
	s.Fresh = f.Fresh()
	return s
}

func (f *Follower) publish(w *wire.World) {
	f.clusterState.Store(w)
	if f.o.Feeds != nil {
		f.o.Feeds.Publish(w)
	}
	select {
	case f.wakeDelivery <- struct{}{}:
	default:
	}
}

func (f *Follower) sendTo(a outboundMessage) {
	peer := f.peers[a.to]
	if peer == nil {
		return
	}
	if err := peer.Send(a.message); err != nil {
		peer.Close(err)
	}
}

// startDial dials c in place of the present parent.
func (f *Follower) startDial(c Candidate, delay time.Duration) {
	if f.cancelDial != nil {
		f.cancelDial()
	}
	for name, peer := range f.peers {
		delete(f.peers, name)
		peer.Close(link.ErrClosed)
	}
	f.dialed = c.Name
	ctx, cancel := context.WithCancel(f.done)
	f.cancelDial = cancel
	go f.dialOnce(ctx, c, delay+rand.N(maxDialJitter))
}

func (f *Follower) dialOnce(ctx context.Context, c Candidate, delay time.Duration) {
	select {
	case <-time.After(delay):
	case <-ctx.Done():
		return
	}
	limited, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := link.Dial(limited, f.o.Client, f.o.Scheme, c.Address, f.o.Local, f.events)
	if err == nil && conn.Peer().Process == c.Name {
		return
	}
	if err == nil {
		conn.Close(link.ErrClosed)
	}
	if ctx.Err() == nil {
		_ = f.offerBlocking(dialFailed{name: c.Name})
	}
}

// deliverLoop calls OnWorld with the newest world.
func (f *Follower) deliverLoop() {
	var last uint64
	for {
		select {
		case <-f.wakeDelivery:
		case <-f.done.Done():
			return
		}
		w := f.clusterState.Load()
		if f.o.OnWorld == nil || w.Index <= last {
			continue
		}
		last = w.Index
		f.o.OnWorld(w)
		f.inForce.Store(w)
		f.subtreeChanged()
	}
}

// subtreeVersions returns the versions in force in this process and those below it. A
// world is in force when OnWorld has returned.
func (f *Follower) subtreeVersions() []wire.VersionCount {
	w := f.inForce.Load()
	if f.o.OnWorld == nil {
		w = f.clusterState.Load()
	}
	var own, below []wire.VersionCount
	if w != nil {
		own = []wire.VersionCount{{Version: w.ConfigVersion, Count: 1}}
	}
	if f.o.Feeds != nil {
		below = f.o.Feeds.Counts()
	}
	return SumCounts(own, below)
}

// subtreeChanged makes the follower report what the subtree holds, once for all
// changes within followTick.
func (f *Follower) subtreeChanged() {
	if !f.reportPending.Swap(true) {
		time.AfterFunc(minCheckPeriod, func() { _ = f.offerBlocking(subtreeReportDue{}) })
	}
}

// resetTimer sets the timer of the next check. It is moved on with each message, so that
// a follower with a fresh parent is not woken: periodic ticks cost more than the
// messages.
func (f *Follower) resetTimer(now time.Time) {
	wait, ok := f.subscriber.nextCheck(now)
	if !ok {
		f.timer.Stop()
		return
	}
	f.timer.Reset(max(wait, minCheckPeriod))
}
