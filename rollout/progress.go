package rollout

import (
	"slices"
	"time"

	"merlinhall/wire"
)

// entryUp connects an entry. The jobs it was given are sent again: it ignores
// those it runs and answers those it finished while the link was down.
func (p *Planner) entryUp(name string) {
	e := p.entries[name]
	if e == nil {
		e = &entryPlan{}
		p.entries[name] = e
	}
	e.connected, e.failing = true, false
	if !p.leading {
		return
	}
	p.act(Send{Entry: name, Message: &wire.JobsQuery{}})
	for _, id := range sortedKeys(p.jobs) {
		j := p.jobs[id]
		if j.entry == name && !j.idle {
			p.act(Send{Entry: name, Message: p.generate(j.start, j), Job: id})
		}
	}
}

func (p *Planner) entryDown(now time.Time, d EntryDown) {
	e := p.entries[d.Entry]
	if e == nil || !e.connected {
		return
	}
	e.connected = false
	e.reassign = now.Add(ReassignAfter)
	if d.Silent {
		e.reassign = now
		p.tick(now)
	}
}

// adopt takes over jobs that a former leader gave to an entry.
func (p *Planner) adopt(now time.Time, e EntryJobs) {
	entry := p.entries[e.Entry]
	if !p.leading || entry == nil || !entry.connected {
		return
	}
	for _, held := range e.Jobs {
		sample, round, try, ok := parseJobID(held.Job)
		if !ok || p.jobs[held.Job] != nil {
			continue
		}
		id := groupID{sample.Trainer, sample.Step, sample.Group}
		g := p.groups[id]
		if !p.wanted(g, round, sample.Index) {
			p.act(Send{Entry: e.Entry, Message: &wire.Abandon{Job: held.Job}})
			continue
		}
		s := g.sample(sample.Index)
		s.tries = max(s.tries, try)
		j := &job{id: held.Job, group: id, index: sample.Index, entry: e.Entry, start: now, charge: p.expectedTokens(id)}
		j.version = p.minVersion(id.trainer)
		p.track(j)
		p.shares.Charge(id.trainer, j.charge, p.share(id.trainer))
		p.act(Send{Entry: e.Entry, Message: p.generate(now, j), Job: j.id})
	}
}

func (p *Planner) wanted(g *groupPlan, round uint32, index int) bool {
	if g == nil || g.sealed || g.round != round || index >= g.size+p.o.Policies.Spares {
		return false
	}
	s := g.samples[index]
	return s == nil || s.result == nil && s.running == 0
}

func (p *Planner) jobDone(now time.Time, e JobDone) {
	if !p.leading {
		return
	}
	r := e.Result
	sample, round, try, ok := parseJobID(r.Job)
	if !ok || sample != r.Sample {
		return
	}
	id := groupID{sample.Trainer, sample.Step, sample.Group}
	g := p.groups[id]
	j := p.jobs[r.Job]
	if j != nil && j.done {
		return
	}
	if j != nil {
		p.settle(now, j, r)
	}
	p.waste(g, r.Wasted)
	if j == nil && r.Error != "" {
		return
	}
	if g == nil || g.sealed || g.round != round || g.sample(sample.Index).result != nil {
		p.Repeated++
		p.waste(g, len(r.Tokens))
		p.release(e.Entry, r.Job)
		return
	}
	s := g.sample(sample.Index)
	s.tries = max(s.tries, try)
	oldest, newest, covered := versionSpan(r.Versions, len(r.Tokens))
	if r.Error != "" || !covered || oldest < p.minVersion(id.trainer) {
		p.waste(g, len(r.Tokens))
		p.fail(now, s, e.Entry, r.Error != "")
		p.release(e.Entry, r.Job)
		return
	}
	g.setResult(s, r)
	s.oldest, s.newest = oldest, newest
	s.failures = 0
	p.stopCopies(s, r.Job)
	p.seal(id, g)
}

// settle ends a job and corrects the trainer's share to the tokens really used.
func (p *Planner) settle(now time.Time, j *job, r *wire.SampleDone) {
	used := len(r.Tokens) + r.Wasted
	p.shares.Charge(j.group.trainer, used-j.charge, p.share(j.group.trainer))
	if t := p.trainers[j.group.trainer]; t != nil && r.Error == "" {
		t.history.Add(now.Sub(j.start))
		t.samples = min(t.samples+1, historyLength)
		t.mean += (float64(len(r.Tokens)) - t.mean) / float64(t.samples)
	}
	p.unassign(j)
	j.done = true
	// The entry keeps the result until the group is whole; then abandon frees it.
	if r.Error != "" {
		delete(p.jobs, j.id)
	}
}

// release frees the result that an entry keeps.
func (p *Planner) release(entry, id string) {
	delete(p.jobs, id)
	if e := p.entries[entry]; e != nil && e.connected {
		p.act(Send{Entry: entry, Message: &wire.Abandon{Job: id}})
	}
}

// fail delays the next try of a sample. A sample that only was too old is tried
// at once.
func (p *Planner) fail(now time.Time, s *samplePlan, entry string, delay bool) {
	p.backlog = true
	if !delay {
		return
	}
	s.avoid = entry
	s.notBefore = now.Add(min(retryMin<<min(s.failures, 10), retryMax))
	s.failures++
}

// stopCopies abandons the other jobs of a sample that has a result.
func (p *Planner) stopCopies(s *samplePlan, keep string) {
	for _, id := range s.jobs {
		if j := p.jobs[id]; j != nil && id != keep {
			p.abandon(j)
		}
	}
	s.jobs = []string{keep}
}

// seal hands a complete group to the body store.
func (p *Planner) seal(id groupID, g *groupPlan) {
	if g.sealed || g.results < g.size {
		return
	}
	g.sealed = true
	commit := CommitGroup{
		Key:     wire.BodyKey{Trainer: id.trainer, Step: id.step, Group: id.group, Round: g.round},
		Samples: g.size,
		Wasted:  g.wasted,
	}
	var body Body
	for _, index := range sortedKeys(g.samples) {
		s := g.samples[index]
		if s.result == nil || len(body.Samples) == g.size {
			continue
		}
		r := s.result
		if len(body.Samples) == 0 || s.oldest < commit.Oldest {
			commit.Oldest = s.oldest
		}
		commit.Newest = max(commit.Newest, s.newest)
		commit.Tokens += len(r.Tokens)
		body.Samples = append(body.Samples, Sample{ID: r.Sample, Tokens: r.Tokens, Versions: r.Versions, Score: r.Score})
	}
	p.act(Seal{Commit: commit, Body: body})
}

// sealFailed lets a group be sealed again later.
func (p *Planner) sealFailed(now time.Time, e SealFailed) {
	g := p.groups[groupID{e.Trainer, e.Step, e.Group}]
	if g == nil || g.round != e.Round {
		return
	}
	g.sealed = false
	g.retryAt = now.Add(retryMin)
}

func (p *Planner) sendFailed(now time.Time, e SendFailed) {
	if entry := p.entries[e.Entry]; entry != nil {
		entry.failing = true
	}
	j := p.jobs[e.Job]
	if j == nil || j.entry != e.Entry {
		return
	}
	p.shares.Charge(j.group.trainer, -j.charge, p.share(j.group.trainer))
	p.unassign(j)
	delete(p.jobs, j.id)
	if g := p.groups[j.group]; g != nil {
		p.fail(now, g.sample(j.index), e.Entry, true)
	}
}

// expire gives up jobs of silent entries and jobs long past their deadline, and
// seals groups whose seal failed before.
func (p *Planner) expire(now time.Time) {
	for _, j := range p.jobs {
		if j.idle {
			continue
		}
		e := p.entries[j.entry]
		plan, _ := p.o.Trainer(j.group.trainer)
		silent := !e.connected && !now.Before(e.reassign)
		if silent || now.After(j.start.Add(plan.Deadline+deadlineGrace)) {
			p.unassign(j)
		}
	}
	for name, e := range p.entries {
		if !e.connected && e.jobs == 0 && !now.Before(e.reassign) {
			p.forgetEntry(name)
		}
	}
	for _, id := range p.sortedGroups() {
		if g := p.groups[id]; !g.sealed && !now.Before(g.retryAt) {
			p.seal(id, g)
		}
	}
}

func (p *Planner) forgetEntry(name string) {
	for id, j := range p.jobs {
		if j.entry == name && j.idle {
			delete(p.jobs, id)
		}
	}
	delete(p.entries, name)
}

// cancelTooOld stops jobs whose samples would be too old when they end.
func (p *Planner) cancelTooOld(now time.Time) {
	var old []string
	for id, j := range p.jobs {
		t := p.trainers[j.group.trainer]
		if !j.idle && t != nil && ShouldCancel(now, j.start, j.version, t.aging.Version, t.aging, &t.history) {
			old = append(old, id)
		}
	}
	slices.Sort(old)
	for _, id := range old {
		p.abandon(p.jobs[id])
	}
}
