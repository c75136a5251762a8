// Package rendezvous implements rendezvous hashing: it ranks processes and targets for
// one another, so that all processes agree on a ranking without communication and the
// ranking changes little when a name is added or removed.
package rendezvous

import "hash/fnv"

// Score returns the score by which name is ranked for owner.
func Score(owner, name string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(owner))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(name))
	x := h.Sum64()
	// FNV-1a hashes of names that differ in their last digit differ only in the low bits.
	// The following steps of the MurmurHash3 finalizer spread the difference.
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	return x
}

// FalseFirst compares two booleans for sorting; false sorts before true.
func FalseFirst(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}
