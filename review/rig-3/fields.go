package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// cutRequest is a request on a kept channel that ended without an answer.
type cutRequest struct {
	id   string
	edge string
	at   time.Time
}

// kept has a client keep a channel to an edge machine and send one request after the other over
// it, until stop is closed. A channel that ends is replaced. It notes the requests whose channel
// closed without any byte of an answer, of those that were not the first on their channel.
func (c *cluster) kept(m *machine, stop chan struct{}, cut func(cutRequest), answered func()) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(100 * time.Millisecond):
		}
		conn, err := net.DialTimeout("tcp", m.at(portFront), time.Second)
		if err != nil {
			continue
		}
		reader := bufio.NewReader(conn)
		for n := 0; ; n++ {
			select {
			case <-stop:
				_ = conn.Close()
				return
			default:
			}
			id := newID()
			_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
			_, err := fmt.Fprintf(conn, "POST /once/report HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: 3000\r\nContent-Length: 6\r\n\r\nreport", hostName, id)
			var response *http.Response
			if err == nil {
				response, err = http.ReadResponse(reader, nil)
			}
			if err != nil {
				c.log.printf("crew: request %s at %s on a kept channel: %v", id, m.name, err)
				if n > 0 {
					cut(cutRequest{id, m.name, time.Now()})
				}
				break
			}
			_, err = io.Copy(io.Discard, response.Body)
			if err != nil || response.Close {
				break
			}
			if response.StatusCode == http.StatusOK {
				answered()
			}
			time.Sleep(50 * time.Millisecond)
		}
		_ = conn.Close()
	}
}

// manyFields: a client that nobody controls sends submissions of legal size that are made of very
// many short fields, each at up to three edge machines, as clients do after no answer.
func manyFields(log *record, trouble bool) (int, string) {
	c, f, err := deployment(log)
	if err != nil {
		return failed, err.Error()
	}
	defer f.close()
	defer c.close()
	for _, r := range f.replicas {
		r.work = 400 * time.Millisecond
		r.slots = 64
	}
	if err := c.startAll(); err != nil {
		return failed, err.Error()
	}
	if !c.operate(http.MethodPut, "/v1/config", manifest(1), 20*time.Second) || !c.ready(10*time.Second) {
		return failed, "the deployment does not serve"
	}
	time.Sleep(4 * time.Second) // contactMs, and a margin

	stop := make(chan struct{})
	watch := c.watchKept(stop)
	time.Sleep(2 * time.Second)

	// 9 MB, of the 33,554,432 bytes that the manifest allows.
	body := []byte(`{"trainStep":1,"model":"` + modelName + `","minVersion":1,"desired":1,"requests":[` + strings.Repeat(`{},`, 2999999) + `{}]}`)
	if !trouble {
		body = oddSubmission(len(body)/len(`{"id":"0000000000","path":"/train/1"},`), false)
	}
	for n := range 4 {
		status := c.submit("odd client", newID(), body, 3)
		log.printf("odd client: submission %d ended with %d", n+1, status)
		time.Sleep(5 * time.Second)
	}
	close(stop)
	served, lost := watch(f)
	times, thrice := ends(c.edges())
	summary := fmt.Sprintf("%d requests on kept channels answered, %d passed on to a sound replica and ended without an answer; processes of edge machines ended by themselves %d times, three times or more on %d of %d machines",
		served, lost, times, thrice, len(c.edges()))
	return verdictOfEdges(lost, thrice, summary)
}

// verdictOfEdges applies LOST for requests of kept channels, and FAULT for the edge machines.
func verdictOfEdges(lost, thrice int, summary string) (int, string) {
	switch {
	case lost > 3:
		return broken, "LOST: " + summary
	case thrice >= 2:
		return broken, "FAULT: " + summary
	}
	return held, summary
}

// watchKept has four clients at each edge machine keep channels until stop is closed. The returned
// function waits for them and returns how many requests were answered, and how many on kept
// channels ended without an answer that had reached a sound replica.
func (c *cluster) watchKept(stop chan struct{}) func(f *fleet) (served, lost int) {
	var mu sync.Mutex
	var cuts []cutRequest
	served := 0
	var crews sync.WaitGroup
	for _, m := range c.edges() {
		for range 4 {
			crews.Go(func() {
				c.kept(m, stop, func(r cutRequest) {
					mu.Lock()
					defer mu.Unlock()
					cuts = append(cuts, r)
				}, func() {
					mu.Lock()
					defer mu.Unlock()
					served++
				})
			})
		}
	}
	return func(f *fleet) (int, int) {
		crews.Wait()
		f.mu.Lock()
		ran := make(map[string]string)
		for _, a := range f.arrivals {
			ran[a.id] = a.replica
		}
		f.mu.Unlock()
		lost := 0
		for _, r := range cuts {
			if replica, ok := ran[r.id]; ok {
				lost++
				c.log.printf("crew: request %s was passed on to %s by %s, which closed its kept channel without an answer", r.id, replica, r.edge)
			}
		}
		return served, lost
	}
}
