// Package citronevent defines the catalogue of log events.
//
// Each event has a stable number, a name, a level and a one-line meaning. The
// table in docs/EVENTS.md is the output of `citrondeck events`; a test checks that
// the file contains it.
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
	ConnsClosed     Event = 104

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
	CooldownAsked      Event = 513
	CooldownInvalid    Event = 514
	CooldownHeld       Event = 515
	EngineLeaving      Event = 516
	HeaderUnknown      Event = 517
	RequestRelayed     Event = 518
	RelayFailed        Event = 519
	PartQuarantined    Event = 520
	PartTried          Event = 521
	PartReleased       Event = 522
	CrashesRejected    Event = 523
	HeadInvalid        Event = 524
	StreamDelayed      Event = 530
	BudgetState        Event = 531
	CallerLeft         Event = 532

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
	EnginesUnreached  Event = 627
	EnginesReported   Event = 628
	RelayServed       Event = 629
	PriorityClamped   Event = 639
	UsageRejected     Event = 640
	NodeLate          Event = 641

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
	ProcessStarted:  {slog.LevelInfo, "process.started", "a process has started and listens, or is about to; gives its role and address, and its zone if it has one"},
	ProcessStopping: {slog.LevelInfo, "process.stopping", "a node, engine or plain service received a stop signal; it drains before it exits"},
	ProcessStopped:  {slog.LevelInfo, "process.stopped", "a node, an engine or the KV service no longer serves and exits"},
	SettingsInvalid: {slog.LevelError, "settings.invalid", "the settings file could not be read, or the settings are invalid; the process does not start"},
	ConnsClosed:     {slog.LevelWarn, "conns.closed", "connections of clients were closed because of a limit: waiting: they kept the process waiting longest, connections: all others were at work, memory: there was none for them; gives the listener, the reason of the last one and the count since the last line, at most one line a second for each listener"},

	ConfigApplied:    {slog.LevelInfo, "config.applied", "an entry activated a new fleet configuration; gives its revision"},
	ConfigRejected:   {slog.LevelError, "config.rejected", "a fleet configuration is invalid or damaged and was not activated; the active one, if any, is kept"},
	ConfigStale:      {slog.LevelWarn, "config.stale", "the KV service returned a revision lower than the active one; it was ignored"},
	ConfigKVDown:     {slog.LevelWarn, "config.kv_down", "an entry could not read from the KV service and retries; it keeps its active configuration, if it has one"},
	ConfigApplyRace:  {slog.LevelWarn, "config.apply_race", "apply did not activate its fleet text, because the active configuration is not at the expected revision, for example after another operator's change; sections, the text and the audit record of an earlier change may have been written"},
	ConfigAudited:    {slog.LevelInfo, "config.audited", "apply made a fleet text the active configuration and recorded the change; gives its revision and the operator (who)"},
	InstancesChanged: {slog.LevelInfo, "instances.changed", "the set of instances that the instance list marks as leaving changed; gives how many are leaving"},

	RequestRejected:     {slog.LevelWarn, "request.rejected", "a request was rejected before any upstream received it: its service or customer is unknown, its idempotency key is missing, or its service does not stream"},
	RequestNotRun:       {slog.LevelWarn, "request.not_run", "a request was answered 'not run': no back end accepted it"},
	RequestUnknown:      {slog.LevelWarn, "request.unknown", "a request was answered 'outcome unknown': a back end may have run it, or, if the ledger could not be reached (reason=ledger), may have run an earlier attempt with the same idempotency key"},
	StageFailed:         {slog.LevelWarn, "stage.failed", "an engine failed a step of a model request; its stage is replaced, unless no engine is left for it or the request has used up its replacements"},
	StageReplaced:       {slog.LevelInfo, "stage.replaced", "a failed stage, or all stages from it on, was replaced; the request continues under a new attempt number; gives the engine that now runs the stage"},
	RequestDuplicate:    {slog.LevelInfo, "request.duplicate", "a non-idempotent request was sent again with a known idempotency key; it was not run again"},
	RequestServed:       {slog.LevelDebug, "request.served", "a request was answered in full"},
	LedgerReadBack:      {slog.LevelWarn, "ledger.read_back", "the KV service did not answer when an entry claimed an idempotency key; the entry reads the key back to learn whether the claim took effect"},
	UpstreamLeaving:     {slog.LevelInfo, "upstream.leaving", "an upstream refused a call because it is leaving; this entry sends it no new work until a probe finds it healthy, as after a restart"},
	DrainStarted:        {slog.LevelInfo, "drain.started", "an entry or node began to drain: it is announced as leaving and finishes the requests in flight, a node only as far as its grace period allows; gives how many there are"},
	DrainDone:           {slog.LevelInfo, "drain.done", "an entry or node finished draining; a node gives how many requests are still in flight"},
	DiscoveryRegistered: {slog.LevelInfo, "discovery.registered", "the entry wrote its discovery key to the KV service under a new lease"},
	UpstreamAvoided:     {slog.LevelWarn, "upstream.avoided", "a back end failed a call, stopped answering or ran the wrong layers; it gets no new work until a probe finds it healthy"},
	UpstreamBack:        {slog.LevelInfo, "upstream.back", "a probe found an avoided or leaving back end healthy; it gets new work again, unless the instance list marks it as leaving"},
	UpstreamFrozen:      {slog.LevelWarn, "upstream.frozen", "a back end answered neither its calls in flight nor two probes; its calls were canceled, except those of non-idempotent plain services, which continue"},
	RequestOverloaded:   {slog.LevelWarn, "request.overloaded", "a request was rejected before anything was sent: its service had no free capacity, at once or while the caller waited"},
	StageMoved:          {slog.LevelInfo, "stage.moved", "a stage of a request was moved, with its KV cache, off an engine that is leaving"},
	ForwardRefused:      {slog.LevelWarn, "forward.refused", "the node itself answered a request with an error; gives the reason, how long the request was held and the zone of the node (nodeZone); if the request was valid also its route, customer and priority level (priorityLevel, 0 first); for a stream that asked for capacity also the utilization of its cheapest path (used), the utilization up to which it is admitted (usedLimit), and the forecast time to its first event, zero if unknown"},
	AttemptFailed:       {slog.LevelWarn, "attempt.failed", "a call to an engine did not succeed: it was refused, ended early, was reset, or got an error or an invalid response; gives the outcome and what is known about the cause"},
	StreamBroken:        {slog.LevelWarn, "stream.broken", "a stream ended before its last event, because the caller left, the time was up or the stream could not be resumed; gives the reason, the route, the customer and the zone of the node (nodeZone)"},
	HopReplaced:         {slog.LevelWarn, "part.replaced", "an engine on a running stream's path died, stalled, is leaving, was named by another engine as the cause of a refusal and answered no probe (accused), or is no longer reached by this node although others reach it (unreached); the stream starts to move to another path; engines is how many engines are replaced and delay how long the move was held back for streams that could still keep their pause"},
	RepathFailed:        {slog.LevelWarn, "repath.failed", "a running stream was not moved to another path behind its first engine: that engine did not do it, or a permit was denied"},
	StreamLate:          {slog.LevelInfo, "stream.late", "a stream completed late: its first event or a pause between events took longer than its route's target; gives how often its path changed (moves), the route, the customer and the zones of the node (nodeZone) and of the first engine (zone)"},
	StreamAsked:         {slog.LevelInfo, "stream.asked", "the first engine of a stalled stream reported which requests wait for another engine"},
	RunCrashed:          {slog.LevelWarn, "run.crashed", "an engine's process ended during a run of a request that had not run successfully yet; gives the request's fingerprint (print), the number of crashes counted for it (crashes), the hashes of the parts of its prompt that other requests may have too (parts) and the time since the first event of the run, zero if there was none (running)"},
	RequestQuarantined:  {slog.LevelWarn, "request.barred", "a request during which several engines crashed is quarantined: no engine gets it for a while; gives its fingerprint (print), the number of crashes and where this node learned of the last one (source): from its own run (own), from the node named, or from the store (store)"},
	LimitChanged:        {slog.LevelInfo, "limit.named", "an engine's response set, changed or removed (limited=false) its rate limit; gives the requests per second that it accepts from all nodes together"},
	LimitInvalid:        {slog.LevelWarn, "limit.invalid", "an engine's response carried a malformed rate limit, which was ignored; only the first one from each engine is logged"},
	LimitHeld:           {slog.LevelInfo, "limit.held", "a request could not be sent to a rate-limited engine at once: it waits for its permit (outcome=waits), or was denied one (outcome=denied) and tries again, there or at another engine, or is refused; only the first denial of each request is logged"},
	CooldownAsked:       {slog.LevelInfo, "cooldown.asked", "an engine refused a request and asked this node for a cool-down: no requests for a time (wait, in nanoseconds); only refusals that lengthen the time are logged"},
	CooldownInvalid:     {slog.LevelWarn, "cooldown.invalid", "an engine refused a request with a cool-down that cannot be read, which was ignored; only the first one from each engine is logged"},
	CooldownHeld:        {slog.LevelInfo, "cooldown.held", "a request was not sent to an engine because of its cool-down: it tries another engine (outcome=passed over), waits for the end (outcome=waits), or is refused (outcome=refused); gives the time (wait, in nanoseconds)"},
	EngineLeaving:       {slog.LevelInfo, "engine.leaving", "an engine's response stated for the first time that it is leaving; tells whether its entry in the list that the request was sent by says so too (listed)"},
	HeaderUnknown:       {slog.LevelWarn, "header.unknown", "an engine's response had a header that this version does not know (name) and only passes on; it may be something that engines expect nodes to act on; only the first response with each name is logged, and a limited number of names"},
	HeadInvalid:         {slog.LevelWarn, "head.invalid", "an engine (peer) sent a response whose head is not valid, such as one with status 000 or with a blank in the name of a field; the response was not used, its connection was closed, and whether the engine ran the request is unknown; only the first such response of each engine is logged, for a limited number of engines"},
	RequestRelayed:      {slog.LevelInfo, "request.relayed", "a request was sent to an engine through another node (through), because this node's own link to the engine is broken; gives the status of the engine's response"},
	RelayFailed:         {slog.LevelWarn, "relay.failed", "a request was not answered through another node (through): that node declined it, could not reach the engine either, or the request may have run; gives the cause"},
	PartQuarantined:     {slog.LevelWarn, "prompt.quarantined", "requests with a prompt part are no longer sent to engines, because engines crashed under them; gives the part (part), the number of crashes that it explains (crashes), whether another part explains them equally well (tied), the hash of the only customer concerned, zero for all (customer), and where this node learned it (source): by detecting it itself (own), from the node named, or from the store (store)"},
	PartTried:           {slog.LevelWarn, "prompt.tried", "a request with a quarantined prompt part is sent to an engine, to find out whether the part still crashes engines; gives the part and the number of the trial"},
	PartReleased:        {slog.LevelInfo, "prompt.released", "a quarantined prompt part is released, because a request has run with it successfully; gives the part and where this node learned it (source)"},
	CrashesRejected:     {slog.LevelWarn, "crashes.rejected", "a report of another node about crashes or prompt parts was invalid; nothing was taken from it, and only the first one of each node is logged"},
	StreamDelayed:       {slog.LevelInfo, "stream.delayed", "the engines of a stream's cheapest path had no free capacity: it was admitted after a wait (outcome=waited), or on a path of another zone (outcome=spilled); gives its priority, its level among the priorities of its service's streams, the utilization (used), up to which it is admitted (usedLimit), and the forecast time to its first event, zero if unknown; only one in ten is logged"},
	BudgetState:         {slog.LevelInfo, "budget.state", "this node sent or was denied retries of a service; gives the requests and retries of the last window that it knows of its own and of the other nodes (othersRequests, othersRetries), how many retries all nodes may send (limit) and how many more this node may send (allowance), how many were denied since the last such line (denied), and the number of nodes among which the slack of the budget is divided (nodes), 0 if this node has no share of it; at most one line a second for each service"},
	CallerLeft:          {slog.LevelInfo, "caller.left", "the caller of a stream disconnected while engines had its request; gives how long the node had held the request (held) and how long ago it was sent (sent) when the node saw that, the engines of its path in order (engines), how many events the caller had got (events), how long the call to the engine went on after that (closed), and the longest scheduling delay of the node in the second before (late)"},
	AnswerSampled:       {slog.LevelInfo, "answer.sampled", "a request was answered in full, or a stream's request with an engine's failure response; only a sample of these is logged"},

	TableApplied:     {slog.LevelInfo, "table.applied", "a node activated a new version of the configuration"},
	TableRejected:    {slog.LevelError, "table.rejected", "a configuration could not be decoded and is ignored; the active one, if any, is kept"},
	EnginesChanged:   {slog.LevelInfo, "engines.changed", "the list of engines was updated; gives either its new revision and size, or one engine that was added, changed or listed again, whose entry is missing or can no longer be decoded (missing=true), or that was removed (gone=true)"},
	EnginesLearned:   {slog.LevelDebug, "engines.heard", "another node sent a newer list of engines; gives its revision"},
	EngineRejected:   {slog.LevelError, "engine.rejected", "an entry in the list of engines could not be decoded, and an engine whose entry it replaced gets no new work until it writes its entry again; with key=exchange, a list sent between nodes could not be encoded or decoded, or its store era is implausibly late, and it is not used"},
	StoreLost:        {slog.LevelWarn, "store.lost", "this node could not read or watch a key prefix in the store (step); the last known state stays in effect"},
	StoreBack:        {slog.LevelInfo, "store.back", "this node can read a key prefix in the store again (step) that it could not read or watch before"},
	MemberJoined:     {slog.LevelInfo, "member.joined", "other nodes appeared, changed their state or came back; names a few, and counts the known nodes, lost ones included, that last reported that they accept callers (ready) or are leaving (leaving)"},
	MemberLost:       {slog.LevelWarn, "member.lost", "other nodes were not heard of for too long, and those that were probed did not answer; gives how many (lost), names a few, and gives the time since the first one was heard of (age)"},
	LeaderElected:    {slog.LevelInfo, "leader.elected", "this node holds the lease that allows it to place layers"},
	LeaderResigned:   {slog.LevelWarn, "leader.resigned", "this node could not renew the leader lease and gives up the lead, because the lease expired, another node leads or it hears too few nodes; it sends no more placement orders"},
	PlacePlanned:     {slog.LevelInfo, "place.planned", "the leader assigned an engine a new target layer range (from, to); also gives the range that the engine holds (hadFrom, hadTo) and its previous target (goalFrom, goalTo)"},
	PlaceOrdered:     {slog.LevelInfo, "place.ordered", "an engine accepted an order to hold a range of layers"},
	PlaceFailed:      {slog.LevelWarn, "place.failed", "a placement order was not carried out: the engine did not answer, rejected it, is busy or has restarted; before the next order, the leader asks the engine for its state again"},
	GossipFailed:     {slog.LevelDebug, "gossip.failed", "a gossip exchange with another node failed, or this node could not register in the store or read the registered nodes there (peer=deck/nodes/)"},
	LogDropped:       {slog.LevelWarn, "log.dropped", "log lines were dropped since the last such report, because the log reader was too slow, a write failed or an event exceeded its rate; gives how many (lines)"},
	ActingLeader:     {slog.LevelWarn, "leader.stands_in", "no node leads and the store does not answer; this node is acting leader and places layers until the store answers or another node leads"},
	EngineDead:       {slog.LevelWarn, "engine.dead", "an engine that nodes found dead (reports gives how many, possibly with the leader among them) did not answer the leader's check either; gives for how long it has left checks unanswered (silent, in nanoseconds); its layers are placed elsewhere"},
	EngineRestarted:  {slog.LevelWarn, "engine.reborn", "an engine's process, and the requests running there, have ended: another process has taken its name or its address; gives the engine ID of that process (later)"},
	EntriesRetained:  {slog.LevelInfo, "entries.kept", "engines whose entries are missing began or ceased to stay in use; gives how many now stay in use (kept), how many changed (changed), a few of these (engines), and the reason why such engines stay in use, if any"},
	StoreUnavailable: {slog.LevelWarn, "store.away", "this node began (away=true) or ceased (away=false) to treat the store as unavailable to all nodes, which it does if the store is, or recently was, unreachable for so long that entries expire; of this node and those that it hears (nodes), counts those that cannot reach the store (unanswered), reach it again after such an outage (back), were answered recently (answered) and have been served for a while without such an outage (served); also gives this node's last failed call, if the store has not answered since"},
	SettingsReload:   {slog.LevelInfo, "settings.reload", "SIGHUP was received and has no effect: the settings file is read only at the start"},

	StoreRestored:     {slog.LevelWarn, "store.returned", "the store was restored from an older copy; gives the new revision of its list of engines (era.count), the last one known before (was), and how many restored entries this node knows to be outdated (overtaken)"},
	QuarantineUnsaved: {slog.LevelWarn, "barred.unsaved", "a quarantine record could not be written to the store; the write is retried"},
	LimitsRejected:    {slog.LevelWarn, "limits.rejected", "another node sent invalid rate limits of engines; none of the limits in that message was used, and only the first such message from each node is logged"},
	PermitFailed:      {slog.LevelDebug, "permit.failed", "the permit issuer of a rate-limited engine did not answer; the request is treated as if it had been denied a permit"},
	EnginesUnreached:  {slog.LevelWarn, "engines.unreached", "this node began (lost=true) or ceased (lost=false) to fail to connect to most of the engines that it tried in the last seconds; gives how many it tried (tried) and could not reach (unreached), and how many of those other nodes reach (broken)"},
	EnginesReported:   {slog.LevelInfo, "engines.reported", "another node (peer) reported engines that it found dead, and this node begins to avoid them for a moment; gives how many (count) and names a few"},
	RelayServed:       {slog.LevelInfo, "relay.served", "this node sent a request of another node (peer) to an engine; gives the status of the engine's response"},
	PriorityClamped:   {slog.LevelWarn, "priority.clamped", "a priority in a new version of the configuration, of a route or a customer, is negative or too high (priority); the nearest valid one takes effect (used)"},
	UsageRejected:     {slog.LevelWarn, "usage.rejected", "an engine (engine) reported an impossible usage, or another node (peer) passed one on; it was not used, and only the first one from each engine and node is logged"},
	NodeLate:          {slog.LevelWarn, "node.late", "the goroutines of this node ran at least 100 ms later than due (delay): it has too little processor time, or its process was stopped; one line a second at most, with the longest delay since the last"},
	SuspectsRejected:  {slog.LevelWarn, "suspects.rejected", "another node sent invalid records of requests that crash engines, and none of the records in that message was used, or the store holds an invalid record (peer=store); only the first message from each node and the first record in the store are logged"},

	LedgerRetry: {slog.LevelWarn, "ledger.retry", "recording an outcome in the ledger, or releasing or undoing a claim, has not succeeded yet; it is retried for a limited time"},
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
