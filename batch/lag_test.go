package batch

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus/testutil"

	"merlinhall/ledger"
)

// Guards against a lag that is not seen, or seen where there is none, so that the wrong trainer
// goes first: with steps that arrive a little late, a first step that was late, gaps, a trainer
// that makes up time, pauses or starts again, a step that is submitted again, and a leader that
// has learnt of the earlier steps from its log or snapshot at once.
func TestLagOfTrainer(t *testing.T) {
	const due = 7500 * time.Millisecond
	sec := func(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
	type arrival struct {
		step int
		at   float64
	}
	regular := func(steps int, late func(step int) float64) (out []arrival) {
		for k := range steps {
			out = append(out, arrival{k, 4*float64(k) + late(k)})
		}
		return out
	}
	rng := rand.New(rand.NewPCG(3, 4))
	onTime := func(int) float64 { return 0 }
	for name, c := range map[string]struct {
		arrivals []arrival
		lag      float64
	}{
		"on time, each up to 50 ms late": {regular(200, func(int) float64 { return 0.05 * rng.Float64() }), 0},
		"late from step 10 on":           {regular(60, func(k int) float64 { return min(4, 0.4*max(0, float64(k)-9)) }), 4},
		"0.3 s later with each step":     {regular(20, func(k int) float64 { return 0.3 * max(0, float64(k)-9) }), 3},
		"makes up time":                  {regular(10, func(k int) float64 { return []float64{0, 0, 0, 0, 0, 2, 4, 3.6, 3.2, 2.8}[k] }), 2.8},
		"first step late":                {regular(20, func(k int) float64 { return 0.6 * max(0, 1-float64(k)) }), 0},
		"gap in the steps":               {[]arrival{{0, 0}, {1, 4}, {2, 8}, {5, 20}, {6, 25}}, 1},
		"pause":                          {append(regular(9, onTime), arrival{9, 60}, arrival{10, 64}), 0},
		"late after a pause":             {append(regular(9, onTime), arrival{9, 60}, arrival{10, 65}), 1},
		"submitted again":                {append(regular(9, onTime), arrival{8, 33}, arrival{7, 34}, arrival{9, 37}), 1},
		"started again":                  {append(regular(9, onTime), arrival{3, 50}, arrival{4, 54}, arrival{5, 58}), 0},
		"steps from the log":             {[]arrival{{0, 0}, {1, 0.01}, {2, 0.02}, {3, 2.5}, {4, 6.5}, {5, 10.5}, {6, 15}}, 0.5},
		"steps from a snapshot":          {[]arrival{{0, 0}, {1, 0}, {2, 4}, {3, 8}}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			lags := make(lagTracker)
			for _, a := range c.arrivals {
				lags.observe("m", a.step, start.Add(sec(a.at)), due)
			}
			is.True((lags.of("m") - sec(c.lag)).Abs() < 60*time.Millisecond)
			is.Equal(lags.of("other"), time.Duration(0))
		})
	}
}

// Guards against a new leader that treats a trainer as on time although the ledger shows that it
// is behind, one that counts the open steps twice, and one that tracks trainers with the switch
// off.
func TestNewLeaderKnowsTheLagFromTheLedger(t *testing.T) {
	for _, on := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			submissions := ledger.NewSubmissions()
			r := testRunner(submissions)
			r.o.StepOrder = on
			r.actor = &fullMailbox{r: r}
			r.follow()
			accept := func(step int, after time.Duration) {
				time.Sleep(after)
				body, err := ledger.AcceptCommand(&ledger.Submission{ID: fmt.Sprint("s", step), Model: "m", Step: step, Due: 8 * time.Second, Items: []ledger.Item{{ID: fmt.Sprint(step)}}})
				is.NoErr(err)
				submissions.Apply(uint64(step+1), 1, body)
			}
			lag := func(want time.Duration) {
				if !on {
					want = 0
				}
				is.Equal(r.lags.of("m"), want)
				is.Equal(testutil.ToFloat64(r.metrics.lag.WithLabelValues("m")), want.Seconds())
			}
			for step := range 4 {
				accept(step, 4*time.Second)
			}
			body, err := ledger.EndCommand("s0")
			is.NoErr(err)
			submissions.Apply(10, 1, body)
			accept(4, 5*time.Second)
			r.Lead(true, 1)
			lag(time.Second)
			accept(5, 5*time.Second)
			lag(2 * time.Second)
			r.Lead(false, 2)
			accept(6, 3*time.Second)
			r.Lead(true, 3)
			lag(time.Second)
		})
	}
}
