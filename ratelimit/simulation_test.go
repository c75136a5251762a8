package ratelimit

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"merlinhall/directory"
	"merlinhall/eventqueue"
	"merlinhall/netfault"
	"merlinhall/wire"
)

const (
	simService = "s"
	simTime    = 60 * time.Second
	// The users' bound: from contactTime after a target first named a limit, no window of 4 s
	// has more than 1.5 times what it allows, and 5 requests, from processes that were told
	// half a second before or earlier.
	contactTime = 3 * time.Second
	toldTime    = 500 * time.Millisecond
	ruleWindow  = 4 * time.Second
	ruleFactor  = 1.5
	ruleSlack   = 5
	// askLimit is how long a process waits for the answer to a question.
	askLimit = askTimeout
)

var errCut = errors.New("the leader is not reached")

// simulation plays keepers of many processes on a virtual clock, with the allocator of a
// leader that changes, and targets whose limits change. Processes restart, stand still and are
// cut off.
type simulation struct {
	now     time.Duration
	rng     *rand.Rand
	queue   eventqueue.Queue
	targets []*simTarget
	procs   []*simProcess
	leader  *Keeper // nil while there is none
	term    uint64  // of the leader
	list    *directory.Directory
	sent    int
	denied  int
	asks    int
	noise   bool // processes and leaders have faults
}

type simTarget struct {
	id       string
	limits   []limitFrom // in the order of time
	arrivals []arrival
}

// limitFrom is the limit from a time on, negative for none.
type limitFrom struct {
	at        time.Duration
	perSecond float64
	toldAt    time.Duration // when a process was first told, 0 before
}

type arrival struct {
	at     time.Duration
	told   bool // the sender had been told
	sender int
}

type simProcess struct {
	number  int
	keeper  *Keeper
	frozen  time.Duration // until then
	cut     time.Duration // until then
	asking  bool
	toldAt  map[string]time.Duration // when it was first told of each target's limit
	perSec  float64
	restart int
}

func newSimulation(seed uint64, processes, targets int, demand float64, noise bool) *simulation {
	s := &simulation{rng: rand.New(rand.NewPCG(seed, 7)), list: directory.New(), noise: noise}
	var entries []wire.TargetEntry
	for i := range targets {
		t := &simTarget{id: fmt.Sprint("t", i), limits: []limitFrom{{perSecond: -1}}}
		s.targets = append(s.targets, t)
		entries = append(entries, wire.TargetEntry{ID: t.id, Service: simService, Address: t.id})
	}
	s.list.Replace(time.Now(), entries)
	for i := range processes {
		p := &simProcess{number: i, perSec: demand / float64(processes)}
		s.procs = append(s.procs, p)
		s.start(p)
		s.later(s.gap(p.perSec), func() { s.request(p) })
	}
	return s
}

func (s *simulation) clock() time.Duration { return s.now }

func (s *simulation) newKeeper(name string) *Keeper {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return NewKeeper(KeeperOptions{Process: name, Directory: s.list, Log: logrus.NewEntry(log), Clock: s.clock})
}

func (s *simulation) later(d time.Duration, f func()) { s.queue.Add(s.now+d, s.rng.Uint64(), f) }

// gap returns the time to the next event of a rate, in events a second.
func (s *simulation) gap(perSecond float64) time.Duration {
	return time.Duration(s.rng.ExpFloat64() / perSecond * float64(time.Second))
}

// delay is the time of a message on its way. A few are late.
func (s *simulation) delay() time.Duration {
	if s.rng.IntN(200) == 0 {
		return time.Duration(s.rng.IntN(150)) * time.Millisecond
	}
	return time.Duration(500+s.rng.IntN(4000)) * time.Microsecond
}

func (s *simulation) start(p *simProcess) {
	p.restart++
	p.keeper = s.newKeeper(fmt.Sprint("p", p.number))
	p.toldAt = make(map[string]time.Duration)
	p.asking = false
	p.keeper.Follow(func(context.Context, *Ask, *Answers) error { return nil }) // ask asks
	if s.leader != nil {
		p.keeper.Learn(s.leader.Limits())
	}
}

// lead makes another process leader. It knows the limits that the one before had published.
func (s *simulation) lead(term uint64, known []wire.TargetLimit) {
	k := s.newKeeper(fmt.Sprint("leader", term))
	k.Learn(known)
	k.Lead(true, term)
	k.OnChange(func(limits []wire.TargetLimit) {
		for _, p := range s.procs {
			s.later(s.delay(), func() {
				if s.now >= p.cut && s.now >= p.frozen {
					p.keeper.Learn(limits)
				}
			})
		}
	})
	s.leader, s.term = k, term
}

// changeLeader ends the leader's lease. The next one begins after an election.
func (s *simulation) changeLeader(term uint64) {
	if s.leader == nil {
		return
	}
	known := s.leader.Limits()
	if s.rng.IntN(4) == 0 {
		known = nil // all control processes were lost
	}
	s.leader = nil
	s.later(time.Duration(s.rng.IntN(1200))*time.Millisecond, func() { s.lead(term, known) })
}

func (s *simulation) request(p *simProcess) {
	s.later(s.gap(p.perSec), func() { s.request(p) })
	if s.now < p.frozen {
		return
	}
	limited := p.keeper.Targets()
	t := s.targets[s.rng.IntN(len(s.targets))]
	if !limited[t.id] {
		s.send(p, t)
		return
	}
	w := &waiter{want: Want{Service: simService, Patience: time.Duration(s.rng.IntN(500)) * time.Millisecond, Priority: s.rng.IntN(3), Only: true}, answer: make(chan Answer, 1)}
	if _, ok := p.keeper.enqueue(s.now, w); !ok {
		s.denied++
		return
	}
	s.await(p, p.restart, s.now, w)
	s.ask(p)
}

// await takes the answer to a want and sends the request at its turn.
func (s *simulation) await(p *simProcess, run int, askedAt time.Duration, w *waiter) {
	select {
	case a := <-w.answer:
		g := grantOf(askedAt, a)
		if g.Target == "" {
			s.denied++
			return
		}
		s.later(a.Delay, func() { s.use(p, run, g) })
	default:
		if s.now-askedAt < 2*time.Second {
			s.later(time.Millisecond, func() { s.await(p, run, askedAt, w) })
		}
	}
}

// use sends a granted request, after its process has thawed.
func (s *simulation) use(p *simProcess, run int, g Grant) {
	switch {
	case run != p.restart:
	case s.now < p.frozen:
		s.later(p.frozen-s.now, func() { s.use(p, run, g) })
	case g.at(s.now).Target != "":
		i := slices.IndexFunc(s.targets, func(t *simTarget) bool { return t.id == g.Target })
		s.send(p, s.targets[i])
	default:
		s.denied++
	}
}

// ask has a process ask the leader for what is due, one question at a time.
func (s *simulation) ask(p *simProcess) {
	if p.asking || s.now < p.frozen {
		return
	}
	keeper, leader := p.keeper, s.leader
	in, waiting, _ := keeper.nextAsk()
	if in == nil || len(in.Limits) == 0 && len(in.Wants) == 0 {
		return
	}
	p.asking = true
	settled := false
	settle := func(out *Answers, err error) {
		if settled || keeper != p.keeper {
			return
		}
		settled, p.asking = true, false
		keeper.settle(in, waiting, out, err)
		s.later(0, func() { s.ask(p) })
		if err != nil {
			s.later(noAnswerPause, func() { s.ask(p) })
		}
	}
	s.later(askLimit, func() { settle(&Answers{}, errCut) })
	if leader == nil || s.now < p.cut {
		return
	}
	s.later(s.delay(), func() {
		if s.leader != leader {
			return
		}
		s.asks++
		out, _ := leader.Handle(s.term, in)
		s.later(s.delay(), func() {
			if s.now >= p.cut {
				settle(out, nil)
			}
		})
	})
}

func (s *simulation) send(p *simProcess, t *simTarget) {
	s.sent++
	sentAt, run := s.now, p.restart
	toldAt, told := p.toldAt[t.id]
	counted := told && s.now-toldAt >= toldTime
	s.later(s.delay(), func() {
		t.arrivals = append(t.arrivals, arrival{s.now, counted, p.number})
		s.later(time.Duration(2+s.rng.IntN(90))*time.Millisecond, func() {
			named := len(t.limits) - 1
			limit := t.limits[named].perSecond
			s.later(s.delay(), func() {
				if run != p.restart || s.now < p.frozen {
					return
				}
				if l := &t.limits[named]; l.toldAt == 0 {
					l.toldAt = s.now
				}
				if _, ok := p.toldAt[t.id]; !ok && limit >= 0 {
					p.toldAt[t.id] = s.now
				}
				p.keeper.Note(Reading{Target: t.id, Limited: limit >= 0, PerSecond: max(0, limit), SentAt: sentAt, At: s.now})
				s.ask(p)
			})
		})
	})
}

func (s *simulation) run(until time.Duration) {
	for {
		at, run, ok := s.queue.Next(until)
		if !ok {
			s.now = until
			return
		}
		s.now = at
		run()
	}
}

// disturb plays changes of limits and, with noise, faults of processes and leaders.
func (s *simulation) disturb(limits func() float64) {
	s.lead(1, nil)
	for _, t := range s.targets {
		var change func()
		change = func() {
			next := limits()
			if s.rng.IntN(5) == 0 {
				next = -1
			}
			t.limits = append(t.limits, limitFrom{at: s.now, perSecond: next})
			s.later(time.Duration(4+s.rng.IntN(16))*time.Second, change)
		}
		s.later(time.Duration(s.rng.IntN(5000))*time.Millisecond, change)
	}
	if !s.noise {
		return
	}
	for term := uint64(2); term < 8; term++ {
		s.later(time.Duration(s.rng.Int64N(int64(simTime))), func() { s.changeLeader(term) })
	}
	for range max(3, len(s.procs)/5) {
		p := s.procs[s.rng.IntN(len(s.procs))]
		s.later(time.Duration(s.rng.Int64N(int64(simTime))), func() {
			span := time.Duration(s.rng.IntN(6000)) * time.Millisecond
			switch s.rng.IntN(3) {
			case 0:
				s.start(p)
			case 1:
				p.frozen = s.now + span
			case 2:
				p.cut = s.now + span
			}
		})
	}
}

// violations returns the windows in which a target got more than the users' rule allows.
func (s *simulation) violations() []string {
	var out []string
	for _, t := range s.targets {
		for i, first := range t.arrivals {
			end := first.at + ruleWindow
			if named, ok := t.namedSince(first.at); !ok || first.at < named+contactTime || !t.limitedUntil(first.at, end) {
				continue
			}
			n, all := 0, 0
			for _, a := range t.arrivals[i:] {
				if a.at >= end {
					break
				}
				all++
				if a.told {
					n++
				}
			}
			if allowed := ruleFactor*t.allowed(first.at, end) + ruleSlack; float64(n) > allowed {
				out = append(out, fmt.Sprintf("%s at %v: %d (%d with those not told) of %.1f", t.id, end, n, all, allowed))
				break
			}
		}
	}
	return out
}

// namedSince returns since when the target has had a limit, whatever its value.
func (t *simTarget) namedSince(at time.Duration) (since time.Duration, ok bool) {
	for _, l := range t.limits {
		switch {
		case l.at > at:
			return since, ok
		case l.perSecond < 0:
			ok = false
		case !ok:
			since, ok = l.at, true
		}
	}
	return since, ok
}

func (t *simTarget) limitedUntil(from, end time.Duration) bool {
	return !slices.ContainsFunc(t.limits, func(l limitFrom) bool { return l.at >= from && l.at < end && l.perSecond < 0 })
}

// allowed returns the number of requests that the limits of a time allow. A limit counts until
// half a second after a process was told the next one: only responses tell it, and the rule
// counts from then on.
func (t *simTarget) allowed(from, end time.Duration) float64 {
	const step = 50 * time.Millisecond
	sum := 0.0
	for at := from; at < end; at += step {
		highest := 0.0
		for i, l := range t.limits {
			until := simTime * 2
			if i+1 < len(t.limits) && t.limits[i+1].toldAt > 0 {
				until = t.limits[i+1].toldAt + toldTime
			}
			if l.at <= at && at < until {
				highest = max(highest, l.perSecond)
			}
		}
		sum += highest * step.Seconds()
	}
	return sum
}

// Guards against a bound over all processes that each of them keeps alone: each sends little,
// and together they send a target more than it takes. Limits fall, rise, end and are near zero
// while leaders change and processes restart, stand still and are cut off.
//
//	MERLINHALL_LIMIT_SEEDS=1-500 go test ./ratelimit -run TestProcessesStayWithinALimitTogether
func TestProcessesStayWithinALimitTogether(t *testing.T) {
	for _, processes := range []int{10, 30, 100, 300} {
		t.Run(fmt.Sprint(processes), func(t *testing.T) {
			for _, seed := range netfault.SeedList(t, "MERLINHALL_LIMIT_SEEDS", "1-12") {
				s := newSimulation(seed, processes, 4, 150, true)
				s.disturb(func() float64 {
					return [...]float64{0, 0.01, 0.4, 1, 2.5, 8, 30}[s.rng.IntN(7)]
				})
				s.run(simTime)
				if v := s.violations(); len(v) > 0 {
					t.Errorf("seed %d, %d processes: %v", seed, processes, v)
				}
			}
		})
	}
}

// Guards against a bound that is kept by sending nearly nothing: the limit is used, however
// many processes ask for it.
func TestALimitIsUsed(t *testing.T) {
	for _, processes := range []int{10, 30, 100, 300} {
		for _, perSecond := range []float64{1, 5, 40} {
			t.Run(fmt.Sprintf("%d processes, %v a second", processes, perSecond), func(t *testing.T) {
				is := is.New(t)
				s := newSimulation(1, processes, 1, 100, false)
				s.targets[0].limits = append(s.targets[0].limits, limitFrom{perSecond: perSecond})
				s.lead(1, nil)
				s.run(simTime)
				got := 0
				for _, a := range s.targets[0].arrivals {
					if a.at > simTime/2 {
						got++
					}
				}
				used := float64(got) / (perSecond * simTime.Seconds() / 2)
				t.Logf("%.2f of the limit used, %.0f questions a second to the leader", used, float64(s.asks)/simTime.Seconds())
				is.True(float64(s.asks)/simTime.Seconds() <= maxAsksPerSecond)
				is.True(used >= 0.8)
				is.True(used <= 1.1)
			})
		}
	}
}
