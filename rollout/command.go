// Package rollout supplies trainers with samples. It contains the ledger of steps,
// groups and draws, the planner of generation jobs, the store of sample bodies and
// the trainer API.
package rollout

import (
	"crypto/sha256"
	"encoding/hex"

	"merlinhall/actor"
	"merlinhall/wire"
)

// SliceName is the name of the ledger's slice of the control state machine.
const SliceName = "rollout"

// Command is the body of one ledger command. Exactly one field is set.
type Command struct {
	OpenStep       *OpenStep       `cbor:"1,keyasint,omitempty"`
	CommitGroup    *CommitGroup    `cbor:"2,keyasint,omitempty"`
	Draw           *Draw           `cbor:"3,keyasint,omitempty"`
	Ack            *Ack            `cbor:"4,keyasint,omitempty"`
	Publish        *Publish        `cbor:"5,keyasint,omitempty"`
	ReportLostBody *ReportLostBody `cbor:"6,keyasint,omitempty"`
}

// Encode returns the command as bytes for the replicated log.
func (c Command) Encode() []byte {
	body, err := wire.Marshal(c)
	actor.Invariant(err == nil, "encode ledger command: %v", err)
	return body
}

// Sampling holds the parameters of generation.
type Sampling struct {
	MaxTokens   int     `cbor:"1,keyasint" json:"max_tokens"`
	Temperature float64 `cbor:"2,keyasint,omitempty" json:"temperature,omitempty"`
	Seed        int64   `cbor:"3,keyasint,omitempty" json:"seed,omitempty"`
	Adapter     string  `cbor:"4,keyasint,omitempty" json:"adapter,omitempty"`
}

// OpenStep creates one group for each prompt.
type OpenStep struct {
	Trainer   string   `cbor:"1,keyasint"`
	Step      uint64   `cbor:"2,keyasint"`
	Prompts   []string `cbor:"3,keyasint"`
	GroupSize int      `cbor:"4,keyasint"`
	Sampling  Sampling `cbor:"5,keyasint"`
	// Version is the trainer's weight version. The first step of a trainer sets
	// it; in later steps it must equal the version in the ledger.
	Version uint64 `cbor:"6,keyasint"`
}

// CommitGroup marks a group complete. Its body is synced on a majority of control
// replicas before the command is proposed.
type CommitGroup struct {
	Key     wire.BodyKey `cbor:"1,keyasint"`
	Size    int          `cbor:"2,keyasint"` // bytes of the body
	Tokens  int          `cbor:"3,keyasint"`
	Oldest  uint64       `cbor:"4,keyasint"` // oldest weight version of any token
	Newest  uint64       `cbor:"5,keyasint"`
	Samples int          `cbor:"6,keyasint"`
	// Wasted is the number of tokens generated for the group and discarded.
	Wasted int `cbor:"7,keyasint,omitempty"`
}

// Draw hands complete groups to a trainer.
type Draw struct {
	Trainer   string `cbor:"1,keyasint"`
	ID        string `cbor:"2,keyasint"`
	MaxGroups int    `cbor:"3,keyasint"`
	// Avoid lists bodies that the leader cannot read at present. Their groups are
	// left for a later draw.
	Avoid []wire.BodyKey `cbor:"4,keyasint,omitempty"`
	// UpToStep excludes groups of later steps; 0 means no limit.
	UpToStep uint64 `cbor:"5,keyasint,omitempty"`
}

// Ack acknowledges a draw and releases its samples.
type Ack struct {
	Trainer string `cbor:"1,keyasint"`
	ID      string `cbor:"2,keyasint"`
}

// Publish advances the weight version of a trainer and of a pool.
type Publish struct {
	Trainer   string `cbor:"1,keyasint"`
	Pool      string `cbor:"2,keyasint"`
	Version   uint64 `cbor:"3,keyasint"`
	RequestID string `cbor:"4,keyasint"`
}

// ReportLostBody resets a group to pending because none of the connected control
// replicas, which are a majority, has an intact copy of its body. It has no effect on
// a drawn group.
type ReportLostBody struct {
	Key wire.BodyKey `cbor:"1,keyasint"`
}

// Code classifies the outcome of a command.
type Code string

// Outcomes of a command.
const (
	CodeOK       Code = "ok"
	CodeEmpty    Code = "empty"     // a draw found no complete group; the draw id stays unused
	CodeInvalid  Code = "invalid"   // the request can never succeed
	CodeConflict Code = "conflict"  // the request contradicts an earlier one
	CodeNotFound Code = "not_found" // unknown trainer, step or draw
	CodeTooOld   Code = "too_old"   // a group below the staleness bound
	CodeRepeated Code = "repeated"  // a duplicate result for a group; discarded
	CodeLimit    Code = "limit"     // a bound of the ledger is reached; acknowledge first
	// CodeUnknown means that the command may or may not have been carried out. A
	// resend is safe.
	CodeUnknown Code = "unknown"
	// CodeUnavailable means that the command was not carried out. A resend is safe.
	CodeUnavailable Code = "unavailable"
)

// Outcome is the result of a command.
type Outcome struct {
	Code    Code         `cbor:"1,keyasint"`
	Detail  string       `cbor:"2,keyasint,omitempty"`
	Groups  []DrawnGroup `cbor:"3,keyasint,omitempty"`
	Version uint64       `cbor:"4,keyasint,omitempty"` // trainer version after the command
}

// DrawnGroup is one group of a draw.
type DrawnGroup struct {
	Key    wire.BodyKey `cbor:"1,keyasint"`
	Size   int          `cbor:"2,keyasint"`
	Oldest uint64       `cbor:"3,keyasint"`
}

// decodeOutcome reads an Outcome from the result of a proposal. The control state
// machine returns a result that was restored from a snapshot as a generic CBOR value.
func decodeOutcome(result any) (Outcome, error) {
	switch r := result.(type) {
	case Outcome:
		return r, nil
	case []byte:
		var o Outcome
		return o, wire.Unmarshal(r, &o)
	}
	body, err := wire.Marshal(result)
	if err != nil {
		return Outcome{}, err
	}
	var o Outcome
	return o, wire.Unmarshal(body, &o)
}

// fingerprint identifies the parameters of a request, so that a resend with
// other parameters under the same id is detected.
func fingerprint(parameters any) string {
	body, err := wire.Marshal(parameters)
	actor.Invariant(err == nil, "encode parameters: %v", err)
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:16])
}
