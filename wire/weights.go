package wire

// Kinds of the distribution of weights between agents.
const (
	KindWeightFetch Kind = 112
	KindWeightPart  Kind = 113
	KindSwapQuery   Kind = 114
	KindSwapState   Kind = 115
)

// WeightFetch asks an agent for bytes [Offset, Offset+Length) of a weight version.
// It is answered by WeightPart once the bytes are present.
type WeightFetch struct {
	Pool    string `cbor:"1,keyasint"`
	Version uint64 `cbor:"2,keyasint"`
	Offset  int64  `cbor:"3,keyasint"`
	Length  int    `cbor:"4,keyasint"`
}

// WeightPart answers WeightFetch. A part without Data and with None unset says
// that the sender still waits for the bytes itself.
type WeightPart struct {
	Pool    string `cbor:"1,keyasint"`
	Version uint64 `cbor:"2,keyasint"`
	Offset  int64  `cbor:"3,keyasint"`
	Data    []byte `cbor:"4,keyasint,omitempty"`
	Size    int64  `cbor:"5,keyasint,omitempty"` // of the whole version
	Digest  string `cbor:"6,keyasint,omitempty"` // SHA-256 of the whole version in hexadecimal
	// None is set when the sender neither has nor fetches the version.
	None bool `cbor:"7,keyasint,omitempty"`
}

// SwapQuery asks an agent how far its replica is with a weight version.
type SwapQuery struct {
	Pool    string `cbor:"1,keyasint"`
	Version uint64 `cbor:"2,keyasint"`
	Round   uint64 `cbor:"3,keyasint"`
}

// SwapClaim is how an agent stands to its own next swap.
type SwapClaim uint8

// Claims on a swap.
const (
	// SwapIdle: the replica neither swaps nor is about to.
	SwapIdle SwapClaim = iota
	// SwapClaimed: the agent asks whether it may swap.
	SwapClaimed
	// SwapStarted: the replica swaps, or the agent has decided that it will.
	SwapStarted
)

// SwapState answers SwapQuery.
type SwapState struct {
	Pool     string    `cbor:"1,keyasint"`
	Target   string    `cbor:"2,keyasint"`
	Round    uint64    `cbor:"3,keyasint"`
	Served   uint64    `cbor:"4,keyasint"`
	SetAside uint64    `cbor:"5,keyasint,omitempty"` // version that the replica failed to load
	Claim    SwapClaim `cbor:"6,keyasint,omitempty"`
	Down     bool      `cbor:"7,keyasint,omitempty"`
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
