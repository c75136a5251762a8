package batch

import (
	"testing"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"

	"merlinhall/carrier"
	"merlinhall/directory"
	"merlinhall/ledger"
	"merlinhall/wire"
)

// Guards against an engine that gets more runs than it has slots, because runs ended on it
// that were not counted: a list without it, or the new list of a leader, came late.
func TestRunsOnAnEngineThatWasNotListedAreCounted(t *testing.T) {
	is := is.New(t)
	r := quietRunner()
	r.metrics = newMetrics(prometheus.NewRegistry())
	r.o.Manifests = ledger.NewManifests(nil)
	list := func(targets ...wire.TargetEntry) {
		d := directory.New()
		d.Replace(start, targets)
		r.updateEngines(start, d.View())
	}
	engine := wire.TargetEntry{ID: "e", Service: "s", Address: "a:1", StartedMs: 7, Slots: 2, Models: []wire.ModelVersion{{Model: "m", Version: 1}}}
	list(engine)
	c := &carrierView{process: "p", runs: make(map[uint64]*run)}
	r.carriers = []*carrierView{c}
	var runs []*run
	for range 2 {
		sub := &task{job: &job{sub: &ledger.Submission{}}, group: &group{}, state: taskRunning}
		run := r.newRun(start, sub, c)
		run.engine, run.engineStartedMs, run.reading = "e", 7, true
		r.engine("e").running++
		runs = append(runs, run)
	}
	is.Equal(r.engine("e").freeSlots(start), 0)

	list()
	list(engine)
	is.Equal(r.engine("e").running, 2)
	for i, run := range runs {
		r.endRun(start, run, runEnd{outcome: carrier.Lost})
		is.Equal(r.engine("e").running, 1-i)
	}
	is.Equal(r.engine("e").freeSlots(start), 2)

	// The engine has restarted: the runs of the former start are not its own.
	late := r.newRun(start, &task{job: &job{sub: &ledger.Submission{}}, group: &group{}, state: taskRunning}, c)
	late.engine, late.engineStartedMs, late.reading = "e", 7, true
	engine.StartedMs = 8
	list(engine)
	r.endRun(start, late, runEnd{outcome: carrier.Lost})
	is.Equal(r.engine("e").running, 0)
}
