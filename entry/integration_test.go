package entry

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"merlinhall/actor"
	"merlinhall/agent"
	"merlinhall/link"
	"merlinhall/standin"
	"merlinhall/wire"
)

// realAgent is a real agent with a stand-in target, behind a relay.
type realAgent struct {
	t      *testing.T
	name   string
	kind   string
	target *httptest.Server
	relay  *relay

	mu    sync.Mutex
	boots int
	agent *agent.Agent
	links *httptest.Server
}

func newRealAgent(t *testing.T, name, kind string, target http.Handler) *realAgent {
	a := &realAgent{t: t, name: name, kind: kind, target: httptest.NewServer(target)}
	a.boot()
	a.relay = newRelay(t, func() string { a.mu.Lock(); defer a.mu.Unlock(); return address(a.links) })
	t.Cleanup(func() {
		a.relay.cut()
		a.stop()
		a.target.CloseClientConnections()
		a.target.Close()
	})
	return a
}

func address(s *httptest.Server) string { return strings.TrimPrefix(s.URL, "http://") }

func (a *realAgent) boot() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.boots++
	hello := wire.Hello{Process: "agent-" + a.name, Zone: "z0", Roles: []wire.Role{wire.RoleAgent}, Boot: fmt.Sprintf("%s-%d", a.name, a.boots), Target: a.name}
	started, err := agent.Start(agent.Options{
		Local: hello, Kind: a.kind, Address: address(a.target), System: actor.NewSystem(),
		Barrier: func(context.Context) (uint64, uint64, error) { return 1, 1, nil },
	})
	if err != nil {
		a.t.Error(err)
		return
	}
	mux := &link.Mux{}
	mux.Handle(started, agent.MessageKinds...)
	a.agent = started
	a.links = httptest.NewServer(link.Accept(hello, mux))
}

func (a *realAgent) stop() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.agent.Stop()
	a.links.CloseClientConnections()
}

// restart stops the agent, which loses its request table, and starts a new one.
func (a *realAgent) restart(w *wire.ClusterState) {
	a.relay.cut()
	a.stop()
	a.boot()
	a.agent.OnClusterState(w)
}

// Guards against requests that are lost, run twice or truncated between the entry and
// real agents, under crashes of targets and agents, silent connections and refusals.
// The stand-ins record which requests ran.
func TestRandomFaultsWithRealAgents(t *testing.T) {
	t.Parallel()
	requests, seed, pause := 240, uint64(11), 5
	if os.Getenv("MERLINHALL_LONG") != "" {
		// With a fault every 5 requests, a longer run exhausts the retry budget, and
		// generations then rightly end early.
		requests, seed, pause = 4000, 12, 20
	}
	rng := rand.New(rand.NewPCG(seed, 11))
	var engines, services []*realAgent
	var faulty []interface{ Inject(standin.Fault) }
	var records []interface{ Record() standin.Record }
	for i := range 3 {
		e := standin.NewEngine(standin.EngineOptions{Slots: 64, TokenPeriod: time.Millisecond, BatchSlope: 0.001, Version: 1})
		t.Cleanup(e.Close)
		s := standin.NewService(standin.ServiceOptions{Name: "svc", Work: 20 * time.Millisecond})
		faulty = append(faulty, e, s)
		records = append(records, s)
		engines = append(engines, newRealAgent(t, fmt.Sprintf("lm-%d", i), agent.KindEngine, e))
		services = append(services, newRealAgent(t, fmt.Sprintf("svc-%d", i), agent.KindService, s))
	}
	e, err := Start(Options{Name: "entry-1", Zone: "z0", Boot: "e1", Seed: 5})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(e.Stop)
	agents := append(append([]*realAgent{}, engines...), services...)
	var specs []targetSpec
	for _, a := range agents {
		specs = append(specs, targetSpec{a.name, a.kind == agent.KindService, a.relay.address(), address(a.target)})
	}
	w := &wire.ClusterState{Index: 1, Term: 1, ConfigVersion: 1, ConfigText: []byte(configOf(specs, ""))}
	e.OnClusterState(w)
	for _, a := range agents {
		a.agent.OnClusterState(w)
	}
	eventually(t, "links", func() bool { return e.linksUp() == len(agents) })

	var wg sync.WaitGroup
	outcomes := make([]Outcome, requests)
	for i := range requests {
		method := [...]string{http.MethodPost, http.MethodGet, ""}[i%3]
		wg.Go(func() { outcomes[i] = realRequest(t, e, i, method) })
		time.Sleep(time.Duration(rng.IntN(30)) * time.Millisecond)
		if i%pause != pause-1 {
			continue
		}
		switch a := agents[rng.IntN(len(agents))]; rng.IntN(8) {
		case 0:
			a.restart(w)
		case 1:
			a.relay.cut()
		case 2:
			a.relay.silence()
		default:
			kinds := []standin.FaultKind{standin.FaultCrash, standin.FaultSilent, standin.FaultRefuse, standin.FaultHang}
			faulty[rng.IntN(len(faulty))].Inject(standin.Fault{Kind: kinds[rng.IntN(len(kinds))], After: rng.IntN(40)})
		}
	}
	wg.Wait()
	checkRuns(t, records, outcomes)
}

// realRequest runs request i and checks its answer.
func realRequest(t *testing.T, e *Entry, i int, method string) Outcome {
	id := fmt.Sprintf("call-%d", i)
	var err error
	if method == "" {
		var g GenerationResult
		g, err = e.Generate(context.Background(), GenerationRequest{Pool: "lm", Generation: wire.Generation{Prompt: id, MaxTokens: 300, Seed: 1}})
		want := standin.Answer(id, 1, 300)
		for n, token := range g.Tokens {
			if n >= len(want) || token.Text != want[n] {
				t.Errorf("%s: token %d is wrong", id, n)
				break
			}
		}
		if err == nil && len(g.Tokens) != len(want) {
			t.Errorf("%s: complete with %d of %d tokens", id, len(g.Tokens), len(want))
		}
	} else {
		var r ServiceResponse
		r, err = e.CallService(context.Background(), ServiceRequest{
			Service: "svc", Method: method, Path: "/file", Headers: []wire.Header{{Name: standin.HeaderCallID, Value: id}}, Body: []byte("x"),
		})
		if err == nil && r.Status == http.StatusOK && !strings.Contains(string(r.Body), fmt.Sprintf("%q", id)) {
			t.Errorf("%s: answer %q belongs to another call", id, r.Body)
		}
	}
	if err == nil {
		return OutcomeDone
	}
	var o *OutcomeError
	if !errors.As(err, &o) {
		t.Errorf("%s: %v", id, err)
		return ""
	}
	t.Logf("%s: %s %s", id, method, o)
	return o.Outcome
}

func checkRuns(t *testing.T, records []interface{ Record() standin.Record }, outcomes []Outcome) {
	runs := make(map[string]int)
	for _, r := range records {
		for id, n := range r.Record().Runs {
			runs[id] += n
		}
	}
	counts := make(map[Outcome]int)
	for i, outcome := range outcomes {
		counts[outcome]++
		id := fmt.Sprintf("call-%d", i)
		if i%3 == 0 && runs[id] > 1 {
			t.Errorf("%s is not idempotent and ran %d times", id, runs[id])
		}
		if outcome == OutcomeNotRun && runs[id] > 0 {
			t.Errorf("%s was reported as not run and ran %d times", id, runs[id])
		}
		if i%3 == 2 && outcome != OutcomeDone {
			t.Errorf("generation %s ended as %s", id, outcome)
		}
	}
	t.Logf("outcomes %v", counts)
}
