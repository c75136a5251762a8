package hub

import (
	"context"
	"errors"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"merlinhall/admission"
	"merlinhall/directory"
	"merlinhall/ledger"
	"merlinhall/link"
	"merlinhall/locality"
	"merlinhall/propagate"
	"merlinhall/quarantine"
	"merlinhall/ratelimit"
	"merlinhall/routes"
	"merlinhall/streams"
	"merlinhall/usage"
	"merlinhall/wire"
)

const (
	// attemptTimeout is the timeout of one attempt in addition to the call's own wait. It
	// limits the time spent on an unresponsive control process before another one is
	// tried.
	attemptTimeout = time.Second
	// retryDelay is the delay between two attempts.
	retryDelay = 50 * time.Millisecond
)

var (
	// ErrNotDone is wrapped by the errors of calls that had no effect and never will.
	ErrNotDone = eris.New("hub: the call was not carried out")
	// ErrUnknown is wrapped by the errors of calls that may have had an effect or may
	// still have one.
	ErrUnknown = eris.New("hub: the outcome of the call is unknown")
)

// ClientOptions configures a Client.
type ClientOptions struct {
	Seeds     []string
	Directory *directory.Directory
	Poller    *directory.Poller
	Limits    *ratelimit.Keeper
	// Quarantine is told the requests under which targets have ended; it may be nil.
	Quarantine *quarantine.Keeper
	DataDir    string // directory of the cached manifest; empty disables the cache
	Log        *logrus.Entry
	// Dial maintains a link to a control process until stop is called.
	Dial func(address string) (stop func())
	// OnRoutes is called with each manifest that takes effect, in order of versions.
	OnRoutes func(*routes.Manifest)
	Registry *prometheus.Registry // nil registers no metrics
	// StepReads is set if the leader has reads of results wait for complete steps. A read that
	// is repeated then waits for the rest of its time only.
	StepReads bool
}

// Client is the client side in an entry process. It receives routes and targets from
// control processes and makes calls to the control leader. It implements link.Events.
type Client struct {
	opts   ClientOptions
	cache  *manifestCache
	calls  *propagate.Calls
	table  atomic.Pointer[routes.Table]
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup
	leader propagate.Leader

	refresher refresher
	questions *prometheus.CounterVec // for a newer manifest, by what became of them

	mu    sync.Mutex
	conns map[string]*link.Conn // latest link to each address
	links *linkSet
	// leaderTerm is the term of leader.
	leaderTerm uint64
	members    []string
	nextConn   int // round-robin position for attempts that don't go to the leader
}

// ClientKinds lists the message kinds that a Client handles.
var ClientKinds = []wire.Kind{wire.KindRouteUpdate, wire.KindTargetUpdate, wire.KindMembershipUpdate, wire.KindReply}

// NewClient returns a client. Its background work begins with Start.
func NewClient(o ClientOptions) *Client {
	ctx, cancel := context.WithCancel(context.Background())
	questions := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "merlinhall_manifest_questions_total", Help: "Requests with an unknown key for which a newer manifest was asked for, by whether the question was asked, shared with that of another request, or not asked because the last one was just now.",
	}, []string{"what"})
	if o.Registry != nil {
		o.Registry.MustRegister(questions)
	}
	return &Client{
		questions: questions,

		opts: o, cache: newManifestCache(o.DataDir, o.Log), calls: propagate.NewCalls(), ctx: ctx, cancel: cancel,
		conns: make(map[string]*link.Conn), links: newLinkSet(o.Dial),
	}
}

// Start loads the cached manifest and starts polling and the links to control
// processes.
func (c *Client) Start() {
	if u := c.cache.load(); u != nil {
		c.applyManifest(u)
	}
	c.dial(nil)
	c.wg.Add(1)
	go c.pollTargets()
}

// Stop stops the client and fails its pending calls.
func (c *Client) Stop() {
	c.cancel()
	c.wg.Wait()
	c.calls.Stop()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.links.update(nil, "")
}

// Table returns the routing table in force, or nil before the first manifest.
func (c *Client) Table() *routes.Table { return c.table.Load() }

// Up implements link.Events.
func (c *Client) Up(conn *link.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.conns[conn.Peer().Process] = conn
	c.opts.Log.WithField("peer", conn.Peer().Process).Info("link to control is up")
}

// Down implements link.Events.
func (c *Client) Down(conn *link.Conn, reason error) {
	c.mu.Lock()
	if name := conn.Peer().Process; c.conns[name] == conn {
		delete(c.conns, name)
	}
	c.mu.Unlock()
	c.calls.Lost(conn)
	c.opts.Log.WithFields(logrus.Fields{"peer": conn.Peer().Process, "reason": reason.Error()}).Info("link to control is lost")
}

// Message implements link.Events.
func (c *Client) Message(conn *link.Conn, m wire.Message) {
	switch m := m.(type) {
	case *wire.RouteUpdate:
		c.applyManifest(m)
	case *wire.TargetUpdate:
		c.opts.Limits.Learn(m.Limits)
		c.opts.Quarantine.Learn(m.Term, m.Changed, m.Suspects)
		if !c.opts.Directory.ApplyUpdate(time.Now(), m) {
			c.opts.Poller.Wake()
		}
	case *wire.MembershipUpdate:
		c.applyGroup(m)
	case *wire.Reply:
		c.calls.Answer(conn, m)
	}
}

// applyManifest puts a manifest into force if its version is higher than the current
// one.
func (c *Client) applyManifest(m *wire.RouteUpdate) {
	next, err := newerManifest(c.Table(), m)
	if err != nil {
		c.opts.Log.Errorf("decoding manifest %d failed: %v", m.Version, err)
	}
	if next == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if next.Newer(manifestOf(c.Table())) {
		c.table.Store(routes.NewTable(next))
		c.opts.OnRoutes(next)
		c.cache.save(m)
		c.opts.Log.WithFields(logrus.Fields{"version": next.Version, "routes": len(next.Routes)}).Info("manifest is in force")
	}
}

func (c *Client) applyGroup(m *wire.MembershipUpdate) {
	if len(m.Members) == 0 {
		return
	}
	c.mu.Lock()
	changed := !slices.Equal(c.members, m.Members)
	c.members = m.Members
	c.setLeader(m.Leader, m.Term)
	c.mu.Unlock()
	if changed {
		c.dial(m.Members)
	}
}

// setLeader notes the leader of a term. A control process that is cut off may still name
// that of an earlier one. The caller holds c.mu.
func (c *Client) setLeader(leader string, term uint64) {
	if leader == "" || term < c.leaderTerm {
		return
	}
	c.leaderTerm = term
	c.leader.Set(leader)
}

func (c *Client) dial(addresses []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.links.update(slices.Concat(addresses, c.opts.Seeds), "")
}

// SetSeeds replaces the seed addresses, to which this process always keeps links.
func (c *Client) SetSeeds(seeds []string) {
	c.mu.Lock()
	c.opts.Seeds = seeds
	members := c.members
	c.mu.Unlock()
	c.dial(members)
}

const (
	// unlinkedViewAge is the age of the view of the targets from which a process without a
	// link to any control process reads the list itself.
	unlinkedViewAge = 1500 * time.Millisecond
	// linkedViewAge is the same with links. The control processes, of which only a few read
	// the list, pass it on: hundreds of processes that read a long list use up the rate that
	// all share.
	linkedViewAge = 2200 * time.Millisecond
)

// viewAge returns the age of the view from which a process reads the list itself.
func viewAge(linked bool) time.Duration {
	if linked {
		return linkedViewAge
	}
	return unlinkedViewAge
}

func (c *Client) reader() directory.Reader {
	c.mu.Lock()
	defer c.mu.Unlock()
	return directory.Reader{MaxAge: viewAge(len(c.conns) > 0)}
}

func (c *Client) pollTargets() {
	defer c.wg.Done()
	for c.opts.Poller.WaitIfOlder(c.ctx, c.reader()) {
		c.opts.Poller.ReadIfOlder(c.ctx, c.reader())
	}
}

// pickConn returns the link for an attempt: the leader's for attempt 0, otherwise the
// next one in round-robin order.
func (c *Client) pickConn(attempt int) *link.Conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	if conn := c.conns[c.leader.Process()]; conn != nil && attempt == 0 {
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
	c.nextConn++
	return c.conns[names[c.nextConn%len(names)]]
}

// call retries a call until it succeeds, is rejected, or ctx ends. A rejection is final
// only if no earlier attempt may have run. All calls are safe to repeat. wait is how long
// the leader may hold the call before it replies.
func (c *Client) call(ctx context.Context, method string, in, out any, wait time.Duration) error {
	return c.callAgain(ctx, method, in, out, wait, nil)
}

// callAgain is call with a function that returns the wait of a repeated call, and changes the
// request accordingly. It may be nil.
func (c *Client) callAgain(ctx context.Context, method string, in, out any, wait time.Duration, again func() time.Duration) error {
	body, err := wire.Marshal(in)
	if err != nil {
		return eris.Wrap(ErrNotDone, err.Error())
	}
	mayHaveRun := false
	lastError := "no link to control"
	for attempt := 0; ; attempt++ {
		if attempt > 0 && again != nil {
			wait = again()
			if body, err = wire.Marshal(in); err != nil {
				return eris.Wrap(ErrNotDone, err.Error())
			}
		}
		if conn := c.pickConn(attempt % 2); conn != nil {
			reply := c.callOnce(ctx, conn, &wire.Call{Method: method, Body: body}, wait)
			switch reply.Outcome {
			case wire.CallOK:
				if out == nil {
					return nil
				}
				return wire.Unmarshal(reply.Body, out)
			case wire.CallRejected:
				if !mayHaveRun {
					return rejected(reply)
				}
			case wire.CallUnknown:
				mayHaveRun = true
			}
			lastError = reply.Error
		}
		select {
		case <-time.After(retryDelay):
			continue
		case <-ctx.Done():
		}
		if mayHaveRun {
			return eris.Wrap(ErrUnknown, lastError)
		}
		return eris.Wrap(ErrNotDone, lastError)
	}
}

// FullError is the error of a call that was not carried out because there is no room for what it
// brings. It wraps ErrNotDone.
type FullError struct {
	Reason     string
	RetryAfter time.Duration // until there may be room
}

// Error implements error.
func (e *FullError) Error() string { return e.Reason }

// Unwrap returns ErrNotDone.
func (*FullError) Unwrap() error { return ErrNotDone }

// rejected returns the error of a call that was rejected.
func rejected(reply *wire.Reply) error {
	if reply.RetryAfterMs > 0 {
		return &FullError{Reason: reply.Error, RetryAfter: time.Duration(reply.RetryAfterMs) * time.Millisecond}
	}
	return eris.Wrap(ErrNotDone, reply.Error)
}

func (c *Client) callOnce(ctx context.Context, conn *link.Conn, call *wire.Call, wait time.Duration) *wire.Reply {
	ctx, cancel := context.WithTimeout(ctx, wait+attemptTimeout)
	defer cancel()
	ctx, stop := c.leader.UntilOther(ctx, conn.Peer().Process)
	defer stop()
	reply, err := c.calls.Do(ctx, conn, call)
	if errors.Is(err, wire.ErrTooLarge) {
		return &wire.Reply{Outcome: wire.CallRejected, Error: err.Error()}
	}
	if err != nil {
		return &wire.Reply{Outcome: wire.CallNoLeader, Error: err.Error()}
	}
	return reply
}

// ReportUsage sends a report of usage to the control leader.
func (c *Client) ReportUsage(ctx context.Context, in *usage.Report, out *usage.Reply) error {
	return c.call(ctx, methodUsage, in, out, 0)
}

// AskSuspects asks the control leader for leave to send requests under which targets have
// ended.
func (c *Client) AskSuspects(ctx context.Context, in *quarantine.Ask, out *quarantine.Answers) error {
	return c.call(ctx, methodSuspects, in, out, 0)
}

// AskStreams tells the control leader of streams that begin, and asks it for those that callers
// take up.
func (c *Client) AskStreams(ctx context.Context, in *streams.Ask, out *streams.Answers) error {
	return c.call(ctx, methodStreams, in, out, 0)
}

// AskDemand reports the demand of this process to the control leader, which answers with its share.
func (c *Client) AskDemand(ctx context.Context, in *admission.Demand, out *admission.Shares) error {
	return c.call(ctx, methodDemand, in, out, 0)
}

// ReportZones reports the requests of the zone to the control leader and returns the shares.
func (c *Client) ReportZones(ctx context.Context, in *locality.Report, out *locality.Answers) error {
	return c.call(ctx, methodLocality, in, out, 0)
}

// AskGrants asks the control leader for grants for targets with a limit.
func (c *Client) AskGrants(ctx context.Context, in *ratelimit.Ask, out *ratelimit.Answers) error {
	return c.call(ctx, methodGrants, in, out, 0)
}

// Page returns the results of a submission from position after on. If there are none
// yet, it waits up to wait for one. found is false for an unknown submission.
func (c *Client) Page(ctx context.Context, caller Caller, id string, after int, wait time.Duration, limit int) (page ledger.Page, found bool, err error) {
	var out pageReply
	in := &pageRequest{ID: id, After: after, Wait: wait, Limit: limit, Caller: &caller}
	var again func() time.Duration
	if c.opts.StepReads {
		deadline := time.Now().Add(wait)
		again = func() time.Duration {
			in.Wait = max(0, time.Until(deadline))
			return in.Wait
		}
	}
	err = c.callAgain(ctx, methodPage, in, &out, wait, again)
	return out.Page, out.Found, err
}

// Body returns the body of an item that has no result yet. found is false if there is
// no such item.
func (c *Client) Body(ctx context.Context, caller Caller, id, item string) (body []byte, found bool, err error) {
	var out itemReply
	err = c.call(ctx, methodBody, &itemRequest{ID: id, Item: item, Caller: &caller}, &out, 0)
	return out.Body, out.Found, err
}

// End ends a submission. found is false for an unknown submission.
func (c *Client) End(ctx context.Context, caller Caller, id string) (found bool, err error) {
	var out itemReply
	err = c.call(ctx, methodEnd, &itemRequest{ID: id, Caller: &caller}, &out, attemptTimeout)
	return out.Found, err
}
