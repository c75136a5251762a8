package main

import (
	"bytes"
	"fmt"
	"time"
)

const (
	manyItems       = 120000
	manySubmissions = 2
)

// manyItemsCase has a client outside the operators' control send one submission of legal size that
// is made of very many short items, beside an ordinary trainer.
func manyItemsCase(rec *record, trouble bool) error {
	c, err := newCluster(rec, options{stores: 4, edges: 4, engines: 4, fences: true, enforceMemory: true})
	if err != nil {
		return err
	}
	defer c.stop()
	if err := c.begin(); err != nil {
		return err
	}
	body, items := submission("ordinary", 1, 8, 4, itemOptions{bodyBytes: 600, scorer: true})
	if _, ok := c.again("entry", portFront, 10*time.Second, "trainer", "POST", "/train/ordinary", "ordinary", body, 202); !ok {
		return fmt.Errorf("the trainer's submission was not accepted")
	}
	for end, read := time.Now().Add(15*time.Second), 0; read < len(items); time.Sleep(500 * time.Millisecond) {
		if b, ok := c.again("entry", portFront, 5*time.Second, "trainer", "GET", "/v1/lots/ordinary?after=0", "", nil, 200); ok {
			read = len(parsePage(b).Results)
		}
		if time.Now().After(end) {
			return fmt.Errorf("the trainer's submission has %d of %d results", read, len(items))
		}
	}
	count := manyItems
	if !trouble {
		count = 100
	}
	var other bytes.Buffer
	other.WriteString(`{"trainStep":1,"model":"m0","minVersion":1,"desired":1,"requests":[`)
	for i := range count {
		if i > 0 {
			other.WriteByte(',')
		}
		fmt.Fprintf(&other, `{"id":"%x","path":"/train/%x"}`, i, i)
	}
	other.WriteString(`]}`)
	for i := range manySubmissions {
		id := fmt.Sprintf("other-%d", i)
		n := c.withRole("entry")[i%4]
		status, _, err := call("POST", n.at(portFront), "/train/"+id, routeHost, id, other.Bytes(), 5*time.Second)
		rec.line("client: POST /train/%s at %s, %d items, %d bytes: %d, %v", id, n.name, count, other.Len(), status, err)
		time.Sleep(time.Second)
	}
	time.Sleep(2 * time.Second)
	body, second := submission("second", 2, 8, 4, itemOptions{bodyBytes: 600, scorer: true})
	accepted := time.Now()
	_, ok := c.again("entry", portFront, 10*time.Second, "trainer", "POST", "/train/second", "second", body, 202)
	read := 0
	for end := time.Now().Add(15 * time.Second); ok && read < len(second) && time.Now().Before(end); time.Sleep(500 * time.Millisecond) {
		if b, ok := c.again("entry", portFront, 5*time.Second, "trainer", "GET", "/v1/lots/second?after=0", "", nil, 200); ok {
			read = len(parsePage(b).Results)
		}
	}
	rec.line("trainer: second step accepted: %t, %d of %d results after %d ms", ok, read, len(second), time.Since(accepted).Milliseconds())
	time.Sleep(5 * time.Second)
	over := 0
	for _, n := range c.nodes {
		boots, kills, ends, peak := n.state()
		rec.line("%s: %d starts, killed %d times for its memory, ended %d times, peak %d MB of %d", n.name, boots, kills, ends, peak, n.memoryMb)
		if n.role == "control" && kills+ends >= 3 {
			over++
		}
	}
	if over*2 >= c.stores {
		rec.breaks("Fault: on %d of %d machines of the core the process has ended by itself three times or more (memory over the limit counts)", over, c.stores)
	}
	if b, ok := c.again("entry", portFront, 15*time.Second, "trainer", "GET", "/v1/lots/ordinary?after=0", "", nil, 200); !ok {
		rec.breaks("LOST: the trainer's submission, accepted and read before, can't be read")
	} else if got := len(parsePage(b).Results); got < len(items) {
		rec.breaks("LOST: the trainer's submission has %d of its %d results, all of which were read before", got, len(items))
	}
	if _, ok := c.again("control", portControl, 15*time.Second, "operator", "GET", "/v1/config", "", nil, 200); !ok {
		rec.breaks("CONFIG: read back at the end, the manifest doesn't come")
	}
	return nil
}
