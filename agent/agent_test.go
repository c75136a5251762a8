package agent

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"merlinhall/standin"
	"merlinhall/wire"
)

func fastEngine(t testing.TB, o standin.EngineOptions) *standin.Engine {
	if o.TokenPeriod == 0 {
		o.TokenPeriod = 200 * time.Microsecond
	}
	if o.SwapTime == 0 {
		o.SwapTime = 20 * time.Millisecond
	}
	e := standin.NewEngine(o)
	t.Cleanup(e.Close)
	return e
}

// Guards against a generation whose tokens are lost, repeated or attributed to a
// wrong version between the engine and the entry.
func TestGenerationIsRelayed(t *testing.T) {
	is := is.New(t)
	engine := fastEngine(t, standin.EngineOptions{Version: 3})
	s := startTestAgent(t, KindEngine, engine, nil)
	s.publishState("5s", 0)
	c := s.dial()
	c.send(generation("g1", "hello", 200))
	got := c.answer("g1")
	is.Equal(got[len(got)-1].End, wire.EndComplete)
	is.Equal(tokens(got), standin.Answer("hello", 0, 200))
	for i, chunk := range got {
		is.Equal(chunk.Sequence, uint64(i))
		for _, token := range chunk.Tokens {
			is.Equal(token.Version, uint64(3))
		}
	}
	record := engine.Record().Requests
	is.Equal(len(record), 1)
	is.Equal(record[0].ID, "g1")
	is.True(record[0].Completed)
}

// Guards against a plain call whose status or body is changed by the agent.
func TestCallIsRelayed(t *testing.T) {
	is := is.New(t)
	service := standin.NewService(standin.ServiceOptions{Name: "approve-app"})
	s := startTestAgent(t, KindService, service, nil)
	s.publishState("5s", 0)
	c := s.dial()
	c.send(call("c1", "POST", "/budget?bytes=100000", `{"amount":1}`))
	got := c.answer("c1")
	is.Equal(got[0].Status, 200)
	is.Equal(got[len(got)-1].End, wire.EndComplete)
	is.Equal(data(got), string(standin.Pattern(100000)))
	is.Equal(service.Record().Runs["call-c1"], 1)
}

// Guards against a request that runs twice when its id is repeated.
func TestRepeatedIDRunsOnce(t *testing.T) {
	is := is.New(t)
	service := standin.NewService(standin.ServiceOptions{Work: 50 * time.Millisecond})
	s := startTestAgent(t, KindService, service, nil)
	s.publishState("5s", 0)
	a, b := s.dialRegistered(), s.dialRegistered()
	a.credit = 0
	a.send(call("c1", "POST", "/pay", ""))
	eventually(t, "run", func() bool { return service.Record().Runs["call-c1"] == 1 })
	b.send(call("c1", "POST", "/pay", ""))
	first := b.answer("c1")
	a.send(&wire.Attach{ID: "c1", Credit: Window})
	is.True(len(first) > 0)
	c := s.dial()
	c.send(call("c1", "POST", "/pay", ""))
	c.send(call("c2", "POST", "/pay", ""))
	c.answer("c2")
	is.Equal(service.Record().Runs["call-c1"], 1)
}

// Guards against weights that are not loaded when ordered, or are ordered with a
// wrong fencing token.
func TestOrderLoadsWeights(t *testing.T) {
	is := is.New(t)
	engine := fastEngine(t, standin.EngineOptions{Version: 1, ChecksFence: true})
	s := startTestAgent(t, KindEngine, engine, nil)
	s.publishState("5s", 2)
	eventually(t, "version 2", func() bool { return engine.Version() == 2 })
	c := s.dial()
	c.until("load report of version 2", func() bool {
		return len(c.loads) > 0 && c.loads[len(c.loads)-1].Version == 2
	})
	orders := engine.Record().Orders
	is.Equal(len(orders), 1)
	is.Equal(orders[0].Seq, uint64(1))
}
