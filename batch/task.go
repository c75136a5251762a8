// Package batch runs the items of batch submissions on engines: it plans which
// item runs where, keeps what a run has generated, has complete texts scored and
// lists the results. It is a duty of the control leader.
package batch

import (
	"slices"
	"time"

	"merlinhall/ledger"
	"merlinhall/rendezvous"
)

// taskState is where an item is on its way to a result.
type taskState uint8

const (
	taskPending taskState = iota
	taskRunning
	taskScoring
	taskRecording // its result is proposed
)

func (s taskState) String() string {
	return [...]string{"pending", "running", "scoring", "listing"}[s]
}

// task is an item without a result.
type task struct {
	job   *job
	item  ledger.Item
	group *group
	state taskState
	// size is the estimated output in tokens.
	size           int
	engine         string // on which it runs
	run            *run
	text           text
	failures       int // runs that an engine answered with a failure
	moves          int // runs that were taken off a slow engine
	runs           int
	firstRunAt     time.Time     // first run
	runTime        time.Duration // of runs that added to the text
	startBy        time.Time     // see queue
	textCompleteAt time.Time     // the text was complete
	retryAt        time.Time
	// rewardFailures counts failures that the reward service answered with.
	rewardFailures int
	result         *ledger.Result // once it is being listed
	proposeAgain   bool           // its proposal must be made again
	saving         bool           // a part of its text is being kept
}

// versionRule returns under which weight versions the text of the task may go on.
func (t *task) versionRule() versionRule {
	f := versionRule{min: t.job.sub.MinVersion, single: t.job.sub.SingleVersion}
	if f.single && len(t.text.versions) > 0 {
		f.only = t.text.versions[0]
	}
	return f
}

// group is the items of a submission that share a prompt. They run on one engine
// while it has room, so that the prompt is read once.
type group struct {
	name    string
	tasks   []*task
	largest int // size of the largest item
	engine  string
	// urgent groups are among those that the trainer most likely waits for.
	urgent   bool
	recorded int  // items with a result, of those in tasks
	resumed  bool // some of its items had come in an earlier submission
}

// unassign lets the group's items go to any engine but the one that failed one of
// them.
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
	giveUpAt time.Time // items without a result may be given up
	groups   map[string]*group
	tasks    map[string]*task
	closed   bool
	// completeGroups counts the groups of which all items have results.
	completeGroups int
}

// markRecorded takes that an item has its result. It reports whether the groups that the
// trainer waits for have become complete with it.
func (j *job) markRecorded(t *task) bool {
	delete(j.tasks, t.item.ID)
	t.group.recorded++
	if t.group.recorded < len(t.group.tasks) {
		return false
	}
	j.completeGroups++
	return j.completeGroups == j.sub.WantedGroups
}

// newJob finds the groups of a submission that fill the trainer's wait: those that
// are carried over from an earlier submission, then the smallest, which are
// expected to complete first.
func newJob(open ledger.Open, seen func(item string) bool) *job {
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
			g = &group{name: item.Group}
			j.groups[item.Group] = g
		}
		t := &task{job: j, item: item, group: g, size: sizeOf(item)}
		g.tasks = append(g.tasks, t)
		g.largest = max(g.largest, t.size)
		g.resumed = g.resumed || seen(item.ID)
		j.tasks[item.ID] = t
	}
	j.completeGroups = len(groupNames(sub)) - len(j.groups)
	j.rank()
	return j
}

func groupNames(sub *ledger.Submission) map[string]bool {
	names := make(map[string]bool)
	for i := range sub.Items {
		names[sub.Items[i].Group] = true
	}
	return names
}

// sizeOf estimates the output of an item: the client's estimate where it gave
// one, otherwise the most that it may be.
func sizeOf(item ledger.Item) int {
	if item.Length > 0 {
		return item.Length
	}
	return item.Tokens
}

func (j *job) rank() {
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
