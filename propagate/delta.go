package propagate

import (
	"cmp"
	"hash/fnv"
	"slices"

	"github.com/rotisserie/eris"

	"merlinhall/config"
	"merlinhall/wire"
)

// maxTextBytes bounds a configuration text that a delta may produce.
const maxTextBytes = wire.MaxFrameBytes

// minCompressBytes is the frame size from which compression is tried.
const minCompressBytes = 512

var (
	// ErrBadDelta is wrapped by the errors of ApplyDelta.
	ErrBadDelta = eris.New("delta does not fit the world")
	// ErrBadClusterState is wrapped by the errors of a world that must not be used.
	ErrBadClusterState = eris.New("world is not valid")
)

// MakeDelta returns the delta that turns base into w.
func MakeDelta(base, w *wire.World) *wire.WorldDelta {
	d := &wire.WorldDelta{Base: base.Index, Index: w.Index, Term: w.Term, Sum: checksum(w)}
	if base.ConfigVersion != w.ConfigVersion || base.ConfigDigest != w.ConfigDigest {
		d.ConfigChanged = true
		d.ConfigVersion = w.ConfigVersion
		d.ConfigDigest = w.ConfigDigest
		d.ConfigFence = w.ConfigFence
		d.Patch = MakePatch(base.ConfigText, w.ConfigText)
	}
	d.WeightsSet, d.WeightsGone = diffLists(base.Weights, w.Weights, poolOf)
	d.DeparturesSet, d.DeparturesGone = diffLists(base.Departures, w.Departures, targetOf)
	d.HostsSet, d.HostsGone = diffLists(base.LeavingHosts, w.LeavingHosts, identity)
	return d
}

// ApplyDelta returns the world that d makes of base, which is not changed.
// Errors wrap ErrBadDelta or ErrBadPatch.
func ApplyDelta(base *wire.World, d *wire.WorldDelta) (*wire.World, error) {
	if d.Base != base.Index || d.Index <= d.Base {
		return nil, eris.Wrapf(ErrBadDelta, "base %d, index %d, held %d", d.Base, d.Index, base.Index)
	}
	w := *base
	w.Index, w.Term = d.Index, d.Term
	if d.ConfigChanged {
		text, err := ApplyPatch(base.ConfigText, d.Patch, maxTextBytes)
		if err != nil {
			return nil, err
		}
		w.ConfigText = text
		w.ConfigVersion, w.ConfigDigest, w.ConfigFence = d.ConfigVersion, d.ConfigDigest, d.ConfigFence
	}
	w.Weights = applyChanges(base.Weights, d.WeightsSet, d.WeightsGone, poolOf)
	w.Departures = applyChanges(base.Departures, d.DeparturesSet, d.DeparturesGone, targetOf)
	w.LeavingHosts = applyChanges(base.LeavingHosts, d.HostsSet, d.HostsGone, identity)
	if checksum(&w) != d.Sum {
		return nil, eris.Wrapf(ErrBadDelta, "checksum at index %d", d.Index)
	}
	if d.ConfigChanged && config.Digest(w.ConfigText) != w.ConfigDigest {
		return nil, eris.Wrapf(ErrBadDelta, "text digest at index %d", d.Index)
	}
	return &w, nil
}

// checkSnapshot refuses a complete world whose text does not match its digest.
func checkSnapshot(w *wire.World) error {
	if w.BaseIndex != 0 {
		return eris.Wrap(ErrBadClusterState, "it is a delta")
	}
	if w.ConfigVersion > 0 && config.Digest(w.ConfigText) != w.ConfigDigest {
		return eris.Wrapf(ErrBadClusterState, "text digest at index %d", w.Index)
	}
	return nil
}

func poolOf(w wire.WeightTarget) string { return w.Pool }
func targetOf(d wire.Departure) string  { return d.Target }
func identity(s string) string          { return s }

// diffLists compares two lists that are sorted by key.
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

// applyChanges applies changes to a list and returns a new one, sorted by key.
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

// checksum returns the checksum of a world without its text.
func checksum(w *wire.World) uint64 {
	bare := *w
	bare.ConfigText = nil
	bare.BaseIndex = 0
	h := fnv.New64a()
	if b, err := wire.Marshal(&bare); err == nil {
		_, _ = h.Write(b)
	}
	return h.Sum64()
}

// compressFrame compresses a frame and returns the smaller of the two frames. Frames below
// packFloor are left as they are.
func compressFrame(frame []byte) []byte {
	if len(frame) < minCompressBytes {
		return frame
	}
	packed, err := wire.Encode(&wire.Packed{Data: wire.Deflate(frame)})
	if err != nil || len(packed) >= len(frame) {
		return frame
	}
	return packed
}

// decompressFrame returns the message inside p. Errors wrap wire.ErrMalformed.
func decompressFrame(p *wire.Packed) (wire.Message, error) {
	frame, err := wire.Inflate(p.Data, wire.MaxFrameBytes)
	if err != nil {
		return nil, err
	}
	m, err := wire.Decode(frame)
	if err != nil {
		return nil, err
	}
	if _, nested := m.(*wire.Packed); nested {
		return nil, eris.Wrap(wire.ErrMalformed, "packed frame inside a packed frame")
	}
	return m, nil
}
