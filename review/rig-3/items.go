package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// oddSubmission returns a submission of many items with short fields only, or one of as many
// bytes whose items have bodies of a usual size.
func oddSubmission(n int, short bool) []byte {
	var b strings.Builder
	b.WriteString(`{"trainStep":1,"model":"` + modelName + `","minVersion":1,"desired":1,"requests":[`)
	tag := newID()[:4]
	bytes := n * len(`{"id":"0000000000","path":"/train/1"},`)
	for i := 0; short && i < n || !short && b.Len() < bytes; i++ {
		if i > 0 {
			b.WriteByte(',')
		}
		if short {
			fmt.Fprintf(&b, `{"id":"%s%06x","path":"/train/1"}`, tag, i)
		} else {
			fmt.Fprintf(&b, `{"id":"%s%06x","path":"/train/1","tokens":304,"groupId":"g%d","headers":{"X-Model":"%s","X-Token-Usage":"300,4"},"body":"%s"}`, tag, i, i/4, modelName, strings.Repeat("AAAA", 5000))
		}
	}
	b.WriteString(`]}`)
	return []byte(b.String())
}

// ordinary sends plain requests to the edge machines in turn until stop is closed, and returns
// how many were served of how many.
func (c *cluster) ordinary(stop chan struct{}) (done func() (served, asked int)) {
	var wg sync.WaitGroup
	served, asked := 0, 0
	wg.Add(1)
	go func() {
		defer wg.Done()
		edges := c.edges()
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-time.After(200 * time.Millisecond):
			}
			asked++
			for try := range 2 {
				id := newID()
				m := edges[(n+try)%len(edges)]
				r := call(http.MethodGet, m.at(portFront), "/app/status", map[string]string{"X-Request-Id": id, "X-Deadline-Ms": "2000"}, nil, 2*time.Second)
				if r.status == http.StatusOK {
					served++
					break
				}
				c.log.printf("buyer: request %s at %s: %d %v", id, m.name, r.status, r.err)
			}
		}
	}()
	return func() (int, int) {
		wg.Wait()
		return served, asked
	}
}

// ends returns how often processes of machines have ended by themselves, and on how many of them
// three times or more.
func ends(list []*machine) (times, thrice int) {
	for _, m := range list {
		m.mu.Lock()
		times += m.ownEnds
		if m.ownEnds >= 3 {
			thrice++
		}
		m.mu.Unlock()
	}
	return times, thrice
}

// manyItems: a client that nobody controls sends two submissions of legal size that are made of
// very many short fields. An ordinary trainer's submission was accepted before.
func manyItems(log *record, trouble bool) (int, string) {
	c, f, err := deployment(log)
	if err != nil {
		return failed, err.Error()
	}
	defer f.close()
	defer c.close()
	if err := c.startAll(); err != nil {
		return failed, err.Error()
	}
	if !c.operate(http.MethodPut, "/v1/config", manifest(1), 20*time.Second) || !c.ready(10*time.Second) {
		return failed, "the deployment does not serve"
	}
	stop := make(chan struct{})
	buyers := c.ordinary(stop)

	own := newID()
	items := usualItems(24, 8)
	if c.submit("trainer", own, submission(1, 6, items), 4) != http.StatusAccepted {
		return failed, "an ordinary submission is not accepted"
	}
	before := make(map[int]string) // position to result
	for at, until := 0, time.Now().Add(20*time.Second); at < len(items) && time.Now().Before(until); {
		p, r := c.read(c.edges()[at%2], own, at, true)
		if r.status != http.StatusOK {
			time.Sleep(200 * time.Millisecond)
			continue
		}
		for i, result := range p.Results {
			before[at+i] = result.ID + " " + result.State + " " + result.EventData
		}
		at = p.NextToken
	}
	log.printf("trainer: has read %d results of %d of submission %s", len(before), len(items), own)
	if len(before) != len(items) {
		return failed, "an ordinary submission is not complete"
	}

	for range 2 {
		status := c.submit("odd client", newID(), oddSubmission(120000, trouble), 3)
		log.printf("odd client: ended with %d", status)
		time.Sleep(2 * time.Second)
	}
	c.laterStep()
	time.Sleep(10 * time.Second)
	close(stop)
	served, asked := buyers()
	log.printf("buyers: %d requests of %d served", served, asked)
	log.printf("traffic has ended")
	time.Sleep(10 * time.Second) // finishS

	readable, same := false, true
	for until := time.Now().Add(20 * time.Second); !readable && time.Now().Before(until); time.Sleep(500 * time.Millisecond) {
		for _, m := range c.edges() {
			p, r := c.read(m, own, 0, false)
			log.printf("trainer: reads submission %s from the start at %s: %d, %d results %v", own, m.name, r.status, len(p.Results), r.err)
			if r.status != http.StatusOK {
				continue
			}
			readable = true
			for at, was := range before {
				same = same && at < len(p.Results) && p.Results[at].ID+" "+p.Results[at].State+" "+p.Results[at].EventData == was
			}
			break
		}
	}
	times, thrice := ends(c.stores())
	summary := fmt.Sprintf("processes of the core ended by themselves %d times, three times or more on %d of %d machines", times, thrice, len(c.stores()))
	switch {
	case !readable:
		return broken, "LOST: an accepted submission cannot be read at the end of the day; " + summary
	case !same:
		return broken, "LOST: results that had been read do not come again; " + summary
	case 2*thrice >= len(c.stores()):
		return broken, "FAULT: " + summary
	}
	return held, "the submission is read from the start; " + summary
}

// laterStep has the trainer submit its next step and read it for as long as it waits, 12 s. What
// becomes of it is only recorded.
func (c *cluster) laterStep() {
	id, items := newID(), usualItems(24, 8)
	status := c.submit("trainer", id, submission(2, 6, items), 4)
	read := 0
	for n, until := 0, time.Now().Add(12*time.Second); status == http.StatusAccepted && read < len(items) && time.Now().Before(until); n++ {
		p, r := c.read(c.edges()[n%2], id, read, true)
		if r.status == http.StatusOK {
			read = p.NextToken
		}
		time.Sleep(200 * time.Millisecond)
	}
	c.log.printf("trainer: its next step %s was answered %d; %d results of %d read within 12 s", id, status, read, len(items))
}
