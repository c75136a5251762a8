package agent

import (
	"encoding/json"
	"math/rand/v2"
	"testing"
)

// Guards against a fast path that decodes an event differently than encoding/json.
func TestFastPathAgreesWithJSON(t *testing.T) {
	rng := rand.New(rand.NewPCG(5, 5))
	seeds := []string{
		`{"token":"t12 ","index":7,"version":3}`,
		`{"done":true,"index":9,"tokens":9}`,
		`{"version":18446744073709551615,"token":"é\n","index":0}`,
		`{"index":01,"token":""}`,
		`{}`,
	}
	alphabet := `{}":,\0123456789tokenidxvrs é-` + "\n"
	fast := 0
	for i := range 200_000 {
		b := []byte(seeds[i%len(seeds)])
		for range rng.IntN(3) {
			b[rng.IntN(len(b))] = alphabet[rng.IntN(len(alphabet))]
		}
		got, ok := scanTokenEvent(b)
		if !ok {
			continue
		}
		fast++
		var want tokenEvent
		if err := json.Unmarshal(b, &want); err != nil || got != want {
			t.Fatalf("%q: fast path %+v, json %+v, %v", b, got, want, err)
		}
	}
	if fast < 1000 {
		t.Fatalf("fast path was taken only %d times, want at least 1000", fast)
	}
}

// BenchmarkParseEvent compares parseTokenEvent, on an event that takes the fast path,
// with encoding/json.
func BenchmarkParseEvent(b *testing.B) {
	data := []byte(`{"token":"t123456 ","index":7,"version":1}`)
	b.Run("fast", func(b *testing.B) {
		for b.Loop() {
			_, _ = parseTokenEvent(data)
		}
	})
	b.Run("json", func(b *testing.B) {
		for b.Loop() {
			var ev tokenEvent
			_ = json.Unmarshal(data, &ev)
		}
	})
}
