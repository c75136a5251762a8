package consensus_test

import (
	"os"
	"strconv"
	"testing"
	"time"
)

// seedsEnv names the variable that sets the number of seeds for long runs outside CI,
// and firstSeedEnv the one that sets the first seed.
const (
	seedsEnv     = "MERLINHALL_CONSENSUS_SEEDS"
	firstSeedEnv = "MERLINHALL_CONSENSUS_FIRST"
	ciSeeds      = 8
)

func envInt(name string, otherwise int) int {
	if n, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return n
	}
	return otherwise
}

// TestChaos guards against lost, duplicated or reordered writes and stale reads under
// crashes, partitions, disk faults, clock skew and an unreliable network.
func TestChaos(t *testing.T) {
	t.Parallel()
	steps, operations := 0, 0
	counts := map[string]int{}
	first := envInt(firstSeedEnv, 1)
	seeds := envInt(seedsEnv, ciSeeds)
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
