package main

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

// greyReplica: one replica of seven fails part of its requests while its health probe is good. It
// runs them and then answers 503, without X-Not-Executed.
func greyReplica(log *record, trouble bool) (int, string) {
	c, f, err := deployment(log)
	if err != nil {
		return failed, err.Error()
	}
	defer f.close()
	defer c.close()
	zones := []string{"fukuoka-hall", "kumamoto-hall", "kagoshima-hall"}
	for i := 3; i < 7; i++ {
		if _, err := f.add(fmt.Sprint("i-app", i), appService, c.subnet+".201", zones[i%3], 6, false); err != nil {
			return failed, err.Error()
		}
	}
	if trouble {
		f.replicas[0].fail(0.4)
	}
	if err := c.startAll(); err != nil {
		return failed, err.Error()
	}
	if !c.operate(http.MethodPut, "/v1/config", manifest(1), 20*time.Second) || !c.ready(10*time.Second) {
		return failed, "the deployment does not serve"
	}
	time.Sleep(4 * time.Second) // contactMs, and a margin

	type answer struct {
		id, edge string
		reply    reply
	}
	var mu sync.Mutex
	var answers []answer
	var crews sync.WaitGroup
	for n := range 6 {
		crews.Go(func() {
			m := c.edges()[n%2]
			for range 100 {
				id := newID()
				r := call(http.MethodPost, m.at(portFront), "/once/order", map[string]string{"X-Request-Id": id, "X-Deadline-Ms": "3000"}, []byte("one approval"), 4*time.Second)
				mu.Lock()
				answers = append(answers, answer{id, m.name, r})
				mu.Unlock()
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
	crews.Wait()

	f.mu.Lock()
	ran := make(map[string]string)
	for _, a := range f.arrivals {
		ran[a.id] = a.replica
	}
	f.mu.Unlock()
	status := make(map[int]int)
	refused := 0
	for _, a := range answers {
		status[a.reply.status]++
		log.printf("approver: request %s was sent to %s, ran at %q and was answered %d", a.id, a.edge, ran[a.id], a.reply.status)
		if replica, ok := ran[a.id]; ok && promises(a.reply.status) {
			refused++
			log.printf("approver: request %s, not idempotent, was answered %d by %s (Retry-After %q, signature %q); it has run at %s", a.id, a.reply.status, a.edge, a.reply.header.Get("Retry-After"), a.reply.header.Get("X-Response-Signature"), replica)
		}
	}
	summary := fmt.Sprintf("%d requests that are not idempotent, answers by status %v, %d answered as not run though they have run", len(answers), status, refused)
	if refused > 0 {
		return broken, "REFUSED: " + summary
	}
	if status[http.StatusOK] < len(answers)*9/10 {
		return failed, summary
	}
	return held, summary
}

// promises reports whether a status says that the request has not run and never will.
func promises(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// fail has the replica run its requests, and answer a part of them 503.
func (r *replica) fail(part float64) {
	n := 0
	var mu sync.Mutex
	r.mu.Lock()
	defer r.mu.Unlock()
	r.answer = func(w http.ResponseWriter, q *http.Request) {
		if _, err := io.ReadAll(q.Body); err != nil {
			return
		}
		id := q.Header.Get("X-Request-Id")
		r.f.note(arrival{time.Now(), r.id, id, q.Method, q.RequestURI, true})
		time.Sleep(r.work)
		mu.Lock()
		n++
		fails := int(float64(n)*part) > int(float64(n-1)*part)
		mu.Unlock()
		w.Header().Set("X-Response-Signature", "sig."+id)
		if fails {
			r.f.log.printf("replica %s: request %s has run and failed; 503 without X-Not-Executed", r.id, id)
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		_, _ = fmt.Fprintf(w, "answer of %s", r.id)
	}
}
