package standin

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// HeaderDigest carries the hexadecimal SHA-256 digest of a complete weight file,
	// also in a response to a range request.
	HeaderDigest = "Merlinhall-Digest"
	// storeChunkBytes is the granularity of the rate limit.
	storeChunkBytes = 32 << 10
)

// StoreOptions configure a Store.
type StoreOptions struct {
	Size int // bytes per version; default 1 MiB
	Rate int // bytes per second across all readers; 0 means no limit
}

// Store is a rate-limited weight store. It serves every version up to the highest
// published one. Versions are published by Publish or POST /publish/{version}.
type Store struct {
	recorder
	faultInjector
	o StoreOptions

	mu       sync.Mutex
	latest   uint64
	nextSend time.Time // earliest time at which the next chunk may be sent
	bytes    map[string]int64
}

// StoreRecord is the response of GET /record.
type StoreRecord struct {
	Record
	// Bytes is the number of bytes sent, by "pool/version".
	Bytes map[string]int64 `json:"bytes"`
}

// NewStore returns a store.
func NewStore(o StoreOptions) *Store {
	setDefault(&o.Size, 1<<20)
	return &Store{o: o, bytes: make(map[string]int64)}
}

// Publish makes all versions up to version available.
func (s *Store) Publish(version uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.latest = max(s.latest, version)
}

// Weights returns the content of a version.
func (s *Store) Weights(pool string, version uint64) []byte {
	out := make([]byte, s.o.Size)
	key := hashText(pool + "/" + strconv.FormatUint(version, 10))
	for i := 0; i < len(out); i += 8 {
		x := mix(key + uint64(i))
		for j := i; j < min(i+8, len(out)); j++ {
			out[j] = byte(x >> (8 * (j & 7)))
		}
	}
	return out
}

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.URL.Path == "/record":
		writeJSON(w, http.StatusOK, s.StoreRecord())
	case r.URL.Path == "/fault" && r.Method == http.MethodPost:
		s.faultInjector.serve(w, r)
	case strings.HasPrefix(r.URL.Path, "/publish/") && r.Method == http.MethodPost:
		version, _ := strconv.ParseUint(strings.TrimPrefix(r.URL.Path, "/publish/"), 10, 64)
		s.Publish(version)
		w.WriteHeader(http.StatusNoContent)
	case strings.HasPrefix(r.URL.Path, "/weights/") && r.Method == http.MethodGet:
		s.serveWeights(w, r)
	default:
		http.NotFound(w, r)
	}
}

func (s *Store) serveWeights(w http.ResponseWriter, r *http.Request) {
	pool, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/weights/"), "/")
	version, err := strconv.ParseUint(name, 10, 64)
	s.mu.Lock()
	exists := err == nil && version > 0 && version <= s.latest
	s.mu.Unlock()
	if !exists {
		http.NotFound(w, r)
		return
	}
	record := s.begin(RequestRecord{ID: r.Header.Get(HeaderRunID), Method: r.Method, Path: r.URL.Path})
	if _, ok := s.trigger(FaultHang); ok {
		<-r.Context().Done()
		return
	}
	s.countRun(record)
	data := s.Weights(pool, version)
	sum := sha256.Sum256(data)
	if _, ok := s.trigger(FaultCorrupt); ok {
		data[len(data)/2] ^= 1
	}
	from := rangeStart(r.Header.Get("Range"), len(data))
	w.Header().Set(HeaderDigest, hex.EncodeToString(sum[:]))
	w.Header().Set("Content-Length", strconv.Itoa(len(data)-from))
	status := http.StatusOK
	if from > 0 {
		w.Header().Set("Content-Range", fmt.Sprintf("bytes %d-%d/%d", from, len(data)-1, len(data)))
		status = http.StatusPartialContent
	}
	w.WriteHeader(status)
	s.writeLimited(w, r, data[from:], pool+"/"+name, record)
}

// rangeStart returns N of the header value "bytes=N-", or 0 if it is invalid or out of
// range.
func rangeStart(header string, size int) int {
	n, err := strconv.Atoi(strings.TrimSuffix(strings.TrimPrefix(header, "bytes="), "-"))
	if err != nil || n < 0 || n >= size {
		return 0
	}
	return n
}

func (s *Store) writeLimited(w http.ResponseWriter, r *http.Request, data []byte, key string, record *RequestRecord) {
	crash, crashes := s.trigger(FaultCrash)
	sent := 0
	for sent < len(data) {
		if crashes && sent >= crash.After {
			panic(http.ErrAbortHandler)
		}
		n := min(storeChunkBytes, len(data)-sent)
		select {
		case <-time.After(time.Until(s.reserve(n))):
		case <-r.Context().Done():
			s.update(func() { record.Cancelled = true })
			return
		}
		// Count the bytes before sending them, so that the record includes all bytes
		// that a reader has received.
		s.mu.Lock()
		s.bytes[key] += int64(n)
		s.mu.Unlock()
		if sent+n == len(data) {
			s.update(func() { record.Completed = true })
		}
		if _, err := w.Write(data[sent : sent+n]); err != nil {
			s.update(func() { record.Completed = false })
			return
		}
		sent += n
	}
}

// reserve claims n bytes of the rate limit and returns when they may be sent.
func (s *Store) reserve(n int) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if s.o.Rate <= 0 {
		return now
	}
	if s.nextSend.Before(now) {
		s.nextSend = now
	}
	at := s.nextSend
	s.nextSend = s.nextSend.Add(time.Duration(float64(n) / float64(s.o.Rate) * float64(time.Second)))
	return at
}

// StoreRecord returns a copy of what has been recorded so far.
func (s *Store) StoreRecord() StoreRecord {
	out := StoreRecord{Record: s.Record(), Bytes: make(map[string]int64)}
	s.mu.Lock()
	defer s.mu.Unlock()
	for key, n := range s.bytes {
		out.Bytes[key] = n
	}
	return out
}
