package propagate

import (
	"cmp"
	"slices"

	"merlinhall/duty"
	"merlinhall/wire"
)

const (
	// historyWorlds is how many worlds a parent keeps as bases of deltas. Each may
	// hold a text of 0.4 MB. At the peak rate they span some minutes; a child that
	// is further behind gets a snapshot.
	historyWorlds = 8
	// smallDelta is the size below which a delta is sent without computing the
	// snapshot for comparison.
	smallDelta = 4 << 10
)

// tree is the state of a parent: the world it holds and what its children hold.
// It does no I/O: every method returns what must be sent.
type tree[K comparable] struct {
	world    *wire.World
	history  []*wire.World // oldest first, the last one is world
	frames   map[uint64][]byte
	snapshot []byte
	children map[K]*childState
	sums     map[uint64]int // versions held by all subtrees
	stale    bool
}

type childState struct {
	subscribed bool
	sent       uint64 // index of the newest world sent
	counts     []wire.VersionCount
}

// outgoing is a frame for a child. A frame that cannot be queued must end the
// connection, because the child's next delta builds on it.
type outgoing[K comparable] struct {
	to    K
	frame []byte
}

func newTree[K comparable]() *tree[K] {
	return &tree[K]{
		frames:   make(map[uint64][]byte),
		children: make(map[K]*childState),
		sums:     make(map[uint64]int),
	}
}

// publish takes a newer world and returns the frames that bring the subscribed
// children to it. A digest follows each, so that the children of a parent that
// has just started know at once whether it is fresh. A world that is not newer
// changes nothing.
func (t *tree[K]) publish(w *wire.World) []outgoing[K] {
	if t.world != nil && w.Index <= t.world.Index {
		return nil
	}
	duty.Invariant(t.world == nil || w.ConfigVersion >= t.world.ConfigVersion,
		"world %d has configuration %d after %d", w.Index, w.ConfigVersion, t.version())
	t.world = w
	t.history = append(t.history, w)
	if len(t.history) > historyWorlds {
		t.history = slices.Delete(t.history, 0, len(t.history)-historyWorlds)
	}
	t.snapshot = nil
	clear(t.frames)
	var out []outgoing[K]
	for k, c := range t.children {
		if frames := t.update(k, c); len(frames) > 0 {
			out = append(append(out, frames...), t.digestFor(k)...)
		}
	}
	return out
}

func (t *tree[K]) version() uint64 {
	if t.world == nil {
		return 0
	}
	return t.world.ConfigVersion
}

// subscribe starts, repeats or ends the subscription of a child.
func (t *tree[K]) subscribe(k K, m *wire.Subscribe) []outgoing[K] {
	if m.Stop {
		t.remove(k)
		return nil
	}
	c := t.children[k]
	if c == nil {
		c = &childState{}
		t.children[k] = c
	}
	c.subscribed = true
	c.sent = m.Index
	return append(t.update(k, c), t.digestFor(k)...)
}

func (t *tree[K]) remove(k K) {
	if c := t.children[k]; c != nil {
		t.count(c.counts, -1)
		delete(t.children, k)
	}
}

func (t *tree[K]) count(counts []wire.VersionCount, sign int) {
	for _, c := range counts {
		t.sums[c.Version] += sign * c.Count
		if t.sums[c.Version] == 0 {
			delete(t.sums, c.Version)
		}
	}
}

// holding takes a child's report of the versions held in its subtree.
func (t *tree[K]) holding(k K, m *wire.Holding) (changed bool) {
	c := t.children[k]
	if c == nil || !c.subscribed {
		return false
	}
	changed = !slices.Equal(c.counts, m.Counts)
	t.count(c.counts, -1)
	c.counts = m.Counts
	t.count(c.counts, 1)
	return changed
}

// tick returns the periodic digests.
func (t *tree[K]) tick() []outgoing[K] {
	var out []outgoing[K]
	if t.world == nil {
		return nil
	}
	frame := t.digest()
	for k, c := range t.children {
		if c.subscribed {
			out = append(out, outgoing[K]{to: k, frame: frame})
		}
	}
	return out
}

func (t *tree[K]) digestFor(k K) []outgoing[K] {
	if t.world == nil {
		return nil
	}
	return []outgoing[K]{{to: k, frame: t.digest()}}
}

func (t *tree[K]) digest() []byte {
	return mustEncode(&wire.Digest{
		Index:         t.world.Index,
		Term:          t.world.Term,
		ConfigVersion: t.world.ConfigVersion,
		Stale:         t.stale,
	})
}

// counts returns the versions held by all subtrees, highest version first.
func (t *tree[K]) counts() []wire.VersionCount { return countList(t.sums) }

// SumCounts adds up lists of counts, highest version first.
func SumCounts(lists ...[]wire.VersionCount) []wire.VersionCount {
	sums := make(map[uint64]int)
	for _, list := range lists {
		for _, c := range list {
			sums[c.Version] += c.Count
		}
	}
	return countList(sums)
}

func countList(sums map[uint64]int) []wire.VersionCount {
	out := make([]wire.VersionCount, 0, len(sums))
	for v, n := range sums {
		out = append(out, wire.VersionCount{Version: v, Count: n})
	}
	slices.SortFunc(out, func(a, b wire.VersionCount) int { return cmp.Compare(b.Version, a.Version) })
	return out
}

// update returns the frame that brings a child from what was sent to it to the
// present world. A child that holds a newer world than this parent gets none.
func (t *tree[K]) update(k K, c *childState) []outgoing[K] {
	if !c.subscribed || t.world == nil || c.sent >= t.world.Index {
		return nil
	}
	frame := t.frameFrom(c.sent)
	c.sent = t.world.Index
	return []outgoing[K]{{to: k, frame: frame}}
}

// frameFrom returns the smaller of the delta from base and the snapshot.
func (t *tree[K]) frameFrom(base uint64) []byte {
	if frame := t.frames[base]; frame != nil {
		return frame
	}
	frame := t.deltaFrom(base)
	if frame == nil {
		return t.snapshotFrame()
	}
	if len(frame) > smallDelta && len(t.snapshotFrame()) < len(frame) {
		frame = t.snapshotFrame()
	}
	t.frames[base] = frame
	return frame
}

// deltaFrom returns the delta frame from base, or nil when base is unknown.
func (t *tree[K]) deltaFrom(base uint64) []byte {
	for _, old := range t.history {
		if old.Index == base && base < t.world.Index {
			return pack(mustEncode(MakeDelta(old, t.world)))
		}
	}
	return nil
}

func (t *tree[K]) snapshotFrame() []byte {
	if t.snapshot == nil {
		t.snapshot = pack(mustEncode(t.world))
	}
	return t.snapshot
}

// mustEncode encodes a message of this package, whose size the admission of
// configurations bounds.
func mustEncode(m wire.Message) []byte {
	frame, err := wire.Encode(m)
	duty.Invariant(err == nil, "encode %T: %v", m, err)
	return frame
}
