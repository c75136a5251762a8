package standin

import "time"

// CacheEvent is an insertion into or an eviction from an engine's prefix cache.
type CacheEvent struct {
	Seq       uint64 `json:"seq"`
	Hash      uint64 `json:"hash"`
	Evicted   bool   `json:"evicted,omitempty"`
	visibleAt time.Time
}

// prefixCache is a bounded cache of prompt prefixes with FIFO eviction and a
// bounded log of its changes.
type prefixCache struct {
	limit, eventLimit int
	cached            map[uint64]bool
	order             []uint64
	eventLog          []CacheEvent
	seq               uint64
}

func newPrefixCache(limit, eventLimit int) *prefixCache {
	return &prefixCache{limit: limit, eventLimit: eventLimit, cached: make(map[uint64]bool)}
}

// use reports whether the prefix was cached already, and caches it if not.
func (c *prefixCache) use(hash uint64, visibleAt time.Time) bool {
	if c.cached[hash] {
		return true
	}
	if len(c.order) == c.limit {
		delete(c.cached, c.order[0])
		c.appendEvent(CacheEvent{Hash: c.order[0], Evicted: true, visibleAt: visibleAt})
		c.order = c.order[1:]
	}
	c.cached[hash] = true
	c.order = append(c.order, hash)
	c.appendEvent(CacheEvent{Hash: hash, visibleAt: visibleAt})
	return false
}

func (c *prefixCache) appendEvent(e CacheEvent) {
	c.seq++
	e.Seq = c.seq
	c.eventLog = append(c.eventLog, e)
	if len(c.eventLog) > c.eventLimit {
		c.eventLog = c.eventLog[1:]
	}
}

// since returns the visible events after seq. lost is set if the log no longer contains
// all events after seq, or if seq is higher than that of any event.
func (c *prefixCache) since(seq uint64, now time.Time) (events []CacheEvent, lost bool) {
	lost = len(c.eventLog) > 0 && c.eventLog[0].Seq > seq+1 || seq > c.seq
	for _, e := range c.eventLog {
		if e.Seq > seq && !e.visibleAt.After(now) {
			events = append(events, e)
		}
	}
	return events, lost
}

// reset evicts all entries, because cached prefixes are invalid under new weights.
func (c *prefixCache) reset(visibleAt time.Time) {
	for _, hash := range c.order {
		c.appendEvent(CacheEvent{Hash: hash, Evicted: true, visibleAt: visibleAt})
	}
	c.order = nil
	clear(c.cached)
}
