// Package connbudget accounts for what the clients of a process hold in it: connections with
// their buffers and stacks, headers as decoded, bodies begun and responses not yet taken.
// docs/design/client-limits.md describes it.
package connbudget

import (
	"cmp"
	"context"
	"maps"
	"math"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"
)

const (
	// connBytes is what a connection takes in stacks and buffers. Measured with 400 slow
	// bodies: 30 KB of resident memory each, of which a third is for the garbage collector.
	connBytes = 20 << 10
	// A header is held as text and in the buffer that it was read into; a field has an entry
	// in a map and a slice of values as well.
	headerCopies = 2
	fieldBytes   = 128

	// ReservedFiles are the descriptors for files.
	ReservedFiles = 200
	// checkPeriod is the time between two checks of the progress of all connections.
	checkPeriod = 200 * time.Millisecond
	// searchPeriod is the time for which no connection that gives way is looked for on behalf of
	// an address, after a search without result. A search looks at all connections.
	searchPeriod = 20 * time.Millisecond
	// logPeriod is the time between two log lines, which hold the counts since the last one.
	logPeriod = 5 * time.Second

	minRetryAfter, maxRetryAfter = 100 * time.Millisecond, 5 * time.Second
)

// Kinds of refusals, in metrics and logs.
const (
	fullConnections = "connections"
	fullMemory      = "memory"
	shedIdle        = "shed_idle"
	shedHeader      = "shed_header"
	shedBody        = "shed_body"
	shedResponse    = "shed_response"
	slowBody        = "slow_body"
	slowResponse    = "slow_response"
)

// Share is what the clients of one kind of listener may hold.
type Share struct {
	Connections int
	Bytes       int64 // of connections and headers
}

// Host is what an account is derived from.
type Host struct {
	MemoryBytes int64
	MaxFiles    int // 0 if it is not known
	// ClientBytes and Connections are set values for all listeners, 0 for what follows from the
	// memory and the descriptors.
	ClientBytes int64
	Connections int
}

// Divisors of the host's memory. Bodies have a part of their own, so that idle connections cannot
// take their memory, nor the reverse. What is left is for the state (a control process peaked at
// 138 MB, docs/deployment-platform.md) and for copies that a growing body leaves to the garbage
// collector.
const (
	connDivisor = 5
	bodyDivisor = 4
)

// BodyBytes returns the part of the budget for bodies of requests and of their responses.
func (h Host) BodyBytes() int64 { return h.MemoryBytes / bodyDivisor }

// Share returns what a listener may hold that has n of a number of equal parts of the budget. What
// the listeners of a process do not have together is the reserve for its own connections to peers,
// control processes and targets: a request at work has one to a target.
func (h Host) Share(n, parts int) Share {
	// A single request within the limits must fit in every share.
	const least = connBytes + headerCopies*20480 + fieldBytes*5120
	total := cmp.Or(h.ClientBytes, h.MemoryBytes/connDivisor)
	s := Share{Bytes: max(least, total*int64(n)/int64(parts))}
	s.Connections = int(max(1, s.Bytes/connBytes))
	if h.Connections > 0 {
		s.Connections = max(1, h.Connections*n/parts)
	}
	if h.MaxFiles > 0 {
		s.Connections = min(s.Connections, max(1, (h.MaxFiles-ReservedFiles)*n/parts))
	}
	return s
}

// Account is the account of one process. Close must be called.
type Account struct {
	limits   Limits
	log      *logrus.Entry
	refusals *prometheus.CounterVec
	open     *prometheus.GaugeVec
	bytes    *prometheus.GaugeVec
	cancel   context.CancelFunc

	mu      sync.Mutex
	parts   []*Part
	nextID  uint64
	counts  map[string]int // refusals since the last log line, by listener and kind
	logged  time.Time
	refused float64 // refusals and ends of connections, decaying by half each second
	ended   float64
	decayed time.Time
}

// New returns an account that checks the progress of its connections until Close.
func New(limits Limits, registry prometheus.Registerer, log *logrus.Entry) *Account {
	ctx, cancel := context.WithCancel(context.Background())
	a := &Account{
		limits: limits.withDefaults(), log: log, cancel: cancel, counts: make(map[string]int), decayed: time.Now(),
		refusals: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "merlinhall_client_refusals_total", Help: "Connections and requests of clients that were refused or ended for their use of resources, by kind.",
		}, []string{"listener", "kind"}),
		open:  prometheus.NewGaugeVec(prometheus.GaugeOpts{Name: "merlinhall_client_connections", Help: "Open connections of clients."}, []string{"listener"}),
		bytes: prometheus.NewGaugeVec(prometheus.GaugeOpts{Name: "merlinhall_client_bytes", Help: "Memory counted for connections and headers of clients."}, []string{"listener"}),
	}
	registry.MustRegister(a.refusals, a.open, a.bytes)
	go a.run(ctx)
	return a
}

// Close ends the checks.
func (a *Account) Close() { a.cancel() }

func (a *Account) run(ctx context.Context) {
	ticker := time.NewTicker(checkPeriod)
	defer ticker.Stop()
	for {
		select {
		case now := <-ticker.C:
			a.check(now)
		case <-ctx.Done():
			return
		}
	}
}

// Part is the part of an account for one listener.
type Part struct {
	account  *Account
	listener string
	share    Share

	// These are protected by the account's mutex.
	conns   map[uint64]*Conn
	bytes   int64
	closing int // connections that were cut off and are not closed yet

	// A new connection from crowd found none that gives way; until then, others do not look.
	crowd      netip.Addr
	crowdUntil time.Time

	lingering atomic.Int32
}

// Part adds a part for a listener.
func (a *Account) Part(listener string, share Share) *Part {
	p := &Part{account: a, listener: listener, share: share, conns: make(map[uint64]*Conn)}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.parts = append(a.parts, p)
	return p
}

// check ends connections that are too slow, and writes the log line.
func (a *Account) check(now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, p := range a.parts {
		for _, c := range p.conns {
			if h := c.holder(now); Overdue(h, a.limits, now) {
				kind := slowBody
				if h.State == Response {
					kind = slowResponse
				}
				p.endConn(c, kind, now)
			}
		}
		a.open.WithLabelValues(p.listener).Set(float64(len(p.conns)))
		a.bytes.WithLabelValues(p.listener).Set(float64(p.bytes))
	}
	if len(a.counts) > 0 && now.Sub(a.logged) >= logPeriod {
		fields := make(logrus.Fields, len(a.counts))
		for _, name := range slices.Sorted(maps.Keys(a.counts)) {
			fields[name] = a.counts[name]
		}
		a.log.WithFields(fields).Warn("clients were refused or cut off for their use of resources")
		clear(a.counts)
		a.logged = now
	}
}

// note counts a refusal. The account is locked.
func (p *Part) note(kind string, now time.Time) {
	a := p.account
	a.refusals.WithLabelValues(p.listener, kind).Inc()
	a.counts[p.listener+"_"+kind]++
	a.decay(now)
	a.refused++
}

func (a *Account) decay(now time.Time) {
	factor := math.Exp2(-now.Sub(a.decayed).Seconds())
	a.refused, a.ended, a.decayed = a.refused*factor, a.ended*factor, now
}

// retryAfter returns when a refused client may find a place: the clients that were refused lately
// by the rate at which connections end. The account is locked.
func (a *Account) retryAfter(now time.Time) time.Duration {
	a.decay(now)
	wait := time.Duration(a.refused / max(1, a.ended) * float64(time.Second))
	return min(max(wait, minRetryAfter), maxRetryAfter)
}

// reserve adds to what a connection holds, and has others give way if need be. It reports
// whether the connection may go on. The account is locked.
func (p *Part) reserve(c *Conn, bytes int64, now time.Time) bool {
	for p.bytes+bytes > p.share.Bytes {
		if !p.makeRoom(c, now) {
			return false
		}
	}
	c.held += bytes
	p.bytes += bytes
	return true
}

// makeRoom ends a connection that gives way to c, if there is one. The account is locked.
func (p *Part) makeRoom(c *Conn, now time.Time) bool {
	if c.address == p.crowd && now.Before(p.crowdUntil) {
		return false
	}
	holders := make([]Holder, 0, len(p.conns))
	for _, o := range p.conns {
		if o != c {
			holders = append(holders, o.holder(now))
		}
	}
	id, ok := Victim(holders, c.address, p.account.limits, now)
	if ok {
		victim := p.conns[id]
		p.endConn(victim, shedKind(victim.state), now)
	} else {
		p.crowd, p.crowdUntil = c.address, now.Add(searchPeriod)
	}
	return ok
}

func shedKind(s State) string {
	switch s {
	case Header:
		return shedHeader
	case Body:
		return shedBody
	case Response:
		return shedResponse
	default:
		return shedIdle
	}
}

// endConn ends a connection and gives back what it holds. The account is locked.
func (p *Part) endConn(c *Conn, kind string, now time.Time) {
	p.note(kind, now)
	if !c.cut {
		p.closing++
	}
	c.cutOff(p.account.retryAfter(now))
	p.forget(c)
}

// forget gives back what a connection holds. The account is locked.
func (p *Part) forget(c *Conn) {
	if p.conns[c.id] != c {
		return
	}
	delete(p.conns, c.id)
	p.bytes -= c.held
	c.held = 0
	p.account.decay(time.Now())
	p.account.ended++
}

// ReleaseBodies is called when the memory for bodies is used up. A connection that holds a body
// or a response without progress gives way.
func (a *Account) ReleaseBodies() {
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	conns := make(map[uint64]*Conn)
	var holders []Holder
	for _, p := range a.parts {
		for id, c := range p.conns {
			conns[id] = c
			holders = append(holders, c.holder(now))
		}
	}
	if id, ok := BodyVictim(holders, a.limits, now); ok {
		c := conns[id]
		c.part.endConn(c, shedKind(c.state), now)
	}
}

// addressOf returns the address of a client without its port.
func addressOf(text string) netip.Addr {
	ap, _ := netip.ParseAddrPort(text)
	return ap.Addr()
}
