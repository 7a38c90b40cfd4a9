package citronentry

// Discovery: which entries callers may use. Each entry holds one key in
// the KV service under a lease. The keys can vanish while the entries are
// well: a KV outage longer than the lease, or a paused holder, lapses
// leases. Were a vanished key taken for a departed entry, an outage would
// empty every entry's list at once, and callers asking then would be sent
// nowhere. So a key that vanishes while this entry's own renewals fail, or
// shortly after, stays listed for lingerFor more; by the time any lease can
// lapse in an outage, each entry has missed a renewal of its own. While the
// KV service is well a vanished key means an entry that is frozen or dead,
// and it is dropped at once. An entry that stops marks its key as leaving,
// and an entry always lists itself until it stops.

import (
	"cmp"
	"context"
	"encoding/json"
	"math/rand/v2"
	"slices"
	"sort"
	"strings"
	"time"

	"citrondeck.dev/citrondeck/citronevent"
	"citrondeck.dev/citrondeck/citronkv"
	"citrondeck.dev/citrondeck/citronroute"
	"github.com/cockroachdb/errors"
)

const (
	// lingerFor is how long an entry stays listed after its lease lapsed in
	// or shortly after an outage of the KV service. A caller sent to one that is truly gone is refused the connection
	// and takes the next on its list.
	lingerFor     = 15 * time.Second
	leaveDeadline = time.Second
	// keepaliveBudget is how many lease renewals a second all entries
	// together may cost the KV service; with many entries each renews less
	// often, and its lease lives longer.
	keepaliveBudget = 100
	// discoveryMax bounds the answer to a caller. It is a random choice,
	// the caller's zone first, so that callers spread over the entries.
	discoveryMax = 12
)

// registration is the value of an entry's discovery key.
type registration struct {
	citronroute.EntryAddr
	Leaving bool `json:"leaving,omitempty"`
}

// member is one entry as this entry knows it.
type member struct {
	addr citronroute.EntryAddr
	// until is when a member whose key vanished is dropped; zero while
	// its key is there.
	until time.Time
}

// members is the entry list; the control goroutine owns it.
type members map[string]member

// apply takes one changed discovery key. A key that vanished is listed
// until lingerUntil.
func (m members) apply(it citronkv.Item, lingerUntil time.Time) {
	name := strings.TrimPrefix(it.Key, EntriesPrefix)
	if it.Deleted {
		if old, ok := m[name]; ok && old.until.IsZero() {
			old.until = lingerUntil
			m[name] = old
		}
		return
	}
	var r registration
	if json.Unmarshal(it.Value, &r) != nil {
		return
	}
	if r.Leaving {
		delete(m, name)
		return
	}
	m[name] = member{addr: r.EntryAddr}
}

// replace takes the whole list, as after a compacted watch.
func (m members) replace(items []citronkv.Item, lingerUntil time.Time) {
	present := map[string]bool{}
	for _, it := range items {
		if strings.HasPrefix(it.Key, EntriesPrefix) {
			present[it.Key] = true
		}
	}
	for name := range m {
		if !present[EntriesPrefix+name] {
			m.apply(citronkv.Item{Key: EntriesPrefix + name, Deleted: true}, lingerUntil)
		}
	}
}

// sweep drops members whose time has come; true if any was.
func (m members) sweep(now time.Time) bool {
	dropped := false
	for name, mb := range m {
		if !mb.until.IsZero() && now.After(mb.until) {
			delete(m, name)
			dropped = true
		}
	}
	return dropped
}

func (m members) list() []citronroute.EntryAddr {
	out := make([]citronroute.EntryAddr, 0, len(m))
	for _, mb := range m {
		out = append(out, mb.addr)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}

func (e *Entry) self() citronroute.EntryAddr {
	return citronroute.EntryAddr{Name: e.set.Name, Addr: e.set.Advertise, Zone: e.set.Zone, Incarnation: e.incarnation}
}

// listed is what discovery answers: the known entries, with this one
// unless it is stopping.
func (e *Entry) listed(s *citronroute.Snapshot) []citronroute.EntryAddr {
	var out []citronroute.EntryAddr
	for _, en := range s.Entries {
		if en.Name != e.set.Name {
			out = append(out, en)
		}
	}
	if !e.leaving.Load() {
		out = append(out, e.self())
	}
	return out
}

// lingerUntil is how long a member whose key vanishes now stays listed.
func (e *Entry) lingerUntil(now time.Time) time.Time {
	if now.Sub(time.Unix(0, e.renewalFailed.Load())) < lingerFor {
		return now.Add(lingerFor)
	}
	return now
}

// leaseTTL is how long the entry's discovery lease lives.
func (e *Entry) leaseTTL() time.Duration {
	const renewals = 3 // a lease is renewed thrice in its life
	n := len(e.snap.Load().Entries)
	return max(e.set.LeaseTTL, renewals*time.Duration(n)*time.Second/keepaliveBudget)
}

// choose picks the entries a caller in zone gets to know.
func choose(all []citronroute.EntryAddr, zone string) []citronroute.EntryAddr {
	out := slices.Clone(all)
	rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	slices.SortStableFunc(out, func(a, b citronroute.EntryAddr) int {
		return cmp.Compare(btoi(b.Zone == zone), btoi(a.Zone == zone))
	})
	return out[:min(len(out), discoveryMax)]
}

func btoi(b bool) int {
	if b {
		return 1
	}
	return 0
}

// register holds the entry's key under a lease, renewing it and putting
// the key back after a lapse. When ctx ends it marks the key as leaving
// and revokes the lease, so the entry leaves discovery at once.
func (e *Entry) register(ctx context.Context) {
	key := EntriesPrefix + e.set.Name
	val, _ := json.Marshal(registration{EntryAddr: e.self()})
	var id citronkv.LeaseID
	var ttl time.Duration
	for {
		// The fleet of entries grew: a lease of the old length would lapse
		// between renewals this far apart.
		if want := e.leaseTTL(); id == 0 || want > ttl {
			ttl = want
			id = e.enlist(ctx, key, val, ttl)
		} else if err := e.kv.KeepAlive(ctx, id); errors.Is(err, citronkv.ErrLeaseExpired) {
			id = 0
			continue
		} else if err != nil {
			e.renewalFailed.Store(e.clock.Now().UnixNano())
		}
		if e.clock.Sleep(ctx, ttl/3) != nil {
			break
		}
	}
	if id == 0 {
		return
	}
	lctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), leaveDeadline)
	defer cancel()
	gone, _ := json.Marshal(registration{EntryAddr: e.self(), Leaving: true})
	_, _ = e.kv.Put(lctx, key, gone, citronkv.AnyRevision, id)
	_ = e.kv.Revoke(lctx, id)
}

// enlist takes a lease and puts the key under it; 0 if that failed.
func (e *Entry) enlist(ctx context.Context, key string, val []byte, ttl time.Duration) citronkv.LeaseID {
	id, err := e.kv.Grant(ctx, ttl)
	if err != nil {
		e.renewalFailed.Store(e.clock.Now().UnixNano())
		return 0
	}
	if _, err := e.kv.Put(ctx, key, val, citronkv.AnyRevision, id); err != nil {
		e.renewalFailed.Store(e.clock.Now().UnixNano())
		return 0 // the reply may be lost; the next try puts it under a new lease
	}
	citronevent.Log(ctx, e.log, citronevent.DiscoveryRegistered, "lease", int64(id))
	return id
}
