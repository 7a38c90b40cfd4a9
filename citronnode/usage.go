package citronnode

// Usage of engines: this node asks the engines that it observes for their reports, and
// passes on the reports that it knows (citronusage).

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"citrondeck.dev/citrondeck/citronevent"
	"citrondeck.dev/citrondeck/citronmodel"
	"citrondeck.dev/citrondeck/citronpeer"
	"citrondeck.dev/citrondeck/citronpool"
	"citrondeck.dev/citrondeck/citronprobe"
	"citrondeck.dev/citrondeck/citronusage"
	"github.com/cockroachdb/errors"
)

const (
	// observerStep is the time between two checks of which engines are due.
	observerStep = 50 * time.Millisecond
	// pollTimeout bounds one poll. A healthy engine answers within a few milliseconds. If
	// a poll takes longer than pollTimeout and maxPollOverrun, this node itself was paused
	// and the report is too old.
	pollTimeout    = 250 * time.Millisecond
	maxPollOverrun = 100 * time.Millisecond
	// idleShare is the used share of the cache below which an engine is polled idleFactor
	// times less often, as is one that does not answer. Reports decide about streams that
	// would be refused otherwise, which are few at engines with free capacity, and polls
	// are billed.
	idleShare  = 0.7
	idleFactor = 10
	// maxConcurrentPolls bounds the polls in progress. Engines that are due wait for the
	// next step.
	maxConcurrentPolls = 16
)

// observer polls the engines that this node observes.
type observer struct {
	n *Node
	// assigned are the engines that this node observes, as computed from engines and
	// candidates.
	assigned   []string
	engines    []citronmodel.Engine
	candidates []citronusage.Member
	polls      sync.WaitGroup

	mu sync.Mutex
	// due maps the ID of each assigned engine to the time of its next poll. pending is the
	// number of polls in progress.
	due     map[string]time.Time
	pending int
}

// observeUsage polls the engines that this node observes until ctx ends. It does nothing if
// the usage interval is zero.
func (n *Node) observeUsage(ctx context.Context) {
	if n.settings.UsageInterval <= 0 {
		return
	}
	o := &observer{n: n, due: map[string]time.Time{}}
	defer o.polls.Wait()
	for n.clock.Sleep(ctx, min(observerStep, n.settings.UsageInterval)) == nil {
		s := n.snap.Load()
		if s.traffic == nil || n.lag.LateSince(n.clock.Now().Add(-observerStep)) {
			continue
		}
		o.assign(s)
		o.pollDue(ctx, s.traffic.View)
	}
}

// usesUsage reports whether this node estimates the utilization of engines from their
// reports: if it is set to poll, and its zone has enough nodes.
func (n *Node) usesUsage(s *snapshot) bool {
	return n.settings.UsageInterval > 0 && len(s.usageMembers()) >= n.settings.UsageMinNodes
}

// usageMembers returns the nodes of this node's zone that could observe engines.
func (s *snapshot) usageMembers() []citronusage.Member {
	out := []citronusage.Member{usageMember(s.self, false)}
	for _, m := range s.members {
		if m.Zone == s.self.Zone {
			out = append(out, usageMember(m, s.stale[m.Name]))
		}
	}
	return out
}

func usageMember(m citronpeer.Member, stale bool) citronusage.Member {
	return citronusage.Member{Name: m.Name, Zone: m.Zone, Weak: m.Weak, Unfit: stale || m.Partitioned || m.Leaving}
}

// assign determines which engines this node observes. It computes them anew only if the
// engines or the candidates have changed.
func (o *observer) assign(s *snapshot) {
	candidates := citronusage.Candidates(s.self.Zone, s.usageMembers())
	if !o.n.usesUsage(s) {
		candidates = nil
	}
	slices.SortFunc(candidates, func(a, b citronusage.Member) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	if sameEngines(s.engines, o.engines) && slices.Equal(candidates, o.candidates) {
		return
	}
	o.engines, o.candidates, o.assigned = s.engines, candidates, nil
	o.mu.Lock()
	defer o.mu.Unlock()
	due := map[string]time.Time{}
	if slices.ContainsFunc(candidates, func(m citronusage.Member) bool { return m.Name == s.self.Name }) {
		for _, e := range s.engines {
			if e.Zone != s.self.Zone || e.Layers.Empty() {
				continue
			}
			if name, ok := citronusage.Observer(e.ID, candidates); ok && name == s.self.Name {
				o.assigned = append(o.assigned, e.ID)
				due[e.ID] = o.due[e.ID]
			}
		}
	}
	o.due = due
}

// pollDue starts the polls that are due.
func (o *observer) pollDue(ctx context.Context, v *citronpool.View) {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.n.clock.Now()
	for _, id := range o.assigned {
		if o.pending >= maxConcurrentPolls {
			return
		}
		e, ok := v.ByID(id)
		if !ok || now.Before(o.due[id]) {
			continue
		}
		o.pending++
		o.due[id] = now.Add(o.n.settings.UsageInterval * idleFactor)
		o.polls.Go(func() {
			ok := o.poll(ctx, e)
			o.mu.Lock()
			defer o.mu.Unlock()
			o.pending--
			if _, assigned := o.due[id]; assigned {
				o.due[id] = now.Add(o.interval(e, ok))
			}
		})
	}
}

// interval returns the time until the next poll of an engine, with jitter. ok reports
// whether it answered the last one.
func (o *observer) interval(e *citronpool.Engine, ok bool) time.Duration {
	d := o.n.settings.UsageInterval
	if u, known := e.Usage(o.n.clock.Now()); !ok || known && u.Share() < idleShare {
		d *= idleFactor
	}
	return d*9/10 + rand.N(d/5+1)
}

// poll asks an engine for its report and records it. It reports whether there was one. A
// failed poll tells nothing: whether engines are alive is decided by the requests that they
// run, and by probes.
func (o *observer) poll(ctx context.Context, e *citronpool.Engine) bool {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	began := o.n.clock.Now()
	r, err := o.n.sources.Engines.Report(ctx, e.Addr)
	if err != nil || o.n.clock.Now().Sub(began) > pollTimeout+maxPollOverrun {
		return false
	}
	citronprobe.RecordReport(e, r, began)
	return true
}

// noUsage is sent with an update that follows an exchange, and in the answer to it: the
// exchange has just carried the reports, and nearly every exchange is followed by an update.
var noUsage = []citronpeer.UsageReport{}

// recentUsage returns the reports for a message to another node that has just sent the
// given ones. It leaves out those that this node does not have in a newer state.
func (n *Node) recentUsage(theirs []citronpeer.UsageReport) []citronpeer.UsageReport {
	t := n.snap.Load().traffic
	if t == nil {
		return nil
	}
	ages := make(map[uint64]int64, len(theirs))
	for _, u := range theirs {
		ages[u.Engine] = u.Age10MS
	}
	now := n.clock.Now()
	var out []citronpeer.UsageReport
	for _, r := range t.View.UsageTable().Recent(citronpeer.MaxUsageReports, now) {
		u := encodeUsage(r, now)
		if age, ok := ages[u.Engine]; !ok || u.Age10MS < age {
			out = append(out, u)
		}
	}
	return out
}

// ageUnit is the unit of the age of a report as it is sent. permille is the total that
// replaces an engine's total cache there.
const (
	ageUnit  = 10 * time.Millisecond
	permille = 1000
)

// encodeUsage converts a report to the form in which it is sent to other nodes. The age is
// rounded up, which makes up for part of the time that the message takes.
func encodeUsage(r citronusage.Report, now time.Time) citronpeer.UsageReport {
	return citronpeer.UsageReport{
		Engine: uint64(r.Engine), Age10MS: int64(max(0, now.Sub(r.At))/ageUnit) + 1,
		Permille: int64(r.Share()*permille + 0.5), Running: r.Running, Waiting: r.Waiting,
	}
}

// decodeUsage converts a report that another node sent. The result still has to be checked
// (Figures.Valid).
func decodeUsage(u citronpeer.UsageReport, now time.Time) (citronusage.Report, error) {
	if limit := int64(citronusage.FreshFor / ageUnit); u.Age10MS < 0 || u.Age10MS > limit {
		return citronusage.Report{}, errors.Newf("usage report has age %d, want 0 to %d, in units of %v", u.Age10MS, limit, ageUnit)
	}
	return citronusage.Report{
		Engine:  citronusage.ID(u.Engine),
		Figures: citronusage.Figures{Running: u.Running, Waiting: u.Waiting, Used: u.Permille, Total: permille},
		At:      now.Add(-time.Duration(u.Age10MS) * ageUnit),
	}, nil
}

// mergeUsage merges the reports that another node sent. Invalid ones are counted and left
// out.
func (n *Node) mergeUsage(ctx context.Context, from string, reports []citronpeer.UsageReport) {
	t := n.snap.Load().traffic
	if t == nil {
		return
	}
	now := n.clock.Now()
	for _, u := range reports[:min(len(reports), citronpeer.MaxUsageReports)] {
		r, err := decodeUsage(u, now)
		if err == nil {
			err = t.View.MergeUsage(r, now)
		} else {
			t.View.UsageTable().Reject()
		}
		if err != nil {
			n.logInvalidUsage(ctx, "peer", from, err)
		}
	}
}

// logInvalidUsage logs an invalid report of an engine, or one that another node sent. Only
// the first one from each is logged.
func (n *Node) logInvalidUsage(ctx context.Context, kind, source string, err error) {
	if _, logged := n.invalidUsageFrom.LoadOrStore(kind+"/"+source, true); !logged {
		citronevent.Log(ctx, n.log, citronevent.UsageRejected, kind, source, "err", err)
	}
}
