package hub

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"merlinhall/control"
	"merlinhall/ledger"
	"merlinhall/observe"
	"merlinhall/wire"
)

const (
	// heldMemoryDivisor divides the memory of the smallest control host to get the bound on what
	// submissions hold with their results. The rest is for the log, and for a snapshot that is encoded
	// or restored beside the state.
	heldMemoryDivisor = 3
	// A client account may hold accountShare/accountShareDivisor of what the others leave, so that
	// there is room for those that come later.
	accountShare, accountShareDivisor = 3, 4
	// freeDivisor divides the free room of an account into what one submission may take of it, so
	// that large submissions leave room for small ones.
	freeDivisor = 2
	// transitDivisor divides the room into the bound on the submissions that are on their way to the
	// log at the same time: each has several copies in messages, commands and the log.
	transitDivisor = 6
	// reservationTime is how long room is kept for a submission that does not arrive, or whose
	// command has an unknown outcome.
	reservationTime = 5 * time.Second
	// transitWait bounds the wait for other submissions that are on their way.
	transitWait = time.Second
	// minRetryAfter and maxRetryAfter bound the time after which a refused client is asked to come
	// again. Submissions that are ended may make room before.
	minRetryAfter = time.Second
	maxRetryAfter = 30 * time.Second
)

// roomRequest asks for room for a submission before it is sent.
type roomRequest struct {
	Submission string `cbor:"1,keyasint"`
	Account    string `cbor:"2,keyasint,omitempty"`
	Held       int    `cbor:"3,keyasint"` // see ledger.Submission.HeldBytes
	Bytes      int    `cbor:"4,keyasint"` // of its largest message to the leader
}

type roomReply struct {
	Accepted bool `cbor:"1,keyasint,omitempty"` // before
	// Limit is set if the submission alone takes more than this number of bytes, for which there is
	// never room.
	Limit int `cbor:"2,keyasint,omitempty"`
}

// reservation is room for a submission that is not in the replicated state yet.
type reservation struct {
	account     string
	held, bytes int
	until       time.Time
}

// room decides for which submissions the control leader has room. What submissions hold is part of
// the replicated state; what is on its way there is reserved, so that submissions that arrive at
// the same time can't take the same room.
type room struct {
	limit      func() int // bytes that submissions may hold; 0 means no limit
	held       func(account string) ledger.Held
	nextExpiry func() (time.Time, bool)
	log        *logrus.Entry

	refusals *prometheus.CounterVec // by reason
	lines    observe.LineLimit

	mu       sync.Mutex
	reserved map[string]reservation // by submission
	changed  chan struct{}          // closed when a reservation ends
}

func newRoom(limit func() int, held func(account string) ledger.Held, nextExpiry func() (time.Time, bool), log *logrus.Entry) *room {
	return &room{
		limit: limit, held: held, nextExpiry: nextExpiry, log: log,
		refusals: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "merlinhall_submissions_refused_total", Help: "Submissions that the control leader had no room for, by what they would have exceeded: the size of one submission, the free room in all or of the client account, or the submissions on their way to the log at the same time.",
		}, []string{"reason"}),
		reserved: make(map[string]reservation), changed: make(chan struct{}),
	}
}

// register registers the metrics of the room.
func (r *room) register(registry *prometheus.Registry) {
	registry.MustRegister(r.refusals,
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "merlinhall_submissions_held_bytes", Help: "Memory that accepted submissions take.",
		}, func() float64 { return float64(r.held("").Total) }),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "merlinhall_submissions_limit_bytes", Help: "Limit of the memory that accepted submissions take.",
		}, func() float64 { return float64(r.limit()) }),
	)
}

// largestSubmission returns what one submission may take beside what is held: a part of what is free
// for the requests of its account, and of what is free in all. Texts of results count for the second
// only: a trainer whose results are large must not be refused while there is room.
func largestSubmission(limit int, held ledger.Held) int {
	others := held.Requests - held.Account
	ofAccount := (limit-others)*accountShare/accountShareDivisor - held.Account
	return min(ofAccount, limit-held.Total) / freeDivisor
}

// excess returns which bound a submission would exceed, or an empty string if there is room for it.
// transit is the size of the other submissions that are on their way to the log.
func excess(limit int, held ledger.Held, in *roomRequest, transit int) string {
	switch {
	case limit == 0:
		return ""
	case in.Held > largestSubmission(limit, ledger.Held{}):
		return "size"
	case in.Held > largestSubmission(limit, held):
		return "room"
	case transit > 0 && transit+in.Bytes > limit/transitDivisor:
		return "transit"
	}
	return ""
}

// tooLargeError is the error of a submission for which there is never room.
type tooLargeError struct{ limit int }

// Error implements error.
func (e *tooLargeError) Error() string {
	return fmt.Sprintf("a submission may take %d bytes of memory", e.limit)
}

// Unwrap returns control.ErrRejected.
func (*tooLargeError) Unwrap() error { return control.ErrRejected }

// limitOf returns the limit that a submission exceeds for which there is never room, 0 for any other
// error.
func limitOf(err error) int {
	var tooLarge *tooLargeError
	if eris.As(err, &tooLarge) {
		return tooLarge.limit
	}
	return 0
}

// reserve keeps room for a submission until release is called or reservationTime has passed. While
// too much is on its way to the log it waits. Errors are *tooLargeError, *control.FullError or that
// of ctx.
func (r *room) reserve(ctx context.Context, in *roomRequest) error {
	timer := time.NewTimer(transitWait)
	defer timer.Stop()
	for waited := false; ; {
		changed, err := r.tryReserve(in, time.Now(), waited)
		if changed == nil {
			return err
		}
		select {
		case <-changed:
		case <-timer.C:
			waited = true
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// tryReserve is one attempt of reserve. If the submission has to wait for others, it returns a
// channel that is closed when one of their reservations ends, or refuses it if waited is set.
func (r *room) tryReserve(in *roomRequest, now time.Time, waited bool) (changed <-chan struct{}, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	held := r.held(in.Account) // has all whose reservations were released
	transit := 0
	for id, v := range r.reserved {
		switch {
		case now.After(v.until):
			delete(r.reserved, id)
			continue
		case id == in.Submission:
			continue
		}
		transit += v.bytes
		held.Total += v.held
		held.Requests += v.held
		if v.account == in.Account {
			held.Account += v.held
		}
	}
	limit := r.limit()
	reason := excess(limit, held, in, transit)
	switch {
	case reason == "":
		r.reserved[in.Submission] = reservation{account: in.Account, held: in.Held, bytes: in.Bytes, until: now.Add(reservationTime)}
		return nil, nil
	case reason == "transit" && !waited:
		return r.changed, nil
	}
	return nil, r.refuse(in, reason, limit, held, transit, now)
}

// refuse counts and logs a refusal and returns its error.
func (r *room) refuse(in *roomRequest, reason string, limit int, held ledger.Held, transit int, now time.Time) error {
	after := minRetryAfter
	if at, ok := r.nextExpiry(); ok && reason != "transit" {
		after = min(max(at.Sub(now), minRetryAfter), maxRetryAfter)
	}
	r.refusals.WithLabelValues(reason).Inc()
	if r.lines.Allow(now) {
		r.log.WithFields(logrus.Fields{
			"submission": in.Submission, "account": in.Account, "reason": reason, "bytes": in.Held,
			"held": held.Total, "held_requests": held.Requests, "held_by_account": held.Account, "in_transit": transit, "limit": limit, "retry_after_ms": after.Milliseconds(),
		}).Info("no room for a submission")
	}
	if reason == "size" {
		return &tooLargeError{largestSubmission(limit, ledger.Held{})}
	}
	return &control.FullError{
		Reason:     fmt.Sprintf("no room for a submission that takes %d bytes (%s): submissions hold %d of %d", in.Held, reason, held.Total, limit),
		RetryAfter: after,
	}
}

// release ends the reservation of a submission that is in the replicated state, or never will be.
func (r *room) release(submission string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, ok := r.reserved[submission]; ok {
		delete(r.reserved, submission)
		close(r.changed)
		r.changed = make(chan struct{})
	}
}

// heldLimit returns the bytes that submissions may hold, 0 if no memory is known.
func (h *Hub) heldLimit() int {
	status := h.opts.Replica.Status()
	h.mu.Lock()
	defer h.mu.Unlock()
	var processes []string
	for _, m := range status.Members {
		processes = append(processes, m.Name)
	}
	for c := range h.controlLinks {
		processes = append(processes, c.Peer().Process)
	}
	return int(smallestMemory(h.opts.MemoryBytes, h.memoryByAddress, processes) / heldMemoryDivisor)
}

// smallestMemory returns the least memory of a control process's own host and of those of others:
// what submissions hold must fit into each, as any of them can become the leader. Hosts of processes
// that have not said what memory they have are left out.
func smallestMemory(own int64, memoryByAddress map[string]int64, others []string) int64 {
	for _, process := range others {
		if n := memoryByAddress[process]; n > 0 {
			own = min(own, n)
		}
	}
	return own
}

// reserveRoom reserves room for a submission, after everything that earlier leaders have accepted is
// applied here.
func (h *Hub) reserveRoom(ctx context.Context, in *roomRequest) error {
	if err := h.confirmLeadership(ctx, true); err != nil {
		return err
	}
	return h.room.reserve(ctx, in)
}

// settleRoom ends the reservation of a submission whose command has ended with err, unless the command
// may still be committed.
func (h *Hub) settleRoom(submission string, err error) {
	if !eris.Is(err, control.ErrUnknownOutcome) && !eris.Is(err, context.DeadlineExceeded) && !eris.Is(err, context.Canceled) {
		h.room.release(submission)
	}
}

// askRoom answers whether there is room for a submission, and reserves it.
func (h *Hub) askRoom(ctx context.Context, body []byte) ([]byte, error) {
	in := new(roomRequest)
	if err := decode(body, in); err != nil {
		return nil, err
	}
	if known, err := h.knownSubmission(in.Account, in.Submission); known || err != nil {
		return replyOr(err, &roomReply{Accepted: known})
	}
	err := h.reserveRoom(ctx, in)
	if limit := limitOf(err); limit > 0 {
		return wire.Marshal(&roomReply{Limit: limit})
	}
	return replyOr(err, &roomReply{})
}
