package citronpool_test

import (
	"testing"
	"time"

	"citrondeck.dev/citrondeck/citronmodel"
	"citrondeck.dev/citrondeck/citronpool"
	"github.com/matryer/is"
)

// Guards against a cool-down that is forgotten when the engine's entry goes and comes back,
// and against one that binds requests to another process at the same ID.
func TestCooldownOutlivesEntryButNotProcess(t *testing.T) {
	is := is.New(t)
	listed := []citronmodel.Engine{{ID: "i1", Service: "app", Addr: "x:1"}}
	now := time.Now()
	v := citronpool.Build(listed, nil)
	e, _ := v.ByID("i1")
	e.CoolDown(now, time.Hour)
	v = citronpool.Build(nil, v)
	v.TakeLeaving(now.Add(time.Minute))
	v = citronpool.Build(listed, v)
	e, _ = v.ByID("i1")
	is.Equal(e.Admission(now), citronpool.CoolingDown{Left: time.Hour})
	is.True(!e.Usable(now) && e.Healthy(now))

	v = citronpool.Build(nil, v)
	e.MarkReplaced(now)
	v = citronpool.Build(listed, v)
	e, _ = v.ByID("i1")
	is.Equal(e.Admission(now), citronpool.Open{})

	e.CoolDown(now, time.Second)
	v = citronpool.Build(nil, v)
	v.TakeLeaving(now.Add(time.Second)) // the cool-down has ended: its state is dropped
	v = citronpool.Build(listed, v)
	later, _ := v.ByID("i1")
	is.True(later.State != e.State)
}

// Guards against losing an engine's statement that it is leaving if the engine is not in
// the list at that moment.
func TestStatementToLeaveIsTakenOnce(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	v := citronpool.Build([]citronmodel.Engine{{ID: "i1", Service: "app", Addr: "x:1"}}, nil)
	e, _ := v.ByID("i1")
	v = citronpool.Build(nil, v)
	is.True(e.MarkLeaving())
	is.True(!e.MarkLeaving())
	is.Equal(e.Admission(now), citronpool.Leaving{})
	is.Equal(v.TakeLeaving(now), []string{"i1"})
	is.Equal(len(v.TakeLeaving(now)), 0)
}
