package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	hostName      = "ficu95.example"
	appService    = "records-svc"
	engineService = "lid-model-pool"
	modelName     = "daka510000"
)

// arrival is a request at a replica.
type arrival struct {
	at      time.Time
	replica string
	id      string
	method  string
	uri     string
	ran     bool
}

// fleet is the replicas of the deployment and the platform's list of them.
type fleet struct {
	log      *record
	mu       sync.Mutex
	replicas []*replica
	arrivals []arrival
	servers  []*http.Server
	newest   uint64 // version of the model that was named last
}

// replica is a stand-in for one replica of a service. Those of a model generate events.
type replica struct {
	f       *fleet
	id      string
	service string
	address string
	zone    string
	slots   int
	engine  bool
	born    int64
	// data, if set, returns what follows the id and the number in the data of an event.
	data func(i int) string
	// work is how long a request of a plain service takes, pause the time between two events.
	work, pause time.Duration

	mu      sync.Mutex
	state   string
	version uint64
	seq     uint64
	fence   uint64
	busy    bool
	running int
	// answer, if set, serves a request of a plain service instead of the usual answer.
	answer http.HandlerFunc
}

func (f *fleet) listen(ip string, h http.Handler) (string, error) {
	l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return "", err
	}
	s := &http.Server{Handler: h}
	f.servers = append(f.servers, s)
	go func() { _ = s.Serve(l) }()
	return l.Addr().String(), nil
}

func (f *fleet) close() {
	for _, s := range f.servers {
		_ = s.Close()
	}
}

// add starts a replica.
func (f *fleet) add(id, service, ip, zone string, slots int, engine bool) (*replica, error) {
	r := &replica{f: f, id: id, service: service, zone: zone, slots: slots, engine: engine, state: "ready", version: 1, born: time.Now().UnixMilli(), work: 20 * time.Millisecond, pause: 40 * time.Millisecond}
	var err error
	if r.address, err = f.listen(ip, r); err != nil {
		return nil, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.replicas = append(f.replicas, r)
	return r, nil
}

// ServeHTTP is the platform's list of replicas.
func (f *fleet) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/replicas" {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	f.mu.Lock()
	list := append([]*replica(nil), f.replicas...)
	f.mu.Unlock()
	out := []any{}
	for _, t := range list {
		t.mu.Lock()
		entry := map[string]any{"service": t.service, "address": t.address, "zone": t.zone, "version": "v1", "slots": t.slots, "state": t.state, "coldLeftMs": 0, "id": t.id, "born": t.born}
		if t.engine {
			entry["stage"], entry["models"] = "both", []any{map[string]any{"name": modelName, "version": t.version, "adapters": []any{}}}
		}
		if t.state != "gone" {
			out = append(out, entry)
		}
		t.mu.Unlock()
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"instances": out, "nextToken": nil})
}

func (f *fleet) note(a arrival) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.arrivals = append(f.arrivals, a)
}

// ServeHTTP is the replica.
func (r *replica) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	id := q.Header.Get("X-Request-Id")
	w.Header().Set("X-Request-Id", id)
	r.mu.Lock()
	answer := r.answer
	r.mu.Unlock()
	if target := q.Header.Get("X-Target-Instance"); target != "" && target != r.id {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch {
	case q.URL.Path == "/v1/report":
		r.report(w)
	case q.URL.Path == "/v1/order":
		r.order(w, q)
	case r.engine:
		r.generate(w, q, id)
	case answer != nil:
		answer(w, q)
	default:
		body, err := io.ReadAll(q.Body)
		if err != nil {
			return
		}
		r.f.note(arrival{time.Now(), r.id, id, q.Method, q.RequestURI, true})
		select {
		case <-time.After(r.work):
		case <-q.Context().Done():
			return
		}
		w.Header().Set("X-Response-Signature", "sig."+id)
		_, _ = fmt.Fprintf(w, "answer of %s to %s, %d bytes", r.id, q.RequestURI, len(body))
	}
}

func (r *replica) report(w http.ResponseWriter) {
	r.mu.Lock()
	defer r.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{
		"stage": "both", "models": []any{map[string]any{"name": modelName, "version": r.version, "adapters": []any{}}}, "busy": r.busy, "seq": r.seq,
		"waiting": 0, "running": r.running, "kvUsed": 0, "kvTotal": 84269, "capabilities": 0, "born": r.born,
	})
}

func (r *replica) order(w http.ResponseWriter, q *http.Request) {
	var in struct {
		Op, Model, Holder string
		Version, Fence    uint64
		Precondition      *uint64
	}
	if err := json.NewDecoder(q.Body).Decode(&in); err != nil || in.Holder == "" || in.Fence == 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	r.f.mu.Lock()
	newest := r.f.newest
	r.f.mu.Unlock()
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case in.Fence < r.fence:
		w.WriteHeader(http.StatusPreconditionFailed)
	case r.busy, in.Precondition != nil && *in.Precondition != r.seq:
		w.WriteHeader(http.StatusConflict)
	case in.Version > newest:
		w.WriteHeader(http.StatusBadRequest)
	case in.Version == r.version:
		w.WriteHeader(http.StatusOK)
	default:
		r.fence = in.Fence
		r.seq++
		r.busy = true
		time.AfterFunc(900*time.Millisecond, func() {
			r.mu.Lock()
			defer r.mu.Unlock()
			r.version, r.busy = in.Version, false
		})
		w.WriteHeader(http.StatusAccepted)
	}
}

// generate runs an item: as many events as X-Token-Usage names output tokens, at most 24.
func (r *replica) generate(w http.ResponseWriter, q *http.Request, id string) {
	if _, err := io.ReadAll(q.Body); err != nil {
		return
	}
	r.mu.Lock()
	version, full := r.version, r.running >= r.slots
	if !full {
		r.running++
	}
	r.mu.Unlock()
	if full {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() {
		r.mu.Lock()
		r.running--
		r.mu.Unlock()
	}()
	if expect := q.Header.Get("X-Expect-Version"); expect != "" && expect != strconv.FormatUint(version, 10) {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	r.f.note(arrival{time.Now(), r.id, id, q.Method, q.RequestURI, true})
	events := 4
	if _, out, ok := strings.Cut(q.Header.Get("X-Token-Usage"), ","); ok {
		n, _ := strconv.Atoi(strings.TrimSpace(out))
		events = min(24, max(1, n))
	}
	after, _ := strconv.Atoi(q.Header.Get("Last-Event-Id"))
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("X-Response-Signature", "sig."+id)
	w.Header().Set("X-Weight-Versions", strconv.FormatUint(version, 10))
	w.WriteHeader(http.StatusOK)
	for i := after + 1; i <= events; i++ {
		select {
		case <-time.After(r.pause):
		case <-q.Context().Done():
			return
		}
		r.mu.Lock()
		now := r.version
		r.mu.Unlock()
		field := ""
		if now != version {
			version, field = now, fmt.Sprintf("x-weight-versions: %d\n", now)
		}
		data := fmt.Sprintf("%s.%d", id, i)
		if r.data != nil {
			data += " " + r.data(i)
		}
		_, _ = fmt.Fprintf(w, "%sid: %d\ndata: %s\n\n", field, i, data)
		w.(http.Flusher).Flush()
	}
}
