// Package standin implements stand-ins for the external systems and clients of
// merlinhall: a model engine, a plain HTTP service, a weight store, a scoring
// service, a trainer and callers. Each records the traffic it observed, so that a
// checker can verify merlinhall's guarantees independently.
package standin

import (
	"hash/fnv"
	"math"
	"strconv"
)

const (
	// minAnswerTokens is the minimum (scale) of the Pareto length distribution.
	minAnswerTokens = 16
	// lengthParetoIndex is the Pareto index of answer lengths. At 1.2, one answer in
	// 16 is more than ten times the minimum length, as in rollout traffic.
	lengthParetoIndex = 1.2
)

// Token returns token i of the answer to prompt. It depends on prompt and i only,
// so that an answer can be verified regardless of the engines and weight versions
// that produced it.
func Token(prompt string, i int) string {
	return "t" + strconv.FormatUint(mix(hashText(prompt)+uint64(i)*0x9e3779b97f4a7c15)>>40, 36) + " "
}

// Length returns the number of tokens of the answer to prompt. Lengths follow a
// heavy-tailed distribution and are a function of prompt and seed. A positive limit
// caps the length.
func Length(prompt string, seed int64, limit int) int {
	u := float64(mix(hashText(prompt)^mix(uint64(seed)))>>11)/(1<<53) + 1e-9
	n := int(math.Min(minAnswerTokens/math.Pow(u, 1/lengthParetoIndex), 1<<20))
	if limit > 0 {
		n = min(n, limit)
	}
	return n
}

// Answer returns all tokens of the answer to prompt.
func Answer(prompt string, seed int64, limit int) []string {
	tokens := make([]string, Length(prompt, seed, limit))
	for i := range tokens {
		tokens[i] = Token(prompt, i)
	}
	return tokens
}

func hashText(s string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(s))
	return h.Sum64()
}

// mix is the finalizer of SplitMix64.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
