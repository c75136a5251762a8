package propagate

import (
	"cmp"
	"slices"

	"merlinhall/actor"
	"merlinhall/wire"
)

const (
	// maxHistory is the number of cluster states that a parent keeps as bases of
	// deltas. Each may hold a configuration text of 0.4 MB. At the peak rate of
	// changes they span a few minutes; a child further behind gets a snapshot.
	maxHistory = 8
	// smallDeltaBytes is the size up to which a delta is sent without encoding the
	// snapshot to compare sizes.
	smallDeltaBytes = 4 << 10
)

// publisher is the state machine of a Parent: the cluster state that it holds and
// what each child has been sent. It does no I/O; methods return the frames to send.
type publisher[K comparable] struct {
	clusterState  *wire.ClusterState
	history       []*wire.ClusterState // oldest first, ends with clusterState
	deltaFrames   map[uint64][]byte    // update frames by base index
	snapshotBytes []byte
	children      map[K]*childState
	subtreeCounts map[uint64]int // processes by configuration version
	stale         bool
}

type childState struct {
	subscribed bool
	sentIndex  uint64 // index of the newest cluster state sent, or held when the child subscribed
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

// publish stores a newer cluster state and returns the frames that update the
// subscribed children. Each update is followed by a digest, so that the children
// of a parent that has just started learn at once whether it is fresh. A cluster
// state that is not newer is ignored.
func (p *publisher[K]) publish(cs *wire.ClusterState) []outgoing[K] {
	if p.clusterState != nil && cs.Index <= p.clusterState.Index {
		return nil
	}
	actor.Invariant(p.clusterState == nil || cs.ConfigVersion >= p.clusterState.ConfigVersion,
		"cluster state %d has configuration version %d after %d", cs.Index, cs.ConfigVersion, p.configVersion())
	p.clusterState = cs
	p.history = append(p.history, cs)
	if len(p.history) > maxHistory {
		p.history = slices.Delete(p.history, 0, len(p.history)-maxHistory)
	}
	p.snapshotBytes = nil
	clear(p.deltaFrames)
	var out []outgoing[K]
	for k, c := range p.children {
		if frames := p.bringUpToDate(k, c); len(frames) > 0 {
			out = append(append(out, frames...), p.digestTo(k)...)
		}
	}
	return out
}

func (p *publisher[K]) configVersion() uint64 {
	if p.clusterState == nil {
		return 0
	}
	return p.clusterState.ConfigVersion
}

// subscribe starts, renews or ends a child's subscription.
func (p *publisher[K]) subscribe(k K, m *wire.Subscribe) []outgoing[K] {
	if m.Stop {
		p.remove(k)
		return nil
	}
	c := p.children[k]
	if c == nil {
		c = &childState{}
		p.children[k] = c
	}
	c.subscribed = true
	c.sentIndex = m.Index
	return append(p.bringUpToDate(k, c), p.digestTo(k)...)
}

func (p *publisher[K]) remove(k K) {
	if c := p.children[k]; c != nil {
		p.addCounts(c.counts, -1)
		delete(p.children, k)
	}
}

func (p *publisher[K]) addCounts(counts []wire.VersionCount, sign int) {
	for _, c := range counts {
		p.subtreeCounts[c.Version] += sign * c.Count
		if p.subtreeCounts[c.Version] == 0 {
			delete(p.subtreeCounts, c.Version)
		}
	}
}

// setChildCounts stores a child's report of the configuration versions in force in its
// subtree and reports whether it differs from the previous one.
func (p *publisher[K]) setChildCounts(k K, m *wire.VersionReport) (changed bool) {
	c := p.children[k]
	if c == nil || !c.subscribed {
		return false
	}
	changed = !slices.Equal(c.counts, m.Counts)
	p.addCounts(c.counts, -1)
	c.counts = m.Counts
	p.addCounts(c.counts, 1)
	return changed
}

// periodicDigests returns the digests for all subscribed children.
func (p *publisher[K]) periodicDigests() []outgoing[K] {
	var out []outgoing[K]
	if p.clusterState == nil {
		return nil
	}
	frame := p.digestFrame()
	for k, c := range p.children {
		if c.subscribed {
			out = append(out, outgoing[K]{to: k, frame: frame})
		}
	}
	return out
}

func (p *publisher[K]) digestTo(k K) []outgoing[K] {
	if p.clusterState == nil {
		return nil
	}
	return []outgoing[K]{{to: k, frame: p.digestFrame()}}
}

func (p *publisher[K]) digestFrame() []byte {
	return mustEncode(&wire.Digest{
		Index:         p.clusterState.Index,
		Term:          p.clusterState.Term,
		ConfigVersion: p.clusterState.ConfigVersion,
		Stale:         p.stale,
	})
}

// counts returns in how many processes of all subtrees each configuration version is
// in force, highest version first.
func (p *publisher[K]) counts() []wire.VersionCount { return sortedCounts(p.subtreeCounts) }

// SumCounts adds lists of counts by version, highest version first.
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

// bringUpToDate returns the frame that updates a child from sentIndex to the current
// cluster state, or none when the child holds the same or a newer one.
func (p *publisher[K]) bringUpToDate(k K, c *childState) []outgoing[K] {
	if !c.subscribed || p.clusterState == nil || c.sentIndex >= p.clusterState.Index {
		return nil
	}
	frame := p.updateFrame(c.sentIndex)
	c.sentIndex = p.clusterState.Index
	return []outgoing[K]{{to: k, frame: frame}}
}

// updateFrame returns the delta from base or the snapshot, whichever is smaller. A
// delta of at most smallDeltaBytes is sent without the comparison.
func (p *publisher[K]) updateFrame(base uint64) []byte {
	if frame := p.deltaFrames[base]; frame != nil {
		return frame
	}
	frame := p.deltaFrame(base)
	if frame == nil {
		return p.snapshotFrame()
	}
	if len(frame) > smallDeltaBytes && len(p.snapshotFrame()) < len(frame) {
		frame = p.snapshotFrame()
	}
	p.deltaFrames[base] = frame
	return frame
}

// deltaFrame returns the delta from base, or nil when base is not in the history.
func (p *publisher[K]) deltaFrame(base uint64) []byte {
	for _, old := range p.history {
		if old.Index == base && base < p.clusterState.Index {
			return compressFrame(mustEncode(MakeDelta(old, p.clusterState)))
		}
	}
	return nil
}

func (p *publisher[K]) snapshotFrame() []byte {
	if p.snapshotBytes == nil {
		p.snapshotBytes = compressFrame(mustEncode(p.clusterState))
	}
	return p.snapshotBytes
}

// mustEncode encodes a message of this package. It cannot exceed the frame limit,
// because the size of a configuration is checked when it is admitted.
func mustEncode(m wire.Message) []byte {
	frame, err := wire.Encode(m)
	actor.Invariant(err == nil, "encode %T: %v", m, err)
	return frame
}
