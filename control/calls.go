package control

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"merlinhall/propagate"
	"merlinhall/wire"
)

// receiveCall carries out or forwards the call of another process.
func (c *Control) receiveCall(peer propagate.Peer, call *wire.Call) {
	select {
	case c.slots <- struct{}{}:
	default:
		_ = peer.Send(&wire.Reply{ID: call.ID, Outcome: wire.CallRejected, Error: "control is busy"})
		return
	}
	go func() {
		defer func() { <-c.slots }()
		ctx, cancel := context.WithTimeout(c.done, propagate.CallTimeout(call))
		defer cancel()
		if err := peer.Send(c.Call(ctx, call)); err != nil {
			_ = peer.Send(&wire.Reply{ID: call.ID, Outcome: wire.CallUnknown, Error: err.Error()})
		}
	}()
}

// Call carries out a call when this replica leads and forwards it to the leader
// otherwise. While no leader is known it waits until ctx ends. The reply has the
// id of the call.
func (c *Control) Call(ctx context.Context, call *wire.Call) *wire.Reply {
	if _, ok := ctx.Deadline(); !ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, callTimeout)
		defer cancel()
	}
	for {
		reply := *c.try(ctx, call)
		reply.ID = call.ID
		if reply.Outcome != wire.CallNoLeader || call.Hops > 0 {
			return &reply
		}
		select {
		case <-time.After(retryPeriod):
		case <-ctx.Done():
			return &reply
		}
	}
}

// try makes one attempt to have a call carried out.
func (c *Control) try(ctx context.Context, call *wire.Call) *wire.Reply {
	st := c.o.Log.Status()
	if st.Leading {
		return c.carryOut(ctx, call)
	}
	if call.Hops > 0 || st.Leader == "" {
		return noLeader("no leader is known")
	}
	peer, ok := c.o.Peer(st.Leader)
	if !ok {
		return noLeader("no connection to the leader " + st.Leader)
	}
	forwarded := *call
	forwarded.Hops++
	reply, err := c.calls.Do(ctx, peer, &forwarded)
	if err != nil {
		return noLeader(err.Error())
	}
	return reply
}

func noLeader(reason string) *wire.Reply {
	return &wire.Reply{Outcome: wire.CallNoLeader, Error: reason}
}

func (c *Control) carryOut(ctx context.Context, call *wire.Call) *wire.Reply {
	h := c.handler(call.Method)
	if h == nil {
		return &wire.Reply{Outcome: wire.CallRejected, Error: "no method " + call.Method}
	}
	body, err := h(ctx, call.Body)
	if err != nil {
		return &wire.Reply{Outcome: outcomeOf(err), Error: err.Error()}
	}
	return &wire.Reply{Outcome: wire.CallOK, Body: body}
}

// outcomeOf classifies the error of a handler.
func outcomeOf(err error) wire.CallOutcome {
	switch {
	case eris.Is(err, ErrNotLeader):
		return wire.CallNoLeader
	case eris.Is(err, ErrUnknownOutcome), eris.Is(err, context.DeadlineExceeded), eris.Is(err, context.Canceled):
		return wire.CallUnknown
	}
	return wire.CallRejected
}

// barrier is the call "barrier": a confirmed read of the world's index.
func (c *Control) barrier(ctx context.Context, _ []byte) ([]byte, error) {
	term, err := c.Confirm(ctx)
	if err != nil {
		return nil, err
	}
	reply := wire.BarrierReply{Term: term}
	if w := c.o.Machine.World(); w != nil {
		reply.Index = w.Index
	}
	return wire.Marshal(&reply)
}

// publishWeights is the call "weights.publish".
func (c *Control) publishWeights(ctx context.Context, body []byte) ([]byte, error) {
	var p wire.PublishWeights
	if err := wire.Unmarshal(body, &p); err != nil {
		return nil, eris.Wrapf(ErrRejected, "%v", err)
	}
	result, err := c.PublishWeights(ctx, p)
	if err != nil {
		return nil, err
	}
	return wire.Marshal(result)
}

// PublishWeights commits a weight version of a pool, on the leader. The version
// is in the world when the result's Refused is empty.
func (c *Control) PublishWeights(ctx context.Context, p wire.PublishWeights) (*wire.PublishedWeights, error) {
	body, err := wire.Marshal(&p)
	if err != nil {
		return nil, err
	}
	result, err := c.Propose(ctx, "weights", p.RequestID, body)
	return resultAs[*wire.PublishedWeights](result, err)
}

// resultAs returns the result of a command as its type. A result that is an
// error means that the command changed nothing.
func resultAs[T any](result any, err error) (T, error) {
	var zero T
	if err != nil {
		return zero, err
	}
	if failure, ok := result.(error); ok {
		return zero, failure
	}
	typed, ok := result.(T)
	if !ok {
		return zero, eris.Wrapf(ErrRejected, "result is %T", result)
	}
	return typed, nil
}

// Local makes calls from the process of a control replica, as a
// propagate.Follower makes them from other processes.
type Local struct{ c *Control }

// Local returns the caller of this process.
func (c *Control) Local() Local { return Local{c: c} }

// Call sends a request to the control leader. It has no error: a call that was
// not sent is answered with CallNoLeader.
func (l Local) Call(ctx context.Context, method string, body []byte) (*wire.Reply, error) {
	return l.c.Call(ctx, &wire.Call{Method: method, Body: body}), nil
}

// Barrier returns the term of the leader and the index of the newest world, both
// confirmed after the call began.
func (l Local) Barrier(ctx context.Context) (term, index uint64, err error) {
	return propagate.BarrierResult(l.c.Call(ctx, &wire.Call{Method: "barrier"}))
}

// World returns the world of the applied state, or nil.
func (l Local) World() *wire.World { return l.c.o.Machine.World() }
