package control

import (
	"context"
	"slices"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"merlinhall/propagate"
	"merlinhall/wire"
)

// adminMethod is the method by which control replicas forward administration API
// requests. The replica that received the request has already checked its token.
const adminMethod = "admin"

// receiveCall executes or forwards a call from another process.
func (c *Control) receiveCall(peer propagate.Peer, call *wire.Call) {
	if call.Method == adminMethod && !slices.Contains(c.options.Peers, peer.Peer().Process) {
		_ = peer.Send(&wire.Reply{ID: call.ID, Outcome: wire.CallRejected, Error: "only control replicas may forward administration requests"})
		return
	}
	select {
	case c.callSlots <- struct{}{}:
	default:
		_ = peer.Send(&wire.Reply{ID: call.ID, Outcome: wire.CallRejected, Error: "control is busy"})
		return
	}
	go func() {
		defer func() { <-c.callSlots }()
		ctx, cancel := context.WithTimeout(c.runCtx, propagate.CallTimeout(call))
		defer cancel()
		if err := peer.Send(c.Call(ctx, call)); err != nil {
			_ = peer.Send(&wire.Reply{ID: call.ID, Outcome: wire.CallUnknown, Error: err.Error()})
		}
	}()
}

// Call executes a call if this replica is the leader and otherwise forwards it to the
// leader. While no leader is known it retries until ctx ends, or for leaderlessWait if
// none has been known for leaderlessLimit. The reply has the ID of the call.
func (c *Control) Call(ctx context.Context, call *wire.Call) *wire.Reply {
	if _, ok := ctx.Deadline(); !ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, callTimeout)
		defer cancel()
	}
	began := time.Now()
	for {
		reply := *c.attempt(ctx, call)
		reply.ID = call.ID
		if reply.Outcome != wire.CallNoLeader || call.Hops > 0 || c.cutOff(time.Now(), began) {
			return &reply
		}
		select {
		case <-time.After(retryPeriod):
		case <-ctx.Done():
			return &reply
		}
	}
}

// attempt executes or forwards a call once, without retries.
func (c *Control) attempt(ctx context.Context, call *wire.Call) *wire.Reply {
	st := c.options.Log.Status()
	if st.Leading {
		return c.execute(ctx, call)
	}
	if call.Hops > 0 || st.Leader == "" {
		return noLeaderReply("no leader is known")
	}
	peer, ok := c.options.Peer(st.Leader)
	if !ok {
		return noLeaderReply("no connection to the leader " + st.Leader)
	}
	forwarded := *call
	forwarded.Hops++
	ctx, cancel := c.leader.UntilOther(ctx, st.Leader)
	defer cancel()
	reply, err := c.calls.Do(ctx, peer, &forwarded)
	if err != nil {
		return noLeaderReply(err.Error())
	}
	return reply
}

func noLeaderReply(reason string) *wire.Reply {
	return &wire.Reply{Outcome: wire.CallNoLeader, Error: reason}
}

func (c *Control) execute(ctx context.Context, call *wire.Call) *wire.Reply {
	h := c.handler(call.Method)
	if h == nil {
		return &wire.Reply{Outcome: wire.CallRejected, Error: "no method " + call.Method}
	}
	var body []byte
	var err error
	if failure := c.guard.Run(logrus.Fields{"method": call.Method}, func() { body, err = h(ctx, call.Body) }); failure != nil {
		return &wire.Reply{Outcome: wire.CallUnknown, Error: failure.Error()}
	}
	if err != nil {
		reply := &wire.Reply{Outcome: callOutcome(err), Error: err.Error()}
		var full *FullError
		if eris.As(err, &full) {
			reply.RetryAfterMs = uint32(max(1, full.RetryAfter.Milliseconds()))
		}
		return reply
	}
	return &wire.Reply{Outcome: wire.CallOK, Body: body}
}

// FullError is the error of a call that was rejected because there is no room for what it brings.
// It wraps ErrRejected.
type FullError struct {
	Reason     string
	RetryAfter time.Duration // until there may be room
}

// Error implements error.
func (e *FullError) Error() string { return e.Reason }

// Unwrap returns ErrRejected.
func (*FullError) Unwrap() error { return ErrRejected }

// callOutcome returns the call outcome for a handler's error.
func callOutcome(err error) wire.CallOutcome {
	switch {
	case eris.Is(err, ErrNotLeader):
		return wire.CallNoLeader
	case eris.Is(err, ErrUnknownOutcome), eris.Is(err, context.DeadlineExceeded), eris.Is(err, context.Canceled):
		return wire.CallUnknown
	}
	return wire.CallRejected
}

// barrier handles the method "barrier": a linearizable read of the index of the
// cluster state.
func (c *Control) barrier(ctx context.Context, _ []byte) ([]byte, error) {
	term, err := c.Confirm(ctx)
	if err != nil {
		return nil, err
	}
	reply := wire.BarrierReply{Term: term}
	if state := c.options.Machine.ClusterState(); state != nil {
		reply.Index = state.Index
	}
	return wire.Marshal(&reply)
}

// publishWeights handles the method "weights.publish".
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

// PublishWeights commits a weight version of a pool. It must run on the leader. If
// Refused is empty in the result, the version is in the cluster state.
func (c *Control) PublishWeights(ctx context.Context, p wire.PublishWeights) (*wire.PublishedWeights, error) {
	body, err := wire.Marshal(&p)
	if err != nil {
		return nil, err
	}
	result, err := c.Propose(ctx, "weights", p.RequestID, body)
	return resultAs[*wire.PublishedWeights](result, err)
}

// resultAs converts the result of a command to type T. A result that is an error is
// returned as the error; the command then changed nothing.
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

// LocalCaller makes calls from within a control replica's process. It is the
// counterpart of propagate.Follower in other processes.
type LocalCaller struct{ c *Control }

// Local returns the LocalCaller of this process.
func (c *Control) Local() LocalCaller { return LocalCaller{c: c} }

// Call sends a request to the control leader. The error is always nil: a call that
// could not be sent gets a reply with outcome CallNoLeader.
func (l LocalCaller) Call(ctx context.Context, method string, body []byte) (*wire.Reply, error) {
	return l.c.Call(ctx, &wire.Call{Method: method, Body: body}), nil
}

// Barrier returns the leader's term and the index of the newest cluster state, both
// confirmed after Barrier was called.
func (l LocalCaller) Barrier(ctx context.Context) (term, index uint64, err error) {
	return propagate.BarrierResult(l.c.Call(ctx, &wire.Call{Method: "barrier"}))
}

// ClusterState returns the cluster state as of the last applied command, or nil.
func (l LocalCaller) ClusterState() *wire.ClusterState { return l.c.options.Machine.ClusterState() }
