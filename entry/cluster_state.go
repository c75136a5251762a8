package entry

import (
	"net"
	"time"

	"merlinhall/admission"
	"merlinhall/config"
	"merlinhall/link"
	"merlinhall/routing"
	"merlinhall/wire"
)

// onClusterState applies a cluster state, unless it is older than the current one.
func (d *dispatcher) onClusterState(now time.Time, v *clusterView) {
	if d.stopped || (d.view != nil && v.cluster.Index < d.view.cluster.Index) {
		return
	}
	d.view = v
	leaving := leavingNames(v.cluster)
	for _, t := range d.targets {
		t.removed = true
	}
	for _, s := range d.services {
		s.configured = false
	}
	weights := callerWeights(v.config)
	quotas := d.quotas(v.config)
	for i := range v.config.Services {
		c := &v.config.Services[i]
		s := d.service(c.Name, now)
		d.setTargets(s, d.subset(c.Targets, quotas[c.Name], leaving), c.MaxInFlight, leaving)
		s.apply(v.config.Limits, c.MaxInFlight, c.Queue, weights)
	}
	for i := range v.config.Pools {
		c := &v.config.Pools[i]
		s := d.service(c.Name, now)
		d.setTargets(s, d.subset(c.Targets, quotas[c.Name], leaving), c.MaxInFlight, leaving)
		s.apply(v.config.Limits, c.MaxInFlight, c.Queue, weights)
	}
	d.removeServices(now)
	for _, t := range d.targets {
		if t.removed || t.leaving {
			d.revokeUnstarted(now, t, "the target is removed or leaving")
		}
		d.removeUnused(t)
	}
}

func (d *dispatcher) service(name string, now time.Time) *service {
	s := d.services[name]
	if s == nil {
		s = newService(name, now)
		d.services[name] = s
	}
	d.ready[s] = true
	return s
}

// removeServices removes services that are no longer configured and refuses their
// waiting requests.
func (d *dispatcher) removeServices(now time.Time) {
	for name, s := range d.services {
		if s.configured {
			continue
		}
		s.queue.Unpark(func(*activeRequest) bool { return true })
		for item := s.queue.Next(); item != nil; item = s.queue.Next() {
			d.refuse(now, item.Value, admission.Refusal{Reason: "service was removed", RetryAfter: time.Second})
		}
		for _, req := range s.retries {
			d.step(now, req, noTarget{detail: "service was removed", retryAfter: time.Second})
		}
		s.targets = nil
		delete(d.services, name)
		delete(d.ready, s)
	}
}

func (d *dispatcher) setTargets(s *service, list []config.Target, maxInFlight int, leaving map[string]bool) {
	s.targets = make([]*target, 0, len(list))
	for _, c := range list {
		t := d.targets[targetKey(c)]
		if t == nil {
			t = d.dial(c, maxInFlight)
		}
		t.service = s
		t.config = c
		t.removed = false
		t.leaving = leaving[c.Name] || leaving[host(c.Agent)] || leaving[host(c.Address)]
		s.targets = append(s.targets, t)
	}
}

func (d *dispatcher) dial(c config.Target, maxInFlight int) *target {
	t := &target{
		key:      targetKey(c),
		config:   c,
		requests: make(map[*activeRequest]struct{}),
		cache:    routing.NewCache(),
		limiter:  admission.NewLimiter(maxInFlight),
	}
	d.targets[t.key] = t
	o := d.entry.options
	t.dialer = link.StartDialer(o.Client, o.Scheme, c.Agent, o.Hello, link.Guarded(&targetEvents{d.entry, t}, o.Observer.Guard("links")))
	return t
}

// removeUnused deletes a target and closes its link, once the target is removed and has
// no requests. A target is removed when it is no longer configured or no longer in the
// subset to which this entry keeps links.
func (d *dispatcher) removeUnused(t *target) {
	if !t.removed || len(t.requests) > 0 || d.targets[t.key] != t {
		return
	}
	delete(d.targets, t.key)
	if t.conn != nil {
		d.entry.links.Add(-1)
	}
	d.entry.log.WithField("target", t.config.Name).Info("closing the link to a target that is no longer used by this entry")
	// The actor must not block in Stop, because it receives the events of the
	// closing link.
	go t.dialer.Stop()
}

// leavingNames returns the names of targets and hosts that are leaving according to
// the cluster state.
func leavingNames(w *wire.ClusterState) map[string]bool {
	leaving := make(map[string]bool, len(w.Departures)+len(w.LeavingHosts))
	for _, d := range w.Departures {
		leaving[d.Target] = true
	}
	for _, h := range w.LeavingHosts {
		leaving[h] = true
	}
	return leaving
}

// callerWeights returns the fair-share weights of the callers named in the
// configuration: services and trainers.
func callerWeights(c *config.Config) map[string]float64 {
	weights := make(map[string]float64, len(c.Services)+len(c.Trainers))
	for i := range c.Services {
		weights[c.Services[i].Name] = c.Services[i].Share
	}
	for i := range c.Trainers {
		weights[c.Trainers[i].Name] = c.Trainers[i].Share
	}
	return weights
}

func host(address string) string {
	h, _, err := net.SplitHostPort(address)
	if err != nil {
		return address
	}
	return h
}
