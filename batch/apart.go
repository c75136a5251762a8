package batch

import (
	"slices"
	"time"
)

// runLeft is what a text that runs on an engine is expected to lack.
type runLeft struct {
	events   int
	outlived bool // it has more events than were expected of it
	due      time.Duration
}

// long reports whether the text is expected to run for a large part of the time in which its
// step is due.
func (r runLeft) long(pace time.Duration) bool {
	return r.outlived || time.Duration(r.events)*pace >= r.due/shortTextDivisor
}

// engineRuns has the texts that run on each engine.
type engineRuns map[string][]runLeft

// runsByEngine returns the texts of the running tasks by engine.
func runsByEngine(running []*task, l *lengths) engineRuns {
	out := make(engineRuns)
	for _, t := range running {
		out.add(t.engine, t, l)
	}
	return out
}

// add adds the text of a task. A nil map stays so.
func (r engineRuns) add(engine string, t *task, l *lengths) {
	if r != nil {
		r[engine] = append(r[engine], leftOf(t, l))
	}
}

func leftOf(t *task, l *lengths) runLeft {
	has := t.text.length()
	if t.run != nil {
		has = max(has, t.run.events)
	}
	return runLeft{events: l.remainingEvents(t), outlived: has > max(1, l.eventsOf(t.size)), due: t.job.sub.Due}
}

// shared returns the number of events for which a text is expected to run beside others on an
// engine, summed over the others. An engine generates an event of all its texts in 46.8 ms, and
// 0.35 ms more for each of them.
func (r engineRuns) shared(engine string, events int) int {
	n := 0
	for _, other := range r[engine] {
		n += min(other.events, events)
	}
	return n
}

// hasLong reports whether a long text runs on an engine.
func (r engineRuns) hasLong(e *openEngine) bool {
	return slices.ContainsFunc(r[e.id], func(o runLeft) bool { return o.long(e.pace) })
}

// chooseApart is choose for texts that are placed apart. A long text, or one that has outlived
// its estimate, goes to the one of the fastest engines where it runs beside others for the fewest
// events. A short text goes to the engine of its group, which has processed the prompt, then to
// engines without long texts while one of them has a free slot, or else to any.
func (p *planner) chooseApart(t *task, able []*openEngine) (*openEngine, string) {
	left := leftOf(t, p.lengths)
	short := p.endingSoon(t, able)
	if len(short) == 0 || left.outlived {
		fast := within(able, samePace)
		least := p.runs.shared(fast[0].id, left.events)
		for _, e := range fast[1:] {
			least = min(least, p.runs.shared(e.id, left.events))
		}
		return freest(t, slices.DeleteFunc(fast, func(e *openEngine) bool { return p.runs.shared(e.id, left.events) > least })), "least shared"
	}
	for _, e := range short {
		if e.id == t.group.engine {
			return e, "group"
		}
	}
	if apart := slices.DeleteFunc(slices.Clone(short), p.runs.hasLong); len(apart) > 0 {
		return freest(t, apart), "apart"
	}
	return freest(t, short), "least loaded"
}
