package citronlist

import (
	"context"
)

// StartedAnew takes an engine's own word that it started anew; its entry still
// tells of the start before.
func (l *List) StartedAnew(ctx context.Context, instance string, born int64) {
	key := l.set.Prefix + instance
	e, ok := l.entries[key]
	if !ok || e.engine.Born == 0 || e.engine.Born >= born {
		return
	}
	old := e.engine
	e.engine = old.Reborn(born)
	l.store(key, e)
	l.version++
	l.end(ctx, old, e.engine.ID)
}

// Starts are the engines, by their name in the list, that are known to have
// started later than their entries tell.
func (l *List) Starts() map[string]int64 {
	starts := map[string]int64{}
	for key := range l.index.reborn {
		e := l.entries[key].engine
		starts[e.Instance] = e.Born
	}
	return starts
}
