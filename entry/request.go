package entry

import (
	"fmt"
	"net/http"
	"time"

	"merlinhall/wire"
)

const (
	// creditWindow is the maximum number of chunks buffered for one caller.
	creditWindow = 64
	// creditStep is the number of consumed chunks after which more credit is sent.
	// At a quarter of the window the agent does not run out of credit in between.
	creditStep = creditWindow / 4
	// idempotentLinkTimeout is the time without a link after which an idempotent
	// request moves to another target. Redialing after a reset takes about 50 ms.
	idempotentLinkTimeout = 500 * time.Millisecond
	// linkLossTimeout is the time without a link after which a request that is not
	// idempotent ends with OutcomeUnknown.
	linkLossTimeout = 5 * time.Second
	// maxClockSkew is how long before the deadline an agent may cancel a request
	// because of the deadline. An agent that cancels earlier is shutting down.
	maxClockSkew = time.Second
	// defaultIdleTimeout is the time without a message about a request after which
	// Attach or Revoke is sent again, for services without a configured idle timeout.
	defaultIdleTimeout = 5 * time.Second
	// maxFruitlessAttempts is the number of consecutive attempts without any part of
	// an answer after which a request is given up. Transient refusals don't count.
	maxFruitlessAttempts = 6
)

// phase is the phase of a request at the entry.
type phase uint8

const (
	phaseWaiting  phase = iota // no target assigned
	phaseSent                  // Run was sent, no reply yet
	phaseAttached              // chunks are arriving
	phaseRevoking              // Revoke was sent, no reply yet
	phaseResuming              // the link was lost or Attach was sent
	phaseFinished
)

var phaseNames = [...]string{"waiting", "sent", "attached", "revoking", "resuming", "finished"}

// String returns the name of the phase.
func (p phase) String() string { return phaseNames[p] }

// Inputs of the request state machine, in addition to wire.Chunk, wire.Refused and
// wire.Revoked.
type (
	// assigned assigns the request to a target whose link is up.
	assigned struct {
		target        string
		boot          string // boot id of the agent at the other end of the link
		configVersion uint64
	}
	// runNotSent reports that the Run of the last assignment was not sent.
	runNotSent struct{}
	linkDown   struct{}
	linkUp     struct{ boot string }
	// departing reports that the target is leaving, removed or down.
	departing struct{ detail string }
	// consumed reports a number of chunks that the caller consumed.
	consumed   struct{ chunks uint64 }
	callerGone struct{}
	// entryStopped reports that this process ends.
	entryStopped struct{}
	tick         struct{}
	// noTarget reports that no target will be assigned.
	noTarget struct {
		detail     string
		retryAfter time.Duration
	}
)

// Outputs of the request state machine.
type (
	action interface{ isAction() }
	send   struct {
		target  string
		message wire.Message
		// first marks the Run message of an attempt. If it cannot be sent, the
		// attempt certainly did not run.
		first bool
	}
	// cancelAttempt cancels an attempt, now or when the link to its agent is back.
	cancelAttempt struct{ target, attempt, boot string }
	// deliver passes a chunk to the caller. For a plain service the caller's
	// goroutine discards chunks of earlier attempts.
	deliver struct {
		attempt int
		chunk   *wire.Chunk
	}
	// reassign requests another target.
	reassign struct {
		avoid  string
		detail string
		// refused is set when the agent refused the attempt.
		refused wire.RefusedReason
	}
	// targetFailed reports a failure of the target.
	targetFailed struct{ target string }
	finish       struct{ result Result }
)

func (send) isAction() {}

func (cancelAttempt) isAction() {}

func (deliver) isAction() {}

func (reassign) isAction() {}

func (targetFailed) isAction() {}

func (finish) isAction() {}

// disabledRules disables individual safety rules, so that tests can verify that the
// history checker detects each missing rule. The zero value disables none.
type disabledRules struct {
	moveWithoutRevoke  bool // move a request that is not idempotent without waiting for Revoked
	ignoreBoot         bool // treat a restarted agent as the same boot
	ignoreSequence     bool // deliver chunks in order of arrival
	forgetMaybeRan     bool // report OutcomeNotRun after an attempt that may have run
	brokenIsComplete   bool // report OutcomeDone for a broken stream
	resumeWithoutState bool // resume a generation without the tokens generated so far
	restartShown       bool // rerun a call after part of its answer was shown to the caller
}

// requestState is the state machine of one request. It reads no clock and does no
// I/O: step takes the time and one input, and returns the actions to perform.
type requestState struct {
	id          string
	run         wire.Run // template of every attempt
	prefix      []string // tokens provided by the caller
	deadline    time.Time
	idleTimeout time.Duration
	disabled    disabledRules

	phase          phase
	attempts       int
	fruitless      int    // consecutive attempts without a chunk for the caller
	attempt        string // id of the current attempt
	target         string
	boot           string
	connected      bool
	downSince      time.Time
	lastHeard      time.Time
	revokeAnswered bool // Revoke was answered in this attempt

	nextSequence    uint64 // next chunk sequence number expected in this attempt
	deliveredBefore uint64 // chunks delivered by earlier attempts
	delivered       uint64
	consumedChunks  uint64 // chunks consumed by the caller
	creditLimit     uint64 // credit limit last granted to this attempt
	callerWasSlow   bool   // the caller was slower than the target at least once
	reportedGap     uint64 // 1 + the first sequence number of the last gap reported to the agent; 0 if none

	// committed is set when part of a plain service's answer is shown to the caller.
	// The answer can then not be replaced by that of another attempt.
	committed bool
	completed bool // ended with OutcomeDone

	tokens            []string      // tokens generated so far
	maybeRan          bool          // an earlier attempt may have run
	advisedRetryAfter time.Duration // longest retry delay that an agent advised
}

func newRequestState(id string, run wire.Run, deadline time.Time, idleTimeout time.Duration) *requestState {
	if idleTimeout <= 0 {
		idleTimeout = defaultIdleTimeout
	}
	r := &requestState{id: id, run: run, deadline: deadline, idleTimeout: idleTimeout}
	if run.Generation != nil {
		r.prefix = run.Generation.Prefix
		r.run.Idempotent = true
	}
	return r
}

// generation reports whether the request is a generation, which can be resumed from
// its tokens.
func (r *requestState) generation() bool { return r.run.Generation != nil }

// step applies one input and returns the actions to perform.
func (r *requestState) step(now time.Time, input any) []action {
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
	case entryStopped:
		return r.onEntryStopped()
	case tick:
		return r.onTick(now)
	case noTarget:
		return r.giveUp(m.detail, m.retryAfter)
	}
	return nil
}

func (r *requestState) onAssigned(now time.Time, m assigned) []action {
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
	r.revokeAnswered = false
	r.nextSequence = 0
	r.reportedGap = 0
	r.deliveredBefore = r.delivered
	r.creditLimit = r.consumedChunks + creditWindow - r.deliveredBefore
	return []action{send{r.target, r.runMessage(m.configVersion), true}}
}

// runMessage returns the Run message of the current attempt. A resumed generation
// continues after the tokens that the caller already has.
func (r *requestState) runMessage(configVersion uint64) *wire.Run {
	if configVersion != 0 {
		r.run.ConfigVersion = configVersion
	}
	run := r.run
	run.ID = r.attempt
	run.Deadline = r.deadline.UnixMilli()
	run.Credit = uint32(r.creditLimit)
	if run.Generation != nil && len(r.tokens) > 0 && !r.disabled.resumeWithoutState {
		generation := *run.Generation
		generation.Prefix = append(append([]string{}, r.prefix...), r.tokens...)
		run.Generation = &generation
	}
	return &run
}

func (r *requestState) isCurrentAttempt(id string) bool {
	return r.phase != phaseWaiting && id == r.attempt
}

func (r *requestState) sameBoot(boot string) bool {
	return boot == "" || boot == r.boot || r.disabled.ignoreBoot
}

func (r *requestState) onChunk(now time.Time, c *wire.Chunk) []action {
	if !r.isCurrentAttempt(c.ID) {
		return nil
	}
	if !r.sameBoot(c.Boot) {
		return r.agentRestarted()
	}
	r.lastHeard = now
	if !r.disabled.ignoreSequence {
		if c.Sequence < r.nextSequence || c.Sequence >= r.creditLimit {
			return nil
		}
		if c.Sequence > r.nextSequence {
			return r.onGap()
		}
	}
	r.nextSequence = c.Sequence + 1
	r.phase = phaseAttached
	return r.handleChunk(now, c)
}

// onGap requests the missing chunks, once per gap.
func (r *requestState) onGap() []action {
	if r.reportedGap == r.nextSequence+1 {
		return nil
	}
	r.reportedGap = r.nextSequence + 1
	return []action{send{target: r.target, message: r.attachMessage()}}
}

func (r *requestState) attachMessage() *wire.Attach {
	return &wire.Attach{ID: r.attempt, From: r.nextSequence, Credit: uint32(r.creditLimit - min(r.nextSequence, r.creditLimit))}
}

func (r *requestState) handleChunk(now time.Time, c *wire.Chunk) []action {
	switch c.End {
	case "":
		return r.deliverChunk(c)
	case wire.EndComplete:
		actions := r.deliverChunk(c)
		actions = append(actions, r.acknowledge()...)
		return append(actions, r.end(Result{Outcome: OutcomeDone})...)
	case wire.EndNotRun:
		if r.nextSequence == 1 {
			return r.onNotRun(c)
		}
	case wire.EndCancelled:
		if now.Add(maxClockSkew).After(r.deadline) {
			return append(r.acknowledge(), r.expire()...)
		}
	}
	return r.onBroken(c)
}

// deliverChunk passes a chunk to the caller.
func (r *requestState) deliverChunk(c *wire.Chunk) []action {
	for _, t := range c.Tokens {
		r.tokens = append(r.tokens, t.Text)
	}
	r.delivered++
	r.fruitless = 0
	r.callerWasSlow = r.callerWasSlow || r.nextSequence >= r.creditLimit
	return []action{deliver{r.attempts, c}}
}

// onNotRun handles the report that the target did not run the request.
func (r *requestState) onNotRun(c *wire.Chunk) []action {
	actions := append(r.acknowledge(), targetFailed{r.target})
	return append(actions, r.move(detailOr(c.Detail, "target did not run the request"))...)
}

// requestRejected reports whether c is a client error (4xx) from the engine that is about the
// request, so that another engine would reject it as well.
func (r *requestState) requestRejected(c *wire.Chunk) bool {
	switch c.Status {
	case http.StatusRequestTimeout, http.StatusConflict, http.StatusMisdirectedRequest, http.StatusTooEarly, http.StatusTooManyRequests:
		return false // about the engine or the moment
	}
	return r.generation() && c.Status >= 400 && c.Status < 500 && len(c.Tokens) == 0
}

// onBroken handles an answer that ended before it was complete. Tokens in its last
// chunk are valid and are kept.
func (r *requestState) onBroken(c *wire.Chunk) []action {
	if r.requestRejected(c) {
		result := Result{Outcome: OutcomeNotRun, Status: c.Status, Broken: r.partShown(), Detail: c.Detail}
		if r.maybeRan || r.partShown() {
			result.Outcome = OutcomeUnknown // of an earlier attempt
		}
		return append(r.acknowledge(), r.end(result)...)
	}
	actions := []action{targetFailed{r.target}}
	if len(c.Tokens) > 0 {
		kept := *c
		kept.End = ""
		actions = append(actions, r.deliverChunk(&kept)...)
	}
	actions = append(actions, r.acknowledge()...)
	return append(actions, r.attemptLost(detailOr(c.Detail, "the target failed while it answered"))...)
}

func (r *requestState) acknowledge() []action {
	return []action{send{target: r.target, message: &wire.Credit{ID: r.attempt, Confirmed: r.nextSequence, Limit: max(r.creditLimit, r.nextSequence)}}}
}

func (r *requestState) onRefused(now time.Time, m *wire.Refused) []action {
	if !r.isCurrentAttempt(m.ID) {
		return nil
	}
	if !r.sameBoot(m.Boot) {
		return r.agentRestarted()
	}
	r.lastHeard = now
	if r.nextSequence > 0 {
		return r.attemptLost("agent refused a request that it had begun to answer")
	}
	if m.Reason == wire.RefusedDeadline {
		return r.giveUp("deadline passed before the request ran", 0)
	}
	return r.moveRefused(m.Reason, time.Duration(m.RetryAfterMs)*time.Millisecond)
}

func (r *requestState) onRevoked(now time.Time, m *wire.Revoked) []action {
	if !r.isCurrentAttempt(m.ID) {
		return nil
	}
	if !r.sameBoot(m.Boot) {
		return r.agentRestarted()
	}
	r.lastHeard = now
	if r.phase != phaseRevoking {
		return nil
	}
	r.revokeAnswered = true
	if m.Outcome == wire.RevokeNotStarted {
		return r.move("revoked before it started")
	}
	r.phase = phaseResuming
	return []action{send{target: r.target, message: r.attachMessage()}}
}

func (r *requestState) onLinkDown(now time.Time) []action {
	if r.phase == phaseWaiting || !r.connected {
		return nil
	}
	r.connected = false
	r.downSince = now
	r.phase = phaseResuming
	if r.disabled.moveWithoutRevoke {
		return r.move("link lost")
	}
	return nil
}

func (r *requestState) onLinkUp(now time.Time, m linkUp) []action {
	if r.phase == phaseWaiting || r.connected {
		return nil
	}
	r.connected = true
	r.lastHeard = now
	r.reportedGap = 0
	if !r.sameBoot(m.boot) {
		return r.agentRestarted()
	}
	return []action{send{target: r.target, message: r.attachMessage()}}
}

// agentRestarted handles a new boot id of the agent. The agent's request table is
// lost, so it is unknown whether the request ran.
func (r *requestState) agentRestarted() []action {
	return r.attemptLost("the agent restarted")
}

// onDeparting sends Revoke for a request that has no answer yet to a target that is
// departing. The request moves only if the agent confirms that it did not start.
func (r *requestState) onDeparting(now time.Time, m departing) []action {
	if r.phase != phaseSent || !r.connected || r.revokeAnswered {
		return nil
	}
	if r.disabled.moveWithoutRevoke {
		return r.move(m.detail)
	}
	r.phase = phaseRevoking
	r.lastHeard = now
	return []action{send{target: r.target, message: &wire.Revoke{ID: r.attempt}}}
}

func (r *requestState) onConsumed(m consumed) []action {
	r.consumedChunks += m.chunks
	if r.phase == phaseWaiting || !r.connected {
		r.creditLimit = max(r.creditLimit, r.allowedCredit())
		return nil
	}
	if r.allowedCredit() < r.creditLimit+creditStep {
		return nil
	}
	r.creditLimit = r.allowedCredit()
	return []action{send{target: r.target, message: &wire.Credit{ID: r.attempt, Confirmed: r.nextSequence, Limit: r.creditLimit}}}
}

// allowedCredit returns the credit limit of this attempt that follows from the chunks
// consumed by the caller.
func (r *requestState) allowedCredit() uint64 {
	return r.consumedChunks + creditWindow - r.deliveredBefore
}

func (r *requestState) onTick(now time.Time) []action {
	if !now.Before(r.deadline) {
		return r.onDeadline()
	}
	if r.phase == phaseWaiting {
		return nil
	}
	if !r.connected {
		return r.checkLinkDown(now.Sub(r.downSince))
	}
	if now.Sub(r.lastHeard) >= r.idleTimeout {
		r.lastHeard = now
		return r.resendPending()
	}
	return nil
}

// resendPending repeats the message that the agent has not answered yet.
func (r *requestState) resendPending() []action {
	if r.phase == phaseRevoking {
		return []action{send{target: r.target, message: &wire.Revoke{ID: r.attempt}}}
	}
	return []action{send{target: r.target, message: r.attachMessage()}}
}

// partShown reports whether the caller may have seen part of the answer.
func (r *requestState) partShown() bool {
	return r.committed || (r.generation() && r.delivered > 0)
}

// commit must be called before the chunks of an attempt are shown to the caller. It
// returns false if they are not, or are no longer, part of the answer. Otherwise the
// answer can no longer be replaced by that of another attempt.
func (r *requestState) commit(attempt int) bool {
	if attempt != r.attempts || r.phase == phaseWaiting || (r.phase == phaseFinished && !r.completed) {
		return false
	}
	r.committed = !r.disabled.restartShown
	return true
}
