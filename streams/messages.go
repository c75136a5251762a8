package streams

import (
	"time"

	"merlinhall/ledger"
	"merlinhall/wire"
)

// Ask is what a process tells and asks the control leader.
type Ask struct {
	// Begun are streams that the process begins.
	Begun []ledger.StreamBeginning `cbor:"1,keyasint,omitempty"`
	// Keys are those of streams that callers want to go on with.
	Keys [][]byte `cbor:"2,keyasint,omitempty"`
	// Services are those that the requests of Keys go to, in their order.
	Services []string `cbor:"3,keyasint,omitempty"`
	Process  string   `cbor:"4,keyasint,omitempty"`
}

// Answers are the leader's answers to an Ask.
type Answers struct {
	// Recorded is set if all of Begun outlive a loss of power of all processes.
	Recorded bool `cbor:"1,keyasint,omitempty"`
	// Found is the software that began each stream of Keys, in their order. It is the zero
	// value if that is not known.
	Found []wire.Software `cbor:"2,keyasint,omitempty"`
	// Interval is the least time between two tellings of a process.
	Interval time.Duration `cbor:"3,keyasint,omitempty"`
}
