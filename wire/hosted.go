package wire

import "time"

// Kinds of messages from control replicas to the processes that serve callers.
// MembershipUpdate is also sent between control replicas.
const (
	KindRouteUpdate      Kind = 55
	KindTargetUpdate     Kind = 56
	KindMembershipUpdate Kind = 57
)

// RouteUpdate distributes a routing manifest.
type RouteUpdate struct {
	Version  uint64 `cbor:"1,keyasint"`
	Manifest []byte `cbor:"2,keyasint"` // CBOR of routes.Manifest
}

// TargetUpdate distributes the platform's list of targets as last read by the
// control leader. Without Changed it confirms that the list of Sequence is still
// current.
type TargetUpdate struct {
	Term     uint64        `cbor:"1,keyasint"`
	Sequence uint64        `cbor:"2,keyasint"` // number of the last change within the term
	Changed  bool          `cbor:"3,keyasint,omitempty"`
	Targets  []TargetEntry `cbor:"4,keyasint,omitempty"`
	// AgeMs is the time since the list was last read.
	AgeMs uint32 `cbor:"5,keyasint,omitempty"`
	// Limits are limits of targets that the leader knows: all with Changed, else those that
	// have changed. Former versions do not send them.
	Limits []TargetLimit `cbor:"6,keyasint,omitempty"`
	// Suspects are requests under which targets have ended: all that the leader knows with
	// Changed, else those that have changed. Former versions do not send them.
	Suspects []SuspectRequest `cbor:"7,keyasint,omitempty"`
}

// SuspectRequest is what a process knows of requests under which targets have ended. Its times
// are ages.
type SuspectRequest struct {
	Key         []byte        `cbor:"1,keyasint"` // of package quarantine
	Ends        []TargetEnd   `cbor:"2,keyasint,omitempty"`
	Answered    bool          `cbor:"3,keyasint,omitempty"` // a target has answered it
	AnsweredAge time.Duration `cbor:"4,keyasint,omitempty"`
	ArrivedAge  time.Duration `cbor:"5,keyasint,omitempty"`
	Route       string        `cbor:"6,keyasint,omitempty"` // of the latest request
	Request     string        `cbor:"7,keyasint,omitempty"` // its id
}

// TargetEnd is the end of a target while a request was under way there.
type TargetEnd struct {
	Target string `cbor:"1,keyasint"`
	// SentAge and Age are the times since the request was sent and the target ended.
	SentAge time.Duration `cbor:"2,keyasint,omitempty"`
	Age     time.Duration `cbor:"3,keyasint,omitempty"`
}

// TargetLimit is what a response of a target said about its limit.
type TargetLimit struct {
	Target    string  `cbor:"1,keyasint"`
	StartedMs int64   `cbor:"2,keyasint,omitempty"` // start of the target in Unix ms
	Limited   bool    `cbor:"3,keyasint,omitempty"`
	PerSecond float64 `cbor:"4,keyasint,omitempty"` // requests a second from all processes
	// SentAge and Age are the times since the request was sent and its response arrived.
	SentAge time.Duration `cbor:"5,keyasint,omitempty"`
	Age     time.Duration `cbor:"6,keyasint,omitempty"`
}

// TargetEntry is one target in the platform's list.
type TargetEntry struct {
	ID        string         `cbor:"1,keyasint"`
	Service   string         `cbor:"2,keyasint"`
	Address   string         `cbor:"3,keyasint"`
	Zone      string         `cbor:"4,keyasint"`
	Slots     int            `cbor:"5,keyasint,omitempty"`
	Draining  bool           `cbor:"6,keyasint,omitempty"`
	StartedMs int64          `cbor:"7,keyasint,omitempty"` // start time in Unix ms, 0 if unknown
	Models    []ModelVersion `cbor:"8,keyasint,omitempty"`
	// Version is that of the target's software, empty if unknown. Former versions do not
	// send it.
	Version string `cbor:"9,keyasint,omitempty"`
}

// Software identifies the software of targets. Targets with equal, known software can go on
// with each other's streams.
type Software struct {
	Service string `cbor:"1,keyasint,omitempty"`
	Version string `cbor:"2,keyasint,omitempty"`
	// Target is the id of a target whose version is unknown. It can go on with its own
	// streams only.
	Target string `cbor:"3,keyasint,omitempty"`
}

// Software returns the software of the target.
func (t *TargetEntry) Software() Software {
	if t.Version == "" {
		return Software{Service: t.Service, Target: t.ID}
	}
	return Software{Service: t.Service, Version: t.Version}
}

// Known reports whether s names a software.
func (s Software) Known() bool { return s != Software{} }

// String implements fmt.Stringer.
func (s Software) String() string {
	if s.Target != "" {
		return s.Service + " of " + s.Target
	}
	return s.Service + " " + s.Version
}

// ModelVersion is a model with its weight version.
type ModelVersion struct {
	Model   string `cbor:"1,keyasint"`
	Version uint64 `cbor:"2,keyasint"`
}

// MembershipUpdate lists the link addresses of the control replicas and of their
// leader.
type MembershipUpdate struct {
	Leader  string   `cbor:"1,keyasint"`
	Members []string `cbor:"2,keyasint"`
	Term    uint64   `cbor:"3,keyasint,omitempty"` // of Leader
}

// Kind implements Message.
func (*RouteUpdate) Kind() Kind { return KindRouteUpdate }

// Kind implements Message.
func (*TargetUpdate) Kind() Kind { return KindTargetUpdate }

// Kind implements Message.
func (*MembershipUpdate) Kind() Kind { return KindMembershipUpdate }

func init() {
	Register(&RouteUpdate{})
	Register(&TargetUpdate{})
	Register(&MembershipUpdate{})
}
