package entry

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"merlinhall/wire"
)

// The simulation runs request state machines against simulated agents on a virtual
// clock. Messages are delayed; chunks are also duplicated and reordered. Links are cut
// or go silent, and frames of an old link may arrive late. Agents depart, or crash and
// lose their request table.

type simEvent struct {
	at  time.Duration
	run func()
}

type simRun struct {
	run     *wire.Run
	chunks  []*wire.Chunk
	sent    uint64
	limit   uint64
	started bool
	revoked bool
	ended   bool
}

type simAgent struct {
	name       string
	bootNumber int
	up         bool // the agent process is running
	linked     bool
	silent     bool
	refuses    bool // refuses every request because of overload
	version    uint64
	table      map[string]*simRun
}

func (a *simAgent) boot() string { return fmt.Sprintf("%s/%d", a.name, a.bootNumber) }

// simRequest is the history of one request.
type simRequest struct {
	r          *requestState
	target     *simAgent
	tries      int
	want       int // chunks or tokens of a complete answer
	got        []string
	runs       int
	finishes   int
	result     Result
	attempt    int    // attempt that got belongs to
	shown      bool   // the caller has seen part of the answer
	mixed      bool   // the caller has seen parts of two attempts
	unconsumed uint64 // chunks delivered and not consumed
	leaves     bool
}

type sim struct {
	rng           *rand.Rand
	disabledRules disabledRules
	now           time.Duration
	events        []simEvent // in descending order of time
	agents        []*simAgent
	requests      map[string]*simRequest
	list          []*simRequest
	steps         int
}

var simStart = time.Unix(1_700_000_000, 0)

func (s *sim) time() time.Time { return simStart.Add(s.now) }

func (s *sim) after(d time.Duration, f func()) {
	e := simEvent{s.now + d, f}
	i, _ := slices.BinarySearchFunc(s.events, e, func(a, b simEvent) int { return cmp.Compare(b.at, a.at) })
	s.events = slices.Insert(s.events, i, e)
}

// upTo returns a random duration below d.
func (s *sim) upTo(d time.Duration) time.Duration { return time.Duration(s.rng.Int64N(int64(d))) }

func (s *sim) chance(percent int) bool { return s.rng.IntN(100) < percent }

func runSim(seed uint64, requests int, disabled disabledRules) *sim {
	s := &sim{rng: rand.New(rand.NewPCG(seed, 9)), disabledRules: disabled, requests: make(map[string]*simRequest)}
	for i := range 3 {
		s.agents = append(s.agents, &simAgent{name: fmt.Sprintf("t%d", i), up: true, linked: true, version: 1, table: make(map[string]*simRun)})
	}
	for i := range requests {
		s.after(s.upTo(20*time.Second), func() { s.submit(i) })
	}
	for range 12 {
		a := s.agents[s.rng.IntN(len(s.agents))]
		s.after(s.upTo(22*time.Second), func() { s.fault(a) })
	}
	s.after(tickPeriod, s.tick)
	for len(s.events) > 0 && s.now < 90*time.Second {
		e := s.events[len(s.events)-1]
		s.events = s.events[:len(s.events)-1]
		s.now = e.at
		s.steps++
		e.run()
	}
	return s
}

func (s *sim) submit(i int) {
	run := wire.Run{Service: "svc", Idempotent: i%3 == 1}
	want := 1 + s.rng.IntN(100)
	if i%3 == 2 {
		run.Generation = &wire.Generation{Prompt: strconv.Itoa(i), MaxTokens: want}
	}
	id := fmt.Sprintf("r%d", i)
	r := newRequestState(id, run, s.time().Add(time.Second+s.upTo(25*time.Second)), time.Second)
	r.disabled = s.disabledRules
	q := &simRequest{r: r, want: want, leaves: s.chance(5)}
	s.requests[id] = q
	s.list = append(s.list, q)
	s.place(q, "")
	if q.leaves {
		// Every other one of them ends with its entry instead.
		var input any = callerGone{}
		if i%2 == 0 {
			input = entryStopped{}
		}
		s.after(s.upTo(3*time.Second), func() { s.step(q, input) })
	}
}

// place assigns q to a linked target. If there is none, it tries again later and
// finally gives up.
func (s *sim) place(q *simRequest, avoid string) {
	if q.r.phase != phaseWaiting {
		return
	}
	var usable []*simAgent
	for _, a := range s.agents {
		if a.linked && (a.name != avoid || s.chance(20)) {
			usable = append(usable, a)
		}
	}
	if len(usable) == 0 {
		if q.tries++; q.tries > 50 {
			s.step(q, noTarget{detail: "no target"})
			return
		}
		s.after(100*time.Millisecond, func() { s.place(q, avoid) })
		return
	}
	q.target = usable[s.rng.IntN(len(usable))]
	s.step(q, assigned{target: q.target.name, boot: q.target.boot(), configVersion: 1})
}

func (s *sim) tick() {
	s.after(tickPeriod, s.tick)
	for _, q := range s.list {
		s.step(q, tick{})
	}
}

func (s *sim) step(q *simRequest, input any) {
	for _, a := range q.r.step(s.time(), input) {
		switch a := a.(type) {
		case send:
			s.toAgent(q.target, a.message)
		case cancelAttempt:
			s.toAgent(q.target, &wire.Cancel{ID: a.attempt})
		case deliver:
			s.deliver(q, a)
		case reassign:
			s.after(s.upTo(50*time.Millisecond), func() { s.place(q, a.avoid) })
		case finish:
			q.finishes++
			q.result = a.result
		}
	}
}

func (s *sim) deliver(q *simRequest, d deliver) {
	c := d.chunk
	if !q.r.generation() && d.attempt != q.attempt {
		q.mixed = q.mixed || q.shown
		q.attempt, q.got = d.attempt, nil
	}
	for _, t := range c.Tokens {
		q.got = append(q.got, t.Text)
	}
	if len(c.Data) > 0 {
		q.got = append(q.got, string(c.Data))
	}
	q.unconsumed++
	if s.chance(5) {
		s.after(s.upTo(50*time.Millisecond), func() { q.shown = q.shown || q.r.commit(d.attempt) })
	}
	wait := s.upTo(20 * time.Millisecond)
	if s.chance(1) {
		wait = s.upTo(2 * time.Second)
	}
	s.after(wait, func() {
		if n := q.unconsumed; n > 0 {
			q.unconsumed = 0
			s.step(q, consumed{n})
		}
	})
}

// toAgent sends a frame to an agent. A frame in transit when the link is cut may
// arrive late or not at all.
func (s *sim) toAgent(a *simAgent, m wire.Message) {
	if !a.linked || a.silent {
		return
	}
	bootNumber := a.bootNumber
	s.after(s.upTo(30*time.Millisecond), func() {
		if !a.linked || a.silent {
			if s.chance(50) {
				return
			}
			s.after(s.upTo(3*time.Second), func() { s.agentReceive(a, bootNumber, m) })
			return
		}
		s.agentReceive(a, bootNumber, m)
	})
}

func (s *sim) agentReceive(a *simAgent, bootNumber int, m wire.Message) {
	if !a.up || a.bootNumber != bootNumber {
		return
	}
	switch m := m.(type) {
	case *wire.Run:
		s.onRun(a, m)
	case *wire.Attach:
		r := a.table[m.ID]
		if r == nil {
			a.table[m.ID] = &simRun{revoked: true}
			s.toEntry(a, m.ID, &wire.Refused{ID: m.ID, Reason: wire.RefusedUnknownID, Boot: a.boot()})
			return
		}
		if r.revoked {
			s.toEntry(a, m.ID, &wire.Refused{ID: m.ID, Reason: wire.RefusedRevoked, Boot: a.boot()})
			return
		}
		r.sent, r.limit = m.From, max(r.limit, m.From+uint64(m.Credit))
		s.flush(a, r)
	case *wire.Credit:
		if r := a.table[m.ID]; r != nil && !r.revoked {
			r.limit = max(r.limit, m.Limit)
			s.flush(a, r)
		}
	case *wire.Revoke:
		r := a.table[m.ID]
		outcome := wire.RevokeRunning
		if r == nil || !r.started {
			a.table[m.ID] = &simRun{revoked: true}
			outcome = wire.RevokeNotStarted
		}
		s.toEntry(a, m.ID, &wire.Revoked{ID: m.ID, Outcome: outcome, Boot: a.boot()})
	case *wire.Cancel:
		if a.table[m.ID] == nil {
			a.table[m.ID] = &simRun{revoked: true}
		}
	}
}

func (s *sim) onRun(a *simAgent, m *wire.Run) {
	if r := a.table[m.ID]; r != nil {
		if r.revoked {
			s.toEntry(a, m.ID, &wire.Refused{ID: m.ID, Reason: wire.RefusedRevoked, Boot: a.boot()})
			return
		}
		r.sent, r.limit = 0, max(r.limit, uint64(m.Credit))
		s.flush(a, r)
		return
	}
	if s.time().UnixMilli() >= m.Deadline || a.refuses || s.chance(3) {
		a.table[m.ID] = &simRun{revoked: true}
		s.toEntry(a, m.ID, &wire.Refused{ID: m.ID, Reason: wire.RefusedOverload, Boot: a.boot()})
		return
	}
	r := &simRun{run: m, limit: uint64(m.Credit)}
	a.table[m.ID] = r
	bootNumber := a.bootNumber
	s.after(s.upTo(300*time.Millisecond), func() { s.start(a, bootNumber, r) })
}

func (s *sim) start(a *simAgent, bootNumber int, r *simRun) {
	if a.bootNumber != bootNumber || !a.up || a.table[r.run.ID] != r {
		return
	}
	r.started = true
	if s.chance(2) {
		s.produce(a, r, &wire.Chunk{End: wire.EndNotRun})
		return
	}
	q := s.requests[baseID(r.run.ID)]
	q.runs++
	next := 0
	if g := r.run.Generation; g != nil {
		next = len(g.Prefix)
	}
	s.work(a, bootNumber, r, q, next)
}

// work produces chunks until the answer is complete or the target fails.
func (s *sim) work(a *simAgent, bootNumber int, r *simRun, q *simRequest, next int) {
	s.after(s.upTo(20*time.Millisecond), func() {
		if a.bootNumber != bootNumber || r.ended {
			return
		}
		if s.rng.IntN(1000) == 0 {
			s.produce(a, r, &wire.Chunk{End: wire.EndBroken})
			return
		}
		c := &wire.Chunk{}
		if next >= q.want {
			c.End = wire.EndComplete
		} else if piece := simPiece(q.r.id, next); r.run.Generation != nil {
			c.Tokens = []wire.Token{{Text: piece, Version: a.version}}
		} else {
			c.Data = []byte(piece)
		}
		s.produce(a, r, c)
		s.work(a, bootNumber, r, q, next+1)
	})
}

func simPiece(id string, i int) string { return fmt.Sprintf("%s/%d", id, i) }

func (s *sim) produce(a *simAgent, r *simRun, c *wire.Chunk) {
	c.ID, c.Sequence, c.Boot = r.run.ID, uint64(len(r.chunks)), a.boot()
	r.chunks = append(r.chunks, c)
	r.ended = c.End != ""
	s.flush(a, r)
}

func (s *sim) flush(a *simAgent, r *simRun) {
	for r.sent < min(uint64(len(r.chunks)), r.limit) {
		c := r.chunks[r.sent]
		r.sent++
		s.toEntry(a, c.ID, c)
		if s.chance(3) {
			s.toEntry(a, c.ID, c)
		}
	}
}

// toEntry sends a frame to the request of an attempt. Random delays reorder frames,
// and a few are delayed by up to 2 s.
func (s *sim) toEntry(a *simAgent, id string, m wire.Message) {
	if !a.linked || a.silent {
		return
	}
	wait := 2*time.Millisecond + s.upTo(2*time.Millisecond)
	if s.chance(2) {
		wait = s.upTo(2 * time.Second)
	}
	s.after(wait, func() {
		if q := s.requests[baseID(id)]; a.linked || s.chance(50) {
			s.step(q, m)
		}
	})
}

func (s *sim) fault(a *simAgent) {
	switch s.rng.IntN(6) {
	case 0: // crash and restart
		a.up = false
		a.bootNumber++
		a.table = make(map[string]*simRun)
		s.cut(a, s.upTo(8*time.Second))
	case 1: // the connection breaks
		s.cut(a, s.upTo(time.Second))
	case 2: // the connection goes silent and is replaced after about 2 s
		a.silent = true
		s.after(2*time.Second, func() { s.cut(a, s.upTo(100*time.Millisecond)) })
	case 3: // a partition longer than any timeout of the entry
		s.cut(a, 10*time.Second)
	case 4: // overload of all targets
		for _, a := range s.agents {
			a.refuses = true
			s.after(3*time.Second, func() { a.refuses = false })
		}
	case 5: // departure
		for _, q := range s.list {
			if q.target == a {
				s.step(q, departing{"leaving"})
			}
		}
	}
}

func (s *sim) cut(a *simAgent, down time.Duration) {
	if a.linked {
		a.linked = false
		s.each(a, linkDown{})
	}
	s.after(down, func() {
		a.up = true
		a.silent = false
		if a.linked {
			return
		}
		a.linked = true
		s.each(a, linkUp{boot: a.boot()})
	})
}

func (s *sim) each(a *simAgent, input any) {
	for _, q := range s.list {
		if q.target == a {
			s.step(q, input)
		}
	}
}

// check returns the violations found in the history.
func (s *sim) check() []string {
	var bad []string
	for _, q := range s.list {
		fail := func(format string, args ...any) {
			bad = append(bad, q.r.id+": "+fmt.Sprintf(format, args...))
		}
		if q.finishes != 1 {
			fail("finished %d times", q.finishes)
		}
		if !q.r.run.Idempotent && q.runs > 1 {
			fail("not idempotent and ran %d times", q.runs)
		}
		if q.result.Outcome == OutcomeNotRun && q.runs > 0 {
			fail("reported as not run and ran %d times", q.runs)
		}
		if q.mixed {
			fail("answers of two attempts are mixed")
		}
		if q.result.Outcome == OutcomeDone && len(q.got) != q.want {
			fail("reported as complete with %d of %d pieces", len(q.got), q.want)
		}
		for i, piece := range q.got {
			if piece != simPiece(q.r.id, i) {
				fail("piece %d is %q", i, piece)
				break
			}
		}
	}
	return bad
}

func simRuns() uint64 {
	n, err := strconv.ParseUint(os.Getenv("MERLINHALL_HISTORIES"), 10, 64)
	if err != nil {
		return 12
	}
	return n
}

// Guards against requests that are lost, run twice, truncated or mixed up, under random
// combinations of faults.
func TestRandomHistories(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	outcomes := make(map[Outcome]int)
	steps, moved := 0, 0
	for seed := range simRuns() {
		s := runSim(seed, 60, disabledRules{})
		steps += s.steps
		for _, q := range s.list {
			outcomes[q.result.Outcome]++
			if q.r.attempts > 1 {
				moved++
			}
		}
		for _, b := range s.check() {
			t.Errorf("seed %d: %s", seed, b)
		}
	}
	t.Logf("%d histories, %d steps, outcomes %v, moved %d", simRuns(), steps, outcomes, moved)
	is.True(outcomes[OutcomeDone] > 0 && outcomes[OutcomeNotRun] > 0 && outcomes[OutcomeUnknown] > 0 && moved > 0)
}

// Guards against a history checker that detects nothing. It must find a violation for
// each disabled safety rule.
func TestCheckerFindsEachMissingRule(t *testing.T) {
	t.Parallel()
	for name, disabled := range map[string]disabledRules{
		"move only after revoke":          {moveWithoutRevoke: true},
		"boot id of the agent":            {ignoreBoot: true},
		"sequence of chunks":              {ignoreSequence: true},
		"memory of earlier attempts":      {forgetMaybeRan: true},
		"broken streams are not complete": {brokenIsComplete: true},
		"no restart of a shown answer":    {restartShown: true},
		"resume after the tokens":         {resumeWithoutState: true},
	} {
		found := 0
		for seed := uint64(0); seed < 200 && found == 0; seed++ {
			found = len(runSim(seed, 60, disabled).check())
		}
		if found == 0 {
			t.Errorf("no history fails with the rule %q disabled", name)
		}
	}
}
