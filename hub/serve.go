package hub

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"merlinhall/control"
	"merlinhall/ledger"
	"merlinhall/replica"
	"merlinhall/wire"
)

// register makes the calls of entries and of the operator known. They run on the
// leader.
func (h *Hub) register() {
	c := h.o.Control
	c.HandleCall(methodAccept, h.accept)
	c.HandleCall(methodPage, h.page)
	c.HandleCall(methodBody, h.body)
	c.HandleCall(methodEnd, h.end)
	c.HandleCall(methodPut, h.putManifest)
	c.HandleCall(methodRead, h.readManifest)
	c.HandleCall(methodName, h.nameVersion)
	c.HandleCall(methodRetire, h.retire)
	c.HandleCall(methodRetirement, h.retirement)
}

func decode(body []byte, v any) error {
	if err := wire.Unmarshal(body, v); err != nil {
		return eris.Wrap(control.ErrRejected, err.Error())
	}
	return nil
}

func (h *Hub) accept(ctx context.Context, body []byte) ([]byte, error) {
	sub := new(ledger.Submission)
	if err := decode(body, sub); err != nil {
		return nil, err
	}
	if h.o.Submissions.Has(sub.ID) {
		return nil, nil
	}
	command, err := ledger.AcceptCommand(sub)
	return nil, h.propose(ctx, h.o.Submissions.Name(), command, err)
}

// confirmed makes sure that this process leads and holds all that was committed
// before the call. With lease the leader's lease is enough.
func (h *Hub) confirmed(ctx context.Context, lease bool) error {
	confirm := h.o.Replica.Confirm
	if lease {
		confirm = h.o.Replica.ConfirmByLease
	}
	_, _, err := confirm(ctx)
	var notLeader *replica.NotLeaderError
	if eris.As(err, &notLeader) || eris.Is(err, replica.ErrStopped) || eris.Is(err, replica.ErrBusy) {
		return eris.Wrap(control.ErrNotLeader, err.Error())
	}
	return err
}

func (h *Hub) page(ctx context.Context, body []byte) ([]byte, error) {
	var in pageRequest
	if err := decode(body, &in); err != nil {
		return nil, err
	}
	if err := h.confirmed(ctx, true); err != nil {
		return nil, err
	}
	page, changed, found := h.o.Submissions.Page(in.ID, in.After, in.Limit)
	if found && len(page.Results) == 0 && changed != nil && in.Wait > 0 {
		timer := time.NewTimer(in.Wait)
		defer timer.Stop()
		select {
		case <-changed:
			page, _, found = h.o.Submissions.Page(in.ID, in.After, in.Limit)
		case <-timer.C:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	if !found {
		if err := h.confirmed(ctx, false); err != nil {
			return nil, err
		}
		page, _, found = h.o.Submissions.Page(in.ID, in.After, in.Limit)
	}
	return wire.Marshal(&pageReply{Found: found, Page: page})
}

func (h *Hub) body(ctx context.Context, body []byte) ([]byte, error) {
	var in itemRequest
	if err := decode(body, &in); err != nil {
		return nil, err
	}
	if err := h.confirmed(ctx, true); err != nil {
		return nil, err
	}
	b, found, known := h.o.Submissions.Body(in.ID, in.Item)
	if !known {
		if err := h.confirmed(ctx, false); err != nil {
			return nil, err
		}
		b, found, _ = h.o.Submissions.Body(in.ID, in.Item)
	}
	return wire.Marshal(&itemReply{Found: found, Body: b})
}

func (h *Hub) end(ctx context.Context, body []byte) ([]byte, error) {
	var in itemRequest
	if err := decode(body, &in); err != nil {
		return nil, err
	}
	if err := h.confirmed(ctx, false); err != nil {
		return nil, err
	}
	if !h.o.Submissions.Has(in.ID) {
		return wire.Marshal(&itemReply{})
	}
	command, err := ledger.EndCommand(in.ID)
	if err := h.propose(ctx, h.o.Submissions.Name(), command, err); err != nil {
		return nil, err
	}
	return wire.Marshal(&itemReply{Found: true})
}

func (h *Hub) putManifest(ctx context.Context, body []byte) ([]byte, error) {
	return nil, h.propose(ctx, h.o.Manifests.Name(), body, nil)
}

func (h *Hub) readManifest(ctx context.Context, _ []byte) ([]byte, error) {
	if err := h.confirmed(ctx, false); err != nil {
		return nil, err
	}
	var out manifestReply
	if t := h.o.Manifests.Table(); t != nil {
		out.Text = t.Manifest().Raw
	}
	return wire.Marshal(&out)
}

func (h *Hub) nameVersion(ctx context.Context, body []byte) ([]byte, error) {
	return nil, h.propose(ctx, h.o.Versions.Name(), body, nil)
}

// retire marks a host. It is refused when fewer hosts would remain than bear the
// loss that the deployment must bear.
func (h *Hub) retire(ctx context.Context, body []byte) ([]byte, error) {
	var in retireRequest
	if err := decode(body, &in); err != nil {
		return nil, err
	}
	if err := h.confirmed(ctx, false); err != nil {
		return nil, err
	}
	state := h.stateOf(in.Host)
	if state != RetirementUnknown || h.o.Hosts.Retired(in.Host) {
		return wire.Marshal(&retireReply{State: state})
	}
	address := h.addressOf(in.Host)
	if address == "" {
		return wire.Marshal(&retireReply{State: RetirementUnknown})
	}
	if h.tooFewWithout(address) {
		return wire.Marshal(&retireReply{State: RetirementTooFew})
	}
	command, err := ledger.RetireCommand(in.Host)
	if err := h.propose(ctx, h.o.Hosts.Name(), command, err); err != nil {
		return nil, err
	}
	return wire.Marshal(&retireReply{State: RetirementRunning})
}

func (h *Hub) retirement(ctx context.Context, body []byte) ([]byte, error) {
	var in retireRequest
	if err := decode(body, &in); err != nil {
		return nil, err
	}
	if err := h.confirmed(ctx, false); err != nil {
		return nil, err
	}
	return wire.Marshal(&retireReply{State: h.stateOf(in.Host)})
}

// stateOf returns how far the retirement of a host is, and RetirementUnknown when
// nobody asked for it.
func (h *Hub) stateOf(host string) Retirement {
	if !h.o.Hosts.Retired(host) {
		return RetirementUnknown
	}
	address := h.addressOf(host)
	for _, m := range h.o.Replica.Status().Members {
		if m.Name == address {
			return RetirementRunning
		}
	}
	return RetirementDone
}

func (h *Hub) addressOf(host string) string {
	h.mu.Lock()
	defer h.mu.Unlock()
	for address, name := range h.hosts {
		if name == host {
			return address
		}
	}
	return ""
}

// tooFewWithout reports whether the group without the process of that address
// would not bear HostFaults losses.
func (h *Hub) tooFewWithout(address string) bool {
	retired := make(map[string]bool)
	for _, a := range h.excluded() {
		retired[a] = true
	}
	left := 0
	for _, m := range h.o.Replica.Status().Members {
		if m.Name != address && !retired[m.Name] {
			left++
		}
	}
	return left < 2*h.o.HostFaults+1
}
