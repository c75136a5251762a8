package rollout

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"merlinhall/wire"
)

// Methods of the control calls behind the trainer API.
const (
	MethodOpenStep = "rollout.open_step"
	MethodDraw     = "rollout.draw"
	MethodBody     = "rollout.body"
	MethodAck      = "rollout.ack"
	MethodPublish  = "rollout.publish"
	MethodStatus   = "rollout.status"
)

const (
	// maxLeaderWait bounds how long one draw call waits at the leader. The entry
	// repeats the call until the trainer's wait is over, so a change of leader
	// delays a draw by at most this time.
	maxLeaderWait = 2 * time.Second
	// bodyTimeout bounds the wait for a body that the leader has to fetch.
	bodyTimeout = 3 * time.Second
	// callPartBytes is the size of one chunk of a body in a reply.
	callPartBytes = 4 << 20
)

// DrawCall is the request of MethodDraw.
type DrawCall struct {
	Draw   Draw   `cbor:"1,keyasint"`
	WaitMs uint32 `cbor:"2,keyasint"`
}

// BodyCall is the request of MethodBody: a chunk of the body of one group of an
// unacknowledged draw.
type BodyCall struct {
	Trainer string `cbor:"1,keyasint"`
	Draw    string `cbor:"2,keyasint"`
	Index   int    `cbor:"3,keyasint"`
	Offset  int    `cbor:"4,keyasint"`
}

// BodyReply is the response of MethodBody.
type BodyReply struct {
	Outcome Outcome `cbor:"1,keyasint"`
	Data    []byte  `cbor:"2,keyasint,omitempty"`
	Size    int     `cbor:"3,keyasint"`
}

// Calls registers handlers of control calls. *control.Control implements it.
type Calls interface {
	HandleCall(method string, h func(ctx context.Context, body []byte) ([]byte, error))
}

// Register registers the methods of the trainer API.
func (c *Coordinator) Register(calls Calls) {
	calls.HandleCall(MethodOpenStep, commandCall(c, func(s *OpenStep) Command { return Command{OpenStep: s} }))
	calls.HandleCall(MethodAck, commandCall(c, func(a *Ack) Command { return Command{Ack: a} }))
	calls.HandleCall(MethodPublish, commandCall(c, func(p *Publish) Command { return Command{Publish: p} }))
	calls.HandleCall(MethodDraw, c.drawCall)
	calls.HandleCall(MethodBody, c.bodyCall)
	calls.HandleCall(MethodStatus, c.statusCall)
}

// StatusReply is the response of MethodStatus, whose request is the name of the
// trainer.
type StatusReply struct {
	Outcome Outcome       `cbor:"1,keyasint"`
	Status  TrainerStatus `cbor:"2,keyasint"`
}

func (c *Coordinator) statusCall(_ context.Context, body []byte) ([]byte, error) {
	var trainer string
	if err := wire.Unmarshal(body, &trainer); err != nil {
		return wire.Marshal(StatusReply{Outcome: Outcome{Code: CodeInvalid, Detail: err.Error()}})
	}
	status, ok := c.options.Ledger.Status()[trainer]
	if !ok {
		return wire.Marshal(StatusReply{Outcome: rejectf(CodeNotFound, "trainer %q has no steps", trainer)})
	}
	return wire.Marshal(StatusReply{Outcome: Outcome{Code: CodeOK}, Status: status})
}

// commandCall returns the handler of a call that proposes one command.
func commandCall[T any](c *Coordinator, wrap func(*T) Command) func(context.Context, []byte) ([]byte, error) {
	return func(ctx context.Context, body []byte) ([]byte, error) {
		var request T
		if err := wire.Unmarshal(body, &request); err != nil {
			return wire.Marshal(Outcome{Code: CodeInvalid, Detail: err.Error()})
		}
		outcome, err := c.proposeWait(ctx, wrap(&request))
		if err != nil {
			return nil, err
		}
		return wire.Marshal(outcome)
	}
}

func (c *Coordinator) drawCall(ctx context.Context, body []byte) ([]byte, error) {
	var call DrawCall
	if err := wire.Unmarshal(body, &call); err != nil {
		return wire.Marshal(Outcome{Code: CodeInvalid, Detail: err.Error()})
	}
	outcome, err := c.draw(ctx, call)
	if err != nil {
		return nil, err
	}
	return wire.Marshal(outcome)
}

// draw waits for a complete group whose body this replica can read, and then
// proposes the draw. A known draw id is proposed at once, because it gets the same
// result as before.
func (c *Coordinator) draw(ctx context.Context, call DrawCall) (Outcome, error) {
	start := time.Now()
	defer func() { c.recordDrawWait(call.Draw.Trainer, time.Since(start)) }()
	wait := min(time.Duration(call.WaitMs)*time.Millisecond, maxLeaderWait)
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		changed := c.changes.wait()
		if !c.isLeading() {
			return Outcome{Code: CodeUnavailable, Detail: "this replica no longer leads"}, nil
		}
		ready, avoid := c.readableBodies(&call.Draw)
		if ready || c.options.Ledger.KnowsDraw(call.Draw.Trainer, call.Draw.ID) {
			draw := call.Draw
			draw.Avoid = avoid
			outcome, err := c.proposeWait(ctx, Command{Draw: &draw})
			if err != nil || outcome.Code != CodeEmpty {
				return outcome, err
			}
		}
		select {
		case <-changed:
		case <-timer.C:
			return c.proposeFinalDraw(ctx, call)
		case <-ctx.Done():
			return Outcome{}, eris.Wrap(ctx.Err(), "rollout: draw")
		}
	}
}

// recordDrawWait adds to the time that a trainer has waited in draws. Only trainers
// in the ledger are counted, so that requests with unknown names use no memory.
func (c *Coordinator) recordDrawWait(trainer string, d time.Duration) {
	if _, known := c.options.Ledger.Status()[trainer]; !known {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.drawWaits[trainer] += d
}

// proposeFinalDraw proposes the draw once more without a complete group, so that a
// request that can never succeed gets its error instead of an empty result.
func (c *Coordinator) proposeFinalDraw(ctx context.Context, call DrawCall) (Outcome, error) {
	_, avoid := c.readableBodies(&call.Draw)
	draw := call.Draw
	draw.Avoid = avoid
	return c.proposeWait(ctx, Command{Draw: &draw})
}

// readableBodies reports whether the body of a complete group can be read, and
// returns the keys of those that cannot.
func (c *Coordinator) readableBodies(d *Draw) (ready bool, avoid []wire.BodyKey) {
	found := 0
	for _, key := range c.options.Ledger.DrawableBodies(d.Trainer, d.UpToStep) {
		if found >= d.MaxGroups {
			break
		}
		if _, err := c.readBody(key); err != nil {
			avoid = append(avoid, key)
			continue
		}
		found++
	}
	return found > 0, avoid
}

func (c *Coordinator) bodyCall(ctx context.Context, body []byte) ([]byte, error) {
	var call BodyCall
	if err := wire.Unmarshal(body, &call); err != nil {
		return wire.Marshal(BodyReply{Outcome: Outcome{Code: CodeInvalid, Detail: err.Error()}})
	}
	groups, ok := c.options.Ledger.DrawnGroups(call.Trainer, call.Draw)
	if !ok || call.Index < 0 || call.Index >= len(groups) {
		return wire.Marshal(BodyReply{Outcome: rejectf(CodeNotFound, "trainer %q has no draw %q with group %d", call.Trainer, call.Draw, call.Index)})
	}
	data, err := c.awaitBody(ctx, groups[call.Index].Key)
	if err != nil {
		return wire.Marshal(BodyReply{Outcome: rejectf(CodeUnavailable, "the body of group %d is not available yet: %v", call.Index, err)})
	}
	if call.Offset < 0 || call.Offset > len(data) {
		return wire.Marshal(BodyReply{Outcome: rejectf(CodeInvalid, "offset %d is outside of a body of %d bytes", call.Offset, len(data))})
	}
	end := min(call.Offset+callPartBytes, len(data))
	return wire.Marshal(BodyReply{Outcome: Outcome{Code: CodeOK}, Data: data[call.Offset:end], Size: len(data)})
}

// awaitBody returns a body, waiting for the repair if this replica lacks it.
func (c *Coordinator) awaitBody(ctx context.Context, key wire.BodyKey) ([]byte, error) {
	timer := time.NewTimer(bodyTimeout)
	defer timer.Stop()
	for {
		changed := c.changes.wait()
		data, err := c.readBody(key)
		if err == nil {
			return data, nil
		}
		select {
		case <-changed:
		case <-timer.C:
			return nil, err
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}
