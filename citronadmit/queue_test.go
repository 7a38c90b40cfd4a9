package citronadmit_test

import (
	"slices"
	"testing"

	"citrondeck.dev/citrondeck/citronadmit"
	"pgregory.net/rapid"
)

// queueModel is the oracle for a Queue: it keeps the waiting requests unsorted and
// derives everything from them when asked.
type queueModel struct {
	queue   citronadmit.Queue
	waiting []*modelRequest
	arrived int
	served  float64 // virtual time
}

type modelRequest struct {
	w      *citronadmit.Waiting
	tag    float64
	number int
}

// tagOf returns the virtual finish time of a request that arrives now.
func (m *queueModel) tagOf(r citronadmit.Request) float64 {
	start := m.served
	for _, o := range m.waiting {
		if o.w.Customer == r.Customer {
			start = max(start, o.tag)
		}
	}
	return start + float64(max(1, r.Tokens))/float64(max(1, r.Weight))
}

func (m *queueModel) inOrder() []*modelRequest {
	sorted := slices.Clone(m.waiting)
	slices.SortFunc(sorted, func(a, b *modelRequest) int {
		switch {
		case a.w.Priority != b.w.Priority:
			return a.w.Priority - b.w.Priority
		case a.w.RefusedBefore != b.w.RefusedBefore && a.w.RefusedBefore:
			return -1
		case a.w.RefusedBefore != b.w.RefusedBefore:
			return 1
		case a.tag < b.tag:
			return -1
		case a.tag > b.tag:
			return 1
		}
		return a.number - b.number
	})
	return sorted
}

func (m *queueModel) check(t *rapid.T) {
	want := m.inOrder()
	got := m.queue.InOrder()
	if len(got) != len(want) || m.queue.Len() != len(want) {
		t.Fatalf("%d requests wait, want %d", len(got), len(want))
	}
	for i := range want {
		if got[i] != want[i].w || m.queue.Ahead(got[i]) != i {
			t.Fatalf("position %d: %+v, want %+v; %d ahead", i, got[i].Request, want[i].w.Request, m.queue.Ahead(got[i]))
		}
	}
}

// leave takes a request of the oracle out.
func (m *queueModel) leave(r *modelRequest) {
	m.waiting = slices.DeleteFunc(m.waiting, func(o *modelRequest) bool { return o == r })
	if len(m.waiting) == 0 {
		m.served = 0
	}
}

// TestQueueEqualsSortedSlice checks the order of a Queue against an oracle, while requests
// arrive, are admitted in order or out of it, and give up. It guards against a request that
// is overtaken, and against a customer whose abandoned requests delay its later ones.
func TestQueueEqualsSortedSlice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &queueModel{}
		some := func(t *rapid.T) *modelRequest {
			if len(m.waiting) == 0 {
				t.Skip()
			}
			return rapid.SampledFrom(m.waiting).Draw(t, "request")
		}
		t.Repeat(map[string]func(*rapid.T){
			"": m.check,
			"arrive": func(t *rapid.T) {
				r := citronadmit.Request{
					Customer: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "customer"), Weight: rapid.IntRange(-1, 3).Draw(t, "weight"),
					Tokens: rapid.IntRange(-1, 50).Draw(t, "tokens"), Priority: rapid.IntRange(0, 2).Draw(t, "priority"), RefusedBefore: rapid.Bool().Draw(t, "refused"),
				}
				m.arrived++
				w := m.queue.New(r)
				m.waiting = append(m.waiting, &modelRequest{w, m.tagOf(r), m.arrived})
				m.queue.Push(w)
			},
			"admit": func(t *rapid.T) {
				r := some(t)
				if rapid.Bool().Draw(t, "first") {
					r = m.inOrder()[0]
				}
				m.served = max(m.served, r.tag)
				m.leave(r)
				if !m.queue.Admit(r.w) || m.queue.Remove(r.w) {
					t.Fatal("a request left the queue never or twice")
				}
			},
			"give up": func(t *rapid.T) {
				r := some(t)
				m.leave(r)
				if !m.queue.Remove(r.w) || m.queue.Admit(r.w) {
					t.Fatal("a request left the queue never or twice")
				}
			},
		})
	})
}
