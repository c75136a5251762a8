// Package hub connects the entry and control processes of a hosted deployment. In a
// control process, Hub answers calls from entries and the operator from the replicated
// state, reads the platform's target list, and distributes the manifest and the targets
// to the entries. Client is the counterpart in an entry process.
package hub

import (
	"time"

	"merlinhall/ledger"
	"merlinhall/wire"
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
	methodRoutes     = "manifest.routes"
	methodUsage      = "usage.report"
	methodGrants     = "limits.grants"
	methodSuspects   = "suspects.ask"
	methodStreams    = "streams.ask"
	methodDemand     = "demand"
	methodLocality   = "locality.report"
	methodUploadPart = "submissions.upload_part"
	methodUploadEnd  = "submissions.upload_end"
	methodRoom       = "submissions.room"
)

type pageRequest struct {
	ID    string        `cbor:"1,keyasint"`
	After int           `cbor:"2,keyasint"`
	Wait  time.Duration `cbor:"3,keyasint,omitempty"`
	Limit int           `cbor:"4,keyasint"`
	// Caller is set by processes that know client accounts.
	Caller *Caller `cbor:"5,keyasint,omitempty"`
}

// Caller is the client for which a call is made.
type Caller struct {
	Account string `cbor:"1,keyasint,omitempty"` // empty if the client has none
}

type pageReply struct {
	Found bool        `cbor:"1,keyasint,omitempty"`
	Page  ledger.Page `cbor:"2,keyasint"`
}

type itemRequest struct {
	ID   string `cbor:"1,keyasint"`
	Item string `cbor:"2,keyasint,omitempty"`
	// Caller is set by processes that know client accounts.
	Caller *Caller `cbor:"3,keyasint,omitempty"`
}

type itemReply struct {
	Found bool   `cbor:"1,keyasint,omitempty"`
	Body  []byte `cbor:"2,keyasint,omitempty"`
}

// routesRequest asks for the manifest in force, without its text.
type routesRequest struct {
	Known uint64 `cbor:"1,keyasint"` // version that the asking process has
}

type routesReply struct {
	// Update is nil if no version above the known one is in force.
	Update *wire.RouteUpdate `cbor:"1,keyasint,omitempty"`
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
