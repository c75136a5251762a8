package batch

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"merlinhall/locality"
)

var (
	// ErrNotLeading is the error of questions to a process that does not lead.
	ErrNotLeading = eris.New("batch: this process is not the control leader")
	// ErrUnknownItem is the error of questions about an item that has no open result.
	ErrUnknownItem = eris.New("batch: no open submission has the item")
)

// EngineCandidate is an engine as ExplainItem sees it.
type EngineCandidate struct {
	Engine   string            `json:"engine"`
	Zone     string            `json:"zone"`
	Software string            `json:"software"`
	Slots    int               `json:"slots"`
	Running  int               `json:"running"`
	Free     int               `json:"free"`
	Versions map[string]uint64 `json:"versions"`
	// VersionsAgeMs is the time since the engine itself reported its versions, -1 if it has not.
	VersionsAgeMs int64  `json:"versions_age_ms"`
	Reason        string `json:"reason,omitempty"` // why the item does not go there; empty if it may
}

// ItemExplanation says where an item would run now if it were its turn.
type ItemExplanation struct {
	Process    string            `json:"process"`
	Term       uint64            `json:"term"`
	Submission string            `json:"submission"`
	Item       string            `json:"item"`
	Model      string            `json:"model"`
	State      string            `json:"state"`
	RunsOn     string            `json:"runs_on,omitempty"` // engine of its run
	Position   int               `json:"position"`          // in the queue, from 0; -1 if it is not queued
	FreeSlots  int               `json:"free_slots"`        // of all engines
	Engine     string            `json:"engine,omitempty"`  // empty if it would wait
	Why        string            `json:"why"`
	Carrier    string            `json:"carrier,omitempty"`
	Zone       string            `json:"carrier_zone,omitempty"`
	Leave      float64           `json:"leave"` // share of the runs on the engine's zone that other zones read
	To         []locality.Share  `json:"to,omitempty"`
	Candidates []EngineCandidate `json:"candidates"`
	// TargetsAgeMs and PlanAgeMs are the ages of the list of targets and of the shares, -1 without.
	TargetsAgeMs int64 `json:"targets_age_ms"`
	PlanAgeMs    int64 `json:"plan_age_ms"`
}

// explainMessage asks where an item would run.
type explainMessage struct {
	submission, item string
	answer           chan explainAnswer
}

type explainAnswer struct {
	explanation *ItemExplanation
	err         error
}

// ExplainItem returns where an item would run now if it were its turn. It changes nothing.
func (r *Runner) ExplainItem(ctx context.Context, submission, item string) (*ItemExplanation, error) {
	m := explainMessage{submission, item, make(chan explainAnswer, 1)}
	if err := r.actor.Offer(m); err != nil {
		return nil, err
	}
	select {
	case a := <-m.answer:
		return a.explanation, a.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (r *Runner) explainItem(now time.Time, submission, item string) (*ItemExplanation, error) {
	if !r.leading {
		return nil, ErrNotLeading
	}
	j := r.job(submission)
	if j == nil || j.tasks[item] == nil {
		return nil, eris.Wrapf(ErrUnknownItem, "item %q of submission %q", item, submission)
	}
	t := j.tasks[item]
	out := &ItemExplanation{
		Process: r.o.Process, Term: r.term, Submission: submission, Item: item, Model: j.sub.Model, State: t.state.String(),
		Position: slices.Index(r.queue.tasks, t), TargetsAgeMs: r.o.Directory.Age(now).Milliseconds(), PlanAgeMs: -1,
	}
	if t.run != nil {
		out.RunsOn = t.run.engine
	}
	for _, e := range r.engines {
		c := EngineCandidate{
			Engine: e.id, Zone: e.zone, Software: e.software.String(), Slots: e.slots, Running: e.running, Free: e.freeSlots(now),
			Versions: maps.Clone(e.versions), VersionsAgeMs: -1, Reason: e.reasonAgainst(now, t),
		}
		if !e.versionsReportedAt.IsZero() {
			c.VersionsAgeMs = now.Sub(e.versionsReportedAt).Milliseconds()
		}
		out.FreeSlots += c.Free
		out.Candidates = append(out.Candidates, c)
	}
	p := newPlanner(now, r.engines, &r.queue.lengths)
	e, why := p.choose(t, p.able(t, (*engine).canServe))
	if out.Why = why; e == nil {
		out.Why = "no engine with a free slot can serve it"
		return out, nil
	}
	out.Engine = e.id
	before := r.zonePlan // carrierFor may compute the shares anew, and would log them
	defer func() { r.zonePlan = before }()
	r.zonePlan.loggedAt = now
	if c := r.carrierFor(now, e.zone, startSize(t, true)); c != nil {
		out.Carrier, out.Zone = c.process, c.zone
	}
	if row, ok := r.zonePlan.rows[e.zone]; ok {
		out.Leave, out.To, out.PlanAgeMs = row.Leave, row.To, now.Sub(r.zonePlan.at).Milliseconds()
	}
	return out, nil
}

// reasonAgainst returns why a task would not start on the engine now, or "" if it may.
func (e *engine) reasonAgainst(now time.Time, t *task) string {
	switch {
	case e.draining:
		return "draining"
	case !e.servesRoute(t):
		return "route"
	case !e.continues(&t.text):
		return "software"
	case !e.weightsFit(t, &t.text):
		return "weights"
	case !e.canServe(t):
		return "weights are being loaded"
	case now.Before(e.pausedUntil):
		return "suspect"
	case e.unusedSlots() <= 0:
		return "capacity"
	case e.freeSlots(now) <= 0:
		return "limit"
	}
	return ""
}
