// Package propagate brings the world from the control replicas to every process
// over a tree: control replicas, entries, agents. A Parent sends deltas or
// snapshots to its children; a Follower holds the newest world of any parent and
// never an older one. Calls go up the tree to the control leader, and the
// versions in force are summed up on the way.
package propagate

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"merlinhall/duty"
	"merlinhall/link"
	"merlinhall/wire"
)

const (
	// digestPeriod is the time between two digests to a child.
	digestPeriod = 1 * time.Second
	// flushPeriod is the shortest time between two worlds sent to a child, so
	// that a burst of changes is sent as a few deltas.
	flushPeriod = 50 * time.Millisecond
	// parentMailbox holds a message of each of a few thousand children.
	parentMailbox = 8192
	// maxChildren bounds the subscriptions of one parent. A fleet of 2,600
	// agents may land on one control replica when all entries are lost.
	maxChildren = 4096
	// maxRelayedCalls bounds the calls that a parent passes up at one time.
	maxRelayedCalls = 1024
	// defaultCallTimeout is used for a call that names none.
	defaultCallTimeout = 5 * time.Second
)

var (
	errMailboxFull     = eris.New("propagate: mailbox is full")
	errTooManyChildren = eris.New("propagate: parent has too many children")
)

// Peer is the end of a link as this package uses it; *link.Conn satisfies it.
type Peer interface {
	Peer() wire.Hello
	Send(m wire.Message) error
	SendFrame(frame []byte) error
	Close(reason error)
}

// Upstream carries calls towards the control leader.
type Upstream interface {
	Forward(ctx context.Context, call *wire.Call) *wire.Reply
}

// ParentOptions configures a Parent. All fields are optional.
type ParentOptions struct {
	System *duty.System
	// Fresh reports whether the process has recent word of the control leader.
	// Digests are marked stale while it is false.
	Fresh func() bool
	// Upstream receives the calls of children.
	Upstream Upstream
}

// Parent sends the world to the processes that subscribe to it. It implements
// link.Events for KindSubscribe, KindHolding and KindCall.
type Parent struct {
	actor      *duty.Duty
	publisher  *publisher[Peer]
	fresh      atomic.Pointer[func() bool]
	upstream   atomic.Pointer[Upstream]
	relaySlots chan struct{}

	counts          atomic.Pointer[[]wire.VersionCount]
	children        atomic.Int64
	onCountsChanged atomic.Pointer[func()]

	latest       atomic.Pointer[wire.World] // newest world given to Publish
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

// NewParent starts a parent that holds no world yet.
func NewParent(o ParentOptions) *Parent {
	system := o.System
	if system == nil {
		system = duty.NewSystem()
	}
	p := &Parent{publisher: newPublisher[Peer](), relaySlots: make(chan struct{}, maxRelayedCalls)}
	p.counts.Store(&[]wire.VersionCount{})
	if o.Fresh != nil {
		p.fresh.Store(&o.Fresh)
	}
	if o.Upstream != nil {
		p.upstream.Store(&o.Upstream)
	}
	p.actor = system.Start("propagate-parent", parentMailbox, duty.HandlerFunc(p.receive))
	p.actor.Every(digestPeriod, digestTick{})
	return p
}

// Publish gives the parent a newer world. A world that is not newer is ignored.
// When the mailbox is full the world is sent with the next digest.
func (p *Parent) Publish(w *wire.World) {
	for {
		old := p.latest.Load()
		if old != nil && old.Index >= w.Index {
			return
		}
		if p.latest.CompareAndSwap(old, w) {
			break
		}
	}
	_ = p.actor.Offer(publishRequested{})
}

// Counts returns how many processes below hold each configuration version,
// highest version first.
func (p *Parent) Counts() []wire.VersionCount { return *p.counts.Load() }

// Children returns the number of subscribed children.
func (p *Parent) Children() int { return int(p.children.Load()) }

// Stop ends the parent. Connections stay open.
func (p *Parent) Stop() { p.actor.Stop() }

// ParentKinds are the kinds of messages that a Parent handles.
var ParentKinds = []wire.Kind{wire.KindSubscribe, wire.KindHolding, wire.KindCall}

// Up implements link.Events.
func (p *Parent) Up(*link.Conn) {}

// Message implements link.Events.
func (p *Parent) Message(c *link.Conn, m wire.Message) { p.Receive(c, m) }

// Down implements link.Events.
func (p *Parent) Down(c *link.Conn, _ error) { p.Lost(c) }

// Receive handles a message of a child.
func (p *Parent) Receive(peer Peer, m wire.Message) {
	if call, ok := m.(*wire.Call); ok {
		p.relayCall(peer, call)
		return
	}
	if p.actor.Offer(peerMessage{peer: peer, message: m}) != nil {
		peer.Close(errMailboxFull)
	}
}

// Lost removes a child whose connection has ended. It waits for room in the
// mailbox, because a lost removal would leave the child in the counts.
func (p *Parent) Lost(peer Peer) {
	for p.actor.Offer(peerDown{peer: peer}) == duty.ErrFull {
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
	case *wire.Holding:
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

// publish sends the newest world now, or with the next flush when the last one
// was just before.
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
	w := p.latest.Load()
	if w == nil {
		return
	}
	out := p.publisher.publish(w)
	if len(out) > 0 {
		p.lastFlush = now
	}
	p.sendAll(out)
}

// offerFlush tries until the mailbox has room, so that waiting is cleared.
func (p *Parent) offerFlush() {
	if p.actor.Offer(flushDue{}) == duty.ErrFull {
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

// relayCall passes a call up and its reply down.
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

// CallTimeout returns how long a call may take.
func CallTimeout(call *wire.Call) time.Duration {
	if call.TimeoutMs == 0 {
		return defaultCallTimeout
	}
	return time.Duration(call.TimeoutMs) * time.Millisecond
}

// setSource makes f the source of this parent: its calls go up through f, its
// digests are fresh while f is, and changes below are reported by f.
func (p *Parent) setSource(f *Follower) {
	var up Upstream = f
	p.upstream.Store(&up)
	fresh := f.Fresh
	p.fresh.Store(&fresh)
	changed := f.subtreeChanged
	p.onCountsChanged.Store(&changed)
}
