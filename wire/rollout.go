package wire

// Kinds of messages for the replication of sample bodies between control replicas
// and for job recovery.
const (
	KindPutBody    Kind = 99
	KindBodyStored Kind = 100
	KindFetchBody  Kind = 101
	KindBodyPart   Kind = 102
	KindJobsQuery  Kind = 103
	KindJobList    Kind = 104
)

// BodyKey identifies the stored samples (the body) of one group. Digest is the SHA-256
// of the body, so that two concurrent leaders never overwrite each other's body of the
// same group.
type BodyKey struct {
	Trainer string `cbor:"1,keyasint"`
	Step    uint64 `cbor:"2,keyasint"`
	Group   int    `cbor:"3,keyasint"`
	Round   uint32 `cbor:"4,keyasint"` // number of times the group was regenerated
	Digest  string `cbor:"5,keyasint"` // hexadecimal
}

// PutBody sends bytes [Offset, Offset+len(Data)) of a body of Size bytes to a
// control replica. The replica answers BodyStored once the complete body is synced
// to disk.
type PutBody struct {
	Key    BodyKey `cbor:"1,keyasint"`
	Offset int     `cbor:"2,keyasint"`
	Size   int     `cbor:"3,keyasint"`
	Data   []byte  `cbor:"4,keyasint"`
}

// BodyStored confirms that the sender has synced a body to disk, or says in Error
// why it has not.
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

// JobsQuery asks an entry for its jobs. A new leader sends it before it assigns
// jobs, so that running jobs survive a change of leader.
type JobsQuery struct{}

// JobList lists the running and finished jobs of an entry. It omits abandoned jobs.
type JobList struct {
	Jobs []EntryJob `cbor:"1,keyasint,omitempty"`
}

// EntryJob names a job of an entry and the sample that it produces.
type EntryJob struct {
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
func (*JobList) Kind() Kind { return KindJobList }

func init() {
	Register(&PutBody{})
	Register(&BodyStored{})
	Register(&FetchBody{})
	Register(&BodyPart{})
	Register(&JobsQuery{})
	Register(&JobList{})
}
