// Package hub connects the entry and control processes of a hosted deployment. In a
// control process, Hub answers calls from entries and the operator from the replicated
// state, reads the platform's target list, and distributes the manifest and the targets
// to the entries. Client is the counterpart in an entry process.
package hub

import (
	"time"

	"merlinhall/ledger"
)

// Methods of calls to the control leader.
const (
	methodAccept     = "submissions.accept"
	methodPage       = "submissions.page"
	methodBody       = "submissions.body"
	methodEnd        = "submissions.end"
	methodPut        = "manifest.put"
	methodRead       = "manifest.read"
	methodName       = "versions.name"
	methodRetire     = "hosts.retire"
	methodRetirement = "hosts.retirement"
)

type pageRequest struct {
	ID    string        `cbor:"1,keyasint"`
	After int           `cbor:"2,keyasint"`
	Wait  time.Duration `cbor:"3,keyasint,omitempty"`
	Limit int           `cbor:"4,keyasint"`
}

type pageReply struct {
	Found bool        `cbor:"1,keyasint,omitempty"`
	Page  ledger.Page `cbor:"2,keyasint"`
}

type itemRequest struct {
	ID   string `cbor:"1,keyasint"`
	Item string `cbor:"2,keyasint,omitempty"`
}

type itemReply struct {
	Found bool   `cbor:"1,keyasint,omitempty"`
	Body  []byte `cbor:"2,keyasint,omitempty"`
}

type manifestReply struct {
	Text []byte `cbor:"1,keyasint,omitempty"` // empty before the first manifest
}

// Retirement is the progress of a host's retirement, in which its process leaves the
// control group.
type Retirement string

// States of a retirement.
const (
	RetirementUnknown Retirement = "unknown" // no such host, or not requested
	RetirementTooFew  Retirement = "too_few" // refused: too few hosts would remain
	RetirementRunning Retirement = "running"
	RetirementDone    Retirement = "done"
)

type retireRequest struct {
	Host string `cbor:"1,keyasint"`
}

type retireReply struct {
	State Retirement `cbor:"1,keyasint"`
}
