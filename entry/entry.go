// Package entry is the entry role: it accepts requests of callers over HTTP and
// of trainers' jobs by call, chooses a target for each and follows it, over
// links to agents, until the answer is complete or its outcome is certain.
package entry

import (
	"context"
	"fmt"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"merlinhall/config"
	"merlinhall/duty"
	"merlinhall/link"
	"merlinhall/observe"
	"merlinhall/wire"
)

const (
	// mailbox is the capacity of the entry's duty in messages.
	mailbox = 1 << 16
	// tickPeriod is the resolution of deadlines and timeouts.
	tickPeriod = 20 * time.Millisecond
	// restPeriod is the time between two ticks while there is no request. They
	// refresh the gauges and forget idle callers.
	restPeriod = 1 * time.Second
	// DefaultMaxBodyBytes bounds a request body. It leaves room for headers in a
	// frame of wire.MaxFrameBytes.
	DefaultMaxBodyBytes = 4 << 20
	// MaxHeaderBytes bounds the header fields of a request. An http.Server in
	// front of Handler needs a MaxHeaderBytes above it.
	MaxHeaderBytes = 64 << 10
)

// Options of Start.
type Options struct {
	Name string
	Zone string
	// Boot differs between two runs of the process; request ids start with it.
	Boot string
	// Client and Scheme are those of link.Keep. Scheme is "ws" when empty.
	Client *http.Client
	Scheme string
	// Hello is sent to agents; Name, Zone and Boot replace its fields when set.
	Hello    wire.Hello
	Observer *observe.Observer
	System   *duty.System
	// MaxBodyBytes is DefaultMaxBodyBytes when 0.
	MaxBodyBytes int64
	// Seed starts the random choices; 0 takes a seed from the boot id.
	Seed uint64

	rules rules
}

// Entry is the entry role of a process.
type Entry struct {
	options  Options
	duty     *duty.Duty
	log      *logrus.Entry
	sequence atomic.Uint64
	draining atomic.Bool
	running  atomic.Int64
	idle     chan struct{} // receives when running falls to 0
	links    atomic.Int64
	config   atomic.Pointer[view]
	metrics  *metrics
}

// view is the configuration of one world, read by callers' goroutines.
type view struct {
	world  *wire.World
	config *config.Config
}

// Start starts an entry. It serves no request before the first OnWorld.
func Start(o Options) (*Entry, error) {
	if o.Name == "" || o.Boot == "" {
		return nil, eris.New("entry: name and boot id are required")
	}
	if o.Scheme == "" {
		o.Scheme = "ws"
	}
	if o.Client == nil {
		o.Client = link.NewHTTPClient(nil)
	}
	if o.Observer == nil {
		o.Observer = observe.New("error")
	}
	if o.System == nil {
		o.System = duty.NewSystem()
	}
	if o.MaxBodyBytes == 0 {
		o.MaxBodyBytes = DefaultMaxBodyBytes
	}
	o.Hello.Process = o.Name
	o.Hello.Zone = o.Zone
	o.Hello.Boot = o.Boot
	if len(o.Hello.Roles) == 0 {
		o.Hello.Roles = []wire.Role{wire.RoleEntry}
	}
	metrics, err := newMetrics(o.Observer.Registry)
	if err != nil {
		return nil, err
	}
	e := &Entry{options: o, metrics: metrics, log: o.Observer.Logger("entry"), idle: make(chan struct{}, 1)}
	d := newDispatcher(e)
	e.duty = o.System.Start("entry", mailbox, d)
	d.alarm = e.duty.NewAlarm(tickMessage{})
	e.observe(o.Observer)
	e.offer(context.Background(), tickMessage{})
	return e, nil
}

// OnWorld takes a new world. Worlds arrive with increasing index.
func (e *Entry) OnWorld(w *wire.World) {
	c, err := config.Load(w.ConfigText)
	if err != nil {
		e.log.WithError(err).Error("world ignored: its configuration does not parse")
		return
	}
	v := &view{world: w, config: c}
	e.config.Store(v)
	e.offer(context.Background(), v)
}

// Drain refuses new requests as not run and returns when no request is running.
func (e *Entry) Drain(ctx context.Context) error {
	e.draining.Store(true)
	e.log.Info("draining")
	for e.running.Load() > 0 {
		select {
		case <-e.idle:
		case <-ctx.Done():
			return eris.Wrapf(ctx.Err(), "entry: %d requests are still running", e.running.Load())
		}
	}
	return nil
}

// Stop closes all links. Requests that still run end as unknown to their callers.
func (e *Entry) Stop() {
	e.draining.Store(true)
	e.offer(context.Background(), stopMessage{})
	e.duty.Stop()
}

// offer queues m and waits while the mailbox is full. It reports whether m was
// queued.
func (e *Entry) offer(ctx context.Context, m any) bool {
	for {
		err := e.duty.Offer(m)
		if err == nil {
			return true
		}
		if err == duty.ErrStopped {
			return false
		}
		select {
		case <-time.After(time.Millisecond):
		case <-ctx.Done():
			return false
		}
	}
}

// newID returns the id of a new request.
func (e *Entry) newID() string {
	return fmt.Sprintf("%s-%d", e.options.Boot, e.sequence.Add(1))
}

// linksUp returns the number of agents whose link is up.
func (e *Entry) linksUp() int { return int(e.links.Load()) }
