package wire

import (
	"bytes"
	"errors"
	"slices"
	"testing"
)

// Frames come from peers; none may end the process or decode into something else than it
// encodes to.
func FuzzDecode(f *testing.F) {
	for _, m := range []Message{&Hello{Process: "p", Roles: []Role{RoleControl}}, &Call{Method: "m", Body: []byte{1}}, &Reply{Outcome: CallOK}, &RouteUpdate{Version: 3}, &TargetUpdate{Targets: []TargetEntry{{ID: "a"}}}} {
		b, err := Encode(m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(b)
	}
	f.Add([]byte{})
	f.Add([]byte{1, 0xbf})
	f.Fuzz(func(t *testing.T, b []byte) {
		m, err := Decode(b)
		if err != nil {
			return
		}
		again, err := Encode(m)
		if err != nil {
			t.Fatalf("a decoded message cannot be encoded: %v", err)
		}
		if _, err := Decode(again); err != nil {
			t.Fatalf("an encoded message cannot be decoded: %v", err)
		}
	})
}

// Snapshots and bodies are lists of parts, some of them compressed. A damaged one must not
// cost more memory than its limit.
func FuzzParts(f *testing.F) {
	f.Add(EncodeParts([]byte("a"), nil, []byte("bc")))
	f.Add(EncodeParts(Deflate(make([]byte, 4096))))
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 1})
	f.Fuzz(func(t *testing.T, b []byte) {
		parts, err := DecodeParts(b)
		if err != nil {
			if !errors.Is(err, ErrMalformed) {
				t.Fatalf("unclear error: %v", err)
			}
			return
		}
		again, err := DecodeParts(EncodeParts(parts...))
		if err != nil || !slices.EqualFunc(again, parts, bytes.Equal) {
			t.Fatalf("parts change when they are encoded again: %v", err)
		}
		const limit = 1 << 10
		for _, p := range parts {
			if text, err := Inflate(p, limit); err == nil && len(text) > limit || err != nil && !errors.Is(err, ErrMalformed) {
				t.Fatalf("%d bytes, limit %d, error %v", len(text), limit, err)
			}
		}
	})
}
