package daemon

import (
	"context"

	"merlinhall/platform"
	"merlinhall/usage"
)

// startCollector starts the collector of usage of a control process.
func (d *HostedDaemon) startCollector(o usage.CollectorOptions) *usage.Collector {
	o.Process, o.Window, o.Registry, o.Log = d.hello.Process, d.settings.UsageWindow, d.observer.Registry, d.observer.Logger("usage")
	if d.settings.ReportUsage {
		client := &platform.Usage{Address: d.settings.TargetList, Holder: d.settings.Name, Client: platform.NewClient(), Log: o.Log}
		o.Send = client.Send
	}
	d.observer.AddDump("usage", func() any { return o.Ledger.Windows() })
	ctx, cancel := context.WithCancel(context.Background())
	d.stops = append(d.stops, cancel)
	return usage.StartCollector(ctx, o)
}

// startMeter starts the meter of a process. Those that serve no callers only tell the leader
// their time of day.
func (d *HostedDaemon) startMeter(counts bool, call func(ctx context.Context, in *usage.Report, out *usage.Reply) error) *usage.Meter {
	o := usage.MeterOptions{
		Process: d.hello.Process, Boot: d.hello.Boot, Window: d.settings.UsageWindow, Counts: counts, Call: call, Log: d.observer.Logger("usage"),
	}
	if counts {
		o.Registry = d.observer.Registry
	}
	ctx, cancel := context.WithCancel(context.Background())
	d.stops = append(d.stops, cancel)
	return usage.StartMeter(ctx, o)
}
