package rollout

import (
	"fmt"
	"hash/fnv"
	"strconv"
	"strings"
	"time"

	"merlinhall/wire"
)

// jobID identifies one attempt at one sample. Two leaders that plan the same attempt
// use the same id, so an entry runs it only once.
func jobID(s wire.SampleID, round uint32, attempt int) string {
	return fmt.Sprintf("%d.%d.%d.%d.%d.%s", round, attempt, s.Step, s.Group, s.Index, s.Trainer)
}

func parseJobID(id string) (s wire.SampleID, round uint32, attempt int, ok bool) {
	parts := strings.SplitN(id, ".", 6)
	if len(parts) != 6 {
		return s, 0, 0, false
	}
	var n [5]uint64
	for i := range n {
		v, err := strconv.ParseUint(parts[i], 10, 62)
		if err != nil {
			return s, 0, 0, false
		}
		n[i] = v
	}
	s = wire.SampleID{Trainer: parts[5], Step: n[2], Group: int(n[3]), Index: int(n[4])}
	return s, uint32(n[0]), int(n[1]), true
}

// sampleSeed derives the seed of a sample from that of its step. The samples of a
// group have different seeds; all copies of one sample have the same.
func sampleSeed(seed int64, s wire.SampleID, round uint32) int64 {
	h := fnv.New64a()
	_, _ = fmt.Fprintf(h, "%d/%d/%d/%d/%d/%s", seed, round, s.Step, s.Group, s.Index, s.Trainer)
	return int64(h.Sum64() >> 1)
}

// job is one attempt at one sample, assigned to one entry.
type job struct {
	id            string
	group         groupID
	index         int
	entry         string
	start         time.Time
	chargedTokens int // tokens charged to the trainer
	// assumedOldest is the version that the sample's oldest token is assumed to have:
	// the trainer's version at the start or, for an adopted job, the oldest accepted.
	assumedOldest uint64
	inactive      bool // not counted as running: finished, or its entry is considered lost
	finished      bool // its result has arrived
}

// groupID identifies a group within the planner.
type groupID struct {
	trainer string
	step    uint64
	group   int
}

// groupProgress is the progress of one pending group.
type groupProgress struct {
	round   uint32
	prompt  string
	size    int
	samples map[int]*sampleProgress
	wasted  int  // tokens discarded so far
	storing bool // handed to the body store
	retryAt time.Time

	results int // samples with a result
	tokens  int // of the results
	covered int // samples with a result or a running job
}

type sampleProgress struct {
	result     *wire.SampleDone
	oldest     uint64
	newest     uint64
	attempts   int
	running    int // number of active jobs
	failures   int
	notBefore  time.Time
	avoidEntry string // entry that failed last
	jobs       []string
}

func (s *sampleProgress) covered() bool { return s.result != nil || s.running > 0 }

func (g *groupProgress) sample(index int) *sampleProgress {
	s := g.samples[index]
	if s == nil {
		s = &sampleProgress{}
		g.samples[index] = s
	}
	return s
}

// setResult sets the result of a sample, or clears it if r is nil.
func (g *groupProgress) setResult(s *sampleProgress, r *wire.SampleDone) {
	before := s.covered()
	if s.result != nil {
		g.results--
		g.tokens -= len(s.result.Tokens)
	}
	s.result = r
	if r != nil {
		g.results++
		g.tokens += len(r.Tokens)
	}
	g.updateCovered(before, s.covered())
}

// addRunning changes the number of running jobs of a sample.
func (g *groupProgress) addRunning(s *sampleProgress, n int) {
	before := s.covered()
	s.running += n
	g.updateCovered(before, s.covered())
}

func (g *groupProgress) updateCovered(before, after bool) {
	switch {
	case after && !before:
		g.covered++
	case before && !after:
		g.covered--
	}
}

// meanTokens returns the mean length of the finished samples, or fallback.
func (g *groupProgress) meanTokens(fallback float64) float64 {
	if g.results == 0 {
		return fallback
	}
	return float64(g.tokens) / float64(g.results)
}
