package standin

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"
)

// FaultKind identifies a kind of fault.
type FaultKind string

// Faults that can be injected.
const (
	// FaultHang accepts a request and neither executes nor answers it.
	FaultHang FaultKind = "hang"
	// FaultSilent executes a plain request without answering it, or stalls a stream
	// after After tokens without closing the connection.
	FaultSilent FaultKind = "silent"
	// FaultCrash aborts the connection: of a stream after After tokens, of a weight
	// store response after about After bytes, and of a plain request after its
	// execution and half of the response.
	FaultCrash FaultKind = "crash"
	// FaultSlow adds DelayMs to one token or to the execution of one plain request.
	FaultSlow FaultKind = "slow"
	// FaultSwap makes a weight swap fail; the engine keeps its current weights.
	FaultSwap FaultKind = "fail_swap"
	// FaultSwapSilent executes a weight swap without answering the order.
	FaultSwapSilent FaultKind = "silent_swap"
	// FaultRefuse answers 503 without executing the request.
	FaultRefuse FaultKind = "refuse"
	// FaultCorrupt flips one bit of a weight store response.
	FaultCorrupt FaultKind = "corrupt"
)

// Fault is the request body of POST /fault.
type Fault struct {
	Kind FaultKind `json:"kind"`
	// Count is the number of times the fault triggers: 0 means once, -1 means every
	// time until cleared, and -2 clears the kind.
	Count   int `json:"count"`
	After   int `json:"after"`
	DelayMs int `json:"delay_ms"`
}

// faultInjector holds the active faults of a stand-in.
type faultInjector struct {
	mu     sync.Mutex
	active map[FaultKind]Fault
}

// Inject activates f, replacing an active fault of the same kind. A Count of -2
// clears the kind.
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

// trigger reports whether a fault of the kind is active, and uses up one of its
// occurrences.
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
