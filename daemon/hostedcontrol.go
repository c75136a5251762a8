package daemon

import (
	"context"
	"net/http"
	"path/filepath"
	"slices"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"merlinhall/batch"
	"merlinhall/consensus"
	"merlinhall/control"
	"merlinhall/hub"
	"merlinhall/ledger"
	"merlinhall/link"
	"merlinhall/platform"
	"merlinhall/replica"
	"merlinhall/settings"
	"merlinhall/wire"
)

var errNoRoutes = eris.New("no manifest is known yet")

// orderMargin is added to the time in which two holders of orders must not take
// turns, for clocks that differ in rate.
const orderMargin = 300 * time.Millisecond

// logShare is the part of the memory that commands after the newest snapshot may
// take: the state, a snapshot and its encoding take some times their own size.
const logShare = 16

// votersWanted is the number of voters where one host may be lost: one more pair
// than bears that loss, for a loss during a replacement.
const votersWanted = 5

// electionScale returns twice the factor of the election timing. Deployments that
// bear the loss of several hosts have many small ones, where a snapshot can take up
// a leader's share of a core for half a second. All processes are told the same
// number of losses, so that no lease outlasts another's election timeout.
func electionScale(s *settings.Hosted) time.Duration {
	if s.HostFaults > 1 {
		return 3
	}
	return 2
}

// hostedLog is the log of a control process that may be outside the group.
type hostedLog struct {
	replicaLog
	outside func() string // the leader as such a process knows it
}

// Status implements control.Log.
func (l hostedLog) Status() control.Status {
	st := l.replicaLog.Status()
	if st.Leader == "" && st.Role == string(consensus.RoleFresh) {
		st.Leader = l.outside()
	}
	return st
}

// startHub starts the part that holds the replicated state. The link address is
// the process's name in the group, because it is all that others know of it.
func (d *HostedDaemon) startHub() error {
	s := d.settings
	d.hello.Process, d.hello.Address = s.Links, s.Links
	d.hello.Roles = []wire.Role{wire.RoleControl}
	submissions, manifests := ledger.NewSubmissions(), ledger.NewManifests()
	versions, hosts, holder := ledger.NewVersions(), ledger.NewHosts(), ledger.NewHolder()
	machine := control.NewMachine(manifests, versions, submissions, hosts, holder)
	r, err := replica.Start(replica.Options{
		Name:          s.Links,
		Peers:         slices.DeleteFunc(slices.Clone(s.Seeds), func(a string) bool { return a == s.Links }),
		DataDir:       s.DataDir,
		Machine:       machine,
		Observer:      d.observer,
		System:        d.system,
		SnapshotBytes: int(s.MemoryBytes / logShare),
		Config: consensus.Config{
			Lease:        electionScale(s) * consensus.DefaultLease / 2,
			ElectionMin:  electionScale(s) * consensus.DefaultElectionMin / 2,
			ElectionMax:  electionScale(s) * consensus.DefaultElectionMax / 2,
			Open:         true,
			Joiner:       !s.Founding || !slices.Contains(s.Seeds, s.Links),
			VotersWanted: max(2*s.HostFaults+1, votersWanted),
			VotersLeast:  2*s.HostFaults + 1,
		},
	})
	if err != nil {
		return err
	}
	d.stops = append(d.stops, r.Stop)
	peers := newPeerLinks()
	var known atomic.Pointer[hub.Hub] // set once there is one
	log := hostedLog{replicaLog{r}, func() string {
		if h := known.Load(); h != nil {
			return h.Leader()
		}
		return ""
	}}
	c := control.New(control.Options{
		Name: s.Links, Log: log, Machine: machine, Peer: peers.get, System: d.system, Observer: d.observer,
	})
	d.stops = append(d.stops, c.Stop)
	propose := func(slice string) func(ctx context.Context, body []byte) error {
		return func(ctx context.Context, body []byte) error {
			result, err := c.Propose(ctx, slice, "", body)
			if refused, ok := result.(error); ok && err == nil {
				return refused
			}
			return err
		}
	}
	runner := batch.Start(batch.Options{
		Name: s.Name, Process: s.Links, Submissions: submissions, Versions: versions, Manifests: manifests,
		Directory: d.targets, Pool: d.pool, Forwarder: d.forward, Protocol: platform.Protocol{Pool: d.pool},
		Propose: propose(submissions.Name()), Holder: holder, ProposeHolder: propose(holder.Name()),
		Boot: d.hello.Boot,
		Gone: func(process, boot string) bool {
			return slices.Contains(r.Status().Silent, process) || peers.restarted(process, boot)
		},
		OrderHold: s.FenceHold + orderMargin, FencesChecked: s.FencesChecked, Keep: s.KeepResults, System: d.system, Observer: d.observer,
	})
	c.OnLeader(runner.Lead)
	d.handOver = func(ctx context.Context) {
		runner.KeepTexts(ctx)
		if err := r.Handover(ctx); err != nil {
			d.log.Infof("leadership is not handed over: %v", err)
		}
	}
	d.mux.Handle(peers)
	d.mux.Handle(r, wire.KindConsensus)
	d.mux.Handle(c, control.Kinds...)
	h := hub.New(hub.Options{
		Host: s.Name, Address: s.Links, Seeds: s.Seeds, HostFaults: s.HostFaults,
		Control: c, Replica: r, Submissions: submissions, Manifests: manifests, Versions: versions, Hosts: hosts,
		Directory: d.targets, Poller: d.poller, Log: d.observer.Logger("hub"), DataDir: filepath.Join(s.DataDir, "cache"), Dial: d.dial,
	})
	known.Store(h)
	d.mux.Handle(h, wire.KindGroupUpdate)
	h.Start()
	d.stops = append(d.stops, h.Stop)
	d.setSeeds = append(d.setSeeds, h.SetSeeds)
	links := http.NewServeMux()
	links.Handle(link.Path, link.Accept(d.hello, &d.mux))
	if err := d.serve(s.Links, links); err != nil {
		return err
	}
	return d.serve(s.Operator, platform.OperatorHandler(h.Operator()))
}
