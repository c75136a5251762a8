package wire

// Kinds of the request path between an entry and an agent.
const (
	KindRun     Kind = 16
	KindAttach  Kind = 17
	KindChunk   Kind = 18
	KindCredit  Kind = 19
	KindCancel  Kind = 20
	KindRevoke  Kind = 21
	KindRevoked Kind = 22
	KindRefused Kind = 23
	KindLoad    Kind = 24
)

// Header is one HTTP header field.
type Header struct {
	Name  string `cbor:"1,keyasint"`
	Value string `cbor:"2,keyasint"`
}

// Run asks an agent to run a request on its target. A repeated ID never runs a
// second time: the agent answers with the chunks of the first run.
type Run struct {
	ID            string   `cbor:"1,keyasint"`
	Service       string   `cbor:"2,keyasint"`
	Method        string   `cbor:"3,keyasint"`
	Path          string   `cbor:"4,keyasint"`
	Headers       []Header `cbor:"5,keyasint,omitempty"`
	Body          []byte   `cbor:"6,keyasint,omitempty"`
	Deadline      int64    `cbor:"7,keyasint"` // Unix time in milliseconds
	Priority      int8     `cbor:"8,keyasint"` // higher is more urgent
	Idempotent    bool     `cbor:"9,keyasint"`
	ConfigVersion uint64   `cbor:"10,keyasint"` // version the entry routed by
	// Generation is set for model calls, which the agent sends to its engine.
	Generation *Generation `cbor:"11,keyasint,omitempty"`
	// Credit is the initial window in chunks.
	Credit uint32 `cbor:"12,keyasint"`
	Caller string `cbor:"13,keyasint,omitempty"`
}

// Generation is the model part of a request.
type Generation struct {
	Prompt    string `cbor:"1,keyasint"`
	MaxTokens int    `cbor:"2,keyasint"`
	Seed      int64  `cbor:"3,keyasint,omitempty"`
	// Prefix holds the tokens already generated elsewhere; the engine goes on
	// after them.
	Prefix      []string `cbor:"4,keyasint,omitempty"`
	Adapter     string   `cbor:"5,keyasint,omitempty"`
	Temperature float64  `cbor:"6,keyasint,omitempty"`
}

// Attach asks for the chunks of a request from sequence number From on, over a
// new link. Chunks that Credit has confirmed are gone: the answer goes on after
// them. An agent that does not know the ID answers Refused with RefusedUnknownID,
// and the ID never runs there; it means "not run" only before the deadline of the
// request and by an agent of the same boot id, as ids are forgotten afterwards.
type Attach struct {
	ID     string `cbor:"1,keyasint"`
	From   uint64 `cbor:"2,keyasint"`
	Credit uint32 `cbor:"3,keyasint"`
}

// Token is one generated token with the weight version that produced it.
type Token struct {
	Text    string `cbor:"1,keyasint"`
	Version uint64 `cbor:"2,keyasint"`
}

// Chunk is one piece of an answer. Sequence numbers start at 0 and have no gap.
type Chunk struct {
	ID       string `cbor:"1,keyasint"`
	Sequence uint64 `cbor:"2,keyasint"`
	// Status and Headers are set in chunk 0 of a plain service's answer.
	Status  int      `cbor:"3,keyasint,omitempty"`
	Headers []Header `cbor:"4,keyasint,omitempty"`
	Data    []byte   `cbor:"5,keyasint,omitempty"`
	Tokens  []Token  `cbor:"6,keyasint,omitempty"`
	// End says how the answer ended; it is empty in all chunks but the last.
	End End `cbor:"7,keyasint,omitempty"`
	// Detail explains an end other than EndComplete.
	Detail string `cbor:"8,keyasint,omitempty"`
	Boot   string `cbor:"9,keyasint,omitempty"` // boot id of the agent
}

// End is how an answer ended.
type End string

// Ends of an answer.
const (
	// EndComplete: the whole answer has been sent.
	EndComplete End = "complete"
	// EndBroken: the target began to answer and then failed; the rest is lost.
	EndBroken End = "broken"
	// EndNotRun: the target certainly did not run the request.
	EndNotRun End = "not_run"
	// EndUnknown: the request was sent to the target and no answer came.
	EndUnknown End = "unknown"
	// EndCancelled: the caller left or the deadline passed.
	EndCancelled End = "cancelled"
)

// Credit confirms all chunks below Confirmed, which the agent may forget, and
// allows chunks below Limit.
type Credit struct {
	ID        string `cbor:"1,keyasint"`
	Confirmed uint64 `cbor:"2,keyasint"`
	Limit     uint64 `cbor:"3,keyasint"`
}

// Cancel ends a request whose caller has left.
type Cancel struct {
	ID string `cbor:"1,keyasint"`
}

// Revoke asks that a request never start. It is answered by Revoked.
type Revoke struct {
	ID string `cbor:"1,keyasint"`
}

// RevokeOutcome is the state in which Revoke found a request.
type RevokeOutcome string

// Outcomes of Revoke.
const (
	// RevokeNotStarted: the request has not started and never will at this agent.
	RevokeNotStarted RevokeOutcome = "not_started"
	RevokeRunning    RevokeOutcome = "running"
	RevokeFinished   RevokeOutcome = "finished"
)

// Revoked answers Revoke.
type Revoked struct {
	ID      string        `cbor:"1,keyasint"`
	Outcome RevokeOutcome `cbor:"2,keyasint"`
	Boot    string        `cbor:"3,keyasint"`
}

// RefusedReason is why an agent did not run a request.
type RefusedReason string

// Reasons of a refusal.
const (
	RefusedTableFull  RefusedReason = "table_full"
	RefusedRevoked    RefusedReason = "revoked"
	RefusedDeadline   RefusedReason = "deadline_passed"
	RefusedLeaving    RefusedReason = "leaving"
	RefusedStale      RefusedReason = "stale_configuration"
	RefusedTargetDown RefusedReason = "target_down"
	RefusedOverload   RefusedReason = "overload"
	RefusedUnknownID  RefusedReason = "unknown_id"
	RefusedNotReady   RefusedReason = "not_ready"
)

// Refused says that the request did not run and will not run under this ID at
// this agent.
type Refused struct {
	ID           string        `cbor:"1,keyasint"`
	Reason       RefusedReason `cbor:"2,keyasint"`
	RetryAfterMs uint32        `cbor:"3,keyasint,omitempty"`
	Boot         string        `cbor:"4,keyasint"`
}

// Load is an agent's report of its target, sent each second and on change.
type Load struct {
	Target   string `cbor:"1,keyasint"`
	Boot     string `cbor:"2,keyasint"`
	Running  int    `cbor:"3,keyasint"`
	Queued   int    `cbor:"4,keyasint"`
	Version  uint64 `cbor:"5,keyasint"` // weight version the engine serves
	Leaving  bool   `cbor:"6,keyasint,omitempty"`
	Down     bool   `cbor:"7,keyasint,omitempty"`
	Swapping bool   `cbor:"8,keyasint,omitempty"`
	// CachedPrefixes holds hashes of prompt prefixes that the engine reported as
	// cached since the previous report; EvictedPrefixes those it dropped.
	CachedPrefixes  []uint64 `cbor:"9,keyasint,omitempty"`
	EvictedPrefixes []uint64 `cbor:"10,keyasint,omitempty"`
	// CacheReset is set when cache events were lost and the view must be cleared.
	CacheReset bool `cbor:"11,keyasint,omitempty"`
	FreeKV     int  `cbor:"12,keyasint,omitempty"` // tokens of free KV cache
	// Suspect is set while a connection to the target has gone silent or the
	// target was slow to answer a probe.
	Suspect bool `cbor:"13,keyasint,omitempty"`
}

// Kind implements Message.
func (*Run) Kind() Kind { return KindRun }

// Kind implements Message.
func (*Attach) Kind() Kind { return KindAttach }

// Kind implements Message.
func (*Chunk) Kind() Kind { return KindChunk }

// Kind implements Message.
func (*Credit) Kind() Kind { return KindCredit }

// Kind implements Message.
func (*Cancel) Kind() Kind { return KindCancel }

// Kind implements Message.
func (*Revoke) Kind() Kind { return KindRevoke }

// Kind implements Message.
func (*Revoked) Kind() Kind { return KindRevoked }

// Kind implements Message.
func (*Refused) Kind() Kind { return KindRefused }

// Kind implements Message.
func (*Load) Kind() Kind { return KindLoad }

func init() {
	Register(&Run{})
	Register(&Attach{})
	Register(&Chunk{})
	Register(&Credit{})
	Register(&Cancel{})
	Register(&Revoke{})
	Register(&Revoked{})
	Register(&Refused{})
	Register(&Load{})
}
