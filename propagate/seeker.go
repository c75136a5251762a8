package propagate

import (
	"time"

	"merlinhall/duty"
	"merlinhall/wire"
)

const (
	// freshLimit is the time without a digest of a parent that has contact to the
	// leader after which the child tries another parent. It is three digests; a
	// parent that sends nothing at all is noticed by the link after 2 s.
	freshLimit = 3 * digestPeriod
	// maxFreshLimit bounds the limit, which doubles after each round in which no
	// parent was fresh, so that a fleet without a leader does not reconnect all
	// the time.
	maxFreshLimit = 16 * time.Second
	// askPeriod is the shortest time between two subscriptions to one parent.
	askPeriod = 1 * time.Second
	// controlStay and parentStay are how long a child stays with a control
	// replica or with another parent before it tries its first choice again.
	controlStay = 30 * time.Second
	parentStay  = 10 * time.Minute
)

// seeker is the state of a follower: the world it holds and the parent it
// follows. It does no I/O: every method returns the step to be carried out.
type seeker struct {
	ranked  []Candidate
	passive bool                       // connections are made by others
	counts  func() []wire.VersionCount // versions in force here and below

	up       map[string]bool
	current  int // position in ranked, -1 when there is none
	since    time.Time
	asked    time.Time
	fresh    time.Time // last fresh word of any parent
	limit    time.Duration
	tried    int // candidates since the last fresh word
	jitter   time.Duration
	dirty    bool
	world    *wire.World
	broken   bool // a delta did not fit, so the next answer must be a snapshot
	refused  int
	takeBack bool // test switch: takes worlds of a lower index
}

// addressed is a message for a candidate.
type addressed struct {
	to      string
	message wire.Message
}

// step is what a follower must do.
type step struct {
	// use is the candidate to connect to, in place of any other. Its delay is
	// waited first.
	use   *Candidate
	delay time.Duration
	send  []addressed
	world *wire.World // a newer world
}

func newSeeker(ranked []Candidate, passive bool, counts func() []wire.VersionCount, jitter time.Duration) *seeker {
	return &seeker{
		ranked:  ranked,
		passive: passive,
		counts:  counts,
		up:      make(map[string]bool),
		current: -1,
		limit:   freshLimit,
		jitter:  jitter,
	}
}

// start chooses the first parent.
func (s *seeker) start(now time.Time) step {
	s.since = now
	if s.passive || len(s.ranked) == 0 {
		return step{}
	}
	return s.choose(now, 0)
}

// connected notes a connection to a candidate.
func (s *seeker) connected(now time.Time, name string) step {
	if s.position(name) < 0 {
		return step{}
	}
	s.up[name] = true
	if s.current < 0 && s.passive {
		s.current = s.position(name)
	}
	if s.name() != name {
		return step{}
	}
	s.since = now
	return step{send: s.subscribe(now)}
}

// disconnected notes the end of a connection or a failed attempt.
func (s *seeker) disconnected(now time.Time, name string) step {
	delete(s.up, name)
	if s.name() != name {
		return step{}
	}
	return s.advance(now)
}

// tick looks for a parent that is no longer fresh and reports what is held.
func (s *seeker) tick(now time.Time) step {
	if s.name() == "" {
		return step{}
	}
	if now.Sub(s.lastWord()) > s.limit {
		return s.advance(now)
	}
	if i := s.better(now); i >= 0 {
		return s.moveTo(now, i)
	}
	if s.dirty && s.up[s.name()] {
		return step{send: s.report()}
	}
	return step{}
}

func (s *seeker) lastWord() time.Time {
	if s.fresh.After(s.since) {
		return s.fresh
	}
	return s.since
}

// better returns the candidate to go back to when the child has stayed long
// enough with one that is not its first choice, or -1.
func (s *seeker) better(now time.Time) int {
	if s.current <= 0 || now.Sub(s.since) <= s.stay()+s.jitter {
		return -1
	}
	for i := range s.current {
		if !s.passive || s.up[s.ranked[i].Name] {
			return i
		}
	}
	return -1
}

func (s *seeker) stay() time.Duration {
	if s.ranked[s.current].Control && !s.ranked[0].Control {
		return controlStay
	}
	return parentStay
}

// advance leaves the current parent for the next candidate.
func (s *seeker) advance(now time.Time) step {
	s.tried++
	if s.tried%len(s.ranked) == 0 {
		s.limit = min(2*s.limit, maxFreshLimit)
	}
	for i := 1; i <= len(s.ranked); i++ {
		next := (s.current + i) % len(s.ranked)
		if !s.passive || s.up[s.ranked[next].Name] {
			return s.moveTo(now, next)
		}
	}
	s.current = -1
	return step{}
}

func (s *seeker) moveTo(now time.Time, next int) step {
	var out step
	if old := s.name(); old != "" && s.up[old] && s.passive && next != s.current {
		out.send = append(out.send, addressed{to: old, message: &wire.Subscribe{Stop: true}})
	}
	chosen := s.choose(now, next)
	chosen.send = append(out.send, chosen.send...)
	return chosen
}

func (s *seeker) choose(now time.Time, next int) step {
	s.current = next
	s.since = now
	if s.passive {
		return step{send: s.subscribe(now)}
	}
	delete(s.up, s.name())
	return step{use: &s.ranked[next], delay: s.redialDelay()}
}

// redialDelay grows with the number of rounds without a fresh parent.
func (s *seeker) redialDelay() time.Duration {
	rounds := s.tried / len(s.ranked)
	if rounds == 0 {
		return 0
	}
	return min(time.Duration(rounds)*100*time.Millisecond, 2*time.Second)
}

// message handles a message of a candidate.
func (s *seeker) message(now time.Time, from string, msg wire.Message) step {
	if packed, ok := msg.(*wire.Packed); ok {
		inner, err := unpack(packed)
		if err != nil {
			return s.unusable(now, from)
		}
		msg = inner
	}
	switch m := msg.(type) {
	case *wire.World:
		return s.snapshot(now, from, m)
	case *wire.WorldDelta:
		return s.delta(now, from, m)
	case *wire.Digest:
		return s.digest(now, from, m)
	}
	return step{}
}

func (s *seeker) snapshot(now time.Time, from string, w *wire.World) step {
	if checkWorld(w) != nil {
		return s.unusable(now, from)
	}
	return s.take(w)
}

// unusable notes a message that cannot be applied and asks for a snapshot.
func (s *seeker) unusable(now time.Time, from string) step {
	s.refused++
	s.broken = true
	return step{send: s.ask(now, from)}
}

func (s *seeker) delta(now time.Time, from string, d *wire.WorldDelta) step {
	if d.Index <= s.held() && !s.takeBack {
		return step{}
	}
	if s.world == nil || d.Base != s.world.Index {
		return step{send: s.ask(now, from)}
	}
	w, err := ApplyDelta(s.world, d)
	if err != nil {
		return s.unusable(now, from)
	}
	return s.take(w)
}

// digest notes the word of a parent. A parent that holds a newer world than the
// child is asked for it. One that the child has left is told so again.
func (s *seeker) digest(now time.Time, from string, d *wire.Digest) step {
	if from != s.name() {
		return step{send: []addressed{{to: from, message: &wire.Subscribe{Stop: true}}}}
	}
	if d.Stale && s.limit == freshLimit && len(s.ranked) > 1 {
		// The parent has waited freshLimit already; waiting as long again would
		// break the bound of 5 s on a change.
		return s.advance(now)
	}
	if !d.Stale {
		s.fresh = now
		s.tried = 0
		s.limit = freshLimit
	}
	out := step{send: s.report()}
	if d.Index > s.held() {
		out.send = append(out.send, s.ask(now, from)...)
	}
	return out
}

// take makes w the held world unless it is older. A world of a higher index in
// which a version went back is the fault of a parent and is refused.
func (s *seeker) take(w *wire.World) step {
	if w.Index <= s.held() && !s.takeBack {
		return step{}
	}
	if s.world != nil && wentBack(s.world, w) && !s.takeBack {
		s.refused++
		return step{}
	}
	duty.Invariant(s.world == nil || s.world.Index < w.Index, "world %d replaces %d", w.Index, s.held())
	duty.Invariant(s.world == nil || !wentBack(s.world, w), "a version goes back at index %d", w.Index)
	s.world = w
	s.broken = false
	return step{world: w, send: s.report()}
}

// wentBack reports whether the configuration version or a weight version of to
// is lower than in from.
func wentBack(from, to *wire.World) bool {
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
func (s *seeker) subscribe(now time.Time) []addressed {
	s.asked = now
	index := s.held()
	if s.broken {
		index = 0
	}
	return []addressed{{to: s.name(), message: &wire.Subscribe{Index: index}}}
}

// ask repeats the subscription, at most once each askPeriod. A message of a
// parent that was left is no reason to ask.
func (s *seeker) ask(now time.Time, from string) []addressed {
	if from != s.name() || now.Sub(s.asked) < askPeriod {
		return nil
	}
	return s.subscribe(now)
}

// report tells the current parent which versions this process and those below
// it hold.
func (s *seeker) report() []addressed {
	if s.name() == "" || !s.up[s.name()] {
		return nil
	}
	s.dirty = false
	return []addressed{{to: s.name(), message: &wire.Holding{Index: s.held(), Counts: s.counts()}}}
}

func (s *seeker) held() uint64 {
	if s.world == nil {
		return 0
	}
	return s.world.Index
}

func (s *seeker) name() string {
	if s.current < 0 {
		return ""
	}
	return s.ranked[s.current].Name
}

func (s *seeker) position(name string) int {
	for i := range s.ranked {
		if s.ranked[i].Name == name {
			return i
		}
	}
	return -1
}
