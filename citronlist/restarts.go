package citronlist

import (
	"context"
)

// RecordRestart records that the engine with the given instance name has reported a start
// at born, later than its entry says. It ignores engines whose entry gives no start time.
func (l *List) RecordRestart(ctx context.Context, instance string, born int64) {
	key := l.set.Prefix + instance
	e, ok := l.entries[key]
	if !ok || e.engine.StartMS == 0 || e.engine.StartMS >= born {
		return
	}
	old := e.engine
	e.engine = old.Restarted(born)
	l.setEntry(key, e)
	l.version++
	l.reportEnded(ctx, old, e.engine.ID)
}

// RestartTimes returns the start times of the engines that are known to have started later
// than their entries say, by instance name.
func (l *List) RestartTimes() map[string]int64 {
	starts := map[string]int64{}
	for key := range l.index.restarted {
		e := l.entries[key].engine
		starts[e.Instance] = e.StartMS
	}
	return starts
}
