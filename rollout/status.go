package rollout

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"merlinhall/observe"
)

// plannerCounts is the planner's part of the state dump.
type plannerCounts struct {
	Leading      bool `json:"leading"`
	InFlight     int  `json:"jobs_in_flight"`
	Wasted       int  `json:"wasted_tokens"`
	Repeated     int  `json:"repeated_results"`
	Replications int  `json:"groups_being_stored"`
	Fetches      int  `json:"bodies_being_fetched"`
}

// observe registers the state dump and the metrics.
func (c *Coordinator) observe(o *observe.Observer) {
	if o == nil {
		return
	}
	o.AddDump("rollout", func() any {
		return map[string]any{"trainers": c.options.Ledger.Status(), "planner": c.counts()}
	})
	o.AddReadyCheck("rollout", c.store.Err)
	o.Registry.MustRegister(&collector{c})
}

// counts reads the counts on the coordinator's goroutine. It returns zeros once the
// coordinator has stopped.
func (c *Coordinator) counts() plannerCounts {
	answer := make(chan plannerCounts, 1)
	err := c.actor.Offer(inspect{func() {
		answer <- plannerCounts{
			Leading:      c.leading,
			InFlight:     c.planner.inFlight,
			Wasted:       c.planner.Wasted,
			Repeated:     c.planner.Repeated,
			Replications: len(c.bodies.replications),
			Fetches:      len(c.bodies.fetches),
		}
	}})
	if err != nil {
		return plannerCounts{}
	}
	select {
	case counts := <-answer:
		return counts
	case <-c.actor.Done():
		return plannerCounts{}
	}
}

func (c *Coordinator) drawWait(trainer string) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.drawWaits[trainer]
}

var (
	jobsDesc      = prometheus.NewDesc("merlinhall_rollout_jobs_in_flight", "Generation jobs in flight.", nil, nil)
	wastedDesc    = prometheus.NewDesc("merlinhall_rollout_wasted_tokens_total", "Tokens generated and discarded.", []string{"trainer"}, nil)
	deliveredDesc = prometheus.NewDesc("merlinhall_rollout_delivered_tokens_total", "Tokens handed to trainers.", []string{"trainer"}, nil)
	tooOldDesc    = prometheus.NewDesc("merlinhall_rollout_groups_too_old_total", "Groups generated again because they were below the staleness bound.", []string{"trainer"}, nil)
	repeatedDesc  = prometheus.NewDesc("merlinhall_rollout_groups_repeated_total", "Second results of a group that were discarded.", []string{"trainer"}, nil)
	stalenessDesc = prometheus.NewDesc("merlinhall_rollout_staleness_versions_total", "Sum of the staleness of drawn groups in versions.", []string{"trainer"}, nil)
	drawnDesc     = prometheus.NewDesc("merlinhall_rollout_groups_drawn_total", "Groups handed to trainers.", []string{"trainer"}, nil)
	waitDesc      = prometheus.NewDesc("merlinhall_rollout_trainer_wait_seconds_total", "Time that trainers waited in draws on this replica.", []string{"trainer"}, nil)
	versionDesc   = prometheus.NewDesc("merlinhall_rollout_trainer_version", "Weight version of a trainer.", []string{"trainer"}, nil)
)

// collector exports the state of the ledger and the planner as metrics.
type collector struct{ c *Coordinator }

// Describe implements prometheus.Collector.
func (m *collector) Describe(out chan<- *prometheus.Desc) { prometheus.DescribeByCollect(m, out) }

// Collect implements prometheus.Collector.
func (m *collector) Collect(out chan<- prometheus.Metric) {
	out <- prometheus.MustNewConstMetric(jobsDesc, prometheus.GaugeValue, float64(m.c.counts().InFlight))
	for name, s := range m.c.options.Ledger.Status() {
		counter := func(d *prometheus.Desc, v uint64) {
			out <- prometheus.MustNewConstMetric(d, prometheus.CounterValue, float64(v), name)
		}
		counter(wastedDesc, s.Counts.Wasted)
		counter(deliveredDesc, s.Counts.Delivered)
		counter(tooOldDesc, s.Counts.TooOld)
		counter(repeatedDesc, s.Counts.Repeated)
		counter(stalenessDesc, s.Counts.Staleness)
		counter(drawnDesc, s.Counts.Drawn)
		out <- prometheus.MustNewConstMetric(waitDesc, prometheus.CounterValue, m.c.drawWait(name).Seconds(), name)
		out <- prometheus.MustNewConstMetric(versionDesc, prometheus.GaugeValue, float64(s.Version), name)
	}
}
