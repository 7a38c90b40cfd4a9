package citronusage

const (
	// minScale and maxScale bound the factor by which the zone's total changes a reported
	// usage. The total counts what requests may need, not what they use, and tells nothing
	// about a single engine.
	minScale = 0.5
	maxScale = 2
	// maxWaiting bounds the utilization that is added for waiting requests. Even one more
	// full cache of them says that the engine is overloaded.
	maxWaiting = 1
	// ownFloor is the share of the tokens of this node's own requests that an estimate
	// counts at least, so that an engine that reports too little is not filled without
	// limit. Requests use about half of what they reserve if they end early.
	ownFloor = 0.5
)

// Load is what a node knows about an engine when it estimates its utilization. All numbers
// of tokens are those that requests may need, prompt and response together.
type Load struct {
	Report Figures
	// CacheTokens is the number of tokens that the engine's cache can hold. Capacity is the
	// number of tokens that the engine can serve, which its slots may limit further.
	CacheTokens, Capacity float64
	// RequestTokens is the number of tokens that a waiting request is assumed to need.
	RequestTokens float64
	// ZoneThen is the total of the engine's zone when the report was recorded, OthersThen
	// the part of it of other nodes, and OthersNow this part at present.
	ZoneThen, OthersThen, OthersNow int64
	// OwnSince is the number of tokens of this node's requests begun since the report, and
	// Own that of all requests of this node at the engine.
	OwnSince, Own int64
}

// Estimate returns the utilization of an engine as a share of its capacity, given a valid
// report. It is the reported share, scaled by the change that other nodes made to the
// zone's total, plus the requests begun on this node since, plus the waiting requests. It
// is never negative, and without requests of this node at most 5 times CacheTokens by
// Capacity.
func Estimate(l Load) float64 {
	if l.Capacity <= 0 {
		return 0
	}
	used := min(maxShare, max(0, l.Report.Share())) * max(1, l.CacheTokens/l.Capacity) * l.scale()
	waiting := min(maxWaiting, max(0, float64(l.Report.Waiting))*max(0, l.RequestTokens)/l.Capacity)
	own := max(0, float64(l.Own)) / l.Capacity
	since := min(own, max(0, float64(l.OwnSince))/l.Capacity)
	return max(used+waiting+since, ownFloor*own)
}

// scale returns the factor by which the zone's total changed through other nodes.
func (l Load) scale() float64 {
	if l.ZoneThen <= 0 {
		return 1
	}
	return min(maxScale, max(minScale, float64(l.ZoneThen+l.OthersNow-l.OthersThen)/float64(l.ZoneThen)))
}
