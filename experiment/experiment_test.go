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
	results := make(map[routing.Policy]RoutingResult)
	t.Logf("%-18s %8s %8s %8s %6s  %-13s %-13s %-13s", "policy", "requests", "p50", "p99", "hits", "target", "zone", "entry")
	for _, p := range []routing.Policy{routing.RoundRobin, routing.LeastOutstanding, routing.TwoChoices, routing.PrefixAware} {
		r := RunRouting(RoutingOptions{Seed: 7, Policy: p, Load: 1.2, Duration: duration(15*time.Second, 2*time.Minute)})
		results[p] = r
		t.Logf("%-18s %8d %8s %8s %5.1f%%  %.2f..%.2f    %.2f..%.2f    %.2f..%.2f", p, r.Requests,
			r.P50.Round(time.Millisecond), r.P99.Round(time.Millisecond), 100*r.HitRatio,
			r.Target[0], r.Target[1], r.Zone[0], r.Zone[1], r.Entry[0], r.Entry[1])
	}
	best := results[routing.PrefixAware]
	for p, r := range results {
		if p != routing.PrefixAware {
			is.True(best.P99 <= r.P99)
			is.True(best.HitRatio > r.HitRatio)
		}
	}
	direct := RunRouting(RoutingOptions{Seed: 7, Policy: routing.TwoChoices, Load: 1.2, Duration: duration(15*time.Second, 2*time.Minute), DirectReports: true})
	t.Logf("two choices by direct reports: p50 %s p99 %s", direct.P50.Round(time.Millisecond), direct.P99.Round(time.Millisecond))
	is.True(results[routing.TwoChoices].P50 < direct.P50)
	is.True(best.Target[1] < 2)
	is.True(best.Zone[0] > 0.8 && best.Zone[1] < 1.2)
}

// Guards against goodput that collapses when more is offered than can be served.
func TestOverloadKeepsGoodput(t *testing.T) {
	is := is.New(t)
	t.Logf("%6s  %-31s  %s", "load", "admission", "unbounded queue in order of arrival")
	for _, f := range []float64{0.5, 1, 1.25, 1.5, 2, 2.5, 3} {
		o := OverloadOptions{Seed: 7, Factor: f, Duration: duration(60*time.Second, 4*time.Minute), TrainerShare: 0.5}
		a := RunOverload(o)
		o.Naive = true
		n := RunOverload(o)
		t.Logf("%5.2fx  goodput %.2f late %4d refused after %6s (p99)  goodput %.2f late %d",
			f, a.Goodput, a.Late, a.RefusalP99.Round(time.Millisecond), n.Goodput, n.Late)
		if f >= 1.25 {
			is.True(a.Goodput > 0.9)
			is.True(n.Goodput < 0.7)
		}
	}
}

// Guards against a trainer that starves callers, and the reverse.
func TestSharesHoldUnderOverload(t *testing.T) {
	is := is.New(t)
	flood := RunOverload(OverloadOptions{Seed: 7, Factor: 2, Duration: duration(60*time.Second, 4*time.Minute), TrainerShare: 0.85})
	t.Logf("trainer offers 1.7, application 0.3 of capacity: application answered %.3f, trainer %.3f, its long requests %.3f", flood.Caller, flood.Trainer, flood.TrainerLong)
	is.True(flood.Caller > 0.99)
	is.True(flood.Goodput > 0.9)
	// Long requests must not be shut out by short ones of the same caller.
	is.True(flood.TrainerLong > 0.6*flood.Trainer)
	crowd := RunOverload(OverloadOptions{Seed: 7, Factor: 2, Duration: duration(60*time.Second, 4*time.Minute), TrainerShare: 0.15})
	t.Logf("application offers 1.7, trainer 0.3 of capacity: application answered %.3f, trainer %.3f", crowd.Caller, crowd.Trainer)
	is.True(crowd.Trainer > 0.99)
	is.True(crowd.Goodput > 0.9)
}
