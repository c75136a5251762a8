package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	readersPerEdge   = 200
	readerBuffer     = 4096 // receive buffer of a slow reader
	readerSegment    = 1400 // bytes of a packet, as on an Ethernet; loopback has 64 KB
	readerBytes      = 1024 // that it reads
	readerPause      = time.Second
	readersTime      = 40 * time.Second
	ordinaryChannels = 6 // kept channels of ordinary clients at each edge machine
)

// readersCase has a crowd read the results of an ordinary step very slowly, beside ordinary
// clients.
func readersCase(rec *record, trouble bool) error {
	c, err := newCluster(rec, options{stores: 4, edges: 4, engines: 11, fences: true, enforceMemory: true})
	if err != nil {
		return err
	}
	defer c.stop()
	for _, e := range c.platform.engines {
		e.events, e.gap = 12, 20*time.Millisecond
	}
	c.platform.plain.work = 100 * time.Millisecond
	if err := c.begin(); err != nil {
		return err
	}
	// One step of the sheet: 43 groups of 4 items, 12 events of 330 bytes each.
	body, items := submission("step", 1, 43, 4, itemOptions{bodyBytes: 600, scorer: true})
	if _, ok := c.again("entry", portFront, 10*time.Second, "trainer", "POST", "/train/step", "step", body, 202); !ok {
		return fmt.Errorf("the step was not accepted")
	}
	for end, read := time.Now().Add(25*time.Second), 0; read < len(items); time.Sleep(500 * time.Millisecond) {
		if b, ok := c.again("entry", portFront, 5*time.Second, "trainer", "GET", "/v1/lots/step?after=0", "", nil, 200); ok {
			p := parsePage(b)
			read = len(p.Results)
		}
		if time.Now().After(end) {
			return fmt.Errorf("the step has %d of %d results", read, len(items))
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), readersTime)
	defer cancel()
	var wg sync.WaitGroup
	var o ordinary
	for _, n := range c.withRole("entry") {
		for i := range ordinaryChannels {
			wg.Go(func() { o.run(ctx, c, n, i) })
		}
	}
	var begun, cut atomic.Int64
	if trouble {
		time.Sleep(3 * time.Second)
		for _, n := range c.withRole("entry") {
			rec.line("client: a crowd of %d begins to read /v1/lots/step?after=0 slowly at %s", readersPerEdge, n.name)
			for range readersPerEdge {
				wg.Go(func() {
					for ctx.Err() == nil {
						begun.Add(1)
						readSlowly(ctx, n.at(portFront))
						cut.Add(1)
						sleep(ctx, readerPause)
					}
				})
			}
		}
	}
	wg.Wait()
	rec.line("client: the crowd began %d reads, of which %d ended", begun.Load(), cut.Load())
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
	if over >= 2 {
		rec.breaks("Fault: on %d of %d machines the process has ended by itself three times or more (memory over the limit counts)", over, len(c.nodes))
	}
	if o.lost.Load() > 3 {
		rec.breaks("LOST: %d requests from kept channels were passed on to a sound server, and their channels closed without an answer", o.lost.Load())
	}
	return nil
}

// ordinary counts what became of the requests of ordinary clients.
type ordinary struct{ served, other, notPassed, lost atomic.Int64 }

// run sends requests on a kept channel, one after the other.
func (o *ordinary) run(ctx context.Context, c *cluster, n *node, client int) {
	path := "/report/"
	if client%2 == 1 {
		path = "/order/" // may run once at most
	}
	for i := 0; ctx.Err() == nil; {
		conn, err := net.DialTimeout("tcp", n.at(portFront), time.Second)
		if err != nil {
			sleep(ctx, 200*time.Millisecond)
			continue
		}
		reader := bufio.NewReader(conn)
		for ; ctx.Err() == nil; i++ {
			id := fmt.Sprintf("o-%s-%d-%d", n.name, client, i)
			_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
			_, err := fmt.Fprintf(conn, "GET %s%s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: 2000\r\n\r\n", path, id, routeHost, id)
			var response *http.Response
			if err == nil {
				response, err = http.ReadResponse(reader, nil)
			}
			if err == nil {
				_, err = io.Copy(io.Discard, response.Body)
			}
			if err != nil {
				time.Sleep(20 * time.Millisecond) // what was passed on has arrived
				if c.platform.plain.hasRun(id) {
					o.lost.Add(1)
					c.rec.line("client: request %s%s at %s reached the server and got no answer: %v", path, id, n.name, err)
				} else {
					o.notPassed.Add(1)
				}
				i++
				break
			}
			if response.StatusCode == http.StatusOK {
				o.served.Add(1)
			} else {
				o.other.Add(1)
				sleep(ctx, 100*time.Millisecond)
			}
			if response.Close {
				i++
				break
			}
		}
		_ = conn.Close()
	}
}

func (s *service) hasRun(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ran[id] > 0
}

// readSlowly asks for the results of the step and reads a little of them each second.
func readSlowly(ctx context.Context, address string) {
	d := net.Dialer{Timeout: time.Second, Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, readerBuffer)
		})
	}}
	conn, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	if _, err := fmt.Fprintf(conn, "GET /v1/lots/step?after=0 HTTP/1.1\r\nHost: %s\r\n\r\n", routeHost); err != nil {
		return
	}
	for ctx.Err() == nil {
		_ = conn.SetReadDeadline(time.Now().Add(5 * time.Second))
		if _, err := conn.Read(make([]byte, readerBytes)); err != nil {
			return
		}
		sleep(ctx, readerPause)
	}
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}
