package standin

import "time"

// CacheEvent is a change of an engine's prefix cache.
type CacheEvent struct {
	Seq       uint64 `json:"seq"`
	Hash      uint64 `json:"hash"`
	Evicted   bool   `json:"evicted,omitempty"`
	visibleAt time.Time
}

// prefixCache is a bounded cache of prompt prefixes, evicted in insertion order,
// with a bounded log of its changes.
type prefixCache struct {
	limit, eventLimit int
	cached            map[uint64]bool
	order             []uint64
	events            []CacheEvent
	seq               uint64
}

func newPrefixCache(limit, logLimit int) *prefixCache {
	return &prefixCache{limit: limit, eventLimit: logLimit, cached: make(map[uint64]bool)}
}

// use reports whether the prefix is cached, and caches it.
func (c *prefixCache) use(hash uint64, visible time.Time) bool {
	if c.cached[hash] {
		return true
	}
	if len(c.order) == c.limit {
		delete(c.cached, c.order[0])
		c.appendEvent(CacheEvent{Hash: c.order[0], Evicted: true, visibleAt: visible})
		c.order = c.order[1:]
	}
	c.cached[hash] = true
	c.order = append(c.order, hash)
	c.appendEvent(CacheEvent{Hash: hash, visibleAt: visible})
	return false
}

func (c *prefixCache) appendEvent(e CacheEvent) {
	c.seq++
	e.Seq = c.seq
	c.events = append(c.events, e)
	if len(c.events) > c.eventLimit {
		c.events = c.events[1:]
	}
}

// since returns the visible events after seq, and whether events between were
// lost.
func (c *prefixCache) since(seq uint64, now time.Time) (events []CacheEvent, lost bool) {
	lost = len(c.events) > 0 && c.events[0].Seq > seq+1 || seq > c.seq
	for _, e := range c.events {
		if e.Seq > seq && !e.visibleAt.After(now) {
			events = append(events, e)
		}
	}
	return events, lost
}

// reset forgets everything, as new weights make the cache useless.
func (c *prefixCache) reset(visible time.Time) {
	for _, hash := range c.order {
		c.appendEvent(CacheEvent{Hash: hash, Evicted: true, visibleAt: visible})
	}
	c.order = nil
	clear(c.cached)
}
