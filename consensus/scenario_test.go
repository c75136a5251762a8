package consensus_test

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"merlinhall/consensus"
	"merlinhall/wire"
)

// outcome is the result of a request made by a scenario.
type outcome struct {
	done  bool
	index uint64
	err   error
}

// write proposes a write at h and returns its outcome, which is set once known.
func (s *sim) write(h *host, id uint64) *outcome {
	o := &outcome{}
	command, _ := wire.Marshal(kvCommand{ID: id, Key: "k", Value: id})
	h.do(func(now time.Duration) {
		h.core.Propose(now, command, func(_ any, index uint64, err error) { *o = outcome{true, index, err} })
	})
	return o
}

func (s *sim) change(h *host, kind consensus.ChangeKind, m consensus.Member) *outcome {
	o := &outcome{}
	h.do(func(now time.Duration) {
		h.core.Change(now, kind, m, func(_ any, index uint64, err error) { *o = outcome{true, index, err} })
	})
	return o
}

// readNow requests a read from h. ok reports whether h answered immediately, and
// version is the version of the key in the answer.
func (s *sim) readNow(h *host, byLease bool) (version uint64, ok bool) {
	if h.core == nil || h.busyUntil > s.now {
		return 0, false
	}
	h.do(func(now time.Duration) {
		h.core.Read(now, byLease, func(_, _ uint64, err error) {
			version, ok = h.kv.state.Items["k"].Version, err == nil
		})
	})
	return version, ok
}

func (s *sim) awaitLeader(among ...*host) *host {
	var found *host
	ok := s.runUntil(30*time.Second, func() bool {
		found = s.leader()
		for _, h := range among {
			if h == found {
				return true
			}
		}
		return len(among) == 0 && found != nil
	})
	if !ok {
		s.fail("no leader was elected")
	}
	return found
}

// isolate blocks all messages from and to h.
func (s *sim) isolate(h *host) {
	for i := range s.hosts {
		s.blocked[[2]int{h.index, i}] = true
		s.blocked[[2]int{i, h.index}] = true
	}
}

func (s *sim) others(h *host) []*host {
	var rest []*host
	for _, o := range s.hosts {
		if o != h {
			rest = append(rest, o)
		}
	}
	return rest
}

// scenarioRejoin reconnects an isolated replica, which must not disrupt the leader.
func scenarioRejoin(s *sim) {
	s.startAll()
	l := s.awaitLeader()
	if s.failure != "" {
		return
	}
	s.run(s.now + time.Second)
	term := l.core.Status().Term
	s.isolate(s.others(l)[0])
	s.run(s.now + 5*time.Second)
	s.blocked = map[[2]int]bool{}
	s.run(s.now + 5*time.Second)
	if got := l.core.Status(); got.Term != term || !got.Ready {
		s.fail("a reconnected replica ended the leadership of term %d", term)
	}
}

// scenarioIsolatedRead requests reads from an isolated leader after its successor has
// committed a write.
func scenarioIsolatedRead(s *sim) {
	s.startAll()
	old := s.awaitLeader()
	if s.failure != "" {
		return
	}
	s.write(old, 1)
	s.run(s.now + time.Second)
	s.isolate(old)
	next := s.awaitLeader(s.others(old)...)
	if s.failure != "" {
		return
	}
	w := s.write(next, 2)
	s.runUntil(5*time.Second, func() bool { return w.done })
	for _, byLease := range []bool{true, false} {
		if version, ok := s.readNow(old, byLease); ok && version < 2 {
			s.fail("an isolated leader answered a read with version %d", version)
		}
	}
}

// scenarioLease cuts c off from the leader a, while b stays connected. The clock of a
// is slow, those of b and c are fast. a does not learn about newer terms. Once the
// leader of a newer term has committed a write, a must not answer a read by lease.
func scenarioLease(s *sim) {
	a, b, c := s.hosts[0], s.hosts[1], s.hosts[2]
	a.clockRate, b.clockRate, c.clockRate = 0.9, 1.1, 1.1
	s.startAll()
	if s.awaitLeader(); s.failure != "" {
		return
	}
	s.write(a, 1)
	s.run(s.now + time.Second)
	s.deposeWithoutNotice(a, c)
}

// scenarioRestartedVoter is scenarioLease with a restart of b, after which b does not
// remember its contact with a and receives nothing more from it.
func scenarioRestartedVoter(s *sim) {
	a, b, c := s.hosts[0], s.hosts[1], s.hosts[2]
	s.startAll()
	if s.awaitLeader(a); s.failure != "" {
		return
	}
	s.write(a, 1)
	s.run(s.now + s.random(time.Second, 2*time.Second))
	s.after(600*time.Millisecond+s.random(0, 500*time.Millisecond), func() {
		s.blocked[[2]int{a.index, b.index}] = true
		b.kill(10 * time.Millisecond)
	})
	s.deposeWithoutNotice(a, c)
}

// deposeWithoutNotice cuts c off from the leader a, and drops all messages of newer
// terms to a. Once another host leads and has committed a write, a must not answer a
// read by lease.
func (s *sim) deposeWithoutNotice(a, c *host) {
	term := a.core.Status().Term
	s.blocked[[2]int{a.index, c.index}] = true
	s.drop = func(_, to *host, m *consensus.Message) bool { return to == a && m.Term > term }
	var w *outcome
	for range 500 {
		s.run(s.now + 10*time.Millisecond)
		if s.failure != "" {
			return
		}
		if l := s.leader(); w == nil && l != nil && l != a {
			w = s.write(l, 2)
		}
		if version, ok := s.readNow(a, true); ok && w != nil && w.done && w.err == nil && version < 2 {
			s.fail("a deposed leader answered a read by lease with version %d", version)
		}
	}
}

// scenarioSlowClock slows the clock of the leader to 1%, so that it still holds its
// lease when the others elect a leader. Reads confirmed by a quorum round must not
// depend on clocks.
func scenarioSlowClock(s *sim) {
	a, b, c := s.hosts[0], s.hosts[1], s.hosts[2]
	s.startAll()
	if s.awaitLeader(a); s.failure != "" {
		return
	}
	s.write(a, 1)
	s.readNow(a, false)
	s.run(s.now + time.Second)
	s.readNow(a, false)
	s.run(s.now + time.Second)
	s.isolate(a)
	a.startedAt = s.now - time.Duration(float64(a.clock())/0.01)
	a.clockRate = 0.01
	next := s.awaitLeader(b, c)
	if s.failure != "" {
		return
	}
	w := s.write(next, 2)
	s.runUntil(5*time.Second, func() bool { return w.done })
	if version, ok := s.readNow(a, false); ok && version < 2 {
		s.fail("a leader with a slow clock answered a read with version %d", version)
	}
}

// scenarioLateAppend delivers an append message only after its sender has restarted
// and leads a new term. The reply must not count as a confirmation of that term, as it
// did in the random run with seed 23609.
func scenarioLateAppend(s *sim) {
	a, b, c := s.hosts[0], s.hosts[1], s.hosts[2]
	s.startAll()
	if s.awaitLeader(a); s.failure != "" {
		return
	}
	s.write(a, 1)
	s.run(s.now + 30*time.Second)
	for range 50 {
		s.readNow(a, false)
		s.run(s.now + 20*time.Millisecond)
	}
	var late *consensus.Message
	s.drop = func(_, to *host, m *consensus.Message) bool {
		if to == b && m.Kind == consensus.MsgAppend {
			late = m
		}
		return false
	}
	s.run(s.now + time.Second)
	s.drop = func(from, _ *host, m *consensus.Message) bool { return from != a && m.Kind == consensus.MsgPreVote }
	a.kill(10 * time.Millisecond)
	s.run(s.now + 100*time.Millisecond)
	if s.awaitLeader(a); s.failure != "" {
		return
	}
	body, _ := late.Encode()
	s.deliver(b, body)
	s.run(s.now + time.Second)
	s.drop = nil
	s.isolate(a)
	next := s.awaitLeader(b, c)
	if s.failure != "" {
		return
	}
	w := s.write(next, 2)
	s.runUntil(5*time.Second, func() bool { return w.done })
	for _, byLease := range []bool{true, false} {
		if version, ok := s.readNow(a, byLease); ok && version < 2 {
			s.fail("an isolated leader answered a read with version %d", version)
		}
	}
}

// scenarioOldTerm replicates an entry of term 1 to a majority only in term 3, whose
// leader fails before an entry of its own term reaches a majority. The leader of term
// 2, which lacks the entry, restarts and may replace it, so it must not have been
// committed.
func scenarioOldTerm(s *sim) {
	a, b, c := s.hosts[0], s.hosts[1], s.hosts[2]
	s.adjustConfig = func(config *consensus.Config) { config.MaxBatchBytes = 1 } // one entry per message
	s.startAll()
	if s.awaitLeader(); s.failure != "" {
		return
	}
	s.run(s.now + time.Second)
	// Term 1: only a has the entry.
	s.drop = func(from, _ *host, m *consensus.Message) bool { return from == a }
	s.write(a, 1)
	s.run(s.now + 10*time.Millisecond)
	// Term 2: b leads, and its entries reach no other host.
	s.isolate(a)
	s.drop = func(from, _ *host, m *consensus.Message) bool {
		return from == c && m.Kind == consensus.MsgPreVote || from == b && m.Kind == consensus.MsgAppend
	}
	led := s.runUntil(20*time.Second, func() bool { return b.core.Status().Role == consensus.RoleLeader })
	if !led {
		s.fail("b did not become the leader")
		return
	}
	b.kill(time.Hour)
	// Term 3: a leads, and only its entries of older terms reach c.
	s.blocked = map[[2]int]bool{}
	term := uint64(0)
	s.drop = func(from, to *host, m *consensus.Message) bool {
		if len(m.Entries) == 0 {
			return from == c && m.Kind == consensus.MsgPreVote
		}
		// Appends that do not follow c's log pass: c rejects them, and a then sends the
		// older entry.
		return m.Entries[0].Term > term && to.core != nil && to.core.Status().Last >= m.Index
	}
	term = a.core.Status().Term
	s.runUntil(20*time.Second, func() bool { return a.core.Status().Role == consensus.RoleLeader })
	s.run(s.now + 300*time.Millisecond)
	// Term 4: a fails, and b restarts with the more recent log.
	a.kill(time.Hour)
	s.drop = nil
	b.start()
	w := &outcome{}
	if l := s.awaitLeader(b, c); s.failure == "" {
		w = s.write(l, 2)
	}
	s.runUntil(20*time.Second, func() bool { return w.done })
	a.start()
	s.run(s.now + 5*time.Second)
	s.checkNothingLost()
}

// scenarioLearners isolates two of three voters in a group that also has two
// learners. The remaining hosts are a majority of the members, but not of the voters.
func scenarioLearners(s *sim) {
	a, d, e := s.hosts[0], s.hosts[3], s.hosts[4]
	s.startAll()
	if s.awaitLeader(a); s.failure != "" {
		return
	}
	s.run(s.now + time.Second)
	for _, h := range []*host{d, e} {
		o := s.change(a, consensus.AddLearner, consensus.Member{ID: h.core.Status().ID, Name: h.name})
		s.runUntil(5*time.Second, func() bool { return o.done })
	}
	s.runUntil(5*time.Second, func() bool { return e.core.Status().Commit == a.core.Status().Commit })
	s.isolate(s.hosts[1])
	s.isolate(s.hosts[2])
	w := s.write(a, 1)
	s.run(s.now + 5*time.Second)
	if w.done && w.err == nil {
		s.fail("a write was acknowledged with one of three voters")
	}
}

// scenarioEarlyChange starts with the voters a to d. The leader a promotes e, and only
// a and e receive that entry. Then b becomes the leader and removes a, and only c
// receives its entries. Now a, d and e are a majority of the five voters known to a,
// and b and c of the three that b counts without a.
func scenarioEarlyChange(s *sim) {
	a, b, c, e := s.hosts[0], s.hosts[1], s.hosts[2], s.hosts[4]
	s.startAll()
	if s.awaitLeader(a); s.failure != "" {
		return
	}
	s.run(s.now + time.Second)
	added := s.change(a, consensus.AddLearner, consensus.Member{ID: e.core.Status().ID, Name: e.name})
	s.runUntil(5*time.Second, func() bool { return added.done })
	s.run(s.now + time.Second)
	s.drop = func(from, to *host, m *consensus.Message) bool {
		if from == a || to == a {
			return from != e && to != e
		}
		return m.Kind == consensus.MsgPreVote && from != b || len(m.Entries) > 0 && from == b && to != c
	}
	s.change(a, consensus.Promote, consensus.Member{ID: e.core.Status().ID})
	s.runUntil(20*time.Second, func() bool { return b.core.Status().Role == consensus.RoleLeader })
	s.change(b, consensus.Remove, consensus.Member{ID: a.core.Status().ID})
	w := s.write(b, 1)
	s.run(s.now + 400*time.Millisecond)
	s.isolate(b)
	s.isolate(c)
	s.drop = func(from, _ *host, m *consensus.Message) bool { return m.Kind == consensus.MsgPreVote && from != a }
	led := s.runUntil(20*time.Second, func() bool { return a.core.Status().Ready })
	if led && w.done && w.err == nil {
		s.checkNothingLost()
	}
}

// scenarioHandover hands the leadership over and then drops all messages of newer
// terms to the former leader. It must not answer a read by lease once its successor
// has committed a write.
func scenarioHandover(s *sim) {
	s.startAll()
	if s.awaitLeader(); s.failure != "" {
		return
	}
	a := s.leader()
	s.write(a, 1)
	s.run(s.now + time.Second)
	term := a.core.Status().Term
	s.drop = func(_, to *host, m *consensus.Message) bool { return to == a && m.Term > term }
	a.do(func(now time.Duration) { a.core.Handover(now) })
	var w *outcome
	for range 300 {
		s.run(s.now + 2*time.Millisecond)
		if s.failure != "" {
			return
		}
		for _, h := range s.hosts {
			if w == nil && h != a && h.core.Status().Ready {
				w = s.write(h, 2)
			}
		}
		if version, ok := s.readNow(a, true); ok && w != nil && w.done && w.err == nil && version < 2 {
			s.fail("a leader that handed over answered a read by lease with version %d", version)
		}
	}
}

// Guards against waiting for an election timeout when the leader's process is stopped
// for maintenance during writes: the next leader must be ready within a few round
// trips.
func TestHandoverNeedsNoTimeout(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	for seed := uint64(1); seed <= 20; seed++ {
		s := newSim(seed, 3)
		s.startAll()
		s.awaitLeader()
		a := s.leader()
		s.run(s.now + time.Second)
		w := s.write(a, 1)
		a.do(func(now time.Duration) { a.core.Handover(now) })
		refused := s.write(a, 2)
		began := s.now
		is.True(s.runUntil(time.Second, func() bool {
			l := s.leader()
			return l != nil && l != a && l.core.Status().Ready
		}))
		is.True(s.now-began < 200*time.Millisecond) // the minimum election timeout is 600 ms
		is.True(w.done && w.err == nil)             // a write accepted before the handover is kept
		var other *consensus.NotLeaderError
		is.True(refused.done && errors.As(refused.err, &other))
		is.Equal(s.failure, "")
	}
}

// Guards against checks that miss the violation of a rule: each injected fault must be
// detected, and the same run without the fault must pass.
func TestInjectedFaults(t *testing.T) {
	t.Parallel()
	cases := []struct {
		fault  consensus.Fault
		hosts  int
		voters int // hosts that bootstrap the group
		run    func(s *sim)
	}{
		{consensus.FaultSkipPreVote, 3, 3, scenarioRejoin},
		{consensus.FaultIsolatedRead, 3, 3, scenarioIsolatedRead},
		{consensus.FaultVoteInLease, 3, 3, scenarioLease},
		{consensus.FaultVoteAtStart, 3, 3, scenarioRestartedVoter},
		{consensus.FaultReuseRound, 3, 3, scenarioSlowClock},
		{consensus.FaultEchoEndedTerm, 3, 3, scenarioLateAppend},
		{consensus.FaultCommitOldTerm, 3, 3, scenarioOldTerm},
		{consensus.FaultCountLearners, 5, 3, scenarioLearners},
		{consensus.FaultChangeBeforeCommit, 5, 4, scenarioEarlyChange},
		{consensus.FaultLeadAfterHandover, 3, 3, scenarioHandover},
		{consensus.FaultForgetVote, 3, 3, func(s *sim) { s.chaos(20*time.Second, 4) }},
		{faultSkipSync, 3, 3, func(s *sim) { s.chaos(20*time.Second, 4) }},
	}
	for _, c := range cases {
		t.Run(string(c.fault), func(t *testing.T) {
			steps, seed := 0, uint64(0)
			failure := ""
			for failure == "" && seed < 20 {
				seed++
				s := newSim(seed, c.hosts, c.fault)
				s.voters = c.voters
				c.run(s)
				steps += s.steps
				failure = s.failure
			}
			if failure == "" {
				t.Fatalf("fault not detected in %d steps", steps)
			}
			t.Logf("fault detected after %d steps, seed %d: %s", steps, seed, failure)
			for ; seed > 0; seed-- {
				s := newSim(seed, c.hosts)
				s.voters = c.voters
				c.run(s)
				if s.failure != "" {
					t.Fatalf("seed %d fails without the fault: %s", seed, s.failure)
				}
			}
		})
	}
}

// Guards against a membership change while another is uncommitted, and against
// the promotion of a learner that has not caught up.
func TestMembershipRefusals(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := newSim(1, 5)
	s.voters = 3
	s.startAll()
	a, d, e := s.awaitLeader(), s.hosts[3], s.hosts[4]
	s.run(s.now + time.Second)
	member := func(h *host) consensus.Member {
		return consensus.Member{ID: h.core.Status().ID, Name: h.name}
	}
	for id := range uint64(60) {
		s.write(a, id+1)
		s.run(s.now + 20*time.Millisecond)
	}
	// d needs the snapshot. It answers heartbeats and receives no data.
	s.drop = func(_, to *host, m *consensus.Message) bool { return to == d && len(m.Entries)+len(m.Data) > 0 }
	first := s.change(a, consensus.AddLearner, member(d))
	second := s.change(a, consensus.AddLearner, member(e))
	is.True(s.runUntil(5*time.Second, func() bool { return second.done }))
	is.True(errors.Is(second.err, consensus.ErrChangePending))
	is.True(s.runUntil(5*time.Second, func() bool { return first.done }))
	is.NoErr(first.err)
	s.run(s.now + time.Second)
	early := s.change(a, consensus.Promote, member(d))
	is.True(s.runUntil(5*time.Second, func() bool { return early.done }))
	is.True(errors.Is(early.err, consensus.ErrNotCaughtUp))
	s.drop = nil
	s.run(s.now + 2*time.Second)
	promoted := s.change(a, consensus.Promote, member(d))
	is.True(s.runUntil(5*time.Second, func() bool { return promoted.done }))
	is.NoErr(promoted.err)
	is.Equal(s.failure, "")
}

// Guards against continuing the transfer of a snapshot that is no longer on the
// leader's disk, because newer snapshots replaced it during the transfer.
func TestTransferBeginsAgainWithTheNewestSnapshot(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := newSim(1, 4)
	s.voters = 3
	s.startAll()
	a, d := s.awaitLeader(), s.hosts[3]
	s.run(s.now + time.Second)
	next := uint64(0)
	write := func(n int) {
		for range n {
			next++
			s.write(a, next)
			s.run(s.now + 20*time.Millisecond)
		}
	}
	write(60)
	lost := 0
	s.drop = func(_, to *host, m *consensus.Message) bool {
		dropped := to == d && len(m.Entries)+len(m.Data) > 0
		if dropped {
			lost++
		}
		return dropped
	}
	added := s.change(a, consensus.AddLearner, consensus.Member{ID: d.core.Status().ID, Name: d.name})
	is.True(s.runUntil(5*time.Second, func() bool { return added.done }))
	before := a.core.Status().Snapshot
	write(120)
	is.True(lost > 0)
	is.True(a.core.Status().Snapshot > before)
	s.drop = nil
	is.True(s.runUntil(5*time.Second, func() bool { return d.core.Status().Applied >= a.core.Status().Snapshot }))
	is.Equal(s.failure, "")
}

// Guards against replacing a running replica because a second process was started with
// the same name by mistake.
func TestSecondProcessOfTheSameName(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := newSim(1, 3)
	s.startAll()
	a := s.awaitLeader()
	s.run(s.now + time.Second)
	for range 20 {
		discover, _ := (&consensus.Message{Kind: consensus.MsgDiscover, From: 12345, Name: "b"}).Encode()
		s.deliver(a, discover)
		s.run(s.now + 200*time.Millisecond)
	}
	is.Equal(len(a.core.Status().Members), 3)
	is.Equal(s.failure, "")
}

// Guards against a membership that stays in effect after another leader replaced its
// entry.
func TestReplacedMembership(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := newSim(1, 4)
	s.voters = 3
	s.startAll()
	a, b, c, d := s.hosts[0], s.hosts[1], s.hosts[2], s.hosts[3]
	s.awaitLeader(a)
	s.run(s.now + time.Second)
	s.isolate(a)
	s.change(a, consensus.AddLearner, consensus.Member{ID: d.core.Status().ID, Name: d.name})
	is.Equal(len(a.core.Status().Members), 4)
	w := s.write(s.awaitLeader(b, c), 1)
	is.True(s.runUntil(5*time.Second, func() bool { return w.done }))
	s.blocked = map[[2]int]bool{}
	s.run(s.now + 2*time.Second)
	is.Equal(len(a.core.Status().Members), 3)
	is.Equal(s.failure, "")
}

// Guards against counting a replica in the quorum before its repair is complete, and
// against lost writes, when a second host fails during or right after the repair. The
// second host loses its disk if the repair is complete, and otherwise only its power.
func TestSecondHostLostAfterRepair(t *testing.T) {
	t.Parallel()
	steps, complete := 0, 0
	moments := envInt("MERLINHALL_CONSENSUS_MOMENTS", 16)
	for moment := range moments {
		s := newSim(uint64(moment), 3)
		repaired := s.loseSecondHost(time.Duration(moment) * 60 * time.Millisecond * 60 / time.Duration(moments))
		steps += s.steps
		if repaired {
			complete++
		}
		if s.failure != "" {
			t.Fatalf("moment %d: %s", moment, s.failure)
		}
	}
	t.Logf("%d failure times, %d of them after the repair, %d steps", moments, complete, steps)
	if complete == 0 || complete == moments {
		t.Fatalf("%d of %d failure times are after the repair; want some before and some after", complete, moments)
	}
}

// loseSecondHost destroys the disk of one host and, after a delay, crashes another
// one. It reports whether the repair was complete by then.
func (s *sim) loseSecondHost(delay time.Duration) (repaired bool) {
	s.startAll()
	s.awaitLeader()
	s.runUntil(20*time.Second, s.isComplete)
	w := &steadyWriter{sim: s}
	w.next()
	s.run(s.now + time.Second)
	first, second := s.hosts[2], s.hosts[1]
	first.installEmptyDisk()
	first.kill(100 * time.Millisecond)
	s.run(s.now + delay)
	repaired = s.isComplete()
	if repaired {
		s.counts["second disk lost"]++
		second.installEmptyDisk()
	}
	second.crash(time.Hour)
	w.downHost = second
	s.run(s.now + 5*time.Second)
	if repaired && w.ackedAfterLoss == 0 {
		s.fail("two of three voters committed no write")
	}
	w.downHost = nil
	second.start()
	if !s.runUntil(60*time.Second, s.isComplete) {
		s.fail("the group was not repaired")
	}
	w.stopped = true
	s.run(s.now + time.Second)
	for _, h := range s.hosts {
		for _, id := range w.acked {
			if _, ok := h.kv.state.Done[id]; !ok {
				s.fail("%s lacks the acknowledged write %d", h.name, id)
			}
		}
	}
	return repaired
}

// steadyWriter writes periodically through the current leader and records the
// acknowledged writes.
type steadyWriter struct {
	sim            *sim
	id             uint64
	acked          []uint64
	downHost       *host // host that is down, or nil
	stopped        bool
	ackedAfterLoss int
}

func (w *steadyWriter) next() {
	if w.stopped {
		return
	}
	if h := w.sim.leader(); h != nil && h.busyUntil <= w.sim.now {
		w.id++
		id, down := w.id, w.downHost
		command, _ := wire.Marshal(kvCommand{ID: id, Key: fmt.Sprint("k", id%4), Value: id})
		h.do(func(now time.Duration) {
			h.core.Propose(now, command, func(_ any, index uint64, err error) {
				if err == nil {
					w.ack(h, id, index, down)
				}
			})
		})
	}
	w.sim.after(50*time.Millisecond, w.next)
}

// ack records an acknowledged write. If it was proposed while a host was down, ack
// checks that the other hosts that have synced it are a majority of all voters.
func (w *steadyWriter) ack(leader *host, id, index uint64, down *host) {
	w.acked = append(w.acked, id)
	if down == nil {
		return
	}
	w.ackedAfterLoss++
	if voters, holding := w.sim.votersHolding(leader, index); holding <= voters/2 {
		w.sim.fail("write %d was acknowledged, but only %d of %d voters have synced it", id, holding, voters)
	}
}
