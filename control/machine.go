// Package control implements the control role: the replicated state machine, the
// administration API, and the calls that other processes make to the control
// leader.
package control

import (
	"bytes"
	"hash/fnv"
	"io"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/rotisserie/eris"

	"merlinhall/actor"
	"merlinhall/config"
	"merlinhall/propagate"
	"merlinhall/replica"
	"merlinhall/wire"
)

// maxOutcomes is the number of request ids kept with their outcomes to detect
// duplicates. At 3,100 changes a day and 6 trainers it covers more than an hour of
// resends.
const maxOutcomes = 4096

var (
	// ErrBadCommand is wrapped by the result of a command that no slice can apply.
	ErrBadCommand = eris.New("command is malformed")
	// ErrRequestIDReused is wrapped by the result of a command whose request id
	// belongs to a different command.
	ErrRequestIDReused = eris.New("request id was used for another command")
)

// Slice is one part of the state machine, with its own commands and state. Apply
// and Snapshot must be deterministic. Methods are never called concurrently.
type Slice interface {
	Name() string
	Apply(index, term uint64, body []byte) (result any)
	Snapshot() ([]byte, error)
	Restore(snapshot []byte) error
}

// ResultDecoder is implemented by a slice whose results must keep their Go type
// after the stored outcomes are restored from a snapshot. Results are encoded with
// wire.Marshal; without a ResultDecoder they are restored as generic CBOR values.
type ResultDecoder interface {
	DecodeResult(b []byte) (any, error)
}

// LaterSlice is implemented by a slice that the version before does not know. A snapshot
// leaves it out while it has no state, so that a replica of that version can take the
// snapshot.
type LaterSlice interface {
	// Unused reports whether no command was ever applied.
	Unused() bool
	// Level is the level from which replicas know the slice.
	Level() uint32
}

// WeightsGate is implemented by a slice that can refuse the publication of
// weights.
type WeightsGate interface {
	// RefuseWeights returns the reason to refuse the publication, or "".
	RefuseWeights(p wire.PublishWeights) string
	// WeightsPublished is called when a publication has advanced the version of a pool,
	// before the new cluster state is published.
	WeightsPublished(index, term uint64, p wire.PublishWeights)
}

// command is a log entry. TimeMs is the proposing leader's clock, so it differs when
// the same request is sent again.
type command struct {
	Slice     string `cbor:"1,keyasint"`
	RequestID string `cbor:"2,keyasint,omitempty"`
	Body      []byte `cbor:"3,keyasint"`
	TimeMs    int64  `cbor:"4,keyasint"`
	// Level is the level that a program needs to apply the command.
	Level uint32 `cbor:"5,keyasint,omitempty"`
}

// requestAwareSlice is a slice that stores the request id and time of its commands.
type requestAwareSlice interface {
	applyRequest(index, term uint64, c *command) any
	// contentKey returns the part of a command that is the same each time the same
	// request is sent.
	contentKey(c *command) []byte
	// duplicateOutcome returns the outcome of a request whose id is known with a
	// different body, if that body requests the change that was accepted under the id.
	duplicateOutcome(c *command) (any, bool)
}

// StateMachine is the state machine of a control replica. It implements
// replica.StateMachine. Its other methods may be called from any goroutine.
type StateMachine struct {
	mu                sync.Mutex
	order             []Slice
	slices            map[string]Slice
	outcomes          *outcomes
	config            *configSlice
	weights           *weightsSlice
	departures        *departuresSlice
	level             *levelSlice
	applied           uint64
	clusterStateIndex uint64
	clusterStateTerm  uint64

	parsed        atomic.Pointer[config.Config]
	parsedVersion uint64
	sourceWeights []wire.WeightTarget // from the WeightsSources

	clusterState atomic.Pointer[wire.ClusterState]
	listeners    []func(*wire.ClusterState)
	changeSignal chan struct{} // closed at the next Apply or Restore
}

// clusterStatePart is a slice whose state is part of the cluster state.
type clusterStatePart interface {
	Slice
	// takeChanged reports whether this part of the cluster state has changed since
	// the last call.
	takeChanged() bool
	addTo(state *wire.ClusterState)
}

// NewStateMachine returns a state machine with the built-in slices "config", "weights",
// "departures" and "level", followed by the given ones.
func NewStateMachine(more ...Slice) *StateMachine {
	m := &StateMachine{
		slices:       make(map[string]Slice),
		outcomes:     newOutcomes(),
		config:       newConfigSlice(),
		level:        &levelSlice{},
		changeSignal: make(chan struct{}),
	}
	m.weights = newWeightsSlice(m.gates)
	m.departures = newDeparturesSlice(func() uint64 { return m.config.current().Version })
	m.order = append([]Slice{m.config, m.weights, m.departures, m.level}, more...)
	for _, s := range m.order {
		actor.Invariant(m.slices[s.Name()] == nil, "duplicate slice %q", s.Name())
		m.slices[s.Name()] = s
	}
	m.connectConfigUsers()
	return m
}

func (m *StateMachine) gates() []WeightsGate {
	var gates []WeightsGate
	for _, s := range m.order {
		if g, ok := s.(WeightsGate); ok {
			gates = append(gates, g)
		}
	}
	return gates
}

// OnClusterState registers f to be called with each new cluster state, on the
// goroutine that applies commands. f must not block. If a cluster state exists, f is
// called immediately.
func (m *StateMachine) OnClusterState(f func(*wire.ClusterState)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.listeners = append(m.listeners, f)
	if state := m.clusterState.Load(); state != nil {
		f(state)
	}
}

// ClusterState returns the cluster state as of the last applied command, or nil if there
// is none yet.
func (m *StateMachine) ClusterState() *wire.ClusterState { return m.clusterState.Load() }

// Applied returns the index of the last applied command.
func (m *StateMachine) Applied() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.applied
}

// nextChange returns a channel that is closed at the next Apply or Restore.
func (m *StateMachine) nextChange() <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.changeSignal
}

func (m *StateMachine) signalChange() {
	close(m.changeSignal)
	m.changeSignal = make(chan struct{})
}

// Apply applies a committed command. If the result is an error, the command changed
// nothing. If it wraps replica.ErrNotUnderstood, nothing after it may be applied.
func (m *StateMachine) Apply(index, term uint64, raw []byte) (result any) {
	m.mu.Lock()
	defer m.mu.Unlock()
	actor.Invariant(index > m.applied, "command at index %d applied after index %d", index, m.applied)
	var c command
	err := wire.Unmarshal(raw, &c)
	s := m.slices[c.Slice]
	if err == nil && (s == nil || c.Level > wire.Level) {
		return notUnderstood(c.Slice, c.Level)
	}
	m.applied = index
	defer m.signalChange()
	if err != nil {
		return eris.Wrapf(ErrBadCommand, "%v", err)
	}
	hash := commandHash(s, &c)
	if known, ok := m.outcomes.find(c.RequestID); ok {
		return duplicateResult(s, &c, known, hash)
	}
	result = applyTo(s, index, term, &c)
	m.outcomes.add(outcome{RequestID: c.RequestID, Slice: c.Slice, Hash: hash, result: result})
	m.refreshClusterState(index, term)
	return result
}

func applyTo(s Slice, index, term uint64, c *command) any {
	if r, ok := s.(requestAwareSlice); ok {
		return r.applyRequest(index, term, c)
	}
	return s.Apply(index, term, c.Body)
}

// duplicateResult returns the stored outcome of a command that was sent again, or an
// error if its request id belongs to a different command.
func duplicateResult(s Slice, c *command, known outcome, hash uint64) any {
	if known.Hash == hash {
		return known.result
	}
	if r, ok := s.(requestAwareSlice); ok && known.Slice == c.Slice {
		if result, ok := r.duplicateOutcome(c); ok {
			return result
		}
	}
	return eris.Wrapf(ErrRequestIDReused, "request %q", c.RequestID)
}

// commandHash returns a hash of a command's slice and content key.
func commandHash(s Slice, c *command) uint64 {
	content := c.Body
	if r, ok := s.(requestAwareSlice); ok {
		content = r.contentKey(c)
	}
	h := fnv.New64a()
	_, _ = h.Write([]byte(c.Slice))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write(content)
	return h.Sum64()
}

// refreshClusterState publishes a new cluster state if the command changed a part of
// it. Its index is that of the last command that did.
func (m *StateMachine) refreshClusterState(index, term uint64) {
	changed := false
	for _, s := range m.order {
		if p, ok := s.(clusterStatePart); ok && p.takeChanged() {
			changed = true
		}
	}
	m.parseConfig()
	if m.refreshSourceWeights() {
		changed = true
	}
	if !changed {
		return
	}
	m.clusterStateIndex, m.clusterStateTerm = index, term
	m.publish()
}

func (m *StateMachine) publish() {
	state := &wire.ClusterState{Index: m.clusterStateIndex, Term: m.clusterStateTerm}
	for _, s := range m.order {
		if p, ok := s.(clusterStatePart); ok {
			p.addTo(state)
		}
	}
	m.addSourceWeights(state)
	old := m.clusterState.Load()
	actor.Invariant(old == nil || old.Index < state.Index, "cluster state at index %d is not newer than the current one", state.Index)
	actor.Invariant(old == nil || !propagate.VersionDecreased(old, state), "a version decreases at index %d", state.Index)
	m.clusterState.Store(state)
	for _, f := range m.listeners {
		f(state)
	}
}

// Outcome returns the stored result of a request id and the name of the slice that
// produced it.
func (m *StateMachine) Outcome(requestID string) (slice string, result any, ok bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	o, ok := m.outcomes.find(requestID)
	return o.Slice, o.result, ok
}

// machineSnapshot is the header of a snapshot. The states of the slices follow it as
// frames, in the order of Slices.
type machineSnapshot struct {
	Applied           uint64    `cbor:"1,keyasint"`
	ClusterStateIndex uint64    `cbor:"2,keyasint"`
	ClusterStateTerm  uint64    `cbor:"3,keyasint"`
	Slices            []string  `cbor:"4,keyasint"`
	Outcomes          []outcome `cbor:"5,keyasint"`
	// Level is the level that a program needs to restore the snapshot.
	Level uint32 `cbor:"6,keyasint,omitempty"`
}

// Snapshot returns the encoded state of all slices.
func (m *StateMachine) Snapshot() ([]byte, error) {
	var b bytes.Buffer
	err := m.Freeze()(&b)
	return b.Bytes(), err
}

// Freezer is a slice that can capture its current state and encode it later, part by
// part. This avoids a second copy of a large state in memory.
type Freezer interface {
	// Freeze captures the state. The returned function calls part with each encoded
	// part; parts are never empty.
	Freeze() func(part func(b []byte) error) error
	RestoreParts(parts [][]byte) error
}

// Freeze implements replica.Freezer. Slices that do not implement Freezer are encoded
// immediately.
func (m *StateMachine) Freeze() func(w io.Writer) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := machineSnapshot{
		Applied:           m.applied,
		ClusterStateIndex: m.clusterStateIndex,
		ClusterStateTerm:  m.clusterStateTerm,
		Level:             m.Level(),
	}
	var encoders []func(part func(b []byte) error) error
	for _, part := range m.order {
		if later, ok := part.(LaterSlice); ok && later.Unused() {
			continue
		}
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

// writeSnapshot writes the header, then the parts of each slice. An empty part marks
// the end of a slice.
func writeSnapshot(w io.Writer, s *machineSnapshot, encoders []func(part func(b []byte) error) error) error {
	part := func(b []byte) error { return wire.WritePart(w, b) }
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
			return eris.Wrapf(err, "encode slice %q", s.Slices[i])
		}
	}
	return nil
}

func (m *StateMachine) restoreSlice(name string, parts [][]byte) error {
	slice := m.slices[name]
	if slice == nil {
		return eris.New("slice is unknown to this build")
	}
	if f, ok := slice.(Freezer); ok {
		return f.RestoreParts(parts)
	}
	return slice.Restore(bytes.Join(parts, nil))
}

// Restore replaces the state with that of a snapshot.
func (m *StateMachine) Restore(snapshot []byte) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	parts, err := wire.DecodeParts(snapshot)
	if err != nil {
		return eris.Wrap(err, "split control snapshot into frames")
	}
	if len(parts) == 0 {
		return eris.New("control snapshot is empty")
	}
	var s machineSnapshot
	if err := wire.Unmarshal(parts[0], &s); err != nil {
		return eris.Wrap(err, "decode control snapshot header")
	}
	if s.Level > wire.Level {
		return eris.Wrapf(replica.ErrNotUnderstood, "the snapshot is of level %d, this program has level %d", s.Level, wire.Level)
	}
	rest := parts[1:]
	for _, name := range s.Slices {
		end := slices.IndexFunc(rest, func(b []byte) bool { return len(b) == 0 })
		if end < 0 {
			return eris.Errorf("control snapshot is truncated in slice %q", name)
		}
		if err := m.restoreSlice(name, rest[:end]); err != nil {
			return eris.Wrapf(err, "restore slice %q", name)
		}
		rest = rest[end+1:]
	}
	if err := m.outcomes.restore(s.Outcomes, m.slices); err != nil {
		return err
	}
	m.applied, m.clusterStateIndex, m.clusterStateTerm = s.Applied, s.ClusterStateIndex, s.ClusterStateTerm
	m.parseConfig()
	m.refreshSourceWeights()
	if m.clusterStateIndex > 0 {
		m.publish()
	}
	m.signalChange()
	return nil
}

// outcome is the stored result of a request.
type outcome struct {
	RequestID string `cbor:"1,keyasint"`
	Slice     string `cbor:"2,keyasint"`
	Hash      uint64 `cbor:"3,keyasint"`
	Result    []byte `cbor:"4,keyasint,omitempty"` // set in snapshots only
	Failure   string `cbor:"5,keyasint,omitempty"` // error text, if the result is an error
	result    any
}

// outcomes holds the outcomes of the last maxOutcomes requests in commit order.
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
			return nil, eris.Wrapf(err, "encode outcome of request %q", id)
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
			return eris.Wrapf(err, "decode outcome of request %q", v.RequestID)
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
