package batch

import (
	"slices"
	"time"
)

const (
	// partialBytes bounds the texts that are kept of items without a result.
	partialBytes = 8 << 20
	// partialKeep is how long such a text is kept. Items of groups that were not
	// complete come again within a step or two.
	partialKeep = 45 * time.Second
)

// partialText is what was generated of an item whose submission has ended.
type partialText struct {
	events   [][]byte
	versions []uint64
	complete bool
	kept     time.Time
	size     int
}

// partials keeps the texts of items that may come again in a later submission.
// They are a saving only: this process may forget them at any time.
type partials struct {
	texts map[string]*partialText
	order []string // oldest first
	size  int
}

func newPartials() *partials { return &partials{texts: make(map[string]*partialText)} }

// keep takes the text of an item, unless a longer one is held.
func (p *partials) keep(now time.Time, item string, events [][]byte, versions []uint64, complete bool) {
	if len(events) == 0 {
		return
	}
	if old := p.texts[item]; old != nil {
		if len(old.events) > len(events) && slices.Min(old.versions) >= slices.Min(versions) {
			return
		}
		p.drop(item)
	}
	t := &partialText{events: events, versions: versions, complete: complete, kept: now}
	for _, e := range events {
		t.size += len(e)
	}
	p.texts[item] = t
	p.order = append(p.order, item)
	p.size += t.size
	for len(p.order) > 0 && (p.size > partialBytes || now.Sub(p.texts[p.order[0]].kept) > partialKeep) {
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

// take returns the text of an item, and removes it, if the versions that generated
// it may be used.
func (p *partials) take(item string, least uint64, single bool) *partialText {
	t := p.texts[item]
	if t == nil || slices.Min(t.versions) < least || single && len(t.versions) > 1 {
		return nil
	}
	p.drop(item)
	return t
}

// has reports whether anything is held of it.
func (p *partials) has(item string) bool { return p.texts[item] != nil }
