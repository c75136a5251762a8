package batch

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"

	"merlinhall/ledger"
	"merlinhall/routes"
	"merlinhall/wire"
)

var start = time.Unix(1000, 0)

// testJob returns a submission with one group for each slice, whose items have the given
// sizes.
func testJob(id string, at time.Time, wanted int, groups ...[]int) *job {
	sub := &ledger.Submission{ID: id, Model: "m", MinVersion: 1, WantedGroups: wanted, Due: 7500 * time.Millisecond}
	var items []ledger.Item
	for g, sizes := range groups {
		for i, size := range sizes {
			items = append(items, ledger.Item{ID: fmt.Sprintf("%s-%d-%d", id, g, i), Group: fmt.Sprintf("%s-%d", id, g), Length: size})
		}
	}
	sub.Items = items
	j := newJob(ledger.Open{Submission: sub, Since: at, Remaining: items}, func(string) bool { return false })
	for _, t := range j.tasks {
		t.route = testRoute
	}
	return j
}

// testRoute leads to the service of testSoftware.
var testRoute = &routes.Route{Shares: []routes.Share{{Service: "s", Weight: 1}}}

var testSoftware, otherSoftware = wire.Software{Service: "s", Version: "v1"}, wire.Software{Service: "s", Version: "v2"}

func testEngine(id string, slots int, version uint64) *engine {
	return &engine{id: id, slots: slots, software: testSoftware, versions: map[string]uint64{"m": version}}
}

func pending(jobs ...*job) *queue {
	q := &queue{}
	for _, j := range jobs {
		for _, t := range j.tasks {
			q.add(t)
		}
	}
	return q
}

// Two steps of one trainer are open and compete for all slots. A text of the largest size
// takes almost all of the time until its step is due.
func TestLongItemsOfTheNextStepBeginBeforeShortOnesOfThisStep(t *testing.T) {
	is := is.New(t)
	short := testJob("k", start, 2, []int{600, 700}, []int{600, 800})
	long := testJob("k+1", start.Add(time.Second), 1, []int{10000, 600})
	q := pending(short, long)
	out := plan(start, q.tasks, []*engine{testEngine("e", 1, 1)}, &lengths{})
	is.Equal(len(out), 1)
	is.Equal(out[0].task.item.ID, "k+1-0-0")
}

// The trainer waits for 90% of the groups. Those with the longest items are not needed.
func TestGroupsThatTheTrainerDoesNotWaitForStartLater(t *testing.T) {
	is := is.New(t)
	j := testJob("k", start, 2, []int{900}, []int{3000}, []int{1000})
	q := pending(j)
	is.Equal(q.tasks[len(q.tasks)-1].item.ID, "k-1-0")
	is.True(!j.tasks["k-1-0"].group.urgent)
	is.True(j.tasks["k-2-0"].group.urgent)
}

// The items of a group share a prompt. Processing it on several engines costs time on
// each.
func TestGroupStaysOnOneEngineWhileThatHasRoom(t *testing.T) {
	is := is.New(t)
	j := testJob("k", start, 1, []int{600, 600, 600, 600})
	out := plan(start, pending(j).tasks, []*engine{testEngine("a", 4, 1), testEngine("b", 4, 1)}, &lengths{})
	is.Equal(len(out), 4)
	for _, p := range out {
		is.Equal(p.engine.id, out[0].engine.id)
	}
}

// A group has more items than an engine has slots, while other engines are idle.
func TestItemWhoseEngineIsFullGoesToAnotherOneAtOnce(t *testing.T) {
	is := is.New(t)
	j := testJob("k", start, 1, []int{600, 600, 600, 600})
	engines := []*engine{testEngine("a", 2, 1), testEngine("b", 1, 1), testEngine("c", 4, 1)}
	engines[2].running = 4
	out := plan(start, pending(j).tasks, engines, &lengths{})
	is.Equal(len(out), 3)
	is.Equal([]string{out[0].engine.id, out[1].engine.id, out[2].engine.id}, []string{"a", "a", "b"})
	is.Equal(j.groups["k-0"].engine, "a") // later items of the group still go there
}

func TestEnginesWithUnfitWeightsGetNothing(t *testing.T) {
	is := is.New(t)
	j := testJob("k", start, 1, []int{600})
	j.sub.MinVersion = 3
	old, loading, draining, fit := testEngine("a", 4, 2), testEngine("b", 4, 3), testEngine("c", 4, 3), testEngine("d", 1, 3)
	loading.load = &load{model: "m", version: 4}
	draining.draining = true
	out := plan(start, pending(j).tasks, []*engine{old, loading, draining, fit}, &lengths{})
	is.Equal(len(out), 1)
	is.Equal(out[0].engine, fit)
	loading.load = &load{model: "other", version: 4} // a load affects its own model only
	is.Equal(loading.canServe(j.tasks["k-0-0"]), true)
}

// Some engines become three times slower for several seconds.
func TestSlowEngineIsAvoidedAndItsRunsAreMoved(t *testing.T) {
	is := is.New(t)
	engines := []*engine{testEngine("a", 4, 1), testEngine("b", 4, 1), testEngine("c", 4, 1)}
	for i, e := range engines {
		for range 10 {
			e.observeEventTime(start, []time.Duration{150, 40, 42}[i]*time.Millisecond)
		}
	}
	j := testJob("k", start, 1, []int{600})
	out := plan(start, pending(j).tasks, engines, &lengths{})
	is.True(out[0].engine.id != "a")
	running := &task{job: j, group: j.tasks["k-0-0"].group, route: testRoute, state: taskRunning, engine: "a", size: 6000}
	moved := func() int { return len(planMoves(start, []*task{running}, engines, &lengths{})) }
	is.Equal(moved(), 1)
	running.size = 200
	is.Equal(moved(), 0) // the time saved is not worth a move
	running.text.Events, running.text.Software = 100, testSoftware
	is.Equal(moved(), 1) // longer than estimated, so it is expected to continue for long
	running.moves = maxMoves
	is.Equal(moved(), 0)
	engines[1].draining, engines[2].draining = true, true
	running.moves = 0
	is.Equal(moved(), 0) // no engine accepts new runs
}

// Engines serve several models. One engine is slow and all others of its model are full,
// while those of another model are idle.
func TestRunIsNotMovedWithoutRoomForItsModel(t *testing.T) {
	is := is.New(t)
	engines := []*engine{testEngine("a", 4, 1), testEngine("b", 4, 1), testEngine("c", 4, 1)}
	for i, e := range engines {
		for range 10 {
			e.observeEventTime(start, []time.Duration{150, 40, 42}[i]*time.Millisecond)
		}
	}
	engines[1].running = engines[1].slots
	engines[2].versions = map[string]uint64{"other": 1}
	j := testJob("k", start, 1, []int{6000, 6000})
	one, other := j.tasks["k-0-0"], j.tasks["k-0-1"]
	one.state, one.engine, other.state, other.engine = taskRunning, "a", taskRunning, "a"
	is.Equal(len(planMoves(start, []*task{one, other}, engines, &lengths{})), 0)
	engines[1].running-- // a free slot for one
	is.Equal(len(planMoves(start, []*task{one, other}, engines, &lengths{})), 1)
}

// An engine was slow for some seconds, lost its runs to others, and is fast again.
func TestEventTimeOfAnEngineExpiresWithoutSamples(t *testing.T) {
	is := is.New(t)
	engines := []*engine{testEngine("a", 4, 1), testEngine("b", 4, 1), testEngine("c", 4, 1)}
	for i, e := range engines {
		for range 10 {
			e.observeEventTime(start, []time.Duration{150, 40, 42}[i]*time.Millisecond)
		}
	}
	median := medianEventTime(engines)
	slow := func(at time.Time) bool { return float64(engines[0].pace(at, median)) > slowFactor*float64(median) }
	is.True(slow(start.Add(eventTimeMaxAge)))
	later := start.Add(eventTimeMaxAge + time.Millisecond)
	is.True(!slow(later))
	for range minEventTimeSamples { // only current samples count
		engines[0].observeEventTime(later, 45*time.Millisecond)
	}
	is.True(!slow(later))
	for range 10 {
		engines[0].observeEventTime(later, 150*time.Millisecond)
	}
	is.True(slow(later))
}

func TestSingleVersionTextGoesOnUnderItsVersionOnly(t *testing.T) {
	is := is.New(t)
	j := testJob("k", start, 1, []int{600})
	j.sub.SingleVersion = true
	task := j.tasks["k-0-0"]
	task.text.Versions = []uint64{2}
	is.True(!testEngine("a", 1, 3).canServe(task))
	is.True(testEngine("a", 1, 2).canServe(task))
}

// enginesAt returns one engine for each time per event, with four slots.
func enginesAt(paces ...time.Duration) []*engine {
	var engines []*engine
	for i, pace := range paces {
		e := testEngine(string(rune('a'+i)), 4, 1)
		for range 10 {
			e.observeEventTime(start, pace)
		}
		engines = append(engines, e)
	}
	return engines
}

// Engines of unequal speed, and steps that wait for a few long texts: a third of the
// engines needs 1.4 times as long for each event.
func TestLongTextsGoToTheFastestEnginesAndAreSpread(t *testing.T) {
	is := is.New(t)
	engines := enginesAt(52*time.Millisecond, 37*time.Millisecond, 38*time.Millisecond)
	j := testJob("k", start, 1, []int{9000, 9000, 9000, 9000}, []int{9000, 9000}, []int{300, 300})
	on := make(map[string]int)
	for _, p := range plan(start, pending(j).tasks, engines, &lengths{}) {
		if p.task.size == 9000 {
			on[p.engine.id]++
		} else {
			is.Equal(p.engine.id, "a") // a short text leaves room on the fast engines
		}
	}
	is.Equal(on, map[string]int{"b": 3, "c": 3})
}

// A text was placed on an engine that needs 1.4 times as long as another one.
func TestLongTextMovesToAFasterEngineWhenThatPays(t *testing.T) {
	is := is.New(t)
	j := testJob("k", start, 1, []int{6000, 600}, []int{6000})
	long, short, onFast := j.tasks["k-0-0"], j.tasks["k-0-1"], j.tasks["k-1-0"]
	long.state, long.engine, short.state, short.engine = taskRunning, "a", taskRunning, "a"
	onFast.state, onFast.engine = taskRunning, "b"
	running := []*task{short, long, onFast}
	moves := planMoves(start, running, enginesAt(52*time.Millisecond, 37*time.Millisecond), &lengths{})
	is.Equal(len(moves), 1)
	is.Equal(moves[0].task, long)
	is.Equal(moves[0].to.id, "b")
	long.run = &run{cancelReason: "another engine is faster"}
	is.Equal(len(planMoves(start, running, enginesAt(52*time.Millisecond, 37*time.Millisecond), &lengths{})), 0) // it is on its way
	long.run = nil
	is.Equal(len(planMoves(start, running, enginesAt(41*time.Millisecond, 37*time.Millisecond), &lengths{})), 0) // no more than samples of equal engines differ
}

// Estimates are too high by a factor of three on average, and some texts outlive theirs.
func TestLengthsFollowWhatTextsTurnOutToBe(t *testing.T) {
	is := is.New(t)
	l := &lengths{}
	is.Equal(l.eventsOf(1200), 20)
	for range 50 {
		l.observe(1800, 10)
	}
	is.Equal(l.eventsOf(1800), 10)
	j := testJob("k", start, 1, []int{1800})
	j.tasks["k-0-0"].text.Events = 60
	is.Equal(l.remainingEvents(j.tasks["k-0-0"]), 30)
}

// busyDeployment returns 49 engines, 40 of them full, and six steps of 192 tasks.
func busyDeployment() (engines []*engine, waiting *queue, running []*task) {
	var jobs []*job
	for i := range 6 {
		sizes := make([][]int, 24)
		for g := range sizes {
			sizes[g] = []int{400, 900, 1200, 600, 700, 9000, 500, 800}
		}
		jobs = append(jobs, testJob(string(rune('a'+i)), start, 20, sizes...))
	}
	for i := range 49 {
		e := testEngine(string(rune('A'+i)), 8, 1)
		for range 5 {
			e.observeEventTime(start, time.Duration(36+i%10)*time.Millisecond)
		}
		if i < 40 {
			e.running = 8
		} else {
			e.versions["m"] = 0 // loads
		}
		engines = append(engines, e)
	}
	for i, t := range slices.Concat(slices.Collect(maps.Values(jobs[0].tasks)), slices.Collect(maps.Values(jobs[1].tasks))) {
		t.state, t.engine, t.run = taskRunning, engines[i%40].id, &run{}
		running = append(running, t)
	}
	return engines, pending(jobs[2:]...), running
}

// Work of one decision round of the leader with many waiting tasks.
func BenchmarkPlan(b *testing.B) {
	engines, q, _ := busyDeployment()
	for b.Loop() {
		plan(start, q.tasks, engines, &q.lengths)
	}
}

func BenchmarkPlanMoves(b *testing.B) {
	engines, q, running := busyDeployment()
	for b.Loop() {
		planMoves(start, running, engines, &q.lengths)
	}
}

// Guards against a text that goes on at an engine of another software version, and against one
// that waits for longer than it takes to generate it again.
func TestTextGoesOnAtItsSoftwareOrBeginsAnew(t *testing.T) {
	is := is.New(t)
	same, other := testEngine("a", 1, 1), testEngine("b", 4, 1)
	other.software = otherSoftware
	same.running = 1
	j := testJob("k", start, 1, []int{600})
	task := j.tasks["k-0-0"]
	task.text.Events, task.text.Software = 20, testSoftware
	engines := []*engine{same, other, testEngine("c", 0, 1)}
	for _, e := range engines {
		for range minEventTimeSamples {
			e.observeEventTime(start, 50*time.Millisecond)
		}
	}
	planAt := func(at time.Duration) []placement { return plan(start.Add(at), pending(j).tasks, engines, &lengths{}) }
	is.Equal(len(planAt(0)), 0)
	is.Equal(len(planAt(950*time.Millisecond)), 0) // twenty events take a second
	out := planAt(1050 * time.Millisecond)
	is.Equal(len(out), 1)
	is.Equal(out[0].engine, other)
	is.True(out[0].anew)
	same.running = 0
	out = planAt(1100 * time.Millisecond)
	is.Equal(out[0].engine, same)
	is.True(!out[0].anew)

	same.running = 1
	task.beginAnew()
	task.text.Events, task.text.Software, task.waitsSince = 20, testSoftware, start
	is.Equal(len(planAt(1050*time.Millisecond)), 0) // it waits longer the second time
	is.Equal(len(planAt(maxTextWait)), 1)
	task.text.Events, task.waitsSince = 1, start
	is.Equal(len(planAt(pauseBroken)), 0) // its engine may only rest
}

// Guards against texts of unknown software, such as those of a former version, that go on at any
// engine.
func TestTextOfUnknownSoftwareBeginsAnew(t *testing.T) {
	is := is.New(t)
	e := testEngine("a", 4, 1)
	task := testJob("k", start, 1, []int{600}).tasks["k-0-0"]
	task.text.Events = 10
	is.True(!e.canServe(task))
	e.software = wire.Software{}
	task.route = &routes.Route{Shares: []routes.Share{{Weight: 1}}}
	is.True(!e.canServe(task))
	r := quietRunner(e)
	r.metrics = newMetrics(prometheus.NewRegistry())
	r.dropUnservableText(task)
	is.Equal(task.text.length(), 0)
	is.True(e.canServe(task))
}

// Guards against runs that are moved to a faster engine of another software version, where the
// text would have to begin anew.
func TestRunsMoveWithinTheirSoftware(t *testing.T) {
	is := is.New(t)
	from, to := testEngine("a", 4, 1), testEngine("b", 4, 1)
	to.software = otherSoftware
	for range 10 {
		from.observeEventTime(start, 150*time.Millisecond)
		to.observeEventTime(start, 40*time.Millisecond)
	}
	j := testJob("k", start, 1, []int{6000})
	running := &task{job: j, group: j.tasks["k-0-0"].group, route: testRoute, state: taskRunning, engine: "a", size: 6000}
	is.Equal(len(planMoves(start, []*task{running}, []*engine{from, to}, &lengths{})), 0)
	to.software = testSoftware
	is.Equal(len(planMoves(start, []*task{running}, []*engine{from, to}, &lengths{})), 1)
}
