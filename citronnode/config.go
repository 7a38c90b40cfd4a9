package citronnode

// The way of a configuration to the control loop.
//
// The load it answers: a storm of versions, each with hundreds of routes,
// comes from the store and from several nodes at once, while engines die. The
// loop once decoded every copy of every version between its other news, and
// put a version in force more than three seconds after its acknowledgement.
// So a version is decoded once, outside the loop, one at a time; versions that
// a newer one has overtaken are not decoded; and the loop takes the newest
// before anything else.

import (
	"context"
	"sync"
	"sync/atomic"

	"citrondeck.dev/citrondeck/citronevent"
	"citrondeck.dev/citrondeck/citrontable"
)

// decodedConfig is a configuration with the text that it was decoded from.
type decodedConfig struct {
	table  *citrontable.Table
	body   []byte
	source string
}

// configInbox holds the newest configuration that has not been taken.
type configInbox struct {
	decode func([]byte) (*citrontable.Table, error)
	// decoding lets one goroutine decode at a time, so that the others find
	// what it decoded.
	decoding *sync.Mutex
	// offered is the highest version that was decoded.
	offered *atomic.Int64
	newest  *atomic.Pointer[decodedConfig]
	ready   chan struct{}
}

func newConfigInbox(decode func([]byte) (*citrontable.Table, error)) configInbox {
	return configInbox{decode: decode, decoding: &sync.Mutex{}, offered: &atomic.Int64{}, newest: &atomic.Pointer[decodedConfig]{}, ready: make(chan struct{}, 1)}
}

// offer decodes a configuration, unless it is known to be no newer than the
// newest; version is zero if it is not known. Offers come from the goroutines
// that read the store and from exchanges.
func (b *configInbox) offer(version int64, body []byte, source string) error {
	b.decoding.Lock()
	defer b.decoding.Unlock()
	if version > 0 && version <= b.offered.Load() {
		return nil
	}
	t, err := b.decode(body)
	if err != nil || t.Version <= b.offered.Load() {
		return err
	}
	b.offered.Store(t.Version)
	b.newest.Store(&decodedConfig{table: t, body: body, source: source})
	wake(b.ready)
	return nil
}

// offerConfig brings a configuration to the control loop.
func (n *Node) offerConfig(ctx context.Context, version int64, body []byte, source string) {
	if err := n.configs.offer(version, body, source); err != nil {
		citronevent.Log(ctx, n.log, citronevent.TableRejected, "source", source, "err", err)
	}
}

// takeNewest puts the newest configuration in force.
func (c *control) takeNewest(ctx context.Context) {
	if d := c.n.configs.newest.Load(); d != nil {
		c.takeConfig(ctx, *d)
	}
}
