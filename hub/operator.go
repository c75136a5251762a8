package hub

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"merlinhall/admission"
	"merlinhall/locality"
	"merlinhall/quarantine"
	"merlinhall/ratelimit"
	"merlinhall/routes"
	"merlinhall/streams"
	"merlinhall/usage"
	"merlinhall/wire"
)

// operatorTimeout is the timeout of an operator call. The operator's client tries another
// process after one second.
const operatorTimeout = 1500 * time.Millisecond

// Operator makes operator calls. It works in any control process and forwards calls to
// the leader.
type Operator struct{ h *Hub }

// Operator returns the interface for operator calls.
func (h *Hub) Operator() Operator { return Operator{h} }

func (o Operator) call(ctx context.Context, method string, in, out any) error {
	body, err := wire.Marshal(in)
	if err != nil {
		return eris.Wrap(ErrNotDone, err.Error())
	}
	ctx, cancel := context.WithTimeout(ctx, operatorTimeout)
	defer cancel()
	mayHaveRun := false
	for {
		reply := o.h.opts.Control.Call(ctx, &wire.Call{Method: method, Body: body})
		switch {
		case reply.Outcome == wire.CallOK && out == nil:
			return nil
		case reply.Outcome == wire.CallOK:
			return wire.Unmarshal(reply.Body, out)
		case reply.Outcome != wire.CallUnknown && !mayHaveRun:
			return eris.Wrap(ErrNotDone, reply.Error)
		case reply.Outcome != wire.CallUnknown || ctx.Err() != nil:
			return eris.Wrap(ErrUnknown, reply.Error)
		}
		mayHaveRun = true
		select { // the leader has changed; all calls are safe to repeat
		case <-time.After(retryDelay):
		case <-ctx.Done():
			return eris.Wrap(ErrUnknown, reply.Error)
		}
	}
}

// PutManifest stores a valid manifest. It has no effect if the version is not higher
// than the stored one.
func (o Operator) PutManifest(ctx context.Context, m *routes.Manifest) error {
	return o.call(ctx, methodPut, m, nil)
}

// ReadManifest returns the text of the latest manifest as it was sent, or an empty
// text if there is none. The read is linearizable: leadership is confirmed after the
// call began.
func (o Operator) ReadManifest(ctx context.Context) ([]byte, error) {
	var out manifestReply
	err := o.call(ctx, methodRead, struct{}{}, &out)
	return out.Text, err
}

// NameVersion stores the latest weight version of a model.
func (o Operator) NameVersion(ctx context.Context, model string, version uint64) error {
	return o.call(ctx, methodName, &wire.ModelVersion{Model: model, Version: version}, nil)
}

// ReportUsage sends a report of usage to the control leader.
func (o Operator) ReportUsage(ctx context.Context, in *usage.Report, out *usage.Reply) error {
	return o.call(ctx, methodUsage, in, out)
}

// AskSuspects asks the control leader for leave to send requests under which targets have
// ended.
func (o Operator) AskSuspects(ctx context.Context, in *quarantine.Ask, out *quarantine.Answers) error {
	return o.call(ctx, methodSuspects, in, out)
}

// AskStreams tells the control leader of streams that begin, and asks it for those that callers
// take up.
func (o Operator) AskStreams(ctx context.Context, in *streams.Ask, out *streams.Answers) error {
	return o.call(ctx, methodStreams, in, out)
}

// AskDemand reports the demand of this process to the control leader, which answers with its share.
func (o Operator) AskDemand(ctx context.Context, in *admission.Demand, out *admission.Shares) error {
	return o.call(ctx, methodDemand, in, out)
}

// ReportZones reports the requests of the zone to the control leader and returns the shares.
func (o Operator) ReportZones(ctx context.Context, in *locality.Report, out *locality.Answers) error {
	return o.call(ctx, methodLocality, in, out)
}

// AskGrants asks the control leader for grants for targets with a limit.
func (o Operator) AskGrants(ctx context.Context, in *ratelimit.Ask, out *ratelimit.Answers) error {
	return o.call(ctx, methodGrants, in, out)
}

// Retire requests the retirement of a control host.
func (o Operator) Retire(ctx context.Context, host string) (Retirement, error) {
	var out retireReply
	err := o.call(ctx, methodRetire, &retireRequest{Host: host}, &out)
	return out.State, err
}

// Retirement returns the progress of a host's retirement.
func (o Operator) Retirement(ctx context.Context, host string) (Retirement, error) {
	var out retireReply
	err := o.call(ctx, methodRetirement, &retireRequest{Host: host}, &out)
	return out.State, err
}
