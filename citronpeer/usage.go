package citronpeer

// UsageReport is what an engine reported about its usage. It is encoded as an array of
// about 18 bytes, because every message carries up to MaxUsageReports of them.
type UsageReport struct {
	_ struct{} `cbor:",toarray"`
	// Engine is the hash of the engine's incarnation ID (citronusage.IDOf).
	Engine uint64
	// Age10MS is the age of the report in units of 10 ms.
	Age10MS int64
	// Permille is the used share of the engine's cache, in thousandths.
	Permille int64
	// Running and Waiting are numbers of requests.
	Running, Waiting int64
}

// MaxUsageReports is the maximum number of usage reports in a message.
const MaxUsageReports = 32
