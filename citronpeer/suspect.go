package citronpeer

// Suspect is a request that engines were running when they crashed.
type Suspect struct {
	// Fingerprint is the request's fingerprint in hexadecimal.
	Fingerprint string         `json:"print"`
	Crashes     []SuspectCrash `json:"crashes"`
}

// SuspectCrash is one crash of an engine that was running a suspect.
type SuspectCrash struct {
	// Engine identifies the engine. A restarted engine has another value.
	Engine uint64 `json:"engine"`
	// AgeMS is how long ago the engine crashed, in milliseconds. Ages need no
	// synchronized clocks.
	AgeMS int64 `json:"ageMs"`
	// Refuted reports whether the request has run successfully since the crash. A
	// refuted crash does not count towards the request's quarantine.
	Refuted bool `json:"refuted,omitempty"`
}
