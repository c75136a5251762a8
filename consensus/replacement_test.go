package consensus

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

var seriesSeeds = flag.Int("series", 20, "number of series of losses to play with each deployment")

// deployment is a group of control hosts and the losses that it must tolerate.
type deployment struct {
	hosts   int
	faults  int           // hosts that may be lost at once
	catchUp time.Duration // after this time, the replacement of a lost host may be lost too
}

// deployments are a group without and one with a spare host, and one in which most hosts
// hold no log.
var deployments = []deployment{
	{hosts: 3, faults: 1, catchUp: 4700 * time.Millisecond},
	{hosts: 4, faults: 1, catchUp: 4400 * time.Millisecond},
	{hosts: 12, faults: 2, catchUp: 6 * time.Second},
}

// lossSeries loses as many hosts as the deployment tolerates, again and again, as soon as
// the replacements of the former ones have had time to catch up.
type lossSeries struct {
	*openGroup
	deployment
	rng     *rand.Rand
	started int
	commit  uint64 // highest index that was committed anywhere
}

func newLossSeries(d deployment, seed uint64, replaceAfter time.Duration) *lossSeries {
	s := &lossSeries{openGroup: newOpenGroup(), deployment: d, rng: rand.New(rand.NewPCG(seed, 18))}
	s.nextID = seed<<16 | 1
	s.config.MinVoters, s.config.MaxVoters = 2*d.faults+1, max(2*d.faults+1, defaultMaxVoters)
	s.config.ReplaceAfter = replaceAfter
	for range d.hosts {
		s.started++
		s.start(fmt.Sprintf("host-%02d", s.started), seedHosts, s.started > len(seedHosts))
	}
	s.run(8 * time.Second)
	return s
}

var seedHosts = []string{"host-01", "host-02", "host-03"}

// round loses hosts and waits until the next ones may be lost. It returns an error if
// the group cannot commit by then.
func (s *lossSeries) round() error {
	var latest time.Duration
	for range s.faults {
		latest = max(latest, s.lose(s.pick()))
	}
	s.run(latest + s.catchUp)
	leader := s.leader()
	if leader == nil {
		return fmt.Errorf("%v: the group has no leader", s.now)
	}
	leader.Step(s.now, Propose{Key: 1, Data: []byte("x")})
	proposed := leader.log.last()
	s.run(100 * time.Millisecond)
	if leader.commit < max(proposed, s.commit) {
		return fmt.Errorf("%v: entry %d is not committed, commit index %d, highest before %d", s.now, proposed, leader.commit, s.commit)
	}
	s.commit = leader.commit
	return nil
}

// pick returns a running host: the leader or another voter in most cases.
func (s *lossSeries) pick() string {
	var running []string
	for _, name := range s.names() {
		if !s.down[name] {
			running = append(running, name)
		}
	}
	if l := s.leader(); l != nil && s.rng.IntN(4) > 0 {
		if voters := s.voterNames(); s.rng.IntN(3) > 0 {
			if name := voters[s.rng.IntN(len(voters))]; !s.down[name] {
				return name
			}
		}
		return l.cfg.Name
	}
	return running[s.rng.IntN(len(running))]
}

// lose takes a host away and returns when it or its successor runs. It schedules that
// with the run of the group.
func (s *lossSeries) lose(name string) time.Duration {
	s.down[name] = true
	back := time.Duration(s.rng.Int64N(int64(2500 * time.Millisecond)))
	members := s.names()
	switch s.rng.IntN(4) {
	case 0: // it sleeps
		s.at(s.now+back, func() { s.down[name] = false })
	case 1: // it restarts with an empty disk
		s.at(s.now+back, func() { s.start(name, members, true) })
	default: // it is gone, and an empty one starts at another address
		s.started++
		successor := fmt.Sprintf("host-%02d", s.started)
		s.at(s.now+back, func() { s.start(successor, members, true) })
	}
	return back
}

// runSeries plays one series of ten losses with each seed and returns the failures.
func runSeries(d deployment, seeds int, replaceAfter time.Duration) []string {
	var wg sync.WaitGroup
	var next atomic.Int64
	var mu sync.Mutex
	var failures []string
	for range 8 {
		wg.Go(func() {
			for seed := next.Add(1); seed <= int64(seeds); seed = next.Add(1) {
				s := newLossSeries(d, uint64(seed), replaceAfter)
				for range 10 {
					if err := s.round(); err != nil {
						mu.Lock()
						failures = append(failures, fmt.Sprintf("seed %d: %v", seed, err))
						mu.Unlock()
						break
					}
				}
			}
		})
	}
	wg.Wait()
	return failures
}

// Guards against a lost host that still counts as a voter when the next one may be lost.
func TestSeriesOfLossesLeavesAMajority(t *testing.T) {
	for _, d := range deployments {
		for _, failure := range runSeries(d, *seriesSeeds, d.catchUp/4) {
			t.Errorf("%d hosts: %s", d.hosts, failure)
		}
	}
}

// Shows that the series detects a lost voter that counts for too long.
func TestSeriesOfLossesDetectsALateReplacement(t *testing.T) {
	for _, d := range deployments {
		if failures := runSeries(d, 10, 10*time.Second); len(failures) < 5 {
			t.Errorf("%d hosts: %d of 10 series failed although silent voters stay for 10 s", d.hosts, len(failures))
		}
	}
}
