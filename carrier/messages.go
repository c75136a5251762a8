package carrier

import (
	"merlinhall/ledger"
	"merlinhall/wire"
)

// Kinds of the messages between the control leader and carriers.
const (
	KindOrders wire.Kind = 128
	KindReport wire.Kind = 129
)

// Orders is what the leader sends to a carrier. The first one on a link asks for an
// inventory; others on a link without one are ignored.
type Orders struct {
	Term     uint64 `cbor:"1,keyasint"`
	Sequence uint64 `cbor:"2,keyasint"` // number of the message within the term
	// Echo is Report.Clock of the last report that the leader has handled, or 0 before the
	// first one. What the leader decided is no older than that report.
	Echo      int64    `cbor:"3,keyasint,omitempty"`
	Inventory bool     `cbor:"4,keyasint,omitempty"` // asks for a report with all runs
	Starts    []Start  `cbor:"5,keyasint,omitempty"`
	Cancels   []uint64 `cbor:"6,keyasint,omitempty"` // attempts to end early
	Done      []uint64 `cbor:"7,keyasint,omitempty"` // ended attempts that may be forgotten
}

// Start orders one attempt to generate the text of an item. Without an engine only the
// reward call is made, for a text that the leader has.
type Start struct {
	Attempt         uint64         `cbor:"1,keyasint"`
	Submission      string         `cbor:"2,keyasint"`
	Item            string         `cbor:"3,keyasint"`
	Engine          string         `cbor:"4,keyasint,omitempty"`
	Address         string         `cbor:"5,keyasint,omitempty"` // of the engine
	EngineStartedMs int64          `cbor:"6,keyasint,omitempty"`
	Path            string         `cbor:"7,keyasint,omitempty"`
	Host            string         `cbor:"8,keyasint,omitempty"`
	Headers         []wire.Header  `cbor:"9,keyasint,omitempty"`
	Body            []byte         `cbor:"10,keyasint,omitempty"`
	Version         uint64         `cbor:"11,keyasint,omitempty"` // that the engine must have
	OldestVersion   uint64         `cbor:"12,keyasint,omitempty"` // that may generate the text
	SingleVersion   bool           `cbor:"13,keyasint,omitempty"`
	Text            Text           `cbor:"14,keyasint"` // generated before
	Reward          *ledger.Reward `cbor:"15,keyasint,omitempty"`
	// MaxFailures is the number of failed runs after which the submission's route lets the
	// item be given up. Leaders of former versions do not set it.
	MaxFailures int `cbor:"16,keyasint,omitempty"`
	// Software is that of the engine. Leaders of former versions do not set it.
	Software wire.Software `cbor:"17,keyasint,omitzero"`
}

// MaxTextBytes is the greatest compressed size in bytes of a text. A run whose text is longer is
// broken off; so a start has room for each text, and a command of the log for each result.
const MaxTextBytes = 11 << 18

// Text is what has been generated of an item.
type Text struct {
	Parts    [][]byte `cbor:"1,keyasint,omitempty"` // compressed
	Events   int      `cbor:"2,keyasint,omitempty"` // number of events in Parts
	Versions []uint64 `cbor:"3,keyasint,omitempty"` // weight versions that generated them
	// Lineage is the attempt that generated the last event. With the number of events it
	// identifies the text: two attempts may go on after the same event with other words.
	Lineage uint64 `cbor:"4,keyasint,omitempty"`
	// Continues is, in a part of a text, the lineage of the events before it.
	Continues uint64 `cbor:"5,keyasint,omitempty"`
	// Software is that of the engines that generated all events, the zero value if that is not
	// known. Former versions do not know it.
	Software wire.Software `cbor:"6,keyasint,omitzero"`
}

// Size returns the compressed size in bytes.
func (t *Text) Size() int {
	n := 0
	for _, part := range t.Parts {
		n += len(part)
	}
	return n
}

// State is the progress of an attempt.
type State uint8

// States. An attempt that ends early goes from reading to ended.
const (
	Reading State = iota // the engine generates the text
	Scoring              // the text is complete, the reward call is not
	Ended                // nothing more will happen
)

func (s State) String() string { return [...]string{"reading", "scoring", "ended"}[s] }

// Outcome is how an attempt ended.
type Outcome string

// Outcomes.
const (
	Complete    Outcome = "complete"
	NotStarted  Outcome = "not_started" // refused by the carrier
	NotRun      Outcome = "not_run"     // not sent, or refused by the engine for now
	Misdirected Outcome = "wrong_place" // refused: wrong engine or weight version
	Failed      Outcome = "failed"      // the engine says that the run has failed
	Unfinished  Outcome = "unfinished"  // any other error, which does not say so
	Impossible  Outcome = "impossible"  // rejected with status 422; a retry cannot succeed
	Broken      Outcome = "broken"      // interrupted before the text was complete
	// VersionNotAllowed is the outcome when the engine generates with a weight version
	// that the submission does not allow.
	VersionNotAllowed Outcome = "unfit_weights"
	// Lost is the outcome when the carrier does not answer. Only the leader sets it.
	Lost Outcome = "carrier_lost"
)

// Report is what a carrier sends to the leader.
type Report struct {
	Term  uint64 `cbor:"1,keyasint"` // of the leader
	Clock int64  `cbor:"2,keyasint"` // of the carrier when it sent the report, nanoseconds
	Seen  uint64 `cbor:"3,keyasint"` // Sequence of the last orders handled
	// Inventory is set when Runs contains all attempts that the carrier has.
	Inventory bool       `cbor:"4,keyasint,omitempty"`
	Stopping  bool       `cbor:"5,keyasint,omitempty"` // it refuses new attempts
	Runs      []Progress `cbor:"6,keyasint,omitempty"`
}

// Progress is the state of one attempt.
type Progress struct {
	Attempt uint64 `cbor:"1,keyasint"`
	State   State  `cbor:"2,keyasint,omitempty"`
	Events  int    `cbor:"3,keyasint,omitempty"` // of the text so far
	IdleMs  int    `cbor:"4,keyasint,omitempty"` // time since the last event
	Version uint64 `cbor:"5,keyasint,omitempty"` // that the engine named last
	// Text continues the text that was sent to this leader before, after From events. With
	// From 0 it replaces that text.
	From int   `cbor:"6,keyasint,omitempty"`
	Text *Text `cbor:"7,keyasint,omitempty"`

	// EngineLeaves is set when the carrier knows that the engine is leaving, from the list or
	// from the engine itself.
	EngineLeaves bool `cbor:"14,keyasint,omitempty"`

	// The fields below are set when the attempt has ended.
	Outcome Outcome `cbor:"8,keyasint,omitempty"`
	Reached bool    `cbor:"9,keyasint,omitempty"` // the engine answered
	Reason  string  `cbor:"10,keyasint,omitempty"`
	Score   string  `cbor:"11,keyasint,omitempty"`
	// RewardFailed is set when the reward call failed as often as its route allows.
	RewardFailed bool `cbor:"12,keyasint,omitempty"`
	// Failures is the number of failed runs behind the outcome "failed" or RewardFailed.
	// Carriers of former versions do not set it, and count other errors too.
	Failures int `cbor:"15,keyasint,omitempty"`

	// Identity is set in inventories.
	Identity *Identity `cbor:"13,keyasint,omitempty"`
}

// Identity says what an attempt is, for a leader that did not start it.
type Identity struct {
	Submission      string `cbor:"1,keyasint"`
	Item            string `cbor:"2,keyasint"`
	Engine          string `cbor:"3,keyasint,omitempty"` // empty if only a reward is called
	EngineStartedMs int64  `cbor:"4,keyasint,omitempty"`
	AgeMs           int64  `cbor:"5,keyasint,omitempty"` // time since its start
}

// Kind implements wire.Message.
func (*Orders) Kind() wire.Kind { return KindOrders }

// Kind implements wire.Message.
func (*Report) Kind() wire.Kind { return KindReport }

func init() {
	wire.Register(&Orders{})
	wire.Register(&Report{})
}
