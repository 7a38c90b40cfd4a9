package citronbudget_test

import (
	"fmt"
	"testing"
	"time"

	"citrondeck.dev/citrondeck/citronbudget"
	"github.com/matryer/is"
)

// names returns the names of nodes first to last.
func names(first, last int) (out []string) {
	for i := first; i <= last; i++ {
		out = append(out, fmt.Sprintf("node-%d", i))
	}
	return out
}

// Guards against a share that grows while other nodes are cut off: they may be serving their
// callers with shares of their own. The smaller side gives up its shares before the larger
// one divides them, and takes them up again when the partition heals.
func TestShareOfSilentNodesIsNotDividedAtOnce(t *testing.T) {
	is := is.New(t)
	all := citronbudget.Observation{Alive: names(1, 8), RegisteredRead: true}
	large, small := citronbudget.Observation{Alive: names(1, 5)}, citronbudget.Observation{Alive: names(7, 8)}
	inLarge, inSmall := citronbudget.NewPopulation("node-0", start), citronbudget.NewPopulation("node-6", start)
	is.Equal(inLarge.Update(all, start).Parts, 9)
	is.Equal(inSmall.Update(citronbudget.Observation{Alive: append(names(0, 5), names(7, 8)...), RegisteredRead: true}, start).Parts, 9)
	total := func(at time.Duration) float64 {
		sum := 0.0
		if s := inLarge.Update(large, start.Add(at)); s.Parts > 0 {
			sum += 6 / float64(s.Parts)
		}
		if s := inSmall.Update(small, start.Add(at)); s.Parts > 0 {
			sum += 3 / float64(s.Parts)
		}
		return sum
	}
	for s := 1; s < 300; s++ {
		is.True(total(time.Duration(s)*time.Second) <= 1)
	}
	is.Equal(inLarge.Update(large, start.Add(300*time.Second)).Parts, 6)
	is.Equal(inSmall.Update(small, start.Add(300*time.Second)).Parts, 0)
	is.Equal(inLarge.Update(all, start.Add(301*time.Second)).Parts, 9)
}

// Guards against nodes that start on the smaller side of a partition and divide the whole slack
// among themselves: they know only each other, but the store names the others.
func TestNodesStartedBehindACutHaveNoShare(t *testing.T) {
	is := is.New(t)
	o := citronbudget.Observation{Alive: names(1, 2), Registered: names(0, 8), RegisteredRead: true}
	p := citronbudget.NewPopulation("node-0", start)
	is.Equal(p.Update(o, start.Add(20*time.Second)).Parts, 0)
	is.Equal(p.Count(), 0)
	o.Announced = 9 // a node that knows the population
	is.Equal(p.Update(o, start.Add(21*time.Second)).Parts, 9)
	o.Announced = 0 // that node is silent; there are nine nodes all the same
	is.Equal(p.Update(o, start.Add(22*time.Second)).Parts, 9)
}

// Guards against a share without knowledge of the population: the store was not read, and no
// node that knows it is heard.
func TestUnknownPopulationGivesNoShare(t *testing.T) {
	is := is.New(t)
	p := citronbudget.NewPopulation("node-0", start)
	is.Equal(p.Update(citronbudget.Observation{Alive: names(1, 2)}, start).Parts, 0)
	is.Equal(p.Update(citronbudget.Observation{RegisteredRead: true, Registered: names(0, 0)}, start).Parts, 3) // this node itself is registered
}
