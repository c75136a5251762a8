package consensus_test

import (
	"sort"
	"testing"
	"time"

	"merlinhall/consensus"
)

// failover returns the simulated time from the loss of the leader to the first
// write that its successor commits.
func failover(seed uint64, hosts int) (time.Duration, string) {
	s := newSim(seed, hosts)
	s.startAll()
	old := s.awaitLeader()
	if s.failure != "" {
		return 0, s.failure
	}
	s.run(s.now + time.Second + s.random(0, time.Second))
	lost := s.now
	old.crash(time.Hour)
	var w *outcome
	s.runUntil(30*time.Second, func() bool {
		l := s.leader()
		if l != nil && (w == nil || w.err != nil) {
			w = s.write(l, 1)
		}
		return w != nil && w.done && w.err == nil
	})
	if w == nil || w.err != nil {
		s.fail("no write was committed after the loss of the leader")
	}
	return s.now - lost, s.failure
}

// TestFailover guards against a group that stays without a leader. With every seed, a
// write must be committed within 4 s of simulated time after the loss of the leader.
func TestFailover(t *testing.T) {
	t.Parallel()
	for seed := range uint64(20) {
		took, failure := failover(seed, 3+2*int(seed%2))
		if failure != "" || took > 4*time.Second {
			t.Fatalf("seed %d: %v %s", seed, took, failure)
		}
	}
}

// TestSplitVoteIsRepeatedSoon guards against candidates that divide the votes and then wait for a
// whole election timeout: a group of five was without a leader for up to 2.5 s, in which no item
// begins. The longest election timeout and one more campaign must suffice.
func TestSplitVoteIsRepeatedSoon(t *testing.T) {
	t.Parallel()
	for _, hosts := range []int{3, 5} {
		for seed := range uint64(400) {
			took, failure := failover(seed, hosts)
			if failure != "" || took > consensus.DefaultElectionMax+300*time.Millisecond {
				t.Fatalf("%d hosts, seed %d: %v %s", hosts, seed, took, failure)
			}
		}
	}
}

// BenchmarkFailover reports the distribution of the failover time over seeds, in
// simulated time.
func BenchmarkFailover(b *testing.B) {
	var took []time.Duration
	for b.Loop() {
		d, failure := failover(uint64(len(took)), 3)
		if failure != "" {
			b.Fatal(failure)
		}
		took = append(took, d)
	}
	sort.Slice(took, func(i, j int) bool { return took[i] < took[j] })
	b.ReportMetric(float64(took[len(took)/2].Milliseconds()), "median-ms")
	b.ReportMetric(float64(took[len(took)*99/100].Milliseconds()), "p99-ms")
	b.ReportMetric(float64(took[len(took)-1].Milliseconds()), "max-ms")
}
