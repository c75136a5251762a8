package batch

import (
	"merlinhall/routes"
)

// updateRoutes finds the routes of all open items anew after a change of the manifest. A group
// leaves an engine to whose service its route no longer leads.
func (r *Runner) updateRoutes() {
	table := r.o.Manifests.Table()
	if table == r.routes {
		return
	}
	r.routes = table
	engines := make(map[string]*engine, len(r.engines))
	for _, e := range r.engines {
		engines[e.id] = e
	}
	for _, j := range r.jobs {
		for _, t := range j.order {
			t.route = r.routeOf(t)
			if e := engines[t.group.engine]; e != nil && !e.servesRoute(t) {
				t.group.unassign(e.id)
			}
		}
	}
}

// routeOf returns the route of the item of a task in the manifest in force, or nil.
func (r *Runner) routeOf(t *task) *routes.Route {
	if r.routes == nil {
		return nil
	}
	return r.routes.Find(t.job.sub.Host, t.item.Path)
}
