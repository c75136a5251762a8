package main

import (
	"fmt"
	"syscall"
	"time"
)

const (
	openSteps   = 6
	photoBytes  = 140 << 10 // of an item's body
	stepGroups  = 7
	groupItems  = 4
	killedAfter = 1500 * time.Millisecond // after the last step was accepted
	contactTime = 3 * time.Second         // contactMs
	stepTime    = 12 * time.Second        // time limit of a step
	noReplica   = 5 * time.Second         // of steady state
)

// openStep is a step of a trainer.
type openStep struct {
	id        string
	items     []string
	submitted time.Time
	done      map[string]bool
	judged    bool
}

// oneLostCase takes one storage machine away while several steps are open.
func oneLostCase(rec *record, trouble bool) error {
	return killedCase(rec, trouble, func(nodes []*node) []*node {
		lost := nodes[1] // the first one founds the group and leads it
		lost.leave()
		return []*node{lost}
	})
}

// allKilledCase kills all processes of the core at the same moment while several steps are open.
func allKilledCase(rec *record, trouble bool) error {
	return killedCase(rec, trouble, func(nodes []*node) []*node { return nodes })
}

func killedCase(rec *record, trouble bool, choose func(nodes []*node) []*node) error {
	c, err := newCluster(rec, options{stores: 3, edges: 3, engines: 9, slots: 16, storeMb: 314, edgeMb: 284, fences: true, enforceMemory: true})
	if err != nil {
		return err
	}
	defer c.stop()
	for _, e := range c.platform.engines {
		e.events, e.gap = 40, 100*time.Millisecond
	}
	if err := c.begin(); err != nil {
		return err
	}
	var steps []*openStep
	for i := range openSteps {
		s := &openStep{id: fmt.Sprintf("step-%d", i+1), submitted: time.Now(), done: make(map[string]bool)}
		var body []byte
		body, s.items = submission(s.id, i+1, stepGroups, groupItems, itemOptions{bodyBytes: photoBytes, scorer: true})
		if _, ok := c.again("entry", portFront, 10*time.Second, "trainer", "POST", "/train/"+s.id, s.id, body, 202); !ok {
			return fmt.Errorf("%s was not accepted", s.id)
		}
		steps = append(steps, s)
	}
	time.Sleep(killedAfter)
	rec.line("replicas: %d runs of items have begun, %d are at work", c.platform.arrivals(), c.platform.running())
	stable := rec.began // since when the core is stable
	if trouble {
		for _, n := range choose(c.withRole("control")) {
			rec.line("platform: SIGKILL to the process of %s; stays away: %t, else it is back after %s", n.name, n.away, restartDelay)
			n.signal(syscall.SIGKILL)
		}
		stable = time.Now().Add(restartDelay + 100*time.Millisecond + contactTime)
	}
	halfFull := time.Time{} // when the replicas were half full last
	for judged := 0; judged < len(steps); {
		time.Sleep(200 * time.Millisecond)
		if c.platform.running()*2 >= len(c.platform.engines)*c.slots {
			halfFull = time.Now()
		}
		for _, s := range steps {
			if s.judged {
				continue
			}
			late := time.Since(s.submitted) >= stepTime
			c.readStep(s)
			if len(s.done) < len(s.items) && !late {
				continue
			}
			s.judged = true
			judged++
			c.judge(s, stable, halfFull)
			_, _ = c.again("entry", portFront, 5*time.Second, "trainer", "DELETE", "/v1/lots/"+s.id, "", nil, 200)
		}
	}
	for _, n := range c.nodes {
		boots, kills, ends, peak := n.state()
		rec.line("%s: %d starts, killed %d times for its memory, ended %d times, peak %d MB of %d", n.name, boots, kills, ends, peak, n.memoryMb)
	}
	return nil
}

func (c *cluster) readStep(s *openStep) {
	edges := c.withRole("entry")
	n := edges[int(time.Since(s.submitted)/time.Millisecond)%len(edges)]
	status, body, err := call("GET", n.at(portFront), "/v1/lots/"+s.id+"?after=0", routeHost, "", nil, time.Second)
	if err != nil || status != 200 {
		return
	}
	for _, r := range parsePage(body).Results {
		s.done[r.ID] = true
	}
}

// judge applies the rule to a step that is complete or has run out of time.
func (c *cluster) judge(s *openStep, stable, halfFull time.Time) {
	out := time.Now()
	begun, waiting, longest := 0, 0, time.Duration(0)
	for _, item := range s.items {
		at, ran, left := c.platform.seen(item)
		if ran {
			begun++
		}
		if s.done[item] || at {
			continue
		}
		since := stable
		for _, t := range []time.Time{left, halfFull, s.submitted} {
			if t.After(since) {
				since = t
			}
		}
		if wait := out.Sub(since); wait >= noReplica {
			waiting++
			longest = max(longest, wait)
		}
	}
	c.rec.line("trainer: %s ends after %.1f s: %d of %d items listed, %d have been at a replica; replicas at work on %d runs, places %d",
		s.id, out.Sub(s.submitted).Seconds(), len(s.done), len(s.items), begun, c.platform.running(), len(c.platform.engines)*c.slots)
	if waiting > 0 && begun > 0 {
		c.rec.breaks("LOST: %s has run out of time; %d of its items, which no replica has finished or failed, have been at no replica for up to %.1f s of steady state, with the replicas under half full", s.id, waiting, longest.Seconds())
	}
}

// seen says whether an item is at a replica now, whether it was ever at one, and when it left the
// last one.
func (p *platform) seen(item string) (at, ran bool, left time.Time) {
	for _, e := range p.engines {
		e.mu.Lock()
		ran = ran || e.began["/"+item] > 0
		at = at || e.at[item] > 0
		if t := e.left[item]; t.After(left) {
			left = t
		}
		e.mu.Unlock()
	}
	return at, ran, left
}

// arrivals returns the number of runs that have begun on all engines.
func (p *platform) arrivals() int {
	n := 0
	for _, e := range p.engines {
		e.mu.Lock()
		for _, runs := range e.began {
			n += runs
		}
		e.mu.Unlock()
	}
	return n
}

func (p *platform) running() int {
	n := 0
	for _, e := range p.engines {
		e.mu.Lock()
		n += e.running
		e.mu.Unlock()
	}
	return n
}
