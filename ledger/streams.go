package ledger

import (
	"bytes"
	"cmp"
	"maps"
	"slices"
	"sync"

	"github.com/rotisserie/eris"

	"merlinhall/wire"
)

// StreamKeyBytes is the length of the key of a stream.
const StreamKeyBytes = 16

// StreamKey identifies a stream by the attempt that began it.
type StreamKey [StreamKeyBytes]byte

// StreamBeginning says which software began a stream.
type StreamBeginning struct {
	Key      []byte        `cbor:"1,keyasint"` // of StreamKeyBytes bytes
	Software wire.Software `cbor:"2,keyasint"`
	// Try numbers the targets to which the attempt was sent. A later one replaces an earlier
	// one, of which no event was delivered.
	Try int `cbor:"3,keyasint,omitempty"`
}

// streamsCommand is the body of a command. Exactly one operation is set.
type streamsCommand struct {
	Begun []StreamBeginning `cbor:"1,keyasint,omitempty"`
	// Expire drops the former generation and begins a new one.
	Expire bool `cbor:"2,keyasint,omitempty"`
}

// StreamsBegunCommand returns the command that records which software began streams.
func StreamsBegunCommand(begun []StreamBeginning) ([]byte, error) {
	return wire.Marshal(&streamsCommand{Begun: begun})
}

// ExpireStreamsCommand returns the command that drops the records that the command before it
// has left.
func ExpireStreamsCommand() ([]byte, error) { return wire.Marshal(&streamsCommand{Expire: true}) }

// Streams is the slice that knows which software began each stream, so that its caller can take
// it up wherever the process is that it comes to. Records have two generations; one is dropped
// with each expiry, so a record outlives the time between two of them.
type Streams struct {
	mu       sync.Mutex
	software map[wire.Software]*wire.Software // one copy of each
	current  streamGeneration
	former   streamGeneration
	used     bool
}

type streamGeneration map[StreamKey]streamRecord

type streamRecord struct {
	// software is nil if two streams began with the same key at different software. Neither
	// can be taken up.
	software *wire.Software
	try      int
}

// NewStreams returns a slice without records.
func NewStreams() *Streams {
	return &Streams{software: make(map[wire.Software]*wire.Software), current: make(streamGeneration), former: make(streamGeneration)}
}

// Find returns the software that began a stream, or false if there is no record of it. The
// software is the zero value if several streams have the key.
func (s *Streams) Find(key StreamKey) (wire.Software, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r, ok := s.find(key)
	if !ok || r.software == nil {
		return wire.Software{}, ok
	}
	return *r.software, true
}

func (s *Streams) find(key StreamKey) (streamRecord, bool) {
	if r, ok := s.current[key]; ok {
		return r, true
	}
	r, ok := s.former[key]
	return r, ok
}

// Counts returns the number of records of the current and of the former generation.
func (s *Streams) Counts() (current, former int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.current), len(s.former)
}

// Name implements control.Slice.
func (s *Streams) Name() string { return "streams" }

// Level implements control.LaterSlice.
func (s *Streams) Level() uint32 { return wire.LevelStreams }

// Unused implements control.LaterSlice.
func (s *Streams) Unused() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.used
}

// Apply implements control.Slice.
func (s *Streams) Apply(_, _ uint64, body []byte) any {
	var c streamsCommand
	if err := wire.Unmarshal(body, &c); err != nil {
		return eris.Wrap(err, "ledger: streams")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.used = true
	if c.Expire {
		s.expire()
	}
	for i := range c.Begun {
		s.begin(&c.Begun[i])
	}
	return nil
}

// begin adds a record. One of the same key that is at hand is of an earlier try, the same told
// again, or of another stream.
func (s *Streams) begin(b *StreamBeginning) {
	if len(b.Key) != StreamKeyBytes || !b.Software.Known() {
		return
	}
	key := StreamKey(b.Key)
	next := streamRecord{s.oneCopy(b.Software), b.Try}
	if r, ok := s.find(key); ok {
		switch {
		case r.try > next.try:
			return
		case r.try == next.try && r.software != next.software:
			next.software = nil
		}
	}
	s.current[key] = next
}

func (s *Streams) oneCopy(software wire.Software) *wire.Software {
	p := s.software[software]
	if p == nil {
		p = &software
		s.software[software] = p
	}
	return p
}

func (s *Streams) expire() {
	s.former, s.current = s.current, make(streamGeneration)
	used := make(map[*wire.Software]bool)
	for _, r := range s.former {
		used[r.software] = true
	}
	maps.DeleteFunc(s.software, func(_ wire.Software, p *wire.Software) bool { return !used[p] })
}

// streamsSnapshot has the records by software, in a fixed order.
type streamsSnapshot struct {
	Current []streamGroup `cbor:"1,keyasint,omitempty"`
	Former  []streamGroup `cbor:"2,keyasint,omitempty"`
}

// streamGroup is the streams that one software began at one try; the zero software stands for
// keys of several streams.
type streamGroup struct {
	Software wire.Software `cbor:"1,keyasint"`
	Try      int           `cbor:"2,keyasint,omitempty"`
	Keys     []byte        `cbor:"3,keyasint"` // one after the other
}

// Snapshot implements control.Slice.
func (s *Streams) Snapshot() ([]byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return wire.Marshal(&streamsSnapshot{Current: s.current.groups(), Former: s.former.groups()})
}

func (g streamGeneration) groups() []streamGroup {
	type kind struct {
		software wire.Software
		try      int
	}
	byKind := make(map[kind][]StreamKey)
	for key, r := range g {
		k := kind{try: r.try}
		if r.software != nil {
			k.software = *r.software
		}
		byKind[k] = append(byKind[k], key)
	}
	out := make([]streamGroup, 0, len(byKind))
	for k, keys := range byKind {
		slices.SortFunc(keys, func(a, b StreamKey) int { return bytes.Compare(a[:], b[:]) })
		group := streamGroup{Software: k.software, Try: k.try, Keys: make([]byte, 0, len(keys)*StreamKeyBytes)}
		for i := range keys {
			group.Keys = append(group.Keys, keys[i][:]...)
		}
		out = append(out, group)
	}
	slices.SortFunc(out, func(a, b streamGroup) int {
		return cmp.Or(cmp.Compare(a.Software.Service, b.Software.Service), cmp.Compare(a.Software.Version, b.Software.Version),
			cmp.Compare(a.Software.Target, b.Software.Target), cmp.Compare(a.Try, b.Try))
	})
	return out
}

// Restore implements control.Slice.
func (s *Streams) Restore(snapshot []byte) error {
	var in streamsSnapshot
	if err := wire.Unmarshal(snapshot, &in); err != nil {
		return eris.Wrap(err, "ledger: streams")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	clear(s.software)
	s.used = true
	s.current, s.former = s.generation(in.Current), s.generation(in.Former)
	return nil
}

func (s *Streams) generation(groups []streamGroup) streamGeneration {
	out := make(streamGeneration)
	for _, group := range groups {
		r := streamRecord{try: group.Try}
		if group.Software.Known() {
			r.software = s.oneCopy(group.Software)
		}
		for key := range slices.Chunk(group.Keys, StreamKeyBytes) {
			if len(key) == StreamKeyBytes {
				out[StreamKey(key)] = r
			}
		}
	}
	return out
}
