package experiment

import (
	"encoding/json"
	"math"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"merlinhall/rollout"
)

// Guards against results that differ between two runs with the same seed, and against
// a rollout in which trainers wait as long as in the baseline.
func TestRolloutBeatsBaseline(t *testing.T) {
	is := is.New(t)
	run := func(baseline bool, ahead, surplus float64) RolloutResult {
		return RunRollout(RolloutOptions{Deployment: Abay, Seed: 3, Duration: duration(25*time.Minute, 4*time.Hour), Baseline: baseline, Policies: rollout.Policies{CancelTooOld: true}, Ahead: ahead, Surplus: surplus})
	}
	base, candidate := run(true, 1, 0), run(false, 0, 0.5)
	t.Logf("baseline %+v", base)
	t.Logf("candidate %+v", candidate)
	is.True(candidate.Idle < base.Idle)
	is.True(candidate.StalenessMean <= base.StalenessMean)
	is.True(candidate.StalenessP99 <= float64(Abay.StalenessBound))
	is.True(candidate.CallerP99 < base.CallerP99)
	is.Equal(run(false, 0, 0.5), candidate)
}

// Guards against wrong comparisons with a baseline, and against a report that cannot
// be encoded as JSON or printed. With MERLINHALL_LONG set, the test runs the full
// experiment instead.
func TestRolloutReport(t *testing.T) {
	is := is.New(t)
	if os.Getenv("MERLINHALL_LONG") != "" {
		is.NoErr(RunRolloutReport(os.Stdout, DefaultReportOptions()))
		return
	}
	rows := []RolloutRow{
		{Deployment: "d", Variant: "baseline", baseline: true, Idle: Interval{0.5, 0}, MeanStaleness: Interval{1, 0}},
		{Deployment: "d", Variant: "a", Idle: Interval{0.2, 0}, MeanStaleness: Interval{1, 0}},
		{Deployment: "d", Variant: "b", Idle: Interval{0.4, 0}, MeanStaleness: Interval{0.4, 0}},
		{Deployment: "d", Variant: "b", Surplus: 0.5, Idle: Interval{0.6, 0}, MeanStaleness: Interval{0.2, 0}},
		{Deployment: "d", Variant: "c", Idle: Interval{0.1, 0}, MeanStaleness: Interval{0.1, 0}, spares: true},
	}
	list := compare(rows)
	is.Equal(len(list), 4)
	is.Equal(list[0].Ratio, 0.4)
	is.True(math.Abs(list[1].Ratio-0.3) < 1e-9) // interpolated between the rows of b
	is.Equal(list[2].Ratio, 0.2)
	is.Equal(list[3].Ratio, 0.1)
	var text, table strings.Builder
	report := RolloutReport{Rows: rows, Comparisons: list}
	is.NoErr(json.NewEncoder(&text).Encode(report))
	is.NoErr(report.print(&table))
	is.True(strings.Contains(table.String(), "0.40 of the baseline (a, ahead 0.00, surplus 0.000)"))
}
