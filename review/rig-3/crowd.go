package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// crowdReaders is the number of clients that read the results of one step, over all edge
	// machines, each about twice per second or less. calmReaders do so without the disruption.
	crowdReaders = 1500
	calmReaders  = 12
	crowdTime    = 30 * time.Second
	readPause    = 500 * time.Millisecond
	// slowPiece and slowPause make a slow reader: some 400 KB a second.
	slowPiece = 4 << 10
	slowPause = 10 * time.Millisecond
)

// sentences returns some 400 bytes of text that hardly repeats.
func sentences(int) string {
	const letters = "abcdefghijklmnopqrstuvwxyz ABCDEFGHIJKLMNOPQRSTUVWXYZ 0123456789"
	b := make([]byte, 400)
	for i := range b {
		b[i] = letters[rand.IntN(len(letters))]
	}
	return strings.TrimSpace(string(b))
}

// readSlowly reads the results of a submission from the start over a new channel, and returns the
// status, or 0 without a whole answer.
func (c *cluster) readSlowly(m *machine, id string) int {
	conn, err := net.DialTimeout("tcp", m.at(portFront), time.Second)
	if err != nil {
		return 0
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
	if _, err := fmt.Fprintf(conn, "GET /v1/lots/%s?after=0 HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nConnection: close\r\n\r\n", id, hostName, newID()); err != nil {
		return 0
	}
	status, piece := 0, make([]byte, slowPiece)
	for {
		n, err := conn.Read(piece)
		if status == 0 && n >= 12 {
			_, _ = fmt.Sscanf(string(piece[:12]), "HTTP/1.1 %d", &status)
		}
		switch {
		case err == io.EOF:
			return status
		case err != nil:
			return 0
		}
		time.Sleep(slowPause)
	}
}

// readers: a crowd of clients reads the results of an ordinary step, slowly, again and again.
func readers(log *record, trouble bool) (int, string) {
	c, f, err := deployment(log)
	if err != nil {
		return failed, err.Error()
	}
	defer f.close()
	defer c.close()
	zones := []string{"fukuoka-hall", "kumamoto-hall", "kagoshima-hall"}
	for i, n := range []int{1, 2, 2, 2, 3, 3} {
		if i > 0 {
			c.add(fmt.Sprintf("edge-%s-%d", zones[(i+1)%3], n+i/3), zones[(i+1)%3], false, 134)
		}
	}
	for _, r := range f.replicas {
		if r.engine {
			r.pause, r.data = 20*time.Millisecond, sentences
		}
	}
	if err := c.startAll(); err != nil {
		return failed, err.Error()
	}
	if !c.operate(http.MethodPut, "/v1/config", manifest(1), 20*time.Second) || !c.ready(10*time.Second) {
		return failed, "the deployment does not serve"
	}
	id, items := newID(), usualItems(160, 24)
	if c.submit("trainer", id, submission(1, 40, items), 4) != http.StatusAccepted {
		return failed, "an ordinary submission is not accepted"
	}
	read, bytes := 0, 0
	for n, until := 0, time.Now().Add(25*time.Second); read < len(items) && time.Now().Before(until); n++ {
		p, r := c.read(c.edges()[n%2], id, read, true)
		if r.status == http.StatusOK {
			read, bytes = p.NextToken, bytes+len(r.body)
		}
	}
	log.printf("trainer: has read all %d results of submission %s, %d bytes", read, id, bytes)
	if read != len(items) {
		return failed, "an ordinary submission is not complete"
	}

	n := calmReaders
	if trouble {
		n = crowdReaders
	}
	log.printf("crowd: %d clients read its results from the start, slowly, and again after %v", n, readPause)
	var clients sync.WaitGroup
	var mu sync.Mutex
	answers := make(map[int]int)
	until := time.Now().Add(crowdTime)
	for i := range n {
		clients.Go(func() {
			time.Sleep(time.Duration(rand.Int64N(int64(2 * time.Second))))
			for time.Now().Before(until) {
				status := c.readSlowly(c.edges()[i%len(c.edges())], id)
				mu.Lock()
				answers[status]++
				mu.Unlock()
				time.Sleep(readPause)
			}
		})
	}
	time.Sleep(5 * time.Second)
	c.laterStep()
	clients.Wait()
	log.printf("crowd: answers by status (0: none) %v", answers)
	for _, m := range c.machines {
		m.mu.Lock()
		log.printf("platform: %s has used up to %d MB of %d; %d processes ended by themselves", m.name, m.peakEver, m.memoryMb, m.ownEnds)
		m.mu.Unlock()
	}
	times, thrice := ends(c.stores())
	summary := fmt.Sprintf("processes of the core ended by themselves %d times, three times or more on %d of %d machines", times, thrice, len(c.stores()))
	if 2*thrice >= len(c.stores()) {
		return broken, "FAULT: " + summary
	}
	return held, summary
}
