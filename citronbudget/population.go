package citronbudget

import "time"

const (
	// surrenderAfter is how long a node that hears no majority of the counted nodes keeps its
	// share of the slack. reclaimAfter is how long a silent node counts for a node that
	// hears a majority. It is so much later that what the silent node has sent has left the
	// window by then.
	surrenderAfter = 30 * time.Second
	reclaimAfter   = time.Minute
	// forgetAfter is how long a silent node counts in any case. Most nodes of a fleet may have
	// been removed for good.
	forgetAfter = 10 * time.Minute
	// maxCounted bounds the number of nodes that are counted, in case other nodes report names
	// that do not exist.
	maxCounted = 1 << 14
)

// Population counts the nodes that may hold a share of the slack, or of another bound that all
// nodes keep together. It is not safe for concurrent use.
//
// A node that others no longer hear may be gone, or cut off and still serving its callers. If
// they divided its share among themselves, the sides of a partition would each use the whole
// slack. A silent node therefore still counts. Once it has been silent for long, the side with the
// majority divides its share; the other side has given up its own by then:
//
//	        +-- 30 s --+---- 30 s ----+
//	cut off |          | no share     |
//	majority| parts as before         | fewer parts
//
// A node that starts in the smaller side of a partition knows only the nodes of that side. It
// gets a share once it hears a node that has one, or most of the nodes that are registered in
// the store.
type Population struct {
	self string
	// heard holds when the other counted nodes were last heard of.
	heard map[string]time.Time
	// began is when the node began to count, minoritySince when it ceased to hear a
	// majority, zero if it does.
	began, minoritySince time.Time
	// established reports that the node knows the population.
	established bool
	// announced is the highest number that other nodes announced lately, announcedAt when
	// one did so last.
	announced   int
	announcedAt time.Time
	// heardShare is the share of the counted nodes that the node hears, itself included, or zero
	// if it has given up its share.
	heardShare float64
}

// Observation is what a node knows of the other nodes at one moment.
type Observation struct {
	// Alive are the names of the nodes that it hears.
	Alive []string
	// Announced is the highest number of nodes that one of these counts, zero if none of them
	// knows the population.
	Announced int
	// Registered are the names of nodes that are registered in the store: some of the nodes
	// that have run lately. It is meaningless unless RegisteredRead is set.
	Registered     []string
	RegisteredRead bool
}

// NewPopulation returns the population of the node self, which starts now.
func NewPopulation(self string, now time.Time) *Population {
	return &Population{self: self, heard: map[string]time.Time{}, began: now}
}

// Count returns the number of nodes that the node counts, itself included, or zero if it does not
// know the population.
func (p *Population) Count() int {
	if !p.established {
		return 0
	}
	return len(p.heard) + 1
}

// HeardShare returns the share of the counted nodes that the node hears, itself included, as of the
// last update. On the sides of a partition the shares add up to one at most, so a node that acts
// for those that it hears may use that share of what all nodes may use. It is zero once the node has
// heard no majority for long.
func (p *Population) HeardShare() float64 { return p.heardShare }

// Update records an observation and returns the node's share of the slack.
func (p *Population) Update(o Observation, now time.Time) Share {
	for _, name := range o.Alive {
		if _, known := p.heard[name]; known || len(p.heard) < maxCounted {
			p.heard[name] = now
		}
	}
	if o.Announced >= p.announced || now.Sub(p.announcedAt) > reclaimAfter {
		p.announced, p.announcedAt = o.Announced, now
	}
	silentFor := reclaimAfter
	if 2*(len(o.Alive)+1) > max(len(p.heard)+1, p.announced) {
		p.minoritySince = time.Time{}
	} else {
		silentFor = forgetAfter
		if p.minoritySince.IsZero() {
			p.minoritySince = now
		}
	}
	index := 0
	for name, at := range p.heard {
		if now.Sub(at) > silentFor {
			delete(p.heard, name)
		} else if name < p.self {
			index++
		}
	}
	p.established = p.established || o.Announced > 0 || p.hearsRegistered(o) || now.Sub(p.began) > forgetAfter
	silent := len(p.heard) > len(o.Alive)
	surrendered := !p.minoritySince.IsZero() && now.Sub(p.minoritySince) > surrenderAfter
	p.heardShare = 0
	if !surrendered {
		p.heardShare = float64(len(o.Alive)+1) / float64(max(len(p.heard)+1, p.announced))
	}
	if !p.established || surrendered {
		return Share{SomeSilent: silent}
	}
	return Share{Parts: max(len(p.heard)+1, p.announced), Index: index, SomeSilent: silent}
}

// hearsRegistered reports whether the node hears most of the other nodes that are registered
// in the store.
func (p *Population) hearsRegistered(o Observation) bool {
	if !o.RegisteredRead {
		return false
	}
	others, heard := 0, 0
	for _, name := range o.Registered {
		if name == p.self {
			continue
		}
		others++
		if _, ok := p.heard[name]; ok {
			heard++
		}
	}
	return 2*heard > others || others == 0
}
