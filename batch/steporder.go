package batch

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"merlinhall/ledger"
)

// orderInputs is what the order of pending tasks depends on besides the tasks.
type orderInputs struct {
	now time.Time
	// free is the number of free slots, and perSecond the number of running texts that are
	// expected to end in a second.
	free      int
	perSecond float64
	lag       func(model string) time.Duration
	latest    func(t *task) time.Time // start for the step to be complete when it is due
}

// orderOutcome says how pending tasks were ordered, for the log.
type orderOutcome struct {
	behind   int // tasks of trainers that are behind their schedule
	onTime   int // tasks of the other trainers
	unneeded int // tasks of groups that no trainer waits for
	// overtaking is the number of tasks of trainers that are behind which start before a task
	// that is due earlier, and heldBack of those that would if that task could still start in
	// time.
	overtaking, heldBack int
}

// orderSteps returns pending tasks in the order in which they start: by the latest start for
// which their trainer would be back on its schedule, as far as each task of a trainer on time that
// can start in time still does. Those of groups that the trainer does not wait for come last.
func orderSteps(tasks []*task, in orderInputs) ([]*task, orderOutcome) {
	var behind, onTime, unneeded []startTask
	for _, t := range tasks {
		s := startTask{t, in.latest(t)}
		switch lag := in.lag(t.job.sub.Model); {
		case !t.needed():
			unneeded = append(unneeded, s)
		case lag > 0:
			s.by = s.by.Add(-lag)
			behind = append(behind, s)
		default:
			onTime = append(onTime, s)
		}
	}
	out := orderOutcome{behind: len(behind), onTime: len(onTime), unneeded: len(unneeded)}
	sortByStart(behind)
	sortByStart(onTime)
	sortByStart(unneeded)
	room := in.room(onTime)
	list := make([]*task, 0, len(tasks))
	next, before := 0, 0 // positions in onTime and behind
	for next < len(onTime) || before < len(behind) {
		if next == len(onTime) {
			list = append(list, behind[before].task)
			before++
			continue
		}
		if before < len(behind) && behind[before].by.Before(onTime[next].by) {
			b := behind[before]
			overtakes := !b.by.Add(in.lag(b.task.job.sub.Model)).Before(onTime[next].by)
			if !overtakes || before < room[next] {
				if overtakes {
					out.overtaking++
				}
				list = append(list, b.task)
				before++
				continue
			}
			out.heldBack++
		}
		list = append(list, onTime[next].task)
		next++
	}
	for _, s := range unneeded {
		list = append(list, s.task)
	}
	return list, out
}

// startTask is a task and when it should start at the latest.
type startTask struct {
	task *task
	by   time.Time
}

func sortByStart(list []startTask) {
	slices.SortStableFunc(list, func(a, b startTask) int { return cmp.Compare(a.by.UnixNano(), b.by.UnixNano()) })
}

// room returns, for each of the tasks in order of their start, how many other tasks may start
// before it, so that it and those after it start in time. A task that is too late anyhow needs no
// protection.
func (in *orderInputs) room(tasks []startTask) []int {
	room := make([]int, len(tasks))
	least := math.MaxInt
	for i := len(tasks) - 1; i >= 0; i-- {
		// Number of tasks that can start until this one must: those in free slots, and one
		// for each text that ends.
		left := tasks[i].by.Sub(in.now).Seconds()
		if starts := in.free + int(max(0, left)*in.perSecond); left >= 0 && starts > i {
			least = min(least, starts-1-i)
		}
		room[i] = least
	}
	return room
}

// needed reports whether the trainer waits for the task's group.
func (t *task) needed() bool {
	j := t.job
	return t.group.again || t.group.urgent && (j.sub.WantedGroups <= 0 || j.completeGroups < j.sub.WantedGroups)
}

// learnLags takes the schedules of the trainers from the submissions that the ledger still has.
func (r *Runner) learnLags() {
	r.lags = make(lagTracker)
	if !r.o.StepOrder {
		return
	}
	for _, step := range r.o.Submissions.Steps() {
		r.lags.observe(step.Model, step.Step, step.Since, step.Due)
	}
	for model, t := range r.lags {
		r.metrics.lag.WithLabelValues(model).Set(t.lag.Seconds())
	}
}

// observeStep notes the arrival of a step.
func (r *Runner) observeStep(open ledger.Open) {
	sub := open.Submission
	if !r.o.StepOrder || sub.Model == "" {
		return
	}
	t := r.lags.observe(sub.Model, sub.Step, open.Since, sub.Due)
	r.metrics.lag.WithLabelValues(sub.Model).Set(t.lag.Seconds())
	r.log.WithFields(logrus.Fields{
		"model": sub.Model, "step": sub.Step, "submission": sub.ID, "lag_ms": t.lag.Milliseconds(), "interval_ms": t.interval.Milliseconds(), "steps": len(t.arrivals),
	}).Info("schedule of the trainer")
}

// orderLogInterval is the least time between two log lines on the order of pending tasks.
const orderLogInterval = time.Second

// planPending selects the tasks to start now.
func (r *Runner) planPending(now time.Time) []placement {
	if !r.o.StepOrder || len(r.queue.tasks) == 0 {
		return plan(now, r.queue.tasks, r.engines, &r.queue.lengths)
	}
	running := r.running()
	in := orderInputs{now: now, lag: r.lags.of, latest: r.queue.startInTime}
	for _, e := range r.engines {
		in.free += e.freeSlots(now)
	}
	if in.free == 0 {
		return nil
	}
	if r.queue.perText > 0 {
		in.perSecond = float64(len(running)) / r.queue.perText.Seconds()
	}
	list, outcome := orderSteps(r.queue.tasks, in)
	if (outcome.overtaking > 0 || outcome.heldBack > 0) && now.Sub(r.orderLoggedAt) >= orderLogInterval {
		r.orderLoggedAt = now
		r.log.WithFields(logrus.Fields{
			"behind": outcome.behind, "on_time": outcome.onTime, "unneeded": outcome.unneeded, "overtaking": outcome.overtaking, "held_back": outcome.heldBack,
			"free": in.free, "ends_per_second": in.perSecond, "first": list[0].job.sub.ID, "first_model": list[0].job.sub.Model,
			"first_lag_ms": in.lag(list[0].job.sub.Model).Milliseconds(),
		}).Info("items of trainers that are behind start first")
	}
	return planWith(now, list, r.engines, &r.queue.lengths, runsByEngine(running, &r.queue.lengths))
}
