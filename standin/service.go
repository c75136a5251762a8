package standin

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"
)

// ServiceOptions configure a Service.
type ServiceOptions struct {
	Name string
	Work time.Duration // execution time of a call
}

// Service is a plain HTTP service that counts the executions of each call. The query
// parameter "bytes" requests a response body of that size.
type Service struct {
	recorder
	faultInjector
	o ServiceOptions
}

// ServiceAnswer is the JSON response to a call.
type ServiceAnswer struct {
	Service string `json:"service"`
	CallID  string `json:"call_id"`
	Method  string `json:"method"`
	Path    string `json:"path"`
	Bytes   int    `json:"bytes"` // size of the request body
}

// NewService returns a service.
func NewService(o ServiceOptions) *Service { return &Service{o: o} }

// ServeHTTP implements http.Handler.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.Method + " " + r.URL.Path {
	case "GET /record":
		writeJSON(w, http.StatusOK, s.Record())
	case "POST /fault":
		s.faultInjector.serve(w, r)
	case "GET /healthz":
		w.WriteHeader(http.StatusNoContent)
	default:
		s.call(w, r)
	}
}

func (s *Service) call(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	record := s.begin(RequestRecord{
		ID:     r.Header.Get(HeaderRunID),
		CallID: callID(r, body),
		Method: r.Method,
		Path:   r.URL.Path,

		Account: r.Header.Get("Merlinhall-Caller"),
		KeySeen: r.Header.Get("Authorization") != "",
	})
	if _, ok := s.trigger(FaultHang); ok {
		<-r.Context().Done()
		return
	}
	if _, ok := s.trigger(FaultRefuse); ok {
		http.Error(w, "service is not available", http.StatusServiceUnavailable)
		return
	}
	s.countRun(record)
	select {
	case <-time.After(s.o.Work + s.delay(FaultSlow)):
	case <-r.Context().Done():
		s.update(func() { record.Cancelled = true })
		return
	}
	if _, ok := s.trigger(FaultSilent); ok {
		<-r.Context().Done()
		return
	}
	s.answer(w, r, record, len(body))
}

func (s *Service) answer(w http.ResponseWriter, r *http.Request, record *RequestRecord, size int) {
	answer, _ := json.Marshal(ServiceAnswer{Service: s.o.Name, CallID: record.CallID, Method: r.Method, Path: r.URL.Path, Bytes: size})
	w.Header().Set("Content-Type", "application/json")
	if n, err := strconv.Atoi(r.URL.Query().Get("bytes")); err == nil && n >= 0 && n <= maxBodyBytes {
		answer = Pattern(n)
		w.Header().Set("Content-Type", "application/octet-stream")
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(answer)))
	if _, ok := s.trigger(FaultCrash); ok {
		_, _ = w.Write(answer[:len(answer)/2])
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	s.update(func() { record.Completed = true })
	if _, err := w.Write(answer); err != nil {
		s.update(func() { record.Completed = false })
	}
}

// Pattern returns n pseudo-random bytes, each a function of its position.
func Pattern(n int) []byte {
	out := make([]byte, n)
	for i := range out {
		out[i] = byte(mix(uint64(i)>>3) >> (8 * (i & 7)))
	}
	return out
}

// callID returns the call id from HeaderCallID or from the field "call_id" of a JSON
// body, or an empty string.
func callID(r *http.Request, body []byte) string {
	if id := r.Header.Get(HeaderCallID); id != "" {
		return id
	}
	var named struct {
		CallID string `json:"call_id"`
	}
	if bytes.HasPrefix(bytes.TrimSpace(body), []byte("{")) && json.Unmarshal(body, &named) == nil {
		return named.CallID
	}
	return ""
}
