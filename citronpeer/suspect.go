package citronpeer

// Suspect is a request under which engines have ended.
type Suspect struct {
	// Print is the request's fingerprint in hexadecimal.
	Print   string         `json:"print"`
	Crashes []SuspectCrash `json:"crashes"`
}

// SuspectCrash is the end of an engine under a suspect.
type SuspectCrash struct {
	// Engine identifies one start of an engine.
	Engine uint64 `json:"engine"`
	// AgeMS is how long ago it was, in milliseconds. Ages need no clocks that
	// agree.
	AgeMS int64 `json:"ageMs"`
	// Refuted: the request has run well since.
	Refuted bool `json:"refuted,omitempty"`
}
