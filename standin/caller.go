package standin

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// CallKind is a kind of request that a Caller sends.
type CallKind string

// Kinds of requests.
const (
	CallStatus     CallKind = "status"     // idempotent GET of a plain service
	CallCheck      CallKind = "check"      // non-idempotent POST of a plain service
	CallCompletion CallKind = "completion" // streamed generation
)

// Outcomes of a request as the caller saw it.
const (
	OutcomeDone    = "done"
	OutcomeNotRun  = "not-run"
	OutcomeUnknown = "unknown"
	// OutcomeLost: no definite answer before the caller's own timeout.
	OutcomeLost = "lost"
)

// outcomeHeader is the header in which an entry states the outcome.
const outcomeHeader = "Merlinhall-Outcome"

// CallRecord is one request as its caller saw it, one JSON line in the record
// file.
type CallRecord struct {
	ID      string   `json:"id"`
	Kind    CallKind `json:"kind"`
	Entry   string   `json:"entry"`
	Outcome string   `json:"outcome"`
	// Correct is set when the answer was whole and belonged to this request.
	Correct bool   `json:"correct"`
	Ms      int64  `json:"ms"`
	Detail  string `json:"detail,omitempty"`
}

// CallerOptions configure a Caller.
type CallerOptions struct {
	Name    string
	Entries []string // caller addresses of the entries
	// Ready holds the administration address of each entry, in the order of
	// Entries. With it the caller sends only to entries that say they are ready,
	// as the platform's balancer does.
	Ready []string
	// Transport and Scheme are used for every request.
	Transport *http.Transport
	Scheme    string
	Service   string // plain service
	Pool      string // model pool
	Workers   int
	Pause     time.Duration // between two requests of a worker
	Timeout   time.Duration // after which an unanswered request counts as lost
	Seed      uint64
	Record    io.Writer // receives one CallRecord as JSON a line
}

// Caller sends requests of all kinds and checks the answers.
type Caller struct {
	o        CallerOptions
	client   *http.Client
	balancer *loadBalancer
	mu       sync.Mutex
}

// NewCaller returns a caller.
func NewCaller(o CallerOptions) *Caller {
	o.Transport.MaxIdleConnsPerHost = o.Workers
	client := &http.Client{Transport: o.Transport}
	return &Caller{o: o, client: client, balancer: newLoadBalancer(client, o.Scheme, o.Entries, o.Ready)}
}

// Run sends requests until ctx ends, and returns when the last one is answered.
func (c *Caller) Run(ctx context.Context) {
	go c.balancer.poll(ctx)
	var wg sync.WaitGroup
	for w := range c.o.Workers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			c.work(ctx, w)
		}()
	}
	wg.Wait()
}

func (c *Caller) work(ctx context.Context, worker int) {
	random := rand.New(rand.NewPCG(c.o.Seed, uint64(worker)))
	kinds := []CallKind{CallStatus, CallCheck, CallCompletion}
	for n := 0; ctx.Err() == nil; n++ {
		id := fmt.Sprintf("%s-%d-%d", c.o.Name, worker, n)
		kind := kinds[random.IntN(len(kinds))]
		entry := c.balancer.choose(random)
		c.writeRecord(c.send(id, kind, entry))
		select {
		case <-time.After(c.o.Pause):
		case <-ctx.Done():
		}
	}
}

func (c *Caller) writeRecord(r CallRecord) {
	line, _ := json.Marshal(r)
	c.mu.Lock()
	defer c.mu.Unlock()
	_, _ = c.o.Record.Write(append(line, '\n'))
}

// send sends one request. It never repeats it: every attempt has an id of its
// own, so that the record of the target tells whether this attempt ran.
func (c *Caller) send(id string, kind CallKind, entry string) CallRecord {
	start := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), c.o.Timeout)
	defer cancel()
	record := CallRecord{ID: id, Kind: kind, Entry: entry}
	resp, err := c.client.Do(c.request(ctx, id, kind, entry))
	if err != nil {
		record.Outcome = OutcomeLost
		record.Detail = err.Error()
		return record
	}
	defer resp.Body.Close()
	record.Outcome, err = c.read(resp, id, kind)
	if err != nil {
		record.Detail = err.Error()
	}
	record.Correct = err == nil
	record.Ms = time.Since(start).Milliseconds()
	return record
}

func (c *Caller) request(ctx context.Context, id string, kind CallKind, entry string) *http.Request {
	method, path, body := http.MethodGet, "/"+c.o.Service+"/status/"+id, ""
	switch kind {
	case CallCheck:
		method, path, body = http.MethodPost, "/"+c.o.Service+"/check", `{"call_id":"`+id+`"}`
	case CallCompletion:
		method, path = http.MethodPost, "/v1/completions"
		text, _ := json.Marshal(map[string]any{
			"model":      c.o.Pool,
			"prompt":     prompt(id),
			"max_tokens": completionMaxTokens,
			"stream":     true,
		})
		body = string(text)
	}
	r, err := http.NewRequestWithContext(ctx, method, c.o.Scheme+"://"+entry+path, strings.NewReader(body))
	if err != nil {
		panic(err)
	}
	r.Header.Set(HeaderCallID, id)
	r.Header.Set("Merlinhall-Caller", c.o.Name)
	r.Header.Set("Content-Type", "application/json")
	return r
}

// completionMaxTokens bounds the answers that callers ask for.
const completionMaxTokens = 64

func prompt(id string) string { return "approve purchase order " + id }

// read reads an answer. It returns the outcome as the caller sees it, and an
// error when the answer is not the whole answer to this request.
func (c *Caller) read(resp *http.Response, id string, kind CallKind) (string, error) {
	outcome := resp.Header.Get(outcomeHeader)
	if resp.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(io.LimitReader(resp.Body, 1<<10))
		if outcome == "" {
			outcome = OutcomeLost
		}
		return outcome, eris.Errorf("status %d: %s", resp.StatusCode, bytes.TrimSpace(text))
	}
	if kind == CallCompletion {
		return c.readStream(resp.Body, id)
	}
	return OutcomeDone, checkAnswer(resp.Body, id)
}

// readStream takes a stream without its end event as lost: its caller has no
// whole answer, and a generation can be resumed.
func (c *Caller) readStream(body io.Reader, id string) (string, error) {
	got, err := readTokens(body)
	if err != nil {
		return OutcomeLost, err
	}
	return OutcomeDone, compareTokens(got, Answer(prompt(id), 0, completionMaxTokens))
}

func checkAnswer(body io.Reader, id string) error {
	var answer ServiceAnswer
	if err := json.NewDecoder(body).Decode(&answer); err != nil {
		return eris.Wrap(err, "answer")
	}
	if answer.CallID != id {
		return eris.Errorf("answer belongs to %q", answer.CallID)
	}
	return nil
}

// readTokens reads server-sent events up to the end event.
func readTokens(body io.Reader) ([]string, error) {
	scanner := bufio.NewScanner(body)
	scanner.Buffer(nil, 1<<20)
	var got []string
	for scanner.Scan() {
		data, ok := strings.CutPrefix(scanner.Text(), "data: ")
		if !ok {
			continue
		}
		var e struct {
			Token string `json:"token"`
			Done  bool   `json:"done"`
		}
		if err := json.Unmarshal([]byte(data), &e); err != nil {
			return got, eris.Wrap(err, "event")
		}
		if e.Done {
			return got, nil
		}
		got = append(got, e.Token)
	}
	return got, eris.Errorf("stream ended without an end event after %d tokens", len(got))
}

func compareTokens(got, want []string) error {
	if len(got) != len(want) {
		return eris.Errorf("%d tokens, want %d", len(got), len(want))
	}
	for i := range want {
		if got[i] != want[i] {
			return eris.Errorf("token %s is %q, want %q", strconv.Itoa(i), got[i], want[i])
		}
	}
	return nil
}

// ReadLines decodes each JSON line of the file at path. A last line that was cut
// off by a kill is left out.
func ReadLines[T any](path string) ([]T, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, eris.Wrap(err, "record")
	}
	var out []T
	lines := bytes.SplitAfter(text, []byte("\n"))
	for _, line := range lines {
		if !bytes.HasSuffix(line, []byte("\n")) {
			continue
		}
		var v T
		if err := json.Unmarshal(line, &v); err != nil {
			return nil, eris.Wrapf(err, "record %s", path)
		}
		out = append(out, v)
	}
	return out, nil
}
