package consensus

import (
	"math/rand/v2"
	"testing"
	"time"
)

// Messages come from peers. What cannot be decoded is an error, and what can be decoded does
// not end a replica that is no member of its group or knows a later term.
func FuzzDecodeMessage(f *testing.F) {
	for _, m := range []Message{
		{Kind: MsgAppend, Group: 5, From: 1, To: 7, Term: 3, Entries: []Entry{{Index: 1, Term: 3, Kind: EntryCommand, Data: []byte("a")}}},
		{Kind: MsgSnapshot, Group: 5, From: 1, To: 7, Term: 3, Index: 9, Data: []byte("s"), Total: 1},
		{Kind: MsgDiscover, From: 1, Name: "a"},
	} {
		b, err := m.Encode()
		if err != nil {
			f.Fatal(err)
		}
		f.Add(b)
	}
	f.Add([]byte{0xbf})
	f.Fuzz(func(t *testing.T, b []byte) {
		m, err := DecodeMessage(b)
		if err != nil {
			return
		}
		again, err := m.Encode()
		if err != nil {
			t.Fatalf("a decoded message cannot be encoded: %v", err)
		}
		if _, err := DecodeMessage(again); err != nil {
			t.Fatalf("an encoded message cannot be decoded: %v", err)
		}
		n := New(Config{ID: 7, Name: "b", Peers: []string{"a"}, Rand: rand.New(rand.NewPCG(1, 1))}, Recovered{Group: 5, State: HardState{Term: 1 << 40}}, 0)
		if m.Group == 5 && m.Term >= 1<<40 {
			return // a member of the group is trusted to follow the protocol
		}
		n.Step(time.Second, Receive{m})
	})
}
