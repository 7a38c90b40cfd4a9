package citronlimit_test

import (
	"testing"
	"time"

	"citrondeck.dev/citrondeck/citronclock"
	"citrondeck.dev/citrondeck/citronlimit"
	"citrondeck.dev/citrondeck/citronupstream"
	"github.com/matryer/is"
)

// Guards against a limit that is lifted by the response to a request that was sent before
// the limit was set.
func TestOlderResponseDoesNotLiftLimit(t *testing.T) {
	is := is.New(t)
	clock := citronclock.NewManual(time.Unix(0, 0))
	b := citronlimit.NewRegistry(clock)
	before := b.Get("i-1")
	r, updated := b.Observe("i-1", before, citronupstream.PerSecond(4))
	is.True(updated)
	is.True(r.Limited)
	_, updated = b.Observe("i-1", before, citronupstream.NoRateLimit{})
	is.True(!updated)
	_, updated = b.Observe("i-1", before, citronupstream.PerSecond(9))
	is.True(!updated)
	_, updated = b.Observe("i-1", before, citronupstream.PerSecond(2.5))
	is.True(updated) // a stricter limit takes effect at once
	is.Equal(b.Get("i-1").PerSecond, 2.5)
	clock.Advance(2 * time.Second)
	r, updated = b.Observe("i-1", b.Get("i-1"), citronupstream.NoRateLimit{})
	is.True(updated)
	is.True(!r.Limited)
	is.Equal(b.CountLimited(), 0)
}

func TestInvalidLimitIsIgnored(t *testing.T) {
	is := is.New(t)
	clock := citronclock.NewManual(time.Unix(0, 0))
	b := citronlimit.NewRegistry(clock)
	b.Observe("i-1", b.Get("i-1"), citronupstream.PerSecond(4))
	_, updated := b.Observe("i-1", b.Get("i-1"), citronupstream.InvalidRateLimit("fast"))
	is.True(!updated)
	is.Equal(b.Get("i-1").PerSecond, 4.0)
	is.Equal(b.Get("i-2"), citronlimit.Record{})
}
