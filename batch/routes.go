package batch

import (
	"merlinhall/ledger"
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
	for _, d := range r.demand {
		for name, m := range d.routes {
			m.route = r.findRoute(m.host, m.path)
			d.routes[name] = m
		}
	}
	engines := make(map[string]*engine, len(r.engines))
	for _, e := range r.engines {
		engines[e.id] = e
	}
	for _, j := range r.jobs {
		for _, t := range j.order {
			t.route = r.findRoute(t.job.sub.Host, t.item.Path)
			if e := engines[t.group.engine]; e != nil && !e.servesRoute(t) {
				t.group.unassign(e.id)
			}
		}
	}
}

// findRoute returns the route of an item in the manifest in force, or nil.
func (r *Runner) findRoute(host, path string) *routes.Route {
	if r.routes == nil {
		return nil
	}
	return r.routes.Find(host, path)
}

// observeRoutes adds the routes of a submission's items to the demand of its model.
func (r *Runner) observeRoutes(d *modelDemand, sub *ledger.Submission) {
	if d.routes == nil {
		d.routes = make(map[string]modelRoute)
	}
	for i := range sub.Items {
		path := sub.Items[i].Path
		if route := r.findRoute(sub.Host, path); route != nil {
			d.routes[route.Name] = modelRoute{sub.Host, path, route}
		}
	}
}
