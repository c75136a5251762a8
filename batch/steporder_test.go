package batch

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"merlinhall/ledger"
)

// loadTrainer is a trainer of the simulated load. It requests a step each 4 s, two outstanding at
// a time.
type loadTrainer struct {
	model                   string
	groups, items, longEach int // groups of a step, items of a group, one in so many texts is the longest
	events                  float64
	training, stall         time.Duration // stall is how late the sixth step is requested

	rng                *rand.Rand
	next, done, missed int             // steps requested, complete, and complete when due
	named              []time.Duration // when version k was named
	late, took         time.Duration   // sums over the steps
}

// stepLoad plays trainers on engines of 8 slots that all serve all models, with the pure decisions
// of the leader. An engine generates an event of its n texts in 46.8 + 0.35 n ms.
type stepLoad struct {
	order    string // "today", "lag" or "protected"
	apart    bool   // texts are placed apart
	engines  map[string]*engine
	list     []*engine
	trainers []loadTrainer
	of       map[*job]*loadTrainer
	q        queue
	lags     lagTracker
	running  []*task
	events   map[*task][2]float64 // that a text has, and that it will have
	slow     float64              // sum over the long texts of the time against running alone
	long     int
}

func playSteps(order string, apart bool, engines int, trainers ...loadTrainer) *stepLoad {
	s := &stepLoad{order: order, apart: apart, engines: make(map[string]*engine), trainers: trainers, lags: make(lagTracker), of: make(map[*job]*loadTrainer), events: make(map[*task][2]float64)}
	for i := range engines {
		e := testEngine(fmt.Sprintf("e%02d", i), 8, 1)
		for _, t := range trainers {
			e.versions[t.model] = 1
		}
		s.engines[e.id], s.list = e, append(s.list, e)
	}
	for i := range trainers {
		trainers[i].rng, trainers[i].named = rand.New(rand.NewPCG(uint64(i), 7)), []time.Duration{0, 0}
	}
	for at := time.Duration(0); at < 100*time.Second; at += 10 * time.Millisecond {
		for i := range trainers {
			s.request(at, i)
		}
		s.place(start.Add(at))
		s.generate(at)
	}
	return s
}

// request requests the next step of a trainer if it is time. Hints are right at the median.
func (s *stepLoad) request(at time.Duration, i int) {
	t := &s.trainers[i]
	from := time.Duration(t.next) * 4 * time.Second
	if t.next >= len(t.named) || at < t.named[t.next] || at < from || t.next == 5 && at < from+t.stall {
		return
	}
	sub := &ledger.Submission{ID: fmt.Sprint(t.model, "-", t.next), Model: t.model, Step: t.next, MinVersion: 1, WantedGroups: t.groups * 9 / 10, Due: 7500 * time.Millisecond}
	t.late += at - from
	t.next++
	var texts [][2]float64
	for i := range t.groups * t.items {
		n := math.Round(min(135, max(1, t.events*math.Exp(1.1*t.rng.NormFloat64()-0.605))))
		if t.longEach > 0 && i%t.longEach == 0 {
			n = 135
		}
		texts = append(texts, [2]float64{0, n})
		sub.Items = append(sub.Items, ledger.Item{ID: fmt.Sprint(sub.ID, "-", i), Group: fmt.Sprint(i / t.items), Length: max(1, int(60*n*math.Exp(0.4*t.rng.NormFloat64())))})
	}
	j := newJob(ledger.Open{Submission: sub, Since: start.Add(at), Remaining: sub.Items}, func(string) bool { return false })
	s.of[j] = t
	s.lags.observe(sub.Model, sub.Step, j.since, sub.Due)
	for i, task := range j.order {
		task.route, s.events[task] = testRoute, texts[i]
		s.q.add(task)
	}
}

func (s *stepLoad) place(now time.Time) {
	list, runs := s.q.tasks, engineRuns(nil)
	in := orderInputs{now: now, lag: s.lags.of, latest: s.q.startInTime, perSecond: float64(len(s.running)) / max(0.1, s.q.perText.Seconds())}
	for _, e := range s.list {
		in.free += e.freeSlots(now)
	}
	switch s.order {
	case "lag":
		in.free = math.MaxInt32 // nothing is held back
		fallthrough
	case "protected":
		list, _ = orderSteps(list, in)
	}
	if s.apart {
		runs = runsByEngine(s.running, &s.q.lengths)
	}
	for _, p := range planWith(now, list, s.list, &s.q.lengths, runs) {
		p.task.state, p.task.engine, p.task.run = taskRunning, p.engine.id, &run{task: p.task, engine: p.engine.id, began: now}
		p.engine.running++
		s.running = append(s.running, p.task)
	}
	s.q.prune()
}

// generate advances the texts by a tick. A trainer reads the last result 0.1 s later, ends the
// submission, trains and names a version.
func (s *stepLoad) generate(at time.Duration) {
	now := start.Add(at)
	for _, e := range s.list {
		e.eventTime, e.eventTimeAt, e.eventTimeSamples = 46800*time.Microsecond+time.Duration(e.running)*350*time.Microsecond, now, minEventTimeSamples
	}
	for _, t := range s.running {
		n := s.events[t]
		n[0] += float64(10*time.Millisecond) / float64(s.engines[t.engine].eventTime)
		s.events[t], t.run.events = n, int(n[0])
		if n[0] < n[1] || t.job.closed {
			continue
		}
		t.state = taskRecording
		took := now.Sub(t.run.began)
		if n[1] >= 100 {
			s.slow, s.long = s.slow+took.Seconds()/(n[1]*0.04715)-1, s.long+1
		}
		s.q.observeTokenTime(t.size, took)
		s.q.lengths.observe(t.size, int(n[1]))
		if tr := s.of[t.job]; t.job.markRecorded(t) {
			t.job.closed = true
			tr.done, tr.took = tr.done+1, tr.took+now.Sub(t.job.since)
			if now.After(t.job.due) {
				tr.missed++
			}
			tr.named = append(tr.named, max(at+100*time.Millisecond, tr.named[len(tr.named)-1])+tr.training)
		}
	}
	s.running = slices.DeleteFunc(s.running, func(t *task) bool {
		ended := t.state != taskRunning || t.job.closed
		if ended {
			s.engines[t.engine].running--
		}
		return ended
	})
	s.q.prune()
}

// Guards against a trainer that is 4 s behind and stays so because its items wait their turn by
// due time, and against others that become late for its sake. Three trainers share 128 slots,
// which is about what their texts take. At 160 slots the order must not cost anything.
func TestTrainerThatIsBehindRegainsItsSchedule(t *testing.T) {
	is := is.New(t)
	for _, engines := range []int{16, 20} {
		late, missed := make(map[string]time.Duration), make(map[string]int)
		for _, order := range []string{"today", "lag", "protected"} {
			s := playSteps(order, false, engines, loadTrainer{model: "late", groups: 27, items: 8, events: 19, longEach: 36, training: time.Second / 2, stall: 4 * time.Second},
				loadTrainer{model: "tight", groups: 27, items: 8, events: 19, longEach: 36, training: time.Second}, loadTrainer{model: "small", groups: 10, items: 16, events: 9, training: time.Second})
			for _, tr := range s.trainers {
				late[order], missed[order] = late[order]+tr.late, missed[order]+tr.missed
				t.Logf("%d slots, %s, %s: %d steps, requested late by %.1f s in sum, mean step %.2f s, past due %d", engines*8, order, tr.model, tr.done, tr.late.Seconds(), tr.took.Seconds()/float64(tr.done), tr.missed)
			}
		}
		is.True(missed["protected"] <= missed["today"])
		if engines == 16 {
			is.True(late["protected"] < late["today"]*9/10)
		} else {
			is.True(late["protected"] < late["today"]+late["today"]/50) // the longest text decides; the order must not cost
		}
	}
}

// Guards against an item of a trainer on time that misses its due time because a trainer that is
// merely behind goes first, against one that is too late anyhow and holds up the others, and
// against groups that nobody waits for in front of those that are waited for.
func TestItemsThatMustStartAreNotOvertaken(t *testing.T) {
	is := is.New(t)
	behind := testJob("behind", start, 1, []int{2000, 2000, 2000}, []int{9000})
	onTime := testJob("on-time", start, 1, []int{5000}, []int{9000})
	tooLate := testJob("too-late", start.Add(-8*time.Second), 1, []int{1000})
	behind.sub.Model, onTime.sub.Model, tooLate.sub.Model = "late", "m", "m"
	q := pending(behind, onTime, tooLate)
	order := func(now time.Time, perSecond float64) (ids []string, o orderOutcome) {
		list, o := orderSteps(q.tasks, orderInputs{
			now: now, free: 1, perSecond: perSecond, latest: q.startInTime,
			lag: func(model string) time.Duration {
				if model == "late" {
					return 4 * time.Second
				}
				return 0
			},
		})
		for _, t := range list {
			ids = append(ids, t.job.sub.ID+t.group.name[len(t.group.name)-1:])
		}
		return ids, o
	}
	// The item of 5000 must start after 4.25 s, those of 2000 after 2.2 s to regain 4 s.
	ids, o := order(start, 1)                                                             // four start until then
	is.Equal(ids[:5], []string{"too-late0", "behind0", "behind0", "behind0", "on-time0"}) // groups that nobody waits for are last
	is.Equal(o, orderOutcome{behind: 3, onTime: 2, unneeded: 2, overtaking: 3})
	ids, o = order(start.Add(2*time.Second), 1)                                           // two start until then
	is.Equal(ids[:5], []string{"too-late0", "behind0", "on-time0", "behind0", "behind0"}) // groups that nobody waits for are last
	is.Equal(o.heldBack, 1)
	ids, _ = order(start.Add(5*time.Second), 1)                                           // it is too late
	is.Equal(ids[:5], []string{"too-late0", "behind0", "behind0", "behind0", "on-time0"}) // groups that nobody waits for are last
}

// Guards against long texts that run beside as many others as any text. 216 items arrive at 160
// slots beside the long texts of the step before.
func TestLongTextsRunApart(t *testing.T) {
	slow := make(map[bool]float64)
	for _, apart := range []bool{false, true} {
		s := playSteps("protected", apart, 20, loadTrainer{groups: 27, items: 8, events: 19, longEach: 36, training: time.Second})
		slow[apart] = s.slow / float64(s.long)
		tr := s.trainers[0]
		t.Logf("apart %v: mean step %.3f s, %d texts of 100 events or more %.2f%% slower than alone", apart, tr.took.Seconds()/float64(tr.done), s.long, 100*slow[apart])
	}
	is.New(t).True(slow[true] < slow[false])
}

// Guards against items of a group from an earlier step that come last, or a step that counts as
// complete without them: its trainer waits for that group, whichever others are complete.
func TestGroupOfAnEarlierStepIsNeeded(t *testing.T) {
	is := is.New(t)
	sub := &ledger.Submission{ID: "s", Model: "m", Step: 2, WantedGroups: 2}
	sub.Items = []ledger.Item{{ID: "a", Group: "a", Length: 1}, {ID: "b", Group: "b", Length: 2}, {ID: "c", Group: "c", Length: 9}}
	j := newJob(ledger.Open{Submission: sub, Since: start, Remaining: sub.Items, Again: map[string]bool{"c": true}}, func(string) bool { return false })
	is.True(j.groups["c"].urgent && !j.groups["b"].urgent)
	is.True(!j.markRecorded(j.tasks["a"]))
	is.True(!j.markRecorded(j.tasks["b"])) // two groups are complete, but not c
	c := j.tasks["c"]
	is.True(c.needed())
	is.True(j.markRecorded(c))
}
