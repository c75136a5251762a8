package agent

import (
	"slices"
	"time"

	"merlinhall/link"
	"merlinhall/weights"
	"merlinhall/wire"
)

// serve answers another agent.
func (c *courier) serve(m linkMessage) {
	switch q := m.m.(type) {
	case *wire.SwapQuery:
		_ = m.conn.Send(&wire.SwapState{
			Pool:     q.Pool,
			Target:   c.target,
			Round:    q.Round,
			Served:   c.facts.served,
			SetAside: c.facts.setAside,
			Claim:    c.claim(),
			Down:     c.facts.down,
		})
	case *wire.WeightFetch:
		if len(c.waiting) >= fetchesWaiting || q.Length <= 0 || q.Offset < 0 {
			c.none(m.conn, q)
			return
		}
		c.waiting = append(c.waiting, waitingFetch{conn: m.conn, m: q, since: time.Now(), told: time.Now()})
		c.answerWaiting()
	}
}

// forget drops the questions of a link that has ended.
func (c *courier) forget(conn *link.Conn) {
	c.waiting = slices.DeleteFunc(c.waiting, func(w waitingFetch) bool { return w.conn == conn })
}

// answerWaiting answers the questions whose bytes have arrived, also while the
// rest of the version is still on its way.
func (c *courier) answerWaiting() {
	c.waiting = slices.DeleteFunc(c.waiting, c.answered)
}

func (c *courier) answered(w waitingFetch) bool {
	b := c.cache.Get(w.m.Pool, w.m.Version)
	if b != nil && b.Size >= 0 {
		if data := b.Part(w.m.Offset, min(w.m.Length, weights.PartBytes)); len(data) > 0 {
			_ = w.conn.Send(&wire.WeightPart{
				Pool:    w.m.Pool,
				Version: w.m.Version,
				Offset:  w.m.Offset,
				Data:    data,
				Size:    b.Size,
				Digest:  b.Digest,
			})
			return true
		}
	}
	if !c.fetches(w.m) {
		if time.Since(w.since) < fetchLimit {
			return false
		}
		c.none(w.conn, w.m)
		return true
	}
	return false
}

// fetches reports whether the asked version is being fetched here.
func (c *courier) fetches(m *wire.WeightFetch) bool {
	a := c.fetching.action
	return c.transfer != nil && !c.transfer.Over() && a.pool == m.Pool && a.version == m.Version
}

func (c *courier) none(conn *link.Conn, m *wire.WeightFetch) {
	_ = conn.Send(&wire.WeightPart{Pool: m.Pool, Version: m.Version, Offset: m.Offset, None: true})
}

// tellWaiting tells those that wait for bytes that this agent waits as well, so
// that one lost source does not make its whole subtree turn to the store.
func (c *courier) tellWaiting(at time.Time) {
	for i := range c.waiting {
		w := &c.waiting[i]
		if c.fetches(w.m) && at.Sub(w.told) >= weights.StillWaiting {
			w.told = at
			_ = w.conn.Send(&wire.WeightPart{Pool: w.m.Pool, Version: w.m.Version, Offset: w.m.Offset})
		}
	}
}
