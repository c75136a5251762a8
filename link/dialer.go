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
	redialDelayMin = 50 * time.Millisecond
	redialDelayMax = 1 * time.Second
)

// Dialer maintains a connection to one address: it dials again, with jittered
// exponential backoff, whenever the connection is closed.
type Dialer struct {
	client  *http.Client
	scheme  string
	address string
	local   wire.Hello
	events  Events
	cancel  context.CancelFunc
	conn    atomic.Pointer[Conn]
}

// StartDialer starts a Dialer, which runs until Stop.
func StartDialer(client *http.Client, scheme, address string, local wire.Hello, events Events) *Dialer {
	ctx, cancel := context.WithCancel(context.Background())
	d := &Dialer{client: client, scheme: scheme, address: address, local: local, events: events, cancel: cancel}
	go d.loop(ctx)
	return d
}

// Address returns the address that the Dialer dials.
func (d *Dialer) Address() string { return d.address }

// Conn returns the current connection, or nil if there is none.
func (d *Dialer) Conn() *Conn { return d.conn.Load() }

// Stop closes the connection and stops dialling.
func (d *Dialer) Stop() {
	d.cancel()
	if c := d.conn.Load(); c != nil {
		c.Close(ErrClosed)
	}
}

func (d *Dialer) loop(ctx context.Context) {
	delay := redialDelayMin
	for ctx.Err() == nil {
		c, err := Dial(ctx, d.client, d.scheme, d.address, d.local, d.events)
		if err == nil {
			delay = redialDelayMin
			d.serve(ctx, c)
		} else {
			delay = min(2*delay, redialDelayMax)
		}
		d.backOff(ctx, delay)
	}
}

// serve makes c the current connection until it is closed.
func (d *Dialer) serve(ctx context.Context, c *Conn) {
	d.conn.Store(c)
	select {
	case <-c.Closed():
	case <-ctx.Done():
		c.Close(ErrClosed)
	}
	d.conn.Store(nil)
}

// backOff waits for a random time between half of delay and all of it, so that
// processes that lost the same peer do not dial it simultaneously.
func (d *Dialer) backOff(ctx context.Context, delay time.Duration) {
	wait := delay/2 + rand.N(delay/2+1)
	select {
	case <-time.After(wait):
	case <-ctx.Done():
	}
}
