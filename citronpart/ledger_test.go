package citronpart_test

import (
	"testing"
	"time"

	"citrondeck.dev/citrondeck/citronclock"
	"citrondeck.dev/citrondeck/citronpart"
	"citrondeck.dev/citrondeck/citronpoison"
	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// crashUnder reports a crash of an engine under a request with the parts, and advances the
// clock until it counts.
func crashUnder(l *citronpart.Ledger, clock *citronclock.Manual, engine, customer uint64, parts ...citronpoison.Part) {
	l.RecordCrash(engine, citronpoison.Run{Request: engine, Customer: customer, Parts: parts})
	if err := l.AddCrashes(l.TakeUnsent()); err != nil {
		panic(err)
	}
	clock.Advance(1100 * time.Millisecond)
	l.Detect()
}

func refuses(l *citronpart.Ledger, customer uint64, parts ...citronpoison.Part) bool {
	_, refused := l.Check(customer, parts)
	return refused
}

// Guards against a customer that has the parts of other customers refused, by sending them
// together with parts that crash engines.
func TestCustomerCannotHavePartsOfOthersRefused(t *testing.T) {
	is := is.New(t)
	clock := citronclock.NewManual(time.Unix(1_000_000, 0))
	l := citronpart.New(clock)
	const attacker, other = 1, 2
	const shared citronpoison.Part = 5
	l.RecordSuccess([]citronpoison.Part{shared}, clock.Now())
	clock.Advance(time.Second)
	for i := range uint64(8) {
		crashUnder(l, clock, i, attacker, shared, citronpoison.Part(100+i))
	}
	is.True(refuses(l, attacker, shared))
	is.True(!refuses(l, other, shared))
	l.RecordSuccess([]citronpoison.Part{shared}, clock.Now()) // by another customer
	is.True(!refuses(l, attacker, shared))
}

// Guards against refusing what most requests have in common, such as a system prompt, because
// engines end.
func TestCommonPartIsNeverQuarantined(t *testing.T) {
	is := is.New(t)
	clock := citronclock.NewManual(time.Unix(1_000_000, 0))
	l := citronpart.New(clock)
	const common citronpoison.Part = 5
	for engine := range uint64(12) {
		for i := range uint64(10) {
			l.RecordCrash(engine, citronpoison.Run{Request: engine*10 + i, Customer: i, Parts: []citronpoison.Part{common, citronpoison.Part(1000 + engine*10 + i)}})
		}
		is.NoErr(l.AddCrashes(l.TakeUnsent()))
		clock.Advance(2 * time.Second)
		l.Detect()
	}
	is.True(!refuses(l, 1, common))
}

// Guards against a part whose earlier successes outweigh later crashes for good: an update may
// make it crash engines that ran it before.
func TestPartThatRanBeforeIsFoundByMoreCrashes(t *testing.T) {
	is := is.New(t)
	clock := citronclock.NewManual(time.Unix(1_000_000, 0))
	l := citronpart.New(clock)
	const part citronpoison.Part = 5
	l.RecordSuccess([]citronpoison.Part{part}, clock.Now())
	clock.Advance(time.Second)
	crashes := uint64(0)
	for ; !refuses(l, 1, part) && crashes < 10; crashes++ {
		crashUnder(l, clock, crashes, 1+crashes%2, part)
	}
	is.Equal(crashes, uint64(5))
}

// Guards against a trial at every node: of all requests that arrive while a trial is due, a
// node admits one, and none after another node has begun the trial.
func TestNodeOffersOneTrial(t *testing.T) {
	is := is.New(t)
	clock := citronclock.NewManual(time.Unix(1_000_000, 0))
	l := citronpart.New(clock)
	const part citronpoison.Part = 5
	for i := range uint64(3) {
		crashUnder(l, clock, i, 1+i, part)
	}
	offers := func() (trials []citronpart.Trial) {
		for range 10 {
			if v, ok := l.Admit(1, []citronpoison.Part{part}).(citronpart.Trial); ok {
				trials = append(trials, v)
			}
		}
		return trials
	}
	is.Equal(len(offers()), 0)
	clock.Advance(time.Minute)
	trials := offers()
	is.Equal(len(trials), 1)
	clock.Advance(10 * time.Second)
	is.Equal(len(offers()), 1) // the first claim failed
	l.BeginTrial(trials[0])
	clock.Advance(10 * time.Second)
	is.Equal(len(offers()), 0)
}

// Guards against nodes that keep refusing what others admit. Whatever three nodes see and
// whichever messages are lost, they must agree on the quarantined parts once they have exchanged
// all their records a few times: a node may release a part when it hears of it.
func TestLedgersAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		clock := citronclock.NewManual(time.Unix(1_000_000, 0))
		ledgers := []*citronpart.Ledger{citronpart.New(clock), citronpart.New(clock), citronpart.New(clock)}
		parts := []citronpoison.Part{1, 2, 3}
		send := func(to *citronpart.Ledger, records []citronpart.Record) {
			if _, err := to.Merge(records); err != nil {
				t.Fatalf("records of a sound node were rejected: %v", err)
			}
		}
		for i := range rapid.IntRange(1, 60).Draw(t, "steps") {
			l := rapid.SampledFrom(ledgers).Draw(t, "ledger")
			p := rapid.SampledFrom(parts).Draw(t, "part")
			clock.Advance(time.Duration(rapid.IntRange(1, 900).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 3).Draw(t, "action") {
			case 0, 1:
				l.RecordCrash(uint64(i), citronpoison.Run{Request: uint64(i), Customer: uint64(1 + i%2), Parts: []citronpoison.Part{p}})
				if err := l.AddCrashes(l.TakeUnsent()); err != nil {
					t.Fatal(err)
				}
			case 2:
				l.RecordSuccess([]citronpoison.Part{p}, clock.Now())
			case 3:
				other := rapid.SampledFrom(ledgers).Draw(t, "other")
				send(other, l.Recent())
			}
			l.Detect()
		}
		for range 5 {
			for _, from := range ledgers {
				for _, to := range ledgers {
					send(to, from.All())
				}
			}
		}
		for _, p := range parts {
			for _, l := range ledgers[1:] {
				for customer := range uint64(3) {
					if refuses(l, customer, p) != refuses(ledgers[0], customer, p) {
						t.Fatalf("nodes disagree on part %v for customer %d", p, customer)
					}
				}
			}
		}
		if ledgers[0].Checksum() != ledgers[1].Checksum() {
			t.Fatalf("nodes that agree have different checksums: %+v, %+v", ledgers[0].All(), ledgers[1].All())
		}
	})
}

// Guards against counting one crash of an engine that returns under its old identity and
// crashes again and again.
func TestCrashesOfReturningEngineAreCounted(t *testing.T) {
	is := is.New(t)
	clock := citronclock.NewManual(time.Unix(1_000_000, 0))
	l := citronpart.New(clock)
	const part citronpoison.Part = 5
	for i := range uint64(3) {
		l.RecordCrash(1, citronpoison.Run{Request: i, Customer: 1, Parts: []citronpoison.Part{part}})
		is.NoErr(l.AddCrashes(l.TakeUnsent()))
		clock.Advance(3 * time.Second)
		l.Detect()
	}
	is.True(refuses(l, 1, part))
}
