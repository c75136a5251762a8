package consensus_test

import (
	"testing"
	"time"
)

// Guards against a replica that a full disk stops until its process restarts: with each disk
// full for a while, one after the other, the group lost its majority and all that it held.
func TestGroupOutlastsFullDisksInTurn(t *testing.T) {
	for seed := uint64(1); seed <= 20; seed++ {
		s := newSim(seed, 3)
		s.startAll()
		s.addClients(2)
		s.run(3 * time.Second)
		for _, h := range s.hosts {
			h.disk.full = true
			s.run(s.now + 3*time.Second)
			h.disk.full = false
			s.run(s.now + 3*time.Second)
		}
		if s.counts["step while stopped by a disk error"] == 0 {
			t.Errorf("seed %d: no write was refused", seed)
		}
		before := s.clients[0].completedOps
		if !s.runUntil(3*time.Second, func() bool { return s.clients[0].completedOps > before+2 }) {
			t.Errorf("seed %d: nothing is written any more %s", seed, s.failure)
		}
		for _, h := range s.hosts {
			if h.core == nil || h.core.Err() != nil {
				t.Errorf("seed %d: replica %s is still stopped", seed, h.name)
			}
		}
		s.verify()
		if s.failure != "" {
			t.Errorf("seed %d: %s", seed, s.failure)
		}
	}
}
