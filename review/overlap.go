package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"syscall"
	"time"
)

func init() { cases["overlap"] = overlap }

const (
	// leadTime is the time from the start of the machines to the first traffic.
	leadTime = 10 * time.Second
	// frozenTime is how long a storage machine stands still.
	frozenTime = 3200 * time.Millisecond
	// defaultWipedAfter is when another one loses its disk, from the freeze on, and downTime
	// how long that machine is down. WIPED_AFTER_MS sets another time.
	defaultWipedAfter = 1325 * time.Millisecond
	downTime          = 2 * time.Second
	// recoveryTime is recoveryS, and readTime how long the operator and a client then ask,
	// several times contactMs.
	recoveryTime = 12 * time.Second
	readTime     = 20 * time.Second
)

// overlap freezes a storage machine and takes the disk of another one meanwhile. Both come
// back. Then it reads what was acknowledged.
func overlap(c *cluster, trouble bool) ([]string, error) {
	if err := c.deploy(4, 2); err != nil {
		return nil, err
	}
	version, id, err := c.acknowledged()
	if err != nil {
		return nil, err
	}
	if trouble {
		if err := c.freezeAndWipe(); err != nil {
			return nil, err
		}
	}
	c.rec.printf("all machines are back; waiting for recoveryS")
	time.Sleep(recoveryTime)
	return c.readBack(version, id, 8), nil
}

// freezeAndWipe freezes one voter that follows and takes the disk of the other one.
func (c *cluster) freezeAndWipe() error {
	leader := c.leader()
	if leader == nil {
		return fmt.Errorf("%w: no machine leads", errNotRun)
	}
	var followers []*machine
	for _, m := range c.controls()[:3] { // the seeds found the group
		if m != leader {
			followers = append(followers, m)
		}
	}
	if len(followers) != 2 {
		return fmt.Errorf("%w: %s leads, which is no seed", errNotRun, leader.name)
	}
	frozen, wiped := followers[0], followers[1]
	began := time.Now()
	c.rec.printf("%s freezes (%s leads)", frozen.name, leader.name)
	frozen.signal(syscall.SIGSTOP)
	time.Sleep(time.Until(began.Add(wipedAfter(defaultWipedAfter))))
	wiped.kill()
	if err := wiped.wipe(); err != nil {
		return err
	}
	lost := time.Now()
	c.rec.printf("%s is down and has lost its disk, %d ms after the freeze", wiped.name, lost.Sub(began).Milliseconds())
	time.Sleep(time.Until(began.Add(frozenTime)))
	frozen.signal(syscall.SIGCONT)
	c.rec.printf("%s wakes", frozen.name)
	time.Sleep(time.Until(lost.Add(downTime)))
	if err := c.start(wiped, false); err != nil {
		return err
	}
	c.rec.printf("%s is back with an empty disk", wiped.name)
	return nil
}

// acknowledged has a manifest acknowledged and a batch submission accepted, whose 8 results it
// reads.
func (c *cluster) acknowledged() (version int, id string, err error) {
	version, id = 2, fmt.Sprintf("lot%x", time.Now().UnixNano())
	if !c.putManifest(version, manifest(version), 5*time.Second) {
		return 0, "", fmt.Errorf("%w: the manifest was not acknowledged", errNotRun)
	}
	if !c.submit(id, submission(id, 8, 20), 5*time.Second) {
		return 0, "", fmt.Errorf("%w: the batch submission was not accepted", errNotRun)
	}
	if read := c.readAll(id, 8, 15*time.Second); read < 8 {
		return 0, "", fmt.Errorf("%w: %d of 8 results were listed before the disruption", errNotRun, read)
	}
	return version, id, nil
}

func wipedAfter(otherwise time.Duration) time.Duration {
	if ms, err := strconv.Atoi(os.Getenv("WIPED_AFTER_MS")); err == nil {
		return time.Duration(ms) * time.Millisecond
	}
	return otherwise
}

// deploy starts storage and edge machines and puts the first manifest, and returns when
// traffic begins.
func (c *cluster) deploy(storage, edge int) error {
	var err error
	if c.platform, err = newPlatform(3); err != nil {
		return err
	}
	zones := []string{"bole", "kirkos", "yeka", "lideta"}
	for i := range storage {
		if _, err := c.add(fmt.Sprintf("storage-%s-1", zones[i%len(zones)]), zones[i%len(zones)], true); err != nil {
			return err
		}
	}
	for i := range edge {
		if _, err := c.add(fmt.Sprintf("edge-%s-1", zones[i%len(zones)]), zones[i%len(zones)], false); err != nil {
			return err
		}
	}
	began := time.Now()
	if err := c.startAll(); err != nil {
		return err
	}
	if !c.putManifest(1, manifest(1), leadTime) {
		return fmt.Errorf("%w: the first manifest was not acknowledged", errNotRun)
	}
	time.Sleep(time.Until(began.Add(leadTime)))
	c.rec.printf("traffic begins")
	return nil
}

// submit sends a batch submission to the edge machines in turn until it is accepted.
func (c *cluster) submit(id string, body []byte, limit time.Duration) bool {
	until := time.Now().Add(limit)
	for n := 0; time.Now().Before(until); n++ {
		m := c.edges()[n%len(c.edges())]
		a := c.call(http.MethodPost, m.front(), "/batch/"+id, clientHost, id, body, 3*time.Second)
		if a.status == http.StatusAccepted {
			c.rec.printf("%s is accepted by %s", id, m.name)
			return true
		}
		time.Sleep(100 * time.Millisecond)
	}
	return false
}

// page returns the number of results that an edge machine lists of a batch submission.
func (c *cluster) page(m *machine, id string) (results int, a answer) {
	a = c.call(http.MethodGet, m.front(), "/v1/lots/"+id+"?after=0", clientHost, "", nil, 3*time.Second)
	var in struct {
		TotalCount int
		Results    []json.RawMessage
	}
	if a.status == http.StatusOK && json.Unmarshal(a.body, &in) == nil {
		results = len(in.Results)
	}
	return results, a
}

// readAll reads a batch submission until all results are listed, and returns their number.
func (c *cluster) readAll(id string, items int, limit time.Duration) (results int) {
	for until := time.Now().Add(limit); time.Now().Before(until) && results < items; time.Sleep(500 * time.Millisecond) {
		results, _ = c.page(c.edges()[0], id)
	}
	c.rec.printf("%s: %d of %d results are listed", id, results, items)
	return results
}

// readBack reads the manifest and a batch submission, whose results had all been read, until
// both come or readTime has passed, and returns what is lost.
func (c *cluster) readBack(version int, id string, items int) (breaks []string) {
	manifestCame, lotCame := false, false
	until := time.Now().Add(readTime)
	answers := make(map[string]int)
	for n := 0; time.Now().Before(until) && !(manifestCame && lotCame); n++ {
		m := c.controls()[n%len(c.controls())]
		a := c.call(http.MethodGet, m.operator(), "/v1/config", "", "", nil, 2*time.Second)
		answers["GET /v1/config: "+a.String()]++
		var in struct{ Version int }
		if a.status == http.StatusOK && json.Unmarshal(a.body, &in) == nil && in.Version >= version {
			manifestCame = true
		}
		results, b := c.page(c.edges()[n%len(c.edges())], id)
		answers["GET /v1/lots/ID: "+b.String()]++
		lotCame = lotCame || results >= items
		time.Sleep(200 * time.Millisecond)
	}
	for what, n := range answers {
		c.rec.printf("%d x %s", n, what)
	}
	if !manifestCame {
		breaks = append(breaks, fmt.Sprintf("manifest %d, which was acknowledged, doesn't come in %v after recoveryS", version, readTime))
	}
	if !lotCame {
		breaks = append(breaks, fmt.Sprintf("%s, whose %d results had been read, can't be read in %v after recoveryS", id, items, readTime))
	}
	return breaks
}
