package main

import (
	"encoding/base64"
	"encoding/json"
	"fmt"
	"strings"
	"time"
)

const (
	firstKey  = "key-of-the-first-tenant"
	secondKey = "key-of-the-second-tenant"
)

// tenantsCase has a client of one tenant hand in items under the ids that another tenant's trainer
// has used, with prompts of its own.
func tenantsCase(rec *record, trouble bool) error {
	tenants := []any{
		map[string]any{"name": "first", "apiKeys": []string{firstKey}},
		map[string]any{"name": "second", "apiKeys": []string{secondKey}},
	}
	c, err := newCluster(rec, options{stores: 4, edges: 4, engines: 4, fences: true, tenants: tenants})
	if err != nil {
		return err
	}
	defer c.stop()
	if err := c.begin(); err != nil {
		return err
	}
	// Both trainers number their items by group and place.
	body, _ := submission("first-step", 1, 8, 4, itemOptions{bodyBytes: 600, seed: "first"})
	body = []byte(strings.ReplaceAll(string(body), `"id":"first-step-`, `"id":"item-`))
	if err := c.step("first", firstKey, "first-step", body, nil); err != nil {
		return err
	}
	ids := "item-"
	if !trouble {
		ids = "other-"
	}
	body, _ = submission("second-step", 1, 8, 4, itemOptions{bodyBytes: 600, seed: "second"})
	body = []byte(strings.ReplaceAll(string(body), `"id":"second-step-`, `"id":"`+ids))
	foreign := 0
	err = c.step("second", secondKey, "second-step", body, func(id, text, want string) {
		if text == want {
			return
		}
		if foreign++; foreign > 4 {
			return
		}
		ran := 0
		for _, e := range c.platform.engines {
			e.mu.Lock()
			ran += e.began["second/"+id]
			e.mu.Unlock()
		}
		rec.breaks("MIXED: the result of item %s of tenant second is completed with a text that isn't the item's output; runs of the item: %d; it begins %.40q, its output begins %.40q", id, ran, text, want)
	})
	rec.line("%d results of tenant second have a text that isn't the item's output", foreign)
	return err
}

// step submits a step with the key of a tenant and reads its results. check, if set, gets each
// completed text with the output of the item's own prompt.
func (c *cluster) step(tenant, key, id string, body []byte, check func(item, text, want string)) error {
	var sent struct {
		Requests []struct {
			ID, Body string
		}
	}
	if err := json.Unmarshal(body, &sent); err != nil {
		return err
	}
	edges := c.withRole("entry")
	end, status := time.Now().Add(10*time.Second), 0
	var err error
	for i := 0; status != 202; i++ {
		n := edges[i%len(edges)]
		status, _, err = callWithKey("POST", n.at(portFront), "/train/"+id, routeHost, id, key, body, 3*time.Second)
		c.rec.line("trainer of tenant %s: POST /train/%s at %s, items %s to %s: %d, %v", tenant, id, n.name, sent.Requests[0].ID, sent.Requests[len(sent.Requests)-1].ID, status, err)
		if time.Now().After(end) {
			return fmt.Errorf("the step of tenant %s was not accepted", tenant)
		}
	}
	var p page
	for end, i := time.Now().Add(20*time.Second), 0; len(p.Results) < len(sent.Requests); i++ {
		n := edges[i%len(edges)]
		status, answer, err := callWithKey("GET", n.at(portFront), "/v1/lots/"+id+"?after=0", routeHost, "", key, nil, 3*time.Second)
		if err == nil && status == 200 {
			p = parsePage(answer)
		}
		c.rec.line("trainer of tenant %s: GET /v1/lots/%s at %s: %d, %v, %d results", tenant, id, n.name, status, err, len(p.Results))
		if time.Now().After(end) {
			return fmt.Errorf("the step of tenant %s has %d of %d results", tenant, len(p.Results), len(sent.Requests))
		}
		time.Sleep(500 * time.Millisecond)
	}
	if check == nil {
		return nil
	}
	prompts := make(map[string][]byte)
	for _, r := range sent.Requests {
		prompts[r.ID], _ = base64.StdEncoding.DecodeString(r.Body)
	}
	e := c.platform.engines[0]
	for _, r := range p.Results {
		var want []string
		for n := 1; n <= e.events; n++ {
			want = append(want, eventText(r.ID, n, e.pieceBytes, prompts[r.ID]))
		}
		if r.State == "completed" {
			check(r.ID, r.EventData, strings.Join(want, "\n"))
		}
	}
	return nil
}
