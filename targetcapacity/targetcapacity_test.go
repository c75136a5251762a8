package targetcapacity

import (
	"fmt"
	"math"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"github.com/matryer/is"
)

var start = time.Unix(1_800_000_000, 0)

func name(i int) string { return fmt.Sprintf("t%02d", i) }

// paused reports whether a target is 2.5 times slower: in each 600 ms, 15% are for 50 to 300 ms.
func paused(seed uint64, target int, at time.Time) bool {
	const period = 600
	ms := at.UnixMilli()
	rnd := rand.New(rand.NewPCG(seed<<16+uint64(target), uint64(ms/period)))
	length := 50 + rnd.Int64N(250)
	begin := rnd.Int64N(period - length)
	return rnd.Float64() < 0.15 && ms%period >= begin && ms%period < begin+length
}

// play adds the samples of n targets for the given time and calls each after every 50 ms. Engines
// have one to six events each 50 ms. Plain targets get three requests a second of this process, whose
// work differs by up to 30%, and of which one in five waits in a queue. Seed 0 has no pauses.
func play(seed uint64, n int, plain bool, lasts time.Duration, speed func(i int, at time.Time) float64, each func(at time.Time, s *Service)) {
	s, rnd := &Service{}, rand.New(rand.NewPCG(seed, 1))
	for at := start; at.Before(start.Add(lasts)); at = at.Add(50 * time.Millisecond) {
		for i := range n {
			took, samples, load := 48e6*(0.97+0.06*rnd.Float64()), 1+rnd.IntN(6), 1
			if load = samples; plain {
				took, samples, load = 21e6*(0.7+0.6*rnd.Float64()), 0, 1
				if rnd.Float64() < 3*0.05 {
					samples = 1
				}
				if rnd.Float64() < 0.2 {
					took *= 1 + rnd.Float64()
				}
			}
			if took /= speed(i, at); paused(seed, i, at) && seed > 0 {
				took *= 2.5
			}
			for range samples {
				s.Add(Sample{Target: name(i), Load: load, At: at, Took: time.Duration(took * (1 + 0.0076*float64(load)))})
			}
		}
		each(at, s)
	}
}

func uneven(i int, _ time.Time) float64 { return []float64{0.6, 1, 1.6}[i%3] }
func equal(int, time.Time) float64      { return 1 }

// Guards against estimates that are too far off for their users, and against equal targets that count
// as different. The classes differ by 1.6, so an error below a quarter does not exchange two of them;
// the division of engines compares sums, and changes for a tenth or more.
func TestErrorOfTheSpeeds(t *testing.T) {
	for _, c := range []struct {
		n                     int
		plain                 bool
		speed                 func(int, time.Time) float64
		mean, far, six, equal float64 // at most
	}{{48, false, uneven, 0.05, 0.002, 0.1, 9}, {29, true, uneven, 0.1, 0.01, 0.2, 9}, {48, false, equal, 0.05, 0.002, 0.1, MinSpread}, {29, true, equal, 0.1, 0.01, 0.2, MinSpread}} {
		for seed := uint64(1); seed < 4; seed++ {
			var mean, far, six, spread, points float64
			play(seed, c.n, c.plain, 30*time.Second, c.speed, func(at time.Time, s *Service) {
				if at.Sub(start) < 6*time.Second {
					return
				}
				r := s.Rank(at)
				spread = max(spread, r.Spread)
				sum, want := 0.0, 0.0
				for i := range c.n {
					speed, truth := r.Targets[name(i)].Speed, c.speed(i, at)
					off := math.Abs(speed/truth - 1)
					mean, points, sum, want = mean+off, points+1, sum+speed, want+truth
					if off > 0.25 {
						far++
					}
					if i%6 == 5 {
						six = max(six, math.Abs(sum/want-1))
						sum, want = 0, 0
					}
				}
			})
			t.Logf("%d targets, plain %v, speeds %v, seed %d: off by %.3f in the mean, %.3f%% by more than a quarter, sums of six by up to %.3f; spread up to %.2f",
				c.n, c.plain, c.equal > 2, seed, mean/points, 100*far/points, six, spread)
			is.New(t).True(mean/points < c.mean && far/points < c.far && six < c.six && spread < c.equal)
		}
	}
}

// Guards against a pause of 100 ms that counts as slowness, and a target 2.5 times slower that is
// known later than a second after that.
func TestPauseAndSlowness(t *testing.T) {
	for phase := time.Duration(0); phase < 200*time.Millisecond; phase += 10 * time.Millisecond {
		began, known := start.Add(5*time.Second+phase), time.Duration(0)
		play(0, 12, false, 7*time.Second, func(i int, at time.Time) float64 {
			if since := at.Sub(began); since >= 0 && (i == 1 || i == 0 && since < 100*time.Millisecond) {
				return 0.4
			}
			return 1
		}, func(at time.Time, s *Service) {
			r := s.Rank(at)
			if at.Sub(start) > time.Second {
				is.New(t).True(math.Abs(r.Targets[name(0)].Speed-1) < 0.05)
			}
			if known == 0 && at.After(began) && r.Targets[name(1)].Speed < 0.5 {
				known = at.Sub(began)
			}
		})
		is.New(t).True(known > 0 && known <= time.Second)
	}
}

// Guards against values that outlive what they were measured on: without samples, after a restart,
// and in late samples of the former start.
func TestSpeedsExpire(t *testing.T) {
	is := is.New(t)
	var s *Service
	play(0, 9, false, 6*time.Second, uneven, func(_ time.Time, one *Service) { s = one })
	last := 0.0
	for after := 6 * time.Second; after < 16*time.Second; after += time.Second {
		speed := s.Rank(start.Add(after)).Targets[name(0)].Speed
		is.True(speed >= last && speed < 1 && (after > 10*time.Second || speed < 0.7))
		last = speed
	}
	is.True(last > 0.8)
	is.Equal(s.Rank(start.Add(16*time.Second)).SpeedOf(name(0)), 1.0)
	for start, samples := range map[int64]int{7: 2, 8: 1, 6: 1} {
		var one Service
		one.Add(Sample{Target: "r", Start: 7, At: s.rankedAt, Took: time.Second})
		one.Add(Sample{Target: "r", Start: start, At: s.rankedAt, Took: time.Second})
		is.Equal(one.targets["r"].samples, samples)
		is.Equal(one.targets["r"].start, max(7, start))
	}
}

// Guards against work of two sizes, or at two loads, that makes the targets that get more of it
// count as slow.
func TestKindsOfWorkAreNotCompared(t *testing.T) {
	is := is.New(t)
	var s Service
	rnd := rand.New(rand.NewPCG(1, 2))
	for i := range 3000 {
		target := rnd.IntN(6)
		m := Sample{Target: name(target), Kind: "short", Load: 1, At: start.Add(time.Duration(i) * 5 * time.Millisecond), Took: 20 * time.Millisecond}
		if rnd.IntN(10) < 1+4*(1-target/3) { // the first three get five times as many
			m.Kind, m.Load, m.Took = "long", 4, 90*time.Millisecond
		}
		s.Add(m)
	}
	r := s.Rank(start.Add(15 * time.Second))
	for i := range 6 {
		is.True(math.Abs(r.Targets[name(i)].Speed-1) < 0.1)
	}
}

// The cost of a sample and of a ranking, and the memory of a target, at 29, 300 and 2,600 targets.
func BenchmarkService(b *testing.B) {
	for _, n := range []int{29, 300, 2600} {
		names := make([]string, n)
		for i := range names {
			names[i] = name(i)
		}
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		s, at := &Service{}, start
		round := func() {
			at = at.Add(bucketTime)
			for i := range names {
				s.Add(Sample{Target: names[i], Load: 1, At: at, Took: time.Duration(20e6 * uneven(i, at))})
			}
		}
		for range 2 * recentBuckets {
			round()
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.Run(fmt.Sprintf("sample/%d", n), func(b *testing.B) {
			for b.Loop() {
				round()
			}
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(n), "bytes/target")
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*n), "ns/sample")
		})
		b.Run(fmt.Sprintf("rank/%d", n), func(b *testing.B) {
			for b.Loop() {
				s.rank(at)
			}
		})
	}
}
