package entry

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"merlinhall/wire"
)

func (s *testbed) post(path, body string, headers ...string) (*http.Response, string, error) {
	s.t.Helper()
	r, err := http.NewRequestWithContext(s.t.Context(), http.MethodPost, s.http.URL+path, strings.NewReader(body))
	if err != nil {
		s.t.Fatal(err)
	}
	for i := 0; i+1 < len(headers); i += 2 {
		r.Header.Set(headers[i], headers[i+1])
	}
	response, err := s.http.Client().Do(r)
	if err != nil {
		s.t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	return response, string(data), err
}

// outcome returns the outcome from the header or the trailer.
func outcome(r *http.Response) string {
	if v := r.Header.Get(HeaderOutcome); v != "" {
		return v
	}
	return r.Trailer.Get(HeaderOutcome)
}

// Guards against answers that differ from the target's, or are incomplete.
func TestServiceCall(t *testing.T) {
	is := is.New(t)
	s := newTestbed(t, 2, nil)
	r, body, err := s.post("/svc/file/report?x=1", "manhole 7", HeaderRequestID, "mine")
	is.NoErr(err)
	is.Equal(r.StatusCode, http.StatusOK)
	is.Equal(body, "manhole 7")
	is.Equal(outcome(r), "done")
	is.Equal(r.Header.Get(HeaderRequestID), "mine")
	is.Equal(s.agents[0].total()+s.agents[1].total(), 1)
}

// Guards against lost or reordered tokens, both in JSON and in streamed answers.
func TestCompletions(t *testing.T) {
	is := is.New(t)
	s := newTestbed(t, 1, nil)
	r, body, err := s.post("/v1/completions", `{"model":"lm","prompt":"p","max_tokens":3}`)
	is.NoErr(err)
	is.Equal(outcome(r), "done")
	is.True(strings.Contains(body, `"tokens":["p/0 ","p/1 ","p/2 "],"versions":[{"from":0,"to":3,"version":1}]`))
	r, body, err = s.post("/v1/completions", `{"model":"lm","prompt":"p","max_tokens":200,"stream":true}`)
	is.NoErr(err)
	is.Equal(outcome(r), "done")
	is.Equal(strings.Count(body, "data: "), 201)
	is.True(strings.Contains(body, `data: {"done":true`))
}

// Guards against faults of the Go interface that rollout jobs use.
func TestGenerateAndCallService(t *testing.T) {
	is := is.New(t)
	s := newTestbed(t, 1, nil)
	g, err := s.entry.Generate(t.Context(), GenerationRequest{Pool: "lm", Generation: wire.Generation{Prompt: "p", MaxTokens: 150}})
	is.NoErr(err)
	is.Equal(len(g.Tokens), 150)
	is.Equal(g.Versions, []wire.VersionRange{{From: 0, To: 150, Version: 1}})
	c, err := s.entry.CallService(t.Context(), ServiceRequest{Service: "svc", Method: "POST", Path: "/x", Body: []byte("b")})
	is.NoErr(err)
	is.Equal(string(c.Body), "b")
}
