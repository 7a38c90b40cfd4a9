package citronrelay

import (
	"context"
	"net/http"

	"citrondeck.dev/citrondeck/citronmodel"
	"citrondeck.dev/citrondeck/citronplace"
	"citrondeck.dev/citrondeck/citronupstream"
	"citrondeck.dev/citrondeck/citronusage"
	"citrondeck.dev/citrondeck/citronwire"
)

const (
	procedureReport = "/citron.relay/Report"
	procedureState  = "/citron.relay/State"
	procedurePlace  = "/citron.relay/Place"
	procedureRepath = "/citron.relay/Repath"
)

// addrMessage names the engine that is asked.
type addrMessage struct {
	Addr string `json:"addr"`
}

// reportMessage is the answer to a report request.
type reportMessage struct {
	Failure        *failure          `json:"failure,omitempty"`
	Stalled        map[string]string `json:"stalled,omitempty"`
	Slowdown       float64           `json:"slowdown"`
	StartMS        int64             `json:"startMs,omitempty"`
	HasLayers      bool              `json:"hasLayers,omitempty"`
	From           int               `json:"from,omitempty"`
	To             int               `json:"to,omitempty"`
	AcceptedOrders int64             `json:"acceptedOrders,omitempty"`
	Leaving        bool              `json:"leaving,omitempty"`
	// Usage holds the numbers of running and waiting requests and the used and total cache.
	Usage *[4]int64 `json:"usage,omitempty"`
}

func newReportMessage(r citronupstream.Report, err error) *reportMessage {
	m := &reportMessage{Failure: newFailure(err), Stalled: r.Stalled, Slowdown: r.Slowdown, StartMS: r.StartMS, AcceptedOrders: r.AcceptedOrders, Leaving: r.Leaving}
	if r.Layers != nil {
		m.HasLayers, m.From, m.To = true, r.Layers.From, r.Layers.To
	}
	if u := r.Usage; u != nil {
		m.Usage = &[4]int64{u.Running, u.Waiting, u.Used, u.Total}
	}
	return m
}

func (m *reportMessage) report() citronupstream.Report {
	r := citronupstream.Report{Stalled: m.Stalled, Slowdown: m.Slowdown, StartMS: m.StartMS, AcceptedOrders: m.AcceptedOrders, Leaving: m.Leaving, Relayed: true}
	if m.HasLayers {
		r.Layers = &citronmodel.Span{From: m.From, To: m.To}
	}
	if u := m.Usage; u != nil {
		r.Usage = &citronusage.Figures{Running: u[0], Waiting: u[1], Used: u[2], Total: u[3]}
	}
	return r
}

// stateMessage is the answer to a state request.
type stateMessage struct {
	Failure        *failure `json:"failure,omitempty"`
	From           int      `json:"from,omitempty"`
	To             int      `json:"to,omitempty"`
	Busy           bool     `json:"busy,omitempty"`
	AcceptedOrders int64    `json:"acceptedOrders,omitempty"`
	Slowdown       float64  `json:"slowdown"`
	StartMS        int64    `json:"startMs,omitempty"`
	Leaving        bool     `json:"leaving,omitempty"`
}

func newStateMessage(s citronplace.EngineState, err error) *stateMessage {
	return &stateMessage{Failure: newFailure(err), From: s.Layers.From, To: s.Layers.To, Busy: s.Busy, AcceptedOrders: s.AcceptedOrders, Slowdown: s.Slowdown, StartMS: s.StartMS, Leaving: s.Leaving}
}

func (m *stateMessage) state() citronplace.EngineState {
	return citronplace.EngineState{Layers: citronmodel.Span{From: m.From, To: m.To}, Busy: m.Busy, AcceptedOrders: m.AcceptedOrders, Slowdown: m.Slowdown, StartMS: m.StartMS, Leaving: m.Leaving}
}

// orderMessage is an Order as it is sent.
type orderMessage struct {
	Engine   string `json:"engine"`
	From     int    `json:"from"`
	To       int    `json:"to"`
	Cut      bool   `json:"cut,omitempty"`
	Accepted int64  `json:"accepted"`
}

// repathMessage is a Repath as it is sent.
type repathMessage struct {
	First string       `json:"first"`
	ID    string       `json:"id"`
	Path  []hopMessage `json:"path"`
}

// doneMessage is the answer to an order.
type doneMessage struct {
	Failure *failure `json:"failure,omitempty"`
}

// Handle mounts the procedures by which other nodes use this one as their helper.
func Handle(mux *http.ServeMux, h Helper) {
	handleSend(mux, h)
	citronwire.Handle(mux, procedureReport, func(ctx context.Context, m *addrMessage) (*reportMessage, error) {
		return newReportMessage(h.Report(ctx, m.Addr)), nil
	}, citronwire.CBOR())
	citronwire.Handle(mux, procedureState, func(ctx context.Context, m *addrMessage) (*stateMessage, error) {
		return newStateMessage(h.State(ctx, m.Addr)), nil
	}, citronwire.CBOR())
	citronwire.Handle(mux, procedurePlace, func(ctx context.Context, m *orderMessage) (*doneMessage, error) {
		order := citronplace.Order{Span: citronmodel.Span{From: m.From, To: m.To}, Cut: m.Cut}
		return &doneMessage{newFailure(h.Place(ctx, Order{Engine: m.Engine, Order: order, Accepted: m.Accepted}))}, nil
	}, citronwire.CBOR())
	citronwire.Handle(mux, procedureRepath, func(ctx context.Context, m *repathMessage) (*doneMessage, error) {
		return &doneMessage{newFailure(h.Repath(ctx, Repath{First: m.First, ID: m.ID, Path: hops(m.Path)}))}, nil
	}, citronwire.CBOR())
}

// Report asks the node at addr for the report of the engine at engine.
func (c *Client) Report(ctx context.Context, addr, engine string) (citronupstream.Report, error) {
	m, err := control[addrMessage, reportMessage](ctx, c, addr, procedureReport, &addrMessage{engine})
	if err != nil {
		return citronupstream.Report{}, err
	}
	return m.report(), m.Failure.asError(addr)
}

// State asks the node at addr for the state of the engine at engine.
func (c *Client) State(ctx context.Context, addr, engine string) (citronplace.EngineState, error) {
	m, err := control[addrMessage, stateMessage](ctx, c, addr, procedureState, &addrMessage{engine})
	if err != nil {
		return citronplace.EngineState{}, err
	}
	return m.state(), m.Failure.asError(addr)
}

// Place asks the node at addr to give an engine an order.
func (c *Client) Place(ctx context.Context, addr string, o Order) error {
	m, err := control[orderMessage, doneMessage](ctx, c, addr, procedurePlace, &orderMessage{Engine: o.Engine, From: o.Order.From, To: o.Order.To, Cut: o.Order.Cut, Accepted: o.Accepted})
	if err != nil {
		return err
	}
	return m.Failure.asError(addr)
}

// Repath asks the node at addr to order the move of a running request.
func (c *Client) Repath(ctx context.Context, addr string, r Repath) error {
	m, err := control[repathMessage, doneMessage](ctx, c, addr, procedureRepath, &repathMessage{First: r.First, ID: r.ID, Path: newHopMessages(r.Path)})
	if err != nil {
		return err
	}
	return m.Failure.asError(addr)
}

// control makes a call of the control interface through a helper. Without an answer it is
// unknown whether the engine got it.
func control[Req, Res any](ctx context.Context, c *Client, addr, procedure string, m *Req) (*Res, error) {
	return citronwire.NewUnary[Req, Res](c.HC, "http://"+addr, procedure, citronwire.CBOR(), uncompressed).Call(ctx, m)
}
