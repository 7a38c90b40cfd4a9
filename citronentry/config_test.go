package citronentry_test

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"citrondeck.dev/citrondeck/citronconfig"
	"citrondeck.dev/citrondeck/citronkv"
	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// staleStore is a fake Store that adds old events to the results of Watch, as
// a watch that replays events after a reconnect or a lagging replica would.
type staleStore struct {
	*citronkv.Server
	mu    sync.Mutex
	stale []citronkv.Item
}

// Watch returns the events of the underlying store, followed by the stale
// ones.
func (s *staleStore) Watch(ctx context.Context, prefix string, after citronkv.Revision) ([]citronkv.Item, citronkv.Revision, error) {
	items, rev, err := s.Server.Watch(ctx, prefix, after)
	s.mu.Lock()
	items = append(items, s.stale...)
	s.stale = nil
	s.mu.Unlock()
	return items, rev, err
}

// offer adds a stale event to the next watch result and wakes the watch with
// a write to an unrelated key.
func (s *staleStore) offer(it citronkv.Item) {
	s.mu.Lock()
	s.stale = append(s.stale, it)
	s.mu.Unlock()
	_, _ = s.Server.Put(context.Background(), "deck/wake", nil, citronkv.AnyRevision, 0)
}

// TestConfigNeverReverts guards against an entry that reverts to an older fleet
// configuration, or misses the newest, because the KV service replays old events
// or becomes unavailable. The active revision of an entry must never decrease, and
// must reach the newest accepted revision once the KV service is available. At the
// start of an outage, an entry must serve with the configuration that it has.
func TestConfigNeverReverts(t *testing.T) {
	var fake *staleStore
	r := newModelHarness(t, 4, 2, oneStage, func(s *citronkv.Server) citronkv.Store {
		fake = &staleStore{Server: s}
		return fake
	})
	base, err := r.kv.Get(context.Background(), citronconfig.HeadKey)
	if err != nil {
		t.Fatal(err)
	}
	history := []citronkv.Item{base}
	rapid.Check(t, func(rt *rapid.T) {
		r.kv.SetFaults(citronkv.Faults{})
		seen := []citronkv.Revision{r.entries[0].Revision(), r.entries[1].Revision()}
		for range rapid.IntRange(1, 8).Draw(rt, "steps") {
			switch rapid.IntRange(0, 2).Draw(rt, "action") {
			case 0: // an operator applies a changed configuration
				text := strings.Replace(string(base.Value), "fleet: t", fmt.Sprintf("fleet: t%d", len(history)), 1)
				rev, err := r.kv.Put(context.Background(), citronconfig.HeadKey, []byte(text), citronkv.AnyRevision, 0)
				if err != nil {
					continue // the KV service is down; the write was not accepted
				}
				history = append(history, citronkv.Item{Key: citronconfig.HeadKey, Value: []byte(text), Revision: rev})
			case 1: // the watch replays an old configuration
				fake.offer(rapid.SampledFrom(history).Draw(rt, "old"))
			case 2:
				r.kv.SetFaults(citronkv.Faults{Down: rapid.Bool().Draw(rt, "down")})
			}
			for i, e := range r.entries {
				if now := e.Revision(); seen[i].After(now) {
					rt.Fatalf("entry %d reverted from revision %d to %d", i, seen[i], now)
				} else {
					seen[i] = now
				}
			}
		}
		r.kv.SetFaults(citronkv.Faults{})
		newest := history[len(history)-1].Revision
		// An entry that applied an old configuration after the newest one
		// stays below the newest revision. The watch backoff is at most 3 s,
		// so a correct entry needs much less than the 20 s that it gets here.
		for i, e := range r.entries {
			for tries := 0; e.Revision() != newest; tries++ {
				if tries > 20_000 {
					rt.Fatalf("entry %d is at revision %v, want the newest accepted revision %v", i, e.Revision(), newest)
				}
				time.Sleep(time.Millisecond)
			}
		}
	})
	is := is.New(t)
	r.kv.SetFaults(citronkv.Faults{Down: true})
	wantOracle(t, r.ask(0, "during-outage", 2), "during-outage", 4, 2) // served with the last valid configuration
	r.kv.SetFaults(citronkv.Faults{})
	is.True(!history[len(history)-1].Revision.After(r.entries[0].Revision()))
}
