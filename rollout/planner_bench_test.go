package rollout

import (
	"fmt"
	"testing"
	"time"

	"merlinhall/wire"
)

// BenchmarkPlanner measures the handling of one sample result with up to 6 trainers,
// the number expected in two years, each with two steps of 1,024 samples.
func BenchmarkPlanner(b *testing.B) {
	for _, trainers := range []int{1, 3, 6} {
		b.Run(fmt.Sprintf("trainers=%d", trainers), func(b *testing.B) { benchPlanner(b, trainers) })
	}
}

func benchPlanner(b *testing.B, trainers int) {
	var view View
	for t := range trainers {
		tv := TrainerView{Name: fmt.Sprint("t", t), Version: 1, Bound: 1, Pools: []string{"lm"}}
		for step := range uint64(2) {
			s := StepView{Step: step, GroupSize: 8, Sampling: Sampling{MaxTokens: 10}}
			for g := range 128 {
				s.Groups = append(s.Groups, GroupView{Group: g})
			}
			tv.Steps = append(tv.Steps, s)
		}
		view.Trainers = append(view.Trainers, tv)
	}
	o := testPlanner()
	o.MaxInFlight, o.MaxPerEntry = 12288, 2048
	entries := []string{"e1", "e2", "e3", "e4", "e5", "e6"}
	var r *plannerRun
	var jobs []string
	for b.Loop() {
		if len(jobs) == 0 {
			b.StopTimer()
			r = newPlannerRun(o)
			r.start(view, entries...)
			jobs = sortedKeys(r.jobs)
			b.StartTimer()
		}
		m := r.jobs[jobs[0]]
		r.now = r.now.Add(100 * time.Millisecond)
		r.p.Step(r.now, JobDone{Entry: r.at[jobs[0]], Result: &wire.SampleDone{Job: jobs[0], Sample: m.Sample, Tokens: []string{"t"}, Versions: []wire.VersionRange{{To: 1, Version: 1}}}})
		jobs = jobs[1:]
	}
}
