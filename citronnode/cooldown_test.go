package citronnode_test

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"citrondeck.dev/citrondeck/citronkv"
	"citrondeck.dev/citrondeck/citronpath"
	"citrondeck.dev/citrondeck/citronupstream"
	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
)

const (
	// cooldownGrace is the time after a refusal during which requests that were already on
	// their way may still arrive.
	cooldownGrace = 500 * time.Millisecond
	// maxStragglers is the number of requests that may arrive during the rest of the
	// cool-down.
	maxStragglers = 2
)

// cooldown is a cool-down that an upstream asked a node for.
type cooldown struct {
	from, until time.Time
	// stragglers counts the requests of the node that arrived after cooldownGrace.
	stragglers int
}

// coolingUpstreams are fake upstreams, some of which refuse requests and ask the sending
// node for a cool-down.
type coolingUpstreams struct {
	mu sync.Mutex
	// refusing holds the cool-down that each refusing engine asks for.
	refusing map[string]time.Duration
	// asked holds all cool-downs by the names of the node and the engine.
	asked map[[2]string][]*cooldown
	// served counts the requests that each engine ran.
	served map[string]int
}

func newCoolingUpstreams() *coolingUpstreams {
	return &coolingUpstreams{refusing: map[string]time.Duration{}, asked: map[[2]string][]*cooldown{}, served: map[string]int{}}
}

// refuse makes engines refuse requests and ask for the given cool-down.
func (u *coolingUpstreams) refuse(wait time.Duration, engines ...string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, e := range engines {
		u.refusing[e] = wait
	}
}

// admitAgain makes engines run requests again.
func (u *coolingUpstreams) admitAgain(engines ...string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, e := range engines {
		delete(u.refusing, e)
	}
}

// arrive records a request and returns the cool-down that its refusal asks for. It returns
// false if the engine runs the request.
func (u *coolingUpstreams) arrive(node, engine string) (time.Duration, bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	now, key := time.Now(), [2]string{node, engine}
	for _, c := range u.asked[key] {
		if now.After(c.from.Add(cooldownGrace)) && now.Before(c.until) {
			c.stragglers++
		}
	}
	wait, refuses := u.refusing[engine]
	if refuses {
		u.asked[key] = append(u.asked[key], &cooldown{from: now, until: now.Add(wait)})
	} else {
		u.served[engine]++
	}
	return wait, refuses
}

// cooldowns returns the number of cool-downs that engines asked for, and the most
// stragglers during one of them.
func (u *coolingUpstreams) cooldowns() (asked, mostStragglers int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, all := range u.asked {
		asked += len(all)
		for _, c := range all {
			mostStragglers = max(mostStragglers, c.stragglers)
		}
	}
	return asked, mostStragglers
}

func (u *coolingUpstreams) reachedFrom(node string) citronupstream.Engines {
	return coolingUpstreamsOfNode{u, node}
}

// coolingUpstreamsOfNode are the upstreams as one node reaches them.
type coolingUpstreamsOfNode struct {
	*coolingUpstreams
	node string
}

func (u coolingUpstreamsOfNode) Send(_ context.Context, c citronupstream.Call) (*citronupstream.Reply, error) {
	wait, refuses := u.arrive(u.node, c.Engine.ID)
	if refuses {
		return &citronupstream.Reply{Status: http.StatusServiceUnavailable, Header: http.Header{}, Body: http.NoBody, NotExecuted: true, Cooldown: citronupstream.CooldownFor(wait)}, nil
	}
	time.Sleep(workTime(c.Engine.ID))
	return &citronupstream.Reply{Status: http.StatusOK, Header: http.Header{}, Body: io.NopCloser(strings.NewReader("ok")), FromEngine: true, Cooldown: citronupstream.NoCooldown{}}, nil
}

func (coolingUpstreamsOfNode) Report(context.Context, string) (citronupstream.Report, error) {
	return citronupstream.Report{}, nil
}

func (coolingUpstreamsOfNode) Repath(context.Context, string, string, citronpath.Path) error {
	return errors.New("no streams")
}

// Guards against nodes that send an upstream requests during the cool-down that it asked
// for, because they chose a shorter pause themselves, or forgot the cool-down when the
// list of engines or the configuration changed. The other upstreams must serve these
// requests, and the upstream must get requests again after the cool-down.
func TestUpstreamGetsNoRequestsDuringCooldown(t *testing.T) {
	for _, c := range []struct {
		name   string
		nodes  int
		change func(f *fleet, u *coolingUpstreams)
	}{
		{"one upstream of three", 3, func(*fleet, *coolingUpstreams) {}},
		{"its entry goes and comes back", 3, func(f *fleet, _ *coolingUpstreams) {
			if err := f.store.Delete(context.Background(), "engines/i-0", citronkv.AnyRevision); err != nil {
				f.t.Error(err)
			}
			time.Sleep(300 * time.Millisecond)
			f.putEngine(startedApp(0))
		}},
		{"the list and the configuration change", 3, func(f *fleet, _ *coolingUpstreams) {
			f.putEngine(startedApp(7))
			f.putConfig("2")
		}},
		{"an older request succeeds", 3, func(_ *fleet, u *coolingUpstreams) {
			u.admitAgain("i-0") // what is on its way succeeds, and the cool-down goes on
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			f := newFleet(t)
			f.startApps(c.nodes, 3)
			u := newCoolingUpstreams()
			from := time.Now()
			time.AfterFunc(time.Second, func() { u.refuse(3*time.Second, "i-0") })
			time.AfterFunc(1800*time.Millisecond, func() { c.change(f, u) })
			time.AfterFunc(4500*time.Millisecond, func() { u.admitAgain("i-0") })
			out := f.generateLoad(u, 150, from.Add(9*time.Second))
			asked, most := u.cooldowns()
			t.Logf("%d cool-downs, at most %d stragglers; served %v; answers %v", asked, most, u.served, out.byStatus)
			is.True(asked > 0)
			is.True(most <= maxStragglers)
			is.Equal(len(out.byStatus), 1) // the other upstreams serve the rest
			is.True(out.count(http.StatusOK) > 0)
			is.True(u.served["i-0"] > 150) // one second's share before, and a few after the cool-down
		})
	}
}
