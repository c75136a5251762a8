package agent

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"merlinhall/link"
	"merlinhall/standin"
	"merlinhall/wire"
)

// redial replaces the link of c, as an entry does, and attaches to the open requests.
func (s *testAgent) redial(c *client, open []string) {
	c.conn.Close(link.ErrClosed)
	s.connect(c)
	for _, id := range open {
		c.mu.Lock()
		from := uint64(len(inOrder(c.chunks[id])))
		c.mu.Unlock()
		c.send(&wire.Attach{ID: id, From: from, Credit: Window})
	}
}

// inOrder returns the chunks from sequence number 0 up to the first gap, without
// duplicates.
func inOrder(chunks []*wire.Chunk) []*wire.Chunk {
	var out []*wire.Chunk
	sorted := slices.Clone(chunks)
	slices.SortStableFunc(sorted, func(a, b *wire.Chunk) int { return int(a.Sequence) - int(b.Sequence) })
	for _, c := range sorted {
		if c.Sequence == uint64(len(out)) {
			out = append(out, c)
		}
	}
	return out
}

func (c *client) ended(id string) bool {
	got := inOrder(c.chunks[id])
	return c.refused[id] != nil || len(got) > 0 && got[len(got)-1].End != ""
}

// generationRun is one run of a generation, which starts after prefix tokens.
type generationRun struct {
	id     string
	prompt string
	prefix int
}

// Guards against tokens that are lost, repeated or attributed to a version that did
// not produce them, while links are lost, weights are swapped, orders fail, and the
// engine aborts streams. Broken generations are resumed under a new id, as an entry
// does. All tokens are compared with the engine's record.
func TestGenerationsUnderFaults(t *testing.T) {
	t.Parallel()
	engine := fastEngine(t, standin.EngineOptions{Version: 1, Slots: 32, TokenPeriod: 500 * time.Microsecond, SwapTime: 5 * time.Millisecond})
	s := startTestAgent(t, KindEngine, engine, nil)
	s.publishState("20s", 0)
	c := s.dial()
	rng := rand.New(rand.NewPCG(21, 6))
	const generations, length = 40, 120
	version := uint64(1)
	open := make(map[string]generationRun)
	var all []generationRun
	start := func(p generationRun) {
		r := generation(p.id, p.prompt, length)
		r.Generation.Prefix = standin.Answer(p.prompt, 0, length)[:p.prefix]
		open[p.id] = p
		all = append(all, p)
		c.send(r)
	}
	started, resumed, swaps, links := 0, 0, 0, 0
	for started < generations || len(open) > 0 {
		c.mu.Lock()
		lost := c.lost == c.conn
		c.mu.Unlock()
		switch n := rng.IntN(12); {
		case lost: // by itself: an entry dials again
			s.redial(c, slices.Collect(maps.Keys(open)))
		case n < 6 && started < generations:
			start(generationRun{id: fmt.Sprint("g", started), prompt: fmt.Sprint("prompt ", started)})
			started++
		case n == 6 && links < 12:
			links++
			s.redial(c, slices.Collect(maps.Keys(open)))
		case n == 7 && swaps < 8:
			swaps++
			version++
			if rng.IntN(3) == 0 {
				engine.Inject(standin.Fault{Kind: standin.FaultSwap})
			}
			s.publishState("20s", version)
		case n == 8 && started < generations:
			engine.Inject(standin.Fault{Kind: standin.FaultCrash, After: rng.IntN(15)})
		default:
			time.Sleep(time.Duration(rng.IntN(5)) * time.Millisecond)
		}
		for id, p := range open {
			c.mu.Lock()
			ended, got := c.ended(id), inOrder(c.chunks[id])
			c.mu.Unlock()
			if !ended {
				continue
			}
			delete(open, id)
			if len(got) == 0 || got[len(got)-1].End != wire.EndComplete {
				resumed++
				start(generationRun{id: id + "+", prompt: p.prompt, prefix: p.prefix + len(tokens(got))})
			}
		}
	}
	t.Logf("%d generations, %d resumed, %d swaps ordered, %d links lost", started, resumed, swaps, links)
	if resumed == 0 || swaps < 3 || links < 3 {
		t.Fatal("too few faults occurred to detect a loss")
	}
	checkRuns(t, c, engine, all, length)
}

// checkRuns compares the tokens and their versions with the engine's record. The
// agent may have forwarded fewer tokens than the engine sent before it failed.
func checkRuns(t *testing.T, c *client, engine *standin.Engine, all []generationRun, length int) {
	records := make(map[string]standin.RequestRecord)
	for _, r := range engine.Record().Requests {
		if _, twice := records[r.ID]; twice {
			t.Fatalf("%s reached the engine twice", r.ID)
		}
		records[r.ID] = r
	}
	mixed := 0
	for _, p := range all {
		got := inOrder(c.chunks[p.id])
		want := standin.Answer(p.prompt, 0, length)[p.prefix:]
		complete := len(got) > 0 && got[len(got)-1].End == wire.EndComplete
		text := tokens(got)
		if len(text) > len(want) || !slices.Equal(text, want[:len(text)]) || complete && len(text) != len(want) {
			t.Fatalf("%s: got %d tokens (complete: %v), which do not match the %d expected tokens", p.id, len(text), complete, len(want))
		}
		versions := make(map[int]uint64)
		for _, r := range records[p.id].Ranges {
			for i := r.From; i < r.To; i++ {
				versions[i] = r.Version
			}
		}
		seen := make(map[uint64]bool)
		at := p.prefix
		for _, chunk := range got {
			for _, token := range chunk.Tokens {
				if versions[at] != token.Version {
					t.Fatalf("%s: token %d is attributed to version %d, version %d produced it", p.id, at, token.Version, versions[at])
				}
				seen[token.Version] = true
				at++
			}
		}
		if len(seen) > 1 {
			mixed++
		}
	}
	t.Logf("%d runs, %d of them with more than one version", len(all), mixed)
}
