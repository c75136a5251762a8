package ledger

import (
	"bytes"
	"slices"

	"github.com/rotisserie/eris"

	"merlinhall/wire"
)

// Progress adds to the partial text of an item, so that a new leader can continue it.
type Progress struct {
	Item string `cbor:"1,keyasint"`
	// EventsBefore is the number of events of the text before this part. 0 replaces the
	// text.
	EventsBefore int      `cbor:"2,keyasint,omitempty"`
	Events       int      `cbor:"3,keyasint"` // number of events in Parts
	Parts        [][]byte `cbor:"4,keyasint"` // compressed
	Versions     []uint64 `cbor:"5,keyasint"` // of the complete text so far
	// Lineage identifies the text together with its number of events. Parts of one lineage
	// never follow those of another, whatever their number of events.
	Lineage uint64 `cbor:"6,keyasint,omitempty"`
	// Software is that of the engines that generated the complete text so far, the zero value
	// if it is not known.
	Software wire.Software `cbor:"7,keyasint,omitzero"`
}

// Partial is the text generated so far of an item without a result.
type Partial struct {
	ForSubmission string   `cbor:"1,keyasint"` // submission that it was generated for
	Events        int      `cbor:"2,keyasint"`
	Parts         [][]byte `cbor:"3,keyasint"` // compressed
	Versions      []uint64 `cbor:"4,keyasint"`
	Lineage       uint64   `cbor:"5,keyasint,omitempty"`
	// Software is as in Progress.
	Software wire.Software `cbor:"6,keyasint,omitzero"`
}

// addProgress adds parts to partial texts. A part that does not directly follow the known
// text is ignored, as is one of an item that the submission does not have.
func (s *Submissions) addProgress(submission string, list []Progress) {
	state := s.byID[submission]
	if state == nil {
		return
	}
	for _, p := range list {
		_, known := state.itemIndex[p.Item]
		if _, recorded := state.resultIndex[p.Item]; recorded || !known {
			continue
		}
		old := s.partial[p.Item]
		switch {
		case p.EventsBefore == 0:
			s.setPartial(p.Item, &Partial{ForSubmission: submission, Events: p.Events, Parts: p.Parts, Versions: p.Versions, Lineage: p.Lineage, Software: p.Software})
		case old != nil && old.Events == p.EventsBefore && old.Lineage == p.Lineage:
			s.setPartial(p.Item, &Partial{
				ForSubmission: submission, Events: p.EventsBefore + p.Events, Parts: append(slices.Clone(old.Parts), p.Parts...),
				Versions: p.Versions, Lineage: p.Lineage, Software: p.Software,
			})
		}
	}
}

// prependPartial completes the text of a result with the partial text that it continues.
// It returns false if the ledger does not have that text.
func (s *Submissions) prependPartial(r *Result) bool {
	if r.PartialEvents == 0 {
		return true
	}
	p := s.partial[r.Item]
	if p == nil || p.Events != r.PartialEvents || p.Lineage != r.Lineage {
		return false
	}
	r.Parts = append(slices.Clone(p.Parts), r.Parts...)
	return true
}

// Partial returns the partial text of an item.
func (s *Submissions) Partial(item string) (Partial, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if p := s.partial[item]; p != nil {
		return *p, true
	}
	return Partial{}, false
}

// Text decompresses the parts of a text and joins them with line feeds.
func Text(parts [][]byte) ([]byte, error) {
	var out bytes.Buffer
	for i, part := range parts {
		text, err := Unpack(part)
		if err != nil {
			return nil, eris.Wrapf(err, "part %d", i)
		}
		if i > 0 {
			out.WriteByte('\n')
		}
		out.Write(text)
	}
	return out.Bytes(), nil
}
