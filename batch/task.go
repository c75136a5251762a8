// Package batch decides how the items of batch submissions are run. It plans which item
// runs on which engine and by which carrier, when runs move and engines load weights, and
// records the results in the ledger. Its Runner is an actor of the control leader; package
// carrier performs the runs.
package batch

import (
	"slices"
	"time"

	"merlinhall/ledger"
	"merlinhall/rendezvous"
	"merlinhall/routes"
)

// taskState is the progress of an item towards its result.
type taskState uint8

const (
	taskPending taskState = iota
	taskRunning
	taskScoring   // its text is complete
	taskRecording // its result is proposed to the ledger
)

func (s taskState) String() string {
	return [...]string{"pending", "running", "scoring", "listing"}[s]
}

// task is an item without a recorded result.
type task struct {
	job   *job
	item  ledger.Item
	group *group
	route *routes.Route // that sends the item to its service, nil if there is none
	state taskState
	// size is the estimated output in tokens.
	size           int
	engine         string // on which it runs or last ran
	run            *run
	text           text
	whole          bool // the text is complete
	failures       int  // runs of which an engine said that they have failed
	unfinished     int  // runs in a row that ended with another error
	moves          int  // runs that were moved off a slow engine
	runs           int
	firstRunAt     time.Time
	runTime        time.Duration // of the runs that added to the text
	startBy        time.Time     // latest start, see queue.latestStart
	textCompleteAt time.Time
	retryAt        time.Time      // no retry before this time
	begunAnew      int            // how often its text was dropped
	waitsSince     time.Time      // for an engine that can go on with its text; zero while it does not wait
	result         *ledger.Result // set once it is to be proposed to the ledger
	saving         bool           // a proposal of partial text is in progress
}

// maxFailures returns the number of failed runs after which the item is given up.
func (t *task) maxFailures() int { return max(1, t.job.sub.MaxAttempts) }

const (
	// minTextWait and maxTextWait bound how long a text waits for an engine that can go on with
	// it. An engine that broke off gets no runs for pauseBroken.
	minTextWait = pauseBroken + 100*time.Millisecond
	maxTextWait = 2 * time.Second
	// maxWaitDoublings bounds the wait of a text that has begun anew several times.
	maxWaitDoublings = 4
	// defaultEventTime is used while the time per event is not known.
	defaultEventTime = 50 * time.Millisecond
)

// waitedEnough reports whether a task that waits for an engine of the software of its text has
// waited for as long as it takes to generate the text again. To begin it anew then costs twice
// the least that was possible, at most. The wait doubles each time, so that a text whose runs
// break off on all engines ends all the same.
func (t *task) waitedEnough(now time.Time, perEvent time.Duration) bool {
	if t.text.length() == 0 {
		return false // any engine would do
	}
	if t.waitsSince.IsZero() {
		t.waitsSince = now
	}
	if perEvent == 0 {
		perEvent = defaultEventTime
	}
	wait := time.Duration(t.text.length()) * perEvent << min(t.begunAnew, maxWaitDoublings)
	return now.Sub(t.waitsSince) >= min(max(wait, minTextWait), maxTextWait)
}

// beginAnew drops the text of the task.
func (t *task) beginAnew() {
	t.text, t.runTime = text{}, 0
	t.begunAnew++
}

// cancelled reports whether the current run was cancelled and has not ended yet.
func (t *task) cancelled() bool { return t.run != nil && t.run.cancelReason != "" }

// group is the items of a submission that share a prompt. They run on the same engine
// while it has free slots, so that the prompt is processed once.
type group struct {
	name    string
	tasks   []*task
	largest int // size of the largest item
	engine  string
	// urgent is set for the groups expected to complete first, as many as the trainer waits
	// for; see markUrgent.
	urgent   bool
	recorded int  // number of tasks with a recorded result
	resumed  bool // an item has text from an earlier submission
	// again is set if an earlier step had items of the group: the trainer waits for it, whichever
	// other groups are complete.
	again bool
}

// unassign clears the engine of the group if it is the given one, so that its items may
// run on any engine. It is called when a run of the group failed there or was moved away.
func (g *group) unassign(engine string) {
	if g.engine == engine {
		g.engine = ""
	}
}

// job is an open submission.
type job struct {
	sub      *ledger.Submission
	since    time.Time
	due      time.Time
	giveUpAt time.Time // items that are pending or without a score then are recorded as failed
	groups   map[string]*group
	tasks    map[string]*task
	order    []*task // tasks in the order of the submission
	closed   bool
	// completeGroups counts the groups of which all items have results.
	completeGroups int
	awaited        int  // groups of earlier steps that are not complete
	stepComplete   bool // the trainer has all that it waits for
}

// expired reports whether the time to live of the job's items has passed.
func (j *job) expired(now time.Time) bool { return !j.giveUpAt.IsZero() && now.After(j.giveUpAt) }

// markRecorded notes that the result of a task is recorded. It reports whether this
// gives the trainer as many complete groups as it waits for.
func (j *job) markRecorded(t *task) bool {
	delete(j.tasks, t.item.ID)
	j.order = slices.DeleteFunc(j.order, func(o *task) bool { return o == t })
	t.group.recorded++
	if t.group.recorded < len(t.group.tasks) {
		return false
	}
	j.completeGroups++
	if t.group.again {
		j.awaited--
	}
	if j.stepComplete || !j.hasWanted() {
		return false
	}
	j.stepComplete = true
	return true
}

// hasWanted reports whether the groups that the trainer waits for are complete.
func (j *job) hasWanted() bool {
	return j.sub.WantedGroups > 0 && j.completeGroups >= j.sub.WantedGroups && j.awaited == 0
}

// newJob returns the job of an open submission and marks its urgent groups. hasText reports
// whether there is a text of an item from an earlier submission.
func newJob(open ledger.Open, hasText func(item string) bool) *job {
	sub := open.Submission
	j := &job{
		sub:    sub,
		since:  open.Since,
		due:    open.Since.Add(sub.Due),
		groups: make(map[string]*group),
		tasks:  make(map[string]*task),
	}
	if sub.ItemTTL > 0 {
		j.giveUpAt = open.Since.Add(sub.ItemTTL)
	}
	for _, item := range open.Remaining {
		g := j.groups[item.Group]
		if g == nil {
			g = &group{name: item.Group, again: open.Again[item.Group], resumed: open.Again[item.Group]}
			if g.again {
				j.awaited++
			}
			j.groups[item.Group] = g
		}
		t := &task{job: j, item: item, group: g, size: sizeOf(item)}
		g.tasks = append(g.tasks, t)
		g.largest = max(g.largest, t.size)
		g.resumed = g.resumed || hasText(item.ID)
		j.tasks[item.ID] = t
		j.order = append(j.order, t)
	}
	j.completeGroups = len(groupNames(sub)) - len(j.groups)
	j.stepComplete = j.hasWanted()
	j.markUrgent()
	return j
}

func groupNames(sub *ledger.Submission) map[string]bool {
	names := make(map[string]bool)
	for i := range sub.Items {
		names[sub.Items[i].Group] = true
	}
	return names
}

// sizeOf estimates the output of an item in tokens: the client's estimate if there is one,
// otherwise the bound on prompt and output together.
func sizeOf(item ledger.Item) int {
	if item.Length > 0 {
		return item.Length
	}
	return item.Tokens
}

// markUrgent marks as urgent as many groups as the trainer waits for: first those of earlier
// steps and those with text from an earlier submission, then the smallest, as they are expected to complete
// first. If the submission names no number, all groups are urgent.
func (j *job) markUrgent() {
	list := make([]*group, 0, len(j.groups))
	for _, g := range j.groups {
		list = append(list, g)
	}
	slices.SortFunc(list, func(a, b *group) int {
		switch {
		case a.resumed != b.resumed:
			return rendezvous.FalseFirst(b.resumed, a.resumed)
		case a.largest != b.largest:
			return a.largest - b.largest
		case a.name < b.name:
			return -1
		}
		return 1
	})
	wanted := j.sub.WantedGroups
	if wanted <= 0 {
		wanted = len(list)
	}
	for i, g := range list {
		g.urgent = i < wanted
	}
}
