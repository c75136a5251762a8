// Package duty runs the duties of a process as protoactor-go actors. A duty
// has a goroutine of its own and a bounded ring mailbox, and handles one
// message at a time.
package duty

import (
	"fmt"
	"io"
	"log/slog"
	"os"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/asynkron/protoactor-go/actor"
	"github.com/rotisserie/eris"
)

// ErrFull is returned by Offer when the mailbox holds its capacity of messages.
var ErrFull = eris.New("mailbox is full")

// ErrStopped is returned by Offer and Ask after the duty has stopped.
var ErrStopped = eris.New("duty has stopped")

// messagesPerRun bounds how many messages an actor handles before it looks at
// its system messages again.
const messagesPerRun = 300

// Handler handles the messages of one duty. Receive is never called
// concurrently.
type Handler interface {
	Receive(msg any)
}

// HandlerFunc adapts a function to Handler.
type HandlerFunc func(msg any)

// Receive calls f.
func (f HandlerFunc) Receive(msg any) { f(msg) }

// System is the set of duties of one process.
type System struct {
	actors *actor.ActorSystem

	mu     sync.Mutex
	duties []*Duty
}

// NewSystem returns an empty system.
func NewSystem() *System {
	discard := func(*actor.ActorSystem) *slog.Logger {
		return slog.New(slog.NewTextHandler(io.Discard, nil))
	}
	return &System{actors: actor.NewActorSystem(actor.WithLoggerFactory(discard))}
}

// Duty is a running duty.
type Duty struct {
	name     string
	capacity int64
	system   *System
	pid      *actor.PID
	thread   *thread
	handler  Handler
	queued   atomic.Int64
	stopped  atomic.Bool
	done     chan struct{}
}

// Start runs h as a duty whose mailbox holds up to capacity messages.
func (s *System) Start(name string, capacity int, h Handler) *Duty {
	d := &Duty{
		name:     name,
		capacity: int64(capacity),
		system:   s,
		thread:   newThread(),
		handler:  h,
		done:     make(chan struct{}),
	}
	props := actor.PropsFromFunc(d.receive,
		actor.WithMailbox(actor.Bounded(capacity+1)),
		actor.WithDispatcher(d.thread))
	d.pid = s.actors.Root.Spawn(props)
	s.mu.Lock()
	s.duties = append(s.duties, d)
	s.mu.Unlock()
	return d
}

// Load returns the number of queued messages of each duty by name.
func (s *System) Load() map[string]int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	load := make(map[string]int64, len(s.duties))
	for _, d := range s.duties {
		load[d.name] += d.queued.Load()
	}
	return load
}

// Name returns the name given to Start.
func (d *Duty) Name() string { return d.name }

// Offer queues msg. It never blocks: it returns ErrFull or ErrStopped when the
// message was not queued.
func (d *Duty) Offer(msg any) error {
	if d.stopped.Load() {
		return ErrStopped
	}
	if d.queued.Add(1) > d.capacity {
		d.queued.Add(-1)
		return ErrFull
	}
	d.system.actors.Root.Send(d.pid, msg)
	return nil
}

// Every offers msg each period until the duty stops. A tick that meets a full
// mailbox is skipped.
func (d *Duty) Every(period time.Duration, msg any) { d.NewPace(period, msg).Start() }

// Pace is Every with a period that the handler may change.
type Pace struct {
	duty   *Duty
	msg    any
	ticker *time.Ticker
	period time.Duration
}

// NewPace returns a pace that offers nothing before Start.
func (d *Duty) NewPace(period time.Duration, msg any) *Pace {
	return &Pace{duty: d, msg: msg, ticker: time.NewTicker(period), period: period}
}

// Start offers messages until the duty stops.
func (p *Pace) Start() {
	go func() {
		defer p.ticker.Stop()
		for {
			select {
			case <-p.ticker.C:
				_ = p.duty.Offer(p.msg)
			case <-p.duty.done:
				return
			}
		}
	}()
}

// Set changes the period. It is called by the duty's handler alone.
func (p *Pace) Set(period time.Duration) {
	if period != p.period {
		p.period = period
		p.ticker.Reset(period)
	}
}

// alarmRetry is the pause before an alarm tries a full mailbox again.
const alarmRetry = 10 * time.Millisecond

// Alarm offers a message to its duty at a time that the handler sets. Unlike
// Every, it wakes an idle duty only when something is due. Ring and Rang are
// called by the duty's handler alone.
type Alarm struct {
	duty  *Duty
	msg   any
	timer *time.Timer
	at    time.Time // zero while the alarm is not set
}

// NewAlarm returns an alarm that is not set.
func (d *Duty) NewAlarm(msg any) *Alarm {
	a := &Alarm{duty: d, msg: msg}
	a.timer = time.AfterFunc(time.Hour, a.fire)
	a.timer.Stop()
	return a
}

// Ring sets the alarm for at, unless it is set for an earlier time.
func (a *Alarm) Ring(now, at time.Time) {
	if !a.at.IsZero() && !at.Before(a.at) {
		return
	}
	a.at = at
	a.timer.Reset(at.Sub(now))
}

// Rang notes that the message was received. The alarm is not set any more.
func (a *Alarm) Rang() { a.at = time.Time{} }

// fire retries while the mailbox is full: the handler waits for the message
// before it sets the alarm again.
func (a *Alarm) fire() {
	if a.duty.Offer(a.msg) == ErrFull {
		a.timer.Reset(alarmRetry)
	}
}

// Stop handles the messages already queued and ends the duty.
func (d *Duty) Stop() {
	if d.stopped.Swap(true) {
		return
	}
	_ = d.system.actors.Root.PoisonFuture(d.pid).Wait()
	close(d.done)
	d.thread.stop()
}

// Done is closed when the duty has stopped.
func (d *Duty) Done() <-chan struct{} { return d.done }

func (d *Duty) receive(ctx actor.Context) {
	switch msg := ctx.Message().(type) {
	case actor.SystemMessage, *actor.Started, *actor.Stopping, *actor.Stopped, *actor.Restarting, *actor.PoisonPill:
	default:
		d.queued.Add(-1)
		d.handle(msg)
	}
}

// handle stops the process on a panic: a handler panics only when an invariant
// is broken, and the actor's default restart would go on with broken state.
func (d *Duty) handle(msg any) {
	defer func() {
		if r := recover(); r != nil {
			fmt.Fprintf(os.Stderr, "duty %s: %v\n%s", d.name, r, debug.Stack())
			os.Exit(2)
		}
	}()
	d.handler.Receive(msg)
}

// Invariant stops the process when ok is false.
func Invariant(ok bool, format string, args ...any) {
	if !ok {
		panic("invariant broken: " + fmt.Sprintf(format, args...))
	}
}

// Call is a message that carries a reply channel of capacity one.
type Call[Q, A any] struct {
	Query Q
	reply chan A
}

// Reply answers the call. Only the first answer counts.
func (c Call[Q, A]) Reply(a A) {
	select {
	case c.reply <- a:
	default:
	}
}

// Ask offers a Call with query to d and returns the channel of its answer.
func Ask[Q, A any](d *Duty, query Q) (<-chan A, error) {
	c := Call[Q, A]{Query: query, reply: make(chan A, 1)}
	if err := d.Offer(c); err != nil {
		return nil, err
	}
	return c.reply, nil
}

// thread is a dispatcher that runs an actor on one goroutine of its own.
type thread struct {
	runs chan func()
	quit chan struct{}
	once sync.Once
}

func newThread() *thread {
	t := &thread{runs: make(chan func(), 4), quit: make(chan struct{})}
	go t.loop()
	return t
}

func (t *thread) loop() {
	for {
		select {
		case run := <-t.runs:
			run()
		case <-t.quit:
			return
		}
	}
}

// Schedule implements actor.Dispatcher.
func (t *thread) Schedule(run func()) {
	select {
	case t.runs <- run:
	case <-t.quit:
	}
}

// Throughput implements actor.Dispatcher.
func (t *thread) Throughput() int { return messagesPerRun }

func (t *thread) stop() { t.once.Do(func() { close(t.quit) }) }

// Queued returns the number of messages that wait in the mailbox.
func (d *Duty) Queued() int64 { return d.queued.Load() }
