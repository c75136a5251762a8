package batch

import (
	"bytes"
	"slices"

	"merlinhall/ledger"
)

// text is what has been generated so far for an item. A run on any engine can continue it.
type text struct {
	parts       [][]byte // compressed, the first partsEvents events
	partsEvents int
	events      [][]byte // later events
	versions    []uint64 // weight versions that generated the text
	// inLedger is set when the ledger is known to have the parts. It has no later events,
	// unless a proposal of them is in progress.
	inLedger bool
}

// length returns the number of events.
func (t *text) length() int { return t.partsEvents + len(t.events) }

// add appends events and adds the weight versions of their run.
func (t *text) add(events [][]byte, versions []uint64) {
	t.events = append(t.events, events...)
	for _, v := range versions {
		if !slices.Contains(t.versions, v) {
			t.versions = append(t.versions, v)
		}
	}
}

// fits reports whether a submission allows the weight versions of the text. It returns
// false for a text without versions.
func (t *text) fits(sub *ledger.Submission) bool {
	if len(t.versions) == 0 || slices.Min(t.versions) < sub.MinVersion {
		return false
	}
	return !sub.SingleVersion || len(t.versions) == 1
}

// textFromPartial returns the partial text that the ledger has of an item.
func textFromPartial(p ledger.Partial) text {
	return text{parts: p.Parts, partsEvents: p.Events, versions: p.Versions, inLedger: true}
}

// unsaved returns the compressed parts that the ledger does not have, and the number of
// events before them.
func (t *text) unsaved() (parts [][]byte, eventsBefore int) {
	if t.inLedger {
		eventsBefore = t.partsEvents
	} else {
		parts = slices.Clone(t.parts)
	}
	if len(t.events) > 0 {
		parts = append(parts, ledger.Pack(bytes.Join(t.events, []byte("\n"))))
	}
	return parts, eventsBefore
}

// result returns the result of an item with this text, without the events that the ledger
// already has.
func (t *text) result(item, score string) ledger.Result {
	parts, eventsBefore := t.unsaved()
	return ledger.Result{Item: item, PartialEvents: eventsBefore, Parts: parts, Versions: t.versions, Score: score}
}

// progress returns the part of the text that the ledger does not have.
func (t *text) progress(item string) ledger.Progress {
	parts, eventsBefore := t.unsaved()
	return ledger.Progress{Item: item, EventsBefore: eventsBefore, Events: t.length() - eventsBefore, Parts: parts, Versions: slices.Clone(t.versions)}
}

// markSaved notes that the ledger has stored p, which progress returned. Events may have
// been added since.
func (t *text) markSaved(p *ledger.Progress) {
	base := p.EventsBefore + p.Events
	if p.EventsBefore > 0 {
		t.parts = append(slices.Clone(t.parts), p.Parts...)
	} else {
		t.parts = p.Parts
	}
	t.events = slices.Clone(t.events[base-t.partsEvents:])
	t.partsEvents, t.inLedger = base, true
}
