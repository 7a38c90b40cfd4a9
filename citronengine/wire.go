package citronengine

// Procedures of the engine protocol.
const (
	procStep   = "/citron.engine.v1/Step"
	procCancel = "/citron.engine.v1/Cancel"
	procExport = "/citron.engine.v1/Export"
	procImport = "/citron.engine.v1/Import"
	procOrder  = "/citron.engine.v1/Order"
	procStatus = "/citron.engine.v1/Status"
	procEvents = "/citron.engine.v1/Events"
)

// stepRequest asks an engine to run its layers for one token position of a request.
type stepRequest struct {
	Request string `json:"request"`
	Attempt int    `json:"attempt"`
	Pos     int    `json:"pos"`
	State   uint64 `json:"state"`
	// Prompt is sent only with position 0 and with a Prefill. The engine computes
	// the part that its prefix cache lacks.
	Prompt string `json:"prompt,omitempty"`
	// Prefill is the number of earlier positions that the engine must recompute
	// because its KV cache lacks them, for example after a stage was replaced.
	Prefill  int  `json:"prefill,omitempty"`
	Priority int  `json:"priority,omitempty"`
	Last     bool `json:"last,omitempty"`
}

// stepResponse returns the state after the layers [From, To) of the engine.
type stepResponse struct {
	State  uint64 `json:"state"`
	From   int    `json:"from"`
	To     int    `json:"to"`
	Engine string `json:"engine"`
}

type sequenceRequest struct {
	Request string `json:"request"`
}

// sequenceState is the exported KV cache of a request: the positions before Next, for
// the layers [From, To).
type sequenceState struct {
	Request string `json:"request"`
	Next    int    `json:"next"`
	Attempt int    `json:"attempt"`
	From    int    `json:"from"`
	To      int    `json:"to"`
}

// Actions of orders. Any other action is rejected.
const (
	ActionLoad   = "load"   // load the target: a model, adapter or version
	ActionUnload = "unload" // unload the target
	ActionLeave  = "leave"  // accept no new requests
)

type orderRequest struct {
	Fence  int64  `json:"fence"`
	Action string `json:"action"`
	Target string `json:"target,omitempty"`
}

type orderResponse struct {
	Fence int64 `json:"fence"`
}

type statusRequest struct{}

type statusResponse struct {
	From    int  `json:"from"`
	To      int  `json:"to"`
	Leaving bool `json:"leaving"`
	// Waiting is the number of queued steps at an earlier time, see Settings.LoadLag.
	Waiting int `json:"waiting"`
}

type eventsRequest struct {
	After int64 `json:"after"`
}

type eventsResponse struct {
	Events []CacheEvent `json:"events"`
}
