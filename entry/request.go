package entry

import (
	"fmt"
	"time"

	"merlinhall/wire"
)

const (
	// creditWindow is the number of chunks that may wait for one caller.
	creditWindow = 64
	// creditStep is the number of consumed chunks after which a new limit is
	// sent. A quarter of the window keeps the agent from running dry.
	creditStep = creditWindow / 4
	// reattachLimit is the time without a link after which a repeatable request
	// moves to another target. A redial after a reset takes about 50 ms.
	reattachLimit = 500 * time.Millisecond
	// goneLimit is the time without a link after which the outcome of a request
	// that must not be repeated is given up as unknown.
	goneLimit = 5 * time.Second
	// clockSkew is how early an agent may end a request for its deadline. One that
	// ends it earlier is shutting down.
	clockSkew = time.Second
	// defaultIdle is the time without a chunk after which a request is attached
	// again, for services without a timeout of their own.
	defaultIdle = 5 * time.Second
	// maxAttempts bounds the attempts in a row that bring no part of the answer.
	maxAttempts = 6
)

// phase is the state of a request at the entry.
type phase uint8

const (
	phaseWaiting  phase = iota // no target is chosen
	phaseSent                  // Run was sent, nothing was heard
	phaseAttached              // chunks arrive
	phaseRevoking              // Revoke was sent, nothing was heard
	phaseResuming              // the link was lost or Attach was sent
	phaseFinished
)

var phaseNames = [...]string{"waiting", "sent", "attached", "revoking", "resuming", "finished"}

// String returns the name of the phase.
func (p phase) String() string { return phaseNames[p] }

// Inputs of the request state machine, besides Chunk, Refused and Revoked.
type (
	// assigned gives the request a target whose link is up.
	assigned struct {
		target        string
		boot          string // boot id of the agent at the other end of the link
		configVersion uint64
	}
	// runNotSent says that the Run of the last assignment did not leave.
	runNotSent struct{}
	linkDown   struct{}
	linkUp     struct{ boot string }
	// departing says that the target is leaving, down or suspect.
	departing struct{ why string }
	// consumed counts chunks that the caller took.
	consumed   struct{ chunks uint64 }
	callerGone struct{}
	tick       struct{}
	// noTarget says that no target will be assigned.
	noTarget struct {
		why        string
		retryAfter time.Duration
	}
)

// Outputs of the request state machine.
type (
	action interface{ isAction() }
	send   struct {
		target  string
		message wire.Message
		// first marks the first Run of an attempt: when it cannot be sent the
		// request certainly did not run there.
		first bool
	}
	// abandon cancels an attempt as soon as its agent can be reached.
	abandon struct{ target, attempt, boot string }
	// deliver passes a chunk on. The caller of a plain service forgets the chunks
	// of earlier attempts.
	deliver struct {
		attempt int
		chunk   *wire.Chunk
	}
	// route asks for another target.
	route struct {
		avoid string
		why   string
		// refused is set when the agent refused the attempt.
		refused wire.RefusedReason
	}
	// blame notes a failure of the target.
	blame  struct{ target string }
	finish struct{ result Result }
)

func (send) isAction() {}

func (abandon) isAction() {}

func (deliver) isAction() {}

func (route) isAction() {}

func (blame) isAction() {}

func (finish) isAction() {}

// rules switches single safety rules off, for tests that show that the history
// checker finds their absence. The zero value has every rule on.
type rules struct {
	moveWithoutRevoke  bool // move a non-idempotent call without Revoked
	ignoreBoot         bool // take a restarted agent for the same one
	ignoreSequence     bool // deliver chunks as they come
	forgetMaybeRan     bool // report not-run after an attempt that may have run
	brokenIsComplete   bool // end a broken stream as a complete one
	resumeWithoutState bool // resume a generation without the tokens so far
	restartShown       bool // run a call again of which the caller has seen a part
}

// request is the state of one caller request. It is pure: it reads no clock and
// does no I/O.
type request struct {
	id       string
	run      wire.Run // template of every attempt
	prefix   []string // tokens that the caller gave
	deadline time.Time
	idle     time.Duration
	rules    rules

	phase     phase
	attempts  int
	fruitless int    // attempts in a row without a chunk for the caller
	attempt   string // id of the current attempt
	target    string
	boot      string
	connected bool
	downSince time.Time
	lastHeard time.Time
	revoked   bool // Revoke was answered with "running" or "finished"

	next      uint64 // next sequence number of this attempt
	base      uint64 // chunks delivered by earlier attempts
	delivered uint64
	taken     uint64 // chunks consumed by the caller
	limit     uint64 // limit last granted to this attempt
	held      bool   // the caller was slower than the target at least once
	asked     uint64 // sequence number for which a gap was reported, plus one

	// committed is set when the caller of a plain service has seen a part of the
	// answer, which can then no longer be replaced by that of another attempt.
	committed bool
	done      bool

	tokens   []string      // generated so far
	maybeRan bool          // an earlier attempt may have run
	advised  time.Duration // longest retry time that an agent gave
}

func newRequest(id string, run wire.Run, deadline time.Time, idle time.Duration) *request {
	if idle <= 0 {
		idle = defaultIdle
	}
	r := &request{id: id, run: run, deadline: deadline, idle: idle}
	if run.Generation != nil {
		r.prefix = run.Generation.Prefix
		r.run.Idempotent = true
	}
	return r
}

// generation reports whether the request can be resumed by its tokens.
func (r *request) generation() bool { return r.run.Generation != nil }

// step takes one input and returns what must be done.
func (r *request) step(now time.Time, input any) []action {
	if r.phase == phaseFinished {
		return nil
	}
	switch m := input.(type) {
	case assigned:
		return r.onAssigned(now, m)
	case runNotSent:
		return r.move("run was not sent")
	case *wire.Chunk:
		return r.onChunk(now, m)
	case *wire.Refused:
		return r.onRefused(now, m)
	case *wire.Revoked:
		return r.onRevoked(now, m)
	case linkDown:
		return r.onLinkDown(now)
	case linkUp:
		return r.onLinkUp(now, m)
	case departing:
		return r.onDeparting(now, m)
	case consumed:
		return r.onConsumed(m)
	case callerGone:
		return r.onCallerGone()
	case tick:
		return r.onTick(now)
	case noTarget:
		return r.giveUp(m.why, m.retryAfter)
	}
	return nil
}

func (r *request) onAssigned(now time.Time, m assigned) []action {
	if r.phase != phaseWaiting {
		return nil
	}
	r.attempts++
	r.attempt = r.id
	if r.attempts > 1 {
		r.attempt = fmt.Sprintf("%s.%d", r.id, r.attempts-1)
	}
	r.target = m.target
	r.boot = m.boot
	r.phase = phaseSent
	r.connected = true
	r.lastHeard = now
	r.revoked = false
	r.next = 0
	r.asked = 0
	r.base = r.delivered
	r.limit = r.taken + creditWindow - r.base
	return []action{send{r.target, r.runMessage(m.configVersion), true}}
}

// runMessage returns the Run of the current attempt. A resumed generation starts
// after the tokens that the caller already has.
func (r *request) runMessage(configVersion uint64) *wire.Run {
	if configVersion != 0 {
		r.run.ConfigVersion = configVersion
	}
	run := r.run
	run.ID = r.attempt
	run.Deadline = r.deadline.UnixMilli()
	run.Credit = uint32(r.limit)
	if run.Generation != nil && len(r.tokens) > 0 && !r.rules.resumeWithoutState {
		generation := *run.Generation
		generation.Prefix = append(append([]string{}, r.prefix...), r.tokens...)
		run.Generation = &generation
	}
	return &run
}

func (r *request) current(id string) bool {
	return r.phase != phaseWaiting && id == r.attempt
}

func (r *request) sameBoot(boot string) bool {
	return boot == "" || boot == r.boot || r.rules.ignoreBoot
}

func (r *request) onChunk(now time.Time, c *wire.Chunk) []action {
	if !r.current(c.ID) {
		return nil
	}
	if !r.sameBoot(c.Boot) {
		return r.agentRestarted()
	}
	r.lastHeard = now
	if !r.rules.ignoreSequence {
		if c.Sequence < r.next || c.Sequence >= r.limit {
			return nil
		}
		if c.Sequence > r.next {
			return r.onGap()
		}
	}
	r.next = c.Sequence + 1
	r.phase = phaseAttached
	return r.accept(now, c)
}

// onGap asks once for the chunks that are missing.
func (r *request) onGap() []action {
	if r.asked == r.next+1 {
		return nil
	}
	r.asked = r.next + 1
	return []action{send{target: r.target, message: r.attachMessage()}}
}

func (r *request) attachMessage() *wire.Attach {
	return &wire.Attach{ID: r.attempt, From: r.next, Credit: uint32(r.limit - min(r.next, r.limit))}
}

func (r *request) accept(now time.Time, c *wire.Chunk) []action {
	switch c.End {
	case "":
		return r.pass(c)
	case wire.EndComplete:
		actions := r.pass(c)
		actions = append(actions, r.confirm()...)
		return append(actions, r.end(Result{Outcome: OutcomeDone})...)
	case wire.EndNotRun:
		if r.next == 1 {
			return r.onNotRun(c)
		}
	case wire.EndCancelled:
		if now.Add(clockSkew).After(r.deadline) {
			return append(r.confirm(), r.expire()...)
		}
	}
	return r.onBroken(c)
}

// pass hands a chunk to the caller.
func (r *request) pass(c *wire.Chunk) []action {
	for _, t := range c.Tokens {
		r.tokens = append(r.tokens, t.Text)
	}
	r.delivered++
	r.fruitless = 0
	r.held = r.held || r.next >= r.limit
	return []action{deliver{r.attempts, c}}
}

// onNotRun handles a target that certainly did not run the request.
func (r *request) onNotRun(c *wire.Chunk) []action {
	actions := append(r.confirm(), blame{r.target})
	return append(actions, r.move(reason(c.Detail, "target did not run the request"))...)
}

// rejects reports whether c says that the engine found fault with the request;
// another engine would as well.
func (r *request) rejects(c *wire.Chunk) bool {
	return r.generation() && c.Status >= 400 && c.Status < 500 && len(c.Tokens) == 0
}

// onBroken handles an answer that ended before it was complete. Tokens that came
// with the last chunk are genuine and are kept.
func (r *request) onBroken(c *wire.Chunk) []action {
	if r.rejects(c) {
		return append(r.confirm(), r.end(Result{Outcome: OutcomeNotRun, Status: c.Status, Broken: r.shown(), Detail: c.Detail})...)
	}
	actions := []action{blame{r.target}}
	if len(c.Tokens) > 0 {
		kept := *c
		kept.End = ""
		actions = r.pass(&kept)
	}
	actions = append(actions, r.confirm()...)
	return append(actions, r.lost(reason(c.Detail, "the target failed while it answered"))...)
}

func (r *request) confirm() []action {
	return []action{send{target: r.target, message: &wire.Credit{ID: r.attempt, Confirmed: r.next, Limit: max(r.limit, r.next)}}}
}

func (r *request) onRefused(now time.Time, m *wire.Refused) []action {
	if !r.current(m.ID) {
		return nil
	}
	if !r.sameBoot(m.Boot) {
		return r.agentRestarted()
	}
	r.lastHeard = now
	if r.next > 0 {
		return r.lost("agent refused a request that it had begun to answer")
	}
	if m.Reason == wire.RefusedDeadline {
		return r.giveUp("deadline passed before the request ran", 0)
	}
	return r.moveRefused(m.Reason, time.Duration(m.RetryAfterMs)*time.Millisecond)
}

func (r *request) onRevoked(now time.Time, m *wire.Revoked) []action {
	if !r.current(m.ID) {
		return nil
	}
	if !r.sameBoot(m.Boot) {
		return r.agentRestarted()
	}
	r.lastHeard = now
	if r.phase != phaseRevoking {
		return nil
	}
	r.revoked = true
	if m.Outcome == wire.RevokeNotStarted {
		return r.move("revoked before it started")
	}
	r.phase = phaseResuming
	return []action{send{target: r.target, message: r.attachMessage()}}
}

func (r *request) onLinkDown(now time.Time) []action {
	if r.phase == phaseWaiting || !r.connected {
		return nil
	}
	r.connected = false
	r.downSince = now
	r.phase = phaseResuming
	if r.rules.moveWithoutRevoke {
		return r.move("link lost")
	}
	return nil
}

func (r *request) onLinkUp(now time.Time, m linkUp) []action {
	if r.phase == phaseWaiting || r.connected {
		return nil
	}
	r.connected = true
	r.lastHeard = now
	r.asked = 0
	if !r.sameBoot(m.boot) {
		return r.agentRestarted()
	}
	return []action{send{target: r.target, message: r.attachMessage()}}
}

// agentRestarted handles a new boot id: the agent's table is lost, so nobody
// knows whether the request ran.
func (r *request) agentRestarted() []action {
	return r.lost("the agent restarted")
}

// onDeparting takes a request that has not been answered away from a target that
// is leaving or failing. Only a request that certainly did not start moves.
func (r *request) onDeparting(now time.Time, m departing) []action {
	if r.phase != phaseSent || !r.connected || r.revoked {
		return nil
	}
	if r.rules.moveWithoutRevoke {
		return r.move(m.why)
	}
	r.phase = phaseRevoking
	r.lastHeard = now
	return []action{send{target: r.target, message: &wire.Revoke{ID: r.attempt}}}
}

func (r *request) onConsumed(m consumed) []action {
	r.taken += m.chunks
	if r.phase == phaseWaiting || !r.connected {
		r.limit = max(r.limit, r.window())
		return nil
	}
	if r.window() < r.limit+creditStep {
		return nil
	}
	r.limit = r.window()
	return []action{send{target: r.target, message: &wire.Credit{ID: r.attempt, Confirmed: r.next, Limit: r.limit}}}
}

// window is the limit that the caller's progress allows to this attempt.
func (r *request) window() uint64 {
	return r.taken + creditWindow - r.base
}

func (r *request) onTick(now time.Time) []action {
	if !now.Before(r.deadline) {
		return r.onDeadline()
	}
	if r.phase == phaseWaiting {
		return nil
	}
	if !r.connected {
		return r.whileDown(now.Sub(r.downSince))
	}
	if now.Sub(r.lastHeard) >= r.idle {
		r.lastHeard = now
		return r.ask()
	}
	return nil
}

// ask repeats the question that the agent has not answered.
func (r *request) ask() []action {
	if r.phase == phaseRevoking {
		return []action{send{target: r.target, message: &wire.Revoke{ID: r.attempt}}}
	}
	return []action{send{target: r.target, message: r.attachMessage()}}
}

// shown reports whether the caller has a part of the answer.
func (r *request) shown() bool {
	return r.committed || (r.generation() && r.delivered > 0)
}

// commit asks to show the chunks of an attempt to the caller. It returns false
// when they are not, or no longer, part of the answer.
func (r *request) commit(attempt int) bool {
	if attempt != r.attempts || r.phase == phaseWaiting || (r.phase == phaseFinished && !r.done) {
		return false
	}
	r.committed = !r.rules.restartShown
	return true
}
