package link

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"merlinhall/wire"
)

const (
	redialMin = 50 * time.Millisecond
	redialMax = 1 * time.Second
)

// Dialer keeps a connection to one address: it dials again, with jittered
// exponential delay, whenever the connection ends.
type Dialer struct {
	client  *http.Client
	scheme  string
	address string
	local   wire.Hello
	events  Events
	cancel  context.CancelFunc
	conn    atomic.Pointer[Conn]
}

// Keep starts a Dialer. It runs until Stop.
func Keep(client *http.Client, scheme, address string, local wire.Hello, events Events) *Dialer {
	ctx, cancel := context.WithCancel(context.Background())
	d := &Dialer{client: client, scheme: scheme, address: address, local: local, events: events, cancel: cancel}
	go d.loop(ctx)
	return d
}

// Address returns the address that is dialled.
func (d *Dialer) Address() string { return d.address }

// Conn returns the current connection, or nil.
func (d *Dialer) Conn() *Conn { return d.conn.Load() }

// Stop closes the connection and dials no more.
func (d *Dialer) Stop() {
	d.cancel()
	if c := d.conn.Load(); c != nil {
		c.Close(ErrClosed)
	}
}

func (d *Dialer) loop(ctx context.Context) {
	delay := redialMin
	for ctx.Err() == nil {
		c, err := Dial(ctx, d.client, d.scheme, d.address, d.local, d.events)
		if err == nil {
			delay = redialMin
			d.hold(ctx, c)
		} else {
			delay = min(2*delay, redialMax)
		}
		d.pause(ctx, delay)
	}
}

func (d *Dialer) hold(ctx context.Context, c *Conn) {
	d.conn.Store(c)
	select {
	case <-c.Closed():
	case <-ctx.Done():
		c.Close(ErrClosed)
	}
	d.conn.Store(nil)
}

// pause waits between half of delay and all of it, so that processes that lost
// the same peer do not dial it at the same moment.
func (d *Dialer) pause(ctx context.Context, delay time.Duration) {
	wait := delay/2 + rand.N(delay/2+1)
	select {
	case <-time.After(wait):
	case <-ctx.Done():
	}
}
