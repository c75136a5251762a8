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
	CallStatus     CallKind = "status"     // idempotent GET to a plain service
	CallCheck      CallKind = "check"      // non-idempotent POST to a plain service
	CallCompletion CallKind = "completion" // streamed generation
	// CallNoKey is a CallCheck without the key that callers need. It must not run.
	CallNoKey CallKind = "no-key"
)

// Outcomes of a request from the caller's point of view.
const (
	OutcomeDone    = "done"
	OutcomeNotRun  = "not-run"
	OutcomeUnknown = "unknown"
	// OutcomeLost means that the caller got no definite answer, for example because its
	// own timeout expired.
	OutcomeLost = "lost"
)

// outcomeHeader is the response header in which an entry reports the outcome.
const outcomeHeader = "Merlinhall-Outcome"

// CallRecord is the result of one request from the caller's point of view. The record
// file holds one as JSON per line.
type CallRecord struct {
	ID      string   `json:"id"`
	Kind    CallKind `json:"kind"`
	Entry   string   `json:"entry"`
	Outcome string   `json:"outcome"`
	// Correct is set if the answer was complete and belonged to this request.
	Correct bool   `json:"correct"`
	Ms      int64  `json:"ms"`
	Detail  string `json:"detail,omitempty"`
}

// CallerOptions configure a Caller.
type CallerOptions struct {
	Name    string
	Entries []string // addresses on which the entries accept callers
	// Ready holds the admin address of each entry, in the order of Entries. If set,
	// the caller prefers entries that report ready, as the platform's load balancer
	// does.
	Ready []string
	// Transport and Scheme are used for every request.
	Transport *http.Transport
	Scheme    string
	Service   string // name of the plain service
	Pool      string // name of the model pool
	Workers   int
	Pause     time.Duration // between consecutive requests of a worker
	Timeout   time.Duration // after which an unanswered request counts as lost
	Seed      uint64
	Key       string    // of the caller's client account; empty if callers need none
	Record    io.Writer // receives one CallRecord as JSON per line
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

// Run sends requests until ctx is done, and returns after the last one has completed.
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
	if c.o.Key != "" {
		kinds = append(kinds, CallNoKey)
	}
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

// send sends one request and never retries it: each attempt has its own call id, so
// that the journal of the target shows whether this attempt was executed.
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
	case CallCheck, CallNoKey:
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
	r.Header.Set("Merlinhall-Caller", "not-"+c.o.Name) // its account tells who it is
	if c.o.Key == "" {
		r.Header.Set("Merlinhall-Caller", c.o.Name)
	} else if kind != CallNoKey {
		r.Header.Set("Authorization", "Bearer "+c.o.Key)
	}
	r.Header.Set("Content-Type", "application/json")
	return r
}

// completionMaxTokens is the max_tokens value of all completion requests.
const completionMaxTokens = 64

func prompt(id string) string { return "approve purchase order " + id }

// maxAnswerBytes bounds what is read of an answer. A longer one counts as incomplete.
const maxAnswerBytes = 1 << 20

// read reads a response. It returns the outcome from the caller's point of view, and
// an error unless the response is the complete answer to this request.
func (c *Caller) read(resp *http.Response, id string, kind CallKind) (string, error) {
	outcome := resp.Header.Get(outcomeHeader)
	if resp.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(io.LimitReader(resp.Body, 1<<10))
		if outcome == "" {
			outcome = OutcomeLost
		}
		return outcome, eris.Errorf("status %d: %s", resp.StatusCode, bytes.TrimSpace(text))
	}
	body := io.LimitReader(resp.Body, maxAnswerBytes)
	if kind == CallCompletion {
		return c.readStream(body, id)
	}
	return OutcomeDone, checkAnswer(body, id)
}

// readStream reads a stream. A stream without an end event counts as lost: the caller
// has no complete answer, and merlinhall could have resumed the generation.
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

// readTokens returns the tokens of a stream of server-sent events, up to the end event.
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

// ReadLines decodes each line of the JSON lines file at path. It ignores an incomplete
// last line, which a killed writer leaves behind.
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
