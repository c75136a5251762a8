// Package trace joins the log lines of many processes into the account of one
// request, submission or item. It is pure: it reads lines and returns an account.
package trace

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

// maxLine bounds a log line; a longer one is counted as torn.
const maxLine = 1 << 20

// Line is one log line of a process.
type Line struct {
	Host   string
	At     time.Time
	Text   string
	Fields map[string]any
	place  int // in its source
}

// str returns a field as text, "" when it is missing.
func (l *Line) str(name string) string {
	switch v := l.Fields[name].(type) {
	case nil:
		return ""
	case string:
		return v
	default:
		return fmt.Sprint(v)
	}
}

// Log is what was read of the processes' logs.
type Log struct {
	Lines []*Line
	Torn  int // lines that could not be read
	Hosts []string
	// Lost is the number of lines that processes say they left out.
	Lost int
}

// Read adds the lines of a source, which may have a prefix before the JSON object.
// source names the host of lines that do not.
func (l *Log) Read(source string, r io.Reader) error {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 0, 64<<10), maxLine)
	for place := 0; scanner.Scan(); place++ {
		l.add(source, scanner.Text(), place)
	}
	return scanner.Err()
}

func (l *Log) add(source, text string, place int) {
	at := strings.IndexByte(text, '{')
	if at < 0 {
		return
	}
	fields := make(map[string]any)
	if json.Unmarshal([]byte(text[at:]), &fields) != nil {
		if strings.Contains(text, `"msg"`) {
			l.Torn++
		}
		return
	}
	message, ok := fields["msg"].(string)
	if !ok {
		return
	}
	line := &Line{Host: source, Text: message, Fields: fields, place: place}
	if host, ok := fields["host"].(string); ok {
		line.Host = host
	}
	if t, err := time.Parse(time.RFC3339Nano, line.str("time")); err == nil {
		line.At = t
	}
	if message == "observe: lines were left out" {
		n, _ := fields["lines"].(float64)
		l.Lost += int(n)
	}
	l.Lines = append(l.Lines, line)
	if !slices.Contains(l.Hosts, line.Host) {
		l.Hosts = append(l.Hosts, line.Host)
	}
}

// Account is what the logs say of one id.
type Account struct {
	ID     string
	Lines  []*Line // about the id, and what its processes learnt meanwhile
	Cause  string  // one sentence
	Doubts []string
}

// idFields are the fields that hold ids.
var idFields = []string{"request", "submission", "item", "group"}

func (l *Line) about(id string) bool {
	return slices.ContainsFunc(idFields, func(name string) bool { return l.str(name) == id })
}

const (
	// before and after bound the lines around those of the id that are shown as
	// what the processes learnt meanwhile.
	before = 3 * time.Second
	after  = 500 * time.Millisecond
)

// beliefs are the beginnings of lines that change what a process believes.
var beliefs = []string{
	"daemon: ", "batch: leads", "batch: stopped leading", "batch: takes over", "hub: link is lost", "hub: link to control is lost",
	"hub: manifest is in force", "directory: ", "replica: leader in",
}

func (l *Line) belief() bool {
	return slices.ContainsFunc(beliefs, func(b string) bool { return strings.HasPrefix(l.Text, b) })
}

// started reports whether a line is the first one of a process.
func started(line *Line) bool {
	return strings.HasPrefix(line.Text, "daemon: ") && strings.HasSuffix(line.Text, "has started")
}

// starts returns the starts of processes near a time.
func (l *Log) starts(at time.Time) []*Line {
	var out []*Line
	for _, line := range l.Lines {
		if started(line) && line.At.After(at.Add(-before)) && line.At.Before(at.Add(before)) {
			out = append(out, line)
		}
	}
	return out
}

// Time reads a time of day as the log lines near it have it: the first line's date
// is taken when text has none.
func (l *Log) Time(text string) (time.Time, error) {
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

// Of returns the account of an id. at is when its caller saw it fail, or zero.
func (l *Log) Of(id string, at time.Time) Account {
	a := Account{ID: id}
	var own []*Line
	for _, line := range l.Lines {
		if line.about(id) {
			own = append(own, line)
		}
	}
	a.Lines = append(a.Lines, own...)
	switch {
	case len(own) > 0:
		a.Lines = append(a.Lines, l.around(own)...)
	case !at.IsZero():
		a.Lines = append(a.Lines, l.starts(at)...)
	}
	slices.SortStableFunc(a.Lines, func(x, y *Line) int {
		if x.Host == y.Host {
			return x.place - y.place
		}
		return x.At.Compare(y.At)
	})
	a.Cause = l.cause(id, own, at)
	a.Doubts = l.doubts(own)
	return a
}

// around returns the belief lines of the hosts involved and of control leaders near
// the lines of the id.
func (l *Log) around(own []*Line) []*Line {
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
		near := line.At.After(first.Add(-before)) && line.At.Before(last.Add(after))
		leads := strings.HasPrefix(line.Text, "batch: ")
		if near && line.belief() && (hosts[line.Host] || leads) {
			out = append(out, line)
		}
	}
	return out
}

// doubts says what may be missing.
func (l *Log) doubts(own []*Line) []string {
	var out []string
	if l.Torn > 0 {
		out = append(out, fmt.Sprintf("%d lines cannot be read", l.Torn))
	}
	if l.Lost > 0 {
		out = append(out, fmt.Sprintf("the processes left out %d lines", l.Lost))
	}
	if len(own) == 0 {
		out = append(out, fmt.Sprintf("no line of %d hosts names the id; quick successes are sampled, and a process that was killed writes no last line", len(l.Hosts)))
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
