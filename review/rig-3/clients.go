package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"time"
)

// reply is the answer to a call. Status 0 stands for none.
type reply struct {
	status int
	header http.Header
	body   []byte
	err    error
	took   time.Duration
}

// call makes a call on a new channel.
func call(method, address, path string, header map[string]string, body []byte, limit time.Duration) reply {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return reply{err: err}
	}
	r.Host, r.Close = hostName, true
	for k, v := range header {
		r.Header.Set(k, v)
	}
	began := time.Now()
	transport := &http.Transport{DisableKeepAlives: true}
	defer transport.CloseIdleConnections()
	response, err := transport.RoundTrip(r)
	if err != nil {
		return reply{err: err, took: time.Since(began)}
	}
	defer func() { _ = response.Body.Close() }()
	out, err := io.ReadAll(response.Body)
	if err != nil {
		return reply{err: err, took: time.Since(began)}
	}
	return reply{status: response.StatusCode, header: response.Header, body: out, took: time.Since(began)}
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// manifest returns a manifest with a plain route and a route for submissions.
func manifest(version int) []byte {
	text, err := json.Marshal(map[string]any{
		"version": version,
		"routes": []any{
			map[string]any{"name": "r-app", "host": hostName, "pathPrefix": "/app/", "kind": "idempotent", "timeoutMs": 2000, "latencyGoalMs": 150, "priority": 2, "service": appService, "maxAttempts": 2},
			map[string]any{"name": "r-once", "host": hostName, "pathPrefix": "/once/", "kind": "non_idempotent", "timeoutMs": 3000, "latencyGoalMs": 400, "priority": 2, "service": appService, "maxAttempts": 2},
			map[string]any{"name": "r-train", "host": hostName, "pathPrefix": "/train/", "kind": "rollout", "timeoutMs": 12000, "latencyGoalMs": 500, "priority": 3, "service": engineService, "maxAttempts": 3, "dueMs": 7500, "itemTtlS": 60},
		},
		"services": []any{
			map[string]any{"name": appService, "healthPath": "/healthz", "maxConns": 130, "protocol": "h1", "tls": false},
			map[string]any{"name": engineService, "healthPath": "/healthz", "maxConns": 180, "protocol": "h1", "tls": false,
				"runtime": map[string]any{"slots": 12, "kvCapacity": 84269, "kvTokenBytes": 18432, "models": []any{map[string]any{"name": modelName}}}},
		},
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 33554432, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
	if err != nil {
		panic(err)
	}
	return text
}

// operate sends an order of the operator or a trainer to one control process after the other
// until it is acknowledged.
func (c *cluster) operate(method, path string, body []byte, limit time.Duration) bool {
	stores := c.stores()
	for n, until := 0, time.Now().Add(limit); time.Now().Before(until); n++ {
		m := stores[n%len(stores)]
		r := call(method, m.at(portControl), path, nil, body, 1500*time.Millisecond)
		c.log.printf("operator: %s %s at %s: %d %v", method, path, m.name, r.status, r.err)
		if r.status == http.StatusOK {
			return true
		}
		time.Sleep(100 * time.Millisecond)
	}
	return false
}

// ready waits until all edge machines say that they are ready.
func (c *cluster) ready(limit time.Duration) bool {
	for until := time.Now().Add(limit); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		all := true
		for _, m := range c.edges() {
			all = all && call(http.MethodGet, m.at(portReady), "/v1/ready", nil, nil, time.Second).status == http.StatusOK
		}
		if all {
			return true
		}
	}
	return false
}

// item is an item of a submission.
type item struct {
	ID      string            `json:"id"`
	Path    string            `json:"path"`
	Headers map[string]string `json:"headers,omitempty"`
	Body    string            `json:"body,omitempty"`
	Tokens  int               `json:"tokens,omitempty"`
	Group   string            `json:"groupId,omitempty"`
}

// usualItems returns items of a usual step.
func usualItems(n, events int) []item {
	out := make([]item, n)
	for i := range out {
		out[i] = item{
			ID: newID(), Path: "/train/3/91c4", Headers: map[string]string{"X-Model": modelName, "X-Token-Usage": fmt.Sprintf("300,%d", events)},
			Body: "q83vEjRWeJA=", Tokens: 300 + events, Group: fmt.Sprint("g", i/4),
		}
	}
	return out
}

func submission(step, desired int, items []item) []byte {
	text, err := json.Marshal(map[string]any{"trainStep": step, "model": modelName, "minVersion": 1, "desired": desired, "requests": items})
	if err != nil {
		panic(err)
	}
	return text
}

// submit sends a submission to edge machines, one after the other, as a client does: again after
// 429, 503, no answer and any other 5xx. It returns the last status.
func (c *cluster) submit(name, id string, body []byte, tries int) int {
	edges, status := c.edges(), 0
	for n := range tries {
		m := edges[n%len(edges)]
		r := call(http.MethodPost, m.at(portFront), "/train/"+id, map[string]string{"X-Request-Id": id, "X-Deadline-Ms": "5000", "Content-Type": "application/json"}, body, 6*time.Second)
		status = r.status
		c.log.printf("%s: submission %s, %d bytes, at %s: %d %.100q %v (%d ms)", name, id, len(body), m.name, r.status, r.body, r.err, r.took.Milliseconds())
		if status == http.StatusAccepted || status >= 400 && status < 500 && status != http.StatusTooManyRequests {
			return status
		}
		time.Sleep(300 * time.Millisecond)
	}
	return status
}

// page reads the results of a submission from a position on.
type page struct {
	TotalCount int `json:"totalCount"`
	NextToken  int `json:"nextToken"`
	Results    []struct {
		ID        string   `json:"id"`
		State     string   `json:"state"`
		EventData string   `json:"eventData"`
		Versions  []uint64 `json:"versions"`
	} `json:"results"`
}

func (c *cluster) read(m *machine, id string, after int, wait bool) (page, reply) {
	header := map[string]string{"X-Request-Id": newID()}
	if wait {
		header["X-Wait-Ms"] = "1000"
	}
	r := call(http.MethodGet, m.at(portFront), fmt.Sprintf("/v1/lots/%s?after=%d", id, after), header, nil, 4*time.Second)
	var p page
	if r.status == http.StatusOK {
		if err := json.Unmarshal(r.body, &p); err != nil {
			r.err = err
		}
	}
	return p, r
}
