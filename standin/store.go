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
	// HeaderDigest carries the SHA-256 of a whole weight file in hexadecimal.
	HeaderDigest = "Merlinhall-Digest"
	// storeChunkBytes is the unit in which the store spends its rate, in bytes.
	storeChunkBytes = 32 << 10
)

// StoreOptions set the behaviour of a Store.
type StoreOptions struct {
	Size int // bytes of one version; default 1 MiB
	Rate int // bytes per second over all readers; 0 means no limit
}

// Store is a rate-limited weight store. Every version up to the one published
// last exists; versions are published by Publish or POST /publish/{version}.
type Store struct {
	recorder
	faultInjector
	o StoreOptions

	mu       sync.Mutex
	latest   uint64
	nextSend time.Time // when the rate allows the next piece
	bytes    map[string]int64
}

// StoreRecord is the answer of GET /record.
type StoreRecord struct {
	Record
	// Bytes counts the bytes sent by "pool/version".
	Bytes map[string]int64 `json:"bytes"`
}

// NewStore returns a store.
func NewStore(o StoreOptions) *Store {
	setDefault(&o.Size, 1<<20)
	return &Store{o: o, bytes: make(map[string]int64)}
}

// Publish makes the versions up to version exist.
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

// rangeStart returns N of "bytes=N-", or 0.
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
		// Recorded before it is sent, so that a reader who has the bytes finds them
		// in the record.
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

// reserve returns when n bytes may be sent.
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

// StoreRecord returns what the store saw.
func (s *Store) StoreRecord() StoreRecord {
	out := StoreRecord{Record: s.Record(), Bytes: make(map[string]int64)}
	s.mu.Lock()
	defer s.mu.Unlock()
	for key, n := range s.bytes {
		out.Bytes[key] = n
	}
	return out
}
