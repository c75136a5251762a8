// Package agent implements the process that runs next to one target and is the
// only one to send it requests and orders. An agent runs each request at most
// once, buffers answers until the caller side has confirmed them, and passes
// weight orders to the target in increasing order of their fencing tokens.
package agent

import (
	"time"

	"merlinhall/ratelimit"
	"merlinhall/wire"
)

const (
	// TableSize is the maximum number of running and finished ids in the table.
	TableSize = 65_536
	// maxRevokedIDs is the maximum number of remembered ids that were refused or
	// revoked and must never start. They have a limit of their own so that a full
	// table can still refuse requests permanently.
	maxRevokedIDs = 65_536
	// A finished id is kept for keepFinished, or until keepAfterDeadline past its
	// deadline, whichever is later.
	keepFinished      = 60 * time.Second
	keepAfterDeadline = 30 * time.Second
	// MaxDeadline is the longest accepted time until a deadline. It limits how long
	// an id that was revoked before its Run arrived has to be remembered.
	MaxDeadline = time.Hour
	// Window is the number of unconfirmed chunks of one stream that the agent
	// buffers before it stops reading from the target.
	Window = 64
	// maxBuffered is the size of all unconfirmed chunks, in bytes, from which on no
	// new request starts. Running requests may still add Window chunks each, which
	// for 512 streams of 4 KiB chunks is at most 128 MiB.
	maxBuffered = 64 << 20
	// chunkOverhead and tokenOverhead estimate the memory of a chunk without its
	// data and of a token without its text, in bytes.
	chunkOverhead = 160
	tokenOverhead = 24
)

// LinkID identifies a link of the agent. Ids increase with each new link; 0 means
// no link.
type LinkID uint64

// op is the kind of an effect.
type op uint8

const (
	opStart   op = iota + 1 // run the request in run on the target
	opSend                  // send message on link
	opStop                  // cancel the target call of id
	opRelease               // n chunks of id were confirmed or dropped; the target may send as many more
)

// effect is an operation that a step of the table asks the agent to perform.
type effect struct {
	op      op
	link    LinkID
	id      string
	n       int
	run     *wire.Run
	message wire.Message
}

// phase is the state of an id in the table. An id that is not in the table has
// never been seen or was removed after its retention period.
type phase uint8

const (
	running phase = iota + 1
	finished
	revoked
)

// record is the table's entry for one id.
type record struct {
	id            string
	phase         phase
	discardChunks bool // the entry has cancelled the request; drop all chunks but the last
	stopped       bool // opStop has been emitted
	end           wire.End
	deadline      int64 // ms
	expiry        int64 // ms; set for finished and revoked ids
	link          LinkID
	base          uint64 // sequence number of chunks[0]
	next          uint64 // next sequence number to send on link
	limit         uint64 // sequence numbers below it may be sent
	chunks        []*wire.Chunk
}

// rule is a bit set of table rules. Tests use it to disable individual rules.
type rule uint16

const (
	ruleOnce rule = 1 << iota
	ruleRevoke
	ruleDeadline
	ruleRouteCheck
	ruleTableFull
	ruleKeepChunks
	ruleKeepRunning
	ruleRetention
	ruleFinalRefusal
	ruleCredit
	ruleBuffer
	ruleNewestLink
	ruleNoGap
)

// table is the request table, a pure state machine that does no I/O and reads no
// clock. Times are in Unix milliseconds. Each step returns effects that are valid
// until the next step.
type table struct {
	bootID        string
	size          int
	maxRevoked    int
	maxRunning    int
	route         *routeCheck
	targetDown    bool            // the target is unreachable or its weight swaps have failed
	limit         *ratelimit.Pace // of the limit that the target names; nil if it names none
	disabledRules rule

	now          int64
	records      map[string]*record
	retained     int // number of running and finished ids
	revokedCount int // number of revoked ids
	running      map[string]*record
	stalled      map[string]*record
	unconfirmed  int // number of finished records with unconfirmed chunks
	buffered     int // estimated bytes of all unconfirmed chunks
	expiries     expiryHeap
	effects      []effect
	counts       tableCounts
}

// tableCounts are totals since the table was created.
type tableCounts struct {
	Started, Repeated, Completed uint64
	// Refused counts refusals by reason.
	Refused map[wire.RefusedReason]uint64
	// Unanswered counts messages that got no answer because there was no room to
	// remember the id as revoked, so that a refusal could not be permanent.
	Unanswered uint64
}

func newTable(boot string, size, maxRunning int, route *routeCheck) *table {
	return &table{
		bootID:     boot,
		size:       size,
		maxRevoked: maxRevokedIDs,
		maxRunning: maxRunning,
		route:      route,
		records:    make(map[string]*record),
		running:    make(map[string]*record),
		stalled:    make(map[string]*record),
		counts:     tableCounts{Refused: make(map[wire.RefusedReason]uint64)},
	}
}

// beginStep starts a step. The table's time never goes backwards, so that an id
// refused because of its deadline stays refused.
func (t *table) beginStep(now int64) {
	t.now = max(t.now, now)
	clear(t.effects)
	t.effects = t.effects[:0]
	t.expire()
}

func (t *table) emit(o effect) { t.effects = append(t.effects, o) }

func (t *table) send(link LinkID, m wire.Message) {
	t.emit(effect{op: opSend, link: link, message: m})
}

// Run handles a request. A known id never starts again.
func (t *table) Run(now int64, link LinkID, m *wire.Run) []effect {
	t.beginStep(now)
	if r := t.records[m.ID]; r != nil && t.disabledRules&ruleOnce == 0 {
		t.handleRepeat(r, link, m)
		return t.effects
	}
	if reason := t.refusalReason(m); reason != "" {
		t.refuse(link, m.ID, reason, m.Deadline)
		return t.effects
	}
	r := &record{id: m.ID, phase: running, deadline: m.Deadline, link: link, limit: uint64(m.Credit)}
	t.records[m.ID] = r
	t.running[m.ID] = r
	t.retained++
	t.counts.Started++
	if t.limit != nil {
		t.limit.Take(t.clock(), 1)
	}
	t.emit(effect{op: opStart, id: m.ID, run: m})
	return t.effects
}

func (t *table) handleRepeat(r *record, link LinkID, m *wire.Run) {
	if r.phase == revoked {
		t.refuse(link, m.ID, wire.RefusedRevoked, m.Deadline)
		return
	}
	t.counts.Repeated++
	t.attach(r, link, r.base, m.Credit)
}

// refusalReason returns why a request must not start, or "".
func (t *table) refusalReason(m *wire.Run) wire.RefusedReason {
	if t.disabledRules&ruleDeadline == 0 && (m.Deadline <= t.now || m.Deadline > t.now+MaxDeadline.Milliseconds()) {
		return wire.RefusedDeadline
	}
	if reason := t.route.check(m); reason != "" && t.disabledRules&ruleRouteCheck == 0 {
		return reason
	}
	switch {
	case t.targetDown:
		return wire.RefusedTargetDown
	case t.retained >= t.size && t.disabledRules&ruleTableFull == 0:
		return wire.RefusedTableFull
	case len(t.running) >= t.maxRunning, t.buffered >= maxBuffered && t.disabledRules&ruleBuffer == 0:
		return wire.RefusedOverload
	case t.limit != nil && t.limit.Delay(t.clock()) > 0:
		return wire.RefusedLimit
	}
	return ""
}

// retryAfterMs returns the delay after which an entry should try again, in milliseconds; 0
// gives no advice.
func (t *table) retryAfterMs(reason wire.RefusedReason) uint32 {
	if reason == wire.RefusedLimit {
		return uint32(t.limit.Delay(t.clock()).Milliseconds()) + 1
	}
	return retryAfterMs(reason)
}

// refuse answers that the id has not run and never will. It records the id as
// revoked first; if there is no room for that, it sends no answer.
func (t *table) refuse(link LinkID, id string, reason wire.RefusedReason, deadline int64) {
	if deadline > t.now && t.disabledRules&ruleFinalRefusal == 0 && !t.markRevoked(id, deadline) {
		t.counts.Unanswered++
		return
	}
	t.counts.Refused[reason]++
	t.send(link, &wire.Refused{ID: id, Reason: reason, RetryAfterMs: t.retryAfterMs(reason), Boot: t.bootID})
}

// markRevoked ensures that id never starts and reports whether it succeeded. The
// record is kept until the deadline, after which the id is refused anyway.
func (t *table) markRevoked(id string, deadline int64) bool {
	if r := t.records[id]; r != nil {
		return r.phase == revoked
	}
	if t.revokedCount >= t.maxRevoked {
		return false
	}
	limit := t.now + MaxDeadline.Milliseconds()
	r := &record{id: id, phase: revoked, expiry: min(deadline, limit) + 1}
	t.records[id] = r
	t.revokedCount++
	t.expiries.push(r)
	return true
}

// Attach continues the stream of a request on the given link.
func (t *table) Attach(now int64, link LinkID, m *wire.Attach) []effect {
	t.beginStep(now)
	r := t.records[m.ID]
	switch {
	case r == nil:
		t.refuse(link, m.ID, wire.RefusedUnknownID, t.latestDeadline())
	case r.phase == revoked:
		t.refuse(link, m.ID, wire.RefusedRevoked, r.expiry)
	default:
		t.attach(r, link, m.From, m.Credit)
	}
	return t.effects
}

// latestDeadline returns the latest deadline that the Run of an unknown id may have.
func (t *table) latestDeadline() int64 { return t.now + MaxDeadline.Milliseconds() }

// attach continues r on link at sequence number from. Chunks below base have been
// confirmed and are not sent again. A delayed message from an older link must not
// take the stream away from a newer one, on which the entry waits for it.
func (t *table) attach(r *record, link LinkID, from uint64, credit uint32) {
	if link < r.link && t.disabledRules&ruleNewestLink == 0 {
		return
	}
	limit := max(from, r.base) + uint64(credit)
	if link == r.link {
		limit = max(limit, r.limit)
	}
	r.link = link
	r.limit = limit
	r.next = min(max(from, r.base), r.base+uint64(len(r.chunks)))
	t.flush(r)
}

// Credit removes confirmed chunks and raises the send limit of the stream.
func (t *table) Credit(now int64, m *wire.Credit) []effect {
	t.beginStep(now)
	r := t.records[m.ID]
	if r == nil || r.phase == revoked {
		return t.effects
	}
	t.dropChunks(r, min(m.Confirmed, r.base+uint64(len(r.chunks))))
	r.limit = max(r.limit, m.Limit)
	t.flush(r)
	return t.effects
}

// dropChunks removes the chunks with sequence numbers below to.
func (t *table) dropChunks(r *record, to uint64) {
	if to <= r.base {
		return
	}
	n := int(to - r.base)
	for _, c := range r.chunks[:n] {
		t.buffered -= chunkBytes(c)
	}
	clear(r.chunks[:n])
	r.chunks = r.chunks[n:]
	r.base = to
	r.next = max(r.next, to)
	if len(r.chunks) == 0 {
		r.chunks = nil
		if r.phase == finished {
			t.unconfirmed--
		}
	}
	t.emit(effect{op: opRelease, id: r.id, n: n})
}

// flush sends the chunks that the credit allows.
func (t *table) flush(r *record) {
	end := r.base + uint64(len(r.chunks))
	for r.link != 0 && r.next < end && (r.next < r.limit || t.disabledRules&ruleCredit != 0) {
		t.send(r.link, r.chunks[r.next-r.base])
		r.next++
	}
	if t.disabledRules&ruleKeepChunks != 0 {
		t.dropChunks(r, r.next)
	}
}

// AddChunk appends a chunk from the target to its stream and sets its id, boot id
// and sequence number.
func (t *table) AddChunk(now int64, id string, c *wire.Chunk) []effect {
	t.beginStep(now)
	r := t.records[id]
	if r == nil || r.phase != running {
		return t.effects
	}
	if r.discardChunks && c.End == "" {
		t.emit(effect{op: opRelease, id: id, n: 1})
		return t.effects
	}
	c.ID = id
	c.Boot = t.bootID
	c.Sequence = r.base + uint64(len(r.chunks))
	r.chunks = append(r.chunks, c)
	t.buffered += chunkBytes(c)
	if c.End != "" {
		t.finish(r, c.End)
	}
	t.flush(r)
	if r.discardChunks {
		t.dropChunks(r, r.base+uint64(len(r.chunks)))
	}
	return t.effects
}

func (t *table) finish(r *record, end wire.End) {
	r.phase = finished
	r.end = end
	r.expiry = max(t.now+keepFinished.Milliseconds(), r.deadline+keepAfterDeadline.Milliseconds())
	if t.disabledRules&ruleRetention != 0 {
		r.expiry = t.now
	}
	delete(t.running, r.id)
	t.unconfirmed++
	t.counts.Completed++
	t.expiries.push(r)
}

// Cancel ends a request whose answer the entry no longer needs. An unknown id is
// marked as revoked because its Run may still be in flight.
func (t *table) Cancel(now int64, id string) []effect {
	t.beginStep(now)
	r := t.records[id]
	switch {
	case r == nil:
		t.markRevoked(id, t.latestDeadline())
	case r.phase == running:
		r.discardChunks = true
		t.dropChunks(r, r.base+uint64(len(r.chunks)))
		t.stopRun(r)
	case r.phase == finished:
		t.dropChunks(r, r.base+uint64(len(r.chunks)))
	}
	return t.effects
}

func (t *table) stopRun(r *record) {
	if r.stopped {
		return
	}
	r.stopped = true
	t.emit(effect{op: opStop, id: r.id})
}

// Revoke ensures that an id that has not started never does. A request that ended
// with EndNotRun counts as not started.
func (t *table) Revoke(now int64, link LinkID, id string) []effect {
	t.beginStep(now)
	answer := wire.RevokeNotStarted
	r := t.records[id]
	switch {
	case r == nil:
		if t.disabledRules&ruleRevoke == 0 && !t.markRevoked(id, t.latestDeadline()) {
			t.counts.Unanswered++
			return t.effects
		}
	case r.phase == running:
		answer = wire.RevokeRunning
	case r.phase == finished && r.end != wire.EndNotRun:
		answer = wire.RevokeFinished
	}
	t.send(link, &wire.Revoked{ID: id, Outcome: answer, Boot: t.bootID})
	return t.effects
}

// LinkDown detaches the streams of a link. Their requests keep running until
// their deadlines.
func (t *table) LinkDown(now int64, link LinkID) []effect {
	t.beginStep(now)
	for _, r := range t.records {
		if r.link != link {
			continue
		}
		r.link = 0
		if t.disabledRules&ruleKeepRunning != 0 && r.phase == running {
			t.stopRun(r)
		}
	}
	return t.effects
}

// SendFailed marks the stream as unsent from chunk c on, which the link did not
// accept. The next Tick sends these chunks again.
func (t *table) SendFailed(c *wire.Chunk) {
	r := t.records[c.ID]
	if r == nil || c.Sequence < r.base {
		return
	}
	r.next = min(r.next, c.Sequence)
	t.stalled[r.id] = r
}

// shouldSend reports whether a chunk emitted by the last step must still be sent.
// It must not after SendFailed for an earlier chunk of the stream, which would
// leave a gap.
func (t *table) shouldSend(c *wire.Chunk) bool {
	r := t.records[c.ID]
	return r == nil || c.Sequence < r.next || t.disabledRules&ruleNoGap != 0
}

// Tick stops requests whose deadline has passed, removes expired ids and resumes
// stalled streams.
func (t *table) Tick(now int64) []effect {
	t.beginStep(now)
	for _, r := range t.running {
		if r.deadline <= t.now {
			t.stopRun(r)
		}
	}
	for id, r := range t.stalled {
		delete(t.stalled, id)
		t.flush(r)
	}
	return t.effects
}

// Idle reports whether no request is running and every answer that an entry may
// still ask for, because its deadline lies ahead, has been confirmed.
func (t *table) Idle() bool {
	if len(t.running) > 0 {
		return false
	}
	if t.unconfirmed == 0 {
		return true
	}
	for _, r := range t.records {
		if r.phase == finished && len(r.chunks) > 0 && r.deadline > t.now {
			return false
		}
	}
	return true
}

// expire removes the ids whose retention period has ended.
func (t *table) expire() {
	for len(t.expiries) > 0 && t.expiries[0].expiry <= t.now {
		r := t.expiries.pop()
		delete(t.records, r.id)
		delete(t.stalled, r.id)
		if r.phase == revoked {
			t.revokedCount--
			continue
		}
		t.retained--
		if len(r.chunks) > 0 {
			t.unconfirmed--
		}
		for _, c := range r.chunks {
			t.buffered -= chunkBytes(c)
		}
	}
}

// chunkBytes estimates the memory used by a chunk.
func chunkBytes(c *wire.Chunk) int {
	n := chunkOverhead + len(c.Data)
	for _, token := range c.Tokens {
		n += tokenOverhead + len(token.Text)
	}
	return n
}

// retryAfterMs is the advice for reasons that do not depend on the target.
func retryAfterMs(reason wire.RefusedReason) uint32 {
	switch reason {
	case wire.RefusedOverload, wire.RefusedTargetDown, wire.RefusedNotReady:
		return 1000
	case wire.RefusedTableFull:
		return 5000
	}
	return 0
}
