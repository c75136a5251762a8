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

// defaultHistory and maxHistory are the numbers of revisions in one answer. Each
// shows its difference, which costs a few milliseconds at full size.
const (
	defaultHistory = 20
	maxHistory     = 100
)

// configAnswer is the JSON of a configuration request.
type configAnswer struct {
	Outcome   string `json:"outcome"` // "accepted" or "conflict"
	RequestID string `json:"request_id"`
	Version   uint64 `json:"version,omitempty"`
	Digest    string `json:"digest,omitempty"`
	// The rest is set in a conflict.
	Base    uint64    `json:"base,omitempty"`
	Winner  *Revision `json:"winner,omitempty"`
	Current *Revision `json:"current,omitempty"`
	// WinnerDiff leads from the base to the current text, Diff from the current
	// text to the one of the request.
	WinnerDiff []string `json:"winner_diff,omitempty"`
	Diff       []string `json:"diff,omitempty"`
}

func (a *admin) postConfig(r *http.Request) (answer, error) {
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

// postRollback makes the text of an old version a new version.
func (a *admin) postRollback(r *http.Request) (answer, error) {
	base, okBase := numberParam(r, "base")
	version, okVersion := numberParam(r, "version")
	if !okBase || !okVersion {
		return badRequest("the parameters base, the current version, and version, the one to go back to, are needed")
	}
	if _, err := a.c.Confirm(r.Context()); err != nil {
		return answer{}, err
	}
	state := a.c.o.Machine.configState()
	text, ok := state.text(version)
	if !ok {
		return notFound("version %d is not in the history", version)
	}
	return a.applyConfig(r, base, text)
}

func (a *admin) applyConfig(r *http.Request, base uint64, text []byte) (answer, error) {
	id, name := r.URL.Query().Get("request_id"), author(r)
	if len(id) > maxIDBytes || len(name) > maxIDBytes {
		return badRequest("request_id and author are bounded to %d bytes", maxIDBytes)
	}
	if problems := checkText(text); len(problems) > 0 {
		return answer{http.StatusUnprocessableEntity, failure{Outcome: "invalid", Errors: problems, RequestID: id}}, nil
	}
	outcome, err := a.c.ApplyConfig(r.Context(), base, text, name, id)
	if err != nil {
		return proposalFailed(err, id)
	}
	return a.configAnswer(outcome, id, text), nil
}

// checkText returns everything that is wrong with a configuration text.
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

// ApplyConfig commits a configuration text, on the leader.
func (c *Control) ApplyConfig(ctx context.Context, base uint64, text []byte, author, requestID string) (*ConfigOutcome, error) {
	state := c.o.Machine.configState()
	body, err := wire.Marshal(newApplyConfig(&state, base, text, author))
	if err != nil {
		return nil, err
	}
	result, err := c.Propose(ctx, "config", requestID, body)
	return resultAs[*ConfigOutcome](result, err)
}

// configAnswer renders an outcome. text is the request's text, nil when the
// outcome is asked for later.
func (a *admin) configAnswer(o *ConfigOutcome, id string, text []byte) answer {
	if o.Invalid != "" {
		return answer{http.StatusUnprocessableEntity, failure{Outcome: "invalid", Errors: []string{o.Invalid}, RequestID: id}}
	}
	if o.Accepted {
		out := configAnswer{Outcome: "accepted", RequestID: id, Version: o.Version}
		if text != nil {
			out.Digest = config.Digest(text)
		}
		return answer{http.StatusOK, out}
	}
	out := configAnswer{Outcome: "conflict", RequestID: id, Base: o.Base, Winner: &o.Winner, Current: &o.Current}
	state := a.c.o.Machine.configState()
	current, ok := state.text(o.Current.Version)
	if !ok {
		return answer{http.StatusConflict, out}
	}
	if old, ok := state.text(o.Base); ok || o.Base == 0 {
		out.WinnerDiff = LineDiff(old, current)
	}
	if text != nil {
		out.Diff = LineDiff(current, text)
	}
	return answer{http.StatusConflict, out}
}

// configState returns a copy of the configuration and its history.
func (m *Machine) configState() configState {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.config.copyState()
}

// getConfig answers the current configuration or a version of the history.
func (a *admin) getConfig(r *http.Request) (answer, error) {
	if _, err := a.c.Confirm(r.Context()); err != nil {
		return answer{}, err
	}
	state := a.c.o.Machine.configState()
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
	return answer{http.StatusOK, struct {
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

// historyEntry is one revision with its difference to the one before.
type historyEntry struct {
	Revision
	Diff []string `json:"diff,omitempty"`
}

// getHistory answers the newest revisions, newest first. The parameter before
// continues below a version.
func (a *admin) getHistory(r *http.Request) (answer, error) {
	if _, err := a.c.Confirm(r.Context()); err != nil {
		return answer{}, err
	}
	limit := uint64(defaultHistory)
	if n, ok := numberParam(r, "limit"); ok {
		limit = min(max(n, 1), maxHistory)
	}
	before, ok := numberParam(r, "before")
	if !ok {
		before = ^uint64(0)
	}
	state := a.c.o.Machine.configState()
	return answer{http.StatusOK, struct {
		Revisions []historyEntry `json:"revisions"`
		Dropped   uint64         `json:"dropped,omitempty"` // highest version no longer kept
	}{state.entries(before, int(limit)), state.Dropped}}, nil
}

// entries walks back from the current text, one patch for each revision.
func (s *configState) entries(before uint64, limit int) []historyEntry {
	out := []historyEntry{}
	text := s.Text
	for i := len(s.Records) - 1; i >= 0 && len(out) < limit; i-- {
		var older []byte
		if i > 0 {
			var err error
			if older, err = propagate.ApplyPatch(text, s.Records[i-1].Back, MaxConfigBytes); err != nil {
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

// entry describes record i. The oldest record has no difference, because there is
// no text to compare it with.
func (s *configState) entry(i int, older, text []byte) historyEntry {
	e := historyEntry{Revision: s.Records[i].Revision}
	if i > 0 {
		e.Diff = LineDiff(older, text)
	}
	return e
}
