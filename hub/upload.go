package hub

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"merlinhall/consensus"
	"merlinhall/control"
	"merlinhall/ledger"
	"merlinhall/wire"
)

const (
	// maxAcceptBytes is the size of the items of a submission up to which one call and one
	// command bring all of it.
	maxAcceptBytes = 3 << 20
	// askBytes is the size of the items of a submission up to which it is sent without asking for
	// room before.
	askBytes = 256 << 10
	// uploadPartBytes is the size of the items of a part of an upload, unless it is a single item.
	uploadPartBytes = 1 << 20
	// uploadIdleTime is the time without a further part after which an upload is dropped. The
	// client of a submission has its response before.
	uploadIdleTime = 20 * time.Second
	// uploadCheckInterval is how often the leader looks for uploads to drop.
	uploadCheckInterval = 5 * time.Second
)

// An item fits into a command of the log and into a call.
const _ = uint(min(consensus.MaxCommandBytes, wire.MaxFrameBytes) - ledger.MaxItemBytes - 32<<10)

// ErrTooLarge is wrapped by the errors of submissions that this deployment can't accept, however
// often they are sent. They had no effect.
var ErrTooLarge = eris.New("hub: the submission is too large")

// uploadPartRequest brings a part of a submission or, without items, asks for the part to begin with.
type uploadPartRequest struct {
	Submission string            `cbor:"1,keyasint"`
	Account    string            `cbor:"2,keyasint,omitempty"`
	Part       ledger.UploadPart `cbor:"3,keyasint"`
}

type uploadPartReply struct {
	Accepted bool `cbor:"1,keyasint,omitempty"` // the whole submission, before
	// Limit is as in roomReply.
	Limit int `cbor:"2,keyasint,omitempty"`
	// Next is the index of the first part that is missing.
	Next int `cbor:"3,keyasint,omitempty"`
}

// partsInProgress are the parts of uploads that wait for the log.
type partsInProgress struct {
	mu   sync.Mutex
	done map[string]chan struct{} // by upload and index; closed when the part is committed or has failed
}

// begin reserves a part for the caller, who must call the returned function once its command has
// ended. While another call has the part, begin waits. Errors are those of ctx.
func (p *partsInProgress) begin(ctx context.Context, part *ledger.UploadPart) (end func(), err error) {
	key := fmt.Sprint(part.Upload, "/", part.Index)
	for {
		p.mu.Lock()
		other := p.done[key]
		if other == nil {
			done := make(chan struct{})
			p.done[key] = done
			p.mu.Unlock()
			return func() {
				p.mu.Lock()
				defer p.mu.Unlock()
				delete(p.done, key)
				close(done)
			}, nil
		}
		p.mu.Unlock()
		select {
		case <-other:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// partsOf divides items into consecutive parts of up to maxBytes, or of a single item.
func partsOf(items []ledger.Item, maxBytes int) [][]ledger.Item {
	var parts [][]ledger.Item
	from, size := 0, 0
	for i := range items {
		n := items[i].Size()
		if i > from && size+n > maxBytes {
			parts, from, size = append(parts, items[from:i]), i, 0
		}
		size += n
	}
	return append(parts, items[from:])
}

// Accept sends a submission to the leader. It returns nil once the submission is committed. One
// that is too large for one command is sent in parts, of which nothing runs before the last one is
// committed. Errors wrap ErrTooLarge, ErrNotDone or ErrUnknown.
func (c *Client) Accept(ctx context.Context, sub *ledger.Submission) error {
	for i := range sub.Items {
		if n := sub.Items[i].Size(); n > ledger.MaxItemBytes {
			return eris.Wrapf(ErrTooLarge, "item %q has %d bytes with its scorer, the limit is %d", sub.Items[i].ID, n, ledger.MaxItemBytes)
		}
	}
	size := sub.Size()
	if size > askBytes {
		if accepted, err := c.askRoom(ctx, sub, size); accepted || err != nil {
			return err
		}
	}
	if size <= maxAcceptBytes {
		return c.call(ctx, methodAccept, sub, nil, attemptTimeout)
	}
	return c.upload(ctx, sub, size)
}

// askRoom asks for room for a submission. Control processes of former versions, which do not know
// the call, decide when the submission arrives.
func (c *Client) askRoom(ctx context.Context, sub *ledger.Submission, size int) (accepted bool, err error) {
	message := size
	if size > maxAcceptBytes {
		message = uploadPartBytes
	}
	var out roomReply
	err = c.call(ctx, methodRoom, &roomRequest{Submission: sub.ID, Account: sub.Account, Held: sub.HeldBytes(), Bytes: message}, &out, attemptTimeout)
	var full *FullError
	switch {
	case eris.As(err, &full):
		return false, err
	case err != nil && ctx.Err() != nil:
		return false, eris.Wrap(ErrNotDone, err.Error())
	case out.Limit > 0:
		return false, tooLarge(sub, out.Limit)
	}
	return out.Accepted, nil
}

func tooLarge(sub *ledger.Submission, limit int) error {
	return eris.Wrapf(ErrTooLarge, "with %d items it takes %d bytes of memory, the limit is %d", len(sub.Items), sub.HeldBytes(), limit)
}

// uploadID returns the id of the upload of a submission. A client that sends the submission again, to
// any process, goes on with the parts that have arrived.
func uploadID(sub *ledger.Submission, parts [][]ledger.Item) (string, error) {
	digest := sha256.New()
	for _, v := range []any{sub.Account, sub.ID, len(parts)} {
		b, err := wire.Marshal(v)
		if err != nil {
			return "", err
		}
		_, _ = digest.Write(b) // never fails
	}
	for _, items := range parts {
		b, err := wire.Marshal(items)
		if err != nil {
			return "", err
		}
		_, _ = digest.Write(b)
	}
	return hex.EncodeToString(digest.Sum(nil)), nil
}

// upload sends a submission in parts.
func (c *Client) upload(ctx context.Context, sub *ledger.Submission, size int) error {
	parts := partsOf(sub.Items, uploadPartBytes)
	id, err := uploadID(sub, parts)
	if err != nil {
		return eris.Wrap(ErrNotDone, err.Error())
	}
	part := ledger.UploadPart{Upload: id, Bytes: size, Held: sub.HeldBytes()}
	next, err := c.sendPart(ctx, sub, part) // only asks
	for err == nil && next < len(parts) {
		part.Index, part.Items = next, parts[next]
		next, err = c.sendPart(ctx, sub, part)
	}
	switch {
	case eris.Is(err, errAccepted):
		return nil
	case eris.Is(err, ErrUnknown):
		return eris.Wrap(ErrNotDone, err.Error()) // a part alone has no effect
	case err != nil:
		return err
	}
	head := *sub
	head.Items = nil
	return c.call(ctx, methodUploadEnd, &ledger.UploadEnd{Upload: id, Parts: len(parts), Submission: &head}, nil, attemptTimeout)
}

// errAccepted is the error of a part whose submission is accepted already.
var errAccepted = eris.New("hub: the submission is accepted")

// sendPart sends a part and returns the index of the first one that is missing.
func (c *Client) sendPart(ctx context.Context, sub *ledger.Submission, part ledger.UploadPart) (next int, err error) {
	var out uploadPartReply
	if err := c.call(ctx, methodUploadPart, &uploadPartRequest{Submission: sub.ID, Account: sub.Account, Part: part}, &out, attemptTimeout); err != nil {
		return 0, err
	}
	switch {
	case out.Accepted:
		return 0, errAccepted
	case out.Limit > 0:
		return 0, tooLarge(sub, out.Limit)
	}
	return out.Next, nil
}

// uploadPart takes a part of a submission.
func (h *Hub) uploadPart(ctx context.Context, body []byte) ([]byte, error) {
	in := new(uploadPartRequest)
	if err := decode(body, in); err != nil {
		return nil, err
	}
	if known, err := h.knownSubmission(in.Account, in.Submission); known || err != nil {
		return replyOr(err, &uploadPartReply{Accepted: known})
	}
	if begun, _ := h.opts.Uploads.Reserved(in.Part.Upload); !begun {
		err := h.reserveRoom(ctx, &roomRequest{Submission: in.Submission, Account: in.Account, Held: max(in.Part.Held, in.Part.Bytes), Bytes: min(in.Part.Bytes, uploadPartBytes)})
		if limit := limitOf(err); limit > 0 {
			return wire.Marshal(&uploadPartReply{Limit: limit})
		}
		if err != nil {
			return nil, err
		}
	}
	in.Part.Account = in.Account
	err := h.addPart(ctx, &in.Part)
	if len(in.Part.Items) > 0 {
		h.settleRoom(in.Submission, err)
	}
	return replyOr(err, &uploadPartReply{Next: h.opts.Uploads.Next(in.Part.Upload)})
}

// addPart commits a part that is missing and has items.
func (h *Hub) addPart(ctx context.Context, part *ledger.UploadPart) error {
	if len(part.Items) == 0 {
		return nil
	}
	end, err := h.uploading.begin(ctx, part)
	if err != nil {
		return err
	}
	defer end()
	if h.opts.Uploads.Next(part.Upload) > part.Index {
		return nil
	}
	command, err := ledger.UploadPartCommand(part)
	return h.propose(ctx, h.opts.Uploads.Name(), command, err)
}

// replyOr returns the encoded reply, or the error if there is one.
func replyOr(err error, reply any) ([]byte, error) {
	if err != nil {
		return nil, err
	}
	return wire.Marshal(reply)
}

// uploadEnd accepts the submission of an upload.
func (h *Hub) uploadEnd(ctx context.Context, body []byte) ([]byte, error) {
	in := new(ledger.UploadEnd)
	if err := decode(body, in); err != nil {
		return nil, err
	}
	if in.Submission == nil {
		return nil, eris.Wrap(control.ErrRejected, "the end of an upload has no submission")
	}
	if known, err := h.knownSubmission(in.Submission.Account, in.Submission.ID); known || err != nil {
		return nil, err
	}
	command, err := ledger.UploadEndCommand(in)
	return nil, h.propose(ctx, h.opts.Uploads.Name(), command, err)
}

// knownSubmission reports whether a submission of a client account is accepted. It fails if the id
// is that of another account's.
func (h *Hub) knownSubmission(account, id string) (bool, error) {
	if !h.opts.Submissions.VisibleTo(account, id) {
		return false, eris.Wrap(control.ErrRejected, "the id of the submission is in use")
	}
	return h.opts.Submissions.Has(id), nil
}

// dropUploads periodically drops uploads that do not go on while this process leads.
func (h *Hub) dropUploads() {
	defer h.wg.Done()
	ticker := time.NewTicker(uploadCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case now := <-ticker.C:
			if idle := h.opts.Uploads.Idle(now, uploadIdleTime); len(idle) > 0 && h.leads() {
				h.dropIdle(idle)
			}
		case <-h.ctx.Done():
			return
		}
	}
}

func (h *Hub) dropIdle(uploads []string) {
	ctx, cancel := context.WithTimeout(h.ctx, uploadCheckInterval)
	defer cancel()
	command, err := ledger.UploadDropCommand(uploads)
	if err = h.propose(ctx, h.opts.Uploads.Name(), command, err); err != nil {
		h.opts.Log.Infof("uploads that do not go on are not dropped yet: %v", err)
		return
	}
	h.opts.Log.WithField("uploads", slices.Clone(uploads)).Info("uploads that did not go on are dropped")
}
