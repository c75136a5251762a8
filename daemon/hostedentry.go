package daemon

import (
	"cmp"

	"github.com/prometheus/client_golang/prometheus"

	"merlinhall/gateway"
	"merlinhall/hub"
	"merlinhall/platform"
	"merlinhall/routes"
	"merlinhall/server"
	"merlinhall/settings"
	"merlinhall/usage"
	"merlinhall/wire"
)

// startGateway starts the entry role, which serves callers.
func (d *HostedDaemon) startGateway() error {
	links := d.newLinks(wire.RoleEntry, d.settings.Name, "")
	client := hub.NewClient(hub.ClientOptions{
		Seeds: d.settings.Seeds, Directory: d.targets, Poller: d.poller, Limits: d.limits, Quarantine: d.quarantine, DataDir: d.settings.DataDir, Log: d.observer.Logger("hub"),
		Registry: d.observer.Registry, Dial: links.dial, OnRoutes: func(m *routes.Manifest) { d.callerServer.SetLimits(clientLimits(m.Limits, d.settings.Clients)) },
		StepReads: d.settings.Features.StepOrder,
	})
	table := client.Table
	d.explain.Table.Store(&table)
	var meter *usage.Meter
	if d.settings.UsageWindow > 0 {
		meter = d.startMeter(true, d.settings.Name, client.ReportUsage)
	}
	d.callerHandler = &platform.CallerHandler{Gateway: gateway.New(client, d.forward, meter, d.observer), Memory: d.bodies, Ending: d.ending}
	d.observer.AddReadyCheck("routes", func() error {
		if client.Table() == nil {
			return errNoRoutes
		}
		return nil
	})
	if err := d.serve(d.settings.Ready, "ready", smallParts, platform.ReadyHandler(d.observer.Ready)); err != nil {
		return err
	}
	part := d.clientPart("callers", callerParts)
	s, err := server.StartCounted(d.settings.Callers, d.observer.Guard("callers").Handler(server.LimitUnreadBodies(d.callerHandler)), part, listenerLimits(d.settings.Clients))
	if err != nil {
		return err
	}
	d.callerServer = s
	d.servers = append(d.servers, s)
	d.observer.Registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "merlinhall_manifest_version", Help: "Version of the manifest in force, 0 before the first one.",
	}, func() float64 {
		if table := client.Table(); table != nil {
			return float64(table.Manifest().Version)
		}
		return 0
	}))
	links.mux.Handle(client, hub.ClientKinds...)
	if !d.settings.Control {
		d.limits.Follow(client.AskGrants)
		d.quarantine.Follow(client.AskSuspects)
		d.streams.Follow(client.AskStreams)
		d.admission.Follow(client.AskDemand)
		d.locality.Follow(client.ReportZones)
	}
	client.Start()
	d.stops = append(d.stops, client.Stop)
	d.setSeeds = append(d.setSeeds, client.SetSeeds)
	return nil
}

// clientLimits returns the limits of a manifest that the HTTP server enforces, or those of the
// settings where it has none. The length of a body is checked where the body is read.
func clientLimits(l routes.Limits, c settings.ClientLimits) server.Limits {
	return server.Limits{HeaderBytes: cmp.Or(l.HeaderBytes, c.HeaderBytes), HeaderTime: cmp.Or(l.HeaderTimeout, c.HeaderTime), Idle: cmp.Or(l.IdleTimeout, c.Idle)}
}
