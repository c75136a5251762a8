package propagate

import (
	"context"
	"hash/fnv"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"merlinhall/actor"
	"merlinhall/link"
	"merlinhall/observe"
	"merlinhall/wire"
)

const (
	// minCheckPeriod is the minimum interval between two checks of the subscriber,
	// and between two reports of changes in its subtree.
	minCheckPeriod = 250 * time.Millisecond
	// dialTimeout bounds an attempt to connect to a parent. It leaves time for a
	// second attempt within the 5 s in which a change must arrive.
	dialTimeout = 1 * time.Second
	// maxDialJitter spreads the attempts of processes that lost the same parent.
	maxDialJitter = 50 * time.Millisecond
	// followerMailbox has room for messages from the candidates and the follower's
	// own events.
	followerMailbox = 1024
)

// FollowOptions configures a Follower.
type FollowOptions struct {
	System     *actor.System // optional
	Local      wire.Hello
	Candidates []Candidate
	// Dial makes the follower connect to one candidate at a time. Otherwise the
	// owner connects to all candidates and passes the link events on.
	Dial   bool
	Client *http.Client // for link.Dial
	Scheme string       // "ws" or "wss"
	// Events receives the events of dialed connections and must pass them on to the
	// follower. If nil, only the follower receives them.
	Events link.Events
	// Downstream is the parent that sends each cluster state on to the children of
	// this process; optional.
	Downstream *Parent
	// Observer receives logs, metrics and the state dump; optional.
	Observer *observe.Observer
	// OnClusterState is called serially with increasing Index. While it is running,
	// intermediate cluster states are skipped. Optional.
	OnClusterState func(*wire.ClusterState)
}

// FollowerKinds are the message kinds that a Follower handles.
var FollowerKinds = []wire.Kind{wire.KindClusterState, wire.KindClusterStateDelta, wire.KindCompressed, wire.KindDigest, wire.KindReply}

// Follower holds the newest cluster state received from any parent. It implements
// link.Events for FollowerKinds.
type Follower struct {
	o          FollowOptions
	actor      *actor.Actor
	subscriber *subscriber
	peers      map[string]Peer
	calls      *Calls
	parent     currentParent
	events     link.Events

	cancelDial    context.CancelFunc
	dialed        string // candidate being dialed or connected
	clusterState  atomic.Pointer[wire.ClusterState]
	inForce       atomic.Pointer[wire.ClusterState]
	freshAt       atomic.Int64 // Unix nanoseconds of the last fresh digest
	wakeDelivery  chan struct{}
	stop          context.CancelFunc
	done          context.Context
	timer         *time.Timer
	reportPending atomic.Bool // a subtreeReportDue message is scheduled
	state         atomic.Pointer[FollowerState]
}

// FollowerState is the state of a follower in the state dump and in metrics.
type FollowerState struct {
	Parent        string `json:"parent"` // empty while no parent is connected
	Index         uint64 `json:"index"`
	ConfigVersion uint64 `json:"config_version"`
	// Refused counts messages that could not be applied or would have lowered a
	// version.
	Refused int  `json:"refused"`
	Fresh   bool `json:"fresh"`
}

type (
	followStart      struct{}
	checkDue         struct{}
	subtreeReportDue struct{}
	peerUp           struct{ peer Peer }
	dialFailed       struct{ name string }
)

// Follow starts a follower.
func Follow(o FollowOptions) *Follower {
	if o.System == nil {
		o.System = actor.NewSystem()
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
	f.timer = time.AfterFunc(time.Hour, func() { _ = f.offerBlocking(checkDue{}) })
	ranked := Rank(o.Local.Process, o.Local.Zone, o.Candidates)
	f.subscriber = newSubscriber(ranked, !o.Dial, f.subtreeVersions, failbackJitterOf(o.Local.Process))
	f.actor = o.System.Start("propagate-follower", followerMailbox, actor.HandlerFunc(f.receive))
	if o.Downstream != nil {
		o.Downstream.setSource(f)
	}
	f.state.Store(&FollowerState{})
	f.observe(o.Observer)
	go f.deliverLoop()
	_ = f.actor.Offer(followStart{})
	return f
}

// failbackJitterOf returns a delay of up to 30 s that depends on the name of the
// process, so that children do not all return to their first choice at once.
func failbackJitterOf(process string) time.Duration {
	h := fnv.New32a()
	_, _ = h.Write([]byte(process))
	return time.Duration(h.Sum32()%30000) * time.Millisecond
}

// ClusterState returns the newest cluster state, or nil before the first one.
func (f *Follower) ClusterState() *wire.ClusterState { return f.clusterState.Load() }

// Fresh reports whether a digest from a parent in contact with the control leader
// has arrived within freshTimeout.
func (f *Follower) Fresh() bool {
	return time.Since(time.Unix(0, f.freshAt.Load())) <= freshTimeout
}

// Stop stops the follower and closes the connection it dialed.
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
func (f *Follower) Up(c *link.Conn) { f.Connected(c) }

// Message implements link.Events.
func (f *Follower) Message(c *link.Conn, m wire.Message) { f.Receive(c, m) }

// Down implements link.Events.
func (f *Follower) Down(c *link.Conn, _ error) { f.Lost(c) }

// Connected handles a new connection to a candidate. Connections to other processes
// are ignored.
func (f *Follower) Connected(peer Peer) {
	if f.subscriber.candidateRank(peer.Peer().Process) < 0 {
		return
	}
	if f.offerBlocking(peerUp{peer: peer}) == actor.ErrStopped && f.o.Dial {
		peer.Close(link.ErrClosed)
	}
}

// Receive handles a message from a candidate.
func (f *Follower) Receive(peer Peer, m wire.Message) {
	if reply, ok := m.(*wire.Reply); ok {
		f.calls.Answer(peer, reply)
		return
	}
	if f.actor.Offer(peerMessage{peer: peer, message: m}) == actor.ErrFull {
		peer.Close(errMailboxFull)
	}
}

// Lost handles the end of a connection.
func (f *Follower) Lost(peer Peer) {
	f.calls.Lost(peer)
	if f.subscriber.candidateRank(peer.Peer().Process) >= 0 {
		_ = f.offerBlocking(peerDown{peer: peer})
	}
}

// offerBlocking queues msg and blocks while the mailbox is full. A dropped connection
// event would leave the follower with a wrong view of the connection.
func (f *Follower) offerBlocking(msg any) error {
	for {
		err := f.actor.Offer(msg)
		if err != actor.ErrFull {
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
	case checkDue:
		f.perform(f.subscriber.tick(now))
	case subtreeReportDue:
		f.reportPending.Store(false)
		f.subscriber.reportDue = true
		f.perform(f.subscriber.tick(now))
	case peerUp:
		f.addPeer(now, m.peer)
	case peerDown:
		f.removePeer(now, m.peer)
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

func (f *Follower) addPeer(now time.Time, peer Peer) {
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

func (f *Follower) removePeer(now time.Time, peer Peer) {
	name := peer.Peer().Process
	if f.peers[name] != peer {
		return
	}
	delete(f.peers, name)
	f.perform(f.subscriber.disconnected(now, name))
}

// perform carries out the actions returned by the subscriber.
func (f *Follower) perform(a actions) {
	if a.clusterState != nil {
		f.publish(a.clusterState)
	}
	if a.connectTo != nil {
		f.startDial(*a.connectTo, a.connectDelay)
	}
	for _, m := range a.send {
		f.sendTo(m)
	}
	f.freshAt.Store(f.subscriber.freshAt.UnixNano())
	f.parent.set(f.peers[f.subscriber.parentName()])
	f.updateState()
	f.resetTimer(time.Now())
}

// updateState stores the state for other goroutines and logs changes.
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
		log.Warnf("rejected a message from parent %q", now.Parent)
	}
}

// State returns the current state of the follower.
func (f *Follower) State() FollowerState {
	s := *f.state.Load()
	s.Fresh = f.Fresh()
	return s
}

func (f *Follower) publish(cs *wire.ClusterState) {
	f.clusterState.Store(cs)
	if f.o.Downstream != nil {
		f.o.Downstream.Publish(cs)
	}
	select {
	case f.wakeDelivery <- struct{}{}:
	default:
	}
}

func (f *Follower) sendTo(m outboundMessage) {
	peer := f.peers[m.to]
	if peer == nil {
		return
	}
	if err := peer.Send(m.message); err != nil {
		peer.Close(err)
	}
}

// startDial closes the present connections and starts to dial c after the delay and
// some jitter.
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

// deliverLoop calls OnClusterState with the newest cluster state.
func (f *Follower) deliverLoop() {
	var last uint64
	for {
		select {
		case <-f.wakeDelivery:
		case <-f.done.Done():
			return
		}
		cs := f.clusterState.Load()
		if f.o.OnClusterState == nil || cs.Index <= last {
			continue
		}
		last = cs.Index
		f.o.OnClusterState(cs)
		f.inForce.Store(cs)
		f.subtreeChanged()
	}
}

// subtreeVersions returns the configuration versions in force in this process and
// those below it. A cluster state is in force once OnClusterState has returned for
// it, or at once without OnClusterState.
func (f *Follower) subtreeVersions() []wire.VersionCount {
	cs := f.inForce.Load()
	if f.o.OnClusterState == nil {
		cs = f.clusterState.Load()
	}
	var own, below []wire.VersionCount
	if cs != nil {
		own = []wire.VersionCount{{Version: cs.ConfigVersion, Count: 1}}
	}
	if f.o.Downstream != nil {
		below = f.o.Downstream.Counts()
	}
	return SumCounts(own, below)
}

// subtreeChanged schedules a report of the versions in the subtree, one for all
// changes within minCheckPeriod.
func (f *Follower) subtreeChanged() {
	if !f.reportPending.Swap(true) {
		time.AfterFunc(minCheckPeriod, func() { _ = f.offerBlocking(subtreeReportDue{}) })
	}
}

// resetTimer schedules the next check. Each message postpones it, so that a follower
// with a fresh parent is not woken by the timer: periodic ticks cost more CPU time
// than the messages.
func (f *Follower) resetTimer(now time.Time) {
	wait, ok := f.subscriber.nextCheck(now)
	if !ok {
		f.timer.Stop()
		return
	}
	f.timer.Reset(max(wait, minCheckPeriod))
}
