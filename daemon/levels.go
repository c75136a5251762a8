package daemon

import (
	"cmp"
	"slices"
	"time"

	"merlinhall/control"
)

// levelMemory is how long a control process without a link counts with the level that it had:
// one that is down or cut off during an upgrade must find the others at its level when it
// comes back. A host that was removed for good holds the level back for as long.
const levelMemory = 10 * time.Minute

// seenLevels holds the levels of the control processes that this process has had links to.
type seenLevels map[string]seenLevel

type seenLevel struct {
	level  uint32
	downAt time.Time // zero while there is a link
}

func (s seenLevels) up(process string, level uint32) { s[process] = seenLevel{level: level} }

func (s seenLevels) down(now time.Time, process string) {
	if seen, ok := s[process]; ok {
		seen.downAt = now
		s[process] = seen
	}
}

// list returns the levels of the given members and of all control processes with a link now
// or within levelMemory: processes outside the group may become members.
func (s seenLevels) list(now time.Time, members []string) []control.ProcessLevel {
	var out []control.ProcessLevel
	for process, seen := range s {
		if !seen.downAt.IsZero() && now.Sub(seen.downAt) > levelMemory {
			delete(s, process)
			continue
		}
		out = append(out, control.ProcessLevel{Process: process, Level: seen.level, Known: true})
	}
	for _, name := range members {
		if _, ok := s[name]; !ok {
			out = append(out, control.ProcessLevel{Process: name})
		}
	}
	slices.SortFunc(out, func(a, b control.ProcessLevel) int { return cmp.Compare(a.Process, b.Process) })
	return out
}
