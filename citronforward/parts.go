package citronforward

// Requests with a prompt part that crashes engines (citronpoison). Such a request is refused
// at each point at which it would reach an engine: when it arrives, when it has waited for
// capacity or a permit, when it is retried or resumed, and when its path changes.

import (
	"context"
	"encoding/binary"
	"net/http"

	"citrondeck.dev/citrondeck/citronevent"
	"citrondeck.dev/citrondeck/citronpart"
	"citrondeck.dev/citrondeck/citronpoison"
	"github.com/cespare/xxhash/v2"
)

const reasonPart = "engines ended under requests with a part of this prompt"

// promptParts returns the parts of the prompt that other requests may have too.
func (j *job) promptParts() []citronpoison.Part {
	if j.cachedParts == nil {
		shared := j.SharedParts()
		j.cachedParts = make([]citronpoison.Part, len(shared))
		for i, id := range shared {
			j.cachedParts[i] = citronpoison.PartOf(j.Model, id)
		}
	}
	return j.cachedParts
}

func (j *job) customerKey() uint64 { return xxhash.Sum64String(j.customer) }

// partsRun describes a run of the request for citronpoison.
func (j *job) partsRun() citronpoison.Run {
	p := j.fingerprint()
	return citronpoison.Run{Request: binary.BigEndian.Uint64(p[:]), Customer: j.customerKey(), Parts: j.promptParts()}
}

// checkParts reports whether the request may run, and refuses it if not. A refused request
// has not run.
func (j *job) checkParts(ctx context.Context) bool {
	if j.f.Parts.Empty() {
		return true
	}
	switch v := j.f.Parts.Admit(j.customerKey(), j.promptParts()).(type) {
	case citronpart.Refused:
		j.refusePart(v)
		return false
	case citronpart.Trial:
		if !j.f.ClaimTrial(ctx, v) {
			j.refusePart(v.Refused)
			return false
		}
		citronevent.Log(ctx, j.f.Log, citronevent.PartTried, "request", j.ID, "part", v.Part, "trial", v.N)
		j.trialPending = true
	}
	return true
}

func (j *job) refusePart(v citronpart.Refused) {
	j.f.refuse(j.Request, j.out, http.StatusServiceUnavailable, v.RetryAfter, reasonPart, "service", j.service.Name, "route", j.route.Name, "customer", j.customer, "print", j.fingerprint(), "part", v.Part, "crashes", v.Crashes)
}

// refusedPart returns the verdict on the request if a part of its prompt is quarantined, also
// if the request has been admitted as a trial.
func (j *job) refusedPart() (citronpart.Refused, bool) {
	if j.f.Parts.Empty() {
		return citronpart.Refused{}, false
	}
	return j.f.Parts.Check(j.customerKey(), j.promptParts())
}
