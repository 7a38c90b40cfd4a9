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

func request(i int) citronquarantine.Print {
	return citronquarantine.PrintOf("council", "POST", "h", "/a", fmt.Append(nil, i))
}

// crash has engines end under a request, the first with number from.
func crash(l *citronquarantine.Ledger, p citronquarantine.Print, from, count int) {
	for i := range count {
		l.Crashed(p, fmt.Sprintf("i-%d", from+i), time.Time{})
	}
}

func Example() {
	l, _ := newLedger("n1")
	p := citronquarantine.PrintOf("council", "POST", "example.org", "/nest/7", []byte("a plan"))
	for _, engine := range []string{"i-1", "i-2", "i-2", "i-3"} {
		r, news := l.Crashed(p, engine, time.Time{})
		fmt.Println(engine, r.Standing(), news)
	}
	_, barred := l.Admit(p).(citronquarantine.Barred)
	fmt.Println("barred:", barred)
	// Output:
	// i-1 1 true
	// i-2 2 true
	// i-2 2 false
	// i-3 3 true
	// barred: true
}

func TestTwoCrashesLeaveOneRunAtATime(t *testing.T) {
	is := is.New(t)
	l, _ := newLedger("n1")
	p := request(1)
	crash(l, p, 1, 2)
	trial, ok := l.Admit(p).(citronquarantine.Trial)
	is.True(ok)
	_, ok = l.Admit(p).(citronquarantine.Barred)
	is.True(ok) // another is on trial
	trial.End()
	_, ok = l.Admit(p).(citronquarantine.Trial)
	is.True(ok)
	_, ok = l.Admit(request(2)).(citronquarantine.Free)
	is.True(ok)
}

// Guards against counting the crashes of an engine once that starts again under the
// same ID, and against counting one crash twice.
func TestEngineThatIsBackCrashesAgain(t *testing.T) {
	is := is.New(t)
	l, clock := newLedger("n1")
	p := request(1)
	for i := range 3 {
		began := clock.Now()
		clock.Advance(100 * time.Millisecond)
		for range 2 {
			r, _ := l.Crashed(p, "i-1", began)
			is.Equal(r.Standing(), i+1)
		}
		clock.Advance(3 * time.Second)
	}
}

// Guards against a sound request that stays barred after it was on three engines
// that crashed for other reasons.
func TestRequestThatRunsWellIsCleared(t *testing.T) {
	is := is.New(t)
	l, clock := newLedger("n1")
	p := request(1)
	crash(l, p, 1, 3)
	clock.Advance(2 * time.Minute)
	_, ok := l.Admit(p).(citronquarantine.Trial)
	is.True(ok)
	l.Succeeded(p)
	_, ok = l.Admit(p).(citronquarantine.Free)
	is.True(ok)
	l.Crashed(p, "i-2", time.Time{}) // late news of a crash from before
	_, ok = l.Admit(p).(citronquarantine.Free)
	is.True(ok)
}

// Guards against a request that crashes three more engines each time it is let
// through again.
func TestEachCrashAfterTheThirdDoublesTheWait(t *testing.T) {
	is := is.New(t)
	l, clock := newLedger("n1")
	p := request(1)
	crash(l, p, 1, 3)
	crashes := 3
	for range 24 * 60 {
		clock.Advance(time.Minute)
		if trial, ok := l.Admit(p).(citronquarantine.Trial); ok {
			crashes++
			l.Crashed(p, fmt.Sprintf("i-%d", crashes), time.Time{})
			trial.End()
		}
	}
	is.True(crashes <= 3+5+24*2) // five shorter waits, then two an hour
	l, clock = newLedger("n1")
	crash(l, p, 1, 3)
	clock.Advance(30 * time.Second)
	v, ok := l.Admit(p).(citronquarantine.Barred)
	is.True(ok)
	is.True(v.Left >= 30*time.Second && v.Left <= time.Minute)
	is.Equal(v.Crashes, 3)
}

// Guards against all nodes letting a barred request through at the same moment.
func TestNodesLetARequestThroughOneAfterTheOther(t *testing.T) {
	is := is.New(t)
	p := request(1)
	var open []int
	for s := range 35 {
		n := 0
		for i := range 9 {
			l, clock := newLedger(fmt.Sprintf("n%d", i))
			crash(l, p, 1, 3)
			clock.Advance(time.Minute + time.Duration(s)*time.Second)
			if _, ok := l.Admit(p).(citronquarantine.Trial); ok {
				n++
			}
		}
		open = append(open, n)
	}
	is.True(open[5] <= 4)
	is.Equal(open[34], 9)
}

func TestLedgerIsBounded(t *testing.T) {
	is := is.New(t)
	l, clock := newLedger("n1")
	guilty := request(-1)
	crash(l, guilty, 1, 3)
	for i := range 5000 {
		crash(l, request(i), i, 1+i%2)
	}
	known, barred := l.Count()
	is.Equal(known, 1024)
	is.Equal(barred, 1) // what crashed most is dropped last
	is.Equal(len(l.All()), citronquarantine.MaxGossipRecords)
	is.Equal(l.All()[0].Print, guilty)
	clock.Advance(time.Hour)
	is.Equal(len(l.All()), 0)
	is.True(l.Empty())
}

// Guards against a message that no sound node sends barring a request.
func TestImpossibleRecordsAreRefused(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_000_000, 0)
	record := func(ages ...time.Duration) citronquarantine.Record {
		var r citronquarantine.Record
		for i, a := range ages {
			r = r.WithCrash(citronquarantine.Crash{Engine: uint64(i), At: now.Add(-a)})
		}
		return r
	}
	flood := make([]citronquarantine.Entry, citronquarantine.MaxGossipRecords+1)
	for i := range flood {
		flood[i] = citronquarantine.Entry{Print: request(i), Record: record(0)}
	}
	for _, told := range [][]citronquarantine.Entry{
		{{Print: request(1)}},
		{{Print: request(1), Record: record(0, 0, 0)}, {Print: request(2), Record: record(0, -time.Second)}},
		{{Print: request(1), Record: record(0, 0, 48*time.Hour)}},
		flood,
	} {
		l, _ := newLedger("n1")
		_, err := l.Learn(told)
		is.True(err != nil)
		is.True(l.Empty())
	}
}

// Whatever order nodes hear of each other in, and however often, they end up with
// the same record of each request.
func TestNodesAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		clock := citronclock.NewManual(time.Unix(1_000_000, 0))
		nodes := make([]*citronquarantine.Ledger, 3)
		for i := range nodes {
			nodes[i] = citronquarantine.New(fmt.Sprintf("n%d", i), clock)
		}
		tell := func(from, to int) {
			if _, err := nodes[to].Learn(nodes[from].All()); err != nil {
				t.Fatal(err)
			}
		}
		node := rapid.IntRange(0, len(nodes)-1)
		which := rapid.IntRange(0, 4)
		t.Repeat(map[string]func(*rapid.T){
			"crash": func(t *rapid.T) {
				nodes[node.Draw(t, "node")].Crashed(request(which.Draw(t, "request")), fmt.Sprintf("i-%d", rapid.IntRange(0, 9).Draw(t, "engine")), time.Time{})
			},
			"run":  func(t *rapid.T) { nodes[node.Draw(t, "node")].Succeeded(request(which.Draw(t, "request"))) },
			"tell": func(t *rapid.T) { tell(node.Draw(t, "from"), node.Draw(t, "to")) },
			"wait": func(*rapid.T) { clock.Advance(time.Second) },
		})
		for range 2 {
			for i := range nodes {
				tell(i, (i+1)%len(nodes))
			}
		}
		for i := range nodes {
			if nodes[i].Sum() != nodes[0].Sum() {
				t.Fatalf("node %d knows something else", i)
			}
		}
	})
}

func FuzzPrintUnmarshal(f *testing.F) {
	f.Add("")
	f.Add(request(1).String())
	f.Fuzz(func(t *testing.T, text string) {
		var p citronquarantine.Print
		if p.UnmarshalText([]byte(text)) == nil && len(text) != len(p.String()) {
			t.Fatalf("%q was read", text)
		}
	})
}

// Guards against the links of a large fleet being taken by records of one crash:
// engines that end at once leave hundreds of them, of sound requests.
func TestSingleCrashesAreToldSparingly(t *testing.T) {
	is := is.New(t)
	l, clock := newLedger("n1")
	told := 0
	l.Notify(func() { told++ })
	for i := range 300 {
		crash(l, request(i), i%8, 1)
	}
	for i := range 200 {
		l.Succeeded(request(i))
	}
	is.Equal(told, 0)
	is.True(len(l.Recent()) <= 8)
	is.Equal(len(l.All()), 0)
	is.Equal(l.Sum(), uint64(0))
	crash(l, request(299), 20, 1)
	is.Equal(told, 1)
	is.Equal(l.Recent()[0].Print, request(299)) // what weighs more comes first
	clock.Advance(3 * time.Second)
	is.Equal(len(l.Recent()), 0)
	is.Equal(len(l.All()), 1)
}
