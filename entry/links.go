package entry

import (
	"time"

	"merlinhall/wire"
)

func (d *dispatcher) onUp(now time.Time, m upMessage) {
	t := m.target
	if !d.holds(t) {
		return
	}
	if t.conn != nil {
		d.linkLost(now, t)
	}
	t.linked(now, m.conn)
	d.entry.links.Add(1)
	d.sendCancels(t)
	for f := range t.flights {
		d.step(now, f, linkUp{boot: t.boot})
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

func (d *dispatcher) onDown(now time.Time, m downMessage) {
	t := m.target
	if !d.holds(t) || t.conn != m.conn {
		return
	}
	d.entry.log.WithField("target", t.config.Name).WithError(m.reason).Warn("link lost")
	d.linkLost(now, t)
}

func (d *dispatcher) linkLost(now time.Time, t *target) {
	t.conn = nil
	d.entry.links.Add(-1)
	for f := range t.flights {
		d.step(now, f, linkDown{})
	}
}
