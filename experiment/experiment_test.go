package experiment

import (
	"os"
	"testing"
	"time"

	"github.com/matryer/is"

	"merlinhall/routing"
)

// duration returns how much virtual time an experiment covers: the short one, or
// the long one when MERLINHALL_LONG is set.
func duration(short, long time.Duration) time.Duration {
	if os.Getenv("MERLINHALL_LONG") != "" {
		return long
	}
	return short
}

// Guards against a routing policy that is worse than the simple ones, or that
// buys cache hits with an uneven load. All policies meet the same arrivals.
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

// Guards against goodput that collapses when more is offered than can be served.
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

// Guards against a trainer that starves callers, and the reverse.
func TestSharesHoldUnderOverload(t *testing.T) {
	is := is.New(t)
	flood := RunOverload(OverloadOptions{Seed: 7, Factor: 2, Duration: duration(60*time.Second, 4*time.Minute), TrainerShare: 0.85})
	t.Logf("trainer offers 1.7, application 0.3 of capacity: application answered %.3f, trainer %.3f, its long requests %.3f", flood.CallerAnswered, flood.TrainerAnswered, flood.TrainerLongAnswered)
	is.True(flood.CallerAnswered > 0.99)
	is.True(flood.Goodput > 0.9)
	// Long requests must not be shut out by short ones of the same caller.
	is.True(flood.TrainerLongAnswered > 0.6*flood.TrainerAnswered)
	crowd := RunOverload(OverloadOptions{Seed: 7, Factor: 2, Duration: duration(60*time.Second, 4*time.Minute), TrainerShare: 0.15})
	t.Logf("application offers 1.7, trainer 0.3 of capacity: application answered %.3f, trainer %.3f", crowd.CallerAnswered, crowd.TrainerAnswered)
	is.True(crowd.TrainerAnswered > 0.99)
	is.True(crowd.Goodput > 0.9)
}
