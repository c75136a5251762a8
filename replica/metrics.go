package replica

import (
	"github.com/prometheus/client_golang/prometheus"

	"merlinhall/consensus"
)

type metrics struct {
	term          prometheus.Gauge
	commit        prometheus.Gauge
	applied       prometheus.Gauge
	leading       prometheus.Gauge
	syncs         prometheus.Gauge
	syncSeconds   prometheus.Histogram
	leaderChanges prometheus.Counter
	lostMessages  prometheus.Counter
}

func newMetrics(registry *prometheus.Registry) *metrics {
	gauge := func(name, help string) prometheus.Gauge {
		return prometheus.NewGauge(prometheus.GaugeOpts{Name: "merlinhall_replica_" + name, Help: help})
	}
	m := &metrics{
		term:    gauge("term", "Current term."),
		commit:  gauge("commit_index", "Index of the last committed entry."),
		applied: gauge("applied_index", "Index of the last applied entry."),
		leading: gauge("leading", "1 when this replica leads and may act."),
		syncs:   gauge("syncs", "File syncs since the start."),
		syncSeconds: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "merlinhall_replica_sync_seconds", Help: "Syncs of the log file.",
			Buckets: prometheus.ExponentialBuckets(0.0005, 2, 12),
		}),
		leaderChanges: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "merlinhall_replica_leader_changes_total", Help: "Leaders that this replica learnt of after another one or none.",
		}),
		lostMessages: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "merlinhall_replica_messages_lost_total",
			Help: "Messages that were not sent or not taken.",
		}),
	}
	if registry != nil {
		registry.MustRegister(m.term, m.commit, m.applied, m.leading, m.syncs, m.syncSeconds, m.leaderChanges, m.lostMessages)
	}
	return m
}

func (m *metrics) observe(s *Status, syncs uint64) {
	m.term.Set(float64(s.Term))
	m.commit.Set(float64(s.Commit))
	m.applied.Set(float64(s.Applied))
	m.syncs.Set(float64(syncs))
	m.leading.Set(0)
	if s.Role == consensus.RoleLeader && s.Ready {
		m.leading.Set(1)
	}
}
