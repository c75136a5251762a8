package rollout

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"merlinhall/wire"
)

// ledgerRun sends random requests, resends included, to a ledger and checks the
// outcomes as a trainer sees them.
type ledgerRun struct {
	r               *rand.Rand
	l, secondLedger *Ledger
	index           uint64
	digest          int

	draws    map[string][]DrawnGroup   // by draw id, as first received
	owner    map[wire.BodyKey]string   // group identity (without digest) to draw
	versions map[string]uint64         // trainer versions as published
	unacked  map[string]map[string]int // trainer, draw id, max groups
	steps    map[string]uint64
	violated []string
}

func newLedgerRun(seed uint64, disableRule func(*Ledger)) *ledgerRun {
	run := &ledgerRun{
		r:        rand.New(rand.NewPCG(seed, 3)),
		draws:    map[string][]DrawnGroup{},
		owner:    map[wire.BodyKey]string{},
		versions: map[string]uint64{"abay": 1, "chikushi": 1},
		unacked:  map[string]map[string]int{"abay": {}, "chikushi": {}},
		steps:    map[string]uint64{},
	}
	run.l, run.secondLedger = NewLedger(), NewLedger()
	for _, l := range []*Ledger{run.l, run.secondLedger} {
		l.UseRules(testRules)
		disableRule(l)
	}
	return run
}

func (run *ledgerRun) violate(format string, args ...any) {
	run.violated = append(run.violated, fmt.Sprintf(format, args...))
}

func (run *ledgerRun) apply(c Command) Outcome {
	run.index++
	body := c.Encode()
	run.secondLedger.Apply(run.index, 1, body)
	return run.l.Apply(run.index, 1, body).(Outcome)
}

func (run *ledgerRun) step() {
	trainer := []string{"abay", "chikushi"}[run.r.IntN(2)]
	switch n := run.r.IntN(20); {
	case n < 2:
		run.open(trainer)
	case n < 11:
		run.commit(trainer)
	case n < 15:
		run.draw(trainer)
	case n < 17:
		run.ack(trainer)
	case n < 18:
		run.publish(trainer)
	case n < 19:
		run.lose(trainer)
	default:
		run.restore()
	}
}

func (run *ledgerRun) open(trainer string) {
	step := run.steps[trainer] + 1
	o := run.apply(Command{OpenStep: &OpenStep{Trainer: trainer, Step: step, Prompts: []string{"a", "b", "c"}, GroupSize: 2, Sampling: Sampling{MaxTokens: 4}, Version: run.versions[trainer]}})
	if o.Code == CodeOK {
		run.steps[trainer] = step
	}
}

func (run *ledgerRun) randomGroup(trainer string) (wire.BodyKey, GroupView, bool) {
	for _, t := range run.l.View().Trainers {
		if t.Name == trainer && len(t.Steps) > 0 {
			s := t.Steps[run.r.IntN(len(t.Steps))]
			g := s.Groups[run.r.IntN(len(s.Groups))]
			return wire.BodyKey{Trainer: trainer, Step: s.Step, Group: g.Group, Round: g.Round}, g, true
		}
	}
	return wire.BodyKey{}, GroupView{}, false
}

func (run *ledgerRun) commit(trainer string) {
	key, _, ok := run.randomGroup(trainer)
	if !ok {
		return
	}
	run.digest++
	key.Digest = fmt.Sprint(run.digest)
	age := run.r.Uint64N(4)
	oldest := run.versions[trainer] - min(age, run.versions[trainer]-1)
	run.apply(Command{CommitGroup: &CommitGroup{Key: key, Samples: 2, Tokens: 8, Size: 10, Oldest: oldest, Newest: oldest}})
}

func (run *ledgerRun) draw(trainer string) {
	id := fmt.Sprintf("%s-%d", trainer, run.index)
	limit := 1 + run.r.IntN(3)
	if known := sortedKeys(run.unacked[trainer]); len(known) > 0 && run.r.IntN(2) == 0 {
		id, limit = known[0], run.unacked[trainer][known[0]]
	}
	o := run.apply(Command{Draw: &Draw{Trainer: trainer, ID: id, MaxGroups: limit}})
	if o.Code != CodeOK {
		return
	}
	if first, ok := run.draws[id]; ok {
		if fmt.Sprint(first) != fmt.Sprint(o.Groups) {
			run.violate("draw %s returned %v and then %v", id, first, o.Groups)
		}
		return
	}
	run.draws[id] = o.Groups
	run.unacked[trainer][id] = limit
	for _, g := range o.Groups {
		identity := wire.BodyKey{Trainer: trainer, Step: g.Key.Step, Group: g.Key.Group}
		if other, ok := run.owner[identity]; ok {
			run.violate("group %v is in draws %s and %s", identity, other, id)
		}
		run.owner[identity] = id
		run.checkAge(trainer, g)
	}
}

func (run *ledgerRun) checkAge(trainer string, g DrawnGroup) {
	if g.Oldest+2 < run.versions[trainer] {
		run.violate("group of version %d at trainer version %d", g.Oldest, run.versions[trainer])
	}
}

func (run *ledgerRun) ack(trainer string) {
	ids := sortedKeys(run.unacked[trainer])
	if len(ids) == 0 {
		return
	}
	if o := run.apply(Command{Ack: &Ack{Trainer: trainer, ID: ids[0]}}); o.Code != CodeOK {
		run.violate("acknowledgement of %s: %+v", ids[0], o)
	}
	delete(run.unacked[trainer], ids[0])
}

func (run *ledgerRun) publish(trainer string) {
	version := max(run.versions["abay"], run.versions["chikushi"]) + 1
	o := run.apply(Command{Publish: &Publish{Trainer: trainer, Pool: "lm", Version: version, RequestID: fmt.Sprint(version)}})
	if o.Code != CodeOK {
		return
	}
	run.versions[trainer] = version
	// The trainer may receive an unacknowledged draw only after the new version.
	for id := range run.unacked[trainer] {
		for _, g := range run.draws[id] {
			run.checkAge(trainer, g)
		}
	}
}

func (run *ledgerRun) lose(trainer string) {
	if _, g, ok := run.randomGroup(trainer); ok && g.Key.Digest != "" {
		run.apply(Command{ReportLostBody: &ReportLostBody{Key: g.Key}})
	}
}

// restore replaces the ledger by one restored from its snapshot.
func (run *ledgerRun) restore() {
	snapshot, err := run.l.Snapshot()
	if err != nil {
		panic(err)
	}
	other, _ := run.secondLedger.Snapshot()
	if !bytes.Equal(snapshot, other) {
		run.violate("two replicas differ at index %d", run.index)
	}
	fresh := NewLedger()
	fresh.UseRules(testRules)
	fresh.skipStaleness, fresh.skipExactlyOnce, fresh.skipUnackedDraws, fresh.skipDrawnLoss = run.l.skipStaleness, run.l.skipExactlyOnce, run.l.skipUnackedDraws, run.l.skipDrawnLoss
	if err := fresh.Restore(snapshot); err != nil {
		panic(err)
	}
	run.l = fresh
}

// Guards against samples that are delivered twice, too old, or differently after a
// resend, a lost body or a restart. Each rule is then disabled to show that the
// checks detect its absence.
func TestLedgerGuarantees(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	violations := func(seeds uint64, disableRule func(*Ledger)) (violated []string, drawn int) {
		for seed := range seeds {
			run := newLedgerRun(seed, disableRule)
			for range 600 {
				run.step()
			}
			violated = append(violated, run.violated...)
			drawn += len(run.owner)
		}
		return violated, drawn
	}
	violated, drawn := violations(10, func(*Ledger) {})
	is.Equal(violated, nil)
	is.True(drawn > 250)
	for name, disable := range map[string]func(*Ledger){
		"staleness":    func(l *Ledger) { l.skipStaleness = true },
		"exactly once": func(l *Ledger) { l.skipExactlyOnce = true },
		"unacked":      func(l *Ledger) { l.skipUnackedDraws = true },
		"drawn loss":   func(l *Ledger) { l.skipDrawnLoss = true },
	} {
		violated, _ := violations(4, disable)
		if len(violated) == 0 {
			t.Errorf("without the rule %q no violation is detected", name)
		}
	}
}

func openLedger(t *testing.T) *Ledger {
	l := NewLedger()
	l.UseRules(testRules)
	o := l.Apply(1, 1, Command{OpenStep: &OpenStep{Trainer: "abay", Step: 1, Prompts: []string{"a", "b"}, GroupSize: 1, Sampling: Sampling{MaxTokens: 4}, Version: 1}}.Encode())
	if o.(Outcome).Code != CodeOK {
		t.Fatal(o)
	}
	return l
}

func commitTest(group int, digest string) Command {
	return Command{CommitGroup: &CommitGroup{Key: wire.BodyKey{Trainer: "abay", Step: 1, Group: group, Digest: digest}, Samples: 1, Tokens: 5, Oldest: 1, Newest: 1}}
}

// Guards against wrong outcomes of requests that contradict earlier ones.
func TestLedgerConflicts(t *testing.T) {
	is := is.New(t)
	l := openLedger(t)
	index := uint64(1)
	apply := func(c Command) Outcome {
		index++
		return l.Apply(index, 1, c.Encode()).(Outcome)
	}
	open := func(step uint64, prompt string, version uint64) Outcome {
		return apply(Command{OpenStep: &OpenStep{Trainer: "abay", Step: step, Prompts: []string{prompt}, GroupSize: 1, Sampling: Sampling{MaxTokens: 4}, Version: version}})
	}
	draw := func(id string, limit int) Outcome {
		return apply(Command{Draw: &Draw{Trainer: "abay", ID: id, MaxGroups: limit}})
	}
	publish := func(version uint64, id string) Outcome {
		return apply(Command{Publish: &Publish{Trainer: "abay", Pool: "lm", Version: version, RequestID: id}})
	}
	is.Equal(open(1, "other", 1).Code, CodeConflict) // same step, other prompts
	is.Equal(open(2, "a", 9).Code, CodeConflict)     // not the trainer's version
	is.Equal(open(2, "a", 1).Code, CodeOK)
	is.Equal(open(2, "a", 1).Code, CodeOK) // a resend
	is.Equal(draw("d1", 1).Code, CodeEmpty)
	is.Equal(apply(commitTest(0, "x")).Code, CodeOK)
	is.Equal(apply(commitTest(0, "x")).Code, CodeOK)       // a resend
	is.Equal(apply(commitTest(0, "y")).Code, CodeRepeated) // a second result
	is.Equal(l.Status()["abay"].Counts.Repeated, uint64(1))
	is.Equal(l.Status()["abay"].Counts.Wasted, uint64(5))
	is.Equal(len(draw("d1", 1).Groups), 1)
	is.Equal(draw("d1", 2).Code, CodeConflict)
	is.Equal(draw("d1", 1).Groups[0].Key.Digest, "x")
	is.Equal(publish(2, "p").Code, CodeConflict) // draw d1 is not acknowledged
	is.Equal(apply(Command{Ack: &Ack{Trainer: "abay", ID: "none"}}).Code, CodeNotFound)
	is.Equal(apply(Command{Ack: &Ack{Trainer: "abay", ID: "d1"}}).Code, CodeOK)
	is.Equal(apply(Command{Ack: &Ack{Trainer: "abay", ID: "d1"}}).Code, CodeOK)
	is.Equal(draw("d1", 1).Code, CodeConflict) // already acknowledged
	is.Equal(publish(2, "p").Code, CodeOK)
	is.Equal(publish(2, "p").Code, CodeOK)
	is.Equal(publish(3, "p").Code, CodeConflict)
	is.Equal(publish(1, "q").Code, CodeConflict)
	is.Equal(apply(Command{Publish: &Publish{Trainer: "abay", Pool: "other", Version: 3, RequestID: "r"}}).Code, CodeInvalid)
	is.Equal(apply(Command{}).Code, CodeInvalid)
	is.Equal(l.Apply(99, 1, []byte{1, 2, 3}).(Outcome).Code, CodeInvalid)
}

// Guards against a ledger that grows with the number of steps.
func TestLedgerIsBounded(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	l := NewLedger()
	l.UseRules(testRules)
	index := uint64(0)
	apply := func(c Command) {
		index++
		if o := l.Apply(index, 1, c.Encode()).(Outcome); o.Code != CodeOK {
			t.Fatalf("%+v", o)
		}
	}
	size := func() int {
		snapshot, err := l.Snapshot()
		is.NoErr(err)
		return len(snapshot)
	}
	sizes := map[uint64]int{}
	for step := uint64(1); step <= 3000; step++ {
		apply(Command{OpenStep: &OpenStep{Trainer: "abay", Step: step, Prompts: []string{"a"}, GroupSize: 1, Sampling: Sampling{MaxTokens: 4}, Version: 1}})
		apply(Command{CommitGroup: &CommitGroup{Key: wire.BodyKey{Trainer: "abay", Step: step, Digest: "x"}, Samples: 1, Oldest: 1, Newest: 1}})
		apply(Command{Draw: &Draw{Trainer: "abay", ID: fmt.Sprintf("%06d", step), MaxGroups: 1}})
		apply(Command{Ack: &Ack{Trainer: "abay", ID: fmt.Sprintf("%06d", step)}})
		if step%1500 == 0 {
			sizes[step] = size()
		}
	}
	is.True(sizes[3000] < sizes[1500]+64) // counters may take a few bytes more
}

// Guards against a data race when a coordinator starts while its replica already
// applies the log; the race detector reports it.
func TestOnChangeWhileApplying(t *testing.T) {
	is := is.New(t)
	l := openLedger(t)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for i := range uint64(100) {
			l.Apply(i+2, 1, commitTest(0, fmt.Sprint(i)).Encode())
		}
	}()
	var calls atomic.Int64
	for range 10 {
		l.OnChange(func() { calls.Add(1) })
	}
	<-done
	l.Apply(200, 1, commitTest(1, "x").Encode())
	is.True(calls.Load() >= 10)
}
