package main

import (
	"encoding/base64"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	clientHost    = "app.example"
	engineService = "policy-lm"
	plainService  = "approve-app"
	modelName     = "m0"
	eventInterval = 40 * time.Millisecond
)

// platform is a sound stand-in of the platform's list, of model replicas and of a plain
// service.
type platform struct {
	list    string
	servers []*http.Server
	engines []*engine
	plain   *plain

	mu      sync.Mutex
	further func() []any // further entries of the list; nil if there are none
}

func newPlatform(engines int) (*platform, error) {
	p := &platform{}
	var err error
	for i := range engines {
		e := &engine{id: fmt.Sprint("i-e", i), service: engineService, version: 1, born: time.Now().UnixMilli()}
		if e.address, err = p.listen(e); err != nil {
			return nil, err
		}
		p.engines = append(p.engines, e)
	}
	p.plain = &plain{id: "i-s0", born: time.Now().UnixMilli()}
	if p.plain.address, err = p.listen(p.plain); err != nil {
		return nil, err
	}
	p.list, err = p.listen(http.HandlerFunc(p.serveList))
	return p, err
}

func (p *platform) listen(h http.Handler) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	s := &http.Server{Handler: h}
	go func() { _ = s.Serve(l) }()
	p.servers = append(p.servers, s)
	return l.Addr().String(), nil
}

func (p *platform) stop() {
	for _, s := range p.servers {
		_ = s.Close()
	}
}

func (p *platform) serveList(w http.ResponseWriter, _ *http.Request) {
	list := []any{map[string]any{
		"id": p.plain.id, "service": plainService, "address": p.plain.address, "zone": "bole", "version": "v1", "slots": 64,
		"state": "ready", "coldLeftMs": 0, "stage": "both", "models": []any{}, "born": p.plain.born,
	}}
	for _, e := range p.engines {
		list = append(list, e.entry())
	}
	p.mu.Lock()
	if p.further != nil {
		list = append(list, p.further()...)
	}
	p.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"instances": list, "nextToken": nil})
}

// plain is a replica of a plain service. It signs each response with a receipt.
type plain struct {
	id, address string
	born        int64
}

func (s *plain) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Request-Id")
	w.Header().Set("X-Request-Id", id)
	if r.Header.Get("X-Target-Instance") != s.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	w.Header().Set("X-Response-Signature", "receipt-"+id)
	_, _ = w.Write([]byte("answer to " + r.RequestURI))
}

// engine is a model replica. It generates as many events as the length hint of a request.
type engine struct {
	id, address, service string
	born                 int64
	mu                   sync.Mutex
	version              uint64
	orders               uint64
	fence                uint64
	ran                  []string // ids of the items that it has begun
}

func (e *engine) entry() map[string]any {
	e.mu.Lock()
	defer e.mu.Unlock()
	return map[string]any{
		"id": e.id, "service": e.service, "address": e.address, "zone": "bole", "version": "v1", "slots": 12, "state": "ready",
		"coldLeftMs": 0, "stage": "both", "born": e.born, "models": []any{map[string]any{"name": modelName, "version": e.version, "adapters": []any{}}},
	}
}

func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
	switch {
	case r.Header.Get("X-Target-Instance") != e.id:
		w.WriteHeader(http.StatusMisdirectedRequest)
	case r.URL.Path == "/v1/report":
		e.report(w)
	case r.URL.Path == "/v1/order":
		e.order(w, r)
	default:
		e.generate(w, r)
	}
}

func (e *engine) report(w http.ResponseWriter) {
	e.mu.Lock()
	defer e.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{
		"stage": "both", "models": []any{map[string]any{"name": modelName, "version": e.version, "adapters": []any{}}},
		"busy": false, "seq": e.orders, "waiting": 0, "running": 0, "kvUsed": 0, "kvTotal": 84269, "capabilities": 0, "born": e.born,
	})
}

func (e *engine) order(w http.ResponseWriter, r *http.Request) {
	var in struct {
		Version, Fence, Precondition uint64
	}
	_ = json.NewDecoder(r.Body).Decode(&in)
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case in.Fence < e.fence:
		w.WriteHeader(http.StatusPreconditionFailed)
	case in.Precondition != e.orders:
		w.WriteHeader(http.StatusConflict)
	default:
		e.fence, e.version = in.Fence, in.Version
		e.orders++
		w.WriteHeader(http.StatusAccepted)
	}
}

func (e *engine) generate(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	version := e.version
	e.mu.Unlock()
	if expect := r.Header.Get("X-Expect-Version"); expect != "" && expect != strconv.FormatUint(version, 10) {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	e.mu.Lock()
	e.ran = append(e.ran, r.Header.Get("X-Request-Id"))
	e.mu.Unlock()
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	events, _ := strconv.Atoi(r.Header.Get("X-Length-Hint"))
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("X-Response-Signature", "receipt-"+r.Header.Get("X-Request-Id"))
	w.Header().Set("X-Weight-Versions", strconv.FormatUint(version, 10))
	flush := http.NewResponseController(w).Flush
	for i := after + 1; i <= events; i++ {
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %s.%d\n\n", i, r.Header.Get("X-Request-Id"), i)
		_ = flush()
		select {
		case <-time.After(eventInterval):
		case <-r.Context().Done():
			return
		}
	}
}

// manifest returns a manifest with a batch route and a plain route.
func manifest(version int) []byte {
	routes := []any{
		map[string]any{"name": "r-batch", "host": clientHost, "pathPrefix": "/batch/", "kind": "rollout", "timeoutMs": 12000, "latencyGoalMs": 500,
			"priority": 1, "service": engineService, "maxAttempts": 3, "dueMs": 7500, "itemTtlS": 60},
		map[string]any{"name": "r-plain", "host": clientHost, "pathPrefix": "/plain/", "kind": "idempotent", "timeoutMs": 2000, "latencyGoalMs": 150,
			"priority": 2, "service": plainService, "maxAttempts": 3},
	}
	b, _ := json.Marshal(map[string]any{
		"version": version, "routes": routes,
		"services": []any{
			map[string]any{"name": engineService, "healthPath": "/healthz", "maxConns": 180, "protocol": "h1", "tls": false,
				"runtime": map[string]any{"slots": 12, "kvCapacity": 84269, "models": []any{map[string]any{"name": modelName}}}},
			map[string]any{"name": plainService, "healthPath": "/healthz", "maxConns": 130, "protocol": "h1", "tls": false},
		},
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 33554432, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
	return b
}

// submission returns a batch submission.
func submission(id string, items, events int) []byte {
	var list []any
	for i := range items {
		item := fmt.Sprintf("%s-%d", id, i)
		list = append(list, map[string]any{
			"id": item, "path": "/batch/" + item, "groupId": fmt.Sprint(id, "-g", i/4), "tokens": 1016 + 10*events,
			"headers": map[string]string{"X-Length-Hint": fmt.Sprint(events), "X-Model": modelName, "X-Token-Usage": fmt.Sprintf("1016,%d", events)},
			"body":    base64.StdEncoding.EncodeToString([]byte("body of " + item)),
			"scorer":  map[string]any{"id": "score-" + item, "host": clientHost, "path": "/plain/score", "body": ""},
		})
	}
	b, _ := json.Marshal(map[string]any{"trainStep": 0, "model": modelName, "minVersion": 1, "desired": items / 4, "requests": list})
	return b
}

// setFurther sets the further entries of the list.
func (p *platform) setFurther(f func() []any) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.further = f
}
