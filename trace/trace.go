// Package trace collects the log lines of many processes that concern one request,
// submission or item, and explains how it ended.
package trace

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

// maxLineBytes is the maximum length of a log line; Read fails at a longer one.
const maxLineBytes = 1 << 20

// Line is one log line of a process.
type Line struct {
	Host     string
	At       time.Time
	Text     string
	Fields   map[string]any
	position int // line number in its source
}

// Field returns a field as text, or "" if it is missing.
func (l *Line) Field(name string) string {
	switch v := l.Fields[name].(type) {
	case nil:
		return ""
	case string:
		return v
	case float64:
		return strconv.FormatFloat(v, 'f', -1, 64) // numbers of attempts are above 2^32
	default:
		return fmt.Sprint(v)
	}
}

// Log holds the lines read from the logs of processes.
type Log struct {
	Lines      []*Line
	Unreadable int // number of lines whose JSON object is incomplete or malformed
	Hosts      []string
	// Dropped is the number of lines that processes report to have dropped.
	Dropped int
}

// Read adds the lines of a source. Text before the JSON object of a line is ignored. A
// line without a host field gets source as its host.
func (l *Log) Read(source string, r io.Reader) error {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 0, 64<<10), maxLineBytes)
	for position := 0; scanner.Scan(); position++ {
		l.add(source, scanner.Text(), position)
	}
	return scanner.Err()
}

func (l *Log) add(source, text string, position int) {
	at := strings.IndexByte(text, '{')
	if at < 0 {
		return
	}
	fields := make(map[string]any)
	if json.Unmarshal([]byte(text[at:]), &fields) != nil {
		if strings.Contains(text, `"msg"`) {
			l.Unreadable++
		}
		return
	}
	message, ok := fields["msg"].(string)
	if !ok {
		return
	}
	line := &Line{Host: source, Text: message, Fields: fields, position: position}
	if host, ok := fields["host"].(string); ok {
		line.Host = host
	}
	if t, err := time.Parse(time.RFC3339Nano, line.Field("time")); err == nil {
		line.At = t
	}
	if message == "observe: lines were left out" {
		n, _ := fields["lines"].(float64)
		l.Dropped += int(n)
	}
	l.Lines = append(l.Lines, line)
	if !slices.Contains(l.Hosts, line.Host) {
		l.Hosts = append(l.Hosts, line.Host)
	}
}

// Account is what the logs contain about one id.
type Account struct {
	ID      string
	Lines   []*Line  // with the id, and state changes of processes at that time
	Cause   string   // how it ended, in a few sentences
	Caveats []string `json:"Doubts"` // reasons to distrust the account
}

// idFields are the fields that hold ids.
var idFields = []string{"request", "submission", "item", "group"}

func (l *Line) mentions(id string) bool {
	return slices.ContainsFunc(idFields, func(name string) bool { return l.Field(name) == id })
}

const (
	// contextBefore and contextAfter are how long before the first and after the last line
	// with the id state changes are included.
	contextBefore = 3 * time.Second
	contextAfter  = 500 * time.Millisecond
)

// stateChangePrefixes are the prefixes of lines that report a change of a process's state,
// or of its view of other processes.
var stateChangePrefixes = []string{
	"daemon: ", "batch: leads", "batch: stopped leading", "batch: takes over", "hub: link is lost", "hub: link to control is lost",
	"hub: manifest is in force", "directory: ", "replica: leader in",
}

func (l *Line) isStateChange() bool {
	return slices.ContainsFunc(stateChangePrefixes, func(b string) bool { return strings.HasPrefix(l.Text, b) })
}

// isStart reports whether a line reports the start of a process.
func isStart(line *Line) bool {
	return strings.HasPrefix(line.Text, "daemon: ") && strings.HasSuffix(line.Text, "has started")
}

// startsNear returns the lines that report starts of processes near a time.
func (l *Log) startsNear(at time.Time) []*Line {
	var out []*Line
	for _, line := range l.Lines {
		if isStart(line) && line.At.After(at.Add(-contextBefore)) && line.At.Before(at.Add(contextBefore)) {
			out = append(out, line)
		}
	}
	return out
}

// ParseTime parses a time in RFC 3339 form, or a time of day on the date of the first
// log line.
func (l *Log) ParseTime(text string) (time.Time, error) {
	if t, err := time.Parse(time.RFC3339Nano, text); err == nil {
		return t, nil
	}
	t, err := time.Parse("15:04:05.999999999", text)
	if err != nil {
		return t, eris.Errorf("%q is neither a time of day nor in RFC 3339 form", text)
	}
	for _, line := range l.Lines {
		if !line.At.IsZero() {
			y, m, d := line.At.Date()
			return t.AddDate(y, int(m)-1, d-1), nil
		}
	}
	return t, eris.New("no line has a time")
}

// AccountOf returns the account of an id. at is the time at which the caller saw a failure,
// or zero if unknown.
func (l *Log) AccountOf(id string, at time.Time) Account {
	a := Account{ID: id}
	own := l.linesOf(id)
	a.Lines = append(a.Lines, own...)
	switch {
	case len(own) > 0:
		a.Lines = append(a.Lines, l.contextLines(own)...)
	case !at.IsZero():
		a.Lines = append(a.Lines, l.startsNear(at)...)
	}
	slices.SortStableFunc(a.Lines, func(x, y *Line) int {
		if x.Host == y.Host {
			return x.position - y.position
		}
		return x.At.Compare(y.At)
	})
	a.Cause = l.cause(id, own, at)
	a.Caveats = l.caveats(own)
	return a
}

// linesOf returns the lines with an id and, for an item, those about its reward call.
func (l *Log) linesOf(id string) []*Line {
	rewards := make(map[string]bool)
	for _, line := range l.Lines {
		if reward := line.Field("reward"); reward != "" && line.Field("item") == id {
			rewards[reward] = true
		}
	}
	var own []*Line
	for _, line := range l.Lines {
		if line.mentions(id) || rewards[line.Field("request")] {
			own = append(own, line)
		}
	}
	return own
}

// contextLines returns the state changes near the time of own: those of the hosts of own,
// and those of control leaders on all hosts.
func (l *Log) contextLines(own []*Line) []*Line {
	first, last := own[0].At, own[0].At
	hosts := make(map[string]bool)
	for _, line := range own {
		hosts[line.Host] = true
		if line.At.Before(first) {
			first = line.At
		}
		if line.At.After(last) {
			last = line.At
		}
	}
	var out []*Line
	for _, line := range l.Lines {
		near := line.At.After(first.Add(-contextBefore)) && line.At.Before(last.Add(contextAfter))
		leads := strings.HasPrefix(line.Text, "batch: ")
		if near && line.isStateChange() && (hosts[line.Host] || leads) {
			out = append(out, line)
		}
	}
	return out
}

// caveats returns the reasons for which the account may be incomplete or misordered.
func (l *Log) caveats(own []*Line) []string {
	var out []string
	if l.Unreadable > 0 {
		out = append(out, fmt.Sprintf("%d lines cannot be read", l.Unreadable))
	}
	if l.Dropped > 0 {
		out = append(out, fmt.Sprintf("the processes dropped %d lines", l.Dropped))
	}
	if len(own) == 0 {
		out = append(out, fmt.Sprintf("no line of %d hosts has the id; only a sample of fast successful requests is logged, and a killed process logs nothing about its end", len(l.Hosts)))
	}
	previous := make(map[string]*Line)
	for _, line := range l.Lines {
		if p := previous[line.Host]; p != nil && line.At.Before(p.At.Add(-time.Second)) {
			out = append(out, fmt.Sprintf("the clock of %s went back by %v", line.Host, p.At.Sub(line.At).Round(time.Millisecond)))
		}
		previous[line.Host] = line
	}
	return out
}
