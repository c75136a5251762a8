package consensus_test

import (
	"os"
	"strconv"
	"testing"
	"time"
)

// seedsVariable is the number of seeds of a long run outside CI, and
// firstVariable the first of them.
const (
	seedsVariable = "MERLINHALL_CONSENSUS_SEEDS"
	firstVariable = "MERLINHALL_CONSENSUS_FIRST"
	ciSeeds       = 8
)

func environment(name string, otherwise int) int {
	if n, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return n
	}
	return otherwise
}

// Guards against any loss, duplication, reordering or stale read in the log
// under crashes, partitions, bad disks, skewed clocks and a bad network.
func TestChaos(t *testing.T) {
	t.Parallel()
	steps, operations := 0, 0
	counts := map[string]int{}
	first := environment(firstVariable, 1)
	seeds := environment(seedsVariable, ciSeeds)
	for seed := first; seed < first+seeds; seed++ {
		s := newSim(uint64(seed), 3+2*(seed%2))
		s.chaos(20*time.Second, 4)
		steps += s.steps
		operations += len(s.history.operations)
		for what, n := range s.counts {
			counts[what] += n
		}
		if s.failure != "" {
			t.Fatalf("seed %d: %s", seed, s.failure)
		}
	}
	t.Logf("%d seeds, %d steps, %d client operations", seeds, steps, operations)
	for _, what := range sortedKeys(counts) {
		t.Logf("  %s: %d", what, counts[what])
	}
}
