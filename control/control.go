package control

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"merlinhall/actor"
	"merlinhall/link"
	"merlinhall/observe"
	"merlinhall/propagate"
	"merlinhall/wire"
)

const (
	// leaderPollPeriod is the time between checks for a change of leader.
	leaderPollPeriod = 50 * time.Millisecond
	// retryPeriod is the delay before a call is retried when no leader was found.
	retryPeriod = 50 * time.Millisecond
	// subtreeReportPeriod is the time between a follower's reports of its subscribers
	// to the leader.
	subtreeReportPeriod = 1 * time.Second
	// subtreeReportMaxAge is the age above which a replica's report is ignored.
	subtreeReportMaxAge = 3 * time.Second
	// maxCalls bounds the calls executed or forwarded concurrently.
	maxCalls = 1024
	// leaderlessLimit is the time without a leader after which this replica is probably cut
	// off: an election takes less. A call then waits for a leader for leaderlessWait only,
	// so that its sender can try another replica.
	leaderlessLimit = 2 * time.Second
	leaderlessWait  = 200 * time.Millisecond
	// callTimeout is the default timeout of a call without a deadline.
	callTimeout = 5 * time.Second
)

var (
	// ErrNotLeader is wrapped by the errors of a replica that is not the leader. The
	// command was not proposed.
	ErrNotLeader = eris.New("this replica is not the leader")
	// ErrUnknownOutcome is wrapped by the errors of a command that may or may not
	// be committed. Resending it with the same request id returns its outcome.
	ErrUnknownOutcome = eris.New("the outcome is not known")
	// ErrRejected is wrapped by the errors of calls that were not executed.
	ErrRejected = eris.New("the call was rejected")
)

// Status is a replica's view of the replicated log.
type Status struct {
	ID      string   `json:"id"`
	Term    uint64   `json:"term"`
	Leader  string   `json:"leader"` // process name, empty if no leader is known
	Leading bool     `json:"leading"`
	Role    string   `json:"role"`
	Commit  uint64   `json:"commit"`
	Applied uint64   `json:"applied"`
	Members []string `json:"members"`
}

// Log is the replicated log. Errors wrap ErrNotLeader or ErrUnknownOutcome.
type Log interface {
	// Propose commits a command and returns the result of applying it and its index.
	Propose(ctx context.Context, command []byte) (result any, index uint64, err error)
	// Confirm returns the term and a commit index that a quorum confirmed after
	// Confirm was called. Reading the state applied up to that index is linearizable.
	Confirm(ctx context.Context) (term, index uint64, err error)
	Status() Status
}

// Options configures a Control.
type Options struct {
	Name    string
	Log     Log
	Machine *StateMachine
	// Peers names the other control replicas.
	Peers []string
	// Peer returns this process's outgoing connection to a replica.
	Peer func(name string) (propagate.Peer, bool)
	// OperatorToken is the bearer token of the administration API. If empty, the API
	// requires no token.
	OperatorToken string
	// Levels returns the levels of all control processes that are members of the group or
	// have a link.
	Levels func() []ProcessLevel
	// ChangeMembers changes the membership of the log. It is called on the leader.
	ChangeMembers func(ctx context.Context, change MemberChange) error
	// HostsURL is the URL of the platform's host list, empty if there is none.
	HostsURL string
	// HostsPeriod is the polling period of the host list. 0 means 500 ms.
	HostsPeriod time.Duration
	System      *actor.System     // optional
	Observer    *observe.Observer // optional
	// CallTimeout is the timeout of an administration API request. 0 means 5 s.
	CallTimeout time.Duration
}

// Handler executes a call on the leader. An error that wraps neither ErrNotLeader,
// ErrUnknownOutcome nor a context error means that the call was not executed.
type Handler func(ctx context.Context, body []byte) ([]byte, error)

// Control runs the control role of a process. It implements link.Events for Kinds.
type Control struct {
	options   Options
	parent    *propagate.Parent
	calls     *propagate.Calls
	callSlots chan struct{}
	guard     *observe.Guard // of calls; nil without an observer
	admin     *adminAPI
	leader    propagate.Leader // as of the last check

	mu        sync.Mutex
	handlers  map[string]Handler
	listeners []func(leading bool, term uint64)
	leading   bool
	term      uint64
	leaderAt  time.Time // when a leader was known last, or the start
	subtrees  map[string]subtreeReport

	runCtx context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup
}

type subtreeReport struct {
	counts []wire.VersionCount
	at     time.Time
}

// Kinds lists the message kinds that a Control handles.
var Kinds = []wire.Kind{wire.KindSubscribe, wire.KindVersionReport, wire.KindCall, wire.KindReply, wire.KindReplicaVersionReport}

// New starts the control role.
func New(o Options) *Control {
	if o.CallTimeout == 0 {
		o.CallTimeout = callTimeout
	}
	if o.HostsPeriod == 0 {
		o.HostsPeriod = hostListPeriod
	}
	runCtx, cancel := context.WithCancel(context.Background())
	c := &Control{
		options:   o,
		calls:     propagate.NewCalls(),
		callSlots: make(chan struct{}, maxCalls),
		handlers:  make(map[string]Handler),
		subtrees:  make(map[string]subtreeReport),
		leaderAt:  time.Now(),
		runCtx:    runCtx,
		cancel:    cancel,
	}
	c.parent = propagate.NewParent(propagate.ParentOptions{System: o.System, Fresh: c.hasLeader})
	o.Machine.OnClusterState(c.parent.Publish)
	c.admin = newAdmin(c)
	c.HandleCall("barrier", c.barrier)
	c.HandleCall("weights.publish", c.publishWeights)
	c.HandleCall(adminMethod, c.admin.serveCall)
	c.runEvery(leaderPollPeriod, c.pollLeader)
	c.runEvery(subtreeReportPeriod, c.reportSubtree)
	if o.Levels != nil {
		c.runEvery(levelPeriod, c.raiseLevel)
	}
	c.startHostReconciler()
	c.observe()
	return c
}

// Stop stops the control role and waits for its goroutines.
func (c *Control) Stop() {
	c.cancel()
	c.wg.Wait()
	c.parent.Stop()
	c.calls.Stop()
}

// runEvery starts a goroutine that calls f every period until Stop.
func (c *Control) runEvery(period time.Duration, f func()) {
	c.wg.Add(1)
	go func() {
		defer c.wg.Done()
		ticker := time.NewTicker(period)
		defer ticker.Stop()
		for {
			select {
			case <-ticker.C:
				f()
			case <-c.runCtx.Done():
				return
			}
		}
	}()
}

// hasLeader reports whether this replica knows a leader.
func (c *Control) hasLeader() bool { return c.options.Log.Status().Leader != "" }

// Propose commits a command for a slice and returns its result. If the request id was
// committed before, it returns the first result. Errors wrap ErrNotLeader,
// ErrUnknownOutcome or ErrLevelNotInForce.
func (c *Control) Propose(ctx context.Context, slice, requestID string, body []byte) (result any, err error) {
	level, err := c.options.Machine.commandLevel(slice)
	if err != nil {
		return nil, err
	}
	raw, err := wire.Marshal(&command{
		Slice:     slice,
		RequestID: requestID,
		Body:      body,
		TimeMs:    time.Now().UnixMilli(),
		Level:     level,
	})
	if err != nil {
		return nil, err
	}
	result, _, err = c.options.Log.Propose(ctx, raw)
	return result, err
}

// Commit commits a command without a request id. Errors are those of Propose, or the result
// of the command if it is an error.
func (c *Control) Commit(ctx context.Context, slice string, body []byte) error {
	result, err := c.Propose(ctx, slice, "", body)
	if err != nil {
		return err
	}
	if refused, ok := result.(error); ok {
		return refused
	}
	return nil
}

// Confirm waits until every command that was committed when Confirm was called has
// been applied, so that reads that follow are linearizable. Errors wrap ErrNotLeader
// or a context error.
func (c *Control) Confirm(ctx context.Context) (term uint64, err error) {
	term, index, err := c.options.Log.Confirm(ctx)
	if err != nil {
		return 0, err
	}
	for {
		progress := c.options.Machine.nextChange()
		if c.options.Log.Status().Applied >= index || c.options.Machine.Applied() >= index {
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

// HandleCall registers the handler of a method. Handlers run on the leader only.
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

// OnLeader registers f to be called when this replica becomes leader, stops being
// leader, or is leader in a new term. If it is leader now, f is called immediately.
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
	st := c.options.Log.Status()
	c.mu.Lock()
	changed := st.Leading != c.leading || (st.Leading && st.Term != c.term)
	c.leading, c.term = st.Leading, st.Term
	if st.Leader != "" {
		c.leaderAt = time.Now()
	}
	listeners := c.listeners
	c.mu.Unlock()
	c.leader.Set(st.Leader)
	if !changed {
		return
	}
	for _, f := range listeners {
		f(st.Leading, st.Term)
	}
}

// cutOff reports whether a call that began at the given time must not wait any longer,
// because this replica has not known a leader for leaderlessLimit.
func (c *Control) cutOff(now, began time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return now.Sub(c.leaderAt) > leaderlessLimit && now.Sub(began) > leaderlessWait
}

// Parent returns the propagation parent that serves this replica's subscribers.
func (c *Control) Parent() *propagate.Parent { return c.parent }

// Up implements link.Events.
func (c *Control) Up(*link.Conn) {}

// Message implements link.Events.
func (c *Control) Message(conn *link.Conn, m wire.Message) { c.Receive(conn, m) }

// Down implements link.Events.
func (c *Control) Down(conn *link.Conn, _ error) { c.Lost(conn) }

// Receive handles a message from another process.
func (c *Control) Receive(peer propagate.Peer, msg wire.Message) {
	switch m := msg.(type) {
	case *wire.Subscribe, *wire.VersionReport:
		c.parent.Receive(peer, m)
	case *wire.Reply:
		c.calls.Answer(peer, m)
	case *wire.Call:
		c.receiveCall(peer, m)
	case *wire.ReplicaVersionReport:
		c.receiveSubtree(peer.Peer().Process, m)
	}
}

func (c *Control) receiveSubtree(from string, m *wire.ReplicaVersionReport) {
	if !slices.Contains(c.options.Peers, from) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.subtrees[from] = subtreeReport{counts: m.Counts, at: time.Now()}
}

// Lost handles the loss of a connection.
func (c *Control) Lost(peer propagate.Peer) {
	c.calls.Lost(peer)
	c.parent.Lost(peer)
}

// reportSubtree reports to the leader the configuration versions of this replica's
// subscribers.
func (c *Control) reportSubtree() {
	st := c.options.Log.Status()
	if st.Leading || st.Leader == "" {
		return
	}
	if peer, ok := c.options.Peer(st.Leader); ok {
		_ = peer.Send(&wire.ReplicaVersionReport{Counts: c.parent.Counts()})
	}
}

// SubscriberVersions returns the number of subscribers at each configuration version.
// On the leader it includes the subscribers of all control replicas.
func (c *Control) SubscriberVersions() []wire.VersionCount {
	lists := [][]wire.VersionCount{c.parent.Counts()}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, s := range c.subtrees {
		if time.Since(s.at) <= subtreeReportMaxAge {
			lists = append(lists, s.counts)
		}
	}
	return propagate.SumCounts(lists...)
}
