package citronquarantine

import "time"

// Verdict says whether a request may run. It is one of Free, Trial and Barred.
type Verdict interface{ verdict() }

// Free lets a request run of which too little is known to hold it back.
type Free struct{}

// Trial lets a request run that would be barred after one more crash. Others of
// the same fingerprint wait meanwhile.
type Trial struct {
	// End ends the trial.
	End func()
}

// Barred keeps a request from running.
type Barred struct {
	// Left is for how long.
	Left time.Duration
	// Crashes is how many engines have ended under it.
	Crashes int
}

func (Free) verdict()   {}
func (Trial) verdict()  {}
func (Barred) verdict() {}
