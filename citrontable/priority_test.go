package citrontable_test

import (
	"testing"

	"citrondeck.dev/citrondeck/citrontable"
	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func stream(name string, priority int, services ...string) citrontable.Route {
	r := citrontable.Route{Name: name, Kind: citrontable.Streaming, Priority: priority}
	for _, s := range services {
		r.Services = append(r.Services, citrontable.WeightedService{Service: s, Weight: 1})
	}
	return r
}

// Guards against levels that depend on priorities' values instead of their rank, that
// count unary routes, or that ignore a customer's own priority.
func TestPriorityLevelIsRankAmongStreamingRoutes(t *testing.T) {
	is := is.New(t)
	chat, batch, night := stream("chat", 2, "m"), stream("batch", 10, "m"), stream("night", 500, "m", "n")
	only := stream("only", 7, "single")
	unary := citrontable.Route{Name: "unary", Kind: citrontable.Safe, Priority: 1, Services: chat.Services}
	table := citrontable.New(1, []citrontable.Route{night, chat, unary, batch, batch, only}, nil, nil, citrontable.Limits{})
	check := func(r citrontable.Route, c citrontable.Customer, level, levels int) {
		t.Helper()
		l, n := table.PriorityLevel(r, c)
		is.Equal([]int{l, n}, []int{level, levels})
	}
	check(chat, citrontable.Customer{}, 0, 3)
	check(batch, citrontable.Customer{}, 1, 3)
	check(night, citrontable.Customer{}, 2, 3)
	check(stream("other", 500, "n"), citrontable.Customer{}, 2, 3) // shares a route with m
	check(only, citrontable.Customer{}, 0, 1)
	check(unary, citrontable.Customer{}, 0, 1)
	check(stream("none", 1), citrontable.Customer{}, 0, 1)
	for priority, level := range map[int]int{-5: 0, 0: 0, 5: 0, 6: 1, 11: 1, 254: 1, 255: 2, 9999: 2} {
		check(chat, citrontable.Customer{Priority: &priority}, level, 3)
	}
}

// Guards against an out-of-range priority that is rejected, changes the order of others,
// or is not reported.
func TestOutOfRangePriorityIsClampedAndReported(t *testing.T) {
	is := is.New(t)
	high := 1001
	routes := []citrontable.Route{stream("a", -3, "m"), stream("b", 4, "m"), stream("c", 1_000_000, "m")}
	customers := []citrontable.Customer{{Name: "x", Keys: []string{"k"}, Priority: &high}, {Name: "y"}}
	table := citrontable.New(1, routes, nil, customers, citrontable.Limits{})
	is.Equal(table.ClampedPriorities(), []citrontable.ClampedPriority{{Route: "a", Value: -3}, {Route: "c", Value: 1_000_000, Used: 1000}, {Customer: "x", Value: 1001, Used: 1000}})
	c, ok := table.Customer("k")
	is.True(ok)
	is.Equal(*c.Priority, 1000)
	is.Equal(high, 1001)             // the caller's value is not changed
	is.Equal(routes[0].Priority, -3) // nor its routes
	l, n := table.PriorityLevel(routes[2], citrontable.Customer{})
	is.Equal([]int{l, n}, []int{2, 3})
}

// Guards against levels out of range and against a less urgent priority that gets a more
// urgent level.
func TestPriorityLevelIsMonotoneAndInRange(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		priorities := rapid.SliceOfN(rapid.IntRange(-10, 1100), 1, 12).Draw(rt, "priorities")
		var routes []citrontable.Route
		for _, p := range priorities {
			routes = append(routes, stream("r", p, "m"))
		}
		table := citrontable.New(1, routes, nil, nil, citrontable.Limits{})
		a := rapid.Int().Draw(rt, "a")
		b := rapid.IntMin(a).Draw(rt, "b")
		la, n := table.PriorityLevel(routes[0], citrontable.Customer{Priority: &a})
		lb, _ := table.PriorityLevel(routes[0], citrontable.Customer{Priority: &b})
		if la < 0 || la > lb || lb >= n || n > len(priorities) {
			rt.Fatalf("levels %d and %d of %d for priorities %d and %d among %v", la, lb, n, a, b, priorities)
		}
	})
}
