package wire

import "hash/fnv"

// PrefixBytes is the length of the prompt prefix that prefix caches are
// compared by.
const PrefixBytes = 128

// PrefixHash returns the hash under which an engine reports the prefix of prompt
// in its cache events (FNV-1a, 64 bits).
func PrefixHash(prompt string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(prompt[:min(len(prompt), PrefixBytes)]))
	return h.Sum64()
}
