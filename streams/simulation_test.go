package streams

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"

	"merlinhall/ledger"
	"merlinhall/wire"
)

// The simulation runs the keepers of many processes and the leaders' part of control processes,
// as they run in production, on a virtual clock. The replicated log and the network are models:
// messages are lost, late and doubled, questions are answered late, proposals have unknown
// outcomes, leaders change while the former one goes on, processes lose power and are cut off,
// all entries lose power together. Callers begin streams at one process and go on at others.
//
// What is checked: nobody is told other software than that which made the events that the
// caller has. In the calm after the faults all streams that were recorded before their first
// event are found.

const (
	simControls  = 5
	simFaults    = 20 * time.Second
	simCalm      = 10 * time.Second
	simMaxDelay  = 8 * time.Millisecond
	simSoftwares = 3
	// simLease is how long a leader that was replaced may still answer.
	simLease = 450 * time.Millisecond
	// simDeadline is the time limit of a caller.
	simDeadline = 5 * time.Second
)

var (
	simSeeds     = flag.Int("streams.seeds", 4, "number of seeds of the simulation of streams")
	simProcesses = flag.Int("streams.processes", 40, "number of processes in the simulation of streams")
)

// plant is a fault that is built in, which the checks must find.
type plant string

const (
	plantNothing plant = ""
	// plantNoWait has streams begin while an earlier record may name other software.
	plantNoWait plant = "no wait"
	// plantNoCommit has leaders say that streams are recorded before they are.
	plantNoCommit plant = "no commit"
	// plantNoTries has messages say that each target is the first of its attempt.
	plantNoTries plant = "no tries"
)

type world struct {
	plant plant
	ctx   context.Context
	log   *logrus.Entry
	rng   *rand.Rand
	mu    sync.Mutex

	controls  []*simControl
	leader    int // -1 while there is none
	committed [][]byte
	processes []*simProcess
	streams   []*simStream
	calm      bool

	violations      []string
	asks, records   int
	refused, wentOn int // of streams that were recorded, in the calm
}

// simControl is a control process. It applies what is committed.
type simControl struct {
	w           *world
	records     *ledger.Streams
	applied     int
	leader      *Leader
	answersTill time.Time // as a former leader
}

type simProcess struct {
	keeper *Keeper
	stop   context.CancelFunc
	cut    bool
}

// simStream is a stream of a caller.
type simStream struct {
	key      Key
	software wire.Software // that made its events
	recorded bool          // before its first event
}

func (w *world) intN(n int) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.rng.IntN(n)
}

// chance returns true with a probability of one in n, and never once the world is calm.
func (w *world) chance(n int) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.rng.IntN(n) == 0 && !w.calm
}

func (w *world) delay() { time.Sleep(time.Duration(w.intN(int(simMaxDelay)))) }

func (w *world) violate(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.violations = append(w.violations, fmt.Sprintf(format, args...))
}

func (w *world) newControl() *simControl {
	c := &simControl{w: w, records: ledger.NewStreams()}
	c.leader = NewLeader(LeaderOptions{Ledger: c.records, Propose: c.propose, MemoryBytes: 1 << 30, Log: w.log, LongestLimit: func() time.Duration { return time.Minute }})
	return c
}

// catchUp applies what is committed. The caller holds w.mu.
func (c *simControl) catchUp() {
	for ; c.applied < len(c.w.committed); c.applied++ {
		c.records.Apply(uint64(c.applied+1), 1, c.w.committed[c.applied])
	}
}

var errSimUnknown = errors.New("the outcome is unknown")

// propose commits a command if the process leads. Some are lost, and some are committed late.
func (c *simControl) propose(_ context.Context, body []byte) error {
	w := c.w
	if w.plant == plantNoCommit {
		if w.chance(3) {
			return nil
		}
	}
	time.Sleep(10*time.Millisecond + time.Duration(w.intN(int(10*time.Millisecond))))
	if w.chance(20) {
		if w.chance(2) {
			late := time.Duration(w.intN(int(3 * time.Second)))
			time.AfterFunc(late, func() { _ = c.commit(body) })
		}
		return errSimUnknown
	}
	if err := c.commit(body); err != nil {
		return err
	}
	if w.chance(40) {
		return errSimUnknown
	}
	return nil
}

func (c *simControl) commit(body []byte) error {
	w := c.w
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.leader < 0 || w.controls[w.leader] != c {
		return errors.New("not the leader")
	}
	w.committed = append(w.committed, body)
	c.catchUp()
	return nil
}

// elect makes another process lead after an election. The former one goes on for a while.
func (w *world) elect() {
	w.mu.Lock()
	if w.leader >= 0 {
		w.controls[w.leader].answersTill = time.Now().Add(simLease)
	}
	next := (w.leader + 1 + w.rng.IntN(simControls-1)) % simControls
	w.leader = -1
	w.mu.Unlock()
	time.Sleep(simLease + time.Duration(w.intN(int(time.Second))))
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.chanceLocked(3) {
		w.controls[next] = w.newControl() // its disk has all that is committed
	}
	w.leader = next
	w.controls[next].catchUp()
	w.controls[next].leader.Lead(true, 1)
}

func (w *world) chanceLocked(n int) bool { return w.rng.IntN(n) == 0 }

// answering returns the control process that answers a question: the leader, or a former one
// as far as its lease lets it.
func (w *world) answering() *simControl {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.leader < 0 || w.rng.IntN(10) == 0 {
		for _, c := range w.controls {
			if time.Now().Before(c.answersTill) {
				return c
			}
		}
	}
	if w.leader < 0 {
		return nil
	}
	return w.controls[w.leader]
}

// ask sends a question over the network.
func (w *world) ask(p *simProcess) askFunc {
	return func(ctx context.Context, in *Ask, out *Answers) error {
		w.delay()
		w.mu.Lock()
		cut := p.cut
		w.asks++
		w.records += len(in.Begun)
		w.mu.Unlock()
		if cut || w.chance(30) {
			<-ctx.Done()
			return ctx.Err()
		}
		body, err := wire.Marshal(in)
		if err != nil {
			return err
		}
		copied := new(Ask)
		if err := wire.Unmarshal(body, copied); err != nil {
			return err
		}
		if w.plant == plantNoTries {
			for i := range copied.Begun {
				copied.Begun[i].Try = 1
			}
		}
		c := w.answering()
		if c == nil {
			return errors.New("no leader")
		}
		if w.chance(20) { // the same message again, later
			time.AfterFunc(time.Duration(w.intN(int(4*time.Second))), func() {
				if c := w.answering(); c != nil {
					c.leader.Handle(w.ctx, copied)
				}
			})
		}
		answers := c.leader.Handle(ctx, copied)
		if w.chance(30) {
			<-ctx.Done()
			return ctx.Err()
		}
		w.delay()
		*out = *answers
		return nil
	}
}

func (w *world) startProcess(p *simProcess) {
	ctx, stop := context.WithCancel(w.ctx)
	p.keeper, p.stop = NewKeeper(Options{Process: fmt.Sprintf("%p", p), Log: w.log}), stop
	p.keeper.Follow(w.ask(p))
	go p.keeper.Run(ctx)
}

// losePower restarts a process, which knows nothing then.
func (w *world) losePower(p *simProcess) {
	p.stop()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.startProcess(p)
}

func (w *world) process(n int) (*simProcess, *Keeper) {
	w.mu.Lock()
	defer w.mu.Unlock()
	p := w.processes[n]
	return p, p.keeper
}

func software(n int) wire.Software {
	return wire.Software{Service: "s", Version: fmt.Sprint("v", n%simSoftwares)}
}

// caller begins streams and goes on with them at other processes.
func (w *world) caller(n int) {
	for i := 0; ; i++ {
		w.mu.Lock()
		calm := w.calm
		w.mu.Unlock()
		if calm {
			return
		}
		s := &simStream{key: Key(fmt.Appendf(nil, "%08d%08d", n, i))}
		if w.begin(s) {
			w.mu.Lock()
			w.streams = append(w.streams, s)
			w.mu.Unlock()
			for range w.intN(3) {
				time.Sleep(time.Duration(w.intN(int(2 * time.Second))))
				w.goOn(s)
			}
		}
		time.Sleep(time.Duration(w.intN(int(500 * time.Millisecond))))
	}
}

// begin begins a stream at a process, over targets of which some fail. It reports whether the
// caller has an event.
func (w *world) begin(s *simStream) bool {
	_, keeper := w.process(w.intN(len(w.processes)))
	opening := keeper.Open(s.key)
	for range 3 {
		at := software(w.intN(simSoftwares))
		if preferred, ok := opening.Preferred(); ok && w.intN(2) == 0 {
			at = preferred
		}
		opening.Sent(at)
		time.Sleep(time.Duration(w.intN(int(60 * time.Millisecond))))
		if w.chance(3) {
			continue // the target fails before its first event
		}
		deliver := opening.Deliver(w.ctx)
		if w.plant == plantNoWait && !deliver {
			opening.k.delivered(s.key, at)
			deliver = true
		}
		if deliver {
			s.software = at
			select {
			case <-opening.last.recorded:
				s.recorded = true
			default:
			}
			return true
		}
	}
	return false
}

// goOn takes a stream up at some process and returns what is known there.
func (w *world) goOn(s *simStream) Known {
	_, keeper := w.process(w.intN(len(w.processes)))
	ctx, cancel := context.WithTimeout(w.ctx, simDeadline)
	defer cancel()
	found, known := keeper.Find(ctx, s.key, "")
	if known == Recorded && found != s.software {
		w.violate("ORDER: a stream of %s goes on at %s", s.software, found)
	}
	return known
}

// trouble plays faults until the calm begins.
func (w *world) trouble() {
	until := time.Now().Add(simFaults)
	for time.Now().Before(until) {
		time.Sleep(time.Duration(w.intN(int(800 * time.Millisecond))))
		p, _ := w.process(w.intN(len(w.processes)))
		switch w.intN(6) {
		case 0, 1:
			w.elect()
		case 2: // all entries
			for _, p := range w.processes {
				w.losePower(p)
			}
		case 3:
			w.losePower(p)
		default:
			w.cut(true, w.intN(len(w.processes)/3+1))
			time.Sleep(time.Duration(w.intN(int(3 * time.Second))))
			w.cut(false, len(w.processes))
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.calm = true
}

func (w *world) cut(cut bool, n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, p := range w.processes[:n] {
		p.cut = cut
	}
}

// check takes up all streams once more, when all entries have lost power once more.
func (w *world) check() {
	for _, p := range w.processes {
		w.losePower(p)
	}
	var all sync.WaitGroup
	for _, part := range slices.Collect(slices.Chunk(w.streams, 1+len(w.streams)/len(w.processes))) {
		all.Go(func() {
			for _, s := range part {
				known := w.goOn(s)
				w.mu.Lock()
				switch {
				case known == Recorded:
					w.wentOn++
				case s.recorded:
					w.refused++
				}
				w.mu.Unlock()
			}
		})
	}
	all.Wait()
	if w.refused > 0 {
		w.violate("LOST: %d streams that were recorded before their first event are not found", w.refused)
	}
}

type outcome struct {
	violations              []string
	streams, wentOn         int
	asks, records, commands int
}

func simulate(t *testing.T, seed uint64, processes int, p plant) (out outcome) {
	synctest.Test(t, func(t *testing.T) {
		log := logrus.New()
		log.SetOutput(io.Discard)
		w := &world{plant: p, log: logrus.NewEntry(log), rng: rand.New(rand.NewPCG(seed, 5)), leader: -1}
		var cancel context.CancelFunc
		w.ctx, cancel = context.WithCancel(t.Context())
		for range simControls {
			w.controls = append(w.controls, w.newControl())
		}
		for range processes {
			p := &simProcess{}
			w.processes = append(w.processes, p)
			w.startProcess(p)
		}
		w.elect()
		var all sync.WaitGroup
		all.Go(w.trouble)
		for n := range processes {
			all.Go(func() { w.caller(n) })
		}
		all.Wait()
		time.Sleep(simCalm)
		w.check()
		out = outcome{w.violations, len(w.streams), w.wentOn, w.asks, w.records, len(w.committed)}
		cancel()
		synctest.Wait()
	})
	return out
}

// Guards against streams that are taken up at another software version, and against recorded
// ones that are lost, when messages are lost, late and doubled, leaders change, processes are
// cut off and all entries lose power.
//
//	go test ./streams -run TestSimulation -streams.seeds 1000 -streams.processes 300
func TestSimulation(t *testing.T) {
	for seed := range uint64(*simSeeds) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			out := simulate(t, seed, *simProcesses, plantNothing)
			for _, v := range out.violations {
				t.Error(v)
			}
			if out.wentOn < out.streams/2 { // half is what the users ask for, of streams without faults

				t.Errorf("%d of %d streams go on", out.wentOn, out.streams)
			}
			t.Logf("%d streams, %d go on after all; %d asks with %d records in %d commands", out.streams, out.wentOn, out.asks, out.records, out.commands)
		})
	}
}

// Guards against checks that find nothing.
func TestPlantedFaultsAreFound(t *testing.T) {
	const seeds = 40
	for _, p := range []plant{plantNoWait, plantNoCommit, plantNoTries} {
		t.Run(string(p), func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(seeds) {
				if out := simulate(t, seed, *simProcesses, p); len(out.violations) > 0 {
					t.Logf("seed %d: %s", seed, out.violations[0])
					return
				}
			}
			t.Error("no seed found it")
		})
	}
}
