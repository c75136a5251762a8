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
	// partOverhead bounds what the encoding adds to each part and weight version of a text.
	partOverhead = 16
)

// A start has an item of an accepted submission, which fits into a command of the log, and a text
// of at most carrier.MaxTextBytes. Together with what waits before it, it fits into a frame, and so
// into the queue of a link.
const _ = uint(wire.MaxFrameBytes - maxQueuedStarts - consensus.MaxCommandBytes - carrier.MaxTextBytes - 64*startOverhead)

// startSize returns an upper bound for the size in bytes of the start of a task, with its text if
// it is to be generated.
func startSize(t *task, generate bool) int {
	n := startOverhead + len(t.job.sub.ID)
	if !generate {
		return n + len(t.item.ID) + t.item.Reward.Size()
	}
	return n + len(t.job.sub.Host) + t.item.Size() + t.text.Size() + (len(t.text.Parts)+len(t.text.Versions))*partOverhead
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

// heldByLinks reports whether a start that found no carrier waits for room in the links, and counts
// it.
func (r *Runner) heldByLinks(now time.Time) bool {
	held := slices.ContainsFunc(r.carriers, func(c *carrierView) bool { return c.usable(now) })
	if held {
		r.metrics.heldStarts.Inc()
	}
	return held
}
