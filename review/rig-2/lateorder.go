package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"sync"
	"syscall"
	"time"
)

const (
	// The way from the machine that gives the first order to its replica is cut for cutTime. TCP
	// sends lost bytes again after 0.2, 0.6, 1.4, 3.0 and 6.2 s, so they arrive with the first of
	// these that comes after the cut.
	cutTime     = 5 * time.Second
	arrivalTime = 6200 * time.Millisecond
	thawSlack   = 300 * time.Millisecond
)

// lateOrderCase stops the leader as planned while the way from it to one replica is cut.
func lateOrderCase(rec *record, trouble bool) error {
	c, err := newCluster(rec, options{stores: 3, edges: 3, engines: 9, slots: 16, storeMb: 314, edgeMb: 284, fences: false})
	if err != nil {
		return err
	}
	defer c.stop()
	// The replica behind the path is at another address than the listed one.
	e := c.platform.engines[0]
	inner := c.address(150, 8080)
	if err := c.platform.listen(inner, e); err != nil {
		return err
	}
	outer := c.address(151, 8080)
	way, err := newPath(rec, outer, inner)
	if err != nil {
		return err
	}
	e.address = outer
	var mu sync.Mutex
	var healed time.Time
	type arrival struct {
		order
		at time.Time
	}
	var arrivals []arrival
	e.onOrder = func(_ *engine, o order) {
		mu.Lock()
		defer mu.Unlock()
		arrivals = append(arrivals, arrival{o, time.Now()})
		rec.line("replica %s: an order of %s with fence %d arrives: version %d", e.id, o.Holder, o.Fence, o.Version)
	}
	if err := c.begin(); err != nil {
		return err
	}
	body, items := submission("step", 1, 4, 2, itemOptions{bodyBytes: 600, scorer: true})
	if _, ok := c.again("entry", portFront, 10*time.Second, "trainer", "POST", "/train/step", "step", body, 202); !ok {
		return fmt.Errorf("the step was not accepted")
	}
	for end, read := time.Now().Add(20*time.Second), 0; read < len(items); time.Sleep(500 * time.Millisecond) {
		if b, ok := c.again("entry", portFront, 5*time.Second, "trainer", "GET", "/v1/lots/step?after=0", "", nil, 200); ok {
			read = len(parsePage(b).Results)
		}
		if time.Now().After(end) {
			return fmt.Errorf("the step has %d of %d results", read, len(items))
		}
	}
	first := make(chan string, 1)
	way.setBegins(func(sent []byte) time.Time {
		if !bytes.HasPrefix(sent, []byte("POST /v1/order ")) {
			return time.Time{}
		}
		mu.Lock()
		defer mu.Unlock()
		if !healed.IsZero() {
			return time.Time{}
		}
		healed = time.Now().Add(cutTime)
		var o order
		if i := bytes.Index(sent, []byte("\r\n\r\n")); i >= 0 {
			_ = json.Unmarshal(sent[i+4:], &o)
		}
		first <- o.Holder
		if !trouble {
			return time.Time{}
		}
		rec.line("path: the way from %s to replica %s is cut for %s; its order (fence %d) is on the way", o.Holder, e.id, cutTime, o.Fence)
		return time.Now().Add(arrivalTime)
	})
	if _, ok := c.again("control", portControl, 10*time.Second, "trainer", "POST", "/v1/version-put", "", []byte(`{"model":"m0","version":2}`), 200); !ok {
		return fmt.Errorf("the version was not confirmed")
	}
	holder := ""
	select {
	case holder = <-first:
	case <-time.After(15 * time.Second):
		return fmt.Errorf("no order was given to %s", e.id)
	}
	time.Sleep(100 * time.Millisecond)
	for _, n := range c.nodes {
		if n.name == holder {
			rec.line("platform: SIGTERM to %s, a planned restart", n.name)
			n.signal(syscall.SIGTERM)
		}
	}
	time.Sleep(arrivalTime + 6*time.Second)
	mu.Lock()
	defer mu.Unlock()
	var highest uint64
	by := ""
	for _, a := range arrivals {
		if a.Fence < highest && a.at.After(healed.Add(thawSlack)) {
			rec.breaks("ONE: replica %s, which doesn't check fences, got an order of %s with fence %d after one of %s with fence %d, %d ms after its way had healed (thawSlackMs 300)",
				e.id, a.Holder, a.Fence, by, highest, a.at.Sub(healed).Milliseconds())
		}
		if a.Fence > highest {
			highest, by = a.Fence, a.Holder
		}
	}
	rec.line("%d orders arrived at %s", len(arrivals), e.id)
	if len(arrivals) == 0 {
		return fmt.Errorf("no order arrived")
	}
	return nil
}
