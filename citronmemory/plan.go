package citronmemory

// Plan divides the memory of a machine.
type Plan struct {
	// Runtime is the soft limit of the Go runtime. Near it garbage is collected more often.
	Runtime int64
	// Clients is what is held for clients, and Answers what is held of large responses of
	// upstreams. Both are part of Runtime.
	Clients, Answers int64
}

const (
	// overheadPart and minOverhead are the part of a machine for memory that the Go runtime does
	// not count: the program, and bytes that have been received and not yet read.
	overheadPart = 8
	minOverhead  = 40 << 20
	// ownPart and minOwn are the part for what the process holds for itself.
	ownPart = 10
	minOwn  = 32 << 20
	// answersPart is the part for large responses.
	answersPart = 24
	// minClientsPart is the part for clients of a machine that is too small for the rest.
	minClientsPart = 8
)

// PlanFor returns the division of the given number of bytes.
func PlanFor(memory int64) Plan {
	p := Plan{Runtime: memory - max(memory/overheadPart, minOverhead), Answers: memory / answersPart}
	p.Clients = max(p.Runtime-max(memory/ownPart, minOwn)-p.Answers, memory/minClientsPart)
	return p
}
