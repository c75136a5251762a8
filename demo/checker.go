package demo

import (
	"fmt"
	"path/filepath"
	"strings"

	"github.com/rotisserie/eris"

	"merlinhall/standin"
)

// Report is the result of checking a demo run. All counts come from the records of
// callers, trainers, targets, Watch and run.sh.
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
	// RequestsDone, RequestsNotRun and RequestsUnknown count the outcomes reported to
	// callers.
	RequestsDone    int `json:"requests_done"`
	RequestsNotRun  int `json:"requests_not_run"`
	RequestsUnknown int `json:"requests_unknown"`
	WeightVersions  int `json:"weight_versions_published"`
	// WorkAfterDrain counts requests that reached a drained target more than
	// drainLimitMs after the drain.
	WorkAfterDrain int `json:"work_after_drain"`
	// TrainerViolations counts what trainers themselves reported, IdleTrainers the trainers
	// that received no sample.
	TrainerViolations int `json:"trainer_violations"`
	IdleTrainers      int `json:"trainers_without_samples"`
	// RanWithoutKey counts requests that ran although their caller sent no key,
	// RanForOtherAccount those that ran for another account than their caller's, and
	// KeysPassedOn the requests with which a target got a key.
	RanWithoutKey      int `json:"ran_without_key"`
	RanForOtherAccount int `json:"ran_for_other_account"`
	KeysPassedOn       int `json:"keys_passed_on"`
}

// drainLimitMs is the time after which a draining target must receive no new requests.
const drainLimitMs = 3000

// inForceLimitS is the time limit for a configuration to be in force in every process.
const inForceLimitS = 5

// Passed reports whether no guarantee was violated and the run had enough traffic to
// be meaningful.
func (r Report) Passed() bool {
	violationCount := r.RequestsLost + r.RequestsDoubled + r.RequestsWrongAnswer + r.NotRunButRan +
		r.WorkAfterDrain + r.SamplesDoubled + r.SamplesLost + r.SamplesOverBound + r.SamplesWrongVersion + r.ConfigReverts + r.TrainerViolations + r.IdleTrainers +
		r.RanWithoutKey + r.RanForOtherAccount + r.KeysPassedOn
	return violationCount == 0 && r.ConfigInForceMaxS <= inForceLimitS && r.RequestsDone > 0 && r.SamplesDelivered > 0 && r.WeightVersions >= 3
}

// checker builds a report and a list of violations.
type checker struct {
	dir        string
	report     Report
	violations []string
	// runs counts the executions at plain services by call id.
	runs map[string]int
	// generated holds the tokens that engines sent, by prompt and seed. A sample that
	// moved to another engine keeps its seed.
	generated map[string]map[int64]map[generatedToken]bool
}

// generatedToken identifies a token that an engine sent.
type generatedToken struct {
	index   int
	version uint64
}

// Check reads the records of a run in dir. It returns the report and a line of text
// for each violation.
func Check(dir string) (Report, []string, error) {
	c := &checker{dir: dir, runs: make(map[string]int), generated: make(map[string]map[int64]map[generatedToken]bool)}
	for _, t := range targets() {
		if err := c.readJournal(t.name); err != nil {
			return Report{}, nil, err
		}
	}
	if err := c.checkDrain(); err != nil {
		return Report{}, nil, err
	}
	if err := c.checkCallers(); err != nil {
		return Report{}, nil, err
	}
	if err := c.checkTrainers(); err != nil {
		return Report{}, nil, err
	}
	if err := c.checkConfiguration(); err != nil {
		return Report{}, nil, err
	}
	return c.report, c.violations, nil
}

func (c *checker) addViolation(format string, args ...any) {
	c.violations = append(c.violations, fmt.Sprintf(format, args...))
}

func (c *checker) recordPath(name string) string {
	return filepath.Join(c.dir, "record", name+".jsonl")
}

func (c *checker) readJournal(name string) error {
	lines, err := standin.ReadLines[standin.JournalLine](c.recordPath(name))
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
			c.checkAccount(l)
		case standin.JournalRun:
			c.runs[begun[k].CallID]++
		case standin.JournalToken:
			c.addGenerated(begun[k], generatedToken{l.Index, l.Version})
		}
	}
	return nil
}

// checkAccount compares the account of a request at a plain service with its caller, whose
// name begins the call id.
func (c *checker) checkAccount(l standin.JournalLine) {
	if l.KeySeen {
		c.report.KeysPassedOn++
		c.addViolation("request %s came with the caller's key", l.CallID)
	}
	for _, name := range callers {
		if strings.HasPrefix(l.CallID, name+"-") && l.Account != name {
			c.report.RanForOtherAccount++
			c.addViolation("request %s ran for account %q", l.CallID, l.Account)
		}
	}
}

// DrainRecord is one line of drained.jsonl: a target and the time at which its drain
// was confirmed to the operator.
type DrainRecord struct {
	At     int64  `json:"at"` // Unix time in milliseconds
	Target string `json:"target"`
}

func (c *checker) checkDrain() error {
	drains, err := standin.ReadLines[DrainRecord](c.recordPath("drained"))
	if err != nil {
		return err
	}
	for _, d := range drains {
		lines, err := standin.ReadLines[standin.JournalLine](c.recordPath(d.Target))
		if err != nil {
			return err
		}
		for _, l := range lines {
			if l.Event == standin.JournalBegin && l.At > d.At+drainLimitMs {
				c.report.WorkAfterDrain++
				c.addViolation("target %s received a request %d ms after it was drained", d.Target, l.At-d.At)
			}
		}
	}
	return nil
}

func (c *checker) addGenerated(request standin.JournalLine, token generatedToken) {
	bySeed := c.generated[request.Prompt]
	if bySeed == nil {
		bySeed = make(map[int64]map[generatedToken]bool)
		c.generated[request.Prompt] = bySeed
	}
	if bySeed[request.Seed] == nil {
		bySeed[request.Seed] = make(map[generatedToken]bool)
	}
	bySeed[request.Seed][token] = true
}

func (c *checker) checkCallers() error {
	files, err := filepath.Glob(c.recordPath("caller-*"))
	if err != nil {
		return err
	}
	for _, file := range files {
		records, err := standin.ReadLines[standin.CallRecord](file)
		if err != nil {
			return err
		}
		for _, r := range records {
			c.checkCall(r)
		}
	}
	return nil
}

func (c *checker) checkCall(r standin.CallRecord) {
	runs := c.runs[r.ID]
	c.report.Requests++
	switch r.Outcome {
	case standin.OutcomeDone:
		c.report.RequestsDone++
	case standin.OutcomeNotRun:
		c.report.RequestsNotRun++
	case standin.OutcomeUnknown:
		c.report.RequestsUnknown++
	default:
		c.report.RequestsLost++
		c.addViolation("request %s of kind %s was lost: %s", r.ID, r.Kind, r.Detail)
	}
	plain := r.Kind != standin.CallCompletion
	if r.Outcome == standin.OutcomeDone && (!r.Correct || plain && runs == 0) {
		c.report.RequestsWrongAnswer++
		c.addViolation("request %s of kind %s got a wrong answer: %s", r.ID, r.Kind, r.Detail)
	}
	if r.Outcome == standin.OutcomeNotRun && runs > 0 {
		c.report.NotRunButRan++
		c.addViolation("request %s was refused as not run, but ran", r.ID)
	}
	if r.Kind == standin.CallNoKey && runs > 0 {
		c.report.RanWithoutKey++
		c.addViolation("request %s ran without a key", r.ID)
	}
	if r.Kind == standin.CallCheck && runs > 1 {
		c.report.RequestsDoubled++
		c.addViolation("request %s ran %d times", r.ID, runs)
	}
}

func (c *checker) checkTrainers() error {
	var idle, total float64
	var staleness, samples uint64
	for _, t := range trainers {
		reports, err := standin.ReadLines[standin.TrainerReport](c.recordPath("trainer-" + t.name))
		if err != nil {
			return eris.Wrapf(err, "report of trainer %s", t.name)
		}
		if len(reports) == 0 {
			return eris.Errorf("trainer %s has written no report", t.name)
		}
		r := reports[len(reports)-1]
		idle += r.IdleSeconds
		total += r.TotalSeconds
		c.report.WeightVersions += r.Steps
		for _, s := range r.ReceivedSamples {
			staleness += s.TrainerVersion - min(s.Oldest, s.TrainerVersion)
			samples++
		}
		c.checkSamples(r)
	}
	if samples > 0 {
		c.report.StalenessMean = float64(staleness) / float64(samples)
	}
	if total > 0 {
		c.report.TrainerIdleRatio = idle / total
	}
	return nil
}

func (c *checker) checkSamples(r standin.TrainerReport) {
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
			c.report.SamplesDoubled++
			c.addViolation("trainer %s received sample %v twice", r.Name, k)
		}
		seen[k] = true
		perStep[s.Step]++
		lastStep = max(lastStep, s.Step)
		c.report.SamplesDelivered++
		age := s.TrainerVersion - min(s.Oldest, s.TrainerVersion)
		c.report.StalenessMax = max(c.report.StalenessMax, age)
		if age > stalenessBound {
			c.report.SamplesOverBound++
			c.addViolation("trainer %s at version %d received sample %v of version %d", r.Name, s.TrainerVersion, k, s.Oldest)
		}
		c.checkVersions(r.Name, s)
	}
	for step, n := range perStep {
		if step < lastStep && n != samplesPerStep {
			c.report.SamplesLost += samplesPerStep - n
			c.addViolation("trainer %s received %d of %d samples of step %d", r.Name, n, samplesPerStep, step)
		}
	}
	if len(r.ReceivedSamples) == 0 {
		c.report.IdleTrainers++
		c.addViolation("trainer %s received no samples", r.Name)
	}
	for _, v := range r.Violations {
		c.report.TrainerViolations++
		c.addViolation("trainer %s: %s", r.Name, v)
	}
}

// checkVersions checks that the tokens of a sample belong to its prompt, and that there is
// a seed with which engines sent every token under the weight version that the sample
// reports for it.
func (c *checker) checkVersions(trainer string, s standin.TrainerSample) {
	for i, token := range s.Text {
		if token != standin.Token(s.Prompt, i) {
			c.report.SamplesWrongVersion++
			c.addViolation("trainer %s: token %d of sample %d/%d/%d does not belong to its prompt", trainer, i, s.Step, s.Group, s.Index)
			return
		}
	}
	for _, sent := range c.generated[s.Prompt] {
		if coversSample(sent, s) {
			return
		}
	}
	c.report.SamplesWrongVersion++
	c.addViolation("trainer %s: no engine sent sample %d/%d/%d under the versions %v", trainer, s.Step, s.Group, s.Index, s.Versions)
}

// coversSample reports whether sent contains every token of the version ranges of s.
func coversSample(sent map[generatedToken]bool, s standin.TrainerSample) bool {
	for _, r := range s.Versions {
		for i := r.From; i < r.To; i++ {
			if !sent[generatedToken{i, r.Version}] {
				return false
			}
		}
	}
	return true
}

func (c *checker) checkConfiguration() error {
	observations, err := standin.ReadLines[Observation](c.recordPath("sightings"))
	if err != nil {
		return err
	}
	accepted, err := standin.ReadLines[AcceptRecord](c.recordPath("accepted"))
	if err != nil {
		return err
	}
	reverts, inForceMs := summarizeObservations(observations, accepted)
	c.report.ConfigReverts = reverts
	c.report.ConfigInForceMaxS = float64(inForceMs) / 1000
	return nil
}
