package standin

import "time"

// CacheEvent is a change of an engine's prefix cache.
type CacheEvent struct {
	Seq     uint64 `json:"seq"`
	Hash    uint64 `json:"hash"`
	Evicted bool   `json:"evicted,omitempty"`
	visible time.Time
}

// prefixCache is a bounded cache of prompt prefixes, evicted in insertion order,
// with a bounded log of its changes.
type prefixCache struct {
	limit, logLimit int
	held            map[uint64]bool
	order           []uint64
	log             []CacheEvent
	seq             uint64
}

func newPrefixCache(limit, logLimit int) *prefixCache {
	return &prefixCache{limit: limit, logLimit: logLimit, held: make(map[uint64]bool)}
}

// use reports whether the prefix is cached, and caches it.
func (c *prefixCache) use(hash uint64, visible time.Time) bool {
	if c.held[hash] {
		return true
	}
	if len(c.order) == c.limit {
		delete(c.held, c.order[0])
		c.add(CacheEvent{Hash: c.order[0], Evicted: true, visible: visible})
		c.order = c.order[1:]
	}
	c.held[hash] = true
	c.order = append(c.order, hash)
	c.add(CacheEvent{Hash: hash, visible: visible})
	return false
}

func (c *prefixCache) add(e CacheEvent) {
	c.seq++
	e.Seq = c.seq
	c.log = append(c.log, e)
	if len(c.log) > c.logLimit {
		c.log = c.log[1:]
	}
}

// since returns the visible events after seq, and whether events between were
// lost.
func (c *prefixCache) since(seq uint64, now time.Time) (events []CacheEvent, lost bool) {
	lost = len(c.log) > 0 && c.log[0].Seq > seq+1 || seq > c.seq
	for _, e := range c.log {
		if e.Seq > seq && !e.visible.After(now) {
			events = append(events, e)
		}
	}
	return events, lost
}

// reset forgets everything, as new weights make the cache useless.
func (c *prefixCache) reset(visible time.Time) {
	for _, hash := range c.order {
		c.add(CacheEvent{Hash: hash, Evicted: true, visible: visible})
	}
	c.order = nil
	clear(c.held)
}
