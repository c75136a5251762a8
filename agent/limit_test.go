package agent

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"

	"merlinhall/ratelimit"
	"merlinhall/wire"
)

// Guards against an agent that sends its target more than the limit that the target has named,
// and against a refusal without a time to come back.
func TestAgentKeepsTheLimitOfItsTarget(t *testing.T) {
	is := is.New(t)
	tb := newTable("b", 10_000, 1000, &routeCheck{hasConfig: true, placement: svcPlace()})
	run := func(ms int64, n int) (started int, refused *wire.Refused) {
		for i := range n {
			out := tb.Run(ms, 1, &wire.Run{ID: fmt.Sprint(ms, "-", i), Service: "svc", Deadline: ms + 50_000})
			if out[0].op == opStart {
				started++
			} else {
				refused = out[0].message.(*wire.Refused)
			}
		}
		return started, refused
	}
	started, _ := run(0, 20)
	is.Equal(started, 20)
	tb.SetLimit(0, 2, true)
	total := 0
	for ms := int64(100); ms <= 8100; ms += 100 {
		started, refused := run(ms, 5)
		total += started
		is.Equal(refused.Reason, wire.RefusedLimit)
		is.True(refused.RetryAfterMs > 0)
	}
	is.True(total >= 14)
	is.True(total <= 18) // 2 a second for 8 s
	tb.SetLimit(8100, 0, true)
	started, _ = run(16_000, 20)
	is.Equal(started, 1) // a probe, which shows when the limit ends
	tb.SetLimit(16_000, 0, false)
	started, _ = run(16_001, 20)
	is.Equal(started, 20)
}

func TestLimitsThatResponsesName(t *testing.T) {
	is := is.New(t)
	limit := ""
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if limit != "" {
			w.Header().Set(HeaderRequestLimit, limit)
		}
		_, _ = io.Copy(w, strings.NewReader("fine"))
	}))
	defer server.Close()
	var got []ratelimit.Reading
	transport := &limitTransport{RoundTripper: newTransport(), target: "t", post: func(m any) bool {
		got = append(got, m.(limitNamed).reading)
		return true
	}}
	for _, limit = range []string{"", "2.5", "-1", "NaN", "", "0"} {
		request, err := http.NewRequest(http.MethodGet, server.URL, nil)
		is.NoErr(err)
		response, err := transport.RoundTrip(request)
		is.NoErr(err)
		is.NoErr(response.Body.Close())
	}
	is.Equal(len(got), 3) // what cannot be read says nothing, and no limit nothing before the first one
	is.Equal([]float64{got[0].PerSecond, got[1].PerSecond, got[2].PerSecond}, []float64{2.5, 0, 0})
	is.Equal([]bool{got[0].Limited, got[1].Limited, got[2].Limited}, []bool{true, false, true})
}
