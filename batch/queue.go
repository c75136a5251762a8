package batch

import (
	"slices"
	"time"
)

const (
	// nonUrgentDelay is how much later an item may begin whose group is not needed to
	// end the trainer's wait.
	nonUrgentDelay = 2 * time.Second
	// defaultTokenTime is the time per estimated token before it has been measured.
	defaultTokenTime = 650 * time.Microsecond
	// tokenTimeWeight is the weight of one text in the measured time per token.
	tokenTimeWeight = 0.02
)

// queue holds the pending tasks of all submissions in the order in which they
// should begin. A trainer waits for whole groups, so what must begin first is what
// takes longest, of whichever open submission.
type queue struct {
	tasks []*task
	// perToken is the measured time per estimated token.
	perToken time.Duration
}

// tokenTime returns the time per estimated token.
func (q *queue) tokenTime() time.Duration {
	if q.perToken == 0 {
		return defaultTokenTime
	}
	return q.perToken
}

// latestStart returns when the task must begin to end when its submission is due.
func (q *queue) latestStart(t *task) time.Time {
	left := max(0, time.Duration(t.size)*q.tokenTime()-t.runTime)
	at := t.job.due.Add(-left)
	if !t.group.urgent {
		at = at.Add(nonUrgentDelay)
	}
	return at
}

// add puts a pending task into its place.
func (q *queue) add(t *task) {
	t.startBy = q.latestStart(t)
	at, _ := slices.BinarySearchFunc(q.tasks, t, func(a, b *task) int {
		if a.startBy.After(b.startBy) {
			return 1
		}
		return -1 // after those of the same time
	})
	q.tasks = slices.Insert(q.tasks, at, t)
}

// removeStarted drops the tasks that are no longer pending.
func (q *queue) removeStarted() {
	q.tasks = slices.DeleteFunc(q.tasks, func(t *task) bool { return t.state != taskPending || t.job.closed })
}

// observeTokenTime takes how long a text of an estimated size took.
func (q *queue) observeTokenTime(size int, took time.Duration) {
	if size <= 0 {
		return
	}
	sample := took / time.Duration(size)
	if q.perToken == 0 {
		q.perToken = defaultTokenTime
	}
	// An estimate that is far too small says little about the engines.
	sample = min(sample, 4*q.perToken)
	q.perToken += time.Duration(tokenTimeWeight * float64(sample-q.perToken))
}
