package duty

import "time"

// minTakeoverWait is the minimum time between becoming leader and taking over from another
// process. It is several round trips within a region: what the previous holder sent with its
// lease has arrived.
const minTakeoverWait = 400 * time.Millisecond

// takeover decides when a new leader may act. The acts of two processes must not take turns:
// a holder whose place another one has taken comes back no sooner than maxWait after it acted
// last.
//
// The previous holder may still have an act in transit. Receivers that check fencing tokens
// refuse it, and the previous holder itself sends nothing without its lease, so a short wait
// is enough. Otherwise the new leader waits for maxWait. It does not wait if there was no
// holder or if it was the last one itself.
type takeover struct {
	maxWait       time.Duration // time after becoming leader from which acting is always allowed
	fencesChecked bool
	self          string
}

// allowed reports whether this process may act. since is the time since it became leader, and
// sinceOwn the time since it may have acted last. before is the previous holder, or empty.
func (t *takeover) allowed(since, sinceOwn time.Duration, before string) bool {
	switch {
	case before == "" || before == t.self || since >= t.maxWait:
		return true
	case !t.fencesChecked:
		return false
	}
	return since >= minTakeoverWait && sinceOwn >= t.maxWait
}
