package rollout

import (
	"crypto/sha256"
	"encoding/hex"
	"math"

	"merlinhall/actor"
	"merlinhall/wire"
)

// Body is the content of a complete group.
type Body struct {
	Samples []Sample `cbor:"1,keyasint"`
}

// Sample is one finished sample.
type Sample struct {
	ID       wire.SampleID       `cbor:"1,keyasint"`
	Tokens   []string            `cbor:"2,keyasint"`
	Versions []wire.VersionRange `cbor:"3,keyasint"`
	Score    float64             `cbor:"4,keyasint"`
}

// encodeBody returns the bytes of a body and their digest.
func encodeBody(b Body) (data []byte, digest string) {
	data, err := wire.Marshal(b)
	actor.Invariant(err == nil, "encode body: %v", err)
	return data, digestOf(data)
}

func digestOf(data []byte) string {
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}

// versionSpan returns the oldest and newest version of the ranges. ok is false
// when the ranges do not cover exactly the tokens [0, tokens), in order.
func versionSpan(ranges []wire.VersionRange, tokens int) (oldest, newest uint64, ok bool) {
	oldest = math.MaxUint64
	next := 0
	for _, r := range ranges {
		if r.From != next || r.To <= r.From {
			return 0, 0, false
		}
		next = r.To
		oldest = min(oldest, r.Version)
		newest = max(newest, r.Version)
	}
	return oldest, newest, next == tokens && tokens > 0
}

// rangesOf returns the version ranges of the tokens.
func rangesOf(tokens []wire.Token) []wire.VersionRange {
	var ranges []wire.VersionRange
	for i, t := range tokens {
		if n := len(ranges); n > 0 && ranges[n-1].Version == t.Version {
			ranges[n-1].To = i + 1
			continue
		}
		ranges = append(ranges, wire.VersionRange{From: i, To: i + 1, Version: t.Version})
	}
	return ranges
}
