package batch

import (
	"time"

	"merlinhall/directory"
	"merlinhall/wire"
)

// updateEngines updates the engines from the target directory.
func (r *Runner) updateEngines(now time.Time, v *directory.View) {
	known := make(map[string]*engine, len(r.engines))
	for _, e := range r.engines {
		known[e.id] = e
	}
	r.engines = r.engines[:0:0]
	for i := range v.Targets {
		t := &v.Targets[i]
		if len(t.Models) == 0 {
			continue
		}
		e := known[t.ID]
		if e == nil || t.StartedMs != 0 && e.startedMs != 0 && e.startedMs != t.StartedMs || e.address != t.Address {
			e = &engine{id: t.ID, address: t.Address, startedMs: t.StartedMs, versions: make(map[string]uint64)}
			e.running = r.runsOn(e)
		}
		e.draining, e.software = t.Draining, t.Software()
		e.slots, e.zone = r.slotsOf(t), t.Zone
		r.useDirectoryVersions(now, e, t)
		r.engines = append(r.engines, e)
		known[t.ID] = e
	}
	sortEngines(r.engines)
	r.cancelLostRuns(known)
}

// runsOn returns the number of runs that occupy slots of an engine. Those of an engine that
// was not in the directory for a while may not have ended yet.
func (r *Runner) runsOn(e *engine) int {
	n := 0
	for _, c := range r.carriers {
		for _, run := range c.runs {
			if run.reading && run.engine == e.id && run.engineStartedMs == e.startedMs {
				n++
			}
		}
	}
	return n
}

// updateAllowances updates how many requests the engines that name a limit may get now.
func (r *Runner) updateAllowances() {
	for _, e := range r.engines {
		if e.perSecond, e.allowance, e.limited = r.limits().Allowance(e.id); !e.limited {
			e.orderWaits = false
		}
	}
}

// directoryLag is how long the directory may still show a version that the engine has
// replaced.
const directoryLag = 4 * time.Second

// useDirectoryVersions takes the versions of an engine from the directory unless the
// engine itself reported them recently or has an order in progress.
func (r *Runner) useDirectoryVersions(now time.Time, e *engine, t *wire.TargetEntry) {
	if now.Sub(e.versionsReportedAt) < directoryLag || e.load != nil {
		return
	}
	for _, m := range t.Models {
		e.versions[m.Model] = m.Version
	}
}

// defaultSlots is used for an engine whose slots are neither in the directory nor in the
// manifest.
const defaultSlots = 8

func (r *Runner) slotsOf(t *wire.TargetEntry) int {
	if t.Slots > 0 {
		return t.Slots
	}
	if table := r.o.Manifests.Table(); table != nil {
		if s := table.Service(t.Service); s != nil && s.Slots > 0 {
			return s.Slots
		}
	}
	return defaultSlots
}

// cancelLostRuns cancels the runs on engines that are gone or have restarted.
func (r *Runner) cancelLostRuns(known map[string]*engine) {
	current := make(map[string]*engine, len(r.engines))
	for _, e := range r.engines {
		current[e.id] = e
	}
	for _, j := range r.jobs {
		for _, t := range j.order {
			if t.run == nil || !t.run.reading || t.cancelled() {
				continue
			}
			if e := current[t.run.engine]; e == nil || e.startedMs != t.run.engineStartedMs {
				r.cancelRun(t, "the engine is gone or has restarted")
			}
		}
	}
}

func (r *Runner) engine(id string) *engine {
	for _, e := range r.engines {
		if e.id == id {
			return e
		}
	}
	return nil
}
