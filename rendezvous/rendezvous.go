// Package rendezvous ranks processes and targets for one another by hash, so that
// all processes agree on a ranking without talking, and a ranking changes little
// when a name comes or goes.
package rendezvous

import "hash/fnv"

// Score returns the rank value of name for owner.
func Score(owner, name string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(owner))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(name))
	x := h.Sum64()
	// Names that differ in their last digit differ only in the low bits of FNV-1a;
	// the steps below are from the finalizer of MurmurHash3.
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	return x
}

// FalseFirst compares two conditions; false sorts before true.
func FalseFirst(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}
