package consensus_test

import (
	"time"

	"merlinhall/consensus"
)

// injection is a kind of fault that can be injected into a host.
type injection struct {
	name   string
	inject func(s *sim, h *host)
}

// injections lists all kinds of faults. A run uses each kind with a probability of one
// half, because with all of them a situation rarely lasts long enough.
var injections = []injection{
	{"partition", func(s *sim, h *host) { s.partition(h, true) }},
	{"one-way partition", func(s *sim, h *host) { s.partition(h, false) }},
	{"cut connection", (*sim).blockOneLink},
	{"power loss", func(s *sim, h *host) { s.crashIfRunning(h) }},
	{"power loss of all hosts", func(s *sim, _ *host) {
		for _, o := range s.hosts {
			s.crashIfRunning(o)
		}
	}},
	{"process killed", func(s *sim, h *host) {
		if h.core != nil {
			h.kill(s.random(10*time.Millisecond, 2*time.Second))
		}
	}},
	{"planned power loss in disk operation", func(s *sim, h *host) { h.disk.opsUntilCrash = 1 + s.rng.IntN(12) }},
	{"failed sync", func(_ *sim, h *host) { h.disk.failSync = true }},
	{"full disk", func(s *sim, h *host) {
		disk := h.disk
		disk.full = true
		s.after(s.random(0, 3*time.Second), func() { disk.full = false })
	}},
	{"slow disk", func(s *sim, h *host) {
		disk := h.disk
		disk.syncDelay = s.random(0, 600*time.Millisecond)
		s.after(s.random(0, 3*time.Second), func() { disk.syncDelay = 0 })
	}},
	{"bad network period", func(s *sim, _ *host) {
		s.lossPerMille = s.rng.IntN(200)
		s.jitter = s.random(time.Millisecond, 150*time.Millisecond)
		s.after(s.random(0, 4*time.Second), func() { s.lossPerMille, s.jitter = 0, 3*time.Millisecond })
	}},
	{"handover", func(_ *sim, h *host) {
		if h.core != nil {
			h.do(func(now time.Duration) { h.core.Handover(now) })
		}
	}},
	{"lost disk", (*sim).loseDisk},
	{"member removed by the operator", (*sim).removeMember},
}

// injectFaults injects faults at random times up to the given time, and removes
// network partitions in between.
func (s *sim) injectFaults(until time.Duration) {
	var enabled []injection
	for _, i := range injections {
		if s.rng.IntN(2) == 0 {
			enabled = append(enabled, i)
		}
	}
	pause := s.random(100*time.Millisecond, 1500*time.Millisecond)
	var next func()
	next = func() {
		if s.now >= until {
			return
		}
		if s.rng.IntN(3) == 0 || len(enabled) == 0 {
			s.blocked = map[[2]int]bool{}
		} else {
			i := enabled[s.rng.IntN(len(enabled))]
			s.counts[i.name]++
			i.inject(s, s.pickHost())
		}
		s.after(s.random(10*time.Millisecond, 2*pause), next)
	}
	s.after(s.random(500*time.Millisecond, 2*time.Second), next)
}

// pickHost returns the leader with a probability of one half, and otherwise any host.
func (s *sim) pickHost() *host {
	if l := s.leader(); l != nil && s.rng.IntN(2) == 0 {
		return l
	}
	return s.hosts[s.rng.IntN(len(s.hosts))]
}

// blockOneLink blocks messages from h to a random host.
func (s *sim) blockOneLink(h *host) {
	s.blocked[[2]int{h.index, s.rng.IntN(len(s.hosts))}] = true
}

func (s *sim) crashIfRunning(h *host) {
	if h.core != nil {
		h.crash(s.random(10*time.Millisecond, 2*time.Second))
	}
}

// partition separates h, and sometimes one more host, from the others.
func (s *sim) partition(h *host, bothWays bool) {
	inside := map[int]bool{h.index: true}
	if len(s.hosts) > 3 && s.rng.IntN(2) == 0 {
		inside[s.rng.IntN(len(s.hosts))] = true
	}
	outbound := s.rng.IntN(2) == 0
	for a := range s.hosts {
		for b := range s.hosts {
			if inside[a] && !inside[b] && (bothWays || outbound) || !inside[a] && inside[b] && (bothWays || !outbound) {
				s.blocked[[2]int{a, b}] = true
			}
		}
	}
}

// loseDisk replaces the disk of a host with an empty one, unless the group is still
// being repaired: the log survives only the loss of a minority of the disks.
func (s *sim) loseDisk(h *host) {
	if h.core == nil || !s.isComplete() {
		return
	}
	s.counts["lost disk carried out"]++
	h.installEmptyDisk()
	h.kill(s.random(10*time.Millisecond, 2*time.Second))
}

// removeMember removes a host from the group and then empties its data directory, as an
// operator would. The host rejoins as a learner.
func (s *sim) removeMember(h *host) {
	l := s.leader()
	if l == nil || h.core == nil || !s.isComplete() {
		return
	}
	id := h.core.Status().ID
	l.do(func(now time.Duration) {
		l.core.Change(now, consensus.Remove, consensus.Member{ID: id}, func(any, uint64, error) {})
	})
	s.wipeRemovedMember(h, id, 80)
}

// wipeRemovedMember empties the data directory of a host once the leader has committed
// the removal of its id. It polls, because the answer to the removal may be lost.
func (s *sim) wipeRemovedMember(h *host, id uint64, attempts int) {
	s.after(time.Second, func() {
		l := s.leader()
		if l != nil && h.core != nil && h.core.Status().ID == id {
			st := l.core.Status()
			if st.Commit >= st.MemberIndex && !isMember(st.Members, id) {
				s.counts["member removed"]++
				h.installEmptyDisk()
				h.kill(s.random(10*time.Millisecond, time.Second))
				return
			}
		}
		if attempts > 0 {
			s.wipeRemovedMember(h, id, attempts-1)
		}
	})
}

func isMember(members []consensus.Member, id uint64) bool {
	for _, m := range members {
		if m.ID == id {
			return true
		}
	}
	return false
}

// isComplete reports whether all hosts are up and every host knows all of them as
// voters.
func (s *sim) isComplete() bool {
	for _, h := range s.hosts {
		if h.core == nil {
			return false
		}
		st := h.core.Status()
		if len(st.Members) != len(s.hosts) || st.Commit < st.MemberIndex {
			return false
		}
		for _, o := range s.hosts {
			if o.core == nil || !isVoter(st.Members, o.core.Status().ID) {
				return false
			}
		}
	}
	return true
}

func isVoter(members []consensus.Member, id uint64) bool {
	for _, m := range members {
		if m.ID == id {
			return !m.Learner
		}
	}
	return false
}

// clearFaults ends all network and disk faults. Hosts that are down restart on their
// own.
func (s *sim) clearFaults() {
	s.blocked = map[[2]int]bool{}
	s.lossPerMille, s.jitter = 0, 3*time.Millisecond
	for _, h := range s.hosts {
		h.disk.full, h.disk.failSync, h.disk.syncDelay, h.disk.opsUntilCrash = false, false, 0, 0
	}
}

// chaos is one random run: it injects faults for the given time, then clears them. The
// group must then become complete and commit again.
func (s *sim) chaos(length time.Duration, clients int) {
	s.skewedClocks = s.rng.IntN(3) == 0
	for _, h := range s.hosts {
		if s.skewedClocks {
			h.clockRate = 0.5 + 1.5*s.rng.Float64()
		}
	}
	s.startAll()
	s.addClients(clients)
	s.injectFaults(length)
	s.run(length)
	s.clearFaults()
	before := make([]int, len(s.clients))
	for i, c := range s.clients {
		before[i] = c.completedOps
	}
	recovered := s.runUntil(90*time.Second, func() bool {
		for i, c := range s.clients {
			if c.completedOps < before[i]+2 {
				return false
			}
		}
		return s.isComplete()
	})
	if !recovered {
		s.fail("the group did not recover: complete %v", s.isComplete())
	}
	s.verify()
}
