package agent

import (
	"slices"
	"time"

	"merlinhall/link"
	"merlinhall/weights"
	"merlinhall/wire"
)

// serve handles a request from another agent.
func (d *distributor) serve(m linkMessage) {
	switch q := m.m.(type) {
	case *wire.SwapQuery:
		_ = m.conn.Send(&wire.SwapState{
			Pool:          q.Pool,
			Target:        d.target,
			Round:         q.Round,
			Served:        d.status.served,
			FailedVersion: d.status.failedVersion,
			Claim:         d.claim(),
			Down:          d.status.down,
		})
	case *wire.WeightFetch:
		if len(d.pendingFetches) >= maxPendingFetches || q.Length <= 0 || q.Offset < 0 {
			d.sendUnavailable(m.conn, q)
			return
		}
		d.pendingFetches = append(d.pendingFetches, pendingFetch{conn: m.conn, request: q, since: time.Now(), notified: time.Now()})
		d.answerPending()
	}
}

// dropLink removes the pending fetches of a link that has been closed.
func (d *distributor) dropLink(conn *link.Conn) {
	d.pendingFetches = slices.DeleteFunc(d.pendingFetches, func(w pendingFetch) bool { return w.conn == conn })
}

// answerPending answers the pending fetches whose bytes have arrived, even if the
// rest of the version has not.
func (d *distributor) answerPending() {
	d.pendingFetches = slices.DeleteFunc(d.pendingFetches, d.tryAnswer)
}

// tryAnswer answers a pending fetch if its bytes are present, or with Unavailable if
// this agent is not fetching the version and fetchWaitTimeout has passed. It reports
// whether it has answered.
func (d *distributor) tryAnswer(w pendingFetch) bool {
	b := d.cache.Get(w.request.Pool, w.request.Version)
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
	if !d.isFetching(w.request) {
		if time.Since(w.since) < fetchWaitTimeout {
			return false
		}
		d.sendUnavailable(w.conn, w.request)
		return true
	}
	return false
}

// isFetching reports whether this agent is fetching the requested version.
func (d *distributor) isFetching(m *wire.WeightFetch) bool {
	a := d.currentFetch.action
	return d.transfer != nil && !d.transfer.Over() && a.pool == m.Pool && a.version == m.Version
}

func (d *distributor) sendUnavailable(conn *link.Conn, m *wire.WeightFetch) {
	_ = conn.Send(&wire.WeightPart{Pool: m.Pool, Version: m.Version, Offset: m.Offset, Unavailable: true})
}

// notifyPending tells the agents that wait for bytes that this agent is waiting as
// well. Otherwise the loss of one source would make all agents that depend on it,
// directly or through others, turn to the store.
func (d *distributor) notifyPending(at time.Time) {
	for i := range d.pendingFetches {
		w := &d.pendingFetches[i]
		if d.isFetching(w.request) && at.Sub(w.notified) >= weights.WaitingNoticeInterval {
			w.notified = at
			_ = w.conn.Send(&wire.WeightPart{Pool: w.request.Pool, Version: w.request.Version, Offset: w.request.Offset})
		}
	}
}
