package daemon

import (
	"cmp"
	"context"
	"net/http"
	"path/filepath"
	"slices"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"merlinhall/batch"
	"merlinhall/carrier"
	"merlinhall/consensus"
	"merlinhall/control"
	"merlinhall/duty"
	"merlinhall/hub"
	"merlinhall/ledger"
	"merlinhall/link"
	"merlinhall/platform"
	"merlinhall/replica"
	"merlinhall/routes"
	"merlinhall/settings"
	"merlinhall/usage"
	"merlinhall/wire"
)

var errNoRoutes = eris.New("no manifest is known yet")

// orderHoldMargin is added to the interval within which orders of two order holders must
// not interleave, to allow for clocks that run at different rates.
const orderHoldMargin = 300 * time.Millisecond

// logMemoryDivisor divides the host's memory to get the size of applied commands after
// which a snapshot is made. The state, a snapshot and its encoding together take several
// times that.
const logMemoryDivisor = 16

// baseMaxVoters is the maximum number of voters unless the configured number of host
// losses needs more. Three voters tolerate the loss of one host, and two more tolerate a
// second loss while the first host is being replaced.
const baseMaxVoters = 5

// replaceAfterDivisor divides the time in which a lost host must be replaced to get the time
// after which a voter counts as lost. The rest is for the election of a leader that was lost
// with it and for the two membership changes that replace it.
const replaceAfterDivisor = 4

// fromHub returns what read returns for the hub, or a zero value until there is one.
func fromHub[T any](ref *atomic.Pointer[hub.Hub], read func(*hub.Hub) T) T {
	if h := ref.Load(); h != nil {
		return read(h)
	}
	var none T
	return none
}

// electionScaleHalves returns the factor, in halves, by which the default lease and
// election timeouts are multiplied; 2 keeps them unchanged. Deployments that tolerate the
// loss of several hosts run on many small hosts, where a snapshot can use up the leader's
// share of a core for half a second. All processes have the same HostFaults, so that no
// lease outlasts the election timeout of another process.
func electionScaleHalves(s *settings.HostedSettings) time.Duration {
	if s.HostFaults > 1 {
		return 3
	}
	return 2
}

// hostedLog adapts a replica that may be outside the group to control.Log.
type hostedLog struct {
	replicaLog
	knownLeader func() string // last known leader, for a process outside the group
}

// Status implements control.Log.
func (l hostedLog) Status() control.Status {
	st := l.replicaLog.Status()
	if st.Leader == "" && st.Role == string(consensus.RoleFresh) {
		st.Leader = l.knownLeader()
	}
	return st
}

// startHub starts the control role, which holds the replicated state. The process's name
// in the group is its link address, because other processes know nothing else of it.
func (d *HostedDaemon) startHub() error {
	s := d.settings
	links := d.newLinks(wire.RoleControl, s.Links, s.Links)
	submissions, manifests := ledger.NewSubmissions(), ledger.NewManifests(platform.DecodeManifest)
	versions, hosts, holder := ledger.NewVersions(), ledger.NewHosts(), ledger.NewHolder()
	used, begun, uploads := ledger.NewUsage(), ledger.NewStreams(), ledger.NewUploads(submissions)
	machine := control.NewStateMachine(manifests, versions, submissions, hosts, holder, used, begun, uploads)
	r, err := replica.Start(replica.Options{
		Name:          s.Links,
		Peers:         slices.DeleteFunc(slices.Clone(s.Seeds), func(a string) bool { return a == s.Links }),
		DataDir:       s.DataDir,
		Machine:       machine,
		Observer:      d.observer,
		System:        d.system,
		SnapshotBytes: int(s.MemoryBytes / logMemoryDivisor),
		Config: consensus.Config{
			Lease:          electionScaleHalves(s) * consensus.DefaultLease / 2,
			ElectionMin:    electionScaleHalves(s) * consensus.DefaultElectionMin / 2,
			ElectionMax:    electionScaleHalves(s) * consensus.DefaultElectionMax / 2,
			OpenMembership: true,
			JoinOnly:       !s.FirstStart || !slices.Contains(s.Seeds, s.Links),
			MaxVoters:      max(2*s.HostFaults+1, baseMaxVoters),
			MinVoters:      2*s.HostFaults + 1,
			ReplaceAfter:   s.CatchUpTime / replaceAfterDivisor,
		},
	})
	if err != nil {
		return err
	}
	d.stops = append(d.stops, r.Stop)
	peers := newPeerLinks(machine, d.observer.Logger("links"))
	var hubRef atomic.Pointer[hub.Hub] // nil until the hub is created below
	log := hostedLog{replicaLog{r}, func() string { return fromHub(&hubRef, (*hub.Hub).Leader) }}
	c := control.New(control.Options{
		Name: s.Links, Log: log, Machine: machine, Peer: peers.get, System: d.system, Observer: d.observer,
		Levels: func() []control.ProcessLevel { return peers.levels(otherMembers(r, s.Links)) },
	})
	d.stops = append(d.stops, c.Stop)
	propose := func(slice string) func(ctx context.Context, body []byte) error {
		return func(ctx context.Context, body []byte) error { return c.Commit(ctx, slice, body) }
	}
	protocol := platform.Protocol{Pool: d.pool}
	carried := carrier.StartCarrier(carrier.Options{
		Targets: carrier.HTTPTargets{
			Forwarder: d.forward, Protocol: protocol,
			Routes: func() *routes.Table { return cmp.Or(fromHub(&hubRef, (*hub.Hub).Routes), manifests.Table()) },
		},
		Directory: d.targets, Protocol: protocol, CancelTime: s.CancelTime,
		System: d.system, Observer: d.observer,
	})
	d.stops = append(d.stops, carried.Stop)
	claim := duty.NewClaim(duty.Options{
		Process: s.Links, Boot: d.boot, Holder: holder, Propose: propose(holder.Name()),
		MaxWait: s.OrderHoldTime + orderHoldMargin, FencesChecked: s.FencesChecked, Log: d.observer.Logger("duty"),
	})
	c.OnLeader(claim.Lead)
	leader := d.startStreams(begun, manifests, propose(begun.Name()))
	c.OnLeader(leader.Lead)
	if d.admission != nil {
		c.OnLeader(d.admission.Lead)
	}
	var collector *usage.Collector
	if s.UsageWindow > 0 {
		collector = d.startCollector(usage.CollectorOptions{
			Ledger: used, Propose: propose(used.Name()), Claim: claim, Leads: r.Leads,
			Entries: func() []string { return fromHub(&hubRef, (*hub.Hub).Entries) },
			Ready:   func() bool { return machine.Level() >= wire.LevelUsage },
		})
		c.OnLeader(collector.Lead)
	}
	runner := batch.Start(batch.Options{
		Name: s.Name, Process: s.Links, Zone: s.Zone, Submissions: submissions, Versions: versions, Manifests: manifests,
		Directory: d.targets, Protocol: protocol, Carrier: carried,
		Propose: propose(submissions.Name()), Duty: claim,
		Leads:            r.Leads,
		LeaseHeld:        r.LeaseHeld,
		HostFaults:       s.HostFaults,
		Limits:           d.limits,
		MeasuredCapacity: s.Features.MeasuredCapacity, CPUShare: s.CPUShare,
		Locality:    d.zoneCosts(),
		Retired:     func() []string { return fromHub(&hubRef, (*hub.Hub).Retired) },
		StepOrder:   s.Features.StepOrder,
		KeepResults: s.ResultRetention, System: d.system, Observer: d.observer,
	})
	c.OnLeader(runner.Lead)
	d.observer.AddDump("engine speeds", runner.Speeds)
	d.explain.Runner.Store(runner)
	d.handOver = func(ctx context.Context) {
		carried.Drain(ctx)
		runner.FlushTexts(ctx)
		if err := r.Handover(ctx); err != nil {
			d.log.Infof("cannot hand over the leadership: %v", err)
		}
	}
	d.depart = func(ctx context.Context) {
		began := time.Now()
		err := r.Depart(ctx)
		d.log.WithFields(logrus.Fields{"ms": time.Since(began).Milliseconds(), "error": err}).Info("asked for another host to take the vote of this one")
	}
	links.mux.Handle(peers)
	links.mux.Handle(r, wire.KindConsensus)
	links.mux.Handle(c, control.Kinds...)
	links.mux.Handle(carried, carrier.KindOrders)
	links.mux.Handle(runner.Carriers(), carrier.KindReport)
	var stepReads *hub.StepReads
	if s.Features.StepOrder {
		stepReads = hub.NewStepReads(d.observer)
	}
	h := hub.New(hub.Options{
		Host: s.Name, Address: s.Links, Seeds: s.Seeds, HostFaults: s.HostFaults,
		Control: c, Replica: r, Submissions: submissions, Uploads: uploads, MemoryBytes: s.MemoryBytes, KeepResults: s.ResultRetention, Registry: d.observer.Registry, Manifests: manifests, Versions: versions, Hosts: hosts, Usage: collector,
		Directory: d.targets, Poller: d.poller, Limits: d.limits, Quarantine: d.quarantine, Streams: leader, StepReads: stepReads, Demand: d.admission, Locality: d.locality, Log: d.observer.Logger("hub"), DataDir: filepath.Join(s.DataDir, "cache"), Dial: links.dial,
	})
	hubRef.Store(h)
	table := h.Routes // the entry role of the process, if it has one, replaces it
	d.explain.Table.Store(&table)
	links.mux.Handle(h, wire.KindMembershipUpdate, wire.KindRouteUpdate, wire.KindTargetUpdate)
	d.limits.Follow(h.Operator().AskGrants)
	d.quarantine.Follow(h.Operator().AskSuspects)
	d.streams.Follow(h.Operator().AskStreams)
	d.admission.Follow(h.Operator().AskDemand)
	d.locality.Follow(h.Operator().ReportZones)
	h.Start()
	d.stops = append(d.stops, h.Stop)
	if s.UsageWindow > 0 {
		d.startMeter(false, s.Links, h.Operator().ReportUsage)
	}
	d.setSeeds = append(d.setSeeds, h.SetSeeds)
	paths := http.NewServeMux()
	accepted := links.accept()
	d.stops = slices.Insert(d.stops, 0, accepted.Close) // after all that uses them has stopped
	paths.Handle(link.Path, accepted)
	if err := d.serve(s.Links, "links", linkParts, paths); err != nil {
		return err
	}
	return d.serve(s.Operator, "operator", smallParts, platform.OperatorHandler(h.Operator(), d.bodies))
}
