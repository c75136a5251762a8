// Package control holds the state machine that control replicas apply the log
// to, the administration API, and the calls that other processes make to the
// control leader.
package control

import (
	"bytes"
	"hash/fnv"
	"io"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/rotisserie/eris"

	"merlinhall/config"
	"merlinhall/duty"
	"merlinhall/propagate"
	"merlinhall/wire"
)

// maxOutcomes is how many request ids are remembered with their outcomes. At
// 3,100 changes a day and 6 trainers it spans more than an hour of resends.
const maxOutcomes = 4096

var (
	// ErrBadCommand is wrapped by the result of a command that no slice can apply.
	ErrBadCommand = eris.New("command is malformed")
	// ErrReused is wrapped by the result of a command whose request id belongs to
	// another command.
	ErrReused = eris.New("request id was used for another command")
)

// Slice is one part of the state machine. Apply and Snapshot are deterministic;
// methods are never called concurrently.
type Slice interface {
	Name() string
	Apply(index, term uint64, body []byte) (result any)
	Snapshot() ([]byte, error)
	Restore(snapshot []byte) error
}

// ResultDecoder is implemented by a slice whose results must keep their type when
// a remembered outcome has been through a snapshot. Results are encoded with
// wire.Marshal. Without it such an outcome is a generic CBOR value.
type ResultDecoder interface {
	DecodeResult(b []byte) (any, error)
}

// WeightsGate is implemented by a slice that takes part in the publication of
// weights.
type WeightsGate interface {
	// RefuseWeights returns why the publication must be refused, or "".
	RefuseWeights(p wire.PublishWeights) string
	// WeightsPublished is called after a publication changed the world.
	WeightsPublished(index, term uint64, p wire.PublishWeights)
}

// command is a log entry. TimeMs is the clock of the proposing leader; it differs
// between two sendings of one request.
type command struct {
	Slice     string `cbor:"1,keyasint"`
	RequestID string `cbor:"2,keyasint,omitempty"`
	Body      []byte `cbor:"3,keyasint"`
	TimeMs    int64  `cbor:"4,keyasint"`
}

// recorder is a slice that keeps the request id and time of its commands.
type recorder interface {
	applyRequest(index, term uint64, c *command) any
	// identity returns what two sendings of one request have in common.
	identity(c *command) []byte
	// repeated returns the outcome of a request whose id is known with another
	// body, when that body asks for what was accepted under the id.
	repeated(c *command) (any, bool)
}

// Machine is the state machine of a control replica. It implements
// replica.StateMachine; its other methods may be called from any goroutine.
type Machine struct {
	mu         sync.Mutex
	order      []Slice
	slices     map[string]Slice
	outcomes   *outcomes
	config     *configSlice
	weights    *weightsSlice
	departures *departuresSlice
	applied    uint64
	worldIndex uint64
	worldTerm  uint64

	parsed        atomic.Pointer[config.Config]
	parsedVersion uint64
	sourced       []wire.WeightTarget // of the WeightsSources

	world     atomic.Pointer[wire.World]
	listeners []func(*wire.World)
	progress  chan struct{} // closed at the next Apply or Restore
}

// worldPart is a slice whose state is part of the world.
type worldPart interface {
	Slice
	// takeChange reports whether the last Apply changed the world's part.
	takeChange() bool
	addTo(w *wire.World)
}

// NewMachine returns a machine with the built-in slices "config", "weights" and
// "departures" and the given ones.
func NewMachine(more ...Slice) *Machine {
	m := &Machine{
		slices:   make(map[string]Slice),
		outcomes: newOutcomes(),
		config:   newConfigSlice(),
		progress: make(chan struct{}),
	}
	m.weights = newWeightsSlice(m.gates)
	m.departures = newDeparturesSlice(func() uint64 { return m.config.current().Version })
	m.order = append([]Slice{m.config, m.weights, m.departures}, more...)
	for _, s := range m.order {
		duty.Invariant(m.slices[s.Name()] == nil, "slice %q is given twice", s.Name())
		m.slices[s.Name()] = s
	}
	m.connectParts()
	return m
}

func (m *Machine) gates() []WeightsGate {
	var gates []WeightsGate
	for _, s := range m.order {
		if g, ok := s.(WeightsGate); ok {
			gates = append(gates, g)
		}
	}
	return gates
}

// OnWorld calls f with each new world, from the applying goroutine. f must not
// block. It is called at once when there is a world already.
func (m *Machine) OnWorld(f func(*wire.World)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.listeners = append(m.listeners, f)
	if w := m.world.Load(); w != nil {
		f(w)
	}
}

// World returns the world of the applied state, or nil before the first one.
func (m *Machine) World() *wire.World { return m.world.Load() }

// Applied returns the index of the last applied command.
func (m *Machine) Applied() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.applied
}

// wait returns a channel that is closed at the next change of the state.
func (m *Machine) wait() <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.progress
}

func (m *Machine) wake() {
	close(m.progress)
	m.progress = make(chan struct{})
}

// Apply applies a committed command. A result that is an error means that the
// command changed nothing.
func (m *Machine) Apply(index, term uint64, raw []byte) (result any) {
	m.mu.Lock()
	defer m.mu.Unlock()
	duty.Invariant(index > m.applied, "index %d is applied after %d", index, m.applied)
	m.applied = index
	defer m.wake()
	var c command
	if err := wire.Unmarshal(raw, &c); err != nil {
		return eris.Wrapf(ErrBadCommand, "%v", err)
	}
	s := m.slices[c.Slice]
	if s == nil {
		return eris.Wrapf(ErrBadCommand, "no slice %q", c.Slice)
	}
	sum := commandSum(s, &c)
	if known, ok := m.outcomes.find(c.RequestID); ok {
		return repeatedResult(s, &c, known, sum)
	}
	result = applyTo(s, index, term, &c)
	m.outcomes.add(outcome{RequestID: c.RequestID, Slice: c.Slice, Sum: sum, result: result})
	m.refreshWorld(index, term)
	return result
}

func applyTo(s Slice, index, term uint64, c *command) any {
	if r, ok := s.(recorder); ok {
		return r.applyRequest(index, term, c)
	}
	return s.Apply(index, term, c.Body)
}

// repeatedResult returns the first outcome of a command that was sent again.
func repeatedResult(s Slice, c *command, known outcome, sum uint64) any {
	if known.Sum == sum {
		return known.result
	}
	if r, ok := s.(recorder); ok && known.Slice == c.Slice {
		if result, ok := r.repeated(c); ok {
			return result
		}
	}
	return eris.Wrapf(ErrReused, "request %q", c.RequestID)
}

// commandSum identifies the content of a command.
func commandSum(s Slice, c *command) uint64 {
	content := c.Body
	if r, ok := s.(recorder); ok {
		content = r.identity(c)
	}
	h := fnv.New64a()
	_, _ = h.Write([]byte(c.Slice))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write(content)
	return h.Sum64()
}

// refreshWorld builds a new world when the command changed a part of it. The
// world's index is that of the last command that did.
func (m *Machine) refreshWorld(index, term uint64) {
	changed := false
	for _, s := range m.order {
		if p, ok := s.(worldPart); ok && p.takeChange() {
			changed = true
		}
	}
	m.parseConfig()
	if m.takeSourced() {
		changed = true
	}
	if !changed {
		return
	}
	m.worldIndex, m.worldTerm = index, term
	m.publish()
}

func (m *Machine) publish() {
	w := &wire.World{Index: m.worldIndex, Term: m.worldTerm}
	for _, s := range m.order {
		if p, ok := s.(worldPart); ok {
			p.addTo(w)
		}
	}
	m.addSourced(w)
	old := m.world.Load()
	duty.Invariant(old == nil || old.Index < w.Index, "world %d follows a newer one", w.Index)
	duty.Invariant(old == nil || !propagate.WentBack(old, w), "a version goes back at index %d", w.Index)
	m.world.Store(w)
	for _, f := range m.listeners {
		f(w)
	}
}

// Outcome returns the remembered result of a request id and the name of the
// slice that gave it.
func (m *Machine) Outcome(requestID string) (slice string, result any, ok bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	o, ok := m.outcomes.find(requestID)
	return o.Slice, o.result, ok
}

// machineSnapshot is the encoded state of the machine. The states of its slices
// follow it, framed, in the order of their names.
type machineSnapshot struct {
	Applied    uint64    `cbor:"1,keyasint"`
	WorldIndex uint64    `cbor:"2,keyasint"`
	WorldTerm  uint64    `cbor:"3,keyasint"`
	Slices     []string  `cbor:"4,keyasint"`
	Outcomes   []outcome `cbor:"5,keyasint"`
}

// Snapshot returns the encoded state.
func (m *Machine) Snapshot() ([]byte, error) {
	var b bytes.Buffer
	err := m.Freeze()(&b)
	return b.Bytes(), err
}

// Freezer is a slice whose state can be encoded later, as it is now, part by part.
// Large states are never in memory a second time.
type Freezer interface {
	// Freeze returns a function that calls part with each part, none of them empty.
	Freeze() func(part func(b []byte) error) error
	RestoreParts(parts [][]byte) error
}

// Freeze implements replica.Freezer. Slices that are no Freezer are encoded at
// once.
func (m *Machine) Freeze() func(w io.Writer) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := machineSnapshot{
		Applied:    m.applied,
		WorldIndex: m.worldIndex,
		WorldTerm:  m.worldTerm,
	}
	var encoders []func(part func(b []byte) error) error
	for _, part := range m.order {
		s.Slices = append(s.Slices, part.Name())
		if f, ok := part.(Freezer); ok {
			encoders = append(encoders, f.Freeze())
			continue
		}
		b, err := part.Snapshot()
		encoders = append(encoders, func(part func(b []byte) error) error {
			if err != nil || len(b) == 0 {
				return err
			}
			return part(b)
		})
	}
	outcomes, err := m.outcomes.encode()
	s.Outcomes = outcomes
	return func(w io.Writer) error {
		if err != nil {
			return err
		}
		return writeSnapshot(w, &s, encoders)
	}
}

// writeSnapshot writes the head, then the parts of each slice, which end with an
// empty part.
func writeSnapshot(w io.Writer, s *machineSnapshot, encoders []func(part func(b []byte) error) error) error {
	part := func(b []byte) error { return wire.WriteFrame(w, b) }
	head, err := wire.Marshal(s)
	if err != nil {
		return err
	}
	if err := part(head); err != nil {
		return err
	}
	for i, encode := range encoders {
		err := encode(part)
		if err == nil {
			err = part(nil)
		}
		if err != nil {
			return eris.Wrapf(err, "snapshot of slice %q", s.Slices[i])
		}
	}
	return nil
}

func (m *Machine) restoreSlice(name string, parts [][]byte) error {
	slice := m.slices[name]
	if slice == nil {
		return eris.New("this build does not know it")
	}
	if f, ok := slice.(Freezer); ok {
		return f.RestoreParts(parts)
	}
	return slice.Restore(bytes.Join(parts, nil))
}

// Restore replaces the state by that of a snapshot.
func (m *Machine) Restore(snapshot []byte) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	parts, err := wire.Unframe(snapshot)
	if err != nil {
		return eris.Wrap(err, "snapshot of the control state")
	}
	if len(parts) == 0 {
		return eris.New("snapshot of the control state is empty")
	}
	var s machineSnapshot
	if err := wire.Unmarshal(parts[0], &s); err != nil {
		return eris.Wrap(err, "snapshot of the control state")
	}
	rest := parts[1:]
	for _, name := range s.Slices {
		end := slices.IndexFunc(rest, func(b []byte) bool { return len(b) == 0 })
		if end < 0 {
			return eris.Errorf("snapshot of the control state ends within the slice %q", name)
		}
		if err := m.restoreSlice(name, rest[:end]); err != nil {
			return eris.Wrapf(err, "restore slice %q", name)
		}
		rest = rest[end+1:]
	}
	if err := m.outcomes.restore(s.Outcomes, m.slices); err != nil {
		return err
	}
	m.applied, m.worldIndex, m.worldTerm = s.Applied, s.WorldIndex, s.WorldTerm
	m.parseConfig()
	m.takeSourced()
	if m.worldIndex > 0 {
		m.publish()
	}
	m.wake()
	return nil
}

// outcome is a request id with the result of its command.
type outcome struct {
	RequestID string `cbor:"1,keyasint"`
	Slice     string `cbor:"2,keyasint"`
	Sum       uint64 `cbor:"3,keyasint"`
	Result    []byte `cbor:"4,keyasint,omitempty"` // set in snapshots only
	Failure   string `cbor:"5,keyasint,omitempty"` // text of a result that is an error
	result    any
}

// outcomes remembers the last maxOutcomes request ids in order of commit.
type outcomes struct {
	byID  map[string]*outcome
	order []string
}

func newOutcomes() *outcomes { return &outcomes{byID: make(map[string]*outcome)} }

func (o *outcomes) find(id string) (outcome, bool) {
	if found := o.byID[id]; found != nil {
		return *found, true
	}
	return outcome{}, false
}

func (o *outcomes) add(v outcome) {
	if v.RequestID == "" {
		return
	}
	o.byID[v.RequestID] = &v
	o.order = append(o.order, v.RequestID)
	if len(o.order) > maxOutcomes {
		delete(o.byID, o.order[0])
		o.order = slices.Delete(o.order, 0, 1)
	}
}

func (o *outcomes) encode() ([]outcome, error) {
	list := make([]outcome, 0, len(o.order))
	for _, id := range o.order {
		v := *o.byID[id]
		if err, failed := v.result.(error); failed {
			v.Failure = err.Error()
			list = append(list, v)
			continue
		}
		b, err := wire.Marshal(v.result)
		if err != nil {
			return nil, eris.Wrapf(err, "outcome of request %q", id)
		}
		v.Result = b
		list = append(list, v)
	}
	return list, nil
}

func (o *outcomes) restore(list []outcome, parts map[string]Slice) error {
	o.byID = make(map[string]*outcome, len(list))
	o.order = nil
	for _, v := range list {
		result, err := decodeResult(&v, parts[v.Slice])
		if err != nil {
			return eris.Wrapf(err, "outcome of request %q", v.RequestID)
		}
		v.result, v.Result, v.Failure = result, nil, ""
		o.add(v)
	}
	return nil
}

func decodeResult(v *outcome, s Slice) (any, error) {
	if v.Failure != "" {
		return eris.New(v.Failure), nil
	}
	if d, ok := s.(ResultDecoder); ok {
		return d.DecodeResult(v.Result)
	}
	var result any
	err := wire.Unmarshal(v.Result, &result)
	return result, err
}
