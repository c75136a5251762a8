package batch

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"merlinhall/ledger"
)

// minSilence is how long a new leader listens for the process that gave orders
// before it, some round trips within a region.
const minSilence = 400 * time.Millisecond

// takeover decides from when a new leader may give orders to engines. Two
// processes must not take turns: the one before may still have an order on its
// way. Where the engines check fences a late order of it is refused, so it is
// enough that it is out of reach or has started again since.
type takeover struct {
	maxWait       time.Duration // that always suffices
	fencesChecked bool
	self          string
}

// allowed returns whether orders allowed be given, since is the time since the beginning
// of the leadership.
func (h *takeover) allowed(since time.Duration, before string, gone bool) bool {
	switch {
	case before == "" || before == h.self || since >= h.maxWait:
		return true
	case !h.fencesChecked:
		return false
	}
	return gone && since >= minSilence
}

type holderEnd struct {
	term uint64
	err  error
}

// mayOrder reports whether this process holds the engines. It names itself as
// their holder in the ledger first.
func (r *Runner) mayOrder(now time.Time) bool {
	if r.superseded {
		return false
	}
	if r.isHolder || r.claiming {
		return r.isHolder
	}
	before, boot := r.o.Holder.Last()
	if !r.takeover.allowed(now.Sub(r.leadSince), before, r.o.Gone(before, boot)) {
		return false
	}
	r.claiming = true
	body, err := ledger.HolderCommand(r.takeover.self, r.o.Boot)
	if err != nil {
		r.log.Errorf("holder cannot be encoded: %v", err)
		return false
	}
	r.log.WithFields(logrus.Fields{
		"term": r.term, "before": before, "since_ms": now.Sub(r.leadSince).Milliseconds(),
	}).Info("takes over the orders to engines")
	lead, term := r.ctx, r.term
	go func() {
		ctx, cancel := context.WithTimeout(lead, proposeTimeout)
		defer cancel()
		r.deliver(lead, holderEnd{term, r.o.ProposeHolder(ctx, body)})
	}()
	return false
}

func (r *Runner) handleHolderEnd(m holderEnd) {
	if m.term != r.term {
		return
	}
	r.claiming = false
	r.isHolder = m.err == nil
	if m.err != nil {
		r.log.Warnf("orders are not taken over yet: %v", m.err)
	}
}
