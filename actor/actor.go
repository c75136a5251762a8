// Package actor runs the actors of a process on protoactor-go. Each actor has its own
// goroutine and a bounded ring-buffer mailbox, and handles one message at a time.
package actor

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

// ErrFull is returned by Offer when the mailbox is full.
var ErrFull = eris.New("mailbox is full")

// ErrStopped is returned by Offer and Ask after Stop was called.
var ErrStopped = eris.New("duty has stopped")

// messagesPerYield is the number of messages that an actor handles before its goroutine
// yields the processor.
const messagesPerYield = 300

// Handler handles the messages of one actor. Receive is never called concurrently.
type Handler interface {
	Receive(msg any)
}

// Mailbox takes messages for an actor. *Actor implements it.
type Mailbox interface {
	// Offer queues msg without waiting. The error is ErrFull or ErrStopped.
	Offer(msg any) error
}

// HandlerFunc adapts a function to Handler.
type HandlerFunc func(msg any)

// Receive calls f.
func (f HandlerFunc) Receive(msg any) { f(msg) }

// System is the set of actors of one process.
type System struct {
	actorSystem *actor.ActorSystem

	mu     sync.Mutex
	actors []*Actor
}

// NewSystem returns an empty system.
func NewSystem() *System {
	discard := func(*actor.ActorSystem) *slog.Logger {
		return slog.New(slog.NewTextHandler(io.Discard, nil))
	}
	return &System{actorSystem: actor.NewActorSystem(actor.WithLoggerFactory(discard))}
}

// Actor is a running actor.
type Actor struct {
	name       string
	capacity   int64
	system     *System
	pid        *actor.PID
	dispatcher *dispatcher
	handler    Handler
	queued     atomic.Int64
	stopped    atomic.Bool
	done       chan struct{}
}

// Start starts an actor that handles its messages with h. Its mailbox holds up to capacity
// messages.
func (s *System) Start(name string, capacity int, h Handler) *Actor {
	a := &Actor{
		name:       name,
		capacity:   int64(capacity),
		system:     s,
		dispatcher: newDispatcher(),
		handler:    h,
		done:       make(chan struct{}),
	}
	props := actor.PropsFromFunc(a.receive,
		actor.WithMailbox(actor.Bounded(capacity+1)),
		actor.WithDispatcher(a.dispatcher))
	a.pid = s.actorSystem.Root.Spawn(props)
	s.mu.Lock()
	s.actors = append(s.actors, a)
	s.mu.Unlock()
	return a
}

// QueueLengths returns the number of queued messages by actor name, summed over actors of
// the same name.
func (s *System) QueueLengths() map[string]int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	lengths := make(map[string]int64, len(s.actors))
	for _, a := range s.actors {
		lengths[a.name] += a.queued.Load()
	}
	return lengths
}

// Name returns the name given to Start.
func (a *Actor) Name() string { return a.name }

// Offer queues msg without blocking. It returns ErrFull or ErrStopped when the message
// was not queued.
func (a *Actor) Offer(msg any) error {
	if a.stopped.Load() {
		return ErrStopped
	}
	if a.queued.Add(1) > a.capacity {
		a.queued.Add(-1)
		return ErrFull
	}
	a.system.actorSystem.Root.Send(a.pid, msg)
	return nil
}

// Every offers msg once per period until the actor stops. A tick is skipped while the
// mailbox is full.
func (a *Actor) Every(period time.Duration, msg any) { a.NewTicker(period, msg).Start() }

// Ticker offers a message to an actor periodically, like Every, with a period that the
// handler may change.
type Ticker struct {
	actor  *Actor
	msg    any
	ticker *time.Ticker
	period time.Duration
}

// NewTicker returns a ticker that offers nothing before Start.
func (a *Actor) NewTicker(period time.Duration, msg any) *Ticker {
	return &Ticker{actor: a, msg: msg, ticker: time.NewTicker(period), period: period}
}

// Start begins to offer messages until the actor stops.
func (t *Ticker) Start() {
	go func() {
		defer t.ticker.Stop()
		for {
			select {
			case <-t.ticker.C:
				_ = t.actor.Offer(t.msg)
			case <-t.actor.done:
				return
			}
		}
	}()
}

// SetPeriod changes the period. It must only be called by the actor's handler.
func (t *Ticker) SetPeriod(period time.Duration) {
	if period != t.period {
		t.period = period
		t.ticker.Reset(period)
	}
}

// alarmRetryDelay is the time until an alarm retries after a full mailbox.
const alarmRetryDelay = 10 * time.Millisecond

// Alarm offers a message to its actor at a time that the handler sets. Unlike Every, it
// wakes an idle actor only when something is due. ScheduleAt and Clear must only be called
// by the actor's handler.
type Alarm struct {
	actor  *Actor
	msg    any
	timer  *time.Timer
	setFor time.Time // zero while the alarm is not set
}

// NewAlarm returns an alarm that is not set.
func (a *Actor) NewAlarm(msg any) *Alarm {
	alarm := &Alarm{actor: a, msg: msg}
	alarm.timer = time.AfterFunc(time.Hour, alarm.fire)
	alarm.timer.Stop()
	return alarm
}

// ScheduleAt sets the alarm for at, unless it is already set for the same or an earlier
// time.
func (a *Alarm) ScheduleAt(now, at time.Time) {
	if !a.setFor.IsZero() && !at.Before(a.setFor) {
		return
	}
	a.setFor = at
	a.timer.Reset(at.Sub(now))
}

// Clear marks the alarm as not set. The handler calls it when it receives the alarm's
// message.
func (a *Alarm) Clear() { a.setFor = time.Time{} }

// fire offers the message and retries while the mailbox is full, because the handler does
// not set the alarm again before it has received the message.
func (a *Alarm) fire() {
	if a.actor.Offer(a.msg) == ErrFull {
		a.timer.Reset(alarmRetryDelay)
	}
}

// Stop stops the actor after it has handled the messages already queued.
func (a *Actor) Stop() {
	if a.stopped.Swap(true) {
		return
	}
	_ = a.system.actorSystem.Root.PoisonFuture(a.pid).Wait()
	close(a.done)
	a.dispatcher.stop()
}

// Done returns a channel that is closed when the actor has stopped.
func (a *Actor) Done() <-chan struct{} { return a.done }

func (a *Actor) receive(ctx actor.Context) {
	switch msg := ctx.Message().(type) {
	case actor.SystemMessage, *actor.Started, *actor.Stopping, *actor.Stopped, *actor.Restarting, *actor.PoisonPill:
	default:
		a.queued.Add(-1)
		a.handle(msg)
	}
}

// handle passes msg to the handler. It exits the process on a panic: a handler panics only
// when an invariant is violated, and protoactor's default restart would continue with
// corrupt state.
func (a *Actor) handle(msg any) {
	defer func() {
		if r := recover(); r != nil {
			fmt.Fprintf(os.Stderr, "actor %s: %v\n%s", a.name, r, debug.Stack())
			os.Exit(2)
		}
	}()
	a.handler.Receive(msg)
}

// BrokenInvariant is the value with which Invariant panics.
type BrokenInvariant string

// Error implements error.
func (b BrokenInvariant) Error() string { return "invariant broken: " + string(b) }

// Invariant panics when ok is false. In a handler, this exits the process.
func Invariant(ok bool, format string, args ...any) {
	if !ok {
		panic(BrokenInvariant(fmt.Sprintf(format, args...)))
	}
}

// Call is a message that expects one reply. Its reply channel has capacity one.
type Call[Q, A any] struct {
	Query Q
	reply chan A
}

// Reply answers the call without blocking. Later replies are dropped.
func (c Call[Q, A]) Reply(a A) {
	select {
	case c.reply <- a:
	default:
	}
}

// Ask offers a Call with query to a and returns the channel that receives the reply.
func Ask[Q, A any](a *Actor, query Q) (<-chan A, error) {
	c := Call[Q, A]{Query: query, reply: make(chan A, 1)}
	if err := a.Offer(c); err != nil {
		return nil, err
	}
	return c.reply, nil
}

// dispatcher is a protoactor dispatcher that runs one actor on a goroutine of its own.
type dispatcher struct {
	runs chan func()
	quit chan struct{}
	once sync.Once
}

func newDispatcher() *dispatcher {
	d := &dispatcher{runs: make(chan func(), 4), quit: make(chan struct{})}
	go d.loop()
	return d
}

func (d *dispatcher) loop() {
	for {
		select {
		case run := <-d.runs:
			run()
		case <-d.quit:
			return
		}
	}
}

// Schedule implements the Dispatcher interface of protoactor.
func (d *dispatcher) Schedule(run func()) {
	select {
	case d.runs <- run:
	case <-d.quit:
	}
}

// Throughput implements the Dispatcher interface of protoactor.
func (d *dispatcher) Throughput() int { return messagesPerYield }

func (d *dispatcher) stop() { d.once.Do(func() { close(d.quit) }) }

// Queued returns the number of messages in the mailbox.
func (a *Actor) Queued() int64 { return a.queued.Load() }
