package citronengine

import (
	"container/list"
	"sync"
	"time"
)

const (
	// promptChunkBytes is the length of a cached chunk of a prompt. Each chunk
	// missing from the cache costs one token of work.
	promptChunkBytes = 64
	maxEvents        = 1024
	// eventLossInterval is the interval, in events, at which a cache event is
	// lost, because events of real engines also get lost. Readers detect a lost
	// event by the gap in the sequence numbers.
	eventLossInterval = 50
)

// CacheEvent reports that a prompt prefix was added to or evicted from the prefix
// cache of an engine.
type CacheEvent struct {
	Seq    int64  `json:"seq"`
	Prefix string `json:"prefix"`
	Added  bool   `json:"added"`
}

// eventLog keeps the newest maxEvents cache events, except every
// eventLossInterval-th one, which is lost on purpose.
type eventLog struct {
	mu     sync.Mutex
	seq    int64
	events []CacheEvent
}

func (l *eventLog) add(prefix string, added bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.seq++
	if l.seq%eventLossInterval == 0 {
		return
	}
	l.events = append(l.events, CacheEvent{Seq: l.seq, Prefix: prefix, Added: added})
	if len(l.events) > maxEvents {
		l.events = l.events[len(l.events)-maxEvents:]
	}
}

// since returns the events still held with sequence numbers above after.
func (l *eventLog) since(after int64) []CacheEvent {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []CacheEvent
	for _, e := range l.events {
		if e.Seq > after {
			out = append(out, e)
		}
	}
	return out
}

// prefixCache is an LRU cache of prompt prefixes, one for each chunk boundary. The
// mutex of the engine guards it.
type prefixCache struct {
	slots  int
	recent *list.List // most recently used first
	byText map[string]*list.Element
	events *eventLog
}

func newPrefixCache(slots int, ev *eventLog) *prefixCache {
	return &prefixCache{slots: slots, recent: list.New(), byText: map[string]*list.Element{}, events: ev}
}

// addMissing caches the prefixes of prompt that end at a chunk boundary and returns
// the number of those that were not cached before. A partial chunk at the end is
// ignored.
func (c *prefixCache) addMissing(prompt string) int {
	missed := 0
	for end := promptChunkBytes; end <= len(prompt); end += promptChunkBytes {
		prefix := prompt[:end]
		if el, ok := c.byText[prefix]; ok {
			c.recent.MoveToFront(el)
			continue
		}
		missed++
		c.byText[prefix] = c.recent.PushFront(prefix)
		c.events.add(prefix, true)
		if c.recent.Len() > c.slots {
			old := c.recent.Remove(c.recent.Back()).(string)
			delete(c.byText, old)
			c.events.add(old, false)
		}
	}
	return missed
}

// laggedLoad reports the load with a delay.
type laggedLoad struct {
	lag time.Duration

	mu      sync.Mutex
	samples []loadSample
}

type loadSample struct {
	at      time.Time
	waiting int
}

// record adds a sample and drops the samples that method at no longer needs.
func (l *laggedLoad) record(now time.Time, waiting int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.samples = append(l.samples, loadSample{now, waiting})
	for len(l.samples) > 1 && now.Sub(l.samples[1].at) >= l.lag {
		l.samples = l.samples[1:]
	}
}

// at returns the newest sample that is at least lag old, or zero if there is none.
func (l *laggedLoad) at(now time.Time) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.samples) == 0 || now.Sub(l.samples[0].at) < l.lag {
		return 0
	}
	return l.samples[0].waiting
}
