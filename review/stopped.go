package main

import (
	"bufio"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["stopped"] = stopped }

const (
	gracePeriod = 8 * time.Second // gracePeriodS
	// lastSixth is when the last sixth of it begins: a replica that is still at work then
	// excuses a channel that ends.
	lastSixth = gracePeriod * 5 / 6
	// beforeStop is how long before the SIGTERM the streams are sent.
	beforeStop = 200 * time.Millisecond
	// judgeMargin keeps streams out that end at their replica just before the last sixth.
	judgeMargin = 20 * time.Millisecond
)

// streamEnd is what a client saw of a stream.
type streamEnd struct {
	id       string
	lasts    time.Duration // at the replica
	sent     time.Time
	ended    time.Time
	events   int
	complete bool
	err      error
}

// stopped sends streams to an edge machine, which gets SIGTERM meanwhile, and looks for those
// that end early although their replica ends them before the last sixth of gracePeriodS.
func stopped(c *cluster, trouble bool) ([]string, error) {
	if err := c.deploy(3, 2); err != nil {
		return nil, err
	}
	edge := c.edges()[0]
	var wg sync.WaitGroup
	var ends []*streamEnd
	// The last one is for the record only: its replica would be at work in the last sixth.
	for _, ms := range []int{1000, 3000, 5000, 6000, 6300, 6520, 6540, 6560, 6580, 6600, 6620, 6640, 7500} {
		lasts := time.Duration(ms)*time.Millisecond + beforeStop
		e := &streamEnd{id: fmt.Sprintf("s%d-%x", ms, time.Now().UnixNano()), lasts: lasts}
		ends = append(ends, e)
		wg.Go(func() { c.stream(edge, e) })
	}
	time.Sleep(beforeStop)
	stop := time.Now()
	if trouble {
		c.rec.printf("%s gets SIGTERM", edge.name)
		edge.signal(syscall.SIGTERM)
		go func() {
			edge.wait()
			c.rec.printf("%s has ended %d ms after the SIGTERM", edge.name, time.Since(stop).Milliseconds())
		}()
	}
	wg.Wait()
	time.Sleep(300 * time.Millisecond)
	return c.judgeStreams(ends, stop), nil
}

// stream sends a stream on a new channel and reads it to its end.
func (c *cluster) stream(m *machine, e *streamEnd) {
	request, err := http.NewRequest(http.MethodPost, fmt.Sprintf("http://%s/stream/%d/", m.front(), e.lasts.Milliseconds()), strings.NewReader("prompt"))
	if err != nil {
		e.err = err
		return
	}
	request.Host = clientHost
	request.Header.Set("X-Request-Id", e.id)
	request.Header.Set("X-Deadline-Ms", "12000")
	e.sent = time.Now()
	response, err := c.client.Do(request)
	if err != nil {
		e.ended, e.err = time.Now(), err
		return
	}
	defer func() { _ = response.Body.Close() }()
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		switch {
		case lines.Text() == "data: last":
			e.complete = true
		case strings.HasPrefix(lines.Text(), "id: "):
			e.events++
		}
	}
	e.ended, e.err = time.Now(), lines.Err()
	e.complete = e.complete && e.err == nil && response.StatusCode == http.StatusOK
}

// judgeStreams records what became of the streams and returns the breaks.
func (c *cluster) judgeStreams(ends []*streamEnd, stop time.Time) (breaks []string) {
	p := c.platform.plain
	p.mu.Lock()
	defer p.mu.Unlock()
	runs := make(map[string]streamRun)
	for _, r := range p.runs {
		runs[r.id] = r
	}
	since := func(t time.Time) int64 { return t.Sub(stop).Milliseconds() }
	for _, e := range ends {
		r, ran := runs[e.id]
		c.rec.printf("%s: sent at %d ms of the stop, ended at the client at %d ms with %d events, complete %v (%v); its replica, which needs until %d ms, ended at %d ms, complete %v",
			e.id, since(e.sent), since(e.ended), e.events, e.complete, e.err, since(e.sent.Add(e.lasts)), since(r.ended), r.complete)
		due := e.sent.Add(e.lasts).Sub(stop)
		if ran && !e.complete && due < lastSixth-judgeMargin {
			breaks = append(breaks, fmt.Sprintf("%s was passed on and broken off %d ms after the SIGTERM; its replica would have ended it at %d ms, before the last sixth of gracePeriodS (%d ms)",
				e.id, since(e.ended), due.Milliseconds(), lastSixth.Milliseconds()))
		}
	}
	return breaks
}
