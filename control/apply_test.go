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

// Guards against two operators who edit the same version and both win, or a loser
// who is not told who won and what changed.
func TestTwoOperatorsRace(t *testing.T) {
	is := is.New(t)
	c := newFakeCluster(t, "c1", "c2", "c3")
	doAdmin(t, c.nodes["c1"].control, "POST", configURI(0, "r0", "abay"), string(smallConfig(2, "base")))
	codes := make([]int, 2)
	answers := make([]map[string]any, 2)
	var wg sync.WaitGroup
	for i, node := range []string{"c2", "c3"} {
		wg.Add(1)
		go func() {
			defer wg.Done()
			text := string(smallConfig(2, fmt.Sprintf("edit %d", i)))
			codes[i], answers[i] = doAdmin(t, c.nodes[node].control, "POST", configURI(1, fmt.Sprintf("race%d", i), fmt.Sprintf("op%d", i)), text)
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

// Guards against a lost answer after which the resent request makes a second
// change or is told of a conflict with itself.
func TestResendAfterLostAnswer(t *testing.T) {
	is := is.New(t)
	c := newFakeCluster(t, "c1", "c2")
	follower := c.nodes["c2"].control
	c.loseAnswer = true
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
	is.Equal(c.nodes["c1"].machine.World().ConfigVersion, uint64(2))
}

// Guards against a request whose entry was lost and that is reported as carried
// out, and against its resending being refused.
func TestLostEntryIsReportedAsNotCarriedOut(t *testing.T) {
	is := is.New(t)
	c := newFakeCluster(t, "c1", "c2")
	c.loseEntry = true
	code, _ := doAdmin(t, c.nodes["c2"].control, "POST", configURI(0, "r1", "abay"), string(smallConfig(1, "one")))
	is.Equal(code, http.StatusGatewayTimeout)
	code, _ = doAdmin(t, c.nodes["c2"].control, "GET", "/v1/requests/r1", "")
	is.Equal(code, http.StatusNotFound)
	code, out := doAdmin(t, c.nodes["c2"].control, "POST", configURI(0, "r1", "abay"), string(smallConfig(1, "one")))
	is.Equal(code, http.StatusOK)
	is.Equal(out["version"], 1.0)
}

// Guards against a leader that changes between proposal and answer: the caller
// must get an unknown outcome, and the new leader must know the first outcome.
func TestLeaderChangeBetweenProposalAndAnswer(t *testing.T) {
	is := is.New(t)
	c := newFakeCluster(t, "c1", "c2", "c3")
	c.loseAnswer = true
	c.onCommit = func() { c.term, c.leader = 2, "c3" }
	code, out := doAdmin(t, c.nodes["c2"].control, "POST", configURI(0, "r1", "abay"), string(smallConfig(1, "one")))
	is.Equal(code, http.StatusGatewayTimeout)
	code, out = doAdmin(t, c.nodes["c1"].control, "GET", out["ask"].(string), "")
	is.Equal(code, http.StatusOK)
	is.Equal(out["version"], 1.0)
	code, _ = doAdmin(t, c.nodes["c1"].control, "POST", configURI(0, "r1", "abay"), string(smallConfig(1, "one")))
	is.Equal(code, http.StatusOK)
	is.Equal(len(c.nodes["c2"].machine.configState().Records), 1)
}

// Guards against a request that waits for ever, or is said to be carried out,
// while there is no leader; and against one that fails although a leader is
// elected in time.
func TestNoLeader(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := newFakeCluster(t, "c1", "c2")
	c.elect("")
	code, out := doAdmin(t, c.nodes["c2"].control, "POST", configURI(0, "r1", "abay"), string(smallConfig(1, "one")))
	is.Equal(code, http.StatusServiceUnavailable)
	is.Equal(out["outcome"], "no_leader")
	code, _ = doAdmin(t, c.nodes["c2"].control, "GET", "/v1/status", "")
	is.Equal(code, http.StatusOK)
	time.AfterFunc(100*time.Millisecond, func() { c.elect("c1") })
	code, _ = doAdmin(t, c.nodes["c2"].control, "POST", configURI(0, "r1", "abay"), string(smallConfig(1, "one")))
	is.Equal(code, http.StatusOK)
}

// Guards against the rules of apply: the same text makes no second version, an id
// is not used for two texts, and a rollback is a new version.
func TestSameTextReusedIDAndRollback(t *testing.T) {
	is := is.New(t)
	c := newFakeCluster(t, "c1")
	one, two := string(smallConfig(1, "one")), string(smallConfig(2, "two"))
	node := c.nodes["c1"].control
	doAdmin(t, node, "POST", configURI(0, "r1", "abay"), one)
	code, out := doAdmin(t, node, "POST", configURI(0, "r2", "chikushi"), one)
	is.Equal(code, http.StatusOK)
	is.Equal(out["version"], 1.0)
	code, out = doAdmin(t, node, "POST", configURI(1, "r1", "abay"), two)
	is.Equal(code, http.StatusConflict)
	is.Equal(out["outcome"], "reused")
	code, _ = doAdmin(t, node, "POST", configURI(1, "r3", "abay"), two)
	is.Equal(code, http.StatusOK)
	code, out = doAdmin(t, node, "POST", "/v1/config/rollback?version=1&base=2&request_id=r4", "")
	is.Equal(code, http.StatusOK)
	is.Equal(out["version"], 3.0)
	_, out = doAdmin(t, node, "GET", "/v1/config", "")
	is.Equal(out["text"], one)
	_, out = doAdmin(t, node, "GET", "/v1/config?version=2", "")
	is.Equal(out["text"], two)
	_, out = doAdmin(t, node, "GET", "/v1/config/history", "")
	revisions := out["revisions"].([]any)
	is.Equal(len(revisions), 3)
	newest := revisions[0].(map[string]any)
	is.Equal(newest["author"], "operator")
	is.True(strings.HasPrefix(newest["diff"].([]any)[0].(string), "-1 # two"))
}

// Guards against the request checks of the API.
func TestRequestChecks(t *testing.T) {
	is := is.New(t)
	c := newFakeCluster(t, "c1")
	node := c.nodes["c1"].control
	for uri, want := range map[string]int{
		"/v1/config":                              http.StatusBadRequest,
		"/v1/config?base=x":                       http.StatusBadRequest,
		configURI(0, "bad", "abay"):               http.StatusUnprocessableEntity,
		"/v1/weights/none?version=1&request_id=w": http.StatusNotFound,
		"/v1/targets/none/drain":                  http.StatusNotFound,
		"/v1/members":                             http.StatusBadRequest,
		"/v1/nothing":                             http.StatusNotFound,
	} {
		code, _ := doAdmin(t, node, "POST", uri, "not toml = = =")
		is.Equal(code, want)
	}
	code, _ := doAdmin(t, node, "POST", configURI(0, "big", "abay"), strings.Repeat("#", MaxConfigBytes+1))
	is.Equal(code, http.StatusRequestEntityTooLarge)
	code, _ = doAdmin(t, node, "POST", configURI(0, url.QueryEscape(strings.Repeat("i", maxIDBytes+1)), "abay"), "a")
	is.Equal(code, http.StatusBadRequest)
	node.options.OperatorToken = "secret"
	code, _ = doAdmin(t, node, "GET", "/v1/status", "")
	is.Equal(code, http.StatusUnauthorized)
}

// Guards against a weight version that goes back and a published version that is
// not in the world with its fence.
func TestWeightsNeverGoBack(t *testing.T) {
	is := is.New(t)
	c := newFakeCluster(t, "c1", "c2")
	node := c.nodes["c2"].control
	doAdmin(t, node, "POST", configURI(0, "r1", "abay"), string(smallConfig(1, "one")))
	code, _ := doAdmin(t, node, "POST", "/v1/weights/policy-lm?version=5&request_id=w5", "")
	is.Equal(code, http.StatusOK)
	code, out := doAdmin(t, node, "POST", "/v1/weights/policy-lm?version=4&request_id=w4", "")
	is.Equal(code, http.StatusConflict)
	is.Equal(out["version"], 5.0)
	index := c.nodes["c2"].machine.World().Index
	code, _ = doAdmin(t, node, "POST", "/v1/weights/policy-lm?version=5&request_id=w5again", "")
	is.Equal(code, http.StatusOK)
	w := c.nodes["c2"].machine.World()
	is.Equal(w.Index, index)
	is.Equal(w.Weights, []wire.WeightTarget{{Pool: "policy-lm", Version: 5, Fence: wire.Fence{Term: 1, Sequence: 2}}})
}

// Guards against a drain that is lost or repeated with another fence.
func TestDrainAndUndrain(t *testing.T) {
	is := is.New(t)
	c := newFakeCluster(t, "c1")
	node, machine := c.nodes["c1"].control, c.nodes["c1"].machine
	doAdmin(t, node, "POST", configURI(0, "r1", "abay"), string(smallConfig(2, "one")))
	code, _ := doAdmin(t, node, "POST", "/v1/targets/t1/drain", "")
	is.Equal(code, http.StatusOK)
	departures := machine.World().Departures
	is.Equal(departures[0].Target, "t1")
	code, out := doAdmin(t, node, "POST", "/v1/targets/t1/drain", "")
	is.Equal(code, http.StatusOK)
	is.Equal(out["changed"], false)
	is.Equal(machine.World().Departures, departures)
	doAdmin(t, node, "POST", "/v1/targets/t1/undrain", "")
	is.Equal(len(machine.World().Departures), 0)
}

// applyRandomCommands applies seeded commands, with repeated ids, to a machine; after each
// one it may replace the machine by one restored from its snapshot.
func applyRandomCommands(t *testing.T, seed uint64, restore bool) *Machine {
	t.Helper()
	rng := rand.New(rand.NewPCG(seed, 2))
	m := NewMachine()
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
			m = NewMachine()
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

// Guards against a version that goes back, which the invariants of Machine.publish
// notice, and against a replica restored from a snapshot that differs from one
// that applied the whole log.
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

// Guards against an unbounded memory of outcomes, and one that forgets too early.
func TestOutcomesAreBounded(t *testing.T) {
	is := is.New(t)
	m := NewMachine()
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

// Guards against a history without bound: old versions must go, the newest stay.
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

// Guards against the test of the race passing without the rule: with the check of
// the base switched off both operators win.
func TestRaceNeedsTheBaseCheck(t *testing.T) {
	is := is.New(t)
	s := newConfigSlice()
	s.ignoreBase = true
	for i, want := range []uint64{1, 2} {
		body, _ := wire.Marshal(newConfigCommand(&configState{}, 0, smallConfig(i, "edit"), ""))
		is.Equal(s.Apply(uint64(i+1), 1, body).(*ConfigOutcome).Version, want)
	}
}

// refusingGate refuses all publications.
type refusingGate struct{ Slice }

func (refusingGate) Name() string                                         { return "gate" }
func (refusingGate) WeightsPublished(uint64, uint64, wire.PublishWeights) {}
func (refusingGate) RefuseWeights(wire.PublishWeights) string             { return "a draw is not acknowledged" }

// Guards against weights that are published although another slice refuses them,
// and commands of unknown slices or reused ids that change the state.
func TestGatesAndBadCommands(t *testing.T) {
	is := is.New(t)
	m := NewMachine(refusingGate{})
	body, _ := wire.Marshal(&wire.PublishWeights{Pool: "p", Version: 1})
	raw, _ := wire.Marshal(&command{Slice: "weights", RequestID: "r", Body: body})
	is.True(m.Apply(1, 1, raw).(*wire.PublishedWeights).Refused != "")
	is.Equal(m.World(), nil)
	is.True(eris.Is(m.Apply(2, 1, nil).(error), ErrBadCommand))
	raw, _ = wire.Marshal(&command{Slice: "departures", RequestID: "r", Body: body})
	is.True(eris.Is(m.Apply(3, 1, raw).(error), ErrRequestIDReused))
}

// Guards against a log that carries the whole text for each small change, and
// against a patch that is applied to another text than its own.
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
