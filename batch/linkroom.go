package batch

import (
	"slices"
	"time"

	"merlinhall/carrier"
	"merlinhall/consensus"
	"merlinhall/wire"
)

const (
	// maxQueuedStarts bounds the bytes that wait to be sent to a carrier when a further start is
	// added. The link carries other messages too.
	maxQueuedStarts = 1 << 20
	// startOverhead bounds the size of a start without what startSize counts.
	startOverhead = 512
	// fieldOverhead bounds what the encoding adds to each byte string, text or number of a list.
	fieldOverhead = 16
)

// A start has an item of an accepted submission, which fits into a command of the log, and a text
// of at most carrier.MaxTextBytes. Together with what waits before it, it fits into a frame, and so
// into the queue of a link.
const _ = uint(wire.MaxFrameBytes - maxQueuedStarts - consensus.MaxCommandBytes - carrier.MaxTextBytes - 64*startOverhead)

// startSize returns an upper bound for the size in bytes of the start of a task, with its text if
// it is to be generated.
func startSize(t *task, generate bool) int {
	n := startOverhead + len(t.job.sub.ID) + len(t.item.ID)
	if reward := t.item.Reward; reward != nil {
		n += len(reward.ID) + len(reward.Host) + len(reward.Path) + len(reward.Body)
	}
	if !generate {
		return n
	}
	n += len(t.job.sub.Host) + len(t.item.Path) + len(t.item.Body)
	for _, h := range t.item.Headers {
		n += len(h.Name) + len(h.Value) + 2*fieldOverhead
	}
	return n + t.text.size() + (len(t.text.Parts)+len(t.text.Versions))*fieldOverhead
}

// addStart adds a start of the given size to the orders.
func (c *carrierView) addStart(s carrier.Start, size int) {
	c.orders.Starts = append(c.orders.Starts, s)
	c.startBytes += size
}

// hasRoom reports whether a start of the given size may be added to the orders. One that is above
// the bound by itself goes alone.
func (c *carrierView) hasRoom(size int) bool {
	waiting := c.startBytes + c.link.QueuedBytes()
	return waiting+size <= maxQueuedStarts || c.startBytes == 0 && waiting <= maxQueuedStarts
}

// replaceOrders replaces the orders that are not yet sent, and returns them.
func (c *carrierView) replaceOrders(next carrier.Orders) carrier.Orders {
	before := c.orders
	c.orders, c.startBytes = next, 0
	return before
}

// noteFullLinks notes that a start found no carrier. If that is for want of room in the links, it
// is planned again soon.
func (r *Runner) noteFullLinks(now time.Time) {
	if slices.ContainsFunc(r.carriers, func(c *carrierView) bool { return c.usable(now) }) {
		r.linksFull = true
		r.metrics.heldStarts.Inc()
	}
}
