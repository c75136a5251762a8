package main

import (
	"bytes"
	"context"
	"fmt"
	"sync"
	"time"
)

const (
	emptyItems    = 2500000 // of 3 bytes each
	bombs         = 5       // requests to each edge machine
	bombPause     = 4 * time.Second
	shortFieldsAt = 3 * time.Second
)

// shortFieldsCase has a client outside the operators' control send requests of legal size that are
// made of very many short fields, beside ordinary clients.
func shortFieldsCase(rec *record, trouble bool) error {
	c, err := newCluster(rec, options{stores: 4, edges: 4, engines: 4, fences: true, enforceMemory: true})
	if err != nil {
		return err
	}
	defer c.stop()
	c.platform.plain.work = 100 * time.Millisecond
	if err := c.begin(); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), shortFieldsAt+bombs*bombPause+2*time.Second)
	defer cancel()
	var wg sync.WaitGroup
	var o ordinary
	for _, n := range c.withRole("entry") {
		for i := range ordinaryChannels {
			wg.Go(func() { o.run(ctx, c, n, i) })
		}
	}
	time.Sleep(shortFieldsAt)
	items := emptyItems
	if !trouble {
		items = 100
	}
	body := []byte(`{"requests":[{}` + string(bytes.Repeat([]byte(",{}"), items-1)) + `]}`)
	for _, n := range c.withRole("entry") {
		wg.Go(func() {
			for i := range bombs {
				id := fmt.Sprintf("other-%s-%d", n.name, i)
				status, _, err := call("POST", n.at(portFront), "/train/"+id, routeHost, id, body, 10*time.Second)
				rec.line("client: POST /train/%s at %s, %d bytes: %d, %v", id, n.name, len(body), status, err)
				sleep(ctx, bombPause)
			}
		})
	}
	wg.Wait()
	rec.line("clients on kept channels: %d requests answered with success, %d with another status, %d not answered and not passed on; %d passed on to the sound server without an answer",
		o.served.Load(), o.other.Load(), o.notPassed.Load(), o.lost.Load())
	over := 0
	for _, n := range c.nodes {
		boots, kills, ends, peak := n.state()
		rec.line("%s: %d starts, killed %d times for its memory, ended %d times, peak %d MB of %d", n.name, boots, kills, ends, peak, n.memoryMb)
		if n.role == "entry" && kills+ends >= 3 {
			over++
		}
	}
	if o.lost.Load() > 3 {
		rec.breaks("LOST: %d requests from kept channels were passed on to a sound server, and their channels closed without an answer", o.lost.Load())
	}
	if over >= 2 {
		rec.breaks("Fault: on %d of %d machines the process has ended by itself three times or more (memory over the limit counts)", over, len(c.nodes))
	}
	return nil
}
