package streams

import (
	"context"
	"slices"
	"time"

	"merlinhall/ledger"
	"merlinhall/wire"
)

const (
	// recordLimit is how long the first event of a stream is held until it is recorded which
	// software began it. Callers see a later one as a pause.
	recordLimit = 100 * time.Millisecond
	// replaceLimit is the same where the record of an earlier attempt at other software has to
	// be replaced. Without that the stream must not begin.
	replaceLimit = time.Second
)

// Opening is the beginning of one stream, over the targets to which an attempt is sent. It must
// be used from one goroutine.
type Opening struct {
	k     *Keeper
	key   Key
	last  *Beginning // nil before the first target
	tries int
	told  []wire.Software // of targets before the last one, of which the leader was told
}

// Open returns the opening of a stream.
func (k *Keeper) Open(key Key) *Opening { return &Opening{k: k, key: key} }

// Preferred returns the software that may be recorded as that which begins the stream, or false
// if any is as good.
func (o *Opening) Preferred() (wire.Software, bool) {
	switch {
	case o.last == nil:
		return wire.Software{}, false
	case o.k.wasTold(o.last):
		return o.last.software, true
	case len(o.told) > 0:
		return o.told[len(o.told)-1], true
	}
	return wire.Software{}, false
}

// replaces reports whether the record of the last target has to replace one at other software.
func (o *Opening) replaces() bool {
	return slices.ContainsFunc(o.told, func(told wire.Software) bool { return told != o.last.software })
}

// Sent notes that the attempt is sent to a target of the given software, and has that recorded.
func (o *Opening) Sent(software wire.Software) {
	o.tries++
	former := o.last
	var told bool
	o.last, told = o.k.begin(o.key, software, o.tries, former)
	if told {
		o.told = append(o.told, former.software)
	}
}

// Deliver waits until the software of the last target is recorded, for a limited time. It
// returns false if the stream must not begin there. One that begins without a record cannot be
// taken up at other processes until it has one.
func (o *Opening) Deliver(ctx context.Context) bool {
	limit, replaces := recordLimit, o.replaces()
	if replaces {
		limit = replaceLimit
	}
	if !o.k.await(ctx, o.last, limit) && replaces {
		return false
	}
	o.k.delivered(o.key, o.last.software)
	return true
}

// Beginning is a target to which the attempt that begins a stream was sent.
type Beginning struct {
	key      Key
	software wire.Software
	try      int
	since    time.Duration
	sent     bool          // the leader was told and may have recorded it
	recorded chan struct{} // closed when the leader has recorded it
}

func (b *Beginning) message() ledger.StreamBeginning {
	return ledger.StreamBeginning{Key: b.key[:], Software: b.software, Try: b.try}
}

// begin has the leader told that an attempt is sent to a target of the given software, in place
// of a former one, which may be nil. told is set if the leader was told of that.
func (k *Keeper) begin(key Key, software wire.Software, try int, former *Beginning) (b *Beginning, told bool) {
	b = &Beginning{key: key, software: software, try: try, recorded: make(chan struct{})}
	if k == nil {
		return b, false
	}
	b.since = k.o.Clock()
	k.mu.Lock()
	defer k.mu.Unlock()
	if len(k.untold) < maxUntold || k.untold[key] != nil {
		k.untold[key] = b
		k.tell.Wake()
	}
	return b, former != nil && former.sent
}

// await waits until a beginning is recorded, no longer than limit and not while the leader
// cannot be told. It reports whether it is.
func (k *Keeper) await(ctx context.Context, b *Beginning, limit time.Duration) (recorded bool) {
	if k == nil {
		return false
	}
	k.mu.Lock()
	stop := k.stopWaits
	k.mu.Unlock()
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-b.recorded:
		recorded = true
	case <-stop:
	case <-timer.C:
	case <-ctx.Done():
	}
	label := "later"
	if recorded {
		label = "before"
	}
	k.beginnings.WithLabelValues(label).Inc()
	return recorded
}

// wasTold reports whether the leader was told of a beginning and may have recorded it.
func (k *Keeper) wasTold(b *Beginning) bool {
	if k == nil {
		return false
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	return b.sent
}

// delivered notes that the caller of a stream has its first event.
func (k *Keeper) delivered(key Key, software wire.Software) {
	if k == nil {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.own.put(k.o.Clock(), key, software)
}
