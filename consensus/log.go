package consensus

import (
	"merlinhall/actor"
	"merlinhall/wire"
)

// memoryLog holds the retained entries and the metadata of the newest snapshot.
type memoryLog struct {
	base     Base
	entries  []Entry
	snapshot Snapshot
}

func (l *memoryLog) last() uint64 { return l.base.Index + uint64(len(l.entries)) }

func (l *memoryLog) lastTerm() uint64 {
	term, _ := l.term(l.last())
	return term
}

// term returns the term of the entry at index. ok is false if the term is not known
// because the entry is not retained.
func (l *memoryLog) term(index uint64) (term uint64, ok bool) {
	switch {
	case index == l.base.Index:
		return l.base.Term, true
	case index == l.snapshot.Index:
		return l.snapshot.Term, true
	case index < l.base.Index || index > l.last():
		return 0, false
	}
	return l.at(index).Term, true
}

func (l *memoryLog) at(index uint64) *Entry { return &l.entries[index-l.base.Index-1] }

// slice returns the entries in [from, to].
func (l *memoryLog) slice(from, to uint64) []Entry {
	if from > to {
		return nil
	}
	return l.entries[from-l.base.Index-1 : to-l.base.Index : to-l.base.Index]
}

// batch returns entries starting at from: at least one, and more as long as they fit
// into limit bytes.
func (l *memoryLog) batch(from uint64, limit int) []Entry {
	size := 0
	to := from
	for ; to <= l.last(); to++ {
		size += len(l.at(to).Data) + entryOverhead
		if size > limit && to > from {
			break
		}
	}
	return l.slice(from, to-1)
}

// entryOverhead is the encoded size of an entry without its data, rounded up.
const entryOverhead = 32

func (l *memoryLog) append(e Entry) {
	actor.Invariant(e.Index == l.last()+1, "entry %d appended after entry %d", e.Index, l.last())
	l.entries = append(l.entries, e)
}

// truncate removes all entries starting at index. It does not reuse the backing
// array, because queued messages may still refer to the removed entries.
func (l *memoryLog) truncate(index uint64) {
	keep := index - l.base.Index - 1
	l.entries = append([]Entry(nil), l.entries[:keep]...)
}

// membersAt returns the membership in force at index and the index of the entry
// that set it.
func (l *memoryLog) membersAt(index uint64) ([]Member, uint64) {
	for i := min(index, l.last()); i > l.base.Index; i-- {
		if e := l.at(i); e.Kind == EntryMembers {
			return decodeMembers(e.Data), i
		}
	}
	return l.base.Members, l.base.Index
}

// compactionIndex returns the index up to which the log can be compacted if at most
// keep entries with at most limit bytes in total are retained up to index.
func (l *memoryLog) compactionIndex(index, keep uint64, limit int) uint64 {
	from, size := index, 0
	for from > l.base.Index && index-from < keep {
		size += len(l.at(from).Data) + entryOverhead
		if size > limit {
			break
		}
		from--
	}
	return from
}

// compact removes the entries up to index, which the snapshot must cover.
func (l *memoryLog) compact(index uint64) {
	if index <= l.base.Index {
		return
	}
	actor.Invariant(index <= l.snapshot.Index, "compaction up to %d is beyond the snapshot at %d", index, l.snapshot.Index)
	term, _ := l.term(index)
	members, _ := l.membersAt(index)
	rest := append([]Entry(nil), l.slice(index+1, l.last())...)
	l.base = Base{Index: index, Term: term, Members: members}
	l.entries = rest
}

// install replaces the log with a snapshot from the leader.
func (l *memoryLog) install(s Snapshot) {
	l.base = Base{Index: s.Index, Term: s.Term, Members: s.Members}
	l.entries = nil
	l.snapshot = s.withoutData()
}

func encodeMembers(members []Member) []byte {
	b, err := wire.Marshal(members)
	actor.Invariant(err == nil, "membership cannot be encoded: %v", err)
	return b
}

func decodeMembers(b []byte) []Member {
	var members []Member
	err := wire.Unmarshal(b, &members)
	actor.Invariant(err == nil, "membership entry cannot be decoded: %v", err)
	return members
}
