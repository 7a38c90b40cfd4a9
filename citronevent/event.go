// Package citronevent numbers every log event that citrondeck writes.
// Each event has a stable number, a level and a one-line meaning; the
// catalogue in docs/EVENTS.md is the output of `citrondeck events`, so the
// page and the code cannot drift apart.
//
// A component logs through Log:
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

// The catalogue. Numbers are never reused; hundreds group by role.
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

	ForwardRefused Event = 500
	AttemptFailed  Event = 501
	StreamBroken   Event = 502
	PartReplaced   Event = 503
	RepathFailed   Event = 504
	AnswerSampled  Event = 505
	StreamLate     Event = 506
	StreamAsked    Event = 507
	RunCrashed     Event = 508
	RequestBarred  Event = 509
	LimitNamed     Event = 510
	LimitInvalid   Event = 511
	LimitHeld      Event = 512

	TableApplied   Event = 600
	TableRejected  Event = 601
	EnginesChanged Event = 602
	EngineRejected Event = 603
	StoreLost      Event = 604
	StoreBack      Event = 605
	MemberJoined   Event = 606
	MemberLost     Event = 607
	LeaderElected  Event = 608
	LeaderResigned Event = 609
	PlacePlanned   Event = 610
	PlaceOrdered   Event = 611
	PlaceFailed    Event = 612
	GossipFailed   Event = 613
	LogDropped     Event = 614
	SettingsReload Event = 615
	EngineDead     Event = 616
	LeaderStandsIn Event = 617
	EngineReborn   Event = 618
	EntriesKept    Event = 619
	StoreAway      Event = 620
	EnginesHeard   Event = 621

	SuspectsRejected Event = 622
	BarredUnsaved    Event = 623
	StoreReturned    Event = 624
	LimitsRejected   Event = 625
	PermitFailed     Event = 626

	// 400 to 403 are reserved.
)

type entry struct {
	level   slog.Level
	name    string
	meaning string
}

var catalogue = map[Event]entry{
	ProcessStarted:  {slog.LevelInfo, "process.started", "a process is listening; gives its role, address and zone"},
	ProcessStopping: {slog.LevelInfo, "process.stopping", "a stop signal arrived; the process drains before it exits"},
	ProcessStopped:  {slog.LevelInfo, "process.stopped", "the process has finished its work and exits"},
	SettingsInvalid: {slog.LevelError, "settings.invalid", "the settings file failed its check; the process does not start"},

	ConfigApplied:    {slog.LevelInfo, "config.applied", "an entry put a new fleet configuration in force; gives the revision"},
	ConfigRejected:   {slog.LevelError, "config.rejected", "a fleet text failed its check and was not put in force; the last good one stays"},
	ConfigStale:      {slog.LevelWarn, "config.stale", "the KV service offered a revision lower than the one in force; it was ignored"},
	ConfigKVDown:     {slog.LevelWarn, "config.kv_down", "the KV service did not answer; the configuration in force is kept"},
	ConfigApplyRace:  {slog.LevelWarn, "config.apply_race", "apply lost a compare-and-swap to another operator's change; nothing was written"},
	ConfigAudited:    {slog.LevelInfo, "config.audited", "apply wrote a fleet text and its audit record"},
	InstancesChanged: {slog.LevelInfo, "instances.changed", "the instance list reported instances joining or leaving"},

	RequestRejected:     {slog.LevelWarn, "request.rejected", "a caller's request was refused before any upstream saw it (bad input, unknown service)"},
	RequestNotRun:       {slog.LevelWarn, "request.not_run", "a request was answered 'not run': no upstream received it"},
	RequestUnknown:      {slog.LevelWarn, "request.unknown", "a request was answered 'outcome unknown': an upstream may have run it"},
	StageFailed:         {slog.LevelWarn, "stage.failed", "a pipeline stage failed mid-request; the stage is retried on another engine"},
	StageReplaced:       {slog.LevelInfo, "stage.replaced", "a failed stage was replaced and the request resumed with a new attempt"},
	RequestDuplicate:    {slog.LevelInfo, "request.duplicate", "a non-idempotent request came again with a known idempotency key; it was not run again"},
	RequestServed:       {slog.LevelDebug, "request.served", "a request was answered in full"},
	LedgerReadBack:      {slog.LevelWarn, "ledger.read_back", "a ledger write lost its reply; the entry read the key back to learn the outcome"},
	UpstreamLeaving:     {slog.LevelInfo, "upstream.leaving", "an upstream said it is leaving; it gets no new work from this entry"},
	DrainStarted:        {slog.LevelInfo, "drain.started", "the entry left discovery and finishes the requests it holds"},
	DrainDone:           {slog.LevelInfo, "drain.done", "the entry holds no request in flight"},
	DiscoveryRegistered: {slog.LevelInfo, "discovery.registered", "the entry holds its discovery lease in the KV service"},
	UpstreamAvoided:     {slog.LevelWarn, "upstream.avoided", "a back end failed a call or a check; it gets no new work until a probe finds it well"},
	UpstreamBack:        {slog.LevelInfo, "upstream.back", "a probe found a back end well again; it gets new work"},
	UpstreamFrozen:      {slog.LevelWarn, "upstream.frozen", "a back end with calls in flight answered neither them nor two probes; its calls were ended"},
	RequestOverloaded:   {slog.LevelWarn, "request.overloaded", "a request was refused before anything was sent: the service has more than it can carry"},
	StageMoved:          {slog.LevelInfo, "stage.moved", "a request left an engine that is leaving; its kv cache went with it"},
	ForwardRefused:      {slog.LevelWarn, "forward.refused", "a request was given an answer of the node's own; gives the reason and for how long it was held"},
	AttemptFailed:       {slog.LevelWarn, "attempt.failed", "a call to an engine brought no sound answer; gives what is known of it"},
	StreamBroken:        {slog.LevelWarn, "stream.broken", "a stream ended before its last event and could not be resumed"},
	PartReplaced:        {slog.LevelWarn, "part.replaced", "an engine of a running stream's path died, stalled or is leaving; the stream is moved"},
	RepathFailed:        {slog.LevelWarn, "repath.failed", "an engine did not move a running request to another path"},
	StreamLate:          {slog.LevelInfo, "stream.late", "a stream was whole but late: its first event or a pause took longer than its route aims for; gives the moves of its path"},
	StreamAsked:         {slog.LevelInfo, "stream.asked", "a silent stream's first engine told which requests wait for another engine"},
	RunCrashed:          {slog.LevelWarn, "run.crashed", "an engine ended under a run that had just begun; gives the request's fingerprint and under how many engines it counts for that (crashes)"},
	RequestBarred:       {slog.LevelWarn, "request.barred", "a request under which several engines have ended is not sent to engines for a while; gives its fingerprint, under how many they ended, and whether this node saw the last or heard of it"},
	LimitNamed:          {slog.LevelInfo, "limit.named", "an engine's answer named another rate limit than was known, or none any more (limited=false); gives how many requests a second it takes from all nodes"},
	LimitInvalid:        {slog.LevelWarn, "limit.invalid", "an engine's answer named a rate limit that cannot be read; nothing of it is taken, and the first of each engine is logged"},
	LimitHeld:           {slog.LevelInfo, "limit.held", "a request was not sent to an engine at once because of the rate limit that it names: it waits there or goes to another engine (outcome denied; the first of each request is logged)"},
	AnswerSampled:       {slog.LevelInfo, "answer.sampled", "a request was answered in full; one in many is logged"},

	TableApplied:   {slog.LevelInfo, "table.applied", "a node put a new version of the configuration in force"},
	TableRejected:  {slog.LevelError, "table.rejected", "a configuration could not be read; the one in force stays"},
	EnginesChanged: {slog.LevelInfo, "engines.changed", "the list of engines changed; gives its revision and what changed"},
	EnginesHeard:   {slog.LevelDebug, "engines.heard", "another node told this one of a newer list of engines; gives its revision"},
	EngineRejected: {slog.LevelError, "engine.rejected", "an entry of the list of engines could not be read; it is left out"},
	StoreLost:      {slog.LevelWarn, "store.lost", "the store does not answer this node; what is known stays in force"},
	StoreBack:      {slog.LevelInfo, "store.back", "the store answers again"},
	MemberJoined:   {slog.LevelInfo, "member.joined", "nodes were heard of, or heard differently of, since the last tick; names a few, and counts who takes callers and who leaves"},
	MemberLost:     {slog.LevelWarn, "member.lost", "other nodes were not heard of for too long and did not answer this one either; gives how many, names a few, and how long ago the first was heard of"},
	LeaderElected:  {slog.LevelInfo, "leader.elected", "this node holds the lease under which layers are placed"},
	LeaderResigned: {slog.LevelWarn, "leader.resigned", "this node lost the lease, or could not renew it in time; it gives no more orders"},
	PlacePlanned:   {slog.LevelInfo, "place.planned", "the leader decided which engines are to hold other layers; gives the reason"},
	PlaceOrdered:   {slog.LevelInfo, "place.ordered", "an engine accepted an order to hold a range of layers"},
	PlaceFailed:    {slog.LevelWarn, "place.failed", "an order to hold layers was refused or not answered; the engine's state decides what follows"},
	GossipFailed:   {slog.LevelDebug, "gossip.failed", "another node did not answer an exchange"},
	LogDropped:     {slog.LevelWarn, "log.dropped", "log lines were dropped because the reader of the log was too slow or an event came too often"},
	LeaderStandsIn: {slog.LevelWarn, "leader.stands_in", "no node leads and the store does not answer; this node places layers until one of the two changes"},
	EngineDead:     {slog.LevelWarn, "engine.dead", "an engine that so many nodes (reports) found dead did not answer the leader either; its layers are placed elsewhere"},
	EngineReborn:   {slog.LevelWarn, "engine.reborn", "an engine started anew at its address; the incarnation before it, and what ran there, has ended"},
	EntriesKept:    {slog.LevelInfo, "entries.kept", "other engines than before stay in use although their entries are missing; gives how many (kept), some of those that changed, and why"},
	StoreAway:      {slog.LevelWarn, "store.away", "the store was away (away=true) for all nodes that this one hears, long enough for entries to lapse, or is so no longer; gives how many nodes are unanswered, have it back, are answered or served, and this node's newest call without an answer"},
	SettingsReload: {slog.LevelInfo, "settings.reload", "a reload was asked for; what the settings say of bounds is in force"},

	StoreReturned:    {slog.LevelWarn, "store.returned", "the store came back from an older copy; gives the revision of its list (era.count) and the one known before, and how many of its entries this node has seen overtaken"},
	BarredUnsaved:    {slog.LevelWarn, "barred.unsaved", "the record of a request that crashes engines could not be written to the store; it is tried again"},
	LimitsRejected:   {slog.LevelWarn, "limits.rejected", "another node sent an invalid message about rate limits of engines; nothing of it is taken, and the first of each node is logged"},
	PermitFailed:     {slog.LevelDebug, "permit.failed", "the node that deals out permits for an engine that names a rate limit did not answer; the request goes to another engine"},
	SuspectsRejected: {slog.LevelWarn, "suspects.rejected", "another node sent an invalid message about requests that crash engines; nothing of the message is taken, and the first of each node is logged"},

	LedgerRetry: {slog.LevelWarn, "ledger.retry", "recording an answer in the ledger, or taking a claim back, failed; it is tried again"},
}

// Log writes event e with its number and name.
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
			out[i] = err.Error() // not the stack trace that the error carries
		}
	}
	l.Log(ctx, c.level, c.name, out...)
}

// WriteCatalogue prints the catalogue as a Markdown table.
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
