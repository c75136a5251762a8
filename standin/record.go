package standin

import (
	"slices"
	"sync"

	"merlinhall/wire"
)

const (
	// HeaderRunID carries the id that merlinhall gave to one execution of a request.
	HeaderRunID = "Merlinhall-Run-Id"
	// HeaderCallID carries the id that the caller assigned to a call.
	HeaderCallID = "X-Call-Id"
)

// RequestRecord describes one request that a stand-in received.
type RequestRecord struct {
	ID     string `json:"id"` // value of HeaderRunID
	CallID string `json:"call_id,omitempty"`
	Method string `json:"method"`
	Path   string `json:"path"`
	// Account is the client account that the request was sent for. KeySeen is set if the
	// caller's key came with it.
	Account string `json:"account,omitempty"`
	KeySeen bool   `json:"key_seen,omitempty"`
	Prompt  string `json:"prompt,omitempty"`
	Seed    int64  `json:"seed,omitempty"`
	// Runs is the number of times that the request was executed, 0 or 1.
	Runs      int  `json:"runs"`
	Completed bool `json:"completed"`
	Cancelled bool `json:"cancelled"`
	// Ranges are the weight versions that produced the tokens sent.
	Ranges []wire.VersionRange `json:"ranges,omitempty"`

	serial uint64 // JournalLine.Request of this request
}

// OrderRecord describes one order that an engine received.
type OrderRecord struct {
	Kind    string `json:"kind"`
	Version uint64 `json:"version"`
	Term    uint64 `json:"term"`
	Seq     uint64 `json:"seq"`
	// Outcome is "done", "failed", "stale", or "silent" if no response was sent.
	Outcome string `json:"outcome"`
}

// Record is the response of GET /record.
type Record struct {
	Requests []RequestRecord `json:"requests"`
	Orders   []OrderRecord   `json:"orders"`
	// Runs is the number of executions by call id.
	Runs map[string]int `json:"runs"`
}

// recorder collects a Record and writes a journal, if there is one.
type recorder struct {
	mu       sync.Mutex
	requests []*RequestRecord
	orders   []OrderRecord
	runs     map[string]int
	journal  *journal
}

func (r *recorder) begin(rec RequestRecord) *RequestRecord {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := &rec
	r.journal.begin(p)
	r.requests = append(r.requests, p)
	return p
}

// update calls f with the lock held, so that f may change records.
func (r *recorder) update(f func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f()
}

// countRun records one execution of the request.
func (r *recorder) countRun(p *RequestRecord) {
	r.mu.Lock()
	defer r.mu.Unlock()
	p.Runs++
	r.journal.write(JournalLine{Event: JournalRun, Request: p.serial})
	if r.runs == nil {
		r.runs = make(map[string]int)
	}
	if p.CallID != "" {
		r.runs[p.CallID]++
	}
}

func (r *recorder) recordOrder(o OrderRecord) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.orders = append(r.orders, o)
}

// recordToken records token i. It is called before the token is written to the
// response, so that every token a client receives is in the journal.
func (r *recorder) recordToken(p *RequestRecord, i int, version uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.journal.write(JournalLine{Event: JournalToken, Request: p.serial, Index: i, Version: version})
	p.addToken(i, version)
}

// addToken attributes token i to version.
func (p *RequestRecord) addToken(i int, version uint64) {
	if n := len(p.Ranges); n > 0 && p.Ranges[n-1].Version == version && p.Ranges[n-1].To == i {
		p.Ranges[n-1].To = i + 1
		return
	}
	p.Ranges = append(p.Ranges, wire.VersionRange{From: i, To: i + 1, Version: version})
}

// Record returns a copy of what has been recorded so far.
func (r *recorder) Record() Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := Record{Orders: slices.Clone(r.orders), Runs: make(map[string]int, len(r.runs))}
	for _, p := range r.requests {
		c := *p
		c.Ranges = slices.Clone(p.Ranges)
		out.Requests = append(out.Requests, c)
	}
	for id, n := range r.runs {
		out.Runs[id] = n
	}
	return out
}
