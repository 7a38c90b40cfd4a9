package citronquarantine_test

import (
	"fmt"
	"testing"
	"time"

	"citrondeck.dev/citrondeck/citronclock"
	"citrondeck.dev/citrondeck/citronquarantine"
	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func newLedger(node string) (*citronquarantine.Ledger, *citronclock.Manual) {
	clock := citronclock.NewManual(time.Unix(1_000_000, 0))
	return citronquarantine.New(node, clock), clock
}

func request(i int) citronquarantine.Fingerprint {
	return citronquarantine.FingerprintOf("council", "POST", "h", "/a", fmt.Append(nil, i))
}

// crash makes count engines end under a request. Their IDs are numbered consecutively,
// beginning with from.
func crash(l *citronquarantine.Ledger, p citronquarantine.Fingerprint, from, count int) {
	for i := range count {
		l.RecordCrash(p, fmt.Sprintf("i-%d", from+i), time.Time{})
	}
}

func Example() {
	l, _ := newLedger("n1")
	p := citronquarantine.FingerprintOf("council", "POST", "example.org", "/nest/7", []byte("a plan"))
	for _, engine := range []string{"i-1", "i-2", "i-2", "i-3"} {
		r, updated := l.RecordCrash(p, engine, time.Time{})
		fmt.Println(engine, r.ActiveCrashes(), updated)
	}
	_, quarantined := l.Admit(p).(citronquarantine.Quarantined)
	fmt.Println("quarantined:", quarantined)
	// Output:
	// i-1 1 true
	// i-2 2 true
	// i-2 2 false
	// i-3 3 true
	// quarantined: true
}

// Guards against a request that crashes several more engines at once. After two crashes,
// one more would quarantine it, so only one run at a time may try. Other requests are not
// affected.
func TestTwoCrashesAllowOneTrialRunAtATime(t *testing.T) {
	is := is.New(t)
	l, _ := newLedger("n1")
	p := request(1)
	crash(l, p, 1, 2)
	trial, ok := l.Admit(p).(citronquarantine.TrialRun)
	is.True(ok)
	_, ok = l.Admit(p).(citronquarantine.Quarantined)
	is.True(ok) // a trial run is in progress
	trial.End()
	_, ok = l.Admit(p).(citronquarantine.TrialRun)
	is.True(ok)
	_, ok = l.Admit(request(2)).(citronquarantine.Admitted)
	is.True(ok)
}

// Guards against counting only one crash of an engine that restarts with the same ID,
// and against counting one crash twice if two runs report it. A run that began after the
// last known crash can only have ended by another one.
func TestCrashesOfRestartedEngineCountSeparately(t *testing.T) {
	is := is.New(t)
	l, clock := newLedger("n1")
	p := request(1)
	for i := range 3 {
		began := clock.Now()
		clock.Advance(100 * time.Millisecond)
		for range 2 {
			r, _ := l.RecordCrash(p, "i-1", began)
			is.Equal(r.ActiveCrashes(), i+1)
		}
		clock.Advance(3 * time.Second)
	}
}

// Guards against a harmless request that stays quarantined because it ran on three
// engines that crashed for other reasons. One successful run must clear it, also if one of
// the crashes is reported again afterwards.
func TestSuccessfulRunClearsRequest(t *testing.T) {
	is := is.New(t)
	l, clock := newLedger("n1")
	p := request(1)
	crash(l, p, 1, 3)
	clock.Advance(2 * time.Minute)
	_, ok := l.Admit(p).(citronquarantine.TrialRun)
	is.True(ok)
	l.RecordSuccess(p)
	_, ok = l.Admit(p).(citronquarantine.Admitted)
	is.True(ok)
	l.RecordCrash(p, "i-2", time.Time{}) // late report of an earlier crash
	_, ok = l.Admit(p).(citronquarantine.Admitted)
	is.True(ok)
}

// Guards against a request that crashes three more engines each time its quarantine
// ends. Each further crash must double the quarantine, from one minute to 32, and a
// refused caller must be told how long it still lasts.
func TestEachCrashAfterTheThirdDoublesTheQuarantine(t *testing.T) {
	is := is.New(t)
	l, clock := newLedger("n1")
	p := request(1)
	crash(l, p, 1, 3)
	crashes := 3
	for range 24 * 60 {
		clock.Advance(time.Minute)
		if trial, ok := l.Admit(p).(citronquarantine.TrialRun); ok {
			crashes++
			l.RecordCrash(p, fmt.Sprintf("i-%d", crashes), time.Time{})
			trial.End()
		}
	}
	is.True(crashes <= 3+5+24*2) // five shorter quarantines, then two per hour
	l, clock = newLedger("n1")
	crash(l, p, 1, 3)
	clock.Advance(30 * time.Second)
	v, ok := l.Admit(p).(citronquarantine.Quarantined)
	is.True(ok)
	is.True(v.RetryAfter >= 30*time.Second && v.RetryAfter <= time.Minute)
	is.Equal(v.Crashes, 3)
}

// Guards against all nodes releasing a quarantined request at the same time: it would
// crash one engine for each of them. The nodes release it one after the other within 30 s.
func TestNodesReleaseRequestOneAfterAnother(t *testing.T) {
	is := is.New(t)
	p := request(1)
	var released []int
	for s := range 35 {
		n := 0
		for i := range 9 {
			l, clock := newLedger(fmt.Sprintf("n%d", i))
			crash(l, p, 1, 3)
			clock.Advance(time.Minute + time.Duration(s)*time.Second)
			if _, ok := l.Admit(p).(citronquarantine.TrialRun); ok {
				n++
			}
		}
		released = append(released, n)
	}
	is.True(released[5] <= 4)
	is.Equal(released[34], 9)
}

// Guards against a ledger that grows without limit when many requests are running on
// engines that crash, and against one that then forgets the request which crashed the most
// engines. Records must expire.
func TestLedgerIsBounded(t *testing.T) {
	is := is.New(t)
	l, clock := newLedger("n1")
	crashing := request(-1)
	crash(l, crashing, 1, 3)
	for i := range 5000 {
		crash(l, request(i), i, 1+i%2)
	}
	known, quarantined := l.Count()
	is.Equal(known, 1024)
	is.Equal(quarantined, 1) // records with the most crashes are dropped last
	is.Equal(len(l.All()), citronquarantine.MaxGossipRecords)
	is.Equal(l.All()[0].Fingerprint, crashing)
	clock.Advance(time.Hour)
	is.Equal(len(l.All()), 0)
	is.True(l.Empty())
}

// Guards against a faulty node that quarantines requests by an invalid message: a record
// without crashes, a crash in the future or two days ago, or too many records. The message
// must be rejected as a whole.
func TestInvalidRecordsAreRejected(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_000_000, 0)
	record := func(ages ...time.Duration) citronquarantine.Record {
		var r citronquarantine.Record
		for i, a := range ages {
			r = r.WithCrash(citronquarantine.Crash{Engine: uint64(i), At: now.Add(-a)})
		}
		return r
	}
	oversized := make([]citronquarantine.Entry, citronquarantine.MaxGossipRecords+1)
	for i := range oversized {
		oversized[i] = citronquarantine.Entry{Fingerprint: request(i), Record: record(0)}
	}
	for _, received := range [][]citronquarantine.Entry{
		{{Fingerprint: request(1)}},
		{{Fingerprint: request(1), Record: record(0, 0, 0)}, {Fingerprint: request(2), Record: record(0, -time.Second)}},
		{{Fingerprint: request(1), Record: record(0, 0, 48*time.Hour)}},
		oversized,
	} {
		l, _ := newLedger("n1")
		_, err := l.Merge(received)
		is.True(err != nil)
		is.True(l.Empty())
	}
}

// Guards against nodes that quarantine different requests for good. Whatever the order and
// number of the messages between them, three nodes must have the same checksum once each
// has sent its records to the next one, twice around.
func TestNodesAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		clock := citronclock.NewManual(time.Unix(1_000_000, 0))
		nodes := make([]*citronquarantine.Ledger, 3)
		for i := range nodes {
			nodes[i] = citronquarantine.New(fmt.Sprintf("n%d", i), clock)
		}
		send := func(from, to int) {
			if _, err := nodes[to].Merge(nodes[from].All()); err != nil {
				t.Fatal(err)
			}
		}
		node := rapid.IntRange(0, len(nodes)-1)
		which := rapid.IntRange(0, 4)
		t.Repeat(map[string]func(*rapid.T){
			"crash": func(t *rapid.T) {
				nodes[node.Draw(t, "node")].RecordCrash(request(which.Draw(t, "request")), fmt.Sprintf("i-%d", rapid.IntRange(0, 9).Draw(t, "engine")), time.Time{})
			},
			"run":  func(t *rapid.T) { nodes[node.Draw(t, "node")].RecordSuccess(request(which.Draw(t, "request"))) },
			"tell": func(t *rapid.T) { send(node.Draw(t, "from"), node.Draw(t, "to")) },
			"wait": func(*rapid.T) { clock.Advance(time.Second) },
		})
		for range 2 {
			for i := range nodes {
				send(i, (i+1)%len(nodes))
			}
		}
		for i := range nodes {
			if nodes[i].Checksum() != nodes[0].Checksum() {
				t.Fatalf("node %d: checksum of the records differs from that of node 0", i)
			}
		}
	})
}

// FuzzFingerprintUnmarshal guards against a text of another length that is taken for a
// fingerprint.
func FuzzFingerprintUnmarshal(f *testing.F) {
	f.Add("")
	f.Add(request(1).String())
	f.Fuzz(func(t *testing.T, text string) {
		var p citronquarantine.Fingerprint
		if p.UnmarshalText([]byte(text)) == nil && len(text) != len(p.String()) {
			t.Fatalf("fingerprint %q of invalid length was accepted", text)
		}
	})
}

// Guards against messages that saturate the links of a large fleet. Engines that end at
// once leave hundreds of records with a single crash, all of harmless requests. Such a
// record must cause no message of its own and must not be part of what nodes compare; a
// message carries at most eight of them. A second crash of a request is sent at once.
func TestSingleCrashesAreGossipedSparingly(t *testing.T) {
	is := is.New(t)
	l, clock := newLedger("n1")
	updates := 0
	l.OnChange(func() { updates++ })
	for i := range 300 {
		crash(l, request(i), i%8, 1)
	}
	for i := range 200 {
		l.RecordSuccess(request(i))
	}
	is.Equal(updates, 0)
	is.True(len(l.Recent()) <= 8)
	is.Equal(len(l.All()), 0)
	is.Equal(l.Checksum(), uint64(0))
	crash(l, request(299), 20, 1)
	is.Equal(updates, 1)
	is.Equal(l.Recent()[0].Fingerprint, request(299)) // records with more crashes come first
	clock.Advance(3 * time.Second)
	is.Equal(len(l.Recent()), 0)
	is.Equal(len(l.All()), 1)
}

// Guards against a node that takes no records at all from another, because one request has
// crashed engines for so long that its first crash is older than a record is kept after its
// last one.
func TestRecordWithOldCrashesIsMerged(t *testing.T) {
	is := is.New(t)
	l, clock := newLedger("n1")
	p := request(1)
	crash(l, p, 0, 2)
	for i, wait := range []time.Duration{9 * time.Minute, 10 * time.Minute, 11 * time.Minute, 13 * time.Minute, 17 * time.Minute, 25 * time.Minute} {
		clock.Advance(wait)
		crash(l, p, 2+i, 1)
	}
	crash(l, request(2), 100, 3)
	is.Equal(len(l.All()), 2)
	other := citronquarantine.New("n2", clock)
	_, err := other.Merge(l.All())
	is.NoErr(err)
	_, quarantined := other.Admit(request(2)).(citronquarantine.Quarantined)
	is.True(quarantined)
}

// Guards against a request that is quarantined again after a successful run cleared it: the
// record that says so must live as long as the uncleared one of a node that does not know it.
func TestClearanceOutlivesUnclearedRecords(t *testing.T) {
	is := is.New(t)
	l, clock := newLedger("n1")
	other := citronquarantine.New("n2", clock)
	p := request(1)
	crash(l, p, 0, 3)
	_, err := other.Merge(l.All())
	is.NoErr(err)
	clock.Advance(2 * time.Minute)
	l.RecordSuccess(p)
	clock.Advance(5 * time.Minute)
	_, err = l.Merge(other.All()) // n2 was cut off all the while
	is.NoErr(err)
	crash(l, p, 3, 1)
	_, quarantined := l.QuarantinedFor(p)
	is.True(!quarantined)
	clock.Advance(time.Hour)
	l.All()
	known, _ := l.Count()
	is.Equal(known, 0)
}
