package trace

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// Texts of the log lines that a step's account is made of.
const (
	lineSubmissionStarted = "batch: submission started"
	lineItemListed        = "batch: item is listed"
	lineStepWhole         = "batch: submission has the complete groups that its trainer waits for"
	lineSubmissionClosed  = "batch: submission is closed"
	lineLeads             = "batch: leads"
)

// Step is the account of one step of a trainer: where the time from its acceptance to its
// end went. Times of the last text are those of the leader that listed it; after a change of
// leader they begin anew.
type Step struct {
	Submission string
	Model      string
	Step       int
	Asked      time.Time
	Whole      time.Duration // from Asked until its trainer had all that it waits for, -1 if never
	Closed     time.Duration // from Whole until the submission was closed, -1 if never
	// LeaderChanges is the number of changes of leader before it was whole.
	LeaderChanges int
	Last          LastText
}

// LastText is the text for which a step waited longest.
type LastText struct {
	Item      string
	Engine    string
	Events    int
	Runs      int
	Begun     time.Duration // from acceptance until its first run
	Generated time.Duration // from the first run until the text was complete
	Listed    time.Duration // from then until its result was recorded
}

// Steps returns the steps whose start the logs contain, by model and number.
func (l *Log) Steps() []Step {
	steps := make(map[string]*Step)
	var leads []time.Time
	byTime := slices.Clone(l.Lines)
	slices.SortStableFunc(byTime, func(a, b *Line) int { return a.At.Compare(b.At) })
	for _, line := range byTime {
		switch {
		case line.Text == lineLeads:
			leads = append(leads, line.At)
		case line.Text == lineSubmissionStarted:
			id := line.Field("submission")
			steps[id] = &Step{
				Submission: id, Model: line.Field("model"), Step: int(line.number("step")), Asked: line.At, Whole: -1, Closed: -1,
			}
		default:
			if s := steps[line.Field("submission")]; s != nil {
				s.add(line)
			}
		}
	}
	out := make([]Step, 0, len(steps))
	for _, s := range steps {
		for _, at := range leads {
			if at.After(s.Asked) && (s.Whole < 0 || at.Before(s.Asked.Add(s.Whole))) {
				s.LeaderChanges++
			}
		}
		out = append(out, *s)
	}
	slices.SortFunc(out, func(a, b Step) int {
		return cmp.Or(cmp.Compare(a.Model, b.Model), cmp.Compare(a.Step, b.Step), a.Asked.Compare(b.Asked))
	})
	return out
}

func (s *Step) add(line *Line) {
	since := line.At.Sub(s.Asked)
	switch {
	case line.Text == lineItemListed && s.Whole < 0:
		begun, text, listed := line.milliseconds("begun_ms"), line.milliseconds("text_ms"), line.milliseconds("listed_ms")
		s.Last = LastText{
			Item: line.Field("item"), Engine: line.Field("engine"), Events: int(line.number("events")), Runs: int(line.number("runs")),
			Begun: begun, Generated: text - begun, Listed: listed - text,
		}
	case line.Text == lineStepWhole && s.Whole < 0:
		s.Whole = since
	case strings.HasPrefix(line.Text, lineSubmissionClosed) && s.Closed < 0 && s.Whole >= 0:
		s.Closed = since - s.Whole
	}
}

// number returns a numeric field, or 0.
func (l *Line) number(name string) float64 {
	n, _ := l.Fields[name].(float64)
	return n
}

func (l *Line) milliseconds(name string) time.Duration {
	return time.Duration(l.number(name)) * time.Millisecond
}
