package batch

import (
	"time"

	"merlinhall/directory"
	"merlinhall/wire"
)

// takeView brings the engines in line with the list of targets.
func (r *Runner) takeView(now time.Time, v *directory.View) {
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
		if e == nil || t.Born != 0 && e.born != 0 && e.born != t.Born || e.address != t.Address {
			e = &engine{id: t.ID, address: t.Address, born: t.Born, versions: make(map[string]uint64)}
		}
		e.draining = t.Draining
		e.slots = r.slotsOf(t)
		r.listed(now, e, t)
		r.engines = append(r.engines, e)
		known[t.ID] = e
	}
	sortEngines(r.engines)
	r.dropRuns(known)
}

// listLag is how long the list may still show a version that the engine has left.
const listLag = 4 * time.Second

// listed takes the versions of the list where the engine itself was not asked
// recently.
func (r *Runner) listed(now time.Time, e *engine, t *wire.TargetEntry) {
	if now.Sub(e.checked) < listLag || e.load != nil {
		return
	}
	for _, m := range t.Models {
		e.versions[m.Model] = m.Version
	}
}

// defaultSlots is used for an engine whose slots neither the list nor the manifest
// tells.
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

// dropRuns cancels the runs on engines that are gone or have started again.
func (r *Runner) dropRuns(now map[string]*engine) {
	current := make(map[string]*engine, len(r.engines))
	for _, e := range r.engines {
		current[e.id] = e
	}
	for _, j := range r.jobs {
		for _, t := range j.tasks {
			if t.run == nil {
				continue
			}
			if e := current[t.run.engine]; e == nil || e.born != t.run.born {
				t.run.why = "the engine is gone"
				t.run.cancel()
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

func (r *Runner) serviceOf(e *engine) string {
	if t := r.o.Directory.View().Target(e.id); t != nil {
		return t.Service
	}
	return ""
}
