package main

import (
	"fmt"
	"syscall"
	"time"
)

func init() { cases["replaced"] = replaced }

const (
	// successorTime is how long the new machine runs before the former one is stopped; it is
	// above catchUpS.
	successorTime = 8 * time.Second
	// defaultLostAfter is when another machine loses its disk, from the SIGTERM on.
	// WIPED_AFTER_MS sets another time.
	defaultLostAfter = 700 * time.Millisecond
)

// replaced replaces a storage machine as planned, the new one first, and takes the disk of
// another one soon after the former one has been stopped. Then it reads what was acknowledged.
func replaced(c *cluster, trouble bool) ([]string, error) {
	c.catchUp, c.fencing = "4.7", false // rcw-faultdesk
	if err := c.deploy(3, 2); err != nil {
		return nil, err
	}
	version, id, err := c.acknowledged()
	if err != nil {
		return nil, err
	}
	successor, err := c.add("storage-lideta-1", "lideta", true)
	if err != nil {
		return nil, err
	}
	if err := c.start(successor, false); err != nil {
		return nil, err
	}
	c.rec.printf("%s is added", successor.name)
	time.Sleep(successorTime)
	leader := c.leader()
	if leader == nil {
		return nil, fmt.Errorf("%w: no machine leads", errNotRun)
	}
	var followers []*machine
	for _, m := range c.controls()[:3] { // the seeds found the group
		if m != leader {
			followers = append(followers, m)
		}
	}
	if len(followers) != 2 {
		return nil, fmt.Errorf("%w: %s leads, which is no seed", errNotRun, leader.name)
	}
	former, lost := followers[0], followers[1]
	began := time.Now()
	c.rec.printf("%s gets SIGTERM and leaves for good (%s leads)", former.name, leader.name)
	former.signal(syscall.SIGTERM)
	former.wait()
	c.rec.printf("%s has ended after %d ms", former.name, time.Since(began).Milliseconds())
	c.remove(former)
	if trouble {
		time.Sleep(time.Until(began.Add(wipedAfter(defaultLostAfter))))
		lost.kill()
		if err := lost.wipe(); err != nil {
			return nil, err
		}
		c.rec.printf("%s is down and has lost its disk, %d ms after the SIGTERM", lost.name, time.Since(began).Milliseconds())
		time.Sleep(downTime)
		if err := c.start(lost, false); err != nil {
			return nil, err
		}
		c.rec.printf("%s is back with an empty disk", lost.name)
	}
	time.Sleep(recoveryTime)
	return c.readBack(version, id, 8), nil
}

// remove takes a machine whose process has ended away, with its disk.
func (c *cluster) remove(m *machine) {
	_ = m.wipe()
	for i, o := range c.machines {
		if o == m {
			c.machines = append(c.machines[:i:i], c.machines[i+1:]...)
		}
	}
}
