package propagate

import (
	"time"

	"merlinhall/actor"
	"merlinhall/wire"
)

const (
	// freshTimeout is the time without a fresh digest after which a child tries
	// another parent: three digest periods. The link itself closes the connection
	// to a parent that sends nothing at all for link.SilenceLimit.
	freshTimeout = 3 * digestPeriod
	// maxFreshTimeout bounds the timeout, which doubles after each round over all
	// candidates without a fresh parent, so that a fleet without a leader does not
	// reconnect continuously.
	maxFreshTimeout = 16 * time.Second
	// reportPeriod is the interval at which an unchanged report is repeated.
	reportPeriod = 5 * digestPeriod
	// resubscribePeriod is the minimum interval between repeated subscriptions to
	// one parent.
	resubscribePeriod = 1 * time.Second
	// controlFailbackDelay and parentFailbackDelay are how long a child stays with
	// a control replica or with another parent that is not its first choice before
	// it tries a preferred one again.
	controlFailbackDelay = 30 * time.Second
	parentFailbackDelay  = 10 * time.Minute
)

// subscriber is the state machine of a Follower: the cluster state that it holds
// and the parent that it is subscribed to. It does no I/O; methods return the
// actions to perform.
type subscriber struct {
	ranked  []Candidate
	passive bool                       // the owner connects to the candidates
	counts  func() []wire.VersionCount // versions in force in this process and below

	linkUp         map[string]bool
	current        int // index in ranked, -1 without a parent
	selectedAt     time.Time
	subscribedAt   time.Time
	freshAt        time.Time // last fresh digest from any parent
	staleAfter     time.Duration
	failovers      int // failovers since the last fresh digest
	failbackJitter time.Duration
	reportedAt     time.Time
	reportDue      bool // the versions in force have changed since the last report
	clusterState   *wire.ClusterState
	needsSnapshot  bool // a message was not usable, so the next subscription asks for a snapshot
	refused        int
	allowRollback  bool // accepts a cluster state of a lower index; for tests
}

// outboundMessage is a message to a candidate.
type outboundMessage struct {
	to      string
	message wire.Message
}

// actions are what a Follower must do.
type actions struct {
	// connectTo is the candidate to connect to after connectDelay, in place of any
	// other.
	connectTo    *Candidate
	connectDelay time.Duration
	send         []outboundMessage
	clusterState *wire.ClusterState // a newer cluster state
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

// start selects the first parent.
func (s *subscriber) start(now time.Time) actions {
	s.selectedAt = now
	if s.passive || len(s.ranked) == 0 {
		return actions{}
	}
	return s.selectParent(now, 0)
}

// connected handles a new connection to a candidate.
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

// disconnected handles the end of a connection or a failed attempt to connect.
func (s *subscriber) disconnected(now time.Time, name string) actions {
	delete(s.linkUp, name)
	if s.parentName() != name {
		return actions{}
	}
	return s.failOver(now)
}

// tick leaves a parent that is no longer fresh, returns to a preferred one, or sends
// a report that is due.
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

// nextCheck returns the time until the next call of tick if no message arrives. ok
// is false without a parent.
func (s *subscriber) nextCheck(now time.Time) (wait time.Duration, ok bool) {
	if s.parentName() == "" {
		return 0, false
	}
	due := s.lastFresh().Add(s.staleAfter)
	if s.current > 0 {
		// An overdue failback waits for a preferred candidate to connect: check again
		// after digestPeriod.
		failback := max(s.selectedAt.Add(s.failbackDelay()+s.failbackJitter).Sub(now), digestPeriod)
		return min(failback, due.Sub(now)), true
	}
	return due.Sub(now), true
}

// lastFresh returns when the last fresh digest arrived, or when the current parent
// was selected or connected if that is later.
func (s *subscriber) lastFresh() time.Time {
	if s.freshAt.After(s.selectedAt) {
		return s.freshAt
	}
	return s.selectedAt
}

// failbackCandidate returns the index of the preferred candidate to return to once the
// child has stayed long enough with another one, or -1.
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

// failOver switches to the next candidate, or to the next connected one if the owner
// connects. Without one, the subscriber has no parent.
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

// redialDelay grows by 100 ms, up to 2 s, with each round over all candidates
// without a fresh parent.
func (s *subscriber) redialDelay() time.Duration {
	rounds := s.failovers / len(s.ranked)
	if rounds == 0 {
		return 0
	}
	return min(time.Duration(rounds)*100*time.Millisecond, 2*time.Second)
}

// handleMessage handles a message from a candidate.
func (s *subscriber) handleMessage(now time.Time, from string, msg wire.Message) actions {
	if packed, ok := msg.(*wire.Compressed); ok {
		inner, err := decompressFrame(packed)
		if err != nil {
			return s.rejectMessage(now, from)
		}
		msg = inner
	}
	switch m := msg.(type) {
	case *wire.ClusterState:
		return s.handleSnapshot(now, from, m)
	case *wire.ClusterStateDelta:
		return s.handleDelta(now, from, m)
	case *wire.Digest:
		return s.handleDigest(now, from, m)
	}
	return actions{}
}

func (s *subscriber) handleSnapshot(now time.Time, from string, cs *wire.ClusterState) actions {
	if checkSnapshot(cs) != nil {
		return s.rejectMessage(now, from)
	}
	return s.accept(now, cs)
}

// rejectMessage counts a message that cannot be applied and requests a snapshot.
func (s *subscriber) rejectMessage(now time.Time, from string) actions {
	s.refused++
	s.needsSnapshot = true
	return actions{send: s.resubscribe(now, from)}
}

func (s *subscriber) handleDelta(now time.Time, from string, d *wire.ClusterStateDelta) actions {
	if d.Index <= s.heldIndex() && !s.allowRollback {
		return actions{}
	}
	if s.clusterState == nil || d.Base != s.clusterState.Index {
		return actions{send: s.resubscribe(now, from)}
	}
	cs, err := ApplyDelta(s.clusterState, d)
	if err != nil {
		return s.rejectMessage(now, from)
	}
	return s.accept(now, cs)
}

// handleDigest handles a parent's digest. A newer cluster state is requested from
// the parent. A candidate that is not the current parent is told to end the
// subscription, in case the first notice was lost.
func (s *subscriber) handleDigest(now time.Time, from string, d *wire.Digest) actions {
	if from != s.parentName() {
		return actions{send: []outboundMessage{{to: from, message: &wire.Subscribe{Stop: true}}}}
	}
	if d.Stale && s.staleAfter == freshTimeout && len(s.ranked) > 1 {
		// The parent has already waited for freshTimeout. Waiting for it a second time
		// would exceed the 5 s within which a change must reach every process.
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

// accept stores cs unless it is older than the cluster state held. A higher index
// with a lower version is a fault of the parent, and cs is rejected.
func (s *subscriber) accept(now time.Time, cs *wire.ClusterState) actions {
	if cs.Index <= s.heldIndex() && !s.allowRollback {
		return actions{}
	}
	if s.clusterState != nil && VersionDecreased(s.clusterState, cs) && !s.allowRollback {
		s.refused++
		return actions{}
	}
	actor.Invariant(s.clusterState == nil || s.clusterState.Index < cs.Index, "cluster state %d replaces %d", cs.Index, s.heldIndex())
	actor.Invariant(s.clusterState == nil || !VersionDecreased(s.clusterState, cs), "a version decreases at index %d", cs.Index)
	s.clusterState = cs
	s.needsSnapshot = false
	return actions{clusterState: cs, send: s.report(now)}
}

// VersionDecreased reports whether the configuration version or the weight version
// of a pool is lower in to than in from.
func VersionDecreased(from, to *wire.ClusterState) bool {
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

// subscribe subscribes to the current parent from the cluster state held, or from 0
// when a snapshot is needed.
func (s *subscriber) subscribe(now time.Time) []outboundMessage {
	s.subscribedAt = now
	s.reportDue = true // the parent may not know this child's counts
	index := s.heldIndex()
	if s.needsSnapshot {
		index = 0
	}
	return []outboundMessage{{to: s.parentName(), message: &wire.Subscribe{Index: index}}}
}

// resubscribe repeats the subscription to the current parent, at most once per
// resubscribePeriod. Messages from any other candidate do not cause one.
func (s *subscriber) resubscribe(now time.Time, from string) []outboundMessage {
	if from != s.parentName() || now.Sub(s.subscribedAt) < resubscribePeriod {
		return nil
	}
	return s.subscribe(now)
}

// report tells the current parent which configuration versions are in force in this
// process and those below it.
func (s *subscriber) report(now time.Time) []outboundMessage {
	if s.parentName() == "" || !s.linkUp[s.parentName()] {
		return nil
	}
	s.reportDue = false
	s.reportedAt = now
	return []outboundMessage{{to: s.parentName(), message: &wire.VersionReport{Index: s.heldIndex(), Counts: s.counts()}}}
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
