package citronupstream

import (
	"math"
	"strconv"
	"strings"
)

// RateLimit is the rate limit that a response declares for its upstream. It is
// one of NoRateLimit, PerSecond and InvalidRateLimit.
type RateLimit interface{ isRateLimit() }

// NoRateLimit means that the response declares no limit.
type NoRateLimit struct{}

// PerSecond is the number of requests per second that the upstream accepts from
// all nodes together.
type PerSecond float64

// InvalidRateLimit is the text of a limit that cannot be parsed.
type InvalidRateLimit string

func (NoRateLimit) isRateLimit()      {}
func (PerSecond) isRateLimit()        {}
func (InvalidRateLimit) isRateLimit() {}

// ParseRateLimit parses the values of a response's rate limit header. The header
// is either absent or has one finite, non-negative number in a notation that
// strconv.ParseFloat accepts.
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
