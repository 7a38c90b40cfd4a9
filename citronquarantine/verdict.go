package citronquarantine

import "time"

// Verdict says whether a request may run. It is one of Admitted, TrialRun and Quarantined.
type Verdict interface{ verdict() }

// Admitted admits a request that has too few crashes to restrict it.
type Admitted struct{}

// TrialRun admits a trial run of a request that one more crash would quarantine.
// Requests with the same fingerprint have to wait until the trial run ends.
type TrialRun struct {
	// End ends the trial run.
	End func()
}

// Quarantined rejects a request that is quarantined, or that has to wait for the end of a
// trial run.
type Quarantined struct {
	// RetryAfter is the time after which the request may be retried.
	RetryAfter time.Duration
	// Crashes is the number of engines that have crashed under the request, without
	// crashes that a successful run has refuted.
	Crashes int
}

func (Admitted) verdict()    {}
func (TrialRun) verdict()    {}
func (Quarantined) verdict() {}
