package daemon

import (
	"context"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"merlinhall/ledger"
	"merlinhall/streams"
)

// streamMemoryDivisor divides the host's memory to get that for the records of streams.
const streamMemoryDivisor = 32

// startStreams starts the part of a control process that records which software began streams.
func (d *HostedDaemon) startStreams(begun *ledger.Streams, manifests *ledger.Manifests, propose func(ctx context.Context, body []byte) error) *streams.Leader {
	leader := streams.NewLeader(streams.LeaderOptions{
		Ledger: begun, Directory: d.targets, Propose: propose, MemoryBytes: d.settings.MemoryBytes / streamMemoryDivisor, Log: d.observer.Logger("streams"),
		LongestLimit: func() time.Duration {
			if table := manifests.Table(); table != nil {
				return table.LongestStream()
			}
			return 0
		},
	})
	d.observer.Registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "merlinhall_stream_records", Help: "Streams of which it is recorded which software began them.",
	}, func() float64 {
		current, former := begun.Counts()
		return float64(current + former)
	}))
	ctx, cancel := context.WithCancel(context.Background())
	go leader.Run(ctx)
	d.stops = append(d.stops, cancel)
	return leader
}
