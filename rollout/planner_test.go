package rollout

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"merlinhall/wire"
)

// plannerRun runs a planner in virtual time and records the jobs that it assigned.
type plannerRun struct {
	p            *Planner
	now          time.Time
	jobs         map[string]*wire.Generate
	at           map[string]string // job to entry
	sent         []Send
	storeActions []StoreGroup
}

func newPlannerRun(o PlannerOptions) *plannerRun {
	return &plannerRun{p: NewPlanner(o), now: time.Unix(1000, 0), jobs: map[string]*wire.Generate{}, at: map[string]string{}}
}

func (r *plannerRun) step(event any) {
	for _, action := range r.p.Step(r.now, event) {
		switch a := action.(type) {
		case Send:
			r.sent = append(r.sent, a)
			switch m := a.Message.(type) {
			case *wire.Generate:
				r.jobs[m.Job], r.at[m.Job] = m, a.Entry
			case *wire.Abandon:
				delete(r.jobs, m.Job)
			}
		case StoreGroup:
			r.storeActions = append(r.storeActions, a)
		}
	}
}

func (r *plannerRun) start(v View, entries ...string) {
	for _, e := range entries {
		r.step(EntryUp{e})
	}
	r.step(LeadershipChanged{true})
	r.step(ViewChanged{v})
	r.now = r.now.Add(adoptWait)
	r.step(Tick{})
}

func (r *plannerRun) done(job string, tokens int, version uint64) {
	m := r.jobs[job]
	delete(r.jobs, job)
	result := &wire.SampleDone{Job: job, Sample: m.Sample, Versions: []wire.VersionRange{{To: tokens, Version: version}}}
	for range tokens {
		result.Tokens = append(result.Tokens, "t")
	}
	r.step(JobDone{Entry: r.at[job], Result: result})
}

func testView(trainers ...string) View {
	var v View
	for _, name := range trainers {
		t := TrainerView{Name: name, Version: 1, Bound: 1, Pools: []string{"lm"}}
		s := StepView{Step: 1, GroupSize: 4, Sampling: Sampling{MaxTokens: 10}}
		for g := range 8 {
			s.Groups = append(s.Groups, GroupView{Group: g, Prompt: fmt.Sprint(g)})
		}
		t.Steps = []StepView{s}
		v.Trainers = append(v.Trainers, t)
	}
	return v
}

// Guards against jobs that stay assigned to a disconnected entry, and against a short
// outage of its link that discards its work.
func TestJobsOfSilentEntryMove(t *testing.T) {
	is := is.New(t)
	r := newPlannerRun(testPlanner())
	r.start(testView("abay"), "e1", "e2")
	is.Equal(len(r.jobs), 32)
	assigned := map[string]bool{}
	for job, e := range r.at {
		if e == "e1" {
			assigned[job] = true
		}
	}
	is.Equal(len(assigned), 16)

	r.step(EntryDown{Entry: "e1"})
	r.now = r.now.Add(ReassignAfter - 1)
	r.sent = nil
	r.step(Tick{})
	is.Equal(len(r.sent), 0) // the link may come back
	r.step(EntryUp{"e1"})
	resent := 0
	for _, s := range r.sent {
		if s.Job != "" {
			is.True(assigned[s.Job]) // the same jobs are resent, no new ones
			resent++
		}
	}
	is.Equal(resent, 16)

	r.step(EntryDown{Entry: "e1"})
	r.now = r.now.Add(ReassignAfter)
	r.sent = nil
	r.step(Tick{})
	moved := 0
	for _, s := range r.sent {
		if s.Job != "" {
			is.Equal(s.Entry, "e2")
			moved++
		}
	}
	is.Equal(moved, 16)
}

// Guards against a second result of a sample that replaces the first or is not
// counted.
func TestSecondResultIsDiscarded(t *testing.T) {
	is := is.New(t)
	r := newPlannerRun(testPlanner())
	r.start(testView("abay"), "e1", "e2")
	var first string
	for job, e := range r.at {
		if e == "e1" && r.jobs[job].Sample == (wire.SampleID{Trainer: "abay", Step: 1, Group: r.jobs[job].Sample.Group, Index: r.jobs[job].Sample.Index}) {
			first = job
			break
		}
	}
	sample := r.jobs[first].Sample
	r.step(EntryDown{Entry: "e1", Silent: true})
	second := ""
	for job, m := range r.jobs {
		if m.Sample == sample && job != first {
			second = job
		}
	}
	is.True(second != "")
	r.done(first, 5, 1) // late, but the first
	is.Equal(r.p.Repeated, 0)
	r.jobs[second] = &wire.Generate{Job: second, Sample: sample}
	r.done(second, 7, 1)
	is.Equal(r.p.Repeated, 1)
	is.Equal(r.p.Wasted, 7)
}

// Guards against a group that is completed with a result that is too old, of
// unknown version or that covers only some of its tokens.
func TestBadResultsAreGeneratedAgain(t *testing.T) {
	is := is.New(t)
	view := testView("abay")
	view.Trainers[0].Version = 5
	view.Trainers[0].Steps[0].Groups = view.Trainers[0].Steps[0].Groups[:1]
	r := newPlannerRun(testPlanner())
	r.start(view, "e1")
	is.Equal(len(r.jobs), 4)
	bad := []func(job string){
		func(job string) { r.done(job, 3, 3) }, // oldest accepted is 4
		func(job string) { r.done(job, 3, 0) },
		func(job string) {
			m := r.jobs[job]
			delete(r.jobs, job)
			r.step(JobDone{Entry: "e1", Result: &wire.SampleDone{Job: job, Sample: m.Sample, Tokens: []string{"a", "b"}, Versions: []wire.VersionRange{{From: 1, To: 2, Version: 5}}}})
		},
	}
	for _, f := range bad {
		f(sortedKeys(r.jobs)[0])
		is.Equal(len(r.jobs), 4) // retried at once
	}
	for range 4 {
		r.done(sortedKeys(r.jobs)[0], 3, 4)
	}
	is.Equal(len(r.storeActions), 1)
	is.Equal(r.storeActions[0].Commit.Oldest, uint64(4))
	is.Equal(r.storeActions[0].Commit.Samples, 4)
	is.Equal(r.storeActions[0].Commit.Wasted, 3+3+2)
}

// Guards against a trainer that another one starves, and against shares that do
// not follow the weights.
func TestSharesFollowWeights(t *testing.T) {
	is := is.New(t)
	o := testPlanner()
	o.MaxInFlight = 1
	o.Policies = Policies{}
	o.Trainer = func(name string) (TrainerJobSettings, bool) {
		return TrainerJobSettings{Share: map[string]float64{"abay": 3, "chikushi": 1}[name], Deadline: time.Minute}, true
	}
	r := newPlannerRun(o)
	r.start(testView("abay", "chikushi"), "e1")
	tokens := map[string]int{}
	for range 24 {
		job := sortedKeys(r.jobs)[0]
		tokens[r.jobs[job].Sample.Trainer] += 10
		r.done(job, 10, 1)
	}
	is.Equal(tokens["abay"], 180)
	is.Equal(tokens["chikushi"], 60)
}

// Guards against a new leader that assigns jobs again that entries already run.
func TestNewLeaderAdoptsJobs(t *testing.T) {
	is := is.New(t)
	old := newPlannerRun(testPlanner())
	old.start(testView("abay"), "e1", "e2")
	r := newPlannerRun(testPlanner())
	r.step(EntryUp{"e1"})
	r.step(EntryUp{"e2"})
	r.step(LeadershipChanged{true})
	r.step(ViewChanged{testView("abay")})
	for _, e := range []string{"e1", "e2"} {
		var held []wire.EntryJob
		for _, job := range sortedKeys(old.jobs) {
			if old.at[job] == e {
				held = append(held, wire.EntryJob{Job: job, Sample: old.jobs[job].Sample})
			}
		}
		r.step(EntryJobs{Entry: e, Jobs: held})
	}
	r.now = r.now.Add(adoptWait)
	r.step(Tick{})
	is.Equal(sortedKeys(r.jobs), sortedKeys(old.jobs)) // the same ids and no others
}

// Guards against policies that act when disabled or decide the opposite.
func TestPolicies(t *testing.T) {
	is := is.New(t)
	all := AllPolicies()
	near := GroupRank{Step: 1, Missing: 1, Length: 5, Group: 2}
	far := GroupRank{Step: 1, Missing: 4, Length: 5, Group: 1}
	long := GroupRank{Step: 1, Missing: 4, Length: 9, Group: 3}
	next := GroupRank{Step: 2, Missing: 1, Length: 99, Group: 0}
	is.True(near.compare(far, all) < 0)
	is.True(far.compare(near, Policies{}) < 0)
	is.True(long.compare(near, all) < 0)
	is.True(long.compare(near, Policies{NearestGroup: true}) > 0)
	is.True(long.compare(next, all) < 0) // a lower step always goes first

	var h DurationHistory
	_, ok := h.Remaining(0)
	is.True(!ok)
	for i := range historySize + 50 {
		h.Add(time.Duration(1+i%10) * time.Second)
	}
	is.Equal(len(h.durations), historySize)
	rest, _ := h.Remaining(9 * time.Second)
	is.Equal(rest, time.Second)
	rest, _ = h.Remaining(30 * time.Second) // longer than all: the elapsed time again
	is.Equal(rest, 30*time.Second)

	now := time.Unix(1000, 0)
	late, _ := h.StragglerLimit()
	is.Equal(late, 12500*time.Millisecond) // 1.25 times 10 s

	a := VersionProgress{Version: 5, Bound: 1, Advanced: now.Add(-20 * time.Second), Interval: 24 * time.Second}
	is.True(ShouldCancel(now, now.Add(-time.Second), 3, 5, a, &h))    // too old already
	is.True(ShouldCancel(now, now.Add(-time.Second), 4, 5, a, &h))    // will be, in 4 s
	is.True(!ShouldCancel(now, now.Add(-9*time.Second), 4, 5, a, &h)) // ends within 1 s
	is.True(!ShouldCancel(now, now.Add(-time.Second), 5, 5, a, &h))   // on current weights
}

// Guards against spares and second copies that are not started, or continue after
// the group is complete.
func TestSparesAndCopies(t *testing.T) {
	is := is.New(t)
	o := testPlanner()
	o.Policies = Policies{Spares: 1, SecondCopy: true}
	view := testView("abay")
	r := newPlannerRun(o)
	r.start(view, "e1", "e2")
	is.Equal(len(r.jobs), 8*5)
	for range 7 {
		for range 4 {
			r.now = r.now.Add(10 * time.Millisecond)
			r.done(sortedKeys(r.jobs)[0], 3, 1)
		}
	}
	before := len(r.jobs)
	r.now = r.now.Add(time.Minute / 2)
	r.step(Tick{})
	is.True(len(r.jobs) > before) // copies of the stragglers
	for g := range view.Trainers[0].Steps[0].Groups {
		view.Trainers[0].Steps[0].Groups[g].State = GroupComplete
	}
	r.step(ViewChanged{view})
	is.Equal(len(r.jobs), 0) // all abandoned
	is.Equal(r.p.inFlight, 0)
}

// Guards against FreshStart delaying a sample after the pool had time for its weight
// swap, or applying before the interval between versions is known.
func TestFreshStart(t *testing.T) {
	is := is.New(t)
	o := testPlanner()
	o.Policies = Policies{FreshStart: true}
	view := testView("abay")
	r := newPlannerRun(o)
	r.start(view, "e1")
	oldest := func() uint64 { return r.jobs[sortedKeys(r.jobs)[0]].MinVersion }
	is.Equal(oldest(), uint64(0)) // version 1, bound 1
	view.Trainers[0].Version = 5
	r.now = r.now.Add(time.Minute)
	r.step(ViewChanged{view})
	is.Equal(r.p.startVersion(r.now, "abay"), uint64(5))
	is.Equal(r.p.startVersion(r.now.Add(freshWindow), "abay"), uint64(4))
	r.p.options.Policies.FreshStart = false
	is.Equal(r.p.startVersion(r.now, "abay"), uint64(4))
}

// Guards against planning every waiting sample again for failed sends: an entry's
// connection has closed, the planner has not handled that event yet, and a thousand
// samples wait for entries.
func TestFailedSendsDoNotPlanEverySampleAgain(t *testing.T) {
	is := is.New(t)
	const perEntry = 16
	r := newPlannerRun(PlannerOptions{MaxInFlight: 64, MaxPerEntry: perEntry, Trainer: func(string) (TrainerJobSettings, bool) {
		return TrainerJobSettings{Share: 1, Deadline: time.Minute}, true
	}})
	v := testView("one", "two", "three", "four")
	for i := range v.Trainers {
		step := &v.Trainers[i].Steps[0]
		step.GroupSize, step.Groups = 8, nil
		for g := range 32 {
			step.Groups = append(step.Groups, GroupView{Group: g, Prompt: fmt.Sprint(g)})
		}
	}
	for _, e := range []string{"gone", "here"} {
		r.step(EntryUp{e})
	}
	r.step(LeadershipChanged{true})
	r.step(ViewChanged{v})
	failed := func() int {
		n := 0
		queue := r.p.Step(r.now, Tick{})
		for ; len(queue) > 0; queue = queue[1:] {
			if s, ok := queue[0].(Send); ok && s.Job != "" && s.Entry == "gone" {
				n++
				queue = append(queue, r.p.Step(r.now, SendFailed{Entry: s.Entry, Job: s.Job})...)
			}
		}
		return n
	}
	r.now = r.now.Add(adoptWait)
	first := failed()
	is.True(first > 0 && first <= perEntry)
	r.now = r.now.Add(retryMax)
	again := failed()
	is.True(again > 0 && again <= perEntry) // it is tried again after a tick
}
