package standin

import (
	"slices"
	"sync"

	"merlinhall/wire"
)

const (
	// HeaderRunID carries the id under which the product runs a request.
	HeaderRunID = "Merlinhall-Run-Id"
	// HeaderCallID carries the business id of a call.
	HeaderCallID = "X-Call-Id"
)

// RequestRecord is what a stand-in saw of one request.
type RequestRecord struct {
	ID     string `json:"id"` // request id of the product
	CallID string `json:"call_id,omitempty"`
	Method string `json:"method"`
	Path   string `json:"path"`
	Prompt string `json:"prompt,omitempty"`
	Seed   int64  `json:"seed,omitempty"`
	// Runs is 1 once the request has run, 0 while it only waited.
	Runs      int  `json:"runs"`
	Completed bool `json:"completed"`
	Cancelled bool `json:"cancelled"`
	// Ranges attribute the tokens sent to weight versions.
	Ranges []wire.VersionRange `json:"ranges,omitempty"`

	serial uint64 // in the journal
}

// OrderRecord is one order that an engine received.
type OrderRecord struct {
	Kind    string `json:"kind"`
	Version uint64 `json:"version"`
	Term    uint64 `json:"term"`
	Seq     uint64 `json:"seq"`
	Outcome string `json:"outcome"` // "done", "failed", "stale", "silent"
}

// Record is the answer of GET /record.
type Record struct {
	Requests []RequestRecord `json:"requests"`
	Orders   []OrderRecord   `json:"orders"`
	// Runs counts how often each business id ran.
	Runs map[string]int `json:"runs"`
}

// recorder collects a Record.
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

func (r *recorder) update(f func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f()
}

// countRun counts one run of the request.
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

// recordToken records token i before it is written, so that no token reaches a reader
// that the journal does not hold.
func (r *recorder) recordToken(p *RequestRecord, i int, version uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.journal.write(JournalLine{Event: JournalToken, Request: p.serial, Index: i, Version: version})
	p.addToken(i, version)
}

// addToken attributes addToken i to version.
func (p *RequestRecord) addToken(i int, version uint64) {
	if n := len(p.Ranges); n > 0 && p.Ranges[n-1].Version == version && p.Ranges[n-1].To == i {
		p.Ranges[n-1].To = i + 1
		return
	}
	p.Ranges = append(p.Ranges, wire.VersionRange{From: i, To: i + 1, Version: version})
}

// Record returns a copy of what was seen.
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
