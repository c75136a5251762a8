package experiment

import (
	"fmt"
	"time"

	"merlinhall/actor"
	"merlinhall/rollout"
)

// ledgerStepsPerTrainingStep is the number of ledger steps into which a trainer splits
// a training step, so that it can open a part of the next training step.
const ledgerStepsPerTrainingStep = 16

// trainerModel draws the groups of a training step, trains and publishes weights. The
// baseline waits for all groups of the step itself. Otherwise the trainer takes
// complete groups of any open step, so that a long sample does not delay training.
type trainerModel struct {
	model         *rolloutModel
	name          string
	version       uint64
	finishedSteps int // finished training steps
	openedGroups  int
	ledgerStep    uint64
	drawnGroups   int // groups drawn for the current training step
	draws         int
	waiting       bool
	waitingSince  time.Time
	measuredFrom  time.Time // end of the warm-up
	idle          time.Duration
	// countsBefore are the counts of the ledger at the end of the warm-up.
	countsBefore rollout.Counts
}

// beginStep begins a training step and waits for its groups.
func (t *trainerModel) beginStep() {
	if t.finishedSteps == warmupSteps {
		t.measuredFrom = t.model.events.now
		t.countsBefore = t.counts()
	}
	t.waitingSince = t.model.events.now
	t.waiting = true
	t.drawnGroups = 0
	t.openSteps(t.finishedSteps+1, t.model.options.Surplus)
	t.draw()
}

// measured reports whether the warm-up has ended.
func (t *trainerModel) measured() bool { return t.finishedSteps >= warmupSteps }

func (t *trainerModel) counts() rollout.Counts { return t.model.ledger.Status()[t.name].Counts }

// openSteps opens ledger steps until the trainer has opened the groups of the given
// number of training steps and of a share of one more.
func (t *trainerModel) openSteps(steps int, share float64) {
	size := t.model.options.Deployment.GroupsPerStep
	groups := int((float64(steps) + share) * float64(size))
	if !t.model.options.Baseline {
		size /= ledgerStepsPerTrainingStep
	}
	for t.openedGroups < groups {
		t.ledgerStep++
		c := &rollout.OpenStep{
			Trainer: t.name, Step: t.ledgerStep, GroupSize: t.model.options.Deployment.GroupSize,
			Sampling: rollout.Sampling{MaxTokens: maxSampleTokens, Seed: int64(t.model.options.Seed)}, Version: t.version,
		}
		for i := range size {
			c.Prompts = append(c.Prompts, fmt.Sprintf("%s/%d/%d", t.name, t.ledgerStep, i))
		}
		outcome := t.model.apply(rollout.Command{OpenStep: c})
		actor.Invariant(outcome.Code == rollout.CodeOK, "open step: %+v", outcome)
		t.openedGroups += size
	}
}

// draw takes the complete groups, and begins training once it has enough of them for
// a training step.
func (t *trainerModel) draw() {
	if !t.waiting {
		return
	}
	t.draws++
	d := &rollout.Draw{Trainer: t.name, ID: fmt.Sprint(t.draws), MaxGroups: t.model.options.Deployment.GroupsPerStep - t.drawnGroups}
	if t.model.options.Baseline {
		d.UpToStep = uint64(t.finishedSteps + 1)
	}
	outcome := t.model.apply(rollout.Command{Draw: d})
	if outcome.Code != rollout.CodeOK {
		return
	}
	for _, g := range outcome.Groups {
		t.recordStaleness(g)
	}
	t.drawnGroups += len(outcome.Groups)
	t.model.apply(rollout.Command{Ack: &rollout.Ack{Trainer: t.name, ID: d.ID}})
	if t.drawnGroups == t.model.options.Deployment.GroupsPerStep {
		t.train()
	}
}

// recordStaleness records, for each sample of a group, how many versions its oldest
// weights are behind the trainer.
func (t *trainerModel) recordStaleness(g rollout.DrawnGroup) {
	for _, oldest := range t.model.oldestVersions[g.Key] {
		if t.measured() {
			t.model.staleness = append(t.model.staleness, float64(t.version-min(oldest, t.version)))
		}
	}
	delete(t.model.oldestVersions, g.Key)
}

func (t *trainerModel) train() {
	t.waiting = false
	if t.measured() {
		t.idle += t.model.events.now.Sub(t.waitingSince)
	}
	t.openSteps(t.finishedSteps+1, t.model.options.Ahead)
	t.model.events.after(t.model.options.Deployment.TrainTime, func() {
		t.version++
		outcome := t.model.apply(rollout.Command{Publish: &rollout.Publish{Trainer: t.name, Pool: t.name, Version: t.version, RequestID: fmt.Sprint(t.version)}})
		actor.Invariant(outcome.Code == rollout.CodeOK, "publish: %+v", outcome)
		t.model.publish(t.name, t.version)
		t.finishedSteps++
		t.beginStep()
	})
}

// result returns the metrics of the run without the trainers' warm-up steps.
func (m *rolloutModel) result() RolloutResult {
	r := RolloutResult{}
	var idle, total time.Duration
	delivered, wasted := 0.0, m.lostTokens+float64(m.planner.Wasted-m.reportedWaste)
	allDelivered, steps := 0.0, 0.0
	for _, t := range m.trainers {
		r.Steps += float64(t.finishedSteps)
		if t.finishedSteps <= warmupSteps {
			continue
		}
		if t.waiting {
			t.idle += m.events.now.Sub(t.waitingSince)
		}
		idle += t.idle
		total += m.events.now.Sub(t.measuredFrom)
		counts := t.counts()
		delivered += float64(counts.Delivered - t.countsBefore.Delivered)
		wasted += float64(counts.Wasted - t.countsBefore.Wasted)
		allDelivered += float64(counts.Delivered)
		steps += float64(t.finishedSteps)
	}
	r.Idle = idle.Seconds() / max(total.Seconds(), 1)
	r.StalenessMean = mean(m.staleness)
	r.StalenessP99 = quantile(m.staleness, 0.99)
	r.Wasted = wasted / max(delivered, 1)
	r.CallerP99 = percentile(m.callerLatencies, 0.99).Seconds()
	r.IdleBound = m.idleLowerBound(allDelivered / max(steps, 1))
	return r
}

// idleLowerBound returns the idle share with engines that always run full batches and
// waste no token. A training cycle takes at least the time in which the engines
// generate one step for each trainer at the token rate that callers leave.
func (m *rolloutModel) idleLowerBound(tokensPerStep float64) float64 {
	s := m.options.Deployment
	up := s.MeanTimeBetweenCrashes.Seconds() / (s.MeanTimeBetweenCrashes.Seconds() + s.DownTime.Seconds())
	rate := float64(s.Engines)*engineCapacity()*up - s.CallerRate*s.MeanAnswerTokens
	cycle := tokensPerStep * float64(s.Trainers) / rate
	return max(0, 1-s.TrainTime.Seconds()/max(cycle, 1e-9))
}
