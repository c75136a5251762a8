package propagate

import (
	"context"
	"strconv"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"merlinhall/wire"
)

const (
	// maxCalls bounds the calls of a process that wait for their replies.
	maxCalls = 4096
	// replyMargin is taken from the time left for a call, so that the reply of
	// the next process still arrives.
	replyMargin = 20 * time.Millisecond
)

// ErrNotSent is wrapped by the errors of Follower.Call: the call was certainly
// not carried out.
var ErrNotSent = eris.New("call was not sent")

// Calls matches replies to the calls of one process.
type Calls struct {
	mu      sync.Mutex
	next    uint64
	waiting map[string]waitingCall
}

type waitingCall struct {
	peer  Peer
	reply chan *wire.Reply
}

// NewCalls returns a Calls without calls.
func NewCalls() *Calls { return &Calls{waiting: make(map[string]waitingCall)} }

// Answer hands a reply to its caller.
func (c *Calls) Answer(reply *wire.Reply) {
	if w, ok := c.take(reply.ID); ok {
		w.reply <- reply
	}
}

func (c *Calls) take(id string) (waitingCall, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	w, ok := c.waiting[id]
	delete(c.waiting, id)
	return w, ok
}

// Lost ends the calls sent to peer: their outcome is unknown.
func (c *Calls) Lost(peer Peer) {
	c.fail(func(w waitingCall) bool { return w.peer == peer })
}

// Stop ends all calls.
func (c *Calls) Stop() {
	c.fail(func(waitingCall) bool { return true })
}

func (c *Calls) fail(match func(waitingCall) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, w := range c.waiting {
		if match(w) {
			delete(c.waiting, id)
			w.reply <- unknownReply(id, "connection to the parent ended")
		}
	}
}

func unknownReply(id, reason string) *wire.Reply {
	return &wire.Reply{ID: id, Outcome: wire.CallUnknown, Error: reason}
}

// Do sends call to peer under an id of its own and waits for the reply. An error
// wraps ErrNotSent.
func (c *Calls) Do(ctx context.Context, peer Peer, call *wire.Call) (*wire.Reply, error) {
	sent := *call
	w := waitingCall{peer: peer, reply: make(chan *wire.Reply, 1)}
	var err error
	if sent.ID, err = c.add(w); err != nil {
		return nil, err
	}
	sent.TimeoutMs = timeLeft(ctx)
	if err := peer.Send(&sent); err != nil {
		c.take(sent.ID)
		return nil, eris.Wrapf(ErrNotSent, "%v", err)
	}
	select {
	case reply := <-w.reply:
		return reply, nil
	case <-ctx.Done():
		c.take(sent.ID)
		return unknownReply(call.ID, "no reply in time"), nil
	}
}

func (c *Calls) add(w waitingCall) (string, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.waiting) >= maxCalls {
		return "", eris.Wrapf(ErrNotSent, "%d calls wait already", maxCalls)
	}
	c.next++
	id := strconv.FormatUint(c.next, 36)
	c.waiting[id] = w
	return id, nil
}

func timeLeft(ctx context.Context) uint32 {
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

// Call sends a request to the control leader. An error wraps ErrNotSent: the
// call was certainly not carried out. A reply with CallUnknown may or may not
// have been carried out. Without a deadline of ctx, 5 s are allowed.
func (f *Follower) Call(ctx context.Context, method string, body []byte) (*wire.Reply, error) {
	ctx, cancel := withDefaultTimeout(ctx)
	defer cancel()
	return f.send(ctx, &wire.Call{Method: method, Body: body})
}

// send waits for a parent and sends the call to it.
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
// world, both confirmed by a quorum after the call began. An error means that
// nothing is known.
func (f *Follower) Barrier(ctx context.Context) (term, index uint64, err error) {
	reply, err := f.Call(ctx, "barrier", nil)
	if err != nil {
		return 0, 0, err
	}
	return BarrierResult(reply)
}

// BarrierResult reads the reply to the call "barrier".
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

// parentCell holds the connection to the present parent.
type parentCell struct {
	mu      sync.Mutex
	peer    Peer
	changed chan struct{} // closed when peer changes
}

func (p *parentCell) set(peer Peer) {
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

func (p *parentCell) get() (Peer, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.changed == nil {
		p.changed = make(chan struct{})
	}
	return p.peer, p.changed
}

// wait returns the present parent, once there is one. An error wraps ErrNotSent.
func (p *parentCell) wait(ctx context.Context) (Peer, error) {
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
