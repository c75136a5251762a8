// Package entry implements the entry role. It accepts requests from callers over
// HTTP and from rollout jobs by function call, assigns each to a target, and tracks
// it over links to agents until the answer is complete or it has to be given up.
package entry

import (
	"context"
	"fmt"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"merlinhall/actor"
	"merlinhall/config"
	"merlinhall/link"
	"merlinhall/observe"
	"merlinhall/wire"
)

const (
	// mailboxCapacity is the capacity of the dispatcher's mailbox in messages.
	mailboxCapacity = 1 << 16
	// tickPeriod is the resolution of deadlines and timeouts.
	tickPeriod = 20 * time.Millisecond
	// idleTickPeriod is the time between two ticks while there is no request. These
	// ticks update the gauges and remove idle callers from the queues.
	idleTickPeriod = 1 * time.Second
	// DefaultMaxBodyBytes is the default limit of a request body. It leaves room for
	// headers in a frame of wire.MaxFrameBytes.
	DefaultMaxBodyBytes = 4 << 20
	// MaxHeaderBytes bounds the header fields of a request. An http.Server in
	// front of Handler needs a MaxHeaderBytes above it.
	MaxHeaderBytes = 64 << 10
)

// Options are the parameters of Start.
type Options struct {
	Name string
	Zone string
	// Boot is the boot id, unique to one run of the process. Request ids start with it.
	Boot string
	// Client and Scheme are passed to link.Keep. Scheme defaults to "ws".
	Client *http.Client
	Scheme string
	// Hello is sent to agents. Start replaces its process, zone and boot id by
	// Name, Zone and Boot.
	Hello    wire.Hello
	Observer *observe.Observer
	System   *actor.System
	// MaxBodyBytes defaults to DefaultMaxBodyBytes.
	MaxBodyBytes int64
	// Seed is the seed of random choices. If it is 0, the seed is derived from Boot.
	Seed uint64

	disabledRules disabledRules
}

// Entry accepts requests and runs them on targets.
type Entry struct {
	options  Options
	actor    *actor.Actor
	log      *logrus.Entry
	sequence atomic.Uint64
	draining atomic.Bool
	running  atomic.Int64
	idle     chan struct{} // signalled when running falls to 0
	links    atomic.Int64
	view     atomic.Pointer[clusterView]
	metrics  *metrics
}

// clusterView is a cluster state with its parsed configuration. It is also read by
// the goroutines of callers.
type clusterView struct {
	cluster *wire.ClusterState
	config  *config.Config
}

// Start starts an entry. It refuses all requests until the first cluster state
// arrives.
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
		o.System = actor.NewSystem()
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
	e.actor = o.System.Start("entry", mailboxCapacity, d)
	d.alarm = e.actor.NewAlarm(tickMessage{})
	e.observe(o.Observer)
	e.offer(context.Background(), tickMessage{})
	return e, nil
}

// OnClusterState applies a new cluster state. It is called with increasing index.
func (e *Entry) OnClusterState(w *wire.ClusterState) {
	c, err := config.Load(w.ConfigText)
	if err != nil {
		e.log.WithError(err).Error("ignoring a cluster state whose configuration does not parse")
		return
	}
	v := &clusterView{cluster: w, config: c}
	e.view.Store(v)
	e.offer(context.Background(), v)
}

// Drain refuses new requests with OutcomeNotRun and returns when no request is left.
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

// Stop closes all links. Requests that are still running end with OutcomeUnknown, those
// that wait for a target with OutcomeNotRun.
func (e *Entry) Stop() {
	e.draining.Store(true)
	e.offer(context.Background(), stopMessage{})
	e.actor.Stop()
}

// offer sends m to the dispatcher, retrying while its mailbox is full. It returns
// false if the entry has stopped or ctx ends first.
func (e *Entry) offer(ctx context.Context, m any) bool {
	for {
		err := e.actor.Offer(m)
		if err == nil {
			return true
		}
		if err == actor.ErrStopped {
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

// linksUp returns the number of agents with an established link.
func (e *Entry) linksUp() int { return int(e.links.Load()) }
