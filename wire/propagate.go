package wire

// Kinds of propagation messages other than those in clusterstate.go.
const (
	KindClusterStateDelta    Kind = 52
	KindCompressed           Kind = 53
	KindReplicaVersionReport Kind = 54
)

// PatchOp is one operation of a patch: it copies Count bytes of the base text
// starting at byte From or, if Count is 0, inserts Text. Patches are computed by
// lines but refer to byte offsets, so that applying one does not split the base
// into lines.
type PatchOp struct {
	From  uint32 `cbor:"1,keyasint,omitempty"`
	Count uint32 `cbor:"2,keyasint,omitempty"`
	Text  []byte `cbor:"3,keyasint,omitempty"`
}

// ClusterStateDelta turns the cluster state of index Base into that of Index. The
// Set lists replace or add entries by key, the Removed lists remove them by key.
type ClusterStateDelta struct {
	Base  uint64 `cbor:"1,keyasint"`
	Index uint64 `cbor:"2,keyasint"`
	Term  uint64 `cbor:"3,keyasint"`
	// ConfigChanged is set if the configuration fields and Patch apply.
	ConfigChanged     bool           `cbor:"4,keyasint,omitempty"`
	ConfigVersion     uint64         `cbor:"5,keyasint,omitempty"`
	ConfigDigest      string         `cbor:"6,keyasint,omitempty"`
	ConfigFence       Fence          `cbor:"7,keyasint,omitzero"`
	Patch             []PatchOp      `cbor:"8,keyasint,omitempty"`
	WeightsSet        []WeightTarget `cbor:"9,keyasint,omitempty"`
	WeightsRemoved    []string       `cbor:"10,keyasint,omitempty"`
	DeparturesSet     []Departure    `cbor:"11,keyasint,omitempty"`
	DeparturesRemoved []string       `cbor:"12,keyasint,omitempty"`
	HostsSet          []string       `cbor:"13,keyasint,omitempty"`
	HostsRemoved      []string       `cbor:"14,keyasint,omitempty"`
	// Checksum covers the resulting cluster state except its text, which the
	// configuration digest covers.
	Checksum uint64 `cbor:"15,keyasint"`
}

// Compressed contains a compressed frame of another kind.
type Compressed struct {
	Data []byte `cbor:"1,keyasint"` // DEFLATE
}

// ReplicaVersionReport is a control replica's report to the leader of the
// configuration versions that its descendants in the propagation tree have.
type ReplicaVersionReport struct {
	Counts []VersionCount `cbor:"1,keyasint"`
}

// BarrierReply is the response of the call "barrier": the term of the leader that
// confirmed the read, and the index of the newest cluster state at that point.
type BarrierReply struct {
	Term  uint64 `cbor:"1,keyasint"`
	Index uint64 `cbor:"2,keyasint"`
}

// PublishWeights is the request of the call "weights.publish".
type PublishWeights struct {
	RequestID string `cbor:"1,keyasint"`
	Pool      string `cbor:"2,keyasint"`
	Version   uint64 `cbor:"3,keyasint"`
	Trainer   string `cbor:"4,keyasint,omitempty"`
}

// PublishedWeights is the response of the call "weights.publish". Refused is the
// reason of a refusal; it is empty if the version is in the cluster state.
type PublishedWeights struct {
	Pool    string `cbor:"1,keyasint" json:"pool"`
	Version uint64 `cbor:"2,keyasint" json:"version"` // the pool's version after the call
	Fence   Fence  `cbor:"3,keyasint" json:"-"`
	Refused string `cbor:"4,keyasint,omitempty" json:"refused,omitempty"`
}

// Kind implements Message.
func (*ClusterStateDelta) Kind() Kind { return KindClusterStateDelta }

// Kind implements Message.
func (*Compressed) Kind() Kind { return KindCompressed }

// Kind implements Message.
func (*ReplicaVersionReport) Kind() Kind { return KindReplicaVersionReport }

func init() {
	Register(&ReplicaVersionReport{})
	Register(&ClusterStateDelta{})
	Register(&Compressed{})
}
