package directory

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"merlinhall/wire"
)

const (
	// pollPeriod is the time between two readings of the list. A target that
	// leaves must get no new work within a few seconds, of which the list's own
	// lag is a part.
	pollPeriod = 600 * time.Millisecond
	// readLimit bounds one reading.
	readLimit = time.Second
)

// Lister reads the platform's list of targets.
type Lister interface {
	List(ctx context.Context) ([]wire.TargetEntry, error)
}

// Poller paces the readings of the list.
type Poller struct {
	lister Lister
	log    *logrus.Entry
	wake   chan struct{}
	failed bool // the last reading
}

// NewPoller returns a poller.
func NewPoller(l Lister, log *logrus.Entry) *Poller {
	p := &Poller{lister: l, log: log, wake: make(chan struct{}, 1)}
	p.Wake() // the first reading is due at once
	return p
}

// Wake makes the next Wait return at once.
func (p *Poller) Wake() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// Wait returns when the next reading is due, or false when ctx has ended.
func (p *Poller) Wait(ctx context.Context) bool {
	timer := time.NewTimer(pollPeriod)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-p.wake:
	case <-ctx.Done():
		return false
	}
	return true
}

// Read reads the list. The first failure in a row and the first success after it
// are logged.
func (p *Poller) Read(ctx context.Context) ([]wire.TargetEntry, error) {
	ctx, cancel := context.WithTimeout(ctx, readLimit)
	defer cancel()
	targets, err := p.lister.List(ctx)
	if err != nil && !p.failed {
		p.log.Warnf("list of targets cannot be read: %v", err)
	}
	if err == nil && p.failed {
		p.log.WithField("targets", len(targets)).Info("list of targets is read again")
	}
	p.failed = err != nil
	return targets, err
}
