package citrontable_test

import (
	"testing"

	"citrondeck.dev/citrondeck/citrontable"
	"github.com/matryer/is"
)

// Guards against priorities that take effect where no route asks for it, against values out
// of range that become a level of their own, and against a customer's priority that is
// ignored.
func TestLevelsOfStreams(t *testing.T) {
	is := is.New(t)
	stream := func(name, service string, priority int) citrontable.Route {
		return citrontable.Route{Name: name, Kind: citrontable.Streaming, Priority: priority, Services: []citrontable.WeightedService{{Service: service, Weight: 1}}}
	}
	urgent, usual, batch, other := stream("urgent", "m", -3), stream("usual", "m", 2), stream("batch", "m", 1_000_000_000), stream("other", "same", 2)
	unary := stream("unary", "m", 1)
	unary.Kind = citrontable.Safe
	five := 5
	vip := citrontable.Customer{Name: "vip", Keys: []string{"k"}, Priority: &five}
	table := citrontable.New(1, []citrontable.Route{urgent, usual, batch, other, unary}, nil, []citrontable.Customer{vip}, citrontable.Limits{})
	is.Equal(table.Level("m", urgent, citrontable.Customer{}), citrontable.Level{Priority: 0, MoreUrgent: []int{}})
	is.Equal(table.Level("m", usual, citrontable.Customer{}), citrontable.Level{Priority: 2, MoreUrgent: []int{0}})
	is.Equal(table.Level("m", usual, vip), citrontable.Level{Priority: 5, MoreUrgent: []int{0, 2}})
	is.Equal(table.Level("m", batch, citrontable.Customer{}), citrontable.Level{Priority: 9, MoreUrgent: []int{0, 2, 5}})
	is.Equal(len(table.Level("same", other, vip).MoreUrgent), 0)
}
