package wire

// Kinds of sample bodies between control replicas and of job recovery.
const (
	KindPutBody    Kind = 99
	KindBodyStored Kind = 100
	KindFetchBody  Kind = 101
	KindBodyPart   Kind = 102
	KindJobsQuery  Kind = 103
	KindJobsHeld   Kind = 104
)

// BodyKey names the body of one group. Digest is the SHA-256 of the body, so two
// leaders that race for the same group never overwrite each other's body.
type BodyKey struct {
	Trainer string `cbor:"1,keyasint"`
	Step    uint64 `cbor:"2,keyasint"`
	Group   int    `cbor:"3,keyasint"`
	Round   uint32 `cbor:"4,keyasint"`
	Digest  string `cbor:"5,keyasint"` // hexadecimal
}

// PutBody carries bytes [Offset, Offset+len(Data)) of a body of Size bytes to a
// control replica. The replica answers BodyStored once the whole body is synced.
type PutBody struct {
	Key    BodyKey `cbor:"1,keyasint"`
	Offset int     `cbor:"2,keyasint"`
	Size   int     `cbor:"3,keyasint"`
	Data   []byte  `cbor:"4,keyasint"`
}

// BodyStored says that the sender has synced a body, or why it has not.
type BodyStored struct {
	Key   BodyKey `cbor:"1,keyasint"`
	Error string  `cbor:"2,keyasint,omitempty"`
}

// FetchBody asks a control replica for a body.
type FetchBody struct {
	Key BodyKey `cbor:"1,keyasint"`
}

// BodyPart answers FetchBody with one piece of the body.
type BodyPart struct {
	Key    BodyKey `cbor:"1,keyasint"`
	Offset int     `cbor:"2,keyasint"`
	Size   int     `cbor:"3,keyasint"`
	Data   []byte  `cbor:"4,keyasint,omitempty"`
	// Missing is set when the sender has no intact copy.
	Missing bool `cbor:"5,keyasint,omitempty"`
}

// JobsQuery asks an entry which jobs it holds. A new leader sends it before it
// assigns jobs, so that running work survives a change of leader.
type JobsQuery struct{}

// JobsHeld lists the jobs that an entry runs or has finished.
type JobsHeld struct {
	Jobs []HeldJob `cbor:"1,keyasint,omitempty"`
}

// HeldJob is one job of an entry.
type HeldJob struct {
	Job    string   `cbor:"1,keyasint"`
	Sample SampleID `cbor:"2,keyasint"`
}

// Kind implements Message.
func (*PutBody) Kind() Kind { return KindPutBody }

// Kind implements Message.
func (*BodyStored) Kind() Kind { return KindBodyStored }

// Kind implements Message.
func (*FetchBody) Kind() Kind { return KindFetchBody }

// Kind implements Message.
func (*BodyPart) Kind() Kind { return KindBodyPart }

// Kind implements Message.
func (*JobsQuery) Kind() Kind { return KindJobsQuery }

// Kind implements Message.
func (*JobsHeld) Kind() Kind { return KindJobsHeld }

func init() {
	Register(&PutBody{})
	Register(&BodyStored{})
	Register(&FetchBody{})
	Register(&BodyPart{})
	Register(&JobsQuery{})
	Register(&JobsHeld{})
}
