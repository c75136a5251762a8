package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// ordinaryChannels is the number of kept channels of ordinary clients at each edge machine.
const ordinaryChannels = 6

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

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}
