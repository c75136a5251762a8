// Package memory bounds the memory that a process holds in message bodies from outside. The
// limit of a single body alone does not: as many bodies are held at once as requests are in
// flight.
package memory

import (
	"io"
	"sync"
	"sync/atomic"

	"github.com/rotisserie/eris"
)

const (
	// smallBytes of each body are counted apart. Nearly all bodies are smaller, and must not
	// fail because a few large ones use up the budget.
	smallBytes = 64 << 10
	// smallDivisor divides the budget into the one for these.
	smallDivisor = 2
	// firstBytes is the first size of the buffer of a body without a declared length.
	firstBytes = 4 << 10
	// growth is the factor by which a buffer may exceed what has arrived of a body with a
	// declared length. A length alone, without bytes, takes no memory.
	growth = 8
)

// ErrExhausted means that the other requests hold all of the budget.
var ErrExhausted = eris.New("memory: the budget for message bodies is used up")

// ErrTooLarge means that a request alone would hold more than the budget.
var ErrTooLarge = eris.New("memory: the request takes more than the budget for message bodies")

// Budget bounds the bytes that bodies hold at the same time. It is safe for concurrent use.
type Budget struct {
	large, small part
	// OnExhausted, if set, is called when a body does not fit. It must be set before first use.
	OnExhausted func()
}

// part is a part of a budget.
type part struct {
	limit int64
	used  atomic.Int64
}

func (p *part) take(n int64) error {
	if p.used.Add(n) > p.limit {
		p.used.Add(-n)
		return ErrExhausted
	}
	return nil
}

// NewBudget returns a budget of limit bytes for what bodies have beyond smallBytes, and half of
// it for the rest.
func NewBudget(limit int64) *Budget {
	return &Budget{large: part{limit: limit}, small: part{limit: limit / smallDivisor}}
}

func (b *Budget) take(n size) error {
	if err := b.small.take(n.small); err != nil {
		return err
	}
	if err := b.large.take(n.large); err != nil {
		b.small.used.Add(-n.small)
		return err
	}
	return nil
}

// Used returns the bytes that are held beyond smallBytes of each body.
func (b *Budget) Used() int64 { return b.large.used.Load() }

// Lease returns a lease that holds nothing yet. Close must be called.
func (b *Budget) Lease() *Lease { return &Lease{budget: b} }

// Lease is the part of a budget that one request holds. It is safe for concurrent use.
type Lease struct {
	budget *Budget

	mu     sync.Mutex
	held   size
	closed bool
}

// size is the size of a buffer, or of all that a lease holds.
type size struct{ large, small int64 }

func sizeOf(bytes int64) size {
	return size{large: max(0, bytes-smallBytes), small: min(bytes, smallBytes)}
}

func (s size) plus(o size) size  { return size{s.large + o.large, s.small + o.small} }
func (s size) minus(o size) size { return size{s.large - o.large, s.small - o.small} }

// take adds to what the lease holds, or returns ErrExhausted at once: requests that waited for
// each other with bodies read in part would all wait until their deadlines.
func (l *Lease) take(n size) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return eris.New("memory: the request has ended")
	}
	if err := l.budget.take(n); err != nil {
		if l.budget.OnExhausted != nil {
			l.budget.OnExhausted()
		}
		return err
	}
	l.held = l.held.plus(n)
	return nil
}

// Take adds n bytes that are built from a body, such as what it decodes to. The lease holds them
// until Close. Errors wrap ErrTooLarge if the lease would never have them, else ErrExhausted.
func (l *Lease) Take(n int64) error {
	l.mu.Lock()
	held := l.held.large
	l.mu.Unlock()
	if limit := l.budget.large.limit; held+n > limit {
		return eris.Wrapf(ErrTooLarge, "%d bytes, the limit is %d", held+n, limit)
	}
	return l.take(size{large: n})
}

func (l *Lease) give(n size) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.closed {
		l.held = l.held.minus(n)
		l.budget.large.used.Add(-n.large)
		l.budget.small.used.Add(-n.small)
	}
}

// Close gives back all that the lease holds.
func (l *Lease) Close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.closed {
		l.closed = true
		l.budget.large.used.Add(-l.held.large)
		l.budget.small.used.Add(-l.held.small)
	}
}

// ReadAll reads r, which must be limited, to its end. length is the declared length, or
// negative if there is none. The lease holds the body until Close, or nothing of it after an
// error.
func (l *Lease) ReadAll(r io.Reader, length int64) ([]byte, error) {
	b := l.Buffer()
	first := int64(firstBytes)
	if length >= 0 {
		// The additional byte lets the reader report the end without another buffer.
		first = min(length+1, smallBytes)
	}
	if err := b.reserve(first); err != nil {
		return nil, err
	}
	for {
		if len(b.Bytes) == cap(b.Bytes) {
			size := int64(2 * len(b.Bytes))
			if length >= int64(len(b.Bytes)) {
				size = min(length+1, int64(growth*len(b.Bytes)))
			}
			if err := b.reserve(size); err != nil {
				b.Release()
				return nil, err
			}
		}
		n, err := r.Read(b.Bytes[len(b.Bytes):cap(b.Bytes)])
		b.Bytes = b.Bytes[:len(b.Bytes)+n]
		if err == io.EOF {
			return b.Bytes, nil
		}
		if err != nil {
			b.Release()
			return nil, err
		}
	}
}

// Buffer is a growing buffer whose size is counted by a lease. That of the zero value is not
// counted.
type Buffer struct {
	Bytes []byte
	lease *Lease
	held  size
}

// Buffer returns an empty buffer.
func (l *Lease) Buffer() Buffer { return Buffer{lease: l} }

// Append appends p. After an error the buffer is as it was.
func (b *Buffer) Append(p []byte) error {
	if need := len(b.Bytes) + len(p); need > cap(b.Bytes) {
		if err := b.reserve(int64(max(need, 2*cap(b.Bytes)))); err != nil {
			return err
		}
	}
	b.Bytes = append(b.Bytes, p...)
	return nil
}

// Consume removes the first n bytes. A buffer that is empty then holds nothing.
func (b *Buffer) Consume(n int) {
	switch {
	case n == 0:
	case n == len(b.Bytes) && b.held.large > 0:
		b.Release()
	default:
		b.Bytes = append(b.Bytes[:0], b.Bytes[n:]...)
	}
}

// reserve replaces the buffer by one of the given size. The copy that is left to the garbage
// collector is not counted.
func (b *Buffer) reserve(bytes int64) error {
	if b.lease != nil {
		more := sizeOf(bytes).minus(b.held)
		if err := b.lease.take(more); err != nil {
			return err
		}
		b.held = b.held.plus(more)
	}
	b.Bytes = append(make([]byte, 0, bytes), b.Bytes...)
	return nil
}

// Release gives back what the buffer holds and empties it.
func (b *Buffer) Release() {
	if b.lease != nil {
		b.lease.give(b.held)
	}
	b.Bytes, b.held = nil, size{}
}
