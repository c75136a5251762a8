package batch

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"merlinhall/ledger"
)

// limits of engines in tests, by target.
type testLimits map[string]float64

func (l testLimits) Allowance(target string) (perSecond float64, n int, limited bool) {
	perSecond, limited = l[target]
	return perSecond, int(perSecond), limited
}

func (l testLimits) Take(target string, n int) bool {
	perSecond, limited := l[target]
	if limited && perSecond < 1 {
		return false
	}
	if limited {
		l[target] = perSecond - float64(n)
	}
	return true
}

// Load pattern: a model of many short texts, both of whose engines take three requests a second,
// beside one of few long texts with engines without a limit. Guards against steps that wait for
// 10 s because engines are shared out by tokens only (capped.toml, seed 2: 0.849 of 0.945).
func TestModelWhoseEnginesAreAtTheirLimitsGetsAnotherOne(t *testing.T) {
	is := is.New(t)
	versions := map[string]uint64{"short": 1, "long": 1}
	engines := []*engine{
		{id: "a", slots: 12, versions: versions, limited: true, perSecond: 3},
		{id: "b", slots: 12, versions: versions, limited: true, perSecond: 2},
		{id: "c", slots: 12, versions: versions, running: 9},
		{id: "d", slots: 12, versions: versions, running: 2},
	}
	assigned := map[string]string{"a": "short", "b": "short", "c": "long", "d": "long"}
	next := swapLimited(engines, assigned, map[string]int{"short": 60, "long": 20}, nil)
	is.Equal(next, map[string]string{"a": "short", "b": "long", "c": "long", "d": "short"})
	is.Equal(swapLimited(engines, next, map[string]int{"short": 60, "long": 20}, nil), next) // enough

	is.Equal(swapLimited(engines, assigned, map[string]int{"short": 4}, nil), assigned)              // no backlog
	is.Equal(swapLimited(engines, assigned, map[string]int{"short": 20, "long": 60}, nil), assigned) // the other has one as well
	engines[2].limited, engines[3].limited = true, true
	is.Equal(swapLimited(engines, assigned, map[string]int{"short": 60}, nil), assigned) // nobody can give
}

func TestEngineWithALimitGetsNoMoreRunsThanItTakes(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	e := &engine{id: "a", slots: 12}
	is.Equal(e.freeSlots(now), 12)
	e.limited, e.allowance = true, 2
	is.Equal(e.freeSlots(now), 2)
	e.running = 11
	is.Equal(e.freeSlots(now), 1)
	e.orderWaits = true // the order comes first: no run could use the engine's old weights for long
	is.Equal(e.freeSlots(now), 0)

	r := &Runner{o: Options{Limits: testLimits{"a": 2}}, engines: []*engine{e, {id: "b", slots: 4}}}
	r.updateAllowances()
	is.Equal(e.perSecond, 2.0)
	is.Equal(r.engines[1].limited, false)
	r.o.Limits = noLimits{}
	r.updateAllowances()
	is.Equal(e.freeSlots(now), 1) // the limit has ended, and no order waits for a grant
}

// Guards against an engine with a limit that gets no runs for good: a load waited for its turn
// and was not planned any more.
func TestEngineWhoseLoadIsNoLongerPlannedGetsRuns(t *testing.T) {
	is := is.New(t)
	e := &engine{id: "a", slots: 4, limited: true, allowance: 1, orderWaits: true}
	r := quietRunner(e)
	r.o.Versions = ledger.NewVersions() // the version was taken back
	r.scheduleLoads(start)
	is.Equal(e.freeSlots(start), 1)
}
