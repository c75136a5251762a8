package batch

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

type metrics struct {
	runs   *prometheus.CounterVec
	zones  *prometheus.CounterVec // runs by the zones of engine and carrier
	orders *prometheus.CounterVec
	items  *prometheus.CounterVec
	took   prometheus.Histogram
	queued prometheus.Histogram
	ran    prometheus.Histogram
	steps  prometheus.Histogram
	open   *prometheus.GaugeVec
	lost   prometheus.Counter
	// spread is that of the speeds of the engines, and divisions counts changes because of them.
	spread    *prometheus.GaugeVec
	divisions prometheus.Counter
	weights   *prometheus.GaugeVec // of carriers
	lag       *prometheus.GaugeVec
	// unneeded counts runs that went on at a carrier while it was given up.
	unneeded prometheus.Counter
	// droppedEvents counts events of texts that began anew.
	droppedEvents prometheus.Counter
	// heldStarts counts starts that waited for room in the links to carriers.
	heldStarts prometheus.Counter
}

func newMetrics(registry *prometheus.Registry) *metrics {
	m := &metrics{
		runs: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "merlinhall_batch_runs_total", Help: "Runs of items on engines, by outcome.",
		}, []string{"outcome"}),
		zones: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "merlinhall_batch_zone_runs_total", Help: "Runs of items that were started, by the zones of their engine and carrier.",
		}, []string{"engine", "carrier"}),
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
		queued: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "merlinhall_batch_queue_seconds", Help: "Time from the acceptance of a submission to the first run of an item.",
			Buckets: prometheus.ExponentialBuckets(0.03125, 2, 9),
		}),
		ran: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "merlinhall_batch_run_seconds", Help: "Time that the runs of an item took which added to its text.",
			Buckets: prometheus.ExponentialBuckets(0.03125, 2, 9),
		}),
		steps: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "merlinhall_batch_step_seconds", Help: "Time from the acceptance of a submission until the groups that its trainer waits for have all results.",
			Buckets: prometheus.LinearBuckets(1, 1, 12),
		}),
		open: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "merlinhall_batch_open_items", Help: "Items without a result, by state.",
		}, []string{"state"}),
		spread: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "merlinhall_batch_speed_spread", Help: "Ratio of the 90th to the 10th percentile of the measured speeds of a service's engines.",
		}, []string{"service"}),
		divisions: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "merlinhall_batch_speed_changes_total", Help: "Engines that were assigned to another model because of measured speeds.",
		}),
		weights: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "merlinhall_batch_carrier_weight", Help: "How many runs a carrier gets compared with one of weight 1.",
		}, []string{"carrier"}),
		lag: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "merlinhall_batch_trainer_lag_seconds", Help: "Time by which the last step of a trainer arrived later than by its schedule, by model. Set by the leader with ordered steps only.",
		}, []string{"model"}),
		unneeded: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "merlinhall_batch_runs_given_up_alive_total", Help: "Runs that their carrier still had when it answered again after it had been given up.",
		}),
		heldStarts: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "merlinhall_batch_held_starts_total", Help: "Times that the start of a run waited because the links to the control processes had no room for it.",
		}),
		droppedEvents: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "merlinhall_batch_dropped_events_total", Help: "Events of texts that begin anew because no engine of their software or weight version could go on with them.",
		}),
		lost: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "merlinhall_batch_hints_lost_total", Help: "Messages lost to a full mailbox.",
		}),
	}
	registry.MustRegister(m.runs, m.zones, m.orders, m.items, m.took, m.queued, m.ran, m.steps, m.open, m.lost, m.lag, m.unneeded, m.droppedEvents, m.heldStarts, m.spread, m.divisions, m.weights)
	return m
}

// observeRecorded updates the metrics for a task whose result was recorded.
func (m *metrics) observeRecorded(t *task, now time.Time) {
	state := "completed"
	if t.result.Failed {
		state = "failed"
	}
	m.items.WithLabelValues(state).Inc()
	m.took.Observe(now.Sub(t.job.since).Seconds())
	m.ran.Observe(t.runTime.Seconds())
	if !t.firstRunAt.IsZero() {
		m.queued.Observe(t.firstRunAt.Sub(t.job.since).Seconds())
	}
}

// setOpenItems sets the number of open items in each state.
func (m *metrics) setOpenItems(count map[taskState]int) {
	for s := taskPending; s <= taskRecording; s++ {
		m.open.WithLabelValues(s.String()).Set(float64(count[s]))
	}
}
