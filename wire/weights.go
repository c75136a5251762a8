package wire

// Kinds of messages for the distribution of weights between agents.
const (
	KindWeightFetch Kind = 112
	KindWeightPart  Kind = 113
	KindSwapQuery   Kind = 114
	KindSwapState   Kind = 115
)

// WeightFetch asks an agent for bytes [Offset, Offset+Length) of a weight version.
// The answer is a WeightPart with at least the first of these bytes, or with
// Unavailable. Notices may precede it (see WeightPart).
type WeightFetch struct {
	Pool    string `cbor:"1,keyasint"`
	Version uint64 `cbor:"2,keyasint"`
	Offset  int64  `cbor:"3,keyasint"`
	Length  int    `cbor:"4,keyasint"`
}

// WeightPart answers WeightFetch. A part without Data and with Unavailable unset is
// a notice that the sender is still waiting for the bytes.
type WeightPart struct {
	Pool    string `cbor:"1,keyasint"`
	Version uint64 `cbor:"2,keyasint"`
	Offset  int64  `cbor:"3,keyasint"`
	Data    []byte `cbor:"4,keyasint,omitempty"`
	Size    int64  `cbor:"5,keyasint,omitempty"` // of the complete version
	Digest  string `cbor:"6,keyasint,omitempty"` // SHA-256 of the complete version in hexadecimal
	// Unavailable is set when the sender cannot supply the bytes: it neither has the
	// version nor is fetching it, it has too many pending requests, or the range is
	// invalid.
	Unavailable bool `cbor:"7,keyasint,omitempty"`
}

// SwapQuery asks an agent for the weight version that its replica serves and for its
// claim to swap. Version is the version to which the asking agent wants to swap.
type SwapQuery struct {
	Pool    string `cbor:"1,keyasint"`
	Version uint64 `cbor:"2,keyasint"`
	Round   uint64 `cbor:"3,keyasint"` // round of the asking agent; repeated in the answer
}

// SwapClaim tells whether an agent asks for a weight swap of its replica, or the swap
// is running.
type SwapClaim uint8

// States of a weight swap.
const (
	// SwapIdle: no swap is running or requested.
	SwapIdle SwapClaim = iota
	// SwapClaimed: the agent is asking the others whether its replica may swap.
	SwapClaimed
	// SwapStarted: the swap is running, or the agent has decided to start it.
	SwapStarted
)

// SwapState answers SwapQuery.
type SwapState struct {
	Pool          string    `cbor:"1,keyasint"`
	Target        string    `cbor:"2,keyasint"`
	Round         uint64    `cbor:"3,keyasint"`
	Served        uint64    `cbor:"4,keyasint"`           // weight version that the replica serves
	FailedVersion uint64    `cbor:"5,keyasint,omitempty"` // version that the replica failed to load
	Claim         SwapClaim `cbor:"6,keyasint,omitempty"`
	Down          bool      `cbor:"7,keyasint,omitempty"`
}

// Kind implements Message.
func (*WeightFetch) Kind() Kind { return KindWeightFetch }

// Kind implements Message.
func (*WeightPart) Kind() Kind { return KindWeightPart }

// Kind implements Message.
func (*SwapQuery) Kind() Kind { return KindSwapQuery }

// Kind implements Message.
func (*SwapState) Kind() Kind { return KindSwapState }

func init() {
	Register(&WeightFetch{})
	Register(&WeightPart{})
	Register(&SwapQuery{})
	Register(&SwapState{})
}
