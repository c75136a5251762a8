package control

import (
	"fmt"
	"slices"
	"unicode/utf8"

	"github.com/rotisserie/eris"

	"merlinhall/config"
	"merlinhall/propagate"
	"merlinhall/wire"
)

const (
	// MaxConfigBytes is the maximum size of a configuration text. The text of 2,600
	// targets is about 0.4 MB. Encoded as JSON the text may double in size and must
	// still fit in a frame.
	MaxConfigBytes = 2 << 20
	// maxRevisions limits the number of revisions in the history, maxHistoryBytes the
	// total size of their reverse patches. Both are part of every snapshot.
	maxRevisions    = 1024
	maxHistoryBytes = 2 << 20
)

// configCommand is the command of the slice "config". It carries either the full text
// or, to keep the log small, a patch against the text of version Base.
type configCommand struct {
	Text   []byte         `cbor:"1,keyasint,omitempty"`
	Base   uint64         `cbor:"2,keyasint"`
	Author string         `cbor:"3,keyasint"`
	Digest string         `cbor:"4,keyasint"` // of the full text
	Patch  []wire.PatchOp `cbor:"5,keyasint,omitempty"`
}

// newConfigCommand returns a command with a patch if that is less than half the size of
// the text, and else with the full text. current is the state to which the command
// will probably be applied.
func newConfigCommand(current *configState, base uint64, text []byte, author string) *configCommand {
	c := &configCommand{Base: base, Author: author, Digest: config.Digest(text)}
	if n := len(current.Records); n > 0 && current.Records[n-1].Revision.Version == base {
		c.Patch = propagate.MakePatch(current.Text, text)
		if patchBytes(c.Patch) < len(text)/2 {
			return c
		}
	}
	c.Patch, c.Text = nil, text
	return c
}

// Revision describes an accepted configuration version.
type Revision struct {
	Version   uint64     `cbor:"1,keyasint" json:"version"`
	Author    string     `cbor:"2,keyasint" json:"author"`
	RequestID string     `cbor:"3,keyasint" json:"request_id"`
	TimeMs    int64      `cbor:"4,keyasint" json:"time_ms"` // Unix time in milliseconds
	Digest    string     `cbor:"5,keyasint" json:"digest"`
	Fence     wire.Fence `cbor:"6,keyasint" json:"-"`
}

// ConfigOutcome is the result of applying a configuration command.
type ConfigOutcome struct {
	Accepted bool   `cbor:"1,keyasint"`
	Version  uint64 `cbor:"2,keyasint"` // accepted version
	Base     uint64 `cbor:"3,keyasint"`
	// Winner is the revision that replaced Base, and Current the newest revision.
	// Both are set on a conflict.
	Winner  Revision `cbor:"4,keyasint,omitzero"`
	Current Revision `cbor:"5,keyasint,omitzero"`
	// Invalid is the reason why the text was refused at apply, after it passed the
	// checks before the proposal.
	Invalid string `cbor:"6,keyasint,omitempty"`
}

// revisionRecord is a revision with the patch that turns the text of the next revision
// back into its own text.
type revisionRecord struct {
	Revision     Revision       `cbor:"1,keyasint"`
	ReversePatch []wire.PatchOp `cbor:"2,keyasint,omitempty"`
}

// configState is the state of the slice.
type configState struct {
	Text    []byte           `cbor:"1,keyasint"`
	Records []revisionRecord `cbor:"2,keyasint"` // oldest first, the last one is current
	// Dropped is the highest version that was removed from Records.
	Dropped uint64 `cbor:"3,keyasint"`
}

type configSlice struct {
	state   configState
	changed bool
	// ignoreBase disables the check of the base version. Used by tests only.
	ignoreBase bool
}

func newConfigSlice() *configSlice { return &configSlice{} }

// Name implements Slice.
func (s *configSlice) Name() string { return "config" }

// Apply implements Slice.
func (s *configSlice) Apply(index, term uint64, body []byte) any {
	return s.applyRequest(index, term, &command{Body: body})
}

// applyRequest implements requestAwareSlice. The result is a *ConfigOutcome.
func (s *configSlice) applyRequest(index, term uint64, request *command) any {
	var c configCommand
	if err := wire.Unmarshal(request.Body, &c); err != nil {
		return eris.Wrapf(ErrBadCommand, "%v", err)
	}
	if version, ok := s.acceptedBefore(request.RequestID, c.Digest); ok {
		return &ConfigOutcome{Accepted: true, Version: version, Base: c.Base}
	}
	if c.Base != s.current().Version && !s.ignoreBase {
		return &ConfigOutcome{Base: c.Base, Winner: s.winner(c.Base), Current: s.current()}
	}
	text, why := s.textOf(&c)
	if why != "" {
		return &ConfigOutcome{Base: c.Base, Invalid: why}
	}
	revision := Revision{
		Version:   s.current().Version + 1,
		Author:    c.Author,
		RequestID: request.RequestID,
		TimeMs:    request.TimeMs,
		Digest:    c.Digest,
		Fence:     wire.Fence{Term: term, Sequence: index},
	}
	s.accept(revision, text)
	return &ConfigOutcome{Accepted: true, Version: revision.Version, Base: c.Base}
}

// duplicateOutcome implements requestAwareSlice. An accepted request that is sent again
// with a different base is a duplicate.
func (s *configSlice) duplicateOutcome(request *command) (any, bool) {
	var c configCommand
	if wire.Unmarshal(request.Body, &c) != nil {
		return nil, false
	}
	version, ok := s.acceptedBefore(request.RequestID, c.Digest)
	return &ConfigOutcome{Accepted: ok, Version: version, Base: c.Base}, ok
}

// contentKey implements requestAwareSlice. The key is the same whether the command
// carries a full text or a patch.
func (s *configSlice) contentKey(request *command) []byte {
	var c configCommand
	if wire.Unmarshal(request.Body, &c) != nil {
		return request.Body
	}
	return fmt.Appendf(nil, "%d %s", c.Base, c.Digest)
}

// textOf returns the full text of a command that is based on the current version, or
// the reason why the command is invalid.
func (s *configSlice) textOf(c *configCommand) (text []byte, why string) {
	text = c.Text
	if len(c.Patch) > 0 {
		var err error
		if text, err = propagate.ApplyPatch(s.state.Text, c.Patch, MaxConfigBytes); err != nil {
			return nil, err.Error()
		}
	}
	if why := structureError(text); why != "" {
		return nil, why
	}
	if config.Digest(text) != c.Digest {
		return nil, "the text does not match its digest"
	}
	return text, ""
}

func structureError(text []byte) string {
	switch {
	case len(text) == 0:
		return "the text is empty"
	case len(text) > MaxConfigBytes:
		return "the text is too large"
	case !utf8.Valid(text):
		return "the text is not UTF-8"
	}
	return ""
}

// acceptedBefore returns the version under which an equal request was accepted: the
// current version if its text is the same, or else a version with the same request id
// and text.
func (s *configSlice) acceptedBefore(requestID, digest string) (uint64, bool) {
	if latest := s.current(); latest.Version > 0 && latest.Digest == digest {
		return latest.Version, true
	}
	if requestID == "" {
		return 0, false
	}
	for _, r := range s.state.Records {
		if r.Revision.RequestID == requestID && r.Revision.Digest == digest {
			return r.Revision.Version, true
		}
	}
	return 0, false
}

func (s *configSlice) current() Revision {
	if n := len(s.state.Records); n > 0 {
		return s.state.Records[n-1].Revision
	}
	return Revision{}
}

// winner returns the revision after base, or the current revision if that one is no
// longer in the history.
func (s *configSlice) winner(base uint64) Revision {
	for _, r := range s.state.Records {
		if r.Revision.Version == base+1 {
			return r.Revision
		}
	}
	return s.current()
}

func (s *configSlice) accept(r Revision, text []byte) {
	if n := len(s.state.Records); n > 0 {
		s.state.Records[n-1].ReversePatch = propagate.MakePatch(text, s.state.Text)
	}
	s.state.Records = append(s.state.Records, revisionRecord{Revision: r})
	s.state.Text = text
	s.changed = true
	s.trim()
}

// trim removes the oldest records until the history is within its limits. It never
// removes the current record.
func (s *configSlice) trim() {
	records := s.state.Records
	size, keep := 0, len(records)-1
	for keep > 0 && len(records)-keep < maxRevisions {
		size += patchBytes(records[keep-1].ReversePatch)
		if size > maxHistoryBytes {
			break
		}
		keep--
	}
	if keep > 0 {
		s.state.Dropped = records[keep-1].Revision.Version
		s.state.Records = slices.Clone(records[keep:])
	}
}

func patchBytes(ops []wire.PatchOp) int {
	n := 0
	for _, op := range ops {
		n += len(op.Text) + 8
	}
	return n
}

// text returns the text of a version, or false if it is not in the history.
func (s *configState) text(version uint64) ([]byte, bool) {
	text := s.Text
	for i := len(s.Records) - 1; i >= 0; i-- {
		if i < len(s.Records)-1 {
			older, err := propagate.ApplyPatch(text, s.Records[i].ReversePatch, MaxConfigBytes)
			if err != nil {
				return nil, false
			}
			text = older
		}
		if s.Records[i].Revision.Version == version {
			return text, true
		}
	}
	return nil, false
}

// copyState returns a copy of the state for use outside the lock. It shares texts and
// patches with the slice, which never modifies them in place; it only sets ReversePatch
// of the current record, and the records are cloned.
func (s *configSlice) copyState() configState {
	c := s.state
	c.Records = slices.Clone(c.Records)
	return c
}

func (s *configSlice) takeChanged() bool {
	changed := s.changed
	s.changed = false
	return changed
}

func (s *configSlice) addTo(clusterState *wire.ClusterState) {
	latest := s.current()
	clusterState.ConfigVersion = latest.Version
	clusterState.ConfigDigest = latest.Digest
	clusterState.ConfigText = s.state.Text
	clusterState.ConfigFence = latest.Fence
}

// Snapshot implements Slice.
func (s *configSlice) Snapshot() ([]byte, error) { return wire.Marshal(&s.state) }

// Restore implements Slice.
func (s *configSlice) Restore(b []byte) error {
	var state configState
	if err := wire.Unmarshal(b, &state); err != nil {
		return err
	}
	s.state = state
	return nil
}

// DecodeResult implements ResultDecoder.
func (s *configSlice) DecodeResult(b []byte) (any, error) {
	o := new(ConfigOutcome)
	return o, wire.Unmarshal(b, o)
}
