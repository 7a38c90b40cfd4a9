package citronengine

import (
	"container/list"
	"sync"
	"time"
)

const (
	// promptChunk is how many characters of a prompt one cached chunk
	// holds; each chunk missing from the cache costs one token of work.
	promptChunk = 64
	eventsKept  = 1024
	// eventGap: every eventGap-th cache event is lost, as real engines
	// publish them with gaps; readers see it in the sequence numbers.
	eventGap = 50
)

// CacheEvent says that a prompt prefix entered or left an engine's cache.
type CacheEvent struct {
	Seq    int64  `json:"seq"`
	Prefix string `json:"prefix"`
	Added  bool   `json:"added"`
}

// eventLog keeps the newest cache events; some are lost on purpose.
type eventLog struct {
	mu     sync.Mutex
	seq    int64
	events []CacheEvent
}

func (l *eventLog) add(prefix string, added bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.seq++
	if l.seq%eventGap == 0 {
		return
	}
	l.events = append(l.events, CacheEvent{Seq: l.seq, Prefix: prefix, Added: added})
	if len(l.events) > eventsKept {
		l.events = l.events[len(l.events)-eventsKept:]
	}
}

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

// prefixCache holds the newest prompt prefixes, one per chunk boundary,
// in limited memory (least recently used out). The engine's lock guards it.
type prefixCache struct {
	slots  int
	order  *list.List
	byText map[string]*list.Element
	events *eventLog
}

func newPrefixCache(slots int, ev *eventLog) *prefixCache {
	return &prefixCache{slots: slots, order: list.New(), byText: map[string]*list.Element{}, events: ev}
}

// miss returns how many whole chunks of prompt were not cached, and
// caches them.
func (c *prefixCache) miss(prompt string) int {
	missed := 0
	for end := promptChunk; end <= len(prompt); end += promptChunk {
		prefix := prompt[:end]
		if el, ok := c.byText[prefix]; ok {
			c.order.MoveToFront(el)
			continue
		}
		missed++
		c.byText[prefix] = c.order.PushFront(prefix)
		c.events.add(prefix, true)
		if c.order.Len() > c.slots {
			old := c.order.Remove(c.order.Back()).(string)
			delete(c.byText, old)
			c.events.add(old, false)
		}
	}
	return missed
}

// laggedLoad reports the load as it was some time ago.
type laggedLoad struct {
	lag time.Duration

	mu      sync.Mutex
	samples []loadSample
}

type loadSample struct {
	at      time.Time
	waiting int
}

func (l *laggedLoad) note(now time.Time, waiting int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.samples = append(l.samples, loadSample{now, waiting})
	for len(l.samples) > 1 && now.Sub(l.samples[1].at) >= l.lag {
		l.samples = l.samples[1:]
	}
}

func (l *laggedLoad) at(now time.Time) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.samples) == 0 || now.Sub(l.samples[0].at) < l.lag {
		return 0
	}
	return l.samples[0].waiting
}
