// Package citronlink records which engines a node reaches over its own connections. That a
// node does not reach an engine is a fact about the two of them: the link is broken if
// another node reaches the engine.
package citronlink

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"citrondeck.dev/citrondeck/citronclock"
	"citrondeck.dev/citrondeck/citronevent"
)

const (
	// resultTTL is how long the result of the last attempt to reach an engine counts.
	resultTTL = 3 * time.Second
	// minLost is the minimum number of engines that must be out of reach before a node
	// counts as partitioned. One or two engines fail more often than a node's links do.
	minLost = 3
	// recheckInterval is the time between two checks of a broken link.
	recheckInterval = time.Second
	// maxChecksPerTick limits the checks that begin in one tick, so that a node that is
	// partitioned from hundreds of engines does not connect to all of them at once when its
	// links are back.
	maxChecksPerTick = 4
	// brokenTTL is how long a broken link is remembered after its last use.
	brokenTTL = 30 * time.Second
	// MaxSilence is how long nothing may arrive from an engine that owes this node a response
	// before the link is checked.
	MaxSilence = 250 * time.Millisecond
	// relayProofTTL is how long it counts that another node reached an engine when this
	// node's own attempt fails.
	relayProofTTL = 500 * time.Millisecond
)

// link is what this node knows about its own connections to one engine.
type link struct {
	// reachedAt and failedAt are when this node last reached the engine, and when it last
	// tried in vain.
	reachedAt, failedAt time.Time
	// broken is set while this node does not reach the engine, but another node does.
	broken bool
	// relayedAt is when another node last reached the engine for this one, and checkedAt when
	// a check of the link last began. heardAt is when a part of a response last arrived, or
	// zero if its connection was cut.
	relayedAt, checkedAt, heardAt time.Time
}

// isUp reports whether the last attempt reached the engine.
func (k *link) isUp() bool { return k.reachedAt.After(k.failedAt) }

// isDown reports whether the last attempt failed.
func (k *link) isDown() bool { return !k.isUp() && !k.failedAt.IsZero() }

// lastResult returns when the last attempt ended.
func (k *link) lastResult() time.Time {
	if k.isUp() {
		return k.reachedAt
	}
	return k.failedAt
}

// isStale reports whether nothing that is known of the link counts any longer.
func (k *link) isStale(now time.Time) bool {
	if k.broken {
		return now.Sub(k.relayedAt) > brokenTTL
	}
	return now.Sub(k.lastResult()) > resultTTL && now.Sub(k.relayedAt) > resultTTL && now.Sub(k.heardAt) > resultTTL
}

// Links records which engines this node reaches over its own connections. It is safe for
// concurrent use.
type Links struct {
	clock citronclock.Clock
	log   *slog.Logger

	mu     sync.Mutex
	byAddr map[string]*link
	// lost and partitioned are the last logged states. partitionedSince is when the node
	// became partitioned.
	lost, partitioned bool
	partitionedSince  time.Time
}

// NewLinks returns a record without results.
func NewLinks(clock citronclock.Clock, log *slog.Logger) *Links {
	return &Links{clock: clock, log: log, byAddr: map[string]*link{}}
}

// Summary counts the engines that this node has lately tried to reach.
type Summary struct {
	// Tried counts the engines with a recent result, and Unreached those whose last result
	// was a failure. Broken counts those that other nodes reach nevertheless.
	Tried, Unreached, Broken int
}

// MostUnreached reports whether the node failed to reach most of the engines that it tried.
func (s Summary) MostUnreached() bool { return s.Unreached >= minLost && 2*s.Unreached > s.Tried }

// Partitioned reports whether most of the engines that the node tried are reached by other
// nodes and not by this one.
func (s Summary) Partitioned() bool { return s.Broken >= minLost && 2*s.Broken > s.Tried }

// RecordReached records that this node reached the engine at addr.
func (l *Links) RecordReached(addr string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	k := l.at(addr)
	now := l.clock.Now()
	k.reachedAt, k.heardAt, k.broken = now, now, false
}

// RecordHeard records that a part of a response arrived from the engine at addr.
func (l *Links) RecordHeard(addr string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.at(addr).heardAt = l.clock.Now()
}

// RecordCut records that a connection to the engine at addr ended in the middle of a response.
func (l *Links) RecordCut(addr string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.at(addr).heardAt = time.Time{}
}

// HeardSince reports whether anything has arrived from the engine at addr since the given
// time, on a connection that has not been cut.
func (l *Links) HeardSince(addr string, since time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	k := l.byAddr[addr]
	return k != nil && k.heardAt.After(since)
}

// BeginCheck reports whether the link to the engine at addr, which owes this node a response,
// has been silent for so long that it should be checked. If so, it records that a check
// begins.
func (l *Links) BeginCheck(addr string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	k, now := l.at(addr), l.clock.Now()
	if now.Sub(k.heardAt) < MaxSilence || now.Sub(k.checkedAt) < recheckInterval {
		return false
	}
	k.checkedAt = now
	return true
}

// RecordUnreached records that this node could not reach the engine at addr.
func (l *Links) RecordUnreached(addr string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	k := l.at(addr)
	k.failedAt = l.clock.Now()
	if k.failedAt.Sub(k.relayedAt) < relayProofTTL {
		k.broken = true
		l.updatePartitioned()
	}
}

// RecordRelayed records that another node reached the engine at addr for this one.
func (l *Links) RecordRelayed(addr string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	k := l.at(addr)
	k.relayedAt = l.clock.Now()
	if k.isDown() {
		k.broken = true
	}
	l.updatePartitioned()
}

func (l *Links) at(addr string) *link {
	k := l.byAddr[addr]
	if k == nil {
		k = &link{}
		l.byAddr[addr] = k
	}
	return k
}

// PrefersRelay reports whether a call to the engine at addr should be passed on to another
// node at once: this node failed to reach the engine last, or the node is partitioned and has
// not reached the engine since.
func (l *Links) PrefersRelay(addr string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	k := l.byAddr[addr]
	if k != nil && k.isDown() {
		return true
	}
	return l.partitioned && (k == nil || k.reachedAt.Before(l.partitionedSince))
}

// IsBroken reports whether other nodes reach the engine at addr and this one does not, as far
// as is known.
func (l *Links) IsBroken(addr string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	k := l.byAddr[addr]
	return k != nil && k.broken || l.partitioned && (k == nil || k.reachedAt.Before(l.partitionedSince))
}

// ReachedSince reports whether this node has reached one of the engines since the given
// time.
func (l *Links) ReachedSince(addrs []string, since time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, addr := range addrs {
		if k := l.byAddr[addr]; k != nil && k.isUp() && k.reachedAt.After(since) {
			return true
		}
	}
	return false
}

// Summary returns the current counts.
func (l *Links) Summary() Summary {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.summary()
}

func (l *Links) summary() Summary {
	now := l.clock.Now()
	var s Summary
	for _, k := range l.byAddr {
		if !k.broken && now.Sub(k.lastResult()) > resultTTL {
			continue
		}
		s.Tried++
		if k.isDown() {
			s.Unreached++
		}
		if k.broken {
			s.Broken++
		}
	}
	return s
}

// updatePartitioned updates partitioned and partitionedSince.
func (l *Links) updatePartitioned() {
	now := l.summary().Partitioned()
	if now && !l.partitioned {
		l.partitionedSince = l.clock.Now()
	}
	l.partitioned = now
}

// Tick logs when the node begins or ceases to fail to reach most engines, and forgets what
// no longer counts. It returns the addresses of links that are to be checked, and whether
// the node is partitioned.
func (l *Links) Tick(ctx context.Context) (check []string, partitioned bool) {
	l.mu.Lock()
	now := l.clock.Now()
	for addr, k := range l.byAddr {
		if k.isStale(now) {
			delete(l.byAddr, addr)
			continue
		}
		if l.isCheckDue(k, now) && len(check) < maxChecksPerTick {
			k.checkedAt = now
			check = append(check, addr)
		}
	}
	l.updatePartitioned()
	s := l.summary()
	changed := s.MostUnreached() != l.lost
	l.lost, partitioned = s.MostUnreached(), l.partitioned
	l.mu.Unlock()
	if changed {
		citronevent.Log(ctx, l.log, citronevent.EnginesUnreached, "lost", s.MostUnreached(), "unreached", s.Unreached, "tried", s.Tried, "broken", s.Broken)
	}
	return check, partitioned
}

// isCheckDue reports whether a link should be checked: it is broken, or another node was
// asked to make the calls although this node has not tried.
func (l *Links) isCheckDue(k *link, now time.Time) bool {
	return (k.broken || k.relayedAt.After(k.lastResult())) && now.Sub(k.checkedAt) >= recheckInterval
}
