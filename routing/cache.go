package routing

import (
	"time"

	"merlinhall/wire"
)

const (
	// PrefixBlockBytes is the size of the blocks of a prompt that are hashed.
	PrefixBlockBytes = wire.PrefixBytes
	// maxPrefixes bounds the hashed blocks of one prompt.
	maxPrefixes = 256
	// maxCached bounds the prefixes kept for one target.
	maxCached = 16384
	// expectedFor is how long a prefix counts as cached because a request with it
	// was sent there. Cache events confirm it within a few seconds or not at all.
	expectedFor = 10 * time.Second
	// confirmedFor bounds the trust in a cache event. An eviction event may be
	// lost without notice.
	confirmedFor = 10 * time.Minute
)

const (
	fnvOffset = 14695981039346656037
	fnvPrime  = 1099511628211
)

// PrefixHashes returns the FNV-1a hashes of the prefixes of prompt at each block
// boundary, shortest first. The first is wire.PrefixHash, also for a prompt that
// is shorter than a block; an empty prompt has none.
func PrefixHashes(prompt string) []uint64 {
	if prompt == "" {
		return nil
	}
	n := max(1, min(len(prompt)/PrefixBlockBytes, maxPrefixes))
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

// hashKey mixes a prefix hash and a target's key.
func hashKey(prefix uint64, key string) uint64 {
	h := prefix ^ fnvOffset
	for i := range len(key) {
		h ^= uint64(key[i])
		h *= fnvPrime
	}
	// The finalizer of MurmurHash3 spreads the low bits of FNV.
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	return h
}

// Cache is what is known of the prefix cache of one engine. Events are late and
// have gaps, so it is a guess: a wrong one costs time and never correctness.
type Cache struct {
	until map[uint64]time.Time
	now   time.Time
}

// NewCache returns an empty view.
func NewCache() *Cache { return &Cache{until: make(map[uint64]time.Time)} }

// Report takes the cache events of a load report.
func (c *Cache) Report(now time.Time, l *wire.Load) {
	c.now = now
	if l.CacheReset {
		clear(c.until)
	}
	for _, h := range l.EvictedPrefixes {
		delete(c.until, h)
	}
	for _, h := range l.CachedPrefixes {
		c.put(h, now.Add(confirmedFor))
	}
}

// Expect notes that a request with the prefixes was sent to the engine.
func (c *Cache) Expect(now time.Time, prefixes []uint64) {
	c.now = now
	for _, h := range prefixes {
		if until := now.Add(expectedFor); c.until[h].Before(until) {
			c.put(h, until)
		}
	}
}

// Reset forgets everything, after a restart of the engine.
func (c *Cache) Reset() { clear(c.until) }

// Advance sets the time by which Depth judges.
func (c *Cache) Advance(now time.Time) { c.now = now }

// Len returns the number of prefixes kept.
func (c *Cache) Len() int { return len(c.until) }

func (c *Cache) put(h uint64, until time.Time) {
	if _, ok := c.until[h]; !ok && len(c.until) >= maxCached {
		c.shrink()
	}
	c.until[h] = until
}

// shrink drops what has expired, or a quarter of the prefixes when nothing has.
func (c *Cache) shrink() {
	for h, until := range c.until {
		if until.Before(c.now) {
			delete(c.until, h)
		}
	}
	for h := range c.until {
		if len(c.until) <= maxCached*3/4 {
			return
		}
		delete(c.until, h)
	}
}

// Depth returns how many of the prefixes, from the shortest on, are cached.
func (c *Cache) Depth(prefixes []uint64) int {
	if c == nil {
		return 0
	}
	for i, h := range prefixes {
		if until, ok := c.until[h]; !ok || until.Before(c.now) {
			return i
		}
	}
	return len(prefixes)
}
