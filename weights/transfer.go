package weights

import "time"

const (
	// PartBytes is the maximum size of one part.
	PartBytes = 128 << 10
	// maxOutstandingParts is the number of parts requested ahead. Four parts sustain
	// more than 100 MB/s over a link with a round-trip time of 3 ms.
	maxOutstandingParts = 4
	// agentStallTimeout is how long a transfer waits for an agent that sends neither
	// bytes nor a notice that it is waiting for them itself.
	agentStallTimeout = 2 * time.Second
	// storeStallTimeout is the same for the store, whose bandwidth is shared by the
	// seeds of all zones.
	storeStallTimeout = 6 * time.Second
	// WaitingNoticeInterval is the interval at which an agent notifies the agents that
	// wait for it that it is waiting itself. It must be below agentStallTimeout.
	WaitingNoticeInterval = 500 * time.Millisecond
)

// TransferOp is the kind of a TransferStep.
type TransferOp uint8

// Operations of a transfer.
const (
	TransferAsk      TransferOp = iota + 1 // request Length bytes from Offset on from the agent
	TransferStore                          // read the store from Offset on
	TransferDone                           // the bytes are present and verified
	TransferFailed                         // all sources failed
	TransferTooLarge                       // the version exceeds MaxBytes and is not relayed
)

var transferOpNames = map[TransferOp]string{
	TransferAsk: "ask", TransferStore: "store", TransferDone: "present", TransferFailed: "failed", TransferTooLarge: "too large",
}

// String returns the name of the operation for log lines.
func (o TransferOp) String() string { return transferOpNames[o] }

// TransferStep is an operation that the caller of a Transfer must perform, or the
// result of the transfer.
type TransferStep struct {
	Op     TransferOp
	Source Source
	Offset int64
	Length int
}

// Transfer fetches one version. When a source fails or stalls, it continues with the
// next one and keeps the bytes received. When the digest does not match, it starts
// over.
type Transfer struct {
	Blob *Blob
	// MaxBytes bounds the size of a version; 0 means unbounded.
	MaxBytes    int64
	sources     []Source
	retried     bool // the current source was retried after a digest mismatch
	sourceIndex int
	requested   int64
	progressAt  int64 // time of the last progress, ms
	ended       bool
	skipDigest  bool // accepts a wrong digest, for tests
}

// NewTransfer returns a transfer into blob.
func NewTransfer(blob *Blob, sources []Source) *Transfer {
	return &Transfer{Blob: blob, sources: sources}
}

// Begin starts the transfer.
func (t *Transfer) Begin(now int64) []TransferStep {
	if t.Blob.Verified {
		t.ended = true
		return []TransferStep{{Op: TransferDone}}
	}
	return t.startSource(now)
}

// startSource starts to fetch from the current source, or ends the transfer if there
// are no more sources.
func (t *Transfer) startSource(now int64) []TransferStep {
	if t.sourceIndex >= len(t.sources) {
		t.ended = true
		return []TransferStep{{Op: TransferFailed}}
	}
	t.progressAt = now
	t.requested = t.Blob.Received()
	if t.source() == Store {
		return []TransferStep{{Op: TransferStore, Offset: t.requested}}
	}
	return t.requestParts()
}

func (t *Transfer) source() Source { return t.sources[t.sourceIndex] }

// requestParts requests parts until maxOutstandingParts are outstanding.
func (t *Transfer) requestParts() []TransferStep {
	var steps []TransferStep
	for t.requested < t.Blob.Received()+maxOutstandingParts*PartBytes && (t.Blob.Size < 0 || t.requested < t.Blob.Size) {
		steps = append(steps, TransferStep{Op: TransferAsk, Source: t.source(), Offset: t.requested, Length: PartBytes})
		t.requested += PartBytes
		if t.Blob.Size < 0 {
			break // the first part contains the size
		}
	}
	return steps
}

// isCurrent reports whether s is the current source of a transfer that has not ended.
func (t *Transfer) isCurrent(s Source) bool { return !t.ended && t.source() == s }

// Part handles bytes from a source. An empty part means that the source is waiting
// for the bytes itself.
func (t *Transfer) Part(now int64, s Source, offset int64, data []byte, size int64, digest string) []TransferStep {
	if !t.isCurrent(s) {
		return nil
	}
	t.progressAt = now
	if len(data) == 0 && size == 0 {
		return nil
	}
	if size <= 0 || offset < 0 {
		return t.nextSource(now)
	}
	if t.MaxBytes > 0 && size > t.MaxBytes {
		t.ended = true
		return []TransferStep{{Op: TransferTooLarge}}
	}
	if !t.Blob.setHeader(size, digest) {
		t.Blob.reset()
		return t.startSource(now)
	}
	if skip := t.Blob.Received() - offset; skip >= 0 && skip <= int64(len(data)) {
		t.Blob.appendData(data[skip:])
	}
	if t.Blob.Received() == t.Blob.Size {
		return t.finish(now)
	}
	if s == Store {
		return nil
	}
	if len(data) > 0 && len(data) < PartBytes {
		// The source sent all it has; request the rest of the part again.
		t.requested = min(t.requested, t.Blob.Received())
	}
	return t.requestParts()
}

func (t *Transfer) finish(now int64) []TransferStep {
	if t.Blob.verify() || t.skipDigest {
		t.ended = true
		return []TransferStep{{Op: TransferDone}}
	}
	t.Blob.reset()
	if t.source() != Store && !t.retried {
		// The source may have relayed bytes before it had verified them. It then detects
		// the mismatch too and fetches them again, so it is tried once more.
		t.retried = true
		return t.startSource(now)
	}
	return t.nextSource(now)
}

// Lost handles a source that failed or does not have the version.
func (t *Transfer) Lost(now int64, s Source) []TransferStep {
	if !t.isCurrent(s) {
		return nil
	}
	return t.nextSource(now)
}

func (t *Transfer) nextSource(now int64) []TransferStep {
	t.sourceIndex++
	t.retried = false
	return t.startSource(now)
}

// Tick continues with the next source if the current one has stalled.
func (t *Transfer) Tick(now int64) []TransferStep {
	if t.ended {
		return nil
	}
	limit := agentStallTimeout
	if t.source() == Store {
		limit = storeStallTimeout
	}
	if now-t.progressAt < limit.Milliseconds() {
		return nil
	}
	return t.nextSource(now)
}

// Over reports whether the transfer has ended.
func (t *Transfer) Over() bool { return t.ended }
