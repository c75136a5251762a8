package standin

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"

	"merlinhall/wire"
)

// TrainerSample is a sample that the trainer received.
type TrainerSample struct {
	Step           uint64 `json:"step"`
	Group          int    `json:"group"`
	Index          int    `json:"index"`
	Draw           string `json:"draw"`
	Oldest         uint64 `json:"oldest"`          // weight version
	Newest         uint64 `json:"newest"`          // weight version
	TrainerVersion uint64 `json:"trainer_version"` // version of the trainer at receipt
	Tokens         int    `json:"tokens"`
	Prompt         string `json:"prompt"`
	// Versions are the weight versions that merlinhall reported for the tokens.
	Versions []wire.VersionRange `json:"versions"`
	Text     []string            `json:"text"`
}

// TrainerReport summarizes what a trainer observed.
type TrainerReport struct {
	Name            string          `json:"name"`
	Version         uint64          `json:"version"`
	Steps           int             `json:"steps"` // finished training steps
	Draws           int             `json:"draws"` // draws that returned groups
	Resent          int             `json:"resent_draws"`
	Samples         int             `json:"samples"`
	IdleSeconds     float64         `json:"idle_seconds"`
	TotalSeconds    float64         `json:"total_seconds"`
	IdleRatio       float64         `json:"idle_ratio"`
	StalenessMean   float64         `json:"staleness_mean"`
	StalenessP99    uint64          `json:"staleness_p99"`
	StalenessMax    uint64          `json:"staleness_max"`
	Violations      []string        `json:"violations"`
	ReceivedSamples []TrainerSample `json:"received"`
}

// compareResent records a violation if a resent draw returned different samples.
func (t *Trainer) compareResent(first, second *drawResponse) {
	a, _ := json.Marshal(first.Groups)
	b, _ := json.Marshal(second.Groups)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.state.Resent++
	if !bytes.Equal(a, b) {
		t.addViolation("draw %s returned other samples when it was sent again", t.state.DrawID)
	}
}

func (t *Trainer) addViolation(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	t.o.Logf("violation: %s", text)
	t.state.Violations = append(t.state.Violations, text)
}

// accept checks the samples of a draw and records them in the state.
func (t *Trainer) accept(d *drawResponse) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.state.Draws++
	t.state.Accepted = true
	t.state.GroupsReceived += len(d.Groups)
	for _, g := range d.Groups {
		if len(g.Samples) != t.o.GroupSize {
			t.addViolation("group %d of step %d has %d samples, not %d", g.Group, g.Step, len(g.Samples), t.o.GroupSize)
		}
		for _, s := range g.Samples {
			record := TrainerSample{Step: s.Step, Group: s.Group, Index: s.Index, Draw: d.DrawID, TrainerVersion: t.state.Version, Tokens: len(s.Tokens), Prompt: t.prompt(s.Step, s.Group), Versions: s.Versions, Text: s.Tokens}
			next := 0
			for i, r := range s.Versions {
				if r.From != next || r.To <= r.From {
					t.addViolation("sample %d/%d/%d has version ranges with a gap", s.Step, s.Group, s.Index)
				}
				next = r.To
				if i == 0 || r.Version < record.Oldest {
					record.Oldest = r.Version
				}
				record.Newest = max(record.Newest, r.Version)
			}
			if next != len(s.Tokens) {
				t.addViolation("sample %d/%d/%d has versions for %d of %d tokens", s.Step, s.Group, s.Index, next, len(s.Tokens))
			}
			t.recordSample(s.Trainer, record)
		}
	}
}

func (t *Trainer) recordSample(trainer string, s TrainerSample) {
	id := [3]uint64{s.Step, uint64(s.Group), uint64(s.Index)}
	if trainer != t.o.Name {
		t.addViolation("sample %v belongs to trainer %s", id, trainer)
	}
	if draw, ok := t.drawBySample[id]; ok {
		// A trainer that stopped between recording and acknowledging a draw receives
		// the same draw again; any other duplicate is a violation.
		if draw != s.Draw {
			t.addViolation("sample %v came in draw %s and again in draw %s", id, draw, s.Draw)
		}
		return
	}
	if s.Oldest+t.o.StalenessBound < s.TrainerVersion {
		t.addViolation("sample %v is from version %d, the trainer is at %d", id, s.Oldest, s.TrainerVersion)
	}
	t.drawBySample[id] = s.Draw
	t.state.Received = append(t.state.Received, s)
}

// Report returns the trainer's observations so far.
func (t *Trainer) Report() TrainerReport {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.state
	r := TrainerReport{
		Name:            t.o.Name,
		Version:         s.Version,
		Steps:           s.Steps,
		Draws:           s.Draws,
		Resent:          s.Resent,
		Samples:         len(s.Received),
		IdleSeconds:     s.Idle.Seconds(),
		TotalSeconds:    s.Total.Seconds(),
		Violations:      slices.Clone(s.Violations),
		ReceivedSamples: slices.Clone(s.Received),
	}
	if s.Total > 0 {
		r.IdleRatio = s.Idle.Seconds() / s.Total.Seconds()
	}
	r.StalenessMean, r.StalenessP99, r.StalenessMax = staleness(s.Received)
	return r
}

func staleness(samples []TrainerSample) (mean float64, p99, worst uint64) {
	if len(samples) == 0 {
		return 0, 0, 0
	}
	ages := make([]uint64, len(samples))
	sum := uint64(0)
	for i, s := range samples {
		if s.TrainerVersion > s.Oldest {
			ages[i] = s.TrainerVersion - s.Oldest
		}
		sum += ages[i]
	}
	slices.Sort(ages)
	return float64(sum) / float64(len(ages)), ages[(len(ages)-1)*99/100], ages[len(ages)-1]
}

// ServeHTTP returns the report as JSON.
func (t *Trainer) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(t.Report())
}
