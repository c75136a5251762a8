package entry

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"merlinhall/wire"
)

// Guards against a caller that is told that its request certainly did not run although an
// earlier attempt did: a client error of the engine that ran the next attempt speaks of that
// attempt only.
func TestRejectedAttemptAfterALostOneMayHaveRun(t *testing.T) {
	for _, tokens := range [][]wire.Token{nil, {{Text: "a"}}} {
		is := is.New(t)
		now := time.Unix(1_700_000_000, 0)
		r := newRequestState("r", wire.Run{Generation: &wire.Generation{}}, now.Add(time.Minute), time.Second)
		r.step(now, assigned{target: "t", boot: "b"})
		r.step(now, &wire.Chunk{ID: r.attempt, Sequence: 0, Tokens: tokens, End: wire.EndBroken}) // it ran
		r.step(now, assigned{target: "u", boot: "c"})
		var results []Result
		for _, a := range r.step(now, &wire.Chunk{ID: r.attempt, Sequence: 0, Status: http.StatusNotFound, End: wire.EndBroken}) {
			if f, ok := a.(finish); ok {
				results = append(results, f.result)
			}
		}
		for _, result := range results {
			is.True(result.Outcome != OutcomeNotRun)
		}
	}
}

// Guards against a request that ends although another engine would serve it: these client
// errors are about the moment or the engine, not about the request.
func TestPassingClientErrorIsNotFinal(t *testing.T) {
	for _, status := range []int{http.StatusRequestTimeout, http.StatusConflict, http.StatusMisdirectedRequest, http.StatusTooEarly} {
		t.Run(http.StatusText(status), func(t *testing.T) {
			is := is.New(t)
			now := time.Unix(1_700_000_000, 0)
			r := newRequestState("r", wire.Run{Generation: &wire.Generation{}}, now.Add(time.Minute), time.Second)
			r.step(now, assigned{target: "t", boot: "b"})
			moved := false
			for _, a := range r.step(now, &wire.Chunk{ID: r.attempt, Sequence: 0, Status: status, End: wire.EndBroken}) {
				_, ok := a.(reassign)
				moved = moved || ok
			}
			is.True(moved)
		})
	}
}
