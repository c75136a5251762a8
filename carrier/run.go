package carrier

import (
	"bytes"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"merlinhall/ledger"
	"merlinhall/upstream"
	"merlinhall/wire"
)

// run is one attempt on the carrier. Its text grows on the goroutine that reads the
// engine's response; everything else belongs to the actor.
type run struct {
	start  Start
	cancel context.CancelFunc
	began  time.Duration
	state  State
	end    ReadEnd
	score  string
	// rewardFailures counts the runs of the reward call that ended with a failure.
	rewardFailures int
	// maxRewardFailures is the number of them after which the item is given up: the most
	// that the submission's route, or the reward call's in any manifest since, allows.
	maxRewardFailures int
	rewardErrors      int           // reward calls that ended with another error response
	rewardFailed      bool          // the reward call failed too often
	rewardPending     bool          // a reward call is in progress
	rewardAt          time.Duration // no reward call before this time
	why               string        // why it was cancelled

	text     Text   // without the events in chunks and fresh
	full     bool   // text had no room for a chunk, so nothing that follows is added to it
	marks    []mark // of text, from the one of the start's text on; each covers more than the one before
	handed   mark   // what the leader has of text
	handedAt time.Duration

	reportedState   State
	reportedVersion uint64

	mu          sync.Mutex
	chunks      []chunk  // full ones, which follow text
	fresh       [][]byte // events after chunks
	freshBytes  int      // size of fresh
	addedBytes  int      // size of all events that were added
	tooLong     bool     // the text is longer than allowed; its end was dropped
	versions    []uint64 // weight versions of the text
	events      int
	lastEventAt time.Duration
	version     uint64 // that the engine named last
	clock       func() time.Duration
}

// chunk is consecutive events of a text that are compressed together.
type chunk struct {
	events   [][]byte
	versions []uint64 // weight versions of the text up to the last of events
}

// maxChunkBytes is the size in bytes from which a chunk is full. With maxEventBytes, which bounds
// its last event, a chunk takes up to 2 MB.
const maxChunkBytes = 1 << 20

// maxAddedBytes bounds the events that one attempt adds to a text, before compression. It is the
// bound on the bodies of other responses.
const maxAddedBytes = 32 << 20

var errTextTooLong = eris.Errorf("carrier: the text is longer than %d bytes, or than %d compressed", maxAddedBytes, MaxTextBytes)

// mark is the end of a part of a text, with what identifies the text up to there.
type mark struct {
	parts, events int
	versions      []uint64
	lineage       uint64
	software      wire.Software
}

// mark returns the mark of the end of the text.
func (t *Text) mark() mark {
	return mark{parts: len(t.Parts), events: t.Events, versions: t.Versions, lineage: t.Lineage, software: t.Software}
}

func newRun(s Start, clock func() time.Duration) *run {
	now := clock()
	r := &run{
		start: s, began: now, lastEventAt: now, handedAt: now, clock: clock, text: s.Text, events: s.Text.Events, versions: slices.Clone(s.Text.Versions),
		handed: s.Text.mark(), reportedState: Reading, maxRewardFailures: s.MaxFailures,
	}
	if len(s.Text.Parts) > 0 {
		r.marks = []mark{r.handed}
	}
	return r
}

// Add implements Generated.
func (r *run) Add(event []byte, version uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.addedBytes += len(event)
	if r.tooLong = r.tooLong || r.addedBytes > maxAddedBytes; r.tooLong {
		return
	}
	r.fresh, r.freshBytes = append(r.fresh, event), r.freshBytes+len(event)
	if !slices.Contains(r.versions, version) {
		r.versions = append(r.versions, version)
	}
	r.events++
	r.lastEventAt = r.clock()
	if r.freshBytes >= maxChunkBytes {
		r.cutChunk()
	}
}

// cutChunk makes the fresh events a chunk. The caller holds r.mu.
func (r *run) cutChunk() {
	if len(r.fresh) > 0 {
		r.chunks = append(r.chunks, chunk{r.fresh, slices.Clone(r.versions)})
		r.fresh, r.freshBytes = nil, 0
	}
}

// VersionChanged implements Generated.
func (r *run) VersionChanged(version uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.version = version
}

// counts returns the number of events, the time since the last one, and the version that
// the engine named last.
func (r *run) counts(now time.Duration) (events int, idle time.Duration, version uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.events, now - r.lastEventAt, r.version
}

// checkLength compresses the full chunks and reports whether the text is longer than allowed.
func (r *run) checkLength() (tooLong bool) {
	r.mu.Lock()
	waiting := len(r.chunks) > 0
	r.mu.Unlock()
	if waiting {
		r.pack()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.tooLong
}

// pack moves the events in chunks and fresh into the compressed text, as far as that has room.
func (r *run) pack() {
	r.mu.Lock()
	r.cutChunk()
	chunks := r.chunks
	r.chunks = nil
	r.mu.Unlock()
	for _, c := range chunks {
		if r.full {
			return
		}
		part := ledger.Pack(bytes.Join(c.events, []byte("\n")))
		if r.text.Size()+len(part) > MaxTextBytes {
			r.full = true
			r.mu.Lock()
			r.tooLong = true
			r.mu.Unlock()
			return
		}
		if r.text.Events > 0 && r.text.Software != r.start.Software {
			r.text.Software = wire.Software{}
		} else {
			r.text.Software = r.start.Software
		}
		r.text.Lineage, r.text.Versions = r.start.Attempt, c.versions
		r.text.Parts = append(slices.Clone(r.text.Parts), part)
		r.text.Events += len(c.events)
		r.marks = append(r.marks, r.text.mark())
	}
}

// forgetHanded makes the next hand-ins contain the whole text, for another leader.
func (r *run) forgetHanded() { r.handed, r.reportedVersion = mark{}, 0 }

// handedAll reports whether the leader has the whole text of an ended response.
func (r *run) handedAll() bool { return r.handed.parts == len(r.text.Parts) }

// handIn returns what follows of the text after that which the leader has, and the number of events
// before it. It is nil if there is nothing, or if room is used up. It takes whole parts until no
// room is left, and subtracts their size from room.
func (r *run) handIn(now time.Duration, room *int) (text *Text, from int) {
	r.pack()
	r.handedAt = now
	from, to := r.handed.events, r.handed
	for _, m := range r.marks {
		if m.parts <= to.parts {
			continue
		}
		if *room <= 0 {
			break
		}
		for _, part := range r.text.Parts[to.parts:m.parts] {
			*room -= len(part)
		}
		to = m
	}
	if to.parts == r.handed.parts {
		return nil, 0
	}
	text = &Text{
		Parts: r.text.Parts[r.handed.parts:to.parts], Events: to.events - from, Versions: to.versions,
		Lineage: to.lineage, Continues: r.handed.lineage, Software: to.software,
	}
	r.handed = to
	return text, from
}

// handInDue reports whether enough events are new for a hand-in.
func (r *run) handInDue(now time.Duration) bool {
	events, _, _ := r.counts(now)
	return r.state == Reading && now-r.handedAt >= handInInterval && events-r.handed.events >= minHandInEvents
}

// changed reports whether the leader should learn of the run at once.
func (r *run) changed(now time.Duration) bool {
	_, _, version := r.counts(now)
	return r.state != r.reportedState || version != r.reportedVersion
}

// progress returns what the leader is told of the run. room is what the report takes of texts, in
// bytes. A run whose text is not yet handed in as a whole counts as reading.
func (r *run) progress(now time.Duration, inventory bool, room *int) Progress {
	events, idle, version := r.counts(now)
	p := Progress{Attempt: r.start.Attempt, State: r.state, Events: events, IdleMs: int(idle.Milliseconds()), Version: version}
	if r.state != Reading || r.handInDue(now) {
		p.Text, p.From = r.handIn(now, room)
	}
	if r.state != Reading && !r.handedAll() {
		p.State, p.IdleMs = Reading, 0
	}
	if p.State == Ended {
		p.Outcome, p.Reached, p.Score, p.RewardFailed, p.Reason = r.end.Outcome, r.end.Reached, r.score, r.rewardFailed, r.why
		switch {
		case r.rewardFailed:
			p.Failures = r.rewardFailures
		case r.end.Outcome == Failed:
			p.Failures = 1
		}
		if r.end.Err != nil && p.Reason == "" {
			p.Reason = r.end.Err.Error()
		}
	}
	if inventory {
		p.Identity = &Identity{
			Submission: r.start.Submission, Item: r.start.Item, Engine: r.start.Engine, EngineStartedMs: r.start.EngineStartedMs, AgeMs: (now - r.began).Milliseconds(),
		}
	}
	r.reportedState, r.reportedVersion = p.State, version
	return p
}

// finishReading takes the end of the engine's response.
func (r *run) finishReading(end ReadEnd) {
	r.pack()
	if r.checkLength() {
		end.Outcome, end.Err = Unfinished, errTextTooLong
	}
	r.end = end
	r.state = Ended
	if end.Outcome == Complete && r.start.Reward != nil && r.why == "" {
		r.state = Scoring
	}
}

// rewardDue reports whether a reward call should begin, if the item is still wanted.
func (r *run) rewardDue(now time.Duration) bool {
	return r.state == Scoring && !r.rewardPending && now >= r.rewardAt
}

// finishReward takes the end of a reward call.
func (r *run) finishReward(now time.Duration, e RewardEnd) {
	r.rewardPending = false
	if r.state != Scoring {
		return
	}
	r.rewardFailures += e.Failures
	r.maxRewardFailures = max(r.maxRewardFailures, e.MaxFailures)
	switch {
	case e.Score != "":
		r.score, r.state = e.Score, Ended
	case e.Failures > 0 && r.rewardFailures >= r.maxRewardFailures:
		r.rewardFailed, r.state, r.why = true, Ended, e.Reason
	case e.Status != 0 && e.Failures == 0:
		r.rewardAt = now + rewardRetryDelay<<min(r.rewardErrors, maxRewardDoublings)
		r.rewardErrors++
	default:
		r.rewardAt = now + min(max(rewardRetryDelay, e.RetryAfter), rewardRetryDelay<<maxRewardDoublings)
	}
}

// abort ends the run early.
func (r *run) abort(why string) {
	if r.state == Ended || r.why != "" {
		return
	}
	r.why = why
	if r.cancel != nil {
		r.cancel()
	}
	if r.state == Scoring {
		r.state = Ended
	}
}

// request returns the request of the item.
func (r *run) request(p Protocol) *upstream.Request {
	s := &r.start
	return &upstream.Request{
		ID: s.Item, Kind: upstream.KindItem, Method: "POST", URI: s.Path, Host: s.Host, Body: s.Body,
		Header: slices.Concat(s.Headers, p.ItemHeaders(s.Item, s.Engine, s.Version, s.Text.Events)),
	}
}

// versions returns the rule for the weight versions of the text's further events.
func (s *Start) versions() VersionRule {
	rule := VersionRule{Oldest: s.OldestVersion, Single: s.SingleVersion}
	if rule.Single && len(s.Text.Versions) > 0 {
		rule.Only = s.Text.Versions[0]
	}
	return rule
}
