package hub

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"merlinhall/consensus"
	"merlinhall/control"
	"merlinhall/ledger"
	"merlinhall/replica"
	"merlinhall/streams"
	"merlinhall/usage"
	"merlinhall/wire"
)

// register registers the handlers of calls from entries and the operator. They run on
// the leader.
func (h *Hub) register() {
	c := h.opts.Control
	c.HandleCall(methodAccept, h.accept)
	c.HandleCall(methodUploadPart, h.uploadPart)
	c.HandleCall(methodUploadEnd, h.uploadEnd)
	c.HandleCall(methodRoom, h.askRoom)
	c.HandleCall(methodPage, h.page)
	c.HandleCall(methodBody, h.body)
	c.HandleCall(methodEnd, h.end)
	c.HandleCall(methodPut, h.putManifest)
	c.HandleCall(methodRead, h.readManifest)
	c.HandleCall(methodName, h.nameVersion)
	c.HandleCall(methodRetire, h.retire)
	c.HandleCall(methodRetirement, h.retirement)
	c.HandleCall(methodRoutes, h.newestRoutes)
	c.HandleCall(methodGrants, h.grants)
	c.HandleCall(methodSuspects, h.suspects)
	if h.opts.Locality != nil {
		c.HandleCall(methodLocality, h.locality)
	}
	if h.opts.Streams != nil {
		c.HandleCall(methodStreams, h.streams)
	}
	if h.opts.Demand != nil {
		c.HandleCall(methodDemand, h.demand)
	}
	if h.opts.Usage != nil {
		c.HandleCall(methodUsage, h.reportUsage)
	}
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
	if known, err := h.knownSubmission(sub.Account, sub.ID); known || err != nil {
		return nil, err
	}
	if err := h.reserveRoom(ctx, &roomRequest{Submission: sub.ID, Account: sub.Account, Held: sub.HeldBytes(), Bytes: len(body)}); err != nil {
		return nil, err
	}
	command, err := ledger.AcceptCommand(sub)
	err = h.propose(ctx, h.opts.Submissions.Name(), command, err)
	h.settleRoom(sub.ID, err)
	return nil, err
}

// confirmLeadership returns nil if this process leads and has applied everything that
// was committed before the call. With lease set, a valid leader lease is sufficient.
func (h *Hub) confirmLeadership(ctx context.Context, lease bool) error {
	_, err := h.confirmedTerm(ctx, lease)
	return err
}

// confirmedTerm is confirmLeadership with the term in which this process leads.
func (h *Hub) confirmedTerm(ctx context.Context, lease bool) (term uint64, err error) {
	confirm := h.opts.Replica.Confirm
	if lease {
		confirm = h.opts.Replica.ConfirmByLease
	}
	term, _, err = confirm(ctx)
	var notLeader *replica.NotLeaderError
	if eris.As(err, &notLeader) || eris.Is(err, replica.ErrStopped) || eris.Is(err, replica.ErrBusy) {
		return 0, eris.Wrap(control.ErrNotLeader, err.Error())
	}
	return term, err
}

func (h *Hub) page(ctx context.Context, body []byte) ([]byte, error) {
	var in pageRequest
	if err := decode(body, &in); err != nil {
		return nil, err
	}
	if err := h.confirmLeadership(ctx, true); err != nil {
		return nil, err
	}
	if !h.visible(in.Caller, in.ID) {
		return wire.Marshal(&pageReply{})
	}
	if h.opts.StepReads != nil {
		if err := h.opts.StepReads.wait(ctx, h.leadershipEnd(), h.opts.Submissions, &in); err != nil {
			return nil, err
		}
	}
	page, changed, found := h.opts.Submissions.Page(in.ID, in.After, in.Limit)
	if found && h.opts.StepReads == nil && len(page.Results) == 0 && changed != nil && in.Wait > 0 {
		timer := time.NewTimer(in.Wait)
		defer timer.Stop()
		select {
		case <-changed:
			page, _, found = h.opts.Submissions.Page(in.ID, in.After, in.Limit)
		case <-timer.C:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	if !found {
		if err := h.confirmLeadership(ctx, false); err != nil {
			return nil, err
		}
		page, _, found = h.opts.Submissions.Page(in.ID, in.After, in.Limit)
	}
	if h.opts.StepReads != nil && len(page.Results) > 0 {
		h.opts.StepReads.handOut(h.opts.Submissions, in.ID, page.Next)
	}
	return wire.Marshal(&pageReply{Found: found, Page: page})
}

// leadershipEnd returns a channel that is closed when this process stops leading, or nil if it
// has not heard of its leadership yet.
func (h *Hub) leadershipEnd() <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.leadership
}

func (h *Hub) body(ctx context.Context, body []byte) ([]byte, error) {
	var in itemRequest
	if err := decode(body, &in); err != nil {
		return nil, err
	}
	if err := h.confirmLeadership(ctx, true); err != nil {
		return nil, err
	}
	if !h.visible(in.Caller, in.ID) {
		return wire.Marshal(&itemReply{})
	}
	b, found, known := h.opts.Submissions.Body(in.ID, in.Item)
	if !known {
		if err := h.confirmLeadership(ctx, false); err != nil {
			return nil, err
		}
		b, found, _ = h.opts.Submissions.Body(in.ID, in.Item)
	}
	return wire.Marshal(&itemReply{Found: found, Body: b})
}

func (h *Hub) end(ctx context.Context, body []byte) ([]byte, error) {
	var in itemRequest
	if err := decode(body, &in); err != nil {
		return nil, err
	}
	if err := h.confirmLeadership(ctx, false); err != nil {
		return nil, err
	}
	if !h.opts.Submissions.Has(in.ID) || !h.visible(in.Caller, in.ID) {
		return wire.Marshal(&itemReply{})
	}
	command, err := ledger.EndCommand(in.ID)
	if err := h.propose(ctx, h.opts.Submissions.Name(), command, err); err != nil {
		return nil, err
	}
	return wire.Marshal(&itemReply{Found: true})
}

// visible reports whether a client may use a submission. Processes that do not know client
// accounts name no client.
func (h *Hub) visible(c *Caller, submission string) bool {
	return c == nil || h.opts.Submissions.VisibleTo(c.Account, submission)
}

// reportUsage takes what a process has counted. It is repeated until a later leader has
// fixed it, so nothing is confirmed here.
func (h *Hub) reportUsage(_ context.Context, body []byte) ([]byte, error) {
	var in usage.Report
	if err := decode(body, &in); err != nil {
		return nil, err
	}
	return wire.Marshal(h.opts.Usage.Handle(&in))
}

// grants answers a process that wants to send requests to targets with a limit. Without the
// lease another leader may give out the same.
func (h *Hub) grants(ctx context.Context, body []byte) ([]byte, error) {
	return answerByLease(ctx, h, body, h.opts.Limits.Handle)
}

// suspects answers a process that wants to send requests under which targets have ended.
// Without the lease another leader may let the same request through.
func (h *Hub) suspects(ctx context.Context, body []byte) ([]byte, error) {
	return answerByLease(ctx, h, body, h.opts.Quarantine.Handle)
}

// locality answers a process that reports the requests of its zone. Without the lease another
// leader may give out other shares.
func (h *Hub) locality(ctx context.Context, body []byte) ([]byte, error) {
	return answerByLease(ctx, h, body, h.opts.Locality.Handle)
}

// streams answers a process on streams that it begins and that callers take up there. Without
// the lease another leader may have later records.
func (h *Hub) streams(ctx context.Context, body []byte) ([]byte, error) {
	return answerByLease(ctx, h, body, func(_ uint64, in *streams.Ask) (*streams.Answers, bool) { return h.opts.Streams.Handle(ctx, in), true })
}

// demand answers a process that reports its demand. Without the lease another leader may divide the
// same places.
func (h *Hub) demand(ctx context.Context, body []byte) ([]byte, error) {
	return answerByLease(ctx, h, body, h.opts.Demand.Handle)
}

// answerByLease answers a question that only a leader with its lease may answer. handle returns
// false if it has not heard of the leadership yet.
func answerByLease[In, Out any](ctx context.Context, h *Hub, body []byte, handle func(term uint64, in *In) (*Out, bool)) ([]byte, error) {
	in := new(In)
	if err := decode(body, in); err != nil {
		return nil, err
	}
	term, err := h.confirmedTerm(ctx, true)
	if err != nil {
		return nil, err
	}
	out, ok := handle(term, in)
	if !ok {
		return nil, eris.Wrap(control.ErrNotLeader, "the leadership has just begun")
	}
	return wire.Marshal(out)
}

// newestRoutes returns the manifest in force to an entry that may be behind.
func (h *Hub) newestRoutes(ctx context.Context, body []byte) ([]byte, error) {
	var in routesRequest
	if err := decode(body, &in); err != nil {
		return nil, err
	}
	if err := h.confirmLeadership(ctx, true); err != nil {
		return nil, err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	var out routesReply
	if h.manifest != nil && h.manifest.Version > in.Known {
		out.Update = h.manifest
	}
	return wire.Marshal(&out)
}

func (h *Hub) putManifest(ctx context.Context, body []byte) ([]byte, error) {
	return nil, h.propose(ctx, h.opts.Manifests.Name(), body, nil)
}

func (h *Hub) readManifest(ctx context.Context, _ []byte) ([]byte, error) {
	if err := h.confirmLeadership(ctx, false); err != nil {
		return nil, err
	}
	var out manifestReply
	if t := h.opts.Manifests.Table(); t != nil {
		out.Text = t.Manifest().Raw
	}
	return wire.Marshal(&out)
}

func (h *Hub) nameVersion(ctx context.Context, body []byte) ([]byte, error) {
	return nil, h.propose(ctx, h.opts.Versions.Name(), body, nil)
}

// retire marks a host as retired. It refuses if the remaining hosts could not tolerate
// the host failures that the deployment must tolerate.
func (h *Hub) retire(ctx context.Context, body []byte) ([]byte, error) {
	var in retireRequest
	if err := decode(body, &in); err != nil {
		return nil, err
	}
	if err := h.confirmLeadership(ctx, false); err != nil {
		return nil, err
	}
	state := h.retirementState(in.Host)
	if state != RetirementUnknown || h.opts.Hosts.Retired(in.Host) {
		return wire.Marshal(&retireReply{State: state})
	}
	address := h.hostAddress(in.Host)
	if address == "" {
		return wire.Marshal(&retireReply{State: RetirementUnknown})
	}
	if h.tooFewWithout(address) {
		return wire.Marshal(&retireReply{State: RetirementTooFew})
	}
	command, err := ledger.RetireCommand(in.Host)
	if err := h.propose(ctx, h.opts.Hosts.Name(), command, err); err != nil {
		return nil, err
	}
	return wire.Marshal(&retireReply{State: RetirementRunning})
}

func (h *Hub) retirement(ctx context.Context, body []byte) ([]byte, error) {
	var in retireRequest
	if err := decode(body, &in); err != nil {
		return nil, err
	}
	if err := h.confirmLeadership(ctx, false); err != nil {
		return nil, err
	}
	return wire.Marshal(&retireReply{State: h.retirementState(in.Host)})
}

// retirementState returns the progress of the retirement of a host, or
// RetirementUnknown if none was requested.
func (h *Hub) retirementState(host string) Retirement {
	if !h.opts.Hosts.Retired(host) {
		return RetirementUnknown
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if group := h.opts.Replica.Status(); holdsNoMember(host, &group.Status, h.hostByAddress) {
		return RetirementDone
	}
	return RetirementRunning
}

// holdsNoMember reports whether a host certainly runs no member of the group, so that it can be
// taken away with its disk: the membership is committed, and the host of each member is known. A
// process learns the hosts of others over its links, which it has none of after its start.
func holdsNoMember(host string, group *consensus.Status, hostByAddress map[string]string) bool {
	return group.MemberIndex <= group.Commit && !slices.ContainsFunc(group.Members, func(m consensus.Member) bool {
		of, known := hostByAddress[m.Name]
		return !known || of == host
	})
}

func (h *Hub) hostAddress(host string) string {
	h.mu.Lock()
	defer h.mu.Unlock()
	for address, name := range h.hostByAddress {
		if name == host {
			return address
		}
	}
	return ""
}

// tooFewWithout reports whether too few hosts would remain to tolerate HostFaults failures
// if the process at the address left, as well as those on retired hosts. Hosts outside the
// group count: one of them takes the place of a member that leaves, before it leaves.
func (h *Hub) tooFewWithout(address string) bool {
	retired := h.Retired()
	remaining := h.controlProcesses()
	for _, m := range h.opts.Replica.Status().Members {
		remaining[m.Name] = true
	}
	maps.DeleteFunc(remaining, func(a string, _ bool) bool { return a == address || slices.Contains(retired, a) })
	return len(remaining) < 2*h.opts.HostFaults+1
}

// controlProcesses returns the addresses of the control processes with which this process
// has a link, and its own.
func (h *Hub) controlProcesses() map[string]bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	out := map[string]bool{h.opts.Address: true}
	for c := range h.controlLinks {
		out[c.Peer().Process] = true
	}
	return out
}
