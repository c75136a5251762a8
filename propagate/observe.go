package propagate

import (
	"github.com/prometheus/client_golang/prometheus"

	"merlinhall/observe"
)

// observe registers the follower's metrics and state dump. A process has at most one
// follower.
func (f *Follower) observe(o *observe.Observer) {
	if o == nil {
		return
	}
	o.AddDump("propagate", func() any { return f.State() })
	registerGauge(o, "merlinhall_propagate_world_index", "Log index of the world that is held.", func() float64 {
		return float64(f.State().Index)
	})
	registerGauge(o, "merlinhall_propagate_config_version", "Version of the configuration that is held.", func() float64 {
		return float64(f.State().ConfigVersion)
	})
	registerGauge(o, "merlinhall_propagate_fresh", "1 while a parent with contact to the leader is heard.", func() float64 {
		if f.Fresh() {
			return 1
		}
		return 0
	})
	registerGauge(o, "merlinhall_propagate_refused", "Messages of parents that could not be used.", func() float64 {
		return float64(f.State().Refused)
	})
	if p := f.o.Downstream; p != nil {
		registerGauge(o, "merlinhall_propagate_children", "Processes that subscribe to this one.", func() float64 {
			return float64(p.Children())
		})
	}
}

func registerGauge(o *observe.Observer, name, help string, value func() float64) {
	opts := prometheus.GaugeOpts{Name: name, Help: help}
	o.Registry.MustRegister(prometheus.NewGaugeFunc(opts, value))
}
