package entry

import (
	"context"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rotisserie/eris"

	"merlinhall/actor"
	"merlinhall/observe"
)

const namespace = "merlinhall_entry"

// metrics holds the Prometheus metrics of an entry.
type metrics struct {
	requests *prometheus.CounterVec
	seconds  *prometheus.HistogramVec
	retries  *prometheus.CounterVec
	refusals *prometheus.CounterVec
	choices  *prometheus.CounterVec
	tokens   *prometheus.CounterVec
	queue    *prometheus.GaugeVec
	inFlight *prometheus.GaugeVec
	links    prometheus.Gauge
}

func newMetrics(registry *prometheus.Registry) (*metrics, error) {
	counter := func(name, help string, labels ...string) *prometheus.CounterVec {
		return prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help}, labels)
	}
	gauge := func(name, help string, labels ...string) *prometheus.GaugeVec {
		return prometheus.NewGaugeVec(prometheus.GaugeOpts{Namespace: namespace, Name: name, Help: help}, labels)
	}
	m := &metrics{
		requests: counter("requests_total", "Requests that ended, by outcome.", "service", "outcome"),
		retries:  counter("retries_total", "Requests that moved to another target.", "service"),
		refusals: counter("refusals_total", "Requests that admission refused.", "service", "reason"),
		choices:  counter("choices_total", "Choices of a target, by reason.", "service", "reason"),
		tokens:   counter("tokens_total", "Tokens passed on to callers.", "service"),
		queue:    gauge("queue_length", "Requests that wait for a target.", "service"),
		inFlight: gauge("in_flight", "Requests on targets.", "service"),
		links:    prometheus.NewGauge(prometheus.GaugeOpts{Namespace: namespace, Name: "links_up", Help: "Links to agents that are up."}),
		seconds: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: namespace, Name: "request_seconds", Help: "Time from acceptance to the end of a request.",
			Buckets: prometheus.ExponentialBuckets(0.005, 2.5, 12),
		}, []string{"service"}),
	}
	all := []prometheus.Collector{
		m.requests, m.retries, m.refusals, m.choices, m.tokens, m.queue, m.inFlight, m.links, m.seconds,
	}
	for _, c := range all {
		if err := registry.Register(c); err != nil {
			return nil, eris.Wrap(err, "entry: register metrics")
		}
	}
	return m, nil
}

func (m *metrics) finished(req *activeRequest) {
	outcome := string(req.result.Outcome)
	switch {
	case req.result.Status == statusCallerGone:
		outcome = "cancelled"
	case req.result.Broken:
		outcome = "broken"
	}
	m.requests.WithLabelValues(req.name, outcome).Inc()
	m.tokens.WithLabelValues(req.name).Add(float64(len(req.state.tokens)))
	if !req.acceptedAt.IsZero() {
		m.seconds.WithLabelValues(req.name).Observe(time.Since(req.acceptedAt).Seconds())
	}
}

func (m *metrics) refused(service, reason string) { m.refusals.WithLabelValues(service, reason).Inc() }
func (m *metrics) retried(service string)         { m.retries.WithLabelValues(service).Inc() }
func (m *metrics) chosen(service, reason string)  { m.choices.WithLabelValues(service, reason).Inc() }

func (m *metrics) gauges(d *dispatcher) {
	for name, s := range d.services {
		m.queue.WithLabelValues(name).Set(float64(s.queue.Len() + len(s.retries) + s.queue.Parked()))
		m.inFlight.WithLabelValues(name).Set(float64(s.inFlight()))
	}
	m.links.Set(float64(d.entry.links.Load()))
}

// dumpTimeout bounds the time to wait for the dispatcher's state.
const dumpTimeout = time.Second

func (e *Entry) observe(o *observe.Observer) {
	o.AddDump("entry", func() any {
		reply, err := actor.Ask[struct{}, any](e.actor, struct{}{})
		if err != nil {
			return err.Error()
		}
		ctx, cancel := context.WithTimeout(context.Background(), dumpTimeout)
		defer cancel()
		select {
		case state := <-reply:
			return state
		case <-ctx.Done():
			return "the dispatcher did not answer"
		}
	})
	o.AddReadyCheck("entry", func() error {
		if e.view.Load() == nil {
			return eris.New("no configuration has arrived")
		}
		if e.draining.Load() {
			return eris.New("draining")
		}
		return nil
	})
}

// Types of the state dump.
type (
	dumpState struct {
		ConfigVersion uint64        `json:"config_version"`
		Draining      bool          `json:"draining"`
		Services      []dumpService `json:"services"`
		Requests      []dumpRequest `json:"requests"`
	}
	dumpService struct {
		Name        string         `json:"name"`
		Queued      map[string]int `json:"queued"`
		Retrying    int            `json:"retrying"`
		Parked      int            `json:"parked"`
		RatePerSec  float64        `json:"rate_per_second"`
		RecentCalls int            `json:"recent_requests"`
		RecentRetry int            `json:"recent_retries"`
		Targets     []dumpTarget   `json:"targets"`
	}
	dumpTarget struct {
		Name     string  `json:"name"`
		Zone     string  `json:"zone"`
		Linked   bool    `json:"linked"`
		Boot     string  `json:"boot"`
		InFlight int     `json:"in_flight"`
		Others   float64 `json:"others"`
		Limit    int     `json:"limit"`
		Weight   float64 `json:"weight"`
		Version  uint64  `json:"version"`
		Cached   int     `json:"cached_prefixes"`
		Served   uint64  `json:"served"`
		Leaving  bool    `json:"leaving"`
		Down     bool    `json:"down"`
		Ejected  bool    `json:"ejected"`
		Suspect  bool    `json:"suspect"`
		Swapping bool    `json:"swapping"`
	}
	dumpRequest struct {
		ID      string `json:"id"`
		Caller  string `json:"caller,omitempty"`
		Service string `json:"service"`
		Phase   string `json:"phase"`
		Target  string `json:"target,omitempty"`
		AgeMs   int64  `json:"age_ms"`
		Chunks  uint64 `json:"chunks"`
		Tries   int    `json:"tries"`
	}
)

// maxDumpRequests bounds the number of requests in one dump.
const maxDumpRequests = 200

func (d *dispatcher) dump(now time.Time) any {
	state := dumpState{Draining: d.entry.draining.Load()}
	if d.view != nil {
		state.ConfigVersion = d.view.cluster.ConfigVersion
	}
	for _, s := range d.services {
		state.Services = append(state.Services, s.dump(now))
	}
	for req := range d.requests {
		if len(state.Requests) == maxDumpRequests {
			break
		}
		state.Requests = append(state.Requests, req.dump(now))
	}
	return state
}

func (s *service) dump(now time.Time) dumpService {
	out := dumpService{
		Name: s.name, Queued: s.queue.Lengths(), Retrying: len(s.retries), Parked: s.queue.Parked(), RatePerSec: s.rate.PerSecond(),
	}
	out.RecentCalls, out.RecentRetry = s.budget.Counts(now)
	for _, t := range s.targets {
		r := t.routingTarget(now, s.health, s.maxInFlight)
		out.Targets = append(out.Targets, dumpTarget{
			Name: t.config.Name, Zone: r.Zone, Linked: t.conn != nil, Boot: t.boot, InFlight: r.InFlight,
			Others: r.OtherEntriesLoad, Limit: r.OwnLimit, Weight: r.Weight, Version: r.Version, Cached: t.cache.Len(),
			Served: t.served, Leaving: r.Leaving, Down: r.Down, Ejected: r.Ejected, Suspect: r.Suspect, Swapping: r.Swapping,
		})
	}
	return out
}

func (req *activeRequest) dump(now time.Time) dumpRequest {
	r := req.state
	out := dumpRequest{
		ID: r.id, Caller: req.caller, Service: req.name, Phase: r.phase.String(),
		AgeMs: now.Sub(req.acceptedAt).Milliseconds(), Chunks: r.delivered, Tries: req.tries,
	}
	if req.target != nil {
		out.Target = req.target.config.Name
	}
	return out
}
