package daemon

import (
	"context"

	"merlinhall/platform"
	"merlinhall/usage"
)

// startCollector starts the collector of usage of a control process.
func (d *HostedDaemon) startCollector(o usage.CollectorOptions) *usage.Collector {
	o.Process, o.Window, o.Registry, o.Log = d.settings.Links, d.settings.UsageWindow, d.observer.Registry, d.observer.Logger("usage")
	if d.settings.ReportUsage {
		client := &platform.Usage{Address: d.settings.TargetList, Holder: d.settings.Name, Log: o.Log}
		o.Send = client.Send
	}
	d.observer.AddDump("usage", func() any { return o.Ledger.Windows() })
	ctx, cancel := context.WithCancel(context.Background())
	d.stops = append(d.stops, cancel)
	return usage.StartCollector(ctx, o)
}

// startMeter starts the meter of a role of the process. Those that serve no callers only
// tell the leader their time of day.
func (d *HostedDaemon) startMeter(counts bool, process string, call func(ctx context.Context, in *usage.Report, out *usage.Reply) error) *usage.Meter {
	o := usage.MeterOptions{
		Process: process, Boot: d.boot, Window: d.settings.UsageWindow, Counts: counts, Call: call, Log: d.observer.Logger("usage"),
	}
	if counts {
		o.Registry = d.observer.Registry
	}
	ctx, cancel := context.WithCancel(context.Background())
	d.stops = append(d.stops, cancel)
	return usage.StartMeter(ctx, o)
}
