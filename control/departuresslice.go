package control

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"github.com/rotisserie/eris"

	"merlinhall/wire"
)

// maxDepartures is the maximum number of draining targets, and of leaving hosts.
const maxDepartures = 1 << 14

// departuresCommand is the command of the slice "departures". Every part is
// idempotent: an entry that already exists keeps its fencing token and does not cause
// a new cluster state.
type departuresCommand struct {
	Drain    []string      `cbor:"1,keyasint,omitempty"`
	Undrain  []string      `cbor:"2,keyasint,omitempty"`
	Leaving  []leavingHost `cbor:"3,keyasint,omitempty"`
	Returned []string      `cbor:"4,keyasint,omitempty"` // hosts that are no longer leaving
	// IfConfigVersion is the configuration version that the command requires; with any
	// other version it is refused. 0 means that the command does not depend on it.
	IfConfigVersion uint64 `cbor:"5,keyasint,omitempty"`
}

// leavingHost is a leaving host and the targets on it.
type leavingHost struct {
	Host    string     `cbor:"1,keyasint"`
	Targets []string   `cbor:"2,keyasint,omitempty"`
	Fence   wire.Fence `cbor:"3,keyasint"`
}

// DepartureOutcome is the result of a departures command.
type DepartureOutcome struct {
	Changed bool   `cbor:"1,keyasint" json:"changed"`
	Refused string `cbor:"2,keyasint,omitempty" json:"refused,omitempty"`
}

// departuresSlice holds the targets drained by operators and the hosts that the
// platform's host list reports as leaving.
type departuresSlice struct {
	drained       map[string]wire.Fence
	hosts         map[string]leavingHost
	configVersion func() uint64
	changed       bool
}

func newDeparturesSlice(configVersion func() uint64) *departuresSlice {
	return &departuresSlice{
		drained:       make(map[string]wire.Fence),
		hosts:         make(map[string]leavingHost),
		configVersion: configVersion,
	}
}

// Name implements Slice.
func (s *departuresSlice) Name() string { return "departures" }

// Apply implements Slice. The result is a *DepartureOutcome.
func (s *departuresSlice) Apply(index, term uint64, body []byte) any {
	var c departuresCommand
	if err := wire.Unmarshal(body, &c); err != nil {
		return eris.Wrapf(ErrBadCommand, "%v", err)
	}
	if why := s.refusal(&c); why != "" {
		return &DepartureOutcome{Refused: why}
	}
	fence := wire.Fence{Term: term, Sequence: index}
	changed := false
	for _, target := range c.Drain {
		if _, ok := s.drained[target]; !ok {
			s.drained[target] = fence
			changed = true
		}
	}
	for _, target := range c.Undrain {
		if _, ok := s.drained[target]; ok {
			delete(s.drained, target)
			changed = true
		}
	}
	for _, h := range c.Leaving {
		changed = s.recordLeaving(h, fence) || changed
	}
	for _, host := range c.Returned {
		if _, ok := s.hosts[host]; ok {
			delete(s.hosts, host)
			changed = true
		}
	}
	s.changed = s.changed || changed
	return &DepartureOutcome{Changed: changed}
}

func (s *departuresSlice) refusal(c *departuresCommand) string {
	switch {
	case c.IfConfigVersion > 0 && c.IfConfigVersion != s.configVersion():
		return fmt.Sprintf("the configuration is no longer version %d", c.IfConfigVersion)
	case len(s.drained)+len(c.Drain) > maxDepartures:
		return fmt.Sprintf("over %d targets would be draining", maxDepartures)
	case len(s.hosts)+len(c.Leaving) > maxDepartures:
		return fmt.Sprintf("over %d hosts would be leaving", maxDepartures)
	}
	return ""
}

// recordLeaving stores a leaving host and reports whether that changed the state. A
// host that is already stored with the same targets keeps its fencing token.
func (s *departuresSlice) recordLeaving(h leavingHost, fence wire.Fence) bool {
	old, ok := s.hosts[h.Host]
	if ok && slices.Equal(old.Targets, h.Targets) {
		return false
	}
	h.Fence = fence
	s.hosts[h.Host] = h
	return true
}

func (s *departuresSlice) takeChanged() bool {
	changed := s.changed
	s.changed = false
	return changed
}

// addTo adds each departing target once. If a target is drained and its host is leaving
// too, it gets the lower fencing token, so that the second reason does not change the
// cluster state.
func (s *departuresSlice) addTo(state *wire.ClusterState) {
	fences := maps.Clone(s.drained)
	for _, h := range s.hosts {
		for _, target := range h.Targets {
			if old, ok := fences[target]; !ok || h.Fence.Less(old) {
				fences[target] = h.Fence
			}
		}
	}
	state.Departures = make([]wire.Departure, 0, len(fences))
	for target, fence := range fences {
		state.Departures = append(state.Departures, wire.Departure{Target: target, Fence: fence})
	}
	slices.SortFunc(state.Departures, func(a, b wire.Departure) int { return cmp.Compare(a.Target, b.Target) })
	state.LeavingHosts = slices.Sorted(maps.Keys(s.hosts))
}

// departureState is the encoded state of the slice.
type departureState struct {
	Drained map[string]wire.Fence `cbor:"1,keyasint"`
	Hosts   []leavingHost         `cbor:"2,keyasint"`
}

func (s *departuresSlice) copyState() departureState {
	state := departureState{Drained: maps.Clone(s.drained)}
	for _, host := range slices.Sorted(maps.Keys(s.hosts)) {
		state.Hosts = append(state.Hosts, s.hosts[host])
	}
	return state
}

// Snapshot implements Slice.
func (s *departuresSlice) Snapshot() ([]byte, error) {
	state := s.copyState()
	return wire.Marshal(&state)
}

// Restore implements Slice.
func (s *departuresSlice) Restore(b []byte) error {
	var state departureState
	if err := wire.Unmarshal(b, &state); err != nil {
		return err
	}
	s.drained = make(map[string]wire.Fence, len(state.Drained))
	maps.Copy(s.drained, state.Drained)
	s.hosts = make(map[string]leavingHost, len(state.Hosts))
	for _, h := range state.Hosts {
		s.hosts[h.Host] = h
	}
	return nil
}

// DecodeResult implements ResultDecoder.
func (s *departuresSlice) DecodeResult(b []byte) (any, error) {
	o := new(DepartureOutcome)
	return o, wire.Unmarshal(b, o)
}
