package main

import (
	"bytes"
	"context"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"
)

// call makes one call on a new channel.
func call(method, address, path, host, id string, body []byte, wait time.Duration) (status int, answer []byte, err error) {
	return callWithKey(method, address, path, host, id, "", body, wait)
}

// callWithKey is call with the key of a tenant, which may be empty.
func callWithKey(method, address, path, host, id, key string, body []byte, wait time.Duration) (status int, answer []byte, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	if host != "" {
		r.Host = host
	}
	if id != "" {
		r.Header.Set("X-Request-Id", id)
		r.Header.Set("X-Deadline-Ms", fmt.Sprint(wait.Milliseconds()))
	}
	if key != "" {
		r.Header.Set("Authorization", "Token "+key)
	}
	transport := &http.Transport{DisableKeepAlives: true}
	defer transport.CloseIdleConnections()
	response, err := transport.RoundTrip(r)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = response.Body.Close() }()
	answer, err = io.ReadAll(response.Body)
	return response.StatusCode, answer, err
}

// manifest returns a manifest with a route for submissions and two for the plain service. tenants
// may be nil.
func manifest(version, slots int, tenants []any) []byte {
	m := map[string]any{
		"version": version,
		"routes": []any{
			map[string]any{"name": "r-train", "host": routeHost, "pathPrefix": "/train/", "kind": "rollout", "timeoutMs": 10000, "latencyGoalMs": 400, "priority": 1, "service": engineService, "maxAttempts": 3, "dueMs": 7500, "itemTtlS": 40},
			map[string]any{"name": "r-report", "host": routeHost, "pathPrefix": "/report/", "kind": "idempotent", "timeoutMs": 2000, "latencyGoalMs": 150, "priority": 2, "service": plainService, "maxAttempts": 2},
			map[string]any{"name": "r-order", "host": routeHost, "pathPrefix": "/order/", "kind": "non_idempotent", "timeoutMs": 2000, "latencyGoalMs": 150, "priority": 2, "service": plainService, "maxAttempts": 2},
		},
		"services": []any{
			map[string]any{"name": engineService, "healthPath": "/healthz", "maxConns": 180, "protocol": "h1", "tls": false, "runtime": map[string]any{"slots": slots, "kvCapacity": 37098, "models": []any{map[string]any{"name": model}}}},
			map[string]any{"name": plainService, "healthPath": "/healthz", "maxConns": 130, "protocol": "h1", "tls": false},
		},
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 33554432, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	}
	if tenants != nil {
		m["tenants"] = tenants
	}
	b, _ := json.Marshal(m)
	return b
}

// again repeats a call at one address after the other until it has the status, as the operator
// and trainers do.
func (c *cluster) again(role string, port int, within time.Duration, what, method, path, id string, body []byte, wanted int) (answer []byte, ok bool) {
	host := routeHost
	if role == "control" {
		host = ""
	}
	end, nodes := time.Now().Add(within), c.withRole(role)
	last := "no call"
	for i := 0; time.Now().Before(end); i++ {
		n := nodes[i%len(nodes)]
		status, answer, err := call(method, n.at(port), path, host, id, body, 3*time.Second)
		if err == nil && status == wanted {
			c.rec.line("%s: %s %s at %s: %d, %d bytes", what, method, path, n.name, status, len(answer))
			return answer, true
		}
		last = fmt.Sprintf("%d at %s, %v", status, n.name, err)
		time.Sleep(100 * time.Millisecond)
	}
	c.rec.line("%s: %s %s got no %d within %s; last: %s", what, method, path, wanted, within, last)
	return nil, false
}

// begin starts the deployment and sends the first manifest.
func (c *cluster) begin() error {
	if err := c.start(); err != nil {
		return err
	}
	if _, ok := c.again("control", portControl, 25*time.Second, "operator", "PUT", "/v1/config", "", c.firstManifest(), 200); !ok {
		return fmt.Errorf("the first manifest was not accepted")
	}
	end := time.Now().Add(15 * time.Second)
	for _, n := range c.withRole("entry") {
		for ready := false; !ready; {
			status, _, err := call("GET", n.at(portReady), "/v1/ready", "", "", nil, time.Second)
			if ready = err == nil && status == 200; !ready && time.Now().After(end) {
				return fmt.Errorf("%s is not ready: %d, %v", n.name, status, err)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	c.rec.line("the deployment is ready")
	return nil
}

type itemOptions struct {
	bodyBytes int
	scorer    bool
	seed      string // of the items' bodies, in addition to their ids
}

// submission returns the body of a submission and the ids of its items.
func submission(id string, step, groups, size int, o itemOptions) (body []byte, items []string) {
	var requests []any
	for g := range groups {
		for i := range size {
			item := fmt.Sprintf("%s-%d-%d", id, g, i)
			items = append(items, item)
			one := map[string]any{
				"id": item, "path": "/train/" + item, "headers": map[string]string{"X-Model": model, "X-Token-Usage": "271,12", "X-Prompt-Prefix": fmt.Sprintf("%x:255,%x:16", g+1, g*100+i+1000)},
				"body": base64.StdEncoding.EncodeToString(itemBody(o.seed+item, o.bodyBytes)), "tokens": 283, "groupId": fmt.Sprintf("%s-g%d", id, g),
			}
			if o.scorer {
				one["scorer"] = map[string]any{"id": "s-" + item, "host": routeHost, "path": "/report/" + item, "body": base64.StdEncoding.EncodeToString([]byte("score " + item))}
			}
			requests = append(requests, one)
		}
	}
	body, _ = json.Marshal(map[string]any{"trainStep": step, "model": model, "minVersion": 1, "desired": max(1, groups*9/10), "requests": requests})
	return body, items
}

// itemBody returns bytes that don't repeat, so that they are stored as long as they are.
func itemBody(item string, n int) []byte {
	out := make([]byte, n)
	x := uint64(14695981039346656037)
	for _, c := range []byte(item) {
		x = (x ^ uint64(c)) * 1099511628211
	}
	for i := range out {
		x ^= x << 13
		x ^= x >> 7
		x ^= x << 17
		out[i] = byte(x)
	}
	return out
}

type page struct {
	TotalCount int `json:"totalCount"`
	NextToken  int `json:"nextToken"`
	Results    []struct {
		ID        string   `json:"id"`
		State     string   `json:"state"`
		EventData string   `json:"eventData"`
		Versions  []uint64 `json:"versions"`
		Score     string   `json:"score"`
	} `json:"results"`
}

func parsePage(b []byte) (p page) {
	_ = json.Unmarshal(b, &p)
	return p
}

// firstManifest returns the manifest that the operator sends first.
func (c *cluster) firstManifest() []byte {
	b := manifest(1, c.slots, c.tenants)
	if c.faulty {
		return withFaulty(b)
	}
	return b
}
