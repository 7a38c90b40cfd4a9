package citronlist

import (
	"context"
)

// RecordRestart records that the engine with the given instance name was started at
// startMS, in Unix milliseconds. It ignores a start that is not later than the one already
// known, and engines whose entry gives no start time.
func (l *List) RecordRestart(ctx context.Context, instance string, startMS int64) {
	key := l.set.Prefix + instance
	e, ok := l.entries[key]
	if !ok || e.engine.StartMS == 0 || e.engine.StartMS >= startMS {
		return
	}
	old := e.engine
	e.engine = old.Restarted(startMS)
	l.setEntry(key, e)
	l.version++
	l.reportEnded(ctx, old, e.engine.ID)
}

// RestartTimes returns the start times of the engines that are known to have started later
// than their entries say, by instance name.
func (l *List) RestartTimes() map[string]int64 {
	startTimes := map[string]int64{}
	for key := range l.index.restarted {
		e := l.entries[key].engine
		startTimes[e.Instance] = e.StartMS
	}
	return startTimes
}
