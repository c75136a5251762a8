package agent

import (
	"github.com/prometheus/client_golang/prometheus"

	"merlinhall/duty"
)

// view is the agent's part of the state dump.
type view struct {
	Running     int               `json:"running"`
	Held        int               `json:"held"` // running and finished ids
	Revoked     int               `json:"revoked"`
	Buffered    int               `json:"buffered"`       // unconfirmed chunks of running requests
	Bytes       int               `json:"buffered_bytes"` // of all unconfirmed chunks
	Started     uint64            `json:"started"`
	Repeated    uint64            `json:"repeated"`
	Completed   uint64            `json:"completed"`
	Unanswered  uint64            `json:"unanswered"`
	Refused     map[string]uint64 `json:"refused"`
	Links       int               `json:"links"`
	Down        bool              `json:"down"`
	Suspect     bool              `json:"suspect"`
	Leaving     bool              `json:"leaving"`
	ConfigIndex uint64            `json:"world_index"`
	Version     uint64            `json:"version"`
	Want        uint64            `json:"want"`
	SetAside    bool              `json:"set_aside"`
}

type viewAsked struct{}

// View returns a summary of the agent's state that encodes as JSON.
func (a *Agent) View() any {
	reply, err := duty.Ask[viewAsked, view](a.duty, viewAsked{})
	if err != nil {
		return map[string]string{"error": err.Error()}
	}
	select {
	case v := <-reply:
		return v
	case <-a.duty.Done():
		return map[string]string{"error": duty.ErrStopped.Error()}
	}
}

func (a *Agent) view() view {
	l := a.currentLoad()
	v := view{
		Running:     len(a.table.running),
		Held:        a.table.live,
		Revoked:     a.table.dead,
		Bytes:       a.table.buffered,
		Started:     a.table.counts.Started,
		Repeated:    a.table.counts.Repeated,
		Completed:   a.table.counts.Completed,
		Unanswered:  a.table.counts.Unanswered,
		Refused:     make(map[string]uint64),
		Links:       len(a.links),
		Down:        l.Down,
		Suspect:     l.Suspect,
		Leaving:     l.Leaving,
		ConfigIndex: a.gate.world,
		Version:     a.gate.served,
		Want:        a.gate.want.Version,
		SetAside:    a.gate.setAside,
	}
	for _, r := range a.table.running {
		v.Buffered += len(r.chunks)
	}
	for reason, n := range a.table.counts.Refused {
		v.Refused[string(reason)] = n
	}
	return v
}

// observe adds the agent to metrics and to the state dump.
func (a *Agent) observe() {
	a.o.Observer.Dump("agent "+a.o.Local.Target, a.View)
	collector := &viewCollector{agent: a, labels: prometheus.Labels{"target": a.o.Local.Target}}
	if err := a.o.Observer.Registry.Register(collector); err != nil {
		a.log.WithError(err).Warn("metrics are not registered")
	}
}

// viewCollector turns the view into metrics.
type viewCollector struct {
	agent  *Agent
	labels prometheus.Labels
}

// Describe implements prometheus.Collector. The collector is unchecked, so that
// several agents of one process can share a registry.
func (c *viewCollector) Describe(chan<- *prometheus.Desc) {}

// Collect implements prometheus.Collector.
func (c *viewCollector) Collect(out chan<- prometheus.Metric) {
	v, ok := c.agent.View().(view)
	if !ok {
		return
	}
	c.emit(out, "merlinhall_agent_running", prometheus.GaugeValue, float64(v.Running))
	c.emit(out, "merlinhall_agent_table_ids", prometheus.GaugeValue, float64(v.Held))
	c.emit(out, "merlinhall_agent_buffered_bytes", prometheus.GaugeValue, float64(v.Bytes))
	c.emit(out, "merlinhall_agent_started_total", prometheus.CounterValue, float64(v.Started))
	c.emit(out, "merlinhall_agent_repeated_total", prometheus.CounterValue, float64(v.Repeated))
	c.emit(out, "merlinhall_agent_completed_total", prometheus.CounterValue, float64(v.Completed))
	c.emit(out, "merlinhall_agent_unanswered_total", prometheus.CounterValue, float64(v.Unanswered))
	c.emit(out, "merlinhall_agent_weight_version", prometheus.GaugeValue, float64(v.Version))
	desc := prometheus.NewDesc("merlinhall_agent_refused_total", "Requests refused as not run, by reason.", []string{"reason"}, c.labels)
	for reason, n := range v.Refused {
		out <- prometheus.MustNewConstMetric(desc, prometheus.CounterValue, float64(n), reason)
	}
}

func (c *viewCollector) emit(out chan<- prometheus.Metric, name string, kind prometheus.ValueType, value float64) {
	desc := prometheus.NewDesc(name, "See docs/design.md, section 5.", nil, c.labels)
	out <- prometheus.MustNewConstMetric(desc, kind, value)
}
