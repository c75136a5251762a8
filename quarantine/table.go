package quarantine

import (
	"cmp"
	"slices"
	"time"
)

const (
	// maxRecords bounds the requests that a process remembers. Those with the fewest strikes
	// go first.
	maxRecords = 4096
	// maxEnds bounds the ends of one request. It is above the strikes from which no pause
	// gets longer.
	maxEnds = 8
	// forgetAfter is the time without an arrival after which a request is forgotten, and
	// forgetAnswered the one after an answer, in which reports of earlier ends arrive.
	forgetAfter    = time.Hour
	forgetAnswered = 30 * time.Second
)

// pauses are the times from the last end under a request until it is tried again, by the
// strikes so far. Users allow three retries later than 3 s after the third end. Beyond the last
// one a request is held back until an operator lifts it or it stays away for forgetAfter.
var pauses = [...]time.Duration{1: 0, 2: 500 * time.Millisecond, 3: 4 * time.Second, 4: 20 * time.Second, 5: 10 * time.Minute}

// suspectStrikes is the number of strikes from which all processes know of a request.
const suspectStrikes = 2

// pauseAfter returns the pause after a number of strikes, or false if it has no end.
func pauseAfter(strikes int) (time.Duration, bool) {
	if strikes >= len(pauses) {
		return 0, false
	}
	return pauses[strikes], true
}

// End is the end of a target while a request was under way there. Its times are on the clock of
// the process.
type End struct {
	Target string // its id, which it may have again when it is back
	SentAt time.Duration
	At     time.Duration
}

// sameEnd is how far the times of one end may differ that several processes tell. A target
// takes longer to end again under the same id.
const sameEnd = time.Second

// same reports whether e and o are the same end.
func (e End) same(o End) bool { return e.Target == o.Target && (e.At-o.At).Abs() < sameEnd }

// record is what is known of requests with one key.
type record struct {
	// ends are those since the last answer, as the longest row in which each request was
	// sent after the end before it. Ends of requests that were under way together say no more
	// than one of them: a popular request is under way at every target.
	ends       []End
	answeredAt time.Duration // of the last answer, or when it was lifted; only with answered
	answered   bool
	arrivedAt  time.Duration
	toldAt     time.Duration // when the arrival was last told to other processes
	route      string        // of the latest request that a target ended under
	request    string        // its id
	// shared is set once all processes were to know of the record.
	shared bool
}

func (r *record) strikes() int { return len(r.ends) }

// lastEnd returns the time of the last end of a record with strikes.
func (r *record) lastEnd() time.Duration { return r.ends[len(r.ends)-1].At }

// tryAt returns when a request with strikes may be tried again, or false for never.
func (r *record) tryAt() (time.Duration, bool) {
	pause, ok := pauseAfter(r.strikes())
	return r.lastEnd() + pause, ok
}

// expired reports whether the record is to be forgotten.
func (r *record) expired(now time.Duration) bool {
	if r.strikes() == 0 {
		return now-r.answeredAt > forgetAnswered
	}
	return now-max(r.arrivedAt, r.lastEnd()) > forgetAfter
}

// merge takes what another process or an observation says of the key and reports whether the
// strikes or the answer changed.
func (r *record) merge(o *record) (changed bool) {
	before := r.strikes()
	if o.answered && (!r.answered || o.answeredAt > r.answeredAt) {
		changed = before > 0
		r.answered, r.answeredAt = true, o.answeredAt
	}
	if o.strikes() > 0 && (before == 0 || o.lastEnd() > r.lastEnd()) && o.request != "" {
		r.route, r.request = o.route, o.request
	}
	r.arrivedAt = max(r.arrivedAt, o.arrivedAt)
	ends := slices.Clone(r.ends)
	for _, e := range o.ends {
		if i := slices.IndexFunc(ends, e.same); i < 0 {
			ends = append(ends, e)
		} else if e.At < ends[i].At {
			ends[i] = e // the other report was longer on its way
		}
	}
	if r.answered {
		ends = slices.DeleteFunc(ends, func(e End) bool { return e.At <= r.answeredAt })
	}
	r.ends = longestRow(ends)
	r.shared = r.shared || r.strikes() >= suspectStrikes
	return changed || r.strikes() != before
}

// longestRow returns the longest row of ends in which each request was sent after the end
// before it, and of that the last maxEnds.
func longestRow(ends []End) []End {
	slices.SortFunc(ends, func(a, b End) int { return cmp.Or(cmp.Compare(a.At, b.At), cmp.Compare(a.Target, b.Target)) })
	var row []End
	for _, e := range ends {
		if len(row) == 0 || e.SentAt >= row[len(row)-1].At {
			row = append(row, e)
		}
	}
	return row[max(0, len(row)-maxEnds):]
}

// table holds the records of a process. It is a pure state machine: its times are parameters.
type table struct {
	records map[Key]*record
	heads   map[digest]int // records by the first part of their key
}

func newTable() *table { return &table{records: make(map[Key]*record), heads: make(map[digest]int)} }

// merge takes a record of the key, see record.merge.
func (t *table) merge(now time.Duration, k Key, o *record) (changed bool) {
	r := t.records[k]
	if r == nil {
		if len(t.records) >= maxRecords {
			t.dropOne(now)
		}
		r = &record{}
		t.records[k] = r
		t.heads[k.head]++
	}
	return r.merge(o)
}

// answer notes that a target has answered a request, which ends its strikes. It reports whether
// there were any.
func (t *table) answer(now time.Duration, k Key) bool {
	r := t.records[k]
	return r != nil && r.merge(&record{answered: true, answeredAt: now})
}

// strikes returns the strikes of a key.
func (t *table) strikes(k Key) int {
	if r := t.records[k]; r != nil {
		return r.strikes()
	}
	return 0
}

// shared reports whether all processes were to know of the record of a key.
func (t *table) shared(k Key) bool {
	r := t.records[k]
	return r != nil && r.shared
}

// expire forgets the records whose time is over.
func (t *table) expire(now time.Duration) {
	for k, r := range t.records {
		if r.expired(now) {
			t.drop(k)
		}
	}
}

func (t *table) drop(k Key) {
	delete(t.records, k)
	if t.heads[k.head]--; t.heads[k.head] == 0 {
		delete(t.heads, k.head)
	}
}

// dropOne forgets the record with the fewest strikes, and of these the one that arrived first.
func (t *table) dropOne(now time.Duration) {
	t.expire(now)
	if len(t.records) < maxRecords {
		return
	}
	var least Key
	var found *record
	for k, r := range t.records {
		if found == nil || cmp.Or(cmp.Compare(r.strikes(), found.strikes()), cmp.Compare(r.arrivedAt, found.arrivedAt)) < 0 {
			least, found = k, r
		}
	}
	t.drop(least)
}
