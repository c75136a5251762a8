package control

import (
	"encoding/json"
	"io"
	"net/http"
	"strings"

	"merlinhall/config"
	"merlinhall/wire"
)

// MemberChange is a request to change the membership of the log.
type MemberChange struct {
	Action string `json:"action"` // "add", "promote" or "remove"
	Name   string `json:"name"`
	// ID is the id that the replica to be added shows in its status. A replica
	// without its former disk has a new one.
	ID string `json:"id,omitempty"`
}

// targetsOf lists all targets of a configuration.
func targetsOf(c *config.Config) []config.Target {
	var all []config.Target
	for _, s := range c.Services {
		all = append(all, s.Targets...)
	}
	for _, p := range c.Pools {
		all = append(all, p.Targets...)
	}
	return all
}

// confirmedConfig returns the configuration of a confirmed read, nil when there
// is none yet.
func (a *admin) confirmedConfig(r *http.Request) (*config.Config, error) {
	if _, err := a.c.Confirm(r.Context()); err != nil {
		return nil, err
	}
	return a.c.o.Machine.Config(), nil
}

// getRequest answers the outcome of a request id. A request that is not found
// was not carried out before this read; sending it again with its id is safe.
func (a *admin) getRequest(r *http.Request) (answer, error) {
	id := r.PathValue("id")
	if _, err := a.c.Confirm(r.Context()); err != nil {
		return answer{}, err
	}
	slice, result, ok := a.c.o.Machine.Outcome(id)
	if !ok {
		return a.outcomeFromHistory(id)
	}
	switch o := result.(type) {
	case *ConfigOutcome:
		return a.configAnswer(o, id, nil), nil
	case *wire.PublishedWeights:
		return weightsAnswer(o, id), nil
	case *DepartureOutcome:
		return departureAnswer(o, id), nil
	case error:
		return answer{http.StatusConflict, failure{Outcome: "not_run", Error: o.Error(), RequestID: id}}, nil
	}
	return answer{http.StatusOK, map[string]string{"outcome": "done", "slice": slice, "request_id": id}}, nil
}

// outcomeFromHistory finds configuration requests that are older than the
// remembered outcomes.
func (a *admin) outcomeFromHistory(id string) (answer, error) {
	state := a.c.o.Machine.configState()
	for _, rec := range state.Records {
		if rec.Revision.RequestID == id {
			return a.configAnswer(&ConfigOutcome{Accepted: true, Version: rec.Revision.Version}, id, nil), nil
		}
	}
	return notFound("no request %q was carried out", id)
}

// inForce is the JSON of GET /v1/inforce.
type inForce struct {
	Version     uint64 `json:"version"`
	Holding     int    `json:"holding"`     // subscribers with this version or a newer one
	Subscribers int    `json:"subscribers"` // all that report
	Versions    []held `json:"versions"`
}

type held struct {
	Version uint64 `json:"version"`
	Count   int    `json:"count"`
}

// getInForce answers how many subscribers hold a version. Without the parameter
// version it is the current one.
func (a *admin) getInForce(r *http.Request) (answer, error) {
	version, ok := numberParam(r, "version")
	if !ok {
		if _, err := a.c.Confirm(r.Context()); err != nil {
			return answer{}, err
		}
		if w := a.c.o.Machine.World(); w != nil {
			version = w.ConfigVersion
		}
	}
	out := inForce{Version: version, Versions: []held{}}
	for _, v := range a.c.Holdings() {
		out.Versions = append(out.Versions, held(v))
		out.Subscribers += v.Count
		if v.Version >= version {
			out.Holding += v.Count
		}
	}
	return answer{http.StatusOK, out}, nil
}

func (a *admin) postWeights(r *http.Request) (answer, error) {
	pool, id := r.PathValue("pool"), r.URL.Query().Get("request_id")
	version, ok := numberParam(r, "version")
	if !ok || version == 0 {
		return badRequest("the parameter version, a number above 0, is needed")
	}
	c, err := a.confirmedConfig(r)
	if err != nil {
		return answer{}, err
	}
	if c == nil || c.Pool(pool) == nil {
		return notFound("pool %q is not in the configuration", pool)
	}
	p := wire.PublishWeights{RequestID: id, Pool: pool, Version: version, Trainer: r.URL.Query().Get("trainer")}
	out, err := a.c.PublishWeights(r.Context(), p)
	if err != nil {
		return proposalFailed(err, id)
	}
	return weightsAnswer(out, id), nil
}

func weightsAnswer(p *wire.PublishedWeights, id string) answer {
	status, outcome := http.StatusOK, "accepted"
	if p.Refused != "" {
		status, outcome = http.StatusConflict, "refused"
	}
	return answer{status, struct {
		Outcome   string `json:"outcome"`
		RequestID string `json:"request_id"`
		wire.PublishedWeights
	}{outcome, id, *p}}
}

func (a *admin) postDrain(r *http.Request) (answer, error) {
	name := r.PathValue("name")
	c, err := a.confirmedConfig(r)
	if err != nil {
		return answer{}, err
	}
	if c == nil || !hasTarget(c, name) {
		return notFound("target %q is not in the configuration", name)
	}
	return a.depart(r, changeDepartures{Drain: []string{name}})
}

func hasTarget(c *config.Config, name string) bool {
	for _, t := range targetsOf(c) {
		if t.Name == name {
			return true
		}
	}
	return false
}

func (a *admin) postUndrain(r *http.Request) (answer, error) {
	return a.depart(r, changeDepartures{Undrain: []string{r.PathValue("name")}})
}

func (a *admin) depart(r *http.Request, change changeDepartures) (answer, error) {
	id := r.URL.Query().Get("request_id")
	body, err := wire.Marshal(&change)
	if err != nil {
		return answer{}, err
	}
	result, err := a.c.Propose(r.Context(), "departures", id, body)
	out, err := resultAs[*DepartureOutcome](result, err)
	if err != nil {
		return proposalFailed(err, id)
	}
	return departureAnswer(out, id), nil
}

func departureAnswer(o *DepartureOutcome, id string) answer {
	status, outcome := http.StatusOK, "accepted"
	if o.Refused != "" {
		status, outcome = http.StatusConflict, "refused"
	}
	return answer{status, struct {
		Outcome   string `json:"outcome"`
		RequestID string `json:"request_id"`
		DepartureOutcome
	}{outcome, id, *o}}
}

func (a *admin) postMembers(r *http.Request) (answer, error) {
	var change MemberChange
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return badRequest("read body: %v", err)
	}
	decoder := json.NewDecoder(strings.NewReader(string(body)))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&change); err != nil {
		return badRequest("body: %v", err)
	}
	if a.c.o.ChangeMembers == nil {
		return answer{http.StatusNotImplemented, failure{Outcome: "not_run", Error: "this process cannot change members"}}, nil
	}
	err = a.c.o.ChangeMembers(r.Context(), change)
	switch {
	case err == nil:
		return answer{http.StatusOK, map[string]any{"outcome": "accepted", "members": a.c.o.Log.Status().Members}}, nil
	case outcomeOf(err) == wire.CallRejected:
		return answer{http.StatusConflict, failure{Outcome: "refused", Error: err.Error()}}, nil
	}
	return answer{}, err
}

// replicaStatus is the JSON of GET /v1/status.
type replicaStatus struct {
	Name string `json:"name"`
	Status
	World *worldStatus `json:"world,omitempty"`
	// Subscribers holds the versions reported to this replica; on the leader, to
	// all replicas.
	Subscribers []held `json:"subscribers"`
}

// getStatus answers the view of this replica, also when there is no leader.
func (a *admin) getStatus(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, a.status())
}

func (a *admin) status() replicaStatus {
	out := replicaStatus{Name: a.c.o.Name, Status: a.c.o.Log.Status(), Subscribers: []held{}}
	for _, v := range a.c.Holdings() {
		out.Subscribers = append(out.Subscribers, held(v))
	}
	if world := a.c.o.Machine.World(); world != nil {
		out.World = describeWorld(world)
	}
	return out
}

// worldStatus is the JSON of a world without its text.
type worldStatus struct {
	Index        uint64            `json:"index"`
	Term         uint64            `json:"term"`
	Version      uint64            `json:"config_version"`
	Digest       string            `json:"config_digest"`
	Weights      map[string]uint64 `json:"weights"`
	Departures   []string          `json:"departures"`
	LeavingHosts []string          `json:"leaving_hosts"`
}

func describeWorld(w *wire.World) *worldStatus {
	s := &worldStatus{
		Index:        w.Index,
		Term:         w.Term,
		Version:      w.ConfigVersion,
		Digest:       w.ConfigDigest,
		Weights:      make(map[string]uint64, len(w.Weights)),
		Departures:   []string{},
		LeavingHosts: append([]string{}, w.LeavingHosts...),
	}
	for _, t := range w.Weights {
		s.Weights[t.Pool] = t.Version
	}
	for _, d := range w.Departures {
		s.Departures = append(s.Departures, d.Target)
	}
	return s
}
