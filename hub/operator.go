package hub

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"merlinhall/routes"
	"merlinhall/wire"
)

// operatorLimit bounds an order of the operator, who moves on to another process
// after a second.
const operatorLimit = 1500 * time.Millisecond

// Operator carries out the orders of the operator at any control process.
type Operator struct{ h *Hub }

// Operator returns the operator's side of the hub.
func (h *Hub) Operator() Operator { return Operator{h} }

func (o Operator) call(ctx context.Context, method string, in, out any) error {
	body, err := wire.Marshal(in)
	if err != nil {
		return eris.Wrap(ErrNotDone, err.Error())
	}
	ctx, cancel := context.WithTimeout(ctx, operatorLimit)
	defer cancel()
	reply := o.h.o.Control.Call(ctx, &wire.Call{Method: method, Body: body})
	switch reply.Outcome {
	case wire.CallOK:
		if out == nil {
			return nil
		}
		return wire.Unmarshal(reply.Body, out)
	case wire.CallUnknown:
		return eris.Wrap(ErrUnknown, reply.Error)
	}
	return eris.Wrap(ErrNotDone, reply.Error)
}

// PutManifest stores a valid manifest. One whose version is not above the stored
// one changes nothing.
func (o Operator) PutManifest(ctx context.Context, m *routes.Manifest) error {
	return o.call(ctx, methodPut, m, nil)
}

// ReadManifest returns the newest manifest as it was sent, empty when there is
// none. It is confirmed after the call began.
func (o Operator) ReadManifest(ctx context.Context) ([]byte, error) {
	var out manifestReply
	err := o.call(ctx, methodRead, struct{}{}, &out)
	return out.Text, err
}

// NameVersion stores the newest weight version of a model.
func (o Operator) NameVersion(ctx context.Context, model string, version uint64) error {
	return o.call(ctx, methodName, &wire.ModelVersion{Model: model, Version: version}, nil)
}

// Retire asks for a control host to be emptied.
func (o Operator) Retire(ctx context.Context, host string) (Retirement, error) {
	var out retireReply
	err := o.call(ctx, methodRetire, &retireRequest{Host: host}, &out)
	return out.State, err
}

// Retirement returns how far the emptying of a host is.
func (o Operator) Retirement(ctx context.Context, host string) (Retirement, error) {
	var out retireReply
	err := o.call(ctx, methodRetirement, &retireRequest{Host: host}, &out)
	return out.State, err
}
