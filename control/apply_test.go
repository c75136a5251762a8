package control

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/url"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rotisserie/eris"

	"merlinhall/wire"
)

func configURI(base int, id, author string) string {
	return fmt.Sprintf("/v1/config?base=%d&request_id=%s&author=%s", base, id, author)
}

// Guards against both of two concurrent edits of one version being accepted, and
// against a conflict response that lacks the winner or the diffs.
func TestTwoOperatorsRace(t *testing.T) {
	is := is.New(t)
	c := newFakeCluster(t, "c1", "c2", "c3")
	doAdmin(t, c.replicas["c1"].control, "POST", configURI(0, "r0", "abay"), string(smallConfig(2, "base")))
	codes := make([]int, 2)
	answers := make([]map[string]any, 2)
	var wg sync.WaitGroup
	for i, name := range []string{"c2", "c3"} {
		wg.Add(1)
		go func() {
			defer wg.Done()
			text := string(smallConfig(2, fmt.Sprintf("edit %d", i)))
			codes[i], answers[i] = doAdmin(t, c.replicas[name].control, "POST", configURI(1, fmt.Sprintf("race%d", i), fmt.Sprintf("op%d", i)), text)
		}()
	}
	wg.Wait()
	won, lost := 0, 1
	if codes[0] != http.StatusOK {
		won, lost = 1, 0
	}
	is.Equal(codes[won], http.StatusOK)
	is.Equal(answers[won]["version"], 2.0)
	is.Equal(codes[lost], http.StatusConflict)
	winner := answers[lost]["winner"].(map[string]any)
	is.Equal(winner["version"], 2.0)
	is.Equal(winner["author"], fmt.Sprintf("op%d", won))
	is.Equal(winner["request_id"], fmt.Sprintf("race%d", won))
	is.Equal(fmt.Sprint(answers[lost]["diff"]), fmt.Sprintf("[-1 # edit %d +1 # edit %d]", won, lost))
	is.Equal(fmt.Sprint(answers[lost]["winner_diff"]), fmt.Sprintf("[-1 # base +1 # edit %d]", won))
}

// Guards against a resent request, after its first response was lost, that makes a
// second change or conflicts with itself.
func TestResendAfterLostAnswer(t *testing.T) {
	is := is.New(t)
	c := newFakeCluster(t, "c1", "c2")
	follower := c.replicas["c2"].control
	c.loseResponse = true
	text := string(smallConfig(1, "one"))
	code, out := doAdmin(t, follower, "POST", configURI(0, "r1", "abay"), text)
	is.Equal(code, http.StatusGatewayTimeout)
	is.Equal(out["outcome"], "unknown")
	code, out = doAdmin(t, follower, "GET", out["ask"].(string), "")
	is.Equal(code, http.StatusOK)
	is.Equal(out["version"], 1.0)
	doAdmin(t, follower, "POST", configURI(1, "r2", "abay"), string(smallConfig(1, "two")))
	code, out = doAdmin(t, follower, "POST", configURI(0, "r1", "abay"), text)
	is.Equal(code, http.StatusOK)
	is.Equal(out["version"], 1.0)
	code, out = doAdmin(t, follower, "POST", configURI(2, "r1", "abay"), text)
	is.Equal(code, http.StatusOK)
	is.Equal(out["version"], 1.0)
	is.Equal(c.replicas["c1"].machine.ClusterState().ConfigVersion, uint64(2))
}

// Guards against a request whose log entry was lost being reported as executed, and
// against a refusal of the same request when it is sent again.
func TestLostEntryIsReportedAsNotCarriedOut(t *testing.T) {
	is := is.New(t)
	c := newFakeCluster(t, "c1", "c2")
	c.loseEntry = true
	code, _ := doAdmin(t, c.replicas["c2"].control, "POST", configURI(0, "r1", "abay"), string(smallConfig(1, "one")))
	is.Equal(code, http.StatusGatewayTimeout)
	code, _ = doAdmin(t, c.replicas["c2"].control, "GET", "/v1/requests/r1", "")
	is.Equal(code, http.StatusNotFound)
	code, out := doAdmin(t, c.replicas["c2"].control, "POST", configURI(0, "r1", "abay"), string(smallConfig(1, "one")))
	is.Equal(code, http.StatusOK)
	is.Equal(out["version"], 1.0)
}

// Guards against a wrong outcome when the leader changes between proposal and
// response: the caller must get an unknown outcome, and the new leader must know the
// outcome of the request.
func TestLeaderChangeBetweenProposalAndAnswer(t *testing.T) {
	is := is.New(t)
	c := newFakeCluster(t, "c1", "c2", "c3")
	c.loseResponse = true
	c.onCommit = func() { c.term, c.leader = 2, "c3" }
	code, out := doAdmin(t, c.replicas["c2"].control, "POST", configURI(0, "r1", "abay"), string(smallConfig(1, "one")))
	is.Equal(code, http.StatusGatewayTimeout)
	code, out = doAdmin(t, c.replicas["c1"].control, "GET", out["ask"].(string), "")
	is.Equal(code, http.StatusOK)
	is.Equal(out["version"], 1.0)
	code, _ = doAdmin(t, c.replicas["c1"].control, "POST", configURI(0, "r1", "abay"), string(smallConfig(1, "one")))
	is.Equal(code, http.StatusOK)
	is.Equal(len(c.replicas["c2"].machine.configState().Records), 1)
}

// Guards against a request that hangs or is reported as executed while there is no
// leader, and against one that fails although a leader is elected before its timeout.
func TestNoLeader(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := newFakeCluster(t, "c1", "c2")
	c.elect("")
	code, out := doAdmin(t, c.replicas["c2"].control, "POST", configURI(0, "r1", "abay"), string(smallConfig(1, "one")))
	is.Equal(code, http.StatusServiceUnavailable)
	is.Equal(out["outcome"], "no_leader")
	code, _ = doAdmin(t, c.replicas["c2"].control, "GET", "/v1/status", "")
	is.Equal(code, http.StatusOK)
	time.AfterFunc(100*time.Millisecond, func() { c.elect("c1") })
	code, _ = doAdmin(t, c.replicas["c2"].control, "POST", configURI(0, "r1", "abay"), string(smallConfig(1, "one")))
	is.Equal(code, http.StatusOK)
}

// Guards against breaking the rules of apply: an identical text does not create a new
// version, a request id cannot be used for two texts, and a rollback is a new version.
func TestSameTextReusedIDAndRollback(t *testing.T) {
	is := is.New(t)
	c := newFakeCluster(t, "c1")
	one, two := string(smallConfig(1, "one")), string(smallConfig(2, "two"))
	replicaControl := c.replicas["c1"].control
	doAdmin(t, replicaControl, "POST", configURI(0, "r1", "abay"), one)
	code, out := doAdmin(t, replicaControl, "POST", configURI(0, "r2", "chikushi"), one)
	is.Equal(code, http.StatusOK)
	is.Equal(out["version"], 1.0)
	code, out = doAdmin(t, replicaControl, "POST", configURI(1, "r1", "abay"), two)
	is.Equal(code, http.StatusConflict)
	is.Equal(out["outcome"], "reused")
	code, _ = doAdmin(t, replicaControl, "POST", configURI(1, "r3", "abay"), two)
	is.Equal(code, http.StatusOK)
	code, out = doAdmin(t, replicaControl, "POST", "/v1/config/rollback?version=1&base=2&request_id=r4", "")
	is.Equal(code, http.StatusOK)
	is.Equal(out["version"], 3.0)
	_, out = doAdmin(t, replicaControl, "GET", "/v1/config", "")
	is.Equal(out["text"], one)
	_, out = doAdmin(t, replicaControl, "GET", "/v1/config?version=2", "")
	is.Equal(out["text"], two)
	_, out = doAdmin(t, replicaControl, "GET", "/v1/config/history", "")
	revisions := out["revisions"].([]any)
	is.Equal(len(revisions), 3)
	newest := revisions[0].(map[string]any)
	is.Equal(newest["author"], "operator")
	is.True(strings.HasPrefix(newest["diff"].([]any)[0].(string), "-1 # two"))
}

// Guards against invalid requests being accepted by the API.
func TestRequestChecks(t *testing.T) {
	is := is.New(t)
	c := newFakeCluster(t, "c1")
	replicaControl := c.replicas["c1"].control
	for uri, want := range map[string]int{
		"/v1/config":                              http.StatusBadRequest,
		"/v1/config?base=x":                       http.StatusBadRequest,
		configURI(0, "bad", "abay"):               http.StatusUnprocessableEntity,
		"/v1/weights/none?version=1&request_id=w": http.StatusNotFound,
		"/v1/targets/none/drain":                  http.StatusNotFound,
		"/v1/members":                             http.StatusBadRequest,
		"/v1/nothing":                             http.StatusNotFound,
	} {
		code, _ := doAdmin(t, replicaControl, "POST", uri, "not toml = = =")
		is.Equal(code, want)
	}
	code, _ := doAdmin(t, replicaControl, "POST", configURI(0, "big", "abay"), strings.Repeat("#", MaxConfigBytes+1))
	is.Equal(code, http.StatusRequestEntityTooLarge)
	code, _ = doAdmin(t, replicaControl, "POST", configURI(0, url.QueryEscape(strings.Repeat("i", maxIDBytes+1)), "abay"), "a")
	is.Equal(code, http.StatusBadRequest)
	replicaControl.options.OperatorToken = "secret"
	code, _ = doAdmin(t, replicaControl, "GET", "/v1/status", "")
	is.Equal(code, http.StatusUnauthorized)
}

// Guards against a weight version that decreases, and against a published version
// that is missing from the cluster state or has the wrong fencing token.
func TestWeightVersionsNeverDecrease(t *testing.T) {
	is := is.New(t)
	c := newFakeCluster(t, "c1", "c2")
	replicaControl := c.replicas["c2"].control
	doAdmin(t, replicaControl, "POST", configURI(0, "r1", "abay"), string(smallConfig(1, "one")))
	code, _ := doAdmin(t, replicaControl, "POST", "/v1/weights/policy-lm?version=5&request_id=w5", "")
	is.Equal(code, http.StatusOK)
	code, out := doAdmin(t, replicaControl, "POST", "/v1/weights/policy-lm?version=4&request_id=w4", "")
	is.Equal(code, http.StatusConflict)
	is.Equal(out["version"], 5.0)
	index := c.replicas["c2"].machine.ClusterState().Index
	code, _ = doAdmin(t, replicaControl, "POST", "/v1/weights/policy-lm?version=5&request_id=w5again", "")
	is.Equal(code, http.StatusOK)
	w := c.replicas["c2"].machine.ClusterState()
	is.Equal(w.Index, index)
	is.Equal(w.Weights, []wire.WeightTarget{{Pool: "policy-lm", Version: 5, Fence: wire.Fence{Term: 1, Sequence: 2}}})
}

// Guards against a drain that is lost, and against a repeated drain that changes the
// fencing token.
func TestDrainAndUndrain(t *testing.T) {
	is := is.New(t)
	c := newFakeCluster(t, "c1")
	replicaControl, machine := c.replicas["c1"].control, c.replicas["c1"].machine
	doAdmin(t, replicaControl, "POST", configURI(0, "r1", "abay"), string(smallConfig(2, "one")))
	code, _ := doAdmin(t, replicaControl, "POST", "/v1/targets/t1/drain", "")
	is.Equal(code, http.StatusOK)
	departures := machine.ClusterState().Departures
	is.Equal(departures[0].Target, "t1")
	code, out := doAdmin(t, replicaControl, "POST", "/v1/targets/t1/drain", "")
	is.Equal(code, http.StatusOK)
	is.Equal(out["changed"], false)
	is.Equal(machine.ClusterState().Departures, departures)
	doAdmin(t, replicaControl, "POST", "/v1/targets/t1/undrain", "")
	is.Equal(len(machine.ClusterState().Departures), 0)
}

// applyRandomCommands applies seeded random commands, some with repeated ids, to a new
// state machine. With restore set it sometimes replaces the state machine by one
// restored from its snapshot.
func applyRandomCommands(t *testing.T, seed uint64, restore bool) *StateMachine {
	t.Helper()
	rng := rand.New(rand.NewPCG(seed, 2))
	m := NewStateMachine()
	var index uint64
	for range 300 {
		index += 1 + rng.Uint64N(3)
		raw := randomCommand(rng)
		m.Apply(index, 1+index/50, raw)
		if rng.IntN(10) == 0 && restore {
			snapshot, err := m.Snapshot()
			if err != nil {
				t.Fatal(err)
			}
			m = NewStateMachine()
			if err := m.Restore(snapshot); err != nil {
				t.Fatal(err)
			}
		}
	}
	return m
}

func randomCommand(rng *rand.Rand) []byte {
	var body []byte
	slice := []string{"config", "weights", "departures", "none"}[rng.IntN(4)]
	n := rng.IntN(40)
	switch slice {
	case "config":
		body, _ = wire.Marshal(newConfigCommand(&configState{}, uint64(rng.IntN(12)), smallConfig(n%5, fmt.Sprint(n)), ""))
	case "weights":
		body, _ = wire.Marshal(&wire.PublishWeights{Pool: fmt.Sprint("p", n%3), Version: uint64(rng.IntN(30))})
	case "departures":
		body, _ = wire.Marshal(&departuresCommand{Drain: []string{fmt.Sprint("t", n%4)}, Returned: []string{fmt.Sprint("h", n%3)},
			Undrain: []string{fmt.Sprint("t", n%5)}, Leaving: []leavingHost{{Host: fmt.Sprint("h", n%2), Targets: []string{fmt.Sprint("t", n)}}}})
	}
	raw, _ := wire.Marshal(&command{Slice: slice, RequestID: fmt.Sprint("r", rng.IntN(200)), Body: body, TimeMs: int64(n)})
	return raw
}

// Guards against a version that decreases, which the invariants of
// StateMachine.publish detect, and against a replica restored from a snapshot whose
// state differs from one that applied the complete log.
func TestSeededCommandsAndSnapshots(t *testing.T) {
	t.Parallel()
	for seed := range uint64(8) {
		plain, err := applyRandomCommands(t, seed, false).Snapshot()
		if err != nil {
			t.Fatal(err)
		}
		restored, err := applyRandomCommands(t, seed, true).Snapshot()
		if err != nil {
			t.Fatal(err)
		}
		if string(plain) != string(restored) {
			t.Fatalf("seed %d: the restored state differs", seed)
		}
	}
}

// Guards against outcomes that are kept without bound or dropped too early.
func TestOutcomesAreBounded(t *testing.T) {
	is := is.New(t)
	m := NewStateMachine()
	publish := func(i int) any {
		body, _ := wire.Marshal(&wire.PublishWeights{Pool: "p", Version: uint64(i + 1)})
		raw, _ := wire.Marshal(&command{Slice: "weights", RequestID: fmt.Sprint("r", i), Body: body})
		return m.Apply(m.applied+1, 1, raw)
	}
	first := publish(0)
	for i := 1; i < maxOutcomes; i++ {
		publish(i)
	}
	is.Equal(publish(0), first)
	publish(maxOutcomes)
	is.Equal(len(m.outcomes.byID), maxOutcomes)
	again := publish(0).(*wire.PublishedWeights)
	is.True(again.Refused != "")
}

// Guards against an unbounded history: the oldest versions must be dropped and the
// newest kept.
func TestHistoryIsBounded(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := newConfigSlice()
	for i := range 150 {
		text := strings.Repeat(fmt.Sprintf("# %d\n", i), 4000)
		body, _ := wire.Marshal(newConfigCommand(&configState{}, uint64(i), []byte(text), ""))
		outcome := s.Apply(uint64(i+1), 1, body).(*ConfigOutcome)
		is.True(outcome.Accepted)
	}
	size := 0
	for _, r := range s.state.Records {
		size += patchBytes(r.ReversePatch)
	}
	is.True(size <= maxHistoryBytes)
	is.Equal(s.state.Dropped+uint64(len(s.state.Records)), uint64(150))
	text, ok := s.state.text(s.state.Dropped + 1)
	is.True(ok)
	is.True(strings.HasPrefix(string(text), fmt.Sprintf("# %d\n", s.state.Dropped)))
	_, ok = s.state.text(s.state.Dropped)
	is.True(!ok)
}

// Guards against TestTwoOperatorsRace passing without the check of the base version:
// with the check disabled both edits are accepted.
func TestRaceNeedsTheBaseCheck(t *testing.T) {
	is := is.New(t)
	s := newConfigSlice()
	s.ignoreBase = true
	for i, want := range []uint64{1, 2} {
		body, _ := wire.Marshal(newConfigCommand(&configState{}, 0, smallConfig(i, "edit"), ""))
		is.Equal(s.Apply(uint64(i+1), 1, body).(*ConfigOutcome).Version, want)
	}
}

// refusingGate is a WeightsGate that refuses all publications.
type refusingGate struct{ Slice }

func (refusingGate) Name() string                                         { return "gate" }
func (refusingGate) WeightsPublished(uint64, uint64, wire.PublishWeights) {}
func (refusingGate) RefuseWeights(wire.PublishWeights) string             { return "a draw is not acknowledged" }

// Guards against weights that are published although another slice refuses them, and
// against malformed commands or reused request ids that change the state.
func TestGatesAndBadCommands(t *testing.T) {
	is := is.New(t)
	m := NewStateMachine(refusingGate{})
	body, _ := wire.Marshal(&wire.PublishWeights{Pool: "p", Version: 1})
	raw, _ := wire.Marshal(&command{Slice: "weights", RequestID: "r", Body: body})
	is.True(m.Apply(1, 1, raw).(*wire.PublishedWeights).Refused != "")
	is.Equal(m.ClusterState(), nil)
	is.True(eris.Is(m.Apply(2, 1, nil).(error), ErrBadCommand))
	raw, _ = wire.Marshal(&command{Slice: "departures", RequestID: "r", Body: body})
	is.True(eris.Is(m.Apply(3, 1, raw).(error), ErrRequestIDReused))
}

// Guards against log entries that carry the full text for a small change, and against
// a patch that is applied to a text other than its base.
func TestCommandCarriesAPatch(t *testing.T) {
	is := is.New(t)
	s := newConfigSlice()
	first, second, third := smallConfig(400, "one"), smallConfig(400, "two"), smallConfig(399, "one")
	apply := func(c *configCommand) (*ConfigOutcome, int) {
		body, err := wire.Marshal(c)
		is.NoErr(err)
		return s.Apply(c.Base+1, 1, body).(*ConfigOutcome), len(body)
	}
	_, size := apply(newConfigCommand(&s.state, 0, first, ""))
	is.True(size > len(first))
	state := s.copyState()
	outcome, size := apply(newConfigCommand(&state, 1, second, ""))
	is.Equal(outcome.Version, uint64(2))
	is.True(size < 300)
	is.Equal(string(s.state.Text), string(second))
	late := newConfigCommand(&state, 1, third, "")
	outcome, _ = apply(late)
	is.Equal(outcome.Winner.Version, uint64(2))
	late.Base = 2
	outcome, _ = apply(late)
	is.True(outcome.Invalid != "")
	is.Equal(s.current().Version, uint64(2))
}
