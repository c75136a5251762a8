package batch

import (
	"maps"
	"slices"
	"testing"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"

	"merlinhall/carrier"
	"merlinhall/ledger"
	"merlinhall/routes"
	"merlinhall/wire"
)

// twoServices is a leader with a carrier and with three idle engines, of one model, of each of
// the services "former" and "new".
func twoServices(t *testing.T) (*Runner, *carrierView) {
	t.Helper()
	r := testRunner(ledger.NewSubmissions())
	r.metrics = newMetrics(prometheus.NewRegistry())
	var targets []wire.TargetEntry
	for _, service := range []string{"former", "new"} {
		for _, n := range []string{"-0", "-1", "-2"} {
			targets = append(targets, wire.TargetEntry{
				ID: service + n, Service: service, Version: "v1", Address: service + n + ":1", StartedMs: 1, Slots: 12,
				Models: []wire.ModelVersion{{Model: "m", Version: 1}},
			})
		}
	}
	r.o.Directory.Replace(start, targets)
	r.leading, r.adopted, r.partial, r.demand = true, true, newPartials(), make(map[string]modelDemand)
	r.updateEngines(start, r.o.Directory.View())
	c := testCarrier("b", "z", 0)
	c.synced, c.reportedAt, c.link = true, start, discardLink{}
	r.carriers = []*carrierView{c}
	r.newestLinks = func() map[string]peerLink { return map[string]peerLink{"b": {discardLink{}, "z"}} }
	return r, c
}

// sendRoute puts a manifest into force whose only route has the given shares.
func sendRoute(t *testing.T, r *Runner, version uint64, shares ...routes.Share) {
	t.Helper()
	body, err := wire.Marshal(&routes.Manifest{Version: version, Routes: []routes.Route{{Name: "b", Host: "h", Prefix: "/b/", Shares: shares}}})
	if err != nil {
		t.Fatal(err)
	}
	r.o.Manifests.Apply(version, 1, body)
}

// submit adds four groups of four items.
func submit(t *testing.T, r *Runner) *job {
	t.Helper()
	sub := &ledger.Submission{ID: "s", Host: "h", Model: "m"}
	for i := range 16 {
		sub.Items = append(sub.Items, ledger.Item{ID: string(rune('a' + i)), Group: string(rune('A' + i/4)), Path: "/b/1", Tokens: 10})
	}
	body, err := ledger.AcceptCommand(sub)
	if err != nil {
		t.Fatal(err)
	}
	r.o.Submissions.Apply(1, 1, body)
	r.addJob(ledger.Open{Submission: sub, Since: start, Remaining: sub.Items})
	return r.jobs[0]
}

// begunAt counts the runs that a carrier is ordered to start by the service of their engine.
func begunAt(r *Runner, c *carrierView) map[string]int {
	count := make(map[string]int)
	for _, s := range c.orders.Starts {
		count[r.o.Directory.View().Target(s.Engine).Service]++
	}
	return count
}

// Guards against items that are planned for engines of a service to which their route no longer
// leads: they never began, while engines of the route's service were idle.
func TestItemsGoToTheServiceOfTheirRoute(t *testing.T) {
	is := is.New(t)
	r, c := twoServices(t)
	sendRoute(t, r, 1, routes.Share{Service: "former", Weight: 1})
	r.startPending(start)
	sendRoute(t, r, 2, routes.Share{Service: "new", Weight: 1})
	submit(t, r)
	r.startPending(start)
	is.Equal(begunAt(r, c), map[string]int{"new": 16})
}

// Guards against items that run at a service whose share of their route is 0.
func TestItemsGoToNoServiceWithoutAShare(t *testing.T) {
	is := is.New(t)
	r, c := twoServices(t)
	sendRoute(t, r, 1, routes.Share{Service: "former", Weight: 0}, routes.Share{Service: "new", Weight: 100})
	submit(t, r)
	r.startPending(start)
	is.Equal(begunAt(r, c), map[string]int{"new": 16})
}

// Guards against the same for groups that had an engine when their route moved.
func TestGroupsFollowTheirRoute(t *testing.T) {
	is := is.New(t)
	r, c := twoServices(t)
	sendRoute(t, r, 1, routes.Share{Service: "former", Weight: 1})
	j := submit(t, r)
	r.startPending(start)
	is.Equal(begunAt(r, c), map[string]int{"former": 16})
	sendRoute(t, r, 2, routes.Share{Service: "new", Weight: 1})
	c.orders = carrier.Orders{}
	for _, run := range c.inOrder() {
		run.events = 1
		run.task.text = text{Text: carrier.Text{Parts: [][]byte{{1}}, Events: 1, Software: wire.Software{Service: "former", Version: "v1"}}}
		r.endRun(start, run, runEnd{outcome: carrier.Broken, reached: true})
	}
	r.tick(start)
	is.Equal(j.order[0].text.length(), 0) // only the former service could go on with it
	r.startPending(start)
	is.Equal(begunAt(r, c), map[string]int{"new": 16})
	is.Equal(r.engine(j.order[0].group.engine).software.Service, "new")
}

// Guards against texts that are dropped, and items that begin anywhere, while there is no route.
func TestItemsWithoutARouteWait(t *testing.T) {
	is := is.New(t)
	r, c := twoServices(t)
	j := submit(t, r)
	j.order[0].text = text{Text: carrier.Text{Parts: [][]byte{{1}}, Events: 1, Software: wire.Software{Service: "former", Version: "v1"}}}
	r.tick(start)
	r.startPending(start)
	is.Equal(len(c.orders.Starts), 0)
	is.Equal(j.order[0].text.length(), 1)
	sendRoute(t, r, 1, routes.Share{Service: "former", Weight: 1})
	r.startPending(start)
	is.Equal(begunAt(r, c), map[string]int{"former": 16})
}

// Guards against versions that are loaded only by engines of a service to which the routes of
// the model no longer lead, so that its items wait although other engines could load them.
func TestEnginesOfTheServiceInUseLoadTheModel(t *testing.T) {
	is := is.New(t)
	r, _ := twoServices(t)
	assigned := func() []string {
		models := assignModels(start, r.engines, r.demand, map[string]uint64{"m": 2}, map[string]string{"former-0": "m", "former-1": "m", "former-2": "m"})
		return slices.Sorted(maps.Keys(models))
	}
	is.Equal(len(assigned()), 6) // no route of the model is known
	sendRoute(t, r, 1, routes.Share{Service: "former", Weight: 1})
	r.updateRoutes()
	submit(t, r)
	is.Equal(assigned(), []string{"former-0", "former-1", "former-2"})
	sendRoute(t, r, 2, routes.Share{Service: "new", Weight: 1}, routes.Share{Service: "former", Weight: 0})
	r.updateRoutes()
	is.Equal(assigned(), []string{"new-0", "new-1", "new-2"})
	sendRoute(t, r, 3, routes.Share{Service: "new", Weight: 1}, routes.Share{Service: "former", Weight: 1})
	r.updateRoutes()
	is.Equal(len(assigned()), 6)
}

// Guards against models that exchange engines of services that do not serve them.
func TestModelsExchangeEnginesOfTheirServicesOnly(t *testing.T) {
	is := is.New(t)
	versions := map[string]uint64{"short": 1, "long": 1}
	at := func(id, service string) *engine {
		return &engine{id: id, slots: 12, versions: versions, software: wire.Software{Service: service}}
	}
	engines := []*engine{at("a", "s"), at("b", "l")}
	engines[0].limited, engines[0].perSecond = true, 1
	assigned := map[string]string{"a": "short", "b": "long"}
	served := func(services ...string) modelDemand {
		d := modelDemand{routes: make(map[string]modelRoute)}
		for _, s := range services {
			d.routes[s] = modelRoute{route: &routes.Route{Shares: []routes.Share{{Service: s, Weight: 1}}}}
		}
		return d
	}
	pending := map[string]int{"short": 60}
	is.Equal(swapLimited(engines, assigned, pending, map[string]modelDemand{"short": served("s"), "long": served("l")}), assigned)
	both := map[string]modelDemand{"short": served("s", "l"), "long": served("s", "l")}
	is.Equal(swapLimited(engines, assigned, pending, both), map[string]string{"a": "long", "b": "short"})
}
