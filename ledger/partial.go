package ledger

import (
	"bytes"
	"slices"

	"github.com/rotisserie/eris"
)

// Progress adds to the text of an item that is being generated, so that a new
// leader goes on with it.
type Progress struct {
	Item string `cbor:"1,keyasint"`
	// EventsBefore is how many events of the text are held before this part; 0 begins
	// the text anew.
	EventsBefore int      `cbor:"2,keyasint,omitempty"`
	Events       int      `cbor:"3,keyasint"` // in Parts
	Parts        [][]byte `cbor:"4,keyasint"` // packed
	Versions     []uint64 `cbor:"5,keyasint"` // of the whole text so far
}

// Partial is the beginning of an item's text.
type Partial struct {
	Submission string   `cbor:"1,keyasint"` // submission that it was generated for
	Events     int      `cbor:"2,keyasint"`
	Parts      [][]byte `cbor:"3,keyasint"` // packed
	Versions   []uint64 `cbor:"4,keyasint"`
}

// addProgress takes parts of texts. A part that does not follow what is held is left
// out.
func (s *Submissions) addProgress(of string, list []Progress) {
	h := s.byID[of]
	if h == nil {
		return
	}
	for _, p := range list {
		if _, listed := h.resultIndex[p.Item]; listed {
			continue
		}
		old := s.partial[p.Item]
		switch {
		case p.EventsBefore == 0:
			s.partial[p.Item] = &Partial{Submission: of, Events: p.Events, Parts: p.Parts, Versions: p.Versions}
		case old != nil && old.Events == p.EventsBefore:
			s.partial[p.Item] = &Partial{
				Submission: of, Events: p.EventsBefore + p.Events, Parts: append(slices.Clone(old.Parts), p.Parts...), Versions: p.Versions,
			}
		}
	}
}

// prependPartial returns the packed parts of a result's text. ok is false when the
// result goes on after a text that is not held.
func (s *Submissions) prependPartial(r *Result) bool {
	if r.EventsBefore == 0 {
		return true
	}
	p := s.partial[r.Item]
	if p == nil || p.Events != r.EventsBefore {
		return false
	}
	r.Parts = append(slices.Clone(p.Parts), r.Parts...)
	return true
}

// Partial returns the beginning of an item's text.
func (s *Submissions) Partial(item string) (Partial, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if p := s.partial[item]; p != nil {
		return *p, true
	}
	return Partial{}, false
}

// Text returns the text of packed parts.
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
