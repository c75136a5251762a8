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

// errOverrun closes a link whose messages the dispatcher cannot take.
var errOverrun = eris.New("entry: mailbox is full")

const (
	// handOverLimit bounds the wait for room in the mailbox; it is below
	// link.SilenceLimit, which a handler of link events must not reach.
	handOverLimit = time.Second
	// maxCancels bounds the cancellations kept for an agent that cannot be
	// reached; the agent cancels the others by their deadline.
	maxCancels = 1024
	// overdue is the time without any message at which a target becomes suspect. An
	// agent reports its load each second, and a silent link is replaced after two.
	overdue = 1500 * time.Millisecond
	// leavingFor is how long a refusal counts as a sign of departure against later
	// load reports that may have been under way.
	leavingFor = 2 * time.Second
	// notReadyFor is how long a target that does not yet, or no longer, accept the
	// configuration version gets no new work.
	notReadyFor = 200 * time.Millisecond
)

// target is a target of the configuration and the link to its agent. Only the
// dispatcher uses it.
type target struct {
	key     string
	config  config.Target
	service *service
	dialer  *link.Dialer
	conn    *link.Conn // nil while the link is down
	boot    string     // boot id of the agent, kept while the link is down
	flights map[*flight]struct{}
	cancels []abandon // attempts to cancel when the link is back

	removed     bool      // not in the current configuration
	leaving     bool      // by the current world
	leavingSign time.Time // of the last refusal for leaving
	notReady    time.Time // end of the pause after a refusal for the version
	load        wire.Load
	heard       time.Time // of the last message; zero before the first report
	others      float64
	cache       *routing.Cache
	limiter     *admission.Limiter
	served      uint64
}

func targetKey(t config.Target) string { return t.Name + "@" + t.Agent }

// departing reports whether any sign says that the target is leaving.
func (t *target) departing(now time.Time) bool {
	return t.removed || t.leaving || t.load.Leaving || now.Sub(t.leavingSign) < leavingFor
}

// route returns the view of t for a choice.
func (t *target) route(now time.Time, h *routing.Health, most int) routing.Target {
	return routing.Target{
		Key:      t.key,
		Zone:     t.config.Zone,
		InFlight: len(t.flights),
		Others:   t.others,
		Limit:    most,
		OwnLimit: t.limiter.Limit(),
		Weight:   h.Weight(now, t.key),
		Version:  t.load.Version,
		FreeKV:   t.load.FreeKV,
		Cache:    t.cache,
		Unlinked: t.conn == nil || now.Before(t.notReady),
		Leaving:  t.departing(now),
		Down:     t.load.Down,
		Ejected:  h.Ejected(now, t.key),
		Swapping: t.load.Swapping,
		Suspect:  t.load.Suspect || h.Suspect(t.key) || t.overdue(now),
	}
}

func (t *target) overdue(now time.Time) bool {
	return !t.heard.IsZero() && now.Sub(t.heard) > overdue
}

// report takes a load report.
func (t *target) report(now time.Time, l *wire.Load) {
	t.load = *l
	t.load.CachedPrefixes, t.load.EvictedPrefixes = nil, nil
	t.heard = now
	t.others = routing.SmoothOthers(t.others, l.Running-len(t.flights))
	t.cache.Report(now, l)
}

// linked takes a new connection of the agent.
func (t *target) linked(now time.Time, c *link.Conn) {
	boot := c.Peer().Boot
	if boot != t.boot {
		if t.boot != "" {
			t.service.health.Recover(now, t.key)
		}
		t.load = wire.Load{}
		t.leavingSign = time.Time{}
		t.notReady = time.Time{}
		t.cache.Reset()
	}
	t.conn = c
	t.heard = time.Time{}
	t.boot = boot
}

// targetEvents passes the events of a target's link to the dispatcher.
type targetEvents struct {
	entry  *Entry
	target *target
}

// Up implements link.Events.
func (t *targetEvents) Up(c *link.Conn) {
	t.entry.offer(context.Background(), upMessage{t.target, c})
}

// Message implements link.Events. A full mailbox holds back this link; when it
// stays full the link is closed, and requests attach again without a loss.
func (t *targetEvents) Message(c *link.Conn, m wire.Message) {
	if t.entry.duty.Offer(peerMessage{t.target, c, m}) == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), handOverLimit)
	defer cancel()
	if !t.entry.offer(ctx, peerMessage{t.target, c, m}) {
		c.Close(errOverrun)
	}
}

// Down implements link.Events.
func (t *targetEvents) Down(c *link.Conn, reason error) {
	t.entry.offer(context.Background(), downMessage{t.target, c, reason})
}
