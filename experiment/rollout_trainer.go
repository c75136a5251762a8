package experiment

import (
	"fmt"
	"time"

	"merlinhall/actor"
	"merlinhall/rollout"
)

// chunks is the number of ledger steps in which a trainer opens one training
// step. Small ledger steps let it open a part of the next training step.
const chunks = 16

// trainerModel draws the groups of a training step, trains and publishes. The
// baseline waits for all groups of its own step; otherwise any whole groups of
// open steps do, so that a long sample does not hold up the step.
type trainerModel struct {
	m       *rolloutModel
	name    string
	version uint64
	step    int // training steps finished
	opened  int // groups opened
	ledger  uint64
	got     int // groups of the current training step
	draws   int
	waiting bool
	since   time.Time
	start   time.Time // end of the warm-up
	idle    time.Duration
}

// wait begins a training step.
func (t *trainerModel) wait() {
	if t.step == warmUp {
		t.start = t.m.events.now
	}
	t.since = t.m.events.now
	t.waiting = true
	t.got = 0
	t.open(t.step+1, t.m.o.Surplus)
	t.draw()
}

// open opens ledger steps until the trainer has opened the groups of so many
// training steps and a share of one more.
func (t *trainerModel) open(steps int, share float64) {
	size := t.m.o.Scale.Groups
	groups := int((float64(steps) + share) * float64(size))
	if !t.m.o.Baseline {
		size /= chunks
	}
	for t.opened < groups {
		t.ledger++
		c := &rollout.OpenStep{
			Trainer: t.name, Step: t.ledger, GroupSize: t.m.o.Scale.GroupSize,
			Sampling: rollout.Sampling{MaxTokens: longestSample, Seed: int64(t.m.o.Seed)}, Version: t.version,
		}
		for i := range size {
			c.Prompts = append(c.Prompts, fmt.Sprintf("%s/%d/%d", t.name, t.ledger, i))
		}
		outcome := t.m.apply(rollout.Command{OpenStep: c})
		actor.Invariant(outcome.Code == rollout.CodeOK, "open step: %+v", outcome)
		t.opened += size
	}
}

// draw takes what is whole and begins training once the step is complete.
func (t *trainerModel) draw() {
	if !t.waiting {
		return
	}
	t.draws++
	d := &rollout.Draw{Trainer: t.name, ID: fmt.Sprint(t.draws), MaxGroups: t.m.o.Scale.Groups - t.got}
	if t.m.o.Baseline {
		d.UpToStep = uint64(t.step + 1)
	}
	outcome := t.m.apply(rollout.Command{Draw: d})
	if outcome.Code != rollout.CodeOK {
		return
	}
	for _, g := range outcome.Groups {
		t.record(g)
	}
	t.got += len(outcome.Groups)
	t.m.apply(rollout.Command{Ack: &rollout.Ack{Trainer: t.name, ID: d.ID}})
	if t.got == t.m.o.Scale.Groups {
		t.train()
	}
}

func (t *trainerModel) record(g rollout.DrawnGroup) {
	for _, oldest := range t.m.bodies[g.Key] {
		if t.step >= warmUp {
			t.m.ages = append(t.m.ages, float64(t.version-min(oldest, t.version)))
		}
	}
	delete(t.m.bodies, g.Key)
}

func (t *trainerModel) train() {
	t.waiting = false
	if t.step >= warmUp {
		t.idle += t.m.events.now.Sub(t.since)
	}
	t.open(t.step+1, t.m.o.Ahead)
	t.m.events.after(t.m.o.Scale.TrainTime, func() {
		t.version++
		outcome := t.m.apply(rollout.Command{Publish: &rollout.Publish{Trainer: t.name, Pool: t.name, Version: t.version, RequestID: fmt.Sprint(t.version)}})
		actor.Invariant(outcome.Code == rollout.CodeOK, "publish: %+v", outcome)
		t.m.publish(t.name, t.version)
		t.step++
		t.wait()
	})
}

// result sums up a run.
func (m *rolloutModel) result() RolloutResult {
	r := RolloutResult{}
	var idle, total time.Duration
	delivered, wasted := 0.0, m.lost+float64(m.planner.Wasted-m.reported)
	for _, t := range m.trainers {
		r.Steps += float64(t.step)
		if t.step <= warmUp {
			continue
		}
		if t.waiting {
			t.idle += m.events.now.Sub(t.since)
		}
		idle += t.idle
		total += m.events.now.Sub(t.start)
		counts := m.ledger.Status()[t.name].Counts
		delivered += float64(counts.Delivered)
		wasted += float64(counts.Wasted)
	}
	r.Idle = idle.Seconds() / max(total.Seconds(), 1)
	r.StalenessMean = mean(m.ages)
	r.StalenessP99 = quantile(m.ages, 0.99)
	r.Wasted = wasted / max(delivered, 1)
	r.CallerP99 = percentile(m.calls, 0.99).Seconds()
	r.Bound = m.leastIdle(delivered / max(r.Steps, 1))
	return r
}

// leastIdle is the idle share if the engines ran full batches without a break
// and every token counted: each trainer's cycle takes at least its share of the
// token rate that callers leave.
func (m *rolloutModel) leastIdle(tokensPerStep float64) float64 {
	s := m.o.Scale
	up := s.Crash.Seconds() / (s.Crash.Seconds() + s.Down.Seconds())
	rate := float64(s.Engines)*capacity()*up - s.Callers*s.Answer
	cycle := tokensPerStep * float64(s.Trainers) / rate
	return max(0, 1-s.TrainTime.Seconds()/max(cycle, 1e-9))
}
