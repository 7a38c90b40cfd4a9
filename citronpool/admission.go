package citronpool

import "time"

// Admission states whether an engine may be sent a request now. It is one of Open,
// CoolingDown, Leaving and Ended.
type Admission interface{ isAdmission() }

// Open means that nothing is known that rules out a request.
type Open struct{}

// CoolingDown means that the engine wants no request from this node for some more time.
type CoolingDown struct{ Left time.Duration }

// Leaving means that the engine finishes its running requests and gets no new ones.
type Leaving struct{}

// Ended means that the engine's process has ended, and another one may be at its address.
type Ended struct{}

func (Open) isAdmission()        {}
func (CoolingDown) isAdmission() {}
func (Leaving) isAdmission()     {}
func (Ended) isAdmission()       {}

// Admission returns whether the engine may be sent a request now. Rate limits are not
// included: they need a permit for each request.
func (e *Engine) Admission(now time.Time) Admission {
	left := e.CoolingFor(now)
	switch {
	case e.Replaced():
		return Ended{}
	case e.Leaving || e.saysLeaving.Load():
		return Leaving{}
	case left > 0:
		return CoolingDown{Left: left}
	}
	return Open{}
}
