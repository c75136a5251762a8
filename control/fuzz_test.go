package control

import (
	"math/rand/v2"
	"testing"
)

// Commands come from operators and peers, snapshots from disk and peers. A command that
// cannot be read changes nothing; a snapshot that cannot be read is an error.
func FuzzStateMachine(f *testing.F) {
	rng := rand.New(rand.NewPCG(1, 2))
	m := NewStateMachine()
	for index := range uint64(40) {
		raw := randomCommand(rng)
		m.Apply(index+1, 1, raw)
		if index < 6 {
			f.Add(raw, false)
		}
	}
	snapshot, err := m.Snapshot()
	if err != nil {
		f.Fatal(err)
	}
	f.Add(snapshot, true)
	f.Add([]byte{}, true)
	f.Add([]byte{0xa1}, false)
	f.Fuzz(func(t *testing.T, b []byte, restore bool) {
		m := NewStateMachine()
		if !restore {
			m.Apply(1, 1, b)
			m.Apply(2, 1, b)
		} else if m.Restore(b) != nil {
			return // the replica does not start
		}
		text, err := m.Snapshot()
		if err != nil {
			t.Fatalf("the state cannot be encoded: %v", err)
		}
		if err := NewStateMachine().Restore(text); err != nil {
			t.Fatalf("a snapshot cannot be restored: %v", err)
		}
	})
}
