package batch

import (
	"slices"

	"merlinhall/carrier"
	"merlinhall/ledger"
	"merlinhall/wire"
)

// text is what has been generated so far for an item. A run on an engine of the same software
// can continue it.
type text struct {
	carrier.Text
	// The ledger is known to have the first savedParts parts with savedEvents events.
	savedParts, savedEvents int
}

// length returns the number of events.
func (t *text) length() int { return t.Events }

// unsavedEvents returns the number of events that the ledger is not known to have.
func (t *text) unsavedEvents() int { return t.Events - t.savedEvents }

// take adds a part that a carrier handed in, which continues the text after from events or,
// with from 0, replaces it. It reports false if the part does not fit.
func (t *text) take(part *carrier.Text, from int) bool {
	if from == 0 {
		*t = text{Text: *part}
		return true
	}
	if from != t.Events || part.Lineage != t.Lineage && part.Continues != t.Lineage {
		return false
	}
	if part.Lineage != t.Lineage {
		// The ledger may get events of the former attempt that this one does not continue.
		t.Lineage = part.Lineage
		t.forgetSaved()
	}
	if t.Software != part.Software {
		t.Software = wire.Software{}
	}
	t.Parts = append(slices.Clone(t.Parts), part.Parts...)
	t.Events += part.Events
	t.Versions = part.Versions
	return true
}

// fits reports whether a submission allows the weight versions of the text. It returns
// false for a text without versions.
func (t *text) fits(sub *ledger.Submission) bool {
	if len(t.Versions) == 0 || slices.Min(t.Versions) < sub.MinVersion {
		return false
	}
	return !sub.SingleVersion || len(t.Versions) == 1
}

// textFromPartial returns the partial text that the ledger has of an item.
func textFromPartial(p ledger.Partial) text {
	return text{
		Text:       carrier.Text{Parts: p.Parts, Events: p.Events, Versions: p.Versions, Lineage: p.Lineage, Software: p.Software},
		savedParts: len(p.Parts), savedEvents: p.Events,
	}
}

// result returns the result of an item with this text, without the events that the ledger
// already has.
func (t *text) result(item, score string) ledger.Result {
	return ledger.Result{
		Item: item, PartialEvents: t.savedEvents, Lineage: t.Lineage, Parts: t.Parts[t.savedParts:], Versions: t.Versions, Score: score,
	}
}

// progress returns the part of the text that the ledger does not have.
func (t *text) progress(item string) ledger.Progress {
	return ledger.Progress{
		Item: item, EventsBefore: t.savedEvents, Events: t.unsavedEvents(), Lineage: t.Lineage,
		Parts: slices.Clone(t.Parts[t.savedParts:]), Versions: slices.Clone(t.Versions), Software: t.Software,
	}
}

// markSaved notes that the ledger has stored p, which progress returned. The text may have
// grown since; if it was replaced, nothing of it is saved.
func (t *text) markSaved(p *ledger.Progress) {
	if p.Lineage != t.Lineage || p.EventsBefore != t.savedEvents || p.EventsBefore+p.Events > t.Events {
		return
	}
	t.savedParts += len(p.Parts)
	t.savedEvents += p.Events
}

// forgetSaved makes the next save or result contain the whole text.
func (t *text) forgetSaved() { t.savedParts, t.savedEvents = 0, 0 }
