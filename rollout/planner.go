package rollout

import (
	"slices"
	"time"

	"merlinhall/wire"
)

// Delays and time limits of the planner.
const (
	// ReassignAfter is how long an entry may stay disconnected before its jobs are
	// reassigned.
	ReassignAfter = 2 * time.Second
	// adoptWait is how long a new leader waits for the entries to report their jobs
	// before it assigns new ones.
	adoptWait = 500 * time.Millisecond
	// retryMin and retryMax bound the exponential backoff of a failed sample.
	retryMin = 100 * time.Millisecond
	retryMax = 5 * time.Second
	// deadlineGrace is how long after its deadline a job without a result is
	// considered lost.
	deadlineGrace = 5 * time.Second
	// intervalSmoothing is the weight of the newest interval in the moving average
	// of the time between a trainer's versions.
	intervalSmoothing = 0.3
)

// TrainerJobSettings holds the configured settings of a trainer's jobs.
type TrainerJobSettings struct {
	Share    float64
	Scorer   string
	Deadline time.Duration
	Priority int8
}

// PlannerOptions configure a Planner.
type PlannerOptions struct {
	MaxInFlight int // jobs on all entries
	MaxPerEntry int // jobs on one entry
	Policies    Policies
	Trainer     func(name string) (TrainerJobSettings, bool)
}

// Events of the planner.
type (
	// LeadershipChanged reports that this replica gained or lost the leadership.
	LeadershipChanged struct{ Leading bool }
	// ViewChanged carries the current view of the ledger.
	ViewChanged struct{ View View }
	// EntryUp reports a new connection to an entry.
	EntryUp struct{ Entry string }
	// EntryDown reports the loss of the last connection to an entry. Silent is set
	// when the link timed out; the jobs are then reassigned without further delay.
	EntryDown struct {
		Entry  string
		Silent bool
	}
	// EntryJobs carries an entry's answer to a JobsQuery: the jobs that it runs or
	// whose results it keeps.
	EntryJobs struct {
		Entry string
		Jobs  []wire.EntryJob
	}
	// JobDone carries the result of a job.
	JobDone struct {
		Entry  string
		Result *wire.SampleDone
	}
	// SendFailed reports that a Send could not be queued.
	SendFailed struct{ Entry, Job string }
	// StoreGroupFailed reports that a StoreGroup did not lead to a complete group.
	StoreGroupFailed struct {
		Trainer string
		Step    uint64
		Group   int
		Round   uint32
	}
	// Tick triggers timeouts and retries.
	Tick struct{}
)

// Actions of the planner.
type (
	// Send sends a message to an entry.
	Send struct {
		Entry   string
		Message wire.Message
		Job     string // only set for Generate
	}
	// StoreGroup stores a body on a majority of the replicas and commits its group.
	StoreGroup struct {
		Commit CommitGroup // Key.Digest and Size are set by the store
		Body   Body
	}
)

// Planner assigns samples to entries for generation. It is a pure state machine:
// Step takes the time and an event and returns actions.
type Planner struct {
	options    PlannerOptions
	leading    bool
	assignFrom time.Time // no job is assigned before this time
	entries    map[string]*entryState
	jobs       map[string]*job
	groups     map[groupID]*groupProgress
	trainers   map[string]*trainerState
	fair       *FairScheduler
	inFlight   int
	// backlog is set when samples may be waiting for an entry. While it is clear,
	// a result does not trigger a search of all groups.
	backlog bool
	actions []any

	// Wasted counts tokens that were generated and discarded.
	Wasted int
	// Repeated counts results that arrived when their sample already had one, or when
	// their group was being stored, had been reset or was no longer pending.
	Repeated int
}

type entryState struct {
	connected   bool
	unreachable bool      // a send to it failed since the last tick
	reassignAt  time.Time // when the jobs of a disconnected entry are reassigned
	running     int       // number of active jobs
}

type trainerState struct {
	view             TrainerView
	progress         VersionProgress
	durations        DurationHistory
	meanSampleTokens float64 // mean tokens of a sample
	samples          int
}

// NewPlanner returns a planner of a replica that is not the leader.
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
	case LeadershipChanged:
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
	case StoreGroupFailed:
		p.storeGroupFailed(now, e)
	case Tick:
		p.tick(now)
	}
	if p.leading && p.backlog {
		p.assign(now)
	}
	return p.actions
}

// tick expires jobs, cancels samples that would end too old and requests a search
// for samples to assign.
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

// hasWork reports whether the planner needs regular ticks, beyond those that remove
// disconnected entries.
func (p *Planner) hasWork() bool {
	return p.leading && (len(p.jobs) > 0 || len(p.groups) > 0)
}

func (p *Planner) emit(a any) { p.actions = append(p.actions, a) }

// setLeading discards all jobs and groups. A former leader sends no Abandon, because
// its jobs belong to the new leader.
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
	progress := p.groups[id]
	if progress != nil && progress.round == g.Round {
		return
	}
	if progress != nil {
		p.dropGroup(id)
	}
	p.backlog = true
	p.groups[id] = &groupProgress{round: g.Round, prompt: g.Prompt, size: s.GroupSize, samples: map[int]*sampleProgress{}}
}

// dropGroup removes a group that needs no more samples and abandons its jobs.
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

// abandon removes a job and sends Abandon to its entry, which cancels the job or
// drops the result that it keeps for resends.
func (p *Planner) abandon(j *job) {
	p.unassign(j)
	delete(p.jobs, j.id)
	if e := p.entries[j.entry]; e != nil && e.connected {
		p.emit(Send{Entry: j.entry, Message: &wire.Abandon{Job: j.id}})
	}
}

// unassign removes a job from the counts of running jobs.
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
// their group was complete.
func (p *Planner) discardStaleResults() {
	for _, g := range p.sortedGroups() {
		progress := p.groups[g]
		if progress.storing {
			continue
		}
		limit := p.minVersion(g.trainer)
		for _, s := range progress.samples {
			if s.result != nil && s.oldest < limit {
				p.countWasted(progress, len(s.result.Tokens))
				progress.setResult(s, nil)
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
