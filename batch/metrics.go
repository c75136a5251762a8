package batch

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

type metrics struct {
	runs   *prometheus.CounterVec
	orders *prometheus.CounterVec
	items  *prometheus.CounterVec
	took   prometheus.Histogram
	lost   prometheus.Counter
}

func newMetrics(registry *prometheus.Registry) *metrics {
	m := &metrics{
		runs: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "merlinhall_batch_runs_total", Help: "Runs of items on engines, by outcome.",
		}, []string{"outcome"}),
		orders: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "merlinhall_batch_orders_total", Help: "Orders to engines, by outcome.",
		}, []string{"outcome"}),
		items: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "merlinhall_batch_items_total", Help: "Items with a result, by state.",
		}, []string{"state"}),
		took: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "merlinhall_batch_item_seconds", Help: "Time from the acceptance of a submission to the result of an item.",
			Buckets: prometheus.ExponentialBuckets(0.125, 2, 9),
		}),
		lost: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "merlinhall_batch_hints_lost_total", Help: "Messages lost to a full mailbox.",
		}),
	}
	registry.MustRegister(m.runs, m.orders, m.items, m.took, m.lost)
	return m
}

func (m *metrics) listed(t *task, now time.Time) {
	state := "completed"
	if t.result.Failed {
		state = "failed"
	}
	m.items.WithLabelValues(state).Inc()
	m.took.Observe(now.Sub(t.job.since).Seconds())
}
