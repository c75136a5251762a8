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

// candidate is a sample that may be started.
type candidate struct {
	group groupID
	index int
	avoid string
}

// assign gives samples to entries until the bounds are reached.
func (p *Planner) assign(now time.Time) {
	if now.Before(p.adoptAt) || p.inFlight >= p.o.MaxInFlight || !p.anyEntryFree() {
		return
	}
	queues := p.queues(now)
	p.assignQueues(now, queues)
	p.backlog = len(queues) > 0
	if p.o.Policies.SecondCopy && len(queues) == 0 {
		p.assignCopies(now)
	}
}

func (p *Planner) assignQueues(now time.Time, queues map[string][]candidate) {
	active := make(map[string]bool, len(queues))
	for name := range queues {
		active[name] = true
	}
	p.shares.SetActive(active)
	for p.inFlight < p.o.MaxInFlight && len(queues) > 0 {
		name := p.shares.Order(sortedKeys(queues))[0]
		c := queues[name][0]
		entry := p.chooseEntry(c.avoid)
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

// queues returns the samples to start of each trainer, most urgent first.
func (p *Planner) queues(now time.Time) map[string][]candidate {
	queues := map[string][]candidate{}
	for _, id := range p.rankedGroups(now) {
		g := p.groups[id]
		if q := g.startable(now, id, p.o.Policies.Spares); len(q) > 0 {
			queues[id.trainer] = append(queues[id.trainer], q...)
		}
	}
	return queues
}

// startable returns the samples of a group that have neither a result nor a
// running job. Spares are added while the group is not complete.
func (g *groupPlan) startable(now time.Time, id groupID, spares int) []candidate {
	var found []candidate
	for index := range g.size + spares {
		s := g.samples[index]
		if s == nil {
			found = append(found, candidate{group: id, index: index})
			continue
		}
		if s.result == nil && s.running == 0 && !now.Before(s.notBefore) {
			found = append(found, candidate{group: id, index: index, avoid: s.avoid})
		}
	}
	return found
}

// rankedGroups returns the groups with samples to start, most urgent first.
func (p *Planner) rankedGroups(now time.Time) []groupID {
	type ranked struct {
		id   groupID
		rank GroupRank
	}
	known := map[string]bool{}
	for name := range p.trainers {
		_, known[name] = p.o.Trainer(name)
	}
	var found []ranked
	for id, g := range p.groups {
		if g.sealed || g.covered >= g.size+p.o.Policies.Spares || !known[id.trainer] || now.Before(g.retryAt) {
			continue
		}
		rank := GroupRank{Step: id.step, Missing: g.size - g.results, Length: g.meanTokens(p.mean(id.trainer)), Group: id.group}
		found = append(found, ranked{id, rank})
	}
	slices.SortFunc(found, func(a, b ranked) int {
		return cmp.Or(a.rank.compare(b.rank, p.o.Policies), a.id.compare(b.id))
	})
	ids := make([]groupID, len(found))
	for i, r := range found {
		ids[i] = r.id
	}
	return ids
}

func (p *Planner) mean(trainer string) float64 {
	if t := p.trainers[trainer]; t != nil {
		return t.mean
	}
	return 0
}

// free reports whether the entry takes another job. One that a message could not be
// sent to gets none until the next tick: its connection has ended and the news is on
// the way, and each job that is tried would only be planned again.
func (p *Planner) free(e *entryPlan) bool {
	return e.connected && !e.failing && e.jobs < p.o.MaxPerEntry
}

func (p *Planner) anyEntryFree() bool {
	for _, e := range p.entries {
		if p.free(e) {
			return true
		}
	}
	return false
}

// chooseEntry returns the connected entry with the fewest jobs, or "". The entry
// to avoid is chosen only when no other is free.
func (p *Planner) chooseEntry(avoid string) string {
	best := ""
	for _, name := range sortedKeys(p.entries) {
		e := p.entries[name]
		if !p.free(e) || name == avoid {
			continue
		}
		if best == "" || e.jobs < p.entries[best].jobs {
			best = name
		}
	}
	if e := p.entries[avoid]; best == "" && e != nil && p.free(e) {
		return avoid
	}
	return best
}

func (p *Planner) start(now time.Time, c candidate, entry string) {
	g, t := p.groups[c.group], p.trainers[c.group.trainer]
	s := g.sample(c.index)
	s.tries++
	j := &job{
		id:      jobID(c.group.sample(c.index), g.round, s.tries),
		group:   c.group,
		index:   c.index,
		entry:   entry,
		start:   now,
		charge:  p.expectedTokens(c.group),
		version: t.aging.Version,
	}
	p.track(j)
	p.shares.Charge(c.group.trainer, j.charge, p.share(c.group.trainer))
	p.act(Send{Entry: entry, Message: p.generate(now, j), Job: j.id})
}

// track counts a running job.
func (p *Planner) track(j *job) {
	p.jobs[j.id] = j
	p.inFlight++
	p.entries[j.entry].jobs++
	g := p.groups[j.group]
	s := g.sample(j.index)
	s.jobs = append(s.jobs, j.id)
	g.addRunning(s, 1)
}

func (id groupID) sample(index int) wire.SampleID {
	return wire.SampleID{Trainer: id.trainer, Step: id.step, Group: id.group, Index: index}
}

func (p *Planner) share(trainer string) float64 {
	plan, _ := p.o.Trainer(trainer)
	return plan.Share
}

func (p *Planner) expectedTokens(id groupID) int {
	t := p.trainers[id.trainer]
	if t.mean > 0 {
		return int(t.mean)
	}
	return t.sampling(id.step).MaxTokens
}

func (t *trainerPlan) sampling(step uint64) Sampling {
	for _, s := range t.view.Steps {
		if s.Step == step {
			return s.Sampling
		}
	}
	return Sampling{}
}

// startVersion returns the oldest version on which a sample may start.
func (p *Planner) startVersion(now time.Time, trainer string) uint64 {
	a := p.trainers[trainer].aging
	if p.o.Policies.FreshStart && a.Interval > 0 && now.Before(a.Advanced.Add(freshWindow)) {
		return a.Version
	}
	return p.minVersion(trainer)
}

func (p *Planner) generate(now time.Time, j *job) *wire.Generate {
	g, t := p.groups[j.group], p.trainers[j.group.trainer]
	plan, _ := p.o.Trainer(j.group.trainer)
	sampling := t.sampling(j.group.step)
	sample := j.group.sample(j.index)
	pool := ""
	if n := len(t.view.Pools); n > 0 {
		pool = t.view.Pools[j.group.group%n]
	}
	priority := plan.Priority
	if p.o.Policies.NearestGroup && g.size-g.results <= max(1, g.size/4) {
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
		Scorer:     plan.Scorer,
		Priority:   priority,
		Deadline:   now.Add(plan.Deadline).UnixMilli(),
	}
}

// lateJobs returns the jobs that run late and have no second copy yet.
func (p *Planner) lateJobs(now time.Time) []string {
	limits := map[string]time.Duration{}
	for name, t := range p.trainers {
		if limit, ok := t.history.Late(); ok {
			limits[name] = limit
		}
	}
	var late []string
	for id, j := range p.jobs {
		limit, ok := limits[j.group.trainer]
		g := p.groups[j.group]
		if !ok || j.idle || now.Sub(j.start) <= limit || g == nil || g.sealed {
			continue
		}
		if g.sample(j.index).running == 1 {
			late = append(late, id)
		}
	}
	slices.Sort(late)
	return late
}

// assignCopies starts late samples a second time where an entry is free.
func (p *Planner) assignCopies(now time.Time) {
	for _, id := range p.lateJobs(now) {
		j := p.jobs[id]
		entry := p.chooseEntry(j.entry)
		if entry == "" || entry == j.entry || p.inFlight >= p.o.MaxInFlight {
			return
		}
		p.start(now, candidate{group: j.group, index: j.index}, entry)
	}
}
