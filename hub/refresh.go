package hub

import (
	"context"
	"sync"
	"time"
)

const (
	// refreshTimeout bounds a question for the manifest in force. A request waits for it, so
	// it is a part of a short response-time objective.
	refreshTimeout = 100 * time.Millisecond
	// refreshInterval is the least time between two questions, whatever asks for them.
	refreshInterval = 100 * time.Millisecond
	// maxRefreshInterval is what the interval grows to, by doubling, while one question
	// follows the other and none finds anything newer. All entries ask the same leader, so
	// this bounds what unknown keys cost it: 740 questions a second from 370 entries. A key
	// that was just added waits for the propagation of its manifest meanwhile.
	maxRefreshInterval = 500 * time.Millisecond
)

// refresher asks for the manifest in force. Questions that come while one is under way share
// its answer.
type refresher struct {
	mu       sync.Mutex
	running  chan struct{} // closed when the question under way has ended
	askedAt  time.Time
	interval time.Duration // from the last question to the next; 0 if that one found something
}

// begin returns the channel that is closed when the question has ended, and whether the
// caller must ask it. The channel is nil if the last question was just now.
func (r *refresher) begin(now time.Time) (done chan struct{}, ask bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	since := now.Sub(r.askedAt)
	switch {
	case r.running != nil:
		return r.running, false
	case since < max(r.interval, refreshInterval):
		return nil, false
	case since < 2*r.interval:
		r.interval = min(2*r.interval, maxRefreshInterval)
	default:
		r.interval = refreshInterval
	}
	r.askedAt, r.running = now, make(chan struct{})
	return r.running, true
}

// end notes that the question under way has ended, and whether it brought a newer manifest.
func (r *refresher) end(newer bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if newer {
		r.interval = 0
	}
	close(r.running)
	r.running = nil
}

// Refresh asks the control leader whether a newer manifest is in force than this process
// has, and puts that into force. It returns false if it could not ask now.
func (c *Client) Refresh(ctx context.Context) bool {
	done, ask := c.refresher.begin(time.Now())
	switch {
	case done == nil:
		c.questions.WithLabelValues("not asked").Inc()
		return false
	case ask:
		c.questions.WithLabelValues("asked").Inc()
		go c.askRoutes()
	default:
		c.questions.WithLabelValues("shared").Inc()
	}
	select {
	case <-done:
		return true
	case <-ctx.Done():
		return false
	}
}

func (c *Client) askRoutes() {
	newer := false
	defer func() { c.refresher.end(newer) }()
	ctx, cancel := context.WithTimeout(c.ctx, refreshTimeout)
	defer cancel()
	var in routesRequest
	if t := c.Table(); t != nil {
		in.Known = t.Manifest().Version
	}
	var out routesReply
	if err := c.call(ctx, methodRoutes, &in, &out, 0); err != nil {
		c.opts.Log.WithField("known", in.Known).Infof("asking for a newer manifest failed: %v", err)
		return
	}
	if newer = out.Update != nil; newer {
		c.applyManifest(out.Update)
	}
}
