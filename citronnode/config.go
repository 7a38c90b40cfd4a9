package citronnode

// How a configuration reaches the control loop.
//
// Under load, many versions, each with hundreds of routes, arrive from the store and
// from several nodes at once while engines die. The loop used to decode every copy of
// every version between its other inputs, and a version took effect more than three
// seconds after its acknowledgement. Therefore versions are decoded outside the loop, one
// at a time. A copy from another node is not decoded if its version is no newer than the
// newest decoded one, and the loop takes the newest version before any other input.

import (
	"context"
	"sync"
	"sync/atomic"

	"citrondeck.dev/citrondeck/citronevent"
	"citrondeck.dev/citrondeck/citrontable"
)

// decodedConfig is a configuration and the text that it was decoded from.
type decodedConfig struct {
	table  *citrontable.Table
	body   []byte
	source string
}

// configInbox holds the newest configuration until the control loop takes it.
type configInbox struct {
	decode func([]byte) (*citrontable.Table, error)
	// decoding lets only one goroutine decode at a time, so that the others can skip a
	// version that it has decoded.
	decoding *sync.Mutex
	// offered is the highest version that was decoded.
	offered *atomic.Int64
	newest  *atomic.Pointer[decodedConfig]
	ready   chan struct{}
}

func newConfigInbox(decode func([]byte) (*citrontable.Table, error)) configInbox {
	return configInbox{decode: decode, decoding: &sync.Mutex{}, offered: &atomic.Int64{}, newest: &atomic.Pointer[decodedConfig]{}, ready: make(chan struct{}, 1)}
}

// offer decodes a configuration unless it is known to be no newer than the newest one.
// The version is zero if it is not known before decoding, as for copies from the store.
// offer is called by the goroutines that read the store and by exchanges.
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

// offerConfig passes a configuration to the control loop and logs one that cannot be
// decoded.
func (n *Node) offerConfig(ctx context.Context, version int64, body []byte, source string) {
	if err := n.configs.offer(version, body, source); err != nil {
		citronevent.Log(ctx, n.log, citronevent.TableRejected, "source", source, "err", err)
	}
}

// applyNewestConfig puts the newest configuration into effect.
func (c *control) applyNewestConfig(ctx context.Context) {
	if d := c.n.configs.newest.Load(); d != nil {
		c.applyConfig(ctx, *d)
	}
}
