package wire

import "hash/fnv"

// PrefixBytes is the length of the prompt prefix by which prefix cache contents
// are identified.
const PrefixBytes = 128

// PrefixHash returns the hash by which an engine identifies the prefix of prompt in
// its cache events (64-bit FNV-1a).
func PrefixHash(prompt string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(prompt[:min(len(prompt), PrefixBytes)]))
	return h.Sum64()
}
