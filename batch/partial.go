package batch

import (
	"slices"
	"time"

	"merlinhall/ledger"
)

const (
	// maxPartialBytes bounds the total size of the stored texts of items without a result.
	maxPartialBytes = 8 << 20
	// partialTTL is the age after which a text is dropped. Items of incomplete groups are
	// normally submitted again within two steps.
	partialTTL = 45 * time.Second
)

// partials caches the partial texts of items that may be submitted again. It only saves
// work: entries may be dropped at any time.
type partials struct {
	texts map[string]*partialText
	order []string // oldest first
	size  int
}

// partialText is the text generated for an item whose submission has ended.
type partialText struct {
	text     text
	complete bool
	storedAt time.Time
	size     int
}

func newPartials() *partials { return &partials{texts: make(map[string]*partialText)} }

// put stores the text of an item and replaces an older one.
func (p *partials) put(now time.Time, item string, t text, complete bool) {
	if t.length() == 0 {
		return
	}
	p.drop(item)
	kept := &partialText{text: t, complete: complete, storedAt: now, size: t.Size()}
	p.texts[item] = kept
	p.order = append(p.order, item)
	p.size += kept.size
	for len(p.order) > 0 && p.size > maxPartialBytes {
		p.drop(p.order[0])
	}
	p.expire(now)
}

// expire drops the texts that are older than partialTTL.
func (p *partials) expire(now time.Time) {
	for len(p.order) > 0 && now.Sub(p.texts[p.order[0]].storedAt) > partialTTL {
		p.drop(p.order[0])
	}
}

func (p *partials) drop(item string) {
	if t := p.texts[item]; t != nil {
		p.size -= t.size
		delete(p.texts, item)
		p.order = slices.DeleteFunc(p.order, func(o string) bool { return o == item })
	}
}

// take removes and returns the text of an item if the submission allows its weight
// versions.
func (p *partials) take(item string, sub *ledger.Submission) *partialText {
	t := p.texts[item]
	if t == nil || !t.text.fits(sub) {
		return nil
	}
	p.drop(item)
	return t
}

// has reports whether a text of the item is stored, whether or not take would return it.
func (p *partials) has(item string) bool { return p.texts[item] != nil }
