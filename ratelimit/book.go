// Package ratelimit keeps the requests of all processes together within the limits that
// targets name: the requests a second that a target in need takes from everyone.
//
// Every process keeps a Book of the limits that it knows. The control leader's Allocator
// gives out grants, one for each request, and the Keeper of each process asks it for them.
package ratelimit

import (
	"cmp"
	"slices"
	"time"

	"merlinhall/directory"
)

// Reading is what one response of a target says about its limit.
type Reading struct {
	Target string
	// StartedMs is the start time of the target in Unix ms, 0 if unknown. A limit ends with
	// the run of the target.
	StartedMs int64
	Limited   bool
	PerSecond float64 // with Limited; requests a second from all processes together
	// SentAt and At are when the request was sent and its response arrived, on the clock of
	// the process. The target named the limit between them.
	SentAt, At time.Duration
}

// says reports whether r and o say the same of the target.
func (r Reading) says(o Reading) bool {
	return r.Limited == o.Limited && r.PerSecond == o.PerSecond && r.StartedMs == o.StartedMs
}

// replaces reports whether r holds instead of o, of the same target. Responses overtake each
// other. Of two whose order is not certain the stricter one holds, until a request that was
// sent after both is answered.
func (r Reading) replaces(o Reading) bool {
	switch {
	case r.StartedMs != o.StartedMs && r.StartedMs != 0 && o.StartedMs != 0:
		return r.StartedMs > o.StartedMs
	case r.SentAt >= o.At:
		return true
	case r.At <= o.SentAt:
		return false
	}
	return r.stricter(o)
}

func (r Reading) stricter(o Reading) bool {
	if r.Limited != o.Limited {
		return r.Limited
	}
	return r.PerSecond < o.PerSecond
}

// known is the reading that holds for a target.
type known struct {
	Reading
	since    time.Duration // when the process learnt this limit, or that there is none any more
	listedAt time.Duration // when the list of targets last had the target
}

// Book is the limits that a process knows. It is not safe for concurrent use.
type Book struct {
	// byTarget also has targets whose limit has ended, so that a late response does not bring
	// it back.
	byTarget map[string]*known
}

// NewBook returns an empty book.
func NewBook() *Book { return &Book{byTarget: make(map[string]*known)} }

// Note takes a reading. It reports whether the limit of the target has changed by it. That a
// target without a limit names none is not kept.
func (b *Book) Note(now time.Duration, r Reading) (changed bool) {
	k := b.byTarget[r.Target]
	switch {
	case k == nil && !r.Limited:
		return false
	case k == nil:
		b.byTarget[r.Target] = &known{Reading: r, since: now, listedAt: now}
		return true
	case !r.replaces(k.Reading):
		return false
	}
	changed = !r.says(k.Reading)
	if changed {
		k.since = now
	}
	k.Reading = r
	return changed
}

// Limit returns the limit of a target in requests a second, and since when the process has
// known it.
func (b *Book) Limit(target string) (perSecond float64, since time.Duration, ok bool) {
	k := b.byTarget[target]
	if k == nil || !k.Limited {
		return 0, 0, false
	}
	return k.PerSecond, k.since, true
}

// Reading returns the reading that holds for a target.
func (b *Book) Reading(target string) (Reading, bool) {
	k := b.byTarget[target]
	if k == nil {
		return Reading{}, false
	}
	return k.Reading, true
}

// Readings returns all readings that hold, in the order of their targets.
func (b *Book) Readings() []Reading {
	out := make([]Reading, 0, len(b.byTarget))
	for _, k := range b.byTarget {
		out = append(out, k.Reading)
	}
	slices.SortFunc(out, func(x, y Reading) int { return cmp.Compare(x.Target, y.Target) })
	return out
}

// Limited returns the number of targets with a limit.
func (b *Book) Limited() int {
	n := 0
	for _, k := range b.byTarget {
		if k.Limited {
			n++
		}
	}
	return n
}

// forgetAfter is how long a target that the list does not show is remembered. The list may
// omit a target for a moment, and a response may be late.
const forgetAfter = 30 * time.Second

// Retain forgets the targets that have started again, and those that the list has not shown
// for a while.
func (b *Book) Retain(now time.Duration, v *directory.View) {
	for id, k := range b.byTarget {
		t := v.Target(id)
		switch {
		case t != nil && t.StartedMs != 0 && k.StartedMs != 0 && t.StartedMs != k.StartedMs:
			delete(b.byTarget, id)
		case t != nil:
			k.listedAt = now
		case now-k.listedAt > forgetAfter:
			delete(b.byTarget, id)
		}
	}
}
