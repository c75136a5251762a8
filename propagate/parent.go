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
	// maxRelayed bounds the calls that a parent passes up at one time.
	maxRelayed = 1024
	// defaultCallTimeout is used for a call that names none.
	defaultCallTimeout = 5 * time.Second
)

var (
	errMailbox  = eris.New("propagate: mailbox is full")
	errChildren = eris.New("propagate: parent has too many children")
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
	duty     *duty.Duty
	tree     *tree[Peer]
	fresh    atomic.Pointer[func() bool]
	upstream atomic.Pointer[Upstream]
	relayed  chan struct{}

	counts   atomic.Pointer[[]wire.VersionCount]
	children atomic.Int64
	changed  atomic.Pointer[func()]

	latest    atomic.Pointer[wire.World] // newest world given to Publish
	lastFlush time.Time
	waiting   bool
}

type (
	peerDown    struct{ peer Peer }
	peerMessage struct {
		peer    Peer
		message wire.Message
	}
	publishWorld struct{}
	flushWorld   struct{}
	digestTick   struct{}
)

// NewParent starts a parent that holds no world yet.
func NewParent(o ParentOptions) *Parent {
	system := o.System
	if system == nil {
		system = duty.NewSystem()
	}
	p := &Parent{tree: newTree[Peer](), relayed: make(chan struct{}, maxRelayed)}
	p.counts.Store(&[]wire.VersionCount{})
	if o.Fresh != nil {
		p.fresh.Store(&o.Fresh)
	}
	if o.Upstream != nil {
		p.upstream.Store(&o.Upstream)
	}
	p.duty = system.Start("propagate-parent", parentMailbox, duty.HandlerFunc(p.receive))
	p.duty.Every(digestPeriod, digestTick{})
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
	_ = p.duty.Offer(publishWorld{})
}

// Counts returns how many processes below hold each configuration version,
// highest version first.
func (p *Parent) Counts() []wire.VersionCount { return *p.counts.Load() }

// Children returns the number of subscribed children.
func (p *Parent) Children() int { return int(p.children.Load()) }

// Stop ends the parent. Connections stay open.
func (p *Parent) Stop() { p.duty.Stop() }

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
		p.relay(peer, call)
		return
	}
	if p.duty.Offer(peerMessage{peer: peer, message: m}) != nil {
		peer.Close(errMailbox)
	}
}

// Lost removes a child whose connection has ended. It waits for room in the
// mailbox, because a lost removal would leave the child in the counts.
func (p *Parent) Lost(peer Peer) {
	for p.duty.Offer(peerDown{peer: peer}) == duty.ErrFull {
		time.Sleep(flushPeriod)
	}
}

func (p *Parent) receive(msg any) {
	switch m := msg.(type) {
	case peerMessage:
		p.message(m.peer, m.message)
	case peerDown:
		p.tree.remove(m.peer)
		p.recount()
	case publishWorld:
		p.publish(time.Now())
	case flushWorld:
		p.waiting = false
		p.flush(time.Now())
	case digestTick:
		p.publish(time.Now())
		fresh := p.fresh.Load()
		p.tree.stale = fresh != nil && !(*fresh)()
		p.sendAll(p.tree.tick())
	}
}

func (p *Parent) message(peer Peer, msg wire.Message) {
	switch m := msg.(type) {
	case *wire.Subscribe:
		if len(p.tree.children) >= maxChildren && p.tree.children[peer] == nil {
			peer.Close(errChildren)
			return
		}
		p.sendAll(p.tree.subscribe(peer, m))
		p.recount()
	case *wire.Holding:
		if p.tree.holding(peer, m) {
			p.recount()
		}
	}
}

func (p *Parent) recount() {
	counts := p.tree.counts()
	p.counts.Store(&counts)
	p.children.Store(int64(len(p.tree.children)))
	if f := p.changed.Load(); f != nil {
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
	if !p.waiting {
		p.waiting = true
		time.AfterFunc(wait, p.offerFlush)
	}
}

func (p *Parent) flush(now time.Time) {
	w := p.latest.Load()
	if w == nil {
		return
	}
	out := p.tree.publish(w)
	if len(out) > 0 {
		p.lastFlush = now
	}
	p.sendAll(out)
}

// offerFlush tries until the mailbox has room, so that waiting is cleared.
func (p *Parent) offerFlush() {
	if p.duty.Offer(flushWorld{}) == duty.ErrFull {
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

// relay passes a call up and its reply down.
func (p *Parent) relay(peer Peer, call *wire.Call) {
	up := p.upstream.Load()
	if up == nil {
		_ = peer.Send(&wire.Reply{ID: call.ID, Outcome: wire.CallNoLeader, Error: "parent has no way to the control leader"})
		return
	}
	select {
	case p.relayed <- struct{}{}:
	default:
		_ = peer.Send(&wire.Reply{ID: call.ID, Outcome: wire.CallRejected, Error: "parent passes on too many calls"})
		return
	}
	go func() {
		defer func() { <-p.relayed }()
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

// follow makes f the source of this parent: its calls go up through f, its
// digests are fresh while f is, and changes below are reported by f.
func (p *Parent) follow(f *Follower) {
	var up Upstream = f
	p.upstream.Store(&up)
	fresh := f.Fresh
	p.fresh.Store(&fresh)
	changed := f.subtreeChanged
	p.changed.Store(&changed)
}
