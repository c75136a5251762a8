package control

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"merlinhall/duty"
	"merlinhall/link"
	"merlinhall/observe"
	"merlinhall/propagate"
	"merlinhall/wire"
)

const (
	// leaderPoll is the period at which a change of the leader is noticed.
	leaderPoll = 50 * time.Millisecond
	// retryPeriod is the wait before a call looks for the leader again.
	retryPeriod = 50 * time.Millisecond
	// subtreePeriod is the time between two reports to the leader.
	subtreePeriod = 1 * time.Second
	// subtreeLimit is the age at which the report of a replica no longer counts.
	subtreeLimit = 3 * time.Second
	// maxCalls bounds the calls carried out or forwarded at one time.
	maxCalls = 1024
	// callTimeout is used for a call without a deadline.
	callTimeout = 5 * time.Second
)

var (
	// ErrNotLeader is wrapped by the errors of a replica that does not lead: the
	// command was certainly not proposed.
	ErrNotLeader = eris.New("this replica is not the leader")
	// ErrUnknownOutcome is wrapped by the errors of a command that may or may not
	// be committed. Sending it again with its request id returns its outcome.
	ErrUnknownOutcome = eris.New("the outcome is not known")
	// ErrRejected is wrapped by the errors of calls that were certainly not
	// carried out.
	ErrRejected = eris.New("the call was rejected")
)

// Status is a replica's view of the log.
type Status struct {
	ID      string   `json:"id"`
	Term    uint64   `json:"term"`
	Leader  string   `json:"leader"` // process name, empty when none is known
	Leading bool     `json:"leading"`
	Role    string   `json:"role"`
	Commit  uint64   `json:"commit"`
	Applied uint64   `json:"applied"`
	Members []string `json:"members"`
}

// Log is the replicated log. Errors wrap ErrNotLeader or ErrUnknownOutcome.
type Log interface {
	// Propose returns the result of applying a command, and its index.
	Propose(ctx context.Context, command []byte) (result any, index uint64, err error)
	// Confirm returns an index that a quorum confirmed after Confirm began.
	Confirm(ctx context.Context) (term, index uint64, err error)
	Status() Status
}

// Options configures a Control.
type Options struct {
	Name    string
	Log     Log
	Machine *Machine
	// Peers names the other control replicas.
	Peers []string
	// Peer returns the connection that this process dialled to a replica.
	Peer func(name string) (propagate.Peer, bool)
	// OperatorToken is the bearer token of the administration API; without it
	// the API is open.
	OperatorToken string
	// ChangeMembers changes the membership of the log, on the leader.
	ChangeMembers func(ctx context.Context, change MemberChange) error
	// HostsURL is the platform's host list, empty when there is none.
	HostsURL string
	// HostsPeriod is the time between two readings of it; 0 means 500 ms.
	HostsPeriod time.Duration
	System      *duty.System      // optional
	Observer    *observe.Observer // optional
	// CallTimeout bounds a request of the administration API; 0 means 5 s.
	CallTimeout time.Duration
}

// Handler carries out a call on the leader. Its errors wrap ErrNotLeader,
// ErrUnknownOutcome or a context error; any other error means that nothing was
// carried out.
type Handler func(ctx context.Context, body []byte) ([]byte, error)

// Control is the control role of a process. It implements link.Events for Kinds.
type Control struct {
	o      Options
	parent *propagate.Parent
	calls  *propagate.Calls
	slots  chan struct{}
	admin  *admin

	mu        sync.Mutex
	handlers  map[string]Handler
	listeners []func(leading bool, term uint64)
	leading   bool
	term      uint64
	subtrees  map[string]subtree

	done context.Context
	stop context.CancelFunc
	wg   sync.WaitGroup
}

type subtree struct {
	counts []wire.VersionCount
	at     time.Time
}

// Kinds are the kinds of messages that a Control handles.
var Kinds = []wire.Kind{wire.KindSubscribe, wire.KindHolding, wire.KindCall, wire.KindReply, wire.KindSubtree}

// New starts the control role.
func New(o Options) *Control {
	if o.CallTimeout == 0 {
		o.CallTimeout = callTimeout
	}
	if o.HostsPeriod == 0 {
		o.HostsPeriod = hostsPeriod
	}
	done, stop := context.WithCancel(context.Background())
	c := &Control{
		o:        o,
		calls:    propagate.NewCalls(),
		slots:    make(chan struct{}, maxCalls),
		handlers: make(map[string]Handler),
		subtrees: make(map[string]subtree),
		done:     done,
		stop:     stop,
	}
	c.parent = propagate.NewParent(propagate.ParentOptions{System: o.System, Fresh: c.fresh})
	o.Machine.OnWorld(c.parent.Publish)
	c.admin = newAdmin(c)
	c.HandleCall("barrier", c.barrier)
	c.HandleCall("weights.publish", c.publishWeights)
	c.HandleCall("admin", c.admin.serveCall)
	c.run(leaderPoll, c.pollLeader)
	c.run(subtreePeriod, c.reportSubtree)
	c.startHosts()
	c.observe()
	return c
}

// Stop ends the control role.
func (c *Control) Stop() {
	c.stop()
	c.wg.Wait()
	c.parent.Stop()
	c.calls.Stop()
}

// run calls f each period until Stop.
func (c *Control) run(period time.Duration, f func()) {
	c.wg.Add(1)
	go func() {
		defer c.wg.Done()
		ticker := time.NewTicker(period)
		defer ticker.Stop()
		for {
			select {
			case <-ticker.C:
				f()
			case <-c.done.Done():
				return
			}
		}
	}()
}

// fresh reports whether this replica has contact to a leader.
func (c *Control) fresh() bool { return c.o.Log.Status().Leader != "" }

// Propose commits a command for a slice and returns its result. A request id that
// was committed before returns the first result. Errors wrap ErrNotLeader or
// ErrUnknownOutcome.
func (c *Control) Propose(ctx context.Context, slice, requestID string, body []byte) (result any, err error) {
	raw, err := wire.Marshal(&command{
		Slice:     slice,
		RequestID: requestID,
		Body:      body,
		TimeMs:    time.Now().UnixMilli(),
	})
	if err != nil {
		return nil, err
	}
	result, _, err = c.o.Log.Propose(ctx, raw)
	return result, err
}

// Confirm waits until the applied state contains everything that was committed
// when Confirm was called. Errors wrap ErrNotLeader or a context error.
func (c *Control) Confirm(ctx context.Context) (term uint64, err error) {
	term, index, err := c.o.Log.Confirm(ctx)
	if err != nil {
		return 0, err
	}
	for {
		progress := c.o.Machine.wait()
		if c.o.Log.Status().Applied >= index || c.o.Machine.Applied() >= index {
			return term, nil
		}
		select {
		case <-progress:
		case <-time.After(retryPeriod):
		case <-ctx.Done():
			return 0, ctx.Err()
		}
	}
}

// HandleCall makes h carry out the calls of a method. It runs on the leader only.
func (c *Control) HandleCall(method string, h Handler) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.handlers[method] = h
}

func (c *Control) handler(method string) Handler {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.handlers[method]
}

// OnLeader calls f when this replica begins or ceases to lead, and when it leads
// in another term.
func (c *Control) OnLeader(f func(leading bool, term uint64)) {
	c.mu.Lock()
	c.listeners = append(c.listeners, f)
	leading, term := c.leading, c.term
	c.mu.Unlock()
	if leading {
		f(true, term)
	}
}

func (c *Control) pollLeader() {
	st := c.o.Log.Status()
	c.mu.Lock()
	changed := st.Leading != c.leading || (st.Leading && st.Term != c.term)
	c.leading, c.term = st.Leading, st.Term
	listeners := c.listeners
	c.mu.Unlock()
	if !changed {
		return
	}
	for _, f := range listeners {
		f(st.Leading, st.Term)
	}
}

// Parent returns the parent that this replica's subscribers follow.
func (c *Control) Parent() *propagate.Parent { return c.parent }

// Up implements link.Events.
func (c *Control) Up(*link.Conn) {}

// Message implements link.Events.
func (c *Control) Message(conn *link.Conn, m wire.Message) { c.Receive(conn, m) }

// Down implements link.Events.
func (c *Control) Down(conn *link.Conn, _ error) { c.Lost(conn) }

// Receive handles a message of another process.
func (c *Control) Receive(peer propagate.Peer, msg wire.Message) {
	switch m := msg.(type) {
	case *wire.Subscribe, *wire.Holding:
		c.parent.Receive(peer, m)
	case *wire.Reply:
		c.calls.Answer(m)
	case *wire.Call:
		c.receiveCall(peer, m)
	case *wire.Subtree:
		c.receiveSubtree(peer.Peer().Process, m)
	}
}

func (c *Control) receiveSubtree(from string, m *wire.Subtree) {
	if !slices.Contains(c.o.Peers, from) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.subtrees[from] = subtree{counts: m.Counts, at: time.Now()}
}

// Lost handles the end of a connection.
func (c *Control) Lost(peer propagate.Peer) {
	c.calls.Lost(peer)
	c.parent.Lost(peer)
}

// reportSubtree tells the leader what the subscribers of this replica hold.
func (c *Control) reportSubtree() {
	st := c.o.Log.Status()
	if st.Leading || st.Leader == "" {
		return
	}
	if peer, ok := c.o.Peer(st.Leader); ok {
		_ = peer.Send(&wire.Subtree{Counts: c.parent.Counts()})
	}
}

// Holdings returns how many subscribers hold each configuration version, summed
// over all control replicas when this one leads.
func (c *Control) Holdings() []wire.VersionCount {
	lists := [][]wire.VersionCount{c.parent.Counts()}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, s := range c.subtrees {
		if time.Since(s.at) <= subtreeLimit {
			lists = append(lists, s.counts)
		}
	}
	return propagate.SumCounts(lists...)
}
