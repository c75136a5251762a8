// Package agent is the process beside one target: the only one that talks to it.
// It runs each request at most once, keeps answers until they are confirmed, and
// passes orders to the target in the order of their fences.
package agent

import (
	"time"

	"merlinhall/wire"
)

const (
	// TableSize is the number of running and finished ids that the table holds.
	TableSize = 65_536
	// revokedSize bounds the ids that were refused or revoked and must never
	// start. They are kept apart, so that a full table can still refuse for good.
	revokedSize = 65_536
	// keepFinished and keepAfterDeadline give the time for which a finished id is
	// kept: the larger of 60 s and its deadline + 30 s.
	keepFinished      = 60 * time.Second
	keepAfterDeadline = 30 * time.Second
	// MaxDeadline is the farthest deadline that is accepted. It bounds how long an
	// id that was revoked before its Run arrived has to be remembered.
	MaxDeadline = time.Hour
	// Window is the number of unconfirmed chunks of one stream that the agent
	// buffers before it stops to read from the target.
	Window = 64
	// maxBuffered is the number of buffered bytes of unconfirmed chunks above which
	// no new request starts. Requests that run may add Window chunks each: with 512
	// streams of 4 KiB chunks at most 128 MiB.
	maxBuffered = 64 << 20
	// chunkOverhead is what a chunk costs beside its data and each token beside its
	// text, in bytes.
	chunkOverhead = 160
	tokenOverhead = 24
)

// LinkID names a link of the agent. A later link has a higher id; 0 is no link.
type LinkID uint64

// op is what an outcome asks the agent to do.
type op uint8

const (
	opStart op = iota + 1 // run request Run on the target
	opSend                // send Message on Link
	opStop                // cancel the target call of ID
	opRoom                // N chunks of ID have been confirmed or dropped
)

// outcome is one consequence of a step of the table.
type outcome struct {
	op      op
	link    LinkID
	id      string
	n       int
	run     *wire.Run
	message wire.Message
}

// phase is the state of an id in the table. An id that is not in the table has
// not been seen or was forgotten after its retention period.
type phase uint8

const (
	running phase = iota + 1
	finished
	revoked
)

// record is the state of one id.
type record struct {
	id       string
	phase    phase
	discard  bool // the caller has left; only the end is kept
	stopped  bool // opStop has been issued
	end      wire.End
	deadline int64 // ms
	expiry   int64 // ms, for finished and revoked ids
	link     LinkID
	base     uint64 // sequence of chunks[0]
	next     uint64 // next sequence to send on link
	limit    uint64 // sequences below it may be sent
	chunks   []*wire.Chunk
}

// rule is a bit that switches one rule of the table off in tests.
type rule uint16

const (
	ruleOnce rule = 1 << iota
	ruleRevoke
	ruleDeadline
	ruleHop
	ruleFull
	ruleKeepChunks
	ruleKeepRun
	ruleRetention
	ruleRefuseForGood
	ruleCredit
	ruleBuffer
	ruleNewestLink
	ruleNoGap
)

// table is the request table: a pure state machine stepped by (now, message).
// Times are Unix milliseconds. Each step returns outcomes that are valid until
// the next step.
type table struct {
	boot       string
	size       int
	deadSize   int
	maxRunning int
	hop        *lastHop
	down       bool // the target does not accept connections
	off        rule

	now      int64
	records  map[string]*record
	live     int // running and finished
	dead     int // revoked
	running  map[string]*record
	stalled  map[string]*record
	unsent   int // finished records whose chunks are not all confirmed
	buffered int // bytes of chunks held
	expiries expiryHeap
	out      []outcome
	counts   tableCounts
}

// tableCounts are totals since the start.
type tableCounts struct {
	Started, Repeated, Completed uint64
	// Refused counts refusals by reason.
	Refused map[wire.RefusedReason]uint64
	// Unanswered counts messages left without an answer because neither the
	// table nor the list of revoked ids had room to make a refusal final.
	Unanswered uint64
}

func newTable(boot string, size, maxRunning int, hop *lastHop) *table {
	return &table{
		boot:       boot,
		size:       size,
		deadSize:   revokedSize,
		maxRunning: maxRunning,
		hop:        hop,
		records:    make(map[string]*record),
		running:    make(map[string]*record),
		stalled:    make(map[string]*record),
		counts:     tableCounts{Refused: make(map[wire.RefusedReason]uint64)},
	}
}

// begin starts a step. The clock of the table never goes back, so that an id
// refused for its deadline stays refused.
func (t *table) begin(now int64) {
	t.now = max(t.now, now)
	clear(t.out)
	t.out = t.out[:0]
	t.expire()
}

func (t *table) emit(o outcome) { t.out = append(t.out, o) }

func (t *table) send(link LinkID, m wire.Message) {
	t.emit(outcome{op: opSend, link: link, message: m})
}

// Run handles a request. An id that is known never starts again.
func (t *table) Run(now int64, link LinkID, m *wire.Run) []outcome {
	t.begin(now)
	if r := t.records[m.ID]; r != nil && t.off&ruleOnce == 0 {
		t.repeat(r, link, m)
		return t.out
	}
	if reason := t.refusal(m); reason != "" {
		t.refuse(link, m.ID, reason, m.Deadline)
		return t.out
	}
	r := &record{id: m.ID, phase: running, deadline: m.Deadline, link: link, limit: uint64(m.Credit)}
	t.records[m.ID] = r
	t.running[m.ID] = r
	t.live++
	t.counts.Started++
	t.emit(outcome{op: opStart, id: m.ID, run: m})
	return t.out
}

func (t *table) repeat(r *record, link LinkID, m *wire.Run) {
	if r.phase == revoked {
		t.refuse(link, m.ID, wire.RefusedRevoked, m.Deadline)
		return
	}
	t.counts.Repeated++
	t.attach(r, link, r.base, m.Credit)
}

// refusal returns why a request must not start, or "".
func (t *table) refusal(m *wire.Run) wire.RefusedReason {
	if t.off&ruleDeadline == 0 && (m.Deadline <= t.now || m.Deadline > t.now+MaxDeadline.Milliseconds()) {
		return wire.RefusedDeadline
	}
	if reason := t.hop.check(m); reason != "" && t.off&ruleHop == 0 {
		return reason
	}
	switch {
	case t.down:
		return wire.RefusedTargetDown
	case t.live >= t.size && t.off&ruleFull == 0:
		return wire.RefusedTableFull
	case len(t.running) >= t.maxRunning, t.buffered >= maxBuffered && t.off&ruleBuffer == 0:
		return wire.RefusedOverload
	}
	return ""
}

// refuse answers that the id has not run and never will. That is only said once
// the id is on the list of revoked ids; without room there is no answer.
func (t *table) refuse(link LinkID, id string, reason wire.RefusedReason, deadline int64) {
	if deadline > t.now && t.off&ruleRefuseForGood == 0 && !t.forbid(id, deadline) {
		t.counts.Unanswered++
		return
	}
	t.counts.Refused[reason]++
	t.send(link, &wire.Refused{ID: id, Reason: reason, RetryAfterMs: retryAfter(reason), Boot: t.boot})
}

// forbid makes sure that id never starts, and reports whether it could. The
// entry is needed until deadline, after which the id is refused anyway.
func (t *table) forbid(id string, deadline int64) bool {
	if r := t.records[id]; r != nil {
		return r.phase == revoked
	}
	if t.dead >= t.deadSize {
		return false
	}
	limit := t.now + MaxDeadline.Milliseconds()
	r := &record{id: id, phase: revoked, expiry: min(deadline, limit) + 1}
	t.records[id] = r
	t.dead++
	t.expiries.push(r)
	return true
}

// Attach sends the chunks of a request on another link.
func (t *table) Attach(now int64, link LinkID, m *wire.Attach) []outcome {
	t.begin(now)
	r := t.records[m.ID]
	switch {
	case r == nil:
		t.refuse(link, m.ID, wire.RefusedUnknownID, t.farthest())
	case r.phase == revoked:
		t.refuse(link, m.ID, wire.RefusedRevoked, r.expiry)
	default:
		t.attach(r, link, m.From, m.Credit)
	}
	return t.out
}

// farthest is the latest deadline that a Run of an unseen id may carry.
func (t *table) farthest() int64 { return t.now + MaxDeadline.Milliseconds() }

// attach goes on with r on link from sequence from. Chunks below base have been
// confirmed and are not sent again. A late message of an older link does not take
// the stream from a newer one, on which the entry waits.
func (t *table) attach(r *record, link LinkID, from uint64, credit uint32) {
	if link < r.link && t.off&ruleNewestLink == 0 {
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

// Credit confirms chunks and opens the window.
func (t *table) Credit(now int64, m *wire.Credit) []outcome {
	t.begin(now)
	r := t.records[m.ID]
	if r == nil || r.phase == revoked {
		return t.out
	}
	t.drop(r, min(m.Confirmed, r.base+uint64(len(r.chunks))))
	r.limit = max(r.limit, m.Limit)
	t.flush(r)
	return t.out
}

// drop forgets the chunks below to.
func (t *table) drop(r *record, to uint64) {
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
			t.unsent--
		}
	}
	t.emit(outcome{op: opRoom, id: r.id, n: n})
}

// flush sends what the credit allows.
func (t *table) flush(r *record) {
	end := r.base + uint64(len(r.chunks))
	for r.link != 0 && r.next < end && (r.next < r.limit || t.off&ruleCredit != 0) {
		t.send(r.link, r.chunks[r.next-r.base])
		r.next++
	}
	if t.off&ruleKeepChunks != 0 {
		t.drop(r, r.next)
	}
}

// Produced adds a chunk from the target. The table numbers it.
func (t *table) Produced(now int64, id string, c *wire.Chunk) []outcome {
	t.begin(now)
	r := t.records[id]
	if r == nil || r.phase != running {
		return t.out
	}
	if r.discard && c.End == "" {
		t.emit(outcome{op: opRoom, id: id, n: 1})
		return t.out
	}
	c.ID = id
	c.Boot = t.boot
	c.Sequence = r.base + uint64(len(r.chunks))
	r.chunks = append(r.chunks, c)
	t.buffered += chunkBytes(c)
	if c.End != "" {
		t.finish(r, c.End)
	}
	t.flush(r)
	if r.discard {
		t.drop(r, r.base+uint64(len(r.chunks)))
	}
	return t.out
}

func (t *table) finish(r *record, end wire.End) {
	r.phase = finished
	r.end = end
	r.expiry = max(t.now+keepFinished.Milliseconds(), r.deadline+keepAfterDeadline.Milliseconds())
	if t.off&ruleRetention != 0 {
		r.expiry = t.now
	}
	delete(t.running, r.id)
	t.unsent++
	t.counts.Completed++
	t.expiries.push(r)
}

// Cancel ends a request whose caller has left. An unseen id is forbidden, as its
// Run may still be on the way.
func (t *table) Cancel(now int64, id string) []outcome {
	t.begin(now)
	r := t.records[id]
	switch {
	case r == nil:
		t.forbid(id, t.farthest())
	case r.phase == running:
		r.discard = true
		t.drop(r, r.base+uint64(len(r.chunks)))
		t.stop(r)
	case r.phase == finished:
		t.drop(r, r.base+uint64(len(r.chunks)))
	}
	return t.out
}

func (t *table) stop(r *record) {
	if r.stopped {
		return
	}
	r.stopped = true
	t.emit(outcome{op: opStop, id: r.id})
}

// Revoke makes sure that an id which has not started never does. A request that
// ended as certainly not run counts as not started.
func (t *table) Revoke(now int64, link LinkID, id string) []outcome {
	t.begin(now)
	answer := wire.RevokeNotStarted
	r := t.records[id]
	switch {
	case r == nil:
		if t.off&ruleRevoke == 0 && !t.forbid(id, t.farthest()) {
			t.counts.Unanswered++
			return t.out
		}
	case r.phase == running:
		answer = wire.RevokeRunning
	case r.phase == finished && r.end != wire.EndNotRun:
		answer = wire.RevokeFinished
	}
	t.send(link, &wire.Revoked{ID: id, Outcome: answer, Boot: t.boot})
	return t.out
}

// LinkDown detaches the streams of a link. Their runs go on until the deadline.
func (t *table) LinkDown(now int64, link LinkID) []outcome {
	t.begin(now)
	for _, r := range t.records {
		if r.link != link {
			continue
		}
		r.link = 0
		if t.off&ruleKeepRun != 0 && r.phase == running {
			t.stop(r)
		}
	}
	return t.out
}

// Unsent takes back chunks from sequence on that the link did not accept. They
// are sent again at the next Tick.
func (t *table) Unsent(c *wire.Chunk) {
	r := t.records[c.ID]
	if r == nil || c.Sequence < r.base {
		return
	}
	r.next = min(r.next, c.Sequence)
	t.stalled[r.id] = r
}

// due reports whether a chunk of the last step is still to be sent: after an
// earlier chunk of its stream was taken back it is not, as streams have no gaps.
func (t *table) due(c *wire.Chunk) bool {
	r := t.records[c.ID]
	return r == nil || c.Sequence < r.next || t.off&ruleNoGap != 0
}

// Tick stops runs whose deadline has passed, forgets expired ids and resumes
// stalled streams.
func (t *table) Tick(now int64) []outcome {
	t.begin(now)
	for _, r := range t.running {
		if r.deadline <= t.now {
			t.stop(r)
		}
	}
	for id, r := range t.stalled {
		delete(t.stalled, id)
		t.flush(r)
	}
	return t.out
}

// Idle reports whether nothing runs and every answer that an entry may still
// want has been confirmed.
func (t *table) Idle() bool {
	if len(t.running) > 0 {
		return false
	}
	if t.unsent == 0 {
		return true
	}
	for _, r := range t.records {
		if r.phase == finished && len(r.chunks) > 0 && r.deadline > t.now {
			return false
		}
	}
	return true
}

// expire forgets the ids whose time is over.
func (t *table) expire() {
	for len(t.expiries) > 0 && t.expiries[0].expiry <= t.now {
		r := t.expiries.pop()
		delete(t.records, r.id)
		delete(t.stalled, r.id)
		if r.phase == revoked {
			t.dead--
			continue
		}
		t.live--
		if len(r.chunks) > 0 {
			t.unsent--
		}
		for _, c := range r.chunks {
			t.buffered -= chunkBytes(c)
		}
	}
}

// chunkBytes estimates the memory that a chunk takes.
func chunkBytes(c *wire.Chunk) int {
	n := chunkOverhead + len(c.Data)
	for _, token := range c.Tokens {
		n += tokenOverhead + len(token.Text)
	}
	return n
}

// retryAfter is the advice in a refusal, in milliseconds.
func retryAfter(reason wire.RefusedReason) uint32 {
	switch reason {
	case wire.RefusedOverload, wire.RefusedTargetDown, wire.RefusedNotReady:
		return 1000
	case wire.RefusedTableFull:
		return 5000
	}
	return 0
}
