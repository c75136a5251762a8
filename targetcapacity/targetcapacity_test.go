package targetcapacity

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

var start = time.Unix(1_800_000_000, 0)

// pauses says when targets are 2.5 times slower: in each 600 ms, 15% of them for 50 to 300 ms.
type pauses struct{ seed uint64 }

const (
	pausePeriod = 600 * time.Millisecond
	pauseFactor = 2.5
)

// factor returns the mean factor of a target's time between two moments, by steps of 10 ms.
func (p pauses) factor(target int, from, to time.Time) float64 {
	sum, n := 0.0, 0
	for at := from; !at.After(to); at = at.Add(10 * time.Millisecond) {
		period := at.UnixNano() / int64(pausePeriod)
		rnd := rand.New(rand.NewPCG(p.seed<<16+uint64(target), uint64(period)))
		paused := rnd.Float64() < 0.15
		length := 50 + rnd.Float64()*250
		begin := rnd.Float64() * (600 - length)
		within := float64(at.UnixNano()%int64(pausePeriod)) / 1e6
		n++
		if paused && within >= begin && within < begin+length {
			sum += pauseFactor
		} else {
			sum++
		}
	}
	return sum / float64(n)
}

// played plays samples of targets with the speeds that speedOf returns.
type played struct {
	s       Service
	n       int
	speedOf func(target int, at time.Time) float64
	pauses  *pauses
	rnd     *rand.Rand
}

func newPlayed(n int, seed uint64, speedOf func(int, time.Time) float64) *played {
	return &played{n: n, speedOf: speedOf, rnd: rand.New(rand.NewPCG(seed, 1))}
}

func name(i int) string { return fmt.Sprintf("t%02d", i) }

func (p *played) factor(i int, from, to time.Time) float64 {
	if p.pauses == nil {
		return 1
	}
	return p.pauses.factor(i, from, to)
}

// engines plays 150 ms in which each target has up to six runs with events.
func (p *played) engines(at time.Time) {
	for i := range p.n {
		took := 48e6 * p.factor(i, at.Add(-150*time.Millisecond), at) / p.speedOf(i, at)
		runs := 1 + p.rnd.IntN(6)
		for range runs {
			noise := 0.97 + 0.06*p.rnd.Float64()
			p.s.Add(Sample{Target: name(i), Kind: "event", Load: runs, At: at, Took: time.Duration(took * noise * (1 + 0.0076*float64(runs)))})
		}
	}
}

// plain plays 20 ms of a service whose targets each get perSecond requests a second of this
// process, with work that differs by up to 30% and, one time in five, some time in a queue.
func (p *played) plain(at time.Time, perSecond float64) {
	for i := range p.n {
		if p.rnd.Float64() >= perSecond*0.02 {
			continue
		}
		work := 21e6 * (0.7 + 0.6*p.rnd.Float64()) * p.factor(i, at, at) / p.speedOf(i, at)
		if p.rnd.Float64() < 0.2 {
			work *= 1 + p.rnd.Float64()
		}
		p.s.Add(Sample{Target: name(i), Kind: "call", Load: 1, At: at, Took: time.Duration(work + 2e6)})
	}
}

func uneven(i int, _ time.Time) float64 { return []float64{0.6, 1, 1.6}[i%3] }

// worst returns the largest relative error of the speeds, and that of the sums of six targets.
func (p *played) worst(now time.Time) (single, ofSix float64) {
	r := p.s.Rank(now)
	sum, want := 0.0, 0.0
	for i := range p.n {
		single = max(single, math.Abs(r.Targets[name(i)].Speed/uneven(i, now)-1))
		sum += r.Targets[name(i)].Speed
		want += uneven(i, now)
		if i%6 == 5 {
			ofSix = max(ofSix, math.Abs(sum/want-1))
			sum, want = 0, 0
		}
	}
	return single, ofSix
}

// Guards against estimates that are too far off for their users. The classes differ by 1.6 or more,
// so an error below a quarter does not exchange two of them; the division of engines compares sums,
// and changes for a tenth or more.
func TestErrorOfTheSpeeds(t *testing.T) {
	for seed := range uint64(3) {
		is := is.New(t)
		engines := newPlayed(48, seed, uneven)
		engines.pauses = &pauses{seed}
		plain := newPlayed(29, seed, uneven)
		plain.pauses = &pauses{seed}
		var worst, worstSix, meanPlain, far, points float64
		for ms := 0; ms < 30_000; ms += 10 {
			at := start.Add(time.Duration(ms) * time.Millisecond)
			if ms%150 == 0 {
				engines.engines(at)
			}
			if ms%20 == 0 {
				plain.plain(at, 3)
			}
			if ms < 6000 || ms%150 != 0 {
				continue
			}
			single, six := engines.worst(at)
			worst, worstSix = max(worst, single), max(worstSix, six)
			r := plain.s.Rank(at)
			is.True(r.InForce())
			for i := range plain.n {
				off := math.Abs(r.Targets[name(i)].Speed/uneven(i, at) - 1)
				meanPlain += off
				points++
				if off > 0.25 {
					far++
				}
			}
		}
		t.Logf("seed %d: engines %.3f, sums of six %.3f; plain targets with 3 samples a second: mean %.3f, %.2f%% above 0.25", seed, worst, worstSix, meanPlain/points, 100*far/points)
		is.True(worst < 0.25)
		is.True(worstSix < 0.1)
		is.True(meanPlain/points < 0.1)
		is.True(far/points < 0.01)
	}
}

// Guards against equal targets that count as different because their samples vary or because they
// pause: at a spread of 1.5 decisions change.
func TestEqualTargetsHaveNoSpread(t *testing.T) {
	for seed := range uint64(3) {
		is := is.New(t)
		equal := func(int, time.Time) float64 { return 1 }
		engines, plain := newPlayed(48, seed, equal), newPlayed(29, seed, equal)
		engines.pauses, plain.pauses = &pauses{seed}, &pauses{seed}
		var most, mostPlain float64
		for ms := 0; ms < 30_000; ms += 10 {
			at := start.Add(time.Duration(ms) * time.Millisecond)
			if ms%150 == 0 {
				engines.engines(at)
			}
			if ms%20 == 0 {
				plain.plain(at, 3)
			}
			if ms >= 3000 {
				most, mostPlain = max(most, engines.s.Rank(at).Spread), max(mostPlain, plain.s.Rank(at).Spread)
			}
		}
		t.Logf("seed %d: spread of engines up to %.2f, of plain targets up to %.2f", seed, most, mostPlain)
		is.True(most < MinSpread)
		is.True(mostPlain < MinSpread)
	}
}

// Guards against a pause of 100 ms that counts as slowness, and a target 2.5 times slower that is
// known later than a second after that.
func TestPauseAndSlowness(t *testing.T) {
	is := is.New(t)
	for phase := 0; phase < 200; phase += 20 {
		// The first target pauses 100 ms after 5 s; the second is slow from then on.
		began := start.Add(5*time.Second + time.Duration(phase)*time.Millisecond)
		p := newPlayed(12, 1, func(i int, at time.Time) float64 {
			if i == 0 && !at.Before(began) && at.Before(began.Add(100*time.Millisecond)) || i == 1 && !at.Before(began) {
				return 1 / pauseFactor
			}
			return 1
		})
		known := time.Duration(0)
		for ms := 0; ms < 8_000; ms += 50 {
			at := start.Add(time.Duration(ms) * time.Millisecond)
			p.engines(at)
			r := p.s.Rank(at)
			if ms > 1000 {
				is.True(math.Abs(r.Targets[name(0)].Speed-1) < 0.05)
			}
			if known == 0 && ms > 1000 && r.Targets[name(1)].Speed < 0.5 {
				known = at.Sub(began)
			}
		}
		is.True(known > 0 && known <= time.Second)
	}
}

// Guards against values that outlive what they were measured on: without samples, after a restart,
// and in late samples of the former start.
func TestSpeedsExpire(t *testing.T) {
	is := is.New(t)
	p := newPlayed(9, 1, uneven)
	at := start
	for range 30 {
		at = at.Add(200 * time.Millisecond)
		p.engines(at)
	}
	is.True(p.s.Rank(at).SpeedOf(name(0)) < 0.7)
	speeds := []float64{}
	for _, after := range []time.Duration{4 * time.Second, 7 * time.Second, 9 * time.Second} {
		speeds = append(speeds, p.s.Rank(at.Add(after)).Targets[name(0)].Speed)
	}
	is.True(speeds[0] < 0.7 && slices.IsSorted(speeds) && speeds[2] > 0.85)
	is.Equal(len(p.s.Rank(at.Add(MaxAge)).Targets), 0)
	is.Equal(p.s.Rank(at.Add(MaxAge)).SpeedOf(name(0)), 1.0)

	sample := Sample{Target: "r", Start: 7, Kind: "event", Load: 1, Took: 100 * time.Millisecond}
	for i := range 10 {
		sample.At = at.Add(time.Duration(i) * 200 * time.Millisecond)
		p.s.Add(sample)
	}
	is.Equal(p.s.targets["r"].samples, 10)
	sample.Start = 8
	p.s.Add(sample)
	is.Equal(p.s.targets["r"].samples, 1)
	sample.Start = 7
	p.s.Add(sample)
	is.Equal(p.s.targets["r"].samples, 1)
	p.s.Retain(func(id string) bool { return id != "r" })
	is.Equal(p.s.targets["r"], nil)
}

// Guards against work of two sizes, or at two loads, that makes the targets that get more of it
// count as slow.
func TestKindsOfWorkAreNotCompared(t *testing.T) {
	is := is.New(t)
	var s Service
	rnd := rand.New(rand.NewPCG(1, 2))
	for i := range 3000 {
		at := start.Add(time.Duration(i) * 5 * time.Millisecond)
		target := rnd.IntN(6)
		m := Sample{Target: name(target), Kind: "short", Load: 1, At: at, Took: 20 * time.Millisecond}
		// Targets 0 to 2 get five times as many long requests, and these more beside others.
		if rnd.IntN(10) < 1+4*(1-target/3) {
			m.Kind, m.Load, m.Took = "long", 4, 90*time.Millisecond
		}
		s.Add(m)
	}
	r := s.Rank(start.Add(15 * time.Second))
	for i := range 6 {
		is.True(math.Abs(r.Targets[name(i)].Speed-1) < 0.1)
	}
	is.True(!r.InForce())
}
