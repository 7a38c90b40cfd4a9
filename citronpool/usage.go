package citronpool

import (
	"sync"
	"sync/atomic"
	"time"

	"citrondeck.dev/citrondeck/citronusage"
)

// ZoneTokens is the engine cache that requests use in a zone, in tokens: those of other
// nodes and those of this node.
type ZoneTokens struct{ Others, Own int64 }

// usageBoard holds what all views share about the usage of engines.
type usageBoard struct {
	table *citronusage.Table
	zones atomic.Pointer[map[string]ZoneTokens]
	// onInvalid is called with each invalid report of an engine.
	onInvalid atomic.Pointer[func(engine string, err error)]
}

func newUsageBoard() *usageBoard { return &usageBoard{table: citronusage.NewTable()} }

// zone returns the tokens in use in a zone.
func (b *usageBoard) zone(name string) ZoneTokens {
	if zones := b.zones.Load(); zones != nil {
		return (*zones)[name]
	}
	return ZoneTokens{}
}

// Usage is the last usage that an engine reported, and what this node knows of the time
// since.
type Usage struct {
	citronusage.Report
	// Zone are the tokens in use in the engine's zone when the report was recorded.
	Zone ZoneTokens
	// OwnSince is the number of tokens of this node's requests begun at the engine since
	// the report.
	OwnSince int64
}

// RecordUsage records the usage that the engine reported to this node at the given time.
func (e *Engine) RecordUsage(f citronusage.Figures, at time.Time) {
	_ = e.recordUsage(citronusage.Report{Engine: e.usageID, Figures: f, At: at}, citronusage.FromEngine, at)
}

// recordUsage records a report. It returns an error if the report is invalid.
func (e *Engine) recordUsage(r citronusage.Report, source citronusage.Source, now time.Time) error {
	if e.board == nil {
		return nil
	}
	newer, err := e.board.table.Merge(r, source, now)
	if newer && e.board.zones.Load() != nil {
		e.storeUsage(&Usage{Report: r, Zone: e.board.zone(e.Zone)})
	}
	if f := e.board.onInvalid.Load(); err != nil && source == citronusage.FromEngine && f != nil {
		(*f)(e.ID, err)
	}
	return err
}

// storeUsage stores u unless a newer report is stored already.
func (s *State) storeUsage(u *Usage) {
	for {
		known := s.usage.Load()
		if known != nil && known.At.After(u.At) || s.usage.CompareAndSwap(known, u) {
			return
		}
	}
}

// Usage returns the last usage that the engine reported. It returns false if there is no
// fresh report.
func (s *State) Usage(now time.Time) (Usage, bool) {
	u := s.usage.Load()
	if u == nil || !u.Fresh(now) {
		return Usage{}, false
	}
	out := *u
	if s.Tokens() > 0 {
		out.OwnSince = s.begun.since(sinceEpoch(u.At.Add(-reportLag)))
	}
	return out, true
}

// MergeUsage records the report of an engine that another node passed on. It ignores
// engines and incarnations that are not in the view, and returns an error if the report is
// invalid.
func (v *View) MergeUsage(r citronusage.Report, now time.Time) error {
	if err := r.Valid(); err != nil {
		v.board.table.Reject()
		return err
	}
	e, ok := v.byID[v.byUsageID[r.Engine]]
	if !ok || e.Replaced() {
		return nil
	}
	return e.recordUsage(r, citronusage.FromNode, now)
}

// UsageTable returns the table of the usage that engines reported.
func (v *View) UsageTable() *citronusage.Table { return v.board.table }

// OnInvalidUsage sets the function that is called with each invalid report of an engine to
// this node.
func (v *View) OnInvalidUsage(report func(engine string, err error)) {
	v.board.onInvalid.Store(&report)
}

// SetZoneTokens sets the tokens in use in each zone. Reports that are recorded from now on
// are compared with them. Before the first call, reports have no effect on State.Usage.
func (v *View) SetZoneTokens(others, own map[string]int64) {
	zones := make(map[string]ZoneTokens, len(others)+len(own))
	for zone, n := range others {
		zones[zone] = ZoneTokens{Others: n}
	}
	for zone, n := range own {
		z := zones[zone]
		z.Own = n
		zones[zone] = z
	}
	v.board.zones.Store(&zones)
}

const (
	// reportLag is the age of a report when the engine sends it.
	reportLag = 200 * time.Millisecond
	// begunSlot is the resolution in time of begunTokens, and begunSlots the number of
	// slots, which cover citronusage.FreshFor, reportLag and the running slot.
	begunSlot  = 200 * time.Millisecond
	begunSlots = int64((citronusage.FreshFor+reportLag)/begunSlot + 2)
)

// begunTokens counts the tokens of requests that began lately, by time. Its zero value is
// empty.
type begunTokens struct {
	mu    sync.Mutex
	slots [begunSlots]int64
	// last is the number of the latest slot since epoch.
	last int64
}

// slotAt returns the number of the slot of a time in nanoseconds since epoch.
func slotAt(at int64) int64 {
	n := at / int64(begunSlot)
	if at < 0 {
		n--
	}
	return n
}

// slot returns the slot with the given number.
func (b *begunTokens) slot(n int64) *int64 {
	return &b.slots[(n%begunSlots+begunSlots)%begunSlots]
}

func (b *begunTokens) add(tokens, at int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := slotAt(at)
	for k := max(b.last+1, n-begunSlots+1); k <= n; k++ {
		*b.slot(k) = 0
	}
	b.last = max(b.last, n)
	if n > b.last-begunSlots {
		*b.slot(n) += tokens
	}
}

// since returns the tokens begun since the start of the slot that contains the given time.
func (b *begunTokens) since(at int64) int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	var sum int64
	for k := max(slotAt(at), b.last-begunSlots+1); k <= b.last; k++ {
		sum += *b.slot(k)
	}
	return sum
}
