package trace

import (
	"fmt"
	"strings"
	"time"
)

const (
	// timeFormat is the layout of times in causes.
	timeFormat = "15:04:05.000"
	// maxNamedHosts bounds the hosts that a cause names; the account's lines have all.
	maxNamedHosts = 4
)

// cause explains how the request, submission or item with the id ended.
func (l *Log) cause(id string, own []*Line, at time.Time) string {
	if len(own) == 0 {
		return l.unloggedCause(at)
	}
	if s := requestCause(own); s != "" {
		return s
	}
	if s := l.unfinishedCause(own); s != "" {
		return s
	}
	if s := itemCause(id, own); s != "" {
		return s
	}
	if s := submissionCause(id, own); s != "" {
		return s
	}
	return "No line reports its end; the last one is: " + own[len(own)-1].Text + "."
}

// unloggedCause explains the failure of a request that no line names. at is the time at
// which the caller saw the failure, or zero if unknown.
func (l *Log) unloggedCause(at time.Time) string {
	if at.IsZero() {
		return "Unknown: no line names this id."
	}
	var down []string
	for _, line := range l.startsNear(at) {
		down = append(down, fmt.Sprintf("%s, which started at %s", line.Host, line.At.Format(timeFormat)))
	}
	if len(down) == 0 {
		return "It reached no process: no line names it, and no process started near that time."
	}
	if more := len(down) - maxNamedHosts; more > 0 {
		down = append(down[:maxNamedHosts], fmt.Sprintf("%d more", more))
	}
	return "It reached no process that was up: no line names it. Down near that time: " + strings.Join(down, "; ") + "."
}

// unfinishedCause explains a request that was sent to a target and whose end is not
// logged, because the sending process ended first or for an unknown reason.
func (l *Log) unfinishedCause(own []*Line) string {
	sent := lastWithPrefix(own, "forward: request is sent")
	if sent == nil {
		return ""
	}
	for _, line := range l.Lines {
		if line.Host == sent.Host && line.position > sent.position && isStart(line) {
			return fmt.Sprintf("Outcome unknown: %s ended while target %s had the request, and started again %v after sending it.",
				sent.Host, sent.Field("target"), line.At.Sub(sent.At).Round(time.Millisecond))
		}
	}
	return fmt.Sprintf("No line reports its end; %s sent it to target %s at %s.", sent.Host, sent.Field("target"), sent.At.Format(timeFormat))
}

// lastWithPrefix returns the last line whose text has the prefix, or nil.
func lastWithPrefix(own []*Line, prefix string) *Line {
	for i := len(own) - 1; i >= 0; i-- {
		if strings.HasPrefix(own[i].Text, prefix) {
			return own[i]
		}
	}
	return nil
}

func requestCause(own []*Line) string {
	if l := lastWithPrefix(own, "gateway: route ended"); l != nil {
		if l.Field("outcome") == "no_route" {
			return fmt.Sprintf("Not found: version %s of the manifest at %s has no route for %s%s.", l.Field("version"), l.Host, l.Field("authority"), l.Field("path"))
		}
		return fmt.Sprintf("Refused, not run: %s had no manifest yet; it told the caller to retry after %s ms.", l.Host, l.Field("retry_after_ms"))
	}
	l := lastWithPrefix(own, "gateway: forward ended")
	if l == nil {
		return ""
	}
	attempts := attemptSummary(own)
	switch l.Field("outcome") {
	case "not_run":
		return fmt.Sprintf("Refused, not run, after %s ms: %s%s; the caller may retry after %s ms.", l.Field("ms"), l.Field("reason"), attempts, l.Field("retry_after_ms"))
	case "unknown":
		return fmt.Sprintf("Outcome unknown after %s ms: %s%s.", l.Field("ms"), l.Field("reason"), attempts)
	}
	return fmt.Sprintf("Answered with status %s by target %s after %s ms and %s attempts%s.", l.Field("status"), l.Field("target"), l.Field("ms"), l.Field("attempts"), attempts)
}

func attemptSummary(own []*Line) string {
	var parts []string
	for _, l := range own {
		if l.Text == "forward: attempt ended" {
			part := fmt.Sprintf("target %s: %s after %s ms", l.Field("target"), l.Field("outcome"), l.Field("ms"))
			if reason := l.Field("reason"); reason != "" {
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
	isItem := func(l *Line) bool { return l != nil && l.Field("item") == id }
	if l := lastWithPrefix(own, "batch: item is given up"); isItem(l) {
		return fmt.Sprintf("Failed: %s%s.", strings.TrimPrefix(l.Text, "batch: item is given up: "), runSummary(own))
	}
	if l := lastWithPrefix(own, "batch: item is listed"); isItem(l) {
		return fmt.Sprintf("Result recorded in the ledger %s ms after its submission (began after %s ms, text complete after %s ms, %s runs, %s moves)%s.",
			l.Field("listed_ms"), l.Field("begun_ms"), l.Field("text_ms"), l.Field("runs"), l.Field("moves"), runSummary(own))
	}
	if l := lastWithPrefix(own, "batch: item is left"); isItem(l) {
		return fmt.Sprintf("Left without a result when its submission closed (%s) after %s ms: it was %s with %s events kept%s.",
			strings.TrimPrefix(l.Text, "batch: item is left: "), l.Field("age_ms"), l.Field("state"), l.Field("events"), runSummary(own))
	}
	return ""
}

func runSummary(own []*Line) string {
	var parts []string
	for _, l := range own {
		switch l.Text {
		case "batch: run ended early":
			why := l.Field("why")
			if why == "" {
				why = l.Field("error")
			}
			parts = append(parts, fmt.Sprintf("engine %s: %s after %s ms (%s)", l.Field("engine"), l.Field("outcome"), l.Field("ms"), why))
		case "carrier: reward call has no score":
			parts = append(parts, fmt.Sprintf("no score: %s, %s of %s failures by manifest %s (%s)",
				l.Field("reason"), l.Field("failures"), l.Field("max_failures"), l.Field("manifest"), l.Field("attempts")))
		case "carrier: engine answered with an error":
			parts = append(parts, "engine "+l.Field("response"))
		}
	}
	if len(parts) == 0 {
		return ""
	}
	return " [" + strings.Join(parts, "; ") + "]"
}

// submissionCause summarizes the items of a submission.
func submissionCause(id string, own []*Line) string {
	listed, failed, left := 0, 0, 0
	var slowest *Line
	for _, l := range own {
		if l.Field("submission") != id {
			continue
		}
		switch {
		case l.Text == "batch: item is listed":
			listed++
			if l.Field("failed") == "true" {
				failed++
			}
			if slowest == nil || numberField(l, "listed_ms") > numberField(slowest, "listed_ms") {
				slowest = l
			}
		case strings.HasPrefix(l.Text, "batch: item is left"):
			left++
		}
	}
	closed := lastWithPrefix(own, "batch: submission is closed")
	if closed == nil && listed == 0 {
		return ""
	}
	out := fmt.Sprintf("%d results were recorded in the ledger, %d of them failed; %d items were left without a result", listed, failed, left)
	if closed != nil {
		out += " when it was closed: " + strings.TrimPrefix(closed.Text, "batch: submission is closed: ")
	}
	if slowest != nil {
		out += fmt.Sprintf(". The slowest item, %s, was recorded after %s ms: it began after %s ms and its text was complete after %s ms",
			slowest.Field("item"), slowest.Field("listed_ms"), slowest.Field("begun_ms"), slowest.Field("text_ms"))
	}
	return out + "."
}

func numberField(l *Line, name string) float64 {
	v, _ := l.Fields[name].(float64)
	return v
}
