package trace

import (
	"fmt"
	"strings"
	"time"
)

const (
	// clock is the form of times in causes.
	clock = "15:04:05.000"
	// mostNamed bounds the hosts that a cause names; the lines show all.
	mostNamed = 4
)

// cause returns one sentence on how the id ended.
func (l *Log) cause(id string, own []*Line, at time.Time) string {
	if len(own) == 0 {
		return l.absentCause(at)
	}
	if s := requestCause(own); s != "" {
		return s
	}
	if s := l.sentCause(own); s != "" {
		return s
	}
	if s := itemCause(id, own); s != "" {
		return s
	}
	if s := submissionCause(id, own); s != "" {
		return s
	}
	return "No line tells its end: " + own[len(own)-1].Text + " is the last one."
}

// absentCause tells what may have become of a request that no line names and whose
// caller saw it fail at a time, which may be zero.
func (l *Log) absentCause(at time.Time) string {
	if at.IsZero() {
		return "Unknown: no line names this id."
	}
	var away []string
	for _, line := range l.starts(at) {
		away = append(away, fmt.Sprintf("%s, which started at %s", line.Host, line.At.Format(clock)))
	}
	if len(away) == 0 {
		return "It reached no process: no line names it, and no process started near that time."
	}
	if more := len(away) - mostNamed; more > 0 {
		away = append(away[:mostNamed], fmt.Sprintf("%d more", more))
	}
	return "It reached no process that was up: no line names it. Down near that time: " + strings.Join(away, "; ") + "."
}

// sentCause tells of a request that was sent and whose process did not live to see
// its end.
func (l *Log) sentCause(own []*Line) string {
	sent := last(own, "forward: request is sent")
	if sent == nil {
		return ""
	}
	for _, line := range l.Lines {
		if line.Host == sent.Host && line.place > sent.place && started(line) {
			return fmt.Sprintf("Outcome unknown: %s ended while target %s had the request; it started again %v after it had sent it.",
				sent.Host, sent.str("target"), line.At.Sub(sent.At).Round(time.Millisecond))
		}
	}
	return fmt.Sprintf("No line tells its end: %s sent it to target %s at %s.", sent.Host, sent.str("target"), sent.At.Format(clock))
}

// last returns the last line whose text begins with the prefix.
func last(own []*Line, prefix string) *Line {
	for i := len(own) - 1; i >= 0; i-- {
		if strings.HasPrefix(own[i].Text, prefix) {
			return own[i]
		}
	}
	return nil
}

func requestCause(own []*Line) string {
	if l := last(own, "gateway: route ended"); l != nil {
		if l.str("outcome") == "no_route" {
			return fmt.Sprintf("Not found: version %s of the manifest at %s has no route for %s%s.", l.str("version"), l.Host, l.str("authority"), l.str("path"))
		}
		return fmt.Sprintf("Refused, not run: %s had no manifest yet; it told the caller to come back after %s ms.", l.Host, l.str("retry_after_ms"))
	}
	l := last(own, "gateway: forward ended")
	if l == nil {
		return ""
	}
	attempts := attemptSummary(own)
	switch l.str("outcome") {
	case "not_run":
		return fmt.Sprintf("Refused, not run, after %s ms: %s%s; the caller may come back after %s ms.", l.str("ms"), l.str("reason"), attempts, l.str("retry_after_ms"))
	case "unknown":
		return fmt.Sprintf("Outcome unknown after %s ms: %s%s.", l.str("ms"), l.str("reason"), attempts)
	}
	return fmt.Sprintf("Answered with status %s by target %s after %s ms and %s attempts%s.", l.str("status"), l.str("target"), l.str("ms"), l.str("attempts"), attempts)
}

func attemptSummary(own []*Line) string {
	var parts []string
	for _, l := range own {
		if l.Text == "forward: attempt ended" {
			part := fmt.Sprintf("target %s: %s after %s ms", l.str("target"), l.str("outcome"), l.str("ms"))
			if reason := l.str("reason"); reason != "" {
				part += " (" + reason + ")"
			}
			parts = append(parts, part)
		}
	}
	if len(parts) == 0 {
		return ""
	}
	return " [" + strings.Join(parts, "; ") + "]"
}

func itemCause(id string, own []*Line) string {
	isItem := func(l *Line) bool { return l != nil && l.str("item") == id }
	if l := last(own, "batch: item is given up"); isItem(l) {
		return fmt.Sprintf("Failed: %s%s.", strings.TrimPrefix(l.Text, "batch: item is given up: "), runSummary(own))
	}
	if l := last(own, "batch: item is listed"); isItem(l) {
		return fmt.Sprintf("Listed %s ms after its submission (began after %s ms, text complete after %s ms, %s runs, %s moves)%s.",
			l.str("listed_ms"), l.str("begun_ms"), l.str("text_ms"), l.str("runs"), l.str("moves"), runSummary(own))
	}
	if l := last(own, "batch: item is left"); isItem(l) {
		return fmt.Sprintf("Left without a result when its submission closed (%s) after %s ms: it was %s with %s events kept%s.",
			strings.TrimPrefix(l.Text, "batch: item is left: "), l.str("age_ms"), l.str("state"), l.str("events"), runSummary(own))
	}
	return ""
}

func runSummary(own []*Line) string {
	var parts []string
	for _, l := range own {
		switch l.Text {
		case "batch: run ended early":
			why := l.str("why")
			if why == "" {
				why = l.str("error")
			}
			parts = append(parts, fmt.Sprintf("engine %s: %s after %s ms (%s)", l.str("engine"), l.str("outcome"), l.str("ms"), why))
		case "batch: reward call has no score":
			parts = append(parts, "no score: "+l.str("reason"))
		}
	}
	if len(parts) == 0 {
		return ""
	}
	return " [" + strings.Join(parts, "; ") + "]"
}

// submissionCause sums up the items of a submission.
func submissionCause(id string, own []*Line) string {
	listed, failed, left := 0, 0, 0
	var slowest *Line
	for _, l := range own {
		if l.str("submission") != id {
			continue
		}
		switch {
		case l.Text == "batch: item is listed":
			listed++
			if l.str("failed") == "true" {
				failed++
			}
			if slowest == nil || number(l, "listed_ms") > number(slowest, "listed_ms") {
				slowest = l
			}
		case strings.HasPrefix(l.Text, "batch: item is left"):
			left++
		}
	}
	closed := last(own, "batch: submission is closed")
	if closed == nil && listed == 0 {
		return ""
	}
	out := fmt.Sprintf("%d items were listed, %d of them failed; %d were left", listed, failed, left)
	if closed != nil {
		out += " when it was closed: " + strings.TrimPrefix(closed.Text, "batch: submission is closed: ")
	}
	if slowest != nil {
		out += fmt.Sprintf(". The slowest item, %s, was listed after %s ms: it began after %s ms and its text was complete after %s ms",
			slowest.str("item"), slowest.str("listed_ms"), slowest.str("begun_ms"), slowest.str("text_ms"))
	}
	return out + "."
}

func number(l *Line, name string) float64 {
	v, _ := l.Fields[name].(float64)
	return v
}
