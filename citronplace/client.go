package citronplace

import (
	"context"

	"citrondeck.dev/citrondeck/citronmodel"
	"github.com/cockroachdb/errors"
)

// EngineState is the state that an engine reports about itself.
type EngineState struct {
	Layers citronmodel.Span
	// Busy is true while the engine carries out an order.
	Busy bool
	// AcceptedOrders counts the orders that the engine has accepted since it
	// started.
	AcceptedOrders int64
	// Slowdown is greater than 1 when the engine is slower than declared.
	Slowdown float64
	// StartMS is the start time of the engine in Unix milliseconds, or zero if
	// the engine does not report it.
	StartMS int64
	// Leaving is true if the engine states that it is leaving.
	Leaving bool
}

// ErrRefused means that the engine did not accept an order.
var ErrRefused = errors.New("engine refused the order")

// EngineClient reads the state of engines and tells them which layers to hold.
type EngineClient interface {
	State(ctx context.Context, addr string) (EngineState, error)
	// Place orders an engine to hold a layer range. The engine refuses the order
	// unless it has accepted exactly the given number of orders so far, so an
	// order that arrives late or twice changes nothing.
	Place(ctx context.Context, e citronmodel.Engine, o Order, accepted int64) error
}
