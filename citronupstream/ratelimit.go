package citronupstream

import (
	"math"
	"strconv"
	"strings"
)

// RateLimit is what an answer says of how many requests its upstream takes: one of
// NoRateLimit, PerSecond and InvalidRateLimit.
type RateLimit interface{ isRateLimit() }

// NoRateLimit says that the answer names no limit.
type NoRateLimit struct{}

// PerSecond is how many requests a second the upstream takes from all nodes
// together.
type PerSecond float64

// InvalidRateLimit is the text of a limit that cannot be read.
type InvalidRateLimit string

func (NoRateLimit) isRateLimit()      {}
func (PerSecond) isRateLimit()        {}
func (InvalidRateLimit) isRateLimit() {}

// ParseRateLimit reads the values of an answer's header. There must be one decimal
// number at most, zero or more.
func ParseRateLimit(values []string) RateLimit {
	if len(values) == 0 {
		return NoRateLimit{}
	}
	text := strings.Join(values, ", ")
	n, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
	if err != nil || n < 0 || math.IsNaN(n) || math.IsInf(n, 0) {
		return InvalidRateLimit(text)
	}
	return PerSecond(n)
}
