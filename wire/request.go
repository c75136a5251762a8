package wire

// Kinds of messages on the request path between an entry and an agent.
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

// Run asks an agent to run a request on its target. A repeated ID does not run
// again: the agent answers with the unconfirmed chunks of the first run, or with
// Refused if the ID was revoked.
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
	ConfigVersion uint64   `cbor:"10,keyasint"` // configuration version by which the entry routed
	// Generation is set for model calls, which the agent sends to its engine.
	Generation *Generation `cbor:"11,keyasint,omitempty"`
	// Credit is the initial flow-control window in chunks.
	Credit uint32 `cbor:"12,keyasint"`
	Caller string `cbor:"13,keyasint,omitempty"`
}

// Generation holds the generation parameters of a model call.
type Generation struct {
	Prompt    string `cbor:"1,keyasint"`
	MaxTokens int    `cbor:"2,keyasint"`
	Seed      int64  `cbor:"3,keyasint,omitempty"`
	// Prefix holds tokens that another engine has already generated; the engine
	// continues after them.
	Prefix      []string `cbor:"4,keyasint,omitempty"`
	Adapter     string   `cbor:"5,keyasint,omitempty"`
	Temperature float64  `cbor:"6,keyasint,omitempty"`
}

// Attach asks over a new link for the chunks of a request from sequence number From
// on. Chunks that Credit has confirmed are no longer available: the response
// continues after them. An agent that does not know the ID answers Refused with
// RefusedUnknownID, and the ID never runs there. This proves that the request did
// not run only if the deadline has not passed and the agent has the same boot id,
// because an agent forgets IDs after the deadline and when it restarts.
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

// Chunk is one piece of a response. Sequence numbers start at 0 without gaps.
type Chunk struct {
	ID       string `cbor:"1,keyasint"`
	Sequence uint64 `cbor:"2,keyasint"`
	// Status and Headers are set in chunk 0 of the response of a plain service.
	Status  int      `cbor:"3,keyasint,omitempty"`
	Headers []Header `cbor:"4,keyasint,omitempty"`
	Data    []byte   `cbor:"5,keyasint,omitempty"`
	Tokens  []Token  `cbor:"6,keyasint,omitempty"`
	// End says how the response ended; it is empty in all chunks except the last.
	End End `cbor:"7,keyasint,omitempty"`
	// Detail explains an end other than EndComplete.
	Detail string `cbor:"8,keyasint,omitempty"`
	Boot   string `cbor:"9,keyasint,omitempty"` // boot id of the agent
}

// End is how a response ended.
type End string

// Ends of a response.
const (
	// EndComplete: the complete response has been sent.
	EndComplete End = "complete"
	// EndBroken: the target failed during its response; the rest is lost.
	EndBroken End = "broken"
	// EndNotRun: the target did not run the request.
	EndNotRun End = "not_run"
	// EndUnknown: the request was sent to the target and no response arrived, so
	// it may have run.
	EndUnknown End = "unknown"
	// EndCancelled: the entry sent Cancel or the deadline passed.
	EndCancelled End = "cancelled"
)

// Credit acknowledges all chunks below Confirmed, which the agent may discard, and
// permits the agent to send chunks below Limit.
type Credit struct {
	ID        string `cbor:"1,keyasint"`
	Confirmed uint64 `cbor:"2,keyasint"`
	Limit     uint64 `cbor:"3,keyasint"`
}

// Cancel ends a request whose response the entry no longer needs: its caller has
// disconnected, its deadline has passed, or the entry has given up this run.
type Cancel struct {
	ID string `cbor:"1,keyasint"`
}

// Revoke asks an agent never to start a request. The answer is Revoked; there is none
// if the agent has no room to record the ID.
type Revoke struct {
	ID string `cbor:"1,keyasint"`
}

// RevokeOutcome is the state in which Revoke found a request.
type RevokeOutcome string

// Outcomes of Revoke.
const (
	// RevokeNotStarted: the target has not run the request and never will run it under
	// this ID.
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
	RefusedLimit      RefusedReason = "limit" // the target has named a limit, which is used up
)

// Refused says that the request did not run and never will under this ID on this
// agent.
type Refused struct {
	ID           string        `cbor:"1,keyasint"`
	Reason       RefusedReason `cbor:"2,keyasint"`
	RetryAfterMs uint32        `cbor:"3,keyasint,omitempty"`
	Boot         string        `cbor:"4,keyasint"`
}

// Load is an agent's report on its target, sent every second, and at once when
// Version, Leaving, Down, Swapping or Suspect changes.
type Load struct {
	Target   string `cbor:"1,keyasint"`
	Boot     string `cbor:"2,keyasint"`
	Running  int    `cbor:"3,keyasint"`
	Queued   int    `cbor:"4,keyasint"`
	Version  uint64 `cbor:"5,keyasint"` // weight version that the engine serves
	Leaving  bool   `cbor:"6,keyasint,omitempty"`
	Down     bool   `cbor:"7,keyasint,omitempty"`
	Swapping bool   `cbor:"8,keyasint,omitempty"`
	// CachedPrefixes holds the hashes of the prompt prefixes that the engine has
	// cached since the previous report, EvictedPrefixes those that it has evicted.
	CachedPrefixes  []uint64 `cbor:"9,keyasint,omitempty"`
	EvictedPrefixes []uint64 `cbor:"10,keyasint,omitempty"`
	// CacheReset is set when cache events were lost and the receiver must clear its
	// view of the cache.
	CacheReset bool `cbor:"11,keyasint,omitempty"`
	FreeKV     int  `cbor:"12,keyasint,omitempty"` // tokens of free KV cache
	// Suspect is set while a connection to the target is silent or after the target
	// was slow to answer a probe.
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
