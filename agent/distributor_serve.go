package agent

import (
	"slices"
	"time"

	"merlinhall/link"
	"merlinhall/weights"
	"merlinhall/wire"
)

// serve handles a request from another agent.
func (c *distributor) serve(m linkMessage) {
	switch q := m.m.(type) {
	case *wire.SwapQuery:
		_ = m.conn.Send(&wire.SwapState{
			Pool:     q.Pool,
			Target:   c.target,
			Round:    q.Round,
			Served:   c.status.served,
			SetAside: c.status.setAside,
			Claim:    c.claim(),
			Down:     c.status.down,
		})
	case *wire.WeightFetch:
		if len(c.pendingFetches) >= maxPendingFetches || q.Length <= 0 || q.Offset < 0 {
			c.sendNone(m.conn, q)
			return
		}
		c.pendingFetches = append(c.pendingFetches, pendingFetch{conn: m.conn, request: q, since: time.Now(), notified: time.Now()})
		c.answerPending()
	}
}

// dropLink removes the pending fetches of a link that has been closed.
func (c *distributor) dropLink(conn *link.Conn) {
	c.pendingFetches = slices.DeleteFunc(c.pendingFetches, func(w pendingFetch) bool { return w.conn == conn })
}

// answerPending answers the pending fetches whose bytes have arrived, even if the
// rest of the version has not.
func (c *distributor) answerPending() {
	c.pendingFetches = slices.DeleteFunc(c.pendingFetches, c.tryAnswer)
}

func (c *distributor) tryAnswer(w pendingFetch) bool {
	b := c.cache.Get(w.request.Pool, w.request.Version)
	if b != nil && b.Size >= 0 {
		if data := b.Part(w.request.Offset, min(w.request.Length, weights.PartBytes)); len(data) > 0 {
			_ = w.conn.Send(&wire.WeightPart{
				Pool:    w.request.Pool,
				Version: w.request.Version,
				Offset:  w.request.Offset,
				Data:    data,
				Size:    b.Size,
				Digest:  b.Digest,
			})
			return true
		}
	}
	if !c.isFetching(w.request) {
		if time.Since(w.since) < fetchWaitTimeout {
			return false
		}
		c.sendNone(w.conn, w.request)
		return true
	}
	return false
}

// isFetching reports whether this agent is fetching the requested version.
func (c *distributor) isFetching(m *wire.WeightFetch) bool {
	a := c.currentFetch.action
	return c.transfer != nil && !c.transfer.Over() && a.pool == m.Pool && a.version == m.Version
}

func (c *distributor) sendNone(conn *link.Conn, m *wire.WeightFetch) {
	_ = conn.Send(&wire.WeightPart{Pool: m.Pool, Version: m.Version, Offset: m.Offset, None: true})
}

// notifyPending tells the agents that wait for bytes that this agent is waiting as
// well. Otherwise the loss of one source would make all agents that depend on it,
// directly or through others, turn to the store.
func (c *distributor) notifyPending(at time.Time) {
	for i := range c.pendingFetches {
		w := &c.pendingFetches[i]
		if c.isFetching(w.request) && at.Sub(w.notified) >= weights.StillWaiting {
			w.notified = at
			_ = w.conn.Send(&wire.WeightPart{Pool: w.request.Pool, Version: w.request.Version, Offset: w.request.Offset})
		}
	}
}
