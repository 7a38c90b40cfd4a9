package citronpool_test

import (
	"fmt"
	"testing"
	"time"

	"citrondeck.dev/citrondeck/citronmodel"
	"citrondeck.dev/citrondeck/citronpool"
	"pgregory.net/rapid"
)

// cooldownModel is the oracle for the cool-downs of the incarnations of a few engines.
type cooldownModel struct {
	view   *citronpool.View
	now    time.Time
	listed map[string]citronmodel.Engine
	// until holds the end of the cool-down of each incarnation, by engine ID.
	until map[string]time.Time
	// held holds engines that requests in flight still use, also of earlier lists.
	held map[string]*citronpool.Engine
}

// rebuild applies the list of engines to the view.
func (m *cooldownModel) rebuild() {
	var engines []citronmodel.Engine
	for i := range 4 {
		if e, ok := m.listed[fmt.Sprintf("i%d", i)]; ok {
			engines = append(engines, e)
		}
	}
	m.view = citronpool.Build(engines, m.view)
	for _, e := range engines {
		m.held[e.ID], _ = m.view.ByID(e.ID)
	}
}

// check compares the admission of every listed engine with the oracle.
func (m *cooldownModel) check(t *rapid.T) {
	for _, listed := range m.listed {
		e, ok := m.view.ByID(listed.ID)
		if !ok {
			t.Fatalf("%s is not in the view", listed.ID)
		}
		left := max(0, m.until[listed.ID].Sub(m.now))
		if got := e.CoolingFor(m.now); got != left {
			t.Fatalf("%s cools down for %v, want %v", listed.ID, got, left)
		}
		if _, open := e.Admission(m.now).(citronpool.Open); open != (left == 0) || left > 0 && e.Usable(m.now) {
			t.Fatalf("%s: %T and usable=%t with %v of its cool-down left", listed.ID, e.Admission(m.now), e.Usable(m.now), left)
		}
	}
}

// TestCooldownsEqualModel checks cool-downs against an oracle while engines join, go, come
// back and restart, and while requests succeed, fail and are refused in any order. It guards
// against a cool-down that any of these ends early or prolongs.
func TestCooldownsEqualModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &cooldownModel{now: time.Now(), listed: map[string]citronmodel.Engine{}, until: map[string]time.Time{}, held: map[string]*citronpool.Engine{}}
		m.rebuild()
		instance := rapid.Custom(func(t *rapid.T) string { return fmt.Sprintf("i%d", rapid.IntRange(0, 3).Draw(t, "n")) })
		anyHeld := func(t *rapid.T) *citronpool.Engine {
			if len(m.held) == 0 {
				t.Skip()
			}
			var ids []string
			for i := range 4 {
				for start := range int64(5) {
					if id := citronmodel.IncarnationID(fmt.Sprintf("i%d", i), start+1); m.held[id] != nil {
						ids = append(ids, id)
					}
				}
			}
			return m.held[rapid.SampledFrom(ids).Draw(t, "engine")]
		}
		t.Repeat(map[string]func(*rapid.T){
			"": m.check,
			"join or restart": func(t *rapid.T) {
				name := instance.Draw(t, "instance")
				start := rapid.Int64Range(1, 5).Draw(t, "start")
				m.listed[name] = citronmodel.Engine{ID: citronmodel.IncarnationID(name, start), Instance: name, StartMS: start, Service: "app", Addr: name + ":1"}
				m.rebuild()
			},
			"go": func(t *rapid.T) {
				delete(m.listed, instance.Draw(t, "instance"))
				m.rebuild()
			},
			"pass time": func(t *rapid.T) {
				m.now = m.now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
			},
			"refuse": func(t *rapid.T) {
				e, wait := anyHeld(t), time.Duration(rapid.IntRange(0, 4000).Draw(t, "ms"))*time.Millisecond
				e.CoolDown(m.now, wait)
				if until := m.now.Add(wait); until.After(m.until[e.ID]) {
					m.until[e.ID] = until
				}
			},
			"succeed": func(t *rapid.T) { anyHeld(t).RecordResponse(m.now.Add(-time.Second), m.now) },
			"avoid":   func(t *rapid.T) { anyHeld(t).Avoid(m.now, time.Millisecond) },
			"tick":    func(*rapid.T) { m.view.TakeLeaving(m.now) },
		})
	})
}
