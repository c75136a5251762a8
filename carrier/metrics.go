package carrier

import "github.com/prometheus/client_golang/prometheus"

type metrics struct {
	runs *prometheus.CounterVec
}

func newMetrics(registry *prometheus.Registry) *metrics {
	m := &metrics{runs: prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "merlinhall_carrier_runs_total", Help: "Runs of items that this process carried, by outcome.",
	}, []string{"outcome"})}
	registry.MustRegister(m.runs)
	return m
}
