package standin

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"
)

// FaultKind is what goes wrong.
type FaultKind string

// Faults that can be injected.
const (
	// FaultHang accepts a request and never answers it; the request does not run.
	FaultHang FaultKind = "hang"
	// FaultSilent runs a plain request and never answers, or stops a stream after
	// After tokens without closing it.
	FaultSilent FaultKind = "silent"
	// FaultCrash breaks the connection after After tokens, or after a plain
	// request has run and half of its answer is sent.
	FaultCrash FaultKind = "crash"
	// FaultSlow adds DelayMs to each token or to the work of a plain request.
	FaultSlow FaultKind = "slow"
	// FaultSwap makes a swap fail: the engine keeps its weights.
	FaultSwap FaultKind = "fail_swap"
	// FaultSwapSilent carries the swap out and never answers the order.
	FaultSwapSilent FaultKind = "silent_swap"
	// FaultRefuse answers 503 at once.
	FaultRefuse FaultKind = "refuse"
	// FaultCorrupt changes one byte of a weight store answer.
	FaultCorrupt FaultKind = "corrupt"
)

// Fault is the body of POST /fault.
type Fault struct {
	Kind FaultKind `json:"kind"`
	// Count is how many requests it meets; 0 means one, -1 all until cleared.
	Count   int `json:"count"`
	After   int `json:"after"`
	DelayMs int `json:"delay_ms"`
}

// faultInjector is the set of injected faultInjector of one stand-in.
type faultInjector struct {
	mu     sync.Mutex
	active map[FaultKind]Fault
}

// Inject adds f; a Count of -2 clears the kind.
func (s *faultInjector) Inject(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.active == nil {
		s.active = make(map[FaultKind]Fault)
	}
	if f.Count == -2 {
		delete(s.active, f.Kind)
		return
	}
	if f.Count == 0 {
		f.Count = 1
	}
	s.active[f.Kind] = f
}

// trigger consumes one use of the fault.
func (s *faultInjector) trigger(kind FaultKind) (Fault, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f, ok := s.active[kind]
	if !ok {
		return Fault{}, false
	}
	if f.Count > 0 {
		f.Count--
		s.active[kind] = f
		if f.Count == 0 {
			delete(s.active, kind)
		}
	}
	return f, true
}

func (s *faultInjector) delay(kind FaultKind) time.Duration {
	f, ok := s.trigger(kind)
	if !ok {
		return 0
	}
	return time.Duration(f.DelayMs) * time.Millisecond
}

func (s *faultInjector) serve(w http.ResponseWriter, r *http.Request) {
	var f Fault
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, 1<<16)).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.Inject(f)
	w.WriteHeader(http.StatusNoContent)
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
