package control

import (
	"github.com/prometheus/client_golang/prometheus"
)

// observe registers the metrics and the state dump of the control role.
func (c *Control) observe() {
	if c.options.Observer == nil {
		return
	}
	c.gauge("merlinhall_control_world_index", "Log index of the newest world.", func() float64 {
		if w := c.options.Machine.ClusterState(); w != nil {
			return float64(w.Index)
		}
		return 0
	})
	c.gauge("merlinhall_control_config_version", "Version of the configuration.", func() float64 {
		if w := c.options.Machine.ClusterState(); w != nil {
			return float64(w.ConfigVersion)
		}
		return 0
	})
	c.gauge("merlinhall_control_children", "Processes that subscribe to this replica.", func() float64 {
		return float64(c.parent.Children())
	})
	c.gauge("merlinhall_control_leading", "1 while this replica leads.", func() float64 {
		if c.options.Log.Status().Leading {
			return 1
		}
		return 0
	})
	c.gauge("merlinhall_control_level", "Level in force, see docs/design/upgrades.md.", func() float64 { return float64(c.options.Machine.Level()) })
	c.guard = c.options.Observer.Guard("control")
	c.options.Observer.AddDump("control", func() any { return c.admin.status() })
}

func (c *Control) gauge(name, help string, value func() float64) {
	opts := prometheus.GaugeOpts{Name: name, Help: help}
	c.options.Observer.Registry.MustRegister(prometheus.NewGaugeFunc(opts, value))
}

func (c *Control) logf(format string, args ...any) {
	if c.options.Observer != nil {
		c.options.Observer.Logger("control").Warnf(format, args...)
	}
}
