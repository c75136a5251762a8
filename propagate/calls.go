package propagate

import (
	"context"
	"fmt"
	"strconv"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"merlinhall/wire"
)

const (
	// maxPendingCalls bounds the calls of a process that wait for a reply.
	maxPendingCalls = 4096
	// replyMargin is subtracted from the remaining time when a call is sent on, so
	// that a reply sent just before the timeout still arrives in time.
	replyMargin = 20 * time.Millisecond
)

// ErrNotSent is wrapped by the errors of Calls.Do and Follower.Call. The call was
// not carried out.
var ErrNotSent = eris.New("call was not sent")

// Calls matches replies to the pending calls of one process.
type Calls struct {
	mu      sync.Mutex
	lastID  uint64
	pending map[string]pendingCall
}

type pendingCall struct {
	peer  Peer
	reply chan *wire.Reply
}

// NewCalls returns an empty Calls.
func NewCalls() *Calls { return &Calls{pending: make(map[string]pendingCall)} }

// Answer passes a reply that came from peer to the caller that waits for it. A reply over
// another connection than its call is ignored: ids are unique to one run of a process.
func (c *Calls) Answer(peer Peer, reply *wire.Reply) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if p, ok := c.pending[reply.ID]; ok && p.peer == peer {
		delete(c.pending, reply.ID)
		p.reply <- reply // the only one, so it does not block
	}
}

func (c *Calls) remove(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.pending, id)
}

// Lost ends the pending calls sent to peer with an unknown outcome.
func (c *Calls) Lost(peer Peer) {
	c.fail(func(p pendingCall) bool { return p.peer == peer })
}

// Stop ends all pending calls with an unknown outcome.
func (c *Calls) Stop() {
	c.fail(func(pendingCall) bool { return true })
}

func (c *Calls) fail(match func(pendingCall) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, p := range c.pending {
		if match(p) {
			delete(c.pending, id)
			p.reply <- unknownReply(id, "connection to the parent ended")
		}
	}
}

func unknownReply(id, reason string) *wire.Reply {
	return &wire.Reply{ID: id, Outcome: wire.CallUnknown, Error: reason}
}

// Do sends call to peer under a new id and waits for the reply. When ctx ends first,
// the reply has the outcome CallUnknown. Errors wrap ErrNotSent.
func (c *Calls) Do(ctx context.Context, peer Peer, call *wire.Call) (*wire.Reply, error) {
	sent := *call
	p := pendingCall{peer: peer, reply: make(chan *wire.Reply, 1)}
	var err error
	if sent.ID, err = c.add(p); err != nil {
		return nil, err
	}
	sent.TimeoutMs = remainingMs(ctx)
	if err := peer.Send(&sent); err != nil {
		c.remove(sent.ID)
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	select {
	case reply := <-p.reply:
		return reply, nil
	case <-ctx.Done():
		c.remove(sent.ID)
		return unknownReply(call.ID, "no reply in time"), nil
	}
}

func (c *Calls) add(p pendingCall) (string, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.pending) >= maxPendingCalls {
		return "", eris.Wrapf(ErrNotSent, "%d calls wait already", maxPendingCalls)
	}
	c.lastID++
	id := strconv.FormatUint(c.lastID, 36)
	c.pending[id] = p
	return id, nil
}

func remainingMs(ctx context.Context) uint32 {
	deadline, ok := ctx.Deadline()
	if !ok {
		return uint32(defaultCallTimeout / time.Millisecond)
	}
	left := time.Until(deadline)
	if left > 2*replyMargin {
		left -= replyMargin
	}
	return uint32(max(left/time.Millisecond, 1))
}

// Call sends a request to the control leader. Errors wrap ErrNotSent: the request
// was not carried out. If the reply's outcome is CallUnknown, it may have been
// carried out. The timeout is 5 s if ctx has no deadline.
func (f *Follower) Call(ctx context.Context, method string, body []byte) (*wire.Reply, error) {
	ctx, cancel := withDefaultTimeout(ctx)
	defer cancel()
	return f.send(ctx, &wire.Call{Method: method, Body: body})
}

// send waits until a parent is connected and sends the call to it.
func (f *Follower) send(ctx context.Context, call *wire.Call) (*wire.Reply, error) {
	peer, err := f.parent.wait(ctx)
	if err != nil {
		return nil, err
	}
	return f.calls.Do(ctx, peer, call)
}

// Forward implements Upstream.
func (f *Follower) Forward(ctx context.Context, call *wire.Call) *wire.Reply {
	reply, err := f.send(ctx, call)
	if err != nil {
		return &wire.Reply{ID: call.ID, Outcome: wire.CallNoLeader, Error: err.Error()}
	}
	return reply
}

// Barrier returns the term of the control leader and the index of the newest
// cluster state, both confirmed by a quorum after the call began. On an
// error both are unknown.
func (f *Follower) Barrier(ctx context.Context) (term, index uint64, err error) {
	reply, err := f.Call(ctx, "barrier", nil)
	if err != nil {
		return 0, 0, err
	}
	return BarrierResult(reply)
}

// BarrierResult decodes the reply to the call "barrier".
func BarrierResult(reply *wire.Reply) (term, index uint64, err error) {
	if reply.Outcome != wire.CallOK {
		return 0, 0, eris.Errorf("barrier: %s: %s", reply.Outcome, reply.Error)
	}
	var b wire.BarrierReply
	if err := wire.Unmarshal(reply.Body, &b); err != nil {
		return 0, 0, err
	}
	return b.Term, b.Index, nil
}

func withDefaultTimeout(ctx context.Context) (context.Context, context.CancelFunc) {
	if _, ok := ctx.Deadline(); ok {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, defaultCallTimeout)
}

// currentParent holds the connection to the current parent.
type currentParent struct {
	mu      sync.Mutex
	peer    Peer
	changed chan struct{} // closed when peer changes
}

func (p *currentParent) set(peer Peer) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.peer == peer {
		return
	}
	p.peer = peer
	if p.changed != nil {
		close(p.changed)
		p.changed = nil
	}
}

func (p *currentParent) get() (Peer, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.changed == nil {
		p.changed = make(chan struct{})
	}
	return p.peer, p.changed
}

// wait waits until there is a parent and returns it. Errors wrap ErrNotSent.
func (p *currentParent) wait(ctx context.Context) (Peer, error) {
	for {
		peer, changed := p.get()
		if peer != nil {
			return peer, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, eris.Wrap(ErrNotSent, "no parent is connected")
		}
	}
}
