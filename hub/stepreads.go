package hub

import (
	"context"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"merlinhall/ledger"
	"merlinhall/observe"
)

// readEnd is why a read of results is answered.
type readEnd string

// Reasons to answer a read. readEarlier and readNoNumber answer only a read that has not waited
// on with results.
const (
	readComplete  readEnd = "complete"  // the step has the complete groups that its trainer waits for
	readDue       readEnd = "due"       // the step is due, or it is not known when
	readWaited    readEnd = "waited"    // the client's wait has passed
	readFull      readEnd = "full"      // the page has reached its size
	readClosed    readEnd = "closed"    // there will be no more results
	readStopping  readEnd = "stopping"  // this process no longer leads
	readEarlier   readEnd = "earlier"   // from an earlier position than one handed out before
	readCancelled readEnd = "cancelled" // the call has ended
	readNoNumber  readEnd = "no_number" // the submission names no number of groups
)

// stepRead is a read of results, as far as it matters for how long it waits.
type stepRead struct {
	ledger.Standing
	open     bool // there may be more results
	after    int
	newest   int       // newest position handed out for the submission
	deadline time.Time // end of the client's wait
	stopping bool
}

// decide returns why the read is answered now, or until when it waits unless something changes.
// A read without results waits for the first one. One that has results waits until the step is
// complete: the trainer pauses after each answer, and the step may become complete in the pause.
func (s *stepRead) decide(now time.Time) (end readEnd, until time.Time) {
	complete := s.Wanted > 0 && s.Complete >= s.Wanted && s.Awaited == 0
	switch {
	case s.Results > 0 && complete:
		return readComplete, time.Time{}
	case !s.open:
		return readClosed, time.Time{}
	case !now.Before(s.deadline):
		return readWaited, time.Time{}
	case s.Results == 0:
		return "", s.deadline
	case s.stopping:
		return readStopping, time.Time{}
	case s.Wanted <= 0:
		return readNoNumber, time.Time{}
	case s.after < s.newest:
		return readEarlier, time.Time{}
	case s.Full:
		return readFull, time.Time{}
	case !now.Before(s.Due): // also without a due time
		return readDue, time.Time{}
	case s.Due.Before(s.deadline):
		return "", s.Due
	}
	return "", s.deadline
}

// StepReads has reads of results wait until the step has the complete groups that its trainer
// waits for. Its state is lost with the process; a read is then answered earlier or later within
// its wait.
type StepReads struct {
	log   *logrus.Entry
	lines observe.LineLimit
	ends  *prometheus.CounterVec
	held  prometheus.Histogram

	mu      sync.Mutex
	newest  map[string]int // newest position handed out, by submission
	pruneAt int            // size of newest at which unknown submissions are removed
}

// minPrune is the least number of submissions whose positions are kept before those that have
// been removed from the ledger are looked for.
const minPrune = 256

// NewStepReads registers its metrics with observer.
func NewStepReads(observer *observe.Observer) *StepReads {
	s := &StepReads{
		log: observer.Logger("hub"), newest: make(map[string]int), pruneAt: minPrune,
		ends: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "merlinhall_step_reads_total", Help: "Reads of results with a wait, by whether they waited on with results and why they were answered.",
		}, []string{"waited_on", "end"}),
		held: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "merlinhall_step_read_wait_seconds", Help: "Time for which reads with results waited for the step to be complete.",
			Buckets: prometheus.LinearBuckets(0.1, 0.1, 10),
		}),
	}
	observer.Registry.MustRegister(s.ends, s.held)
	return s
}

// wait returns when a read is to be answered. stop is closed when this process no longer leads,
// and nil while it does not know that it leads.
func (s *StepReads) wait(ctx context.Context, stop <-chan struct{}, submissions *ledger.Submissions, in *pageRequest) error {
	if in.Wait <= 0 {
		return nil
	}
	read := stepRead{after: max(0, in.After), deadline: time.Now().Add(in.Wait), stopping: stop == nil, newest: s.position(in.ID)}
	var heldSince time.Time
	for {
		standing, changed, found := submissions.Standing(in.ID, in.After, in.Limit)
		if !found {
			return nil
		}
		read.Standing, read.open = standing, changed != nil
		now := time.Now()
		end, until := read.decide(now)
		if end != "" {
			s.record(now, in.ID, &read, heldSince, end)
			return nil
		}
		if read.Results > 0 && heldSince.IsZero() {
			heldSince = now
		}
		stopped := stop
		if read.stopping || read.Results == 0 {
			stopped = nil // without results there is nothing to answer
		}
		timer := time.NewTimer(until.Sub(now))
		select {
		case <-changed:
		case <-timer.C:
		case <-stopped:
			read.stopping = true
		case <-ctx.Done():
			timer.Stop()
			s.record(time.Now(), in.ID, &read, heldSince, readCancelled)
			return ctx.Err()
		}
		timer.Stop()
	}
}

// record counts a read and logs it if it has waited on.
func (s *StepReads) record(now time.Time, id string, read *stepRead, heldSince time.Time, end readEnd) {
	if heldSince.IsZero() {
		s.ends.WithLabelValues("no", string(end)).Inc()
		return
	}
	s.ends.WithLabelValues("yes", string(end)).Inc()
	s.held.Observe(now.Sub(heldSince).Seconds())
	if !s.lines.Allow(now) {
		return
	}
	s.log.WithFields(logrus.Fields{
		"submission": id, "end": end, "held_ms": now.Sub(heldSince).Milliseconds(), "after": read.after, "newest": read.newest,
		"results": read.Results, "complete_groups": read.Complete, "wanted_groups": read.Wanted, "awaited_groups": read.Awaited,
		"due_in_ms": read.Due.Sub(now).Milliseconds(), "wait_left_ms": read.deadline.Sub(now).Milliseconds(),
	}).Info("read of results has waited for its step")
}

// position returns the newest position handed out for a submission.
func (s *StepReads) position(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.newest[id]
}

// handOut notes that the results before a position are handed out.
func (s *StepReads) handOut(submissions *ledger.Submissions, id string, next int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.newest[id] = max(s.newest[id], next)
	if len(s.newest) < s.pruneAt {
		return
	}
	for known := range s.newest {
		if !submissions.Has(known) {
			delete(s.newest, known)
		}
	}
	s.pruneAt = max(minPrune, 2*len(s.newest))
}
