package citronentry

// Discovery tells callers which entries they may use. Each entry registers
// one key in the KV service under a lease. A key can disappear while its
// entry is healthy: leases expire in a KV outage longer than the lease
// time, or while their holder is paused. If a missing key always removed
// the entry, an outage would empty the list of every entry at once and
// callers would find no entry at all. Therefore an entry whose key
// disappears while the local entry's own lease renewals fail, or shortly
// after, stays listed for lingerTime. By the time any lease can expire in an
// outage, every entry has failed to renew its own lease at least once.
// While the KV service is healthy, a missing key means that the entry is
// frozen or dead, and the entry is removed at once. A stopping entry marks
// its key as leaving. An entry always lists itself until it stops.

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
	// lingerTime is how long an entry stays listed after its lease expired
	// during or shortly after a KV outage. If the entry is really gone, a
	// caller's connection to it is refused and the caller tries the next
	// entry on its list.
	lingerTime = 15 * time.Second
	// deregisterTimeout bounds the KV calls that remove a stopping entry from
	// discovery.
	deregisterTimeout = time.Second
	// maxRenewalsPerSecond bounds the lease renewals per second of all entries
	// together, to limit the load on the KV service. With many entries, each
	// one uses a longer lease and renews it less often.
	maxRenewalsPerSecond = 100
	// maxDiscovered is the maximum number of entries in a discovery
	// response. They are chosen at random, the caller's zone first, so that
	// callers spread over the entries.
	maxDiscovered = 12
)

// registration is the JSON value of an entry's discovery key.
type registration struct {
	citronroute.EntryAddr
	Leaving bool `json:"leaving,omitempty"`
}

// member is an entry in the local entry list.
type member struct {
	addr citronroute.EntryAddr
	// removeAt is the time at which a member whose key is missing is removed.
	// It is zero while the key exists.
	removeAt time.Time
}

// members is the entry list by entry name. The control loop owns it.
type members map[string]member

// apply updates the list from one changed discovery key. An entry whose key
// was deleted stays listed until lingerUntil.
func (m members) apply(it citronkv.Item, lingerUntil time.Time) {
	name := strings.TrimPrefix(it.Key, EntriesPrefix)
	if it.Deleted {
		if old, ok := m[name]; ok && old.removeAt.IsZero() {
			old.removeAt = lingerUntil
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

// markMissing marks the entries whose keys are not in items, a complete listing
// of the keys, as missing. It is used after the watch was compacted.
func (m members) markMissing(items []citronkv.Item, lingerUntil time.Time) {
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

// removeExpired removes the members whose linger time has passed and reports
// whether it removed any.
func (m members) removeExpired(now time.Time) bool {
	dropped := false
	for name, mb := range m {
		if !mb.removeAt.IsZero() && now.After(mb.removeAt) {
			delete(m, name)
			dropped = true
		}
	}
	return dropped
}

// addrs returns the addresses of the members, sorted by name.
func (m members) addrs() []citronroute.EntryAddr {
	out := make([]citronroute.EntryAddr, 0, len(m))
	for _, mb := range m {
		out = append(out, mb.addr)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}

// selfAddr returns the discovery address of this entry.
func (e *Entry) selfAddr() citronroute.EntryAddr {
	return citronroute.EntryAddr{Name: e.settings.Name, Addr: e.settings.Advertise, Zone: e.settings.Zone, Incarnation: e.incarnation}
}

// discoverableEntries returns the entries that discovery may return: the other entries of
// the snapshot, and this one unless it is stopping.
func (e *Entry) discoverableEntries(s *citronroute.Snapshot) []citronroute.EntryAddr {
	var out []citronroute.EntryAddr
	for _, en := range s.Entries {
		if en.Name != e.settings.Name {
			out = append(out, en)
		}
	}
	if !e.leaving.Load() {
		out = append(out, e.selfAddr())
	}
	return out
}

// lingerUntil returns the time until which a member whose key disappears at
// now stays listed. It is now itself unless a renewal of this entry's own
// lease has failed within the last lingerTime.
func (e *Entry) lingerUntil(now time.Time) time.Time {
	if now.Sub(time.Unix(0, e.lastRenewalFailure.Load())) < lingerTime {
		return now.Add(lingerTime)
	}
	return now
}

// leaseTTL returns the lifetime of the entry's discovery lease. It grows
// with the number of entries, to keep their renewals within
// maxRenewalsPerSecond.
func (e *Entry) leaseTTL() time.Duration {
	const renewals = 3 // renewals per lease lifetime
	n := len(e.snap.Load().Entries)
	return max(e.settings.LeaseTTL, renewals*time.Duration(n)*time.Second/maxRenewalsPerSecond)
}

// chooseEntries returns up to maxDiscovered random entries for a caller in zone, the
// entries of that zone first.
func chooseEntries(all []citronroute.EntryAddr, zone string) []citronroute.EntryAddr {
	out := slices.Clone(all)
	rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	slices.SortStableFunc(out, func(a, b citronroute.EntryAddr) int {
		return cmp.Compare(boolToInt(b.Zone == zone), boolToInt(a.Zone == zone))
	})
	return out[:min(len(out), maxDiscovered)]
}

// boolToInt returns 1 for true and 0 for false.
func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// register keeps the entry's discovery key in the KV service: it renews the
// lease and registers again after the lease has expired. When ctx ends, it
// marks the key as leaving and revokes the lease, so that the entry leaves
// discovery at once.
func (e *Entry) register(ctx context.Context) {
	key := EntriesPrefix + e.settings.Name
	val, _ := json.Marshal(registration{EntryAddr: e.selfAddr()})
	var id citronkv.LeaseID
	var ttl time.Duration
	for {
		// More entries mean a longer renewal interval, in which a lease
		// granted with the old TTL could expire. Take a new lease.
		if want := e.leaseTTL(); id == 0 || want > ttl {
			ttl = want
			id = e.registerKey(ctx, key, val, ttl)
		} else if err := e.kv.KeepAlive(ctx, id); errors.Is(err, citronkv.ErrLeaseExpired) {
			id = 0
			continue
		} else if err != nil {
			e.lastRenewalFailure.Store(e.clock.Now().UnixNano())
		}
		if e.clock.Sleep(ctx, ttl/3) != nil {
			break
		}
	}
	if id == 0 {
		return
	}
	lctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), deregisterTimeout)
	defer cancel()
	leavingVal, _ := json.Marshal(registration{EntryAddr: e.selfAddr(), Leaving: true})
	_, _ = e.kv.Put(lctx, key, leavingVal, citronkv.AnyRevision, id)
	_ = e.kv.Revoke(lctx, id)
}

// registerKey requests a lease and writes the discovery key under it. It returns
// 0 if either call fails.
func (e *Entry) registerKey(ctx context.Context, key string, val []byte, ttl time.Duration) citronkv.LeaseID {
	id, err := e.kv.Grant(ctx, ttl)
	if err != nil {
		e.lastRenewalFailure.Store(e.clock.Now().UnixNano())
		return 0
	}
	if _, err := e.kv.Put(ctx, key, val, citronkv.AnyRevision, id); err != nil {
		e.lastRenewalFailure.Store(e.clock.Now().UnixNano())
		return 0 // the write may have succeeded; the next attempt uses a new lease
	}
	citronevent.Log(ctx, e.log, citronevent.DiscoveryRegistered, "lease", int64(id))
	return id
}
