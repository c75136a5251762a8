package daemon

import (
	"context"

	"merlinhall/demand"
)

// startAdmission has the requests of this process admitted by all processes together, if the
// deployment has that turned on. Otherwise d.admission stays nil, which admits all at once.
func (d *HostedDaemon) startAdmission() {
	if !d.settings.Features.SharedAdmission {
		return
	}
	d.admission = demand.NewKeeper(demand.Options{
		Process: d.settings.Name, Run: d.boot, Registry: d.observer.Registry, Log: d.observer.Logger("admission"),
	})
	d.forward.Admission = d.admission
	d.observer.AddDump("admission", d.admission.Dump)
	ctx, cancel := context.WithCancel(context.Background())
	go d.admission.Run(ctx)
	d.stops = append(d.stops, cancel)
}
