package wire

// Kinds of messages from control replicas to the processes that serve callers.
const (
	KindRouteUpdate  Kind = 55
	KindTargetUpdate Kind = 56
	KindGroupUpdate  Kind = 57
)

// RouteUpdate carries a routing manifest.
type RouteUpdate struct {
	Version  uint64 `cbor:"1,keyasint"`
	Manifest []byte `cbor:"2,keyasint"` // CBOR of routes.Manifest
}

// TargetUpdate carries what the control leader has read from the platform's list
// of targets. Without Changed it says that the list is still the one of Sequence.
type TargetUpdate struct {
	Term     uint64        `cbor:"1,keyasint"`
	Sequence uint64        `cbor:"2,keyasint"` // of the last change, within the term
	Changed  bool          `cbor:"3,keyasint,omitempty"`
	Targets  []TargetEntry `cbor:"4,keyasint,omitempty"`
	// AgeMs is the time since the list was read.
	AgeMs uint32 `cbor:"5,keyasint,omitempty"`
}

// TargetEntry is one target of the list.
type TargetEntry struct {
	ID       string         `cbor:"1,keyasint"`
	Service  string         `cbor:"2,keyasint"`
	Address  string         `cbor:"3,keyasint"`
	Zone     string         `cbor:"4,keyasint"`
	Slots    int            `cbor:"5,keyasint,omitempty"`
	Draining bool           `cbor:"6,keyasint,omitempty"`
	Born     int64          `cbor:"7,keyasint,omitempty"` // Unix ms of the start, 0 when not told
	Models   []ModelVersion `cbor:"8,keyasint,omitempty"`
}

// ModelVersion is the weight version of a model.
type ModelVersion struct {
	Model   string `cbor:"1,keyasint"`
	Version uint64 `cbor:"2,keyasint"`
}

// GroupUpdate names the control replicas and their leader by link address.
type GroupUpdate struct {
	Leader  string   `cbor:"1,keyasint"`
	Members []string `cbor:"2,keyasint"`
}

// Kind implements Message.
func (*RouteUpdate) Kind() Kind { return KindRouteUpdate }

// Kind implements Message.
func (*TargetUpdate) Kind() Kind { return KindTargetUpdate }

// Kind implements Message.
func (*GroupUpdate) Kind() Kind { return KindGroupUpdate }

func init() {
	Register(&RouteUpdate{})
	Register(&TargetUpdate{})
	Register(&GroupUpdate{})
}
