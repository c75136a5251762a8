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

// Guards against a generation that loses, repeats or misattributes tokens between
// the engine and the entry.
func TestGenerationIsRelayed(t *testing.T) {
	is := is.New(t)
	engine := fastEngine(t, standin.EngineOptions{Version: 3})
	s := startSite(t, KindEngine, engine, nil)
	s.world("5s", 0)
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

// Guards against a plain call whose answer, status or headers change on the way.
func TestCallIsRelayed(t *testing.T) {
	is := is.New(t)
	service := standin.NewService(standin.ServiceOptions{Name: "approve-app"})
	s := startSite(t, KindService, service, nil)
	s.world("5s", 0)
	c := s.dial()
	c.send(call("c1", "POST", "/budget?bytes=100000", `{"amount":1}`))
	got := c.answer("c1")
	is.Equal(got[0].Status, 200)
	is.Equal(got[len(got)-1].End, wire.EndComplete)
	is.Equal(data(got), string(standin.Pattern(100000)))
	is.Equal(service.Record().Runs["call-c1"], 1)
}

// Guards against a repeated id that runs twice.
func TestRepeatedIDRunsOnce(t *testing.T) {
	is := is.New(t)
	service := standin.NewService(standin.ServiceOptions{Work: 50 * time.Millisecond})
	s := startSite(t, KindService, service, nil)
	s.world("5s", 0)
	a, b := s.dialTaken(), s.dialTaken()
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

// Guards against weights that are not loaded on order, or loaded with a lower
// fence.
func TestOrderLoadsWeights(t *testing.T) {
	is := is.New(t)
	engine := fastEngine(t, standin.EngineOptions{Version: 1, ChecksFence: true})
	s := startSite(t, KindEngine, engine, nil)
	s.world("5s", 2)
	eventually(t, "version 2", func() bool { return engine.Version() == 2 })
	c := s.dial()
	c.until("load report of version 2", func() bool {
		return len(c.loads) > 0 && c.loads[len(c.loads)-1].Version == 2
	})
	orders := engine.Record().Orders
	is.Equal(len(orders), 1)
	is.Equal(orders[0].Seq, uint64(1))
}
