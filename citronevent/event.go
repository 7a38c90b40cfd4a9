// Package citronevent defines the catalogue of log events.
//
// Each event has a stable number, a name, a level and a one-line meaning. The
// table in docs/EVENTS.md is the output of `citrondeck events`; a test checks that
// the page contains it.
//
// Components log through Log:
//
//	citronevent.Log(ctx, logger, citronevent.ConfigApplied, "revision", rev)
package citronevent

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"sort"
)

// Event is the stable number of a log event.
type Event int

// Numbers are never reused. The hundreds group events by role: 100 for
// processes, 200 for the configuration, 300 for entries, 500 for forwarding and
// 600 for the control plane of nodes.
const (
	ProcessStarted  Event = 100
	ProcessStopping Event = 101
	ProcessStopped  Event = 102
	SettingsInvalid Event = 103

	ConfigApplied    Event = 200
	ConfigRejected   Event = 201
	ConfigStale      Event = 202
	ConfigKVDown     Event = 203
	ConfigApplyRace  Event = 204
	ConfigAudited    Event = 205
	InstancesChanged Event = 206

	RequestRejected     Event = 300
	RequestNotRun       Event = 301
	RequestUnknown      Event = 302
	StageFailed         Event = 303
	StageReplaced       Event = 304
	RequestDuplicate    Event = 305
	RequestServed       Event = 306
	LedgerReadBack      Event = 307
	UpstreamLeaving     Event = 308
	DrainStarted        Event = 309
	DrainDone           Event = 310
	DiscoveryRegistered Event = 311
	UpstreamAvoided     Event = 312
	UpstreamBack        Event = 313
	UpstreamFrozen      Event = 314
	RequestOverloaded   Event = 315
	StageMoved          Event = 316
	LedgerRetry         Event = 317

	ForwardRefused     Event = 500
	AttemptFailed      Event = 501
	StreamBroken       Event = 502
	HopReplaced        Event = 503
	RepathFailed       Event = 504
	AnswerSampled      Event = 505
	StreamLate         Event = 506
	StreamAsked        Event = 507
	RunCrashed         Event = 508
	RequestQuarantined Event = 509
	LimitChanged       Event = 510
	LimitInvalid       Event = 511
	LimitHeld          Event = 512

	TableApplied     Event = 600
	TableRejected    Event = 601
	EnginesChanged   Event = 602
	EngineRejected   Event = 603
	StoreLost        Event = 604
	StoreBack        Event = 605
	MemberJoined     Event = 606
	MemberLost       Event = 607
	LeaderElected    Event = 608
	LeaderResigned   Event = 609
	PlacePlanned     Event = 610
	PlaceOrdered     Event = 611
	PlaceFailed      Event = 612
	GossipFailed     Event = 613
	LogDropped       Event = 614
	SettingsReload   Event = 615
	EngineDead       Event = 616
	ActingLeader     Event = 617
	EngineRestarted  Event = 618
	EntriesRetained  Event = 619
	StoreUnavailable Event = 620
	EnginesLearned   Event = 621

	SuspectsRejected  Event = 622
	QuarantineUnsaved Event = 623
	StoreRestored     Event = 624
	LimitsRejected    Event = 625
	PermitFailed      Event = 626

	// 400 to 403 are reserved.
)

// entry is the catalogue's description of an event.
type entry struct {
	level   slog.Level
	name    string
	meaning string
}

// catalogue describes every event. Log writes its levels and names; the meanings
// are for readers of the log.
var catalogue = map[Event]entry{
	ProcessStarted:  {slog.LevelInfo, "process.started", "a process is listening; gives its role, address and zone"},
	ProcessStopping: {slog.LevelInfo, "process.stopping", "a stop signal arrived; the process drains before it exits"},
	ProcessStopped:  {slog.LevelInfo, "process.stopped", "the process has finished its work and exits"},
	SettingsInvalid: {slog.LevelError, "settings.invalid", "the settings file is invalid; the process does not start"},

	ConfigApplied:    {slog.LevelInfo, "config.applied", "an entry activated a new fleet configuration; gives its revision"},
	ConfigRejected:   {slog.LevelError, "config.rejected", "a fleet text is invalid and was not activated; the last valid one stays active"},
	ConfigStale:      {slog.LevelWarn, "config.stale", "the KV service returned a revision lower than the active one; it was ignored"},
	ConfigKVDown:     {slog.LevelWarn, "config.kv_down", "the KV service did not answer; the active configuration is kept"},
	ConfigApplyRace:  {slog.LevelWarn, "config.apply_race", "apply lost a compare-and-swap to another operator's change; nothing was written"},
	ConfigAudited:    {slog.LevelInfo, "config.audited", "apply wrote a fleet text and its audit record"},
	InstancesChanged: {slog.LevelInfo, "instances.changed", "the instance list reported instances joining or leaving"},

	RequestRejected:     {slog.LevelWarn, "request.rejected", "a request was rejected before any upstream received it (bad input, unknown service)"},
	RequestNotRun:       {slog.LevelWarn, "request.not_run", "a request was answered 'not run': no upstream received it"},
	RequestUnknown:      {slog.LevelWarn, "request.unknown", "a request was answered 'outcome unknown': an upstream may have run it"},
	StageFailed:         {slog.LevelWarn, "stage.failed", "a pipeline stage failed mid-request; the stage is retried on another engine"},
	StageReplaced:       {slog.LevelInfo, "stage.replaced", "a failed stage was replaced and the request resumed with a new attempt"},
	RequestDuplicate:    {slog.LevelInfo, "request.duplicate", "a non-idempotent request was sent again with a known idempotency key; it was not run again"},
	RequestServed:       {slog.LevelDebug, "request.served", "a request was answered in full"},
	LedgerReadBack:      {slog.LevelWarn, "ledger.read_back", "the reply to a ledger write was lost; the entry read the key back to learn the outcome"},
	UpstreamLeaving:     {slog.LevelInfo, "upstream.leaving", "an upstream announced that it is leaving; this entry sends it no new work"},
	DrainStarted:        {slog.LevelInfo, "drain.started", "an entry or node began to drain; it announces that it is leaving and finishes the requests in flight"},
	DrainDone:           {slog.LevelInfo, "drain.done", "an entry or node finished draining; a node gives how many requests are still in flight"},
	DiscoveryRegistered: {slog.LevelInfo, "discovery.registered", "the entry holds its discovery lease in the KV service"},
	UpstreamAvoided:     {slog.LevelWarn, "upstream.avoided", "a back end failed a call or a health check; it gets no new work until a probe finds it healthy"},
	UpstreamBack:        {slog.LevelInfo, "upstream.back", "a probe found an avoided back end healthy; it gets new work again"},
	UpstreamFrozen:      {slog.LevelWarn, "upstream.frozen", "a back end answered neither its calls in flight nor two probes; its calls were canceled"},
	RequestOverloaded:   {slog.LevelWarn, "request.overloaded", "a request was rejected before anything was sent: its service is at capacity"},
	StageMoved:          {slog.LevelInfo, "stage.moved", "a request was moved off an engine that is leaving, together with its KV cache"},
	ForwardRefused:      {slog.LevelWarn, "forward.refused", "the node itself answered a request with an error; gives the reason and how long the request was held"},
	AttemptFailed:       {slog.LevelWarn, "attempt.failed", "an engine gave no usable response to a call; gives what is known about the failure"},
	StreamBroken:        {slog.LevelWarn, "stream.broken", "a stream ended before its last event and could not be resumed"},
	HopReplaced:         {slog.LevelWarn, "part.replaced", "an engine on a running stream's path died, stalled or is leaving; the stream moves to another path"},
	RepathFailed:        {slog.LevelWarn, "repath.failed", "an engine did not move a running request to another path"},
	StreamLate:          {slog.LevelInfo, "stream.late", "a stream completed late: its first event or a pause between events took longer than its route's target; gives how often its path changed (moves)"},
	StreamAsked:         {slog.LevelInfo, "stream.asked", "the first engine of a stalled stream reported which requests wait for another engine"},
	RunCrashed:          {slog.LevelWarn, "run.crashed", "an engine ended during a run that had just begun; gives the request's fingerprint and the number of such engines counted for it (crashes)"},
	RequestQuarantined:  {slog.LevelWarn, "request.barred", "a request during which several engines crashed is quarantined: no engine gets it for a while; gives its fingerprint, the number of crashes and whether this node or another one saw the last crash (source)"},
	LimitChanged:        {slog.LevelInfo, "limit.named", "an engine's response changed or removed (limited=false) its rate limit; gives the requests per second that it accepts from all nodes together"},
	LimitInvalid:        {slog.LevelWarn, "limit.invalid", "an engine's response carried a malformed rate limit, which was ignored; only the first one from each engine is logged"},
	LimitHeld:           {slog.LevelInfo, "limit.held", "an engine's rate limit kept a request from being sent to it at once: the request waits for that engine or tries another one (outcome=denied); only the first denial of each request is logged"},
	AnswerSampled:       {slog.LevelInfo, "answer.sampled", "a request was answered in full; only a sample of these is logged"},

	TableApplied:     {slog.LevelInfo, "table.applied", "a node activated a new version of the configuration"},
	TableRejected:    {slog.LevelError, "table.rejected", "a configuration could not be read; the active one is kept"},
	EnginesChanged:   {slog.LevelInfo, "engines.changed", "the list of engines changed; gives its revision and what changed"},
	EnginesLearned:   {slog.LevelDebug, "engines.heard", "another node sent a newer list of engines; gives its revision"},
	EngineRejected:   {slog.LevelError, "engine.rejected", "an entry in the list of engines could not be read and is skipped"},
	StoreLost:        {slog.LevelWarn, "store.lost", "the store does not answer this node; the last known state stays in effect"},
	StoreBack:        {slog.LevelInfo, "store.back", "the store answers this node again"},
	MemberJoined:     {slog.LevelInfo, "member.joined", "other nodes appeared, changed their state or came back since the last tick; names a few, and counts the nodes that accept callers (ready) and those that are leaving"},
	MemberLost:       {slog.LevelWarn, "member.lost", "other nodes sent no update for too long and did not answer a call; gives how many, names a few, and gives the age of the first one's last update"},
	LeaderElected:    {slog.LevelInfo, "leader.elected", "this node holds the lease that allows it to place layers"},
	LeaderResigned:   {slog.LevelWarn, "leader.resigned", "this node lost the leader lease or could not renew it in time; it sends no more placement orders"},
	PlacePlanned:     {slog.LevelInfo, "place.planned", "the leader assigned an engine a different layer range; gives the old and the new range"},
	PlaceOrdered:     {slog.LevelInfo, "place.ordered", "an engine accepted an order to hold a range of layers"},
	PlaceFailed:      {slog.LevelWarn, "place.failed", "an engine rejected or did not answer a placement order; the next decision is based on the state that the engine reports"},
	GossipFailed:     {slog.LevelDebug, "gossip.failed", "another node did not answer a gossip exchange"},
	LogDropped:       {slog.LevelWarn, "log.dropped", "log lines were dropped because the log reader was too slow or an event exceeded its rate; gives how many"},
	ActingLeader:     {slog.LevelWarn, "leader.stands_in", "no node leads and the store does not answer; this node is acting leader and places layers until either changes"},
	EngineDead:       {slog.LevelWarn, "engine.dead", "an engine that other nodes reported dead (reports gives how many) did not answer the leader either; its layers are placed elsewhere"},
	EngineRestarted:  {slog.LevelWarn, "engine.reborn", "an engine restarted at its address; its previous incarnation and the requests running there have ended"},
	EntriesRetained:  {slog.LevelInfo, "entries.kept", "the set of engines retained although their entries are missing changed; gives how many are retained (kept), some of those that changed, and the reason"},
	StoreUnavailable: {slog.LevelWarn, "store.away", "this node began (away=true) or ceased (away=false) to treat the store as unavailable to all nodes that it hears: an outage long enough for entries to expire, and a grace time after it; gives how many of these nodes have no answer (unanswered), have the store back after such an outage (back), were answered recently (answered) and had no such outage (served), and this node's last failed call"},
	SettingsReload:   {slog.LevelInfo, "settings.reload", "a reload was requested; the bounds in the settings file are in effect"},

	StoreRestored:     {slog.LevelWarn, "store.returned", "the store was restored from an older copy; gives the new revision of its list of engines (era.count), the last one known before (was), and how many restored entries this node knows to be outdated (overtaken)"},
	QuarantineUnsaved: {slog.LevelWarn, "barred.unsaved", "the record of a quarantined request could not be written to the store; the write is retried"},
	LimitsRejected:    {slog.LevelWarn, "limits.rejected", "another node sent an invalid message about engines' rate limits; the whole message was ignored, and only the first one from each node is logged"},
	PermitFailed:      {slog.LevelDebug, "permit.failed", "the permit issuer of a rate-limited engine did not answer; the request goes to another engine"},
	SuspectsRejected:  {slog.LevelWarn, "suspects.rejected", "another node sent an invalid message about requests that crash engines; the whole message was ignored, and only the first one from each node is logged"},

	LedgerRetry: {slog.LevelWarn, "ledger.retry", "recording an outcome in the ledger or releasing a claim failed and is retried"},
}

// Log writes event e to l at the event's level, with its name as the message and
// its number under the key "event". An event that is not in the catalogue is
// logged as an error named "unknown".
func Log(ctx context.Context, l *slog.Logger, e Event, args ...any) {
	c, ok := catalogue[e]
	if !ok {
		c = entry{slog.LevelError, "unknown", ""}
	}
	if !l.Enabled(ctx, c.level) {
		return
	}
	out := append([]any{"event", int(e)}, args...)
	for i, a := range out {
		if err, ok := a.(error); ok {
			out[i] = err.Error() // without its stack trace, in which the message is hard to find
		}
	}
	l.Log(ctx, c.level, c.name, out...)
}

// WriteCatalogue writes the catalogue to w as a Markdown table, sorted by number.
func WriteCatalogue(w io.Writer) error {
	keys := make([]int, 0, len(catalogue))
	for k := range catalogue {
		keys = append(keys, int(k))
	}
	sort.Ints(keys)
	if _, err := fmt.Fprintln(w, "| event | name | level | meaning |\n| --- | --- | --- | --- |"); err != nil {
		return err
	}
	for _, k := range keys {
		c := catalogue[Event(k)]
		if _, err := fmt.Fprintf(w, "| %d | %s | %s | %s |\n", k, c.name, c.level, c.meaning); err != nil {
			return err
		}
	}
	return nil
}
