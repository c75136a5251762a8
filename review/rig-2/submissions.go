package main

import (
	"fmt"
	"time"
)

const (
	rogueSubmissions = 80
	rogueBytes       = 2500 << 10 // of the body of its only item
	rogueFailures    = 6          // in a row, after which the client leaves
	rogueTime        = 40 * time.Second
)

// submissionsCase has a client outside the operators' control send submissions of legal size, one
// after the other, beside an ordinary trainer.
func submissionsCase(rec *record, trouble bool) error {
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
	deadline, read := time.Now().Add(15*time.Second), 0
	for read < len(items) && time.Now().Before(deadline) {
		if b, ok := c.again("entry", portFront, 5*time.Second, "trainer", "GET", fmt.Sprintf("/v1/lots/ordinary?after=%d", 0), "", nil, 200); ok {
			read = len(parsePage(b).Results)
		}
		time.Sleep(500 * time.Millisecond)
	}
	if read < len(items) {
		return fmt.Errorf("the trainer's submission has %d of %d results", read, len(items))
	}
	accepted, refused, inARow, size := 0, 0, 0, 600
	if trouble {
		size = rogueBytes
	}
	edges := c.withRole("entry")
	for i, began := 0, time.Now(); i < rogueSubmissions && inARow < rogueFailures && time.Since(began) < rogueTime; i++ {
		id := fmt.Sprintf("other-%d", i)
		body, _ := submission(id, i+1, 1, 1, itemOptions{bodyBytes: size})
		n := edges[i%len(edges)]
		status, _, err := call("POST", n.at(portFront), "/train/"+id, routeHost, id, body, 5*time.Second)
		rec.line("client: POST /train/%s, %d bytes, at %s: %d, %v", id, len(body), n.name, status, err)
		if status == 202 {
			accepted++
			inARow = 0
		} else {
			refused++
			inARow++
		}
		time.Sleep(250 * time.Millisecond)
	}
	rec.line("client: %d submissions accepted, %d not", accepted, refused)
	time.Sleep(10 * time.Second)
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
