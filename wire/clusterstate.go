package wire

// Kinds of messages of propagation, control calls, consensus and rollout jobs.
const (
	KindSubscribe     Kind = 48
	KindClusterState  Kind = 49
	KindDigest        Kind = 50
	KindVersionReport Kind = 51
	KindCall          Kind = 64
	KindReply         Kind = 65
	KindConsensus     Kind = 80
	KindGenerate      Kind = 96
	KindSampleDone    Kind = 97
	KindAbandon       Kind = 98
)

// Fence is the fencing token of an order to a target: a higher term supersedes a
// lower one, and within a term a higher sequence (the log index) supersedes a lower
// one.
type Fence struct {
	Term     uint64 `cbor:"1,keyasint"`
	Sequence uint64 `cbor:"2,keyasint"`
}

// Less reports whether f is superseded by g.
func (f Fence) Less(g Fence) bool {
	if f.Term != g.Term {
		return f.Term < g.Term
	}
	return f.Sequence < g.Sequence
}

// WeightTarget is the weight version that the engines of a pool should serve.
type WeightTarget struct {
	Pool    string `cbor:"1,keyasint"`
	Version uint64 `cbor:"2,keyasint"`
	Fence   Fence  `cbor:"3,keyasint"`
	Trainer string `cbor:"4,keyasint,omitempty"`
}

// Departure marks a target that is leaving the deployment.
type Departure struct {
	Target string `cbor:"1,keyasint"`
	Fence  Fence  `cbor:"2,keyasint"`
}

// ClusterState is the desired state that the control replicas distribute to all
// other processes, which reconcile towards it. Index is the log index that produced
// it; a process never replaces a cluster state with one of a lower index.
type ClusterState struct {
	Index         uint64         `cbor:"1,keyasint"`
	Term          uint64         `cbor:"2,keyasint"`
	ConfigVersion uint64         `cbor:"3,keyasint"`
	ConfigDigest  string         `cbor:"4,keyasint"` // SHA-256 of ConfigText in hexadecimal
	ConfigText    []byte         `cbor:"5,keyasint"`
	ConfigFence   Fence          `cbor:"6,keyasint"`
	Weights       []WeightTarget `cbor:"7,keyasint,omitempty"`
	Departures    []Departure    `cbor:"8,keyasint,omitempty"`
	// LeavingHosts lists the IP addresses that the platform's host list reports
	// as leaving.
	LeavingHosts []string `cbor:"9,keyasint,omitempty"`
	// 10 is retired. Former versions reject a state in which it is not 0.
}

// Subscribe asks a parent for the cluster state. Index is that of the cluster state
// the child already has, or 0.
type Subscribe struct {
	Index uint64 `cbor:"1,keyasint"`
	// Stop ends the subscription because the child has moved to another parent.
	Stop bool `cbor:"2,keyasint,omitempty"`
}

// Digest is a parent's periodic summary of its cluster state.
type Digest struct {
	Index         uint64 `cbor:"1,keyasint"`
	Term          uint64 `cbor:"2,keyasint"`
	ConfigVersion uint64 `cbor:"3,keyasint"`
	// Stale is set when the parent has lost contact with the control leader, so
	// that its children look for another parent.
	Stale bool `cbor:"4,keyasint,omitempty"`
}

// VersionCount is the number of processes that have a configuration version.
type VersionCount struct {
	Version uint64 `cbor:"1,keyasint"`
	Count   int    `cbor:"2,keyasint"`
}

// VersionReport is a child's report of the configuration versions that it and its
// descendants in the propagation tree have.
type VersionReport struct {
	Index  uint64         `cbor:"1,keyasint"`
	Counts []VersionCount `cbor:"2,keyasint"`
}

// Call is a request to the control leader. Processes in between forward it and
// return the reply.
type Call struct {
	ID     string `cbor:"1,keyasint"`
	Method string `cbor:"2,keyasint"`
	Body   []byte `cbor:"3,keyasint,omitempty"` // CBOR of the method's request
	// TimeoutMs bounds the wait for the reply.
	TimeoutMs uint32 `cbor:"4,keyasint"`
	// Hops counts the control replicas that forwarded the call. A call is
	// forwarded at most once between replicas, so that two replicas with outdated
	// views of the leader do not forward it back and forth.
	Hops uint8 `cbor:"5,keyasint,omitempty"`
}

// CallOutcome is the result class of a Call.
type CallOutcome string

// Outcomes of a Call.
const (
	CallOK       CallOutcome = "ok"
	CallRejected CallOutcome = "rejected" // not executed
	CallUnknown  CallOutcome = "unknown"  // may have been executed
	CallNoLeader CallOutcome = "no_leader"
)

// Reply answers a Call.
type Reply struct {
	ID      string      `cbor:"1,keyasint"`
	Outcome CallOutcome `cbor:"2,keyasint"`
	Body    []byte      `cbor:"3,keyasint,omitempty"` // CBOR of the method's response
	Error   string      `cbor:"4,keyasint,omitempty"`
	// RetryAfterMs is set if the call was rejected for want of room that is expected after that
	// many milliseconds.
	RetryAfterMs uint32 `cbor:"5,keyasint,omitempty"`
}

// Consensus carries a message of the consensus protocol between control replicas.
type Consensus struct {
	Body []byte `cbor:"1,keyasint"`
}

// SampleID identifies a sample. It is never reused.
type SampleID struct {
	Trainer string `cbor:"1,keyasint"`
	Step    uint64 `cbor:"2,keyasint"`
	Group   int    `cbor:"3,keyasint"`
	Index   int    `cbor:"4,keyasint"`
}

// VersionRange says that tokens [From, To) were generated by a weight version.
type VersionRange struct {
	From    int    `cbor:"1,keyasint" json:"from"`
	To      int    `cbor:"2,keyasint" json:"to"`
	Version uint64 `cbor:"3,keyasint" json:"version"`
}

// Generate asks an entry for one sample. It is idempotent: a Job that is sent twice
// runs once.
type Generate struct {
	Job        string     `cbor:"1,keyasint"`
	Sample     SampleID   `cbor:"2,keyasint"`
	Pool       string     `cbor:"3,keyasint"`
	Generation Generation `cbor:"4,keyasint"`
	// MinVersion is the oldest weight version that the trainer still accepts.
	MinVersion uint64 `cbor:"5,keyasint"`
	Scorer     string `cbor:"6,keyasint,omitempty"` // service that scores the sample
	Priority   int8   `cbor:"7,keyasint"`
	Deadline   int64  `cbor:"8,keyasint"` // Unix time in milliseconds
}

// SampleDone is an entry's result for a Generate.
type SampleDone struct {
	Job      string         `cbor:"1,keyasint"`
	Sample   SampleID       `cbor:"2,keyasint"`
	Tokens   []string       `cbor:"3,keyasint,omitempty"`
	Versions []VersionRange `cbor:"4,keyasint,omitempty"`
	Score    float64        `cbor:"5,keyasint"`
	// Error is set when the sample could not be produced; the job may be assigned
	// to another entry.
	Error  string `cbor:"6,keyasint,omitempty"`
	Wasted int    `cbor:"7,keyasint,omitempty"` // tokens generated and discarded
}

// Abandon tells an entry that the result of a job is no longer needed.
type Abandon struct {
	Job string `cbor:"1,keyasint"`
}

// Kind implements Message.
func (*Subscribe) Kind() Kind { return KindSubscribe }

// Kind implements Message.
func (*ClusterState) Kind() Kind { return KindClusterState }

// Kind implements Message.
func (*Digest) Kind() Kind { return KindDigest }

// Kind implements Message.
func (*VersionReport) Kind() Kind { return KindVersionReport }

// Kind implements Message.
func (*Call) Kind() Kind { return KindCall }

// Kind implements Message.
func (*Reply) Kind() Kind { return KindReply }

// Kind implements Message.
func (*Consensus) Kind() Kind { return KindConsensus }

// Kind implements Message.
func (*Generate) Kind() Kind { return KindGenerate }

// Kind implements Message.
func (*SampleDone) Kind() Kind { return KindSampleDone }

// Kind implements Message.
func (*Abandon) Kind() Kind { return KindAbandon }

func init() {
	Register(&Subscribe{})
	Register(&ClusterState{})
	Register(&Digest{})
	Register(&VersionReport{})
	Register(&Call{})
	Register(&Reply{})
	Register(&Consensus{})
	Register(&Generate{})
	Register(&SampleDone{})
	Register(&Abandon{})
}
