package rollout

import (
	"slices"
	"time"

	"merlinhall/wire"
)

// entryUp marks an entry connected and resends its jobs. The entry ignores those
// still running and resends the results of those finished while the link was down.
func (p *Planner) entryUp(name string) {
	e := p.entries[name]
	if e == nil {
		e = &entryState{}
		p.entries[name] = e
	}
	e.connected, e.unreachable = true, false
	if !p.leading {
		return
	}
	p.emit(Send{Entry: name, Message: &wire.JobsQuery{}})
	for _, id := range sortedKeys(p.jobs) {
		j := p.jobs[id]
		if j.entry == name && !j.inactive {
			p.emit(Send{Entry: name, Message: p.generateMessage(j.start, j), Job: id})
		}
	}
}

func (p *Planner) entryDown(now time.Time, d EntryDown) {
	e := p.entries[d.Entry]
	if e == nil || !e.connected {
		return
	}
	e.connected = false
	e.reassignAt = now.Add(ReassignAfter)
	if d.Silent {
		e.reassignAt = now
		p.tick(now)
	}
}

// adopt takes over the jobs that a former leader assigned to an entry and abandons
// those that are not needed.
func (p *Planner) adopt(now time.Time, e EntryJobs) {
	entry := p.entries[e.Entry]
	if !p.leading || entry == nil || !entry.connected {
		return
	}
	for _, reported := range e.Jobs {
		sample, round, attempt, ok := parseJobID(reported.Job)
		if !ok || p.jobs[reported.Job] != nil {
			continue
		}
		id := groupID{sample.Trainer, sample.Step, sample.Group}
		g := p.groups[id]
		if !p.needsJob(g, round, sample.Index) {
			p.emit(Send{Entry: e.Entry, Message: &wire.Abandon{Job: reported.Job}})
			continue
		}
		s := g.sample(sample.Index)
		s.attempts = max(s.attempts, attempt)
		j := &job{id: reported.Job, group: id, index: sample.Index, entry: e.Entry, start: now, chargedTokens: p.expectedTokens(id)}
		j.assumedOldest = p.minVersion(id.trainer)
		p.track(j)
		p.fair.Charge(id.trainer, j.chargedTokens, p.share(id.trainer))
		p.emit(Send{Entry: e.Entry, Message: p.generateMessage(now, j), Job: j.id})
	}
}

func (p *Planner) needsJob(g *groupProgress, round uint32, index int) bool {
	if g == nil || g.storing || g.round != round || index >= g.size+p.options.Policies.Spares {
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
	sample, round, attempt, ok := parseJobID(r.Job)
	if !ok || sample != r.Sample {
		return
	}
	id := groupID{sample.Trainer, sample.Step, sample.Group}
	g := p.groups[id]
	j := p.jobs[r.Job]
	if j != nil && j.finished {
		return
	}
	if j != nil {
		p.finishJob(now, j, r)
	}
	p.countWasted(g, r.Wasted)
	if j == nil && r.Error != "" {
		return
	}
	if g == nil || g.storing || g.round != round || g.sample(sample.Index).result != nil {
		p.Repeated++
		p.countWasted(g, len(r.Tokens))
		p.releaseResult(e.Entry, r.Job)
		return
	}
	s := g.sample(sample.Index)
	s.attempts = max(s.attempts, attempt)
	oldest, newest, covered := versionSpan(r.Versions, len(r.Tokens))
	if r.Error != "" || !covered || oldest < p.minVersion(id.trainer) {
		p.countWasted(g, len(r.Tokens))
		p.scheduleRetry(now, s, e.Entry, r.Error != "")
		p.releaseResult(e.Entry, r.Job)
		return
	}
	g.setResult(s, r)
	s.oldest, s.newest = oldest, newest
	s.failures = 0
	p.abandonOtherJobs(s, r.Job)
	p.storeIfComplete(id, g)
}

// finishJob marks a job finished and corrects the trainer's charge to the tokens used.
func (p *Planner) finishJob(now time.Time, j *job, r *wire.SampleDone) {
	used := len(r.Tokens) + r.Wasted
	p.fair.Charge(j.group.trainer, used-j.chargedTokens, p.share(j.group.trainer))
	if t := p.trainers[j.group.trainer]; t != nil && r.Error == "" {
		t.durations.Add(now.Sub(j.start))
		t.samples = min(t.samples+1, historySize)
		t.meanSampleTokens += (float64(len(r.Tokens)) - t.meanSampleTokens) / float64(t.samples)
	}
	p.unassign(j)
	j.finished = true
	// The entry keeps the result until the group is complete; Abandon then frees it.
	if r.Error != "" {
		delete(p.jobs, j.id)
	}
}

// releaseResult tells an entry to drop a result that it keeps.
func (p *Planner) releaseResult(entry, id string) {
	delete(p.jobs, id)
	if e := p.entries[entry]; e != nil && e.connected {
		p.emit(Send{Entry: entry, Message: &wire.Abandon{Job: id}})
	}
}

// scheduleRetry schedules the next attempt at a sample, with backoff if delay is set.
// A sample that was only too old is retried at once.
func (p *Planner) scheduleRetry(now time.Time, s *sampleProgress, entry string, delay bool) {
	p.backlog = true
	if !delay {
		return
	}
	s.avoidEntry = entry
	s.notBefore = now.Add(min(retryMin<<min(s.failures, 10), retryMax))
	s.failures++
}

// abandonOtherJobs abandons the other jobs of a sample that has a result.
func (p *Planner) abandonOtherJobs(s *sampleProgress, keep string) {
	for _, id := range s.jobs {
		if j := p.jobs[id]; j != nil && id != keep {
			p.abandon(j)
		}
	}
	s.jobs = []string{keep}
}

// storeIfComplete hands a group to the body store once it is complete.
func (p *Planner) storeIfComplete(id groupID, g *groupProgress) {
	if g.storing || g.results < g.size {
		return
	}
	g.storing = true
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
	p.emit(StoreGroup{Commit: commit, Body: body})
}

// storeGroupFailed schedules another attempt to store a group.
func (p *Planner) storeGroupFailed(now time.Time, e StoreGroupFailed) {
	g := p.groups[groupID{e.Trainer, e.Step, e.Group}]
	if g == nil || g.round != e.Round {
		return
	}
	g.storing = false
	g.retryAt = now.Add(retryMin)
}

func (p *Planner) sendFailed(now time.Time, e SendFailed) {
	if entry := p.entries[e.Entry]; entry != nil {
		entry.unreachable = true
	}
	j := p.jobs[e.Job]
	if j == nil || j.entry != e.Entry {
		return
	}
	p.fair.Charge(j.group.trainer, -j.chargedTokens, p.share(j.group.trainer))
	p.unassign(j)
	delete(p.jobs, j.id)
	if g := p.groups[j.group]; g != nil {
		p.scheduleRetry(now, g.sample(j.index), e.Entry, true)
	}
}

// expire unassigns the jobs of entries that stayed disconnected and jobs long past
// their deadline, and retries groups that could not be stored before.
func (p *Planner) expire(now time.Time) {
	for _, j := range p.jobs {
		if j.inactive {
			continue
		}
		e := p.entries[j.entry]
		settings, _ := p.options.Trainer(j.group.trainer)
		lost := !e.connected && !now.Before(e.reassignAt)
		if lost || now.After(j.start.Add(settings.Deadline+deadlineGrace)) {
			p.unassign(j)
		}
	}
	for name, e := range p.entries {
		if !e.connected && e.running == 0 && !now.Before(e.reassignAt) {
			p.removeEntry(name)
		}
	}
	for _, id := range p.sortedGroups() {
		if g := p.groups[id]; !g.storing && !now.Before(g.retryAt) {
			p.storeIfComplete(id, g)
		}
	}
}

func (p *Planner) removeEntry(name string) {
	for id, j := range p.jobs {
		if j.entry == name && j.inactive {
			delete(p.jobs, id)
		}
	}
	delete(p.entries, name)
}

// cancelTooOld abandons jobs whose samples are predicted to end too old.
func (p *Planner) cancelTooOld(now time.Time) {
	var old []string
	for id, j := range p.jobs {
		t := p.trainers[j.group.trainer]
		if !j.inactive && t != nil && ShouldCancel(now, j.start, j.assumedOldest, t.progress.Version, t.progress, &t.durations) {
			old = append(old, id)
		}
	}
	slices.Sort(old)
	for _, id := range old {
		p.abandon(p.jobs[id])
	}
}
