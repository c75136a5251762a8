package entry

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"merlinhall/link"
	"merlinhall/wire"
)

// fakeRun is a request at a fakeAgent.
type fakeRun struct {
	run     *wire.Run
	chunks  []*wire.Chunk
	sent    uint64
	limit   uint64
	started bool
	revoked bool
	cancel  context.CancelFunc
	conn    *link.Conn
}

type answerFunc = func(ctx context.Context, r *wire.Run, emit func(wire.Chunk))

// fakeAgent is an in-memory implementation of the agent's side of the request
// protocol, behind a relay that can be silenced or cut.
type fakeAgent struct {
	t       testing.TB
	target  string
	service bool // serves "svc", otherwise the pool "lm"
	version uint64
	relay   *relay
	server  *httptest.Server
	// answer produces the chunks of a request; it returns early when ctx ends.
	answer answerFunc
	// refusal returns the refusal of a Run whose id is not in the table, or nil to
	// accept it.
	refusal func(r *wire.Run) *wire.Refused
	// transform returns the frames to send to the entry for one chunk.
	transform func(c *wire.Chunk) []*wire.Chunk
	revokes   atomic.Int64
	hold      atomic.Bool // Run is accepted but not started

	mu      sync.Mutex
	boot    string
	boots   int
	table   map[string]*fakeRun
	conns   map[*link.Conn]bool
	runs    int // started
	cancels []string
}

func newFakeAgent(t testing.TB, target string) *fakeAgent {
	a := &fakeAgent{t: t, target: target, version: 1, answer: echoAnswer}
	a.reset()
	a.serve()
	a.relay = newRelay(t, func() string { a.mu.Lock(); defer a.mu.Unlock(); return a.server.Listener.Addr().String() })
	t.Cleanup(func() { a.relay.cut(); a.closeConns(); a.server.Close() })
	return a
}

func (a *fakeAgent) reset() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.boots++
	a.boot = fmt.Sprintf("%s-boot-%d", a.target, a.boots)
	for _, r := range a.table {
		if r.cancel != nil {
			r.cancel()
		}
	}
	a.table = make(map[string]*fakeRun)
	a.conns = make(map[*link.Conn]bool)
}

func (a *fakeAgent) serve() {
	a.mu.Lock()
	defer a.mu.Unlock()
	hello := wire.Hello{Process: "agent-" + a.target, Roles: []wire.Role{wire.RoleAgent}, Boot: a.boot, Target: a.target}
	mux := http.NewServeMux()
	mux.Handle(link.Path, link.Accept(hello, &fakeSession{a, a.boot}))
	a.server = httptest.NewServer(mux)
}

// crash discards the table and all connections. After restart the agent has a new
// boot id.
func (a *fakeAgent) crash() {
	a.relay.refuse.Store(true)
	a.relay.cut()
	a.closeConns()
	a.reset()
}

func (a *fakeAgent) restart() {
	a.server.Close()
	a.serve()
	a.relay.refuse.Store(false)
}

func (a *fakeAgent) closeConns() {
	a.mu.Lock()
	defer a.mu.Unlock()
	for c := range a.conns {
		go c.Close(link.ErrClosed)
	}
}

// fakeSession handles the links of one boot of the agent.
type fakeSession struct {
	a    *fakeAgent
	boot string
}

func (s *fakeSession) Up(c *link.Conn) {
	s.a.mu.Lock()
	defer s.a.mu.Unlock()
	s.a.conns[c] = true
}

func (s *fakeSession) Down(c *link.Conn, _ error) {
	s.a.mu.Lock()
	defer s.a.mu.Unlock()
	delete(s.a.conns, c)
}

func (s *fakeSession) Message(c *link.Conn, m wire.Message) {
	a := s.a
	a.mu.Lock()
	defer a.mu.Unlock()
	if s.boot != a.boot {
		return
	}
	switch m := m.(type) {
	case *wire.Run:
		a.onRun(c, m)
	case *wire.Attach:
		a.onAttach(c, m)
	case *wire.Credit:
		if r := a.table[m.ID]; r != nil {
			r.limit = max(r.limit, m.Limit)
			a.flush(r)
		}
	case *wire.Cancel:
		a.cancels = append(a.cancels, m.ID)
		if r := a.table[m.ID]; r != nil && r.cancel != nil {
			r.cancel()
		}
	case *wire.Revoke:
		a.onRevoke(c, m)
	}
}

func (a *fakeAgent) refuse(c *link.Conn, id string, reason wire.RefusedReason) {
	_ = c.Send(&wire.Refused{ID: id, Reason: reason, Boot: a.boot})
}

func (a *fakeAgent) onRun(c *link.Conn, m *wire.Run) {
	r := a.table[m.ID]
	if r == nil && time.Now().UnixMilli() > m.Deadline {
		a.refuse(c, m.ID, wire.RefusedDeadline)
		return
	}
	if r == nil && a.refusal != nil {
		if refused := a.refusal(m); refused != nil {
			refused.ID, refused.Boot = m.ID, a.boot
			_ = c.Send(refused)
			return
		}
	}
	if r == nil {
		r = &fakeRun{run: m}
		a.table[m.ID] = r
	}
	if r.revoked {
		a.refuse(c, m.ID, wire.RefusedRevoked)
		return
	}
	r.conn, r.sent, r.limit = c, 0, max(r.limit, uint64(m.Credit))
	a.start(r)
	a.flush(r)
}

func (a *fakeAgent) start(r *fakeRun) {
	if r.started || r.revoked || a.hold.Load() {
		return
	}
	r.started = true
	a.runs++
	ctx, cancel := context.WithDeadline(context.Background(), time.UnixMilli(r.run.Deadline))
	r.cancel = cancel
	boot, answer := a.boot, a.answer
	go func() {
		answer(ctx, r.run, func(c wire.Chunk) {
			a.mu.Lock()
			defer a.mu.Unlock()
			if a.boot != boot {
				return
			}
			c.ID, c.Sequence, c.Boot = r.run.ID, uint64(len(r.chunks)), boot
			r.chunks = append(r.chunks, &c)
			a.flush(r)
		})
		cancel()
	}()
}

func baseID(id string) string {
	base, _, _ := strings.Cut(id, ".")
	return base
}

func (a *fakeAgent) flush(r *fakeRun) {
	for r.conn != nil && r.sent < min(uint64(len(r.chunks)), r.limit) {
		frames := []*wire.Chunk{r.chunks[r.sent]}
		r.sent++
		if a.transform != nil {
			frames = a.transform(frames[0])
		}
		for _, f := range frames {
			_ = r.conn.Send(f)
		}
	}
}

func (a *fakeAgent) onAttach(c *link.Conn, m *wire.Attach) {
	r := a.table[m.ID]
	if r == nil {
		a.table[m.ID] = &fakeRun{run: &wire.Run{ID: m.ID}, revoked: true}
		a.refuse(c, m.ID, wire.RefusedUnknownID)
		return
	}
	if r.revoked {
		a.refuse(c, m.ID, wire.RefusedRevoked)
		return
	}
	r.conn, r.sent, r.limit = c, m.From, max(r.limit, m.From+uint64(m.Credit))
	a.flush(r)
}

func (a *fakeAgent) onRevoke(c *link.Conn, m *wire.Revoke) {
	r := a.table[m.ID]
	outcome := wire.RevokeRunning
	if r == nil || !r.started {
		outcome = wire.RevokeNotStarted
		a.table[m.ID] = &fakeRun{run: &wire.Run{ID: m.ID}, revoked: true}
	} else if n := len(r.chunks); n > 0 && r.chunks[n-1].End != "" {
		outcome = wire.RevokeFinished
	}
	a.revokes.Add(1)
	_ = c.Send(&wire.Revoked{ID: m.ID, Outcome: outcome, Boot: a.boot})
}

// release starts the requests held back by hold.
func (a *fakeAgent) release() {
	a.hold.Store(false)
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, r := range a.table {
		a.start(r)
	}
}

// report sends a load report on all links.
func (a *fakeAgent) report(l wire.Load) {
	a.mu.Lock()
	defer a.mu.Unlock()
	l.Target, l.Boot = a.target, a.boot
	for c := range a.conns {
		_ = c.Send(&l)
	}
}

// echoAnswer answers a call with its body, and a generation with tokens that depend
// only on the prompt and the index.
func echoAnswer(_ context.Context, r *wire.Run, emit func(wire.Chunk)) {
	if g := r.Generation; g != nil {
		for i := len(g.Prefix); i < g.MaxTokens; i++ {
			emit(wire.Chunk{Tokens: []wire.Token{{Text: fakeToken(g.Prompt, i), Version: 1}}})
		}
		emit(wire.Chunk{End: wire.EndComplete})
		return
	}
	emit(wire.Chunk{Status: http.StatusOK, Headers: []wire.Header{{Name: "Content-Type", Value: "text/plain"}}})
	emit(wire.Chunk{Data: r.Body})
	emit(wire.Chunk{End: wire.EndComplete})
}

func fakeToken(prompt string, index int) string { return fmt.Sprintf("%s/%d ", prompt, index) }

// locked runs f with a.mu held.
func locked[T any](a *fakeAgent, f func() T) T {
	a.mu.Lock()
	defer a.mu.Unlock()
	return f()
}

func (a *fakeAgent) known() int     { return locked(a, func() int { return len(a.table) }) }
func (a *fakeAgent) cancelled() int { return locked(a, func() int { return len(a.cancels) }) }
func (a *fakeAgent) links() int     { return locked(a, func() int { return len(a.conns) }) }
func (a *fakeAgent) total() int     { return locked(a, func() int { return a.runs }) }

// sent returns the number of chunks sent for an id.
func (a *fakeAgent) sent(id string) uint64 {
	return locked(a, func() uint64 {
		if r := a.table[id]; r != nil {
			return r.sent
		}
		return 0
	})
}

// setAnswer sets the answer function of agents.
func setAnswer(answer answerFunc, agents ...*fakeAgent) {
	for _, a := range agents {
		locked(a, func() bool { a.answer = answer; return true })
	}
}

// setRefusal sets the function that may refuse new requests.
func (a *fakeAgent) setRefusal(refusal func(*wire.Run) *wire.Refused) {
	locked(a, func() bool { a.refusal = refusal; return true })
}

// relay forwards connections to an address. silence makes the open connections
// discard all data, cut closes them, and refuse makes it close new ones.
type relay struct {
	listener net.Listener
	target   func() string
	refuse   atomic.Bool

	mu    sync.Mutex
	pairs map[*pair]bool
}

type pair struct {
	in, out net.Conn
	silent  atomic.Bool
}

func newRelay(t testing.TB, target func() string) *relay {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r := &relay{listener: l, target: target, pairs: make(map[*pair]bool)}
	t.Cleanup(func() { _ = l.Close() })
	go r.loop()
	return r
}

func (r *relay) address() string { return r.listener.Addr().String() }

func (r *relay) loop() {
	for {
		in, err := r.listener.Accept()
		if err != nil {
			return
		}
		if r.refuse.Load() {
			_ = in.Close()
			continue
		}
		out, err := net.Dial("tcp", r.target())
		if err != nil {
			_ = in.Close()
			continue
		}
		p := &pair{in: in, out: out}
		r.mu.Lock()
		r.pairs[p] = true
		r.mu.Unlock()
		go p.pump(in, out)
		go p.pump(out, in)
	}
}

func (p *pair) pump(dst, src net.Conn) {
	buf := make([]byte, 4096)
	for {
		n, err := src.Read(buf)
		if err != nil {
			_ = dst.Close()
			return
		}
		if !p.silent.Load() {
			_, _ = dst.Write(buf[:n])
		}
	}
}

func (r *relay) each(f func(*pair)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for p := range r.pairs {
		f(p)
	}
}

func (r *relay) silence() { r.each(func(p *pair) { p.silent.Store(true) }) }

func (r *relay) cut() {
	r.each(func(p *pair) { _ = p.in.Close(); _ = p.out.Close(); delete(r.pairs, p) })
}

// testbed is an entry connected to fake agents.
type testbed struct {
	t                 testing.TB
	entry             *Entry
	http              *httptest.Server
	agents            []*fakeAgent
	services, engines []*fakeAgent
	index             uint64
}

// newTestbed starts an entry that serves the service "svc" and the pool "lm", each on
// n fake agents.
func newTestbed(t testing.TB, n int, change func(*Options)) *testbed {
	t.Helper()
	s := &testbed{t: t}
	for i := range n {
		s.services = append(s.services, newFakeAgent(t, fmt.Sprintf("svc-%d", i)))
		s.services[i].service = true
		s.engines = append(s.engines, newFakeAgent(t, fmt.Sprintf("lm-%d", i)))
		s.agents = append(s.agents, s.services[i], s.engines[i])
	}
	o := Options{Name: "entry-1", Zone: "z0", Boot: "e1", Seed: 1}
	if change != nil {
		change(&o)
	}
	e, err := Start(o)
	if err != nil {
		t.Fatal(err)
	}
	s.entry = e
	s.http = httptest.NewServer(e.Handler())
	t.Cleanup(func() { s.http.CloseClientConnections(); s.entry.Stop(); s.http.Close() })
	s.publishConfig(s.agents...)
	s.waitLinks(2 * n)
	return s
}

// publishConfig publishes a configuration with the given agents.
func (s *testbed) publishConfig(agents ...*fakeAgent) {
	s.publish(&wire.ClusterState{ConfigText: []byte(configText(agents, ""))})
}

func (s *testbed) publish(w *wire.ClusterState) {
	s.index++
	w.Index, w.ConfigVersion = s.index, s.index
	s.entry.OnClusterState(w)
}

// targetSpec describes a target for configOf.
type targetSpec struct {
	target         string
	service        bool
	agent, address string
}

func configText(agents []*fakeAgent, extra string) string {
	var specs []targetSpec
	for i, a := range agents {
		specs = append(specs, targetSpec{a.target, a.service, a.relay.address(), fmt.Sprintf("127.0.8.1:%d", 1000+i)})
	}
	return configOf(specs, extra)
}

func configOf(specs []targetSpec, extra string) string {
	b := "[[zone]]\nname = \"z0\"\nregion = \"r\"\n[[zone]]\nname = \"z1\"\nregion = \"r\"\n"
	for kind, name := range map[string]string{"service": "svc", "pool": "lm"} {
		b += fmt.Sprintf("[[%s]]\nname = %q\ndeadline = \"20s\"\nidle_timeout = \"2s\"\n%s\n", kind, name, extra)
		if kind == "pool" {
			b += "weight_store = \"127.0.9.1:9000\"\n"
		}
		for i, p := range specs {
			if p.service == (kind == "service") {
				b += fmt.Sprintf("[[%s.target]]\nname = %q\nzone = \"z%d\"\nagent = %q\naddress = %q\n", kind, p.target, (i/2)%2, p.agent, p.address)
			}
		}
	}
	return b
}

func (s *testbed) waitLinks(n int) {
	s.t.Helper()
	eventually(s.t, "links", func() bool { return s.entry.linksUp() >= n })
}

// eventually waits until a condition holds. Its timeout of at least 20 s is long, so
// that a slow machine does not fail the test.
func eventually(t testing.TB, what string, ok func() bool) {
	t.Helper()
	for range 4000 {
		if ok() {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Fatalf("timed out waiting for: %s", what)
}
