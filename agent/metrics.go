package agent

import (
	"github.com/prometheus/client_golang/prometheus"

	"merlinhall/actor"
)

// view is the agent's part of the state dump.
type view struct {
	Running           int               `json:"running"`
	Retained          int               `json:"held"` // number of running and finished ids
	Revoked           int               `json:"revoked"`
	BufferedChunks    int               `json:"buffered"`       // number of unconfirmed chunks of running requests
	BufferedBytes     int               `json:"buffered_bytes"` // size of all unconfirmed chunks
	Started           uint64            `json:"started"`
	Repeated          uint64            `json:"repeated"`
	Completed         uint64            `json:"completed"`
	Unanswered        uint64            `json:"unanswered"` // see tableCounts
	Refused           map[string]uint64 `json:"refused"`
	Links             int               `json:"links"`
	Down              bool              `json:"down"`
	Suspect           bool              `json:"suspect"`
	Leaving           bool              `json:"leaving"`
	StateIndex        uint64            `json:"world_index"` // log index of the cluster state; 0 for a plain service
	Version           uint64            `json:"version"`
	Want              uint64            `json:"want"`      // version that the engine must serve
	AttemptsExhausted bool              `json:"set_aside"` // maxSwapAttempts weight swaps have failed
	Swapping          bool              `json:"swapping"`
}

type viewRequest struct{}

// View returns a summary of the agent's state that encodes as JSON.
func (a *Agent) View() any {
	reply, err := actor.Ask[viewRequest, view](a.actor, viewRequest{})
	if err != nil {
		return map[string]string{"error": err.Error()}
	}
	select {
	case v := <-reply:
		return v
	case <-a.actor.Done():
		return map[string]string{"error": actor.ErrStopped.Error()}
	}
}

func (a *Agent) view() view {
	l := a.currentLoad()
	v := view{
		Running:           len(a.table.running),
		Retained:          a.table.retained,
		Revoked:           a.table.revokedCount,
		BufferedBytes:     a.table.buffered,
		Started:           a.table.counts.Started,
		Repeated:          a.table.counts.Repeated,
		Completed:         a.table.counts.Completed,
		Unanswered:        a.table.counts.Unanswered,
		Refused:           make(map[string]uint64),
		Links:             len(a.links),
		Down:              l.Down,
		Suspect:           l.Suspect,
		Leaving:           l.Leaving,
		StateIndex:        a.gate.stateIndex,
		Version:           a.gate.served,
		Want:              a.gate.desired.Version,
		AttemptsExhausted: a.gate.attemptsExhausted,
		Swapping:          l.Swapping,
	}
	for _, r := range a.table.running {
		v.BufferedChunks += len(r.chunks)
	}
	for reason, n := range a.table.counts.Refused {
		v.Refused[string(reason)] = n
	}
	return v
}

// observe adds the agent to the metrics and to the state dump.
func (a *Agent) observe() {
	a.opts.Observer.AddDump("agent "+a.opts.Local.Target, a.View)
	collector := &viewCollector{agent: a, labels: prometheus.Labels{"target": a.opts.Local.Target}}
	if err := a.opts.Observer.Registry.Register(collector); err != nil {
		a.log.WithError(err).Warn("failed to register metrics")
	}
}

// viewCollector exports the view as metrics.
type viewCollector struct {
	agent  *Agent
	labels prometheus.Labels
}

// Describe implements prometheus.Collector. It sends no descriptors, which makes
// the collector unchecked, so that several agents of one process can share a
// registry.
func (c *viewCollector) Describe(chan<- *prometheus.Desc) {}

// Collect implements prometheus.Collector.
func (c *viewCollector) Collect(out chan<- prometheus.Metric) {
	v, ok := c.agent.View().(view)
	if !ok {
		return
	}
	for _, m := range []struct {
		name, help string
		kind       prometheus.ValueType
		value      float64
	}{
		{"running", "Requests that run on the target.", prometheus.GaugeValue, float64(v.Running)},
		{"table_ids", "Running and finished ids in the request table.", prometheus.GaugeValue, float64(v.Retained)},
		{"revoked_ids", "Ids that were refused or revoked and never start.", prometheus.GaugeValue, float64(v.Revoked)},
		{"buffered_bytes", "Bytes of chunks that entries have not confirmed.", prometheus.GaugeValue, float64(v.BufferedBytes)},
		{"started_total", "Requests started on the target.", prometheus.CounterValue, float64(v.Started)},
		{"repeated_total", "Repeated requests answered from the first run.", prometheus.CounterValue, float64(v.Repeated)},
		{"completed_total", "Requests whose run has ended.", prometheus.CounterValue, float64(v.Completed)},
		{"unanswered_total", "Messages without an answer for want of room to remember it.", prometheus.CounterValue, float64(v.Unanswered)},
		{"weight_version", "Weight version that the engine serves.", prometheus.GaugeValue, float64(v.Version)},
		{"wanted_weight_version", "Weight version that the engine must serve.", prometheus.GaugeValue, float64(v.Want)},
		{"down", "1 while the target is down or set aside.", prometheus.GaugeValue, boolToFloat(v.Down)},
	} {
		desc := prometheus.NewDesc("merlinhall_agent_"+m.name, m.help, nil, c.labels)
		out <- prometheus.MustNewConstMetric(desc, m.kind, m.value)
	}
	desc := prometheus.NewDesc("merlinhall_agent_refused_total", "Requests refused as not run, by reason.", []string{"reason"}, c.labels)
	for reason, n := range v.Refused {
		out <- prometheus.MustNewConstMetric(desc, prometheus.CounterValue, float64(n), reason)
	}
}

func boolToFloat(on bool) float64 {
	if on {
		return 1
	}
	return 0
}
