package propagate

import (
	"cmp"
	"hash/fnv"
	"slices"

	"github.com/rotisserie/eris"

	"merlinhall/config"
	"merlinhall/wire"
)

// maxTextBytes bounds the configuration text that results from a delta.
const maxTextBytes = wire.MaxFrameBytes

// minCompressBytes is the size below which a frame is not compressed.
const minCompressBytes = 512

var (
	// ErrBadDelta is wrapped by the errors of ApplyDelta.
	ErrBadDelta = eris.New("delta does not apply to the cluster state")
	// ErrBadClusterState is wrapped by the errors of checkSnapshot.
	ErrBadClusterState = eris.New("cluster state is invalid")
)

// MakeDelta returns the delta from base to next.
func MakeDelta(base, next *wire.ClusterState) *wire.ClusterStateDelta {
	d := &wire.ClusterStateDelta{Base: base.Index, Index: next.Index, Term: next.Term, Checksum: checksum(next)}
	if base.ConfigVersion != next.ConfigVersion || base.ConfigDigest != next.ConfigDigest {
		d.ConfigChanged = true
		d.ConfigVersion = next.ConfigVersion
		d.ConfigDigest = next.ConfigDigest
		d.ConfigFence = next.ConfigFence
		d.Patch = MakePatch(base.ConfigText, next.ConfigText)
	}
	d.WeightsSet, d.WeightsRemoved = diffLists(base.Weights, next.Weights, poolOf)
	d.DeparturesSet, d.DeparturesRemoved = diffLists(base.Departures, next.Departures, targetOf)
	d.HostsSet, d.HostsRemoved = diffLists(base.LeavingHosts, next.LeavingHosts, identity)
	return d
}

// ApplyDelta returns the cluster state that results from applying d to base. It
// does not modify base. Errors wrap ErrBadDelta or ErrBadPatch.
func ApplyDelta(base *wire.ClusterState, d *wire.ClusterStateDelta) (*wire.ClusterState, error) {
	if d.Base != base.Index || d.Index <= d.Base {
		return nil, eris.Wrapf(ErrBadDelta, "delta from %d to %d on cluster state %d", d.Base, d.Index, base.Index)
	}
	next := *base
	next.Index, next.Term = d.Index, d.Term
	if d.ConfigChanged {
		text, err := ApplyPatch(base.ConfigText, d.Patch, maxTextBytes)
		if err != nil {
			return nil, err
		}
		next.ConfigText = text
		next.ConfigVersion, next.ConfigDigest, next.ConfigFence = d.ConfigVersion, d.ConfigDigest, d.ConfigFence
	}
	next.Weights = applyChanges(base.Weights, d.WeightsSet, d.WeightsRemoved, poolOf)
	next.Departures = applyChanges(base.Departures, d.DeparturesSet, d.DeparturesRemoved, targetOf)
	next.LeavingHosts = applyChanges(base.LeavingHosts, d.HostsSet, d.HostsRemoved, identity)
	if checksum(&next) != d.Checksum {
		return nil, eris.Wrapf(ErrBadDelta, "checksum mismatch at index %d", d.Index)
	}
	if d.ConfigChanged && config.Digest(next.ConfigText) != next.ConfigDigest {
		return nil, eris.Wrapf(ErrBadDelta, "configuration digest mismatch at index %d", d.Index)
	}
	return &next, nil
}

// checkSnapshot rejects a cluster state whose configuration text does not match its
// digest.
func checkSnapshot(cs *wire.ClusterState) error {
	if cs.ConfigVersion > 0 && config.Digest(cs.ConfigText) != cs.ConfigDigest {
		return eris.Wrapf(ErrBadClusterState, "configuration digest mismatch at index %d", cs.Index)
	}
	return nil
}

func poolOf(w wire.WeightTarget) string { return w.Pool }
func targetOf(d wire.Departure) string  { return d.Target }
func identity(s string) string          { return s }

// diffLists returns the elements of to that are new or changed since from, and the
// keys that are gone. Each list is sorted by key.
func diffLists[T comparable](from, to []T, key func(T) string) (set []T, gone []string) {
	old := make(map[string]T, len(from))
	for _, v := range from {
		old[key(v)] = v
	}
	for _, v := range to {
		if was, ok := old[key(v)]; !ok || was != v {
			set = append(set, v)
		}
		delete(old, key(v))
	}
	for k := range old {
		gone = append(gone, k)
	}
	slices.Sort(gone)
	return set, gone
}

// applyChanges returns list with the elements of set added or replaced and the keys in
// gone removed, sorted by key. list is not modified.
func applyChanges[T any](list, set []T, gone []string, key func(T) string) []T {
	if len(set) == 0 && len(gone) == 0 {
		return list
	}
	byKey := make(map[string]T, len(list)+len(set))
	for _, v := range list {
		byKey[key(v)] = v
	}
	for _, v := range set {
		byKey[key(v)] = v
	}
	for _, k := range gone {
		delete(byKey, k)
	}
	if len(byKey) == 0 {
		return nil
	}
	out := make([]T, 0, len(byKey))
	for _, v := range byKey {
		out = append(out, v)
	}
	slices.SortFunc(out, func(a, b T) int { return cmp.Compare(key(a), key(b)) })
	return out
}

// checksum returns the checksum of a cluster state without its configuration text.
func checksum(cs *wire.ClusterState) uint64 {
	bare := *cs
	bare.ConfigText = nil
	h := fnv.New64a()
	if b, err := wire.Marshal(&bare); err == nil {
		_, _ = h.Write(b)
	}
	return h.Sum64()
}

// compressFrame returns the compressed frame, or frame itself if compression does not
// make it smaller or if it has fewer than minCompressBytes.
func compressFrame(frame []byte) []byte {
	if len(frame) < minCompressBytes {
		return frame
	}
	packed, err := wire.Encode(&wire.Compressed{Data: wire.Deflate(frame)})
	if err != nil || len(packed) >= len(frame) {
		return frame
	}
	return packed
}

// decompressFrame returns the message contained in p. Errors wrap wire.ErrMalformed.
func decompressFrame(p *wire.Compressed) (wire.Message, error) {
	frame, err := wire.Inflate(p.Data, wire.MaxFrameBytes)
	if err != nil {
		return nil, err
	}
	m, err := wire.Decode(frame)
	if err != nil {
		return nil, err
	}
	if _, nested := m.(*wire.Compressed); nested {
		return nil, eris.Wrap(wire.ErrMalformed, "compressed frame inside a compressed frame")
	}
	return m, nil
}
