package batch

import (
	"slices"
	"time"
)

const (
	// nonUrgentDelay is added to the latest start of items whose group is not urgent.
	nonUrgentDelay = 2 * time.Second
	// defaultTokenTime is the time per estimated token, see queue.perToken, until a text
	// has completed.
	defaultTokenTime = 650 * time.Microsecond
	// tokenTimeWeight is the weight of one text in the moving average of the time per
	// token.
	tokenTimeWeight = 0.02
)

// queue holds the pending tasks of all submissions, ordered by their latest start. A
// trainer waits for complete groups, so of the tasks that are due at the same time and
// equally urgent, the longest start first, whichever submission they belong to.
type queue struct {
	tasks []*task
	// perToken is the moving average of the time per estimated token: the duration of a
	// text divided by its estimated size. It is 0 before the first text.
	perToken time.Duration
	// perText is the moving average of the duration of a text, 0 before the first one.
	perText time.Duration
	lengths lengths
}

// tokenTime returns perToken, or defaultTokenTime before the first text.
func (q *queue) tokenTime() time.Duration {
	if q.perToken == 0 {
		return defaultTokenTime
	}
	return q.perToken
}

// startInTime returns when the task must start to be complete when its submission is due.
func (q *queue) startInTime(t *task) time.Time {
	return t.job.due.Add(-max(0, time.Duration(t.size)*q.tokenTime()-t.runTime))
}

// latestStart is startInTime, later for items whose group is not urgent.
func (q *queue) latestStart(t *task) time.Time {
	at := q.startInTime(t)
	if !t.group.urgent {
		at = at.Add(nonUrgentDelay)
	}
	return at
}

// add inserts a pending task in order.
func (q *queue) add(t *task) {
	t.startBy = q.latestStart(t)
	at, _ := slices.BinarySearchFunc(q.tasks, t, func(a, b *task) int {
		if a.startBy.After(b.startBy) {
			return 1
		}
		return -1 // after tasks with the same time
	})
	q.tasks = slices.Insert(q.tasks, at, t)
}

// prune removes the tasks that are no longer pending or whose job is closed.
func (q *queue) prune() {
	q.tasks = slices.DeleteFunc(q.tasks, func(t *task) bool { return t.state != taskPending || t.job.closed })
}

// observeTokenTime adds the duration of a text with the given estimated size to the moving
// average.
func (q *queue) observeTokenTime(size int, took time.Duration) {
	if q.perText == 0 {
		q.perText = took
	}
	q.perText += time.Duration(tokenTimeWeight * float64(took-q.perText))
	if size <= 0 {
		return
	}
	sample := took / time.Duration(size)
	if q.perToken == 0 {
		q.perToken = defaultTokenTime
	}
	// A text that was estimated far too small yields too large a sample, so the effect of a
	// sample is bounded.
	sample = min(sample, 4*q.perToken)
	q.perToken += time.Duration(tokenTimeWeight * float64(sample-q.perToken))
}
