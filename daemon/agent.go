package daemon

import (
	"merlinhall/agent"
	"merlinhall/propagate"
)

func (d *Daemon) startAgent() error {
	candidates := d.controlCandidates()
	for _, p := range d.settings.Entries {
		candidates = append(candidates, propagate.Candidate{Name: p.Name, Zone: p.Zone, Address: p.Links})
	}
	relay := &clusterStateRelay{}
	follower := propagate.Follow(propagate.FollowOptions{
		System:         d.system,
		Local:          d.hello,
		Candidates:     candidates,
		Dial:           true,
		Observer:       d.observer,
		Client:         d.client,
		Scheme:         d.tls.Scheme(),
		OnClusterState: relay.receive,
	})
	d.stops = append(d.stops, follower.Stop)
	a, err := agent.Start(agent.Options{
		Local:      d.hello,
		Kind:       d.settings.Agent.Kind,
		Address:    d.settings.Agent.Address,
		System:     d.system,
		Observer:   d.observer,
		Barrier:    follower.Barrier,
		LinkClient: d.client,
		LinkScheme: d.tls.Scheme(),
	})
	if err != nil {
		return err
	}
	relay.setReceiver(a.OnClusterState)
	d.stops = append(d.stops, a.Stop)
	d.mux.Handle(a, agent.MessageKinds...)
	d.showClusterState(follower.ClusterState)
	d.observer.AddReadyCheck("world", func() error { return checkClusterState(follower) })
	d.drains = append(d.drains, a.Drain)
	return nil
}
