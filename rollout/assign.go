package rollout

import (
	"cmp"
	"slices"
	"time"

	"merlinhall/wire"
)

func (id groupID) compare(other groupID) int {
	return cmp.Or(cmp.Compare(id.trainer, other.trainer), cmp.Compare(id.step, other.step), cmp.Compare(id.group, other.group))
}

// sampleCandidate is a sample that is ready to be assigned to an entry.
type sampleCandidate struct {
	group      groupID
	index      int
	avoidEntry string
}

// assign assigns waiting samples to entries until the limits are reached.
func (p *Planner) assign(now time.Time) {
	if now.Before(p.assignFrom) || p.inFlight >= p.options.MaxInFlight || !p.anyEntryFree() {
		return
	}
	queues := p.candidateQueues(now)
	p.assignQueues(now, queues)
	p.backlog = len(queues) > 0
	if p.options.Policies.SecondCopy && len(queues) == 0 {
		p.assignCopies(now)
	}
}

func (p *Planner) assignQueues(now time.Time, queues map[string][]sampleCandidate) {
	active := make(map[string]bool, len(queues))
	for name := range queues {
		active[name] = true
	}
	p.fair.SetActive(active)
	for p.inFlight < p.options.MaxInFlight && len(queues) > 0 {
		name := p.fair.Order(sortedKeys(queues))[0]
		c := queues[name][0]
		entry := p.chooseEntry(c.avoidEntry)
		if entry == "" {
			return
		}
		p.start(now, c, entry)
		queues[name] = queues[name][1:]
		if len(queues[name]) == 0 {
			delete(queues, name)
		}
	}
}

// candidateQueues returns the waiting samples of each trainer, most urgent first.
func (p *Planner) candidateQueues(now time.Time) map[string][]sampleCandidate {
	queues := map[string][]sampleCandidate{}
	for _, id := range p.rankedGroups(now) {
		g := p.groups[id]
		if q := g.startable(now, id, p.options.Policies.Spares); len(q) > 0 {
			queues[id.trainer] = append(queues[id.trainer], q...)
		}
	}
	return queues
}

// startable returns the samples of a group that have neither a result nor a
// running job. Spares are added while the group is not complete.
func (g *groupProgress) startable(now time.Time, id groupID, spares int) []sampleCandidate {
	var found []sampleCandidate
	for index := range g.size + spares {
		s := g.samples[index]
		if s == nil {
			found = append(found, sampleCandidate{group: id, index: index})
			continue
		}
		if s.result == nil && s.running == 0 && !now.Before(s.notBefore) {
			found = append(found, sampleCandidate{group: id, index: index, avoidEntry: s.avoidEntry})
		}
	}
	return found
}

// rankedGroups returns the groups with waiting samples, most urgent first.
func (p *Planner) rankedGroups(now time.Time) []groupID {
	type ranked struct {
		id   groupID
		rank GroupRank
	}
	known := map[string]bool{}
	for name := range p.trainers {
		_, known[name] = p.options.Trainer(name)
	}
	var found []ranked
	for id, g := range p.groups {
		if g.storing || g.covered >= g.size+p.options.Policies.Spares || !known[id.trainer] || now.Before(g.retryAt) {
			continue
		}
		rank := GroupRank{Step: id.step, Missing: g.size - g.results, Length: g.meanTokens(p.trainerMean(id.trainer)), Group: id.group}
		found = append(found, ranked{id, rank})
	}
	slices.SortFunc(found, func(a, b ranked) int {
		return cmp.Or(a.rank.compare(b.rank, p.options.Policies), a.id.compare(b.id))
	})
	ids := make([]groupID, len(found))
	for i, r := range found {
		ids[i] = r.id
	}
	return ids
}

func (p *Planner) trainerMean(trainer string) float64 {
	if t := p.trainers[trainer]; t != nil {
		return t.meanSampleTokens
	}
	return 0
}

// canTakeJob reports whether the entry can take another job. After a failed send an
// entry gets none until the next tick: its connection has closed but the planner has
// not handled that event yet, and every further job would fail and be planned again.
func (p *Planner) canTakeJob(e *entryState) bool {
	return e.connected && !e.unreachable && e.running < p.options.MaxPerEntry
}

func (p *Planner) anyEntryFree() bool {
	for _, e := range p.entries {
		if p.canTakeJob(e) {
			return true
		}
	}
	return false
}

// chooseEntry returns the connected entry with the fewest jobs, or "". The entry
// to avoid is chosen only when no other has capacity.
func (p *Planner) chooseEntry(avoid string) string {
	best := ""
	for _, name := range sortedKeys(p.entries) {
		e := p.entries[name]
		if !p.canTakeJob(e) || name == avoid {
			continue
		}
		if best == "" || e.running < p.entries[best].running {
			best = name
		}
	}
	if e := p.entries[avoid]; best == "" && e != nil && p.canTakeJob(e) {
		return avoid
	}
	return best
}

func (p *Planner) start(now time.Time, c sampleCandidate, entry string) {
	g, t := p.groups[c.group], p.trainers[c.group.trainer]
	s := g.sample(c.index)
	s.attempts++
	j := &job{
		id:            jobID(c.group.sample(c.index), g.round, s.attempts),
		group:         c.group,
		index:         c.index,
		entry:         entry,
		start:         now,
		chargedTokens: p.expectedTokens(c.group),
		assumedOldest: t.progress.Version,
	}
	p.track(j)
	p.fair.Charge(c.group.trainer, j.chargedTokens, p.share(c.group.trainer))
	p.emit(Send{Entry: entry, Message: p.generateMessage(now, j), Job: j.id})
}

// track adds a job to the counts of running jobs.
func (p *Planner) track(j *job) {
	p.jobs[j.id] = j
	p.inFlight++
	p.entries[j.entry].running++
	g := p.groups[j.group]
	s := g.sample(j.index)
	s.jobs = append(s.jobs, j.id)
	g.addRunning(s, 1)
}

func (id groupID) sample(index int) wire.SampleID {
	return wire.SampleID{Trainer: id.trainer, Step: id.step, Group: id.group, Index: index}
}

func (p *Planner) share(trainer string) float64 {
	settings, _ := p.options.Trainer(trainer)
	return settings.Share
}

func (p *Planner) expectedTokens(id groupID) int {
	t := p.trainers[id.trainer]
	if t.meanSampleTokens > 0 {
		return int(t.meanSampleTokens)
	}
	return t.sampling(id.step).MaxTokens
}

func (t *trainerState) sampling(step uint64) Sampling {
	for _, s := range t.view.Steps {
		if s.Step == step {
			return s.Sampling
		}
	}
	return Sampling{}
}

// startVersion returns the oldest version on which a sample may start.
func (p *Planner) startVersion(now time.Time, trainer string) uint64 {
	trainerProgress := p.trainers[trainer].progress
	if p.options.Policies.FreshStart && trainerProgress.Interval > 0 && now.Before(trainerProgress.Advanced.Add(freshWindow)) {
		return trainerProgress.Version
	}
	return p.minVersion(trainer)
}

func (p *Planner) generateMessage(now time.Time, j *job) *wire.Generate {
	g, t := p.groups[j.group], p.trainers[j.group.trainer]
	settings, _ := p.options.Trainer(j.group.trainer)
	sampling := t.sampling(j.group.step)
	sample := j.group.sample(j.index)
	pool := ""
	if n := len(t.view.Pools); n > 0 {
		pool = t.view.Pools[j.group.group%n]
	}
	priority := settings.Priority
	if p.options.Policies.NearestGroup && g.size-g.results <= max(1, g.size/4) {
		priority++
	}
	return &wire.Generate{
		Job:    j.id,
		Sample: sample,
		Pool:   pool,
		Generation: wire.Generation{
			Prompt:      g.prompt,
			MaxTokens:   sampling.MaxTokens,
			Seed:        sampleSeed(sampling.Seed, sample, g.round),
			Adapter:     sampling.Adapter,
			Temperature: sampling.Temperature,
		},
		MinVersion: p.startVersion(now, j.group.trainer),
		Scorer:     settings.Scorer,
		Priority:   priority,
		Deadline:   now.Add(settings.Deadline).UnixMilli(),
	}
}

// stragglers returns the sorted ids of overdue jobs that have no second copy yet.
func (p *Planner) stragglers(now time.Time) []string {
	limits := map[string]time.Duration{}
	for name, t := range p.trainers {
		if limit, ok := t.durations.StragglerLimit(); ok {
			limits[name] = limit
		}
	}
	var late []string
	for id, j := range p.jobs {
		limit, ok := limits[j.group.trainer]
		g := p.groups[j.group]
		if !ok || j.inactive || now.Sub(j.start) <= limit || g == nil || g.storing {
			continue
		}
		if g.sample(j.index).running == 1 {
			late = append(late, id)
		}
	}
	slices.Sort(late)
	return late
}

// assignCopies starts a second copy of each straggler on another entry that has
// capacity.
func (p *Planner) assignCopies(now time.Time) {
	for _, id := range p.stragglers(now) {
		j := p.jobs[id]
		entry := p.chooseEntry(j.entry)
		if entry == "" || entry == j.entry || p.inFlight >= p.options.MaxInFlight {
			return
		}
		p.start(now, sampleCandidate{group: j.group, index: j.index}, entry)
	}
}
