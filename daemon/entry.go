package daemon

import (
	"context"
	"net/http"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"merlinhall/entry"
	"merlinhall/link"
	"merlinhall/propagate"
	"merlinhall/rollout"
	"merlinhall/server"
	"merlinhall/wire"
)

// trainersPath is the path prefix of the API for trainers.
const trainersPath = "/v1/trainers/"

func (d *Daemon) startEntry() error {
	token, err := server.ReadToken(d.settings.Auth.TrainerToken)
	if err != nil {
		return err
	}
	e, err := entry.Start(entry.Options{
		Name:     d.settings.Name,
		Zone:     d.settings.Zone,
		Boot:     d.hello.Boot,
		Client:   d.client,
		Scheme:   d.tls.Scheme(),
		Hello:    d.hello,
		Observer: d.observer,
		System:   d.system,
	})
	if err != nil {
		return err
	}
	d.stops = append(d.stops, e.Stop)
	follower := d.followControl(e)
	d.showClusterState(follower.ClusterState)
	d.observer.AddReadyCheck("world", func() error { return checkClusterState(follower) })
	trainers := rollout.TrainerHandler(follower, func(given, _ string) bool { return server.SameToken(given, token) })
	d.drains = append(d.drains, e.Drain)
	return d.serve(d.settings.Listen.Callers, splitTrainers(trainers, e.Handler()), false)
}

// splitTrainers routes requests under trainersPath to trainers and all others to
// callers. An http.ServeMux would redirect a path such as /svc//x instead of passing
// it on unchanged.
func splitTrainers(trainers, callers http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.HasPrefix(r.URL.Path, trainersPath) {
			trainers.ServeHTTP(w, r)
			return
		}
		callers.ServeHTTP(w, r)
	})
}

// followControl connects an entry to every control replica. The entry receives cluster
// states from one of them and rollout jobs from whichever is the leader. It passes
// cluster states on to the agents that subscribe to it.
func (d *Daemon) followControl(e *entry.Entry) *propagate.Follower {
	parent := propagate.NewParent(propagate.ParentOptions{System: d.system})
	follower := propagate.Follow(propagate.FollowOptions{
		System:         d.system,
		Local:          d.hello,
		Candidates:     d.controlCandidates(),
		Downstream:     parent,
		Observer:       d.observer,
		OnClusterState: e.OnClusterState,
	})
	worker := rollout.NewWorker(rollout.WorkerOptions{
		System: d.system,
		Runner: entryRunner{e},
		Log:    d.observer.Logger("rollout"),
	})
	d.stops = append(d.stops, follower.Stop, parent.Stop, worker.Stop)
	d.mux.Handle(parent, propagate.ParentKinds...)
	d.mux.Handle(&followerTargets{conns: make(map[*link.Conn]string), onChange: e.SetFollowers})
	var up link.Mux
	up.Handle(follower, propagate.FollowerKinds...)
	up.Handle(worker, rollout.WorkerKinds...)
	for _, p := range d.settings.Control {
		dialer := link.StartDialer(d.client, d.tls.Scheme(), p.Links, d.hello, link.Guarded(&up, d.observer.Guard("links")))
		d.stops = append(d.stops, dialer.Stop)
	}
	return follower
}

func (d *Daemon) controlCandidates() []propagate.Candidate {
	var candidates []propagate.Candidate
	for _, p := range d.settings.Control {
		candidates = append(candidates, propagate.Candidate{Name: p.Name, Zone: p.Zone, Address: p.Links, Control: true})
	}
	return candidates
}

func checkClusterState(f *propagate.Follower) error {
	if f.ClusterState() == nil {
		return eris.New("no configuration has been received")
	}
	return nil
}

// entryRunner runs rollout jobs on an entry.
type entryRunner struct{ e *entry.Entry }

// Generate implements rollout.Runner.
func (r entryRunner) Generate(ctx context.Context, g *wire.Generate) ([]wire.Token, int, error) {
	priority := g.Priority
	result, err := r.e.Generate(ctx, entry.GenerationRequest{
		Pool:       g.Pool,
		Generation: g.Generation,
		MinVersion: g.MinVersion,
		Priority:   &priority,
		Caller:     g.Sample.Trainer,
		Deadline:   deadlineOf(g),
	})
	return result.Tokens, 0, err
}

// deadlineOf returns the deadline of a job, zero when it has none.
func deadlineOf(g *wire.Generate) time.Time {
	if g.Deadline == 0 {
		return time.Time{}
	}
	return time.UnixMilli(g.Deadline)
}

// CallService implements rollout.Runner.
func (r entryRunner) CallService(ctx context.Context, service, path, requestID string, body []byte) ([]byte, error) {
	deadline, _ := ctx.Deadline()
	answer, err := r.e.CallService(ctx, entry.ServiceRequest{
		Service:  service,
		Method:   http.MethodPost,
		Path:     path,
		Headers:  []wire.Header{{Name: "Content-Type", Value: "application/json"}, {Name: "X-Call-Id", Value: requestID}},
		Body:     body,
		Caller:   "rollout",
		Deadline: deadline,
	})
	if err != nil {
		return nil, err
	}
	if answer.Status != http.StatusOK {
		return nil, eris.Errorf("service %s answered with status %d", service, answer.Status)
	}
	return answer.Body, nil
}
