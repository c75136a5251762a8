// Package standin holds stand-ins for the systems that the product meets only
// through their protocols: a model engine, a plain service, a weight store and a
// scoring service. Each records what it saw, so that a checker outside the
// product can compare.
package standin

import (
	"hash/fnv"
	"math"
	"strconv"
)

const (
	// minAnswerTokens is the scale of the length distribution in tokens.
	minAnswerTokens = 16
	// lengthParetoIndex is the Pareto index of output lengths. At 1.2 one answer in 16
	// is more than ten times the shortest one, as in rollout traffic.
	lengthParetoIndex = 1.2
)

// Token returns token i of the answer to prompt. It depends on nothing else, so
// that whole answers can be verified whatever engine and weights produced them.
func Token(prompt string, i int) string {
	return "t" + strconv.FormatUint(mix(hashText(prompt)+uint64(i)*0x9e3779b97f4a7c15)>>40, 36) + " "
}

// Length returns the number of tokens of the answer to prompt: heavy-tailed,
// and drawn deterministically from prompt and seed. limit bounds it when positive.
func Length(prompt string, seed int64, limit int) int {
	u := float64(mix(hashText(prompt)^mix(uint64(seed)))>>11)/(1<<53) + 1e-9
	n := int(math.Min(minAnswerTokens/math.Pow(u, 1/lengthParetoIndex), 1<<20))
	if limit > 0 {
		n = min(n, limit)
	}
	return n
}

// Answer returns the whole answer to prompt.
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
