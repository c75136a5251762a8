// Package duty decides when the control leader may do what only one process at a time may
// do: orders to engines and calls to the platform. Such an act names its holder and carries a
// fencing token, which is the term of the log.
package duty

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"merlinhall/ledger"
)

// proposeTimeout bounds the wait for the proposal to become the holder.
const proposeTimeout = 3 * time.Second

// Options configures a Claim.
type Options struct {
	Process string // name of this process
	Boot    string // boot id of this process
	Holder  *ledger.Holder
	// Propose commits a command of the holder slice.
	Propose func(ctx context.Context, body []byte) error
	// MaxWait is the time after becoming leader from which acting is always allowed.
	// FencesChecked means that receivers refuse an outdated fencing token.
	MaxWait       time.Duration
	FencesChecked bool
	Log           *logrus.Entry
}

// Claim is the claim of this process to act alone. It is safe for concurrent use.
type Claim struct {
	o        Options
	takeover takeover
	clock    func() time.Time

	mu       sync.Mutex
	term     uint64 // 0 while this process does not lead
	since    time.Time
	held     bool
	claiming bool
	// ownUntil is until when this process may have acted before it became leader now.
	ownUntil time.Time
	// superseded is set when a receiver has seen a higher fencing token.
	superseded bool
}

// NewClaim returns a claim of a process that does not lead.
func NewClaim(o Options) *Claim { return newClaim(o, time.Now) }

func newClaim(o Options, clock func() time.Time) *Claim {
	// A former run of the process may have acted until just now.
	return &Claim{
		o: o, clock: clock, ownUntil: clock(), takeover: takeover{maxWait: o.MaxWait, fencesChecked: o.FencesChecked, self: o.Process},
	}
}

// Lead tells whether this process leads, and in which term.
func (c *Claim) Lead(leading bool, term uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.held {
		c.ownUntil = c.clock()
	}
	c.term, c.since, c.held, c.claiming, c.superseded = 0, c.clock(), false, false, false
	if leading {
		c.term = term
	}
}

// Held returns the fencing token with which this process may act now. If it leads and is
// allowed to become the holder, Held starts a proposal to do so.
func (c *Claim) Held(now time.Time) (token uint64, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.term == 0 || c.superseded {
		return 0, false
	}
	if !c.held && !c.claiming {
		c.claim(now)
	}
	return c.term, c.held
}

func (c *Claim) claim(now time.Time) {
	before, _ := c.o.Holder.Last()
	if !c.takeover.allowed(now.Sub(c.since), now.Sub(c.ownUntil), before) {
		return
	}
	body, err := ledger.HolderCommand(c.o.Process, c.o.Boot)
	if err != nil {
		c.o.Log.Errorf("cannot encode the holder: %v", err)
		return
	}
	c.claiming = true
	c.o.Log.WithFields(logrus.Fields{
		"term": c.term, "before": before, "since_ms": now.Sub(c.since).Milliseconds(),
	}).Info("takes over what one process does alone")
	term := c.term
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), proposeTimeout)
		defer cancel()
		c.finishClaim(term, c.o.Propose(ctx, body))
	}()
}

func (c *Claim) finishClaim(term uint64, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if term != c.term {
		return
	}
	c.claiming, c.held = false, err == nil
	if err != nil {
		c.o.Log.Warnf("the proposal to become the holder failed: %v", err)
	}
}

// Superseded notes that a receiver has seen a higher fencing token than the given one. This
// process acts no more in that term.
func (c *Claim) Superseded(token uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if token == c.term && !c.superseded {
		c.superseded = true
		c.o.Log.WithField("term", token).Warn("a receiver has seen a higher fencing token; acting alone ends")
	}
}
