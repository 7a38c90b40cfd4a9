package citronupstream

import (
	"math"
	"strconv"
	"strings"
	"time"
)

// Cooldown is the time for which a refusal asks this node to send its upstream
// nothing. It is one of NoCooldown, CooldownFor and InvalidCooldown.
type Cooldown interface{ isCooldown() }

// NoCooldown means that the response asks for no cool-down.
type NoCooldown struct{}

// CooldownFor is a cool-down of the given duration, from the arrival of the
// response's header on.
type CooldownFor time.Duration

// InvalidCooldown is the text of a cool-down that cannot be parsed.
type InvalidCooldown string

func (NoCooldown) isCooldown()      {}
func (CooldownFor) isCooldown()     {}
func (InvalidCooldown) isCooldown() {}

// MaxCooldown is the longest cool-down. A longer one is shortened to it.
const MaxCooldown = 24 * time.Hour

// ParseCooldown parses the values of a refusal's Retry-After header, in seconds. The
// header is absent or holds finite, non-negative numbers, separated by commas, in a
// notation that strconv.ParseFloat accepts. The largest of them applies, and values of
// other kinds, such as dates, are ignored beside a number.
func ParseCooldown(values []string) Cooldown {
	if len(values) == 0 {
		return NoCooldown{}
	}
	text := strings.Join(values, ",")
	longest := -1.0
	for part := range strings.SplitSeq(text, ",") {
		n, err := strconv.ParseFloat(strings.TrimSpace(part), 64)
		if err == nil && !math.IsNaN(n) && !math.IsInf(n, 0) {
			longest = max(longest, n)
		}
	}
	switch {
	case longest < 0:
		return InvalidCooldown(text)
	case longest > MaxCooldown.Seconds():
		return CooldownFor(MaxCooldown)
	}
	return CooldownFor(longest * float64(time.Second))
}
