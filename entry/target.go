package entry

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"merlinhall/admission"
	"merlinhall/config"
	"merlinhall/link"
	"merlinhall/routing"
	"merlinhall/wire"
)

// errMailboxFull is the reason for closing a link while the dispatcher's mailbox is
// full.
var errMailboxFull = eris.New("entry: mailbox is full")

const (
	// mailboxWaitLimit bounds the wait for space in the mailbox. It is less than
	// link.SilenceLimit, within which a handler of link events must return.
	mailboxWaitLimit = time.Second
	// maxCancels bounds the cancellations kept for an agent that cannot be reached.
	// The agent ends the other attempts at their deadline.
	maxCancels = 1024
	// reportTimeout is the time without any message after which a target is suspect.
	// An agent reports its load every second, and a link that is silent for two seconds
	// is replaced.
	reportTimeout = 1500 * time.Millisecond
	// leavingRefusalWindow is how long a target counts as departing after its agent
	// refused a request with RefusedLeaving, because load reports that were sent before
	// the refusal may still arrive.
	leavingRefusalWindow = 2 * time.Second
	// notReadyPause is how long a target gets no new requests after its agent refused
	// one because it is not ready or no longer accepts the configuration version.
	notReadyPause = 200 * time.Millisecond
)

// target is a configured target and the link to its agent. It is used only by the
// dispatcher.
type target struct {
	key      string
	config   config.Target
	service  *service
	dialer   *link.Dialer
	conn     *link.Conn // nil while the link is down
	boot     string     // boot id of the agent; kept while the link is down
	requests map[*activeRequest]struct{}
	cancels  []cancelAttempt // attempts to cancel when the link is back

	removed          bool      // not among the targets to which this entry keeps links
	leaving          bool      // according to the current cluster state
	leavingRefusedAt time.Time // time of the last RefusedLeaving
	notReadyUntil    time.Time // end of notReadyPause
	load             wire.Load
	lastHeard        time.Time // time of the last message; zero before the first load report of a link
	otherRequests    float64   // moving mean of the requests in flight from other entries
	cache            *routing.Cache
	limiter          *admission.Limiter
	served           uint64 // requests assigned so far
}

func targetKey(t config.Target) string { return t.Name + "@" + t.Agent }

// departing reports whether the target is removed, or is leaving according to the
// cluster state, a load report or a recent refusal.
func (t *target) departing(now time.Time) bool {
	return t.removed || t.leaving || t.load.Leaving || now.Sub(t.leavingRefusedAt) < leavingRefusalWindow
}

// routingTarget returns t in the form that routing.Choose takes.
func (t *target) routingTarget(now time.Time, h *routing.Health, maxInFlight int) routing.Target {
	return routing.Target{
		Key:              t.key,
		Zone:             t.config.Zone,
		InFlight:         len(t.requests),
		OtherEntriesLoad: t.otherRequests,
		Limit:            maxInFlight,
		OwnLimit:         t.limiter.Limit(),
		Weight:           h.Weight(now, t.key),
		Version:          t.load.Version,
		FreeKV:           t.load.FreeKV,
		Cache:            t.cache,
		Unlinked:         t.conn == nil || now.Before(t.notReadyUntil),
		Leaving:          t.departing(now),
		Down:             t.load.Down,
		Ejected:          h.Ejected(now, t.key),
		Swapping:         t.load.Swapping,
		Suspect:          t.load.Suspect || h.Suspect(t.key) || t.reportOverdue(now),
	}
}

func (t *target) reportOverdue(now time.Time) bool {
	return !t.lastHeard.IsZero() && now.Sub(t.lastHeard) > reportTimeout
}

// applyLoad applies a load report.
func (t *target) applyLoad(now time.Time, l *wire.Load) {
	t.load = *l
	t.load.CachedPrefixes, t.load.EvictedPrefixes = nil, nil
	t.lastHeard = now
	t.otherRequests = routing.SmoothOtherEntriesLoad(t.otherRequests, l.Running-len(t.requests))
	t.cache.ApplyLoadReport(now, l)
}

// setConn sets a new connection to the agent. If the agent has restarted, the state
// known about its previous boot is cleared.
func (t *target) setConn(now time.Time, c *link.Conn) {
	boot := c.Peer().Boot
	if boot != t.boot {
		if t.boot != "" {
			t.service.health.Recover(now, t.key)
		}
		t.load = wire.Load{}
		t.leavingRefusedAt = time.Time{}
		t.notReadyUntil = time.Time{}
		t.cache.Reset()
	}
	t.conn = c
	t.lastHeard = time.Time{}
	t.boot = boot
}

// targetEvents passes the events of a target's link to the dispatcher.
type targetEvents struct {
	entry  *Entry
	target *target
}

// Up implements link.Events.
func (t *targetEvents) Up(c *link.Conn) {
	t.entry.offer(context.Background(), linkUpMessage{t.target, c})
}

// Message implements link.Events. It blocks the link while the mailbox is full. If
// the mailbox stays full, it closes the link; requests then attach again over the next
// link without losing chunks.
func (t *targetEvents) Message(c *link.Conn, m wire.Message) {
	if t.entry.actor.Offer(agentMessage{t.target, c, m}) == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), mailboxWaitLimit)
	defer cancel()
	if !t.entry.offer(ctx, agentMessage{t.target, c, m}) {
		c.Close(errMailboxFull)
	}
}

// Down implements link.Events.
func (t *targetEvents) Down(c *link.Conn, reason error) {
	t.entry.offer(context.Background(), linkDownMessage{t.target, c, reason})
}
