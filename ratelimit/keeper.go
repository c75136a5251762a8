package ratelimit

import (
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"merlinhall/boottime"
	"merlinhall/directory"
	"merlinhall/observe"
)

// logInterval is how often the requests to a target with a limit are logged.
const logInterval = time.Second

// KeeperOptions configures a Keeper.
type KeeperOptions struct {
	Directory *directory.Directory
	Registry  *prometheus.Registry // nil registers no metrics
	Log       *logrus.Entry
	Clock     func() time.Duration // nil stands for boottime.Now
}

// Keeper knows the limits of targets in one process and what the process sends them. It is
// safe for concurrent use.
type Keeper struct {
	o    KeeperOptions
	sent *prometheus.CounterVec

	lines observe.LineLimit

	mu       sync.Mutex
	book     *Book
	tallies  map[string]*Tally // by target
	loggedAt map[string]time.Duration
}

// NewKeeper returns a keeper that knows no limits.
func NewKeeper(o KeeperOptions) *Keeper {
	if o.Clock == nil {
		o.Clock = boottime.Now
	}
	k := &Keeper{
		o: o, book: NewBook(), tallies: make(map[string]*Tally), loggedAt: make(map[string]time.Duration),
		sent: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "merlinhall_limited_target_requests_total", Help: "Requests of this process to targets that name a limit, by use.",
		}, []string{"use"}),
	}
	if o.Registry != nil {
		limited := prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "merlinhall_limited_targets", Help: "Targets that name a limit on the requests of all processes.",
		}, func() float64 {
			k.mu.Lock()
			defer k.mu.Unlock()
			return float64(k.book.Limited())
		})
		o.Registry.MustRegister(k.sent, limited)
	}
	o.Directory.OnChange(k.retain)
	return k
}

// retain forgets the targets that are no longer listed or have started again.
func (k *Keeper) retain(v *directory.View) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.book.Retain(k.o.Clock(), v)
	for id := range k.tallies {
		if v.Target(id) == nil {
			delete(k.tallies, id)
			delete(k.loggedAt, id)
		}
	}
}

// Sent notes that a request is sent to a target.
func (k *Keeper) Sent(target string, u Use) {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.o.Clock()
	t := k.tallies[target]
	if t == nil {
		t = new(Tally)
		k.tallies[target] = t
	}
	t.Add(now, u)
	perSecond, since, limited := k.book.Limit(target)
	if !limited {
		return
	}
	k.sent.WithLabelValues(u.String()).Inc()
	if now-k.loggedAt[target] < logInterval || !k.lines.Allow(time.Now()) {
		return
	}
	k.loggedAt[target] = now
	fields := logrus.Fields{"target": target, "limit": perSecond, "known_ms": (now - since).Milliseconds(), "sent_4s": t.Total(now)}
	for use, n := range t.Counts(now) {
		fields["sent_4s_"+use.String()] = n
	}
	k.o.Log.WithFields(fields).Info("requests to a target with a limit")
}

// Note takes what a response of a target says about its limit.
func (k *Keeper) Note(r Reading) {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.o.Clock()
	if t := k.o.Directory.View().Target(r.Target); t != nil {
		r.StartedMs = t.StartedMs
	}
	before, _, _ := k.book.Limit(r.Target)
	if k.book.Note(now, r) {
		k.o.Log.WithFields(logrus.Fields{"target": r.Target, "limited": r.Limited, "limit": r.PerSecond, "before": before}).Info("limit of a target has changed")
	}
}

// Dump returns the limits known for the state dump.
func (k *Keeper) Dump() any {
	type line struct {
		Target    string         `json:"target"`
		PerSecond float64        `json:"per_second"`
		KnownMs   int64          `json:"known_ms"`
		Sent      map[string]int `json:"sent_4s"`
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.o.Clock()
	out := []line{}
	for _, r := range k.book.Readings() {
		perSecond, since, ok := k.book.Limit(r.Target)
		if !ok {
			continue
		}
		l := line{Target: r.Target, PerSecond: perSecond, KnownMs: (now - since).Milliseconds(), Sent: make(map[string]int)}
		if t := k.tallies[r.Target]; t != nil {
			for use, n := range t.Counts(now) {
				l.Sent[use.String()] = n
			}
		}
		out = append(out, l)
	}
	return out
}
