package control

import (
	"encoding/json"
	"io"
	"net/http"
	"strings"

	"merlinhall/config"
	"merlinhall/wire"
)

// MemberChange is a request to change the membership of the replicated log.
type MemberChange struct {
	Action string `json:"action"` // "add", "promote" or "remove"
	Name   string `json:"name"`
	// ID is the id in the status of the replica to be added. A replica that lost its
	// disk has a new id.
	ID string `json:"id,omitempty"`
}

// targetsOf returns all targets of a configuration.
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

// confirmedConfig returns the configuration after a confirmed (linearizable) read, or
// nil if there is none yet.
func (a *adminAPI) confirmedConfig(r *http.Request) (*config.Config, error) {
	if _, err := a.c.Confirm(r.Context()); err != nil {
		return nil, err
	}
	return a.c.options.Machine.Config(), nil
}

// getRequest returns the outcome of a request id. A request that is not found was not
// executed before this read, and it is safe to resend it with the same id.
func (a *adminAPI) getRequest(r *http.Request) (routeResponse, error) {
	id := r.PathValue("id")
	if _, err := a.c.Confirm(r.Context()); err != nil {
		return routeResponse{}, err
	}
	slice, result, ok := a.c.options.Machine.Outcome(id)
	if !ok {
		return a.outcomeFromHistory(id)
	}
	switch o := result.(type) {
	case *ConfigOutcome:
		return a.configResponse(o, id, nil), nil
	case *wire.PublishedWeights:
		return weightsResponse(o, id), nil
	case *DepartureOutcome:
		return departureResponse(o, id), nil
	case error:
		return routeResponse{http.StatusConflict, errorResponse{Outcome: "not_run", Error: o.Error(), RequestID: id}}, nil
	}
	return routeResponse{http.StatusOK, map[string]string{"outcome": "done", "slice": slice, "request_id": id}}, nil
}

// outcomeFromHistory searches the revision history for a configuration request whose
// outcome is no longer stored.
func (a *adminAPI) outcomeFromHistory(id string) (routeResponse, error) {
	state := a.c.options.Machine.configState()
	for _, rec := range state.Records {
		if rec.Revision.RequestID == id {
			return a.configResponse(&ConfigOutcome{Accepted: true, Version: rec.Revision.Version}, id, nil), nil
		}
	}
	return notFound("no request %q was carried out", id)
}

// inForceResponse is the JSON response of GET /v1/inforce.
type inForceResponse struct {
	Version     uint64         `json:"version"`
	Holding     int            `json:"holding"`     // subscribers with this or a newer version
	Subscribers int            `json:"subscribers"` // all reporting subscribers
	Versions    []versionCount `json:"versions"`
}

type versionCount struct {
	Version uint64 `json:"version"`
	Count   int    `json:"count"`
}

// getInForce returns the number of subscribers that have the requested configuration
// version or a newer one. The default is the current version.
func (a *adminAPI) getInForce(r *http.Request) (routeResponse, error) {
	version, ok := numberParam(r, "version")
	if !ok {
		if _, err := a.c.Confirm(r.Context()); err != nil {
			return routeResponse{}, err
		}
		if state := a.c.options.Machine.ClusterState(); state != nil {
			version = state.ConfigVersion
		}
	}
	out := inForceResponse{Version: version, Versions: []versionCount{}}
	for _, v := range a.c.SubscriberVersions() {
		out.Versions = append(out.Versions, versionCount(v))
		out.Subscribers += v.Count
		if v.Version >= version {
			out.Holding += v.Count
		}
	}
	return routeResponse{http.StatusOK, out}, nil
}

func (a *adminAPI) postWeights(r *http.Request) (routeResponse, error) {
	pool, id := r.PathValue("pool"), r.URL.Query().Get("request_id")
	version, ok := numberParam(r, "version")
	if !ok || version == 0 {
		return badRequest("the parameter version, a number above 0, is needed")
	}
	c, err := a.confirmedConfig(r)
	if err != nil {
		return routeResponse{}, err
	}
	if c == nil || c.Pool(pool) == nil {
		return notFound("pool %q is not in the configuration", pool)
	}
	p := wire.PublishWeights{RequestID: id, Pool: pool, Version: version, Trainer: r.URL.Query().Get("trainer")}
	out, err := a.c.PublishWeights(r.Context(), p)
	if err != nil {
		return proposalErrorResponse(err, id)
	}
	return weightsResponse(out, id), nil
}

func weightsResponse(p *wire.PublishedWeights, id string) routeResponse {
	status, outcome := http.StatusOK, "accepted"
	if p.Refused != "" {
		status, outcome = http.StatusConflict, "refused"
	}
	return routeResponse{status, struct {
		Outcome   string `json:"outcome"`
		RequestID string `json:"request_id"`
		wire.PublishedWeights
	}{outcome, id, *p}}
}

func (a *adminAPI) postDrain(r *http.Request) (routeResponse, error) {
	name := r.PathValue("name")
	c, err := a.confirmedConfig(r)
	if err != nil {
		return routeResponse{}, err
	}
	if c == nil || !hasTarget(c, name) {
		return notFound("target %q is not in the configuration", name)
	}
	return a.proposeDepartures(r, departuresCommand{Drain: []string{name}})
}

func hasTarget(c *config.Config, name string) bool {
	for _, t := range targetsOf(c) {
		if t.Name == name {
			return true
		}
	}
	return false
}

func (a *adminAPI) postUndrain(r *http.Request) (routeResponse, error) {
	return a.proposeDepartures(r, departuresCommand{Undrain: []string{r.PathValue("name")}})
}

func (a *adminAPI) proposeDepartures(r *http.Request, change departuresCommand) (routeResponse, error) {
	id := r.URL.Query().Get("request_id")
	body, err := wire.Marshal(&change)
	if err != nil {
		return routeResponse{}, err
	}
	result, err := a.c.Propose(r.Context(), "departures", id, body)
	out, err := resultAs[*DepartureOutcome](result, err)
	if err != nil {
		return proposalErrorResponse(err, id)
	}
	return departureResponse(out, id), nil
}

func departureResponse(o *DepartureOutcome, id string) routeResponse {
	status, outcome := http.StatusOK, "accepted"
	if o.Refused != "" {
		status, outcome = http.StatusConflict, "refused"
	}
	return routeResponse{status, struct {
		Outcome   string `json:"outcome"`
		RequestID string `json:"request_id"`
		DepartureOutcome
	}{outcome, id, *o}}
}

func (a *adminAPI) postMembers(r *http.Request) (routeResponse, error) {
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
	if a.c.options.ChangeMembers == nil {
		return routeResponse{http.StatusNotImplemented, errorResponse{Outcome: "not_run", Error: "this process cannot change members"}}, nil
	}
	err = a.c.options.ChangeMembers(r.Context(), change)
	switch {
	case err == nil:
		return routeResponse{http.StatusOK, map[string]any{"outcome": "accepted", "members": a.c.options.Log.Status().Members}}, nil
	case callOutcome(err) == wire.CallRejected:
		return routeResponse{http.StatusConflict, errorResponse{Outcome: "refused", Error: err.Error()}}, nil
	}
	return routeResponse{}, err
}

// replicaStatus is the JSON response of GET /v1/status.
type replicaStatus struct {
	Name string `json:"name"`
	Status
	// Level is the level in force, Understands that of this program.
	Level       uint32 `json:"level"`
	Understands uint32 `json:"understands"`
	// Levels are those of the other control processes.
	Levels       []ProcessLevel       `json:"levels"`
	ClusterState *clusterStateSummary `json:"world,omitempty"`
	// Subscribers lists the versions reported to this replica or, on the leader, to
	// all replicas.
	Subscribers []versionCount `json:"subscribers"`
}

// getStatus returns this replica's own view. It also works without a leader.
func (a *adminAPI) getStatus(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, a.status())
}

func (a *adminAPI) status() replicaStatus {
	out := replicaStatus{Name: a.c.options.Name, Status: a.c.options.Log.Status(), Subscribers: []versionCount{}, Level: a.c.options.Machine.Level(), Understands: wire.Level, Levels: []ProcessLevel{}}
	if a.c.options.Levels != nil {
		out.Levels = append(out.Levels, a.c.options.Levels()...)
	}
	for _, v := range a.c.SubscriberVersions() {
		out.Subscribers = append(out.Subscribers, versionCount(v))
	}
	if clusterState := a.c.options.Machine.ClusterState(); clusterState != nil {
		out.ClusterState = summarizeClusterState(clusterState)
	}
	return out
}

// clusterStateSummary is the JSON form of a cluster state without the configuration
// text.
type clusterStateSummary struct {
	Index        uint64            `json:"index"`
	Term         uint64            `json:"term"`
	Version      uint64            `json:"config_version"`
	Digest       string            `json:"config_digest"`
	Weights      map[string]uint64 `json:"weights"`
	Departures   []string          `json:"departures"`
	LeavingHosts []string          `json:"leaving_hosts"`
}

func summarizeClusterState(state *wire.ClusterState) *clusterStateSummary {
	s := &clusterStateSummary{
		Index:        state.Index,
		Term:         state.Term,
		Version:      state.ConfigVersion,
		Digest:       state.ConfigDigest,
		Weights:      make(map[string]uint64, len(state.Weights)),
		Departures:   []string{},
		LeavingHosts: append([]string{}, state.LeavingHosts...),
	}
	for _, t := range state.Weights {
		s.Weights[t.Pool] = t.Version
	}
	for _, d := range state.Departures {
		s.Departures = append(s.Departures, d.Target)
	}
	return s
}
