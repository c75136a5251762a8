package rollout

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against a planner that gets no ticks while it has a group or a job, and
// against an idle control replica that ticks.
func TestPlannerNeedsTicksWhileItHasWork(t *testing.T) {
	is := is.New(t)
	p := NewPlanner(PlannerOptions{})
	is.True(!p.hasWork())
	p.leading = true
	is.True(!p.hasWork())
	p.groups[groupID{}] = &groupProgress{}
	is.True(p.hasWork())
	p.leading = false
	is.True(!p.hasWork())
	p.leading = true
	delete(p.groups, groupID{})
	p.jobs["j"] = &job{}
	is.True(p.hasWork())
}
