package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"merlinhall/boottime"
	"merlinhall/directory"
	"merlinhall/observe"
	"merlinhall/upstream"
	"merlinhall/wire"
)

// Options configures a Keeper.
type Options struct {
	Process   string // name of this process
	Dir       string // directory for the records with most strikes; none are kept if empty
	Directory *directory.Directory
	Registry  *prometheus.Registry // nil registers no metrics
	Log       *logrus.Entry
	Clock     func() time.Duration // nil stands for boottime.Now
}

// Keeper keeps one process from sending requests that end targets. It knows what targets have
// ended under, from this process and from others, and asks the control leader before it sends
// such a request again. In the leader's process it also answers. It is safe for concurrent use.
type Keeper struct {
	o         Options
	store     *store
	decisions *prometheus.CounterVec
	lines     observe.LineLimit
	wake      chan struct{}
	// suspects is set while there are records, for reads without the lock.
	suspects atomic.Bool

	mu       sync.Mutex
	table    *table
	pending  pending
	judge    judge
	changed  chan struct{} // closed at the next change of a record
	untold   map[Key]bool  // records that have changed and are not known to the leader
	toldTerm uint64        // of the leader that was told the others
	waiting  []*waiter
	released [][]byte              // trials that have ended and are not known to the leader
	alone    map[Key]time.Duration // when suspects were tried without the leader
	paused   bool                  // the leader did not answer and is not asked for a while
	ask      askFunc               // nil before Follow
	onChange func([]wire.SuspectRequest)
	term     uint64 // in which this process leads, 0 if it does not
}

// NewKeeper returns a keeper that knows what it stored before.
func NewKeeper(o Options) *Keeper {
	if o.Clock == nil {
		o.Clock = boottime.Now
	}
	k := &Keeper{
		o: o, store: newStore(o.Dir, o.Log), wake: make(chan struct{}, 1), table: newTable(), pending: newPending(), changed: make(chan struct{}),
		untold: make(map[Key]bool), alone: make(map[Key]time.Duration), onChange: func([]wire.SuspectRequest) {},
		decisions: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "merlinhall_suspect_requests_total", Help: "Requests under whose like targets have ended, by whether they were sent to be tried, sent without the leader, free after an answer, or held back.",
		}, []string{"decision"}),
	}
	k.judge = judge{table: k.table}
	if o.Registry != nil {
		known := prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "merlinhall_quarantined_keys", Help: "Keys of requests under which targets have ended twice or more in a row.",
		}, func() float64 { return float64(len(k.Suspects())) })
		o.Registry.MustRegister(k.decisions, known)
	}
	for _, m := range k.store.load(time.Now()) {
		k.learn([]wire.SuspectRequest{m})
	}
	o.Directory.OnChange(k.targetsChanged)
	return k
}

// Follow sets how the leader is asked.
func (k *Keeper) Follow(ask askFunc) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.ask = ask
}

// OnChange has f called with the records that change in this process while it leads and that
// all processes are to know.
func (k *Keeper) OnChange(f func([]wire.SuspectRequest)) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.onChange = f
}

// Suspect returns the key of a request if targets have ended under its like since it was last
// answered.
func (k *Keeper) Suspect(r *upstream.Request, account string) (Key, bool) {
	if k == nil || !k.suspects.Load() {
		return Key{}, false
	}
	key := Key{head: headOf(r, account)}
	if !k.knowsHead(key.head) {
		return Key{}, false
	}
	key.body = bodyOf(r)
	k.mu.Lock()
	defer k.mu.Unlock()
	return key, k.table.strikes(key) > 0
}

// knowsHead reports whether the body of a request decides whether it is suspect.
func (k *Keeper) knowsHead(head digest) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.table.heads[head] > 0
}

// Learn takes records that the leader of a term sends: all that it knows if all is set. What
// this process knows beyond them it tells the leader, which may have been started just now.
func (k *Keeper) Learn(term uint64, all bool, records []wire.SuspectRequest) {
	if k == nil {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.learn(records)
	if !all || term <= k.toldTerm {
		return
	}
	k.toldTerm = term
	known := make(map[Key]int, len(records))
	for i := range records {
		if key, ok := keyOfBytes(records[i].Key); ok {
			known[key] = len(records[i].Ends)
		}
	}
	k.tell(func(key Key, r *record) bool { return r.strikes() > known[key] })
}

// tell has the leader told the records for which due returns true. The caller holds k.mu.
func (k *Keeper) tell(due func(Key, *record) bool) {
	for key, r := range k.table.records {
		if due(key, r) {
			k.untold[key] = true
		}
	}
	if len(k.untold) > 0 {
		k.wakeUp()
	}
}

// learn is Learn for a caller that holds k.mu. It returns the keys whose records have changed.
func (k *Keeper) learn(records []wire.SuspectRequest) (changed []Key) {
	now := k.o.Clock()
	for i := range records {
		key, r, ok := recordOf(now, &records[i])
		if !ok {
			k.o.Log.WithField("ends", len(records[i].Ends)).Warn("another process tells an invalid suspect")
			continue
		}
		if r.strikes() == 0 && k.table.records[key] == nil {
			continue
		}
		arrived := time.Duration(0)
		if have := k.table.records[key]; have != nil {
			arrived = have.arrivedAt
		}
		if k.table.merge(now, key, r) || r.arrivedAt-arrived > tellArrivals/2 {
			changed = append(changed, key)
		}
	}
	k.noteChanges(changed)
	return changed
}

// noteChanges updates what hangs on records that have changed. The caller holds k.mu.
func (k *Keeper) noteChanges(changed []Key) {
	if len(changed) == 0 {
		return
	}
	k.suspects.Store(len(k.table.records) > 0)
	close(k.changed)
	k.changed = make(chan struct{})
	if slices.ContainsFunc(changed, k.table.shared) {
		k.store.save(k.Suspects)
	}
}

// add takes an observation of this process. The caller holds k.mu; tell must be called without
// the lock.
func (k *Keeper) add(key Key, r *record) (tell func()) {
	now := k.o.Clock()
	if !k.table.merge(now, key, r) {
		return func() {}
	}
	k.noteChanges([]Key{key})
	k.logChange(now, key)
	if k.term != 0 {
		return k.toTell(now, []Key{key})
	}
	k.untold[key] = true
	k.wakeUp()
	return func() {}
}

func (k *Keeper) logChange(now time.Duration, key Key) {
	if !k.lines.Allow(time.Now()) {
		return
	}
	r := k.table.records[key]
	if r == nil {
		return // dropped, as the table is full
	}
	fields := logrus.Fields{"key": key.String(), "route": r.route, "request": r.request, "strikes": r.strikes()}
	if r.strikes() == 0 {
		k.o.Log.WithFields(fields).Info("a request under which targets ended is answered")
		return
	}
	fields["target"] = r.ends[len(r.ends)-1].Target
	if at, ok := r.tryAt(); ok {
		fields["tried_in_ms"] = max(0, at-now).Milliseconds()
	}
	k.o.Log.WithFields(fields).Info("a target has ended under a request")
}

// toTell returns a function that has all processes told the records of the keys that they are
// to know. The caller holds k.mu, and calls the function without it.
func (k *Keeper) toTell(now time.Duration, keys []Key) func() {
	var out []wire.SuspectRequest
	for _, key := range keys {
		if k.table.shared(key) {
			out = append(out, k.table.records[key].message(now, key))
		}
	}
	f := k.onChange
	return func() {
		if len(out) > 0 {
			f(out)
		}
	}
}

// Suspects returns all records that every process is to know. They also outlive the process.
func (k *Keeper) Suspects() []wire.SuspectRequest {
	if k == nil {
		return nil
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.o.Clock()
	var out []wire.SuspectRequest
	for key, r := range k.table.records {
		if r.strikes() >= suspectStrikes {
			out = append(out, r.message(now, key))
		}
	}
	return out
}

// expire forgets the records whose time is over.
func (k *Keeper) expire() {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.o.Clock()
	k.table.expire(now)
	k.judge.expire(now)
	maps.DeleteFunc(k.alone, func(key Key, _ time.Duration) bool { return k.table.records[key] == nil })
	k.suspects.Store(len(k.table.records) > 0)
}

// Lift forgets what is known of a request, by the short form of its key, and reports whether
// there was anything. All processes are told.
func (k *Keeper) Lift(short string) bool {
	k.mu.Lock()
	for key, r := range k.table.records {
		if key.String() == short && r.strikes() > 0 {
			tell := k.add(key, &record{answered: true, answeredAt: k.o.Clock()})
			k.mu.Unlock()
			tell()
			return true
		}
	}
	k.mu.Unlock()
	return false
}

// State is what a process knows of requests with one key.
type State struct {
	Key       string   `json:"key"` // its short form
	Route     string   `json:"route"`
	Request   string   `json:"request"` // id of the latest one that a target ended under
	Strikes   int      `json:"strikes"` // ends in a row without an answer
	Targets   []string `json:"targets"`
	LastEndMs int64    `json:"last_end_ms"` // ago
	ArrivedMs int64    `json:"arrived_ms"`  // ago
	TriedInMs int64    `json:"tried_in_ms"` // -1 if it is not tried again by itself
}

// Dump returns the suspects for the state dump, those with most strikes first.
func (k *Keeper) Dump() any {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.o.Clock()
	out := []State{}
	for key, r := range k.table.records {
		if r.strikes() == 0 {
			continue
		}
		l := State{
			Key: key.String(), Route: r.route, Request: r.request, Strikes: r.strikes(), TriedInMs: -1,
			LastEndMs: (now - r.lastEnd()).Milliseconds(), ArrivedMs: (now - r.arrivedAt).Milliseconds(),
		}
		if at, ok := r.tryAt(); ok {
			l.TriedInMs = max(0, at-now).Milliseconds()
		}
		for _, e := range r.ends {
			l.Targets = append(l.Targets, e.Target)
		}
		out = append(out, l)
	}
	slices.SortFunc(out, func(a, b State) int {
		return cmp.Or(cmp.Compare(b.Strikes, a.Strikes), cmp.Compare(a.Key, b.Key))
	})
	return out
}
