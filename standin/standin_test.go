package standin

import (
	"bufio"
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"merlinhall/wire"
)

func post(t *testing.T, url, body string) *http.Response {
	t.Helper()
	resp, err := http.Post(url, "application/json", strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = resp.Body.Close() })
	return resp
}

func startEngine(t *testing.T, o EngineOptions) (*Engine, string) {
	o.TokenPeriod = 200 * time.Microsecond
	if o.SwapTime == 0 {
		o.SwapTime = 5 * time.Millisecond
	}
	e := NewEngine(o)
	srv := httptest.NewServer(e)
	t.Cleanup(func() {
		srv.CloseClientConnections()
		srv.Close()
		e.Close()
	})
	return e, srv.URL
}

// events reads a stream and reports whether it ended with the end event.
func events(t *testing.T, r io.Reader) (tokens []tokenEvent, done bool) {
	t.Helper()
	in := bufio.NewScanner(r)
	for in.Scan() {
		data, ok := strings.CutPrefix(in.Text(), "data: ")
		if !ok {
			continue
		}
		var ev tokenEvent
		if err := json.Unmarshal([]byte(data), &ev); err != nil {
			t.Fatal(err)
		}
		if ev.Done {
			return tokens, true
		}
		tokens = append(tokens, ev)
	}
	return tokens, false
}

// Guards against an engine whose answers are not a function of the prompt, and against
// one that resumes a completion at the wrong token.
func TestEngineAnswersArePureAndResume(t *testing.T) {
	is := is.New(t)
	e, url := startEngine(t, EngineOptions{Version: 4, Slots: 2})
	whole := Answer("p", 3, 60)
	got, done := events(t, post(t, url+"/v1/completions", `{"prompt":"p","seed":3,"max_tokens":60,"stream":true}`).Body)
	is.True(done)
	is.Equal(len(got), len(whole))
	for i, ev := range got {
		is.Equal(ev, tokenEvent{Token: whole[i], Index: i, Version: 4})
	}
	prefix, _ := json.Marshal(whole[:5])
	got, done = events(t, post(t, url+"/v1/completions", fmt.Sprintf(`{"prompt":"p","seed":3,"max_tokens":60,"stream":true,"prefix":%s}`, prefix)).Body)
	is.True(done)
	is.Equal(got[0].Index, 5)
	is.Equal(post(t, url+"/v1/completions", `{"prompt":"q","prefix":["wrong"]}`).StatusCode, http.StatusBadRequest)
	record := e.Record().Requests
	is.Equal(record[0].Ranges, []wire.VersionRange{{From: 0, To: len(whole), Version: 4}})
	is.True(record[0].Completed)
	is.Equal(record[1].Ranges[0].From, 5)
}

// Guards against a length distribution without a heavy tail.
func TestLengthsAreHeavyTailed(t *testing.T) {
	is := is.New(t)
	long, total := 0, 20_000
	for i := range total {
		n := Length(fmt.Sprint("prompt ", i), 1, 0)
		is.True(n >= minAnswerTokens)
		if n > 10*minAnswerTokens {
			long++
		}
	}
	is.True(long > total/32 && long < total/8) // 10^-1.2 is one in 16
}

// Guards against an engine with ChecksFence that accepts orders with a stale fencing
// token, and against one without it that rejects them.
func TestEngineFence(t *testing.T) {
	is := is.New(t)
	for _, checks := range []bool{true, false} {
		e, url := startEngine(t, EngineOptions{ChecksFence: checks})
		is.Equal(post(t, url+"/orders", `{"kind":"load","version":2,"term":3,"seq":9}`).StatusCode, http.StatusOK)
		status := post(t, url+"/orders", `{"kind":"load","version":1,"term":2,"seq":10}`).StatusCode
		is.Equal(status == http.StatusConflict, checks)
		is.Equal(e.Version() == 2, checks)
		e.Inject(Fault{Kind: FaultSwap})
		is.Equal(post(t, url+"/orders", `{"kind":"load","version":7,"term":4,"seq":11}`).StatusCode, http.StatusInternalServerError)
		is.True(e.Version() != 7)
	}
}

// Guards against cache events that become visible too early, and against a gap in
// them that is not reported.
func TestCacheEventsAreLateAndHaveGaps(t *testing.T) {
	is := is.New(t)
	c := newPrefixCache(2, 3)
	start := time.Unix(100, 0)
	c.use(1, start.Add(time.Second))
	events, lost := c.since(0, start)
	is.Equal(len(events), 0)
	is.True(!lost)
	events, _ = c.since(0, start.Add(time.Second))
	is.Equal(events[0].Hash, uint64(1))
	is.True(c.use(1, start))
	c.use(2, start)
	c.use(3, start) // evicts 1
	_, lost = c.since(0, start.Add(time.Minute))
	is.True(lost)
	events, lost = c.since(1, start.Add(time.Minute))
	is.True(!lost)
	is.Equal(len(events), 3)
	is.True(events[1].Evicted)
}

// Guards against a service that counts a call that it did not execute, or does not
// count one that it executed.
func TestServiceCountsRuns(t *testing.T) {
	is := is.New(t)
	s := NewService(ServiceOptions{Name: "s"})
	srv := httptest.NewServer(s)
	defer srv.Close()
	post(t, srv.URL+"/pay", `{"call_id":"a"}`)
	post(t, srv.URL+"/pay", `{"call_id":"a"}`)
	post(t, srv.URL+"/fault", `{"kind":"hang"}`)
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	req, _ := http.NewRequestWithContext(ctx, http.MethodPost, srv.URL+"/pay", strings.NewReader(`{"call_id":"b"}`))
	if resp, err := http.DefaultClient.Do(req); err == nil {
		_ = resp.Body.Close()
		t.Fatal("a call with an injected hang was answered")
	}
	resp, err := http.Get(srv.URL + "/record")
	is.NoErr(err)
	defer func() { _ = resp.Body.Close() }()
	var record Record
	is.NoErr(json.NewDecoder(resp.Body).Decode(&record))
	is.Equal(record.Runs, map[string]int{"a": 2})
	is.Equal(len(record.Requests), 3)
	is.Equal(record.Requests[2].Runs, 0)
}

// Guards against a store whose digest does not match its content, and against range
// requests that return the wrong bytes.
func TestStoreServesRanges(t *testing.T) {
	is := is.New(t)
	s := NewStore(StoreOptions{Size: 100_001})
	srv := httptest.NewServer(s)
	defer srv.Close()
	get := func(from int) (*http.Response, []byte) {
		req, _ := http.NewRequest(http.MethodGet, srv.URL+"/weights/p/1", nil)
		if from > 0 {
			req.Header.Set("Range", fmt.Sprintf("bytes=%d-", from))
		}
		resp, err := http.DefaultClient.Do(req)
		is.NoErr(err)
		defer func() { _ = resp.Body.Close() }()
		body, err := io.ReadAll(resp.Body)
		is.NoErr(err)
		return resp, body
	}
	resp, _ := get(0)
	is.Equal(resp.StatusCode, http.StatusNotFound)
	s.Publish(1)
	resp, whole := get(0)
	sum := sha256.Sum256(whole)
	is.Equal(resp.Header.Get(HeaderDigest), hex.EncodeToString(sum[:]))
	_, rest := get(70_000)
	is.True(bytes.Equal(rest, whole[70_000:]))
	is.Equal(s.StoreRecord().Bytes["p/1"], int64(100_001+30_001))
}

// Guards against a scorer that does not accept the request of a rollout worker.
func TestScorer(t *testing.T) {
	is := is.New(t)
	srv := httptest.NewServer(NewScorer(0))
	defer srv.Close()
	resp := post(t, srv.URL+"/score", `{"id":"t/1/2/3","prompt":"p","text":"a b ","tokens":2}`)
	var answer struct{ Score float64 }
	is.NoErr(json.NewDecoder(resp.Body).Decode(&answer))
	is.Equal(answer.Score, Score("p", "a b "))
}
