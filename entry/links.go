package entry

import (
	"time"

	"merlinhall/wire"
)

func (d *dispatcher) onLinkUp(now time.Time, m linkUpMessage) {
	t := m.target
	if !d.isInUse(t) {
		return
	}
	if t.conn != nil {
		d.linkLost(now, t)
	}
	t.setConn(now, m.conn)
	d.entry.links.Add(1)
	d.sendCancels(t)
	for req := range t.requests {
		d.step(now, req, linkUp{boot: t.boot})
	}
	d.ready[t.service] = true
}

func (d *dispatcher) sendCancels(t *target) {
	for _, a := range t.cancels {
		if a.boot == t.boot {
			_ = t.conn.Send(&wire.Cancel{ID: a.attempt})
		}
	}
	t.cancels = nil
}

func (d *dispatcher) onLinkDown(now time.Time, m linkDownMessage) {
	t := m.target
	if !d.isInUse(t) || t.conn != m.conn {
		return
	}
	d.entry.log.WithField("target", t.config.Name).WithError(m.reason).Warn("link lost")
	d.linkLost(now, t)
}

func (d *dispatcher) linkLost(now time.Time, t *target) {
	t.conn = nil
	d.entry.links.Add(-1)
	for req := range t.requests {
		d.step(now, req, linkDown{})
	}
}
