package batch

import (
	"slices"
	"time"

	"merlinhall/ledger"
)

const (
	// maxPartialBytes bounds the texts that are kept of items without a result.
	maxPartialBytes = 8 << 20
	// partialTTL is how long such a text is kept. Items of groups that were not
	// complete come again within a step or two.
	partialTTL = 45 * time.Second
)

// partials keeps the texts of items that may come again in a later submission.
// They are a saving only: this process may forget them at any time.
type partials struct {
	texts map[string]*partialText
	order []string // oldest first
	size  int
}

// partialText is what was generated of an item whose submission has ended.
type partialText struct {
	text     text
	complete bool
	storedAt time.Time
	size     int
}

func newPartials() *partials { return &partials{texts: make(map[string]*partialText)} }

// put takes the text of an item, in place of an older one.
func (p *partials) put(now time.Time, item string, t text, complete bool) {
	if t.length() == 0 {
		return
	}
	p.drop(item)
	kept := &partialText{text: t, complete: complete, storedAt: now}
	for _, e := range t.events {
		kept.size += len(e)
	}
	for _, part := range t.parts {
		kept.size += len(part)
	}
	p.texts[item] = kept
	p.order = append(p.order, item)
	p.size += kept.size
	for len(p.order) > 0 && (p.size > maxPartialBytes || now.Sub(p.texts[p.order[0]].storedAt) > partialTTL) {
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

// take returns the text of an item, and removes it, if the submission may use it.
func (p *partials) take(item string, sub *ledger.Submission) *partialText {
	t := p.texts[item]
	if t == nil || !t.text.fits(sub) {
		return nil
	}
	p.drop(item)
	return t
}

// has reports whether anything is held of an item.
func (p *partials) has(item string) bool { return p.texts[item] != nil }
