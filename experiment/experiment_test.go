package experiment

import (
	"os"
	"testing"
	"time"

	"github.com/matryer/is"

	"merlinhall/routing"
)

// duration returns the virtual time of a simulation: short, or long if
// MERLINHALL_LONG is set.
func duration(short, long time.Duration) time.Duration {
	if os.Getenv("MERLINHALL_LONG") != "" {
		return long
	}
	return short
}

// Guards against prefix-aware routing with a higher latency or fewer cache hits than
// the simpler policies, or with an uneven load on targets or zones. All policies get
// the same arrivals.
func TestRoutingPolicies(t *testing.T) {
	is := is.New(t)
	results, direct := RoutingTable(t.Output(), RoutingOptions{Seed: 7, Load: 1.2, Duration: duration(15*time.Second, 2*time.Minute)})
	best := results[routing.PrefixAware]
	for p, r := range results {
		if p != routing.PrefixAware {
			is.True(best.P99 <= r.P99)
			is.True(best.HitRatio > r.HitRatio)
		}
	}
	is.True(results[routing.TwoChoices].P50 < direct.P50)
	is.True(best.TargetShare[1] < 2)
	is.True(best.ZoneShare[0] > 0.8 && best.ZoneShare[1] < 1.2)
}

// Guards against goodput that collapses when the offered load exceeds the capacity.
func TestOverloadKeepsGoodput(t *testing.T) {
	is := is.New(t)
	o := OverloadOptions{Seed: 7, Duration: duration(60*time.Second, 4*time.Minute), TrainerShare: 0.5}
	for _, row := range OverloadTable(t.Output(), o, []float64{0.5, 1, 1.25, 1.5, 2, 2.5, 3}) {
		if row.Factor >= 1.25 {
			is.True(row.Admission.Goodput > 0.9)
			is.True(row.FIFO.Goodput < 0.7)
		}
	}
}

// Guards against an overloading trainer that starves callers, and the reverse.
func TestSharesHoldUnderOverload(t *testing.T) {
	is := is.New(t)
	trainerHeavy := RunOverload(OverloadOptions{Seed: 7, Factor: 2, Duration: duration(60*time.Second, 4*time.Minute), TrainerShare: 0.85})
	t.Logf("trainer offers 1.7, application 0.3 of capacity: application answered %.3f, trainer %.3f, its long requests %.3f", trainerHeavy.CallerAnswered, trainerHeavy.TrainerAnswered, trainerHeavy.TrainerLongAnswered)
	is.True(trainerHeavy.CallerAnswered > 0.99)
	is.True(trainerHeavy.Goodput > 0.9)
	// Short requests must not starve long ones of the same caller.
	is.True(trainerHeavy.TrainerLongAnswered > 0.6*trainerHeavy.TrainerAnswered)
	callerHeavy := RunOverload(OverloadOptions{Seed: 7, Factor: 2, Duration: duration(60*time.Second, 4*time.Minute), TrainerShare: 0.15})
	t.Logf("application offers 1.7, trainer 0.3 of capacity: application answered %.3f, trainer %.3f", callerHeavy.CallerAnswered, callerHeavy.TrainerAnswered)
	is.True(callerHeavy.TrainerAnswered > 0.99)
	is.True(callerHeavy.Goodput > 0.9)
}
