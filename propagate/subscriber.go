package propagate

import (
	"time"

	"merlinhall/duty"
	"merlinhall/wire"
)

const (
	// freshTimeout is the time without a digest of a parent that has contact to the
	// leader after which the child tries another parent. It is three digests; a
	// parent that sends nothing at all is noticed by the link after 2 s.
	freshTimeout = 3 * digestPeriod
	// maxFreshTimeout bounds the limit, which doubles after each round in which no
	// parent was fresh, so that a fleet without a leader does not reconnect all
	// the time.
	maxFreshTimeout = 16 * time.Second
	// reportPeriod is the time after which an unchanged report is repeated.
	reportPeriod = 5 * digestPeriod
	// resubscribePeriod is the shortest time between two subscriptions to one parent.
	resubscribePeriod = 1 * time.Second
	// controlFailbackDelay and parentStay are how long a child stays with a control
	// replica or with another parent before it tries its first choice again.
	controlFailbackDelay = 30 * time.Second
	parentFailbackDelay  = 10 * time.Minute
)

// subscriber is the state of a follower: the world it holds and the parent it
// follows. It does no I/O: every method returns the step to be carried out.
type subscriber struct {
	ranked  []Candidate
	passive bool                       // connections are made by others
	counts  func() []wire.VersionCount // versions in force here and below

	linkUp         map[string]bool
	current        int // position in ranked, -1 when there is none
	selectedAt     time.Time
	subscribedAt   time.Time
	freshAt        time.Time // last fresh word of any parent
	staleAfter     time.Duration
	failovers      int // candidates since the last fresh word
	failbackJitter time.Duration
	reportedAt     time.Time
	reportDue      bool // the versions in force have changed since the last report
	clusterState   *wire.World
	needsSnapshot  bool // a delta did not fit, so the next answer must be a snapshot
	refused        int
	allowRollback  bool // test switch: takes worlds of a lower index
}

// outboundMessage is a message for a candidate.
type outboundMessage struct {
	to      string
	message wire.Message
}

// actions is what a follower must do.
type actions struct {
	// connectTo is the candidate to connect to, in place of any other. Its delay is
	// waited first.
	connectTo    *Candidate
	connectDelay time.Duration
	send         []outboundMessage
	clusterState *wire.World // a newer world
}

func newSubscriber(ranked []Candidate, passive bool, counts func() []wire.VersionCount, jitter time.Duration) *subscriber {
	return &subscriber{
		ranked:         ranked,
		passive:        passive,
		counts:         counts,
		linkUp:         make(map[string]bool),
		current:        -1,
		staleAfter:     freshTimeout,
		failbackJitter: jitter,
	}
}

// start chooses the first parent.
func (s *subscriber) start(now time.Time) actions {
	s.selectedAt = now
	if s.passive || len(s.ranked) == 0 {
		return actions{}
	}
	return s.selectParent(now, 0)
}

// connected notes a connection to a candidate.
func (s *subscriber) connected(now time.Time, name string) actions {
	if s.candidateRank(name) < 0 {
		return actions{}
	}
	s.linkUp[name] = true
	if s.current < 0 && s.passive {
		s.current = s.candidateRank(name)
	}
	if s.parentName() != name {
		return actions{}
	}
	s.selectedAt = now
	return actions{send: s.subscribe(now)}
}

// disconnected notes the end of a connection or a failed attempt.
func (s *subscriber) disconnected(now time.Time, name string) actions {
	delete(s.linkUp, name)
	if s.parentName() != name {
		return actions{}
	}
	return s.failOver(now)
}

// tick looks for a parent that is no longer fresh and reports what is held.
func (s *subscriber) tick(now time.Time) actions {
	if s.parentName() == "" {
		return actions{}
	}
	if now.Sub(s.lastFresh()) > s.staleAfter {
		return s.failOver(now)
	}
	if i := s.failbackCandidate(now); i >= 0 {
		return s.switchTo(now, i)
	}
	if s.reportDue {
		return actions{send: s.report(now)}
	}
	return actions{}
}

// nextCheck returns how long tick may wait while nothing arrives; ok is false when
// there is nothing to wait for.
func (s *subscriber) nextCheck(now time.Time) (wait time.Duration, ok bool) {
	if s.parentName() == "" {
		return 0, false
	}
	due := s.lastFresh().Add(s.staleAfter)
	if s.current > 0 {
		// When the time to go back has passed, no better candidate is connected.
		home := max(s.selectedAt.Add(s.failbackDelay()+s.failbackJitter).Sub(now), digestPeriod)
		return min(home, due.Sub(now)), true
	}
	return due.Sub(now), true
}

func (s *subscriber) lastFresh() time.Time {
	if s.freshAt.After(s.selectedAt) {
		return s.freshAt
	}
	return s.selectedAt
}

// failbackCandidate returns the candidate to go back to when the child has stayed long
// enough with one that is not its first choice, or -1.
func (s *subscriber) failbackCandidate(now time.Time) int {
	if s.current <= 0 || now.Sub(s.selectedAt) <= s.failbackDelay()+s.failbackJitter {
		return -1
	}
	for i := range s.current {
		if !s.passive || s.linkUp[s.ranked[i].Name] {
			return i
		}
	}
	return -1
}

func (s *subscriber) failbackDelay() time.Duration {
	if s.ranked[s.current].Control && !s.ranked[0].Control {
		return controlFailbackDelay
	}
	return parentFailbackDelay
}

// failOver leaves the current parent for the next candidate.
func (s *subscriber) failOver(now time.Time) actions {
	s.failovers++
	if s.failovers%len(s.ranked) == 0 {
		s.staleAfter = min(2*s.staleAfter, maxFreshTimeout)
	}
	for i := 1; i <= len(s.ranked); i++ {
		next := (s.current + i) % len(s.ranked)
		if !s.passive || s.linkUp[s.ranked[next].Name] {
			return s.switchTo(now, next)
		}
	}
	s.current = -1
	return actions{}
}

func (s *subscriber) switchTo(now time.Time, next int) actions {
	var out actions
	if old := s.parentName(); old != "" && s.linkUp[old] && s.passive && next != s.current {
		out.send = append(out.send, outboundMessage{to: old, message: &wire.Subscribe{Stop: true}})
	}
	chosen := s.selectParent(now, next)
	chosen.send = append(out.send, chosen.send...)
	return chosen
}

func (s *subscriber) selectParent(now time.Time, next int) actions {
	s.current = next
	s.selectedAt = now
	if s.passive {
		return actions{send: s.subscribe(now)}
	}
	delete(s.linkUp, s.parentName())
	return actions{connectTo: &s.ranked[next], connectDelay: s.redialDelay()}
}

// redialDelay grows with the number of rounds without a fresh parent.
func (s *subscriber) redialDelay() time.Duration {
	rounds := s.failovers / len(s.ranked)
	if rounds == 0 {
		return 0
	}
	return min(time.Duration(rounds)*100*time.Millisecond, 2*time.Second)
}

// handleMessage handles a handleMessage of a candidate.
func (s *subscriber) handleMessage(now time.Time, from string, msg wire.Message) actions {
	if packed, ok := msg.(*wire.Packed); ok {
		inner, err := decompressFrame(packed)
		if err != nil {
			return s.rejectMessage(now, from)
		}
		msg = inner
	}
	switch m := msg.(type) {
	case *wire.World:
		return s.handleSnapshot(now, from, m)
	case *wire.WorldDelta:
		return s.handleDelta(now, from, m)
	case *wire.Digest:
		return s.handleDigest(now, from, m)
	}
	return actions{}
}

func (s *subscriber) handleSnapshot(now time.Time, from string, w *wire.World) actions {
	if checkSnapshot(w) != nil {
		return s.rejectMessage(now, from)
	}
	return s.accept(now, w)
}

// rejectMessage notes a message that cannot be applied and asks for a snapshot.
func (s *subscriber) rejectMessage(now time.Time, from string) actions {
	s.refused++
	s.needsSnapshot = true
	return actions{send: s.resubscribe(now, from)}
}

func (s *subscriber) handleDelta(now time.Time, from string, d *wire.WorldDelta) actions {
	if d.Index <= s.heldIndex() && !s.allowRollback {
		return actions{}
	}
	if s.clusterState == nil || d.Base != s.clusterState.Index {
		return actions{send: s.resubscribe(now, from)}
	}
	w, err := ApplyDelta(s.clusterState, d)
	if err != nil {
		return s.rejectMessage(now, from)
	}
	return s.accept(now, w)
}

// handleDigest notes the word of a parent. A parent that holds a newer world than the
// child is asked for it. One that the child has left is told so again.
func (s *subscriber) handleDigest(now time.Time, from string, d *wire.Digest) actions {
	if from != s.parentName() {
		return actions{send: []outboundMessage{{to: from, message: &wire.Subscribe{Stop: true}}}}
	}
	if d.Stale && s.staleAfter == freshTimeout && len(s.ranked) > 1 {
		// The parent has waited freshLimit already; waiting as long again would
		// break the bound of 5 s on a change.
		return s.failOver(now)
	}
	if !d.Stale {
		s.freshAt = now
		s.failovers = 0
		s.staleAfter = freshTimeout
	}
	var out actions
	if s.reportDue || now.Sub(s.reportedAt) >= reportPeriod {
		out.send = s.report(now)
	}
	if d.Index > s.heldIndex() {
		out.send = append(out.send, s.resubscribe(now, from)...)
	}
	return out
}

// accept makes w the held world unless it is older. A world of a higher index in
// which a version went back is the fault of a parent and is refused.
func (s *subscriber) accept(now time.Time, w *wire.World) actions {
	if w.Index <= s.heldIndex() && !s.allowRollback {
		return actions{}
	}
	if s.clusterState != nil && WentBack(s.clusterState, w) && !s.allowRollback {
		s.refused++
		return actions{}
	}
	duty.Invariant(s.clusterState == nil || s.clusterState.Index < w.Index, "world %d replaces %d", w.Index, s.heldIndex())
	duty.Invariant(s.clusterState == nil || !WentBack(s.clusterState, w), "a version goes back at index %d", w.Index)
	s.clusterState = w
	s.needsSnapshot = false
	return actions{clusterState: w, send: s.report(now)}
}

// WentBack reports whether the configuration version or a weight version of to
// is lower than in from.
func WentBack(from, to *wire.World) bool {
	if to.ConfigVersion < from.ConfigVersion {
		return true
	}
	versions := make(map[string]uint64, len(to.Weights))
	for _, w := range to.Weights {
		versions[w.Pool] = w.Version
	}
	for _, w := range from.Weights {
		if v, ok := versions[w.Pool]; ok && v < w.Version {
			return true
		}
	}
	return false
}

// subscribe asks the current parent for the worlds after the held one.
func (s *subscriber) subscribe(now time.Time) []outboundMessage {
	s.subscribedAt = now
	s.reportDue = true // the parent may know nothing of this child
	index := s.heldIndex()
	if s.needsSnapshot {
		index = 0
	}
	return []outboundMessage{{to: s.parentName(), message: &wire.Subscribe{Index: index}}}
}

// resubscribe repeats the subscription, at most once each askPeriod. A message of a
// parent that was left is no reason to resubscribe.
func (s *subscriber) resubscribe(now time.Time, from string) []outboundMessage {
	if from != s.parentName() || now.Sub(s.subscribedAt) < resubscribePeriod {
		return nil
	}
	return s.subscribe(now)
}

// report tells the current parent which versions this process and those below
// it hold.
func (s *subscriber) report(now time.Time) []outboundMessage {
	if s.parentName() == "" || !s.linkUp[s.parentName()] {
		return nil
	}
	s.reportDue = false
	s.reportedAt = now
	return []outboundMessage{{to: s.parentName(), message: &wire.Holding{Index: s.heldIndex(), Counts: s.counts()}}}
}

func (s *subscriber) heldIndex() uint64 {
	if s.clusterState == nil {
		return 0
	}
	return s.clusterState.Index
}

func (s *subscriber) parentName() string {
	if s.current < 0 {
		return ""
	}
	return s.ranked[s.current].Name
}

func (s *subscriber) candidateRank(name string) int {
	for i := range s.ranked {
		if s.ranked[i].Name == name {
			return i
		}
	}
	return -1
}
