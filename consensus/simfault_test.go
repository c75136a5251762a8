package consensus_test

import (
	"time"

	"merlinhall/consensus"
)

// injection is one kind of fault, applied to a host.
type injection struct {
	name string
	do   func(s *sim, h *host)
}

// injections are all kinds of faults. Each run uses a random half of them: a run
// with all of them seldom lets one situation last.
var injections = []injection{
	{"partition", func(s *sim, h *host) { s.partition(h, true) }},
	{"one-way partition", func(s *sim, h *host) { s.partition(h, false) }},
	{"cut connection", (*sim).cutOne},
	{"power loss", func(s *sim, h *host) { s.guardCrash(h) }},
	{"power loss of all hosts", func(s *sim, _ *host) {
		for _, o := range s.hosts {
			s.guardCrash(o)
		}
	}},
	{"process killed", func(s *sim, h *host) {
		if h.core != nil {
			h.kill(s.random(10*time.Millisecond, 2*time.Second))
		}
	}},
	{"planned power loss in disk operation", func(s *sim, h *host) { h.disk.crashIn = 1 + s.rng.IntN(12) }},
	{"failed sync", func(_ *sim, h *host) { h.disk.failSync = true }},
	{"full disk", func(s *sim, h *host) {
		disk := h.disk
		disk.full = true
		s.after(s.random(0, 3*time.Second), func() { disk.full = false })
	}},
	{"slow disk", func(s *sim, h *host) {
		disk := h.disk
		disk.slow = s.random(0, 600*time.Millisecond)
		s.after(s.random(0, 3*time.Second), func() { disk.slow = 0 })
	}},
	{"bad network period", func(s *sim, _ *host) {
		s.loss = s.rng.IntN(200)
		s.jitter = s.random(time.Millisecond, 150*time.Millisecond)
		s.after(s.random(0, 4*time.Second), func() { s.loss, s.jitter = 0, 3*time.Millisecond })
	}},
	{"handover", func(_ *sim, h *host) {
		if h.core != nil {
			h.do(func(now time.Duration) { h.core.Handover(now) })
		}
	}},
	{"lost disk", (*sim).loseDisk},
	{"member removed by the operator", (*sim).removeMember},
}

// injectFaults does something bad at random moments until the given time, and
// heals the network in between.
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
			i.do(s, s.pick())
		}
		s.after(s.random(10*time.Millisecond, 2*pause), next)
	}
	s.after(s.random(500*time.Millisecond, 2*time.Second), next)
}

// pick chooses a host, half the time the leader.
func (s *sim) pick() *host {
	if l := s.leader(); l != nil && s.rng.IntN(2) == 0 {
		return l
	}
	return s.hosts[s.rng.IntN(len(s.hosts))]
}

// cutOne blocks messages from a host to another one.
func (s *sim) cutOne(h *host) {
	s.blocked[[2]int{h.index, s.rng.IntN(len(s.hosts))}] = true
}

func (s *sim) guardCrash(h *host) {
	if h.core != nil {
		h.crash(s.random(10*time.Millisecond, 2*time.Second))
	}
}

// partition separates a host, or a group with it, from the rest.
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

// loseDisk replaces the disk of a host by an empty one, when no other loss is
// still being repaired: the log survives the loss of a minority only.
func (s *sim) loseDisk(h *host) {
	if h.core == nil || !s.whole() {
		return
	}
	s.counts["lost disk carried out"]++
	h.newDisk()
	h.kill(s.random(10*time.Millisecond, 2*time.Second))
}

// removeMember removes a host as an operator does, who then empties its folder.
// The host comes back as a learner.
func (s *sim) removeMember(h *host) {
	l := s.leader()
	if l == nil || h.core == nil || !s.whole() {
		return
	}
	id := h.core.Status().ID
	l.do(func(now time.Duration) {
		l.core.Change(now, consensus.Remove, consensus.Member{ID: id}, func(any, uint64, error) {})
	})
	s.emptyRemoved(h, id, 80)
}

// emptyRemoved empties the folder of a host when the leader says that its id is
// removed. The answer to the removal may have been lost, so it asks repeatedly.
func (s *sim) emptyRemoved(h *host, id uint64, attempts int) {
	s.after(time.Second, func() {
		l := s.leader()
		if l != nil && h.core != nil && h.core.Status().ID == id {
			st := l.core.Status()
			if st.Commit >= st.MemberIndex && !isMember(st.Members, id) {
				s.counts["member removed"]++
				h.newDisk()
				h.kill(s.random(10*time.Millisecond, time.Second))
				return
			}
		}
		if attempts > 0 {
			s.emptyRemoved(h, id, attempts-1)
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

// whole reports whether all hosts are up and voters in the view of all.
func (s *sim) whole() bool {
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

// calm ends all faults and starts all hosts.
func (s *sim) calm() {
	s.blocked = map[[2]int]bool{}
	s.loss, s.jitter = 0, 3*time.Millisecond
	for _, h := range s.hosts {
		h.disk.full, h.disk.failSync, h.disk.slow, h.disk.crashIn = false, false, 0, 0
	}
}

// chaos is one complete random run: faults for a while, then calm, in which the
// group must become whole and commit again.
func (s *sim) chaos(length time.Duration, clients int) {
	s.wild = s.rng.IntN(3) == 0
	for _, h := range s.hosts {
		if s.wild {
			h.rate = 0.5 + 1.5*s.rng.Float64()
		}
	}
	s.startAll()
	s.addClients(clients)
	s.injectFaults(length)
	s.run(length)
	s.calm()
	before := make([]int, len(s.clients))
	for i, c := range s.clients {
		before[i] = c.done
	}
	recovered := s.runUntil(90*time.Second, func() bool {
		for i, c := range s.clients {
			if c.done < before[i]+2 {
				return false
			}
		}
		return s.whole()
	})
	if !recovered {
		s.fail("the group does not recover: whole %v", s.whole())
	}
	s.verify()
}
