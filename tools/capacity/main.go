// Command capacity runs the benchmarks behind the slopes (marginal costs) in
// docs/CAPACITY.md and rewrites the tables between the markers of that page.
package main

import (
	"bufio"
	"bytes"
	"flag"
	"fmt"
	"os"
	"os/exec"
	"regexp"
	"strconv"
	"strings"
)

// benchRun is one invocation of go test with benchmarks.
type benchRun struct {
	pkg, pattern, time string
}

var benchRuns = []benchRun{
	{"./capacity", "IdleLink", "1x"},
	{"./capacity", "Configuration", "20x"},
	{"./propagate", "NodeCost", "20x"},
	{"./agent", "RelayedToken|TableEntry|IdleAgent", "200ms"},
	{"./entry", "Generate", "500ms"},
	{"./replica", "Commit$|Recovery", "300ms"},
	{"./rollout", "Planner", "300ms"},
}

func (r benchRun) String() string {
	return fmt.Sprintf("go test -run xxx -bench '%s' -benchtime %s %s", r.pattern, r.time, r.pkg)
}

// measurement is one metric of one benchmark.
type measurement struct {
	run    benchRun
	name   string // including the size, such as "IdleLink/links=50"
	metric string
	value  float64
}

var benchLine = regexp.MustCompile(`^Benchmark(\S+?)(-\d+)?\s+\d+\s+(.*)$`)

func runBenchmarks(r benchRun) ([]measurement, error) {
	cmd := exec.Command("go", "test", "-run", "xxx", "-bench", r.pattern, "-benchtime", r.time, r.pkg)
	cmd.Stderr = os.Stderr
	out, err := cmd.Output()
	if err != nil {
		return nil, fmt.Errorf("%s: %w\n%s", r, err, out)
	}
	return parse(r, out), nil
}

func parse(r benchRun, out []byte) []measurement {
	var all []measurement
	scanner := bufio.NewScanner(bytes.NewReader(out))
	for scanner.Scan() {
		m := benchLine.FindStringSubmatch(scanner.Text())
		if m == nil {
			continue
		}
		fields := strings.Fields(m[3])
		for i := 0; i+1 < len(fields); i += 2 {
			value, err := strconv.ParseFloat(fields[i], 64)
			if err != nil {
				continue
			}
			all = append(all, measurement{run: r, name: m[1], metric: fields[i+1], value: value})
		}
	}
	return all
}

func main() {
	page := flag.String("page", "docs/CAPACITY.md", "page to rewrite")
	flag.Parse()
	if err := rewritePage(*page); err != nil {
		fmt.Fprintln(os.Stderr, "capacity:", err)
		os.Exit(1)
	}
}

func rewritePage(page string) error {
	text, err := os.ReadFile(page)
	if err != nil {
		return err
	}
	var all []measurement
	for _, r := range benchRuns {
		fmt.Println(r)
		measured, err := runBenchmarks(r)
		if err != nil {
			return err
		}
		all = append(all, measured...)
	}
	s, err := newSlopes(all)
	if err != nil {
		return err
	}
	out := string(text)
	for marker, table := range map[string]string{"slopes": s.slopesTable(), "roles": s.rolesTable()} {
		if out, err = replaceBetweenMarkers(out, marker, table); err != nil {
			return err
		}
	}
	return os.WriteFile(page, []byte(out), 0o644)
}

// replaceBetweenMarkers replaces the text between the begin and end markers of the
// given name by table.
func replaceBetweenMarkers(text, marker, table string) (string, error) {
	begin, end := "<!-- begin "+marker+" -->\n", "<!-- end "+marker+" -->"
	i, j := strings.Index(text, begin), strings.Index(text, end)
	if i < 0 || j < i {
		return "", fmt.Errorf("page has no begin and end markers named %q", marker)
	}
	return text[:i+len(begin)] + table + text[j:], nil
}
