package weights

import "time"

const (
	// PartBytes is the size of one part.
	PartBytes = 128 << 10
	// outstanding is the number of parts asked for ahead. Four parts keep a link
	// with 3 ms round trip above 100 MB/s.
	outstanding = 4
	// agentStall is how long a transfer waits for an agent that neither sends bytes
	// nor says that it waits itself.
	agentStall = 2 * time.Second
	// storeStall is the same for the store, which shares its rate between all
	// zones' seeds.
	storeStall = 6 * time.Second
	// StillWaiting is how often an agent tells those that wait for it that it waits
	// itself. It is below agentStall.
	StillWaiting = 500 * time.Millisecond
)

// TransferOp is what a transfer asks for.
type TransferOp uint8

// Operations of a transfer.
const (
	TransferAsk      TransferOp = iota + 1 // ask the agent for Length bytes from Offset on
	TransferStore                          // read from the store from Offset on
	TransferDone                           // the bytes are present and verified
	TransferFailed                         // all sources failed
	TransferTooLarge                       // the version exceeds MaxBytes and is not relayed
)

// TransferStep is one consequence of a step of a transfer.
type TransferStep struct {
	Op     TransferOp
	Source Source
	Offset int64
	Length int
	// Attempt tells the answers of one source from those of an earlier attempt.
	Attempt int
}

// Transfer fetches one version. It turns to the next source when one fails or
// stalls, keeping the bytes present, and starts anew when the digest is wrong.
type Transfer struct {
	Blob *Blob
	// MaxBytes bounds the size of a version; 0 is no bound.
	MaxBytes int64
	sources  []Source
	retried  bool // the current source has been asked again after a wrong digest
	at       int
	attempt  int
	asked    int64
	moved    int64 // time of the last progress, ms
	over     bool
	noCheck  bool // skips the digest, for tests
}

// NewTransfer returns a transfer into blob.
func NewTransfer(blob *Blob, sources []Source) *Transfer {
	return &Transfer{Blob: blob, sources: sources}
}

// Begin starts the transfer.
func (t *Transfer) Begin(now int64) []TransferStep {
	if t.Blob.Verified {
		t.over = true
		return []TransferStep{{Op: TransferDone}}
	}
	return t.turnTo(now)
}

// turnTo starts to fetch from the current source.
func (t *Transfer) turnTo(now int64) []TransferStep {
	if t.at >= len(t.sources) {
		t.over = true
		return []TransferStep{{Op: TransferFailed}}
	}
	t.attempt++
	t.moved = now
	t.asked = t.Blob.Received()
	if t.source() == Store {
		return []TransferStep{{Op: TransferStore, Offset: t.asked, Attempt: t.attempt}}
	}
	return t.askAhead()
}

func (t *Transfer) source() Source { return t.sources[t.at] }

// askAhead keeps parts outstanding.
func (t *Transfer) askAhead() []TransferStep {
	var steps []TransferStep
	for t.asked < t.Blob.Received()+outstanding*PartBytes && (t.Blob.Size < 0 || t.asked < t.Blob.Size) {
		steps = append(steps, TransferStep{Op: TransferAsk, Source: t.source(), Offset: t.asked, Length: PartBytes, Attempt: t.attempt})
		t.asked += PartBytes
		if t.Blob.Size < 0 {
			break // the first part tells the size
		}
	}
	return steps
}

// from reports whether an answer of a source belongs to the current attempt.
func (t *Transfer) from(s Source) bool { return !t.over && t.source() == s }

// Part takes up bytes of a source. An empty part says that the source waits.
func (t *Transfer) Part(now int64, s Source, offset int64, data []byte, size int64, digest string) []TransferStep {
	if !t.from(s) {
		return nil
	}
	t.moved = now
	if len(data) == 0 && size == 0 {
		return nil
	}
	if size <= 0 || offset < 0 {
		return t.next(now)
	}
	if t.MaxBytes > 0 && size > t.MaxBytes {
		t.over = true
		return []TransferStep{{Op: TransferTooLarge}}
	}
	if !t.Blob.head(size, digest) {
		t.Blob.reset()
		return t.turnTo(now)
	}
	if skip := t.Blob.Received() - offset; skip >= 0 && skip <= int64(len(data)) {
		t.Blob.add(data[skip:])
	}
	if t.Blob.Received() == t.Blob.Size {
		return t.finish(now)
	}
	if s == Store {
		return nil
	}
	if len(data) > 0 && len(data) < PartBytes {
		// The source sent what it has; ask for the rest of the part again.
		t.asked = min(t.asked, t.Blob.Received())
	}
	return t.askAhead()
}

func (t *Transfer) finish(now int64) []TransferStep {
	if t.Blob.check() || t.noCheck {
		t.over = true
		return []TransferStep{{Op: TransferDone}}
	}
	t.Blob.reset()
	if t.source() != Store && !t.retried {
		// The source has passed on what it received itself and notices as well.
		t.retried = true
		return t.turnTo(now)
	}
	return t.next(now)
}

// Lost notes that a source failed or does not have the version.
func (t *Transfer) Lost(now int64, s Source) []TransferStep {
	if !t.from(s) {
		return nil
	}
	return t.next(now)
}

func (t *Transfer) next(now int64) []TransferStep {
	t.at++
	t.retried = false
	return t.turnTo(now)
}

// Tick turns away from a source that stalls.
func (t *Transfer) Tick(now int64) []TransferStep {
	if t.over {
		return nil
	}
	limit := agentStall
	if t.source() == Store {
		limit = storeStall
	}
	if now-t.moved < limit.Milliseconds() {
		return nil
	}
	return t.next(now)
}

// Over reports whether the transfer has ended.
func (t *Transfer) Over() bool { return t.over }
