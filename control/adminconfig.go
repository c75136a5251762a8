package control

import (
	"context"
	"errors"
	"io"
	"net/http"

	"merlinhall/config"
	"merlinhall/propagate"
	"merlinhall/wire"
)

// defaultHistory and maxHistory limit the revisions in one response. Each revision
// includes its diff, which takes a few milliseconds for the largest texts.
const (
	defaultHistory = 20
	maxHistory     = 100
)

// configResponse is the JSON response to a configuration request.
type configResponse struct {
	Outcome   string `json:"outcome"` // "accepted" or "conflict"
	RequestID string `json:"request_id"`
	Version   uint64 `json:"version,omitempty"`
	Digest    string `json:"digest,omitempty"`
	// The remaining fields are set on a conflict.
	Base    uint64    `json:"base,omitempty"`
	Winner  *Revision `json:"winner,omitempty"`
	Current *Revision `json:"current,omitempty"`
	// WinnerDiff is the diff from the base to the current text, Diff the diff from the
	// current text to the text of the request.
	WinnerDiff []string `json:"winner_diff,omitempty"`
	Diff       []string `json:"diff,omitempty"`
}

func (a *adminAPI) postConfig(r *http.Request) (routeResponse, error) {
	base, ok := numberParam(r, "base")
	if !ok {
		return badRequest("the parameter base, the version that the text was edited from, is needed")
	}
	text, err := io.ReadAll(r.Body)
	if err != nil {
		return badRequest("read body: %v", err)
	}
	return a.applyConfig(r, base, text)
}

// postRollback commits the text of an earlier version as a new version.
func (a *adminAPI) postRollback(r *http.Request) (routeResponse, error) {
	base, okBase := numberParam(r, "base")
	version, okVersion := numberParam(r, "version")
	if !okBase || !okVersion {
		return badRequest("the parameters base, the current version, and version, the one to go back to, are needed")
	}
	if _, err := a.c.Confirm(r.Context()); err != nil {
		return routeResponse{}, err
	}
	state := a.c.options.Machine.configState()
	text, ok := state.text(version)
	if !ok {
		return notFound("version %d is not in the history", version)
	}
	return a.applyConfig(r, base, text)
}

func (a *adminAPI) applyConfig(r *http.Request, base uint64, text []byte) (routeResponse, error) {
	id, name := r.URL.Query().Get("request_id"), authorOf(r)
	if len(id) > maxIDBytes || len(name) > maxIDBytes {
		return badRequest("request_id and author are bounded to %d bytes", maxIDBytes)
	}
	if problems := checkText(text); len(problems) > 0 {
		return routeResponse{http.StatusUnprocessableEntity, errorResponse{Outcome: "invalid", Errors: problems, RequestID: id}}, nil
	}
	outcome, err := a.c.ApplyConfig(r.Context(), base, text, name, id)
	if err != nil {
		return proposalErrorResponse(err, id)
	}
	return a.configResponse(outcome, id, text), nil
}

// checkText returns all problems of a configuration text.
func checkText(text []byte) []string {
	if why := structureError(text); why != "" {
		return []string{why}
	}
	_, err := config.Parse("config", text)
	if err == nil {
		return nil
	}
	var many interface{ Unwrap() []error }
	if !errors.As(err, &many) {
		return []string{err.Error()}
	}
	var problems []string
	for _, e := range many.Unwrap() {
		problems = append(problems, e.Error())
	}
	return problems
}

// ApplyConfig commits a configuration text. It must run on the leader.
func (c *Control) ApplyConfig(ctx context.Context, base uint64, text []byte, author, requestID string) (*ConfigOutcome, error) {
	state := c.options.Machine.configState()
	body, err := wire.Marshal(newConfigCommand(&state, base, text, author))
	if err != nil {
		return nil, err
	}
	result, err := c.Propose(ctx, "config", requestID, body)
	return resultAs[*ConfigOutcome](result, err)
}

// configResponse returns the response for an outcome. text is the text of the request,
// or nil if the outcome is queried later.
func (a *adminAPI) configResponse(o *ConfigOutcome, id string, text []byte) routeResponse {
	if o.Invalid != "" {
		return routeResponse{http.StatusUnprocessableEntity, errorResponse{Outcome: "invalid", Errors: []string{o.Invalid}, RequestID: id}}
	}
	if o.Accepted {
		out := configResponse{Outcome: "accepted", RequestID: id, Version: o.Version}
		if text != nil {
			out.Digest = config.Digest(text)
		}
		return routeResponse{http.StatusOK, out}
	}
	out := configResponse{Outcome: "conflict", RequestID: id, Base: o.Base, Winner: &o.Winner, Current: &o.Current}
	state := a.c.options.Machine.configState()
	current, ok := state.text(o.Current.Version)
	if !ok {
		return routeResponse{http.StatusConflict, out}
	}
	if old, ok := state.text(o.Base); ok || o.Base == 0 {
		out.WinnerDiff = LineDiff(old, current)
	}
	if text != nil {
		out.Diff = LineDiff(current, text)
	}
	return routeResponse{http.StatusConflict, out}
}

// configState returns a copy of the configuration and its history.
func (m *StateMachine) configState() configState {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.config.copyState()
}

// getConfig returns the current configuration, or the requested version from the
// history.
func (a *adminAPI) getConfig(r *http.Request) (routeResponse, error) {
	if _, err := a.c.Confirm(r.Context()); err != nil {
		return routeResponse{}, err
	}
	state := a.c.options.Machine.configState()
	if len(state.Records) == 0 {
		return notFound("no configuration has been accepted yet")
	}
	version := state.Records[len(state.Records)-1].Revision.Version
	if r.URL.Query().Has("version") {
		var ok bool
		if version, ok = numberParam(r, "version"); !ok {
			return badRequest("version is not a number")
		}
	}
	text, ok := state.text(version)
	if !ok {
		return notFound("version %d is not in the history", version)
	}
	return routeResponse{http.StatusOK, struct {
		Revision
		Text string `json:"text"`
	}{state.revision(version), string(text)}}, nil
}

func (s *configState) revision(version uint64) Revision {
	for _, r := range s.Records {
		if r.Revision.Version == version {
			return r.Revision
		}
	}
	return Revision{}
}

// historyEntry is a revision with its diff from the previous one.
type historyEntry struct {
	Revision
	Diff []string `json:"diff,omitempty"`
}

// getHistory returns revisions, newest first. With the parameter before it returns
// those below that version.
func (a *adminAPI) getHistory(r *http.Request) (routeResponse, error) {
	if _, err := a.c.Confirm(r.Context()); err != nil {
		return routeResponse{}, err
	}
	limit := uint64(defaultHistory)
	if n, ok := numberParam(r, "limit"); ok {
		limit = min(max(n, 1), maxHistory)
	}
	before, ok := numberParam(r, "before")
	if !ok {
		before = ^uint64(0)
	}
	state := a.c.options.Machine.configState()
	return routeResponse{http.StatusOK, struct {
		Revisions []historyEntry `json:"revisions"`
		Dropped   uint64         `json:"dropped,omitempty"` // highest version removed from the history
	}{state.entries(before, int(limit)), state.Dropped}}, nil
}

// entries returns up to limit history entries of versions below before, newest first.
// It reconstructs the texts by applying one reverse patch per revision.
func (s *configState) entries(before uint64, limit int) []historyEntry {
	out := []historyEntry{}
	text := s.Text
	for i := len(s.Records) - 1; i >= 0 && len(out) < limit; i-- {
		var older []byte
		if i > 0 {
			var err error
			if older, err = propagate.ApplyPatch(text, s.Records[i-1].ReversePatch, MaxConfigBytes); err != nil {
				return out
			}
		}
		if s.Records[i].Revision.Version < before {
			out = append(out, s.entry(i, older, text))
		}
		text = older
	}
	return out
}

// entry returns the history entry of record i. The oldest record has no diff, because
// the text before it is not kept.
func (s *configState) entry(i int, older, text []byte) historyEntry {
	e := historyEntry{Revision: s.Records[i].Revision}
	if i > 0 {
		e.Diff = LineDiff(older, text)
	}
	return e
}
