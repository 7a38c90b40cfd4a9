package citroncli

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against listeners whose connections alone exceed a small machine.
func TestConnectionsFitASmallMachine(t *testing.T) {
	is := is.New(t)
	const memoryMB, sockets = 184, 3900
	limits := newClientLimits(memoryMB, sockets)
	conns := 0
	for _, share := range []float64{frontShare, peerShare, directoryShare, readyShare, metricsShare} {
		conns += limits.listener("", share).Conns
	}
	const connBytes = 40 << 10
	is.True(conns*connBytes < int(limits.plan.Clients))
	opened := int((frontShare+peerShare)*sockets) + 2*limits.idleConns()
	is.True(conns+opened < sockets*19/20)
	is.True(limits.plan.Runtime < memoryMB<<20)
}
