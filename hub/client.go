package hub

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"merlinhall/directory"
	"merlinhall/ledger"
	"merlinhall/link"
	"merlinhall/propagate"
	"merlinhall/routes"
	"merlinhall/wire"
)

const (
	// tryLimit bounds one try of a call beyond the time that the call itself
	// waits, so that a silent control process is left for another one.
	tryLimit = time.Second
	// tryAgain is the wait between two tries.
	tryAgain = 50 * time.Millisecond
)

var (
	// ErrNotDone is wrapped by the errors of calls that certainly had no effect
	// and never will have.
	ErrNotDone = eris.New("hub: the call was not carried out")
	// ErrUnknown is wrapped by the errors of calls that may have an effect.
	ErrUnknown = eris.New("hub: the outcome of the call is unknown")
)

// ClientOptions configures a Client.
type ClientOptions struct {
	Seeds     []string
	Directory *directory.Directory
	Poller    *directory.Poller
	DataDir   string // for the cached manifest; may be empty
	Log       *logrus.Entry
	Dial      func(address string) (stop func())
	// OnRoutes is called with each manifest that comes into force, in order.
	OnRoutes func(*routes.Manifest)
}

// Client is the entries' side: it follows the routes and targets and makes calls
// to the control leader. It implements link.Events.
type Client struct {
	o     ClientOptions
	cache *routeCache
	calls *propagate.Calls
	table atomic.Pointer[routes.Table]
	done  context.Context
	stop  context.CancelFunc
	wg    sync.WaitGroup

	mu      sync.Mutex
	conns   map[string]*link.Conn // newest link by address
	dials   *dials
	leader  string
	members []string
	next    int // for tries without a known leader
}

// ClientKinds are the kinds of messages that a Client handles.
var ClientKinds = []wire.Kind{wire.KindRouteUpdate, wire.KindTargetUpdate, wire.KindGroupUpdate, wire.KindReply}

// NewClient returns a client. It does nothing before Start.
func NewClient(o ClientOptions) *Client {
	done, stop := context.WithCancel(context.Background())
	return &Client{
		o: o, cache: newRouteCache(o.DataDir, o.Log), calls: propagate.NewCalls(), done: done, stop: stop,
		conns: make(map[string]*link.Conn), dials: newDials(o.Dial),
	}
}

// Start begins to link with control processes.
func (c *Client) Start() {
	if u := c.cache.load(); u != nil {
		c.takeRoutes(u)
	}
	c.dial(nil)
	c.wg.Add(1)
	go c.pollTargets()
}

// Stop ends the client and all its calls.
func (c *Client) Stop() {
	c.stop()
	c.wg.Wait()
	c.calls.Stop()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.dials.keep(nil, "")
}

// Table returns the routes in force, or nil before the first manifest.
func (c *Client) Table() *routes.Table { return c.table.Load() }

// Up implements link.Events.
func (c *Client) Up(conn *link.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.conns[conn.Peer().Process] = conn
	c.o.Log.WithField("peer", conn.Peer().Process).Info("link to control is up")
}

// Down implements link.Events.
func (c *Client) Down(conn *link.Conn, reason error) {
	c.mu.Lock()
	if name := conn.Peer().Process; c.conns[name] == conn {
		delete(c.conns, name)
	}
	c.mu.Unlock()
	c.calls.Lost(conn)
	c.o.Log.WithFields(logrus.Fields{"peer": conn.Peer().Process, "reason": reason.Error()}).Info("link to control is lost")
}

// Message implements link.Events.
func (c *Client) Message(_ *link.Conn, m wire.Message) {
	switch m := m.(type) {
	case *wire.RouteUpdate:
		c.takeRoutes(m)
	case *wire.TargetUpdate:
		if !c.o.Directory.Take(time.Now(), m) {
			c.o.Poller.Wake()
		}
	case *wire.GroupUpdate:
		c.takeGroup(m)
	case *wire.Reply:
		c.calls.Answer(m)
	}
}

// takeRoutes keeps the manifest of the highest version.
func (c *Client) takeRoutes(m *wire.RouteUpdate) {
	if t := c.Table(); t != nil && t.Manifest().Version >= m.Version {
		return
	}
	next := new(routes.Manifest)
	if err := wire.Unmarshal(m.Manifest, next); err != nil {
		c.o.Log.Errorf("manifest %d cannot be read: %v", m.Version, err)
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if t := c.Table(); t == nil || t.Manifest().Version < next.Version {
		c.table.Store(routes.NewTable(next))
		c.o.OnRoutes(next)
		c.cache.save(m)
		c.o.Log.WithFields(logrus.Fields{"version": next.Version, "routes": len(next.Routes)}).Info("manifest is in force")
	}
}

func (c *Client) takeGroup(m *wire.GroupUpdate) {
	if len(m.Members) == 0 {
		return
	}
	c.mu.Lock()
	changed := !slices.Equal(c.members, m.Members)
	c.members = m.Members
	if m.Leader != "" {
		c.leader = m.Leader
	}
	c.mu.Unlock()
	if changed {
		c.dial(m.Members)
	}
}

func (c *Client) dial(addresses []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.dials.keep(slices.Concat(addresses, c.o.Seeds), "")
}

// SetSeeds changes the addresses at which control processes are looked for.
func (c *Client) SetSeeds(seeds []string) {
	c.mu.Lock()
	c.o.Seeds = seeds
	members := c.members
	c.mu.Unlock()
	c.dial(members)
}

// staleAfter is the age of the view of targets from which this process reads the
// list itself: it may be cut off from the leader.
const staleAfter = 1500 * time.Millisecond

func (c *Client) pollTargets() {
	defer c.wg.Done()
	for c.o.Poller.Wait(c.done) {
		now := time.Now()
		if c.o.Directory.Age(now) < staleAfter {
			continue
		}
		if targets, err := c.o.Poller.Read(c.done); err == nil {
			c.o.Directory.Replace(now, targets)
		}
	}
}

// pick returns the link for the next try: the leader's first, then the others in
// turn.
func (c *Client) pick(try int) *link.Conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	if conn := c.conns[c.leader]; conn != nil && try == 0 {
		return conn
	}
	names := make([]string, 0, len(c.conns))
	for name := range c.conns {
		names = append(names, name)
	}
	if len(names) == 0 {
		return nil
	}
	slices.Sort(names)
	c.next++
	return c.conns[names[c.next%len(names)]]
}

// call makes tries until one is carried out or ctx ends. All calls may be
// repeated. wait is the time that the leader may keep the call.
func (c *Client) call(ctx context.Context, method string, in, out any, wait time.Duration) error {
	body, err := wire.Marshal(in)
	if err != nil {
		return eris.Wrap(ErrNotDone, err.Error())
	}
	doubt := false
	last := "no link to control"
	for try := 0; ; try++ {
		if conn := c.pick(try % 2); conn != nil {
			reply := c.try(ctx, conn, &wire.Call{Method: method, Body: body}, wait)
			switch reply.Outcome {
			case wire.CallOK:
				if out == nil {
					return nil
				}
				return wire.Unmarshal(reply.Body, out)
			case wire.CallRejected:
				if !doubt {
					return eris.Wrap(ErrNotDone, reply.Error)
				}
			case wire.CallUnknown:
				doubt = true
			}
			last = reply.Error
		}
		select {
		case <-time.After(tryAgain):
			continue
		case <-ctx.Done():
		}
		if doubt {
			return eris.Wrap(ErrUnknown, last)
		}
		return eris.Wrap(ErrNotDone, last)
	}
}

func (c *Client) try(ctx context.Context, conn *link.Conn, call *wire.Call, wait time.Duration) *wire.Reply {
	ctx, cancel := context.WithTimeout(ctx, wait+tryLimit)
	defer cancel()
	reply, err := c.calls.Do(ctx, conn, call)
	if err != nil {
		return &wire.Reply{Outcome: wire.CallNoLeader, Error: err.Error()}
	}
	return reply
}

// Accept hands a submission over. Without an error it is held for good.
func (c *Client) Accept(ctx context.Context, sub *ledger.Submission) error {
	return c.call(ctx, methodAccept, sub, nil, tryLimit)
}

// Page returns results from position after on; it waits up to wait for one.
func (c *Client) Page(ctx context.Context, id string, after int, wait time.Duration, limit int) (page ledger.Page, found bool, err error) {
	var out pageReply
	err = c.call(ctx, methodPage, &pageRequest{ID: id, After: after, Wait: wait, Limit: limit}, &out, wait)
	return out.Page, out.Found, err
}

// Body returns the body of an item that has no result yet.
func (c *Client) Body(ctx context.Context, id, item string) (body []byte, found bool, err error) {
	var out itemReply
	err = c.call(ctx, methodBody, &itemRequest{ID: id, Item: item}, &out, 0)
	return out.Body, out.Found, err
}

// End ends a submission. found is false for an unknown one.
func (c *Client) End(ctx context.Context, id string) (found bool, err error) {
	var out itemReply
	err = c.call(ctx, methodEnd, &itemRequest{ID: id}, &out, tryLimit)
	return out.Found, err
}
