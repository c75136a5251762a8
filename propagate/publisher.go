package propagate

import (
	"cmp"
	"slices"

	"merlinhall/duty"
	"merlinhall/wire"
)

const (
	// maxHistory is how many worlds a parent keeps as bases of deltas. Each may
	// hold a text of 0.4 MB. At the peak rate they span some minutes; a child that
	// is further behind gets a snapshot.
	maxHistory = 8
	// smallDeltaBytes is the size below which a delta is sent without computing the
	// snapshot for comparison.
	smallDeltaBytes = 4 << 10
)

// publisher is the state of a parent: the world it holds and what its children hold.
// It does no I/O: every method returns what must be sent.
type publisher[K comparable] struct {
	clusterState  *wire.World
	history       []*wire.World // oldest first, the last one is world
	deltaFrames   map[uint64][]byte
	snapshotBytes []byte
	children      map[K]*childState
	subtreeCounts map[uint64]int // versions held by all subtrees
	stale         bool
}

type childState struct {
	subscribed bool
	sentIndex  uint64 // index of the newest world sent
	counts     []wire.VersionCount
}

// outgoing is a frame for a child. A frame that cannot be queued must end the
// connection, because the child's next delta builds on it.
type outgoing[K comparable] struct {
	to    K
	frame []byte
}

func newPublisher[K comparable]() *publisher[K] {
	return &publisher[K]{
		deltaFrames:   make(map[uint64][]byte),
		children:      make(map[K]*childState),
		subtreeCounts: make(map[uint64]int),
	}
}

// publish takes a newer world and returns the frames that bring the subscribed
// children to it. A digest follows each, so that the children of a parent that
// has just started know at once whether it is fresh. A world that is not newer
// changes nothing.
func (t *publisher[K]) publish(w *wire.World) []outgoing[K] {
	if t.clusterState != nil && w.Index <= t.clusterState.Index {
		return nil
	}
	duty.Invariant(t.clusterState == nil || w.ConfigVersion >= t.clusterState.ConfigVersion,
		"world %d has configuration %d after %d", w.Index, w.ConfigVersion, t.configVersion())
	t.clusterState = w
	t.history = append(t.history, w)
	if len(t.history) > maxHistory {
		t.history = slices.Delete(t.history, 0, len(t.history)-maxHistory)
	}
	t.snapshotBytes = nil
	clear(t.deltaFrames)
	var out []outgoing[K]
	for k, c := range t.children {
		if frames := t.bringUpToDate(k, c); len(frames) > 0 {
			out = append(append(out, frames...), t.digestTo(k)...)
		}
	}
	return out
}

func (t *publisher[K]) configVersion() uint64 {
	if t.clusterState == nil {
		return 0
	}
	return t.clusterState.ConfigVersion
}

// subscribe starts, repeats or ends the subscription of a child.
func (t *publisher[K]) subscribe(k K, m *wire.Subscribe) []outgoing[K] {
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
	c.sentIndex = m.Index
	return append(t.bringUpToDate(k, c), t.digestTo(k)...)
}

func (t *publisher[K]) remove(k K) {
	if c := t.children[k]; c != nil {
		t.addCounts(c.counts, -1)
		delete(t.children, k)
	}
}

func (t *publisher[K]) addCounts(counts []wire.VersionCount, sign int) {
	for _, c := range counts {
		t.subtreeCounts[c.Version] += sign * c.Count
		if t.subtreeCounts[c.Version] == 0 {
			delete(t.subtreeCounts, c.Version)
		}
	}
}

// setChildCounts takes a child's report of the versions held in its subtree.
func (t *publisher[K]) setChildCounts(k K, m *wire.Holding) (changed bool) {
	c := t.children[k]
	if c == nil || !c.subscribed {
		return false
	}
	changed = !slices.Equal(c.counts, m.Counts)
	t.addCounts(c.counts, -1)
	c.counts = m.Counts
	t.addCounts(c.counts, 1)
	return changed
}

// periodicDigests returns the periodic digests.
func (t *publisher[K]) periodicDigests() []outgoing[K] {
	var out []outgoing[K]
	if t.clusterState == nil {
		return nil
	}
	frame := t.digestFrame()
	for k, c := range t.children {
		if c.subscribed {
			out = append(out, outgoing[K]{to: k, frame: frame})
		}
	}
	return out
}

func (t *publisher[K]) digestTo(k K) []outgoing[K] {
	if t.clusterState == nil {
		return nil
	}
	return []outgoing[K]{{to: k, frame: t.digestFrame()}}
}

func (t *publisher[K]) digestFrame() []byte {
	return mustEncode(&wire.Digest{
		Index:         t.clusterState.Index,
		Term:          t.clusterState.Term,
		ConfigVersion: t.clusterState.ConfigVersion,
		Stale:         t.stale,
	})
}

// counts returns the versions held by all subtrees, highest version first.
func (t *publisher[K]) counts() []wire.VersionCount { return sortedCounts(t.subtreeCounts) }

// SumCounts adds up lists of counts, highest version first.
func SumCounts(lists ...[]wire.VersionCount) []wire.VersionCount {
	sums := make(map[uint64]int)
	for _, list := range lists {
		for _, c := range list {
			sums[c.Version] += c.Count
		}
	}
	return sortedCounts(sums)
}

func sortedCounts(sums map[uint64]int) []wire.VersionCount {
	out := make([]wire.VersionCount, 0, len(sums))
	for v, n := range sums {
		out = append(out, wire.VersionCount{Version: v, Count: n})
	}
	slices.SortFunc(out, func(a, b wire.VersionCount) int { return cmp.Compare(b.Version, a.Version) })
	return out
}

// bringUpToDate returns the frame that brings a child from what was sent to it to the
// present world. A child that holds a newer world than this parent gets none.
func (t *publisher[K]) bringUpToDate(k K, c *childState) []outgoing[K] {
	if !c.subscribed || t.clusterState == nil || c.sentIndex >= t.clusterState.Index {
		return nil
	}
	frame := t.updateFrame(c.sentIndex)
	c.sentIndex = t.clusterState.Index
	return []outgoing[K]{{to: k, frame: frame}}
}

// updateFrame returns the smaller of the delta from base and the snapshot.
func (t *publisher[K]) updateFrame(base uint64) []byte {
	if frame := t.deltaFrames[base]; frame != nil {
		return frame
	}
	frame := t.deltaFrame(base)
	if frame == nil {
		return t.snapshotFrame()
	}
	if len(frame) > smallDeltaBytes && len(t.snapshotFrame()) < len(frame) {
		frame = t.snapshotFrame()
	}
	t.deltaFrames[base] = frame
	return frame
}

// deltaFrame returns the delta frame from base, or nil when base is unknown.
func (t *publisher[K]) deltaFrame(base uint64) []byte {
	for _, old := range t.history {
		if old.Index == base && base < t.clusterState.Index {
			return compressFrame(mustEncode(MakeDelta(old, t.clusterState)))
		}
	}
	return nil
}

func (t *publisher[K]) snapshotFrame() []byte {
	if t.snapshotBytes == nil {
		t.snapshotBytes = compressFrame(mustEncode(t.clusterState))
	}
	return t.snapshotBytes
}

// mustEncode encodes a message of this package, whose size the admission of
// configurations bounds.
func mustEncode(m wire.Message) []byte {
	frame, err := wire.Encode(m)
	duty.Invariant(err == nil, "encode %T: %v", m, err)
	return frame
}
