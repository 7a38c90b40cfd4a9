package citronforward

// Requests whose bodies have not been read.

import (
	"math/rand/v2"
	"net/http"
	"time"

	"citrondeck.dev/citrondeck/citronbody"
	"citrondeck.dev/citrondeck/citronmemory"
	"citrondeck.dev/citrondeck/citronserve"
	"citrondeck.dev/citrondeck/citronupstream"
	"github.com/cockroachdb/errors"
)

const (
	// retryNoMemory is about the time after which requests that have not arrived whole give way.
	retryNoMemory = time.Second
	// A body may arrive until the request's deadline, but within these bounds.
	minBodyWait = time.Second
	maxBodyWait = 60 * time.Second
	// checkedBodyBytes is the length from which on a body is read only after the head of its
	// request has been checked. A request with a shorter one keeps its connection if it is refused.
	checkedBodyBytes = 64 << 10
)

// ReadBody reads the body of r, at most limit bytes, into req, or refuses the request. release
// ends the hold on the body.
func (f *Forwarder) ReadBody(w http.ResponseWriter, r *http.Request, req *citronupstream.Request, limit int64, out Sink) (release func(), ok bool) {
	if r.ContentLength > checkedBodyBytes && !f.checkHead(w, r, req, out) {
		return nil, false
	}
	if s := f.Current(); s != nil && s.Table != nil && s.Table.Limits.MaxBodyBytes > 0 {
		limit = min(limit, s.Table.Limits.MaxBodyBytes)
	}
	wait := maxBodyWait
	if req.CallerTimeout > 0 {
		wait = max(minBodyWait, min(req.CallerTimeout, maxBodyWait))
	}
	body, release, err := citronserve.ReadBody(w, r, limit, wait)
	if err != nil {
		f.refuseUnread(req, err, out)
		return nil, false
	}
	req.Body = body
	return release, true
}

// checkHead reports whether a request may be served as far as its head tells. If not, it refuses
// the request, so that its body need not be read.
func (f *Forwarder) checkHead(w http.ResponseWriter, r *http.Request, req *citronupstream.Request, out Sink) bool {
	check := headCheck{Sink: out, skip: func() { citronserve.SkipBody(w, r) }}
	s, ok := f.state(req, check)
	if !ok {
		return false
	}
	if _, ok := f.newJob(s, req, check); !ok {
		return false
	}
	return f.acceptsLength(s, req, r.ContentLength, check)
}

// headCheck is a sink that skips the body of a request before the request is refused.
type headCheck struct {
	Sink
	skip func()
}

// Refuse implements Sink.
func (c headCheck) Refuse(status int, retryAfter time.Duration, reason string) {
	c.skip()
	c.Sink.Refuse(status, retryAfter, reason)
}

// acceptsLength refuses a request whose body is longer than the configuration allows.
func (f *Forwarder) acceptsLength(s *State, r *citronupstream.Request, length int64, out Sink) bool {
	if limit := s.Table.Limits.MaxBodyBytes; limit > 0 && length > limit {
		f.refuse(r, out, http.StatusRequestEntityTooLarge, -1, "body is over the limit")
		return false
	}
	return true
}

// refuseUnread refuses a request whose body could not be read (citronserve.ReadBody).
func (f *Forwarder) refuseUnread(r *citronupstream.Request, err error, out Sink) {
	status, after := citronserve.FailureStatus(err), time.Duration(-1)
	reason := "body cannot be read"
	switch {
	case errors.Is(err, citronbody.ErrTooLarge):
		reason = "body is over the limit"
	case errors.Is(err, citronmemory.ErrNoRoom):
		reason, after = "no memory for the body", spreadNoMemory()
	case errors.Is(err, citronmemory.ErrInterrupted):
		reason, after = "body took long to arrive while memory was short", spreadNoMemory()
	case status == http.StatusServiceUnavailable:
		reason, after = "too many connections", 0
	case status == http.StatusRequestTimeout:
		reason, after = "body did not arrive in time", 0
	}
	f.refuse(r, out, status, after, reason)
}

// spreadNoMemory returns a time around retryNoMemory, so that refused callers do not all return
// at once.
func spreadNoMemory() time.Duration { return retryNoMemory/2 + rand.N(retryNoMemory) }
