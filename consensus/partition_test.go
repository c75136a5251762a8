package consensus_test

import (
	"testing"
	"time"
)

// TestLastingPartitions guards against a group without a stable leader although a
// majority of the hosts can reach each other. It holds each of the 64 combinations of
// blocked directed links between three hosts for 20 s.
func TestLastingPartitions(t *testing.T) {
	t.Parallel()
	for cuts := range 64 {
		s := newSim(uint64(cuts), 3)
		s.startAll()
		s.awaitLeader()
		s.run(s.now + time.Second)
		link := 0
		for from := range 3 {
			for to := range 3 {
				if from == to {
					continue
				}
				s.blocked[[2]int{from, to}] = cuts&(1<<link) != 0
				link++
			}
		}
		open := func(a, b int) bool { return !s.blocked[[2]int{a, b}] && !s.blocked[[2]int{b, a}] }
		possible := open(0, 1) || open(0, 2) || open(1, 2)
		s.run(s.now + 10*time.Second)
		l := s.leader()
		if s.failure != "" || (l != nil) != possible {
			t.Fatalf("cuts %06b: leader %v, majority connected %v %s", cuts, l != nil, possible, s.failure)
		}
		if l == nil {
			continue
		}
		term := l.core.Status().Term
		s.run(s.now + 10*time.Second)
		if got := l.core.Status(); got.Term != term || !got.Ready {
			t.Fatalf("cuts %06b: the leader of term %d lost its leadership", cuts, term)
		}
	}
}
