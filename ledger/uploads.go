package ledger

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"merlinhall/wire"
)

// MaxItemBytes is the greatest size in bytes of an item, see Item.Size. A command has room for one.
const MaxItemBytes = 4<<20 - 64<<10

// ErrUploadIncomplete is the outcome of the end of an upload of which parts are missing: it was
// dropped, or another leader has accepted the parts.
var ErrUploadIncomplete = eris.New("ledger: parts of the upload are missing")

// encodingOverhead bounds what the encoding adds to a byte string, text or number.
const encodingOverhead = 16

// Size returns an upper bound for the encoded size of the item in bytes.
func (i *Item) Size() int {
	n := 8*encodingOverhead + len(i.ID) + len(i.Path) + len(i.Body) + len(i.Group)
	for _, h := range i.Headers {
		n += len(h.Name) + len(h.Value) + 3*encodingOverhead
	}
	return n + i.Reward.Size()
}

// Size returns an upper bound for the encoded size of the request in bytes; nil has 0.
func (r *Reward) Size() int {
	if r == nil {
		return 0
	}
	return len(r.ID) + len(r.Host) + len(r.Path) + len(r.Body) + 5*encodingOverhead
}

// Size returns an upper bound for the encoded size of the items in bytes.
func (s *Submission) Size() int {
	n := 0
	for i := range s.Items {
		n += s.Items[i].Size()
	}
	return n
}

// UploadPart is consecutive items of a submission that is too large for one command.
type UploadPart struct {
	Upload string `cbor:"1,keyasint"` // equal only for equal submissions that are divided alike
	Index  int    `cbor:"2,keyasint"` // from 0 on
	Items  []Item `cbor:"3,keyasint"`
	Bytes  int    `cbor:"4,keyasint"` // size of the items of all parts, see Item.Size
	// Held is Submission.HeldBytes of the whole submission, 0 from processes that do not know it.
	Held    int    `cbor:"5,keyasint,omitempty"`
	Account string `cbor:"6,keyasint,omitempty"` // client account of the submission
}

// UploadEnd accepts a submission with the items of all parts of an upload.
type UploadEnd struct {
	Upload     string      `cbor:"1,keyasint"`
	Parts      int         `cbor:"2,keyasint"`
	Submission *Submission `cbor:"3,keyasint"` // without items
}

// uploadsCommand is the body of a command. Exactly one operation is set.
type uploadsCommand struct {
	Part *UploadPart `cbor:"1,keyasint,omitempty"`
	End  *UploadEnd  `cbor:"2,keyasint,omitempty"`
	Drop []string    `cbor:"3,keyasint,omitempty"` // uploads
}

// upload is the parts of a submission that is not accepted yet.
type upload struct {
	parts     map[int]UploadPart
	bytes     int       // of all parts, also of those that are missing
	held      int       // what the submission will take, see Submission.HeldBytes
	account   string    // client account of the submission
	changedAt time.Time // when this process learnt of the last part
}

// Uploads is the slice of submissions that arrive in parts. An upload that does not end is dropped;
// nothing of it has run.
type Uploads struct {
	submissions *Submissions

	mu   sync.Mutex
	byID map[string]*upload
	used bool
}

// NewUploads returns an empty slice, whose complete uploads become submissions.
func NewUploads(submissions *Submissions) *Uploads {
	return &Uploads{submissions: submissions, byID: make(map[string]*upload)}
}

// Name implements control.Slice.
func (u *Uploads) Name() string { return "uploads" }

// Level implements control.LaterSlice.
func (u *Uploads) Level() uint32 { return wire.LevelUploads }

// Unused implements control.LaterSlice.
func (u *Uploads) Unused() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return !u.used
}

// Reserved reports whether an upload has begun, and returns the bytes that the others will have once
// they are whole. What has begun always has room to end.
func (u *Uploads) Reserved(id string) (begun bool, others int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for name, up := range u.byID {
		if name == id {
			begun = true
		} else {
			others += up.bytes
		}
	}
	return begun, others
}

// Held returns what the submissions of all uploads will take.
func (u *Uploads) Held(account string) Held {
	u.mu.Lock()
	defer u.mu.Unlock()
	var held Held
	for _, up := range u.byID {
		held.Total += up.held
		held.Requests += up.held
		if up.account == account {
			held.Account += up.held
		}
	}
	return held
}

// Next returns the index of the first part of an upload that is missing.
func (u *Uploads) Next(id string) int {
	u.mu.Lock()
	defer u.mu.Unlock()
	up := u.byID[id]
	if up == nil {
		return 0
	}
	next := 0
	for _, known := up.parts[next]; known; _, known = up.parts[next] {
		next++
	}
	return next
}

// Idle returns the uploads of which this process has learnt no part for the given time.
func (u *Uploads) Idle(now time.Time, limit time.Duration) []string {
	u.mu.Lock()
	defer u.mu.Unlock()
	var out []string
	for id, up := range u.byID {
		if now.Sub(up.changedAt) >= limit {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

// Apply implements control.Slice. The result is nil or an error.
func (u *Uploads) Apply(index, _ uint64, body []byte) any {
	var c uploadsCommand
	if err := wire.Unmarshal(body, &c); err != nil {
		return eris.Wrap(err, "ledger: uploads")
	}
	u.mu.Lock()
	u.used = true
	for _, id := range c.Drop {
		delete(u.byID, id)
	}
	if c.Part != nil {
		u.add(c.Part)
	}
	var sub *Submission
	var err error
	if c.End != nil {
		sub, err = u.end(c.End)
	}
	u.mu.Unlock()
	if sub != nil {
		err = u.submissions.acceptUploaded(index, sub)
		u.drop(c.End.Upload) // only now, so that what it takes is always counted
	}
	if err != nil {
		return err
	}
	return nil
}

// add takes a part. The caller holds u.mu.
func (u *Uploads) add(p *UploadPart) {
	up := u.byID[p.Upload]
	if up == nil {
		up = &upload{parts: make(map[int]UploadPart)}
		u.byID[p.Upload] = up
	}
	up.changedAt, up.bytes, up.account = time.Now(), max(up.bytes, p.Bytes), p.Account
	up.held = max(up.held, p.Held, p.Bytes)
	if _, known := up.parts[p.Index]; !known {
		up.parts[p.Index] = *p
	}
}

// end returns the submission of an upload, which the caller removes once it is accepted, or nil if it
// was accepted before. The caller holds u.mu.
func (u *Uploads) end(e *UploadEnd) (*Submission, error) {
	if e.Submission == nil {
		return nil, eris.Wrap(wire.ErrMalformed, "ledger: the end of an upload has no submission")
	}
	if u.submissions.Has(e.Submission.ID) {
		delete(u.byID, e.Upload)
		return nil, nil
	}
	up := u.byID[e.Upload]
	if up == nil || len(up.parts) != e.Parts {
		return nil, eris.Wrapf(ErrUploadIncomplete, "upload %q", e.Upload)
	}
	sub := *e.Submission
	sub.Items = nil
	for i := range e.Parts {
		part, ok := up.parts[i]
		if !ok {
			return nil, eris.Wrapf(ErrUploadIncomplete, "upload %q, part %d", e.Upload, i)
		}
		sub.Items = append(sub.Items, part.Items...)
	}
	return &sub, nil
}

func (u *Uploads) drop(upload string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	delete(u.byID, upload)
}

// Snapshot implements control.Slice.
func (u *Uploads) Snapshot() ([]byte, error) {
	var parts [][]byte
	err := u.Freeze()(func(b []byte) error {
		parts = append(parts, b)
		return nil
	})
	return wire.EncodeParts(parts...), err
}

// Freeze implements control.Freezer. Each part of an upload is one part of the snapshot.
func (u *Uploads) Freeze() func(part func(b []byte) error) error {
	u.mu.Lock()
	defer u.mu.Unlock()
	var list []UploadPart
	for _, up := range u.byID {
		list = slices.AppendSeq(list, maps.Values(up.parts))
	}
	slices.SortFunc(list, func(a, b UploadPart) int {
		return cmp.Or(cmp.Compare(a.Upload, b.Upload), cmp.Compare(a.Index, b.Index))
	})
	return func(part func(b []byte) error) error {
		for i := range list {
			b, err := wire.Marshal(&list[i])
			if err == nil {
				err = part(b)
			}
			if err != nil {
				return err
			}
		}
		return nil
	}
}

// Restore implements control.Slice.
func (u *Uploads) Restore(snapshot []byte) error {
	parts, err := wire.DecodeParts(snapshot)
	if err != nil {
		return err
	}
	return u.RestoreParts(parts)
}

// RestoreParts implements control.Freezer.
func (u *Uploads) RestoreParts(parts [][]byte) error {
	list := make([]UploadPart, len(parts))
	for i, b := range parts {
		if err := wire.Unmarshal(b, &list[i]); err != nil {
			return eris.Wrap(err, "ledger: uploads")
		}
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.used = true
	u.byID = make(map[string]*upload)
	for i := range list {
		u.add(&list[i])
	}
	return nil
}

// UploadPartCommand returns the command that adds a part to an upload.
func UploadPartCommand(p *UploadPart) ([]byte, error) {
	return wire.Marshal(&uploadsCommand{Part: p})
}

// UploadEndCommand returns the command that ends an upload.
func UploadEndCommand(e *UploadEnd) ([]byte, error) {
	return wire.Marshal(&uploadsCommand{End: e})
}

// UploadDropCommand returns the command that drops uploads.
func UploadDropCommand(uploads []string) ([]byte, error) {
	return wire.Marshal(&uploadsCommand{Drop: uploads})
}
