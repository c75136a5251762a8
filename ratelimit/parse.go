package ratelimit

import (
	"errors"
	"math"
	"strconv"
	"strings"
)

// Word is what a response says about the limit of its target.
type Word int

// Words about a limit.
const (
	Unknown    Word = iota // nothing that could be relied on
	Limited                // the target has a limit
	Unlimited              // the target has none
	Unreadable             // the response names a limit that is no decimal number
)

// maxPerSecond is the limit in requests a second above which a target counts as unlimited: none
// takes as many.
const maxPerSecond = 1e6

// Parse returns the limit in requests a second that the header values of a response name. Of
// several the lowest holds.
func Parse(values []string) (perSecond float64, word Word) {
	if len(values) == 0 {
		return 0, Unlimited
	}
	perSecond = math.Inf(1)
	for _, v := range values {
		limit, ok := decimal(strings.TrimSpace(v))
		if !ok {
			return 0, Unreadable
		}
		perSecond = min(perSecond, limit)
	}
	if perSecond > maxPerSecond {
		return 0, Unlimited
	}
	return perSecond, Limited
}

// decimal returns the value of a number of digits with at most one point. ParseFloat alone
// takes signs, exponents, hexadecimal numbers, infinity and NaN.
func decimal(text string) (float64, bool) {
	if strings.Trim(text, "0123456789.") != "" {
		return 0, false
	}
	value, err := strconv.ParseFloat(text, 64)
	return value, err == nil || errors.Is(err, strconv.ErrRange)
}
