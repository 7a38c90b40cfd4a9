package citronpeer

// Crash is the end of an engine under runs that could have caused it.
type Crash struct {
	// Engine identifies one start of an engine. AgeMS is how long ago it ended, in
	// milliseconds.
	Engine uint64 `json:"engine"`
	AgeMS  int64  `json:"ageMs"`
	Runs   []Run  `json:"runs"`
	// Proven are the parts of Runs that requests have run with successfully before.
	Proven []uint64 `json:"proven,omitempty"`
}

// Run is a run that ended with its engine.
type Run struct {
	Request  uint64   `json:"request"`
	Customer uint64   `json:"customer"`
	Parts    []uint64 `json:"parts"`
}

// PartRecord is what a node knows of a prompt part that may crash engines. All ages are in
// milliseconds; an age that is absent does not apply.
type PartRecord struct {
	Part       uint64   `json:"part"`
	State      int      `json:"state"`
	Generation int      `json:"generation"`
	SinceMS    int64    `json:"sinceMs"`
	CrashMS    *int64   `json:"crashMs,omitempty"`
	RanMS      *int64   `json:"ranMs,omitempty"`
	Customer   uint64   `json:"customer,omitempty"`
	Proven     bool     `json:"proven,omitempty"`
	Crashes    int      `json:"crashes,omitempty"`
	Engines    []uint64 `json:"engines,omitempty"`
	Tied       bool     `json:"tied,omitempty"`
	Trials     int      `json:"trials,omitempty"`
	TriedMS    *int64   `json:"triedMs,omitempty"`
}
