package batch

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"merlinhall/ledger"
)

// silentLeast is how long a new leader listens for the process that gave orders
// before it, some round trips within a region.
const silentLeast = 400 * time.Millisecond

// holding decides from when a new leader may give orders to engines. Two
// processes must not take turns: the one before may still have an order on its
// way. Where the engines check fences a late order of it is refused, so it is
// enough that it is out of reach or has started again since.
type holding struct {
	hold          time.Duration // that always suffices
	fencesChecked bool
	self          string
}

// may returns whether orders may be given, since is the time since the beginning
// of the leadership.
func (h *holding) may(since time.Duration, before string, gone bool) bool {
	switch {
	case before == "" || before == h.self || since >= h.hold:
		return true
	case !h.fencesChecked:
		return false
	}
	return gone && since >= silentLeast
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
	if r.holds || r.naming {
		return r.holds
	}
	before, boot := r.o.Holder.Last()
	if !r.holding.may(now.Sub(r.leadSince), before, r.o.Gone(before, boot)) {
		return false
	}
	r.naming = true
	body, err := ledger.HolderCommand(r.holding.self, r.o.Boot)
	if err != nil {
		r.log.Errorf("holder cannot be encoded: %v", err)
		return false
	}
	r.log.WithFields(logrus.Fields{
		"term": r.term, "before": before, "since_ms": now.Sub(r.leadSince).Milliseconds(),
	}).Info("takes over the orders to engines")
	lead, term := r.ctx, r.term
	go func() {
		ctx, cancel := context.WithTimeout(lead, proposeLimit)
		defer cancel()
		r.deliver(lead, holderEnd{term, r.o.ProposeHolder(ctx, body)})
	}()
	return false
}

func (r *Runner) endHolder(m holderEnd) {
	if m.term != r.term {
		return
	}
	r.naming = false
	r.holds = m.err == nil
	if m.err != nil {
		r.log.Warnf("orders are not taken over yet: %v", m.err)
	}
}
