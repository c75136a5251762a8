package forward

import (
	"context"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"merlinhall/directory"
	"merlinhall/streams"
	"merlinhall/wire"
)

const (
	// findPatience is how long a request that takes a stream up waits for a control leader that
	// can be asked, the duration of a long election. findInterval is the time between questions.
	findPatience = 1200 * time.Millisecond
	findInterval = 50 * time.Millisecond
	// retryAfterNoAnswer is the Retry-After value of streams of which the control leader could
	// not be asked, the duration of an election.
	retryAfterNoAnswer = 700 * time.Millisecond
)

// Reasons for which a stream is not taken up.
const (
	reasonNoAttempt  = "the request names no attempt that began the stream; begin the stream anew"
	reasonNoRecord   = "it is not known which software version began the stream; begin the stream anew"
	reasonNoAnswer   = "it cannot be asked now which software version began the stream"
	reasonOtherRoute = "the stream began at a service that the route no longer has; begin the stream anew"
	reasonNoSoftware = "no target with the software version that began the stream is ready; begin the stream anew"
)

// TakeUp is what a caller says of a stream that it goes on with.
type TakeUp struct {
	Attempt string // id of the caller's attempt that brought the first event
	After   string // id of the last event that the caller has
}

var (
	errNotReplaced = eris.New("forward: the record of an earlier attempt at other software could not be replaced")
	errWrongEvent  = eris.New("forward: the stream goes on with another event than the next one")
)

// findSoftware finds out at which software a stream goes on that its caller takes up. It
// returns the result of the request if it cannot go on.
func (s *stream) findSoftware(ctx context.Context) *Result {
	t := s.r.TakeUp
	if t == nil || !s.r.Route.Repeatable {
		return nil
	}
	var key streams.Key // that of no stream
	if t.Attempt != "" {
		key = streams.KeyOf(t.Attempt, &s.r.Request, s.r.Account)
	}
	software, known := s.find(ctx, key)
	switch {
	case known == streams.NoRecord && t.Attempt == "":
		return s.notTakenUp(reasonNoAttempt, retryAfterNoTarget)
	case known == streams.NoAnswer:
		return s.notTakenUp(reasonNoAnswer, retryAfterNoAnswer)
	case known == streams.NoRecord:
		return s.notTakenUp(reasonNoRecord, retryAfterNoTarget)
	case !s.r.Route.Serves(software.Service):
		return s.notTakenUp(reasonOtherRoute, retryAfterNoTarget)
	}
	s.software = software
	return nil
}

// find asks for the software that began a stream. Without a record, or without a leader, the list
// of targets shows it if the service has had a single one for longer than streams last. That is
// asked only when the list must have shown all targets at which the stream can have begun: this
// process, or the leader, may have been cut off or have stood still while some joined. find asks
// again for the time of an election, since callers come back only a few times.
func (s *stream) find(ctx context.Context, key streams.Key) (software wire.Software, known streams.Known) {
	began := time.Now()
	listed := began.Add(s.f.ListLag + directory.MaxSoleAge)
	latest := began.Add(time.Until(s.r.Deadline) / 2)
	only, lifetime := s.onlyService(), streams.Lifetime(s.r.Route.Timeout)
	for {
		service := "" // of which the leader is asked for the only software
		if !time.Now().Before(listed) {
			service = only
		}
		software, known = s.f.Streams.Find(ctx, key, service)
		waits := service == "" && s.f.Directory.MayBeSole(time.Now(), only, lifetime)
		if known == streams.Recorded || known == streams.NoRecord && !waits {
			return software, known
		}
		if sole, ok := s.f.Directory.Sole(time.Now(), service, lifetime); ok {
			return sole, streams.Recorded
		}
		until := began.Add(findPatience)
		if waits {
			until = listed.Add(findPatience)
		}
		if !time.Now().Before(until) || !time.Now().Before(latest) {
			return software, known
		}
		select {
		case <-time.After(findInterval):
		case <-ctx.Done():
			return software, known
		}
	}
}

// onlyService returns the service of the route, or "" if there are several.
func (s *stream) onlyService() string {
	if len(s.r.Route.Shares) != 1 {
		return ""
	}
	return s.r.Route.Shares[0].Service
}

func (s *stream) notTakenUp(reason string, after time.Duration) *Result {
	result := s.notRun(reason, after)
	return &result
}

// begins reports whether an attempt may bring the first event of a stream that its caller may
// take up.
func (s *stream) begins() bool {
	return !s.begun && s.r.TakeUp == nil && s.r.Route.Repeatable && s.r.ID != ""
}

// tell has it recorded which software the attempt may begin the stream at.
func (s *stream) tell(a *attempt) {
	if !s.begins() {
		return
	}
	if s.opening == nil {
		s.opening = s.f.Streams.Open(streams.KeyOf(s.r.ID, &s.r.Request, s.r.Account))
	}
	s.opening.Sent(a.target.Software())
}

// begin gives the stream to the caller, from the response of the attempt on.
func (s *stream) begin(ctx context.Context, a *attempt) error {
	if s.begins() && !s.opening.Deliver(ctx) {
		return errNotReplaced
	}
	s.begun, s.software = true, a.target.Software()
	return nil
}

// follows reports whether an event may be the next one after another. Ids that are no numbers
// only have to differ. Some services leave numbers out; a stream without gaps has none after it
// has gone on either.
func follows(event, last string, gaps bool) bool {
	next, err := strconv.ParseInt(event, 10, 64)
	before, failure := strconv.ParseInt(last, 10, 64)
	if err != nil || failure != nil {
		return event != last
	}
	return next > before && (gaps || next == before+1)
}
