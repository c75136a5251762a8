package main

import (
	"encoding/json"
	"fmt"
	"hash/crc32"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	model         = "m0"
	engineService = "lid-model-pool"
	plainService  = "records-svc"
	routeHost     = "train.example"
)

// platform is a stand-in of the platform's list, with the engines and a plain service.
type platform struct {
	c           *cluster
	listAddress string
	engines     []*engine
	plain       *service
	servers     []*http.Server
	more        []any // of the list
}

func newPlatform(c *cluster) (*platform, error) {
	p := &platform{c: c, listAddress: c.address(250, portList)}
	if err := p.listen(p.listAddress, http.HandlerFunc(p.list)); err != nil {
		return nil, err
	}
	for i := range c.engines {
		e := &engine{p: p, id: fmt.Sprintf("i-e%d", i+1), zone: fmt.Sprintf("z%d", i%4+1), address: c.address(100+i, 8080), version: 1, bornMs: time.Now().UnixMilli(), events: 8, gap: 40 * time.Millisecond, pieceBytes: 330, began: make(map[string]int), at: make(map[string]int), left: make(map[string]time.Time)}
		p.engines = append(p.engines, e)
		if err := p.listen(e.address, e); err != nil {
			return nil, err
		}
	}
	p.plain = &service{p: p, id: "i-s1", address: c.address(90, 8080), work: 25 * time.Millisecond, ran: make(map[string]int)}
	return p, p.listen(p.plain.address, p.plain)
}

func (p *platform) listen(address string, h http.Handler) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	s := &http.Server{Handler: h}
	p.servers = append(p.servers, s)
	go func() { _ = s.Serve(l) }()
	return nil
}

func (p *platform) close() {
	for _, s := range p.servers {
		_ = s.Close()
	}
}

func (p *platform) list(w http.ResponseWriter, _ *http.Request) {
	list := []any{map[string]any{
		"id": p.plain.id, "service": plainService, "address": p.plain.address, "zone": "z1", "version": "v1", "slots": 6, "state": "ready", "coldLeftMs": 0,
		"born": p.c.rec.began.UnixMilli(),
	}}
	list = append(list, p.more...)
	for _, e := range p.engines {
		list = append(list, e.entry())
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"instances": list, "nextToken": nil})
}

// engine is a stand-in of a model replica.
type engine struct {
	p                 *platform
	id, zone, address string
	bornMs            int64

	mu         sync.Mutex
	version    uint64
	loading    bool
	seq        uint64
	events     int
	gap        time.Duration
	pieceBytes int
	began      map[string]int // runs by item
	running    int
	at         map[string]int       // runs at work by item
	left       map[string]time.Time // ends of runs by item
	fence      uint64
	onOrder    func(e *engine, o order) // before the engine reads the order's effect
	// hold, if set, holds back the bytes of an order before the engine sees them.
	hold func(o order, closed <-chan struct{}) (deliver bool)
}

// order is an order to an engine.
type order struct {
	Op           string  `json:"op"`
	Model        string  `json:"model"`
	Version      uint64  `json:"version"`
	Mode         string  `json:"mode"`
	Holder       string  `json:"holder"`
	Fence        uint64  `json:"fence"`
	Precondition *uint64 `json:"precondition"`
}

func (e *engine) entry() map[string]any {
	e.mu.Lock()
	defer e.mu.Unlock()
	return map[string]any{
		"id": e.id, "service": engineService, "address": e.address, "zone": e.zone, "version": "v1", "slots": e.p.c.slots, "state": "ready", "coldLeftMs": 0, "stage": "both", "born": e.bornMs,
		"models": []any{map[string]any{"name": model, "version": e.version, "adapters": []any{}}},
	}
}

func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if to := r.Header.Get("X-Target-Instance"); to != "" && to != e.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch {
	case r.URL.Path == "/v1/report":
		e.report(w)
	case r.URL.Path == "/v1/order":
		e.order(w, r)
	case r.URL.Path == "/healthz":
		w.Header().Set("X-Instance-Id", e.id)
		w.WriteHeader(http.StatusOK)
	default:
		e.generate(w, r)
	}
}

func (e *engine) report(w http.ResponseWriter) {
	e.mu.Lock()
	defer e.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{
		"stage": "both", "models": []any{map[string]any{"name": model, "version": e.version, "adapters": []any{}}}, "busy": e.loading, "seq": e.seq, "waiting": 0, "running": 0,
		"kvUsed": 0, "kvTotal": 37098, "capabilities": 0, "born": e.bornMs, "state": "ready", "runs": []any{},
	})
}

func (e *engine) order(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	var o order
	if err != nil || json.Unmarshal(body, &o) != nil || o.Holder == "" || o.Fence == 0 || o.Op != "version" {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	hold := e.hold
	e.mu.Unlock()
	if hold != nil && !hold(o, r.Context().Done()) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.onOrder != nil {
		e.onOrder(e, o)
	}
	switch {
	case e.p.c.fences && o.Fence < e.fence:
		w.WriteHeader(http.StatusPreconditionFailed)
	case e.loading, o.Precondition != nil && *o.Precondition != e.seq:
		w.WriteHeader(http.StatusConflict)
	case o.Version == e.version:
		w.WriteHeader(http.StatusOK)
	default:
		e.fence = max(e.fence, o.Fence)
		e.seq++
		e.loading = true
		time.AfterFunc(900*time.Millisecond, func() {
			e.mu.Lock()
			defer e.mu.Unlock()
			e.version, e.loading = o.Version, false
		})
		w.WriteHeader(http.StatusAccepted)
	}
}

func (e *engine) generate(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Request-Id")
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	e.mu.Lock()
	version, events, gap, piece := e.version, e.events, e.gap, e.pieceBytes
	wrong := r.Header.Get("X-Expect-Version") != "" && r.Header.Get("X-Expect-Version") != strconv.FormatUint(version, 10)
	full := e.running >= e.p.c.slots+36
	if !wrong && !full {
		e.running++
		e.at[id]++
		defer func() {
			e.mu.Lock()
			defer e.mu.Unlock()
			e.running--
			e.at[id]--
			e.left[id] = time.Now()
		}()
		e.began[r.Header.Get("X-Tenant")+"/"+id]++
	}
	e.mu.Unlock()
	w.Header().Set("X-Request-Id", id)
	if wrong {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if full {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("X-Response-Signature", "sig."+id)
	w.Header().Set("X-Weight-Versions", strconv.FormatUint(version, 10))
	w.WriteHeader(http.StatusOK)
	flusher := w.(http.Flusher)
	for n := after + 1; n <= events; n++ {
		select {
		case <-time.After(gap):
		case <-r.Context().Done():
			return
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, eventText(id, n, piece, body)); err != nil {
			return
		}
		flusher.Flush()
	}
}

var words = strings.Fields("the a lid frame cover is cracked sound worn loose and not with of near road water crew report rate three four high low left right edge rust seal bolt")

// eventText is the data of event n of an item. It follows from the item's prompt, its body.
func eventText(id string, n, bytes int, prompt []byte) string {
	text := fmt.Sprintf("%s/%d/%08x", id, n, crc32.ChecksumIEEE(prompt))
	for x := uint32(n*7919 + len(id)); len(text) < bytes; {
		for _, c := range []byte(id) {
			x = x*1664525 + 1013904223 + uint32(c)
		}
		text += " " + words[int(x>>16)%len(words)]
	}
	return text[:bytes]
}

// service is a stand-in of a plain service, which also scores texts.
type service struct {
	p           *platform
	id, address string
	work        time.Duration
	mu          sync.Mutex
	ran         map[string]int
}

func (s *service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if to := r.Header.Get("X-Target-Instance"); to != "" && to != s.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if r.URL.Path == "/healthz" {
		w.Header().Set("X-Instance-Id", s.id)
		return
	}
	id := r.Header.Get("X-Request-Id")
	_, _ = io.Copy(io.Discard, r.Body)
	s.mu.Lock()
	s.ran[id]++
	s.mu.Unlock()
	time.Sleep(s.work)
	w.Header().Set("X-Request-Id", id)
	w.Header().Set("X-Response-Signature", "sig."+id)
	_, _ = fmt.Fprintf(w, "answer to %s", id)
}
