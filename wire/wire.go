// Package wire defines the messages that the processes exchange and their CBOR
// codec. A frame is one kind byte followed by one CBOR map with integer keys, so
// that fields can be added without breaking older processes.
package wire

import (
	"fmt"
	"reflect"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"
)

// MaxFrameBytes is the maximum size of an encoded frame. Sample bodies are the
// largest frames.
const MaxFrameBytes = 8 << 20

// ErrTooLarge is wrapped by the errors of messages that are larger than MaxFrameBytes. Sent again,
// they are just as large.
var ErrTooLarge = eris.New("message is too large")

// ErrMalformed is wrapped by every decoding error.
var ErrMalformed = eris.New("malformed frame")

// UnknownKindError is the error of a frame whose kind this program does not know. A newer
// one may have sent it.
type UnknownKindError struct{ Kind Kind }

// Error implements error.
func (e *UnknownKindError) Error() string {
	return fmt.Sprintf("%v: unknown kind %d", ErrMalformed, e.Kind)
}

// Unwrap returns ErrMalformed.
func (e *UnknownKindError) Unwrap() error { return ErrMalformed }

// Kind identifies the type of a message on the wire. A retired kind is not
// assigned to another type.
type Kind uint8

// Kinds are allocated in ranges: 1-15 link, 16-47 requests, 48-63 propagation,
// 64-79 control calls, 80-95 consensus, 96-111 rollout, 112-127 weights.
const (
	KindHello Kind = 1
	KindPing  Kind = 2
	_         Kind = 3 // retired: announced a shutdown, was never sent
)

// Message is a message between processes.
type Message interface {
	Kind() Kind
}

var (
	kinds     [256]reflect.Type
	encMode   = mustEncMode()
	decMode   = mustDecMode(1 << 20)
	frameMode = mustDecMode(maxFrameElements)
)

// maxFrameElements bounds the number of elements of a list in a frame. An empty element
// takes one byte of the frame and up to 112 bytes once it is decoded: a list of a million
// targets took 112 MB. The longest lists are the tokens of a sample.
const maxFrameElements = 1 << 18

func mustEncMode() cbor.EncMode {
	mode, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}

func mustDecMode(maxElements int) cbor.DecMode {
	mode, err := cbor.DecOptions{
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		MaxNestedLevels:  16,
		MaxArrayElements: maxElements,
		MaxMapPairs:      1 << 16,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// Register makes the type of m known to Decode. It is called from init functions
// and panics if the kind is already registered.
func Register(m Message) {
	k := m.Kind()
	if kinds[k] != nil {
		panic(fmt.Sprintf("wire: kind %d is registered twice", k))
	}
	kinds[k] = reflect.TypeOf(m).Elem()
}

// Encode returns m encoded as a frame.
func Encode(m Message) ([]byte, error) {
	body, err := encMode.Marshal(m)
	if err != nil {
		return nil, eris.Wrapf(err, "encode %T", m)
	}
	if len(body)+1 > MaxFrameBytes {
		return nil, eris.Wrapf(ErrTooLarge, "message %T is %d bytes, the limit is %d", m, len(body)+1, MaxFrameBytes)
	}
	frame := make([]byte, 1, 1+len(body))
	frame[0] = byte(m.Kind())
	return append(frame, body...), nil
}

// Decode returns the message in a frame as a pointer to its registered type.
// Errors wrap ErrMalformed.
func Decode(frame []byte) (Message, error) {
	if len(frame) < 2 {
		return nil, eris.Wrapf(ErrMalformed, "frame of %d bytes", len(frame))
	}
	t := kinds[frame[0]]
	if t == nil {
		return nil, &UnknownKindError{Kind(frame[0])}
	}
	m := reflect.New(t).Interface()
	if err := frameMode.Unmarshal(frame[1:], m); err != nil {
		return nil, eris.Wrapf(ErrMalformed, "kind %d: %v", frame[0], err)
	}
	return m.(Message), nil
}

// Marshal encodes v as CBOR with the options that messages use.
func Marshal(v any) ([]byte, error) { return encMode.Marshal(v) }

// Unmarshal decodes the CBOR in b into v. Errors wrap ErrMalformed.
func Unmarshal(b []byte, v any) error {
	if err := decMode.Unmarshal(b, v); err != nil {
		return eris.Wrapf(ErrMalformed, "%T: %v", v, err)
	}
	return nil
}

// Role is a function that a process performs in the deployment.
type Role string

// Roles of processes.
const (
	RoleControl Role = "control"
	RoleEntry   Role = "entry"
	RoleAgent   Role = "agent"
)

// Hello is the first message in each direction of a link.
type Hello struct {
	Process string `cbor:"1,keyasint"`
	Zone    string `cbor:"2,keyasint"`
	Roles   []Role `cbor:"3,keyasint"`
	// Boot is the boot id; it differs between two runs of the same process.
	Boot string `cbor:"4,keyasint"`
	// Target is the target beside which an agent runs.
	Target string `cbor:"5,keyasint,omitempty"`
	// Address is the address on which the sender accepts links, or empty if it
	// accepts none.
	Address string `cbor:"6,keyasint,omitempty"`
	// Host is the name of the host if it differs from the name of the process.
	Host string `cbor:"7,keyasint,omitempty"`
	// Level is the newest level that the sender understands, see Level.
	Level uint32 `cbor:"8,keyasint,omitempty"`
	// Checksums is set if the sender knows frames that end with a checksum. The frames
	// after the Hello have one if both ends do.
	Checksums bool `cbor:"9,keyasint,omitempty"`
	// CPUShare is the share of a core that the sender may use, 0 if it is not known.
	CPUShare float64 `cbor:"10,keyasint,omitempty"`
	// MemoryBytes is the memory of the sender's host, 0 if it is not known.
	MemoryBytes int64 `cbor:"11,keyasint,omitempty"`
}

// Level is the level of messages, log commands and snapshots that this program understands.
// It rises with each version that adds some which the version before does not understand;
// see docs/design/upgrades.md.
const Level = 3

const (
	// LevelInLog is the level from which the level in force is in the replicated log.
	LevelInLog = 1
	// LevelUsage is the level from which replicas have the usage of client accounts.
	LevelUsage = 1
	// LevelStreams is the level from which replicas know which software began streams.
	LevelStreams = 2
	// LevelUploads is the level from which replicas take submissions in parts.
	LevelUploads = 3
)

// Ping is the heartbeat of a link that has no other frame to send.
type Ping struct {
	Sequence uint64 `cbor:"1,keyasint"`
}

// Kind implements Message.
func (*Hello) Kind() Kind { return KindHello }

// Kind implements Message.
func (*Ping) Kind() Kind { return KindPing }

func init() {
	Register(&Hello{})
	Register(&Ping{})
}
