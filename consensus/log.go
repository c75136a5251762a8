package consensus

import (
	"merlinhall/duty"
	"merlinhall/wire"
)

// memoryLog holds the retained entries and the newest snapshot.
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

// term returns the term of the entry at index; ok is false when the entry is not
// retained.
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

// batch returns entries from index on, at least one and otherwise at most limit
// bytes.
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
	duty.Invariant(e.Index == l.last()+1, "entry %d appended after %d", e.Index, l.last())
	l.entries = append(l.entries, e)
}

// truncate drops the entries from index on. The backing array is not reused,
// because messages may still refer to the dropped entries.
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

// compactionIndex returns the index after which entries are kept when at most keep
// entries of together at most limit bytes are to stay before index.
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

// compact drops the entries up to index, which must be covered by the snapshot.
func (l *memoryLog) compact(index uint64) {
	if index <= l.base.Index {
		return
	}
	duty.Invariant(index <= l.snapshot.Index, "compaction to %d beyond snapshot %d", index, l.snapshot.Index)
	term, _ := l.term(index)
	members, _ := l.membersAt(index)
	rest := append([]Entry(nil), l.slice(index+1, l.last())...)
	l.base = Base{Index: index, Term: term, Members: members}
	l.entries = rest
}

// install replaces the log by a snapshot of the leader.
func (l *memoryLog) install(s Snapshot) {
	l.base = Base{Index: s.Index, Term: s.Term, Members: s.Members}
	l.entries = nil
	l.snapshot = s.withoutData()
}

func encodeMembers(members []Member) []byte {
	b, err := wire.Marshal(members)
	duty.Invariant(err == nil, "members cannot be encoded: %v", err)
	return b
}

func decodeMembers(b []byte) []Member {
	var members []Member
	err := wire.Unmarshal(b, &members)
	duty.Invariant(err == nil, "members entry cannot be decoded: %v", err)
	return members
}
