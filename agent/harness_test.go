package agent

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"merlinhall/actor"
	"merlinhall/link"
	"merlinhall/loopback"
	"merlinhall/standin"
	"merlinhall/wire"
)

const testWait = 20 * time.Second

// client is the entry side of a link.
type client struct {
	t    testing.TB
	conn *link.Conn

	mu      sync.Mutex
	chunks  map[string][]*wire.Chunk
	refused map[string]*wire.Refused
	revoked map[string]*wire.Revoked
	loads   []*wire.Load
	changed chan struct{}
	lost    *link.Conn // the last link that has ended
	// lostReason is why lost has ended.
	lostReason error
	// credit is the number of chunks granted beyond each received one; 0 grants none.
	credit uint64
}

func (c *client) Up(*link.Conn) {}

// Down notes that the link has ended.
func (c *client) Down(l *link.Conn, reason error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lost, c.lostReason = l, reason
}

func (c *client) Message(l *link.Conn, m wire.Message) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch m := m.(type) {
	case *wire.Chunk:
		c.chunks[m.ID] = append(c.chunks[m.ID], m)
		if c.credit > 0 {
			_ = l.Send(&wire.Credit{ID: m.ID, Confirmed: m.Sequence + 1, Limit: m.Sequence + 1 + c.credit})
		}
	case *wire.Refused:
		c.refused[m.ID] = m
	case *wire.Revoked:
		c.revoked[m.ID] = m
	case *wire.Load:
		c.loads = append(c.loads, m)
	}
	close(c.changed)
	c.changed = make(chan struct{})
}

// until waits for a condition on the received messages.
func (c *client) until(what string, cond func() bool) {
	c.t.Helper()
	limit := time.After(testWait)
	for {
		c.mu.Lock()
		ok, changed := cond(), c.changed
		c.mu.Unlock()
		if ok {
			return
		}
		select {
		case <-changed:
		case <-limit:
			c.mu.Lock()
			defer c.mu.Unlock()
			c.t.Fatalf("timed out waiting for %s (link lost: %v, %v)", what, c.lost == c.conn, c.lostReason)
		}
	}
}

// answer waits for the end of a request and returns its chunks.
func (c *client) answer(id string) []*wire.Chunk {
	c.t.Helper()
	var out []*wire.Chunk
	c.until("answer of "+id, func() bool {
		out = c.chunks[id]
		return len(out) > 0 && out[len(out)-1].End != ""
	})
	return out
}

func (c *client) send(m wire.Message) {
	c.t.Helper()
	if err := c.conn.Send(m); err != nil {
		c.t.Fatal(err)
	}
}

// testAgent is an agent with its target and link listener.
type testAgent struct {
	t      testing.TB
	agent  *Agent
	target *httptest.Server
	links  *httptest.Server
	index  uint64
}

func address(s *httptest.Server) string { return strings.TrimPrefix(s.URL, "http://") }

// startAgent starts an agent with its own link listener.
func startAgent(t testing.TB, o Options) (*Agent, *httptest.Server) {
	o.Local.Roles = []wire.Role{wire.RoleAgent}
	o.Barrier = func(context.Context) (uint64, uint64, error) { return 1, 1, nil }
	if o.System == nil {
		o.System = actor.NewSystem()
	}
	agent, err := Start(o)
	if err != nil {
		t.Fatal(err)
	}
	mux := &link.Mux{}
	mux.Handle(agent, MessageKinds...)
	links := httptest.NewServer(link.Accept(o.Local, mux))
	t.Cleanup(func() {
		agent.Stop()
		links.CloseClientConnections()
		links.Close()
	})
	return agent, links
}

// startTarget serves a stand-in over HTTP.
func startTarget(t testing.TB, handler http.Handler) *httptest.Server {
	t.Helper()
	// A test closes the listener and listens on its port again.
	srv := &httptest.Server{Listener: loopback.Listen(t), Config: &http.Server{Handler: handler}}
	srv.Start()
	t.Cleanup(func() {
		srv.CloseClientConnections()
		srv.Close()
	})
	return srv
}

// startTestAgent starts an agent whose target is served by the handler.
func startTestAgent(t testing.TB, kind string, handler http.Handler, change func(*Options)) *testAgent {
	s := &testAgent{t: t, target: startTarget(t, handler)}
	local := wire.Hello{Process: "agent-1", Zone: "bole", Boot: "boot-1", Target: "target-1"}
	o := Options{Local: local, Kind: kind, Address: address(s.target)}
	if change != nil {
		change(&o)
	}
	s.agent, s.links = startAgent(t, o)
	return s
}

// dial returns a client with a link to the agent.
func (s *testAgent) dial() *client {
	s.t.Helper()
	c := &client{
		t: s.t, chunks: make(map[string][]*wire.Chunk), refused: make(map[string]*wire.Refused),
		revoked: make(map[string]*wire.Revoked), changed: make(chan struct{}), credit: Window,
	}
	s.connect(c)
	return c
}

// dialRegistered is like dial, but waits until the agent has registered the link, so
// that later links get higher ids. The agent reports its load on each new link.
func (s *testAgent) dialRegistered() *client {
	s.t.Helper()
	c := s.dial()
	c.until("report on the new link", func() bool { return len(c.loads) > 0 })
	return c
}

// connect opens a new link to the agent for c. Like an entry it dials again if that fails.
func (s *testAgent) connect(c *client) {
	s.t.Helper()
	hello := wire.Hello{Process: "entry-1", Zone: "bole", Roles: []wire.Role{wire.RoleEntry}, Boot: "e"}
	until := time.Now().Add(testWait)
	conn, err := link.Dial(s.t.Context(), link.NewHTTPClient(nil), "ws", address(s.links), hello, c)
	for err != nil && time.Now().Before(until) {
		s.t.Logf("dialling again: %v", err)
		conn, err = link.Dial(s.t.Context(), link.NewHTTPClient(nil), "ws", address(s.links), hello, c)
	}
	if err != nil {
		s.t.Fatal(err)
	}
	c.conn = conn
	s.t.Cleanup(func() { conn.Close(link.ErrClosed) })
}

// configText returns a configuration with a pool and a service, one of which has
// the agent's target.
func (s *testAgent) configText(idle string) string {
	return fmt.Sprintf(`
[[zone]]
name = "bole"
region = "addis"

[[service]]
name = "approve-app"
deadline = "20s"
idle_timeout = "%[1]s"
  [[service.target]]
  name = "%[2]s"
  zone = "bole"
  agent = "127.0.0.1:1"
  address = "%[4]s"

[[pool]]
name = "policy-lm"
deadline = "20s"
idle_timeout = "%[1]s"
  [[pool.target]]
  name = "%[3]s"
  zone = "bole"
  agent = "127.0.0.1:3"
  address = "%[4]s"
`, idle, s.targetName(KindService), s.targetName(KindEngine), address(s.target))
}

func (s *testAgent) targetName(kind string) string {
	if s.agent.opts.Kind == kind {
		return "target-1"
	}
	return "other"
}

// publishState passes the agent a cluster state that orders the weight version; 0
// orders none.
func (s *testAgent) publishState(idle string, weights uint64, departures ...wire.Departure) *wire.ClusterState {
	s.index++
	text := []byte(s.configText(idle))
	w := &wire.ClusterState{Index: s.index, Term: 1, ConfigVersion: 1, ConfigText: text, Departures: departures}
	if weights > 0 {
		w.Weights = []wire.WeightTarget{{Pool: "policy-lm", Version: weights, Fence: wire.Fence{Term: 1, Sequence: s.index}}}
	}
	s.agent.OnClusterState(w)
	return w
}

func generation(id, prompt string, tokens int) *wire.Run {
	return &wire.Run{
		ID: id, Service: "policy-lm", Deadline: time.Now().Add(testWait).UnixMilli(), Idempotent: true,
		ConfigVersion: 1, Generation: &wire.Generation{Prompt: prompt, MaxTokens: tokens}, Credit: Window,
	}
}

func call(id, method, path, body string) *wire.Run {
	return &wire.Run{
		ID: id, Service: "approve-app", Method: method, Path: path,
		Headers: []wire.Header{{Name: standin.HeaderCallID, Value: "call-" + id}}, Body: []byte(body),
		Deadline: time.Now().Add(testWait).UnixMilli(), ConfigVersion: 1, Credit: Window,
	}
}

func tokens(chunks []*wire.Chunk) []string {
	var out []string
	for _, c := range chunks {
		for _, t := range c.Tokens {
			out = append(out, t.Text)
		}
	}
	return out
}

func data(chunks []*wire.Chunk) string {
	var b strings.Builder
	for _, c := range chunks {
		b.Write(c.Data)
	}
	return b.String()
}

// eventually polls until the condition holds.
func eventually(t testing.TB, what string, cond func() bool) {
	t.Helper()
	limit := time.Now().Add(testWait)
	for !cond() {
		if time.Now().After(limit) {
			t.Fatalf("timed out waiting for %s", what)
		}
		time.Sleep(2 * time.Millisecond)
	}
}
