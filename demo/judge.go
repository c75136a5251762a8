package demo

import (
	"fmt"
	"path/filepath"

	"github.com/rotisserie/eris"

	"merlinhall/standin"
)

// Report is the judgement of a run. All counts come from what callers, trainers
// and targets saw.
type Report struct {
	Requests            int     `json:"requests"`
	RequestsLost        int     `json:"requests_lost"`
	RequestsDoubled     int     `json:"requests_doubled"`
	RequestsWrongAnswer int     `json:"requests_wrong_answer"`
	NotRunButRan        int     `json:"not_run_but_ran"`
	SamplesDelivered    int     `json:"samples_delivered"`
	SamplesDoubled      int     `json:"samples_doubled"`
	SamplesLost         int     `json:"samples_lost"`
	SamplesOverBound    int     `json:"samples_over_bound"`
	SamplesWrongVersion int     `json:"samples_wrong_version"`
	ConfigReverts       int     `json:"config_reverts"`
	ConfigInForceMaxS   float64 `json:"config_in_force_max_s"`
	TrainerIdleRatio    float64 `json:"trainer_idle_ratio"`
	StalenessMean       float64 `json:"staleness_mean_versions"`
	StalenessMax        uint64  `json:"staleness_max_versions"`
	// RequestsDone, NotRun and Unknown say what the callers were told.
	RequestsDone    int `json:"requests_done"`
	RequestsNotRun  int `json:"requests_not_run"`
	RequestsUnknown int `json:"requests_unknown"`
	WeightVersions  int `json:"weight_versions_published"`
	// WorkAfterDrain counts requests that reached the drained target later than
	// the time that a leaving target may still receive work.
	WorkAfterDrain int `json:"work_after_drain"`
}

// drainLimitMs is the time after which a leaving target receives no new work.
const drainLimitMs = 3000

// inForceLimitS is the time within which a configuration must be in force.
const inForceLimitS = 5

// Kept reports whether every promise was kept and the run did something.
func (r Report) Kept() bool {
	broken := r.RequestsLost + r.RequestsDoubled + r.RequestsWrongAnswer + r.NotRunButRan +
		r.WorkAfterDrain + r.SamplesDoubled + r.SamplesLost + r.SamplesOverBound + r.SamplesWrongVersion + r.ConfigReverts
	return broken == 0 && r.ConfigInForceMaxS <= inForceLimitS && r.RequestsDone > 0 && r.SamplesDelivered > 0 && r.WeightVersions >= 3
}

// judge collects a report and lines that name each broken promise.
type judge struct {
	dir     string
	report  Report
	details []string
	// runs counts the runs of each call id at plain services.
	runs map[string]int
	// generated holds what engines sent, by prompt and seed. A sample that moved
	// to another engine keeps its seed.
	generated map[string]map[int64]map[generatedToken]bool
}

// generatedToken is one token that an engine sent.
type generatedToken struct {
	index   int
	version uint64
}

// Judge reads the records of a run.
func Judge(dir string) (Report, []string, error) {
	j := &judge{dir: dir, runs: make(map[string]int), generated: make(map[string]map[int64]map[generatedToken]bool)}
	for _, t := range targets() {
		if err := j.readTarget(t.name); err != nil {
			return Report{}, nil, err
		}
	}
	if err := j.judgeDrain(); err != nil {
		return Report{}, nil, err
	}
	if err := j.judgeCallers(); err != nil {
		return Report{}, nil, err
	}
	if err := j.judgeTrainers(); err != nil {
		return Report{}, nil, err
	}
	if err := j.judgeConfiguration(); err != nil {
		return Report{}, nil, err
	}
	return j.report, j.details, nil
}

func (j *judge) note(format string, args ...any) {
	j.details = append(j.details, fmt.Sprintf(format, args...))
}

func (j *judge) record(name string) string {
	return filepath.Join(j.dir, "record", name+".jsonl")
}

func (j *judge) readTarget(name string) error {
	lines, err := standin.ReadLines[standin.JournalLine](j.record(name))
	if err != nil {
		return err
	}
	type key struct {
		boot    int64
		request uint64
	}
	begun := make(map[key]standin.JournalLine)
	for _, l := range lines {
		k := key{l.Boot, l.Request}
		switch l.Event {
		case standin.JournalBegin:
			begun[k] = l
		case standin.JournalRun:
			j.runs[begun[k].CallID]++
		case standin.JournalToken:
			j.sent(begun[k], generatedToken{l.Index, l.Version})
		}
	}
	return nil
}

// Drained is the time at which the operator was told that a target is leaving.
type Drained struct {
	At     int64  `json:"at"` // Unix time in milliseconds
	Target string `json:"target"`
}

func (j *judge) judgeDrain() error {
	drains, err := standin.ReadLines[Drained](j.record("drained"))
	if err != nil {
		return err
	}
	for _, d := range drains {
		lines, err := standin.ReadLines[standin.JournalLine](j.record(d.Target))
		if err != nil {
			return err
		}
		for _, l := range lines {
			if l.Event == standin.JournalBegin && l.At > d.At+drainLimitMs {
				j.report.WorkAfterDrain++
				j.note("target %s received a request %d ms after it was drained", d.Target, l.At-d.At)
			}
		}
	}
	return nil
}

func (j *judge) sent(request standin.JournalLine, token generatedToken) {
	bySeed := j.generated[request.Prompt]
	if bySeed == nil {
		bySeed = make(map[int64]map[generatedToken]bool)
		j.generated[request.Prompt] = bySeed
	}
	if bySeed[request.Seed] == nil {
		bySeed[request.Seed] = make(map[generatedToken]bool)
	}
	bySeed[request.Seed][token] = true
}

func (j *judge) judgeCallers() error {
	files, err := filepath.Glob(j.record("caller-*"))
	if err != nil {
		return err
	}
	for _, file := range files {
		records, err := standin.ReadLines[standin.CallRecord](file)
		if err != nil {
			return err
		}
		for _, r := range records {
			j.judgeCall(r)
		}
	}
	return nil
}

func (j *judge) judgeCall(r standin.CallRecord) {
	runs := j.runs[r.ID]
	j.report.Requests++
	switch r.Outcome {
	case standin.OutcomeDone:
		j.report.RequestsDone++
	case standin.OutcomeNotRun:
		j.report.RequestsNotRun++
	case standin.OutcomeUnknown:
		j.report.RequestsUnknown++
	default:
		j.report.RequestsLost++
		j.note("request %s of kind %s was lost: %s", r.ID, r.Kind, r.Detail)
	}
	plain := r.Kind != standin.CallCompletion
	if r.Outcome == standin.OutcomeDone && (!r.Correct || plain && runs == 0) {
		j.report.RequestsWrongAnswer++
		j.note("request %s of kind %s got a wrong answer: %s", r.ID, r.Kind, r.Detail)
	}
	if r.Outcome == standin.OutcomeNotRun && runs > 0 {
		j.report.NotRunButRan++
		j.note("request %s was refused as not run, but ran", r.ID)
	}
	if r.Kind == standin.CallCheck && runs > 1 {
		j.report.RequestsDoubled++
		j.note("request %s ran %d times", r.ID, runs)
	}
}

func (j *judge) judgeTrainers() error {
	var idle, total float64
	var staleness, samples uint64
	for _, t := range trainers {
		reports, err := standin.ReadLines[standin.TrainerReport](j.record("trainer-" + t.name))
		if err != nil || len(reports) == 0 {
			return eris.Wrapf(err, "report of trainer %s", t.name)
		}
		r := reports[len(reports)-1]
		idle += r.IdleSeconds
		total += r.TotalSeconds
		j.report.WeightVersions += r.Steps
		for _, s := range r.ReceivedSamples {
			staleness += s.TrainerVersion - min(s.Oldest, s.TrainerVersion)
			samples++
		}
		j.judgeSamples(r)
	}
	if samples > 0 {
		j.report.StalenessMean = float64(staleness) / float64(samples)
	}
	if total > 0 {
		j.report.TrainerIdleRatio = idle / total
	}
	return nil
}

func (j *judge) judgeSamples(r standin.TrainerReport) {
	type id struct {
		step         uint64
		group, index int
	}
	seen := make(map[id]bool)
	lastStep := uint64(0)
	perStep := make(map[uint64]int)
	for _, s := range r.ReceivedSamples {
		k := id{s.Step, s.Group, s.Index}
		if seen[k] {
			j.report.SamplesDoubled++
			j.note("trainer %s received sample %v twice", r.Name, k)
		}
		seen[k] = true
		perStep[s.Step]++
		lastStep = max(lastStep, s.Step)
		j.report.SamplesDelivered++
		age := s.TrainerVersion - min(s.Oldest, s.TrainerVersion)
		j.report.StalenessMax = max(j.report.StalenessMax, age)
		if age > stalenessBound {
			j.report.SamplesOverBound++
			j.note("trainer %s at version %d received sample %v of version %d", r.Name, s.TrainerVersion, k, s.Oldest)
		}
		j.judgeVersions(r.Name, s)
	}
	for step, n := range perStep {
		if step < lastStep && n != samplesPerStep {
			j.report.SamplesLost += samplesPerStep - n
			j.note("trainer %s received %d of %d samples of step %d", r.Name, n, samplesPerStep, step)
		}
	}
	for _, v := range r.Violations {
		j.note("trainer %s: %s", r.Name, v)
	}
}

// judgeVersions checks the tokens of a sample, and that for one seed of its prompt
// engines sent every token under the version that the sample names.
func (j *judge) judgeVersions(trainer string, s standin.TrainerSample) {
	for i, token := range s.Text {
		if token != standin.Token(s.Prompt, i) {
			j.report.SamplesWrongVersion++
			j.note("trainer %s: token %d of sample %d/%d/%d does not belong to its prompt", trainer, i, s.Step, s.Group, s.Index)
			return
		}
	}
	for _, sent := range j.generated[s.Prompt] {
		if explains(sent, s) {
			return
		}
	}
	j.report.SamplesWrongVersion++
	j.note("trainer %s: no engine sent sample %d/%d/%d under the versions %v", trainer, s.Step, s.Group, s.Index, s.Versions)
}

func explains(sent map[generatedToken]bool, s standin.TrainerSample) bool {
	for _, r := range s.Versions {
		for i := r.From; i < r.To; i++ {
			if !sent[generatedToken{i, r.Version}] {
				return false
			}
		}
	}
	return true
}

func (j *judge) judgeConfiguration() error {
	sightings, err := standin.ReadLines[Sighting](j.record("sightings"))
	if err != nil {
		return err
	}
	accepted, err := standin.ReadLines[Accepted](j.record("accepted"))
	if err != nil {
		return err
	}
	reverts, inForceMs := judgeConfig(sightings, accepted)
	j.report.ConfigReverts = reverts
	j.report.ConfigInForceMaxS = float64(inForceMs) / 1000
	return nil
}
