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

// stepRequest asks an engine to run its layers for one token position.
type stepRequest struct {
	Request string `json:"request"`
	Attempt int    `json:"attempt"`
	Pos     int    `json:"pos"`
	State   uint64 `json:"state"`
	// Prompt comes with position 0 only; the engine computes what its
	// prefix cache lacks of it.
	Prompt string `json:"prompt,omitempty"`
	// Prefill is how many earlier positions the engine must recompute
	// because its KV cache lacks them (after a stage was replaced).
	Prefill  int  `json:"prefill,omitempty"`
	Priority int  `json:"priority,omitempty"`
	Last     bool `json:"last,omitempty"`
}

type stepResponse struct {
	State  uint64 `json:"state"`
	From   int    `json:"from"`
	To     int    `json:"to"`
	Engine string `json:"engine"`
}

type sequenceRequest struct {
	Request string `json:"request"`
}

// sequenceState is an exported KV cache.
type sequenceState struct {
	Request string `json:"request"`
	Next    int    `json:"next"`
	Attempt int    `json:"attempt"`
	From    int    `json:"from"`
	To      int    `json:"to"`
}

// Actions an order may name.
const (
	ActionLoad   = "load"   // a model, adapter or version
	ActionUnload = "unload" // the same
	ActionLeave  = "leave"  // change role: take no new work
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
	// Waiting is the number of steps that waited LoadLag ago.
	Waiting int `json:"waiting"`
}

type eventsRequest struct {
	After int64 `json:"after"`
}

type eventsResponse struct {
	Events []CacheEvent `json:"events"`
}
