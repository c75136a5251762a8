package routing

import (
	"time"

	"merlinhall/wire"
)

const (
	// PrefixBlockBytes is the size of the prompt blocks that are hashed.
	PrefixBlockBytes = wire.PrefixBytes
	// maxHashedBlocks bounds the number of hashed blocks of one prompt.
	maxHashedBlocks = 256
	// maxCachedPrefixes bounds the number of prefixes stored for one target.
	maxCachedPrefixes = 16384
	// expectedTTL is how long a prefix counts as cached after a request with it was sent
	// to the target. Cache events confirm it within a few seconds or not at all.
	expectedTTL = 10 * time.Second
	// confirmedTTL is how long a prefix counts as cached after a cache event. It is
	// bounded because an eviction event may be lost unnoticed.
	confirmedTTL = 10 * time.Minute
)

const (
	fnvOffset = 14695981039346656037
	fnvPrime  = 1099511628211
)

// PrefixHashes returns the FNV-1a hashes of the prefixes of prompt that end at block
// boundaries, shortest first. The first one equals wire.PrefixHash, also for a prompt
// shorter than a block. An empty prompt has no hashes.
func PrefixHashes(prompt string) []uint64 {
	if prompt == "" {
		return nil
	}
	n := max(1, min(len(prompt)/PrefixBlockBytes, maxHashedBlocks))
	out := make([]uint64, 0, n)
	h := uint64(fnvOffset)
	for i := range min(len(prompt), n*PrefixBlockBytes) {
		h ^= uint64(prompt[i])
		h *= fnvPrime
		if (i+1)%PrefixBlockBytes == 0 {
			out = append(out, h)
		}
	}
	if len(out) == 0 {
		out = append(out, h)
	}
	return out
}

// hashKey combines a prefix hash and a target's key into a rendezvous hash.
func hashKey(prefix uint64, key string) uint64 {
	h := prefix ^ fnvOffset
	for i := range len(key) {
		h ^= uint64(key[i])
		h *= fnvPrime
	}
	// These steps of the MurmurHash3 finalizer spread the low bits of FNV-1a, which hold
	// the difference between keys that differ only at their end.
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	return h
}

// Cache estimates the contents of the prefix cache of one engine. Cache events are
// delayed and incomplete; a wrong estimate costs latency but never correctness.
type Cache struct {
	expires map[uint64]time.Time
	now     time.Time
}

// NewCache returns an empty estimate.
func NewCache() *Cache { return &Cache{expires: make(map[uint64]time.Time)} }

// ApplyLoadReport applies the cache events of a load report.
func (c *Cache) ApplyLoadReport(now time.Time, l *wire.Load) {
	c.now = now
	if l.CacheReset {
		clear(c.expires)
	}
	for _, h := range l.EvictedPrefixes {
		delete(c.expires, h)
	}
	for _, h := range l.CachedPrefixes {
		c.put(h, now.Add(confirmedTTL))
	}
}

// Expect records that a request with the prefixes was sent to the engine.
func (c *Cache) Expect(now time.Time, prefixes []uint64) {
	c.now = now
	for _, h := range prefixes {
		if expiry := now.Add(expectedTTL); c.expires[h].Before(expiry) {
			c.put(h, expiry)
		}
	}
}

// Reset removes all prefixes, for instance after a restart of the engine.
func (c *Cache) Reset() { clear(c.expires) }

// Advance sets the time at which Depth evaluates expiry.
func (c *Cache) Advance(now time.Time) { c.now = now }

// Len returns the number of stored prefixes.
func (c *Cache) Len() int { return len(c.expires) }

func (c *Cache) put(h uint64, expiry time.Time) {
	if _, ok := c.expires[h]; !ok && len(c.expires) >= maxCachedPrefixes {
		c.evict()
	}
	c.expires[h] = expiry
}

// evict removes expired prefixes, and then arbitrary ones until at most three quarters of
// maxCachedPrefixes are left.
func (c *Cache) evict() {
	for h, expiry := range c.expires {
		if expiry.Before(c.now) {
			delete(c.expires, h)
		}
	}
	for h := range c.expires {
		if len(c.expires) <= maxCachedPrefixes*3/4 {
			return
		}
		delete(c.expires, h)
	}
}

// Depth returns the number of leading prefixes, shortest first, that are cached.
func (c *Cache) Depth(prefixes []uint64) int {
	if c == nil {
		return 0
	}
	for i, h := range prefixes {
		if expiry, ok := c.expires[h]; !ok || expiry.Before(c.now) {
			return i
		}
	}
	return len(prefixes)
}
