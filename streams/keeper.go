package streams

import (
	"context"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"merlinhall/ask"
	"merlinhall/boottime"
	"merlinhall/observe"
	"merlinhall/wire"
)

const (
	// tellTimeout bounds the telling of streams that begin: the wait for the process's turn, a
	// commit of the leader and a few round trips.
	tellTimeout = 1500 * time.Millisecond
	// findTimeout bounds a question for streams that are taken up.
	findTimeout = 500 * time.Millisecond
	// maxInterval bounds the time between two tellings that a leader asks for.
	maxInterval = 500 * time.Millisecond
	// maxPerAsk bounds what one message tells or asks.
	maxPerAsk = 2048
	// maxUntold and maxWaiting bound what waits for the leader.
	maxUntold  = 16384
	maxWaiting = 4096
	// maxOwn bounds the streams of one generation that a process itself remembers.
	maxOwn = 16384
	// ownLifetime is the time after which a process forgets the streams that it began, and
	// gives up telling them. It is above the time limits of callers.
	ownLifetime = time.Minute
)

var errAnswers = eris.New("streams: the leader answered another number of questions")

// errNotRecorded is the failure of a telling that the leader cannot record for now.
var errNotRecorded = eris.New("streams: the leader records no streams for now")

// Options configures a Keeper.
type Options struct {
	Process  string               // name of this process
	Registry *prometheus.Registry // nil registers no metrics
	Log      *logrus.Entry
	Clock    func() time.Duration // nil stands for boottime.Now
}

// askFunc asks the control leader.
type askFunc func(ctx context.Context, in *Ask, out *Answers) error

// Keeper tells the leader of the streams that a process begins, and asks it for those that
// callers take up there. It is safe for concurrent use; nil knows no stream.
type Keeper struct {
	o          Options
	tell, find *ask.Loop
	lines      observe.LineLimit
	beginnings *prometheus.CounterVec
	takeUps    *prometheus.CounterVec

	mu        sync.Mutex
	ask       askFunc // nil before Follow
	own       memory
	untold    map[Key]*Beginning // of which the leader has not said that they are recorded
	waiting   []*question
	toldAt    time.Duration // when the leader was last told
	interval  time.Duration // least time until it is told again
	notTold   bool          // the leader did not take what it was told, and is told nothing for a while
	notAsked  bool          // the same of questions
	stopWaits chan struct{} // closed while notTold
}

// NewKeeper returns a keeper that knows no stream.
func NewKeeper(o Options) *Keeper {
	if o.Clock == nil {
		o.Clock = boottime.Now
	}
	k := &Keeper{
		o: o, own: newMemory(o.Clock()), untold: make(map[Key]*Beginning), stopWaits: make(chan struct{}),
		beginnings: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "merlinhall_streams_begun_total", Help: "Attempts that began a stream which its caller may take up, by whether that was recorded before the first event.",
		}, []string{"recorded"}),
		takeUps: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "merlinhall_streams_taken_up_total", Help: "Streams that callers wanted to go on with, by what is known of them.",
		}, []string{"known"}),
	}
	k.tell = ask.NewLoop(ask.Loop{Timeout: tellTimeout, Once: k.tellOnce, Paused: k.pauseTelling})
	k.find = ask.NewLoop(ask.Loop{Timeout: findTimeout, Once: k.findOnce, Paused: k.pauseAsking})
	if o.Registry != nil {
		o.Registry.MustRegister(k.beginnings, k.takeUps)
	}
	return k
}

// Follow sets how the leader is asked.
func (k *Keeper) Follow(ask askFunc) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.ask = ask
}

// Run tells and asks the leader until ctx ends.
func (k *Keeper) Run(ctx context.Context) {
	var loops sync.WaitGroup
	loops.Go(func() { k.tell.Run(ctx) })
	loops.Go(func() { k.find.Run(ctx) })
	loops.Wait()
	// Nobody waits for what is not asked any more.
	k.pauseTelling(true)
	k.pauseAsking(true)
}

// Known says what is known of a stream.
type Known int

// Values of Known.
const (
	NoAnswer Known = iota // the leader does not answer
	NoRecord              // it is not recorded that the attempt began a stream
	Recorded
)

func (w Known) String() string { return [...]string{"no_answer", "no_record", "recorded"}[w] }

// Find returns the software that began a stream, of requests that go to a service. Without a
// record it may still follow from the software that the service had; an empty service is none.
func (k *Keeper) Find(ctx context.Context, key Key, service string) (wire.Software, Known) {
	if k == nil {
		return wire.Software{}, NoRecord
	}
	software, known := k.lookUp(ctx, key, service)
	k.takeUps.WithLabelValues(known.String()).Inc()
	if k.lines.Allow(time.Now()) {
		k.o.Log.WithFields(logrus.Fields{"key": key.String(), "known": known.String(), "software": software.String()}).Info("stream is to be taken up")
	}
	return software, known
}

func (k *Keeper) lookUp(ctx context.Context, key Key, service string) (wire.Software, Known) {
	k.mu.Lock()
	if software, ok := k.own.find(k.o.Clock(), key); ok {
		k.mu.Unlock()
		return software, Recorded
	}
	if k.ask == nil || k.notAsked || len(k.waiting) >= maxWaiting {
		k.mu.Unlock()
		return wire.Software{}, NoAnswer
	}
	q := &question{key: key, service: service, answer: make(chan wire.Software, 1)}
	k.waiting = append(k.waiting, q)
	k.mu.Unlock()
	k.find.Wake()
	select {
	case software, ok := <-q.answer:
		switch {
		case !ok:
			return wire.Software{}, NoAnswer
		case !software.Known():
			return wire.Software{}, NoRecord
		}
		return software, Recorded
	case <-ctx.Done():
		return wire.Software{}, NoAnswer
	}
}

// question is a stream for which the leader is asked.
type question struct {
	key     Key
	service string
	answer  chan wire.Software // closed if there is no answer
}

// tellOnce tells the leader the streams that it does not know.
func (k *Keeper) tellOnce(ctx context.Context) error {
	if !k.awaitTurn(ctx) {
		return ctx.Err()
	}
	begun, ask := k.nextTelling()
	if ask == nil || len(begun) == 0 {
		return nil
	}
	in, out := &Ask{Process: k.o.Process}, Answers{}
	for _, b := range begun {
		in.Begun = append(in.Begun, b.message())
	}
	err := ask(ctx, in, &out)
	k.noteTold(out.Interval)
	if err == nil && !out.Recorded {
		err = errNotRecorded
	}
	if err != nil {
		k.o.Log.WithField("streams", len(begun)).Infof("the leader has not recorded streams that begin: %v", err)
		return err
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, b := range begun {
		close(b.recorded)
		if k.untold[b.key] == b {
			delete(k.untold, b.key)
		}
	}
	if len(k.untold) > 0 {
		k.tell.Wake()
	}
	return nil
}

// awaitTurn waits until the leader may be told again. It returns false if ctx ends first.
func (k *Keeper) awaitTurn(ctx context.Context) bool {
	k.mu.Lock()
	wait := k.toldAt + k.interval - k.o.Clock()
	k.mu.Unlock()
	if wait <= 0 {
		return true
	}
	select {
	case <-time.After(min(wait, maxInterval)):
		return true
	case <-ctx.Done():
		return false
	}
}

func (k *Keeper) noteTold(interval time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.toldAt, k.interval = k.o.Clock(), min(interval, maxInterval)
}

// nextTelling returns the next streams to tell, and how.
func (k *Keeper) nextTelling() ([]*Beginning, askFunc) {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.o.Clock()
	var out []*Beginning
	for key, b := range k.untold {
		if now-b.since > ownLifetime {
			delete(k.untold, key)
			continue
		}
		b.sent = true
		if out = append(out, b); len(out) == maxPerAsk {
			break
		}
	}
	return out, k.ask
}

// pauseTelling has nobody wait for records while the leader does not take them.
func (k *Keeper) pauseTelling(paused bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	switch {
	case paused && !k.notTold:
		close(k.stopWaits)
	case !paused && k.notTold:
		k.stopWaits = make(chan struct{})
	}
	k.notTold = paused
}

// findOnce asks the leader for the streams that are wanted.
func (k *Keeper) findOnce(ctx context.Context) error {
	k.mu.Lock()
	n := min(len(k.waiting), maxPerAsk)
	asked, ask := k.waiting[:n:n], k.ask
	k.waiting = k.waiting[n:]
	if len(k.waiting) > 0 {
		k.find.Wake()
	}
	k.mu.Unlock()
	if len(asked) == 0 {
		return nil
	}
	in, out := &Ask{}, Answers{}
	for _, q := range asked {
		in.Keys, in.Services = append(in.Keys, q.key[:]), append(in.Services, q.service)
	}
	err := ask(ctx, in, &out)
	if err == nil && len(out.Found) != len(asked) {
		err = errAnswers
	}
	if err != nil {
		k.o.Log.WithField("streams", len(asked)).Infof("no answer of the leader on streams that are taken up: %v", err)
		for _, q := range asked {
			close(q.answer)
		}
		return err
	}
	for i, q := range asked {
		q.answer <- out.Found[i]
	}
	return nil
}

// pauseAsking has nobody wait for answers while the leader does not give them.
func (k *Keeper) pauseAsking(paused bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.notAsked = paused
	if !paused {
		return
	}
	for _, q := range k.waiting {
		close(q.answer)
	}
	k.waiting = nil
}

// State is what a process knows of streams.
type State struct {
	Untold  int `json:"untold"`  // streams that the leader has not recorded
	Waiting int `json:"waiting"` // streams for which it is asked
	Own     int `json:"own"`     // streams that this process began and remembers
}

// Dump returns the state for the state dump.
func (k *Keeper) Dump() any {
	k.mu.Lock()
	defer k.mu.Unlock()
	return State{Untold: len(k.untold), Waiting: len(k.waiting), Own: len(k.own.current) + len(k.own.former)}
}

// memory holds the streams that a process itself began, in two generations.
type memory struct {
	since           time.Duration
	current, former map[Key]wire.Software
}

func newMemory(now time.Duration) memory {
	return memory{since: now, current: make(map[Key]wire.Software), former: make(map[Key]wire.Software)}
}

func (m *memory) put(now time.Duration, key Key, software wire.Software) {
	m.expire(now)
	if len(m.current) >= maxOwn {
		m.turn(now)
	}
	m.current[key] = software
}

func (m *memory) find(now time.Duration, key Key) (wire.Software, bool) {
	m.expire(now)
	if software, ok := m.current[key]; ok {
		return software, true
	}
	software, ok := m.former[key]
	return software, ok
}

func (m *memory) expire(now time.Duration) {
	if now-m.since > ownLifetime {
		m.turn(now)
	}
}

func (m *memory) turn(now time.Duration) {
	m.since, m.former, m.current = now, m.current, make(map[Key]wire.Software)
}
