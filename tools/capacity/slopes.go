package main

import (
	"fmt"
	"math"
	"strings"
)

// slope is a marginal cost, such as bytes of memory per link, with its value at each
// benchmarked size.
type slope struct {
	key, label, bench, metric string
	run                       benchRun
	sizes                     []string
	values                    []float64
}

// slopeDefinitions lists the slopes of docs/CAPACITY.md with the benchmark and metric
// that each is read from.
var slopeDefinitions = []slope{
	{key: "linkBytes", label: "bytes a second of an idle link, both directions, with a load report a second", bench: "IdleLink", metric: "B/s/link"},
	{key: "linkCore", label: "percent of a core of one end of an idle link", bench: "IdleLink", metric: "%core/end"},
	{key: "linkMemory", label: "bytes of memory of one end of a link", bench: "IdleLink", metric: "B/end"},
	{key: "textPacked", label: "bytes of a packed configuration snapshot", bench: "Configuration", metric: "packed-B"},
	{key: "textBytes", label: "bytes of a configuration text", bench: "Configuration", metric: "text-B"},
	{key: "loadCPU", label: "microseconds of processor time to load an accepted configuration", bench: "Configuration", metric: "cpu-us/load"},
	{key: "nodeBytes", label: "bytes a second a node for propagation at 3,100 changes a day", bench: "NodeCost", metric: "B/s/node"},
	{key: "nodeCore", label: "percent of a core a node for propagation (one entry, seven agents)", bench: "NodeCost", metric: "%core/node"},
	{key: "changeBytes", label: "bytes a change and node", bench: "NodeCost", metric: "B/change/node"},
	{key: "msToAll", label: "milliseconds until every process holds a change", bench: "NodeCost", metric: "ms-to-all"},
	{key: "tableEntry", label: "bytes of an id in the agent's request table", bench: "TableEntry", metric: "B/entry"},
	{key: "agentHeap", label: "KiB of heap of an idle agent", bench: "IdleAgent", metric: "KiB/agent"},
	{key: "agentToken", label: "tokens a second of one core at an agent", bench: "RelayedToken", metric: "tokens/cpu-s"},
	{key: "entryToken", label: "tokens a second of an entry in one process with its agents", bench: "Generate", metric: "tokens/s"},
	{key: "commit", label: "microseconds of a commit of three replicas", bench: "Commit", metric: "commit-µs"},
	{key: "commitRatio", label: "commit latency in syncs of the same disk", bench: "Commit", metric: "commit/sync"},
	{key: "recovery", label: "nanoseconds a log entry at recovery", bench: "Recovery", metric: "ns/entry"},
	{key: "planner", label: "nanoseconds of the leader's planner a sample", bench: "Planner", metric: "ns/op"},
}

type slopes struct {
	all   []slope
	byKey map[string]slope
}

func newSlopes(measured []measurement) (*slopes, error) {
	s := &slopes{byKey: make(map[string]slope)}
	for _, w := range slopeDefinitions {
		for _, m := range measured {
			name, size, _ := strings.Cut(m.name, "/")
			if name != w.bench || m.metric != w.metric {
				continue
			}
			w.run = m.run
			w.sizes = append(w.sizes, size)
			w.values = append(w.values, m.value)
		}
		if len(w.values) == 0 {
			return nil, fmt.Errorf("benchmark output has no metric %s of %s", w.metric, w.bench)
		}
		s.all = append(s.all, w)
		s.byKey[w.key] = w
	}
	return s, nil
}

// atLargestSize returns the value at the largest benchmarked size, which ran last.
func (s *slopes) atLargestSize(key string) float64 {
	v := s.byKey[key].values
	return v[len(v)-1]
}

// highest returns the largest value over all sizes, the worst case of a cost.
func (s *slopes) highest(key string) float64 {
	highest := 0.0
	for _, v := range s.byKey[key].values {
		highest = math.Max(highest, v)
	}
	return highest
}

// lowest returns the smallest value over all sizes, the worst case of a rate.
func (s *slopes) lowest(key string) float64 {
	lowest := math.Inf(1)
	for _, v := range s.byKey[key].values {
		lowest = math.Min(lowest, v)
	}
	return lowest
}

// slopesTable returns the slopes as a Markdown table.
func (s *slopes) slopesTable() string {
	var b strings.Builder
	b.WriteString("| slope | values by size | largest / smallest | command |\n|---|---|---|---|\n")
	for _, w := range s.all {
		var values []string
		low, high := math.Inf(1), 0.0
		for i, v := range w.values {
			low, high = math.Min(low, v), math.Max(high, v)
			text := formatNumber(v)
			if w.sizes[i] != "" {
				text += " (" + w.sizes[i] + ")"
			}
			values = append(values, text)
		}
		fmt.Fprintf(&b, "| %s | %s | %.2f | `%s` |\n", w.label, strings.Join(values, ", "), high/low, strings.ReplaceAll(w.run.String(), "|", "\\|"))
	}
	return b.String()
}

// formatNumber formats v with about three significant digits.
func formatNumber(v float64) string {
	switch {
	case v >= 1000:
		return fmt.Sprintf("%.0f", v)
	case v >= 10:
		return fmt.Sprintf("%.1f", v)
	}
	return fmt.Sprintf("%.3g", v)
}
