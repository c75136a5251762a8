// Package propagate distributes the cluster state from the control replicas to
// every process over a tree: control replicas, entries, agents. A Parent sends
// deltas or snapshots to its children. A Follower keeps the newest cluster state
// received from any parent and never replaces it by an older one. Calls travel up
// the tree to the control leader; the counts of configuration versions in force
// are aggregated on the way up.
package propagate

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"merlinhall/actor"
	"merlinhall/link"
	"merlinhall/wire"
)

const (
	// digestPeriod is the interval between digests to a child.
	digestPeriod = 1 * time.Second
	// flushPeriod is the minimum interval between cluster states sent to a child,
	// so that a burst of changes is sent as a few deltas.
	flushPeriod = 50 * time.Millisecond
	// parentMailbox has room for two messages from each of maxChildren children.
	parentMailbox = 8192
	// maxChildren bounds the subscriptions of one parent. All 2,600 agents of a
	// fleet may subscribe to one control replica when all entries are lost.
	maxChildren = 4096
	// maxRelayedCalls bounds the calls that a parent forwards concurrently.
	maxRelayedCalls = 1024
	// defaultCallTimeout applies to a call without a timeout.
	defaultCallTimeout = 5 * time.Second
)

var (
	errMailboxFull     = eris.New("propagate: mailbox is full")
	errTooManyChildren = eris.New("propagate: parent has too many children")
)

// Peer is a connection to another process. *link.Conn implements it.
type Peer interface {
	Peer() wire.Hello
	Send(m wire.Message) error
	SendFrame(frame []byte) error
	Close(reason error)
}

// Upstream forwards calls towards the control leader.
type Upstream interface {
	Forward(ctx context.Context, call *wire.Call) *wire.Reply
}

// ParentOptions configures a Parent. All fields are optional.
type ParentOptions struct {
	System *actor.System
	// Fresh reports whether the process has heard from the control leader
	// recently. Digests are marked stale while it returns false.
	Fresh func() bool
	// Upstream receives the calls from children.
	Upstream Upstream
}

// Parent sends the cluster state to the processes subscribed to it. It implements
// link.Events for ParentKinds.
type Parent struct {
	actor      *actor.Actor
	publisher  *publisher[Peer]
	fresh      atomic.Pointer[func() bool]
	upstream   atomic.Pointer[Upstream]
	relaySlots chan struct{} // semaphore of maxRelayedCalls

	counts          atomic.Pointer[[]wire.VersionCount]
	children        atomic.Int64
	onCountsChanged atomic.Pointer[func()]

	latest       atomic.Pointer[wire.ClusterState] // newest cluster state passed to Publish
	lastFlush    time.Time
	flushPending bool
}

type (
	peerDown    struct{ peer Peer }
	peerMessage struct {
		peer    Peer
		message wire.Message
	}
	publishRequested struct{}
	flushDue         struct{}
	digestTick       struct{}
)

// NewParent starts a parent without a cluster state.
func NewParent(o ParentOptions) *Parent {
	system := o.System
	if system == nil {
		system = actor.NewSystem()
	}
	p := &Parent{publisher: newPublisher[Peer](), relaySlots: make(chan struct{}, maxRelayedCalls)}
	p.counts.Store(&[]wire.VersionCount{})
	if o.Fresh != nil {
		p.fresh.Store(&o.Fresh)
	}
	if o.Upstream != nil {
		p.upstream.Store(&o.Upstream)
	}
	p.actor = system.Start("propagate-parent", parentMailbox, actor.HandlerFunc(p.receive))
	p.actor.Every(digestPeriod, digestTick{})
	return p
}

// Publish passes a newer cluster state to the parent. One that is not newer is
// ignored. When the mailbox is full, it is sent with the next digest.
func (p *Parent) Publish(cs *wire.ClusterState) {
	for {
		old := p.latest.Load()
		if old != nil && old.Index >= cs.Index {
			return
		}
		if p.latest.CompareAndSwap(old, cs) {
			break
		}
	}
	_ = p.actor.Offer(publishRequested{})
}

// Counts returns in how many processes below this one each configuration version is in
// force, highest version first.
func (p *Parent) Counts() []wire.VersionCount { return *p.counts.Load() }

// Children returns the number of subscribed children.
func (p *Parent) Children() int { return int(p.children.Load()) }

// Stop stops the parent. Connections stay open.
func (p *Parent) Stop() { p.actor.Stop() }

// ParentKinds are the message kinds that a Parent handles.
var ParentKinds = []wire.Kind{wire.KindSubscribe, wire.KindVersionReport, wire.KindCall}

// Up implements link.Events.
func (p *Parent) Up(*link.Conn) {}

// Message implements link.Events.
func (p *Parent) Message(c *link.Conn, m wire.Message) { p.Receive(c, m) }

// Down implements link.Events.
func (p *Parent) Down(c *link.Conn, _ error) { p.Lost(c) }

// Receive handles a message from a child.
func (p *Parent) Receive(peer Peer, m wire.Message) {
	if call, ok := m.(*wire.Call); ok {
		p.relayCall(peer, call)
		return
	}
	if p.actor.Offer(peerMessage{peer: peer, message: m}) != nil {
		peer.Close(errMailboxFull)
	}
}

// Lost removes a child whose connection has ended. It blocks while the mailbox is
// full, because a dropped removal would leave the child in the counts.
func (p *Parent) Lost(peer Peer) {
	for p.actor.Offer(peerDown{peer: peer}) == actor.ErrFull {
		time.Sleep(flushPeriod)
	}
}

func (p *Parent) receive(msg any) {
	switch m := msg.(type) {
	case peerMessage:
		p.handleMessage(m.peer, m.message)
	case peerDown:
		p.publisher.remove(m.peer)
		p.updateCounts()
	case publishRequested:
		p.publish(time.Now())
	case flushDue:
		p.flushPending = false
		p.flush(time.Now())
	case digestTick:
		p.publish(time.Now())
		fresh := p.fresh.Load()
		p.publisher.stale = fresh != nil && !(*fresh)()
		p.sendAll(p.publisher.periodicDigests())
	}
}

func (p *Parent) handleMessage(peer Peer, msg wire.Message) {
	switch m := msg.(type) {
	case *wire.Subscribe:
		if len(p.publisher.children) >= maxChildren && p.publisher.children[peer] == nil {
			peer.Close(errTooManyChildren)
			return
		}
		p.sendAll(p.publisher.subscribe(peer, m))
		p.updateCounts()
	case *wire.VersionReport:
		if p.publisher.setChildCounts(peer, m) {
			p.updateCounts()
		}
	}
}

func (p *Parent) updateCounts() {
	counts := p.publisher.counts()
	p.counts.Store(&counts)
	p.children.Store(int64(len(p.publisher.children)))
	if f := p.onCountsChanged.Load(); f != nil {
		(*f)()
	}
}

// publish sends the newest cluster state, at once or, when the last flush was less
// than flushPeriod ago, with a delayed flush.
func (p *Parent) publish(now time.Time) {
	wait := flushPeriod - now.Sub(p.lastFlush)
	if wait <= 0 {
		p.flush(now)
		return
	}
	if !p.flushPending {
		p.flushPending = true
		time.AfterFunc(wait, p.offerFlush)
	}
}

func (p *Parent) flush(now time.Time) {
	cs := p.latest.Load()
	if cs == nil {
		return
	}
	out := p.publisher.publish(cs)
	if len(out) > 0 {
		p.lastFlush = now
	}
	p.sendAll(out)
}

// offerFlush queues a flush and retries while the mailbox is full. Without the retry
// flushPending would stay set and no delayed flush would run again.
func (p *Parent) offerFlush() {
	if p.actor.Offer(flushDue{}) == actor.ErrFull {
		time.AfterFunc(flushPeriod, p.offerFlush)
	}
}

func (p *Parent) sendAll(out []outgoing[Peer]) {
	for _, o := range out {
		if err := o.to.SendFrame(o.frame); err != nil {
			o.to.Close(err)
		}
	}
}

// relayCall forwards a call upstream and sends the reply to the child.
func (p *Parent) relayCall(peer Peer, call *wire.Call) {
	up := p.upstream.Load()
	if up == nil {
		_ = peer.Send(&wire.Reply{ID: call.ID, Outcome: wire.CallNoLeader, Error: "parent has no way to the control leader"})
		return
	}
	select {
	case p.relaySlots <- struct{}{}:
	default:
		_ = peer.Send(&wire.Reply{ID: call.ID, Outcome: wire.CallRejected, Error: "parent passes on too many calls"})
		return
	}
	go func() {
		defer func() { <-p.relaySlots }()
		ctx, cancel := context.WithTimeout(context.Background(), CallTimeout(call))
		defer cancel()
		reply := *(*up).Forward(ctx, call)
		reply.ID = call.ID
		_ = peer.Send(&reply)
	}()
}

// CallTimeout returns the timeout of a call, or the default when it has none.
func CallTimeout(call *wire.Call) time.Duration {
	if call.TimeoutMs == 0 {
		return defaultCallTimeout
	}
	return time.Duration(call.TimeoutMs) * time.Millisecond
}

// setSource makes f the source of this parent: calls are forwarded through f,
// digests are fresh while f is, and f is notified of changes of the counts.
func (p *Parent) setSource(f *Follower) {
	var up Upstream = f
	p.upstream.Store(&up)
	fresh := f.Fresh
	p.fresh.Store(&fresh)
	changed := f.subtreeChanged
	p.onCountsChanged.Store(&changed)
}
