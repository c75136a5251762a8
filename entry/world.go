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

// onWorld takes a world that is not older than the current one.
func (d *dispatcher) onWorld(now time.Time, v *view) {
	if d.stopped || (d.view != nil && v.world.Index < d.view.world.Index) {
		return
	}
	d.view = v
	leaving := departures(v.world)
	for _, t := range d.targets {
		t.removed = true
	}
	for _, s := range d.services {
		s.present = false
	}
	weights := shares(v.config)
	quotas := d.quotas(v.config)
	for i := range v.config.Services {
		c := &v.config.Services[i]
		s := d.service(c.Name, now)
		d.adopt(s, d.subset(c.Targets, quotas[c.Name], leaving), c.MaxInFlight, leaving)
		s.apply(v.config.Limits, c.MaxInFlight, c.Queue, weights)
	}
	for i := range v.config.Pools {
		c := &v.config.Pools[i]
		s := d.service(c.Name, now)
		d.adopt(s, d.subset(c.Targets, quotas[c.Name], leaving), c.MaxInFlight, leaving)
		s.apply(v.config.Limits, c.MaxInFlight, c.Queue, weights)
	}
	d.dropServices(now)
	for _, t := range d.targets {
		if t.removed || t.leaving {
			d.depart(now, t, "the target is removed or leaving")
		}
		d.dropIdle(t)
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

// dropServices refuses what waits for services that are no longer configured.
func (d *dispatcher) dropServices(now time.Time) {
	for name, s := range d.services {
		if s.present {
			continue
		}
		for item := s.queue.Next(); item != nil; item = s.queue.Next() {
			d.refuse(now, item.Value, admission.Refusal{Reason: "service was removed", RetryAfter: time.Second})
		}
		for _, f := range s.retries {
			d.step(now, f, noTarget{why: "service was removed", retryAfter: time.Second})
		}
		for _, item := range s.parked {
			d.step(now, item.Value, noTarget{why: "service was removed", retryAfter: time.Second})
		}
		s.targets = nil
		delete(d.services, name)
		delete(d.ready, s)
	}
}

func (d *dispatcher) adopt(s *service, list []config.Target, most int, leaving map[string]bool) {
	s.targets = make([]*target, 0, len(list))
	for _, c := range list {
		t := d.targets[targetKey(c)]
		if t == nil {
			t = d.dial(c, most)
		}
		t.service = s
		t.config = c
		t.removed = false
		t.leaving = leaving[c.Name] || leaving[host(c.Agent)] || leaving[host(c.Address)]
		s.targets = append(s.targets, t)
	}
}

func (d *dispatcher) dial(c config.Target, most int) *target {
	t := &target{
		key:     targetKey(c),
		config:  c,
		flights: make(map[*flight]struct{}),
		cache:   routing.NewCache(),
		limiter: admission.NewLimiter(most),
	}
	d.targets[t.key] = t
	o := d.entry.options
	t.dialer = link.Keep(o.Client, o.Scheme, c.Agent, o.Hello, &targetEvents{d.entry, t})
	return t
}

// dropIdle closes the link of a removed target that has no request left.
func (d *dispatcher) dropIdle(t *target) {
	if !t.removed || len(t.flights) > 0 || d.targets[t.key] != t {
		return
	}
	delete(d.targets, t.key)
	if t.conn != nil {
		d.entry.links.Add(-1)
	}
	d.entry.log.WithField("target", t.config.Name).Info("target is removed")
	// The events of the closing link come back to this duty, so it must not wait.
	go t.dialer.Stop()
}

// departures returns the names and hosts that the world reports as leaving.
func departures(w *wire.World) map[string]bool {
	leaving := make(map[string]bool, len(w.Departures)+len(w.LeavingHosts))
	for _, d := range w.Departures {
		leaving[d.Target] = true
	}
	for _, h := range w.LeavingHosts {
		leaving[h] = true
	}
	return leaving
}

// shares returns the weights of the callers that the configuration names.
func shares(c *config.Config) map[string]float64 {
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
