package experiment

import (
	"encoding/json"
	"fmt"
	"io"
	"math"
	"runtime"
	"slices"
	"sync"
	"time"

	"merlinhall/rollout"
)

// ReportOptions describe the experiment of RunRolloutReport.
type ReportOptions struct {
	Seeds    int
	Duration time.Duration // virtual
	JSON     bool
}

// DefaultReportOptions returns the options of merlinhall bench rollout.
func DefaultReportOptions() ReportOptions { return ReportOptions{Seeds: 10, Duration: time.Hour} }

// Interval is a mean over seeds with the half-width of its 95% confidence interval.
type Interval struct {
	Mean      float64 `json:"mean"`
	HalfWidth float64 `json:"half"`
}

// RolloutRow holds the results of one variant in one deployment.
type RolloutRow struct {
	Deployment     string   `json:"deployment"`
	Variant        string   `json:"variant"`
	Ahead          float64  `json:"ahead"`
	Surplus        float64  `json:"surplus"`
	Idle           Interval `json:"idle"`
	MeanStaleness  Interval `json:"staleness_mean"`
	P99Staleness   Interval `json:"staleness_p99"`
	Wasted         Interval `json:"wasted"`
	CallerP99      Interval `json:"caller_p99_seconds"`
	IdleBound      Interval `json:"idle_bound"`
	IdleAboveBound Interval `json:"idle_above_bound"`
	baseline       bool
	spares         bool
}

// RolloutComparison compares the best variant with a baseline.
type RolloutComparison struct {
	Deployment string  `json:"deployment"`
	Baseline   string  `json:"baseline"`
	Aim        string  `json:"aim"`
	Variant    string  `json:"variant"` // empty if none qualifies
	Ratio      float64 `json:"ratio"`
}

// RolloutReport is the result of RunRolloutReport.
type RolloutReport struct {
	Seeds       int                 `json:"seeds"`
	Hours       float64             `json:"virtual_hours"`
	Rows        []RolloutRow        `json:"rows"`
	Comparisons []RolloutComparison `json:"comparisons"`
}

type variant struct {
	name           string
	baseline       bool
	policies       rollout.Policies
	ahead, surplus float64
}

// variants returns the variants of the experiment: the baselines; no policy, each
// policy alone and several together, with the same values of ahead and surplus; and
// the default policies over a range of surplus values. Spares are only in variants of
// their own because they bias groups towards short samples.
func variants() []variant {
	all := rollout.AllPolicies()
	spare := rollout.DefaultPolicies()
	spare.Spares = 1
	list := []variant{
		{name: "baseline", baseline: true},
		{name: "baseline", baseline: true, ahead: 1},
	}
	for _, v := range []variant{
		{name: "no policy"},
		{name: "nearest group", policies: rollout.Policies{NearestGroup: true}},
		{name: "predicted length", policies: rollout.Policies{PredictLength: true}},
		{name: "cancel too old", policies: rollout.Policies{CancelTooOld: true}},
		{name: "fresh start", policies: rollout.Policies{FreshStart: true}},
		{name: "second copy", policies: rollout.Policies{SecondCopy: true}},
		{name: "one spare", policies: rollout.Policies{Spares: 1}},
		{name: "all but spares", policies: all},
		{name: "default and spare", policies: spare},
	} {
		v.ahead, v.surplus = 1, 0.25
		list = append(list, v)
	}
	for _, s := range [][2]float64{{0, 0}, {0, 0.125}, {0, 0.25}, {0, 0.5}, {0, 0.75}, {0, 1}, {0, 1.25}} {
		list = append(list, variant{name: "default", policies: rollout.DefaultPolicies(), ahead: s[0], surplus: s[1]})
	}
	for _, s := range [][2]float64{{0, 0.25}, {0, 0.75}, {0, 1}} {
		list = append(list, variant{name: "default and spare", policies: spare, ahead: s[0], surplus: s[1]})
	}
	return list
}

// RunRolloutReport runs the rollout experiment and prints a table or JSON.
func RunRolloutReport(w io.Writer, o ReportOptions) error {
	report := RolloutReport{Seeds: o.Seeds, Hours: o.Duration.Hours()}
	for _, deployment := range []RolloutDeployment{Abay, Chikushi} {
		rows := runVariants(deployment, o)
		report.Rows = append(report.Rows, rows...)
		report.Comparisons = append(report.Comparisons, compare(rows)...)
	}
	if o.JSON {
		encoder := json.NewEncoder(w)
		encoder.SetIndent("", "  ")
		return encoder.Encode(report)
	}
	return report.print(w)
}

func runVariants(deployment RolloutDeployment, o ReportOptions) []RolloutRow {
	list := variants()
	results := make([][]RolloutResult, len(list))
	slots := make(chan struct{}, max(1, runtime.GOMAXPROCS(0)/2))
	var wait sync.WaitGroup
	for i, v := range list {
		results[i] = make([]RolloutResult, o.Seeds)
		for seed := range o.Seeds {
			slots <- struct{}{}
			wait.Go(func() {
				defer func() { <-slots }()
				results[i][seed] = RunRollout(RolloutOptions{
					Deployment: deployment, Seed: uint64(seed + 1), Duration: o.Duration,
					Baseline: v.baseline, Policies: v.policies, Ahead: v.ahead, Surplus: v.surplus,
				})
			})
		}
	}
	wait.Wait()
	rows := make([]RolloutRow, len(list))
	for i, v := range list {
		rows[i] = aggregateRow(deployment, v, results[i])
	}
	return rows
}

func aggregateRow(deployment RolloutDeployment, v variant, results []RolloutResult) RolloutRow {
	summarize := func(f func(RolloutResult) float64) Interval {
		values := make([]float64, len(results))
		for i, r := range results {
			values[i] = f(r)
		}
		return confidenceInterval(values)
	}
	return RolloutRow{
		Deployment:     deployment.Name,
		Variant:        v.name,
		Ahead:          v.ahead,
		Surplus:        v.surplus,
		Idle:           summarize(func(r RolloutResult) float64 { return r.Idle }),
		MeanStaleness:  summarize(func(r RolloutResult) float64 { return r.StalenessMean }),
		P99Staleness:   summarize(func(r RolloutResult) float64 { return r.StalenessP99 }),
		Wasted:         summarize(func(r RolloutResult) float64 { return r.Wasted }),
		CallerP99:      summarize(func(r RolloutResult) float64 { return r.CallerP99 }),
		IdleBound:      summarize(func(r RolloutResult) float64 { return r.IdleBound }),
		IdleAboveBound: summarize(func(r RolloutResult) float64 { return r.Idle - r.IdleBound }),
		baseline:       v.baseline,
		spares:         v.policies.Spares > 0,
	}
}

// compare finds, for each baseline, the lowest idle time at the same staleness and the
// lowest staleness at the same idle time, first among the variants without spares and
// then among all. It interpolates between neighbouring rows of a sweep.
func compare(rows []RolloutRow) []RolloutComparison {
	withoutSpares := slices.DeleteFunc(slices.Clone(rows), func(r RolloutRow) bool { return r.spares })
	return append(compareRows(withoutSpares, "without spares"), compareRows(rows, "with spares")...)
}

func compareRows(rows []RolloutRow, among string) []RolloutComparison {
	idle := func(r RolloutRow) float64 { return r.Idle.Mean }
	meanStaleness := func(r RolloutRow) float64 { return r.MeanStaleness.Mean }
	var list []RolloutComparison
	for _, base := range rows {
		if base.baseline {
			list = append(list,
				leastWithinLimit(rows, base, "idle at the same staleness, "+among, idle, meanStaleness),
				leastWithinLimit(rows, base, "staleness at the same idle time, "+among, meanStaleness, idle))
		}
	}
	return list
}

// leastWithinLimit finds the lowest value among the rows, and among interpolations
// between neighbouring rows, whose limited metric is at most that of the baseline.
func leastWithinLimit(rows []RolloutRow, base RolloutRow, aim string, value, limited func(RolloutRow) float64) RolloutComparison {
	c := RolloutComparison{Deployment: base.Deployment, Baseline: base.label(), Aim: aim}
	limit := limited(base)
	for i, r := range rows {
		if r.baseline {
			continue
		}
		if limited(r) <= limit {
			c.keepBetter(r.label(), value(r), value(base))
		}
		if i == 0 || rows[i-1].Variant != r.Variant || rows[i-1].Ahead != r.Ahead {
			continue
		}
		p := rows[i-1]
		if fraction := (limit - limited(p)) / (limited(r) - limited(p)); fraction > 0 && fraction < 1 {
			label := fmt.Sprintf("%s to %.3f, interpolated", p.label(), r.Surplus)
			c.keepBetter(label, value(p)+fraction*(value(r)-value(p)), value(base))
		}
	}
	return c
}

// keepBetter replaces the variant of the comparison if value is lower relative to the
// baseline.
func (c *RolloutComparison) keepBetter(label string, value, base float64) {
	if base == 0 {
		return
	}
	if ratio := value / base; c.Variant == "" || ratio < c.Ratio {
		c.Variant, c.Ratio = label, ratio
	}
}

func (r RolloutRow) label() string {
	return fmt.Sprintf("%s, ahead %.2f, surplus %.3f", r.Variant, r.Ahead, r.Surplus)
}

func (r RolloutReport) print(w io.Writer) error {
	deployment := ""
	for _, row := range r.Rows {
		if row.Deployment != deployment {
			deployment = row.Deployment
			if _, err := fmt.Fprintf(w, "\n%s: %d seeds, %.1f virtual hours each, mean and 95%% interval\n%-17s %5s %7s  %-11s %-11s %-9s %-11s %-13s %-10s %s\n", deployment, r.Seeds, r.Hours,
				"variant", "ahead", "surplus", "idle %", "staleness", "p99", "wasted %", "callers p99 s", "bound %", "above bound %"); err != nil {
				return err
			}
		}
		if _, err := fmt.Fprintf(w, "%-17s %5.2f %7.3f  %-11s %-11s %-9s %-11s %-13s %-10s %s\n", row.Variant, row.Ahead, row.Surplus,
			row.Idle.format(100, 1), row.MeanStaleness.format(1, 2), row.P99Staleness.format(1, 1), row.Wasted.format(100, 1), row.CallerP99.format(1, 1), row.IdleBound.format(100, 1), row.IdleAboveBound.format(100, 1)); err != nil {
			return err
		}
	}
	for _, c := range r.Comparisons {
		text := "no variant qualifies"
		if c.Variant != "" {
			text = fmt.Sprintf("%.2f of the baseline (%s)", c.Ratio, c.Variant)
		}
		if _, err := fmt.Fprintf(w, "\n%s, against %s: %s: %s", c.Deployment, c.Baseline, c.Aim, text); err != nil {
			return err
		}
	}
	_, err := fmt.Fprintln(w)
	return err
}

func (i Interval) format(factor float64, digits int) string {
	return fmt.Sprintf("%.*f ±%.*f", digits, factor*i.Mean, digits, factor*i.HalfWidth)
}

// studentT holds the 97.5% quantiles of Student's t-distribution by degrees of
// freedom.
var studentT = []float64{0, 12.71, 4.30, 3.18, 2.78, 2.57, 2.45, 2.36, 2.31, 2.26, 2.23, 2.20, 2.18, 2.16, 2.14, 2.13, 2.12, 2.11, 2.10, 2.09, 2.09}

// confidenceInterval returns the mean with a 95% confidence interval. Beyond the
// degrees of freedom of studentT it uses the normal distribution.
func confidenceInterval(values []float64) Interval {
	n := len(values)
	if n < 2 {
		return Interval{Mean: mean(values)}
	}
	m := mean(values)
	sum := 0.0
	for _, v := range values {
		sum += (v - m) * (v - m)
	}
	t := 1.96
	if n-1 < len(studentT) {
		t = studentT[n-1]
	}
	return Interval{Mean: m, HalfWidth: t * math.Sqrt(sum/float64(n-1)/float64(n))}
}

func mean(values []float64) float64 {
	sum := 0.0
	for _, v := range values {
		sum += v
	}
	return sum / max(float64(len(values)), 1)
}

func quantile(values []float64, p float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Clone(values)
	slices.Sort(sorted)
	return sorted[int(p*float64(len(sorted)-1))]
}
