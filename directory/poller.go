package directory

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"merlinhall/wire"
)

const (
	// pollInterval is the time between two reads of the list. A draining target must
	// stop receiving new requests within a few seconds, which include the list's own
	// lag.
	pollInterval = 600 * time.Millisecond
	// readTimeout is the timeout of one read.
	readTimeout = time.Second
)

// Lister reads the platform's target list.
type Lister interface {
	List(ctx context.Context) ([]wire.TargetEntry, error)
}

// Poller reads the target list periodically or on demand. Wait and Read must be
// called from one goroutine.
type Poller struct {
	lister     Lister
	log        *logrus.Entry
	wake       chan struct{}
	lastFailed bool // whether the last read failed
}

// NewPoller returns a poller whose first read is due immediately.
func NewPoller(l Lister, log *logrus.Entry) *Poller {
	p := &Poller{lister: l, log: log, wake: make(chan struct{}, 1)}
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

// Wait blocks until the next read is due. It returns false if ctx ends first.
func (p *Poller) Wait(ctx context.Context) bool {
	timer := time.NewTimer(pollInterval)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-p.wake:
	case <-ctx.Done():
		return false
	}
	return true
}

// Read reads the target list. It logs the first failure in a row and the first
// success after it.
func (p *Poller) Read(ctx context.Context) ([]wire.TargetEntry, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	targets, err := p.lister.List(ctx)
	if err != nil && !p.lastFailed {
		p.log.Warnf("reading the target list failed: %v", err)
	}
	if err == nil && p.lastFailed {
		p.log.WithField("targets", len(targets)).Info("reading the target list succeeded after a failure")
	}
	p.lastFailed = err != nil
	return targets, err
}
