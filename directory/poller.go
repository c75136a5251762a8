package directory

import (
	"context"
	"errors"
	"math"
	"math/rand/v2"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"merlinhall/wire"
)

const (
	// PollInterval is the time between two reads of the control leader. A draining target
	// must stop receiving new requests within a few seconds, which include the list's own
	// lag.
	PollInterval = 600 * time.Millisecond
	// minPollDelay is the shortest wait of a process that only reads when its view is old.
	minPollDelay = 50 * time.Millisecond
	// readTimeout is the timeout of one read, and patientReadTimeout that of a process that
	// passes the list on. 3,000 targets at 50 a page are 60 calls; what was read counts even
	// if others use up most of the platform's rate.
	readTimeout        = time.Minute
	patientReadTimeout = 10 * time.Second
	// cancelInterval is the time between two looks whether a read is still needed.
	cancelInterval = 50 * time.Millisecond
	// patientRetryDelay is the wait before a patient reader repeats a call over the rate.
	patientRetryDelay = 20 * time.Millisecond
	// minGiveWay and maxGiveWay bound the same wait of the other readers. Hundreds of them
	// leave most of the rate to a patient one. The wait falls by giveWayFactor with each page
	// that a reader has, so that of many one soon has the whole list.
	minGiveWay    = float64(patientRetryDelay)
	maxGiveWay    = 6400 * time.Millisecond
	giveWayFactor = 0.8
	// maxReadLag bounds what the time of reads adds to the age from which others read.
	maxReadLag = 10 * time.Second
	// maxRetryDelay bounds the time between two reads that fail.
	maxRetryDelay = 2400 * time.Millisecond
	// spread is the share by which the times of different processes differ at random, so
	// that not all of them read at once.
	spread = 0.25
)

// Lister reads the platform's target list.
type Lister interface {
	List(ctx context.Context) ([]wire.TargetEntry, error)
	// Calls returns the calls that this lister has made so far.
	Calls() ListCalls
}

// ListCalls counts calls for pages of the list by their outcome.
type ListCalls struct{ Answered, Refused int }

// slowRead is the time of a successful read from which it is logged.
const slowRead = time.Second

// RefusalDelay returns the wait before a call over the platform's rate is repeated, with a
// number of pages that the read has already. random is 0 to 1.
func RefusalDelay(patient bool, pages int, random float64) time.Duration {
	if patient {
		return patientRetryDelay
	}
	delay := max(minGiveWay, float64(maxGiveWay)*math.Pow(giveWayFactor, float64(pages)))
	return time.Duration((0.5 + random) * delay)
}

// ErrOverRate is wrapped by the errors of reads that the platform refused because all
// processes together made too many calls.
var ErrOverRate = eris.New("directory: the target list is read too often")

// errNotNeeded is the error of a read that ended because another process passed its own on.
var errNotNeeded = eris.New("directory: somebody else has read the target list")

// Poller reads the target list periodically or on demand. Its methods except Wake must be
// called from one goroutine.
type Poller struct {
	created         time.Time
	directory       *Directory
	lister, patient Lister
	log             *logrus.Entry
	wake            chan struct{}
	began           time.Time // of the last read
	lastFailed      bool      // whether the last read failed
	retryAt         time.Time // no read of a view that is only old before this time
	failures        int       // in a row
	random          float64   // 0 to 1, of this process
}

// NewPoller returns a poller whose first read is due immediately. The patient lister is for
// reads that are passed on; the other one gives way to it.
func NewPoller(d *Directory, lister, patient Lister, log *logrus.Entry) *Poller {
	p := &Poller{created: time.Now(), directory: d, lister: lister, patient: patient, log: log, wake: make(chan struct{}, 1), random: rand.Float64()}
	p.Wake()
	return p
}

// Wake makes the current or next Wait return immediately.
func (p *Poller) Wake() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// Wait blocks until the next read is due, at the latest after the given time. It returns
// false if ctx ends first.
func (p *Poller) Wait(ctx context.Context, delay time.Duration) bool {
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-p.wake:
	case <-ctx.Done():
		return false
	}
	return true
}

// WaitNext waits until the control leader's next read is due, PollInterval after the last one
// began. It returns false if ctx ends first.
func (p *Poller) WaitNext(ctx context.Context) bool {
	return p.Wait(ctx, max(minPollDelay, PollInterval-time.Since(p.began)))
}

// Read reads the target list into the directory as the control leader does: it repeats calls
// over the platform's rate. It reports whether the view changed.
func (p *Poller) Read(ctx context.Context) (changed bool, err error) {
	return p.read(ctx, p.patient, patientReadTimeout)
}

// read reads the target list. It logs failures, which become rarer, the first success after
// them, and slow reads.
func (p *Poller) read(ctx context.Context, lister Lister, timeout time.Duration) (changed bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	began, before, age := time.Now(), lister.Calls(), p.directory.Age(time.Now())
	p.began = began
	targets, err := lister.List(ctx)
	if err != nil && time.Since(began) > p.directory.silence(time.Now()) {
		return false, errNotNeeded
	}
	p.directory.noteRead(err)
	took, calls := time.Since(began), lister.Calls()
	line := p.log.WithFields(logrus.Fields{
		"targets": len(targets), "pages": calls.Answered - before.Answered, "refused": calls.Refused - before.Refused,
		"ms": took.Milliseconds(), "view_age_ms": age.Milliseconds(), "failures": p.failures,
	})
	switch {
	case err != nil:
		line.Warnf("reading the target list failed: %v", err)
	case p.lastFailed, took > slowRead:
		line.Info("target list is read")
	}
	p.lastFailed = err != nil
	if err != nil {
		return false, err
	}
	p.directory.noteHeard(time.Now(), took)
	return p.directory.Replace(began, targets), nil
}

// Reader is how a process that does not lead reads the list.
type Reader struct {
	// MaxAge is the age of the view from which the process reads the list itself. Processes
	// that may read at the same time have different ones.
	MaxAge time.Duration
	// Relays is set if the process passes the list on to others. It repeats calls over the
	// platform's rate, as the leader does.
	Relays bool
}

// dueIn returns the time until a process that does not lead may read the list, 0 or less if
// it may now. A process without a list, which can serve nobody, reads it at once.
//
// What counts is the time since it heard of a read: while others read a long list, a view is
// older than that. A read of it takes as long as the last ones.
func (p *Poller) dueIn(now time.Time, r Reader) time.Duration {
	age, maxAge := p.directory.silence(now), r.MaxAge+min(p.directory.lag(), maxReadLag)
	if r.Relays {
		if age > now.Sub(p.created) {
			age, maxAge = now.Sub(p.created), 2*maxAge // a leader may be reading the first list
		}
	} else {
		maxAge += time.Duration(p.random * spread * float64(maxAge))
	}
	due := now.Add(maxAge - age)
	if due.Before(p.retryAt) {
		due = p.retryAt
	}
	return due.Sub(now)
}

// spread returns d, lengthened by the share that is this process's own.
func (p *Poller) spread(d time.Duration) time.Duration {
	return d + time.Duration(p.random*float64(d))
}

// WaitIfOlder waits until the process that does not lead may read the list, at the latest
// for PollInterval, since its role may change. It returns false if ctx ends first.
func (p *Poller) WaitIfOlder(ctx context.Context, r Reader) bool {
	now := time.Now()
	return p.Wait(ctx, min(max(p.dueIn(now, r), minPollDelay), PollInterval))
}

// cancelIfFresh cancels a read when somebody else has passed the list on since it began.
func (p *Poller) cancelIfFresh(ctx context.Context, cancel func(), began time.Time) {
	ticker := time.NewTicker(cancelInterval)
	defer ticker.Stop()
	for {
		select {
		case now := <-ticker.C:
			if now.Sub(began) > p.directory.silence(now) {
				cancel()
				return
			}
		case <-ctx.Done():
			return
		}
	}
}

// ReadIfOlder reads the list for a process that does not lead if its view is too old, and
// reports whether it did. Reads that fail become rarer.
func (p *Poller) ReadIfOlder(ctx context.Context, r Reader) bool {
	now := time.Now()
	if p.dueIn(now, r) > 0 {
		return false
	}
	lister, timeout := p.lister, readTimeout
	if r.Relays {
		lister, timeout = p.patient, patientReadTimeout
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go p.cancelIfFresh(ctx, cancel, now)
	if _, err := p.read(ctx, lister, timeout); errors.Is(err, errNotNeeded) {
		return false
	} else if err != nil {
		delay := min(PollInterval<<min(p.failures, 8), maxRetryDelay)
		p.failures++
		p.retryAt = time.Now().Add(p.spread(delay) / 2)
		return false
	}
	p.failures = 0
	return true
}
