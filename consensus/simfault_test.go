package consensus_test

import (
	"time"

	"merlinhall/consensus"
)

// injectFaults does something bad at random moments until the given time.
func (s *sim) injectFaults(until time.Duration) {
	var next func()
	next = func() {
		if s.now >= until {
			return
		}
		s.injectOne()
		s.after(s.random(50*time.Millisecond, 1500*time.Millisecond), next)
	}
	s.after(s.random(500*time.Millisecond, 2*time.Second), next)
}

func (s *sim) injectOne() {
	h := s.hosts[s.rng.IntN(len(s.hosts))]
	if l := s.leader(); l != nil && s.rng.IntN(3) == 0 {
		h = l
	}
	switch s.rng.IntN(13) {
	case 0:
		s.counts["partition"]++
		s.partition(h, true)
	case 1:
		s.counts["one-way partition"]++
		s.partition(h, false)
	case 2, 3:
		s.blocked = map[[2]int]bool{}
	case 4:
		s.counts["power loss"]++
		s.guardCrash(h)
	case 5:
		s.counts["power loss of all hosts"]++
		for _, o := range s.hosts {
			s.guardCrash(o)
		}
	case 6:
		if h.core != nil {
			s.counts["process killed"]++
			h.kill(s.random(10*time.Millisecond, 2*time.Second))
		}
	case 7:
		h.disk.crashIn = 1 + s.rng.IntN(12)
	case 8:
		s.counts["failed sync"]++
		h.disk.failSync = true
	case 9:
		s.counts["full disk"]++
		h.disk.full = true
		disk := h.disk
		s.after(s.random(0, 3*time.Second), func() { disk.full = false })
	case 10:
		s.counts["slow disk"]++
		disk := h.disk
		disk.slow = s.random(0, 600*time.Millisecond)
		s.after(s.random(0, 3*time.Second), func() { disk.slow = 0 })
	case 11:
		s.counts["bad network period"]++
		s.loss = s.rng.IntN(200)
		s.jitter = s.random(time.Millisecond, 150*time.Millisecond)
		s.after(s.random(0, 4*time.Second), func() { s.loss, s.jitter = 0, 3*time.Millisecond })
	case 12:
		s.loseDisk(h)
	}
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
	s.counts["lost disk"]++
	h.newDisk()
	h.kill(s.random(10*time.Millisecond, 2*time.Second))
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
