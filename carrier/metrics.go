package carrier

import (
	"strconv"

	"github.com/prometheus/client_golang/prometheus"

	"merlinhall/forward"
)

type metrics struct {
	runs   *prometheus.CounterVec
	errors *prometheus.CounterVec
}

func newMetrics(registry *prometheus.Registry) *metrics {
	m := &metrics{
		runs: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "merlinhall_carrier_runs_total", Help: "Runs of items that this process carried, by outcome.",
		}, []string{"outcome"}),
		errors: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "merlinhall_carrier_errors_total",
			Help: "Error responses to items and reward calls, by status, and whether they count as failed runs for which an item may be given up.",
		}, []string{"call", "status", "counted"}),
	}
	registry.MustRegister(m.runs, m.errors)
	return m
}

// countErrors counts the error responses among the ends of attempts.
func (m *metrics) countErrors(call string, ends []forward.AttemptEnd) {
	for _, e := range ends {
		if e.Status >= 400 {
			m.errors.WithLabelValues(call, statusLabel(e.Status), strconv.FormatBool(e.Counted)).Inc()
		}
	}
}

// statusLabel bounds the number of time series: a target may send any status.
func statusLabel(status int) string {
	switch status {
	case 400, 404, 408, 421, 422, 429, 500, 502, 503, 504:
		return strconv.Itoa(status)
	}
	return "other"
}
