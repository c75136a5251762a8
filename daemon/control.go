package daemon

import (
	"context"
	"fmt"
	"strconv"

	"github.com/rotisserie/eris"

	"merlinhall/config"
	"merlinhall/consensus"
	"merlinhall/control"
	"merlinhall/link"
	"merlinhall/replica"
	"merlinhall/rollout"
	"merlinhall/server"
	"merlinhall/settings"
	"merlinhall/wire"
)

const (
	// maxJobsInFlight bounds the samples being generated: two steps of 1,024 samples for
	// each of 6 trainers.
	maxJobsInFlight = 12288
	// maxJobsInFlightPerEntry bounds the samples being generated through one entry, which
	// are generated again if the entry is lost.
	maxJobsInFlightPerEntry = 256
	// rolloutPriority is below the priority of interactive callers, even after the
	// planner raises it by one for a group that is nearly complete.
	rolloutPriority = -2
)

func (d *Daemon) startControl() error {
	token, err := server.ReadToken(d.settings.Auth.OperatorToken)
	if err != nil {
		return err
	}
	ledger := rollout.NewLedger()
	machine := control.NewStateMachine(ledger)
	r, err := replica.Start(replica.Options{
		Name:     d.settings.Name,
		Peers:    peerNames(d.settings.Peers()),
		DataDir:  d.settings.DataDir,
		Machine:  machine,
		Observer: d.observer,
		System:   d.system,
	})
	if err != nil {
		return err
	}
	d.stops = append(d.stops, r.Stop)
	peers := newPeerLinks(machine, d.observer.Logger("links"))
	c := control.New(control.Options{
		Name:          d.settings.Name,
		Log:           replicaLog{r},
		Machine:       machine,
		Peers:         peerNames(d.settings.Peers()),
		Peer:          peers.get,
		Levels:        func() []control.ProcessLevel { return peers.levels(otherMembers(r, d.settings.Name)) },
		OperatorToken: token,
		ChangeMembers: memberChanges{r}.change,
		HostsURL:      d.settings.Hosts.URL,
		System:        d.system,
		Observer:      d.observer,
	})
	d.stops = append(d.stops, c.Stop)
	coordinator, err := d.startCoordinator(ledger, machine, c, r)
	if err != nil {
		return err
	}
	d.admin.Handle("/v1/", c.AdminHandler())
	d.showClusterState(machine.ClusterState)
	d.dialPeers(peers, r, c, coordinator)
	return nil
}

func (d *Daemon) startCoordinator(ledger *rollout.Ledger, machine *control.StateMachine, c *control.Control, r *replica.Replica) (*rollout.Coordinator, error) {
	coordinator, err := rollout.NewCoordinator(rollout.CoordinatorOptions{
		Name:     d.settings.Name,
		Boot:     d.hello.Boot,
		DataDir:  d.settings.DataDir,
		System:   d.system,
		Ledger:   ledger,
		Control:  c,
		Replicas: func() []string { return voters(r) },
		Log:      d.observer.Logger("rollout"),
		Observer: d.observer,
		Planner: rollout.PlannerOptions{
			MaxInFlight: maxJobsInFlight,
			MaxPerEntry: maxJobsInFlightPerEntry,
			Policies:    rollout.DefaultPolicies(),
			Trainer:     func(name string) (rollout.TrainerJobSettings, bool) { return trainerPlan(machine.Config(), name) },
		},
	})
	if err != nil {
		return nil, err
	}
	d.stops = append(d.stops, coordinator.Stop)
	coordinator.Register(calls{c})
	c.OnLeader(coordinator.Lead)
	return coordinator, nil
}

// trainerPlan returns the planning parameters of a trainer in the configuration.
func trainerPlan(c *config.Config, name string) (rollout.TrainerJobSettings, bool) {
	if c == nil {
		return rollout.TrainerJobSettings{}, false
	}
	t := c.Trainer(name)
	if t == nil {
		return rollout.TrainerJobSettings{}, false
	}
	return rollout.TrainerJobSettings{Share: t.Share, Scorer: t.Scorer, Deadline: t.Deadline, Priority: rolloutPriority}, true
}

// dialPeers connects this replica to the others and registers the handlers of
// messages from accepted and dialled links.
func (d *Daemon) dialPeers(peers *peerLinks, r *replica.Replica, c *control.Control, coordinator *rollout.Coordinator) {
	d.mux.Handle(c, control.Kinds...)
	d.mux.Handle(coordinator, rollout.CoordinatorKinds...)
	// The replica sends on dialled connections only, so it must not track the
	// accepted ones.
	d.mux.Handle(messagesOnly{r}, wire.KindConsensus)
	var dialled link.Mux
	dialled.Handle(peers)
	dialled.Handle(r, wire.KindConsensus)
	dialled.Handle(c, control.Kinds...)
	dialled.Handle(coordinator, rollout.CoordinatorKinds...)
	for _, p := range d.settings.Peers() {
		dialer := link.StartDialer(d.client, d.tls.Scheme(), p.Links, d.hello, link.Guarded(&dialled, d.observer.Guard("links")))
		d.stops = append(d.stops, dialer.Stop)
	}
}

func peerNames(peers []settings.Peer) []string {
	names := make([]string, 0, len(peers))
	for _, p := range peers {
		names = append(names, p.Name)
	}
	return names
}

// calls adapts a Control to rollout.Calls.
type calls struct{ c *control.Control }

func (a calls) HandleCall(method string, h func(ctx context.Context, body []byte) ([]byte, error)) {
	a.c.HandleCall(method, h)
}

// voters returns the names of the voting members.
func voters(r *replica.Replica) []string {
	var names []string
	for _, m := range r.Status().Members {
		if !m.Learner {
			names = append(names, m.Name)
		}
	}
	return names
}

// replicaLog adapts a replica to control.Log.
type replicaLog struct{ r *replica.Replica }

func (l replicaLog) Propose(ctx context.Context, command []byte) (any, uint64, error) {
	result, index, err := l.r.Propose(ctx, command)
	return result, index, toControlError(err)
}

func (l replicaLog) Confirm(ctx context.Context) (uint64, uint64, error) {
	term, index, err := l.r.Confirm(ctx)
	return term, index, toControlError(err)
}

func (l replicaLog) Status() control.Status {
	s := l.r.Status()
	members := make([]string, 0, len(s.Members))
	for _, m := range s.Members {
		name := m.Name
		if m.Learner {
			name += " (learner)"
		}
		members = append(members, name)
	}
	return control.Status{
		ID:      fmt.Sprintf("%016x", s.ID),
		Term:    s.Term,
		Leader:  s.Leader,
		Leading: s.Leader == s.Name && s.Ready,
		Role:    string(s.Role),
		Commit:  s.Commit,
		Applied: s.Applied,
		Members: members,
	}
}

// toControlError converts an error of a replica to one of the control package. A
// stopped or busy replica has not proposed the command.
func toControlError(err error) error {
	var notLeader *replica.NotLeaderError
	switch {
	case err == nil:
		return nil
	case eris.As(err, &notLeader), eris.Is(err, replica.ErrStopped), eris.Is(err, replica.ErrBusy), eris.Is(err, consensus.ErrOverloaded):
		return eris.Wrap(control.ErrNotLeader, err.Error())
	case eris.Is(err, consensus.ErrTooLarge):
		return eris.Wrap(control.ErrRejected, err.Error())
	case eris.Is(err, replica.ErrUnknownOutcome), eris.Is(err, context.DeadlineExceeded), eris.Is(err, context.Canceled):
		return eris.Wrap(control.ErrUnknownOutcome, err.Error())
	}
	return err
}

// memberChanges applies membership changes.
type memberChanges struct{ r *replica.Replica }

func (m memberChanges) change(ctx context.Context, change control.MemberChange) error {
	id, err := m.id(change)
	if err != nil {
		return eris.Wrap(control.ErrRejected, err.Error())
	}
	switch change.Action {
	case "add":
		err = m.r.AddLearner(ctx, id, change.Name)
	case "promote":
		err = m.r.Promote(ctx, id)
	case "remove":
		err = m.r.Remove(ctx, id)
	default:
		return eris.Wrapf(control.ErrRejected, "%q is not an action: use add, promote or remove", change.Action)
	}
	return toControlError(err)
}

// id returns the id of the replica to change. A change that adds a replica carries the
// id from that replica's own status; members are found by name.
func (m memberChanges) id(change control.MemberChange) (uint64, error) {
	if change.ID != "" {
		return strconv.ParseUint(change.ID, 16, 64)
	}
	for _, member := range m.r.Status().Members {
		if member.Name == change.Name {
			return member.ID, nil
		}
	}
	return 0, eris.Errorf("no member is named %q", change.Name)
}
