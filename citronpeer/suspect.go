package citronpeer

// Suspect is a request under which engines have crashed.
type Suspect struct {
	// Fingerprint is the request's fingerprint in hexadecimal.
	Fingerprint string         `json:"print"`
	Crashes     []SuspectCrash `json:"crashes"`
}

// SuspectCrash is the crash of an engine under a suspect.
type SuspectCrash struct {
	// Engine identifies the engine. A restarted engine has another value.
	Engine uint64 `json:"engine"`
	// AgeMS is how long ago the engine crashed, in milliseconds. Ages need no
	// synchronized clocks.
	AgeMS int64 `json:"ageMs"`
	// Refuted reports whether the request has succeeded since the crash.
	Refuted bool `json:"refuted,omitempty"`
}
