package rollout

import (
	"slices"
	"time"

	"merlinhall/wire"
)

// Times of the planner.
const (
	// ReassignAfter is the silence of an entry after which its jobs go to another.
	ReassignAfter = 2 * time.Second
	// adoptWait is how long a new leader waits for the entries to list the jobs
	// that they hold.
	adoptWait = 500 * time.Millisecond
	// retryMin and retryMax bound the delay before a failed sample is tried again.
	retryMin = 100 * time.Millisecond
	retryMax = 5 * time.Second
	// deadlineGrace is the time after its deadline at which a job without any
	// result is given up.
	deadlineGrace = 5 * time.Second
	// intervalSmoothing is the weight of the newest interval in the mean time between a
	// trainer's versions.
	intervalSmoothing = 0.3
)

// TrainerPlan is what the configuration says about a trainer's jobs.
type TrainerPlan struct {
	Share    float64
	Scorer   string
	Deadline time.Duration
	Priority int8
}

// PlannerOptions are the fixed inputs of a Planner.
type PlannerOptions struct {
	MaxInFlight int // jobs over all entries
	MaxPerEntry int // jobs at one entry
	Policies    Policies
	Trainer     func(name string) (TrainerPlan, bool)
}

// Events of the planner.
type (
	// LeadChanged starts or stops planning.
	LeadChanged struct{ Leading bool }
	// ViewChanged brings the state of the ledger.
	ViewChanged struct{ View View }
	// EntryUp is a new connection to an entry.
	EntryUp struct{ Entry string }
	// EntryDown is the loss of the last connection to an entry. Silent is set when
	// the entry had already been silent for the limit of the link.
	EntryDown struct {
		Entry  string
		Silent bool
	}
	// EntryJobs lists the jobs that an entry holds.
	EntryJobs struct {
		Entry string
		Jobs  []wire.HeldJob
	}
	// JobDone is the result of a job.
	JobDone struct {
		Entry  string
		Result *wire.SampleDone
	}
	// SendFailed reports that a Send could not be queued.
	SendFailed struct{ Entry, Job string }
	// SealFailed reports that a Seal did not lead to a whole group.
	SealFailed struct {
		Trainer string
		Step    uint64
		Group   int
		Round   uint32
	}
	// Tick lets time pass.
	Tick struct{}
)

// Actions of the planner.
type (
	// Send passes a message to an entry.
	Send struct {
		Entry   string
		Message wire.Message
		Job     string // set for Generate
	}
	// Seal stores a body on a majority and commits its group.
	Seal struct {
		Commit CommitGroup // Key.Digest and Size are set by the store
		Body   Body
	}
)

// Planner decides which samples are generated where. It is a pure state machine:
// Step takes the time and an event and returns actions.
type Planner struct {
	options    PlannerOptions
	leading    bool
	assignFrom time.Time // no job is assigned before
	entries    map[string]*entryState
	jobs       map[string]*job
	groups     map[groupID]*groupProgress
	trainers   map[string]*trainerState
	fair       *FairScheduler
	inFlight   int
	// backlog is set when samples may wait to be started. Without it a result
	// does not search all groups for more work.
	backlog bool
	actions []any

	// Wasted counts tokens of discarded results.
	Wasted int
	// Repeated counts second results of a sample.
	Repeated int
}

type entryState struct {
	connected   bool
	unreachable bool      // a send to it failed since the last tick
	reassignAt  time.Time // when a disconnected entry loses its jobs
	running     int       // that are not idle
}

type trainerState struct {
	view             TrainerView
	progress         VersionProgress
	durations        DurationHistory
	meanSampleTokens float64 // mean tokens of a sample
	samples          int
}

// NewPlanner returns a planner that does not lead.
func NewPlanner(o PlannerOptions) *Planner {
	return &Planner{
		options:  o,
		entries:  map[string]*entryState{},
		jobs:     map[string]*job{},
		groups:   map[groupID]*groupProgress{},
		trainers: map[string]*trainerState{},
		fair:     NewFairScheduler(),
	}
}

// Step handles one event and returns the actions to carry out, in order.
func (p *Planner) Step(now time.Time, event any) []any {
	p.actions = nil
	switch e := event.(type) {
	case LeadChanged:
		p.setLeading(now, e.Leading)
	case ViewChanged:
		p.updateView(now, e.View)
	case EntryUp:
		p.entryUp(e.Entry)
	case EntryDown:
		p.entryDown(now, e)
	case EntryJobs:
		p.adopt(now, e)
	case JobDone:
		p.jobDone(now, e)
	case SendFailed:
		p.sendFailed(now, e)
	case SealFailed:
		p.storeGroupFailed(now, e)
	case Tick:
		p.tick(now)
	}
	if p.leading && p.backlog {
		p.assign(now)
	}
	return p.actions
}

// tick does what time alone brings about.
func (p *Planner) tick(now time.Time) {
	if !p.leading {
		return
	}
	for _, e := range p.entries {
		e.unreachable = false
	}
	p.expire(now)
	if p.options.Policies.CancelTooOld {
		p.cancelTooOld(now)
	}
	p.backlog = true
}

// hasWork reports whether time may bring about more than forgetting an entry.
func (p *Planner) hasWork() bool {
	return p.leading && (len(p.jobs) > 0 || len(p.groups) > 0)
}

func (p *Planner) emit(a any) { p.actions = append(p.actions, a) }

// setLeading starts with nothing planned. A former leader sends no abandon: its jobs
// belong to its successor.
func (p *Planner) setLeading(now time.Time, leading bool) {
	p.leading = leading
	p.jobs = map[string]*job{}
	p.groups = map[groupID]*groupProgress{}
	p.trainers = map[string]*trainerState{}
	p.inFlight = 0
	p.assignFrom = now.Add(adoptWait)
	for _, name := range sortedKeys(p.entries) {
		p.entries[name].running = 0
		if leading && p.entries[name].connected {
			p.emit(Send{Entry: name, Message: &wire.JobsQuery{}})
		}
	}
}

func (p *Planner) updateView(now time.Time, v View) {
	if !p.leading {
		return
	}
	pending := map[groupID]bool{}
	trainers := map[string]bool{}
	for _, t := range v.Trainers {
		trainers[t.Name] = true
		p.updateTrainer(now, t)
		for _, s := range t.Steps {
			for _, g := range s.Groups {
				if g.State == GroupPending {
					id := groupID{t.Name, s.Step, g.Group}
					pending[id] = true
					p.updateGroup(id, s, g)
				}
			}
		}
	}
	for id := range p.groups {
		if !pending[id] {
			p.dropGroup(id)
		}
	}
	for name := range p.trainers {
		if !trainers[name] {
			delete(p.trainers, name)
		}
	}
	p.discardStaleResults()
}

func (p *Planner) updateTrainer(now time.Time, v TrainerView) {
	t := p.trainers[v.Name]
	if t == nil {
		t = &trainerState{progress: VersionProgress{Version: v.Version, Advanced: now}}
		p.trainers[v.Name] = t
	}
	if v.Version > t.progress.Version {
		interval := now.Sub(t.progress.Advanced) / time.Duration(v.Version-t.progress.Version)
		if t.progress.Interval > 0 {
			interval = time.Duration(intervalSmoothing*float64(interval) + (1-intervalSmoothing)*float64(t.progress.Interval))
		}
		t.progress.Version, t.progress.Advanced, t.progress.Interval = v.Version, now, interval
	}
	t.progress.Bound = v.Bound
	t.view = v
}

func (p *Planner) updateGroup(id groupID, s StepView, g GroupView) {
	plan := p.groups[id]
	if plan != nil && plan.round == g.Round {
		return
	}
	if plan != nil {
		p.dropGroup(id)
	}
	p.backlog = true
	p.groups[id] = &groupProgress{round: g.Round, prompt: g.Prompt, size: s.GroupSize, samples: map[int]*sampleProgress{}}
}

// dropGroup forgets a group that needs no more samples, and releases its jobs.
func (p *Planner) dropGroup(id groupID) {
	g := p.groups[id]
	delete(p.groups, id)
	for _, index := range sortedKeys(g.samples) {
		for _, jid := range g.samples[index].jobs {
			if j := p.jobs[jid]; j != nil {
				p.abandon(j)
			}
		}
	}
}

// abandon forgets a job and tells its entry. It also releases the result that
// the entry keeps for a resend.
func (p *Planner) abandon(j *job) {
	p.unassign(j)
	delete(p.jobs, j.id)
	if e := p.entries[j.entry]; e != nil && e.connected {
		p.emit(Send{Entry: j.entry, Message: &wire.Abandon{Job: j.id}})
	}
}

// unassign takes a job out of the counts of running jobs.
func (p *Planner) unassign(j *job) {
	if j.inactive {
		return
	}
	j.inactive = true
	p.inFlight--
	if e := p.entries[j.entry]; e != nil {
		e.running--
	}
	if g := p.groups[j.group]; g != nil {
		g.addRunning(g.sample(j.index), -1)
	}
}

// discardStaleResults discards results that fell below the staleness bound before
// their group became whole.
func (p *Planner) discardStaleResults() {
	for _, g := range p.sortedGroups() {
		plan := p.groups[g]
		if plan.storing {
			continue
		}
		limit := p.minVersion(g.trainer)
		for _, s := range plan.samples {
			if s.result != nil && s.oldest < limit {
				p.countWasted(plan, len(s.result.Tokens))
				plan.setResult(s, nil)
				p.backlog = true
			}
		}
	}
}

func (p *Planner) countWasted(g *groupProgress, tokens int) {
	p.Wasted += tokens
	if g != nil {
		g.wasted += tokens
	}
}

func (p *Planner) minVersion(trainer string) uint64 {
	t := p.trainers[trainer]
	if t == nil {
		return 0
	}
	return oldestAllowed(t.progress.Version, t.progress.Bound)
}

func (p *Planner) sortedGroups() []groupID {
	ids := make([]groupID, 0, len(p.groups))
	for id := range p.groups {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, groupID.compare)
	return ids
}
