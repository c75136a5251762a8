package batch

import (
	"context"

	"merlinhall/carrier"
	"merlinhall/upstream"
)

// Protocol implements the requests to a platform's engines and reward services.
type Protocol interface {
	carrier.Protocol
	// Report requests the state of an engine.
	Report(ctx context.Context, to upstream.Address) (Report, error)
	// Load orders an engine to load a weight version.
	Load(ctx context.Context, to upstream.Address, o LoadOrder) LoadAnswer
}

// Report is the state of an engine as the engine describes it.
type Report struct {
	Versions  map[string]uint64
	Busy      bool   // an order is in progress
	Orders    uint64 // number accepted since the engine started
	StartedMs int64  // Unix ms of the start, 0 when unknown
}

// LoadOrder orders an engine to load a weight version.
type LoadOrder struct {
	Model   string
	Version uint64
	Holder  string // order holder that sends it
	Fence   uint64 // fencing token
	// Orders is the number of orders that the engine must have accepted before this one.
	Orders uint64
	// KeepRuns lets running requests continue under the new version.
	KeepRuns bool
	// Confirm asks for an answer that is certainly the one to this order.
	Confirm bool
}

// LoadAnswer is the outcome of a LoadOrder.
type LoadAnswer string

// Answers to orders.
const (
	LoadAccepted   LoadAnswer = "accepted"
	LoadUpToDate   LoadAnswer = "holds"      // the engine already has the version
	LoadBusy       LoadAnswer = "busy"       // another order is in progress or was accepted first, or no report arrived
	LoadSuperseded LoadAnswer = "superseded" // the engine has seen a higher fencing token
	LoadRejected   LoadAnswer = "rejected"
	LoadUnknown    LoadAnswer = "unknown"  // the order may take effect, now or later
	LoadNotSent    LoadAnswer = "not_sent" // this process no longer leads
	// LoadUnconfirmed is LoadUpToDate or LoadSuperseded, but it may be the answer to an
	// earlier call. The order may take effect.
	LoadUnconfirmed LoadAnswer = "unconfirmed"
)
