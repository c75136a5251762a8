package experiment

import (
	"fmt"
	"io"
	"time"

	"merlinhall/routing"
)

// RoutingTable runs all routing policies with the same arrivals, prints a table and
// returns the results by policy. The last row, returned as direct, is two choices
// with load reports that are not smoothed.
func RoutingTable(w io.Writer, o RoutingOptions) (byPolicy map[routing.Policy]RoutingResult, direct RoutingResult) {
	fmt.Fprintf(w, "%-18s %8s %8s %8s %6s  %-13s %-13s %-13s\n", "policy", "requests", "p50", "p99", "hits", "target", "zone", "entry")
	byPolicy = make(map[routing.Policy]RoutingResult)
	for _, p := range []routing.Policy{routing.RoundRobin, routing.LeastOutstanding, routing.TwoChoices, routing.PrefixAware} {
		o.Policy = p
		byPolicy[p] = RunRouting(o)
		byPolicy[p].print(w, p.String())
	}
	o.Policy, o.UnsmoothedReports = routing.TwoChoices, true
	direct = RunRouting(o)
	direct.print(w, "two, direct loads")
	return byPolicy, direct
}

func (r RoutingResult) print(w io.Writer, name string) {
	span := func(s [2]float64) string { return fmt.Sprintf("%.2f..%.2f", s[0], s[1]) }
	fmt.Fprintf(w, "%-18s %8d %8s %8s %5.1f%%  %-13s %-13s %-13s\n", name, r.Requests,
		r.P50.Round(time.Millisecond), r.P99.Round(time.Millisecond), 100*r.HitRatio, span(r.TargetShare), span(r.ZoneShare), span(r.EntryShare))
}

// OverloadRow compares admission control with an unbounded FIFO queue at one offered
// load.
type OverloadRow struct {
	Factor          float64
	Admission, FIFO OverloadResult
}

// OverloadTable offers the given multiples of the capacity, prints the goodput as a
// table and returns the rows.
func OverloadTable(w io.Writer, o OverloadOptions, factors []float64) []OverloadRow {
	fmt.Fprintf(w, "%6s  %-44s  %s\n", "load", "admission", "unbounded queue in order of arrival")
	rows := make([]OverloadRow, 0, len(factors))
	for _, f := range factors {
		row := OverloadRow{Factor: f}
		o.Factor = f
		o.FIFO = false
		row.Admission = RunOverload(o)
		o.FIFO = true
		row.FIFO = RunOverload(o)
		rows = append(rows, row)
		fmt.Fprintf(w, "%5.2fx  goodput %.2f late %d refused within %-9s goodput %.2f late %d\n", f,
			row.Admission.Goodput, row.Admission.Late, row.Admission.RefusalP99.Round(time.Millisecond), row.FIFO.Goodput, row.FIFO.Late)
	}
	return rows
}
