package citronlimit_test

import (
	"testing"
	"time"

	"citrondeck.dev/citrondeck/citronclock"
	"citrondeck.dev/citrondeck/citronlimit"
	"citrondeck.dev/citrondeck/citronupstream"
	"github.com/matryer/is"
)

// Guards against a limit that is lifted or raised by the response to a request that was
// sent before the limit was set: the upstream may have answered it before, too. A stricter
// limit takes effect whenever its request was sent.
func TestOlderResponseDoesNotLiftLimit(t *testing.T) {
	is := is.New(t)
	clock := citronclock.NewManual(time.Unix(0, 0))
	reg := citronlimit.NewRegistry(clock)
	before := reg.Get("i-1")
	r, updated := reg.Observe("i-1", before, citronupstream.PerSecond(4))
	is.True(updated)
	is.True(r.Limited)
	_, updated = reg.Observe("i-1", before, citronupstream.NoRateLimit{})
	is.True(!updated)
	_, updated = reg.Observe("i-1", before, citronupstream.PerSecond(9))
	is.True(!updated)
	_, updated = reg.Observe("i-1", before, citronupstream.PerSecond(2.5))
	is.True(updated) // a stricter limit takes effect at once
	is.Equal(reg.Get("i-1").PerSecond, 2.5)
	clock.Advance(2 * time.Second)
	r, updated = reg.Observe("i-1", reg.Get("i-1"), citronupstream.NoRateLimit{})
	is.True(updated)
	is.True(!r.Limited)
	is.Equal(reg.CountLimited(), 0)
}

// Guards against a limit that is lifted, or changed, by a response that states no valid
// limit.
func TestInvalidLimitIsIgnored(t *testing.T) {
	is := is.New(t)
	clock := citronclock.NewManual(time.Unix(0, 0))
	reg := citronlimit.NewRegistry(clock)
	reg.Observe("i-1", reg.Get("i-1"), citronupstream.PerSecond(4))
	_, updated := reg.Observe("i-1", reg.Get("i-1"), citronupstream.InvalidRateLimit("fast"))
	is.True(!updated)
	is.Equal(reg.Get("i-1").PerSecond, 4.0)
	is.Equal(reg.Get("i-2"), citronlimit.Record{})
}
